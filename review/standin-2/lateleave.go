package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// lateLeave lets a backend crash and start again under its id. Its first heartbeat arrives late,
// and before that it deregisters. It goes on serving for a while, as the pages say, and then
// exits. The case counts the requests that reach it later than drainS after the acknowledgement.
func lateLeave(rec *record, folder string, hasTrouble bool) (verdict, error) {
	const (
		drainS   = 2 * time.Second
		downFor  = 2500 * time.Millisecond // srv_crash, at most 4.5 s on kadrs-rent
		livesFor = 1500 * time.Millisecond
		late     = 3 * time.Second
		servesOn = 6 * time.Second
	)
	work := func(*http.Request) time.Duration { return 200 * time.Millisecond }
	de, err := deploy(rec, folder, []service{
		{name: "booking", isSharded: true, slots: 6, zones: []string{"riga-a", "riga-b", "riga-c"}, work: work},
		{name: "catalogue", slots: 6, zones: []string{"riga-a", "riga-a", "riga-b", "riga-b", "riga-b", "riga-c", "riga-c"}, work: work},
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
	var ackedAt time.Time
	reached, tooLate, first := 0, 0, ""
	be.arrived = func(be *backend, re *http.Request, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		id := re.Header.Get(wire("requestId"))
		rec.event(entry{Kind: "reached", Backend: be.name, Request: id, At: at})
		if ackedAt.IsZero() {
			return
		}
		reached++
		if after := at.Sub(ackedAt); after > drainS {
			tooLate++
			if first == "" {
				first = fmt.Sprintf("request %s reached it %.3f s after", id, after.Seconds())
			}
		}
	}
	de.configure(1, 1000, []route{
		{Name: "browse", Prefix: "/browse/", Kind: "idempotent", Service: "catalogue", Timeout: 6, Target: 2, Priority: 2},
	})
	if err := de.start(); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	n := atomic.Int64{}
	de.load(52, stop, func() request {
		return request{method: "GET", path: fmt.Sprintf("/browse/%d", n.Add(1)), key: -1, deadline: 6 * time.Second}
	})
	time.Sleep(5 * time.Second)
	id := be.id
	if hasTrouble {
		be.crash()
		time.Sleep(downFor)
		be.path = func(be *backend, sequence uint64, id string, body []byte) ([]byte, error) {
			if sequence > 1 {
				return direct(be, sequence, id, body)
			}
			time.AfterFunc(late, func() {
				slow := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
				_, err := post(slow, "http://"+be.control+wire("root")+"instances/"+id+"/heartbeat", body)
				rec.log("heartbeat 1 of the second run has arrived: error %v", err)
			})
			time.Sleep(replyTimeout)
			return nil, fmt.Errorf("no reply within a second")
		}
		if err := be.start(id); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(livesFor)
	be.mu.Lock()
	be.stopBeats()
	be.mu.Unlock()
	err = de.await(4*time.Second, "the deregistration is acknowledged", func() bool {
		_, err := post(&http.Client{Timeout: time.Second}, "http://"+be.control+wire("root")+"instances/"+id+"/deregister", nil)
		return err == nil
	})
	if err != nil {
		return verdict{}, err
	}
	mu.Lock()
	ackedAt = time.Now()
	mu.Unlock()
	time.Sleep(servesOn)
	be.crash()
	close(stop)
	de.clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	return verdict{isBroken: tooLate > 0, summary: fmt.Sprintf("DRAIN: %d requests reached the leaving backend after the acknowledgement, %d of them later than drainS. %s", reached, tooLate, first)}, nil
}
