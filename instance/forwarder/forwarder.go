// Package forwarder accepts callers' requests and forwards each to an instance whose
// backend server may run it. The instance that accepts a request is its entry
// instance.
//
// It authenticates the workspace key and removes it from the request, enforces the
// workspace's rate limit, finds the owner of the entity key or balances over a
// shared service, retries requests that are known not to have run, and hedges slow
// idempotent reads.
//
// # Usage
//
//	fo, err := forwarder.New(so, gates, homes, forwarder.WithLogger(lo))
//	go fo.Run(ctx)
//	server.HandlePrefix("/", fo)
package forwarder

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/accountant"
	"cornellanding.example/instance/assembler"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/peerproto"
	"github.com/hashicorp/go-hclog"
)

// MaxRequest is the largest accepted request body, in bytes.
const MaxRequest = 1 << 20

// Refusal codes of the entry instance.
const (
	CodeUnknownRoute      = "unknownRoute"
	CodeUnknownKey        = "unknownKey"
	CodeKeysNotFresh      = "keysNotFresh"
	CodeRateExceeded      = "rateExceeded"
	CodeLimitsUnavailable = "limitsUnavailable"
	CodeTooLarge          = "requestTooLarge"
	CodeBadRequest        = "badRequest"
	CodeNoOwner           = "noOwner"
	CodeDeadline          = "deadline"
	CodeLost              = "answerLost"
	CodeStarting          = "starting"
	CodeStopping          = "stopping"
	CodeNoMemory          = gatekeeper.CodeNoMemory
	// CodeNotConfirmed means that the configuration held allows no such request and may
	// have been replaced.
	CodeNotConfirmed = "configurationNotConfirmed"
)

// Headers between callers and the instance, and the lengths of their values.
const (
	headerIdempotency = "Idempotency-Key"
	headerTimeout     = "X-Request-Timeout"
	headerRequestID   = "X-Request-Id"
	// maxIDLength is the maximum length of an Idempotency-Key, in bytes.
	maxIDLength = 128
	// requestIDBytes is the length of a generated request ID before its encoding in
	// hexadecimal.
	requestIDBytes = 8
)

// Source provides the published configuration, partition maps and clock. It outlives
// the incarnations of the instance.
type Source interface {
	View() *publisher.View
	Now() timer.Instant
	// IsFresh reports whether the knowledge of withdrawn keys is recent enough to
	// accept a workspace key.
	IsFresh() bool
	// ReadAt returns the instant as of which the configuration is known to be the newest, 0
	// if it is not known.
	ReadAt() timer.Instant
}

// GateClient forwards requests to the admission control in front of the backend
// servers, on this instance and on others.
type GateClient interface {
	// Forward sends a request to the instance at the address. A body in several pieces
	// is in ctx, see gatekeeper.WithBody. It returns an error if
	// there is no authentic answer. WasSent is false only if the request is known
	// not to have been sent.
	Forward(ctx context.Context, address string, rq *peerproto.ForwardRequest) (answer *peerproto.ForwardResponse, wasSent bool, err error)
}

// HomeClient requests tokens from the homes of the workspaces' token buckets. The home
// of a bucket is the instance that owns it, see package limiter.
type HomeClient interface {
	Grant(ctx context.Context, address string, rq *peerproto.GrantRequest) (*peerproto.GrantResponse, error)
}

// Observer is notified of each answer and refusal, for metrics.
type Observer interface {
	Answered(service, route, code string, status int, latency timer.Span)
}

// Option configures New.
type Option func(*Forwarder)

// WithLogger sets the logger of answers and refusals.
func WithLogger(lo hclog.Logger) Option { return func(fo *Forwarder) { fo.lo = lo } }

// WithLogSampling logs one in every so many answers, or none if it is 0. Refusals
// are always logged.
func WithLogSampling(every int) Option { return func(fo *Forwarder) { fo.sampleEvery = uint64(every) } }

// WithObserver sets the observer of answers and refusals.
func WithObserver(ob Observer) Option { return func(fo *Forwarder) { fo.observer = ob } }

// WithGateReports makes the choice of a server of a shared service use what the gates say in
// their answers of the servers' queues and speeds. All instances must report speeds.
func WithGateReports() Option { return func(fo *Forwarder) { fo.usesReports = true } }

// WithoutHedging disables the second copy of slow idempotent reads.
func WithoutHedging() Option { return func(fo *Forwarder) { fo.isHedging = false } }

// WithCallerService sets the service that runs on this VM and whose requests enter
// here.
func WithCallerService(service string) Option {
	return func(fo *Forwarder) { fo.callerService = service }
}

