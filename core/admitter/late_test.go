package admitter

import (
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

const ms = timer.Instant(timer.Millisecond)

// busyGate returns a gate whose only slot is taken. Route "page" has a latency of
// 100 ms and route "call" one of 10 ms.
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

// TestLateWaitsBehind checks that a request expected to miss its target is queued
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

// TestBecameLateWaitsBehind checks that a request that waited past its target is
// moved behind the others.
func TestBecameLateWaitsBehind(t *testing.T) {
	is := is.New(t)
	ga := busyGate(t)
	first := Request{Route: "page", TargetAt: 300 * ms, DeadlineAt: 5000 * ms}
	second := Request{Route: "page", TargetAt: 900 * ms, DeadlineAt: 5000 * ms}
	tickets := arriveAll(ga, 0, first, second)
	// The run took far longer than usual.
	is.Equal(ga.Finish(Completion{Route: "page", Latency: 100 * timer.Millisecond}, 600*ms), []Ticket{tickets[1]})
}

// TestEstimateByRoute checks that the wait is judged by the latency of the request's
// own route: a short call is admitted where a long page is not.
func TestEstimateByRoute(t *testing.T) {
	is := is.New(t)
	ga := busyGate(t)
	call := Request{Route: "call", TargetAt: 150 * ms, DeadlineAt: 150 * ms}
	page := Request{Route: "page", TargetAt: 150 * ms, DeadlineAt: 150 * ms}
	is.Equal(len(arriveAll(ga, 0, page)), 0) // it would end at 200 ms
	is.Equal(len(arriveAll(ga, 0, call)), 1)
	refusal, isRefused := ga.Arrive(page, 0).(Refuse)
	is.True(isRefused)
	is.True(refusal.RetryAfter >= minRetryAfter && refusal.RetryAfter <= maxRetryAfter)
}

// TestTooLittleTime checks that a request is dropped, not started, when it can no
// longer finish before its deadline.
func TestTooLittleTime(t *testing.T) {
	is := is.New(t)
	ga := busyGate(t)
	tickets := arriveAll(ga, 0, Request{Route: "page", DeadlineAt: 300 * ms})
	is.Equal(len(ga.Finish(Completion{Route: "page", Latency: 100 * timer.Millisecond}, 260*ms)), 0)
	is.Equal(ga.TakeExpired(), tickets)
	is.Equal(len(ga.TakeExpired()), 0)
	is.Equal(ga.Running(), 0)
}

// TestColdRate checks that the starts on a cold server stay within rate and burst
// in every second, whatever the queue and the free slots.
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
		is.True(float64(inSecond) <= rate+minStartBurst)
	}
	is.True(float64(len(startedAt)) >= 3*rate*0.9) // the rate is used up
	end := 3 * timer.Instant(timer.Second)
	running := len(ga.StartQueued(end)) // as many as the rate allows at this instant
	at, isWaiting := ga.NextStartAt(end)
	is.True(isWaiting && at > end) // the caller must start the queued requests then
	ga.SetColdUntil(0)
	is.Equal(len(ga.StartQueued(end)), 9-running) // the server reports that it is warm
}

// TestShortRequestPassesLongOnes checks that a queue of long requests, which can wait,
// neither refuses nor delays a short one that can't. Its queue is a second of work on
// the one slot.
func TestShortRequestPassesLongOnes(t *testing.T) {
	is := is.New(t)
	ga := busyGate(t, QueueLength(40))
	for range 10 {
		is.Equal(len(arriveAll(ga, 0, Request{Workspace: "a", Route: "page", TargetAt: 5000 * ms, DeadlineAt: 9000 * ms})), 1)
	}
	short := Request{Workspace: "b", Route: "call", TargetAt: 300 * ms, DeadlineAt: 500 * ms}
	tickets := arriveAll(ga, 0, short)
	is.Equal(len(tickets), 1)
	is.Equal(ga.Finish(Completion{Route: "page", Latency: 100 * timer.Millisecond}, 100*ms), tickets)
}

// TestLateUrgentRequest checks that a late request of the highest priority goes before
// less urgent ones that are in time.
func TestLateUrgentRequest(t *testing.T) {
	is := is.New(t)
	ga := busyGate(t)
	tickets := arriveAll(ga, 0,
		Request{Route: "page", Priority: 2, TargetAt: 5000 * ms, DeadlineAt: 9000 * ms},
		Request{Route: "page", Priority: 0, TargetAt: 50 * ms, DeadlineAt: 2000 * ms})
	is.Equal(len(tickets), 2)
	is.Equal(ga.Finish(Completion{Route: "page", Latency: 100 * timer.Millisecond}, 100*ms), tickets[1:])
}
