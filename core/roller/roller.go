package roller

import (
	"cmp"
	"math"
	"slices"

	"cornellanding.example/core/timer"
	"github.com/cespare/xxhash/v2"
)

const (
	// pollInterval separates polls of the gate of a canary, up to closeInterval where there are
	// more than two: a grant must outlast a lost poll. canaryInterval then separates polls of
	// any canary, which bounds the acting instance's work.
	// slowInterval separates polls of the old servers that canaries are compared with,
	// closeInterval those of servers that are to obtain or to end something, and
	// reportInterval the reports to the instances that may take over.
	pollInterval   = 250 * timer.Millisecond
	canaryInterval = pollInterval / 2
	slowInterval   = 2 * timer.Second
	closeInterval  = 400 * timer.Millisecond
	reportInterval = 700 * timer.Millisecond
	// takeoverSpan is how long the acting instance may stay silent, and takeoverStep what
	// each further instance waits in addition.
	takeoverSpan = 2 * timer.Second
	takeoverStep = 700 * timer.Millisecond
	// canaryShare is the canaries' share of the service's traffic. The plan's bound is
	// 0.06.
	canaryShare = 0.055
	// A share is split over up to maxSplit canaries with minShare eighths each at least, as
	// servers differ in speed: with a single canary, 39 of 400 versions five times slower were
	// found too late, with two 4. Servers of a shared service have no shares of their own.
	maxSplit = 4
	minShare = 2
	// minSampled is how many old servers are polled at least. Servers differ in speed by a
	// factor of three: against two old ones, 1 good version in 20 was rolled back as slow.
	minSampled = 8
	// sampleMargin lowers the estimate of a service's requests from a sample of its
	// servers, some of which have more keys than others.
	sampleMargin = 0.8
	// budgetMargin is the part of the exposure that is granted. The rest is for requests
	// counted late.
	budgetMargin = 0.9
	slackMargin  = 0.8
	// reserveAhead is for how long grants are reserved in the stored state. A successor
	// counts all that is reserved as spent.
	reserveAhead = 10 * timer.Second
	// canarySpan is how long a canary may be absent or not ready before it is replaced.
	canarySpan = 3 * timer.Second
	// serverWait bounds how long an order waits for the first server of its version, which
	// may be starting.
	serverWait = 10 * timer.Second
	// stopSpan is after how long a gate that was not reached has stopped after a rollback:
	// its grant has ended by then.
	stopSpan = grantTerm + 200*timer.Millisecond
	// moveLead is how long before the deadline at the latest all traffic begins to move, so
	// that running requests can end.
	moveLead = 6 * timer.Second
	// decideLead is how long before the deadline at the latest a version in doubt is rolled
	// back, so that operators are told in time.
	decideLead = 2 * timer.Second
	// lingerSpan is how long the acting instance reports that it has finished.
	lingerSpan = 2 * timer.Second
	// stallSpan is for how long writes by the acting instance may fail before it lets another
	// one take over, which may still reach the store.
	stallSpan = timer.Second
)

// rampAt are the parts of the duration after which the steps of the ramp begin, rampShares
// the shares of traffic that they give, and moveAt is when all traffic moves. Together
// they stay below 0.08 of the requests of the whole duration.
var (
	rampAt     = []float64{0.5, 0.6, 0.7}
	rampShares = []float64{0.08, 0.12, 0.2}
)

const moveAt = 0.8

// Bounds are the bounds of operators on rollouts.
type Bounds struct {
	// ExposureShare is the share of a service's requests that a bad version may get, and
	// ExposureSlack a number of requests beyond it.
	ExposureShare float64
	ExposureSlack float64
}

// DefaultBounds are the bounds if operators set none.
var DefaultBounds = Bounds{ExposureShare: 0.1, ExposureSlack: 50}

// Member is a backend server of the service with the instance beside it.
type Member struct {
	Incarnation uint64
	Server      string
	Version     string
	// Weight is the member's weight in the map in force.
	Weight uint32
}

