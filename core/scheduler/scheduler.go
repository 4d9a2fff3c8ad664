// Package scheduler keeps the times at which refused requests may return, so that each
// refusal names a time with room for it.
//
// Load: in an overload all refused requests are told the same time, return together, and are
// refused again.
//
// Schedule is a state machine without a clock or goroutines, and callers must serialize
// access to it.
//
// # Usage
//
//	var sc scheduler.Schedule
//	at, ok := sc.Reserve(scheduler.Place{Fingerprint: fp, Rank: 1, Cost: 1}, scheduler.Window{From: from, Until: until}, perSecond, now)
//	isReturn := sc.Take(fp, now) // when a request with that fingerprint arrives
package scheduler

import (
	"slices"

	"cornellanding.example/core/timer"
)

const (
	// Horizon is how far ahead places are given.
	Horizon = 2 * timer.Second
	// slot is the length of the parts of the schedule. The places in a slot are at its
	// start. Within balanceSpan the capacity is kept too, where a slot has room for less
	// than one request.
	slot        = 50 * timer.Millisecond
	balanceSpan = 8 * slot
	// returnShare is the share of the capacity that is given to requests that return. The
	// rest is for new ones, and for a capacity that turns out lower. At 0.5 more of those
	// served were past their target since their first attempt (150 of 1,559, and 90 of
	// 1,544 at 0.25, in admitter.TestReturns at 3 times the load).
	returnShare = 0.25
	// earlyBy and lateBy are how much before and after its place a request may return: a
	// caller's timer and the way to the server.
	earlyBy = 20 * timer.Millisecond
	lateBy  = 150 * timer.Millisecond
	// waitShare is the divisor of the time to its deadline that gives how long a refused caller
	// waits before it returns. A later time is of no use to it.
	waitShare = 3
	// maxPlaces bounds the places, beyond what a server of 500 requests a second gives.
	maxPlaces = 512
)

// Place is a time reserved for a request.
type Place struct {
	// Fingerprint identifies the request when it returns under another ID. Equal requests
	// of several callers have one place each.
	Fingerprint uint64
	// Rank is its priority: places of lower ranks are given first.
	Rank int
	// Cost is its part of the capacity, in any unit.
	Cost float64
	at   timer.Instant
}

// Window is the time in which a place is of use: from when there is room, until when the
// caller waits.
type Window struct{ From, Until timer.Instant }

// Schedule holds the places given. The zero value is empty.
type Schedule struct {
	// places are in order of their times.
	places []Place
}

// Reserve gives a place to a refused request: the first slot in the window in which the
// places of its own and lower ranks leave room. PerSecond is the capacity, in costs. It
// returns false if there is none.
func (sc *Schedule) Reserve(pl Place, wi Window, perSecond float64, now timer.Instant) (timer.Instant, bool) {
	sc.expire(now)
	if len(sc.places) >= maxPlaces {
		return 0, false
	}
	first := max(wi.From, now.Add(1)).Add(slot - 1)
	for at := first - first%timer.Instant(slot); at <= min(wi.Until, now.Add(Horizon)); at = at.Add(slot) {
		if sc.hasRoom(pl, at, slot, perSecond) && sc.hasRoom(pl, at, balanceSpan, perSecond) {
			pl.at = at
			sc.insert(pl)
			return at, true
		}
	}
	return 0, false
}

// RetryAfter returns the retry delay to advise to a refused request: until a place that it
// reserves, from a time on, while the caller waits. If there is none, that is the end of the
// schedule, by when the overload may be over.
func (sc *Schedule) RetryAfter(pl Place, from, deadlineAt timer.Instant, perSecond float64, now timer.Instant) timer.Span {
	at, ok := sc.Reserve(pl, Window{From: from, Until: now.Add(deadlineAt.Sub(now) / waitShare)}, perSecond, now)
	if !ok {
		return Horizon
	}
	return at.Sub(now)
}

// hasRoom reports whether a place in the slot at a time fits with those in a span that ends
// with the slot. A request larger than the span's capacity needs an empty one.
func (sc *Schedule) hasRoom(pl Place, at timer.Instant, span timer.Span, perSecond float64) bool {
	end := at.Add(slot)
	reserved := sc.Reserved(pl.Rank, end.Add(-span), end)
	return reserved == 0 || reserved+pl.Cost <= returnShare*perSecond*span.Duration().Seconds()
}

func (sc *Schedule) insert(pl Place) {
	i := len(sc.places)
	for i > 0 && sc.places[i-1].at > pl.at {
		i--
	}
	sc.places = slices.Insert(sc.places, i, pl)
}

// Reserved returns the cost of the places from one time to another, of the rank and lower
// ones.
func (sc *Schedule) Reserved(rank int, from, until timer.Instant) float64 {
	sum := 0.0
	for _, pl := range sc.places {
		if pl.at >= from && pl.at < until && pl.Rank <= rank {
			sum += pl.Cost
		}
	}
	return sum
}

// Take reports whether a request that arrives now returns at its place, and frees that.
func (sc *Schedule) Take(fingerprint uint64, now timer.Instant) bool {
	sc.expire(now)
	for i, pl := range sc.places {
		if pl.at.Add(-earlyBy) > now {
			break
		}
		if pl.Fingerprint == fingerprint {
			sc.places = slices.Delete(sc.places, i, i+1)
			return true
		}
	}
	return false
}

// expire removes the places that have passed.
func (sc *Schedule) expire(now timer.Instant) {
	expired := 0
	for expired < len(sc.places) && sc.places[expired].at.Add(lateBy) < now {
		expired++
	}
	sc.places = slices.Delete(sc.places, 0, expired)
}
