// Package leaser implements the leases under which instances own keys.
//
// Each incarnation of an instance, that is one run of its process, holds one
// lease. Its row in the table, a versioned store with compare-and-set, names up to
// three watchers: the instances that grant the lease by acknowledging renewals,
// identified by incarnation. The lease is valid
// while a majority of the watchers has acknowledged a renewal within the term.
// The holder measures the term from when it sent the renewal, and each watcher
// from when it received it, so the lease ends at the holder before any watcher
// considers it expired.
//
// Before another instance takes over, a majority of the watchers must have
// revoked the incarnation. A watcher does so only once its own promise has
// expired, and permanently. The takeover then updates the row with a
// compare-and-set at the version that named these watchers.
//
// Holder and Watcher are pure state machines: they read no clock, open no
// socket and start no goroutine.
//
// # Usage
//
//	ho, err := leaser.NewHolder(leaser.HolderIncarnation(7), leaser.HolderTerm(term))
//	ho.Commit(row)          // after reading the row back from the table
//	re := ho.Renewal(now)   // send it to each of ho.Targets()
//	ho.Acknowledge(ack)     // for each answer
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

const (
	// DefaultTerm is how long a watcher's promise lasts after a renewal.
	DefaultTerm = 700 * timer.Millisecond
	// driftShare is the divisor of the clock drift margin: two clocks may drift
	// apart by 1/driftShare of the term.
	driftShare = 50
	// WatcherCount is the number of watchers of a lease. A row names fewer if
	// there are fewer candidates.
	WatcherCount = 3
)

// OptionError reports an invalid option of NewHolder or NewWatcher.
type OptionError struct {
	Option string
	Reason string
}

// Error implements error.
func (er *OptionError) Error() string {
	return fmt.Sprintf("leaser: option %s: %s", er.Option, er.Reason)
}

// WatcherID identifies a watcher, the instance beside BackendServer in one
// incarnation.
type WatcherID struct {
	BackendServer string
	Incarnation   uint64
}

// Row is the part of an instance's row in the table that describes the lease of
// Incarnation.
type Row struct {
	Incarnation uint64
	// Version is the version at which the table holds the row.
	Version  uint64
	Watchers []WatcherID
}

// Renewal is the holder's request to a watcher to extend its promise.
type Renewal struct {
	// Holder is the holder's incarnation.
	Holder uint64
	// SentAt is on the holder's clock. The acknowledgement returns it.
	SentAt timer.Instant
}

// Ack is a watcher's answer to a renewal. Watcher and Holder are incarnations.
type Ack struct {
	Watcher uint64
	Holder  uint64
	// SentAt is copied from the renewal.
	SentAt timer.Instant
	// Revoked reports that the watcher has revoked the holder and will never
	// acknowledge it again.
	Revoked bool
}

// HolderOption sets one option of NewHolder.
type HolderOption func(*Holder)

// HolderIncarnation sets the incarnation that holds the lease.
func HolderIncarnation(incarnation uint64) HolderOption {
	return func(ho *Holder) { ho.incarnation = incarnation }
}

// HolderTerm sets the watchers' term. The holder's own lease is shorter by the
// clock drift margin.
func HolderTerm(term timer.Span) HolderOption {
	return func(ho *Holder) { ho.term = term }
}

// Holder is the state of an instance's own lease.
type Holder struct {
	incarnation uint64
	term        timer.Span
	committed   Row
	// proposed is the row of a compare-and-set whose outcome is not known yet.
	proposed *Row
	// prepared is a row that is about to be proposed and whose watchers already
	// receive renewals.
	prepared *Row
	// acked holds, by watcher, when the latest acknowledged renewal was sent.
	acked   map[uint64]timer.Instant
	revoked bool
}

// NewHolder returns a holder without a row, whose lease is not valid. The error
// is an *OptionError.
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

// Committed returns the latest row that is known to be in the table.
func (ho *Holder) Committed() Row { return ho.committed }

// Prepare adds a row's watchers to Targets before the row is proposed. Without
// it the lease would lapse at Propose until the new watchers acknowledged.
func (ho *Holder) Prepare(row Row) { ho.prepared = &row }

