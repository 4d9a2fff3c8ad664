package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// hold is a range of keys that a backend holds.
type hold struct {
	from, to, token uint64
	since, until    time.Time
}

// period is a time in which a backend held a range under one token.
type period struct {
	backend         string
	from, to, token uint64
	since, until    time.Time
}

// run is one request that a backend began.
type run struct {
	id, backend, service string
	key                  uint64
	at                   time.Time
}

// coldStart is how long a backend is cold after a start during traffic.
const coldStart = 3 * time.Second

// backend is one application backend. It speaks the users' protocol and runs a request only
// while it holds the request's key, if its service is divided by key.
type backend struct {
	id, service, zone, address, control string
	isSharded                           bool
	slots                               int
	work, readWork                      time.Duration
	beat                                time.Duration
	rec                                 *recorder
	client                              *http.Client
	server                              *http.Server
	born                                int64
	// coldUntil is until when the backend is cold after a start during traffic.
	coldUntil time.Time

	mu       sync.Mutex
	sequence uint64
	holds    []hold
	highest  map[[2]uint64]uint64
	released [][3]any
	running  int
	// silence is not nil while the backend is down and answers nothing. It is closed when the
	// backend starts again.
	silence chan struct{}
	// life counts the starts. Work of an earlier one is gone.
	life  int
	conns map[net.Conn]bool
	// crashPath is the path of the requests that crash the backend, "" for none, and starts the
	// number of its starts.
	crashPath string
	starts    int
	// isDown is set from a crash to the next start.
	isDown bool
}

func startBackend(ctx context.Context, bs *backend) error {
	bs.born, bs.highest, bs.released = time.Now().UnixMilli(), map[[2]uint64]uint64{}, [][3]any{}
	bs.client = &http.Client{Transport: &http.Transport{}, Timeout: time.Second}
	if err := bs.listen(); err != nil {
		return err
	}
	go bs.sendBeats(ctx)
	return nil
}

