package gatekeeper

import (
	"cornellanding.example/core/admitter"
	"cornellanding.example/wire/peerproto"
)

// WithServerMemory bounds the bytes of the requests that the backend server holds by what it
// has sustained. By default, there is no bound.
func WithServerMemory() Option {
	return func(ga *Gatekeeper) { ga.bodies = admitter.NewByteLimit() }
}

// BodyBound returns the bound in bytes, or 0 if there is none.
func (ga *Gatekeeper) BodyBound() int64 {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.bodies == nil {
		return 0
	}
	return ga.bodies.Bound()
}

// arriveAtBodies reserves the request's body or returns a refusal. The lock must be held.
func (ga *Gatekeeper) arriveAtBodies(jo *job) *peerproto.ForwardResponse {
	if ga.bodies == nil {
		return nil
	}
	jo.isInBodies = ga.bodies.Arrive(jo.body.Len())
	if jo.isInBodies {
		return nil
	}
	answer := refuse(admitter.CodeServerMemory, "the backend server holds as many bytes of requests as it has sustained")
	answer.RetryAfter = int64(ga.gate.RetryAfter(ga.pu.Now()))
	return answer
}

// leaveBodies ends the reservation of the request's body.
func (ga *Gatekeeper) leaveBodies(jo *job) {
	if !jo.isInBodies {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.bodies.Leave(jo.body.Len())
}

// startBody records that the server gets the request. The lock must be held.
func (ga *Gatekeeper) startBody(jo *job) {
	if ga.bodies != nil {
		ga.bodies.Start(jo.body.Len())
	}
}

// endBody records the end of a run. The lock must be held.
func (ga *Gatekeeper) endBody(jo *job, result result) {
	if ga.bodies == nil {
		return
	}
	size := jo.body.Len()
	switch result {
	case resultAnswered:
		ga.bodies.Succeed(size)
	case resultCrashed:
		ga.bodies.Crash(size, ga.pu.Now())
	default:
		ga.bodies.End(size)
	}
}
