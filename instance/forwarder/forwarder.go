// Package forwarder accepts callers' requests and forwards each to the gate
// that may run it.
//
// It authenticates the workspace key and takes it off the request, keeps the
// workspace within its limits, finds the owner of the entity key or balances
// over a shared service, retries what provably did not run, and hedges late
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
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/peerproto"
	"github.com/hashicorp/go-hclog"
)

// MaxRequest bounds a request's body, in bytes.
const MaxRequest = 1 << 20

// The codes of refusals by the entry instance.
const (
	CodeUnknownRoute = "unknownRoute"
	CodeUnknownKey   = "unknownKey"
	CodeStaleKeys    = "keysNotFresh"
	CodeRate         = "rateExceeded"
	CodeNoLimits     = "limitsUnavailable"
	CodeTooLarge     = "requestTooLarge"
	CodeBadRequest   = "badRequest"
	CodeNoOwner      = "noOwner"
	CodeDeadline     = "deadline"
	CodeLost         = "answerLost"
	CodeStarting     = "starting"
	CodeStopping     = "stopping"
)

// Headers between callers and the instance.
const (
	headerIdempotency = "Idempotency-Key"
	headerTimeout     = "X-Request-Timeout"
	headerRequestID   = "X-Request-Id"
	maxIDLength       = 128
	requestIDBytes    = 8
)

// Source is the port to what the control thread publishes. It outlives the
// instance's incarnations.
type Source interface {
	View() *publisher.View
	Now() timer.Instant
	IsFresh() bool
}

// GateClient is the port to the gates of all instances, the own one included.
type GateClient interface {
	// Forward returns an error if there is no authentic answer. WasSent is
	// false only if the request provably never left.
	Forward(ctx context.Context, address string, rq *peerproto.ForwardRequest) (answer *peerproto.ForwardResponse, wasSent bool, err error)
}

// HomeClient is the port to the homes of workspaces' buckets.
type HomeClient interface {
	Grant(ctx context.Context, address string, rq *peerproto.GrantRequest) (*peerproto.GrantResponse, error)
}

// Observer is told of each answer, for metrics.
type Observer interface {
	Answered(service, route, code string, status int, latency timer.Span)
}

// Option sets one option of New.
type Option func(*Forwarder)

// WithLogger sets the log of decisions.
func WithLogger(lo hclog.Logger) Option { return func(fo *Forwarder) { fo.lo = lo } }

// WithLogSampling logs one in so many decisions that succeeded, none if 0.
func WithLogSampling(every int) Option { return func(fo *Forwarder) { fo.sampleEvery = uint64(every) } }

// WithObserver sets who is told of each answer.
func WithObserver(ob Observer) Option { return func(fo *Forwarder) { fo.observer = ob } }

// WithoutHedging sends no second copy of a late idempotent read.
func WithoutHedging() Option { return func(fo *Forwarder) { fo.isHedging = false } }

// WithCallerService sets the service on whose VM requests begin here.
func WithCallerService(service string) Option { return func(fo *Forwarder) { fo.callerOf = service } }

// WithDataCentre sets the own data centre, whose servers of shared services are
// preferred.
func WithDataCentre(name string) Option { return func(fo *Forwarder) { fo.dataCentre = name } }

// Forwarder is the entry side of an instance.
type Forwarder struct {
	so          Source
	gates       GateClient
	index       routeIndex
	shares      *shares
	choices     *choices
	lo          hclog.Logger
	sampleEvery uint64
	observer    Observer
	isStopping  atomic.Bool
	isHedging   bool
	callerOf    string
	dataCentre  string
	decided     atomic.Uint64
	retries     *budgets

	muxMu      sync.Mutex
	mux        atomic.Pointer[http.ServeMux]
	muxVersion atomic.Uint64
}

// New returns a forwarder.
func New(so Source, gates GateClient, homes HomeClient, opts ...Option) (*Forwarder, error) {
	if so == nil || gates == nil || homes == nil {
		return nil, errors.New("forwarder: source, gates and homes are needed")
	}
	fo := &Forwarder{so: so, gates: gates, shares: newShares(so, homes), choices: newChoices(), isHedging: true, retries: newBudgets(), lo: hclog.NewNullLogger()}
	for _, opt := range opts {
		opt(fo)
	}
	return fo, nil
}

// Run gives up unused tokens of workspaces' buckets until ctx ends.
func (fo *Forwarder) Run(ctx context.Context) { fo.shares.sweep(ctx) }

// Stop refuses all requests that begin from now on, as not run.
func (fo *Forwarder) Stop() { fo.isStopping.Store(true) }

func (fo *Forwarder) refuseIfStopping() *Refusal {
	if !fo.isStopping.Load() {
		return nil
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Code: CodeStopping, Reason: "the instance is stopping", RetryAfter: comeBack}
}

// ServeHTTP implements http.Handler.
func (fo *Forwarder) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	fo.routes().ServeHTTP(wr, re)
}

// routes returns the multiplexer of the configuration in force.
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
		mu.HandleFunc(rt.Method+" "+rt.Path, func(wr http.ResponseWriter, re *http.Request) { fo.serve(wr, re, rt) })
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

