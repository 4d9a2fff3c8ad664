// Package throttler admits only as many runs of a backend server as will get the calls
// that they make to other services.
//
// Load: a called service takes fewer calls than the runs of its callers make. A run whose
// call fails ends badly after it has held a slot, and its caller may not send it again. A
// run that was refused before its start costs nothing and may return.
//
// A call has no mark that tells which run made it, or that it is a call at all. The
// Throttler learns from the times of failed calls and of runs on the same machine which
// routes of the server end badly because calls fail, see evidence. Only these are
// throttled, by the outcomes of these calls, see control. In doubt all runs are admitted.
//
// Throttler is a state machine without a clock or goroutines, and callers must serialize
// access to it.
//
// # Usage
//
//	th := throttler.New()
//	if de, isRefused := th.Arrive(throttler.Request{Route: "place-order"}, now).(throttler.Refuse); isRefused { ... }
//	ru := th.Start("place-order", now)
//	th.Call(throttler.Call{Route: "photo-info", StartedAt: at, IsFailed: true}, now)
//	th.Finish(ru, isBad, now)
package throttler

import (
	"slices"

	"cornellanding.example/core/timer"
)

const (
	// maxRoutes bounds the routes of the server, and maxCallRoutes the routes of calls that
	// are compared with each of them. Further ones are ignored.
	maxRoutes     = 256
	maxCallRoutes = 32
	// maxFailures and failureTerm bound the failed calls that are kept for comparison with
	// runs. A run longer than half of what they cover is not compared.
	maxFailures = 1024
	failureTerm = 10 * timer.Second
	// latencyWeight is the weight of a new sample in a route's smoothed latency.
	latencyWeight = 0.1
)

// Decision is the result of Arrive: Admit or Refuse.
type Decision interface{ isDecision() }

// Admit means that the request may run. Cancel must be called if it doesn't.
type Admit struct{}

// Refuse means that the request must not run, as its calls are expected to fail.
// RetryAfter is the time until a place that is reserved for it.
type Refuse struct{ RetryAfter timer.Span }

func (Admit) isDecision()  {}
func (Refuse) isDecision() {}

// Run is a request that runs on the server.
type Run struct {
	route     string
	startedAt timer.Instant
}

// Call is a request by a run of the server that has ended.
type Call struct {
	Route     string
	StartedAt timer.Instant
	// IsFailed means that it was refused or answered with a server error, and IsOverload
	// that it failed because of the load on the called service.
	IsFailed, IsOverload bool
}

// Throttler is the state of one backend server.
type Throttler struct {
	routes map[string]*route
	// indices numbers the routes of calls in order of their first one.
	indices map[string]int
	// failed is the number of failed calls by index, and shares what part they are.
	failed perRoute
	shares [maxCallRoutes]callShares
	// changes are those since the latest TakeChanges.
	changes []Change
	// failures holds the latest failed calls in order of their ends. Those that ended
	// before completeFrom may be missing.
	failures     []failure
	completeFrom timer.Instant
}

// failure is a failed call.
type failure struct {
	startedAt, endedAt timer.Instant
	route              int
}

// route is the state of one route of the server.
type route struct {
	evidence
	control
	// latency is the smoothed latency of its runs in nanoseconds, and badLatency that of
	// the bad ones.
	latency, badLatency float64
}

// New returns a Throttler that admits all requests.
func New() *Throttler { return &Throttler{routes: map[string]*route{}, indices: map[string]int{}} }

// of returns the state of a route, or nil if there are too many.
func (th *Throttler) of(name string) *route {
	ro := th.routes[name]
	if ro == nil && len(th.routes) < maxRoutes {
		ro = &route{}
		th.routes[name] = ro
	}
	return ro
}

// Request is a request that arrives at the server's gate.
type Request struct {
	Route string
	// Fingerprint is equal for the request and its return after a refusal.
	Fingerprint uint64
	// Priority is lower for more urgent requests.
	Priority int
	// DeadlineAt is the time at which the caller gives up.
	DeadlineAt timer.Instant
}

// Arrive decides whether a request may run.
func (th *Throttler) Arrive(rq Request, now timer.Instant) Decision {
	ro := th.of(rq.Route)
	if ro == nil {
		return Admit{}
	}
	wasThrottled := ro.isThrottled
	de := ro.arrive(rq, now)
	th.noteChange(rq.Route, ro, wasThrottled)
	return de
}

