package forwarder

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/peerproto"
	"github.com/matryer/is"
)

// TestOutdatedEntryDecidesAgain guards against an entry instance that keeps deciding by a
// configuration which the gates have replaced.
func TestOutdatedEntryDecidesAgain(t *testing.T) {
	const inForce = 2
	for name, cas := range map[string]struct {
		path string
		// change gives the route its new form.
		change  func(vi *publisher.View)
		status  int
		code    string
		arrived int
	}{
		"route unchanged": {path: "/order/x", change: func(*publisher.View) {}, status: http.StatusOK, arrived: 2},
		"route removed": {
			path: "/page/x", change: func(vi *publisher.View) { vi.Config.Catalogue.Routes = nil },
			status: http.StatusNotFound, code: CodeUnknownRoute, arrived: 1,
		},
		"key withdrawn": {
			path: "/page/x", change: func(vi *publisher.View) { vi.WorkspacesByKey = nil },
			status: http.StatusUnauthorized, code: CodeUnknownKey, arrived: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var fl *fleet
			var notices atomic.Int32
			newerConfig := func(from placer.Member, version uint64) {
				notices.Add(1)
				is.Equal(version, uint64(inForce))
				is.True(from.Address != "")
				vi := *fl.pu.View()
				vi.Config.Version = version
				cas.change(&vi)
				fl.pu.Publish(&vi)
			}
			fo, fl := newFleet(t, WithNewerConfig(newerConfig))
			gate := func(_ context.Context, rq *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
				answer, wasSent, err := answered("done")
				if rq.GetConfigVersion() < inForce {
					answer, wasSent, err = refused(gatekeeper.CodeConfigOutdated)
				}
				answer.ConfigVersion = inForce
				return answer, wasSent, err
			}
			fl.gates["a"], fl.gates["b"] = gate, gate
			answer, rf := fo.Do(context.Background(), toPath(cas.path))
			if cas.code == "" {
				is.Equal(rf, nil)
				is.Equal(answer.Status, cas.status)
			} else {
				is.Equal([]any{rf.Status, rf.Code}, []any{cas.status, cas.code})
				is.True(!rf.MayHaveRun())
			}
			is.Equal(len(fl.seen), cas.arrived)
			is.Equal(notices.Load(), int32(1))
		})
	}
}

// TestWaitingCallFollowsTheConfiguration guards against a call that waited at the entry while the
// configuration changed, and is refused as outdated though it would be decided the same.
func TestWaitingCallFollowsTheConfiguration(t *testing.T) {
	for name, cas := range map[string]struct {
		change func(rt *cataloguer.Route)
		sent   uint64
	}{
		"same service":    {change: func(rt *cataloguer.Route) { rt.Timeout *= 2 }, sent: 2},
		"another service": {change: func(rt *cataloguer.Route) { rt.Service = "keys" }, sent: 1},
		"another kind":    {change: func(rt *cataloguer.Route) { rt.Idempotent = false }, sent: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fo, fl := newFleet(t)
			// The configuration changes while the call waits for a token.
			fl.grant = func() *peerproto.GrantResponse {
				vi := *fl.pu.View()
				vi.Config.Version = 2
				vi.Config.Catalogue.Routes = slices.Clone(vi.Config.Catalogue.Routes)
				for i := range vi.Config.Catalogue.Routes {
					cas.change(&vi.Config.Catalogue.Routes[i])
				}
				fl.pu.Publish(&vi)
				return &peerproto.GrantResponse{Immediate: 1, Tokens: 5}
			}
			fl.set(func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
				return answered("ok")
			}, "a", "b")
			_, rf := fo.Do(context.Background(), toPath("/page/x"))
			is.Equal(rf, nil)
			is.Equal(fl.seen[0].GetConfigVersion(), cas.sent)
		})
	}
}

// TestOutdatedEntryRefuses guards against an entry instance that holds a request until its
// deadline since it can't get the configuration that a gate asks for.
func TestOutdatedEntryRefuses(t *testing.T) {
	is := is.New(t)
	fo, fl := newFleet(t)
	for _, address := range []string{"a", "b"} {
		fl.gates[address] = func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
			return refused(gatekeeper.CodeConfigOutdated)
		}
	}
	_, rf := fo.Do(context.Background(), toPath("/page/x"))
	is.Equal([]any{rf.Status, rf.Code}, []any{http.StatusServiceUnavailable, gatekeeper.CodeConfigOutdated})
	is.True(!rf.MayHaveRun())
	is.True(rf.RetryAfter > 0)
	is.Equal(len(fl.seen), 1)
}

// TestNoDenialWithoutNewsOfTheConfiguration guards against a 404 or 401 for a route or key that
// was added while the instance could not learn of it.
func TestNoDenialWithoutNewsOfTheConfiguration(t *testing.T) {
	const limit = 2 * timer.Second
	for name, cas := range map[string]struct {
		age    timer.Span
		change func(rq *Request)
		status int
		code   string
	}{
		"unknown route, read lately": {age: limit / 2, change: func(rq *Request) { rq.Path = "/other/" }, status: http.StatusNotFound, code: CodeUnknownRoute},
		"unknown route":              {age: 2 * limit, change: func(rq *Request) { rq.Path = "/other/" }, status: http.StatusServiceUnavailable, code: CodeNotConfirmed},
		"unknown key, read lately":   {age: limit / 2, change: func(rq *Request) { rq.Authorization = "Bearer x" }, status: http.StatusUnauthorized, code: CodeUnknownKey},
		"unknown key":                {age: 2 * limit, change: func(rq *Request) { rq.Authorization = "Bearer x" }, status: http.StatusServiceUnavailable, code: CodeNotConfirmed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fo, fl := newFleet(t, WithDenialLimit(limit))
			fl.pu.SetReadAt(fl.Now().Add(-cas.age))
			rq := toPath("/page/x")
			cas.change(&rq)
			_, rf := fo.Do(context.Background(), rq)
			is.Equal([]any{rf.Status, rf.Code}, []any{cas.status, cas.code})
			is.Equal(rf.RetryAfter > 0, cas.status == http.StatusServiceUnavailable)
			is.True(!rf.MayHaveRun())
		})
	}
}
