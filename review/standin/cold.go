package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// The bound on a cold backend, of the deployment's settings and configuration.
const (
	coldSpan  = 3 * time.Second
	coldBound = 6.6*1.5 + 5
	// perBackend is the rate at which clients send requests, for each backend.
	perBackend = 30
)

// cold makes one backend cold again while it serves, right after a heartbeat.
func cold(wo *world, isTroubled bool) (verdict, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := wo.startFleet(ctx, plainService, fleetSize); err != nil {
		return verdict{}, err
	}
	time.Sleep(coldSpan)
	var load sync.WaitGroup
	defer load.Wait()
	defer cancel()
	for _, mc := range wo.machines {
		load.Add(1)
		go func() {
			defer load.Done()
			ticker := time.NewTicker(time.Second / perBackend)
			defer ticker.Stop()
			for ctx.Err() == nil {
				<-ticker.C
				load.Add(1)
				go func() {
					defer load.Done()
					wo.send(mc, "GET", "/browse/x?ms=100", -1, 2*time.Second)
				}()
			}
		}()
	}
	time.Sleep(4 * time.Second)
	be := wo.machines[1].backend()
	before := be.lastAck()
	for be.lastAck().Equal(before) {
		time.Sleep(5 * time.Millisecond)
	}
	coldAt := time.Now()
	if isTroubled {
		be.chill(coldSpan)
	}
	time.Sleep(coldSpan + time.Second)
	most := wo.rec.mostInASecond(be.id, coldAt, coldAt.Add(coldSpan))
	text := fmt.Sprintf("%d requests reached backend %s in one second of the %v in which it was cold (%v); the bound is %.1f", most, be.id, coldSpan, isTroubled, coldBound)
	return verdict{isBroken: isTroubled && float64(most) > coldBound, text: text}, nil
}

// mostInASecond returns the most arrivals at a backend within one second of a period.
func (rec *recorder) mostInASecond(backend string, from, to time.Time) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var times []time.Time
	for _, list := range rec.arrivals {
		for _, ar := range list {
			if ar.backend == backend && ar.at.After(from) && ar.at.Before(to) {
				times = append(times, ar.at)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
