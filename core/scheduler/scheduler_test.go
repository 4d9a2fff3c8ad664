package scheduler

import (
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

const ms = timer.Instant(timer.Millisecond)

// TestPlaces guards against a time that is named to more requests than there is room for,
// and against one before there is room or after the caller has given up.
func TestPlaces(t *testing.T) {
	is := is.New(t)
	var sc Schedule
	window := Window{From: 100 * ms, Until: 400 * ms}
	perSlot := map[timer.Instant]int{}
	for fp := range uint64(100) {
		// 80 a second, a quarter of which return: one place each 50 ms.
		if at, ok := sc.Reserve(Place{Fingerprint: fp, Rank: 1, Cost: 1}, window, 80, 0); ok {
			is.True(at >= window.From && at <= window.Until)
			perSlot[at]++
		}
	}
	is.Equal(len(perSlot), 7)
	for _, count := range perSlot {
		is.Equal(count, 1)
	}
	at, ok := sc.Reserve(Place{Fingerprint: 200, Rank: 0, Cost: 1}, window, 80, 0)
	is.True(ok && at == window.From) // a lower rank doesn't wait for higher ones
	_, ok = sc.Reserve(Place{Fingerprint: 201, Rank: 2, Cost: 1}, window, 80, 0)
	is.Equal(ok, false)
	is.Equal(sc.Reserved(1, 0, 200*ms), 3.0)
}

// TestTake guards against a place that is used twice, or long before or after its time.
func TestTake(t *testing.T) {
	is := is.New(t)
	var sc Schedule
	for fp := range uint64(3) {
		_, ok := sc.Reserve(Place{Fingerprint: fp, Cost: 1}, Window{From: 100 * ms, Until: 100 * ms}, 400, 0)
		is.True(ok)
	}
	is.Equal(sc.Take(0, 50*ms), false)
	is.True(sc.Take(0, 90*ms))
	is.Equal(sc.Take(0, 100*ms), false)
	is.True(sc.Take(1, 240*ms))
	is.Equal(sc.Take(2, 260*ms), false)
	is.Equal(sc.Reserved(9, 0, 1000*ms), 0.0)
}
