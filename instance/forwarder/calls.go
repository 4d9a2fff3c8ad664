package forwarder

import (
	"net/http"
	"sync"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/throttler"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/wire/peerproto"
)

// callRouteTerm is how long a route counts as a route of calls after a gate last said so.
// While the called servers are away, no gate says anything.
const callRouteTerm = 600 * timer.Second

// calls tells the calls of the backend server on this VM from the requests of outside
// callers, which enter at the same address.
type calls struct {
	observe func(ca throttler.Call)

	mu sync.RWMutex
	// routeUntil holds until when a route counts as a route of calls.
	routeUntil map[string]timer.Instant
}

// WithCallObserver sets the function called at the end of each call that the backend server
// on this VM made.
func WithCallObserver(observe func(ca throttler.Call)) Option {
	return func(fo *Forwarder) { fo.calls.observe = observe }
}

// learnCallRoute records that a gate gets requests on the route only as calls.
func (fo *Forwarder) learnCallRoute(ca *call, answer *peerproto.ForwardResponse) {
	if fo.calls.observe == nil || !answer.GetCallRoute() {
		return
	}
	fo.calls.mu.Lock()
	defer fo.calls.mu.Unlock()
	if fo.calls.routeUntil == nil {
		fo.calls.routeUntil = map[string]timer.Instant{}
	}
	fo.calls.routeUntil[ca.route.Name] = fo.so.Now().Add(callRouteTerm)
}

// isCall reports whether the backend server on this VM sent the request. Where workspaces
// are configured, its calls are the requests without a key on open routes.
func (fo *Forwarder) isCall(ca *call) bool {
	if len(fo.so.View().Config.Catalogue.Workspaces) > 0 {
		return ca.workspace == "" && ca.route.Access == cataloguer.OpenAccess
	}
	fo.calls.mu.RLock()
	defer fo.calls.mu.RUnlock()
	return fo.so.Now().Before(fo.calls.routeUntil[ca.route.Name])
}

// observeCall reports the end of a call.
func (fo *Forwarder) observeCall(ca *call, code string, status int) {
	if fo.calls.observe == nil || ca.route.Name == "" || !fo.isCall(ca) {
		return
	}
	isFailed := status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
	fo.calls.observe(throttler.Call{
		Route: ca.route.Name, StartedAt: ca.startedAt, IsFailed: isFailed, IsOverload: isFailed && isOverload(code),
	})
}

// isOverload reports whether a refusal code says that the called service had too much to do.
func isOverload(code string) bool {
	switch code {
	case admitter.CodeOverloaded, admitter.CodeDeadline, admitter.CodeServerLimit, admitter.CodeCallsRefused, admitter.CodeLinkFull,
		admitter.CodeServerMemory, gatekeeper.CodeShed, gatekeeper.CodeNoMemory:
		return true
	default:
		return false
	}
}
