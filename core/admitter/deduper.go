package admitter

import (
	"slices"

	"cornellanding.example/core/timer"
)

// Answer is the complete answer to a request, as kept for its duplicates.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Header is one header of an Answer.
type Header struct {
	Name  string
	Value string
}

// Identity identifies a request across its copies.
type Identity struct {
	Workspace string
	Route     string
	// ID is the caller's idempotency key, or one derived from the request ID.
	ID string
}

// DuplicateState says what is known about an identity.
type DuplicateState int

const (
	// FirstCopy means that the identity is new, and the request may run.
	FirstCopy DuplicateState = iota
	// StillRunning means that another copy is running.
	StillRunning
	// Answered means that another copy was answered, and the answer is kept.
	Answered
	// OutcomeLost means that another copy started, and its answer was lost or was
	// too large to keep.
	OutcomeLost
	// DifferentBody means that the identity was used for a different request.
	DifferentBody
)

const (
	// dedupeTerm is how long an identity is remembered after it is registered, or
	// longer while its request runs.
	dedupeTerm = 600 * timer.Second
	// forgottenSlack is how many forgotten identities are kept in the order beyond as many
	// as are remembered. Without a bound, refused requests would hold memory for ten minutes.
	forgottenSlack = 1024
	// maxDedupeEntries bounds the identities remembered.
	maxDedupeEntries = 65_536
	// maxDedupeBody and maxDedupeBytes bound the body of a kept answer, and all such
	// bodies together, in bytes.
	maxDedupeBody  = 64 << 10
	maxDedupeBytes = 16 << 20
)

// record is what is kept of one identity.
type record struct {
	state       DuplicateState
	fingerprint uint64
	answer      Answer
	expiresAt   timer.Instant
}

// Deduper remembers the requests that started at one incarnation of an instance,
// so that no two copies of an identity start within ten minutes. When it is full it
// accepts no new identity, rather than forget one too early.
type Deduper struct {
	entries map[Identity]*record
	order   []Identity
	bytes   int
}

// NewDeduper returns an empty Deduper.
func NewDeduper() *Deduper { return &Deduper{entries: map[Identity]*record{}} }

// Begin registers an identity at now, or returns what is known about it. The
// fingerprint tells different requests under the same identity apart. Ok is false
// if the Deduper is full.
func (dd *Deduper) Begin(id Identity, fingerprint uint64, now timer.Instant) (state DuplicateState, answer Answer, ok bool) {
	dd.expire(now)
	if kn := dd.entries[id]; kn != nil {
		if kn.fingerprint != fingerprint {
			return DifferentBody, Answer{}, true
		}
		return kn.state, kn.answer, true
	}
	if len(dd.entries) >= maxDedupeEntries {
		return FirstCopy, Answer{}, false
	}
	dd.entries[id] = &record{state: StillRunning, fingerprint: fingerprint, expiresAt: now.Add(dedupeTerm)}
	dd.order = append(dd.order, id)
	return FirstCopy, Answer{}, true
}

// Finish keeps the answer for later copies, or marks it as lost if it is too large or
// the answers kept are too large together.
func (dd *Deduper) Finish(id Identity, answer Answer) {
	kn := dd.entries[id]
	if kn == nil {
		return
	}
	if len(answer.Body) > maxDedupeBody || dd.bytes+len(answer.Body) > maxDedupeBytes {
		kn.state = OutcomeLost
		return
	}
	kn.state = Answered
	kn.answer = answer
	dd.bytes += len(answer.Body)
}

// MarkLost records that the outcome of a started request is unknown.
func (dd *Deduper) MarkLost(id Identity) {
	if kn := dd.entries[id]; kn != nil {
		kn.state = OutcomeLost
	}
}

// Forget removes an identity whose request is known not to have run.
func (dd *Deduper) Forget(id Identity) {
	delete(dd.entries, id)
	if len(dd.order) > 2*len(dd.entries)+forgottenSlack {
		dd.compact()
	}
}

// compact removes the identities that were forgotten from the order. Of one that was registered
// again, the latest place stays.
func (dd *Deduper) compact() {
	seen := make(map[Identity]bool, len(dd.entries))
	kept := make([]Identity, 0, len(dd.entries))
	for _, id := range slices.Backward(dd.order) {
		if dd.entries[id] != nil && !seen[id] {
			seen[id] = true
			kept = append(kept, id)
		}
	}
	slices.Reverse(kept)
	dd.order = kept
}

// expire forgets identities in the order of their arrival. It stops at the first
// that is recent or still running.
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
