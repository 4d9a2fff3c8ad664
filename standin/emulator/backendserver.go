package emulator

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The paths and headers of the protocol between an instance and its backend
// server.
const (
	HealthPath     = "/-/health"
	LoadPath       = "/-/load"
	DrainPath      = "/-/drain"
	RecordsPath    = "/-/records"
	EpochHeader    = "Fencing-Epoch"
	KeyHeader      = "Entity-Key"
	RequestHeader  = "Request-Id"
	DeadlineHeader = "Request-Timeout"
	// OutcomeHeader is set to notRun if a request was refused before it ran.
	OutcomeHeader = "Request-Outcome"
)

// coldFactor is how much longer a request takes on a cold server.
const coldFactor = 3

// BackendServerFaults are the faults that a backend server injects.
type BackendServerFaults struct {
	// Frozen makes requests hang until it is cleared.
	Frozen bool `json:"frozen"`
	// SlowFactor multiplies the service time; values up to 1 have no effect.
	SlowFactor float64 `json:"slowFactor"`
	// Cold makes the server cold again without reporting it.
	Cold bool `json:"cold"`
	// LieHealthy makes health checks succeed whatever the state of the server.
	LieHealthy bool `json:"lieHealthy"`
	// LoadLagMs is the least age of the reported load, in milliseconds.
	LoadLagMs int `json:"loadLagMs"`
	// CrashOn is a request body that crashes the server, unless empty.
	CrashOn string `json:"crashOn"`
	// Shed refuses every request before it runs.
	Shed bool `json:"shed"`
	// Truncate sends only the first half of every response body.
	Truncate bool `json:"truncate"`
}

