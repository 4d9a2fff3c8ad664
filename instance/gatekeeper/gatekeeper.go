// Package gatekeeper is the admission control and proxy in front of the backend
// server on this VM.
//
// All requests to that server pass through it. It checks that the instance owns the
// key under a valid lease, on arrival and again immediately before the start;
// applies admission control, deduplication and timeouts; and reports for each
// refused or failed request whether it may have run.
//
// # Usage
//
//	ga, err := gatekeeper.New(pu, "127.0.0.1:9001", gatekeeper.WithLogger(lo))
//	answer := ga.Forward(ctx, request)
package gatekeeper

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/pacer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/roller"
	"cornellanding.example/core/sequencer"
	"cornellanding.example/core/shaper"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/assembler"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/peerproto"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
)

// Outcomes of a forwarded request. OutcomeUnknown means that it may have run, in
// full or in part.
const (
	OutcomeUnknown  = 0
	OutcomeNotRun   = 1
	OutcomeAnswered = 2
)

// Refusal codes, in addition to those of package admitter.
const (
	CodeNotOwner             = "notOwner"
	CodeWrongIncarnation     = "wrongIncarnation"
	CodeUnknownService       = "unknownService"
	CodeUnreachable          = "backendServerUnreachable"
	CodeLost                 = "answerLost"
	CodeShed                 = "backendServerShed"
	CodeDeduperFull          = "noRoom"
	CodeIdempotencyKeyReused = "idempotencyKeyReused"
	CodeCrashed              = "backendServerCrashed"
	CodeServerUnknown        = "backendServerUnknown"
	CodeBadTarget            = "badTarget"
	// CodeNoMemory means that an instance had no memory left for the request.
	CodeNoMemory = "noMemory"
	// CodeKeyRejected means that the backend server received the request and rejected
	// it, because it does not hold the key or has been restarted.
	CodeKeyRejected = "backendServerRejectedKey"
	// CodeOut means that the data centre or the backend server has been taken out.
	CodeOut = "takenOut"
	// CodeConfigOutdated means that the entry instance chose the service by a configuration
	// that is no longer in force here.
	CodeConfigOutdated = "configurationOutdated"
)

// queuePerSlot is the queue length per slot for a backend server that announces its
// slots. In a longer queue, the last request would wait for several times the
// latency of a request.
const queuePerSlot = 4

// Option configures New.
type Option func(*Gatekeeper)

// WithLogger sets the logger of request outcomes.
func WithLogger(lo hclog.Logger) Option { return func(ga *Gatekeeper) { ga.lo = lo } }

// WithLogSampling logs an answered request only if its number, counted over all
// requests, is a multiple of every, or never if every is 0. Requests with other
// outcomes are always logged.
func WithLogSampling(every int) Option {
	return func(ga *Gatekeeper) { ga.sampleEvery = uint64(every) }
}

// jitterSteps is the number of steps by which trials at different instances are spread.
const jitterSteps = 1000

// WithCrashNotifier sets the function that tells the other instances the
// fingerprint of a request that was running when a backend server crashed. It is
// called with the Gatekeeper's lock held, so it must not call the Gatekeeper.
func WithCrashNotifier(notifyCrash func(fingerprint uint64, run uint32)) Option {
	return func(ga *Gatekeeper) { ga.notifyCrash = notifyCrash }
}

// WithSuccessNotifier sets the function called when a request was answered that had been
// running in crashes, so that other instances may run it again. It is called with the
// Gatekeeper's lock held.
func WithSuccessNotifier(notifyCleared func(fingerprint uint64)) Option {
	return func(ga *Gatekeeper) { ga.notifyCleared = notifyCleared }
}

// WithQuarantineNotifier sets the function called when a request that crashed the backend
// server is quarantined, and at each later crash of it. It is called with the Gatekeeper's
// lock held, so it must not call the Gatekeeper.
func WithQuarantineNotifier(notifyQuarantine func(su admitter.Suspect)) Option {
	return func(ga *Gatekeeper) { ga.notifyQuarantine = notifyQuarantine }
}

// WithCodec sets the protocol of the backend server. The default sends the headers
// Request-Id, Entity-Key, Workspace, Request-Timeout and, for an exclusive service,
// Fencing-Epoch, and reads Request-Outcome.
func WithCodec(cd Codec) Option { return func(ga *Gatekeeper) { ga.bs.codec = cd } }