// Report is what a gate reports to the acting instance.
type Report struct {
	// StateVersion and MapVersion are those that the instance follows.
	StateVersion uint64
	MapVersion   uint64
	// Started counts the requests started since the order, Routes the responses.
	Started uint64
	Routes  map[string]Counts
	// Running is how many requests run on the server, Pending how many partitions the
	// instance is to obtain, and Held how many its server may hold.
	Running int
	Pending int
	Held    int
	// IsReady means that the server accepts requests, IsCold that it is cold, and IsNew
	// that it has just started.
	IsReady bool
	IsCold  bool
	IsNew   bool
}

// Poll is a request to an instance for a report. It carries the state, and a grant if the
// ceiling is above 0.
type Poll struct {
	To    uint64
	Grant Grant
	// IsDone tells those who may take over that nothing is left to be done, and IsStalled that
	// the acting instance can't write.
	IsDone    bool
	IsStalled bool
	// HasState means that the instance follows the state already.
	HasState bool
}

// gateView is what the acting instance knows of a gate.
type gateView struct {
	latest   Report
	isKnown  bool
	heardAt  timer.Instant
	pollAt   timer.Instant
	ceiling  uint64
	rate     float64 // of starts, in requests per second
	joinedAt timer.Instant
}

// Roller is one instance's view of the rollouts of one service. It is the acting one, may
// take over, or only watches.
type Roller struct {
	self   uint64
	bounds Bounds

	st            State
	order         Order
	configVersion uint64
	// orderedAt is a lower bound of when the order was written.
	orderedAt timer.Instant
	// needAt is since when the state has called for work by an acting instance.
	needAt  timer.Instant
	fleet   Fleet
	heardAt timer.Instant
	// isDoneHeard means that the acting instance reported to have finished.
	isDoneHeard bool

	gates      map[uint64]*gateView
	ju         *Judge
	evaluateAt timer.Instant
	startAt    timer.Instant
	deadlineAt timer.Instant
	stateAt    timer.Instant
	seen       float64
	rate       float64
	// isInherited means that a former acting instance may have made grants for the order.
	isInherited bool
	// statusOf is the order and outcome whose status was written last.
	statusOf   statusKey
	finishedAt timer.Instant
	// failingAt is since when writes have failed, 0 if the latest one has not.
	failingAt timer.Instant
}

type statusKey struct {
	order   uint64
	outcome Outcome
}

// Option sets one option of New.
type Option func(*Roller)

// WithBounds sets the bounds. The default is DefaultBounds.
func WithBounds(bo Bounds) Option { return func(ro *Roller) { ro.bounds = bo } }

// New returns the Roller of the instance of an incarnation.
func New(self uint64, opts ...Option) *Roller {
	ro := &Roller{self: self, bounds: DefaultBounds, gates: map[uint64]*gateView{}, ju: NewJudge()}
	for _, opt := range opts {
		opt(ro)
	}
	return ro
}

// State returns the state as known.
func (ro *Roller) State() State { return ro.st }

// Verdict returns what the acting instance knows of the new version.
func (ro *Roller) Verdict() Verdict { return ro.ju.Verdict() }

// IsActing reports whether this instance is the acting one.
func (ro *Roller) IsActing() bool { return ro.st.Version != 0 && ro.st.Actor == ro.self }

// Observe applies a stored state that is newer than the one known. WallAt is the time in
// milliseconds since 1970.
func (ro *Roller) Observe(st State, now timer.Instant, wallAt int64) {
	if st.Version <= ro.st.Version {
		return
	}
	former := ro.st
	ro.st = st
	ro.stateAt, ro.needAt = now, 0
	isNewOrder, isNewTerm := st.Order.ID != former.Order.ID, st.Term != former.Term
	if isNewOrder || isNewTerm {
		// No counts of a former acting instance are used.
		ro.ju, ro.gates = NewJudge(), map[uint64]*gateView{}
		left := timer.Span(st.DeadlineAt-wallAt) * timer.Millisecond
		ro.deadlineAt = now.Add(min(max(left, 0), st.Order.Duration))
		ro.startAt = ro.deadlineAt.Add(-st.Order.Duration)
		ro.seen, ro.rate = float64(st.Seen), 0
		ro.heardAt, ro.isDoneHeard = now, false
		ro.isInherited = !isNewOrder
	}
	if st.Outcome != former.Outcome {
		ro.isDoneHeard = false
	}
}

