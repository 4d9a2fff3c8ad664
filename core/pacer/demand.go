package pacer

import (
	"slices"

	"cornellanding.example/core/timer"
)

const (
	// demandSpan is the interval over which the work that arrives is added up, and
	// demandSpans how many of them give the median. A hot key, which gets many of a
	// route's requests for 4 to 5 s, must not move other keys: the move would come after
	// its end.
	demandSpan  = timer.Second
	demandSpans = 11
	// peerDemandSpan is for how long a peer's demand counts.
	peerDemandSpan = 8 * timer.Second
	// busyShare is the share of a server's slots that its work must take before a load
	// above the mean counts: a server that is far from full needs no keys moved.
	busyShare = 0.4
)

// demandMeter measures the work that arrives at a server.
type demandMeter struct {
	// work is what has arrived since startedAt, in nanoseconds of a slot, and former
	// holds the work of the latest spans before, oldest first.
	work      float64
	startedAt timer.Instant
	former    []float64
	peers     map[uint64]peerDemand
}

// peerDemand is a peer's demand divided by that of the server itself at the same time, as
// the work of all servers rises and falls together.
type peerDemand struct {
	ratio float64
	at    timer.Instant
}

// ObserveArrival records a request for the server at now, also one that is refused.
func (cm *Comparer) ObserveArrival(route string, now timer.Instant) {
	cm.de.advance(now)
	if rr := cm.routes[route]; rr != nil {
		cm.de.work += float64(rr.median)
	}
}

// advance ends the spans that are over.
func (de *demandMeter) advance(now timer.Instant) {
	if now.Sub(de.startedAt) > demandSpans*demandSpan {
		de.startedAt, de.work, de.former = now, 0, nil
	}
	for now.Sub(de.startedAt) >= demandSpan {
		if len(de.former) == demandSpans {
			de.former = slices.Delete(de.former, 0, 1)
		}
		de.former = append(de.former, de.work)
		de.startedAt, de.work = de.startedAt.Add(demandSpan), 0
	}
}

// Demand returns the work that arrives at the server, as the number of slots that it
// would keep busy: the median over the latest seconds. It returns false before there are
// enough of them.
func (cm *Comparer) Demand(now timer.Instant) (float64, bool) {
	cm.de.advance(now)
	if len(cm.de.former) < demandSpans {
		return 0, false
	}
	sorted := slices.Clone(cm.de.former)
	slices.Sort(sorted)
	return sorted[demandSpans/2] / float64(demandSpan), true
}

// ObservePeerDemand records the demand that the peer with the incarnation reports in an
// answer.
func (cm *Comparer) ObservePeerDemand(incarnation uint64, demand float64, now timer.Instant) {
	own, ok := cm.Demand(now)
	if !ok || own == 0 {
		return
	}
	if _, isKnown := cm.de.peers[incarnation]; isKnown || len(cm.de.peers) < maxPeers {
		cm.de.peers[incarnation] = peerDemand{ratio: demand / own, at: now}
	}
}

// load returns the demand of the server relative to the mean over the servers of its
// service, no more than 1 if few of its slots are needed, or 0 if that is not known.
func (cm *Comparer) load(servers, slots int, now timer.Instant) float64 {
	sum, count := 1.0, 1
	for incarnation, pd := range cm.de.peers {
		if now.Sub(pd.at) > peerDemandSpan {
			delete(cm.de.peers, incarnation)
			continue
		}
		sum, count = sum+pd.ratio, count+1
	}
	if count <= neededPeers(servers) {
		return 0
	}
	load := float64(count) / sum
	if own, _ := cm.Demand(now); own < busyShare*float64(slots) {
		load = min(load, 1)
	}
	return load
}

// Standing is how a server compares with the others of its service.
type Standing struct {
	// Speed is relative to the median of the service, above 1 if the server is faster.
	Speed float64
	// Load is the work that arrives relative to the mean of the service, 0 if it is not
	// known.
	Load float64
}

// Standing returns how the server, with the given number of slots, compares with the given
// number of servers of its service, itself included. It returns false if the speed is not
// known.
func (cm *Comparer) Standing(servers, slots int, now timer.Instant) (Standing, bool) {
	speed, ok := cm.Speed(servers, now)
	return Standing{Speed: speed, Load: cm.load(servers, slots, now)}, ok
}
