package gatekeeper

import (
	"context"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/shaper"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/peerproto"
)

// CodeBodyIncomplete means that the body of a request did not arrive, or not unaltered. The
// request has not run.
const CodeBodyIncomplete = "bodyIncomplete"

// Link is the VM's outbound link.
type Link interface {
	// Finish returns when a response of the given size in bytes that is ready now would
	// be completely sent. It is called with the Gatekeeper's lock held, so it must not
	// call the Gatekeeper.
	Finish(bytes int64, now timer.Instant) timer.Instant
}

// WithLink refuses requests whose responses the link can't send in time. By default, the
// link is not limited.
func WithLink(li Link) Option {
	return func(ga *Gatekeeper) { ga.link = &linkGate{Link: li, ad: shaper.NewAdmission()} }
}

// linkGate is the admission by the VM's link. The Gatekeeper's lock protects it.
type linkGate struct {
	Link
	ad *shaper.Admission
}

func (jo *job) wish(request admitter.Request) shaper.Wish {
	return shaper.Wish{Route: request.Route, TargetAt: request.TargetAt, DeadlineAt: request.DeadlineAt}
}

// arriveOnLink reserves the request's response on the link or returns a refusal. The lock
// must be held.
func (ga *Gatekeeper) arriveOnLink(jo *job, request admitter.Request) *peerproto.ForwardResponse {
	if ga.link == nil {
		return nil
	}
	retryAfter, ok := ga.link.ad.Arrive(&jo.onLink, jo.wish(request), ga.link.Finish, ga.pu.Now())
	return refuseLinkFull(retryAfter, ok, "the VM's link can't send the response in time")
}

// startOnLink checks the link again for a request that gets a slot. It returns a refusal
// if the response can't be sent before the deadline any more.
func (ga *Gatekeeper) startOnLink(jo *job) *peerproto.ForwardResponse {
	if ga.link == nil {
		return nil
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	retryAfter, ok := ga.link.ad.Start(&jo.onLink, jo.wish(jo.admissionRequest()), ga.link.Finish, ga.pu.Now())
	return refuseLinkFull(retryAfter, ok, "the VM's link became too busy while the request waited")
}

func refuseLinkFull(retryAfter timer.Span, isAdmitted bool, reason string) *peerproto.ForwardResponse {
	if isAdmitted {
		return nil
	}
	answer := refuse(admitter.CodeLinkFull, reason)
	answer.RetryAfter = int64(retryAfter)
	return answer
}

// observeLink records the size of a response.
func (ga *Gatekeeper) observeLink(jo *job, answer *peerproto.ForwardResponse) {
	if ga.link == nil || answer.GetOutcome() != OutcomeAnswered {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.link.ad.Observe(jo.rq.GetRoute(), int64(len(answer.GetBody())))
}

// leaveLink ends the request's reservation.
func (ga *Gatekeeper) leaveLink(jo *job) {
	if ga.link == nil {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.link.ad.Release(&jo.onLink)
}

// RefuseHead returns a refusal of a request whose body has not been sent yet, or nil. Forward
// decides about the others once their bodies are there.
func (ga *Gatekeeper) RefuseHead(ctx context.Context, rq *peerproto.ForwardRequest) *peerproto.ForwardResponse {
	startedAt := ga.pu.Now()
	refusal := ga.refuseHead(ctx, rq)
	if refusal == nil {
		return nil
	}
	return ga.conclude(rq, refusal, startedAt)
}

func (ga *Gatekeeper) refuseHead(ctx context.Context, rq *peerproto.ForwardRequest) *peerproto.ForwardResponse {
	if refusal := ga.refuseOutdated(rq); refusal != nil {
		return refusal
	}
	sv, refusal := ga.serviceOf(ctx, rq)
	if refusal != nil {
		return refusal
	}
	if _, refusal := ga.partitionOf(sv, rq.GetKey()); refusal != nil {
		return refusal
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.isDraining {
		return refuse(admitter.CodeDraining, "this instance is stopping")
	}
	return ga.refuseByServer(sv)
}

// RefuseBody refuses a request that arrived at startedAt because its body was not admitted or
// not received.
func (ga *Gatekeeper) RefuseBody(rq *peerproto.ForwardRequest, code, reason string, retryAfter timer.Span, startedAt timer.Instant) *peerproto.ForwardResponse {
	answer := refuse(code, reason)
	answer.RetryAfter = int64(retryAfter)
	return ga.conclude(rq, answer, startedAt)
}
