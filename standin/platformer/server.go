package platformer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval separates the heartbeats of a server, and releaseInterval
// those while it gives keys up.
const (
	heartbeatInterval = 400 * time.Millisecond
	releaseInterval   = 80 * time.Millisecond
	replyTimeout      = time.Second
	maxReplyBytes     = 4096
)

// Hold is a range of keys that a server holds.
type Hold struct {
	From, To     uint64
	FencingToken uint64
	Until        time.Time
}

// HoldPeriod is a span in which a server held a range under one token.
type HoldPeriod struct {
	From, To     uint64
	FencingToken uint64
	Since, Until time.Time
}

// Run is one request that a server ran.
type Run struct {
	RequestID string
	Key       uint64
	Tenant    string
	Caller    string
	Deadline  string
	Body      string
	// HasCredential says that the caller's credential was passed on.
	HasCredential bool
	StartedAt     time.Time
	// EndedAt is zero while the request runs.
	EndedAt time.Time
}

// ServerOption sets one option of NewServer.
type ServerOption func(*Server)

// WithoutSharding makes the server one of a service that holds no keys.
func WithoutSharding() ServerOption { return func(bs *Server) { bs.isSharded = false } }

// WithServiceTime sets how long a request takes.
func WithServiceTime(span time.Duration) ServerOption {
	return func(bs *Server) { bs.serviceTime = span }
}

// WithZone sets the zone that the server announces.
func WithZone(zone string) ServerOption { return func(bs *Server) { bs.zone = zone } }

// Server is a backend server that announces itself to the address beside it and
// runs a request only while it holds the request's key. It implements
// http.Handler for the requests.
type Server struct {
	id          string
	bornAt      int64
	service     string
	address     string
	control     string
	zone        string
	isSharded   bool
	serviceTime time.Duration
	client      *http.Client

	mu       sync.Mutex
	sequence uint64
	holds    []Hold
	periods  []HoldPeriod
	// latestPeriod holds the place of each range's latest tenure, by its first key.
	latestPeriod   map[uint64]int
	hasCrashed     bool
	released       [][3]any
	runs           []Run
	maxToken       map[uint64]uint64
	protocolErrors []string
}

// NewServer returns a server of a sharded service.
func NewServer(id, service, address, control string, opts ...ServerOption) *Server {
	bs := &Server{
		id: id, bornAt: time.Now().UnixMilli(), service: service, address: address, control: control, zone: "a",
		isSharded: true, serviceTime: 5 * time.Millisecond, maxToken: map[uint64]uint64{}, latestPeriod: map[uint64]int{},
		client: &http.Client{Transport: &http.Transport{}},
	}
	for _, opt := range opts {
		opt(bs)
	}
	return bs
}

// ID returns the server's id.
func (bs *Server) ID() string { return bs.id }

// HoldPeriods returns what the server has held, in order. One that goes on ends when
// the latest reply says.
func (bs *Server) HoldPeriods() []HoldPeriod {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return append([]HoldPeriod(nil), bs.periods...)
}

// Crash is the crash of the server: it holds nothing and runs nothing from now on.
func (bs *Server) Crash() {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	now := time.Now()
	bs.hasCrashed, bs.holds = true, nil
	for i := range bs.periods {
		if now.Before(bs.periods[i].Until) {
			bs.periods[i].Until = now
		}
	}
	for i := range bs.runs {
		if bs.runs[i].EndedAt.IsZero() {
			bs.runs[i].EndedAt = now
		}
	}
	bs.client.CloseIdleConnections()
}

// recordHold notes a hold of a reply as a tenure. The lock must be held.
func (bs *Server) recordHold(ho Hold, now time.Time) {
	if i, ok := bs.latestPeriod[ho.From]; ok {
		te := &bs.periods[i]
		if te.To == ho.To && te.FencingToken == ho.FencingToken && now.Before(te.Until) {
			te.Until = ho.Until
			return
		}
	}
	bs.endHold(ho.From, now) // under its former token
	bs.latestPeriod[ho.From] = len(bs.periods)
	bs.periods = append(bs.periods, HoldPeriod{From: ho.From, To: ho.To, FencingToken: ho.FencingToken, Since: now, Until: ho.Until})
}

// endHold ends the tenure of a range. The lock must be held.
func (bs *Server) endHold(from uint64, now time.Time) {
	if i, ok := bs.latestPeriod[from]; ok && now.Before(bs.periods[i].Until) {
		bs.periods[i].Until = now
	}
}

// Runs returns the requests that the server ran.
func (bs *Server) Runs() []Run {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return append([]Run(nil), bs.runs...)
}

// Holds returns what the server holds now.
func (bs *Server) Holds() []Hold {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	var live []Hold
	for _, ho := range bs.holds {
		if time.Now().Before(ho.Until) {
			live = append(live, ho)
		}
	}
	return live
}

// ProtocolErrors returns what the server found wrong with replies.
func (bs *Server) ProtocolErrors() []string {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return append([]string(nil), bs.protocolErrors...)
}

