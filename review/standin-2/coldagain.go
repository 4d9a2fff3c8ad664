package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// coldAgain lets a backend turn cold while it serves, and counts the requests that it gets in
// any second until it is warm. It says so in its next heartbeat and in its health answers.
func coldAgain(rec *record, folder string, hasTrouble bool) (verdict, error) {
	const (
		coldFor   = 3 * time.Second // coldStartS
		bound     = 6.6*1.5 + 5     // coldPerS x coldOvershoot + coldSlack
		perSecond = 96.0
	)
	lookup := func(*http.Request) time.Duration { return 40 * time.Millisecond }
	de, err := deploy(rec, folder, []service{
		{name: "booking", isSharded: true, slots: 6, zones: []string{"riga-a", "riga-b", "riga-c"}, work: lookup},
		{name: "catalogue", slots: 6, zones: []string{"riga-a", "riga-a", "riga-b", "riga-c"}, work: lookup},
	})
	if err != nil {
		return verdict{}, err
	}
	defer de.close()
	var be *backend
	for _, ma := range de.machines {
		if ma.be.service == "catalogue" && ma.zone == "riga-c" {
			be = ma.be
		}
	}
	var mu sync.Mutex
	var arrivals []time.Time
	be.arrived = func(be *backend, re *http.Request, at time.Time) {
		rec.event(entry{Kind: "reached", Backend: be.name, Request: re.Header.Get(wire("requestId")), At: at})
		be.mu.Lock()
		isCold := at.Before(be.cold)
		be.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		if isCold || !hasTrouble {
			arrivals = append(arrivals, at)
		}
	}
	de.configure(1, 1000, []route{
		{Name: "lookup", Prefix: "/lookup/", Kind: "idempotent", Service: "catalogue", Timeout: 0.5, Target: 0.15, Priority: 1},
	})
	if err := de.start(); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	n := atomic.Int64{}
	de.load(perSecond, stop, func() request {
		return request{method: "GET", path: fmt.Sprintf("/lookup/%d", n.Add(1)), key: -1, deadline: 500 * time.Millisecond}
	})
	time.Sleep(8 * time.Second)
	be.mu.Lock()
	last := be.beatAt
	be.mu.Unlock()
	if err := de.await(4*time.Second, "a heartbeat was sent", func() bool {
		be.mu.Lock()
		defer be.mu.Unlock()
		return be.beatAt != last
	}); err != nil {
		return verdict{}, err
	}
	mu.Lock()
	arrivals = nil
	mu.Unlock()
	if hasTrouble {
		time.Sleep(100 * time.Millisecond)
		be.mu.Lock()
		be.cold = time.Now().Add(coldFor)
		be.mu.Unlock()
		rec.log("backend %s (%s) turns cold", be.name, be.id)
	}
	time.Sleep(coldFor + 500*time.Millisecond)
	close(stop)
	de.clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	most := 0
	for i, at := range arrivals {
		count := 0
		for _, other := range arrivals[i:] {
			if other.Sub(at) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	if !hasTrouble {
		return verdict{summary: fmt.Sprintf("FAILBACK: the backend was warm all the time and got up to %d requests in one second", most)}, nil
	}
	return verdict{isBroken: float64(most) > bound, summary: fmt.Sprintf("FAILBACK: the cold backend got %d requests in one second; allowed are %.1f", most, bound)}, nil
}
