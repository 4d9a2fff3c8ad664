// Package gatekeeper runs requests on the backend server beside the instance.
//
// It is the only way into that server. It checks ownership under a valid lease,
// after queueing and immediately before the start; admits, deduplicates and
// times out; and says of each refusal whether the request ran.
//
// # Usage
//
//	ga, err := gatekeeper.New(pu, "127.0.0.1:9001", gatekeeper.WithLogger(lo))
//	answer := ga.Forward(ctx, request)
package gatekeeper

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/peerproto"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
)

// The outcomes of a forwarded request.
const (
	OutcomeUnknown  = 0
	OutcomeNotRun   = 1
	OutcomeAnswered = 2
)

// The codes of refusals beyond those of package admitter.
const (
	CodeNotOwner         = "notOwner"
	CodeWrongIncarnation = "wrongIncarnation"
	CodeUnknownService   = "unknownService"
	CodeUnreachable      = "backendServerUnreachable"
	CodeLost             = "answerLost"
	CodeShed             = "backendServerShed"
	CodeNoRoom           = "noRoom"
	CodeReused           = "idempotencyKeyReused"
	CodeCrashed          = "backendServerCrashed"
	CodeNoServer         = "backendServerUnknown"
)

// queuePerSlot is how many requests may wait for each slot that a backend
// server names: with more, the last would wait for several latencies.
const queuePerSlot = 4

// Option sets one option of New.
type Option func(*Gatekeeper)

// WithLogger sets the log of decisions.
func WithLogger(lo hclog.Logger) Option { return func(ga *Gatekeeper) { ga.lo = lo } }

// WithLogSampling logs one in so many decisions that succeeded, none if 0.
func WithLogSampling(every int) Option {
	return func(ga *Gatekeeper) { ga.sampleEvery = uint64(every) }
}

// WithCrashNotifier sets who tells the other instances of a request that ran when a
// backend server crashed.
func WithCrashNotifier(tell func(fingerprint uint64)) Option {
	return func(ga *Gatekeeper) { ga.tell = tell }
}

// WithCodec sets the protocol of the backend server. The default is the
// project's own.
func WithCodec(cd Codec) Option { return func(ga *Gatekeeper) { ga.bs.codec = cd } }

// WithRefusedConnection sets who is told that nothing listens at the backend server's
// address.
func WithRefusedConnection(refused func()) Option {
	return func(ga *Gatekeeper) { ga.refused = refused }
}

// WithObserver sets who is told of each request, for metrics.
func WithObserver(observe func(outcome, code string, latency timer.Span)) Option {
	return func(ga *Gatekeeper) { ga.observe = observe }
}

// Gatekeeper is the gate of one backend server.
type Gatekeeper struct {
	pu          *publisher.Publisher
	bs          *backend
	lo          hclog.Logger
	sampleEvery uint64
	tell        func(fingerprint uint64)
	refused     func()
	observe     func(outcome, code string, latency timer.Span)

	mu      sync.Mutex
	gate    *admitter.Gate
	dd      *admitter.Deduper
	qu      *admitter.Quarantine
	waiting map[admitter.Ticket]chan turn
	limits  cataloguer.ServiceLimits
	decided uint64
	// heardAt is when the server's word last taken was heard, and fellAt when
	// it last fell over.
	heardAt    timer.Instant
	fellAt     timer.Instant
	isDraining bool
	// isStartDue says that a timer will start what waits for a cold server.
	isStartDue bool
}

// New returns a gate for the backend server at address, as IP:port.
func New(pu *publisher.Publisher, address string, opts ...Option) (*Gatekeeper, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("gatekeeper: address %q: %w", address, err)
	}
	ga := &Gatekeeper{
		pu: pu, bs: newBackend(address), lo: hclog.NewNullLogger(),
		dd: admitter.NewDeduper(), qu: admitter.NewQuarantine(), waiting: map[admitter.Ticket]chan turn{},
		tell: func(uint64) {}, refused: func() {}, observe: func(string, string, timer.Span) {},
	}
	for _, opt := range opts {
		opt(ga)
	}
	return ga, nil
}