// listen begins to serve.
func (bs *backend) listen() error {
	listener, err := net.Listen("tcp", bs.address)
	if err != nil {
		return err
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.conns = map[net.Conn]bool{}
	bs.server = &http.Server{Handler: bs, ConnState: func(conn net.Conn, state http.ConnState) {
		bs.mu.Lock()
		defer bs.mu.Unlock()
		switch state {
		case http.StateNew:
			bs.conns[conn] = true
		case http.StateClosed, http.StateHijacked:
			delete(bs.conns, conn)
		}
	}}
	go bs.server.Serve(listener)
	return nil
}

// crash ends the process of the backend: its address refuses connections, and all that it ran is
// gone. It starts again after a while, under another id.
func (bs *backend) crash(downFor time.Duration) {
	bs.mu.Lock()
	if bs.isDown {
		bs.mu.Unlock()
		return
	}
	bs.isDown = true
	bs.life++
	server := bs.server
	bs.mu.Unlock()
	_ = server.Close()
	bs.rec.note("%s crashes", bs.name())
	time.AfterFunc(downFor, func() {
		bs.mu.Lock()
		bs.starts++
		bs.id = fmt.Sprintf("%s-start-%d", strings.TrimSuffix(bs.id, fmt.Sprintf("-start-%d", bs.starts)), bs.starts+1)
		bs.born, bs.sequence, bs.running = time.Now().UnixMilli(), 0, 0
		bs.coldUntil = time.Now().Add(coldStart)
		bs.mu.Unlock()
		if err := bs.listen(); err != nil {
			bs.rec.note("%s does not start again: %v", bs.name(), err)
			return
		}
		bs.mu.Lock()
		bs.isDown = false
		bs.mu.Unlock()
	})
}

// name returns the id of the present start.
func (bs *backend) name() string {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return bs.id
}

func (bs *backend) sendBeats(ctx context.Context) {
	for ctx.Err() == nil {
		// Approximately every beat.
		pause := bs.beat*9/10 + rand.N(bs.beat/5)
		if bs.sendBeat(ctx) {
			pause = 90 * time.Millisecond
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// sendBeat sends one heartbeat and applies its reply. It reports whether ranges were released,
// so that another heartbeat is due.
func (bs *backend) sendBeat(ctx context.Context) bool {
	bs.mu.Lock()
	isDown := bs.isDown
	bs.mu.Unlock()
	if isDown {
		return false
	}
	content, released := bs.encodeBeat()
	return bs.postBeat(ctx, content, released)
}

// encodeBeat returns the next heartbeat and the number of released ranges that it lists.
func (bs *backend) encodeBeat() (content []byte, released int) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.sequence++
	bs.expire(time.Now())
	holds := [][3]uint64{}
	for _, ho := range bs.holds {
		holds = append(holds, [3]uint64{ho.from, ho.to, ho.token})
	}
	body := map[string]any{
		"address": bs.address, "born": bs.born,
		"info":   map[string]any{"service": bs.service, "version": "v1", "zone": bs.zone, "slots": bs.slots},
		"status": map[string]any{"state": "ready", "seq": bs.sequence, wire("coldRemaining"): bs.coldRemaining().Seconds()},
	}
	if bs.isSharded {
		body["holds"], body["freed"] = holds, bs.released
	}
	content, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return content, len(bs.released)
}

// coldRemaining returns how much longer the backend is cold. The lock must be held.
func (bs *backend) coldRemaining() time.Duration { return max(0, time.Until(bs.coldUntil)) }

// postBeat sends a heartbeat and applies its reply.
func (bs *backend) postBeat(ctx context.Context, content []byte, released int) bool {
	sentAt := time.Now()
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+bs.control+wire("instances")+bs.name()+"/heartbeat", bytes.NewReader(content))
	if err != nil {
		panic(err)
	}
	re.Header.Set("Content-Type", "application/json")
	an, err := bs.client.Do(re)
	if err != nil {
		return false
	}
	defer an.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(an.Body, 4097))
	if err != nil || an.StatusCode/100 != 2 || len(reply) > 4096 || time.Since(sentAt) > time.Second {
		return false
	}
	return bs.applyReply(reply, sentAt, released)
}

// fall makes the backend crash silently: what it ran is gone, and nothing answers.
func (bs *backend) fall() {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.silence = make(chan struct{})
	bs.life++
}

// rise starts the backend again under its id, with counts that start anew. Connections of before
// are closed.
func (bs *backend) rise() {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	for conn := range bs.conns {
		_ = conn.Close()
	}
	close(bs.silence)
	bs.silence, bs.born, bs.sequence, bs.running = nil, time.Now().UnixMilli(), 0, 0
	bs.coldUntil = time.Now().Add(coldStart)
}

// expire drops the holds that have run out. The lock must be held.
func (bs *backend) expire(now time.Time) {
	var kept []hold
	for _, ho := range bs.holds {
		if now.Before(ho.until) {
			kept = append(kept, ho)
			continue
		}
		bs.end(ho, ho.until)
	}
	bs.holds = kept
}

func (bs *backend) end(ho hold, at time.Time) {
	bs.rec.held(period{backend: bs.id, from: ho.from, to: ho.to, token: ho.token, since: ho.since, until: at})
}

func (bs *backend) applyReply(content []byte, sentAt time.Time, released int) bool {
	var reply map[string]json.RawMessage
	var granted [][]json.RawMessage
	var term float64
	if json.Unmarshal(content, &reply) != nil {
		return false
	}
	if fields, ok := reply["holds"]; ok && (json.Unmarshal(fields, &granted) != nil || json.Unmarshal(reply[wire("holdTerm")], &term) != nil) {
		return false
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.released = bs.released[released:]
	if granted == nil {
		return false
	}
	now := time.Now()
	bs.expire(now)
	until := sentAt.Add(time.Duration(term * float64(time.Second)))
	var next []hold
	for _, fields := range granted {
		if len(fields) < 3 {
			continue
		}
		from, _ := strconv.ParseUint(string(fields[0]), 10, 64)
		to, _ := strconv.ParseUint(string(fields[1]), 10, 64)
		token, _ := strconv.ParseUint(string(fields[2]), 10, 64)
		isStale := false
		for ra, seen := range bs.highest {
			isStale = isStale || ra[0] <= to && from <= ra[1] && seen > token
		}
		if isStale || !now.Before(until) {
			continue
		}
		bs.highest[[2]uint64{from, to}] = token
		next = append(next, hold{from: from, to: to, token: token, since: now, until: until})
	}
	hasReleased := false
	for _, ho := range bs.holds {
		isKept := false
		for i := range next {
			if next[i].from == ho.from && next[i].to == ho.to && next[i].token == ho.token {
				next[i].since, isKept = ho.since, true
			}
		}
		if isKept {
			continue
		}
		isCovered := false
		for _, ne := range next {
			isCovered = isCovered || ne.from <= ho.from && ho.to <= ne.to
		}
		bs.end(ho, now)
		if !isCovered {
			bs.released = append(bs.released, [3]any{ho.from, ho.to, fmt.Sprintf("%s-%d", bs.id, ho.from)})
			hasReleased = true
		}
	}
	bs.holds = next
	return hasReleased
}

// deregister announces the end of the backend. It reports whether that was acknowledged.
func (bs *backend) deregister() bool {
	an, err := bs.client.Post("http://"+bs.control+wire("instances")+bs.name()+"/deregister", "application/json", nil)
	if err != nil {
		return false
	}
	defer an.Body.Close()
	_, err = io.ReadAll(an.Body)
	return err == nil && an.StatusCode/100 == 2
}

// worksFor returns how long a request takes. Reads are short where the backend takes uploads.
func (bs *backend) worksFor(re *http.Request) time.Duration {
	if re.Method == http.MethodGet && bs.readWork > 0 {
		return bs.readWork
	}
	return bs.work
}

// heldKeys returns the number of keys held now.
func (bs *backend) heldKeys() uint64 {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.expire(time.Now())
	keys := uint64(0)
	for _, ho := range bs.holds {
		keys += ho.to - ho.from + 1
	}
	return keys
}

// stop ends the backend. What it holds then ends too.
func (bs *backend) stop() {
	bs.server.Close()
	bs.mu.Lock()
	defer bs.mu.Unlock()
	now := time.Now()
	bs.expire(now)
	for _, ho := range bs.holds {
		bs.end(ho, now)
	}
	bs.holds = nil
}

func (bs *backend) holdsKey(key uint64) bool {
	now := time.Now()
	for _, ho := range bs.holds {
		if ho.from <= key && key <= ho.to && now.Before(ho.until) {
			return true
		}
	}
	return false
}

// ServeHTTP implements http.Handler.
func (bs *backend) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	bs.mu.Lock()
	load, silence, life := fmt.Sprintf("%d,0,%d,100", bs.running, bs.slots), bs.silence, bs.life
	self := bs.id
	cold := bs.coldRemaining()
	bs.mu.Unlock()
	if silence != nil {
		select {
		case <-silence:
		case <-re.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	wr.Header().Set(wire("load"), load)
	if re.URL.Path == "/health" {
		wr.Header().Set(wire("instance"), self)
		wr.Header().Set(wire("cold"), strconv.FormatInt(cold.Milliseconds(), 10))
		return
	}
	id := re.Header.Get("X-Request-Id")
	wr.Header().Set("X-Request-Id", id)
	if want := re.Header.Get(wire("expected")); want != "" && want != self {
		wr.Header().Set(wire("instance"), self)
		wr.Header().Set(wire("notRun"), "1")
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	key, _ := strconv.ParseUint(re.Header.Get(wire("shardKey")), 10, 64)
	if _, err := io.ReadAll(re.Body); err != nil {
		return
	}
	bs.mu.Lock()
	switch {
	case bs.isSharded && !bs.holdsKey(key):
		bs.mu.Unlock()
		wr.Header().Set(wire("notRun"), "1")
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	case bs.running >= 4*bs.slots:
		bs.mu.Unlock()
		wr.Header().Set(wire("notRun"), "1")
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	bs.running++
	bs.mu.Unlock()
	bs.rec.ran(run{id: id, backend: self, service: bs.service, key: key, at: time.Now()})
	if bs.crashPath != "" && re.URL.Path == bs.crashPath {
		time.Sleep(bs.work / 10)
		bs.crash(crashedFor)
	}
	select {
	case <-time.After(bs.worksFor(re)):
	case <-re.Context().Done():
	}
	bs.mu.Lock()
	isGone := bs.life != life
	if !isGone {
		bs.running--
	}
	bs.mu.Unlock()
	if isGone {
		panic(http.ErrAbortHandler)
	}
	wr.Header().Set(wire("signature"), self+"."+id)
	_, _ = io.WriteString(wr, "ran "+id)
}
