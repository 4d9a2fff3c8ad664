package admitter

import (
	"cornellanding.example/core/scheduler"
	"cornellanding.example/core/timer"
)

// returnWaitShare is the share of the time to its deadline that a refused caller waits before
// it returns. A later time is of no use to it.
const returnWaitShare = 3

// KeepPlaces sets whether each refusal for load names a time that is reserved for the
// request. Requests that return then, known by their fingerprints, go before others of their
// kind. Otherwise all are told when the queues are expected to be empty.
func (ga *Gate) KeepPlaces(isKept bool) { ga.keepsPlaces = isKept }

// Reserve returns the retry delay to advise to a request that is refused: until a place that
// is reserved for it, behind the requests that wait now. If there is none in the time that
// its caller waits, it is told the end of the schedule, by when the overload may be over. It
// returns 0 if no places are kept.
func (ga *Gate) Reserve(rq Request, now timer.Instant) timer.Span {
	if !ga.keepsPlaces {
		return 0
	}
	queue := queueOf(rq)
	cost, count := ga.queuedBefore(queue + 1)
	window := scheduler.Window{
		From:  now.Add(ga.spanOf(cost, count, now)),
		Until: now.Add(rq.DeadlineAt.Sub(now) / returnWaitShare),
	}
	place := scheduler.Place{Fingerprint: rq.Fingerprint, Rank: kindOf(rq), Cost: ga.costOf(rq)}
	at, ok := ga.places.Reserve(place, window, ga.capacity(now), now)
	if !ok {
		return scheduler.Horizon
	}
	return at.Sub(now)
}

// capacity returns the expected time of requests, in nanoseconds, that the server works off
// in a second.
func (ga *Gate) capacity(now timer.Instant) float64 {
	perSecond := float64(max(1, ga.limit)) * float64(timer.Second)
	if rate, isLimited := ga.startRate(now); isLimited {
		perSecond = min(perSecond, rate*ga.latency)
	}
	return perSecond
}
