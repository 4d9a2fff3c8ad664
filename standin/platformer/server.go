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
	replyLimit        = time.Second
	maxReply          = 4096
)

// Hold is a range of keys that a server holds.
type Hold struct {
	From, To uint64
	Fence    uint64
	Until    time.Time
}

// HoldPeriod is a span in which a server held a range under one token.
type HoldPeriod struct {
	From, To     uint64
	Fence        uint64
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
func WithServiceTime(span time.Duration) ServerOption { return func(bs *Server) { bs.work = span } }

// WithZone sets the zone that the server announces.
func WithZone(zone string) ServerOption { return func(bs *Server) { bs.zone = zone } }

// Server is a backend server that announces itself to the address beside it and
// runs a request only while it holds the request's key. It implements
// http.Handler for the requests.
type Server struct {
	id        string
	born      int64
	service   string
	address   string
	control   string
	zone      string
	isSharded bool
	work      time.Duration
	client    *http.Client

	mu       sync.Mutex
	sequence uint64
	holds    []Hold
	tenures  []HoldPeriod
	// current holds the place of each range's latest tenure, by its first key.
	current  map[uint64]int
	hasEnded bool
	freed    [][3]any
	runs     []Run
	maxFence map[uint64]uint64
	errs     []string
}

// NewServer returns a server of a sharded service.
func NewServer(id, service, address, control string, opts ...ServerOption) *Server {
	bs := &Server{
		id: id, born: time.Now().UnixMilli(), service: service, address: address, control: control, zone: "a",
		isSharded: true, work: 5 * time.Millisecond, maxFence: map[uint64]uint64{}, current: map[uint64]int{},
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
	return append([]HoldPeriod(nil), bs.tenures...)
}

// Crash is the crash of the server: it holds nothing and runs nothing from now on.
func (bs *Server) Crash() {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	now := time.Now()
	bs.hasEnded, bs.holds = true, nil
	for i := range bs.tenures {
		if now.Before(bs.tenures[i].Until) {
			bs.tenures[i].Until = now
		}
	}
	for i := range bs.runs {
		if bs.runs[i].EndedAt.IsZero() {
			bs.runs[i].EndedAt = now
		}
	}
	bs.client.CloseIdleConnections()
}

// keep notes a hold of a reply as a tenure. The lock must be held.
func (bs *Server) keep(ho Hold, now time.Time) {
	if i, ok := bs.current[ho.From]; ok {
		te := &bs.tenures[i]
		if te.To == ho.To && te.Fence == ho.Fence && now.Before(te.Until) {
			te.Until = ho.Until
			return
		}
	}
	bs.giveUp(ho.From, now) // under its former token
	bs.current[ho.From] = len(bs.tenures)
	bs.tenures = append(bs.tenures, HoldPeriod{From: ho.From, To: ho.To, Fence: ho.Fence, Since: now, Until: ho.Until})
}

// giveUp ends the tenure of a range. The lock must be held.
func (bs *Server) giveUp(from uint64, now time.Time) {
	if i, ok := bs.current[from]; ok && now.Before(bs.tenures[i].Until) {
		bs.tenures[i].Until = now
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
	return append([]string(nil), bs.errs...)
}

// Run announces the server until ctx ends.
func (bs *Server) Run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := heartbeatInterval
		if bs.beat(ctx) {
			interval = releaseInterval
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// beat sends one heartbeat. It reports whether keys were given up, so that the
// next one is due soon.
func (bs *Server) beat(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, replyLimit)
	defer cancel()
	sentAt := time.Now()
	body, freed := bs.announcement()
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+bs.control+"/cornellanding/instances/"+bs.id+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	answer, err := bs.client.Do(re)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxReply+1))
	if err != nil || answer.StatusCode != http.StatusOK {
		return false
	}
	return bs.take(content, sentAt, freed)
}

func (bs *Server) announcement() ([]byte, int) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.sequence++
	holds := [][3]uint64{}
	for _, ho := range bs.holds {
		if time.Now().Before(ho.Until) {
			holds = append(holds, [3]uint64{ho.From, ho.To, ho.Fence})
		}
	}
	said := map[string]any{
		"address": bs.address, "born": bs.born,
		"info":   map[string]any{"service": bs.service, "version": "v1", "zone": bs.zone, "slots": 4},
		"status": map[string]any{"state": "ready", "seq": bs.sequence, "coldRemainingS": 0},
	}
	if bs.isSharded {
		said["holds"], said["freed"] = holds, bs.freed
	}
	body, err := json.Marshal(said)
	if err != nil {
		panic(err)
	}
	return body, len(bs.freed)
}

// take follows a reply. What it leaves out is given up.
func (bs *Server) take(content []byte, sentAt time.Time, freed int) bool {
	var reply struct {
		Holds [][]json.RawMessage `json:"holds"`
		HoldS float64             `json:"holdS"`
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if len(content) > maxReply {
		bs.errs = append(bs.errs, fmt.Sprintf("a reply of %d bytes", len(content)))
		return false
	}
	if err := json.Unmarshal(content, &reply); err != nil {
		bs.errs = append(bs.errs, err.Error())
		return false
	}
	bs.freed = bs.freed[freed:]
	if reply.Holds == nil || bs.hasEnded {
		return false
	}
	now := time.Now()
	until := sentAt.Add(time.Duration(reply.HoldS * float64(time.Second)))
	var next []Hold
	for _, row := range reply.Holds {
		from, _ := strconv.ParseUint(string(row[0]), 10, 64)
		to, _ := strconv.ParseUint(string(row[1]), 10, 64)
		fence, _ := strconv.ParseUint(string(row[2]), 10, 64)
		if fence < bs.maxFence[from] {
			bs.errs = append(bs.errs, fmt.Sprintf("%s: key %d: token %d after %d", now.Format(time.StampMilli), from, fence, bs.maxFence[from]))
			continue
		}
		bs.maxFence[from] = fence
		next = append(next, Hold{From: from, To: to, Fence: fence, Until: until})
		if now.Before(until) {
			bs.keep(next[len(next)-1], now)
		}
	}
	gaveUp := false
	for _, ho := range bs.holds {
		isKept := false
		for _, ne := range next {
			isKept = isKept || ne.From == ho.From
		}
		if !isKept && time.Now().Before(ho.Until) {
			bs.freed = append(bs.freed, [3]any{ho.From, ho.To, fmt.Sprintf("%s-%d", bs.id, ho.From)})
			bs.giveUp(ho.From, now)
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
	place, ok := bs.begin(Run{
		RequestID: id, Key: key, Tenant: re.Header.Get("X-Tenant-Id"), Caller: re.Header.Get("X-Caller-Service"),
		Deadline: re.Header.Get("X-Deadline-Ms"), Body: string(body), HasCredential: re.Header.Get("Authorization") != "",
	})
	if !ok {
		wr.Header().Set("X-Not-Executed", "1")
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case <-time.After(bs.work):
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

// begin notes the start of a run and returns its place, or false if the server
// may not run it.
func (bs *Server) begin(ru Run) (int, bool) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	ru.StartedAt = time.Now()
	if bs.hasEnded || bs.isSharded && !bs.isHeld(ru.Key, ru.StartedAt) {
		return 0, false
	}
	bs.runs = append(bs.runs, ru)
	return len(bs.runs) - 1, true
}

// isHeld reports whether the server holds a key. The lock must be held.
func (bs *Server) isHeld(key uint64, now time.Time) bool {
	for _, ho := range bs.holds {
		if key >= ho.From && key <= ho.To && now.Before(ho.Until) {
			return true
		}
	}
	return false
}
