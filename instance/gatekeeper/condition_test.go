package gatekeeper

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
	"github.com/matryer/is"
)

// conditionCodec reads the condition from the headers Limit and Leaving.
type conditionCodec struct{ defaultCodec }

func (conditionCodec) Condition(answer *http.Response) Condition {
	cn := Condition{IsLeaving: answer.Header.Get("Leaving") != ""}
	if limit, err := strconv.ParseFloat(answer.Header.Get("Limit"), 64); err == nil {
		cn.IsLimited, cn.RequestLimit = true, limit
	}
	return cn
}

// limitedServer is a shared backend server of 9 slots that names a limit, "" for none.
type limitedServer struct {
	pu        *publisher.Publisher
	url       string
	limit     atomic.Value
	isLeaving atomic.Bool
	mu        sync.Mutex
	at        []time.Time
}

func newLimitedServer(t *testing.T) *limitedServer {
	t.Helper()
	ls := &limitedServer{pu: publisher.New(timer.BootClock{}, publisher.Self{BackendServer: "a", Service: "pages", Incarnation: incarnation})}
	ls.limit.Store("")
	server := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		ls.mu.Lock()
		ls.at = append(ls.at, time.Now())
		ls.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		if limit := ls.limit.Load().(string); limit != "" {
			wr.Header().Set("Limit", limit)
		}
		if ls.isLeaving.Load() {
			wr.Header().Set("Leaving", "1")
		}
	}))
	t.Cleanup(server.Close)
	ls.url = strings.TrimPrefix(server.URL, "http://")
	config := cataloguer.Config{Version: 1}
	config.Catalogue.Services = []cataloguer.Service{{
		Name: "pages", Class: cataloguer.Shared,
		Limits: cataloguer.ServiceLimits{Slots: 9, Connections: 20, Queue: 36, ColdStartSlots: 9},
	}}
	ls.pu.Publish(publisher.NewView(config, nil))
	ls.pu.SetBackendServer(publisher.BackendServer{ID: "s1", Slots: 9})
	return ls
}

func (ls *limitedServer) gate(t *testing.T, opts ...Option) *Gatekeeper {
	t.Helper()
	ga, err := New(ls.pu, ls.url, append([]Option{WithCodec(conditionCodec{})}, opts...)...)
	is.New(t).NoErr(err)
	return ga
}

// most returns the largest number of the instants that lie within a span.
func most(at []time.Time, span time.Duration) int {
	largest := 0
	for i := range at {
		count := 0
		for _, later := range at[i:] {
			if later.Sub(at[i]) < span {
				count++
			}
		}
		largest = max(largest, count)
	}
	return largest
}

// load sends a request to the gate every 10 ms, as many as fit into the span, and returns how
// many the server got. On a busy machine that takes longer than the span.
func (ls *limitedServer) load(ga *Gatekeeper, du time.Duration) int {
	ls.mu.Lock()
	ls.at = nil
	ls.mu.Unlock()
	var wg sync.WaitGroup
	for i := range int(du / (10 * time.Millisecond)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rq := request(strconv.Itoa(i), "")
			rq.Service, rq.Idempotent, rq.Remaining = "pages", true, int64(400*time.Millisecond)
			ga.Forward(context.Background(), rq)
		}()
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return len(ls.at)
}

// loadMost is load, but returns how many requests the server got in any span of that length.
func (ls *limitedServer) loadMost(ga *Gatekeeper, du time.Duration) int {
	ls.load(ga, du)
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return most(ls.at, du)
}

// TestServerGetsNoMoreThanItsLimit plays a load of ten times the limit that the server
// names, a former incarnation's knowledge of it, and the end of the limit.
func TestServerGetsNoMoreThanItsLimit(t *testing.T) {
	is := is.New(t)
	ls := newLimitedServer(t)
	ls.limit.Store("10")
	ga := ls.gate(t)
	ls.load(ga, 200*time.Millisecond)
	is.True(ls.loadMost(ga, time.Second) <= 20) // 1.5 x 10 + 5
	next := ls.gate(t, WithFormerCondition(ga.Condition()))
	is.True(ls.loadMost(next, 500*time.Millisecond) <= 12) // 1.5 x 5 + 5
	ls.limit.Store("")
	ls.load(next, 200*time.Millisecond)
	is.True(ls.load(next, 500*time.Millisecond) >= 40)
}

// TestServerLimitEndsWithTheServer: the limit is that of one start of the server.
func TestServerLimitEndsWithTheServer(t *testing.T) {
	is := is.New(t)
	ls := newLimitedServer(t)
	ls.limit.Store("1")
	ga := ls.gate(t)
	ls.load(ga, 100*time.Millisecond)
	ls.limit.Store("")
	ls.pu.SetBackendServer(publisher.BackendServer{ID: "s2", Slots: 9})
	is.True(ls.load(ga, 500*time.Millisecond) >= 40)
}

