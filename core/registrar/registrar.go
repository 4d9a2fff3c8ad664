// Package registrar keeps what an instance knows of the backend server beside
// it, from the server's heartbeats, and decides which keys the server is told
// to hold.
//
// The server holds ranges of numbered keys, each under a fencing token, for a
// while after each heartbeat. Only the instance beside it answers heartbeats,
// so the instance knows an upper bound of every hold: what it granted last, or,
// for what a former instance granted, a lease term after its own start.
//
// Registrar is a state machine without a clock, a socket or a goroutine.
//
// # Usage
//
//	re, err := registrar.New(registrar.Start(now), registrar.Term(term))
//	re.Resize(ranges, now)
//	if re.Take(heartbeat, now) {
//		reply := re.Grant(wanted, leaseDeadline, now)
//	}
//	isFree := re.IsFree(partition, now)
package registrar

import (
	"fmt"

	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
)

const (
	// driftShare is the inverse share of a hold by which the server's clock may
	// run slow.
	driftShare = 50
	// minHold is the shortest hold worth granting: a shorter one lapses before
	// the next heartbeat.
	minHold = 300 * timer.Millisecond
	// deliveryMargin is taken off a hold for the reply's way to the server.
	deliveryMargin = 30 * timer.Millisecond
	// DefaultMaxHold is the longest hold granted.
	DefaultMaxHold = 10 * timer.Second
	// silentAfter is how long without a heartbeat a server counts as silent: two
	// heartbeats of the usual second were missed.
	silentAfter = 2100 * timer.Millisecond
)

// State is what is known of the server's state.
type State int

const (
	// Unknown servers have not been heard of by this instance.
	Unknown State = iota
	// Ready servers take work.
	Ready
	// Draining servers said that they leave.
	Draining
	// Silent servers have sent no heartbeat for a while.
	Silent
	// Down servers accept no connection.
	Down
)

// String returns the state's name in logs.
func (st State) String() string {
	switch st {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Silent:
		return "silent"
	case Down:
		return "down"
	default:
		return "unknown"
	}
}

// Hold is a range of keys that a server holds or is to hold.
type Hold struct {
	Range placer.Range
	// FencingToken is the fencing token. It grows whenever the range passes on.
	FencingToken uint64
	// Handover is the former holder's word for the range, "" if there is none.
	Handover string
}

// Heartbeat is what a backend server says of itself.
type Heartbeat struct {
	// ID and BornAt name one start of the server. BornAt is in milliseconds
	// since 1970, for comparison with other starts only.
	ID        string
	StartedAt int64
	// Sequence grows with each heartbeat of one start.
	Sequence   uint64
	Service    string
	Slots      int
	IsDraining bool
	// ColdRemaining is how much longer the server stays cold.
	ColdRemaining timer.Span
	// Holds lists what the server holds or still works on.
	Holds []Hold
	// Released lists what it has given up since its last acknowledged heartbeat.
	Released []Hold
}

// Reply is the answer to a heartbeat.
type Reply struct {
	// Holds is all that the server is to hold, for Span from when it sent the
	// heartbeat.
	Holds []Hold
	// HoldTerm is 0 if the reply renews nothing.
	HoldTerm timer.Span
}

// WantedPartition is a partition that the server is to hold.
type WantedPartition struct {
	Partition uint32
	// Epoch is the map version at which the instance obtained it.
	Epoch uint64
}

// OptionError is a bad option of New.
type OptionError struct {
	Option string
	Reason string
}

// Error implements error.
func (er *OptionError) Error() string {
	return fmt.Sprintf("registrar: option %s: %s", er.Option, er.Reason)
}

// Option sets one option of New.
type Option func(*Registrar)

// Start sets when the instance started.
func Start(at timer.Instant) Option { return func(re *Registrar) { re.startedAt = at } }

// Term sets the lease term, which bounds the holds that a former instance may
// have granted.
func Term(term timer.Span) Option { return func(re *Registrar) { re.term = term } }

// MaxHold sets the longest hold to grant.
func MaxHold(span timer.Span) Option { return func(re *Registrar) { re.maxHold = span } }

// custody is what is known of one partition at the server.
type custody struct {
	// until is when the server's hold has ended at the latest.
	until timer.Instant
	// isListed says that the latest heartbeat named it.
	isListed bool
	fence    uint64
	// epoch is the highest map version in a token for the partition that the
	// server, or its former start, may have seen.
	epoch uint64
	// freed is the server's word for the range, for the next holder.
	freed string
	// received is the former holder's word, until the server holds the range.
	received string
}

// Registrar is the state of one backend server as its instance knows it.
type Registrar struct {
	startedAt timer.Instant
	term      timer.Span
	maxHold   timer.Span

	latest Heartbeat
	// starts counts the starts of the server that this instance has seen.
	starts   uint64
	isKnown  bool
	isDown   bool
	isLeaver bool
	beatAt   timer.Instant
	ranges   []placer.Range
	keys     []custody
}

// New returns a registrar that has heard nothing.
func New(opts ...Option) (*Registrar, error) {
	re := &Registrar{maxHold: DefaultMaxHold}
	for _, opt := range opts {
		opt(re)
	}
	if re.term <= 0 {
		return nil, &OptionError{Option: "Term", Reason: "must be above 0"}
	}
	if re.maxHold <= 0 {
		return nil, &OptionError{Option: "MaxHold", Reason: "must be above 0"}
	}
	return re, nil
}