// WithDataCentre sets the data centre of this instance, whose servers are preferred
// for shared services.
func WithDataCentre(name string) Option { return func(fo *Forwarder) { fo.dataCentre = name } }

// Forwarder accepts, routes and forwards requests. It is safe for concurrent use.
type Forwarder struct {
	so          Source
	gates       GateClient
	index       routeIndex
	shares      *shares
	balancers   *balancers
	usesReports bool
	lo          hclog.Logger
	sampleEvery uint64
	observer    Observer
	isStopping  atomic.Bool
	// refuseLongFrom is as in RefuseLong, 0 before it is called.
	refuseLongFrom atomic.Int64
	isHedging      bool
	callerService  string
	dataCentre     string
	// decided counts the answers, for log sampling.
	decided atomic.Uint64
	retries *budgets
	// callerRepeats is as in WithCallerRepeats.
	callerRepeats func() float64
	calls         calls
	// newerConfig is as in WithNewerConfig, and noticedAt when it was last called.
	newerConfig func(from placer.Member, version uint64)
	noticedAt   atomic.Int64
	// denialLimit is as in WithDenialLimit.
	denialLimit timer.Span

	muxMu      sync.Mutex
	mux        atomic.Pointer[http.ServeMux]
	muxVersion atomic.Uint64
}

// New returns a Forwarder. It returns an error if so, gates or homes is nil.
func New(so Source, gates GateClient, homes HomeClient, opts ...Option) (*Forwarder, error) {
	if so == nil || gates == nil || homes == nil {
		return nil, errors.New("forwarder: source, gates and homes are needed")
	}
	fo := &Forwarder{so: so, gates: gates, shares: newShares(so, homes), balancers: newBalancers(), isHedging: true, retries: newBudgets(), callerRepeats: func() float64 { return 0 }, newerConfig: func(placer.Member, uint64) {}, lo: hclog.NewNullLogger()}
	for _, opt := range opts {
		opt(fo)
	}
	return fo, nil
}

// Run returns unused tokens to the homes of their buckets until ctx ends.
func (fo *Forwarder) Run(ctx context.Context) { fo.shares.sweep(ctx) }

// Stop refuses all requests that arrive from now on, with the outcome notRun.
func (fo *Forwarder) Stop() { fo.isStopping.Store(true) }

func (fo *Forwarder) refuseIfStopping() *Refusal {
	if !fo.isStopping.Load() {
		return nil
	}
	return refuseStopping("the instance is stopping")
}

func refuseStopping(reason string) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Code: CodeStopping, Reason: reason, RetryAfter: defaultRetryAfter}
}

// RefuseLong refuses requests that arrive at or after the instant if their deadline lies
// beyond that of the context in which they are served: the end of the instance would
// break them off. Earlier ones are served with the context's deadline.
func (fo *Forwarder) RefuseLong(from timer.Instant) { fo.refuseLongFrom.Store(int64(from)) }

// applyContextDeadline shortens the deadline of a call to that of the context, or refuses
// the call, see RefuseLong.
func (fo *Forwarder) applyContextDeadline(ctx context.Context, ca *call) *Refusal {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	endAt := fo.so.Now().Add(timer.FromDuration(time.Until(deadline)))
	if ca.deadlineAt <= endAt {
		return nil
	}
	if from := timer.Instant(fo.refuseLongFrom.Load()); from != 0 && !ca.startedAt.Before(from) {
		return refuseStopping("the instance is stopping and may end before the request does")
	}
	ca.deadlineAt = endAt
	return nil
}

// ServeHTTP implements http.Handler.
func (fo *Forwarder) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	fo.routes().ServeHTTP(wr, re)
}

// routes returns the multiplexer for the configuration in force, and rebuilds it when
// the version changes.
func (fo *Forwarder) routes() *http.ServeMux {
	vi := fo.so.View()
	if mu := fo.mux.Load(); mu != nil && fo.muxVersion.Load() == vi.Config.Version {
		return mu
	}
	fo.muxMu.Lock()
	defer fo.muxMu.Unlock()
	mu := http.NewServeMux()
	for _, rt := range vi.Config.Catalogue.Routes {
		if rt.Prefix != "" {
			continue
		}
		mu.HandleFunc(rt.Method+" "+rt.Path, func(wr http.ResponseWriter, re *http.Request) { fo.serve(wr, re, rt, vi.Config.Version) })
	}
	mu.HandleFunc("/", fo.serveUnknown)
	fo.mux.Store(mu)
	fo.muxVersion.Store(vi.Config.Version)
	return mu
}

