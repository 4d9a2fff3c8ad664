package forwarder

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/peerproto"
	"github.com/matryer/is"
)

// fleet is a fake of the other instances and of the homes of token buckets.
type fleet struct {
	pu *publisher.Publisher
	mu sync.Mutex
	// gates maps addresses to handlers of forwarded requests.
	gates map[string]func(ctx context.Context, rq *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error)
	seen  []*peerproto.ForwardRequest
	// grant answers requests for tokens. A nil response means no answer.
	grant func() *peerproto.GrantResponse
}

func (fl *fleet) View() *publisher.View { return fl.pu.View() }
func (fl *fleet) Now() timer.Instant    { return fl.pu.Now() }
func (fl *fleet) IsFresh() bool         { return true }
func (fl *fleet) ReadAt() timer.Instant { return fl.pu.ReadAt() }

func (fl *fleet) Forward(ctx context.Context, address string, rq *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
	fl.mu.Lock()
	fl.seen = append(fl.seen, rq)
	gate := fl.gates[address]
	fl.mu.Unlock()
	if gate == nil {
		return nil, false, errors.New("connection refused")
	}
	answer, wasSent, err := gate(ctx, rq)
	if answer != nil {
		answer.RequestId = rq.GetRequestId()
	}
	return answer, wasSent, err
}

func (fl *fleet) Grant(context.Context, string, *peerproto.GrantRequest) (*peerproto.GrantResponse, error) {
	if gr := fl.grant(); gr != nil {
		return gr, nil
	}
	return nil, errors.New("no answer")
}

func answered(body string) (*peerproto.ForwardResponse, bool, error) {
	return &peerproto.ForwardResponse{Outcome: gatekeeper.OutcomeAnswered, Status: 200, Body: []byte(body)}, true, nil
}

func refused(code string) (*peerproto.ForwardResponse, bool, error) {
	return &peerproto.ForwardResponse{Outcome: gatekeeper.OutcomeNotRun, Code: code}, true, nil
}

const testCredential = "Bearer k"

// newFleet returns a Forwarder with two members of a shared service and two of an
// exclusive one.
func newFleet(t *testing.T, opts ...Option) (*Forwarder, *fleet) {
	t.Helper()
	fl := &fleet{
		pu:    publisher.New(timer.BootClock{}, publisher.Self{}),
		gates: map[string]func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error){},
		grant: func() *peerproto.GrantResponse { return &peerproto.GrantResponse{Immediate: 1, Tokens: 5} },
	}
	co := cataloguer.Config{Version: 1, WorkspaceKeys: []cataloguer.WorkspaceKey{{Digest: sha256.Sum256([]byte("k")), Workspace: "w"}}}
	co.Catalogue.Services = []cataloguer.Service{{Name: "pages", Class: cataloguer.Shared}, {Name: "keys", Class: cataloguer.Exclusive, Partitions: 8, KeySpace: 64}}
	co.Catalogue.Workspaces = []cataloguer.Workspace{{Name: "w", Rate: 100, Burst: 100, HasPriority: true, Priority: 3}}
	route := cataloguer.Route{Host: "x.example", Access: cataloguer.WorkspaceAccess, Idempotent: true, Timeout: timer.Second, MaxAttempts: 2}
	for name, change := range map[string]func(rt *cataloguer.Route){
		"/page/":     func(rt *cataloguer.Route) { rt.Service = "pages" },
		"/page/sub/": func(rt *cataloguer.Route) { rt.Service = "pages"; rt.Priority = 1; rt.Access = cataloguer.OpenAccess },
		"/key/":      func(rt *cataloguer.Route) { rt.Service = "keys" },
		"/order/":    func(rt *cataloguer.Route) { rt.Service = "keys"; rt.Idempotent = false },
	} {
		rt := route
		rt.Name, rt.Prefix = name, name
		change(&rt)
		co.Catalogue.Routes = append(co.Catalogue.Routes, rt)
	}
	tables := map[string]*placer.Table{}
	for _, service := range []string{"pages", "keys", folder.LimitsService} {
		ma := placer.NewMap(service, 0)
		if service != "pages" {
			ma = placer.NewMap(service, 8)
		}
		ma.KeySpace = 64
		ma = ma.NextVersion(0)
		for i, address := range []string{"a", "b"} {
			ma = ma.WithMember(placer.Member{BackendServer: address, Incarnation: uint64(i + 1), Address: address, Weight: placer.FullWeight})
		}
		tables[service] = placer.NewTable(ma)
	}
	fl.pu.Publish(publisher.NewView(co, tables))
	fo, err := New(fl, fl, fl, opts...)
	is.New(t).NoErr(err)
	return fo, fl
}