// SetOrder sets the order in the configuration of a version, the zero Order if there is
// none. An order that is new was written after the instant after, from which its duration
// counts.
func (ro *Roller) SetOrder(or Order, configVersion uint64, after timer.Instant) {
	if configVersion < ro.configVersion {
		return
	}
	if or.ID != ro.order.ID {
		ro.orderedAt = after
	}
	ro.order, ro.configVersion = or, configVersion
}

// Fleet is the service's members and the version of the map that names them.
type Fleet struct {
	Members    []Member
	MapVersion uint64
	// IsShared means that any server serves any key, and all with a weight get as much.
	IsShared bool
	// Standbys are the instances that may take over, in that order.
	Standbys []uint64
}

// SetFleet sets the service's members.
func (ro *Roller) SetFleet(fl Fleet) { ro.fleet = fl }

func (ro *Roller) member(incarnation uint64) (Member, bool) {
	i := slices.IndexFunc(ro.fleet.Members, func(me Member) bool { return me.Incarnation == incarnation })
	if i < 0 {
		return Member{}, false
	}
	return ro.fleet.Members[i], true
}

// Hear notes a report of the acting instance of a term.
func (ro *Roller) Hear(term uint64, isDone bool, now timer.Instant) {
	if term >= ro.st.Term {
		ro.heardAt, ro.isDoneHeard = now, isDone
	}
}

// Wrote notes the end of a write of a state or a status.
func (ro *Roller) Wrote(hasFailed bool, now timer.Instant) {
	switch {
	case !hasFailed:
		ro.failingAt = 0
	case ro.failingAt == 0:
		ro.failingAt = now
	}
}

func (ro *Roller) isStalled(now timer.Instant) bool {
	return ro.failingAt != 0 && now.Sub(ro.failingAt) >= stallSpan
}

// IsIdle reports whether there is nothing to be done for now.
func (ro *Roller) IsIdle(now timer.Instant) bool {
	return ro.st.Version == 0 || !ro.needsWork() && (!ro.IsActing() || now.Sub(ro.finishedAt) >= lingerSpan)
}

// needsWork reports whether an order is pending, running or not yet reported.
func (ro *Roller) needsWork() bool {
	return ro.isOrderPending() || ro.isWithdrawn() || ro.st.IsActive() || ro.isLateServerKnown() ||
		ro.st.Outcome != "" && !ro.isStatusWritten() && !ro.isDoneHeard
}

func (ro *Roller) isStatusWritten() bool {
	return ro.statusOf == statusKey{order: ro.st.Order.ID, outcome: ro.st.Outcome}
}

func (ro *Roller) isOrderPending() bool { return ro.order.ID > ro.st.Order.ID }

// isWithdrawn reports whether the order being carried out has been deleted. A
// configuration from before the order says nothing of it.
func (ro *Roller) isWithdrawn() bool {
	return ro.st.Outcome == Running && ro.order.ID == 0 && ro.configVersion >= ro.st.Order.ID
}

// isLateServerKnown reports whether a server of a version has started that was ordered, and
// reported as complete, while it had none.
func (ro *Roller) isLateServerKnown() bool {
	return ro.st.Outcome == Complete && ro.st.Phase == Stable && ro.st.InForce != ro.st.Order.To && len(ro.serversOf(ro.st.Order.To)) > 0
}