// Close drops the pooled connections.
func (ga *Gatekeeper) Close() { ga.bs.close() }

// Drain refuses all new work from now on, as not run.
func (ga *Gatekeeper) Drain() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.isDraining = true
}

// Load returns how many requests run and wait, and the concurrency in force.
func (ga *Gatekeeper) Load() (running, waiting, limit int) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.gate == nil {
		return 0, 0, 0
	}
	return ga.gate.Running(), ga.gate.Waiting(), ga.gate.Limit()
}

// Forward runs a request or refuses it. It never returns an error: the answer
// tells the outcome.
func (ga *Gatekeeper) Forward(ctx context.Context, rq *peerproto.ForwardRequest) *peerproto.ForwardResponse {
	startedAt := ga.pu.Now()
	answer := ga.forward(ctx, rq)
	took := ga.pu.Now().Sub(startedAt)
	ga.observe(OutcomeName(answer.GetOutcome()), answer.GetCode(), took)
	answer.RequestId = rq.GetRequestId()
	running, waiting, _ := ga.Load()
	answer.Running, answer.Waiting = uint32(running), uint32(waiting)
	ga.log(rq, answer, took)
	return answer
}

func (ga *Gatekeeper) log(rq *peerproto.ForwardRequest, answer *peerproto.ForwardResponse, took timer.Span) {
	ga.mu.Lock()
	ga.decided++
	isSampled := ga.sampleEvery > 0 && ga.decided%ga.sampleEvery == 0
	ga.mu.Unlock()
	if answer.GetOutcome() == OutcomeAnswered && !isSampled {
		return
	}
	ga.lo.Info("gate", "requestId", rq.GetRequestId(), "route", rq.GetRoute(), "workspace", rq.GetWorkspace(),
		"outcome", OutcomeName(answer.GetOutcome()), "code", answer.GetCode(), "reason", answer.GetReason(),
		"status", answer.GetStatus(), "attempt", rq.GetAttempt(), "key", rq.GetKey(),
		"running", answer.GetRunning(), "waiting", answer.GetWaiting(),
		"leaseLeft", ga.pu.LeaseUntil().Sub(ga.pu.Now()).Duration().String(), "took", took.Duration().String())
}

// OutcomeName returns the name of an outcome in answers and logs.
func OutcomeName(outcome uint32) string {
	switch outcome {
	case OutcomeNotRun:
		return "notRun"
	case OutcomeAnswered:
		return "answered"
	default:
		return "unknown"
	}
}

func refuse(code, reason string) *peerproto.ForwardResponse {
	return &peerproto.ForwardResponse{Outcome: OutcomeNotRun, Code: code, Reason: reason}
}

func (ga *Gatekeeper) forward(ctx context.Context, rq *peerproto.ForwardRequest) *peerproto.ForwardResponse {
	self := ga.pu.Self()
	if rq.GetTo() != self.Incarnation {
		return refuse(CodeWrongIncarnation, "this instance is another incarnation")
	}
	sv, ok := ga.pu.View().Services[rq.GetService()]
	if !ok || rq.GetService() != self.Service {
		return refuse(CodeUnknownService, "this instance does not serve "+rq.GetService())
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(rq.GetRemaining()))
	defer cancel()
	jo := &job{rq: rq, sv: sv, deadlineAt: ga.pu.Now().Add(timer.Span(rq.GetRemaining())), fingerprint: fingerprint(rq)}
	if sv.Class == cataloguer.Exclusive {
		jo.partition = ga.pu.View().Tables[sv.Name].Partition(rq.GetKey())
		if !ga.pu.Owns(sv.Name, jo.partition) {
			return refuse(CodeNotOwner, "this instance does not own the key")
		}
	}
	return ga.once(ctx, jo)
}

