package admitter

import "cornellanding.example/core/timer"

// Answer is a finished request's whole answer as the gate keeps it.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Header is one header of an answer.
type Header struct {
	Name  string
	Value string
}

// Identity names a request across its copies.
type Identity struct {
	Workspace string
	Route     string
	// ID is the caller's idempotency key, or else the request id.
	ID string
}

// DuplicateState tells what is known of an identity.
type DuplicateState int

const (
	// FirstCopy is a request not seen before.
	FirstCopy DuplicateState = iota
	// StillRunning is a copy of a request that runs.
	StillRunning
	// Answered is a copy of a request whose answer is kept.
	Answered
	// OutcomeLost is a copy of a request that began and whose answer was
	// lost or too large to keep.
	OutcomeLost
	// DifferentBody reuses an identity for another request.
	DifferentBody
)

const (
	dedupeTerm      = 600 * timer.Second
	dedupeEntries   = 65_536
	dedupeBodyLimit = 64 << 10
	dedupeBytes     = 16 << 20
)

type known struct {
	state       DuplicateState
	fingerprint uint64
	answer      Answer
	expiresAt   timer.Instant
}

// Deduper remembers what began at this gate. It promises that no two copies of
// an identity begin within ten minutes at one incarnation of a gate: when its
// room is used up it admits no new identity rather than forget one early.
type Deduper struct {
	entries map[Identity]*known
	order   []Identity
	bytes   int
}

// NewDeduper returns an empty deduper.
func NewDeduper() *Deduper { return &Deduper{entries: map[Identity]*known{}} }

// Begin registers an identity at now, or tells what is known of it. Ok is false
// if there is no room.
func (dd *Deduper) Begin(id Identity, fingerprint uint64, now timer.Instant) (state DuplicateState, answer Answer, ok bool) {
	dd.expire(now)
	if kn := dd.entries[id]; kn != nil {
		if kn.fingerprint != fingerprint {
			return DifferentBody, Answer{}, true
		}
		return kn.state, kn.answer, true
	}
	if len(dd.entries) >= dedupeEntries {
		return FirstCopy, Answer{}, false
	}
	dd.entries[id] = &known{state: StillRunning, fingerprint: fingerprint, expiresAt: now.Add(dedupeTerm)}
	dd.order = append(dd.order, id)
	return FirstCopy, Answer{}, true
}

// Finish keeps the answer of an identity.
func (dd *Deduper) Finish(id Identity, answer Answer) {
	kn := dd.entries[id]
	if kn == nil {
		return
	}
	if len(answer.Body) > dedupeBodyLimit || dd.bytes+len(answer.Body) > dedupeBytes {
		kn.state = OutcomeLost
		return
	}
	kn.state = Answered
	kn.answer = answer
	dd.bytes += len(answer.Body)
}

// MarkLost marks an identity that began and whose outcome is not known.
func (dd *Deduper) MarkLost(id Identity) {
	if kn := dd.entries[id]; kn != nil {
		kn.state = OutcomeLost
	}
}

// Cancel forgets an identity that provably never ran.
func (dd *Deduper) Cancel(id Identity) { delete(dd.entries, id) }

// expire forgets identities in the order of their arrival. A running one is
// kept.
func (dd *Deduper) expire(now timer.Instant) {
	for len(dd.order) > 0 {
		id := dd.order[0]
		kn := dd.entries[id]
		if kn != nil && (now.Before(kn.expiresAt) || kn.state == StillRunning) {
			return
		}
		if kn != nil {
			dd.bytes -= len(kn.answer.Body)
			delete(dd.entries, id)
		}
		dd.order = dd.order[1:]
	}
}