func (fo *Forwarder) serveUnknown(wr http.ResponseWriter, _ *http.Request) {
	if fo.so.View().Config.Version == 0 {
		fo.refuse(wr, newCall(fo.so.Now()), Refusal{Status: http.StatusServiceUnavailable, Code: CodeStarting, Reason: "the instance has no catalogue yet", RetryAfter: timer.Second})
		return
	}
	fo.refuse(wr, newCall(fo.so.Now()), Refusal{Status: http.StatusNotFound, Code: CodeUnknownRoute, Reason: "no route has this method and path"})
}

// call is the state of one request from a caller.
type call struct {
	id    string
	route cataloguer.Route
	// config is the version of the configuration that chose the route.
	config uint64
	method string
	// service is the route's service, or the one chosen by its traffic split.
	service string
	// host and callerService are passed on with the request.
	host          string
	callerService string
	priority      cataloguer.Priority
	workspace     string
	// hasToken means that the workspace's bucket gave a token, or that none is needed.
	hasToken   bool
	key        string
	startedAt  timer.Instant
	deadlineAt timer.Instant
	// giveUpAt is until when a request that has not run waits for a token and is
	// retried, 0 for its deadline.
	giveUpAt   timer.Instant
	body       *assembler.Body
	headers    []*peerproto.Header
	target     string
	idempotent bool
	idemKey    string
	// attempts counts the copies that were forwarded or were too late to be.
	attempts int
	// arrivals counts the copies that a backend server received or may still receive,
	// over all copies of the call.
	arrivals *atomic.Int32
	// wasRefused means that a backend server refused a copy.
	wasRefused *atomic.Bool
	// wasVMFull means that an instance refused it for a limit of its VM, see isFullVM.
	wasVMFull bool
	// repeatShare is how likely the request is a call by a repeat, from 0 to 1.
	repeatShare float64
	servedBy    string
	// mayHaveRun means that a copy with an unknown outcome was sent.
	mayHaveRun bool
	// crashes counts the backend servers that crashed while running it, over all
	// copies.
	crashes *atomic.Uint32
}

// copy returns a copy of the call for a concurrent attempt. Crashes, arrivals and
// wasRefused stay shared.
func (ca *call) copy() *call {
	copied := *ca
	return &copied
}

// isExhausted reports whether as many copies as the route allows have arrived at backend
// servers or are under way.
func (ca *call) isExhausted() bool {
	return ca.route.MaxAttempts > 0 && int(ca.arrivals.Load()) >= ca.route.MaxAttempts
}

func newCall(now timer.Instant) *call {
	var id [requestIDBytes]byte
	// Read of crypto/rand never fails.
	_, _ = rand.Read(id[:])
	return &call{id: hex.EncodeToString(id[:]), startedAt: now, body: &assembler.Body{}, crashes: &atomic.Uint32{}, arrivals: &atomic.Int32{}, wasRefused: &atomic.Bool{}}
}

// serve handles a request on a route by method and path of a version of the configuration.
func (fo *Forwarder) serve(wr http.ResponseWriter, re *http.Request, rt cataloguer.Route, version uint64) {
	ca := newCall(fo.so.Now())
	ca.setRoute(rt)
	ca.config = version
	if rf := fo.refuseIfStopping(); rf != nil {
		fo.refuse(wr, ca, *rf)
		return
	}
	accountant.From(re.Context()).Rank(int(ca.priority))
	if rf := fo.read(wr, ca, re); rf != nil {
		fo.refuse(wr, ca, *rf)
		return
	}
	if rf := fo.authenticate(ca, re.Header.Get("Authorization")); rf != nil {
		fo.refuse(wr, ca, *rf)
		return
	}
	if rf := fo.applyContextDeadline(re.Context(), ca); rf != nil {
		fo.refuse(wr, ca, *rf)
		return
	}
	ctx, cancel := context.WithTimeout(re.Context(), ca.deadlineAt.Sub(fo.so.Now()).Duration())
	defer cancel()
	if rf := fo.limit(ctx, ca); rf != nil {
		fo.refuse(wr, ca, *rf)
		return
	}
	defer func() { accountant.From(re.Context()).Give(ca.body.Len()) }()
	answer, rf := fo.dispatch(ctx, ca)
	if rf != nil {
		fo.refuse(wr, ca, *rf)
		return
	}
	fo.answer(wr, ca, answer)
}