// mayTakeOver reports whether this instance is to become the acting one: if there is none,
// after its turn, or once the acting one has been silent.
func (ro *Roller) mayTakeOver(now timer.Instant) bool {
	rank := slices.Index(ro.fleet.Standbys, ro.self)
	if rank < 0 || !ro.needsWork() {
		ro.needAt = 0
		return false
	}
	if ro.needAt == 0 {
		ro.needAt = now
	}
	_, isPresent := ro.member(ro.st.Actor)
	isPresent = isPresent || slices.Contains(ro.fleet.Standbys, ro.st.Actor)
	wait := takeoverStep * timer.Span(rank)
	if isPresent && ro.st.Actor != 0 {
		wait += takeoverSpan
	}
	return now.Sub(max(ro.needAt, ro.heardAt)) >= wait
}

// Propose returns the next state if one is to be stored. The caller must store it on the
// condition that the stored state has the version before.
func (ro *Roller) Propose(now timer.Instant, wallAt int64) (State, bool) {
	if ro.st.Version == 0 {
		return State{}, false
	}
	next := ro.st
	next.Version++
	if !ro.IsActing() {
		if !ro.mayTakeOver(now) {
			return State{}, false
		}
		next.Actor = ro.self
		next.Term++
	}
	isChanged := ro.advance(&next, now, wallAt)
	next.Seen = max(next.Seen, uint64(ro.seen))
	return next, isChanged || next.Actor != ro.st.Actor
}

// advance changes the state by what is due, and reports whether anything was. An instance
// that only becomes the acting one makes no step before it has counts of its own, except
// that it takes up orders.
func (ro *Roller) advance(next *State, now timer.Instant, wallAt int64) bool {
	switch {
	case ro.isOrderPending():
		ro.begin(next, now, wallAt)
		return true
	case ro.isWithdrawn():
		rollBack(next)
		return true
	case ro.isLateServerKnown():
		next.Phase = Moving
		return true
	case !ro.IsActing() || !ro.st.IsActive():
		return false
	case ro.st.Outcome == Running && (!now.Before(ro.decideAt()) || ro.ju.Verdict() == Bad):
		rollBack(next)
		return true
	}
	switch ro.st.Phase {
	case Canary, Ramp:
		return ro.advanceCanary(next, now) || ro.reserve(next, now)
	case Moving:
		next.Phase = Closing
		return ro.isMoved()
	default:
		next.InForce, next.Phase, next.Outcome = next.Order.To, Stable, Complete
		next.Canaries, next.Share = nil, 0
		return ro.isClosed()
	}
}

// decideAt returns when a version that is not complete is rolled back.
func (ro *Roller) decideAt() timer.Instant {
	if ro.st.Phase == Moving || ro.st.Phase == Closing {
		return ro.deadlineAt
	}
	return ro.deadlineAt.Add(-min(decideLead, ro.st.Order.Duration/8))
}

// begin takes up the order.
func (ro *Roller) begin(next *State, now timer.Instant, wallAt int64) {
	next.Order, next.Outcome, next.Phase, next.Step = ro.order, Running, Canary, 0
	left := ro.order.Duration - max(0, now.Sub(ro.orderedAt))
	next.DeadlineAt = wallAt + int64(left/timer.Millisecond)
	next.Seen, next.Granted, next.Lost = 0, uint64(slackMargin*ro.bounds.ExposureSlack), 0
	ro.seen = 0
	if ro.order.To == next.InForce {
		next.Phase, next.Canaries, next.Share = Moving, nil, 0
		return
	}
	next.Canaries, next.Share = ro.chooseCanaries(ro.order, canaryShare, nil)
}

func rollBack(next *State) {
	next.Phase, next.Outcome, next.Canaries, next.Share = Stable, RolledBack, nil, 0
}

