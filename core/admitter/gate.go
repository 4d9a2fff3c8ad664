// Package admitter implements the admission control in front of one backend
// server: it decides which requests run at once, wait in a queue or are refused.
//
// It limits concurrency, raises the limit step by step after a cold start, queues
// fairly by workspace and route, sheds the lowest priority first, and refuses duplicates of
// a request as well as requests that repeatedly crash backend servers.
//
// A Gate is the admission state of one backend server. It is a state machine
// without a clock or goroutines, and callers must serialize access to it.
//
// # Usage
//
//	ga, err := admitter.New(admitter.Slots(9), admitter.ColdStart(2, coldUntil))
//	switch de := ga.Arrive(rq, now).(type) {
//	case admitter.Run:
//	case admitter.Wait: // until Finish or StartQueued starts the ticket, or it is shed, expires or is abandoned
//	case admitter.Refuse:
//	}
//	for _, ti := range ga.Finish(admitter.Completion{Latency: la}, now) { ... start it ... }
package admitter

import (
	"fmt"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/scheduler"
	"cornellanding.example/core/timer"
)

// Refusal codes.
const (
	CodeOverloaded  = "overloaded"
	CodeDeadline    = "deadline"
	CodeDuplicate   = "duplicate"
	CodeQuarantined = "quarantined"
	CodeDraining    = "draining"
	// CodeServerLimit means that the backend server takes fewer requests a second than
	// arrive, by a limit that it named.
	CodeServerLimit = "serverLimit"
	// CodeLinkFull means that the VM's link can't send the response in time.
	CodeLinkFull = "linkFull"
	// CodeServerMemory means that the backend server holds as many bytes of requests as it
	// has sustained so far, see ByteLimit.
	CodeServerMemory = "serverMemory"
	// CodeCallsRefused means that the calls which the request would make are expected to
	// fail.
	CodeCallsRefused = "callsRefused"
	// CodeVersion means that the backend server's version is not in force and gets no
	// requests, and CodeExposure that it has got as many as a rollout allows for now.
	CodeVersion  = "versionNotInForce"
	CodeExposure = "exposureLimit"
)

// Queues of one priority, in the order in which they are served. Behind those of all
// priorities there is one for requests that are expected to miss their target latency.
const (
	// callQueue holds calls of requests that already run, and lateCallQueue those of
	// them that are expected to miss their target.
	callQueue = iota
	lateCallQueue
	otherQueue
	// lateUrgentQueue holds late requests of the highest priority, which are mostly
	// calls too.
	lateUrgentQueue
	queuesPerPriority
)

const (
	lateQueue  = cataloguer.PriorityCount * queuesPerPriority
	queueCount = lateQueue + 1
)

// queueOf returns the queue of a request.
func queueOf(rq Request) int {
	if rq.IsCall {
		return int(rq.Priority)*queuesPerPriority + callQueue
	}
	return int(rq.Priority)*queuesPerPriority + otherQueue
}

// lateQueueOf returns the queue of a request that is expected to miss its target.
func lateQueueOf(rq Request) int {
	switch {
	case rq.IsCall:
		return int(rq.Priority)*queuesPerPriority + lateCallQueue
	case rq.Priority == 0:
		return lateUrgentQueue
	default:
		return lateQueue
	}
}

func isLateQueue(queue int) bool {
	kind := queue % queuesPerPriority
	return queue == lateQueue || kind == lateCallQueue || kind == lateUrgentQueue
}

// Ticket identifies a request at one Gate, from its arrival until it ends.
type Ticket uint64

// Request describes a request to the Gate.
type Request struct {
	Workspace string
	// Route groups requests of similar latency.
	Route    string
	Priority cataloguer.Priority
	// DeadlineAt is the time at which the caller gives up.
	DeadlineAt timer.Instant
	// TargetAt is the time by which the answer is wanted, or 0 if only the
	// deadline counts.
	TargetAt timer.Instant
	// IsCall means that a request that already runs on another server made it. It is
	// served before other requests of the same or a lower priority, see kinds.
	IsCall bool
	// Fingerprint is equal for the request and its return after a refusal, see KeepPlaces.
	Fingerprint uint64
	// isReturn means that it returns at the time that its refusal named.
	isReturn bool
}

