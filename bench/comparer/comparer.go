// Package comparer compares the router's admission control and load balancing
// with naive versions in a discrete-event simulation, with the same seed and
// arrival processes.
//
// Time is simulated, so that each run gives the same figures. A simulation covers
// one backend server behind its admission control, or one shared service, not a
// whole deployment.
//
// # Usage
//
//	for _, co := range comparer.All(1) {
//		fmt.Println(co.Name, co.Naive, co.Ours)
//	}
package comparer

import (
	"container/heap"
	"math/rand/v2"
	"slices"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/timer"
)

// Outcome holds the results of one version.
type Outcome struct {
	// P99 is the 99th percentile latency of the measured requests.
	P99 timer.Span
	// Refused counts the measured requests that were not served.
	Refused int
	// Overruns counts requests that started above the server's capacity.
	Overruns int
}

// Comparison holds the results of the naive version and of the router's in one
// scenario.
type Comparison struct {
	Name  string
	Naive Outcome
	Ours  Outcome
}

// All runs all scenarios with a seed.
func All(seed uint64) []Comparison {
	return []Comparison{
		{Name: "one workspace at ten times its rate", Naive: flood(seed, newFIFO()), Ours: flood(seed, newFair())},
		{Name: "one of 4 shared servers slowed 20 times", Naive: straggler(seed, &randomChoice{}), Ours: straggler(seed, newBalanced())},
		{Name: "a backend server that starts cold", Naive: coldStart(seed, newFIFO()), Ours: coldStart(seed, newFair(admitter.ColdStart(coldSlots, coldUntil)))},
		{Name: "night reads and payments above capacity", Naive: priorities(seed, newFIFO()), Ours: priorities(seed, newFair())},
	}
}

// simulation is a discrete-event simulation: a clock and a queue of events
// ordered by time, then by insertion.
type simulation struct {
	now    timer.Instant
	random *rand.Rand
	queue  events
	last   int
}

type scheduled struct {
	at  timer.Instant
	seq int
	do  func()
}

type events []scheduled

// Len implements heap.Interface.
func (ev events) Len() int { return len(ev) }

// Less implements heap.Interface.
func (ev events) Less(i, j int) bool {
	if ev[i].at != ev[j].at {
		return ev[i].at < ev[j].at
	}
	return ev[i].seq < ev[j].seq
}

// Swap implements heap.Interface.
func (ev events) Swap(i, j int) { ev[i], ev[j] = ev[j], ev[i] }

// Push implements heap.Interface.
func (ev *events) Push(one any) { *ev = append(*ev, one.(scheduled)) }

// Pop implements heap.Interface.
func (ev *events) Pop() any {
	last := (*ev)[len(*ev)-1]
	*ev = (*ev)[:len(*ev)-1]
	return last
}

func newSimulation(seed uint64) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, seed))}
}

func (si *simulation) after(sp timer.Span, do func()) {
	si.last++
	heap.Push(&si.queue, scheduled{at: si.now.Add(sp), seq: si.last, do: do})
}

// arrivals schedules a Poisson process with the rate in events per second.
func (si *simulation) arrivals(rate float64, until timer.Instant, arrive func()) {
	next := timer.Span(si.random.ExpFloat64() / rate * float64(timer.Second))
	if !si.now.Add(next).Before(until) {
		return
	}
	si.after(next, func() {
		arrive()
		si.arrivals(rate, until, arrive)
	})
}

func (si *simulation) run() {
	for si.queue.Len() > 0 {
		next := heap.Pop(&si.queue).(scheduled)
		si.now = next.at
		next.do()
	}
}

// exponential draws an exponentially distributed span with that mean.
func (si *simulation) exponential(mean timer.Span) timer.Span {
	return timer.Span(si.random.ExpFloat64() * float64(mean))
}

func percentile99(latencies []timer.Span) timer.Span {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}