// advanceCanary makes the step that is due in the canary or the ramp.
func (ro *Roller) advanceCanary(next *State, now timer.Instant) bool {
	elapsed := float64(now.Sub(ro.startAt)) / float64(max(1, ro.st.Order.Duration))
	if len(ro.serversOf(ro.st.Order.To)) == 0 {
		if now.Sub(ro.startAt) < min(serverWait, ro.st.Order.Duration/4) {
			return false
		}
		// Nothing can move. The version takes over with its first server.
		next.Phase, next.Outcome, next.Canaries, next.Share = Stable, Complete, nil, 0
		return true
	}
	share := canaryShare
	if ro.st.Phase == Ramp {
		share = rampShares[min(ro.st.Step, len(rampShares)-1)]
	}
	if usable := ro.usableCanaries(now); len(usable) < len(ro.st.Canaries) || len(ro.st.Canaries) == 0 {
		next.Canaries, next.Share = ro.chooseCanaries(ro.st.Order, share, usable)
		next.Lost = ro.lostWith(next.Canaries)
		return !slices.Equal(next.Canaries, ro.st.Canaries)
	}
	if ro.ju.Verdict() != NoFault {
		return false
	}
	isLate := ro.deadlineAt.Sub(now) < min(moveLead, ro.st.Order.Duration/2)
	if elapsed >= moveAt || isLate {
		next.Phase = Moving
		return true
	}
	step := -1
	for i, at := range rampAt {
		if elapsed >= at {
			step = i
		}
	}
	if step < 0 || ro.st.Phase == Ramp && step <= ro.st.Step {
		return false
	}
	next.Phase, next.Step = Ramp, step
	next.Canaries, next.Share = ro.chooseCanaries(ro.st.Order, rampShares[step], ro.st.Canaries)
	return true
}

// serversOf returns the members of a version, in an order that is the same everywhere and
// differs from that of their names.
func (ro *Roller) serversOf(version string) []Member {
	var servers []Member
	for _, me := range ro.fleet.Members {
		if me.Version == version {
			servers = append(servers, me)
		}
	}
	slices.SortFunc(servers, func(le, ri Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(le.Server), xxhash.Sum64String(ri.Server)), cmp.Compare(le.Server, ri.Server))
	})
	return servers
}

// chooseCanaries returns servers of the new version that together have a share of the
// service's traffic, and the weight of each. It keeps those given.
func (ro *Roller) chooseCanaries(or Order, share float64, kept []string) ([]string, uint32) {
	var names []string
	for _, me := range ro.serversOf(or.To) {
		if gv := ro.gates[me.Incarnation]; gv == nil || !gv.isKnown || gv.latest.IsReady || slices.Contains(kept, me.Server) {
			names = append(names, me.Server)
		}
	}
	slices.SortStableFunc(names, func(le, ri string) int {
		return cmp.Compare(indexOr(kept, le), indexOr(kept, ri))
	})
	old := 0
	for _, me := range ro.serversOf(ro.st.InForce) {
		old += int(min(me.Weight, 1))
	}
	total := share / (1 - share) * FullShare * float64(old)
	count := max(1, int(total/FullShare))
	if !ro.fleet.IsShared {
		count = max(count, min(maxSplit, int(total/minShare)))
	}
	count = min(len(names), count)
	if count == 0 {
		return nil, 0
	}
	each := uint32(min(FullShare, max(1, math.Floor(total/float64(count)))))
	return names[:count], each
}

// indexOr returns the index of a name, or a higher one than any if it is absent.
func indexOr(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}

// usableCanaries returns the canaries that are members and, after a while, ready.
func (ro *Roller) usableCanaries(now timer.Instant) []string {
	var usable []string
	for _, me := range ro.serversOf(ro.st.Order.To) {
		if !slices.Contains(ro.st.Canaries, me.Server) {
			continue
		}
		gv := ro.gates[me.Incarnation]
		isUsable := gv == nil || now.Sub(gv.joinedAt) < canarySpan || gv.isKnown && gv.latest.IsReady && now.Sub(gv.heardAt) < canarySpan
		if isUsable {
			usable = append(usable, me.Server)
		}
	}
	return usable
}

// limit returns how many requests may be started on the new version so far.
func (ro *Roller) limit() float64 {
	return slackMargin*ro.bounds.ExposureSlack + budgetMargin*ro.bounds.ExposureShare*ro.seen
}