// finishBy returns the time by which the request should finish to be worth
// queueing. In an overload, requests that wait past their target make all those
// behind them late too.
func (rq Request) finishBy() timer.Instant {
	if rq.TargetAt == 0 {
		return rq.DeadlineAt
	}
	return min(rq.TargetAt, rq.DeadlineAt)
}

// Decision is the result of Arrive: Run, Wait or Refuse.
type Decision interface{ isDecision() }

// Run means that the request starts now.
type Run struct{ Ticket Ticket }

// Wait means that the request was queued.
type Wait struct {
	Ticket Ticket
	// Shed lists the queued tickets that were dropped to make room for it.
	Shed []Ticket
}

// Refuse means that the request must not run. RetryAfter is the delay before a
// retry, or 0 if no retry is advised.
type Refuse struct {
	Code       string
	Reason     string
	RetryAfter timer.Span
}

func (Run) isDecision()    {}
func (Wait) isDecision()   {}
func (Refuse) isDecision() {}

// Completion describes how a run ended.
type Completion struct {
	// Route is the route of the request, and Latency is how long it ran, or 0 if it
	// is not known.
	Route   string
	Latency timer.Span
	// Overloaded means that the backend server refused the request, crashed or
	// could not be reached.
	Overloaded bool
}

// OptionError reports an invalid option value passed to New.
type OptionError struct {
	Option string
	Value  int
}

// Error implements error.
func (er *OptionError) Error() string {
	return fmt.Sprintf("admitter: option %s: bad value %d", er.Option, er.Value)
}

// Option configures New.
type Option func(*Gate)

// Slots sets the concurrency limit of a warm backend server.
func Slots(slots int) Option { return func(ga *Gate) { ga.slots = slots } }

// QueueLength sets how many requests may wait, over all priorities.
func QueueLength(length int) Option { return func(ga *Gate) { ga.queueLength = length } }

// ColdStart sets the concurrency limit of a cold backend server and the time until
// which it counts as cold.
func ColdStart(slots int, until timer.Instant) Option {
	return func(ga *Gate) {
		ga.coldSlots = slots
		ga.coldUntil = until
		ga.limit = slots
	}
}

// ColdSpan sets how long the backend server counts as cold after an overload.
func ColdSpan(span timer.Span) Option { return func(ga *Gate) { ga.coldSpan = span } }

// queued is a request in a queue.
type queued struct {
	ticket  Ticket
	request Request
	// cost is the expected time on the server in nanoseconds, and tag the place in the
	// order of the queue.
	cost float64
	tag  float64
}

// Gate is the admission state of one backend server.
type Gate struct {
	slots       int
	coldSlots   int
	queueLength int
	coldUntil   timer.Instant
	coldSpan    timer.Span
	// coldRate limits the starts per second on a cold server, 0 for no limit, and
	// serverRate those on a server that asks for it, if isServerLimited is set. The
	// lower one fills a token bucket of startTokens as of filledAt.
	coldRate        float64
	serverRate      float64
	isServerLimited bool
	startTokens     float64
	filledAt        timer.Instant
	// latency is the smoothed latency of all runs in nanoseconds, 0 before the
	// first one ended, and latencies is the same by route.
	latency   float64
	latencies map[string]float64
	// expired holds tickets that came up too close to their deadline to start.
	expired []Ticket
	// limit is the concurrency limit in force, between coldSlots and slots.
	limit int
	// successes counts the successful runs since the limit last changed.
	successes  int
	running    int
	lastTicket Ticket
	queues     [queueCount]fairQueue
	kinds      kinds
	// places holds the times named in refusals, if keepsPlaces is set.
	places      scheduler.Schedule
	keepsPlaces bool
	isDraining  bool
	// awaitsAnswer is as in AwaitAnswer.
	awaitsAnswer bool
	// pace is as in SetPace, nil if there is none.
	pace Pace
}

