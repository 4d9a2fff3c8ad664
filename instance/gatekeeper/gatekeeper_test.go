package gatekeeper

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/assembler"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/standin/emulator"
	"cornellanding.example/wire/peerproto"
	"github.com/matryer/is"
)

const incarnation = 7

// gate is a Gatekeeper with a valid lease on every partition, in front of a fake
// backend server.
type gate struct {
	*Gatekeeper
	pu *publisher.Publisher
	bs *emulator.BackendServer
	// calls counts the requests that the server received.
	calls atomic.Int32
}

func newGate(t *testing.T, opts ...emulator.BackendServerOption) *gate {
	t.Helper()
	ga := &gate{bs: emulator.NewBackendServer("a", append([]emulator.BackendServerOption{emulator.WithServiceTime(0)}, opts...)...)}
	server := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		ga.calls.Add(1)
		ga.bs.ServeHTTP(wr, re)
	}))
	t.Cleanup(server.Close)
	ga.pu = publisher.New(timer.BootClock{}, publisher.Self{BackendServer: "a", Service: "counter", Incarnation: incarnation})
	config := cataloguer.Config{Version: 1}
	config.Catalogue.Services = []cataloguer.Service{{
		Name: "counter", Class: cataloguer.Exclusive, Partitions: 4,
		Limits: cataloguer.ServiceLimits{Slots: 2, Connections: 4, Queue: 4, ColdStartSlots: 1, ColdStart: timer.Second},
	}}
	tb := placer.NewTable(placer.NewMap("counter", 4).NextVersion(0).WithMember(placer.Member{BackendServer: "a", Incarnation: incarnation, Weight: 1}))
	ga.pu.Publish(publisher.NewView(config, map[string]*placer.Table{"counter": tb}))
	ga.pu.Resize("counter", 4)
	for pt := range uint32(4) {
		ga.pu.Acquire("counter", pt, 1)
	}
	ga.pu.SetLeaseUntil(ga.pu.Now().Add(3600 * timer.Second))
	var err error
	ga.Gatekeeper, err = New(ga.pu, strings.TrimPrefix(server.URL, "http://"))
	is.New(t).NoErr(err)
	return ga
}

func request(id, body string) *peerproto.ForwardRequest {
	return &peerproto.ForwardRequest{
		RequestId: id, Route: "order", Service: "counter", Workspace: "w", Key: "k", Method: http.MethodPost,
		PathAndQuery: "/orders/k", Body: []byte(body), Remaining: int64(5 * time.Second), To: incarnation,
	}
}

func TestOutcomes(t *testing.T) {
	cases := map[string]struct {
		prepare func(ga *gate, rq *peerproto.ForwardRequest)
		outcome uint32
		code    string
		runs    int
	}{
		"answered":            {prepare: func(*gate, *peerproto.ForwardRequest) {}, outcome: OutcomeAnswered, runs: 1},
		"other incarnation":   {prepare: func(_ *gate, rq *peerproto.ForwardRequest) { rq.To = 8 }, outcome: OutcomeNotRun, code: CodeWrongIncarnation},
		"other service":       {prepare: func(_ *gate, rq *peerproto.ForwardRequest) { rq.Service = "x" }, outcome: OutcomeNotRun, code: CodeUnknownService},
		"no lease":            {prepare: func(ga *gate, _ *peerproto.ForwardRequest) { ga.pu.SetLeaseUntil(0) }, outcome: OutcomeNotRun, code: CodeNotOwner},
		"partition not owned": {prepare: func(ga *gate, _ *peerproto.ForwardRequest) { ga.drop() }, outcome: OutcomeNotRun, code: CodeNotOwner},
		"no time left":        {prepare: func(_ *gate, rq *peerproto.ForwardRequest) { rq.Remaining = 0 }, outcome: OutcomeNotRun, code: admitter.CodeDeadline},
		"server crashes": {
			prepare: func(ga *gate, _ *peerproto.ForwardRequest) {
				ga.bs.SetFaults(emulator.BackendServerFaults{CrashOn: "body"})
			},
			outcome: OutcomeUnknown, code: CodeCrashed,
		},
		"answer is truncated": {
			prepare: func(ga *gate, _ *peerproto.ForwardRequest) {
				ga.bs.SetFaults(emulator.BackendServerFaults{Truncate: true})
			},
			outcome: OutcomeUnknown, code: CodeCrashed, runs: 1,
		},
		"server freezes": {
			prepare: func(ga *gate, rq *peerproto.ForwardRequest) {
				ga.bs.SetFaults(emulator.BackendServerFaults{Frozen: true})
				rq.Remaining = int64(50 * time.Millisecond)
			},
			outcome: OutcomeUnknown, code: CodeLost,
		},
		"server sheds": {
			prepare: func(ga *gate, _ *peerproto.ForwardRequest) { ga.bs.SetFaults(emulator.BackendServerFaults{Shed: true}) },
			outcome: OutcomeNotRun, code: CodeShed,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ga := newGate(t)
			rq := request("1", "body")
			tc.prepare(ga, rq)
			answer := ga.Forward(context.Background(), rq)
			is.Equal(answer.GetOutcome(), tc.outcome)
			is.Equal(answer.GetCode(), tc.code)
			is.True(ga.calls.Load() <= 1) // never sent twice
			if tc.outcome == OutcomeNotRun {
				is.Equal(len(ga.bs.Records()), 0) // a request refused as not run did not run
			}
			if tc.runs > 0 {
				is.Equal(len(ga.bs.Records()), tc.runs)
			}
		})
	}
}