func (fl *fleet) set(gate func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error), addresses ...string) {
	for _, address := range addresses {
		fl.gates[address] = gate
	}
}

func toPath(path string) Request {
	return Request{ID: "r1", Host: "X.example", Path: path, Target: path, Method: http.MethodGet, Key: "17", Authorization: testCredential}
}

// TestDo checks the status and outcome of answers and refusals, and the number of
// copies sent.
func TestDo(t *testing.T) {
	fine := func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		return answered("ok")
	}
	shed := func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		return refused(gatekeeper.CodeShed)
	}
	lost := func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		return nil, true, errors.New("reset")
	}
	cases := map[string]struct {
		request func(rq *Request)
		gate    func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error)
		status  int
		outcome string
		// sends is the maximum number of copies sent, 0 for no limit.
		sends int
	}{
		"answered":                        {gate: fine, status: 200, sends: 1},
		"longest prefix, open":            {request: func(rq *Request) { rq.Path, rq.Authorization = "/page/sub/x", "" }, gate: fine, status: 200},
		"unknown route":                   {request: func(rq *Request) { rq.Path = "/other/" }, status: 404, outcome: "notRun"},
		"unknown host":                    {request: func(rq *Request) { rq.Host = "y.example" }, status: 404, outcome: "notRun"},
		"no credential":                   {request: func(rq *Request) { rq.Authorization = "" }, status: 401, outcome: "notRun"},
		"wrong credential":                {request: func(rq *Request) { rq.Authorization = "Bearer x" }, status: 401, outcome: "notRun"},
		"no entity key":                   {request: func(rq *Request) { rq.Path, rq.Key = "/key/", "" }, status: 400, outcome: "notRun"},
		"shed twice at most":              {request: func(rq *Request) { rq.Path = "/key/" }, gate: shed, status: 503, outcome: "notRun", sends: 2},
		"answer to order lost, one retry": {request: func(rq *Request) { rq.Path = "/order/" }, gate: lost, status: 502, outcome: "unknown", sends: 2},
		"no member reachable":             {request: func(rq *Request) { rq.Path = "/order/" }, status: 503, outcome: "notRun"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fo, fl := newFleet(t, WithRetryBudget(0.5, 20))
			if tc.gate != nil {
				fl.set(tc.gate, "a", "b")
			}
			rq := toPath("/page/x")
			if tc.request != nil {
				tc.request(&rq)
			}
			answer, rf := fo.Do(context.Background(), rq)
			if tc.outcome == "" {
				is.Equal(rf, nil)
				is.Equal(answer.Status, tc.status)
				return
			}
			is.True(rf != nil)
			is.Equal(rf.Status, tc.status)
			is.Equal(rf.Outcome, tc.outcome)
			if tc.sends > 0 {
				is.True(len(fl.seen) <= tc.sends)
			}
		})
	}
}

// TestOrderReachesOneGate checks that a non-idempotent request is not sent to
// another instance once the first may have run it.
func TestOrderReachesOneGate(t *testing.T) {
	is := is.New(t)
	fo, fl := newFleet(t, WithRetryBudget(1, 100))
	lost := func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		return nil, true, errors.New("reset")
	}
	fl.set(lost, "a", "b")
	for range 20 {
		_, rf := fo.Do(context.Background(), toPath("/order/x"))
		is.True(rf.MayHaveRun())
	}
	to := map[uint64]bool{}
	for _, rq := range fl.seen {
		to[rq.GetTo()] = true
	}
	is.Equal(len(to), 1)
}

