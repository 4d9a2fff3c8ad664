// Package emulator contains in-memory fakes of the router's environment: the
// platform's table service and object store, and a backend server. Each injects
// faults that are set in Go or over HTTP.
//
// # Usage
//
//	pl := emulator.NewPlatform(emulator.WithRates(300, 2000))
//	go http.Serve(listener, pl)
//	pl.SetFaults(emulator.PlatformFaults{Down: true})
//
//	bs := emulator.NewBackendServer("ordering-1", emulator.WithSlots(9))
//	go http.Serve(listener2, bs)
package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"cornellanding.example/port/storer"
	"cornellanding.example/port/tabler"
)

// FaultsPath is the path at which a fake accepts its faults, as JSON by POST, and
// returns its counts.
const FaultsPath = "/-/faults"

const maxBodyBytes = 64 << 20

// PlatformFaults are the faults that the platform injects.
type PlatformFaults struct {
	// Down refuses all calls with status 503.
	Down bool `json:"down"`
	// Unreachable closes connections without a response.
	Unreachable bool `json:"unreachable"`
	// DelayMs delays each call, in milliseconds.
	DelayMs int `json:"delayMs"`
	// LoseAnswers is how many of the next commits are processed and then have their
	// connection closed without a response. A commit takes effect if its conditions
	// hold.
	LoseAnswers int `json:"loseAnswers"`
}

// PlatformCounts counts the calls to the table since the start. Refused are those
// above the rate limits.
type PlatformCounts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Refused uint64 `json:"refused"`
}

// PlatformOption is an option of NewPlatform.
type PlatformOption func(*Platform)

// WithRates limits the table's writes and reads per second; 0 is no limit.
func WithRates(writes, reads float64) PlatformOption {
	return func(pl *Platform) {
		pl.writes = newBucket(writes)
		pl.reads = newBucket(reads)
	}
}

// Platform is a table service and an object store in memory. It implements
// http.Handler and is safe for use by several goroutines.
type Platform struct {
	mu      sync.Mutex
	rows    map[string]tabler.Row
	objects map[string][]byte
	faults  PlatformFaults
	counts  PlatformCounts
	writes  *bucket
	reads   *bucket
}

// NewPlatform returns an empty platform without faults.
func NewPlatform(opts ...PlatformOption) *Platform {
	pl := &Platform{
		rows: map[string]tabler.Row{}, objects: map[string][]byte{},
		writes: newBucket(0), reads: newBucket(0),
	}
	for _, opt := range opts {
		opt(pl)
	}
	return pl
}

// SetFaults replaces the injected faults.
func (pl *Platform) SetFaults(fa PlatformFaults) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.faults = fa
}

// Counts returns the calls so far.
func (pl *Platform) Counts() PlatformCounts {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.counts
}

// ServeHTTP implements http.Handler.
func (pl *Platform) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	if re.URL.Path == FaultsPath {
		pl.serveFaults(wr, re)
		return
	}
	fa := pl.currentFaults()
	time.Sleep(time.Duration(fa.DelayMs) * time.Millisecond)
	switch {
	case fa.Unreachable:
		panic(http.ErrAbortHandler)
	case fa.Down:
		http.Error(wr, "down", http.StatusServiceUnavailable)
	case re.URL.Path == tabler.ReadPath:
		pl.serveRead(wr, re)
	case re.URL.Path == tabler.CommitPath:
		pl.serveCommit(wr, re)
	case strings.HasPrefix(re.URL.Path, storer.ObjectsPath):
		pl.serveObject(wr, re)
	default:
		http.NotFound(wr, re)
	}
}

func (pl *Platform) currentFaults() PlatformFaults {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.faults
}

func (pl *Platform) serveFaults(wr http.ResponseWriter, re *http.Request) {
	if re.Method == http.MethodPost {
		var fa PlatformFaults
		if !readJSON(wr, re, &fa) {
			return
		}
		pl.SetFaults(fa)
	}
	writeJSON(wr, http.StatusOK, pl.Counts())
}

func (pl *Platform) serveRead(wr http.ResponseWriter, re *http.Request) {
	var qu tabler.WireRead
	if !readJSON(wr, re, &qu) {
		return
	}
	pl.mu.Lock()
	isAllowed := pl.reads.take(time.Now())
	rows := pl.read(tabler.Query(qu))
	pl.count(&pl.counts.Reads, isAllowed)
	pl.mu.Unlock()
	if !isAllowed {
		http.Error(wr, "too many reads", http.StatusTooManyRequests)
		return
	}
	writeJSON(wr, http.StatusOK, tabler.WireRows{Rows: rows})
}