// read reads the body, key, deadline and headers of the request.
func (fo *Forwarder) read(wr http.ResponseWriter, ca *call, re *http.Request) *Refusal {
	body, rf := ReadBody(wr, re, MaxRequest)
	if rf != nil {
		if rf.Code == CodeTooLarge {
			rf.Reason = "the body is larger than 1 MiB"
		}
		return rf
	}
	ca.body = body
	ca.target = re.URL.RequestURI()
	ca.headers = ForwardedHeaders(re.Header, withheld)
	if rf := ca.readKey(re); rf != nil {
		return rf
	}
	if rf := ca.readDeadline(re); rf != nil {
		return rf
	}
	ca.idemKey = re.Header.Get(headerIdempotency)
	if len(ca.idemKey) > maxIDLength {
		return &Refusal{Status: http.StatusBadRequest, Code: CodeBadRequest, Reason: "Idempotency-Key is longer than 128 bytes"}
	}
	return nil
}

func (ca *call) readKey(re *http.Request) *Refusal {
	switch ca.route.KeySource {
	case cataloguer.KeyFromPath:
		ca.key = re.PathValue("key")
	case cataloguer.KeyFromHeader:
		ca.key = re.Header.Get(ca.route.KeyName)
	case cataloguer.KeyFromQuery:
		ca.key = re.URL.Query().Get(ca.route.KeyName)
	case cataloguer.KeyAbsent:
		return nil
	}
	if ca.key == "" || len(ca.key) > 1024 || strings.ContainsAny(ca.key, "\r\n\x00") {
		return &Refusal{Status: http.StatusBadRequest, Code: CodeBadRequest, Reason: "the entity key is missing or malformed"}
	}
	return nil
}

func (ca *call) readDeadline(re *http.Request) *Refusal {
	span := ca.route.Timeout
	if value := re.Header.Get(headerTimeout); value != "" {
		requested, err := time.ParseDuration(value)
		if err != nil || requested <= 0 {
			return &Refusal{Status: http.StatusBadRequest, Code: CodeBadRequest, Reason: "X-Request-Timeout must be a duration above 0, such as 500ms"}
		}
		span = min(span, timer.FromDuration(requested))
	}
	ca.deadlineAt = ca.startedAt.Add(span)
	return nil
}

// withheld lists headers that are not passed on to a backend server: credentials,
// connection headers, and those set by the instance only.
var withheld = map[string]bool{
	"Authorization": true, "Proxy-Authorization": true, "Cookie": true,
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
	"Fencing-Epoch": true, "Entity-Key": true, "Request-Id": true, "Request-Timeout": true,
	"Workspace": true, "Request-Outcome": true, "Cornellanding-Tag": true, "X-Request-Timeout": true, "X-Request-Id": true,
}

// ForwardedHeaders returns a caller's headers except those withheld and those named
// by Connection.
func ForwardedHeaders(header http.Header, withheld map[string]bool) []*peerproto.Header {
	named := connectionHeaders(header)
	var passed []*peerproto.Header
	for name, values := range header {
		if withheld[name] || named[name] {
			continue
		}
		for _, value := range values {
			passed = append(passed, &peerproto.Header{Name: name, Value: value})
		}
	}
	return passed
}

// connectionHeaders returns the headers named by Connection, RFC 9110 section 7.6.1.
func connectionHeaders(header http.Header) map[string]bool {
	named := map[string]bool{}
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// authenticate determines the workspace and its priority from the caller's key. A
// request on an open route has no workspace.
func (fo *Forwarder) authenticate(ca *call, authorization string) *Refusal {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if ca.route.Access == cataloguer.OpenAccess {
		return nil
	}
	if !fo.so.IsFresh() {
		return &Refusal{Status: http.StatusServiceUnavailable, Code: CodeKeysNotFresh, Reason: "the knowledge of withdrawn keys is too old", RetryAfter: timer.Second}
	}
	if !ok {
		return fo.deny(http.StatusUnauthorized, CodeUnknownKey, "a workspace key is needed")
	}
	workspace, ok := fo.so.View().WorkspacesByKey[sha256.Sum256([]byte(key))]
	if !ok {
		return fo.deny(http.StatusUnauthorized, CodeUnknownKey, "the workspace key is not known")
	}
	ca.workspace = workspace
	if ws := fo.so.View().WorkspacesByName[workspace]; ws.HasPriority {
		ca.priority = ws.Priority
	}
	return nil
}

// limit takes a token from the workspace's bucket, or returns a refusal. A request
// without a workspace, or of an unlimited one, needs no token.
func (fo *Forwarder) limit(ctx context.Context, ca *call) *Refusal {
	if ca.workspace == "" || fo.so.View().WorkspacesByName[ca.workspace].IsUnlimited {
		return nil
	}
	if ca.giveUpAt != 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, ca.giveUpAt.Sub(fo.so.Now()).Duration())
		defer cancel()
	}
	return fo.shares.take(ctx, ca.workspace)
}