func (jo *job) toAdmit() admitter.Request {
	rq := admitter.Request{
		Route: jo.rq.GetRoute(), Workspace: jo.rq.GetWorkspace(), Priority: cataloguer.Priority(jo.rq.GetPriority()), DeadlineAt: jo.deadlineAt,
	}
	if left := jo.rq.GetTargetRemaining(); left != 0 {
		rq.TargetAt = jo.deadlineAt.Add(timer.Span(left - jo.rq.GetRemaining()))
	}
	return rq
}

// job is one request on its way through the gate.
type job struct {
	rq          *peerproto.ForwardRequest
	sv          cataloguer.Service
	partition   uint32
	deadlineAt  timer.Instant
	fingerprint uint64
}

func fingerprint(rq *peerproto.ForwardRequest) uint64 {
	di := xxhash.New()
	for _, part := range []string{rq.GetRoute(), rq.GetMethod(), rq.GetPathAndQuery(), rq.GetKey()} {
		// A digest's Write never fails.
		_, _ = di.WriteString(part)
		_, _ = di.Write([]byte{0})
	}
	_, _ = di.Write(rq.GetBody())
	return di.Sum64()
}

// admit queues the request and runs it when its turn comes.
func (ga *Gatekeeper) admit(ctx context.Context, jo *job) *peerproto.ForwardResponse {
	refusal := ga.enqueue(ctx, jo)
	if refusal != nil {
		return refusal
	}
	startedAt := ga.pu.Now()
	answer, isOverloaded := ga.start(ctx, jo)
	ga.finish(admitter.Completion{Route: jo.rq.GetRoute(), Latency: ga.pu.Now().Sub(startedAt), Overloaded: isOverloaded})
	return answer
}

// enqueue waits for a slot. It returns nil once the request has one.
func (ga *Gatekeeper) enqueue(ctx context.Context, jo *job) *peerproto.ForwardResponse {
	ga.mu.Lock()
	if ga.isDraining {
		ga.mu.Unlock()
		return refuse(admitter.CodeDraining, "this instance is stopping")
	}
	ga.follow(jo.sv.Limits)
	if refusal := ga.followServer(); refusal != nil {
		ga.mu.Unlock()
		return refusal
	}
	if ga.qu.IsQuarantined(jo.fingerprint, int(jo.rq.GetCrashes()), ga.pu.Now()) {
		ga.mu.Unlock()
		return refuse(admitter.CodeQuarantined, "this request crashed backend servers before")
	}
	request := jo.toAdmit()
	decision := ga.gate.Arrive(request, ga.pu.Now())
	switch de := decision.(type) {
	case admitter.Run:
		ga.mu.Unlock()
		return nil
	case admitter.Wait:
		turns := make(chan turn, 1)
		ga.waiting[de.Ticket] = turns
		for _, shed := range de.Shed {
			ga.wake(shed, turnShed)
		}
		ga.scheduleStart()
		patience := ga.gate.LatestStart(request).Sub(ga.pu.Now())
		ga.mu.Unlock()
		return ga.await(ctx, de.Ticket, turns, patience.Duration())
	case admitter.Refuse:
		ga.mu.Unlock()
		answer := refuse(de.Code, de.Reason)
		answer.RetryAfter = int64(de.RetryAfter)
		return answer
	default:
		panic(fmt.Sprintf("gatekeeper: unknown decision %T", decision))
	}
}

// turn is what becomes of a waiting request.
type turn int

const (
	// turnRun starts it.
	turnRun turn = iota
	// turnShed gives its place to a more important one.
	turnShed
	// turnExpired ends it, since too little of its time is left.
	turnExpired
)

// wake tells a waiting request what becomes of it. The lock must be held.
func (ga *Gatekeeper) wake(ticket admitter.Ticket, what turn) {
	if turns := ga.waiting[ticket]; turns != nil {
		delete(ga.waiting, ticket)
		turns <- what
	}
}