// spent returns how many requests may have been started on the new version: what canaries
// were granted. As long as one inherited from a former acting instance has not reported, that
// is all that was reserved.
func (ro *Roller) spent() float64 {
	total := ro.st.Lost
	for _, name := range ro.st.Canaries {
		granted, ok := ro.grantedTo(name)
		if !ok {
			return float64(ro.st.Granted)
		}
		total += granted
	}
	return float64(total)
}

// grantedTo returns an upper bound of what a canary has started, or false if it is not
// known.
func (ro *Roller) grantedTo(server string) (uint64, bool) {
	i := slices.IndexFunc(ro.fleet.Members, func(me Member) bool { return me.Server == server })
	if i >= 0 {
		if gv := ro.gates[ro.fleet.Members[i].Incarnation]; gv != nil && gv.isKnown {
			return max(gv.ceiling, gv.latest.Started), true
		}
	}
	return 0, !ro.isInherited && i >= 0
}

// lostWith returns what the canaries that are not among the next ones may have started.
func (ro *Roller) lostWith(next []string) uint64 {
	lost := ro.st.Lost
	for _, name := range ro.st.Canaries {
		if slices.Contains(next, name) {
			continue
		}
		granted, ok := ro.grantedTo(name)
		if !ok {
			return ro.st.Granted
		}
		lost += granted
	}
	return lost
}

// reserve extends what the stored state says may have been granted, before it is granted.
func (ro *Roller) reserve(next *State, now timer.Instant) bool {
	ahead := budgetMargin * ro.bounds.ExposureShare * ro.rate
	left := min(float64(ro.st.Granted), ro.limit()+ahead*2) - ro.spent()
	wanted := uint64(ro.limit() + ahead*float64(reserveAhead)/float64(timer.Second))
	isShort := float64(ro.st.Granted)-ro.spent() < max(8, ahead*2) && left < max(8, ahead*2)
	if !isShort || wanted <= ro.st.Granted+uint64(max(4, ahead)) || now.Sub(ro.stateAt) < timer.Second {
		return false
	}
	next.Granted = wanted
	return true
}

// isMoved reports whether the map in force gives the old servers nothing, and each server
// of the new version has obtained what it is to have.
func (ro *Roller) isMoved() bool {
	for _, me := range ro.fleet.Members {
		isNew := me.Version == ro.st.Order.To
		if !isNew && me.Version != "" && me.Weight > 0 {
			return false
		}
		if isNew && !ro.hasObtained(me) {
			return false
		}
	}
	return true
}

// follows returns the latest report of a member that follows the state, or false if there is
// none.
func (ro *Roller) follows(me Member) (Report, bool) {
	gv := ro.gates[me.Incarnation]
	if gv == nil || !gv.isKnown || gv.latest.StateVersion < ro.st.Version {
		return Report{}, false
	}
	return gv.latest, true
}

// hasObtained reports whether a member has obtained all that the map in force gives it.
func (ro *Roller) hasObtained(me Member) bool {
	re, ok := ro.follows(me)
	return ok && re.MapVersion >= ro.fleet.MapVersion && re.Pending == 0
}

// hasEnded reports whether nothing runs on a member's server, and nothing will.
func (ro *Roller) hasEnded(me Member) bool {
	re, ok := ro.follows(me)
	return ok && re.Running == 0 && re.Held == 0
}

// isClosed reports whether nothing runs on the servers of other versions, and none will.
func (ro *Roller) isClosed() bool {
	for _, me := range ro.fleet.Members {
		if me.Version != ro.st.Order.To && me.Version != "" && !ro.hasEnded(me) {
			return false
		}
	}
	return true
}

// Status is what operators are told of an order.
type Status struct {
	Service string
	Order   uint64
	To      string
	Outcome Outcome
	// StateVersion is the version of the stored state that says so. The status must be
	// written only while that is the latest.
	StateVersion uint64
}

