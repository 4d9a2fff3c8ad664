// Package balancer chooses a backend server for a request to a shared service,
// which any of its servers may handle.
//
// It compares two random candidates by their outstanding requests and observed
// latency. A server that is much slower than its peers goes on probation: it gets a
// trickle of requests until its latency is close to its peers' again. At most a
// quarter of the servers may be on probation.
//
// If the gates of the servers report how fast these are and how many requests of all
// entries they hold, candidates are drawn by speed and compared by their queues too, see
// Report. An entry with few requests of its own then avoids full servers.
//
// Balancer is a state machine without a clock or goroutines, and callers must
// serialize access to it.
//
// # Usage
//
//	ba := balancer.New()
//	ba.SetMembers(incarnations)
//	chosen, ok := ba.Choose(random, excluded)
//	ba.Start(chosen)
//	ba.Finish(chosen, latency, isFailed)
//
// With reports of the gates:
//
//	chosen, ok := ba.ChooseAt(random, excluded, now)
//	ba.Report(chosen, balancer.Load{Running: running, Waiting: waiting, Speed: speed}, now)
package balancer

import (
	"slices"

	"cornellanding.example/core/timer"
)

const (
	// latencyWeight is the weight of a new sample in the smoothed latency.
	latencyWeight = 0.1
	// stragglerFactor is the ratio to the peers' median latency above which a
	// server goes on probation, and recoveredFactor is the ratio at which probation
	// ends.
	stragglerFactor = 3.0
	recoveredFactor = 1.5
	// Every probationInterval-th choice goes to a server on probation.
	probationInterval = 50
	// At most the number of servers divided by probationDivisor may be on probation.
	probationDivisor = 4
	// similarCost is the cost ratio of the second candidate to the first above
	// which both count as equal, so that noise does not keep work from a server.
	similarCost = 0.8
	// preferredCostShare is the ratio to a preferred server's cost below which
	// another server is chosen instead.
	preferredCostShare = 0.6
	// failureCost is the least latency recorded for a failed request, minSamples is
	// the number of samples from which a server's latency is compared, and
	// firstLatency is the initial latency.
	failureCost  = 250 * timer.Millisecond
	minSamples   = 8
	firstLatency = timer.Millisecond
)

// server is the state of one backend server.
type server struct {
	incarnation uint64
	outstanding int
	// latency is the smoothed latency in nanoseconds over the given number of samples.
	latency     float64
	samples     int
	isProbation bool
	reported    reportedLoad
}

// Balancer is the load balancing state of one shared service.
type Balancer struct {
	servers   []*server
	choices   uint64
	preferred map[uint64]bool
	// now is the time of the latest choice, and usual what is usual of all servers.
	now   timer.Instant
	usual usualLoad
}

// New returns a Balancer without servers.
func New() *Balancer { return &Balancer{} }

// SetMembers sets the incarnations of the servers to choose from. The state of
// servers that remain is kept.
func (ba *Balancer) SetMembers(incarnations []uint64) {
	var kept []*server
	for _, incarnation := range incarnations {
		se := ba.find(incarnation)
		if se == nil {
			se = &server{incarnation: incarnation, latency: float64(firstLatency)}
		}
		kept = append(kept, se)
	}
	ba.servers = kept
}

// SetPreferred sets the incarnations to prefer, those in the same data centre. Other
// servers are chosen only at a much lower cost.
func (ba *Balancer) SetPreferred(incarnations []uint64) {
	ba.preferred = map[uint64]bool{}
	for _, incarnation := range incarnations {
		ba.preferred[incarnation] = true
	}
}

func (ba *Balancer) find(incarnation uint64) *server {
	for _, se := range ba.servers {
		if se.incarnation == incarnation {
			return se
		}
	}
	return nil
}

// Choose returns the incarnation of a server that is not excluded. Random is 64
// random bits. It returns false if no server is left.
func (ba *Balancer) Choose(random uint64, excluded []uint64) (uint64, bool) {
	return ba.ChooseAt(random, excluded, 0)
}

