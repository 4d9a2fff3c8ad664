package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// evacuation takes a zone out while one of its backends is slow, and looks for requests that
// reach a backend of the zone later than evacuateS after that.
func evacuation(rec *record, folder string, hasTrouble bool) (verdict, error) {
	const (
		evacuateS = 5 * time.Second
		slowBy    = 12.0 // srv_slow, at most 12 on kadrs-rent-grown
		slowFor   = 9 * time.Second
		slowLead  = 2000 * time.Millisecond
		meanWork  = 640.0
		zone      = "riga-a"
	)
	var isSlow atomic.Bool
	var de *deployment
	find := func(re *http.Request) *backend {
		for _, ma := range de.machines {
			if re.Context().Value(http.LocalAddrContextKey).(interface{ String() string }).String() == ma.be.address {
				return ma.be
			}
		}
		return nil
	}
	browse := func(re *http.Request) time.Duration {
		ms := meanWork * (0.8 + 0.4*rand.Float64())
		if isSlow.Load() && find(re).zone == zone {
			ms *= slowBy
		}
		return time.Duration(ms * float64(time.Millisecond))
	}
	quick := func(*http.Request) time.Duration { return 20 * time.Millisecond }
	de, err := deploy(rec, folder, []service{
		{name: "booking", isSharded: true, slots: 6, zones: []string{"riga-a", "riga-b", "riga-c"}, work: quick},
		{name: "catalogue", slots: 6, zones: []string{"riga-a", "riga-a", "riga-b", "riga-b", "riga-c"}, work: browse},
	})
	if err != nil {
		return verdict{}, err
	}
	defer de.close()
	var mu sync.Mutex
	var ackedAt time.Time
	late, reached := 0, 0
	first := ""
	for _, ma := range de.machines {
		ma.be.arrived = func(be *backend, re *http.Request, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			id := re.Header.Get(wire("requestId"))
			rec.event(entry{Kind: "reached", Backend: be.name, Request: id, At: at})
			if be.zone != zone || ackedAt.IsZero() {
				return
			}
			reached++
			if after := at.Sub(ackedAt); after > evacuateS {
				late++
				if first == "" {
					first = fmt.Sprintf("request %s reached %s %.3f s after the acknowledgement", id, be.name, after.Seconds())
				}
			}
		}
	}
	de.configure(1, 1000, []route{
		{Name: "browse", Prefix: "/browse/", Kind: "idempotent", Service: "catalogue", Timeout: 8, Target: 2.5, Priority: 2},
		{Name: "check", Prefix: "/check/", Kind: "idempotent", Service: "booking", Timeout: 1.5, Target: 0.5, Priority: 2},
	})
	if err := de.start(); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	n := atomic.Int64{}
	de.load(40, stop, func() request {
		return request{method: "GET", path: fmt.Sprintf("/browse/%d", n.Add(1)), key: -1, deadline: 15 * time.Second}
	})
	time.Sleep(8 * time.Second)
	if hasTrouble {
		isSlow.Store(true)
		rec.log("the catalogue's backends in %s turn slow", zone)
		time.AfterFunc(slowFor, func() { isSlow.Store(false) })
	}
	time.Sleep(slowLead)
	mu.Lock()
	ackedAt = de.st.put("op", "evacuate/"+zone, []byte("{}"))
	rec.log("evacuation of %s acknowledged", zone)
	mu.Unlock()
	time.Sleep(evacuateS + 3*time.Second)
	close(stop)
	de.clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	ve := verdict{isBroken: late > 0, summary: fmt.Sprintf("EVAC: %d requests reached backends of the zone after the acknowledgement, %d of them later than evacuateS. %s", reached, late, first)}
	return ve, nil
}
