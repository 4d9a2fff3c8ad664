// Package loader sends open-loop load to the instances of a deployment and
// records every answer.
//
// Arrivals follow a seeded Poisson process and do not wait for earlier requests
// to be answered.
//
// # Usage
//
//	lo, err := loader.New(loader.WithCatalogue(cat), loader.WithKeys(keys), loader.WithEntries(entries), loader.WithRate(400))
//	results := lo.Run(ctx, 10*time.Second)
package loader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/timer"
	"cornellanding.example/port/receiver"
)

// Outcome is what a caller can conclude about its request.
type Outcome string

// The outcomes.
const (
	// Answered: the request got status 200. NotRun: it was refused and certainly
	// did not run. Unknown: it may have run.
	Answered Outcome = "answered"
	NotRun   Outcome = "notRun"
	Unknown  Outcome = "unknown"
)

const (
	keyCount         = 2000
	zipfExponent     = 1.1
	clientTimeout    = 15 * time.Second
	maxEntryAttempts = 4
	idleConns        = 256
	maxAnswer        = 16 << 20
	// sharedShare is the share of requests for shared services, and readShare
	// the idempotent share of the others.
	sharedShare = 0.4
	readShare   = 0.5
)

// HottestKey is the entity key that gets the most requests.
const HottestKey = "k0"

// Result is one request with its answer.
type Result struct {
	// ID identifies the request, and is its body.
	ID         string
	Workspace  string
	Route      string
	Service    string
	Key        string
	Idempotent bool
	StartedAt  time.Time
	Latency    time.Duration
	// Status is 0 if no answer was received.
	Status int
	// Code is the code of a refusal. Without one, it is "connection" if no
	// answer was received, "cut" if the answer was incomplete, or "unreadable"
	// if its body is not JSON. It is empty for an answered request, and if no
	// connection could be opened.
	Code    string
	Outcome Outcome
	// IsIntact is set if a successful answer was complete and belonged to this
	// request.
	IsIntact bool
}

// EndedAt returns when the request was answered or failed.
func (re Result) EndedAt() time.Time { return re.StartedAt.Add(re.Latency) }

// Option configures a Loader in New.
type Option func(*Loader)

// WithCatalogue sets the catalogue whose routes are called.
func WithCatalogue(cat cataloguer.Catalogue) Option { return func(lo *Loader) { lo.cat = cat } }

// WithKeys sets the API key of each workspace, by the workspace's name.
func WithKeys(keys map[string]string) Option { return func(lo *Loader) { lo.keys = keys } }

// WithEntries sets the function that returns the addresses of the running
// instances. It is called for each request.
func WithEntries(entries func() []string) Option { return func(lo *Loader) { lo.entries = entries } }

// WithRate sets the load in requests per second. The default is 100.
func WithRate(rate float64) Option { return func(lo *Loader) { lo.rate = rate } }

// WithSeed sets the seed of arrival times, keys and routes. The default is 1.
func WithSeed(seed uint64) Option { return func(lo *Loader) { lo.seed = seed } }

// WithFlood multiplies the weight of one workspace among the callers by factor.
// The total rate stays the same.
func WithFlood(workspace string, factor float64) Option {
	return func(lo *Loader) { lo.flooded, lo.floodFactor = workspace, factor }
}

// Loader sends load once; see Run.
type Loader struct {
	cat         cataloguer.Catalogue
	keys        map[string]string
	entries     func() []string
	rate        float64
	seed        uint64
	flooded     string
	floodFactor float64

	client *http.Client
	random *rand.Rand
	zipf   *rand.Zipf
	shared []cataloguer.Route
	reads  []cataloguer.Route
	writes []cataloguer.Route

	mu      sync.Mutex
	results []Result
}

// New returns a loader. It returns an error without a catalogue or entries, or
// if the rate is not above 0.
func New(opts ...Option) (*Loader, error) {
	lo := &Loader{rate: 100, seed: 1, floodFactor: 1}
	for _, opt := range opts {
		opt(lo)
	}
	if lo.rate <= 0 || lo.entries == nil || len(lo.cat.Routes) == 0 {
		return nil, errors.New("loader: a rate above 0, entries and a catalogue with routes are required")
	}
	lo.random = rand.New(rand.NewPCG(lo.seed, lo.seed))
	lo.zipf = rand.NewZipf(lo.random, zipfExponent, 1, keyCount-1)
	lo.client = &http.Client{
		Timeout:   clientTimeout,
		Transport: receiver.New(&http.Transport{MaxIdleConnsPerHost: idleConns, MaxIdleConns: 0, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}),
	}
	lo.classifyRoutes()
	return lo, nil
}

func (lo *Loader) classifyRoutes() {
	exclusive := map[string]bool{}
	for _, sv := range lo.cat.Services {
		exclusive[sv.Name] = sv.Class == cataloguer.Exclusive
	}
	for _, rt := range lo.cat.Routes {
		switch {
		case !exclusive[rt.Service]:
			lo.shared = append(lo.shared, rt)
		case rt.Idempotent:
			lo.reads = append(lo.reads, rt)
		default:
			lo.writes = append(lo.writes, rt)
		}
	}
}

