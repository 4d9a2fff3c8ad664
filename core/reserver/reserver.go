// Package reserver accounts for the memory and the descriptors that clients hold at one
// instance and decides who may hold more.
//
// It addresses crowds of clients that each stay within the limits of a request but together
// want more than the VM has: heads of very many lines, large bodies that stop short of their
// end, idle connections, and readers that don't read. What a connection holds, its buffers,
// the request's head and body and the response, is charged to one holder. A holder that wants
// more than is left gets it only if others that have made no progress for a while can be
// dropped. A holder whose request was passed on is never dropped.
//
// # Usage
//
//	ac := reserver.New(reserver.Capacity{Bytes: 48 << 20, Connections: 1900})
//	id, dropped, ok := ac.Open(reserver.Caller, headEndsAt, now)
//	dropped, ok = ac.Take(id, bytes, now)
//	ac.Advance(id, received, now)
//	for _, id := range ac.Expire(now) { close(id) }
package reserver

import (
	"cmp"
	"slices"

	"cornellanding.example/core/timer"
)

const (
	// ConnectionBytes is what a connection without a request holds: two goroutine stacks
	// and two buffers of 4 KiB.
	ConnectionBytes = 20 << 10
	// SmallBytes bounds what a holder may hold in the reserved part: its connection and a
	// request of 64 KiB.
	SmallBytes = 96 << 10
	// reservedShare is the divisor of the part that is reserved for small holders and for
	// responses.
	reservedShare = 4
	// shortShare is the divisor of the capacity below which what is left counts as short.
	shortShare = 4
	// stallSpan is how long a holder must have made no progress before it is dropped for
	// another. A second bridges the loss of a segment and its retransmission.
	stallSpan = timer.Second
	// progressBytes is how many bytes count as progress. A sender of single bytes makes
	// none for most of the time.
	progressBytes = 1 << 10
	// shortStall, rateSpan and minRate are the minimum of progress while capacity is
	// short: a kibibyte within 5 s, and 1 KiB/s over 10 s.
	shortStall = 5 * timer.Second
	rateSpan   = 10 * timer.Second
	minRate    = 1 << 10
	// bodyStall ends a body that makes no progress also while there is room.
	bodyStall = 15 * timer.Second
)

// ID identifies a holder.
type ID uint64

// Phase is what a holder waits for.
type Phase int

const (
	// Head means that the client is to send the head of a request.
	Head Phase = iota
	// Body means that the client is to send the body of a request.
	Body
	// Run means that the request was passed on, and that its outcome is awaited.
	Run
	// Response means that the client is to read the response.
	Response
	// Idle means that the connection is kept open for a next request.
	Idle
)

// Kind is the kind of a connection's client.
type Kind int

const (
	// Caller is a client outside the deployment.
	Caller Kind = iota
	// Peer is another instance. Its idle connections are not closed for memory, since
	// that could break off a request that it has just sent.
	Peer
)

// Capacity is what may be held.
type Capacity struct {
	// Bytes is the memory for what clients hold, and Connections and PeerConnections
	// are the numbers of connections of callers and of peers. 0 means that there is no
	// limit.
	Bytes           int64
	Connections     int
	PeerConnections int
}

// connections returns the limit for a kind.
func (ca Capacity) connections(kind Kind) int {
	if kind == Peer {
		return ca.PeerConnections
	}
	return ca.Connections
}

// holder is a connection with the request on it.
type holder struct {
	id    ID
	kind  Kind
	bytes int64
	phase Phase
	rank  int
	// progressAt is when the latest progress was made, and since the bytes moved
	// since then.
	progressAt timer.Instant
	since      int64
	// windowAt is the start of the current measurement of the rate, and moved the
	// bytes moved in it.
	windowAt timer.Instant
	moved    int64
	// dueAt is when the phase ends the connection, 0 for never.
	dueAt timer.Instant
}

// Account is the account of one instance.
type Account struct {
	capacity Capacity
	held     int64
	latest   ID
	holders  map[ID]*holder
	// counts are the numbers of holders by kind.
	counts [2]int
	// Dropped counts the holders dropped for others or for a lack of progress, and
	// Refused the refusals of more capacity.
	Dropped uint64
	Refused uint64
}

