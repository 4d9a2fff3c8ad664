package admitter

import (
	"cornellanding.example/core/scheduler"
	"cornellanding.example/core/timer"
)

// KeepPlaces sets whether each refusal for load names a time that is reserved for the
// request. Requests that return then, known by their fingerprints, go before others of their
// kind. Otherwise all are told when the queues are expected to be empty.
func (ga *Gate) KeepPlaces(isKept bool) { ga.keepsPlaces = isKept }

// Reserve returns the retry delay to advise to a request that is refused: until a place that
// is reserved for it, behind the requests that wait now, see scheduler.Schedule.RetryAfter. It
// returns 0 if no places are kept.
func (ga *Gate) Reserve(rq Request, now timer.Instant) timer.Span {
	if !ga.keepsPlaces {
		return 0
	}
	queue := queueOf(rq)
	cost, count := ga.queuedBefore(queue + 1)
	place := scheduler.Place{Fingerprint: rq.Fingerprint, Rank: kindOf(rq), Cost: ga.costOf(rq)}
	return ga.places.RetryAfter(place, now.Add(ga.spanOf(cost, count, now)), rq.DeadlineAt, ga.capacity(now), now)
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