// WithRefusedConnection sets the function called when the backend server's address
// refuses a connection that was attempted at attemptedAt. It is called with the Gatekeeper's
// lock held, so it must not call the Gatekeeper.
func WithRefusedConnection(connectionRefused func(attemptedAt timer.Instant)) Option {
	return func(ga *Gatekeeper) { ga.connectionRefused = connectionRefused }
}

// WithLeavingServer sets the function called when an answer says that the backend server
// with the ID is leaving, again with each further answer until the published state of the
// server tells from when to refuse requests. It is called with the Gatekeeper's lock held,
// so it must not call the Gatekeeper.
func WithLeavingServer(serverLeaving func(id string)) Option {
	return func(ga *Gatekeeper) { ga.serverLeaving = serverLeaving }
}

// WithObserver sets the function called after each request, for metrics.
func WithObserver(observe func(outcome, code string, latency timer.Span)) Option {
	return func(ga *Gatekeeper) { ga.observe = observe }
}

// Gatekeeper is the admission control in front of one backend server. It is safe for
// concurrent use.
type Gatekeeper struct {
	pu                *publisher.Publisher
	bs                *backend
	lo                hclog.Logger
	sampleEvery       uint64
	notifyCrash       func(fingerprint uint64, run uint32)
	notifyCleared     func(fingerprint uint64)
	notifyQuarantine  func(su admitter.Suspect)
	connectionRefused func(attemptedAt timer.Instant)
	serverLeaving     func(id string)
	observe           func(outcome, code string, latency timer.Span)

	mu      sync.Mutex
	gate    *admitter.Gate
	dd      *admitter.Deduper
	qu      *admitter.Quarantine
	waiting map[admitter.Ticket]chan turn
	limits  cataloguer.ServiceLimits
	// link is nil if the rate of the VM's link is not limited.
	link *linkGate
	// bodies is nil if the bytes of running requests are not bounded.
	bodies *admitter.ByteLimit
	// decided counts the requests that have ended, for log sampling.
	decided uint64
	// idempotents counts the idempotent requests that run, and repeats adds up their
	// shares of repeats. No others are repeated.
	idempotents int
	repeats     float64
	// reportedAt is the time of the latest heartbeat of the backend server whose
	// state was applied, and overloadedAt is when the server was last overloaded,
	// crashed or unreachable.
	reportedAt   timer.Instant
	overloadedAt timer.Instant
	isDraining   bool
	condition    observedCondition
	// versions is the part in rollouts, nil if they are off.
	versions *roller.Gate
	// abandonedUntil is the latest deadline of a request that was given up while it ran.
	abandonedUntil timer.Instant
	// isStartScheduled means that a timer will start queued requests on a cold
	// server.
	isStartScheduled bool
	// isOutScheduled means that a timer will check whether the VM has been taken out.
	isOutScheduled bool
	// cm is nil without WithPacing, and pa without WithColdBound too.
	cm    *pacer.Comparer
	pa    *pacer.Pacer
	calls calls
	// coldChecks requests a check whether the server has turned cold, the latest of which was
	// requested at coldCheckedAt, and checkedCold is what a check last found.
	coldChecks    chan struct{}
	coldCheckedAt timer.Instant
	checkedCold   checkedCold
}

// New returns a Gatekeeper for the backend server at address, an IP:port. It returns
// an error if the address is malformed.
func New(pu *publisher.Publisher, address string, opts ...Option) (*Gatekeeper, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("gatekeeper: address %q: %w", address, err)
	}
	ga := &Gatekeeper{
		pu: pu, bs: newBackend(address, pu.Now), lo: hclog.NewNullLogger(),
		dd: admitter.NewDeduper(), qu: admitter.NewQuarantine(), waiting: map[admitter.Ticket]chan turn{}, calls: newCalls(), coldChecks: make(chan struct{}),
		notifyCrash: func(uint64, uint32) {}, notifyCleared: func(uint64) {}, notifyQuarantine: func(admitter.Suspect) {}, connectionRefused: func(timer.Instant) {}, serverLeaving: func(string) {}, observe: func(string, string, timer.Span) {},
	}
	for _, opt := range opts {
		opt(ga)
	}
	ga.bs.observe = ga.observeCondition
	ga.qu.SetJitter(float64(xxhash.Sum64String(pu.Self().BackendServer)%jitterSteps) / jitterSteps)
	return ga, nil
}

