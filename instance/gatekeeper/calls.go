package gatekeeper

import (
	"net/http"
	"sync/atomic"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/throttler"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/peerproto"
)

// calls is what the Gatekeeper knows of calls: those that its own server makes, and the
// routes on which other servers call it.
type calls struct {
	th     *throttler.Throttler
	routes *admitter.CallRoutes
	// isActive is set with the first call of the own server.
	isActive atomic.Bool
}

func newCalls() calls { return calls{th: throttler.New(), routes: admitter.NewCallRoutes()} }

// ObserveCall records the end of a call that the backend server made. Where workspaces are
// configured it does nothing, so that no route is throttled: their rates limit the load
// already, and throttling refused more there than it let through.
func (ga *Gatekeeper) ObserveCall(ca throttler.Call) {
	if len(ga.pu.View().Config.Catalogue.Workspaces) > 0 {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.calls.isActive.Store(true)
	ga.calls.th.Call(ca, ga.pu.Now())
	ga.logThrottling()
}

// ThrottledRoutes returns the number of routes that are throttled because of failing calls.
func (ga *Gatekeeper) ThrottledRoutes() int {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.calls.th.Throttled()
}

// throttle refuses a request whose calls are expected to fail, or returns nil. The lock must
// be held.
func (ga *Gatekeeper) throttle(jo *job) *peerproto.ForwardResponse {
	if !ga.calls.isActive.Load() {
		return nil
	}
	request := throttler.Request{
		Route: jo.rq.GetRoute(), Fingerprint: jo.fingerprint, Priority: int(jo.rq.GetPriority()), DeadlineAt: jo.deadlineAt,
	}
	de := ga.calls.th.Arrive(request, ga.pu.Now())
	ga.logThrottling()
	re, isRefused := de.(throttler.Refuse)
	if !isRefused {
		return nil
	}
	answer := refuse(admitter.CodeCallsRefused, "the calls of this route fail")
	answer.RetryAfter = int64(re.RetryAfter)
	return answer
}

// cancel takes back the admission of a request that doesn't start. The lock must be held.
func (cs *calls) cancel(jo *job) {
	if cs.isActive.Load() {
		cs.th.Cancel(jo.rq.GetRoute())
	}
}

// logThrottling logs the routes whose throttling began or ended. The lock must be held.
func (ga *Gatekeeper) logThrottling() {
	for _, ch := range ga.calls.th.TakeChanges() {
		ga.lo.Info("throttling for failing calls changed", "route", ch.Route, "isThrottled", ch.IsThrottled, "runsPerSecond", ch.Rate)
	}
}

// beginRun records the start of a run. The result is for endRun.
func (ga *Gatekeeper) beginRun(jo *job, now timer.Instant) throttler.Run {
	if !ga.calls.isActive.Load() {
		return throttler.Run{}
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.calls.th.Start(jo.rq.GetRoute(), now)
}

// endRun records the end of a run that the backend server answered. The status of others,
// such as those that timed out, says nothing about calls.
func (ga *Gatekeeper) endRun(ru throttler.Run, answer *peerproto.ForwardResponse) {
	if ru == (throttler.Run{}) || answer.GetOutcome() != OutcomeAnswered {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.calls.th.Finish(ru, answer.GetStatus() >= http.StatusInternalServerError, ga.pu.Now())
}

// seesCallers reports whether calls are recognised by the services whose VMs they enter at.
// Where workspaces are configured, calls are the requests without a workspace's key.
func (ga *Gatekeeper) seesCallers(rq *peerproto.ForwardRequest) bool {
	return rq.GetCallerService() != "" && len(ga.pu.View().Config.Catalogue.Workspaces) == 0
}

// keepsPlaces reports whether refusals reserve times for requests to return. Requests to a
// shared service may return to another server, where they are new, and would leave their
// places empty.
func (ga *Gatekeeper) keepsPlaces(jo *job) bool {
	return ga.seesCallers(jo.rq) && jo.sv.Class == cataloguer.Exclusive
}

// observeCaller records where a request entered, and reports whether it is a call. The lock
// must be held.
func (ga *Gatekeeper) observeCaller(rq *peerproto.ForwardRequest) bool {
	if !ga.seesCallers(rq) {
		return false
	}
	ga.calls.routes.Observe(rq.GetRoute(), rq.GetCallerService())
	return ga.isCallRoute(rq)
}

// isCallRoute reports whether requests on the route of rq are calls. The lock must be held.
func (ga *Gatekeeper) isCallRoute(rq *peerproto.ForwardRequest) bool {
	return ga.seesCallers(rq) && ga.calls.routes.IsCall(rq.GetRoute(), ga.fleetShare)
}

// fleetShare returns the part of the instances that run a service, or 1 if it is not known.
func (ga *Gatekeeper) fleetShare(service string) float64 {
	tables := ga.pu.View().Tables
	tb, all := tables[service], tables[folder.LimitsService]
	if tb == nil || all == nil || len(all.Map.Members) == 0 {
		return 1
	}
	return float64(len(tb.Map.Members)) / float64(len(all.Map.Members))
}
