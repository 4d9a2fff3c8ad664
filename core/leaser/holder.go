// Package leaser keeps the leases under which instances own keys.
//
// Each instance holds one lease for its incarnation. Its row in the table
// names up to three watchers, by incarnation. The lease is valid while a
// majority of them acknowledged a renewal lately. The holder counts from when
// it sent the renewal and a watcher from when it received it, so the holder's
// lease ends first. A takeover needs a majority of watchers that revoked the
// incarnation, each for good and only after its own promise expired, and then
// a compare-and-set of the row at the version that named those watchers.
//
// Holder and Watcher are state machines without a clock, a socket or a
// goroutine.
//
// # Usage
//
//	ho, err := leaser.NewHolder(leaser.HolderIncarnation(7), leaser.HolderTerm(term))
//	ho.Commit(row)                 // the row was read back from the table
//	re := ho.Renewal(now)          // send it to each of ho.Targets()
//	ho.Acknowledge(watcher, ack)   // for each answer
//	valid := ho.IsValid(now)
//
//	wa, err := leaser.NewWatcher(leaser.WatcherTerm(term))
//	ack := wa.Renew(re, now)
//	vote := wa.Revoke(holder, now)
package leaser

import (
	"fmt"
	"slices"

	"cornellanding.example/core/timer"
)

// The parts of a lease term.
const (
	// DefaultTerm is how long a watcher's promise lasts after a renewal.
	DefaultTerm = 700 * timer.Millisecond
	// driftShare is the inverse share of the term by which two clocks may
	// drift apart.
	driftShare = 50
	// WatcherCount is how many watchers a row names if there are enough.
	WatcherCount = 3
)

// OptionError is a bad option of NewHolder or NewWatcher.
type OptionError struct {
	Option string
	Reason string
}

// Error implements error.
func (er *OptionError) Error() string {
	return fmt.Sprintf("leaser: option %s: %s", er.Option, er.Reason)
}

// WatcherID names a watcher by its backend server and incarnation.
type WatcherID struct {
	BackendServer string
	Incarnation   uint64
}

// Row is the part of an instance's row in the table that the lease rests on.
type Row struct {
	Incarnation uint64
	// Version is the table's version of the row.
	Version  uint64
	Watchers []WatcherID
}

// Renewal asks a watcher to extend its promise.
type Renewal struct {
	Holder uint64
	// SentAt is on the holder's clock and comes back in the acknowledgement.
	SentAt timer.Instant
}

// Ack answers a renewal.
type Ack struct {
	Watcher uint64
	Holder  uint64
	// SentAt is the renewal's.
	SentAt timer.Instant
	// Revoked says that the watcher will never acknowledge this holder again.
	Revoked bool
}

// HolderOption sets one option of NewHolder.
type HolderOption func(*Holder)

// HolderIncarnation sets the incarnation that holds the lease.
func HolderIncarnation(incarnation uint64) HolderOption {
	return func(ho *Holder) { ho.incarnation = incarnation }
}

// HolderTerm sets the watchers' term. The holder counts less by the drift
// margin.
func HolderTerm(term timer.Span) HolderOption {
	return func(ho *Holder) { ho.term = term }
}

// Holder is the state of an instance's own lease.
type Holder struct {
	incarnation uint64
	term        timer.Span
	committed   Row
	// pending is the row of a compare-and-set whose outcome is not yet read.
	pending *Row
	// prospect is a row about to be proposed, whose watchers are renewed ahead.
	prospect *Row
	acked    map[uint64]timer.Instant
	revoked  bool
}

// NewHolder returns a holder without a row, whose lease is not valid.
func NewHolder(opts ...HolderOption) (*Holder, error) {
	ho := &Holder{term: DefaultTerm, acked: map[uint64]timer.Instant{}}
	for _, opt := range opts {
		opt(ho)
	}
	if ho.incarnation == 0 {
		return nil, &OptionError{Option: "HolderIncarnation", Reason: "must not be 0"}
	}
	if ho.term <= 0 {
		return nil, &OptionError{Option: "HolderTerm", Reason: "must be above 0"}
	}
	return ho, nil
}

// Incarnation returns the incarnation that holds the lease.
func (ho *Holder) Incarnation() uint64 { return ho.incarnation }

// Committed returns the row the lease rests on.
func (ho *Holder) Committed() Row { return ho.committed }

// Prepare renews the watchers of a row ahead of its proposal. Otherwise the lease
// would lapse at the proposal until they have acknowledged.
func (ho *Holder) Prepare(row Row) { ho.prospect = &row }