// await waits for the request's turn, for as long as it is worth starting.
func (ga *Gatekeeper) await(ctx context.Context, ticket admitter.Ticket, turns <-chan turn, patience time.Duration) *peerproto.ForwardResponse {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	select {
	case what := <-turns:
		switch what {
		case turnRun:
			return nil
		case turnShed:
			return refuse(admitter.CodeOverloaded, "shed for more important work")
		}
		return refuse(admitter.CodeDeadline, "too little time was left when its turn came")
	case <-ctx.Done():
	}
	ga.mu.Lock()
	wasWaiting := ga.gate.Abandon(ticket)
	delete(ga.waiting, ticket)
	ga.mu.Unlock()
	if !wasWaiting {
		ga.giveBack(turns)
	}
	return refuse(admitter.CodeDeadline, "the deadline passed in the queue")
}

// giveBack frees a slot that was given while the request gave up.
func (ga *Gatekeeper) giveBack(turns <-chan turn) {
	select {
	case what := <-turns:
		if what == turnRun {
			ga.finish(admitter.Completion{})
		}
	default:
	}
}

func (ga *Gatekeeper) finish(co admitter.Completion) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if co.Overloaded {
		ga.fellAt = ga.pu.Now()
	}
	ga.wakeAll(ga.gate.Finish(co, ga.pu.Now()))
	ga.scheduleStart()
}

// wakeAll tells requests that they run, and those whose turn came too late that
// they don't. The lock must be held.
func (ga *Gatekeeper) wakeAll(started []admitter.Ticket) {
	for _, ticket := range started {
		ga.wake(ticket, turnRun)
	}
	for _, ticket := range ga.gate.TakeExpired() {
		ga.wake(ticket, turnExpired)
	}
}

// start checks ownership once more and runs the request under the lease.
func (ga *Gatekeeper) start(ctx context.Context, jo *job) (answer *peerproto.ForwardResponse, isOverloaded bool) {
	if ctx.Err() != nil {
		return refuse(admitter.CodeDeadline, "the deadline passed before the start"), false
	}
	if refusal := ga.refuseForServer(); refusal != nil {
		return refusal, false
	}
	if jo.sv.Class == cataloguer.Shared {
		return ga.run(ctx, jo, 0)
	}
	epoch, ok := ga.pu.Enter(jo.sv.Name, jo.partition)
	if !ok {
		return refuse(CodeNotOwner, "the key moved while the request waited"), false
	}
	defer ga.pu.Leave(jo.sv.Name, jo.partition)
	guarded, release := ga.pu.Guard(ctx)
	defer release()
	return ga.run(guarded, jo, epoch)
}

func (ga *Gatekeeper) run(ctx context.Context, jo *job, epoch uint64) (*peerproto.ForwardResponse, bool) {
	ga.mu.Lock()
	ga.qu.Start(jo.fingerprint)
	ga.mu.Unlock()
	serverID := ""
	if bs := ga.pu.BackendServer(); bs != nil {
		serverID = bs.ID
	}
	answer, result := ga.bs.run(ctx, jo, epoch, serverID)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	switch result {
	case resultAnswered:
		ga.qu.Succeed(jo.fingerprint)
	case resultCrashed:
		ga.qu.Crash(jo.fingerprint, ga.pu.Now())
		ga.tell(jo.fingerprint)
	default:
		ga.qu.Cancel(jo.fingerprint)
	}
	if result == resultAbsent {
		ga.refused()
	}
	isAnnounced := ga.pu.BackendServer() != nil
	return answer, result == resultCrashed || result == resultAbsent || result == resultShed && !isAnnounced
}

// RecordCrash takes a peer's word that a request ran when a backend server crashed.
func (ga *Gatekeeper) RecordCrash(fingerprint uint64) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.qu.RecordCrashes(fingerprint, 1, ga.pu.Now())
}
