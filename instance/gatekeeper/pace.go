package gatekeeper

import (
	"math"
	"net/http"

	"cornellanding.example/core/pacer"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/peerproto"
)

// demandUnit is the divisor of the demand in answers.
const demandUnit = 100

// WithPacing measures the latency of the backend server's runs and the work that arrives,
// reports both in answers and compares them with the other servers of the service. While
// the server is cold, no more requests than the bound allows start in any second, at the
// rate that the catalogue gives.
func WithPacing(bound pacer.Bound) Option {
	return func(ga *Gatekeeper) {
		ga.cm = pacer.NewComparer()
		ga.pa = pacer.NewPacer(bound, ga.pu.Now())
	}
}

// WithColdBound bounds the requests that start on a cold server in any second, at the rate
// that the catalogue gives, and has CheckCold notice a busy server that turns cold. It has
// nothing else of WithPacing, which takes precedence.
func WithColdBound(bound pacer.Bound) Option {
	return func(ga *Gatekeeper) {
		if ga.pa == nil {
			ga.pa = pacer.NewSteady(bound)
		}
	}
}

// paceGate lets the pacer limit the starts on a cold server. The lock must be held.
func (ga *Gatekeeper) paceGate(coldRate float64) {
	if ga.pa != nil {
		ga.pa.SetRate(coldRate)
		ga.gate.SetPace(ga.pa)
	}
}

// observeRun records the latency of a run that ended well.
func (ga *Gatekeeper) observeRun(jo *job, answer *peerproto.ForwardResponse, startedAt timer.Instant) {
	if ga.cm == nil || answer.GetOutcome() != OutcomeAnswered || answer.GetStatus() >= http.StatusInternalServerError {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	now := ga.pu.Now()
	route, latency := jo.rq.GetRoute(), now.Sub(startedAt)
	if ga.gate.IsCold(now) {
		// What a cold server takes doesn't tell its speed.
		usual, _ := ga.cm.PeersTypical(route, now)
		ga.pa.Finish(latency, usual)
		return
	}
	ga.cm.ObserveRun(route, latency, now)
}

// observeArrival records a request that arrives, also if it is refused. The lock must be
// held.
func (ga *Gatekeeper) observeArrival(jo *job) {
	if ga.cm != nil {
		ga.cm.ObserveArrival(jo.rq.GetRoute(), ga.pu.Now())
	}
}

// report adds to an answer what is measured of the backend server. The lock must be held.
func (ga *Gatekeeper) report(route string, answer *peerproto.ForwardResponse) {
	if ga.cm == nil {
		return
	}
	now := ga.pu.Now()
	median, _ := ga.cm.Typical(route, now)
	answer.TypicalRun = uint32(min(median/timer.Microsecond, math.MaxUint32))
	if demand, ok := ga.cm.Demand(now); ok {
		answer.Demand = uint32(max(1, min(demand*demandUnit, math.MaxUint32)))
	}
}

// ObservePeer records what an answer of another instance of the same service reports of
// its backend server.
func (ga *Gatekeeper) ObservePeer(route string, incarnation uint64, answer *peerproto.ForwardResponse) {
	if ga.cm == nil {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	now := ga.pu.Now()
	if answer.GetTypicalRun() != 0 {
		ga.cm.ObservePeer(route, incarnation, timer.Span(answer.GetTypicalRun())*timer.Microsecond, now)
	}
	if answer.GetDemand() != 0 {
		ga.cm.ObservePeerDemand(incarnation, float64(answer.GetDemand())/demandUnit, now)
	}
}

// Standing returns how the backend server compares with the others of its service, or
// false if that is not known.
func (ga *Gatekeeper) Standing() (pacer.Standing, bool) {
	if ga.cm == nil {
		return pacer.Standing{}, false
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	servers := 0
	if tb := ga.pu.View().Tables[ga.pu.Self().Service]; tb != nil {
		servers = len(tb.Map.Members)
	}
	slots := 0
	if bs := ga.pu.BackendServer(); bs != nil {
		slots = bs.Slots
	}
	return ga.cm.Standing(servers, slots, ga.pu.Now())
}