// New returns an empty account.
func New(capacity Capacity) *Account {
	return &Account{capacity: capacity, holders: map[ID]*holder{}}
}

// SetBytes replaces the limit of bytes. What is held beyond it stays.
func (ac *Account) SetBytes(bytes int64) { ac.capacity.Bytes = bytes }

// Held returns the bytes held and the number of connections.
func (ac *Account) Held() (bytes int64, connections int) { return ac.held, len(ac.holders) }

// Open adds a connection whose first head is due at dueAt, 0 for no bound. If it returns
// false, the connection must be closed. The dropped holders are already removed, and their
// connections must be closed, as in Take.
func (ac *Account) Open(kind Kind, dueAt, now timer.Instant) (id ID, dropped []ID, ok bool) {
	if limit := ac.capacity.connections(kind); limit > 0 && ac.counts[kind] >= limit {
		victims := ac.victims(func(ho *holder) bool { return ho.kind == kind }, now)
		if len(victims) == 0 {
			ac.Refused++
			return 0, nil, false
		}
		dropped = append(dropped, ac.drop(slices.MinFunc(victims, compareUse)))
	}
	more, ok := ac.makeRoom(nil, ConnectionBytes, now)
	dropped = append(dropped, more...)
	if !ok {
		return 0, dropped, false
	}
	ac.latest++
	ac.held += ConnectionBytes
	ac.counts[kind]++
	ac.holders[ac.latest] = &holder{id: ac.latest, kind: kind, bytes: ConnectionBytes, progressAt: now, windowAt: now, dueAt: dueAt}
	return ac.latest, dropped, true
}

// Take charges bytes to a holder, or returns false and charges nothing. Dropped holders
// made room. An unknown holder, which was dropped, gets nothing.
func (ac *Account) Take(id ID, bytes int64, now timer.Instant) (dropped []ID, ok bool) {
	ho := ac.holders[id]
	if ho == nil {
		return nil, false
	}
	dropped, ok = ac.makeRoom(ho, bytes, now)
	if ok {
		ac.charge(ho, bytes)
	}
	return dropped, ok
}

// Force charges bytes to a holder whether there is room or not, for control traffic and for
// what is held already.
func (ac *Account) Force(id ID, bytes int64) {
	if ho := ac.holders[id]; ho != nil {
		ac.charge(ho, bytes)
	}
}

// Give returns bytes that were charged to a holder.
func (ac *Account) Give(id ID, bytes int64) {
	if ho := ac.holders[id]; ho != nil {
		ac.charge(ho, -min(bytes, ho.bytes))
	}
}

func (ac *Account) charge(ho *holder, bytes int64) {
	ho.bytes += bytes
	ac.held += bytes
}

// Enter puts a holder into a phase that ends at dueAt, 0 for no bound. A phase counts as
// progress. Idle returns all but the connection's own bytes.
func (ac *Account) Enter(id ID, phase Phase, dueAt, now timer.Instant) {
	ho := ac.holders[id]
	if ho == nil {
		return
	}
	ho.phase, ho.dueAt = phase, dueAt
	ho.progressAt, ho.since, ho.windowAt, ho.moved = now, 0, now, 0
	if phase == Idle && ho.bytes > ConnectionBytes {
		ac.charge(ho, ConnectionBytes-ho.bytes)
	}
}

// Respond says that a response is being written. It puts a holder that runs into the phase
// Response and leaves others as they are: an interim response precedes the body.
func (ac *Account) Respond(id ID, now timer.Instant) {
	if ho := ac.holders[id]; ho != nil && ho.phase == Run {
		ac.Enter(id, Response, 0, now)
	}
}

// Rank sets the rank of a holder's request; higher ones are dropped first.
func (ac *Account) Rank(id ID, rank int) {
	if ho := ac.holders[id]; ho != nil {
		ho.rank = rank
	}
}

// Advance records bytes that moved between the holder and its client.
func (ac *Account) Advance(id ID, bytes int64, now timer.Instant) {
	ho := ac.holders[id]
	if ho == nil {
		return
	}
	ho.moved += bytes
	if ho.since += bytes; ho.since >= progressBytes {
		ho.since, ho.progressAt = 0, now
	}
}

