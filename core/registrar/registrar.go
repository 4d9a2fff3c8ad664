// Package registrar tracks the backend server beside an instance by its heartbeats
// and decides which key ranges the server may hold.
//
// A hold is a short lease on a range of integer keys, under a fencing token. Each
// reply to a heartbeat renews it for a limited time. With the option OrderTimeout,
// calls to the server do so instead, which the registrar issues as orders. Only the
// instance beside the server grants holds, so the instance knows an upper bound for
// the end of every hold: that of its own latest grant or, for grants of a former
// instance, one lease term after its own start.
//
// Registrar is a pure state machine: it reads no clock, opens no socket and starts
// no goroutine.
//
// # Usage
//
//	re, err := registrar.New(registrar.Start(now), registrar.Term(term))
//	re.SetRanges(ranges)
//	if re.ApplyHeartbeat(heartbeat, now) {
//		reply, granted := re.Grant(wanted, leaseDeadline, now)
//	}
//	isFree := re.IsFree(partition, now)
//
// With orders:
//
//	for _, or := range re.DueOrders(wanted, leaseDeadline, now) {
//		re.ApplyResult(or, result, handover, now)
//	}
package registrar

import (
	"cmp"
	"fmt"
	"slices"

	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
)

// DrainServeSpan is how long a leaving server still gets work after its announcement, so
// that its keys can move first.
const DrainServeSpan = 1200 * timer.Millisecond

const (
	// driftShare is the divisor of the clock drift margin: the server's clock may
	// run slow by 1/driftShare of a hold.
	driftShare = 50
	// minHold is the shortest hold that is granted. A shorter one would lapse before
	// the next heartbeat.
	minHold = 300 * timer.Millisecond
	// deliveryMargin is subtracted from a hold for the delivery of the reply.
	deliveryMargin = 30 * timer.Millisecond
	// DefaultMaxHold is the longest hold granted.
	DefaultMaxHold = 10 * timer.Second
	// silentAfter is how long after its latest heartbeat a server counts as silent.
	// Heartbeats are usually sent once a second, so that two have been missed.
	silentAfter = 2100 * timer.Millisecond
)

// State is the state of the backend server as its instance knows it.
type State int

const (
	// Unknown servers have not sent this instance a heartbeat.
	Unknown State = iota
	// Ready servers accept requests.
	Ready
	// Draining servers have announced that they are shutting down.
	Draining
	// Silent servers have missed their latest heartbeats.
	Silent
	// Down servers refuse connections.
	Down
)

// String returns the state's name for logs.
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

// Hold is a server's short lease on a range of keys.
type Hold struct {
	Range placer.Range
	// FencingToken increases each time the range moves to another server or its holder
	// restarts.
	FencingToken uint64
	// Handover is an opaque string that the former holder of the range left for the
	// next one, "" if there is none.
	Handover string
}

// Heartbeat is a backend server's report of its state.
type Heartbeat struct {
	// ID and StartedAt identify one run of the server. StartedAt is in milliseconds
	// since 1970 and is only compared with that of other runs.
	ID        string
	StartedAt int64
	// Sequence increases with each heartbeat of one run.
	Sequence uint64
	Service  string
	// Version is the version of the server's program, "" if it doesn't matter.
	Version string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// IsDraining announces that the server is shutting down.
	IsDraining bool
	// ColdRemaining is how much longer the server takes to warm up, 0 if it is warm.
	ColdRemaining timer.Span
	// OmitsHolds means that the heartbeat does not say which ranges the server holds.
	// Then Holds and Released are empty.
	OmitsHolds bool
	// Holds lists the ranges that the server holds or still serves requests for.
	Holds []Hold
	// Released lists the ranges given up since the last acknowledged heartbeat.
	Released []Hold
}

