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
	"cornellanding.example/core/pacer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/standin/emulator"
	"github.com/matryer/is"
)

// coldCodec reads the rest of a cold period from a header, in milliseconds.
type coldCodec struct{ defaultCodec }

// ColdRemaining implements ColdReader.
func (coldCodec) ColdRemaining(answer *http.Response, serverID string) (timer.Span, bool) {
	left, err := strconv.Atoi(answer.Header.Get("Cold"))
	return timer.Span(left) * timer.Millisecond, err == nil && answer.Header.Get("Server-Id") == serverID
}

// TestBusyServerThatTurnsCold guards against more requests than a cold server bears, on one
// that has turned cold between two heartbeats, and against health checks of a server that
// gets few requests.
func TestBusyServerThatTurnsCold(t *testing.T) {
	bound := pacer.Bound{Overshoot: 1.5, Slack: 5}
	for name, option := range map[string]Option{"paced": WithPacing(bound), "bound alone": WithColdBound(bound)} {
		t.Run(name, func(t *testing.T) { testTurnsCold(t, option) })
	}
}

func testTurnsCold(t *testing.T, option Option) {
	is := is.New(t)
	var left, checks, runs atomic.Int64
	var mu sync.Mutex
	var runsAt []time.Time
	server := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		if re.URL.Path != "/health" {
			runs.Add(1)
			mu.Lock()
			defer mu.Unlock()
			runsAt = append(runsAt, time.Now())
			return
		}
		checks.Add(1)
		wr.Header().Set("Server-Id", "s1")
		wr.Header().Set("Cold", strconv.FormatInt(left.Load(), 10))
	}))
	defer server.Close()
	pu := publisher.New(timer.BootClock{}, publisher.Self{BackendServer: "a", Service: "reader", Incarnation: incarnation})
	config := cataloguer.Config{Version: 1}
	config.Catalogue.Services = []cataloguer.Service{{
		Name: "reader", Class: cataloguer.Shared, HealthPath: "/health",
		Limits: cataloguer.ServiceLimits{Slots: 1, Connections: 16, Queue: 1, ColdStartSlots: 1, ColdStart: timer.Second, ColdRate: 6.6},
	}}
	pu.Publish(publisher.NewView(config, nil))
	pu.SetBackendServer(publisher.BackendServer{ID: "s1", Slots: 9, LastHeartbeatAt: pu.Now()})
	ga, err := New(pu, strings.TrimPrefix(server.URL, "http://"), WithCodec(coldCodec{}), option)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go ga.CheckCold(ctx)
	send := func() {
		rq := request("1", "")
		rq.Service, rq.RequestId = "reader", strconv.FormatInt(time.Now().UnixNano(), 10)
		rq.Remaining = int64(200 * time.Millisecond)
		ga.Forward(ctx, rq)
	}
	send()
	time.Sleep(2 * pacer.CheckInterval.Duration())
	is.Equal(checks.Load(), int64(0)) // one request
	for range 20 {
		send()
	}
	is.True(runs.Load() >= 20) // the server is warm
	left.Store(3000)
	for range 100 {
		if ga.isCold() {
			break
		}
		send()
		time.Sleep(10 * time.Millisecond)
	}
	is.True(ga.isCold())
	before := runs.Load()
	for range 4 {
		send()
	}
	// Each start while the server is known to be cold stays within the bound of 1.5 x 6.6 + 5
	// in the second before it, whenever it comes on a busy machine.
	for i := int(before); i < len(runsAt); i++ {
		is.True(most(runsAt[max(0, i-14):i+1], time.Second) <= 14)
	}
	// A heartbeat from before it turned cold, or one of unknown age, says that it is warm.
	pu.SetBackendServer(publisher.BackendServer{ID: "s1", Slots: 9, LastHeartbeatAt: pu.Now()})
	send()
	is.True(ga.isCold())
	pu.SetBackendServer(publisher.BackendServer{ID: "s2", Slots: 9, LastHeartbeatAt: pu.Now()})
	send()
	is.True(!ga.isCold()) // another server
}

func (ga *Gatekeeper) isCold() bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.gate.IsCold(ga.pu.Now())
}

// TestBrokenHealthAnswers guards against health checks whose answers are broken and count.
func TestBrokenHealthAnswers(t *testing.T) {
	ga := newGate(t)
	fields := func(*http.Request) string { return "Cold: 1500\r\nServer-Id: s1\r\n" }
	for _, ra := range emulator.RawAnswers(rawBody) {
		t.Run(ra.Name, func(t *testing.T) {
			is := is.New(t)
			gate, err := New(ga.pu, startRaw(t, ra, fields))
			is.NoErr(err)
			left, ok := gate.bs.checkCold(context.Background(), coldCodec{}, "/health", "s1")
			is.Equal(ok, ra.IsWhole)
			if ra.IsWhole {
				is.Equal(left, 1500*timer.Millisecond)
			}
		})
	}
}