// New returns a Gate without requests, by default with one slot and no queue.
// Without ColdStart the server counts as warm. It returns an *OptionError if a limit
// is out of range: Slots below 1, ColdStart outside of 1 to Slots, or QueueLength
// below 0.
func New(opts ...Option) (*Gate, error) {
	ga := &Gate{slots: 1, coldSlots: 1, queueLength: 0, latencies: map[string]float64{}}
	for _, opt := range opts {
		opt(ga)
	}
	if ga.slots < 1 {
		return nil, &OptionError{Option: "Slots", Value: ga.slots}
	}
	if ga.coldSlots < 1 || ga.coldSlots > ga.slots {
		return nil, &OptionError{Option: "ColdStart", Value: ga.coldSlots}
	}
	if ga.queueLength < 0 {
		return nil, &OptionError{Option: "QueueLength", Value: ga.queueLength}
	}
	if ga.limit == 0 {
		ga.limit = ga.slots
	}
	return ga, nil
}

// Limit returns the concurrency limit in force.
func (ga *Gate) Limit() int {
	if ga.awaitsAnswer {
		return min(ga.limit, unheardSlots)
	}
	return ga.limit
}

// AwaitAnswer holds the concurrency to unheardSlots until HearAnswer: the answers of the
// server may name a limit on the rate of requests, which is not known before the first.
func (ga *Gate) AwaitAnswer() { ga.awaitsAnswer = true }

// HearAnswer ends AwaitAnswer. It reports whether that was in force.
func (ga *Gate) HearAnswer() bool {
	wasAwaited := ga.awaitsAnswer
	ga.awaitsAnswer = false
	return wasAwaited
}

// Running returns the number of running requests.
func (ga *Gate) Running() int { return ga.running }

// Waiting returns the number of queued requests.
func (ga *Gate) Waiting() int {
	sum := 0
	for i := range ga.queues {
		sum += len(ga.queues[i].items)
	}
	return sum
}

// SetLimits applies changed limits of the catalogue. A server at its full limit
// goes to the new one at once; during a ramp-up the limit is only capped.
func (ga *Gate) SetLimits(slots, coldSlots, queueLength int) {
	wasWarm := ga.limit >= ga.slots
	ga.slots, ga.coldSlots, ga.queueLength = slots, min(coldSlots, slots), queueLength
	ga.limit = min(ga.limit, slots)
	if wasWarm {
		ga.limit = slots
	}
}

// SetDraining stops or resumes the admission of new requests.
func (ga *Gate) SetDraining(isDraining bool) { ga.isDraining = isDraining }

// Arrive decides whether a request that arrives at now runs, waits or is refused.
func (ga *Gate) Arrive(rq Request, now timer.Instant) Decision {
	switch {
	case ga.isDraining:
		return Refuse{Code: CodeDraining, Reason: "the backend server is leaving"}
	case !now.Before(rq.DeadlineAt):
		return Refuse{Code: CodeDeadline, Reason: "the deadline passed before the start"}
	}
	rq.Priority = min(rq.Priority, cataloguer.PriorityCount-1)
	ga.lastTicket++
	ga.kinds.arrive(rq)
	rq.isReturn = ga.keepsPlaces && ga.places.Take(rq.Fingerprint, now)
	if ga.running < ga.Limit() && ga.Waiting() == 0 && !ga.isRateExhausted(now) {
		ga.startRun(now)
		ga.kinds.start(rq)
		return Run{Ticket: ga.lastTicket}
	}
	queue, isWorthWaiting := ga.queueFor(rq, now)
	if !isWorthWaiting {
		return ga.refuseQueueing(rq, "the queue is too long for the deadline", now)
	}
	shed, ok := ga.makeRoom(rq, queue)
	if !ok {
		return ga.refuseQueueing(rq, "the queue is full", now)
	}
	ga.queues[queue].push(queued{ticket: ga.lastTicket, request: rq, cost: ga.costOf(rq)})
	return Wait{Ticket: ga.lastTicket, Shed: shed}
}

