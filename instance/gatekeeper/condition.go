package gatekeeper

import (
	"cornellanding.example/core/admitter"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
)

// Condition is what a backend server says of itself in an answer.
type Condition struct {
	// IsLimited means that the server takes at most RequestLimit requests a second
	// from all callers together. A limit holds until an answer names none.
	IsLimited    bool
	RequestLimit float64
	// IsLeaving means that the server will end soon and is to get no new requests.
	IsLeaving bool
}

// observedCondition is the latest condition of one start of the backend server.
type observedCondition struct {
	Condition
	run registrar.ServerRun
	// isHeard is set with the first answer.
	isHeard bool
	// limitedAt is when an answer last named a limit.
	limitedAt timer.Instant
	// refuseAt is from when a leaving server gets no new requests.
	refuseAt timer.Instant
}

// observeCondition records the condition in an answer of the backend server to a request
// sent at sentAt. The answers to requests that run side by side may be read in another
// order than written, so that a limit ends only with the answer to a request sent after
// the limit was last named.
func (ga *Gatekeeper) observeCondition(cn Condition, run registrar.ServerRun, sentAt timer.Instant) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	now := ga.pu.Now()
	if run != ga.condition.run {
		if bs := ga.pu.BackendServer(); bs != nil && serverRun(bs) != run {
			return
		}
		ga.condition = observedCondition{run: run}
	}
	ga.condition.isHeard = true
	wasAwaited := ga.gate != nil && ga.gate.HearAnswer()
	former := ga.condition.Condition
	switch {
	case cn.IsLimited:
		ga.condition.limitedAt = now
	case former.IsLimited && sentAt <= ga.condition.limitedAt:
		cn.IsLimited, cn.RequestLimit = true, former.RequestLimit
	}
	cn.IsLeaving = cn.IsLeaving || former.IsLeaving
	ga.condition.Condition = cn
	if cn.IsLeaving {
		ga.leave(now)
	}
	if cn != former || wasAwaited {
		ga.applyServerLimit()
	}
	if cn == former {
		return
	}
	ga.lo.Info("condition of the backend server changed", "server", run.ID, "isLimited", cn.IsLimited, "requestLimit", cn.RequestLimit,
		"isLeaving", cn.IsLeaving, "formerLimit", former.RequestLimit)
}

// leave notes when a leaving server gets no new requests any more, and notifies the control
// loop until that knows it. The lock must be held.
func (ga *Gatekeeper) leave(now timer.Instant) {
	if ga.condition.refuseAt == 0 {
		ga.condition.refuseAt = now.Add(registrar.DrainServeSpan)
	}
	if bs := ga.pu.BackendServer(); bs != nil && bs.RefuseAt == 0 {
		ga.serverLeaving(ga.condition.run.ID)
	}
}

// isServerLeft reports whether a server that said that it is leaving gets no new requests
// any more. The lock must be held.
func (ga *Gatekeeper) isServerLeft(bs *publisher.BackendServer) bool {
	at := ga.condition.refuseAt
	return at != 0 && ga.condition.run == serverRun(bs) && !ga.pu.Now().Before(at)
}

// applyServerLimit applies the limit that the server names, and refuses the queued requests
// that can't be served under it. The lock must be held.
func (ga *Gatekeeper) applyServerLimit() {
	if ga.gate == nil {
		return
	}
	now := ga.pu.Now()
	for _, ticket := range ga.gate.SetServerLimit(ga.condition.RequestLimit, ga.condition.IsLimited, now) {
		ga.wake(ticket, turnLimited)
	}
	ga.wakeAll(ga.gate.StartQueued(now))
	ga.scheduleStart()
}

// forgetFormerServer drops the condition of a server that has been replaced by another
// start. The lock must be held.
func (ga *Gatekeeper) forgetFormerServer(bs *publisher.BackendServer) {
	run := serverRun(bs)
	if ga.condition.run == run {
		return
	}
	ga.condition = observedCondition{run: run}
	if ga.cm != nil {
		ga.cm.ForgetRuns()
	}
	if ga.gate != nil {
		ga.gate.AwaitAnswer()
	}
	ga.applyServerLimit()
}

// Condition returns what the backend server last said of itself, for WithFormerCondition.
func (ga *Gatekeeper) Condition() FormerCondition {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return FormerCondition{observed: ga.condition, quarantine: ga.qu.Clone()}
}

// FormerCondition is the condition of the backend server, and what crashed it, as known
// to another Gatekeeper in front of it.
type FormerCondition struct {
	observed   observedCondition
	quarantine *admitter.Quarantine
}

// WithFormerCondition starts with the condition known to the Gatekeeper of a former
// incarnation, as the backend server does not end with it.
func WithFormerCondition(fc FormerCondition) Option {
	return func(ga *Gatekeeper) {
		ga.condition = fc.observed
		if fc.quarantine != nil {
			ga.qu = fc.quarantine
		}
	}
}
