package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// overlapBound is how long two backends may hold the same keys.
const overlapBound = 500 * time.Millisecond

// overlap watches the holds of all backends.
type overlap struct {
	since   map[string]time.Time
	longest time.Duration
	text    string
}

// watch records how long two backends have held the same keys without a break.
func (ov *overlap) watch(wo *world) {
	now := time.Now()
	seen := map[string]bool{}
	for i, le := range wo.machines {
		for _, ri := range wo.machines[i+1:] {
			for _, a := range le.backend().live() {
				for _, b := range ri.backend().live() {
					if a.from > b.to || b.from > a.to {
						continue
					}
					name := fmt.Sprintf("keys %d to %d at %s (fence %d) and %s (fence %d)", max(a.from, b.from), min(a.to, b.to), le.backend().id, a.fence, ri.backend().id, b.fence)
					seen[name] = true
					if ov.since[name].IsZero() {
						ov.since[name] = now
						wo.rec.line("two backends hold %s", name)
					}
					if span := now.Sub(ov.since[name]); span > ov.longest {
						ov.longest, ov.text = span, name
					}
				}
			}
		}
	}
	for name := range ov.since {
		if !seen[name] {
			wo.rec.line("two backends no longer hold %s", name)
			delete(ov.since, name)
		}
	}
}

// writer lets another writer send one heartbeat without an address to one machine.
func writer(wo *world, isTroubled bool) (verdict, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := wo.startFleet(ctx, shardedService, shardedFleet); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	mc := wo.machines[1]
	if isTroubled {
		body, err := json.Marshal(map[string]any{
			"born": time.Now().UnixMilli(), "info": map[string]any{"service": shardedService, "version": "v1", "zone": mc.zone, "slots": slots},
			"status": map[string]any{"state": "draining", "seq": 1, names["coldField"]: 0}, "holds": []any{}, "freed": []any{},
		})
		if err != nil {
			return verdict{}, err
		}
		status, answer := postControl(ctx, http.DefaultClient, mc.address(controlPort), "w-1", "heartbeat", body)
		wo.rec.line("another writer's heartbeat to %s: status %d, answer of %d bytes", mc.name, status, len(answer))
	}
	ov := &overlap{since: map[string]time.Time{}}
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		ov.watch(wo)
	}
	held := 0
	for _, ho := range mc.backend().live() {
		held += int(ho.to - ho.from + 1)
	}
	text := fmt.Sprintf("two backends that are up held the same keys for %.2f s at most: %s; at the end the backend of %s holds %d keys", ov.longest.Seconds(), ov.text, mc.name, held)
	return verdict{isBroken: ov.longest > overlapBound, text: text}, nil
}
