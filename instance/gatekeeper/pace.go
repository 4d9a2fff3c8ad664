package gatekeeper

import (
	"math"
	"net/http"

	"cornellanding.example/core/pacer"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/peerproto"
)

// WithPacing measures the latency of the backend server's runs, reports its median in
// answers and compares it with that of the other servers of the service.
func WithPacing() Option { return func(ga *Gatekeeper) { ga.cm = pacer.NewComparer() } }

// observeRun records the latency of a run that ended well.
func (ga *Gatekeeper) observeRun(jo *job, answer *peerproto.ForwardResponse, startedAt timer.Instant) {
	if ga.cm == nil || answer.GetOutcome() != OutcomeAnswered || answer.GetStatus() >= http.StatusInternalServerError {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	now := ga.pu.Now()
	ga.cm.ObserveRun(jo.rq.GetRoute(), now.Sub(startedAt), now)
}

// typicalRun returns the median time of the latest runs of a route in microseconds, 0 if
// it is not known.
func (ga *Gatekeeper) typicalRun(route string) uint32 {
	if ga.cm == nil {
		return 0
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	median, _ := ga.cm.Typical(route, ga.pu.Now())
	return uint32(min(median/timer.Microsecond, math.MaxUint32))
}

// ObservePeer records what an answer of another instance of the same service reports of
// its backend server.
func (ga *Gatekeeper) ObservePeer(route string, incarnation uint64, answer *peerproto.ForwardResponse) {
	if ga.cm == nil || answer.GetTypicalRun() == 0 {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.cm.ObservePeer(route, incarnation, timer.Span(answer.GetTypicalRun())*timer.Microsecond, ga.pu.Now())
}

// Speed returns the speed of the backend server relative to the median of its service, or
// false if it is not known.
func (ga *Gatekeeper) Speed() (float64, bool) {
	if ga.cm == nil {
		return 0, false
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	servers := 0
	if tb := ga.pu.View().Tables[ga.pu.Self().Service]; tb != nil {
		servers = len(tb.Map.Members)
	}
	return ga.cm.Speed(servers, ga.pu.Now())
}