// Reply is the answer to a heartbeat.
type Reply struct {
	// Holds lists all ranges that the server is to hold.
	Holds []Hold
	// HoldTerm is how long the holds last, counted from when the server sent the
	// heartbeat. It is 0 if the reply renews nothing.
	HoldTerm timer.Span
}

// WantedPartition is a partition that the server is to hold.
type WantedPartition struct {
	Partition uint32
	// Epoch is the map version at which the instance obtained it.
	Epoch uint64
}

// OptionError reports an invalid option of New.
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

// Start sets when the instance started, which bounds the holds that a former
// instance granted.
func Start(at timer.Instant) Option { return func(re *Registrar) { re.startedAt = at } }

// Term sets the lease term. Holds that a former instance granted end within a term
// of Start.
func Term(term timer.Span) Option { return func(re *Registrar) { re.term = term } }

// MaxHold sets the longest hold to grant. The default is DefaultMaxHold.
func MaxHold(span timer.Span) Option { return func(re *Registrar) { re.maxHold = span } }

// partitionState is the server's hold on one partition as far as it is known.
type partitionState struct {
	// heldUntil is an upper bound for the end of the server's hold.
	heldUntil timer.Instant
	// isGranted is set once this instance has granted the partition to any run.
	isGranted bool
	// isListed reports that the latest heartbeat listed the partition under token.
	isListed bool
	token    uint64
	// epoch is the highest map version in any token for the partition that the server
	// may have seen in its current or a former run.
	epoch uint64
	// releasedHandover is the server's hand-over string for the next holder.
	releasedHandover string
	// receivedHandover is the former holder's hand-over string, kept until the server
	// holds the range.
	receivedHandover string
	// order is used only if holds are granted by orders.
	order orderState
}

// Registrar is the state of one backend server as its instance knows it.
type Registrar struct {
	startedAt timer.Instant
	term      timer.Span
	maxHold   timer.Span
	// orderTimeout bounds a call to the server. It is 0 if holds are granted by replies
	// to heartbeats.
	orderTimeout timer.Span

	latest Heartbeat
	// restarts is how often the server has restarted since this instance first
	// received a heartbeat from it, at most maxRestarts.
	restarts uint64
	isKnown  bool
	isDown   bool
	notices  []leaveNotice
	// firstEpoch is the lowest epoch in any hold that this instance granted, 0 before
	// the first. Those of former instances are lower.
	firstEpoch uint64
	// isCurrent is set once a heartbeat listed such a hold. It and all later ones were
	// sent after Start.
	isCurrent   bool
	heartbeatAt timer.Instant
	ranges      []placer.Range
	partitions  []partitionState
}

// New returns a registrar of a server in the Unknown state. The error is an
// *OptionError.
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

// SetRanges sets the key ranges of all partitions, indexed by partition. It has no
// effect if their number is unchanged. Until one lease term after Start, the server may
// hold any of them by the grants of a former instance.
func (re *Registrar) SetRanges(ranges []placer.Range) {
	if len(ranges) == len(re.ranges) {
		return
	}
	re.ranges = ranges
	re.partitions = make([]partitionState, len(ranges))
	re.clearHolds(re.formerUntil())
	if re.isKnown && !re.latest.OmitsHolds && !re.UsesOrders() {
		re.recordHolds(re.latest)
	}
}

// formerUntil returns an upper bound for the end of all holds that a former instance
// granted and that a heartbeat which may be late does not list, 0 if there are none. Any
// heartbeat may have been sent before Start and arrive late, from a former run or the
// present one. So none proves that a range is not held before one lease term has passed,
// unless heartbeats are known to be current.
func (re *Registrar) formerUntil() timer.Instant {
	if re.isCurrent {
		return 0
	}
	return re.startedAt.Add(re.term)
}

// IsDuplicate reports whether a heartbeat is a copy of the latest one, which the
// server sends again if it received no reply. It may be replied to but must not be
// applied again, since its content is older than the replies sent since.
func (re *Registrar) IsDuplicate(hb Heartbeat) bool {
	return re.isKnown && hb.Run() == re.latest.Run() && hb.Sequence == re.latest.Sequence
}