// refuseQueueing refuses a request that can't wait.
func (ga *Gate) refuseQueueing(rq Request, reason string, now timer.Instant) Refuse {
	code := CodeOverloaded
	if ga.isServerLimited {
		code = CodeServerLimit
	}
	if ga.keepsPlaces {
		return Refuse{Code: code, Reason: reason, RetryAfter: ga.Reserve(rq, now)}
	}
	return Refuse{Code: code, Reason: reason, RetryAfter: ga.RetryAfter(now)}
}

// makeRoom reports whether there is room for the request. If the queues are full, it
// drops a request from the last non-empty queue behind the given one. If there is
// none, a request that returns at its place replaces the newest of the given queue, and
// for any other it drops one from the workspace with the most requests in the given queue,
// if that has at least two more than the request's own workspace. It returns the
// dropped ticket.
func (ga *Gate) makeRoom(rq Request, queue int) ([]Ticket, bool) {
	if ga.Waiting() < ga.queueLength {
		return nil, true
	}
	for pr := queueCount - 1; pr > queue; pr-- {
		if ga.kinds.hasCalls() && !isLateQueue(pr) && len(ga.queues[pr].items) == 1 {
			continue // each kind keeps a request for the starts that it is owed
		}
		if dropped, ok := ga.queues[pr].dropLongest(); ok {
			return []Ticket{dropped.ticket}, true
		}
	}
	qu := &ga.queues[queue]
	if rq.isReturn {
		dropped, ok := qu.dropNewest()
		return []Ticket{dropped.ticket}, ok
	}
	if _, longest := qu.longestWorkspace(); longest > qu.lengthOf(rq.Workspace)+1 {
		dropped, ok := qu.dropLongest()
		return []Ticket{dropped.ticket}, ok
	}
	return nil, false
}

// Finish records the end of a run at now and returns the queued tickets to start.
func (ga *Gate) Finish(co Completion, now timer.Instant) []Ticket {
	ga.running--
	if co.Latency > 0 && !co.Overloaded {
		ga.observe(co)
	}
	ga.adaptLimit(co, now)
	return ga.StartQueued(now)
}

// StartQueued returns the queued tickets that start at now, within the limits. It
// moves requests that would miss their target to a late queue while others
// wait, and drops those too close to their deadline, see TakeExpired.
func (ga *Gate) StartQueued(now timer.Instant) []Ticket {
	var started []Ticket
	for ga.running < ga.Limit() && !ga.isRateExhausted(now) {
		queue, ok := ga.nextQueue()
		if !ok {
			break
		}
		next, _ := ga.queues[queue].pop()
		if !now.Before(ga.LatestStart(next.request)) {
			ga.expired = append(ga.expired, next.ticket)
			continue
		}
		if !isLateQueue(queue) && ga.isLate(next.request, now) && ga.Waiting() > 0 {
			ga.queues[lateQueueOf(next.request)].push(next)
			continue
		}
		ga.startRun(now)
		ga.kinds.pass(&ga.queues)
		ga.kinds.start(next.request)
		started = append(started, next.ticket)
	}
	return started
}

// nextQueue returns the queue whose first request is next, or false if all are empty.
func (ga *Gate) nextQueue() (int, bool) {
	if queue, ok := ga.kinds.owed(&ga.queues); ok {
		return queue, true
	}
	for queue := range ga.queues {
		if len(ga.queues[queue].items) > 0 {
			return queue, true
		}
	}
	return 0, false
}

// adaptLimit raises the limit of a warm server by one after as many successes as
// the limit, and resets it to the cold limit on an overload.
func (ga *Gate) adaptLimit(co Completion, now timer.Instant) {
	if co.Overloaded {
		ga.limit = ga.coldSlots
		ga.successes = 0
		ga.coldUntil = max(ga.coldUntil, now.Add(ga.coldSpan))
		return
	}
	if now.Before(ga.coldUntil) || ga.limit >= ga.slots {
		return
	}
	ga.successes++
	if ga.successes >= ga.limit {
		ga.limit++
		ga.successes = 0
	}
}

// Abandon removes a ticket from its queue and reports whether it was still queued.
func (ga *Gate) Abandon(ticket Ticket) bool {
	for pr := range ga.queues {
		if ga.queues[pr].remove(ticket) {
			return true
		}
	}
	return false
}
