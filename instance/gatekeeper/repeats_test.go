package gatekeeper

import (
	"context"
	"sync"
	"testing"
	"time"

	"cornellanding.example/standin/emulator"
	"github.com/matryer/is"
)

// TestRepeatShareCountsRunningRepeats: an original, a repeat and an order run at once.
func TestRepeatShareCountsRunningRepeats(t *testing.T) {
	is := is.New(t)
	ga := newGate(t, emulator.WithServiceTime(300*time.Millisecond))
	sv := ga.pu.View().Services["counter"]
	sv.Limits.Slots, sv.Limits.ColdStartSlots = 3, 3
	ga.pu.View().Services["counter"] = sv
	var wg sync.WaitGroup
	for i, id := range []string{"original", "repeat", "order"} {
		rq := request(id, id)
		rq.Idempotent, rq.RepeatShare = i < 2, float64(i%2)
		wg.Add(1)
		go func() {
			defer wg.Done()
			ga.Forward(context.Background(), rq)
		}()
	}
	time.Sleep(150 * time.Millisecond)
	is.Equal(ga.RepeatShare(), 0.5)
	wg.Wait()
	is.Equal(ga.RepeatShare(), 0.0)
}
