package roller

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

const (
	tick     = 50 * timer.Millisecond
	duration = 40 * timer.Second
	oldOnes  = 9
)

// fault is the way in which a new version is bad. Failures and slowdowns hit a part of the
// responses from some time on.
type fault struct {
	name             string
	fails, slow      float64
	after            timer.Span
	onRoute          string
	aboveLoad        float64 // in requests per second of a server
	rate             float64 // requests per second of the service
	outcome          Outcome
	killsActorAt     []timer.Span
	killsActorIn     []Phase // as soon as it has stored the first step of the phase
	withdrawnAt      timer.Span
	cutAt            timer.Span // the acting instance can't reach the store any more
	backAt           timer.Span // a second order names the old version
	hasNoNew, isSame bool
}

// simServer is a server of the simulated service.
type simServer struct {
	me     Member
	gate   *Gate
	speed  float64
	recent float64
	// isSlow is set for a fifth of the time, in periods of 400 ms.
	isSlow bool
}

// simulation is a service of old and new servers, the stored state, and three instances that
// may act. A stored state reaches the gates with the next poll, or after half a second.
type simulation struct {
	t        *testing.T
	rd       *rand.Rand
	fault    fault
	now      timer.Instant
	servers  []*simServer
	stored   State
	storedAt timer.Instant
	known    map[string]State
	rollers  map[uint64]*Roller
	order    Order

	arrived, exposed, bads, refused int
	stopBy                          timer.Instant
	isStatus                        Outcome
	killed                          map[Phase]bool
	steps                           []string
	endedAt                         timer.Instant
	cut                             uint64
}

func newSimulation(t *testing.T, seed uint64, fa fault) *simulation {
	si := &simulation{
		t: t, rd: rand.New(rand.NewPCG(seed, 1)), fault: fa, now: timer.Instant(timer.Second), known: map[string]State{}, rollers: map[uint64]*Roller{}, killed: map[Phase]bool{},
		stored: State{Service: "orders", Version: 1, InForce: "v1", Phase: Stable},
		order:  Order{ID: 7, Service: "orders", To: "v2", Duration: duration},
	}
	for i := range 2 * oldOnes {
		version := "v1"
		if i >= oldOnes {
			version = "v2"
		}
		if version == "v2" && fa.hasNoNew {
			break
		}
		name := fmt.Sprint("s", i)
		si.servers = append(si.servers, &simServer{
			me: Member{Incarnation: uint64(i + 1), Server: name, Version: version}, gate: NewGate(), speed: 0.5 + 1.2*si.rd.Float64(),
		})
		si.known[name] = si.stored
	}
	if fa.isSame {
		si.order.To = "v1"
	}
	for id := range uint64(3) {
		si.rollers[id+1] = New(id + 1)
	}
	return si
}

// run plays until the deadline and some seconds more.
func (si *simulation) run() {
	end := si.now.Add(duration + 8*timer.Second)
	for si.now.Before(end) {
		si.now = si.now.Add(tick)
		elapsed := si.now.Sub(timer.Instant(timer.Second))
		for _, at := range si.fault.killsActorAt {
			if elapsed >= at && elapsed < at+tick {
				delete(si.rollers, si.stored.Actor)
			}
		}
		if si.fault.cutAt > 0 && elapsed >= si.fault.cutAt && si.cut == 0 {
			si.cut = si.stored.Actor
		}
		if si.fault.withdrawnAt > 0 && elapsed >= si.fault.withdrawnAt {
			si.order = Order{}
		}
		if si.fault.backAt > 0 && elapsed >= si.fault.backAt {
			si.order = Order{ID: 8, Service: "orders", To: "v1", Duration: duration}
		}
		si.traffic(elapsed)
		si.control()
	}
}

func (si *simulation) traffic(elapsed timer.Span) {
	for _, se := range si.servers {
		se.recent *= 0.97
		if elapsed%(8*tick) == 0 {
			se.isSlow = si.rd.Float64() < 0.2
		}
	}
	total := uint32(0)
	for _, se := range si.servers {
		total += se.me.Weight
	}
	count := int(si.fault.rate*float64(tick)/float64(timer.Second) + si.rd.Float64())
	for range count {
		isBefore := elapsed < duration && si.isStatus != Complete
		if isBefore {
			si.arrived++
		}
		pick := si.rd.Uint32N(max(1, total))
		for _, se := range si.servers {
			if pick < se.me.Weight {
				si.request(se, elapsed)
				break
			}
			pick -= se.me.Weight
		}
	}
}

