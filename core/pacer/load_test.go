package pacer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

const busyPartitions = 1024

// keyed simulates a service split by key over 45 servers, with the partitions that hashing
// gives each, in steps of 100 ms. Some keys are always busier than others, and every 20 s
// one gets a third of all requests for 5 s.
type keyed struct {
	random    *rand.Rand
	speeds    []float64
	comparers []*Comparer
	shares    []*Share
	tb        *placer.Table
	rates     []float64
	changes   int
	moves     int
	now       timer.Instant
}

func newKeyed(seed uint64) *keyed {
	ky := &keyed{random: rand.New(rand.NewPCG(seed, 9)), speeds: spread(45, 0.7, 1.7)}
	ky.random.Shuffle(45, func(le, ri int) { ky.speeds[le], ky.speeds[ri] = ky.speeds[ri], ky.speeds[le] })
	ma := placer.NewMap("sheet-viewer", busyPartitions)
	for i := range ky.speeds {
		ky.comparers, ky.shares = append(ky.comparers, NewComparer()), append(ky.shares, NewShare())
		ma = ma.NextVersion(0).WithMember(placer.Member{BackendServer: fmt.Sprintf("%d-%02d", seed, i), Incarnation: uint64(i), Weight: placer.FullWeight})
	}
	ky.tb = placer.NewTable(ma)
	for range busyPartitions {
		ky.rates = append(ky.rates, 1386.0/busyPartitions*(0.5+ky.random.Float64()))
	}
	return ky
}

func (ky *keyed) latency(server int) timer.Span {
	work := 110.0
	if (int(ky.now/timer.Instant(400*timer.Millisecond))+server)%5 == 0 {
		work *= 3
	}
	return timer.Span((work*(0.8+0.4*ky.random.Float64())/ky.speeds[server] + 28) * float64(timer.Millisecond))
}

func (ky *keyed) owner(pt uint32) int {
	me, _ := ky.tb.Owner(pt)
	return int(me.Incarnation)
}

// imbalance returns the highest work of a server relative to the mean, without hot keys.
func (ky *keyed) imbalance() float64 {
	work, sum := make([]float64, len(ky.speeds)), 0.0
	for pt, rate := range ky.rates {
		server := ky.owner(uint32(pt))
		one := rate * (1.4*110/ky.speeds[server] + 28)
		work[server], sum = work[server]+one, sum+one
	}
	return slices.Max(work) * float64(len(work)) / sum
}

// poisson returns a number of arrivals.
func (ky *keyed) poisson(mean float64) int {
	count, product := 0, ky.random.Float64()
	for limit := math.Exp(-mean); product > limit; count++ {
		product *= ky.random.Float64()
	}
	return count
}

// run simulates a span with the given means to choose shares.
func (ky *keyed) run(span timer.Span, usesSpeed, usesLoad bool) {
	const step = 100 * timer.Millisecond
	for end := ky.now.Add(span); ky.now.Before(end); ky.now = ky.now.Add(step) {
		second := int(ky.now / timer.Instant(timer.Second))
		swing := 1 + 0.55*math.Sin(2*math.Pi*float64(second)/17)
		for pt, rate := range ky.rates {
			if second%20 >= 15 && pt == second/20*97%busyPartitions {
				rate = 1386.0 / 3
			}
			server := ky.owner(uint32(pt))
			for range ky.poisson(rate * swing * 0.1) {
				ky.arrive(server)
			}
		}
		if ky.now%timer.Instant(500*timer.Millisecond) == 0 && usesSpeed {
			ky.update(usesLoad)
		}
	}
}

func (ky *keyed) arrive(server int) {
	cm, entry := ky.comparers[server], ky.comparers[ky.random.IntN(len(ky.comparers))]
	cm.ObserveArrival("read", ky.now)
	cm.ObserveRun("read", ky.latency(server), ky.now)
	if entry == cm {
		return
	}
	if median, ok := cm.Typical("read", ky.now); ok {
		entry.ObservePeer("read", uint64(server), median, ky.now)
	}
	if demand, ok := cm.Demand(ky.now); ok {
		entry.ObservePeerDemand(uint64(server), demand, ky.now)
	}
}

func (ky *keyed) update(usesLoad bool) {
	ma := ky.tb.Map.NextVersion(0)
	changes := 0
	for i, cm := range ky.comparers {
		st, ok := cm.Standing(len(ky.comparers), 9, ky.now)
		if !usesLoad {
			st.Load = 0
		}
		me := ma.Members[i]
		if !ok || ky.shares[i].Update(st, ky.now) == max(me.Speed, FullShare*b2u(me.Speed == 0)) {
			continue
		}
		me.Speed = ky.shares[i].Units()
		ma = ma.WithMember(me)
		changes++
	}
	if changes == 0 {
		return
	}
	after := placer.NewTable(ma.WithSettled(ma.Version))
	for pt := range uint32(busyPartitions) {
		was, _ := ky.tb.Owner(pt)
		if now, _ := after.Owner(pt); now.Incarnation != was.Incarnation {
			ky.moves++
		}
	}
	ky.changes += changes
	ky.tb = after
}

func b2u(isSet bool) uint32 {
	if isSet {
		return 1
	}
	return 0
}

// TestSharesFollowLoad guards against a server that gets far more work than others by the
// hashing of its keys, and against keys that move for a hot key of some seconds.
func TestSharesFollowLoad(t *testing.T) {
	for seed := range uint64(4) {
		is := is.New(t)
		bySpeed, byBoth := newKeyed(seed), newKeyed(seed)
		before := bySpeed.imbalance()
		bySpeed.run(90*timer.Second, true, false)
		byBoth.run(90*timer.Second, true, true)
		changes, moves := byBoth.changes, byBoth.moves
		byBoth.run(90*timer.Second, true, true)
		t.Logf("imbalance %.2f; by speed %.2f (%d changes, %d of %d partitions moved); by speed and load %.2f (%d, %d; in the next 90 s %d, %d)", before,
			bySpeed.imbalance(), bySpeed.changes, bySpeed.moves, busyPartitions, byBoth.imbalance(), changes, moves, byBoth.changes-changes, byBoth.moves-moves)
		is.True(byBoth.imbalance() < min(1.5, bySpeed.imbalance()))
		is.True(changes <= 90 && byBoth.changes-changes <= 45) // two changes a server, then one in 90 s
	}
}