// Run announces the server until ctx ends.
func (bs *Server) Run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := heartbeatInterval
		if bs.sendHeartbeat(ctx) {
			interval = releaseInterval
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// sendHeartbeat sends one heartbeat. It reports whether keys were given up, so that the
// next one is due soon.
func (bs *Server) sendHeartbeat(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	sentAt := time.Now()
	body, freed := bs.encodeHeartbeat()
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+bs.control+"/cornellanding/instances/"+bs.id+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	answer, err := bs.client.Do(re)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxReplyBytes+1))
	if err != nil || answer.StatusCode != http.StatusOK {
		return false
	}
	return bs.applyReply(content, sentAt, freed)
}

func (bs *Server) encodeHeartbeat() ([]byte, int) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.sequence++
	holds := [][3]uint64{}
	for _, ho := range bs.holds {
		if time.Now().Before(ho.Until) {
			holds = append(holds, [3]uint64{ho.From, ho.To, ho.FencingToken})
		}
	}
	said := map[string]any{
		"address": bs.address, "born": bs.bornAt,
		"info":   map[string]any{"service": bs.service, "version": "v1", "zone": bs.zone, "slots": 4},
		"status": map[string]any{"state": "ready", "seq": bs.sequence, "coldRemainingS": 0},
	}
	if bs.isSharded {
		said["holds"], said["freed"] = holds, bs.released
	}
	body, err := json.Marshal(said)
	if err != nil {
		panic(err)
	}
	return body, len(bs.released)
}

// applyReply follows a reply. What it leaves out is given up.
func (bs *Server) applyReply(content []byte, sentAt time.Time, freed int) bool {
	var reply struct {
		Holds [][]json.RawMessage `json:"holds"`
		HoldS float64             `json:"holdS"`
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if len(content) > maxReplyBytes {
		bs.protocolErrors = append(bs.protocolErrors, fmt.Sprintf("a reply of %d bytes", len(content)))
		return false
	}
	if err := json.Unmarshal(content, &reply); err != nil {
		bs.protocolErrors = append(bs.protocolErrors, err.Error())
		return false
	}
	bs.released = bs.released[freed:]
	if reply.Holds == nil || bs.hasCrashed {
		return false
	}
	now := time.Now()
	until := sentAt.Add(time.Duration(reply.HoldS * float64(time.Second)))
	var next []Hold
	for _, row := range reply.Holds {
		from, _ := strconv.ParseUint(string(row[0]), 10, 64)
		to, _ := strconv.ParseUint(string(row[1]), 10, 64)
		fence, _ := strconv.ParseUint(string(row[2]), 10, 64)
		if fence < bs.maxToken[from] {
			bs.protocolErrors = append(bs.protocolErrors, fmt.Sprintf("%s: key %d: token %d after %d", now.Format(time.StampMilli), from, fence, bs.maxToken[from]))
			continue
		}
		bs.maxToken[from] = fence
		next = append(next, Hold{From: from, To: to, FencingToken: fence, Until: until})
		if now.Before(until) {
			bs.recordHold(next[len(next)-1], now)
		}
	}
	gaveUp := false
	for _, ho := range bs.holds {
		isKept := false
		for _, ne := range next {
			isKept = isKept || ne.From == ho.From
		}
		if !isKept && time.Now().Before(ho.Until) {
			bs.released = append(bs.released, [3]any{ho.From, ho.To, fmt.Sprintf("%s-%d", bs.id, ho.From)})
			bs.endHold(ho.From, now)
			gaveUp = true
		}
	}
	bs.holds = next
	return gaveUp
}

// ServeHTTP implements http.Handler.
func (bs *Server) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	id := re.Header.Get("X-Request-Id")
	wr.Header().Set("X-Request-Id", id)
	if want := re.Header.Get("X-Expected-Instance"); want != "" && want != bs.id {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	key, _ := strconv.ParseUint(re.Header.Get("X-Shard-Key"), 10, 64)
	body, err := io.ReadAll(re.Body)
	if err != nil {
		return
	}
	place, ok := bs.beginRun(Run{
		RequestID: id, Key: key, Tenant: re.Header.Get("X-Tenant-Id"), Caller: re.Header.Get("X-Caller-Service"),
		Deadline: re.Header.Get("X-Deadline-Ms"), Body: string(body), HasCredential: re.Header.Get("Authorization") != "",
	})
	if !ok {
		wr.Header().Set("X-Not-Executed", "1")
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case <-time.After(bs.serviceTime):
	case <-re.Context().Done():
	}
	bs.mu.Lock()
	if bs.runs[place].EndedAt.IsZero() {
		bs.runs[place].EndedAt = time.Now()
	}
	bs.mu.Unlock()
	wr.Header().Set("X-Server-Signature", bs.id+"."+id)
	// A failed write is the caller's broken connection.
	_, _ = io.WriteString(wr, "ran "+id)
}

// beginRun notes the start of a run and returns its place, or false if the server
// may not run it.
func (bs *Server) beginRun(ru Run) (int, bool) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	ru.StartedAt = time.Now()
	if bs.hasCrashed || bs.isSharded && !bs.holdsKey(ru.Key, ru.StartedAt) {
		return 0, false
	}
	bs.runs = append(bs.runs, ru)
	return len(bs.runs) - 1, true
}

// holdsKey reports whether the server holds a key. The lock must be held.
func (bs *Server) holdsKey(key uint64, now time.Time) bool {
	for _, ho := range bs.holds {
		if key >= ho.From && key <= ho.To && now.Before(ho.Until) {
			return true
		}
	}
	return false
}
