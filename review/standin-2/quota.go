package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// quota lets a tenant press from all machines of a grown deployment while the machine that keeps
// its token bucket is dark, and counts its requests that run in any quotaWindowS.
func quota(rec *record, folder string, hasTrouble bool) (verdict, error) {
	const (
		rate, burst = 7.0, 7.0
		window      = 5 * time.Second             // quotaWindowS
		bound       = (rate*5+burst)*(1+0.1) + 20 // quotaOvershoot, quotaSlack
		usual       = rate / 1.6                  // quota_x of the site
		pressing    = usual * 7.5                 // hot_tenant, at most 7.5 on the site
		pressFor    = 6500 * time.Millisecond     // and 6.5 s
		darkFor     = 3500 * time.Millisecond     // node_kill with power, at most 3.5 s
	)
	var zones []string
	for i := range 68 {
		zones = append(zones, []string{"riga-a", "riga-b", "riga-c", "riga-d"}[i%4])
	}
	quick := func(*http.Request) time.Duration { return 5 * time.Millisecond }
	de, err := deploy(rec, folder, []service{{name: "catalogue", slots: 6, zones: zones, work: quick}})
	if err != nil {
		return verdict{}, err
	}
	defer de.close()
	de.isEven = true
	var mu sync.Mutex
	var runs []time.Time
	for _, ma := range de.machines {
		ma.be.arrived = func(be *backend, re *http.Request, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			runs = append(runs, at)
		}
	}
	de.configure(1, rate, []route{{Name: "browse", Prefix: "/browse/", Kind: "idempotent", Service: "catalogue", Timeout: 2, Target: 1, Priority: 2}})
	if err := de.start(); err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second)
	n := atomic.Int64{}
	next := func() request {
		return request{method: "GET", path: fmt.Sprintf("/browse/%d", n.Add(1)), key: -1, deadline: 2 * time.Second}
	}
	stop := make(chan struct{})
	de.load(usual, stop, next)
	time.Sleep(6 * time.Second)
	close(stop)
	press := make(chan struct{})
	de.load(pressing, press, next)
	home := de.homeOf(tenantName)
	time.Sleep(300 * time.Millisecond)
	if hasTrouble {
		home.be.crash()
		de.killProcess(home)
		rec.log("%s, which keeps the tenant's bucket, is dark", home.name)
		time.Sleep(darkFor)
		if err := home.be.start("i-again"); err != nil {
			return verdict{}, err
		}
		if err := de.startProcess(home); err != nil {
			return verdict{}, err
		}
	} else {
		time.Sleep(darkFor)
	}
	time.Sleep(pressFor - darkFor)
	close(press)
	de.clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	most := 0
	for i, at := range runs {
		count := 0
		for _, other := range runs[i:] {
			if other.Sub(at) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return verdict{isBroken: float64(most) > bound, summary: fmt.Sprintf("QUOTA: up to %d requests of the tenant ran in 5 s; allowed are %.0f", most, bound)}, nil
}
