package roller

import (
	"maps"

	"cornellanding.example/core/timer"
)

// grantTerm is how long a grant lasts at the gate: several polls, so that a lost one
// stops nothing, and short against the time in which a bad version must be stopped.
const grantTerm = timer.Second

// maxRoutes bounds the routes that a gate counts apart.
const maxRoutes = 64

// Counts counts the responses of a route. Latency is the sum over all of them.
type Counts struct {
	Good, Bad uint64
	Latency   timer.Span
}

// minus returns the counts since former, or those of a gate that began anew.
func (cu Counts) minus(former Counts) Counts {
	if cu.Good < former.Good || cu.Bad < former.Bad || cu.Latency < former.Latency {
		return cu
	}
	return Counts{Good: cu.Good - former.Good, Bad: cu.Bad - former.Bad, Latency: cu.Latency - former.Latency}
}

// Grant allows a gate to start requests on a version that is not in force, up to Ceiling
// since the order.
type Grant struct {
	Term    uint64
	Ceiling uint64
}

// Gate is a gate's part in a rollout: the grant in force, and what has been counted since
// the order.
type Gate struct {
	order   uint64
	term    uint64
	started uint64
	ceiling uint64
	until   timer.Instant
	routes  map[string]Counts
}

// NewGate returns a gate without a grant.
func NewGate() *Gate { return &Gate{routes: map[string]Counts{}} }

// follow starts the counts anew with a new order.
func (ga *Gate) follow(st State) {
	if ga.order == st.Order.ID {
		return
	}
	ga.order, ga.started, ga.ceiling, ga.until = st.Order.ID, 0, 0, 0
	ga.routes = map[string]Counts{}
}

// Apply puts a grant in force that was made for the state's order. One of a former acting
// instance is ignored.
func (ga *Gate) Apply(st State, gr Grant, now timer.Instant) {
	ga.follow(st)
	if gr.Term != st.Term || gr.Term < ga.term || gr.Ceiling == 0 {
		return
	}
	ga.term, ga.ceiling, ga.until = gr.Term, gr.Ceiling, now.Add(grantTerm)
}

// Admits reports whether a request may start on the named server of a version.
func (ga *Gate) Admits(st State, server, version string, now timer.Instant) bool {
	ga.follow(st)
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
