package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

const (
	// maxRetries is how many retries of a request that crashes backends may reach
	// backends, once it has crashed the third and contact has passed.
	maxRetries = 3
	// retrySpan is for how long the request comes again after each restart, every
	// retryInterval at another machine.
	retrySpan     = 9 * time.Second
	retryInterval = 250 * time.Millisecond
)

// crasher lets a request that crashes each backend which runs it come again and again.
// With trouble, the processes of the machines are stopped and started in turn.
func crasher(wo *world, isTroubled bool) (verdict, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := wo.startFleet(ctx, plainService, fleetSize); err != nil {
		return verdict{}, err
	}
	var crashes, counted []time.Time
	sent := 0
	// again sends the request at one machine after the other until span has passed.
	again := func(span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(retryInterval) {
			mc := wo.machines[sent%len(wo.machines)]
			sent++
			rs := wo.send(mc, "GET", "/browse/poison?crash=1", -1, 2*time.Second)
			runs := wo.rec.runs(rs.id)
			if len(runs) > 0 && len(crashes) >= 3 && rs.sentAt.After(crashes[2].Add(contact)) && wo.areInTouch(runs) {
				counted = append(counted, rs.sentAt)
			}
			for _, ar := range runs {
				crashes = append(crashes, ar.at)
			}
		}
	}
	again(retrySpan)
	for _, mc := range wo.machines {
		if isTroubled {
			wo.rec.line("planned stop and start of %s", mc.name)
			wo.signal(mc, syscall.SIGTERM)
			wo.awaitExit(mc)
			time.Sleep(500 * time.Millisecond)
			if err := wo.startProcess(mc); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(contact + 500*time.Millisecond)
		again(retrySpan)
	}
	text := fmt.Sprintf("the request was sent %d times and crashed %d backends; %d of its retries reached backends later than %v after the third crash, from machines in touch",
		sent, len(crashes), len(counted), contact)
	return verdict{isBroken: len(counted) > maxRetries, text: text}, nil
}

// areInTouch reports whether the processes of all machines whose backends ran a request
// had been running for contact before.
func (wo *world) areInTouch(runs []arrival) bool {
	for _, ar := range runs {
		for _, mc := range wo.machines {
			if mc.ip == ar.ip && ar.at.Sub(mc.startedAt) < contact {
				return false
			}
		}
	}
	return true
}
