package pacer

import (
	"slices"
	"testing"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/timer"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testBound = Bound{PerS: 6.6, Overshoot: 1.5, Slack: 5}

const testMost = 14

// mostInSecond returns the highest number of starts in any second.
func mostInSecond(starts []timer.Instant) int {
	most, first := 0, 0
	for i, at := range starts {
		for at.Sub(starts[first]) >= timer.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdBoundHolds guards against more requests in a second than the bound allows on a
// server that is cold, whatever its responses, over changes between cold and warm and
// restarts of the gate, which a steady rate bears without counting them.
func TestColdBoundHolds(t *testing.T) {
	t.Run("adaptive", rapid.MakeCheck(func(t *rapid.T) {
		checkColdBound(t, func(now timer.Instant) *Pacer { return NewPacer(testBound, now) }, true)
	}))
	t.Run("steady", rapid.MakeCheck(func(t *rapid.T) {
		checkColdBound(t, func(timer.Instant) *Pacer { return NewSteady(testBound) }, false)
	}))
}

func checkColdBound(t *rapid.T, newPacer func(now timer.Instant) *Pacer, hasRestarts bool) {
	now := timer.Instant(100 * timer.Second)
	pa := newPacer(now)
	var cold []timer.Instant
	isCold := true
	for range rapid.IntRange(1, 400).Draw(t, "steps") {
		now = now.Add(timer.Span(rapid.IntRange(0, 80).Draw(t, "gap")) * timer.Millisecond)
		switch rapid.IntRange(0, 30).Draw(t, "event") {
		case 0:
			if hasRestarts {
				pa = newPacer(now)
			}
		case 1:
			isCold = !isCold
			cold = nil // what started on a warm server doesn't count against the bound
		case 2:
			pa.Overload()
		case 3, 4, 5:
			pa.Finish(timer.Span(rapid.IntRange(1, 500).Draw(t, "latency"))*timer.Millisecond, 100*timer.Millisecond)
		default:
			if !isCold {
				pa.Start(now)
			} else if pa.Allows(now) {
				pa.Start(now)
				cold = append(cold, now)
			} else if next := pa.NextAt(now); next <= now {
				t.Fatalf("next start at %d, not after %d", next, now)
			}
		}
		if most := mostInSecond(cold); most > testMost {
			t.Fatalf("%d starts in a second", most)
		}
	}
}

// TestColdBoundCountsFormerStarts guards against a burst on a server that has turned cold
// just after many starts.
func TestColdBoundCountsFormerStarts(t *testing.T) {
	is := is.New(t)
	now := timer.Instant(100 * timer.Second)
	pa := NewPacer(testBound, now)
	now = now.Add(2 * timer.Second)
	for range 30 {
		now = now.Add(33 * timer.Millisecond)
		pa.Start(now)
	}
	is.True(!pa.Allows(now))
	is.True(pa.NextAt(now).Sub(now) > timer.Second/2) // until no more than 13 of the 30 are in the window
}

// coldRun plays a server of 9 slots that is cold for 3 s, and returns when requests start.
// Each run takes the given time, and requests arrive at 30 a second.
func coldRun(latency timer.Span, setUp func(ga *admitter.Gate, now timer.Instant) *Pacer) []timer.Instant {
	now := timer.Instant(100 * timer.Second)
	ga, err := admitter.New(admitter.Slots(9), admitter.QueueLength(36))
	if err != nil {
		panic(err)
	}
	ga.SetColdRate(testBound.PerS)
	ga.SetColdUntil(now.Add(3 * timer.Second))
	pa := setUp(ga, now)
	var starts, ends []timer.Instant
	start := func(count int) {
		for range count {
			starts, ends = append(starts, now), append(ends, now.Add(latency))
		}
	}
	for end := now.Add(3 * timer.Second); now < end; now = now.Add(timer.Millisecond) {
		for len(ends) > 0 && ends[0] <= now {
			ends = slices.Delete(ends, 0, 1)
			if pa != nil {
				pa.Finish(latency, 110*timer.Millisecond)
			}
			start(len(ga.Finish(admitter.Completion{Route: "read", Latency: latency}, now)))
		}
		start(len(ga.StartQueued(now)))
		ga.TakeExpired()
		if now%timer.Instant(33*timer.Millisecond) != 0 {
			continue
		}
		rq := admitter.Request{Workspace: "w", Route: "read", DeadlineAt: now.Add(timer.Second)}
		if _, isRun := ga.Arrive(rq, now).(admitter.Run); isRun {
			start(1)
		}
	}
	return starts
}

// TestColdServerIsUsed guards against a cold server that is left idle although the bound
// allows more, and against a raised rate on one whose responses don't keep pace.
func TestColdServerIsUsed(t *testing.T) {
	is := is.New(t)
	paced := func(ga *admitter.Gate, now timer.Instant) *Pacer {
		pa := NewPacer(testBound, now.Add(-2*timer.Second))
		ga.SetPace(pa)
		return pa
	}
	today := coldRun(110*timer.Millisecond, func(*admitter.Gate, timer.Instant) *Pacer { return nil })
	after := coldRun(110*timer.Millisecond, paced)
	slow := coldRun(600*timer.Millisecond, paced)
	t.Logf("starts in 3 s: by the bucket of the gate %d, paced %d, paced with slow responses %d; most in a second %d, %d, %d",
		len(today), len(after), len(slow), mostInSecond(today), mostInSecond(after), mostInSecond(slow))
	is.True(len(after) > len(today)*4/3)
	is.True(mostInSecond(after) <= testMost)
	is.True(len(slow) <= int(3*testBound.PerS)+testMost/2)
}