// TestConditionEndsWithTheRun guards against a backend server that gets nothing after it has
// started again under its ID, because its former run was leaving.
func TestConditionEndsWithTheRun(t *testing.T) {
	is := is.New(t)
	ls := newLimitedServer(t)
	ls.pu.SetBackendServer(publisher.BackendServer{ID: "s1", StartedAt: 1, Slots: 9})
	ga := ls.gate(t)
	ls.limit.Store("1")
	ls.isLeaving.Store(true)
	ls.load(ga, 100*time.Millisecond)
	ls.limit.Store("")
	ls.isLeaving.Store(false)
	time.Sleep(registrar.DrainServeSpan.Duration() + 300*time.Millisecond)
	is.Equal(ls.load(ga, 100*time.Millisecond), 0)
	next := ls.gate(t, WithFormerCondition(ga.Condition()))
	ls.pu.SetBackendServer(publisher.BackendServer{ID: "s1", StartedAt: 2, Slots: 9})
	for _, ga := range []*Gatekeeper{ga, next} {
		is.True(ls.load(ga, 500*time.Millisecond) >= 40)
		// An answer of the former run is read late.
		ga.observeCondition(Condition{IsLeaving: true}, registrar.ServerRun{ID: "s1", StartedAt: 1}, ls.pu.Now())
		is.Equal(ga.Condition().observed.Condition, Condition{})
	}
}

// TestOlderAnswerDoesNotLiftTheLimit: the answer to a request sent before the limit was
// named is read after it.
func TestOlderAnswerDoesNotLiftTheLimit(t *testing.T) {
	is := is.New(t)
	ls := newLimitedServer(t)
	ga := ls.gate(t)
	s1 := registrar.ServerRun{ID: "s1"}
	before := ls.pu.Now()
	limited := Condition{IsLimited: true, RequestLimit: 5}
	ga.observeCondition(limited, s1, before)
	ga.observeCondition(Condition{}, s1, before)
	is.Equal(ga.Condition().observed.Condition, limited)
	ga.observeCondition(Condition{}, s1, ls.pu.Now()+1)
	is.Equal(ga.Condition().observed.Condition, Condition{})
}

// TestLeavingServerGetsNothing: the server says that it leaves in its answers only. Neither
// the gate nor that of a next incarnation sends it requests after the time that is left
// for moving its keys.
func TestLeavingServerGetsNothing(t *testing.T) {
	is := is.New(t)
	ls := newLimitedServer(t)
	var reported atomic.Int32
	ga := ls.gate(t, WithLeavingServer(func(id string) {
		if id == "s1" {
			reported.Add(1)
		}
	}))
	ls.isLeaving.Store(true)
	ls.load(ga, 100*time.Millisecond)
	is.True(reported.Load() > 1)
	ls.pu.SetBackendServer(publisher.BackendServer{ID: "s1", Slots: 9, RefuseAt: ls.pu.Now().Add(timer.Second)})
	before := reported.Load()
	ls.load(ga, 100*time.Millisecond)
	is.Equal(reported.Load(), before) // the control loop knows it
	ls.pu.SetBackendServer(publisher.BackendServer{ID: "s1", Slots: 9})
	time.Sleep(registrar.DrainServeSpan.Duration() + 300*time.Millisecond)
	is.Equal(ls.load(ga, 100*time.Millisecond), 0)
	is.Equal(ls.load(ls.gate(t, WithFormerCondition(ga.Condition())), 100*time.Millisecond), 0)
	ls.pu.SetBackendServer(publisher.BackendServer{ID: "s2", Slots: 9})
	is.Equal(ls.load(ga, 100*time.Millisecond), 10)
}

// TestRestartedGateKeepsToTheLimit: the process of the gate starts again while requests
// arrive together, so that the gate learns the limit anew from the first answer. Entry
// instances elsewhere have passed the limit on.
func TestRestartedGateKeepsToTheLimit(t *testing.T) {
	is := is.New(t)
	const window = 4 * time.Second
	ls := newLimitedServer(t)
	ls.limit.Store("1")
	ga := ls.gate(t)
	ls.load(ga, 200*time.Millisecond)
	ls.load(ga, window-500*time.Millisecond)
	next := ls.gate(t)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rq := request("together "+strconv.Itoa(i), "")
			rq.Service, rq.Idempotent, rq.Remaining = "pages", true, int64(400*time.Millisecond)
			next.Forward(context.Background(), rq)
		}()
	}
	wg.Wait()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	is.True(len(ls.at) <= 11) // 1.5 x 1 x 4 + 5
}