// StatusDue returns the status to be written, if it has not been. After a rollback it waits
// until the gates of the new version have stopped.
func (ro *Roller) StatusDue(now timer.Instant) (Status, bool) {
	if !ro.IsActing() || ro.st.Outcome == "" || ro.isStatusWritten() {
		return Status{}, false
	}
	if ro.st.Outcome == RolledBack && now.Sub(ro.stateAt) < stopSpan && !ro.isStopped() {
		return Status{}, false
	}
	return Status{Service: ro.st.Service, Order: ro.st.Order.ID, To: ro.st.Order.To, Outcome: ro.st.Outcome, StateVersion: ro.st.Version}, true
}

// isStopped reports whether all gates of the new version follow the rollback.
func (ro *Roller) isStopped() bool {
	for _, me := range ro.serversOf(ro.st.Order.To) {
		if _, ok := ro.follows(me); !ok {
			return false
		}
	}
	return true
}

// StatusWritten notes that a status was written.
func (ro *Roller) StatusWritten(su Status, now timer.Instant) {
	ro.statusOf = statusKey{order: su.Order, outcome: su.Outcome}
	ro.finishedAt = now
}

// Polls returns the polls that are due. Only the acting instance makes any.
func (ro *Roller) Polls(now timer.Instant) []Poll {
	if !ro.IsActing() || ro.IsIdle(now) {
		return nil
	}
	var polls []Poll
	intervals := ro.pollIntervals()
	for _, me := range ro.fleet.Members {
		interval, ok := intervals[me.Incarnation]
		if !ok {
			continue
		}
		if po, isDue := ro.poll(me.Incarnation, interval, now); isDue {
			polls = append(polls, po)
		}
	}
	for _, incarnation := range ro.fleet.Standbys {
		if _, isPolled := intervals[incarnation]; isPolled || incarnation == ro.self {
			continue
		}
		if po, isDue := ro.poll(incarnation, reportInterval, now); isDue {
			polls = append(polls, po)
		}
	}
	return polls
}

// pollIntervals returns how often each gate is polled.
func (ro *Roller) pollIntervals() map[uint64]timer.Span {
	intervals := map[uint64]timer.Span{}
	if ro.st.Phase == Stable {
		if ro.st.Outcome == RolledBack && !ro.isStatusWritten() {
			for _, me := range ro.serversOf(ro.st.Order.To) {
				intervals[me.Incarnation] = pollInterval
			}
		}
		return intervals
	}
	for i, me := range ro.serversOf(ro.st.InForce) {
		if i < ro.sampled() {
			intervals[me.Incarnation] = slowInterval
		}
	}
	for _, me := range ro.fleet.Members {
		isNew := me.Version == ro.st.Order.To
		switch {
		case isNew && slices.Contains(ro.st.Canaries, me.Server):
			intervals[me.Incarnation] = min(closeInterval, max(pollInterval, canaryInterval*timer.Span(len(ro.st.Canaries))))
		case isNew && ro.st.Phase == Moving && !ro.hasObtained(me), !isNew && ro.st.Phase == Closing && !ro.hasEnded(me):
			intervals[me.Incarnation] = closeInterval
		}
	}
	return intervals
}

// sampled returns how many old servers the canaries are compared with.
func (ro *Roller) sampled() int { return max(minSampled, len(ro.st.Canaries)) }

func (ro *Roller) poll(to uint64, interval timer.Span, now timer.Instant) (Poll, bool) {
	gv := ro.gates[to]
	if gv == nil {
		gv = &gateView{joinedAt: now}
		ro.gates[to] = gv
	}
	if now.Before(gv.pollAt) {
		return Poll{}, false
	}
	gv.pollAt = now.Add(interval)
	po := Poll{To: to, IsDone: !ro.needsWork(), IsStalled: ro.isStalled(now), HasState: gv.isKnown && gv.latest.StateVersion >= ro.st.Version}
	po.Grant = Grant{Term: ro.st.Term, IsStopped: ro.st.IsActive() && ro.ju.Verdict() == Bad}
	if me, ok := ro.member(to); ok && gv.isKnown && ro.st.AdmissionOf(me.Server, me.Version) == AdmitGranted {
		po.Grant.Ceiling = ro.extend(gv, now)
	}
	return po, true
}

