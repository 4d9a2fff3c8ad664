package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The behaviour of backends.
const (
	slots      = 6
	healthPath = "/health"
	// beatTimeout is how long a backend waits for the acknowledgement of a heartbeat.
	beatTimeout = time.Second
	// downTime is how long a crashed backend is away.
	downTime = 2 * time.Second
	// releaseInterval is the time to the next heartbeat after a release.
	releaseInterval = 90 * time.Millisecond
	// maxReply bounds an acknowledgement in bytes.
	maxReply = 4096
)

// hold is a range of keys that a backend holds until a time.
type hold struct {
	from, to, fence uint64
	until           time.Time
}

// backend is an application backend: it sends heartbeats to its control address and
// runs requests. A request runs for the milliseconds that its query parameter ms says.
type backend struct {
	rec       *recorder
	id        string
	service   string
	zone      string
	address   string
	control   string
	isSharded bool
	interval  time.Duration
	born      int64
	server    *http.Server
	client    *http.Client

	mu       sync.Mutex
	sequence uint64
	holds    []hold
	freed    [][3]any
	// maxFence is the highest fence seen, by the first key of a range.
	maxFence map[uint64]uint64
	isSilent bool
	// state is what the backend reports of itself.
	state string
	// coldUntil is until when the backend is cold.
	coldUntil time.Time
	// ackedAt is when the latest heartbeat was acknowledged.
	ackedAt time.Time
	stop    context.CancelFunc
	// again starts another life after a crash, nil if there is to be none.
	again func()
}

