package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/peerproto"
)

// Request is a caller's request without its transport, for routes by host and
// prefix.
type Request struct {
	// ID is the caller's own, "" to make one.
	ID   string
	Host string
	// Path selects the route, and Target is what the backend server gets.
	Path    string
	Target  string
	Method  string
	Headers []*peerproto.Header
	Body    []byte
	// Authorization is the caller's credential.
	Authorization string
	// Key is the entity key, "" if there is none.
	Key string
	// Timeout is how long the caller waits, 0 if it did not say.
	Timeout timer.Span
}

// Answer is a backend server's answer.
type Answer struct {
	Status  int
	Headers []*peerproto.Header
	Body    []byte
}

// Refusal is an answer that no backend server gave.
type Refusal struct {
	Status int
	Code   string
	// Outcome says whether the request ran: notRun or unknown.
	Outcome string
	Reason  string
	// RetryAfter is when to come back, 0 if that is of no use.
	RetryAfter timer.Span
}

// MayHaveRun reports whether the request may have run.
func (rf Refusal) MayHaveRun() bool {
	return rf.Outcome != gatekeeper.OutcomeName(gatekeeper.OutcomeNotRun)
}

// The shares of the time to a route's target latency, and to the deadline, after
// which a call that nobody can run is given up, so that its caller can come back
// in time.
const (
	targetShare   = 0.6
	deadlineShare = 0.3
)

// MaxBody returns the largest body that callers may send, in bytes, or absent if
// the configuration doesn't say.
func (fo *Forwarder) MaxBody(absent int64) int64 {
	if limit := fo.so.View().Config.Callers.MaxBody; limit > 0 {
		return limit
	}
	return absent
}

// Do serves a request that a transport has read. It returns either an answer or
// a refusal.
func (fo *Forwarder) Do(ctx context.Context, rq Request) (*Answer, *Refusal) {
	ca := newCall(fo.so.Now())
	if rq.ID != "" {
		ca.id = rq.ID
	}
	answer, rf := fo.do(ctx, ca, rq)
	if rf != nil {
		settled := ca.settle(*rf)
		fo.logRefusal(ca, settled)
		return nil, &settled
	}
	fo.logAnswer(ca, int(answer.GetStatus()))
	return &Answer{Status: int(answer.GetStatus()), Headers: answer.GetHeaders(), Body: answer.GetBody()}, nil
}

func (fo *Forwarder) do(ctx context.Context, ca *call, rq Request) (*peerproto.ForwardResponse, *Refusal) {
	if rf := fo.refuseIfStopping(); rf != nil {
		return nil, rf
	}
	vi := fo.so.View()
	if vi.Config.Version == 0 {
		return nil, &Refusal{Status: http.StatusServiceUnavailable, Code: CodeStarting, Reason: "the instance has no catalogue yet", RetryAfter: comeBack}
	}
	rt, ok := fo.index.find(vi, rq.Host, rq.Path)
	if !ok {
		return nil, &Refusal{Status: http.StatusNotFound, Code: CodeUnknownRoute, Reason: "no route has this host and prefix"}
	}
	ca.take(rt)
	ca.key, ca.target, ca.host, ca.headers, ca.body = rq.Key, rq.Target, rq.Host, rq.Headers, rq.Body
	ca.method, ca.callerService = rq.Method, fo.callerOf
	ca.setDeadline(rq.Timeout)
	if deadline, ok := ctx.Deadline(); ok {
		left := timer.FromDuration(time.Until(deadline))
		ca.deadlineAt = min(ca.deadlineAt, fo.so.Now().Add(left))
	}
	if vi.Services[ca.service].Class == cataloguer.Exclusive && ca.key == "" {
		return nil, &Refusal{Status: http.StatusBadRequest, Code: CodeBadRequest, Reason: "the entity key is missing"}
	}
	if rf := fo.authenticate(ca, rq.Authorization); rf != nil {
		return nil, rf
	}
	ctx, cancel := context.WithTimeout(ctx, ca.deadlineAt.Sub(fo.so.Now()).Duration())
	defer cancel()
	if rf := fo.limit(ctx, ca); rf != nil {
		return nil, rf
	}
	return fo.dispatch(ctx, ca)
}

// take follows a route.
func (ca *call) take(rt cataloguer.Route) {
	ca.route = rt
	ca.service = rt.Service
	ca.method = rt.Method
	ca.priority = rt.Priority
	ca.idempotent = rt.Idempotent
	if len(rt.Splits) > 0 {
		ca.service = choose(rt.Splits, rand.Float64())
	}
}

// choose picks a service by weight, for a random number from 0 to 1.
func choose(splits []cataloguer.Split, random float64) string {
	sum := 0.0
	for _, sp := range splits {
		sum += sp.Weight
	}
	left := random * sum
	for _, sp := range splits {
		if left < sp.Weight {
			return sp.Service
		}
		left -= sp.Weight
	}
	return splits[len(splits)-1].Service
}

func (ca *call) setDeadline(patience timer.Span) {
	span := ca.route.Timeout
	if patience > 0 {
		span = min(span, patience)
	}
	ca.deadlineAt = ca.startedAt.Add(span)
	wait := float64(span) * deadlineShare
	if ca.route.TargetLatency > 0 {
		wait = min(wait, float64(ca.route.TargetLatency)*targetShare)
	}
	ca.giveUpAt = ca.startedAt.Add(timer.Span(wait))
}

// targetLeft returns what is left until the route's target latency, 0 if it has
// none.
func (ca *call) targetLeft(now timer.Instant) timer.Span {
	if ca.route.TargetLatency == 0 {
		return 0
	}
	return ca.startedAt.Add(ca.route.TargetLatency).Sub(now)
}

// settle completes a refusal: whatever its reason, a call that was sent may have
// run.
func (ca *call) settle(rf Refusal) Refusal {
	if rf.Outcome == "" {
		rf.Outcome = gatekeeper.OutcomeName(gatekeeper.OutcomeNotRun)
	}
	if ca.mayHaveRun {
		rf.Outcome = gatekeeper.OutcomeName(gatekeeper.OutcomeUnknown)
	}
	return rf
}

// routeIndex finds routes by host and prefix. It is built once for each view.
type routeIndex struct {
	built atomic.Pointer[builtIndex]
}

type builtIndex struct {
	view   *publisher.View
	byHost map[string][]cataloguer.Route
}

func (ri *routeIndex) find(vi *publisher.View, host, path string) (cataloguer.Route, bool) {
	bi := ri.built.Load()
	if bi == nil || bi.view != vi {
		bi = buildIndex(vi)
		ri.built.Store(bi)
	}
	for _, rt := range bi.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, rt.Prefix) {
			return rt, true
		}
	}
	return cataloguer.Route{}, false
}

// buildIndex sorts the routes of each host by falling length of their prefix.
func buildIndex(vi *publisher.View) *builtIndex {
	bi := &builtIndex{view: vi, byHost: map[string][]cataloguer.Route{}}
	for _, rt := range vi.Config.Catalogue.Routes {
		if rt.Prefix != "" {
			host := strings.ToLower(rt.Host)
			bi.byHost[host] = append(bi.byHost[host], rt)
		}
	}
	for _, rts := range bi.byHost {
		slices.SortStableFunc(rts, func(le, ri cataloguer.Route) int { return len(ri.Prefix) - len(le.Prefix) })
	}
	return bi
}
