package main

import (
	"context"
	"time"
)

// How many machines the cases start, with backends of one service.
const (
	fleetSize    = 6
	shardedFleet = 9
)

// startFleet starts that many machines with backends of one service, one after another over the
// zones, and their processes, and waits until they serve.
func (wo *world) startFleet(ctx context.Context, service string, count int) error {
	wo.count = count
	for i := range count {
		if _, err := wo.addMachine(wo.zones[i%len(wo.zones)], service); err != nil {
			return err
		}
	}
	for _, mc := range wo.machines {
		if err := wo.startProcess(mc); err != nil {
			return err
		}
	}
	wo.probe(ctx)
	return wo.awaitServing(30 * time.Second)
}
