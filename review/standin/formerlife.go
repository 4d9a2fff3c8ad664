package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// reuseSpan is the time from the end of a backend to the start of its next life.
	reuseSpan = 2 * time.Second
	// killAfter is how long after an acknowledged heartbeat the process beside the
	// backend is killed, and restartDelay how long it then stays away: the backend's
	// next heartbeat finds no process.
	killAfter    = 900 * time.Millisecond
	restartDelay = 620 * time.Millisecond
)

// formerLife replaces a backend by another life of it at the same address: the first one
// drains, releases its keys, deregisters and ends. Later the process beside it is
// killed and starts again. With trouble, the last heartbeat of the first life arrives
// only then.
func formerLife(wo *world, isTroubled bool) (verdict, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := wo.startFleet(ctx, shardedService, shardedFleet); err != nil {
		return verdict{}, err
	}
	mc := wo.machines[1]
	first := mc.backend()
	first.drain()
	for end := time.Now().Add(8 * time.Second); len(first.live()) > 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return verdict{}, fmt.Errorf("backend %s didn't get rid of its keys", first.id)
		}
	}
	time.Sleep(beatSpan)
	first.silence()
	beat, _ := first.encodeBeat()
	sentAt := time.Now()
	wo.rec.line("backend %s sends its last heartbeat (%s), late: %v", first.id, beat, isTroubled)
	if !isTroubled {
		first.post(ctx, "heartbeat", beat)
	}
	if status, _ := first.post(ctx, "deregister", []byte("{}")); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the deregistration was answered with status %d", status)
	}
	time.Sleep(drainBound)
	first.end()
	wo.rec.line("backend %s has ended", first.id)
	time.Sleep(reuseSpan)
	if err := wo.startBackend(mc, first.id+"-2", 0); err != nil {
		return verdict{}, err
	}
	second := mc.backend()
	if err := wo.awaitServing(15 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	if len(second.live()) == 0 {
		return verdict{}, fmt.Errorf("backend %s got no keys", second.id)
	}
	// The next heartbeat is acknowledged before the process is killed.
	before := second.lastAck()
	for second.lastAck().Equal(before) {
		time.Sleep(5 * time.Millisecond)
	}
	ov := &overlap{since: map[string]time.Time{}}
	ov.watch(wo)
	time.Sleep(killAfter)
	wo.signal(mc, syscall.SIGKILL)
	<-mc.exited
	time.Sleep(restartDelay)
	if err := wo.startProcess(mc); err != nil {
		return verdict{}, err
	}
	if isTroubled {
		go func() {
			for range 20 {
				status, _ := first.post(ctx, "heartbeat", beat)
				if status != 0 {
					wo.rec.line("the last heartbeat of backend %s arrives, %.1f s late: status %d", first.id, time.Since(sentAt).Seconds(), status)
					if status == http.StatusOK {
						return
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		ov.watch(wo)
	}
	text := fmt.Sprintf("two backends that are up held the same keys for %.2f s at most: %s", ov.longest.Seconds(), ov.text)
	return verdict{isBroken: ov.longest > overlapBound, text: text}, nil
}