// Record is one request that a backend server ran.
type Record struct {
	RequestID string `json:"requestId"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Method    string `json:"method"`
	Body      string `json:"body"`
	Epoch     uint64 `json:"epoch"`
	// StartedAt and EndedAt are in nanoseconds since 1970.
	StartedAt int64 `json:"startedAt"`
	EndedAt   int64 `json:"endedAt"`
	Cancelled bool  `json:"cancelled"`
}

// BackendServerOption is an option of NewBackendServer.
type BackendServerOption func(*BackendServer)

// WithSlots sets how many requests run at once.
func WithSlots(slots int) BackendServerOption {
	return func(bs *BackendServer) { bs.slots = slots }
}

// WithServiceTime sets how long a request takes on a warm server.
func WithServiceTime(du time.Duration) BackendServerOption {
	return func(bs *BackendServer) { bs.serviceTime = du }
}

// WithColdStart sets how long the server is cold after a start and how many
// concurrent requests it can run meanwhile. One more crashes it.
func WithColdStart(du time.Duration, slots int) BackendServerOption {
	return func(bs *BackendServer) {
		bs.coldFor = du
		bs.coldSlots = slots
	}
}

// WithFencing makes the server check fencing epochs.
func WithFencing() BackendServerOption {
	return func(bs *BackendServer) { bs.isFenced = true }
}

// WithoutRecords makes the server keep no records, to bound its memory under long
// load.
func WithoutRecords() BackendServerOption {
	return func(bs *BackendServer) { bs.skipsRecords = true }
}

// BackendServer is a fake of a server that owns keys. It implements http.Handler and
// is safe for use by several goroutines.
type BackendServer struct {
	name         string
	slots        int
	serviceTime  time.Duration
	coldFor      time.Duration
	coldSlots    int
	isFenced     bool
	skipsRecords bool

	mu           sync.Mutex
	faults       BackendServerFaults
	unfrozen     chan struct{}
	warmAt       time.Time
	running      int
	draining     bool
	crashed      bool
	overruns     int
	sheds        int
	keysSeen     int
	epochs       map[string]uint64
	records      []Record
	lastLoad     int
	lastLoadAt   time.Time
	reportedLoad int
}

// NewBackendServer returns a server with 9 slots and a service time of 2 ms by
// default. It starts cold if WithColdStart is given.
func NewBackendServer(name string, opts ...BackendServerOption) *BackendServer {
	bs := &BackendServer{
		name: name, slots: 9, serviceTime: 2 * time.Millisecond, coldSlots: 2,
		epochs: map[string]uint64{}, unfrozen: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(bs)
	}
	bs.warmAt = time.Now().Add(bs.coldFor)
	return bs
}

// SetFaults replaces the injected faults.
func (bs *BackendServer) SetFaults(fa BackendServerFaults) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if fa.Cold {
		bs.warmAt = time.Now().Add(bs.coldFor)
	}
	if bs.faults.Frozen && !fa.Frozen {
		close(bs.unfrozen)
		bs.unfrozen = make(chan struct{})
	}
	bs.faults = fa
}

// Records returns the requests that ended, in order of their end.
func (bs *BackendServer) Records() []Record {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return append([]Record(nil), bs.records...)
}

// BackendServerCounts counts events that do not appear in a backend server's
// records.
type BackendServerCounts struct {
	// Overruns counts requests above the number that the server can run at once.
	Overruns int `json:"overruns"`
	// Sheds counts requests refused with status 429.
	Sheds int `json:"sheds"`
	// KeysSeen counts requests that carried a workspace key.
	KeysSeen int  `json:"keysSeen"`
	Crashed  bool `json:"crashed"`
}

// Counts returns the counts so far.
func (bs *BackendServer) Counts() BackendServerCounts {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return BackendServerCounts{Overruns: bs.overruns, Sheds: bs.sheds, KeysSeen: bs.keysSeen, Crashed: bs.crashed}
}

// Crash makes the server fail health checks and close the connection of every
// request without a response until Restart is called. Load, records, faults and
// counts stay available.
func (bs *BackendServer) Crash() {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.crashed = true
}

// Restart ends a crash. The server is cold afterwards.
func (bs *BackendServer) Restart() {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.crashed = false
	bs.warmAt = time.Now().Add(bs.coldFor)
}

// ServeHTTP implements http.Handler.
func (bs *BackendServer) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	switch re.URL.Path {
	case FaultsPath:
		bs.serveFaults(wr, re)
	case HealthPath:
		bs.serveHealth(wr)
	case LoadPath:
		bs.serveLoad(wr)
	case RecordsPath:
		writeJSON(wr, http.StatusOK, bs.Records())
	case DrainPath:
		bs.mu.Lock()
		bs.draining = true
		bs.mu.Unlock()
	default:
		bs.serveWork(wr, re)
	}
}

func (bs *BackendServer) serveFaults(wr http.ResponseWriter, re *http.Request) {
	if re.Method == http.MethodPost {
		var fa BackendServerFaults
		if !readJSON(wr, re, &fa) {
			return
		}
		bs.SetFaults(fa)
	}
	writeJSON(wr, http.StatusOK, bs.Counts())
}

func (bs *BackendServer) serveHealth(wr http.ResponseWriter) {
	bs.mu.Lock()
	isBad := (bs.crashed || bs.faults.Frozen || bs.draining) && !bs.faults.LieHealthy
	bs.mu.Unlock()
	if isBad {
		http.Error(wr, "unhealthy", http.StatusServiceUnavailable)
	}
}

func (bs *BackendServer) serveLoad(wr http.ResponseWriter) {
	bs.mu.Lock()
	now := time.Now()
	if now.Sub(bs.lastLoadAt) >= time.Duration(bs.faults.LoadLagMs)*time.Millisecond {
		bs.reportedLoad, bs.lastLoad, bs.lastLoadAt = bs.lastLoad, bs.running, now
	}
	shown := bs.reportedLoad
	bs.mu.Unlock()
	writeJSON(wr, http.StatusOK, struct {
		Running int `json:"running"`
	}{shown})
}

func (bs *BackendServer) serveWork(wr http.ResponseWriter, re *http.Request) {
	body, err := io.ReadAll(io.LimitReader(re.Body, maxBodyBytes))
	if err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	record, refusal := bs.begin(re, string(body))
	switch {
	case refusal == http.StatusBadGateway:
		panic(http.ErrAbortHandler)
	case refusal != 0:
		wr.Header().Set(OutcomeHeader, "notRun")
		http.Error(wr, "refused", refusal)
		return
	}
	isDone := bs.simulateWork(re)
	bs.end(record, isDone)
	if !isDone {
		panic(http.ErrAbortHandler)
	}
	bs.answer(wr, record)
}

// begin admits a request and returns its record, or the status to refuse it with.
// Status 502 stands for closing the connection without a response.
func (bs *BackendServer) begin(re *http.Request, body string) (Record, int) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if re.Header.Get("Authorization") != "" {
		bs.keysSeen++
	}
	switch {
	case bs.crashed:
		return Record{}, http.StatusBadGateway
	case bs.faults.CrashOn != "" && body == bs.faults.CrashOn:
		bs.crashed = true
		return Record{}, http.StatusBadGateway
	case bs.draining:
		return Record{}, http.StatusServiceUnavailable
	case bs.faults.Shed:
		bs.sheds++
		return Record{}, http.StatusTooManyRequests
	}
	epoch, _ := strconv.ParseUint(re.Header.Get(EpochHeader), 10, 64)
	key := re.Header.Get(KeyHeader)
	if bs.isFenced && epoch < bs.epochs[key] {
		return Record{}, http.StatusPreconditionFailed
	}
	if limit := bs.limit(); bs.running >= limit {
		bs.overruns++
		if time.Now().Before(bs.warmAt) {
			bs.crashed = true
			return Record{}, http.StatusBadGateway
		}
		bs.sheds++
		return Record{}, http.StatusTooManyRequests
	}
	bs.epochs[key] = max(bs.epochs[key], epoch)
	bs.running++
	return Record{
		RequestID: re.Header.Get(RequestHeader), Workspace: re.Header.Get("Workspace"), Key: key,
		Method: re.Method, Body: body, Epoch: epoch, StartedAt: time.Now().UnixNano(),
	}, 0
}

func (bs *BackendServer) limit() int {
	if time.Now().Before(bs.warmAt) {
		return bs.coldSlots
	}
	return bs.slots
}

// simulateWork waits for the service time and reports whether it passed before the
// request was cancelled.
func (bs *BackendServer) simulateWork(re *http.Request) bool {
	bs.mu.Lock()
	unfrozen, isFrozen := bs.unfrozen, bs.faults.Frozen
	factor := max(1, bs.faults.SlowFactor)
	if time.Now().Before(bs.warmAt) {
		factor *= coldFactor
	}
	bs.mu.Unlock()
	if isFrozen {
		select {
		case <-unfrozen:
		case <-re.Context().Done():
			return false
		}
	}
	ti := time.NewTimer(time.Duration(float64(bs.serviceTime) * factor))
	defer ti.Stop()
	select {
	case <-ti.C:
		return true
	case <-re.Context().Done():
		return false
	}
}

func (bs *BackendServer) end(record Record, isDone bool) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.running--
	record.EndedAt = time.Now().UnixNano()
	record.Cancelled = !isDone
	if !bs.skipsRecords {
		bs.records = append(bs.records, record)
	}
}

func (bs *BackendServer) answer(wr http.ResponseWriter, record Record) {
	content := fmt.Sprintf(`{"server":%q,"requestId":%q,"key":%q,"body":%q}`,
		bs.name, record.RequestID, record.Key, record.Body)
	wr.Header().Set("Content-Type", "application/json")
	bs.mu.Lock()
	isTruncated := bs.faults.Truncate
	bs.mu.Unlock()
	wr.Header().Set("Content-Length", strconv.Itoa(len(content)))
	if isTruncated {
		content = content[:len(content)/2]
	}
	// A failed write means that the caller's connection broke.
	_, _ = io.WriteString(wr, content)
}