func (si *simulation) request(se *simServer, elapsed timer.Span) {
	st := si.known[se.me.Server]
	if !se.gate.Admits(st, se.me.Server, se.me.Version, si.now) {
		si.refused++
		return
	}
	se.gate.Start()
	se.recent += 0.03 * float64(timer.Second) / float64(tick)
	route := []string{"a", "b"}[si.rd.IntN(2)]
	latency, isBad := 0.1/se.speed*math.Exp(0.3*si.rd.NormFloat64()), si.rd.Float64() < 0.01
	if se.isSlow {
		latency *= 3
	}
	fa := si.fault
	isFaulty := elapsed >= fa.after && (fa.onRoute == "" || fa.onRoute == route) && se.recent >= fa.aboveLoad
	if se.me.Version == "v2" && isFaulty {
		if si.rd.Float64() < fa.fails {
			isBad = true
		}
		if si.rd.Float64() < fa.slow {
			latency *= 5
			si.bads++
		}
	}
	if se.me.Version == "v2" {
		si.exposed++
		if isBad {
			si.bads++
		}
		if si.bads >= 50 && si.stopBy == 0 {
			si.stopBy = si.now.Add(5 * timer.Second)
		}
		if si.stopBy != 0 && fa.outcome == RolledBack && si.now > si.stopBy {
			si.t.Fatalf("a request reached the bad version at %v, 5 s after its 50th bad response", elapsed.Duration())
		}
	} else if si.isStatus == Complete && !fa.hasNoNew && !fa.isSame && fa.backAt == 0 {
		si.t.Fatal("an old server got a request after complete")
	}
	if se.me.Version == "v2" && (si.isStatus == RolledBack || fa.backAt > 0 && si.isStatus == Complete) {
		si.t.Fatal("the new version got a request after the end")
	}
	se.gate.Finish(st.Order.ID, route, isBad, timer.Span(latency*float64(timer.Second)))
}

func (si *simulation) control() {
	var members []Member
	for _, se := range si.servers {
		if si.now.Sub(si.storedAt) >= timer.Second/2 {
			si.known[se.me.Server] = si.stored
			se.me.Weight = si.stored.ShareOf(se.me.Server, se.me.Version)
		}
		members = append(members, se.me)
	}
	wallAt := int64(si.now / timer.Instant(timer.Millisecond))
	for id := range uint64(3) {
		ro := si.rollers[id+1]
		if ro == nil {
			continue
		}
		ro.SetFleet(Fleet{Members: members, MapVersion: 1, Standbys: []uint64{1, 2, 3}})
		ro.SetOrder(si.order, uint64(si.now), si.now)
		if si.now.Sub(si.storedAt) >= timer.Second/2 || si.stored.Actor == id+1 {
			ro.Observe(si.stored, si.now, wallAt)
		}
		if id+1 == si.cut && !ro.IsActing() {
			continue
		}
		for _, po := range ro.Polls(si.now) {
			si.poll(ro, po)
		}
		ro.Evaluate(si.now)
		if next, ok := ro.Propose(si.now, wallAt); ok && id+1 == si.cut {
			ro.Wrote(true, si.now)
		} else if ok && next.Version == si.stored.Version+1 {
			if next.Phase != si.stored.Phase || next.Step != si.stored.Step {
				si.steps = append(si.steps, fmt.Sprintf("%v %s %d", timer.Span(si.now).Duration(), next.Phase, next.Step))
			}
			isNewPhase := next.Phase != si.stored.Phase
			si.stored, si.storedAt = next, si.now
			ro.Observe(next, si.now, wallAt)
			if isNewPhase && slices.Contains(si.fault.killsActorIn, next.Phase) && !si.killed[next.Phase] {
				si.killed[next.Phase] = true
				delete(si.rollers, id+1)
				continue
			}
		}
		if su, ok := ro.StatusDue(si.now); ok && su.StateVersion == si.stored.Version {
			if si.isStatus != su.Outcome {
				si.endedAt = si.now
			}
			si.isStatus = su.Outcome
			ro.StatusWritten(su, si.now)
		}
	}
}

func (si *simulation) poll(ro *Roller, po Poll) {
	if other := si.rollers[po.To]; other != nil {
		if !po.IsStalled {
			other.Hear(ro.State().Term, po.IsDone, si.now)
		}
	}
	for _, se := range si.servers {
		if se.me.Incarnation != po.To {
			continue
		}
		st := ro.State()
		si.known[se.me.Server] = st
		se.gate.Apply(st, po.Grant, si.now)
		started, routes := se.gate.Counts(st)
		ro.Report(po.To, Report{StateVersion: st.Version, MapVersion: 1, Started: started, Routes: routes, IsReady: true}, si.now)
	}
}

