package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// lateBy is how long after the new process of its machine started the late heartbeat
// arrives: by then the machine is in touch again.
const lateBy = contact + 200*time.Millisecond

// leaving lets a backend deregister, as one does that never reports draining, and then
// restarts the process beside it. With trouble, a heartbeat that the backend sent before
// its deregistration arrives some seconds late.
func leaving(wo *world, isTroubled bool) (verdict, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := wo.startFleet(ctx, plainService, fleetSize); err != nil {
		return verdict{}, err
	}
	var load sync.WaitGroup
	defer load.Wait()
	defer cancel()
	for _, mc := range wo.machines {
		load.Add(1)
		go func() {
			defer load.Done()
			for ctx.Err() == nil {
				if mc.in() {
					wo.send(mc, "GET", "/browse/x?ms=50", -1, 2*time.Second)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	mc := wo.machines[1]
	be := mc.backend()
	be.silence()
	beat, _ := be.encodeBeat()
	wo.rec.line("backend %s sends a heartbeat, late: %v", be.id, isTroubled)
	if !isTroubled {
		if status, _ := be.post(ctx, "heartbeat", beat); status != http.StatusOK {
			return verdict{}, fmt.Errorf("the heartbeat was answered with status %d", status)
		}
	}
	if status, _ := be.post(ctx, "deregister", []byte("{}")); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the deregistration was answered with status %d", status)
	}
	ackedAt := time.Now()
	wo.rec.line("the deregistration of backend %s was acknowledged; it serves for some more seconds", be.id)
	wo.signal(mc, syscall.SIGTERM)
	if !wo.awaitExit(mc) {
		return verdict{}, fmt.Errorf("the planned stop took longer than %v", grace)
	}
	if err := wo.startProcess(mc); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Until(mc.startedAt.Add(lateBy)))
	if isTroubled {
		status, _ := be.post(ctx, "heartbeat", beat)
		wo.rec.line("the late heartbeat of backend %s arrives, %.1f s after it was sent: status %d", be.id, time.Since(ackedAt).Seconds(), status)
	}
	time.Sleep(4 * time.Second)
	inTouchAt := mc.startedAt.Add(contact)
	wo.rec.line("backend %s ends", be.id)
	be.end()
	count, latest := wo.rec.arrivalsAt(be.id, maxTime(ackedAt.Add(drainBound), inTouchAt))
	text := fmt.Sprintf("%d requests from machines in touch reached backend %s later than %v after the acknowledgement", count, be.id, drainBound)
	if count > 0 {
		text += fmt.Sprintf(", the last one %.1f s after it", latest.Sub(ackedAt).Seconds())
	}
	return verdict{isBroken: count > 0, text: text}, nil
}

func maxTime(le, ri time.Time) time.Time {
	if le.After(ri) {
		return le
	}
	return ri
}
