package admitter

import (
	"cornellanding.example/core/timer"
)

const (
	// latencyWeight is the weight of a new sample in the smoothed latencies.
	latencyWeight = 0.1
	// A queued request is started only if its route's latency divided by
	// latestStartDivisor is left before its deadline.
	latestStartDivisor = 2
	// maxRoutes bounds the routes with a latency of their own.
	maxRoutes = 4096
	// minRetryAfter and maxRetryAfter bound the retry delay advised on a refusal.
	minRetryAfter = 100 * timer.Millisecond
	maxRetryAfter = 2 * timer.Second
)

// queueFor returns the queue for a request that cannot start now, or false if it
// would not finish before its deadline. A request that is expected to miss its
// target goes behind all others, as it would only make them late too, unless it is of
// the highest priority.
func (ga *Gate) queueFor(rq Request, now timer.Instant) (int, bool) {
	queue := queueOf(rq)
	if ga.latency == 0 {
		return queue, true
	}
	own := ga.latencyOf(rq.Route)
	if ga.estimateStart(rq, queue, now).Add(own) <= rq.finishBy() {
		return queue, true
	}
	late := lateQueueOf(rq)
	return late, ga.estimateStart(rq, late, now).Add(own) <= rq.DeadlineAt
}

// latencyOf returns the smoothed latency of a route, or that of all routes if none
// of its runs has ended.
func (ga *Gate) latencyOf(route string) timer.Span {
	if own, ok := ga.latencies[route]; ok {
		return timer.Span(own)
	}
	return timer.Span(ga.latency)
}

// costOf returns the expected time of a request on the server in nanoseconds, above 0.
func (ga *Gate) costOf(rq Request) float64 { return max(1, float64(ga.latencyOf(rq.Route))) }

// estimateStart estimates when a request that joins a queue now would start: after the
// requests of more urgent queues and those ahead of it in its own.
func (ga *Gate) estimateStart(rq Request, queue int, now timer.Instant) timer.Instant {
	qu := &ga.queues[queue]
	own := qu.position(qu.tagOf(rq, ga.costOf(rq)))
	cost, count := ga.queuedBefore(queue)
	span := ga.spanOf(cost+qu.costOf(own), count+own, now)
	if ga.keepsPlaces && !rq.isReturn {
		// Those that return before the start go first.
		reserved := ga.places.Reserved(kindOf(rq), now, now.Add(span))
		span = ga.spanOf(cost+qu.costOf(own)+reserved, count+own+int(reserved/max(1, ga.latency)), now)
	}
	if !isLateQueue(queue) && ga.kinds.isEntitled(kindOf(rq)) {
		// Every owedEvery-th start, while others are served before it.
		span = min(span, ga.spanOf(owedEvery*(qu.costOf(own)+ga.latency), owedEvery*(own+1), now))
	}
	return now.Add(span)
}

// queuedBefore returns the cost and the number of the requests in the queues before the
// given one.
func (ga *Gate) queuedBefore(queue int) (cost float64, count int) {
	for i := range ga.queues[:queue] {
		qu := &ga.queues[i]
		cost, count = cost+qu.costOf(len(qu.items)), count+len(qu.items)
	}
	return cost, count
}

// spanOf returns the time until the next start after queued requests with the given
// cost and number have started.
func (ga *Gate) spanOf(cost float64, count int, now timer.Instant) timer.Span {
	span := (cost + ga.latency) / float64(max(1, ga.limit))
	if rate, isLimited := ga.startRate(now); isLimited {
		span = max(span, float64(count+1)*float64(timer.Second)/rate)
	}
	return timer.Span(span)
}

// LatestStart returns the latest time at which a queued request is worth starting.
// After it, the request is unlikely to finish before its deadline.
func (ga *Gate) LatestStart(rq Request) timer.Instant {
	return rq.DeadlineAt.Add(-ga.latencyOf(rq.Route) / latestStartDivisor)
}

// TakeExpired returns the tickets dropped since the last call because they came up
// after their LatestStart.
func (ga *Gate) TakeExpired() []Ticket {
	expired := ga.expired
	ga.expired = nil
	return expired
}

// RetryAfter returns the retry delay to advise on a refusal: the time until all
// requests queued now are expected to have started.
func (ga *Gate) RetryAfter(now timer.Instant) timer.Span {
	cost, count := ga.queuedBefore(queueCount)
	return min(max(ga.spanOf(cost, count, now), minRetryAfter), maxRetryAfter)
}

// isLate reports whether a request that starts now is expected to miss its target.
func (ga *Gate) isLate(rq Request, now timer.Instant) bool {
	return now.Add(ga.latencyOf(rq.Route)) > rq.finishBy()
}

// observe updates the smoothed latencies.
func (ga *Gate) observe(co Completion) {
	if ga.latency == 0 {
		ga.latency = float64(co.Latency)
	}
	ga.latency += latencyWeight * (float64(co.Latency) - ga.latency)
	own, isKnown := ga.latencies[co.Route]
	switch {
	case isKnown:
		ga.latencies[co.Route] = own + latencyWeight*(float64(co.Latency)-own)
	case len(ga.latencies) < maxRoutes:
		ga.latencies[co.Route] = float64(co.Latency)
	}
}