// Close removes a holder.
func (ac *Account) Close(id ID) {
	if ho := ac.holders[id]; ho != nil {
		ac.held -= ho.bytes
		ac.counts[ho.kind]--
		delete(ac.holders, id)
	}
}

// Expire removes and returns the holders whose phase is over and those that make too little
// progress.
func (ac *Account) Expire(now timer.Instant) []ID {
	isShort := ac.isShort()
	var expired []ID
	for _, ho := range ac.holders {
		if ho.isOver(isShort, now) {
			expired = append(expired, ac.drop(ho))
		}
	}
	slices.Sort(expired)
	return expired
}

// isShort reports whether little capacity is left.
func (ac *Account) isShort() bool {
	isFull := ac.capacity.Connections > 0 && ac.counts[Caller] >= ac.capacity.Connections-ac.capacity.Connections/shortShare
	return isFull || ac.capacity.Bytes > 0 && ac.held >= ac.capacity.Bytes-ac.capacity.Bytes/shortShare
}

// isOver reports whether the holder is to be dropped.
func (ho *holder) isOver(isShort bool, now timer.Instant) bool {
	if ho.dueAt != 0 && !now.Before(ho.dueAt) {
		return true
	}
	if ho.phase != Body && ho.phase != Response {
		return false
	}
	stalled := now.Sub(ho.progressAt)
	if ho.phase == Body && stalled >= bodyStall || isShort && stalled >= shortStall {
		return true
	}
	if now.Sub(ho.windowAt) < rateSpan {
		return false
	}
	isSlow := float64(ho.moved) < minRate*rateSpan.Duration().Seconds()
	ho.windowAt, ho.moved = now, 0
	return isShort && isSlow
}

// makeRoom drops holders until bytes more fit for one holder, nil for a new one. If that
// can't be done, it drops none.
func (ac *Account) makeRoom(ho *holder, bytes int64, now timer.Instant) (dropped []ID, ok bool) {
	missing := ac.held + bytes - ac.bound(ho, bytes)
	if ac.capacity.Bytes <= 0 || missing <= 0 {
		return nil, true
	}
	victims := ac.victims(func(other *holder) bool {
		return other != ho && (other.kind != Peer || other.phase != Idle)
	}, now)
	available := int64(0)
	for _, victim := range victims {
		available += victim.bytes
	}
	if available < missing {
		ac.Refused++
		return nil, false
	}
	slices.SortFunc(victims, compareUse)
	for _, victim := range victims {
		if missing <= 0 {
			break
		}
		missing -= victim.bytes
		dropped = append(dropped, ac.drop(victim))
	}
	return dropped, true
}

// bound returns how much may be held in all after a holder got bytes more. The reserved part
// is for small holders and, since their requests have run, for responses.
func (ac *Account) bound(ho *holder, bytes int64) int64 {
	isSmall := ho == nil || ho.bytes+bytes <= SmallBytes
	if isSmall || ho.phase == Run || ho.phase == Response {
		return ac.capacity.Bytes
	}
	return ac.capacity.Bytes - ac.capacity.Bytes/reservedShare
}

// victims returns the eligible holders that may be dropped for another, in no order.
func (ac *Account) victims(isEligible func(*holder) bool, now timer.Instant) []*holder {
	var victims []*holder
	for _, ho := range ac.holders {
		if ho.phase != Run && now.Sub(ho.progressAt) >= stallSpan && isEligible(ho) {
			victims = append(victims, ho)
		}
	}
	return victims
}

// compareUse orders holders by their use, the least useful first: longest without progress,
// then largest, then of the lowest rank.
func compareUse(le, ri *holder) int {
	return cmp.Or(cmp.Compare(le.progressAt, ri.progressAt), cmp.Compare(ri.bytes, le.bytes), cmp.Compare(ri.rank, le.rank), cmp.Compare(le.id, ri.id))
}

func (ac *Account) drop(ho *holder) ID {
	ac.Dropped++
	ac.Close(ho.id)
	return ho.id
}
