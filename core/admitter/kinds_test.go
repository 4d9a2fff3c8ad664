package admitter

import (
	"container/heap"
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// playKinds plays requests of two kinds on a server with 4 slots that takes 40 ms for one,
// and returns how many of each arrived and started in 20 s. Gaps are between arrivals.
func playKinds(t *testing.T, kinds [2]Request, gaps [2]timer.Span) (arrived, started [2]int) {
	ga := newGate(t, Slots(4), QueueLength(16))
	var running ends
	kindOf := map[Ticket]int{}
	start := func(now timer.Instant, tickets ...Ticket) {
		for _, ticket := range tickets {
			started[kindOf[ticket]]++
			heap.Push(&running, now.Add(40*timer.Millisecond))
		}
	}
	for now := timer.Instant(0); now < timer.Instant(20*timer.Second); now = now.Add(timer.Millisecond) {
		for len(running) > 0 && running[0] <= now {
			heap.Pop(&running)
			start(now, ga.Finish(Completion{Latency: 40 * timer.Millisecond}, now)...)
		}
		for i, rq := range kinds {
			if timer.Span(now)%gaps[i] != 0 {
				continue
			}
			arrived[i]++
			rq.TargetAt, rq.DeadlineAt = now.Add(300*timer.Millisecond), now.Add(600*timer.Millisecond)
			switch de := ga.Arrive(rq, now).(type) {
			case Run:
				kindOf[de.Ticket] = i
				start(now, de.Ticket)
			case Wait:
				kindOf[de.Ticket] = i
			}
		}
	}
	return arrived, started
}

// TestKinds checks the order of calls and other requests, and guards against one that starves
// the other: each gets a tenth of the starts, unless it is served more than 5 in 100 more
// often than a more urgent one. The server takes 100 requests a second.
func TestKinds(t *testing.T) {
	call := func(priority cataloguer.Priority) Request { return Request{Priority: priority, IsCall: true} }
	other := func(priority cataloguer.Priority) Request { return Request{Priority: priority} }
	cases := map[string]struct {
		kinds [2]Request
		gaps  [2]timer.Span
		// served bounds the served shares of both from below.
		served [2]float64
	}{
		"calls before others of the rank": {[2]Request{call(1), other(1)}, [2]timer.Span{20, 10}, [2]float64{0.97, 0.4}},
		"calls before lower ranks":        {[2]Request{call(1), other(2)}, [2]timer.Span{20, 10}, [2]float64{0.97, 0.4}},
		"higher ranks before calls":       {[2]Request{other(0), call(1)}, [2]timer.Span{20, 10}, [2]float64{0.97, 0.4}},
		"too many calls":                  {[2]Request{call(1), other(1)}, [2]timer.Span{5, 20}, [2]float64{0.4, 0.18}},
		"too many of a higher rank":       {[2]Request{other(1), call(2)}, [2]timer.Span{5, 20}, [2]float64{0.4, 0.18}},
		"few of a lower rank":             {[2]Request{call(1), other(2)}, [2]timer.Span{5, 200}, [2]float64{0.45, 0.4}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range tc.gaps {
				tc.gaps[i] *= timer.Millisecond
			}
			arrived, started := playKinds(t, tc.kinds, tc.gaps)
			first, second := float64(started[0])/float64(arrived[0]), float64(started[1])/float64(arrived[1])
			t.Logf("started %d of %d and %d of %d", started[0], arrived[0], started[1], arrived[1])
			is.True(first >= tc.served[0] && second >= tc.served[1])
			is.True(second <= first+0.05)
			is.True(float64(started[1]) >= 0.09*float64(started[0]+started[1]) || second > first)
		})
	}
}
