package roller

import (
	"maps"
	"slices"

	"cornellanding.example/core/timer"
)

// grantTerm is how long a grant lasts at the gate: several polls, so that a lost one
// stops nothing, and short against the time in which a bad version must be stopped.
const grantTerm = timer.Second

// maxRoutes bounds the routes that a gate counts apart.
const maxRoutes = 64

const (
	// slowFactor is the ratio to the server's own usual latency from which a response counts
	// as slow. Servers are at times three times slower as a whole.
	slowFactor = 4
	// usualQuantile is the quantile of a server's latencies that counts as the usual one. It
	// is below the median, so that many slow responses don't raise it. latencyStep is by how
	// much a response moves its estimate, and firstSamples how many make the first one.
	usualQuantile = 0.3
	latencyStep   = 0.02
	firstSamples  = 10
)

// Counts counts the responses of a route. Slow ones, against what is usual at the server,
// are among the others. Latency is the sum over all of them.
type Counts struct {
	Good, Bad, Slow uint64
	Latency         timer.Span
}

// usual estimates the usual latency of a server on a route.
type usual struct {
	first []timer.Span
	value float64
}

// observe returns whether a latency is slow against the usual one so far.
func (us *usual) observe(latency timer.Span) bool {
	if us.value == 0 {
		us.first = append(us.first, latency)
		if len(us.first) == firstSamples {
			slices.Sort(us.first)
			us.value, us.first = max(1, float64(us.first[int(usualQuantile*firstSamples)])), nil
		}
		return false
	}
	isSlow := float64(latency) > slowFactor*us.value
	if float64(latency) > us.value {
		us.value *= 1 + latencyStep*usualQuantile
	} else {
		us.value *= 1 - latencyStep*(1-usualQuantile)
	}
	return isSlow
}

// minus returns the counts since former, or those of a gate that began anew.
func (cu Counts) minus(former Counts) Counts {
	if cu.Good < former.Good || cu.Bad < former.Bad || cu.Slow < former.Slow || cu.Latency < former.Latency {
		return cu
	}
	return Counts{Good: cu.Good - former.Good, Bad: cu.Bad - former.Bad, Slow: cu.Slow - former.Slow, Latency: cu.Latency - former.Latency}
}

// Grant allows a gate to start requests on a version that is not in force, up to Ceiling
// since the order.
type Grant struct {
	Term    uint64
	Ceiling uint64
	// IsStopped means that the new version is bad, before a state that says so is stored.
	IsStopped bool
}

// Gate is a gate's part in a rollout: the grant in force, and what has been counted since
// the order.
type Gate struct {
	order   uint64
	term    uint64
	started uint64
	ceiling uint64
	until   timer.Instant
	// stopped is the version of the state under which the new version gets nothing.
	stopped uint64
	routes  map[string]Counts
	usuals  map[string]*usual
}

// NewGate returns a gate without a grant.
func NewGate() *Gate { return &Gate{routes: map[string]Counts{}, usuals: map[string]*usual{}} }

// follow starts the counts anew with a new order.
func (ga *Gate) follow(st State) {
	if ga.order == st.Order.ID {
		return
	}
	ga.order, ga.started, ga.ceiling, ga.until = st.Order.ID, 0, 0, 0
	ga.routes, ga.usuals = map[string]Counts{}, map[string]*usual{}
}

// Apply puts a grant in force that was made for the state's order. One of a former acting
// instance is ignored.
func (ga *Gate) Apply(st State, gr Grant, now timer.Instant) {
	ga.follow(st)
	if gr.Term != st.Term || gr.Term < ga.term {
		return
	}
	if gr.IsStopped {
		ga.stopped = st.Version
	}
	if gr.Ceiling == 0 {
		return
	}
	ga.term, ga.ceiling, ga.until = gr.Term, gr.Ceiling, now.Add(grantTerm)
}

// Admits reports whether a request may start on the named server of a version.
func (ga *Gate) Admits(st State, server, version string, now timer.Instant) bool {
	ga.follow(st)
	if st.Version != 0 && st.Version == ga.stopped && version != st.InForce {
		return false
	}
	switch st.AdmissionOf(server, version) {
	case AdmitAll:
		return true
	case AdmitGranted:
		return ga.term == st.Term && ga.started < ga.ceiling && now.Before(ga.until)
	default:
		return false
	}
}

// Start counts a request that starts. It follows Admits without another call between them.
func (ga *Gate) Start() { ga.started++ }

// Finish counts the response to a request that was started under an order. Responses to
// requests of a former order are ignored.
func (ga *Gate) Finish(order uint64, route string, isBad bool, latency timer.Span) {
	if order != ga.order {
		return
	}
	cu, ok := ga.routes[route]
	if !ok && len(ga.routes) >= maxRoutes {
		return
	}
	if isBad {
		cu.Bad++
	} else {
		cu.Good++
	}
	if !ok {
		ga.usuals[route] = &usual{}
	}
	if ga.usuals[route].observe(latency) {
		cu.Slow++
	}
	cu.Latency += latency
	ga.routes[route] = cu
}

// Order returns the ID of the order whose requests are counted.
func (ga *Gate) Order() uint64 { return ga.order }

// Counts returns how many requests were started since the order, and the responses by
// route.
func (ga *Gate) Counts(st State) (uint64, map[string]Counts) {
	ga.follow(st)
	return ga.started, maps.Clone(ga.routes)
}
