package gatekeeper

import (
	"cornellanding.example/core/admitter"
	"cornellanding.example/core/shaper"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/peerproto"
)

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