// Cancel takes back an Admit of a request that was not started.
func (th *Throttler) Cancel(name string) {
	if ro := th.routes[name]; ro != nil {
		ro.cancel()
	}
}

// Start records the start of a request.
func (th *Throttler) Start(name string, now timer.Instant) Run {
	if ro := th.of(name); ro != nil {
		ro.started.add(now)
	}
	return Run{route: name, startedAt: now}
}

// Finish records the end of a run. IsBad means that it ended with a server error. Runs that
// ended at their deadline should not be recorded: most of them are too long by themselves.
func (th *Throttler) Finish(ru Run, isBad bool, now timer.Instant) {
	ro := th.routes[ru.route]
	if ro == nil {
		return
	}
	span := now.Sub(ru.startedAt)
	ro.latency += latencyWeight * (float64(span) - ro.latency)
	if isBad {
		ro.badLatency += latencyWeight * (float64(span) - ro.badLatency)
	}
	before := ru.startedAt.Add(-span)
	if before < th.completeFrom {
		return
	}
	ex := th.excess(ru, before, now, timer.Span(ro.latency))
	ro.observe(isBad, &ex, &th.failed, len(th.indices), now, timer.Span(max(ro.latency, ro.badLatency)))
}

// excess compares the failed calls within a run that ends now with those between before and
// its start.
func (th *Throttler) excess(ru Run, before, now timer.Instant, latency timer.Span) excess {
	var ex excess
	end := max(minEnd, timer.Span(endShare*float64(latency)))
	for _, fa := range slices.Backward(th.failures) {
		by, until := 0.0, now
		switch {
		case fa.endedAt < before:
			return ex
		case fa.startedAt >= ru.startedAt:
			by = 1
		case fa.startedAt >= before && fa.endedAt <= ru.startedAt:
			by, until = -1, ru.startedAt
		}
		ex.inRun[fa.route] += by
		if fa.endedAt >= until.Add(-end) {
			ex.atEnd[fa.route] += by
		}
	}
	return ex
}

// Call records the end of a call.
func (th *Throttler) Call(ca Call, now timer.Instant) {
	i, isKnown := th.indices[ca.Route]
	if !isKnown {
		if len(th.indices) == maxCallRoutes {
			return
		}
		i = len(th.indices)
		th.indices[ca.Route] = i
	}
	if ca.IsFailed {
		th.failed[i]++
		th.keep(failure{startedAt: ca.StartedAt, endedAt: now, route: i})
	}
	th.shares[i].observe(ca)
	for name, ro := range th.routes {
		if ro.dependsOn(i) {
			wasThrottled := ro.isThrottled
			ro.observeCall(ca, &th.shares[i], now, timer.Span(ro.latency))
			th.noteChange(name, ro, wasThrottled)
		}
	}
}

// keep adds a failed call to those kept. It removes many at once, as that moves the others.
func (th *Throttler) keep(fa failure) {
	if len(th.failures) >= 2*maxFailures {
		removed := maxFailures
		for removed < len(th.failures) && th.failures[removed].endedAt < fa.endedAt.Add(-failureTerm) {
			removed++
		}
		th.completeFrom = th.failures[removed-1].endedAt + 1
		th.failures = slices.Delete(th.failures, 0, removed)
	}
	th.failures = append(th.failures, fa)
}

// Change says that the throttling of a route of the server began or ended.
type Change struct {
	Route       string
	IsThrottled bool
	// Rate is the number of runs a second that are admitted, if it is throttled.
	Rate float64
}

func (th *Throttler) noteChange(name string, ro *route, wasThrottled bool) {
	if ro.isThrottled != wasThrottled {
		th.changes = append(th.changes, Change{Route: name, IsThrottled: ro.isThrottled, Rate: ro.rate})
	}
}

// TakeChanges returns the changes since the last call.
func (th *Throttler) TakeChanges() []Change {
	changes := th.changes
	th.changes = nil
	return changes
}

// Throttled returns the number of routes that are throttled.
func (th *Throttler) Throttled() int {
	count := 0
	for _, ro := range th.routes {
		if ro.isThrottled {
			count++
		}
	}
	return count
}
