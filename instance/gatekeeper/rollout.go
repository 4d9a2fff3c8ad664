package gatekeeper

import (
	"context"
	"errors"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/roller"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/peerproto"
)

const (
	// newSpan is for how long after the first heartbeat of a server its responses are not
	// compared with those of others.
	newSpan = 3 * timer.Second
	// exposureRetryAfter is the delay advised to callers of a server that has got as many
	// requests as a rollout allows for now: grants are extended four times a second.
	exposureRetryAfter = 300 * timer.Millisecond
)

// WithRollOuts makes the Gatekeeper refuse requests to a backend server whose version is
// not in force, except for those that a rollout grants.
func WithRollOuts() Option { return func(ga *Gatekeeper) { ga.versions = roller.NewGate() } }

// refuseVersion returns a refusal if the backend server's version gets no request now, or
// else nil. The lock must be held.
func (ga *Gatekeeper) refuseVersion() *peerproto.ForwardResponse {
	bs := ga.pu.BackendServer()
	if ga.versions == nil || bs == nil {
		return nil
	}
	self := ga.pu.Self()
	st := ga.pu.View().RollOuts[self.Service]
	switch {
	case ga.versions.Admits(st, self.BackendServer, bs.Version, ga.pu.Now()):
		return nil
	case st.AdmissionOf(self.BackendServer, bs.Version) == roller.AdmitGranted:
		answer := refuse(admitter.CodeExposure, "the rollout of version "+bs.Version+" allows no more requests for now")
		answer.RetryAfter = int64(exposureRetryAfter)
		return answer
	default:
		return refuse(admitter.CodeVersion, "version "+bs.Version+" is not in force")
	}
}

// startVersion counts a request that starts, after refuseVersion. It returns the order for
// which finishVersion counts the response. The lock must be held.
func (ga *Gatekeeper) startVersion() uint64 {
	if ga.versions == nil {
		return 0
	}
	ga.versions.Start()
	return ga.versions.Order()
}

// finishVersion counts the response to a request. What did not run counts as none, nor does
// what the caller gave up. The lock must be held.
func (ga *Gatekeeper) finishVersion(ctx context.Context, jo *job, answer *peerproto.ForwardResponse, result result) {
	if ga.versions == nil {
		return
	}
	if result == resultCancelled {
		// The server may go on until the request's deadline.
		ga.abandonedUntil = max(ga.abandonedUntil, jo.deadlineAt)
	}
	if jo.order == 0 || answer.GetOutcome() == OutcomeNotRun {
		return
	}
	isLate := result == resultCancelled && errors.Is(ctx.Err(), context.DeadlineExceeded)
	if result != resultAnswered && result != resultCrashed && !isLate {
		return
	}
	isBad := answer.GetOutcome() != OutcomeAnswered || answer.GetStatus() >= 500
	ga.versions.Finish(jo.order, jo.rq.GetRoute(), isBad, ga.pu.Now().Sub(jo.startedAt))
}

// RollOut applies a grant for the published state of the service's versions, and adds to the
// answer what the gate counts.
func (ga *Gatekeeper) RollOut(gr roller.Grant, answer *peerproto.RollOutResponse) {
	bs := ga.pu.BackendServer()
	if ga.versions == nil || bs == nil {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	now := ga.pu.Now()
	st := ga.pu.View().RollOuts[ga.pu.Self().Service]
	ga.versions.Apply(st, gr, now)
	started, routes := ga.versions.Counts(st)
	answer.Started = started
	for route, cu := range routes {
		answer.Routes = append(answer.Routes, &peerproto.RouteCounts{Route: route, Good: cu.Good, Bad: cu.Bad, Slow: cu.Slow, Latency: int64(cu.Latency)})
	}
	if ga.gate != nil {
		answer.Running = uint32(ga.gate.Running())
	}
	if now.Before(ga.abandonedUntil) {
		answer.Running++
	}
	answer.Ready = bs.ID != "" && bs.RefuseAt == 0 && !ga.isServerLeft(bs)
	answer.Cold = now.Before(bs.ColdUntil)
	answer.New = now.Sub(bs.Since) < newSpan
}
