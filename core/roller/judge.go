package roller

import "math"

// Verdict is what is known of a new version.
type Verdict int

const (
	// NoFault means that nothing speaks against the version.
	NoFault Verdict = iota
	// Doubt means that it may be bad, so that no further step is made.
	Doubt
	// Bad means that it is to be rolled back.
	Bad
)

// String returns the verdict's name for logs.
func (ve Verdict) String() string {
	switch ve {
	case Doubt:
		return "doubt"
	case Bad:
		return "bad"
	default:
		return "noFault"
	}
}

const (
	// oldMemory is the weight of what the old servers did before the latest evaluation.
	// Failures that both versions share, as of a called service, come and go within
	// seconds: at an evaluation every 250 ms the mean age is 2.5 s.
	oldMemory = 0.9
	// minOld is how many responses of the old servers make their rate of failures known.
	minOld = 20
	// A version is as good as the old one up to failureFactor times its rate of failures
	// plus failureFloor, and bad from three times that plus failureStep.
	failureFactor = 1.3
	failureFloor  = 0.01
	failureStep   = 0.05
	// badFailures and badLatency end the sequential tests; doubtShare of them is doubt.
	// With badFailures the test takes 5 failures in quick succession, and one good version
	// in some thousands is rolled back.
	badFailures = 10
	// badTails is higher, since slow responses of a good server come in bursts.
	badTails   = 20
	badLatency = 3
	doubtShare = 0.4
	// slowRatio is the ratio of mean latencies from which a version counts as slower, with
	// slowSpread more for a single server: servers differ in speed from 0.5 to 1.7.
	slowRatio  = 1.6
	slowSpread = 0.35
	// fullWeightOf is how many responses give an evaluation of latencies its full weight.
	fullWeightOf = 4
	// excessBase and excessErrors bound failures over the whole rollout: a rate too low for
	// the sequential test shows by its sum.
	excessBase   = 8
	excessErrors = 4
	excessFactor = 1.5
)

// sample counts responses.
type sample struct {
	n, bad, slow, latency float64
}

func (sa *sample) add(cu Counts) {
	sa.n += float64(cu.Good + cu.Bad)
	sa.bad += float64(cu.Bad)
	sa.slow += float64(cu.Slow)
	sa.latency += float64(cu.Latency)
}

func (sa *sample) scale(by float64) {
	sa.n *= by
	sa.bad *= by
	sa.slow *= by
	sa.latency *= by
}

// routeJudge compares the versions on one route.
type routeJudge struct {
	// fresh holds the new version's responses since the latest evaluation, old the old
	// one's, which fade.
	fresh, freshTimed, old, oldTimed sample
	allNew, allOld                   sample
	// failures, tails and slowness are the sums of the sequential tests.
	failures, tails, slowness float64
}

// Judge compares a new version with the old one on the same routes at the same time.
// Failures are compared by a sequential test, latencies by the ratio of means.
type Judge struct {
	routes map[string]*routeJudge
}

// NewJudge returns a Judge that knows nothing.
func NewJudge() *Judge { return &Judge{routes: map[string]*routeJudge{}} }

// Add adds responses of a server. The latencies of a cold one are left out.
func (ju *Judge) Add(isNew, isCold bool, route string, cu Counts) {
	if cu.Good+cu.Bad == 0 {
		return
	}
	rj := ju.routes[route]
	if rj == nil {
		rj = &routeJudge{}
		ju.routes[route] = rj
	}
	all, recent, timed := &rj.allOld, &rj.old, &rj.oldTimed
	if isNew {
		all, recent, timed = &rj.allNew, &rj.fresh, &rj.freshTimed
	}
	all.add(cu)
	recent.add(cu)
	if !isCold {
		timed.add(cu)
	}
}

// Evaluate compares what was added since the latest call. Servers is how many servers of
// the new version responded.
func (ju *Judge) Evaluate(servers int) {
	for _, rj := range ju.routes {
		rj.failures = advance(rj.failures, rj.fresh.bad, rj.fresh.n, rj.oldRate(func(sa sample) float64 { return sa.bad }))
		rj.tails = advance(rj.tails, rj.freshTimed.slow, rj.freshTimed.n, rj.oldRate(func(sa sample) float64 { return sa.slow }))
		rj.compareLatency(servers)
		rj.fresh, rj.freshTimed = sample{}, sample{}
		rj.old.scale(oldMemory)
		rj.oldTimed.scale(oldMemory)
	}
}

// oldRate returns the higher of the recent and the whole rate of what is counted among the
// responses of the old servers.
func (rj *routeJudge) oldRate(count func(sa sample) float64) float64 {
	rate := 0.0
	for _, sa := range []sample{rj.old, rj.allOld} {
		if sa.n >= minOld {
			rate = max(rate, count(sa)/sa.n)
		}
	}
	return rate
}

// advance returns the sum of a sequential test after n more responses, bad ones among them,
// where the old servers have the rate.
func advance(sum, bad, n, rate float64) float64 {
	as := min(0.5, failureFactor*rate+failureFloor)
	worse := min(0.95, 3*as+failureStep)
	return max(0, sum+bad*math.Log(worse/as)+(n-bad)*math.Log((1-worse)/(1-as)))
}

func (rj *routeJudge) compareLatency(servers int) {
	if rj.freshTimed.n == 0 || rj.oldTimed.n < minOld/2 {
		return
	}
	ratio := (rj.freshTimed.latency / rj.freshTimed.n) / (rj.oldTimed.latency / rj.oldTimed.n)
	limit := math.Log(slowRatio) + slowSpread/math.Sqrt(float64(max(1, servers)))
	weight := min(1, rj.freshTimed.n/fullWeightOf)
	rj.slowness = max(0, rj.slowness+weight*(math.Log(max(ratio, 0.01))-limit))
}

// exceeds reports whether the failures of the whole rollout can't be chance.
func (rj *routeJudge) exceeds() bool {
	if rj.allOld.n < minOld {
		return false
	}
	expected := excessFactor * rj.allNew.n * rj.allOld.bad / rj.allOld.n
	deviation := math.Sqrt(expected * (1 + rj.allNew.n/rj.allOld.n))
	return rj.allNew.bad > expected+excessErrors*deviation+excessBase
}

// Verdict returns what the evaluations show.
func (ju *Judge) Verdict() Verdict {
	verdict := NoFault
	for _, rj := range ju.routes {
		level := max(rj.failures/badFailures, rj.tails/badTails, rj.slowness/badLatency)
		switch {
		case level >= 1 || rj.exceeds():
			return Bad
		case level >= doubtShare:
			verdict = Doubt
		}
	}
	return verdict
}