func (ga *gate) drop() {
	for pt := range uint32(4) {
		ga.pu.Drop("counter", pt)
	}
}

// TestCallerCannotSetProtocolHeaders checks that headers of the caller do not replace
// those that the Gatekeeper sets for the backend server.
func TestCallerCannotSetProtocolHeaders(t *testing.T) {
	is := is.New(t)
	ga := newGate(t)
	rq := request("1", "body")
	for _, name := range []string{headerWorkspace, headerKey, headerRequestID, headerEpoch} {
		rq.Headers = append(rq.Headers, &peerproto.Header{Name: name, Value: "99"})
	}
	is.Equal(ga.Forward(context.Background(), rq).GetOutcome(), uint32(OutcomeAnswered))
	rc := ga.bs.Records()[0]
	is.Equal([]string{rc.Workspace, rc.Key, rc.RequestID}, []string{"w", "k", "1"})
	is.Equal(rc.Epoch, uint64(1))
}

func TestSecondCopyDoesNotRun(t *testing.T) {
	is := is.New(t)
	ga := newGate(t)
	first := ga.Forward(context.Background(), request("1", "body"))
	again := ga.Forward(context.Background(), request("1", "body"))
	is.Equal(again.GetBody(), first.GetBody()) // the kept answer is returned again
	is.Equal(len(ga.bs.Records()), 1)
	keyed := request("2", "body")
	keyed.IdempotencyKey = "order-9"
	ga.Forward(context.Background(), keyed)
	other := request("3", "another body")
	other.IdempotencyKey = "order-9"
	is.Equal(ga.Forward(context.Background(), other).GetCode(), CodeIdempotencyKeyReused)
	is.Equal(len(ga.bs.Records()), 2)
}

// TestBrokenConnectionIsNotReplayed guards against http.Transport resending a
// request: it does so with an Idempotency-Key header on a reused connection that
// breaks.
func TestBrokenConnectionIsNotReplayed(t *testing.T) {
	is := is.New(t)
	ga := newGate(t)
	is.Equal(ga.Forward(context.Background(), request("1", "")).GetOutcome(), uint32(OutcomeAnswered))
	ga.bs.Crash()
	before := ga.calls.Load()
	rq := request("2", "")
	rq.IdempotencyKey = "order-9"
	rq.Headers = []*peerproto.Header{{Name: "Idempotency-Key", Value: "order-9"}}
	is.Equal(ga.Forward(context.Background(), rq).GetOutcome(), uint32(OutcomeUnknown))
	is.Equal(ga.calls.Load(), before+1) // one call, not two
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	ga := newGate(t)
	ga.bs.SetFaults(emulator.BackendServerFaults{CrashOn: "poison"})
	for _, id := range []string{"1", "2"} {
		is.Equal(ga.Forward(context.Background(), request(id, "poison")).GetCode(), CodeCrashed)
		ga.bs.Restart()
	}
	is.Equal(ga.Forward(context.Background(), request("3", "poison")).GetCode(), admitter.CodeQuarantined)
	is.Equal(ga.Forward(context.Background(), request("4", "fine")).GetOutcome(), uint32(OutcomeAnswered))
}