// Run sends load for the duration, or until ctx ends, and returns the results
// once all requests have ended.
func (lo *Loader) Run(ctx context.Context, du time.Duration) []Result {
	var wg sync.WaitGroup
	startedAt := time.Now()
	next := time.Duration(0)
	for i := 0; ; i++ {
		next += time.Duration(lo.random.ExpFloat64() / lo.rate * float64(time.Second))
		if next >= du || !timer.Sleep(ctx, time.Until(startedAt.Add(next))) {
			break
		}
		re := lo.plan(i)
		entries := lo.entries()
		offset := lo.random.IntN(max(1, len(entries)))
		wg.Go(func() { lo.send(ctx, re, entries, offset) })
	}
	wg.Wait()
	lo.client.CloseIdleConnections()
	return lo.results
}

// plan draws the i-th request.
func (lo *Loader) plan(i int) Result {
	rt := lo.pickRoute()
	return Result{
		ID: fmt.Sprintf("%d-%d", lo.seed, i), Workspace: lo.pickWorkspace(), Route: rt.Name, Service: rt.Service,
		Key: fmt.Sprintf("k%d", lo.zipf.Uint64()), Idempotent: rt.Idempotent,
	}
}

func (lo *Loader) pickRoute() cataloguer.Route {
	list := lo.writes
	switch draw := lo.random.Float64(); {
	case draw < sharedShare:
		list = lo.shared
	case draw < sharedShare+(1-sharedShare)*readShare:
		list = lo.reads
	}
	return list[lo.random.IntN(len(list))]
}

// pickWorkspace draws a workspace with a probability proportional to its
// weight.
func (lo *Loader) pickWorkspace() string {
	sum := 0.0
	for _, ws := range lo.cat.Workspaces {
		sum += lo.weight(ws)
	}
	draw := lo.random.Float64() * sum
	for _, ws := range lo.cat.Workspaces {
		draw -= lo.weight(ws)
		if draw <= 0 {
			return ws.Name
		}
	}
	return lo.cat.Workspaces[0].Name
}

func (lo *Loader) weight(ws cataloguer.Workspace) float64 {
	if ws.Name == lo.flooded {
		return ws.Rate * lo.floodFactor
	}
	return ws.Rate
}

func (lo *Loader) route(name string) cataloguer.Route {
	for _, rt := range lo.cat.Routes {
		if rt.Name == name {
			return rt
		}
	}
	return cataloguer.Route{}
}

// send sends a request to one instance. It tries another one only if no
// connection could be opened, so that no request is sent twice.
func (lo *Loader) send(ctx context.Context, re Result, entries []string, offset int) {
	re.StartedAt = time.Now()
	re.Outcome = NotRun
	for try := range min(maxEntryAttempts, len(entries)) {
		entry := entries[(offset+try)%len(entries)]
		if isReached := lo.call(ctx, entry, &re); isReached {
			break
		}
	}
	re.Latency = time.Since(re.StartedAt)
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.results = append(lo.results, re)
}

// call sends a request to an instance and records its answer. It returns false
// if no connection could be opened.
func (lo *Loader) call(ctx context.Context, entry string, re *Result) bool {
	rt := lo.route(re.Route)
	path := strings.ReplaceAll(rt.Path, "{key}", re.Key)
	hr, err := http.NewRequestWithContext(ctx, rt.Method, "http://"+entry+path, strings.NewReader(re.ID))
	if err != nil {
		return true
	}
	// Without GetBody the client never sends the request again by itself, as it does with a
	// GET on a kept connection that breaks: the copy might be refused after the first one ran.
	hr.GetBody = nil
	hr.Header.Set("Authorization", "Bearer "+lo.keys[re.Workspace])
	answer, err := lo.client.Do(hr)
	if err != nil {
		var oe *net.OpError
		if errors.As(err, &oe) && oe.Op == "dial" {
			return false
		}
		re.Outcome, re.Code = Unknown, "connection"
		return true
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	re.Status = answer.StatusCode
	if err != nil {
		re.Outcome, re.Code = Unknown, "cut"
		return true
	}
	re.parseAnswer(answer, content)
	return true
}

// parseAnswer sets the outcome, the refusal code and IsIntact from an answer.
func (re *Result) parseAnswer(answer *http.Response, content []byte) {
	if answer.StatusCode == http.StatusOK {
		var echo struct {
			RequestID string `json:"requestId"`
			Key       string `json:"key"`
			Body      string `json:"body"`
		}
		err := json.Unmarshal(content, &echo)
		re.Outcome = Answered
		re.IsIntact = err == nil && echo.Body == re.ID && echo.Key == re.Key && echo.RequestID == answer.Header.Get("X-Request-Id")
		return
	}
	var refusal struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	}
	re.Outcome = Unknown
	if err := json.Unmarshal(content, &refusal); err != nil {
		re.Code = "unreadable"
		return
	}
	re.Code = refusal.Code
	if refusal.Outcome == string(NotRun) {
		re.Outcome = NotRun
	}
}

var orderClient = &http.Client{Timeout: clientTimeout, Transport: receiver.New(&http.Transport{MaxIdleConnsPerHost: idleConns})}

// SendOrder sends one order for the hottest key. It returns the answer's status
// and body, or status 0 and an error text if no complete answer was received.
func SendOrder(entry, key, body string) (int, string) {
	re, err := http.NewRequest(http.MethodPost, "http://"+entry+"/orders/"+HottestKey, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	re.Header.Set("Authorization", "Bearer "+key)
	answer, err := orderClient.Do(re)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(content)
}
