package admitter

import (
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

const ms = timer.Instant(timer.Millisecond)

// busyGate returns a gate with one slot that is taken, whose route "page" takes
// 100 ms and "call" 10 ms.
func busyGate(t *testing.T, opts ...Option) *Gate {
	t.Helper()
	ga, err := New(append([]Option{Slots(1), QueueLength(8)}, opts...)...)
	is.New(t).NoErr(err)
	for _, route := range []string{"call", "page"} {
		latency := 100 * timer.Millisecond
		if route == "call" {
			latency = 10 * timer.Millisecond
		}
		for range 40 {
			is.New(t).Equal(len(arriveAll(ga, 0, Request{Route: route, DeadlineAt: 10_000 * ms})), 1)
			ga.Finish(Completion{Route: route, Latency: latency}, 0)
		}
	}
	arriveAll(ga, 0, Request{Route: "page", DeadlineAt: 10_000 * ms})
	return ga
}

// arriveAll returns the tickets that run or wait.
func arriveAll(ga *Gate, now timer.Instant, rqs ...Request) []Ticket {
	var tickets []Ticket
	for _, rq := range rqs {
		switch de := ga.Arrive(rq, now).(type) {
		case Run:
			tickets = append(tickets, de.Ticket)
		case Wait:
			tickets = append(tickets, de.Ticket)
		}
	}
	return tickets
}

// TestLateWaitsBehind lets a request that misses its target in any case wait
// behind one that can still meet it.
func TestLateWaitsBehind(t *testing.T) {
	is := is.New(t)
	ga := busyGate(t)
	late := Request{Route: "page", TargetAt: 50 * ms, DeadlineAt: 5000 * ms}
	prompt := Request{Route: "page", TargetAt: 500 * ms, DeadlineAt: 5000 * ms}
	tickets := arriveAll(ga, 0, late, prompt)
	is.Equal(len(tickets), 2)
	is.Equal(ga.Finish(Completion{Route: "page", Latency: 100 * timer.Millisecond}, 100*ms), []Ticket{tickets[1]})
	is.Equal(ga.Finish(Completion{Route: "page", Latency: 100 * timer.Millisecond}, 200*ms), []Ticket{tickets[0]})
}

// TestBecameLateWaitsBehind does so for one that waited too long.
func TestBecameLateWaitsBehind(t *testing.T) {
	is := is.New(t)
	ga := busyGate(t)
	first := Request{Route: "page", TargetAt: 300 * ms, DeadlineAt: 5000 * ms}
	second := Request{Route: "page", TargetAt: 900 * ms, DeadlineAt: 5000 * ms}
	tickets := arriveAll(ga, 0, first, second)
	// The run took far longer than usual.
	is.Equal(ga.Finish(Completion{Route: "page", Latency: 100 * timer.Millisecond}, 600*ms), []Ticket{tickets[1]})
}

// TestEstimateByRoute admits a short call behind long pages.
func TestEstimateByRoute(t *testing.T) {
	is := is.New(t)
	ga := busyGate(t)
	call := Request{Route: "call", TargetAt: 150 * ms, DeadlineAt: 150 * ms}
	page := Request{Route: "page", TargetAt: 150 * ms, DeadlineAt: 150 * ms}
	is.Equal(len(arriveAll(ga, 0, page)), 0) // it would end at 200 ms
	is.Equal(len(arriveAll(ga, 0, call)), 1)
	refusal, isRefused := ga.Arrive(page, 0).(Refuse)
	is.True(isRefused)
	is.True(refusal.RetryAfter >= minComeBack && refusal.RetryAfter <= maxComeBack)
}

// TestTooLittleTime does not start a request that can't end in time any more.
func TestTooLittleTime(t *testing.T) {
	is := is.New(t)
	ga := busyGate(t)
	tickets := arriveAll(ga, 0, Request{Route: "page", DeadlineAt: 300 * ms})
	is.Equal(len(ga.Finish(Completion{Route: "page", Latency: 100 * timer.Millisecond}, 260*ms)), 0)
	is.Equal(ga.TakeExpired(), tickets)
	is.Equal(len(ga.TakeExpired()), 0)
	is.Equal(ga.Running(), 0)
}

// TestColdRate bounds what a cold server gets in any second, whatever waits.
func TestColdRate(t *testing.T) {
	is := is.New(t)
	const rate = 18.0
	ga, err := New(Slots(9), QueueLength(100_000), ColdStart(9, 4*timer.Instant(timer.Second)))
	is.NoErr(err)
	ga.SetColdRate(rate)
	var startedAt []timer.Instant
	for now := timer.Instant(0); now < 3*timer.Instant(timer.Second); now += ms {
		if _, isRun := ga.Arrive(Request{DeadlineAt: 60_000 * ms}, now).(Run); isRun {
			startedAt = append(startedAt, now)
		}
		for range ga.StartQueued(now) {
			startedAt = append(startedAt, now)
		}
		for ga.Running() > 0 {
			for range ga.Finish(Completion{}, now) {
				startedAt = append(startedAt, now)
			}
		}
	}
	for i := range startedAt {
		inSecond := 0
		for _, at := range startedAt[i:] {
			if at-startedAt[i] < timer.Instant(timer.Second) {
				inSecond++
			}
		}
		is.True(float64(inSecond) <= rate+coldBurst)
	}
	is.True(float64(len(startedAt)) >= 3*rate*0.9) // the server is used
	end := 3 * timer.Instant(timer.Second)
	running := len(ga.StartQueued(end)) // whatever the server bears at this instant
	at, isWaiting := ga.NextStartAt(end)
	is.True(isWaiting && at > end) // somebody has to start what waits
	ga.SetColdUntil(0)
	is.Equal(len(ga.StartQueued(end)), 9-running) // warm, by its own word
}