// ApplyHeartbeat updates the state by a heartbeat received at now. It ignores a
// heartbeat that is not newer than the latest one, or that must list the server's
// holds and does not. It reports whether the heartbeat was applied.
func (re *Registrar) ApplyHeartbeat(hb Heartbeat, now timer.Instant) bool {
	isSame := re.isKnown && hb.Run() == re.latest.Run()
	switch {
	case hb.OmitsHolds && len(re.ranges) > 0 && !re.UsesOrders():
		return false
	case isSame && hb.Sequence <= re.latest.Sequence:
		return false
	case re.isKnown && hb.StartedAt < re.latest.StartedAt:
		return false
	}
	if re.isKnown && !isSame {
		// A run that began after Start has nothing from a former instance. Whether that is
		// so is known only if the run before it was heard after Start.
		re.clearHolds(re.formerUntil())
		re.restarts = min(re.restarts+1, maxRestarts)
	}
	if re.isDown && isSame {
		// The server did not end after all, so that it may still hold what it was granted.
		re.clearHolds(now.Add(re.term))
	}
	re.latest, re.isKnown, re.isDown, re.heartbeatAt = hb, true, false, now
	re.bindNotices(hb, now)
	if hb.IsDraining {
		re.addNotice(leaveNotice{ServerRun: hb.Run()})
	}
	if !hb.OmitsHolds && !re.UsesOrders() {
		re.recordHolds(hb)
	}
	return true
}

// clearHolds forgets what the server holds, with an upper bound for the end of all holds
// that it may have. Hand-over strings received for the server stay, and so do epochs,
// which later tokens must not fall below. Orders in flight may still reach the next start.
func (re *Registrar) clearHolds(heldUntil timer.Instant) {
	for pt := range re.partitions {
		ps := re.partitions[pt]
		cleared := partitionState{receivedHandover: ps.receivedHandover, epoch: ps.epoch, heldUntil: heldUntil, isGranted: ps.isGranted}
		// A grant of a former instance may still be applied after a release.
		cleared.order.unansweredUntil = heldUntil
		cleared.order.inFlight, cleared.order.isGranting = ps.order.inFlight, ps.order.isGranting
		re.partitions[pt] = cleared
	}
}

// recordHolds updates the partitions by the ranges that a heartbeat lists as held and
// as released.
func (re *Registrar) recordHolds(hb Heartbeat) {
	for pt := range re.partitions {
		re.partitions[pt].isListed, re.partitions[pt].token = false, 0
	}
	for _, ho := range hb.Holds {
		re.isCurrent = re.isCurrent || re.firstEpoch != 0 && ho.FencingToken>>restartBits >= re.firstEpoch
		for _, pt := range re.overlapping(ho.Range) {
			ps := &re.partitions[pt]
			ps.isListed, ps.token = true, max(ps.token, ho.FencingToken)
		}
	}
	for pt := range re.partitions {
		ps := &re.partitions[pt]
		if !ps.isListed {
			ps.heldUntil = min(ps.heldUntil, re.formerUntil())
			continue
		}
		ps.epoch = max(ps.epoch, ps.token>>restartBits)
		ps.receivedHandover, ps.releasedHandover = "", ""
	}
	for _, fr := range hb.Released {
		for _, pt := range re.overlapping(fr.Range) {
			re.partitions[pt].releasedHandover = fr.Handover
		}
	}
}

// overlapping returns the partitions whose ranges, which are in ascending order, overlap
// the given one.
func (re *Registrar) overlapping(ra placer.Range) []int {
	first, _ := slices.BinarySearchFunc(re.ranges, ra.From, func(le placer.Range, from uint32) int {
		return cmp.Compare(le.To, from)
	})
	var found []int
	for pt := first; pt < len(re.ranges) && re.ranges[pt].From <= ra.To; pt++ {
		found = append(found, pt)
	}
	return found
}