// call is one caller's request.
type call struct {
	id     string
	route  cataloguer.Route
	method string
	// service is the route's, or that which its splits chose.
	service string
	// host and callerService are passed on to the backend server.
	host          string
	callerService string
	priority      cataloguer.Priority
	workspace     string
	key           string
	startedAt     timer.Instant
	deadlineAt    timer.Instant
	// giveUpAt is until when a call is tried that has not run, 0 for its
	// deadline.
	giveUpAt   timer.Instant
	body       []byte
	headers    []*peerproto.Header
	target     string
	idempotent bool
	idemKey    string
	attempts   int
	// arrivals counts the copies that a backend server may have received.
	arrivals int
	servedBy string
	// mayHaveRun says that a copy was sent whose outcome is not known.
	mayHaveRun bool
	// crashes counts the backend servers that crashed while they ran it, over
	// all copies.
	crashes *atomic.Uint32
}

// copy returns a copy for an attempt of its own.
func (ca *call) copy() *call {
	copied := *ca
	return &copied
}

func newCall(now timer.Instant) *call {
	var id [requestIDBytes]byte
	// Read of crypto/rand never fails.
	_, _ = rand.Read(id[:])
	return &call{id: hex.EncodeToString(id[:]), startedAt: now, crashes: &atomic.Uint32{}}
}

func (fo *Forwarder) serve(wr http.ResponseWriter, re *http.Request, rt cataloguer.Route) {
	ca := newCall(fo.so.Now())
	ca.take(rt)
	if rf := fo.refuseIfStopping(); rf != nil {
		fo.refuse(wr, ca, *rf)
		return
	}
	if rf := fo.read(ca, re); rf != nil {
		fo.refuse(wr, ca, *rf)
		return
	}
	if rf := fo.authenticate(ca, re.Header.Get("Authorization")); rf != nil {
		fo.refuse(wr, ca, *rf)
		return
	}
	ctx, cancel := context.WithTimeout(re.Context(), ca.deadlineAt.Sub(fo.so.Now()).Duration())
	defer cancel()
	if rf := fo.limit(ctx, ca); rf != nil {
		fo.refuse(wr, ca, *rf)
		return
	}
	answer, rf := fo.dispatch(ctx, ca)
	if rf != nil {
		fo.refuse(wr, ca, *rf)
		return
	}
	fo.answer(wr, ca, answer)
}

// read takes what the request consists of.
func (fo *Forwarder) read(ca *call, re *http.Request) *Refusal {
	body, err := io.ReadAll(http.MaxBytesReader(nil, re.Body, MaxRequest))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge, Reason: "the body is larger than 1 MiB"}
	case err != nil:
		return &Refusal{Status: http.StatusBadRequest, Code: CodeBadRequest, Reason: "the body can't be read"}
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
		asked, err := time.ParseDuration(value)
		if err != nil || asked <= 0 {
			return &Refusal{Status: http.StatusBadRequest, Code: CodeBadRequest, Reason: "X-Request-Timeout must be a duration above 0, such as 500ms"}
		}
		span = min(span, timer.FromDuration(asked))
	}
	ca.deadlineAt = ca.startedAt.Add(span)
	return nil
}

// withheld are headers that never reach a backend server: the caller's key,
// headers of one connection, and those that only the gate may set.
var withheld = map[string]bool{
	"Authorization": true, "Proxy-Authorization": true, "Cookie": true,
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
	"Fencing-Epoch": true, "Entity-Key": true, "Request-Id": true, "Request-Timeout": true,
	"Workspace": true, "Request-Outcome": true, "Cornellanding-Tag": true, "X-Request-Timeout": true, "X-Request-Id": true,
}

// ForwardedHeaders lists a caller's headers without those withheld and those that
// Connection names.
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

// connectionHeaders lists the headers that Connection names, RFC 9110 section
// 7.6.1.
func connectionHeaders(header http.Header) map[string]bool {
	named := map[string]bool{}
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// authenticate finds the workspace of the caller's key.
func (fo *Forwarder) authenticate(ca *call, authorization string) *Refusal {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if ca.route.Access == cataloguer.OpenAccess {
		return nil
	}
	if !fo.so.IsFresh() {
		return &Refusal{Status: http.StatusServiceUnavailable, Code: CodeStaleKeys, Reason: "the knowledge of withdrawn keys is too old", RetryAfter: timer.Second}
	}
	if !ok {
		return &Refusal{Status: http.StatusUnauthorized, Code: CodeUnknownKey, Reason: "a workspace key is needed"}
	}
	workspace, ok := fo.so.View().WorkspacesByKey[sha256.Sum256([]byte(key))]
	if !ok {
		return &Refusal{Status: http.StatusUnauthorized, Code: CodeUnknownKey, Reason: "the workspace key is not known"}
	}
	ca.workspace = workspace
	if ws := fo.so.View().WorkspacesByName[workspace]; ws.HasPriority {
		ca.priority = ws.Priority
	}
	return nil
}

// limit takes a token of the workspace's bucket.
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