// ChooseAt is Choose at now, which gives the ages of the gates' reports.
func (ba *Balancer) ChooseAt(random uint64, excluded []uint64, now timer.Instant) (uint64, bool) {
	ba.now = now
	ba.choices++
	usable := ba.usable(excluded, false)
	trickle := ba.usable(excluded, true)
	isTrickle := len(trickle) > 0 && ba.choices%probationInterval == 0
	if len(usable) == 0 || isTrickle {
		usable = trickle
	}
	if len(usable) == 0 {
		return 0, false
	}
	first, second := ba.draw(usable, random, 0), ba.draw(usable, random, 32)
	if ba.cost(second) < ba.cost(first)*similarCost {
		first = second
	}
	if preferred := ba.choosePreferred(usable, random); preferred != nil && ba.cost(preferred)*preferredCostShare <= ba.cost(first) {
		first = preferred
	}
	return first.incarnation, true
}

// choosePreferred returns the cheaper of two random preferred servers, or nil if
// there is none.
func (ba *Balancer) choosePreferred(usable []*server, random uint64) *server {
	var preferred []*server
	for _, se := range usable {
		if ba.preferred[se.incarnation] {
			preferred = append(preferred, se)
		}
	}
	if len(preferred) == 0 {
		return nil
	}
	first, second := ba.draw(preferred, random, 16), ba.draw(preferred, random, 48)
	if ba.cost(second) < ba.cost(first) {
		return second
	}
	return first
}

func (ba *Balancer) usable(excluded []uint64, isProbation bool) []*server {
	var usable []*server
	for _, se := range ba.servers {
		if se.isProbation == isProbation && !slices.Contains(excluded, se.incarnation) {
			usable = append(usable, se)
		}
	}
	return usable
}

// cost is the expected latency of one more request on the server.
func (ba *Balancer) cost(se *server) float64 {
	if ba.usual.hasReports {
		return ba.reportedCost(se)
	}
	return float64(se.outstanding+1) * se.latency
}

// Start records the start of a request.
func (ba *Balancer) Start(incarnation uint64) {
	if se := ba.find(incarnation); se != nil {
		se.outstanding++
	}
}

// Finish records the end of a request and its latency.
func (ba *Balancer) Finish(incarnation uint64, latency timer.Span, isFailed bool) {
	se := ba.find(incarnation)
	if se == nil {
		return
	}
	se.outstanding = max(0, se.outstanding-1)
	if isFailed {
		latency = max(latency, failureCost)
	}
	ba.usual.latency += usualWeight * (float64(latency) - ba.usual.latency)
	se.samples++
	se.latency += latencyWeight * (float64(latency) - se.latency)
	ba.review(se)
}

// Cancel records that a request was cancelled after the elapsed time. That is only a
// lower bound of its latency, so it is used only if it raises the server's latency.
func (ba *Balancer) Cancel(incarnation uint64, elapsed timer.Span) {
	se := ba.find(incarnation)
	if se == nil {
		return
	}
	if float64(elapsed) > se.latency {
		ba.Finish(incarnation, elapsed, false)
		return
	}
	se.outstanding = max(0, se.outstanding-1)
}

// review puts a server on probation or ends it, by comparison with the median of its
// peers. The gap between both thresholds prevents flapping.
func (ba *Balancer) review(se *server) {
	median, ok := ba.medianOfOthers(se)
	if !ok {
		return
	}
	switch {
	case se.isProbation && se.latency <= median*recoveredFactor:
		se.isProbation = false
	case !se.isProbation && se.samples >= minSamples && se.latency > median*stragglerFactor:
		se.isProbation = ba.onProbation() < len(ba.servers)/probationDivisor
	}
}

func (ba *Balancer) medianOfOthers(se *server) (float64, bool) {
	var others []float64
	for _, other := range ba.servers {
		if other != se && other.samples >= minSamples {
			others = append(others, other.latency)
		}
	}
	if len(others) == 0 {
		return 0, false
	}
	slices.Sort(others)
	return others[len(others)/2], true
}

func (ba *Balancer) onProbation() int {
	count := 0
	for _, se := range ba.servers {
		if se.isProbation {
			count++
		}
	}
	return count
}

// Probation returns the incarnations of the servers on probation.
func (ba *Balancer) Probation() []uint64 {
	var list []uint64
	for _, se := range ba.servers {
		if se.isProbation {
			list = append(list, se.incarnation)
		}
	}
	return list
}
