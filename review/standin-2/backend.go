package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	replyTimeout   = time.Second
	maxReplyBytes  = 4096
	releasePause   = 80 * time.Millisecond
	queuedPerSlot  = 4
	handoverPrefix = "h"
)

// hold is a range of keys that a backend holds until a time.
type hold struct {
	from, to, fence uint64
	until           time.Time
}

// backend is one backend server of the deployment. It sends its heartbeats one after the other
// to the instance on its machine.
type backend struct {
	rec       *record
	name      string
	service   string
	zone      string
	address   string
	control   string
	isSharded bool
	slots     int
	interval  time.Duration
	// work returns how long a request runs.
	work func(re *http.Request) time.Duration
	// path carries a heartbeat to the instance and returns its reply. It is replaced by cases
	// in which a heartbeat arrives late.
	path func(be *backend, sequence uint64, id string, body []byte) ([]byte, error)
	// arrived is called for each request that reaches the backend and gets no 421.
	arrived func(be *backend, re *http.Request, at time.Time)

	mu       sync.Mutex
	id       string
	born     int64
	sequence uint64
	state    string
	cold     time.Time
	holds    []hold
	freed    [][3]any
	fences   map[uint64]uint64
	running  int
	waiting  int
	free     chan struct{}
	stop     chan struct{}
	server   *http.Server
	client   *http.Client
	// beatAt and nextBeatAt are when the latest heartbeat was sent and when the next is due.
	beatAt     time.Time
	nextBeatAt time.Time
	isSilent   bool
}

// start begins a run of the backend under an id.
func (be *backend) start(id string) error {
	listener, err := net.Listen("tcp", be.address)
	if err != nil {
		return err
	}
	be.mu.Lock()
	be.id, be.born, be.sequence, be.state = id, time.Now().UnixMilli(), 0, "ready"
	be.holds, be.freed, be.fences = nil, [][3]any{}, map[uint64]uint64{}
	be.isSilent = false
	be.running, be.waiting, be.free = 0, 0, make(chan struct{}, 4096)
	be.stop = make(chan struct{})
	be.client = &http.Client{Transport: &http.Transport{}, Timeout: replyTimeout}
	be.server = &http.Server{Handler: be}
	stop, server := be.stop, be.server
	be.mu.Unlock()
	go server.Serve(listener)
	be.rec.log("backend %s starts as %s", be.name, id)
	if be.control != "" {
		go be.beat(stop)
	}
	return nil
}

// crash ends the run without a word.
func (be *backend) crash() {
	be.mu.Lock()
	defer be.mu.Unlock()
	if be.stop == nil {
		return
	}
	close(be.stop)
	be.stop = nil
	be.holds = nil
	be.server.Close()
	be.rec.log("backend %s (%s) ends", be.name, be.id)
}

// stopBeats makes the backend send no more heartbeats in this run: it holds no keys, and has
// said that it leaves. The lock must be held.
func (be *backend) stopBeats() { be.isSilent = true }

// beat sends heartbeats until the run ends.
func (be *backend) beat(stop chan struct{}) {
	for {
		be.mu.Lock()
		isSilent := be.isSilent
		be.mu.Unlock()
		if isSilent {
			return
		}
		// "Approximately every heartbeatS".
		pause := time.Duration(float64(be.interval) * (0.95 + 0.1*rand.Float64()))
		if be.sendBeat(stop) {
			pause = releasePause
		}
		be.mu.Lock()
		be.nextBeatAt = time.Now().Add(pause)
		be.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

// sendBeat sends one heartbeat and applies the reply. It reports whether keys were released.
func (be *backend) sendBeat(stop chan struct{}) bool {
	sentAt := time.Now()
	body, sequence, id, freed := be.encode(sentAt)
	content, err := be.path(be, sequence, id, body)
	select {
	case <-stop:
		return false
	default:
	}
	if err != nil || time.Since(sentAt) > replyTimeout || len(content) > maxReplyBytes {
		be.rec.log("heartbeat %d of %s (%s) not acknowledged: %v", sequence, be.name, id, err)
		return false
	}
	return be.apply(content, sentAt, freed)
}

func (be *backend) encode(now time.Time) ([]byte, uint64, string, int) {
	be.mu.Lock()
	defer be.mu.Unlock()
	be.sequence++
	be.beatAt = now
	body := map[string]any{
		"address": be.address, "born": be.born,
		"info":   map[string]any{"service": be.service, "version": "v1", "zone": be.zone, "slots": be.slots},
		"status": map[string]any{"state": be.state, "seq": be.sequence, wire("cold"): max(0, be.cold.Sub(now).Seconds())},
	}
	if be.isSharded {
		holds := [][3]uint64{}
		for _, ho := range be.holds {
			if now.Before(ho.until) {
				holds = append(holds, [3]uint64{ho.from, ho.to, ho.fence})
			}
		}
		body["holds"], body["freed"] = holds, be.freed
	}
	content, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return content, be.sequence, be.id, len(be.freed)
}

// direct is the usual path of a heartbeat.
func direct(be *backend, _ uint64, id string, body []byte) ([]byte, error) {
	return post(be.client, "http://"+be.control+wire("root")+"instances/"+id+"/heartbeat", body)
}

func post(client *http.Client, url string, body []byte) ([]byte, error) {
	answer, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxReplyBytes+1))
	if err == nil && (answer.StatusCode < 200 || answer.StatusCode > 299) {
		err = fmt.Errorf("status %d", answer.StatusCode)
	}
	return content, err
}

