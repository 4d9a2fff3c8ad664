package balancer

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// event ends a run, or brings a request or an answer to its place.
type event struct {
	at timer.Instant
	do func()
}

type events []event

func (ev events) Len() int           { return len(ev) }
func (ev events) Less(i, j int) bool { return ev[i].at < ev[j].at }
func (ev events) Swap(i, j int)      { ev[i], ev[j] = ev[j], ev[i] }
func (ev *events) Push(x any)        { *ev = append(*ev, x.(event)) }
func (ev *events) Pop() any {
	last := (*ev)[len(*ev)-1]
	*ev = (*ev)[:len(*ev)-1]
	return last
}

// pool simulates a service of 26 servers with 9 slots each behind 78 entries. Servers
// differ in speed, and each is three times slower for a fifth of the time.
type pool struct {
	random  *rand.Rand
	entries []*Balancer
	queues  [][]request
	running []int
	served  []int
	events  events
	now     timer.Instant
	reports bool
	// late counts the requests that end after their target or are refused.
	late, total int
}

type request struct {
	entry, server int
	at            timer.Instant
	work          timer.Span
}

const poolServers, poolEntries, poolSlots = 26, 78, 9

func newPool(seed uint64, reports bool) *pool {
	po := &pool{
		random: rand.New(rand.NewPCG(seed, 3)), reports: reports, queues: make([][]request, poolServers),
		running: make([]int, poolServers), served: make([]int, poolServers),
	}
	var members []uint64
	for i := range poolServers {
		members = append(members, uint64(i))
	}
	for range poolEntries {
		ba := New()
		ba.SetMembers(members)
		po.entries = append(po.entries, ba)
	}
	return po
}

func (po *pool) after(span timer.Span, do func()) {
	heap.Push(&po.events, event{at: po.now.Add(span), do: do})
}

// arrive brings a request with some work to a random entry, and again after a random time.
func (po *pool) arrive(perS float64, work timer.Span) {
	po.after(timer.Span(po.random.ExpFloat64()/perS*float64(timer.Second)), func() { po.arrive(perS, work) })
	entry := po.random.IntN(poolEntries)
	chosen, _ := po.entries[entry].ChooseAt(po.random.Uint64(), nil, po.now)
	po.entries[entry].Start(chosen)
	po.total++
	rq := request{entry: entry, server: int(chosen), at: po.now, work: work}
	po.after(2*timer.Millisecond, func() { po.reach(rq) })
}

func (po *pool) reach(rq request) {
	switch {
	case po.running[rq.server] < poolSlots:
		po.start(rq)
	case len(po.queues[rq.server]) < 2*poolSlots:
		po.queues[rq.server] = append(po.queues[rq.server], rq)
	default:
		po.answer(rq, true)
	}
}

func (po *pool) start(rq request) {
	po.running[rq.server]++
	speed := 0.7 + float64(rq.server)/float64(poolServers-1)
	span := float64(rq.work) / speed * (0.8 + 0.4*po.random.Float64())
	if (int(po.now/timer.Instant(400*timer.Millisecond))+rq.server*2)%5 == 0 {
		span *= 3
	}
	po.after(timer.Span(span), func() {
		po.running[rq.server]--
		po.served[rq.server]++
		if queue := po.queues[rq.server]; len(queue) > 0 {
			po.queues[rq.server] = queue[1:]
			po.start(queue[0])
		}
		po.answer(rq, false)
	})
}

func (po *pool) answer(rq request, isRefused bool) {
	running, waiting := po.running[rq.server], len(po.queues[rq.server])
	po.after(2*timer.Millisecond, func() {
		latency := po.now.Sub(rq.at)
		ba := po.entries[rq.entry]
		ba.Finish(uint64(rq.server), timer.Span(float64(latency)*float64(100*timer.Millisecond)/float64(rq.work)), isRefused)
		if po.reports {
			ba.Report(uint64(rq.server), Load{Running: running, Waiting: waiting, Speed: 0.7 + float64(rq.server)/float64(poolServers-1)}, po.now)
		}
		if isRefused || latency > 4*rq.work {
			po.late++
		}
	})
}

// run simulates a span at a multiple of 418 requests a second of 140 ms and 970 of 32 ms.
func (po *pool) run(span timer.Span, load float64) {
	po.arrive(418*load, 140*timer.Millisecond)
	po.arrive(970*load, 32*timer.Millisecond)
	for end := po.now.Add(span); len(po.events) > 0 && po.events[0].at < end; {
		ev := heap.Pop(&po.events).(event)
		po.now = ev.at
		ev.do()
	}
}

// TestReportsOfGates guards against requests to full servers while others idle, and against
// entries that all choose the same server.
func TestReportsOfGates(t *testing.T) {
	for _, load := range []float64{0.8, 1.2, 2} {
		for seed := range uint64(2) {
			is := is.New(t)
			before, after := newPool(seed, false), newPool(seed, true)
			before.run(30*timer.Second, load)
			after.run(30*timer.Second, load)
			t.Logf("load %.1f: refused or late %.2f in 100, with reports %.2f", load, share(before), share(after))
			is.True(share(after) < 0.85*share(before))
			is.True(slices.Max(after.served) <= 2*after.total/poolServers) // no server gets more than twice its share
		}
	}
}

// TestReportEndsProbation guards against a server that is left idle after it has recovered.
func TestReportEndsProbation(t *testing.T) {
	is := is.New(t)
	choices := func(speed float64) int {
		random := rand.New(rand.NewPCG(1, 1))
		ba := New()
		ba.SetMembers([]uint64{1, 2, 3, 4})
		for range 100 {
			for server := range uint64(4) {
				ba.Finish(server+1, timer.Span(4+30*((3-server)/3))*timer.Millisecond, false)
			}
		}
		is.Equal(ba.Probation(), []uint64{1})
		for count := range 5000 {
			chosen, _ := ba.ChooseAt(random.Uint64(), nil, timer.Instant(timer.Second))
			ba.Start(chosen)
			ba.Finish(chosen, 4*timer.Millisecond, false)
			ba.Report(chosen, Load{Running: 1, Speed: speed}, timer.Instant(timer.Second))
			if len(ba.Probation()) == 0 {
				return count
			}
		}
		return 5000
	}
	is.True(choices(1) <= probationInterval)    // at the first report
	is.True(choices(0) > 5*probationInterval)   // as without a known speed
	is.True(choices(0.3) > 5*probationInterval) // the gate reports that it is slow still
}

func share(po *pool) float64 { return 100 * float64(po.late) / float64(po.total) }