// IsPrepared reports whether a majority of the prepared row's watchers has
// acknowledged, so that the lease would be valid at now under that row alone.
func (ho *Holder) IsPrepared(now timer.Instant) bool {
	return ho.prepared != nil && now.Before(ho.rowDeadline(*ho.prepared))
}

// Propose must be called before issuing a compare-and-set that replaces watchers.
// Until Commit, the lease needs a majority of the watchers of each of the two
// rows, since either may be in the table.
func (ho *Holder) Propose(row Row) {
	ho.proposed, ho.prepared = &row, nil
}

// Commit records the row that was read back from the table and ends the proposal,
// whether it took effect or not. While a compare-and-set may still take effect, the
// caller must not pass the row that it would replace. A row of another incarnation
// revokes the lease for good.
func (ho *Holder) Commit(row Row) {
	if row.Incarnation != ho.incarnation {
		ho.revoked = true
		return
	}
	ho.committed = row
	ho.proposed = nil
	ho.dropUnnamedAcks()
}

// dropUnnamedAcks drops the acknowledgements of watchers that no row names.
func (ho *Holder) dropUnnamedAcks() {
	for watcher := range ho.acked {
		if !ho.committed.HasWatcher(watcher) && (ho.prepared == nil || !ho.prepared.HasWatcher(watcher)) {
			delete(ho.acked, watcher)
		}
	}
}

// WatcherIndex returns the index of the incarnation among the row's watchers, or
// -1 if it is none of them.
func (ro Row) WatcherIndex(watcher uint64) int {
	return slices.IndexFunc(ro.Watchers, func(wt WatcherID) bool { return wt.Incarnation == watcher })
}

// HasWatcher reports whether the row names the incarnation as a watcher.
func (ro Row) HasWatcher(watcher uint64) bool { return ro.WatcherIndex(watcher) >= 0 }

// Renewal returns the renewal to send to each of Targets at now.
func (ho *Holder) Renewal(now timer.Instant) Renewal {
	return Renewal{Holder: ho.incarnation, SentAt: now}
}

// Targets lists the watchers of the committed, proposed and prepared rows, which
// are to receive renewals.
func (ho *Holder) Targets() []WatcherID {
	targets := slices.Clone(ho.committed.Watchers)
	for _, row := range []*Row{ho.proposed, ho.prepared} {
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

// Acknowledge records a watcher's answer. It ignores answers from watchers that no
// row names, answers to another incarnation, and those older than the latest one
// of the same watcher. A watcher that has revoked the holder no longer counts
// towards a majority.
func (ho *Holder) Acknowledge(ack Ack) {
	if ack.Holder != ho.incarnation {
		return
	}
	isNamed := ho.committed.HasWatcher(ack.Watcher) || ho.proposed != nil && ho.proposed.HasWatcher(ack.Watcher) ||
		ho.prepared != nil && ho.prepared.HasWatcher(ack.Watcher)
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

// Deadline returns when the lease ends unless further renewals are acknowledged,
// on the holder's clock. It is 0 if the lease is revoked or too few watchers have acknowledged.
func (ho *Holder) Deadline() timer.Instant {
	if ho.revoked {
		return 0
	}
	deadline := ho.rowDeadline(ho.committed)
	if ho.proposed != nil {
		deadline = min(deadline, ho.rowDeadline(*ho.proposed))
	}
	return deadline
}

// rowDeadline returns the deadline of a lease that needs a majority of the row's
// watchers, or 0 without one.
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

// UnresponsiveWatchers lists the watchers of the committed row that have not
// acknowledged any renewal sent at or after since.
func (ho *Holder) UnresponsiveWatchers(since timer.Instant) []WatcherID {
	var unresponsive []WatcherID
	for _, wt := range ho.committed.Watchers {
		if at, ok := ho.acked[wt.Incarnation]; !ok || at.Before(since) {
			unresponsive = append(unresponsive, wt)
		}
	}
	return unresponsive
}

// Majority returns the smallest number that is more than half of count.
func Majority(count int) int { return count/2 + 1 }