// highestToken returns the highest token of the holds that overlap a range, or false
// if none does.
func highestToken(holds []Hold, ra placer.Range) (uint64, bool) {
	token, isFound := uint64(0), false
	for _, ho := range holds {
		if overlaps(ho.Range, ra) {
			token, isFound = max(token, ho.FencingToken), true
		}
	}
	return token, isFound
}

func overlaps(le, ri placer.Range) bool { return le.From <= ri.To && ri.From <= le.To }

// MarkDown records that the server's address refused a connection that was attempted at
// attemptedAt. It proves that the process has ended and holds nothing, unless the server
// is shutting down: then it stops listening before it ends, and the call has no effect. Nor
// has it if a heartbeat was received after the attempt, since a run that started meanwhile
// may have been granted keys. It reports whether it had an effect.
func (re *Registrar) MarkDown(attemptedAt, now timer.Instant) bool {
	if re.IsLeaving(now) || attemptedAt < re.heartbeatAt {
		return false
	}
	re.isDown = true
	re.clearHolds(0)
	return true
}

// State returns the server's state at now.
func (re *Registrar) State(now timer.Instant) State {
	switch {
	case !re.isKnown:
		return Unknown
	case re.IsLeaving(now):
		return Draining
	case re.isDown:
		return Down
	case now.Sub(re.heartbeatAt) > silentAfter:
		return Silent
	default:
		return Ready
	}
}

// SilentAt returns when the server counts as silent unless another heartbeat arrives.
func (re *Registrar) SilentAt() timer.Instant { return re.heartbeatAt.Add(silentAfter) }

// LatestHeartbeat returns the latest applied heartbeat and when it was received.
func (re *Registrar) LatestHeartbeat() (Heartbeat, timer.Instant) { return re.latest, re.heartbeatAt }

// ExcludeFormer records that no former instance can have granted the partition, so that
// the server holds it only if this instance granted it or a heartbeat lists it. It has no
// effect if holds are granted by orders, since a grant may take effect late.
func (re *Registrar) ExcludeFormer(pt uint32) {
	if int(pt) >= len(re.partitions) || re.UsesOrders() {
		return
	}
	if ps := &re.partitions[pt]; !ps.isGranted && !ps.isListed {
		ps.heldUntil = 0
	}
}

// IsFree reports whether the server provably does not hold the partition at now. A
// partition without a range is free one lease term after Start, or once heartbeats are
// known to be current.
func (re *Registrar) IsFree(pt uint32, now timer.Instant) bool {
	if int(pt) >= len(re.partitions) {
		return !now.Before(re.formerUntil())
	}
	ps := &re.partitions[pt]
	if re.UsesOrders() {
		return ps.isOrderFree(now)
	}
	return !now.Before(ps.heldUntil)
}

// MayHold reports whether the server may hold the partition at now.
func (re *Registrar) MayHold(pt uint32, now timer.Instant) bool { return !re.IsFree(pt, now) }

// HeldAt returns the latest map version in a fencing token under which the server is known
// to have held the partition, by a grant of this instance or a heartbeat of any age, or 0.
func (re *Registrar) HeldAt(pt uint32) uint64 {
	if int(pt) >= len(re.partitions) {
		return 0
	}
	return re.partitions[pt].epoch
}

// ReleasedHandover returns the hand-over string that the server left for a partition
// that it has released, or "".
func (re *Registrar) ReleasedHandover(pt uint32) string {
	if int(pt) >= len(re.partitions) {
		return ""
	}
	return re.partitions[pt].releasedHandover
}

// SetReceivedHandover stores a former holder's hand-over string, to be granted with the
// partition until the server holds it.
func (re *Registrar) SetReceivedHandover(pt uint32, handover string) {
	if int(pt) < len(re.partitions) {
		re.partitions[pt].receivedHandover = handover
	}
}
