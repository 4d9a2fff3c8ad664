package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// serveSpan is how long a backend serves after its deregistration, drainS and a
	// little more. terminateAfter is how long after its end the process beside it gets
	// SIGTERM.
	serveSpan      = drainBound + 700*time.Millisecond
	terminateAfter = 200 * time.Millisecond
	// stopCallers is how many clients the machine has.
	stopCallers = 8
)

// stopEarly takes a machine away: its backend deregisters, serves on and ends, and the
// process beside it gets SIGTERM. With trouble, a rolling restart stops and starts that
// process once in between.
func stopEarly(wo *world, isTroubled bool) (verdict, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := wo.startFleet(ctx, plainService, fleetSize); err != nil {
		return verdict{}, err
	}
	mc := wo.machines[1]
	var (
		load     sync.WaitGroup
		mu       sync.Mutex
		results  []result
		hasEnded atomic.Bool
	)
	// Clients send requests as long as the machine is in.
	for range stopCallers {
		load.Add(1)
		go func() {
			defer load.Done()
			for !hasEnded.Load() {
				if !mc.in() {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				rs := wo.send(mc, "GET", "/browse/x?ms=640", -1, 6*time.Second)
				mu.Lock()
				results = append(results, rs)
				mu.Unlock()
				if rs.err != nil || rs.status != http.StatusOK {
					time.Sleep(200 * time.Millisecond)
				}
			}
		}()
	}
	defer load.Wait()
	defer hasEnded.Store(true)
	time.Sleep(2 * time.Second)
	be := mc.backend()
	be.silence()
	if status, _ := be.post(ctx, "deregister", []byte("{}")); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the deregistration was answered with status %d", status)
	}
	wo.rec.line("the deregistration of backend %s was acknowledged", be.id)
	leftAt := time.Now()
	if isTroubled {
		wo.rec.line("rolling restart: planned stop and start of %s", mc.name)
		wo.signal(mc, syscall.SIGTERM)
		if !wo.awaitExit(mc) {
			return verdict{}, fmt.Errorf("the first planned stop took longer than %v", grace)
		}
		if err := wo.startProcess(mc); err != nil {
			return verdict{}, err
		}
		leftAt = time.Now()
	}
	time.Sleep(time.Until(leftAt.Add(serveSpan - terminateAfter)))
	be.end()
	wo.rec.line("backend %s has ended", be.id)
	time.Sleep(terminateAfter)
	stoppedAt := time.Now()
	wo.signal(mc, syscall.SIGTERM)
	endedInTime := wo.awaitExit(mc)
	hasEnded.Store(true)
	load.Wait()
	lost := 0
	for _, rs := range results {
		isLost := rs.err != nil && rs.endedAt.After(stoppedAt) && rs.endedAt.Before(stoppedAt.Add(grace+time.Second))
		if isLost && wo.rec.isAtWork(rs.id, be.id, rs.endedAt) {
			wo.rec.line("lost: %v", rs)
			lost++
		}
	}
	text := fmt.Sprintf("%d of %d requests ended without an answer after the SIGTERM though a backend was at work on them; exit status of the process %d, in time: %v",
		lost, len(results), mc.exitCode(), endedInTime)
	if _, panicked, ok := strings.Cut(wo.logOf(mc), "panic: "); ok {
		line, _, _ := strings.Cut(panicked, "\n")
		text += "; it wrote: panic: " + line
	}
	return verdict{isBroken: lost > 0, text: text}, nil
}

// isAtWork reports whether a backend other than the given one ran the request at a time.
func (rec *recorder) isAtWork(id, except string, at time.Time) bool {
	for _, ar := range rec.runs(id) {
		if ar.backend != except && ar.at.Before(at) && (ar.endedAt.IsZero() || ar.endedAt.After(at)) {
			return true
		}
	}
	return false
}