func (pl *Platform) count(counter *uint64, isAllowed bool) {
	if isAllowed {
		*counter++
		return
	}
	pl.counts.Refused++
}

func (pl *Platform) read(qu tabler.Query) []tabler.WireRow {
	var rows []tabler.WireRow
	for _, key := range qu.Keys {
		if ro, ok := pl.rows[key]; ok {
			rows = append(rows, tabler.WireRow(ro))
		}
	}
	for key, ro := range pl.rows {
		if hasAnyPrefix(key, qu.Prefixes) {
			rows = append(rows, tabler.WireRow(ro))
		}
	}
	if qu.VersionsOnly {
		for i := range rows {
			rows[i].Value = nil
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

func hasAnyPrefix(key string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

func (pl *Platform) serveCommit(wr http.ResponseWriter, re *http.Request) {
	var tx tabler.WireCommit
	if !readJSON(wr, re, &tx) {
		return
	}
	pl.mu.Lock()
	isAllowed := pl.writes.take(time.Now())
	pl.count(&pl.counts.Writes, isAllowed)
	conflict, isLost := (*tabler.WireConflict)(nil), false
	version := uint64(0)
	if isAllowed {
		conflict, version = pl.commit(tx)
		isLost = pl.faults.LoseAnswers > 0
		pl.faults.LoseAnswers -= min(1, pl.faults.LoseAnswers)
	}
	pl.mu.Unlock()
	switch {
	case !isAllowed:
		http.Error(wr, "too many writes", http.StatusTooManyRequests)
	case isLost:
		panic(http.ErrAbortHandler)
	case conflict != nil:
		writeJSON(wr, http.StatusConflict, conflict)
	default:
		writeJSON(wr, http.StatusOK, tabler.WireCommitted{Version: version})
	}
}

func (pl *Platform) commit(tx tabler.WireCommit) (*tabler.WireConflict, uint64) {
	for _, co := range tx.Conditions {
		if found := pl.rows[co.Key].Version; found != co.Version {
			return &tabler.WireConflict{Key: co.Key, Expected: co.Version, Found: found}, 0
		}
	}
	for _, wr := range tx.Writes {
		pl.rows[wr.Key] = tabler.Row{Key: wr.Key, Version: pl.rows[wr.Key].Version + 1, Value: wr.Value}
	}
	if len(tx.Writes) == 0 {
		return nil, 0
	}
	return nil, pl.rows[tx.Writes[0].Key].Version
}

func (pl *Platform) serveObject(wr http.ResponseWriter, re *http.Request) {
	name := strings.TrimPrefix(re.URL.Path, storer.ObjectsPath)
	if re.Method == http.MethodPut {
		content, err := io.ReadAll(io.LimitReader(re.Body, maxBodyBytes))
		if err != nil {
			http.Error(wr, err.Error(), http.StatusBadRequest)
			return
		}
		pl.mu.Lock()
		pl.objects[name] = content
		pl.mu.Unlock()
		return
	}
	pl.mu.Lock()
	content, ok := pl.objects[name]
	pl.mu.Unlock()
	if !ok {
		http.NotFound(wr, re)
		return
	}
	// A failed write means that the caller's connection broke.
	_, _ = wr.Write(content)
}

func readJSON(wr http.ResponseWriter, re *http.Request, into any) bool {
	err := json.NewDecoder(io.LimitReader(re.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(wr http.ResponseWriter, status int, value any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	// A failed write means that the caller's connection broke.
	_ = json.NewEncoder(wr).Encode(value)
}

// bucket is a token bucket with a burst of one second's tokens. A rate of 0 is no
// limit.
type bucket struct {
	rate   float64
	tokens float64
	filled time.Time
}

func newBucket(rate float64) *bucket {
	return &bucket{rate: rate, tokens: rate}
}

func (bu *bucket) take(now time.Time) bool {
	if bu.rate == 0 {
		return true
	}
	if !bu.filled.IsZero() {
		bu.tokens = min(bu.rate, bu.tokens+bu.rate*now.Sub(bu.filled).Seconds())
	}
	bu.filled = now
	if bu.tokens < 1 {
		return false
	}
	bu.tokens--
	return true
}