// Close closes the idle connections to the backend server.
func (ga *Gatekeeper) Close() { ga.bs.close() }

// Drain refuses all new requests from now on, with OutcomeNotRun.
func (ga *Gatekeeper) Drain() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.isDraining = true
}

// Load returns the numbers of running and queued requests and the concurrency limit
// in force. All are 0 before the first request.
func (ga *Gatekeeper) Load() (running, waiting, limit int) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.load()
}

// load is Load with the lock held.
func (ga *Gatekeeper) load() (running, waiting, limit int) {
	if ga.gate == nil {
		return 0, 0, 0
	}
	return ga.gate.Running(), ga.gate.Waiting(), ga.gate.Limit()
}

// RepeatShare returns the share of repeats, from 0 to 1, among the idempotent requests that
// the backend server runs.
func (ga *Gatekeeper) RepeatShare() float64 {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.idempotents == 0 {
		return 0
	}
	return min(1, max(0, ga.repeats/float64(ga.idempotents)))
}

// countRepeats adds a request that starts to the share of repeats, or takes away one that
// ended. The lock must be held.
func (ga *Gatekeeper) countRepeats(rq *peerproto.ForwardRequest, by int) {
	if !rq.GetIdempotent() {
		return
	}
	ga.idempotents += by
	ga.repeats += float64(by) * min(1, max(0, rq.GetRepeatShare()))
}

// Forward runs a request on the backend server or refuses it. The answer always
// gives the outcome, also for failures.
func (ga *Gatekeeper) Forward(ctx context.Context, rq *peerproto.ForwardRequest) *peerproto.ForwardResponse {
	startedAt := ga.pu.Now()
	return ga.conclude(rq, ga.forward(ctx, rq), startedAt)
}

// conclude completes, counts and logs an answer to a request that arrived at startedAt.
func (ga *Gatekeeper) conclude(rq *peerproto.ForwardRequest, answer *peerproto.ForwardResponse, startedAt timer.Instant) *peerproto.ForwardResponse {
	took := ga.pu.Now().Sub(startedAt)
	ga.observe(OutcomeName(answer.GetOutcome()), answer.GetCode(), took)
	answer.RequestId = rq.GetRequestId()
	isSampled := ga.complete(rq, answer)
	if answer.GetOutcome() != OutcomeAnswered || isSampled {
		ga.log(rq, answer, took)
	}
	return answer
}

// complete adds what the gate reports to an answer. It returns whether the answer is one of
// those that are logged in any case.
func (ga *Gatekeeper) complete(rq *peerproto.ForwardRequest, answer *peerproto.ForwardResponse) (isSampled bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	answer.CallRoute = ga.isCallRoute(rq)
	answer.ConfigVersion = ga.pu.View().Config.Version
	running, waiting, _ := ga.load()
	answer.Running, answer.Waiting = uint32(running), uint32(waiting)
	ga.report(rq.GetRoute(), answer)
	ga.decided++
	return ga.sampleEvery > 0 && ga.decided%ga.sampleEvery == 0
}

func (ga *Gatekeeper) log(rq *peerproto.ForwardRequest, answer *peerproto.ForwardResponse, took timer.Span) {
	ga.lo.Info("request handled by gatekeeper", "requestId", rq.GetRequestId(), "route", rq.GetRoute(), "workspace", rq.GetWorkspace(),
		"outcome", OutcomeName(answer.GetOutcome()), "code", answer.GetCode(), "reason", answer.GetReason(),
		"status", answer.GetStatus(), "attempt", rq.GetAttempt(), "repeatShare", rq.GetRepeatShare(), "key", rq.GetKey(),
		"entryConfig", sequencer.Format(rq.GetConfigVersion()), "config", sequencer.Format(ga.pu.View().Config.Version),
		"running", answer.GetRunning(), "waiting", answer.GetWaiting(),
		"leaseLeft", timer.Left(ga.pu.LeaseUntil(), ga.pu.Now()), "took", took.Duration().String())
}

// OutcomeName returns the name of an outcome as used in refusals and logs.
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

