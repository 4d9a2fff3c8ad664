package balancer

import (
	"math/rand/v2"
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// simulate sends requests one by one and returns how many server 1 got.
func simulate(ba *Balancer, random *rand.Rand, requests int, latency func(server uint64) timer.Span) int {
	toFirst := 0
	for range requests {
		chosen, _ := ba.Choose(random.Uint64(), nil)
		if chosen == 1 {
			toFirst++
		}
		ba.Start(chosen)
		ba.Finish(chosen, latency(chosen), false)
	}
	return toFirst
}

func TestStragglerGetsATrickle(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	ba := New()
	ba.SetMembers([]uint64{1, 2, 3, 4})
	normal := func(uint64) timer.Span { return 4 * timer.Millisecond }
	slow := func(server uint64) timer.Span {
		if server == 1 {
			return 80 * timer.Millisecond
		}
		return 4 * timer.Millisecond
	}
	simulate(ba, random, 400, normal)
	simulate(ba, random, 100, slow)
	is.Equal(ba.Probation(), []uint64{1})
	share := simulate(ba, random, 1000, slow)
	is.True(share > 0 && share <= 25) // a trickle shows when it has recovered
	simulate(ba, random, 20_000, normal)
	is.Equal(len(ba.Probation()), 0)
	is.True(simulate(ba, random, 1000, normal) > 100) // it gets its share again
}

func TestProbationIsLimited(t *testing.T) {
	is := is.New(t)
	ba := New()
	ba.SetMembers([]uint64{1, 2, 3, 4, 5, 6, 7, 8})
	for range 200 {
		for server := range uint64(8) {
			ba.Finish(server+1, timer.Span(server+1)*timer.Span(server+1)*10*timer.Millisecond, false)
		}
	}
	is.True(len(ba.Probation()) <= 2)
	_, ok := ba.Choose(1, []uint64{1, 2, 3, 4, 5, 6, 7, 8})
	is.Equal(ok, false) // no server is left
}

// TestCancelledHedgesCountAgainst checks that a straggler goes on probation although
// all its requests are cancelled before they are answered, as by hedging.
func TestCancelledHedgesCountAgainst(t *testing.T) {
	is := is.New(t)
	ba := New()
	ba.SetMembers([]uint64{1, 2, 3, 4})
	for range 100 {
		for server := range uint64(4) {
			ba.Start(server + 1)
			if server == 0 {
				ba.Cancel(1, 30*timer.Millisecond)
				continue
			}
			ba.Finish(server+1, 4*timer.Millisecond, false)
		}
	}
	is.Equal(ba.Probation(), []uint64{1})
	before := ba.find(1).latency
	ba.Start(1)
	ba.Cancel(1, timer.Microsecond)
	is.Equal(ba.find(1).latency, before) // an early cancel does not lower the latency
	is.Equal(ba.find(1).outstanding, 0)
}