// SetRanges takes the ranges of all partitions. Until the server has been heard
// of, it may hold any of them by the grants of a former instance.
func (re *Registrar) SetRanges(ranges []placer.Range) {
	if len(ranges) == len(re.ranges) {
		return
	}
	re.ranges = ranges
	re.keys = make([]custody, len(ranges))
	for pt := range re.keys {
		re.keys[pt].until = re.startedAt.Add(re.term)
	}
	if re.isKnown {
		re.list(re.latest)
	}
}

// IsDuplicate reports whether a heartbeat is another copy of the latest one, which the
// server sends when it got no reply. What it says is older than the replies since,
// so that it must not be taken again, but it may be replied to.
func (re *Registrar) IsDuplicate(hb Heartbeat) bool {
	return re.isKnown && hb.ID == re.latest.ID && hb.StartedAt == re.latest.StartedAt && hb.Sequence == re.latest.Sequence
}

// ApplyHeartbeat takes a heartbeat received at now. It reports false for one that is
// older than another already taken, which changes nothing.
func (re *Registrar) ApplyHeartbeat(hb Heartbeat, now timer.Instant) bool {
	isSame := re.isKnown && hb.ID == re.latest.ID && hb.StartedAt == re.latest.StartedAt
	switch {
	case isSame && hb.Sequence <= re.latest.Sequence:
		return false
	case re.isKnown && hb.StartedAt < re.latest.StartedAt:
		return false
	}
	if re.isKnown && !isSame {
		re.forget()
		re.isLeaver = false
		re.starts = min(re.starts+1, maxStarts)
	}
	re.latest, re.isKnown, re.isDown, re.beatAt = hb, true, false, now
	re.list(hb)
	return true
}

// forget frees all: another start of the server holds nothing.
func (re *Registrar) forget() {
	for pt := range re.keys {
		re.keys[pt] = custody{received: re.keys[pt].received, epoch: re.keys[pt].epoch}
	}
}

// list takes what a heartbeat says of the partitions.
func (re *Registrar) list(hb Heartbeat) {
	for pt, ra := range re.ranges {
		cu := &re.keys[pt]
		fence, isListed := find(hb.Holds, ra)
		cu.isListed = isListed
		if isListed {
			cu.fence = fence
			cu.epoch = max(cu.epoch, fence>>startBits)
			cu.received = ""
			cu.freed = ""
			continue
		}
		cu.until, cu.fence = 0, 0
	}
	for _, fr := range hb.Released {
		for pt, ra := range re.ranges {
			if overlaps(fr.Range, ra) {
				re.keys[pt].freed = fr.Handover
			}
		}
	}
}

func find(holds []Hold, ra placer.Range) (uint64, bool) {
	fence, isFound := uint64(0), false
	for _, ho := range holds {
		if overlaps(ho.Range, ra) {
			fence, isFound = max(fence, ho.FencingToken), true
		}
	}
	return fence, isFound
}

func overlaps(le, ri placer.Range) bool { return le.From <= ri.To && ri.From <= le.To }

// MarkLeaving takes the server's word that it leaves, given outside a heartbeat.
func (re *Registrar) MarkLeaving(id string) bool {
	if !re.isKnown || re.latest.ID != id {
		return false
	}
	re.isLeaver = true
	return true
}

// MarkDown takes the evidence that no process accepts connections at the server's
// address: whatever it held, it holds no more. It says nothing of a server that
// leaves: that one stops listening before it ends.
func (re *Registrar) MarkDown() {
	if re.isLeaving() {
		return
	}
	re.isDown = true
	re.forget()
}

func (re *Registrar) isLeaving() bool { return re.latest.IsDraining || re.isLeaver }

// State returns what is known of the server at now.
func (re *Registrar) State(now timer.Instant) State {
	switch {
	case !re.isKnown:
		return Unknown
	case re.isDown:
		return Down
	case re.isLeaving():
		return Draining
	case now.Sub(re.beatAt) > silentAfter:
		return Silent
	default:
		return Ready
	}
}

// SilentAt returns when the server counts as silent unless it is heard again.
func (re *Registrar) SilentAt() timer.Instant { return re.beatAt.Add(silentAfter) }

// LatestHeartbeat returns the latest heartbeat and when it was received.
func (re *Registrar) LatestHeartbeat() (Heartbeat, timer.Instant) { return re.latest, re.beatAt }

// IsFree reports whether the server provably doesn't hold the partition at now.
func (re *Registrar) IsFree(pt uint32, now timer.Instant) bool {
	if int(pt) >= len(re.keys) {
		return re.isKnown || !now.Before(re.startedAt.Add(re.term))
	}
	cu := re.keys[pt]
	return !now.Before(cu.until) || re.isKnown && !cu.isListed && cu.until == 0
}

// MayHold reports whether the server may hold the partition at now.
func (re *Registrar) MayHold(pt uint32, now timer.Instant) bool { return !re.IsFree(pt, now) }

// ReleasedHandover returns the server's word for a partition that it has given up.
func (re *Registrar) ReleasedHandover(pt uint32) string {
	if int(pt) >= len(re.keys) {
		return ""
	}
	return re.keys[pt].freed
}

// SetReceivedHandover keeps a former holder's word until the server holds the partition.
func (re *Registrar) SetReceivedHandover(pt uint32, handover string) {
	if int(pt) < len(re.keys) {
		re.keys[pt].received = handover
	}
}