// startBackend starts a backend that is ready.
// The first heartbeat is sent after firstBeat.
func startBackend(rec *recorder, id, service, zone, address, control string, isSharded bool, interval, firstBeat time.Duration) (*backend, error) {
	be := &backend{
		rec: rec, id: id, service: service, zone: zone, address: address, control: control, isSharded: isSharded, interval: interval,
		born: time.Now().UnixMilli(), client: &http.Client{Transport: &http.Transport{}}, maxFence: map[uint64]uint64{}, state: "ready",
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	be.server = &http.Server{Handler: be}
	go be.server.Serve(listener)
	var ctx context.Context
	ctx, be.stop = context.WithCancel(context.Background())
	go func() {
		time.Sleep(firstBeat)
		be.beat(ctx)
	}()
	return be, nil
}

// end ends the backend at once.
func (be *backend) end() {
	be.stop()
	be.server.Close()
	be.client.CloseIdleConnections()
}

// crash ends the backend at once and, after downTime, starts another life of it.
func (be *backend) crash() {
	be.end()
	be.mu.Lock()
	again := be.again
	be.mu.Unlock()
	if again != nil {
		time.AfterFunc(downTime, again)
	}
}

// beat sends heartbeats until ctx ends or the backend falls silent.
func (be *backend) beat(ctx context.Context) {
	for {
		wait := be.interval
		if be.isBeating() && be.sendBeat(ctx) {
			wait = releaseInterval
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

func (be *backend) isBeating() bool {
	be.mu.Lock()
	defer be.mu.Unlock()
	return !be.isSilent
}

// silence makes the backend send no further heartbeats by itself.
func (be *backend) silence() {
	be.mu.Lock()
	defer be.mu.Unlock()
	be.isSilent = true
}

// coldLeft returns how long the backend stays cold. The lock must be held.
func (be *backend) coldLeft() time.Duration { return max(0, time.Until(be.coldUntil)) }

// chill makes the backend cold for a span.
func (be *backend) chill(span time.Duration) {
	be.mu.Lock()
	defer be.mu.Unlock()
	be.coldUntil = time.Now().Add(span)
	be.rec.line("backend %s is cold for %v", be.id, span)
}

// drain makes the backend report from now on that it is leaving.
func (be *backend) drain() {
	be.mu.Lock()
	defer be.mu.Unlock()
	be.state = "draining"
	be.rec.line("backend %s reports from now on that it is draining", be.id)
}

// lastAck returns when the latest heartbeat was acknowledged.
func (be *backend) lastAck() time.Time {
	be.mu.Lock()
	defer be.mu.Unlock()
	return be.ackedAt
}

// sendBeat sends one heartbeat and applies its acknowledgement. It reports whether keys
// were released.
func (be *backend) sendBeat(ctx context.Context) bool {
	sentAt := time.Now()
	body, freed := be.encodeBeat()
	status, content := be.post(ctx, "heartbeat", body)
	if status != http.StatusOK || len(content) > maxReply {
		return false
	}
	return be.apply(content, sentAt, freed)
}

// post sends a call to the control address and returns the status, 0 if there was no
// answer in time.
func (be *backend) post(ctx context.Context, call string, body []byte) (int, []byte) {
	return postControl(ctx, be.client, be.control, be.id, call, body)
}

func postControl(ctx context.Context, client *http.Client, control, id, call string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+control+names["pathInstances"]+id+"/"+call, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	re.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(re)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxReply+1))
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, content
}

// encodeBeat returns the next heartbeat and how many released ranges it lists.
func (be *backend) encodeBeat() ([]byte, int) {
	be.mu.Lock()
	defer be.mu.Unlock()
	be.sequence++
	holds := [][3]uint64{}
	for _, ho := range be.holds {
		if time.Now().Before(ho.until) {
			holds = append(holds, [3]uint64{ho.from, ho.to, ho.fence})
		}
	}
	beat := map[string]any{
		"address": be.address, "born": be.born,
		"info":   map[string]any{"service": be.service, "version": "v1", "zone": be.zone, "slots": slots},
		"status": map[string]any{"state": be.state, "seq": be.sequence, names["coldField"]: be.coldLeft().Seconds()},
		"holds":  holds, "freed": append([][3]any{}, be.freed...),
	}
	body, err := json.Marshal(beat)
	if err != nil {
		panic(err) // all values can be encoded
	}
	return body, len(be.freed)
}

// apply adopts the holds of an acknowledgement to a heartbeat sent at sentAt.
func (be *backend) apply(content []byte, sentAt time.Time, freed int) bool {
	var (
		reply map[string]json.RawMessage
		rows  [][]json.RawMessage
		term  float64
	)
	if json.Unmarshal(content, &reply) != nil {
		return false
	}
	hasHolds := json.Unmarshal(reply["holds"], &rows) == nil && json.Unmarshal(reply[names["termField"]], &term) == nil
	be.mu.Lock()
	defer be.mu.Unlock()
	be.freed, be.ackedAt = be.freed[freed:], time.Now()
	if !hasHolds {
		return false
	}
	now := time.Now()
	until := sentAt.Add(time.Duration(term * float64(time.Second)))
	var next []hold
	for _, ro := range rows {
		from, _ := strconv.ParseUint(string(ro[0]), 10, 64)
		to, _ := strconv.ParseUint(string(ro[1]), 10, 64)
		fence, _ := strconv.ParseUint(string(ro[2]), 10, 64)
		if fence < be.maxFence[from] {
			continue
		}
		be.maxFence[from] = fence
		next = append(next, hold{from: from, to: to, fence: fence, until: until})
	}
	hasReleased := false
	for _, ho := range be.holds {
		if now.Before(ho.until) && !covers(next, ho) {
			be.freed = append(be.freed, [3]any{ho.from, ho.to, be.id + "-" + strconv.FormatUint(ho.from, 10)})
			hasReleased = true
		}
	}
	be.holds = next
	return hasReleased
}

func covers(holds []hold, ho hold) bool {
	for _, ne := range holds {
		if ne.from <= ho.from && ho.to <= ne.to {
			return true
		}
	}
	return false
}

// live returns the ranges that the backend holds now.
func (be *backend) live() []hold {
	be.mu.Lock()
	defer be.mu.Unlock()
	var live []hold
	for _, ho := range be.holds {
		if time.Now().Before(ho.until) {
			live = append(live, ho)
		}
	}
	return live
}

// holdsKey reports whether the backend holds the key now.
func (be *backend) holdsKey(key uint64) bool {
	for _, ho := range be.live() {
		if ho.from <= key && key <= ho.to {
			return true
		}
	}
	return false
}

// serveHealth answers a health check.
func (be *backend) serveHealth(wr http.ResponseWriter) {
	be.mu.Lock()
	cold, state := be.coldLeft(), be.state
	be.mu.Unlock()
	wr.Header().Set(names["headerInstance"], be.id)
	wr.Header().Set(names["headerCold"], strconv.FormatInt(cold.Milliseconds(), 10))
	if state != "ready" {
		wr.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServeHTTP implements http.Handler.
func (be *backend) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	if re.URL.Path == healthPath && re.Method == http.MethodGet {
		be.serveHealth(wr)
		return
	}
	id := re.Header.Get("X-Request-Id")
	wr.Header().Set("X-Request-Id", id)
	if want := re.Header.Get(names["headerExpected"]); want != "" && want != be.id {
		wr.Header().Set(names["headerNotRun"], "1")
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if be.isSharded {
		key, err := strconv.ParseUint(re.Header.Get(names["headerKey"]), 10, 64)
		if err != nil || !be.holdsKey(key) {
			wr.Header().Set(names["headerNotRun"], "1")
			wr.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	ip, _, _ := net.SplitHostPort(be.address)
	be.rec.arrived(id, be.id, ip, re)
	if re.URL.Query().Get("crash") != "" {
		be.rec.line("backend %s crashes on request %s", be.id, id)
		go be.crash()
		<-re.Context().Done()
		return
	}
	if _, err := io.Copy(io.Discard, re.Body); err != nil {
		return
	}
	work, _ := strconv.Atoi(re.URL.Query().Get("ms"))
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-re.Context().Done():
		be.rec.line("backend %s: request %s: connection closed while the request ran", be.id, id)
		return
	}
	be.rec.ended(id, be.id)
	wr.Header().Set(names["headerSignature"], be.id+"."+id)
	// A failed write means that the caller's connection broke.
	_, _ = io.WriteString(wr, bodyOf(id))
}

// bodyOf returns the whole body of the answer to a request.
func bodyOf(id string) string { return "answer to " + id }
