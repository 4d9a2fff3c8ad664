package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/accountant"
	"cornellanding.example/instance/assembler"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/peerproto"
)

// Request is a caller's request, independent of the transport, for routes by host
// and prefix.
type Request struct {
	// ID is the caller's request ID, or empty to generate one.
	ID   string
	Host string
	// Path selects the route, and Target is sent to the backend server.
	Path    string
	Target  string
	Method  string
	Headers []*peerproto.Header
	// Body is nil for a request without a body.
	Body *assembler.Body
	// Authorization is the value of the Authorization header.
	Authorization string
	// Key is the entity key, or empty if there is none.
	Key string
	// Timeout is how long the caller waits, or 0 for the route's timeout.
	Timeout timer.Span
}

// Answer is the answer of a backend server.
type Answer struct {
	Status  int
	Headers []*peerproto.Header
	Body    []byte
}

// Refusal is an answer given by an instance instead of a backend server.
type Refusal struct {
	Status int
	Code   string
	// Outcome says whether the request ran: notRun or unknown.
	Outcome string
	Reason  string
	// RetryAfter is the advised retry delay, or 0 if a retry is of no use.
	RetryAfter timer.Span
}

// MayHaveRun reports whether the request may have run.
func (rf Refusal) MayHaveRun() bool {
	return rf.Outcome != gatekeeper.OutcomeName(gatekeeper.OutcomeNotRun)
}

// A request that no owner accepts, or that waits for tokens, is refused after these
// shares of its target latency and of the time to its deadline, so that the caller
// can still retry in time.
const (
	targetShare   = 0.6
	deadlineShare = 0.3
)

// MaxBody returns the configured maximum size of a request body in bytes, or absent
// if none is configured.
func (fo *Forwarder) MaxBody(absent int64) int64 {
	if limit := fo.so.View().Config.Callers.MaxBody; limit > 0 {
		return limit
	}
	return absent
}

// Priority returns the priority of the route for a host and path, or the most urgent one if
// there is none.
func (fo *Forwarder) Priority(host, path string) cataloguer.Priority {
	rt, _ := fo.index.find(fo.so.View(), host, path)
	return rt.Priority
}

// Do serves a request that a transport has read. It returns either an answer or a
// refusal. It decides again if a gate finds that the configuration was outdated.
func (fo *Forwarder) Do(ctx context.Context, rq Request) (*Answer, *Refusal) {
	ca := newCall(fo.so.Now())
	if rq.ID != "" {
		ca.id = rq.ID
	}
	defer func() { accountant.From(ctx).Give(ca.body.Len()) }()
	answer, rf := fo.do(ctx, ca, rq)
	for fo.mustDecideAgain(ctx, ca, rf) {
		answer, rf = fo.do(ctx, ca, rq)
	}
	if rf != nil {
		settled := ca.withOutcome(*rf)
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
	ca.config = vi.Config.Version
	if vi.Config.Version == 0 {
		return nil, &Refusal{Status: http.StatusServiceUnavailable, Code: CodeStarting, Reason: "the instance has no catalogue yet", RetryAfter: defaultRetryAfter}
	}
	rt, ok := fo.index.find(vi, rq.Host, rq.Path)
	if !ok {
		return nil, fo.deny(http.StatusNotFound, CodeUnknownRoute, "no route has this host and prefix")
	}
	ca.setRoute(rt)
	if ca.mayHaveRun && !ca.idempotent {
		return nil, &Refusal{Status: http.StatusBadGateway, Code: CodeLost, Reason: "the request may have run and is no longer idempotent"}
	}
	ca.key, ca.target, ca.host, ca.headers = rq.Key, rq.Target, rq.Host, rq.Headers
	if rq.Body != nil {
		ca.body = rq.Body
	}
	ca.method, ca.callerService = rq.Method, fo.callerService
	ca.setDeadline(rq.Timeout)
	if rf := fo.applyContextDeadline(ctx, ca); rf != nil {
		return nil, rf
	}
	if vi.Services[ca.service].Class == cataloguer.Exclusive && ca.key == "" {
		return nil, &Refusal{Status: http.StatusBadRequest, Code: CodeBadRequest, Reason: "the entity key is missing"}
	}
	if rf := fo.authenticate(ca, rq.Authorization); rf != nil {
		return nil, rf
	}
	ctx, cancel := context.WithTimeout(ctx, ca.deadlineAt.Sub(fo.so.Now()).Duration())
	defer cancel()
	if !ca.hasToken {
		if rf := fo.limit(ctx, ca); rf != nil {
			return nil, rf
		}
		ca.hasToken = true
	}
	return fo.dispatch(ctx, ca)
}

// setRoute applies the settings of a route, and chooses a service by its traffic
// split.
func (ca *call) setRoute(rt cataloguer.Route) {
	ca.route = rt
	ca.service = rt.Service
	ca.method = rt.Method
	ca.priority = rt.Priority
	ca.idempotent = rt.Idempotent
	if len(rt.Splits) > 0 {
		ca.service = choose(rt.Splits, rand.Float64())
	}
}

// choose picks a service by weight for a random number in [0, 1).
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

// setDeadline sets the deadline and giveUpAt from the route and the caller's timeout.
func (ca *call) setDeadline(timeout timer.Span) {
	span := ca.route.Timeout
	if timeout > 0 {
		span = min(span, timeout)
	}
	ca.deadlineAt = ca.startedAt.Add(span)
	wait := float64(span) * deadlineShare
	if ca.route.TargetLatency > 0 {
		wait = min(wait, float64(ca.route.TargetLatency)*targetShare)
	}
	ca.giveUpAt = ca.startedAt.Add(timer.Span(wait))
}

// targetLeft returns the time left until the route's target latency, or 0 if it has
// none. It is negative once the target has passed.
func (ca *call) targetLeft(now timer.Instant) timer.Span {
	if ca.route.TargetLatency == 0 {
		return 0
	}
	return ca.startedAt.Add(ca.route.TargetLatency).Sub(now)
}

// withOutcome sets the outcome of a refusal. It is unknown if a copy that may have
// run was sent, whatever the reason of the refusal.
func (ca *call) withOutcome(rf Refusal) Refusal {
	if rf.Outcome == "" {
		rf.Outcome = gatekeeper.OutcomeName(gatekeeper.OutcomeNotRun)
	}
	if ca.mayHaveRun {
		rf.Outcome = gatekeeper.OutcomeName(gatekeeper.OutcomeUnknown)
	}
	return rf
}

// routeIndex finds routes by host and prefix. It is rebuilt when the view changes.
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

// buildIndex groups the routes by host, longest prefix first.
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