// TestForwardedRequest checks that the request to the owner has the caller's target,
// the workspace and its priority, the caller service and the time left.
func TestForwardedRequest(t *testing.T) {
	is := is.New(t)
	fo, fl := newFleet(t, WithCallerService("keys"))
	fl.set(func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		return answered("ok")
	}, "a", "b")
	rq := toPath("/key/a%2Fb?c=1")
	rq.Path, rq.Timeout = "/key/a%2Fb", 200*timer.Millisecond
	_, rf := fo.Do(context.Background(), rq)
	is.Equal(rf, nil)
	got := fl.seen[0]
	is.Equal(got.GetPathAndQuery(), "/key/a%2Fb?c=1")
	is.Equal(got.GetWorkspace(), "w")
	is.Equal(got.GetPriority(), uint32(3)) // the workspace's priority overrides the route's
	is.Equal(got.GetCallerService(), "keys")
	is.True(time.Duration(got.GetRemaining()) < 200*time.Millisecond) // the caller's timeout, less the time passed
}

// TestRefusalOfHedge checks that the refusal of the second copy does not end the wait
// for the first.
func TestRefusalOfHedge(t *testing.T) {
	is := is.New(t)
	fo, fl := newFleet(t, WithRetryBudget(1, 100))
	var first sync.Once
	fl.set(func(ctx context.Context, _ *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		isFirst := false
		first.Do(func() { isFirst = true })
		if !isFirst {
			return refused(admitter.CodeDeadline)
		}
		select {
		case <-time.After(300 * time.Millisecond):
			return answered("the first")
		case <-ctx.Done():
			return nil, true, ctx.Err()
		}
	}, "a", "b")
	answer, rf := fo.Do(context.Background(), toPath("/page/x"))
	is.Equal(rf, nil)
	is.Equal(string(answer.Body), "the first")
	is.Equal(len(fl.seen), 2) // it was hedged
}

// TestRefusalNamesItsCause checks that a refusal at the deadline gives the reason of
// the last attempt that was sent, wherever in the retry delay the deadline falls.
func TestRefusalNamesItsCause(t *testing.T) {
	is := is.New(t)
	fo, fl := newFleet(t)
	fl.set(func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		return refused(gatekeeper.CodeNotOwner)
	}, "a", "b")
	for ms := range 40 {
		ca := newCall(fo.so.Now())
		ca.setRoute(cataloguer.Route{Name: "order", Service: "keys"})
		ca.key, ca.deadlineAt = "17", fo.so.Now().Add(timer.Span(60+ms)*timer.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), ca.deadlineAt.Sub(fo.so.Now()).Duration())
		_, rf := fo.dispatch(ctx, ca)
		cancel()
		is.Equal([]any{rf.Status, rf.Code}, []any{http.StatusServiceUnavailable, gatekeeper.CodeNotOwner})
	}
}

// TestRefusalNamesItsCauseAfterTheDeadline checks that a refusal gives the reason of the
// last attempt also if the deadline passes in the delay before the next one, as it
// does where timers fire late.
func TestRefusalNamesItsCauseAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	fo, fl := newFleet(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fl.set(func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		cancel()
		return refused(gatekeeper.CodeNotOwner)
	}, "a", "b")
	ca := newCall(fo.so.Now())
	ca.setRoute(cataloguer.Route{Name: "order", Service: "keys"})
	ca.key, ca.deadlineAt = "17", fo.so.Now().Add(timer.Second)
	_, rf := fo.dispatch(ctx, ca)
	is.Equal([]any{rf.Status, rf.Code}, []any{http.StatusServiceUnavailable, gatekeeper.CodeNotOwner})
}

// TestRejectedKeysStayWithinTheRetryBudget sends 800 requests to backend servers that
// reject every key. The copies beyond the first of each request must stay within the
// budget and the route's attempts, whatever the servers answer.
func TestRejectedKeysStayWithinTheRetryBudget(t *testing.T) {
	is := is.New(t)
	const (
		requests = 800
		ratio    = 0.2
		reserve  = 60
	)
	fo, fl := newFleet(t, WithRetryBudget(ratio, reserve))
	var arrivals atomic.Int64
	fl.set(func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		arrivals.Add(1)
		return refused(gatekeeper.CodeKeyRejected)
	}, "a", "b")
	var wg sync.WaitGroup
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ca := newCall(fo.so.Now())
			ca.setRoute(cataloguer.Route{Name: "order", Service: "keys", MaxAttempts: 2})
			ca.key, ca.deadlineAt = fmt.Sprint(i%64), fo.so.Now().Add(timer.Second)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, rf := fo.dispatch(ctx, ca)
			settled := ca.withOutcome(*rf)
			is.Equal([]any{settled.Status, settled.MayHaveRun()}, []any{http.StatusServiceUnavailable, false})
		}()
	}
	wg.Wait()
	is.True(arrivals.Load() <= requests*(1+ratio)+reserve)
}