// apply adopts the holds of a reply, and releases what the reply leaves out.
func (be *backend) apply(content []byte, sentAt time.Time, freed int) bool {
	var fields map[string]json.RawMessage
	var rows [][]json.RawMessage
	var term float64
	if json.Unmarshal(content, &fields) != nil {
		return false
	}
	isRenewal := json.Unmarshal(fields["holds"], &rows) == nil && json.Unmarshal(fields[wire("holdTerm")], &term) == nil
	be.mu.Lock()
	defer be.mu.Unlock()
	be.freed = be.freed[freed:]
	if !isRenewal {
		return false
	}
	until := sentAt.Add(time.Duration(term * float64(time.Second)))
	now := time.Now()
	var next []hold
	for _, row := range rows {
		from, _ := strconv.ParseUint(string(row[0]), 10, 64)
		to, _ := strconv.ParseUint(string(row[1]), 10, 64)
		fence, _ := strconv.ParseUint(string(row[2]), 10, 64)
		if fence < be.fences[from] {
			be.rec.log("backend %s refuses keys %d-%d: fence %d after %d", be.name, from, to, fence, be.fences[from])
			continue
		}
		be.fences[from] = fence
		next = append(next, hold{from: from, to: to, fence: fence, until: until})
	}
	hasReleased := false
	for _, ho := range be.holds {
		if !now.Before(ho.until) {
			continue
		}
		isKept := false
		for _, ne := range next {
			isKept = isKept || ne.from <= ho.from && ho.to <= ne.to
		}
		if !isKept {
			be.freed = append(be.freed, [3]any{ho.from, ho.to, fmt.Sprintf("%s%x", handoverPrefix, ho.from)})
			hasReleased = true
		}
	}
	be.holds = next
	return hasReleased
}

// held returns the ranges that the backend holds at now.
func (be *backend) held(now time.Time) []hold {
	be.mu.Lock()
	defer be.mu.Unlock()
	var held []hold
	for _, ho := range be.holds {
		if now.Before(ho.until) {
			held = append(held, ho)
		}
	}
	return held
}

func (be *backend) holdsKey(key uint64, now time.Time) bool {
	for _, ho := range be.holds {
		if key >= ho.from && key <= ho.to && now.Before(ho.until) {
			return true
		}
	}
	return false
}

// ServeHTTP runs a request as PROTOCOL.md says.
func (be *backend) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	now := time.Now()
	rid := re.Header.Get(wire("requestId"))
	wr.Header().Set(wire("requestId"), rid)
	wr.Header().Set(wire("instance"), be.id)
	if re.URL.Path == "/health" {
		be.answerHealth(wr, now)
		return
	}
	key, _ := strconv.ParseUint(re.Header.Get(wire("key")), 10, 64)
	be.mu.Lock()
	expected := re.Header.Get(wire("expected"))
	if expected != "" && expected != be.id || be.isSharded && !be.holdsKey(key, now) {
		be.mu.Unlock()
		refuse(wr, http.StatusMisdirectedRequest)
		return
	}
	be.mu.Unlock()
	if be.arrived != nil {
		be.arrived(be, re, now)
	}
	ms, _ := strconv.Atoi(re.Header.Get(wire("deadline")))
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	if !be.takeSlot(re, deadline.C) {
		refuse(wr, http.StatusServiceUnavailable)
		return
	}
	defer be.giveSlot()
	be.rec.event(entry{Kind: "run", Backend: be.name, Instance: be.id, Request: rid, At: time.Now()})
	status := http.StatusOK
	select {
	case <-time.After(be.work(re)):
	case <-deadline.C:
		status = http.StatusGatewayTimeout
	case <-re.Context().Done():
		return
	}
	wr.Header().Set(wire("signature"), be.id+"."+rid)
	wr.WriteHeader(status)
	fmt.Fprintf(wr, "ran %s", rid)
}

// answerHealth says how the backend is, and how much longer it is cold.
func (be *backend) answerHealth(wr http.ResponseWriter, now time.Time) {
	be.mu.Lock()
	defer be.mu.Unlock()
	wr.Header().Set(wire("load"), fmt.Sprintf("%d,%d,%d", be.running, be.waiting, be.slots))
	wr.Header().Set(wire("coldLeft"), fmt.Sprint(max(0, be.cold.Sub(now).Milliseconds())))
}

func refuse(wr http.ResponseWriter, status int) {
	wr.Header().Set(wire("notRun"), "1")
	wr.WriteHeader(status)
}

// takeSlot waits for a slot. It returns false if the queue is full or the time is over.
func (be *backend) takeSlot(re *http.Request, deadline <-chan time.Time) bool {
	be.mu.Lock()
	if be.running < be.slots {
		be.running++
		be.mu.Unlock()
		return true
	}
	if be.waiting >= queuedPerSlot*be.slots {
		be.mu.Unlock()
		return false
	}
	be.waiting++
	free := be.free
	be.mu.Unlock()
	select {
	case <-free:
		return true
	case <-deadline:
	case <-re.Context().Done():
	}
	be.mu.Lock()
	be.waiting--
	be.mu.Unlock()
	return false
}

func (be *backend) giveSlot() {
	be.mu.Lock()
	defer be.mu.Unlock()
	if be.waiting > 0 {
		be.waiting--
		be.free <- struct{}{}
		return
	}
	be.running--
}