// serviceOf returns the service of a request to this instance, or a refusal.
func (ga *Gatekeeper) serviceOf(ctx context.Context, rq *peerproto.ForwardRequest) (cataloguer.Service, *peerproto.ForwardResponse) {
	self := ga.pu.Self()
	if rq.GetTo() != self.Incarnation {
		return cataloguer.Service{}, refuse(CodeWrongIncarnation, "this instance is another incarnation")
	}
	sv, ok := ga.pu.View().Services[rq.GetService()]
	if !ok || rq.GetService() != self.Service {
		return cataloguer.Service{}, refuse(CodeUnknownService, "this instance does not serve "+rq.GetService())
	}
	if end, ok := ctx.Deadline(); ok && ga.pu.RefusesLong() && time.Until(end) < time.Duration(rq.GetRemaining()) {
		return cataloguer.Service{}, refuse(admitter.CodeDraining, "this instance is stopping and may end before the request does")
	}
	return sv, nil
}

// refuseOutdated returns a refusal of a request that was decided by an outdated configuration, or
// nil.
func (ga *Gatekeeper) refuseOutdated(rq *peerproto.ForwardRequest) *peerproto.ForwardResponse {
	version := rq.GetConfigVersion()
	// Instances of older builds name no configuration.
	if version == 0 || !ga.pu.View().IsOutdated(version, ga.pu.Now()) {
		return nil
	}
	return refuse(CodeConfigOutdated, fmt.Sprintf("configuration %d, by which the request was decided, is no longer in force", version))
}

func (ga *Gatekeeper) forward(ctx context.Context, rq *peerproto.ForwardRequest) *peerproto.ForwardResponse {
	// Where a body followed its head, RefuseHead checked before the body took its time.
	if _, hasBody := bodyOf(ctx); !hasBody {
		if refusal := ga.refuseOutdated(rq); refusal != nil {
			return refusal
		}
	}
	sv, refusal := ga.serviceOf(ctx, rq)
	if refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(rq.GetRemaining()))
	defer cancel()
	body := Body(ctx, rq)
	jo := &job{rq: rq, body: body, sv: sv, deadlineAt: ga.pu.Now().Add(timer.Span(rq.GetRemaining()))}
	jo.fingerprint, jo.suspect = fingerprintsOf(rq, body)
	if jo.partition, refusal = ga.partitionOf(sv, rq.GetKey()); refusal != nil {
		return refusal
	}
	return ga.runOnce(ctx, jo)
}

// partitionOf returns the partition of a key of an exclusive service, 0 for a shared one, or a
// refusal if this instance does not own it.
func (ga *Gatekeeper) partitionOf(sv cataloguer.Service, key string) (uint32, *peerproto.ForwardResponse) {
	if sv.Class != cataloguer.Exclusive {
		return 0, nil
	}
	partition := ga.pu.View().Tables[sv.Name].Partition(key)
	if !ga.pu.Owns(sv.Name, partition) {
		return 0, refuse(CodeNotOwner, "this instance does not own the key")
	}
	return partition, nil
}

func (jo *job) admissionRequest() admitter.Request {
	rq := admitter.Request{
		Route: jo.rq.GetRoute(), Workspace: jo.rq.GetWorkspace(), Priority: cataloguer.Priority(jo.rq.GetPriority()), DeadlineAt: jo.deadlineAt,
		Fingerprint: jo.fingerprint,
	}
	if left := jo.rq.GetTargetRemaining(); left != 0 {
		rq.TargetAt = jo.deadlineAt.Add(timer.Span(left - jo.rq.GetRemaining()))
	}
	return rq
}

// job is one request on its way to the backend server.
type job struct {
	rq          *peerproto.ForwardRequest
	body        *assembler.Body
	sv          cataloguer.Service
	partition   uint32
	deadlineAt  timer.Instant
	fingerprint uint64
	// suspect is the fingerprint by which it is known if it crashes backend servers.
	suspect uint64
	// onLink is its share of the VM's link.
	onLink shaper.Reservation
	// isInBodies means that its body counts among those that the server may get.
	isInBodies bool
	// startedAt is when it was sent, and order the rollout's order that it was counted for.
	startedAt timer.Instant
	order     uint64
}

type bodyKey struct{}

// WithBody returns a context for Forward with the body of the request, which takes the place
// of the one in the request. It saves the copy into one slice.
func WithBody(ctx context.Context, body *assembler.Body) context.Context {
	return context.WithValue(ctx, bodyKey{}, body)
}

// Body returns the body of a request that is forwarded with the context, see WithBody.
func Body(ctx context.Context, rq *peerproto.ForwardRequest) *assembler.Body {
	if body, ok := bodyOf(ctx); ok {
		return body
	}
	return assembler.New(rq.GetBody())
}