// extend raises the ceiling of a gate by what it may need until the next poll, within what
// may be granted, and returns it. It is 0 if nothing may be started any more.
func (ro *Roller) extend(gv *gateView, now timer.Instant) uint64 {
	gv.ceiling = max(gv.ceiling, gv.latest.Started)
	if !now.Before(ro.deadlineAt) || ro.ju.Verdict() == Bad {
		return 0
	}
	budget := min(ro.limit(), float64(ro.st.Granted)) - ro.spent()
	part := math.Ceil(budget / float64(max(1, len(ro.st.Canaries))))
	wanted := math.Ceil(1.5*gv.rate) + 8 - float64(gv.ceiling-gv.latest.Started)
	if more := math.Floor(min(wanted, part, budget)); more >= 1 {
		gv.ceiling += uint64(more)
	}
	return gv.ceiling
}

// Report applies the report of a gate.
func (ro *Roller) Report(from uint64, re Report, now timer.Instant) {
	gv := ro.gates[from]
	me, ok := ro.member(from)
	if gv == nil || !ok || !ro.IsActing() {
		return
	}
	former, isFirst, span := gv.latest, !gv.isKnown, now.Sub(gv.heardAt)
	gv.latest, gv.isKnown, gv.heardAt = re, true, now
	if isFirst || re.Started < former.Started {
		return
	}
	started := float64(re.Started - former.Started)
	if span > 0 {
		gv.rate += 0.3 * (started*float64(timer.Second)/float64(span) - gv.rate)
	}
	isNew := me.Version == ro.st.Order.To
	if re.IsNew || !isNew && me.Version != ro.st.InForce || !ro.st.IsActive() || ro.st.Order.To == ro.st.InForce {
		return
	}
	for route, cu := range re.Routes {
		ro.ju.Add(isNew, re.IsCold, route, cu.minus(former.Routes[route]))
	}
}

// estimate returns a lower bound of the requests that reached the service since the order,
// by what its gates have started. A hot key raises the count of one server by far: each of
// those polled counts at most twice the median.
func (ro *Roller) estimate(starts func(gv *gateView) float64) float64 {
	old := ro.serversOf(ro.st.InForce)
	var polled []float64
	total := 0.0
	for _, me := range ro.fleet.Members {
		gv := ro.gates[me.Incarnation]
		switch {
		case gv == nil || !gv.isKnown:
		case me.Version == ro.st.InForce:
			polled = append(polled, starts(gv))
		case me.Version == ro.st.Order.To:
			total += starts(gv)
		}
	}
	if len(polled) == 0 {
		return total
	}
	slices.Sort(polled)
	factor := 1.0
	if len(polled) < len(old) {
		factor = sampleMargin * float64(len(old)) / float64(len(polled))
	}
	for _, started := range polled {
		if len(polled) < len(old) {
			started = min(started, 2*polled[len(polled)/2])
		}
		total += factor * started
	}
	return total
}

// Evaluate compares the versions by the reports since the last evaluation. It is called at
// least as often as gates are polled.
func (ro *Roller) Evaluate(now timer.Instant) {
	if !ro.IsActing() || now.Before(ro.evaluateAt) {
		return
	}
	ro.evaluateAt = now.Add(pollInterval)
	servers := 0
	for _, me := range ro.serversOf(ro.st.Order.To) {
		if gv := ro.gates[me.Incarnation]; gv != nil && gv.latest.Started > 0 {
			servers++
		}
	}
	if ro.st.Phase == Canary || ro.st.Phase == Ramp {
		ro.rate = ro.estimate(func(gv *gateView) float64 { return gv.rate })
		ro.seen = max(ro.seen, ro.estimate(func(gv *gateView) float64 { return float64(gv.latest.Started) }))
	}
	ro.ju.Evaluate(servers)
}
