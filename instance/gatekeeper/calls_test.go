package gatekeeper

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/throttler"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/peerproto"
	"github.com/matryer/is"
)

// stepClock moves only when it is told to.
type stepClock struct{ now atomic.Int64 }

func (sc *stepClock) Now() timer.Instant      { return timer.Instant(sc.now.Load()) }
func (sc *stepClock) advance(span timer.Span) { sc.now.Add(int64(span)) }

// newShared returns a Gatekeeper of a shared service, which a third of the fleet runs, in
// front of a server with the handler.
func newShared(t *testing.T, handler http.HandlerFunc) (*Gatekeeper, *stepClock) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	clock := &stepClock{}
	pu := publisher.New(clock, publisher.Self{BackendServer: "a", Service: "orders", Incarnation: incarnation})
	config := cataloguer.Config{Version: 1}
	config.Catalogue.Services = []cataloguer.Service{{Name: "orders", Class: cataloguer.Shared, Limits: cataloguer.ServiceLimits{Slots: 4, Connections: 4, Queue: 4, ColdStartSlots: 4}}}
	tables := map[string]*placer.Table{}
	for service, members := range map[string]int{"orders": 1, "wishlist": 2, folder.LimitsService: 3} {
		ma := placer.NewMap(service, 0).NextVersion(0)
		for i := range members {
			ma = ma.WithMember(placer.Member{BackendServer: fmt.Sprint(i), Incarnation: uint64(i), Weight: 1})
		}
		tables[service] = placer.NewTable(ma)
	}
	pu.Publish(publisher.NewView(config, tables))
	pu.SetLeaseUntil(pu.Now().Add(3600 * timer.Second))
	ga, err := New(pu, strings.TrimPrefix(server.URL, "http://"))
	is.New(t).NoErr(err)
	return ga, clock
}

func sharedRequest(id int, route, callerService string) *peerproto.ForwardRequest {
	return &peerproto.ForwardRequest{
		RequestId: fmt.Sprint(id), Route: route, Service: "orders", Method: http.MethodGet, PathAndQuery: "/", Idempotent: true,
		Remaining: int64(5 * time.Second), To: incarnation, CallerService: callerService,
	}
}

// TestCallsWithWorkspaces guards against throttling where workspaces are configured.
func TestCallsWithWorkspaces(t *testing.T) {
	is := is.New(t)
	ga, clock := newShared(t, func(http.ResponseWriter, *http.Request) {})
	vi := ga.pu.View()
	config := vi.Config
	config.Catalogue.Workspaces = []cataloguer.Workspace{{Name: "klaps"}}
	ga.pu.Publish(publisher.NewView(config, vi.Tables))
	for range 1000 {
		clock.advance(10 * timer.Millisecond)
		ga.ObserveCall(throttler.Call{Route: "photo-info", StartedAt: clock.Now(), IsFailed: true, IsOverload: true})
	}
	is.True(!ga.calls.isActive.Load())
}

// TestFailingCallsAreRefusedBeforeTheStart guards against runs that begin although their
// calls fail, and against a refusal of a route of the same server that makes no calls.
func TestFailingCallsAreRefusedBeforeTheStart(t *testing.T) {
	is := is.New(t)
	var ga *Gatekeeper
	var clock *stepClock
	isFailing, runs := atomic.Bool{}, atomic.Int32{}
	ga, clock = newShared(t, func(wr http.ResponseWriter, re *http.Request) {
		runs.Add(1)
		startedAt := clock.Now()
		clock.advance(20 * timer.Millisecond)
		if re.Header.Get("Route") == "calls" {
			ga.ObserveCall(throttler.Call{Route: "photo-info", StartedAt: startedAt, IsFailed: isFailing.Load(), IsOverload: isFailing.Load()})
			if isFailing.Load() {
				wr.WriteHeader(http.StatusInternalServerError)
			}
		}
	})
	send := func(id int, route string) *peerproto.ForwardResponse {
		rq := sharedRequest(id, route, "")
		rq.Headers = []*peerproto.Header{{Name: "Route", Value: route}}
		clock.advance(10 * timer.Millisecond)
		return ga.Forward(context.Background(), rq)
	}
	var refusal *peerproto.ForwardResponse
	for id := range 1000 {
		isFailing.Store(id > 200)
		is.Equal(send(2*id, "plain").GetStatus(), uint32(http.StatusOK))
		before := runs.Load()
		if answer := send(2*id+1, "calls"); answer.GetOutcome() != OutcomeAnswered {
			refusal = answer
			is.Equal(runs.Load(), before) // a refused request doesn't reach the server
		}
		is.True(refusal == nil || id > 200)
	}
	is.Equal([]any{refusal.GetCode(), refusal.GetOutcome()}, []any{admitter.CodeCallsRefused, uint32(OutcomeNotRun)})
	is.True(refusal.GetRetryAfter() > 0 && refusal.GetRetryAfter() <= int64(2*timer.Second))
	is.Equal(ga.ThrottledRoutes(), 1)
}

// TestPlacesAreKept guards against places where the entry doesn't name its service, as in a
// deployment that doesn't have this part.
func TestPlacesAreKept(t *testing.T) {
	is := is.New(t)
	ga := newGate(t)
	place := func(callerService string) timer.Span {
		rq := request(callerService, "body")
		rq.CallerService = callerService
		ga.Forward(context.Background(), rq)
		now := ga.pu.Now()
		return ga.gate.Reserve(admitter.Request{DeadlineAt: now.Add(timer.Second)}, now)
	}
	is.Equal(place(""), timer.Span(0))
	is.True(place("orders") > 0)
}

// TestCallRoutes guards against outside callers' requests that pass for calls.
func TestCallRoutes(t *testing.T) {
	is := is.New(t)
	ga, _ := newShared(t, func(http.ResponseWriter, *http.Request) {})
	last := func(route string, callerServices ...string) bool {
		isCall := false
		for id := range 600 {
			isCall = ga.Forward(context.Background(), sharedRequest(id, route, callerServices[id%len(callerServices)])).GetCallRoute()
		}
		return isCall
	}
	is.True(last("from servers", "orders"))
	is.Equal(last("from two thirds of the fleet", "wishlist"), false)
	is.Equal(last("from all", "orders", "wishlist"), false)
	is.Equal(last("unknown", ""), false)
	is.Equal(last("from servers", "orders", "orders", "orders", "orders", "wishlist"), false) // not any more
}