// bodyOf returns the body of WithBody, or false if there is none.
func bodyOf(ctx context.Context) (*assembler.Body, bool) {
	body, ok := ctx.Value(bodyKey{}).(*assembler.Body)
	return body, ok
}

// isRefusedAsCrashing reports whether the request is refused since it crashed backend servers
// before. The lock must be held.
func (ga *Gatekeeper) isRefusedAsCrashing(jo *job) bool {
	former, now := int(jo.rq.GetCrashes()), ga.pu.Now()
	if !ga.qu.IsQuarantined(jo.suspect, former, now) {
		return false
	}
	if !ga.qu.Try(jo.suspect, former, now) {
		return true
	}
	ga.lo.Info("request that was running in crashes of backend servers is tried again", "requestId", jo.rq.GetRequestId(),
		"fingerprint", strconv.FormatUint(jo.suspect, 16), "crashes", ga.qu.Crashes(jo.suspect, now))
	return false
}

// fingerprintsOf hashes the route, method, path and query, key and body of a request. A
// copy under another request ID has the same fingerprint. The second result is by what the
// request is known if it crashes backend servers: it has the same path, caller and body then,
// while the key may differ.
func fingerprintsOf(rq *peerproto.ForwardRequest, body *assembler.Body) (fingerprint, suspect uint64) {
	di := xxhash.New()
	// A digest's Write never fails.
	_, _ = io.Copy(di, body.NewReader())
	write := func(parts ...string) {
		for _, part := range parts {
			_, _ = di.WriteString(part)
			_, _ = di.Write([]byte{0})
		}
	}
	write("", rq.GetHost(), rq.GetMethod(), rq.GetPathAndQuery(), rq.GetWorkspace())
	suspect = di.Sum64()
	write(rq.GetRoute(), rq.GetKey())
	return di.Sum64(), suspect
}

// admit waits for a slot and then runs the request.
func (ga *Gatekeeper) admit(ctx context.Context, jo *job) *peerproto.ForwardResponse {
	defer ga.leaveLink(jo)
	defer ga.leaveBodies(jo)
	refusal := ga.enqueue(ctx, jo)
	if refusal != nil {
		return refusal
	}
	if refusal := ga.startOnLink(jo); refusal != nil {
		ga.finish(admitter.Completion{})
		return refusal
	}
	startedAt := ga.pu.Now()
	ru := ga.beginRun(jo, startedAt)
	answer, isOverloaded := ga.start(ctx, jo)
	ga.observeLink(jo, answer)
	ga.observeRun(jo, answer, startedAt)
	ga.endRun(ru, answer)
	ga.finish(admitter.Completion{Route: jo.rq.GetRoute(), Latency: ga.pu.Now().Sub(startedAt), Overloaded: isOverloaded})
	return answer
}

// enqueue waits for a slot. It returns nil once the request has one, or a refusal.
func (ga *Gatekeeper) enqueue(ctx context.Context, jo *job) *peerproto.ForwardResponse {
	ga.mu.Lock()
	if ga.isDraining {
		ga.mu.Unlock()
		return refuse(admitter.CodeDraining, "this instance is stopping")
	}
	if refusal := ga.refuseOut(jo.sv); refusal != nil {
		ga.mu.Unlock()
		return refusal
	}
	ga.observeArrival(jo)
	ga.applyLimits(jo.sv.Limits)
	if refusal := ga.applyServerState(); refusal != nil {
		ga.mu.Unlock()
		return refusal
	}
	if ga.isRefusedAsCrashing(jo) {
		ga.mu.Unlock()
		return refuse(admitter.CodeQuarantined, "this request crashed backend servers before")
	}
	if refusal := ga.refuseVersion(); refusal != nil {
		ga.mu.Unlock()
		return refusal
	}
	request := jo.admissionRequest()
	if refusal := ga.arriveOnLink(jo, request); refusal != nil {
		ga.mu.Unlock()
		return refusal
	}
	if refusal := ga.arriveAtBodies(jo); refusal != nil {
		ga.mu.Unlock()
		return refusal
	}
	request.IsCall = ga.observeCaller(jo.rq)
	ga.gate.KeepPlaces(ga.keepsPlaces(jo))
	if refusal := ga.throttle(jo); refusal != nil {
		ga.mu.Unlock()
		return refusal
	}
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
		ga.scheduleOut()
		maxWait := ga.gate.LatestStart(request).Sub(ga.pu.Now())
		ga.mu.Unlock()
		return ga.await(ctx, de.Ticket, turns, request, maxWait.Duration())
	case admitter.Refuse:
		ga.calls.cancel(jo)
		ga.mu.Unlock()
		answer := refuse(de.Code, de.Reason)
		answer.RetryAfter = int64(de.RetryAfter)
		return answer
	default:
		panic(fmt.Sprintf("gatekeeper: unknown decision %T", decision))
	}
}