// TestVersions guards against a bad version that gets more than its exposure or that is
// completed, and a good one that is rolled back or not completed in time.
func TestVersions(t *testing.T) {
	late := duration * 3 / 10
	kills := []timer.Span{duration / 4, duration * 65 / 100}
	for _, fa := range []fault{
		{name: "good", rate: 400, outcome: Complete},
		{name: "good, little traffic", rate: 1, outcome: Complete},
		{name: "good, no traffic", outcome: Complete},
		{name: "good, acting instance lost", rate: 400, outcome: Complete, killsActorAt: kills},
		{name: "good, acting instance lost with canary and ramp", rate: 400, outcome: Complete, killsActorIn: []Phase{Canary, Ramp}},
		{name: "good, acting instance lost with move and close", rate: 400, outcome: Complete, killsActorIn: []Phase{Moving, Closing}},
		{name: "good, acting instance lost before the status", rate: 400, outcome: Complete, killsActorIn: []Phase{Ramp, Stable}},
		{name: "fails, acting instance lost before the status", rate: 400, fails: 0.3, after: late, outcome: RolledBack, killsActorIn: []Phase{Canary, Stable}},
		{name: "fails at once", rate: 400, fails: 0.3, outcome: RolledBack},
		{name: "fails later", rate: 400, fails: 0.3, after: late, outcome: RolledBack},
		{name: "fails in the ramp", rate: 400, fails: 0.3, after: duration * 62 / 100, outcome: RolledBack},
		{name: "fails under load", rate: 400, fails: 0.5, aboveLoad: 5, outcome: RolledBack},
		{name: "fails on one route", rate: 400, fails: 0.2, onRoute: "b", outcome: RolledBack},
		{name: "slow", rate: 400, slow: 1, outcome: RolledBack},
		{name: "slow later", rate: 400, slow: 1, after: late, outcome: RolledBack},
		{name: "fails, acting instance lost", rate: 400, fails: 0.2, after: late, outcome: RolledBack, killsActorAt: []timer.Span{late}},
		{name: "good, acting instance cut off", rate: 400, outcome: Complete, cutAt: duration / 3},
		{name: "fails, acting instance cut off", rate: 400, fails: 0.3, after: late, outcome: RolledBack, cutAt: late},
		{name: "withdrawn", rate: 400, outcome: RolledBack, withdrawnAt: late},
		{name: "ordered back", rate: 400, outcome: Complete, backAt: duration / 4},
		{name: "without a server", rate: 400, outcome: Complete, hasNoNew: true},
		{name: "in force", rate: 400, outcome: Complete, isSame: true},
	} {
		t.Run(fa.name, func(t *testing.T) {
			worst := 0.0
			for seed := range uint64(20) {
				si := newSimulation(t, seed, fa)
				si.run()
				is := is.New(t)
				if si.isStatus != fa.outcome {
					t.Log("seed", seed, "steps", si.steps)
				}
				is.Equal(si.isStatus, fa.outcome)
				is.True(si.endedAt.Sub(timer.Instant(timer.Second)) < duration)
				bound := 0.1*float64(si.arrived) + 50
				if fa.outcome == RolledBack {
					is.True(float64(si.exposed) <= bound)
				}
				worst = max(worst, float64(si.exposed)/bound)
				is.True(float64(si.refused) <= 0.02*float64(si.arrived)+20)
			}
			t.Logf("highest exposure / bound: %.2f", worst)
		})
	}
}

// TestStates guards against a server of another version that the maps or the gates give
// anything, in each phase.
func TestStates(t *testing.T) {
	is := is.New(t)
	st := State{InForce: "v1", Phase: Canary, Order: Order{ID: 1, To: "v2"}, Canaries: []string{"c"}, Share: 3}
	is.Equal(st.ShareOf("a", "v1"), uint32(FullShare))
	is.Equal(st.ShareOf("c", "v2"), uint32(3))
	is.Equal(st.ShareOf("d", "v2"), uint32(0))
	is.Equal(st.ShareOf("e", "v3"), uint32(0))
	is.Equal(st.AdmissionOf("c", "v2"), AdmitGranted)
	is.Equal(st.AdmissionOf("d", "v2"), AdmitNone)
	st.Phase = Moving
	is.Equal(st.ShareOf("a", "v1"), uint32(0))
	is.Equal(st.AdmissionOf("a", "v1"), AdmitAll) // until its keys have moved
	st.Phase = Closing
	is.Equal(st.AdmissionOf("a", "v1"), AdmitNone)
	is.Equal(st.AdmissionOf("d", "v2"), AdmitAll)
	st.Phase = Stable
	is.Equal(st.AdmissionOf("c", "v2"), AdmitNone)
	first, ok := First("s", []string{"v2", "v1", "", "v1"})
	is.True(ok)
	is.Equal(first.InForce, "v1")
	is.Equal(first.AdmissionOf("c", "v2"), AdmitNone)
}

// TestGrants guards against requests that a gate starts beyond its grant, after the grant
// has ended, or under the grant of a former acting instance.
func TestGrants(t *testing.T) {
	is := is.New(t)
	st := State{InForce: "v1", Phase: Canary, Order: Order{ID: 1, To: "v2"}, Canaries: []string{"c"}, Share: 8, Term: 2}
	ga := NewGate()
	is.True(!ga.Admits(st, "c", "v2", 0)) // nothing before the first grant
	ga.Apply(st, Grant{Term: 1, Ceiling: 5}, 0)
	is.True(!ga.Admits(st, "c", "v2", 0)) // of a former acting instance
	ga.Apply(st, Grant{Term: 2, Ceiling: 1}, 0)
	is.True(ga.Admits(st, "c", "v2", 0))
	ga.Start()
	is.True(!ga.Admits(st, "c", "v2", 0)) // used up
	ga.Apply(st, Grant{Term: 2, Ceiling: 9}, 0)
	is.True(ga.Admits(st, "c", "v2", timer.Instant(grantTerm)-1))
	is.True(!ga.Admits(st, "c", "v2", timer.Instant(grantTerm)))
	st.Order.ID = 2
	is.True(!ga.Admits(st, "c", "v2", 0)) // the grant was for another order
}
