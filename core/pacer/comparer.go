package pacer

import (
	"slices"

	"cornellanding.example/core/timer"
)

const (
	// runSpan is the age up to which runs count, and maxRuns how many of a route do. A
	// server's slow periods last some 400 ms, so that the median must cover many times
	// that.
	runSpan = 8 * timer.Second
	maxRuns = 512
	// minRuns is how many runs of a route, over at least minSpan, give a median. The
	// first correction of a share waits for them.
	minRuns = 24
	minSpan = 3 * timer.Second
	// medianInterval separates computations of a route's median, which sorts its runs.
	medianInterval = timer.Second / 2
	// peerSpan is for how long a peer's median counts. An entry with little traffic gets
	// an answer of each server every few seconds only.
	peerSpan = 30 * timer.Second
	// A route is compared with at least half of the other servers, with at least minPeers
	// and with no more needed than enoughPeers, of whose medians the median is off by some
	// 5 in 100.
	minPeers    = 2
	enoughPeers = 24
	// maxRoutes and maxPeers bound the routes and, for each, the peers on record.
	maxRoutes = 64
	maxPeers  = 1024
)

// Comparer compares the runs of one backend server with those of its peers, the other
// servers of its service. The median is not affected by the slow periods of a server as
// long as these are less than half of the time. The time that a run waits for calls to
// other services is part of its latency, on every server alike.
type Comparer struct {
	routes map[string]*routeRuns
	de     demandMeter
}

// routeRuns holds the latest runs of one route, and the peers' medians.
type routeRuns struct {
	runs []run
	// next is the index of the oldest run once there are maxRuns.
	next int
	// median is that of the runs as of medianAt, and count their number, 0 if there are
	// too few.
	median   timer.Span
	count    int
	medianAt timer.Instant
	peers    map[uint64]peerMedian
}

type run struct {
	at      timer.Instant
	latency timer.Span
}

type peerMedian struct {
	median timer.Span
	at     timer.Instant
}

// NewComparer returns a Comparer without runs.
func NewComparer() *Comparer {
	return &Comparer{routes: map[string]*routeRuns{}, de: demandMeter{peers: map[uint64]peerDemand{}}}
}

// of returns the record of a route, or nil if there are too many routes.
func (cm *Comparer) of(route string) *routeRuns {
	rr := cm.routes[route]
	if rr == nil && len(cm.routes) < maxRoutes {
		rr = &routeRuns{peers: map[uint64]peerMedian{}}
		cm.routes[route] = rr
	}
	return rr
}

// ObserveRun records the latency of a run that ended well on the server at now.
func (cm *Comparer) ObserveRun(route string, latency timer.Span, now timer.Instant) {
	rr := cm.of(route)
	switch {
	case rr == nil:
	case len(rr.runs) < maxRuns:
		rr.runs = append(rr.runs, run{at: now, latency: latency})
	default:
		rr.runs[rr.next] = run{at: now, latency: latency}
		rr.next = (rr.next + 1) % maxRuns
	}
}

// ObservePeer records the median latency of a route that the peer with the incarnation
// reports in an answer.
func (cm *Comparer) ObservePeer(route string, incarnation uint64, median timer.Span, now timer.Instant) {
	rr := cm.of(route)
	if rr == nil || median <= 0 {
		return
	}
	if _, isKnown := rr.peers[incarnation]; isKnown || len(rr.peers) < maxPeers {
		rr.peers[incarnation] = peerMedian{median: median, at: now}
	}
}

// ForgetRuns drops the server's own runs, as those of a former run of the server don't
// tell the speed of the present one.
func (cm *Comparer) ForgetRuns() {
	for _, rr := range cm.routes {
		rr.runs, rr.next, rr.median, rr.count, rr.medianAt = nil, 0, 0, 0, 0
	}
}

// Typical returns the median latency of the server's latest runs of a route. It returns
// false if there are too few.
func (cm *Comparer) Typical(route string, now timer.Instant) (timer.Span, bool) {
	rr := cm.routes[route]
	if rr == nil {
		return 0, false
	}
	rr.refresh(now)
	return rr.median, rr.count > 0
}

// refresh computes the median of the runs if that is due.
func (rr *routeRuns) refresh(now timer.Instant) {
	if rr.medianAt != 0 && now.Before(rr.medianAt.Add(medianInterval)) {
		return
	}
	rr.medianAt, rr.count = now, 0
	var latencies []timer.Span
	oldest := now
	for _, ru := range rr.runs {
		if now.Sub(ru.at) <= runSpan {
			latencies = append(latencies, ru.latency)
			oldest = min(oldest, ru.at)
		}
	}
	// A busy server fills the record in less than minSpan.
	isLong := now.Sub(oldest) >= minSpan || len(latencies) == maxRuns
	if len(latencies) >= minRuns && isLong {
		rr.median, rr.count = medianOf(latencies), len(latencies)
	}
}

// Speed returns the server's speed relative to the median of the given number of servers
// of its service, above 1 if it is faster. Routes count by the time that the server spends
// on them. It returns false if no route can be compared.
func (cm *Comparer) Speed(servers int, now timer.Instant) (float64, bool) {
	sum, weights := 0.0, 0.0
	needed := neededPeers(servers)
	for _, rr := range cm.routes {
		rr.refresh(now)
		usual, ok := rr.usual(needed, now)
		if !ok || rr.count == 0 || rr.median == 0 {
			continue
		}
		weight := float64(rr.count) * float64(rr.median)
		sum += weight * float64(usual) / float64(rr.median)
		weights += weight
	}
	if weights == 0 {
		return 0, false
	}
	return sum / weights, true
}

// neededPeers returns how many peers must have reported for a comparison.
func neededPeers(servers int) int { return max(minPeers, min((servers-1)/2, enoughPeers)) }

// usual returns the median over the servers of the service, this one included, of their
// median latencies, or false if fewer peers than needed have reported theirs. It drops
// reports that are too old.
func (rr *routeRuns) usual(needed int, now timer.Instant) (timer.Span, bool) {
	medians := []timer.Span{rr.median}
	for incarnation, pm := range rr.peers {
		if now.Sub(pm.at) > peerSpan {
			delete(rr.peers, incarnation)
			continue
		}
		medians = append(medians, pm.median)
	}
	return medianOf(medians), len(medians) > needed
}

// PeersTypical returns the median over the peers of their median latencies of a route, or
// false if fewer than minPeers have reported theirs.
func (cm *Comparer) PeersTypical(route string, now timer.Instant) (timer.Span, bool) {
	rr := cm.routes[route]
	if rr == nil {
		return 0, false
	}
	var medians []timer.Span
	for _, pm := range rr.peers {
		if now.Sub(pm.at) <= peerSpan {
			medians = append(medians, pm.median)
		}
	}
	if len(medians) < minPeers {
		return 0, false
	}
	return medianOf(medians), true
}

// medianOf sorts the spans and returns their median.
func medianOf(spans []timer.Span) timer.Span {
	slices.Sort(spans)
	middle := len(spans) / 2
	if len(spans)%2 != 0 {
		return spans[middle]
	}
	return (spans[middle-1] + spans[middle]) / 2
}