// turn says how the wait of a queued request ends.
type turn int

const (
	// turnRun starts the request.
	turnRun turn = iota
	// turnShed refuses it to make room for another request.
	turnShed
	// turnExpired refuses it because too little time is left before its deadline.
	turnExpired
	// turnOut refuses it because the VM has been taken out.
	turnOut
	// turnLimited refuses it because the backend server named a limit under which it
	// can't be served in time.
	turnLimited
)

// wake ends the wait of a queued request. The lock must be held.
func (ga *Gatekeeper) wake(ticket admitter.Ticket, what turn) {
	if turns := ga.waiting[ticket]; turns != nil {
		delete(ga.waiting, ticket)
		turns <- what
	}
}

// await waits for the turn of the request, at most for maxWait, after which
// there is too little time left to start it.
func (ga *Gatekeeper) await(ctx context.Context, ticket admitter.Ticket, turns <-chan turn, request admitter.Request, maxWait time.Duration) *peerproto.ForwardResponse {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	select {
	case what := <-turns:
		switch what {
		case turnRun:
			return nil
		case turnShed:
			return ga.refuseShed(request)
		case turnOut:
			return refuseTakenOut()
		case turnLimited:
			return ga.refuseLimited()
		}
		return refuse(admitter.CodeDeadline, "too little time was left when its turn came")
	case <-ctx.Done():
	}
	ga.mu.Lock()
	wasWaiting := ga.gate.Abandon(ticket)
	delete(ga.waiting, ticket)
	ga.mu.Unlock()
	if !wasWaiting {
		ga.releaseSlot(turns)
	}
	return refuse(admitter.CodeDeadline, "the deadline passed in the queue")
}

// refuseLimited refuses a queued request because of the limit that the server named.
func (ga *Gatekeeper) refuseLimited() *peerproto.ForwardResponse {
	answer := refuse(admitter.CodeServerLimit, "the backend server takes fewer requests a second than wait")
	ga.mu.Lock()
	defer ga.mu.Unlock()
	answer.RetryAfter = int64(ga.gate.RetryAfter(ga.pu.Now()))
	return answer
}

// refuseShed refuses a queued request that made room for another.
func (ga *Gatekeeper) refuseShed(request admitter.Request) *peerproto.ForwardResponse {
	answer := refuse(admitter.CodeOverloaded, "shed for more important work")
	ga.mu.Lock()
	defer ga.mu.Unlock()
	answer.RetryAfter = int64(ga.gate.Reserve(request, ga.pu.Now()))
	return answer
}

// releaseSlot frees a slot that was assigned while the request stopped waiting.
func (ga *Gatekeeper) releaseSlot(turns <-chan turn) {
	select {
	case what := <-turns:
		if what == turnRun {
			ga.finish(admitter.Completion{})
		}
	default:
	}
}

// finish records the end of a run and starts queued requests.
func (ga *Gatekeeper) finish(co admitter.Completion) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if co.Overloaded {
		ga.overloadedAt = ga.pu.Now()
		if ga.pa != nil {
			ga.pa.Overload()
		}
	}
	ga.refuseQueueIfOut()
	ga.wakeAll(ga.gate.Finish(co, ga.pu.Now()))
	ga.scheduleStart()
}

// wakeAll wakes the requests that start and those that expired in the queue. The
// lock must be held.
func (ga *Gatekeeper) wakeAll(started []admitter.Ticket) {
	for _, ticket := range started {
		ga.wake(ticket, turnRun)
	}
	for _, ticket := range ga.gate.TakeExpired() {
		ga.wake(ticket, turnExpired)
	}
}