// TestSuccessorRefusesQuarantinedRequest guards against a gate that lets a crashing request
// through again, after a restart or in the next incarnation of the same process.
func TestSuccessorRefusesQuarantinedRequest(t *testing.T) {
	is := is.New(t)
	ga := newGate(t)
	var reported []admitter.Suspect
	WithQuarantineNotifier(func(su admitter.Suspect) { reported = append(reported, su) })(ga.Gatekeeper)
	ga.bs.SetFaults(emulator.BackendServerFaults{CrashOn: "poison"})
	ga.Forward(context.Background(), request("1", "poison"))
	ga.bs.Restart()
	is.Equal(len(reported), 0)
	rq := request("2", "poison")
	_, suspect := fingerprintsOf(rq, assembler.New(rq.GetBody()))
	ga.RecordCrash(suspect, 77) // at another instance
	is.Equal(len(reported), 1)
	is.Equal(reported[0].Crashes, 2)

	for name, successor := range map[string]func(next *Gatekeeper){
		"restarted process": func(next *Gatekeeper) { next.LearnSuspects(reported) },
		"next incarnation":  func(next *Gatekeeper) { WithFormerCondition(ga.Condition())(next) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			next := newGate(t)
			successor(next.Gatekeeper)
			is.Equal(next.Forward(context.Background(), request("3", "poison")).GetCode(), admitter.CodeQuarantined)
			is.Equal(next.calls.Load(), int32(0))
		})
	}
}

// TestLongRequestsLateInAStop guards against a request of another instance that is taken late
// in a planned stop and broken off when the process ends.
func TestLongRequestsLateInAStop(t *testing.T) {
	is := is.New(t)
	ga := newGate(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	ga.pu.SetStopping(ga.pu.Now().Add(timer.Second))
	is.Equal(ga.Forward(ctx, request("1", "body")).GetOutcome(), uint32(OutcomeAnswered)) // peers have not noticed yet
	ga.pu.SetStopping(ga.pu.Now())
	answer := ga.Forward(ctx, request("2", "body"))
	is.Equal([]any{answer.GetOutcome(), answer.GetCode()}, []any{uint32(OutcomeNotRun), admitter.CodeDraining})
	short := request("3", "body")
	short.Remaining = int64(time.Second)
	is.Equal(ga.Forward(ctx, short).GetOutcome(), uint32(OutcomeAnswered))
	is.Equal(ga.calls.Load(), int32(2))
}

func TestLeaseLossCancelsRunningWork(t *testing.T) {
	is := is.New(t)
	ga := newGate(t, emulator.WithServiceTime(time.Minute))
	done := make(chan *peerproto.ForwardResponse, 1)
	go func() { done <- ga.Forward(context.Background(), request("1", "body")) }()
	// An admitted request counts as running before the last check of the lease. It
	// has started for certain only once the server has received it.
	for ga.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	ga.pu.SetLeaseUntil(0)
	is.Equal(ga.pu.CancelIfLapsed(), false)
	answer := <-done
	is.Equal(answer.GetOutcome(), uint32(OutcomeUnknown)) // it may have run in part
	is.True(ga.pu.IsIdle("counter", 0) && ga.pu.IsIdle("counter", 1) && ga.pu.IsIdle("counter", 2) && ga.pu.IsIdle("counter", 3))
}

// TestLeavingServerGetsNothingFromTheQueue checks that a queued request is refused
// when the backend server starts to shut down before the request's turn.
func TestLeavingServerGetsNothingFromTheQueue(t *testing.T) {
	is := is.New(t)
	ga := newGate(t, emulator.WithServiceTime(300*time.Millisecond))
	ga.pu.SetBackendServer(publisher.BackendServer{ID: "i-1", Slots: 1, LastHeartbeatAt: 1})
	first, second := make(chan *peerproto.ForwardResponse, 1), make(chan *peerproto.ForwardResponse, 1)
	go func() { first <- ga.Forward(context.Background(), request("1", "body")) }()
	for ga.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	go func() { second <- ga.Forward(context.Background(), request("2", "body")) }()
	for _, waiting, _ := ga.Load(); waiting == 0; _, waiting, _ = ga.Load() {
		time.Sleep(time.Millisecond)
	}
	ga.pu.SetBackendServer(publisher.BackendServer{ID: "i-1", Slots: 1, LastHeartbeatAt: 2, RefuseAt: ga.pu.Now()})
	is.Equal((<-first).GetOutcome(), uint32(OutcomeAnswered)) // running work goes on
	answer := <-second
	is.Equal(answer.GetOutcome(), uint32(OutcomeNotRun))
	is.Equal(answer.GetCode(), admitter.CodeDraining)
	is.Equal(ga.calls.Load(), int32(1))
	is.Equal(ga.Forward(context.Background(), request("3", "body")).GetCode(), admitter.CodeDraining)
}

func BenchmarkForward(b *testing.B) {
	ga := newGate(&testing.T{}, emulator.WithoutRecords())
	rq := request("1", "body")
	rq.Idempotent = true
	b.ReportAllocs()
	for range b.N {
		ga.Forward(context.Background(), rq)
	}
}