// IsPrepared reports whether the lease would be valid at now if it rested on the
// prepared row alone.
func (ho *Holder) IsPrepared(now timer.Instant) bool {
	return ho.prospect != nil && now.Before(ho.rowDeadline(*ho.prospect))
}

// Propose must be called before a compare-and-set that replaces watchers is
// issued. Until Commit, the lease needs a majority of both rows' watchers.
func (ho *Holder) Propose(row Row) {
	ho.pending, ho.prospect = &row, nil
}

// Commit tells the row that was read back from the table. If it is the
// proposed one the proposal took effect; in either case the proposal is over.
func (ho *Holder) Commit(row Row) {
	if row.Incarnation != ho.incarnation {
		ho.revoked = true
		return
	}
	ho.committed = row
	ho.pending = nil
	ho.forgetStrangers()
}

func (ho *Holder) forgetStrangers() {
	for watcher := range ho.acked {
		if !ho.committed.HasWatcher(watcher) && (ho.prospect == nil || !ho.prospect.HasWatcher(watcher)) {
			delete(ho.acked, watcher)
		}
	}
}

// WatcherIndex returns the position of the incarnation among the row's watchers, or -1.
func (ro Row) WatcherIndex(watcher uint64) int {
	return slices.IndexFunc(ro.Watchers, func(wt WatcherID) bool { return wt.Incarnation == watcher })
}

// HasWatcher reports whether the row names the incarnation as a watcher.
func (ro Row) HasWatcher(watcher uint64) bool { return ro.WatcherIndex(watcher) >= 0 }

// Renewal returns the renewal to send at now.
func (ho *Holder) Renewal(now timer.Instant) Renewal {
	return Renewal{Holder: ho.incarnation, SentAt: now}
}

// Targets lists the watchers to which renewals go.
func (ho *Holder) Targets() []WatcherID {
	targets := slices.Clone(ho.committed.Watchers)
	for _, row := range []*Row{ho.pending, ho.prospect} {
		if row == nil {
			continue
		}
		for _, wt := range row.Watchers {
			if !slices.Contains(targets, wt) {
				targets = append(targets, wt)
			}
		}
	}
	return targets
}

// Acknowledge takes a watcher's answer. Answers of watchers that no row names,
// to another incarnation, or older than the latest one change nothing.
func (ho *Holder) Acknowledge(ack Ack) {
	if ack.Holder != ho.incarnation {
		return
	}
	isNamed := ho.committed.HasWatcher(ack.Watcher) || ho.pending != nil && ho.pending.HasWatcher(ack.Watcher) ||
		ho.prospect != nil && ho.prospect.HasWatcher(ack.Watcher)
	if !isNamed {
		return
	}
	if ack.Revoked {
		delete(ho.acked, ack.Watcher)
		return
	}
	if last, ok := ho.acked[ack.Watcher]; !ok || last.Before(ack.SentAt) {
		ho.acked[ack.Watcher] = ack.SentAt
	}
}

// Deadline returns when the lease ends if nothing more is acknowledged. It is
// 0 for a lease that is not valid at all.
func (ho *Holder) Deadline() timer.Instant {
	if ho.revoked {
		return 0
	}
	deadline := ho.rowDeadline(ho.committed)
	if ho.pending != nil {
		deadline = min(deadline, ho.rowDeadline(*ho.pending))
	}
	return deadline
}

func (ho *Holder) rowDeadline(row Row) timer.Instant {
	need := Majority(len(row.Watchers))
	var acks []timer.Instant
	for _, wt := range row.Watchers {
		if at, ok := ho.acked[wt.Incarnation]; ok {
			acks = append(acks, at)
		}
	}
	if len(row.Watchers) == 0 || len(acks) < need {
		return 0
	}
	slices.Sort(acks)
	oldestNeeded := acks[len(acks)-need]
	return oldestNeeded.Add(ho.term - ho.term/driftShare)
}

// IsValid reports whether the lease is valid at now.
func (ho *Holder) IsValid(now timer.Instant) bool {
	return now.Before(ho.Deadline())
}

// UnresponsiveWatchers lists the watchers of the committed row that acknowledged nothing
// sent since the instant.
func (ho *Holder) UnresponsiveWatchers(since timer.Instant) []WatcherID {
	var silent []WatcherID
	for _, wt := range ho.committed.Watchers {
		if at, ok := ho.acked[wt.Incarnation]; !ok || at.Before(since) {
			silent = append(silent, wt)
		}
	}
	return silent
}

// Majority returns how many of count are more than half.
func Majority(count int) int { return count/2 + 1 }
