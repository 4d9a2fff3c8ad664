// Package balancer chooses a backend server for a request that any of several
// may serve.
//
// It compares two candidates by outstanding requests and by the latency seen,
// and puts a straggler on probation, where it gets a trickle of work until its
// latency is back among its peers'. At most a quarter of the servers may be on
// probation.
//
// Balancer is a state machine without a clock or a goroutine; its caller locks
// it.
//
// # Usage
//
//	ba := balancer.New()
//	ba.SetMembers(incarnations)
//	chosen, ok := ba.Choose(random, excluded)
//	ba.Start(chosen)
//	ba.Finish(chosen, latency, isFailed)
package balancer

import (
	"slices"

	"cornellanding.example/core/timer"
)

const (
	latencyWeight = 0.1
	// stragglerFactor is how many times the peers' median makes a straggler,
	// and recoveredFactor when it is one no longer.
	stragglerFactor = 3.0
	recoveredFactor = 1.5
	// probationShare is the inverse share of choices that go to servers on
	// probation.
	probationShare = 50
	// maxOutShare is the inverse share of servers that may be on probation.
	maxOutShare = 4
	// similarCost is the ratio above which two costs count as alike, so that
	// noise does not keep work from a server.
	similarCost = 0.8
	// nearShare is the share of a near server's cost below which another one is
	// chosen.
	nearShare    = 0.6
	failureCost  = 250 * timer.Millisecond
	minSamples   = 8
	firstLatency = timer.Millisecond
)

// server is what is known of one backend server.
type server struct {
	incarnation uint64
	outstanding int
	latency     float64
	samples     int
	isProbation bool
}

// Balancer is the state of the choice among one service's backend servers.
type Balancer struct {
	servers []*server
	choices uint64
	near    map[uint64]bool
}

// New returns a balancer without servers.
func New() *Balancer { return &Balancer{} }

// SetMembers takes the incarnations that may be chosen. What is known of those
// that stay is kept.
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

// SetPreferred takes the incarnations that are preferred: those to which traffic is
// cheap. Others are chosen when they cost much less.
func (ba *Balancer) SetPreferred(incarnations []uint64) {
	ba.near = map[uint64]bool{}
	for _, incarnation := range incarnations {
		ba.near[incarnation] = true
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

// Choose picks a server that is not excluded. Random is any 64 random bits.
func (ba *Balancer) Choose(random uint64, excluded []uint64) (uint64, bool) {
	ba.choices++
	usable := ba.usable(excluded, false)
	trickle := ba.usable(excluded, true)
	isTrickle := len(trickle) > 0 && ba.choices%probationShare == 0
	if len(usable) == 0 || isTrickle {
		usable = trickle
	}
	if len(usable) == 0 {
		return 0, false
	}
	first := usable[random%uint64(len(usable))]
	second := usable[(random>>32)%uint64(len(usable))]
	if second.cost() < first.cost()*similarCost {
		first = second
	}
	if near := ba.nearest(usable, random); near != nil && near.cost()*nearShare <= first.cost() {
		first = near
	}
	return first.incarnation, true
}

// nearest picks the cheaper of two near servers, or nil if there is none.
func (ba *Balancer) nearest(usable []*server, random uint64) *server {
	var near []*server
	for _, se := range usable {
		if ba.near[se.incarnation] {
			near = append(near, se)
		}
	}
	if len(near) == 0 {
		return nil
	}
	first := near[(random>>16)%uint64(len(near))]
	second := near[(random>>48)%uint64(len(near))]
	if second.cost() < first.cost() {
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

func (se *server) cost() float64 { return float64(se.outstanding+1) * se.latency }

// Start counts a request under way.
func (ba *Balancer) Start(incarnation uint64) {
	if se := ba.find(incarnation); se != nil {
		se.outstanding++
	}
}

// Finish counts a request's end and its latency.
func (ba *Balancer) Finish(incarnation uint64, latency timer.Span, isFailed bool) {
	se := ba.find(incarnation)
	if se == nil {
		return
	}
	se.outstanding = max(0, se.outstanding-1)
	if isFailed {
		latency = max(latency, failureCost)
	}
	se.samples++
	se.latency += latencyWeight * (float64(latency) - se.latency)
	ba.review(se)
}

// Cancel ends a request that was given up after the elapsed time. That is only a
// lower bound of its latency, so it counts against the server, never for it.
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

// review compares a server with the median of its peers. Two thresholds keep
// it from going in and out of probation on every small change.
func (ba *Balancer) review(se *server) {
	median, ok := ba.medianOfOthers(se)
	if !ok {
		return
	}
	switch {
	case se.isProbation && se.latency <= median*recoveredFactor:
		se.isProbation = false
	case !se.isProbation && se.samples >= minSamples && se.latency > median*stragglerFactor:
		se.isProbation = ba.onProbation() < len(ba.servers)/maxOutShare
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

// Probation lists the incarnations on probation.
func (ba *Balancer) Probation() []uint64 {
	var list []uint64
	for _, se := range ba.servers {
		if se.isProbation {
			list = append(list, se.incarnation)
		}
	}
	return list
}