// start runs an admitted request if its deadline has not passed and the backend
// server still accepts requests. For an exclusive service it checks ownership again,
// and cancels the run if the lease ends. It also reports whether the server is
// overloaded.
func (ga *Gatekeeper) start(ctx context.Context, jo *job) (answer *peerproto.ForwardResponse, isOverloaded bool) {
	if ctx.Err() != nil {
		return refuse(admitter.CodeDeadline, "the deadline passed before the start"), false
	}
	ga.mu.Lock()
	refusal := ga.refuseByServer(jo.sv)
	if refusal == nil {
		jo.startedAt, jo.order = ga.pu.Now(), ga.startVersion()
		ga.requestColdCheck(jo.startedAt)
	}
	ga.mu.Unlock()
	if refusal != nil {
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

// run sends the request to the backend server and records in the quarantine whether
// the server crashed. It reports an overload after a crash, a refused connection, or
// any other failure to be served if the server does not announce its state.
func (ga *Gatekeeper) run(ctx context.Context, jo *job, epoch uint64) (*peerproto.ForwardResponse, bool) {
	ga.mu.Lock()
	ga.qu.Start(jo.suspect)
	ga.countRepeats(jo.rq, 1)
	ga.startBody(jo)
	ga.mu.Unlock()
	var run registrar.ServerRun
	if bs := ga.pu.BackendServer(); bs != nil {
		run = serverRun(bs)
	}
	answer, result := ga.bs.run(ctx, jo, epoch, run)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.countRepeats(jo.rq, -1)
	ga.endBody(jo, result)
	ga.finishVersion(ctx, jo, answer, result)
	ga.observeCrash(jo, run, result)
	if result == resultRefused {
		ga.qu.EndRun()
		ga.connectionRefused(jo.startedAt)
	}
	isAnnounced := ga.pu.BackendServer() != nil
	return answer, result == resultCrashed || result == resultRefused || result == resultShed && !isAnnounced
}

// digestRun identifies a run of the backend server, to other instances too. It is 0 only for a
// server that does not announce its runs.
func (ga *Gatekeeper) digestRun(run registrar.ServerRun) uint32 {
	if run == (registrar.ServerRun{}) {
		return 0
	}
	di := xxhash.New()
	// A digest's Write never fails.
	_, _ = fmt.Fprintf(di, "%s\x00%s\x00%d", ga.pu.Self().BackendServer, run.ID, run.StartedAt)
	return max(1, uint32(di.Sum64()))
}

// observeCrash records in the quarantine how a request ended that was sent to a run of the
// backend server. The lock must be held.
func (ga *Gatekeeper) observeCrash(jo *job, run registrar.ServerRun, result result) {
	now := ga.pu.Now()
	switch result {
	case resultAnswered:
		if ga.qu.Succeed(jo.suspect, now) {
			ga.notifyCleared(jo.suspect)
		}
	case resultCrashed:
		recorded, isFirst := ga.qu.Crash(jo.suspect, ga.digestRun(run), jo.startedAt, now)
		if !isFirst {
			return
		}
		ga.notifyCrash(jo.suspect, recorded)
		if su, ok := ga.notifyIfQuarantined(jo.suspect); ok {
			ga.lo.Warn("request was running in several crashes of backend servers", "requestId", jo.rq.GetRequestId(),
				"fingerprint", strconv.FormatUint(su.Fingerprint, 16), "crashes", su.Crashes)
		}
	default:
		ga.qu.Cancel(jo.suspect)
	}
}

// RecordCrash records a peer's report that the request with the fingerprint was
// running when a run of a backend server crashed.
func (ga *Gatekeeper) RecordCrash(fingerprint uint64, run uint32) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.qu.RecordCrash(fingerprint, run, ga.pu.Now())
	ga.notifyIfQuarantined(fingerprint)
}

// RecordSuccess records a peer's report that the request with the fingerprint, which had been
// running in crashes, was answered.
func (ga *Gatekeeper) RecordSuccess(fingerprint uint64) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.qu.Clear(fingerprint, ga.pu.Now())
}

// LearnSuspects records requests that are quarantined already.
func (ga *Gatekeeper) LearnSuspects(suspects []admitter.Suspect) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for _, su := range suspects {
		ga.qu.Learn(su, ga.pu.Now())
	}
}

// notifyIfQuarantined notifies the control loop of a request that is quarantined and has
// crashed the backend server here, and returns it. The lock must be held.
func (ga *Gatekeeper) notifyIfQuarantined(fingerprint uint64) (admitter.Suspect, bool) {
	su, ok := ga.qu.LocalSuspect(fingerprint, ga.pu.Now())
	if ok {
		ga.notifyQuarantine(su)
	}
	return su, ok
}
