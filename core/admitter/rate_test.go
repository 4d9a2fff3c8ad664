package admitter

import (
	"container/heap"
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// ends is a heap of the instants at which runs end.
type ends []timer.Instant

func (en ends) Len() int           { return len(en) }
func (en ends) Less(i, j int) bool { return en[i] < en[j] }
func (en ends) Swap(i, j int)      { en[i], en[j] = en[j], en[i] }
func (en *ends) Push(at any)       { *en = append(*en, at.(timer.Instant)) }
func (en *ends) Pop() any {
	old := *en
	last := old[len(old)-1]
	*en = old[:len(old)-1]
	return last
}

// limitedLoad plays 40 requests a second, each with a second to its deadline, on a server
// with 9 slots that takes 100 ms for one.
type limitedLoad struct {
	ga      *Gate
	running ends
	starts  []timer.Instant
	served  int
	// waits holds the arrivals of queued requests by ticket, and held how long the ones
	// that were not served were kept.
	waits  map[Ticket]timer.Instant
	held   []timer.Span
	advice []timer.Span
}

const (
	loadWork     = 100 * timer.Millisecond
	loadGap      = timer.Second / 40
	loadDeadline = timer.Second
)

func (ll *limitedLoad) start(now timer.Instant, tickets ...Ticket) {
	for _, ticket := range tickets {
		delete(ll.waits, ticket)
		ll.starts = append(ll.starts, now)
		heap.Push(&ll.running, now.Add(loadWork))
	}
}

func (ll *limitedLoad) drop(now timer.Instant, tickets ...Ticket) {
	for _, ticket := range tickets {
		ll.held = append(ll.held, now.Sub(ll.waits[ticket]))
		delete(ll.waits, ticket)
	}
}

// play plays the time from one instant to another, in steps of a millisecond.
func (ll *limitedLoad) play(from, to timer.Instant) {
	for now := from; now < to; now = now.Add(timer.Millisecond) {
		for len(ll.running) > 0 && ll.running[0] <= now {
			heap.Pop(&ll.running)
			ll.served++
			ll.start(now, ll.ga.Finish(Completion{Route: "r", Latency: loadWork}, now)...)
		}
		ll.start(now, ll.ga.StartQueued(now)...)
		ll.drop(now, ll.ga.TakeExpired()...)
		if now.Sub(from)%loadGap != 0 {
			continue
		}
		switch de := ll.ga.Arrive(Request{Workspace: "w", Route: "r", DeadlineAt: now.Add(loadDeadline)}, now).(type) {
		case Run:
			ll.start(now, de.Ticket)
		case Wait:
			ll.waits[de.Ticket] = now
			ll.drop(now, de.Shed...)
		case Refuse:
			ll.held, ll.advice = append(ll.held, 0), append(ll.advice, de.RetryAfter)
		}
	}
}

// most returns the highest number of starts in any window of the span.
func (ll *limitedLoad) most(span timer.Span, from, to timer.Instant) int {
	most := 0
	for i, first := range ll.starts {
		count := 0
		for _, at := range ll.starts[i:] {
			if at.Sub(first) < span && first >= from && at < to {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// TestServerLimitBoundsStarts plays a server that names a limit below its load, and lifts
// it: nothing beyond the limit starts, the limit is used, and who can't be served is
// refused on arrival.
func TestServerLimitBoundsStarts(t *testing.T) {
	is := is.New(t)
	const limit = 12.0
	second := timer.Instant(timer.Second)
	ga, err := New(Slots(9), QueueLength(36))
	is.NoErr(err)
	ll := &limitedLoad{ga: ga, waits: map[Ticket]timer.Instant{}}
	ll.play(second, 4*second)
	is.Equal(len(ll.held), 0)
	ll.drop(4*second, ga.SetServerLimit(limit, true, 4*second)...)
	served := ll.served
	ll.play(4*second, 14*second)
	is.True(ll.most(4*timer.Second, 4*second, 14*second) <= 4*limit+minStartBurst)
	is.True(ll.served-served >= 10*limit*9/10) // the limit is used
	for _, held := range ll.held {
		is.True(held <= loadDeadline/10) // refused at once
	}
	for _, advice := range ll.advice {
		is.True(advice >= minRetryAfter)
	}
	ga.SetServerLimit(0, false, 14*second)
	refused := len(ll.held)
	ll.play(14*second, 18*second)
	is.Equal(len(ll.held), refused) // all are served again
}

// TestServerLimitDropsHopelessRequests: a queue that fits the slots is too long for the
// limit that is named next.
func TestServerLimitDropsHopelessRequests(t *testing.T) {
	is := is.New(t)
	ga, err := New(Slots(1), QueueLength(20))
	is.NoErr(err)
	now := timer.Instant(timer.Second)
	ga.Arrive(Request{Route: "r", DeadlineAt: now.Add(timer.Second)}, now)
	ga.Finish(Completion{Route: "r", Latency: 10 * timer.Millisecond}, now)
	for range 11 {
		ga.Arrive(Request{Route: "r", DeadlineAt: now.Add(timer.Second)}, now)
	}
	is.Equal(ga.Waiting(), 10)
	dropped := ga.SetServerLimit(5, true, now)
	is.Equal(len(dropped), 6) // 4 more can start within the second
	is.Equal(ga.Waiting(), 4)
}

// TestServerLimitOfNothingLetsARequestThrough: without any request the server could not
// lift its limit.
func TestServerLimitOfNothingLetsARequestThrough(t *testing.T) {
	is := is.New(t)
	ga, err := New(Slots(9), QueueLength(36))
	is.NoErr(err)
	ll := &limitedLoad{ga: ga, waits: map[Ticket]timer.Instant{}}
	second := timer.Instant(timer.Second)
	ga.SetServerLimit(0, true, second)
	ll.play(second, 21*second)
	is.True(len(ll.starts) >= 4)
	is.True(ll.most(4*timer.Second, second, 21*second) <= 5)
}

// TestFewStartsBeforeTheFirstAnswer guards against a gate that starts again and exceeds a low
// limit of the server before an answer names it. The load is 20 requests at once.
func TestFewStartsBeforeTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	ga, err := New(Slots(9), QueueLength(36))
	is.NoErr(err)
	ga.AwaitAnswer()
	starts := 0
	for range 20 {
		if _, ok := ga.Arrive(Request{Workspace: "a", DeadlineAt: late}, 0).(Run); ok {
			starts++
		}
	}
	is.Equal(starts, unheardSlots)
	is.Equal(ga.Limit(), unheardSlots)
	is.True(ga.HearAnswer())
	ga.SetServerLimit(1, true, 0)
	is.Equal(len(ga.Finish(Completion{}, 0)), 0) // the limit holds from the first answer on
	ga.SetServerLimit(0, false, 0)
	is.Equal(len(ga.StartQueued(0)), 9-(unheardSlots-1))
}
