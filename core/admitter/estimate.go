package admitter

import (
	"cornellanding.example/core/timer"
)

const (
	// latencyWeight smooths the time of a run.
	latencyWeight = 0.1
	// latestStartShare is the inverse share of its route's latency that a
	// request needs to be worth starting.
	latestStartShare = 2
	// maxRoutes bounds the routes whose latency is kept.
	maxRoutes = 4096
	// minRetryAfter and maxComeBack bound when a refused caller is told to come
	// back.
	minRetryAfter = 100 * timer.Millisecond
	maxRetryAfter = 2 * timer.Second
)

// queueFor returns the queue for a request that has to wait, or false if its
// caller would give up before its turn. One that would miss its target waits
// behind all others: it would only make them late too.
func (ga *Gate) queueFor(rq Request, now timer.Instant) (int, bool) {
	queue := int(rq.Priority)
	if ga.latency == 0 {
		return queue, true
	}
	own := ga.latencyOf(rq.Route)
	if ga.estimateStart(queue, now).Add(own) <= rq.finishBy() {
		return queue, true
	}
	return lateQueue, ga.estimateStart(lateQueue, now).Add(own) <= rq.DeadlineAt
}

// latencyOf returns the smoothed time of a route's runs, or that of all.
func (ga *Gate) latencyOf(route string) timer.Span {
	if own, ok := ga.latencies[route]; ok {
		return timer.Span(own)
	}
	return timer.Span(ga.latency)
}

// estimateStart estimates when a request that joins a queue now would start.
func (ga *Gate) estimateStart(queue int, now timer.Instant) timer.Instant {
	ahead := 0
	for i := range queue + 1 {
		ahead += ga.queues[i].length
	}
	perStart := ga.latency / float64(max(1, ga.limit))
	if ga.coldRate > 0 && now.Before(ga.coldUntil) {
		perStart = max(perStart, float64(timer.Second)/ga.coldRate)
	}
	return now.Add(timer.Span(float64(ahead+1) * perStart))
}

// LatestStart returns when a waiting request must start at the latest: after it,
// the request would most likely not end in time.
func (ga *Gate) LatestStart(rq Request) timer.Instant {
	return rq.DeadlineAt.Add(-ga.latencyOf(rq.Route) / latestStartShare)
}

// TakeExpired returns the tickets whose turn came too late since the last call.
func (ga *Gate) TakeExpired() []Ticket {
	expired := ga.expired
	ga.expired = nil
	return expired
}

// retryAfter returns when a refused caller should come back: once what waits now
// has started.
func (ga *Gate) retryAfter(now timer.Instant) timer.Span {
	return min(max(ga.estimateStart(lateQueue, now).Sub(now), minRetryAfter), maxRetryAfter)
}

// isLate reports whether a request that starts now would miss its target.
func (ga *Gate) isLate(rq Request, now timer.Instant) bool {
	return now.Add(ga.latencyOf(rq.Route)) > rq.finishBy()
}

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
