package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// slashes sends a request whose path, with trouble, begins with two slashes. It is on the
// route with the prefix "/".
func slashes(wo *world, isTroubled bool) (verdict, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := wo.startFleet(ctx, plainService, fleetSize); err != nil {
		return verdict{}, err
	}
	target := "/browse//x?ms=1"
	if isTroubled {
		target = "//browse/x?ms=1"
	}
	rs := wo.send(wo.machines[0], "GET", target, -1, 2*time.Second)
	var changed []string
	for _, ar := range wo.rec.runs(rs.id) {
		if ar.target != target || ar.host != host {
			changed = append(changed, fmt.Sprintf("%s of host %s", ar.target, ar.host))
		}
	}
	text := fmt.Sprintf("%s of host %s was answered with status %d; run changed: %s", target, host, rs.status, strings.Join(changed, ", "))
	return verdict{isBroken: len(changed) > 0, text: text}, nil
}