// TestNoServer checks that a request to a service without a backend server is refused at
// once: holding it until it is given up helps no caller.
func TestNoServer(t *testing.T) {
	for _, path := range []string{"/page/x", "/key/x", "/order/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			fo, fl := newFleet(t)
			vi := fl.pu.View()
			tables := maps.Clone(vi.Tables)
			for _, service := range []string{"pages", "keys"} {
				ma := tables[service].Map.NextVersion(0)
				for _, me := range ma.Members {
					me.Weight = 0
					ma = ma.WithMember(me)
				}
				tables[service] = placer.NewTable(ma)
			}
			fl.pu.Publish(publisher.NewView(vi.Config, tables))
			startedAt := time.Now()
			_, rf := fo.Do(context.Background(), toPath(path))
			is.True(time.Since(startedAt) < 100*time.Millisecond)
			is.Equal([]any{rf.Status, rf.Code, rf.MayHaveRun()}, []any{http.StatusServiceUnavailable, CodeNoOwner, false})
			is.True(rf.RetryAfter > 0)
		})
	}
}

// TestSplit checks that services are chosen by weight.
func TestSplit(t *testing.T) {
	is := is.New(t)
	splits := []cataloguer.Split{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[choose(splits, float64(i)/1000)]++
	}
	is.Equal(counts["x"], 900)
	is.Equal(counts["y"], 100)
	is.Equal(choose(splits, 1), "y")
}

// TestUnresponsiveHome checks that a part of a workspace's rate is served while the
// home of its bucket does not answer, and that other requests are refused well
// before their deadline.
func TestUnresponsiveHome(t *testing.T) {
	is := is.New(t)
	fo, fl := newFleet(t)
	fl.grant = func() *peerproto.GrantResponse { return nil }
	fl.set(func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		return answered("ok")
	}, "a", "b")
	served := 0
	end := time.Now().Add(time.Second)
	for time.Now().Before(end) {
		before := time.Now()
		_, rf := fo.Do(context.Background(), toPath("/page/x"))
		if rf == nil {
			served++
			continue
		}
		is.Equal(rf.Code, CodeLimitsUnavailable)
		is.True(!rf.MayHaveRun())
		is.True(time.Since(before) < 900*time.Millisecond)
	}
	is.True(served >= 5)
	is.True(served <= 60) // well below the rate of 100
}

// TestSlowHome checks that the wait for a slow answer of the home does not count as a
// wait for the rate: a request is served if the next token is available soon.
func TestSlowHome(t *testing.T) {
	is := is.New(t)
	fo, fl := newFleet(t)
	fl.set(func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		return answered("ok")
	}, "a", "b")
	var requests atomic.Int64
	fl.grant = func() *peerproto.GrantResponse {
		if requests.Add(1) == 1 {
			time.Sleep(150 * time.Millisecond)
			return &peerproto.GrantResponse{RetryAfter: int64(5 * timer.Millisecond)}
		}
		return &peerproto.GrantResponse{Immediate: 1}
	}
	_, rf := fo.Do(context.Background(), toPath("/page/x"))
	is.Equal(rf, nil)
	is.Equal(requests.Load(), int64(2))
}

// TestStop checks that requests after Stop are refused as not run, in both
// protocols.
func TestStop(t *testing.T) {
	is := is.New(t)
	fo, fl := newFleet(t)
	fl.set(func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		return answered("ok")
	}, "a", "b")
	_, rf := fo.Do(context.Background(), toPath("/page/x"))
	is.Equal(rf, nil)
	fo.Stop()
	_, rf = fo.Do(context.Background(), toPath("/page/x"))
	is.Equal(rf.Code, CodeStopping)
	is.True(!rf.MayHaveRun())
	rec := httptest.NewRecorder()
	fo.serve(rec, httptest.NewRequest(http.MethodGet, "/order/17", nil), cataloguer.Route{Name: "order", Service: "keys"}, 1)
	var wire wireRefusal
	is.NoErr(json.Unmarshal(rec.Body.Bytes(), &wire))
	is.Equal([]any{rec.Code, wire.Code, wire.Outcome}, []any{http.StatusServiceUnavailable, CodeStopping, "notRun"})
}
