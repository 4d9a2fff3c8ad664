package registrar

import (
	"fmt"
	"slices"
	"testing"

	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

const (
	exploreStep    = timer.Second / 2
	exploreTimeout = timer.Second / 2
	exploreSpan    = 5 * timer.Second / 2
	exploreRanges  = 2
	exploreHold    = timer.Second
	// maxIssues and maxExploreRestarts bound how often orders are issued, and the restarts of
	// server and instance together.
	maxIssues          = 2
	maxExploreRestarts = 1
)

// sentOrder is a grant that reached the server and is not applied yet.
type sentOrder struct {
	order     Order
	arrivedAt timer.Instant
}

// explored is one state of a registrar, its backend server and the calls between them.
type explored struct {
	now      timer.Instant
	re       *Registrar
	inFlight []Order
	// unapplied holds the grants that the server received without answering them.
	unapplied []sentOrder
	// heldUntil is when the server's hold on each range ends by its slow clock.
	heldUntil [exploreRanges]timer.Instant
	// wanted is how many of the last ranges the server is to hold.
	wanted           int
	serverRestarts   int
	instanceRestarts int
	issues           int
	path             []string
}

func newExplored(t *testing.T) *explored {
	t.Helper()
	ex := &explored{now: 10 * second, wanted: exploreRanges}
	ex.re = ex.newRegistrar(ex.now.Add(-term))
	return ex
}

// newRegistrar returns the registrar of an instance that started at startedAt and has
// heard from the server, after the late heartbeats if there are any.
func (ex *explored) newRegistrar(startedAt timer.Instant, late ...Heartbeat) *Registrar {
	re, err := New(Start(startedAt), Term(term), OrderTimeout(exploreTimeout), MaxHold(exploreHold))
	if err != nil {
		panic(err)
	}
	re.SetRanges([]placer.Range{{From: 0, To: 9}, {From: 10, To: 19}})
	for _, hb := range late {
		re.ApplyHeartbeat(hb, ex.now)
	}
	re.ApplyHeartbeat(ex.heartbeat(1), ex.now)
	return re
}

func (ex *explored) heartbeat(sequence uint64) Heartbeat {
	return Heartbeat{ID: "s", StartedAt: int64(ex.serverRestarts + 1), Sequence: sequence, Slots: 1}
}

// next returns a copy of the state to which the named action is applied.
func (ex *explored) next(name string, do func(ne *explored)) *explored {
	ne := *ex
	re := *ex.re
	re.partitions = slices.Clone(ex.re.partitions)
	ne.re = &re
	ne.inFlight, ne.unapplied = slices.Clone(ex.inFlight), slices.Clone(ex.unapplied)
	ne.path = append(slices.Clone(ex.path), fmt.Sprintf("%.1fs %s", float64(ex.now)/float64(second), name))
	do(&ne)
	return &ne
}

// key identifies the state.
func (ex *explored) key() string {
	return fmt.Sprint(ex.now, ex.re.partitions, ex.re.restarts, ex.re.startedAt, ex.inFlight, ex.unapplied, ex.heldUntil, ex.wanted, ex.serverRestarts, ex.instanceRestarts, ex.issues)
}

// apply makes the server apply an order that arrived at arrivedAt.
func (ex *explored) apply(or Order, arrivedAt timer.Instant) {
	for _, pt := range or.Partitions {
		if or.IsRelease {
			ex.heldUntil[pt] = 0
			continue
		}
		until := arrivedAt.Add(or.HoldTerm + or.HoldTerm/driftShare)
		if ex.now.Before(until) {
			ex.heldUntil[pt] = max(ex.heldUntil[pt], until)
		}
	}
}

func (ex *explored) takeOrder() Order {
	or := ex.inFlight[0]
	ex.inFlight = ex.inFlight[1:]
	return or
}

// dropOrders makes the server receive the grants in flight of an instance that ends.
func (ex *explored) dropOrders() {
	for len(ex.inFlight) > 0 {
		if or := ex.takeOrder(); !or.IsRelease {
			ex.unapplied = append(ex.unapplied, sentOrder{order: or, arrivedAt: ex.now})
		}
	}
}

// successors returns the states that one action leads to.
func (ex *explored) successors() []*explored {
	var all []*explored
	add := func(name string, do func(ne *explored)) { all = append(all, ex.next(name, do)) }
	if ex.now.Sub(10*second) < exploreSpan {
		add("time passes", func(ne *explored) { ne.now = ne.now.Add(exploreStep) })
	}
	if ex.wanted > 0 {
		add("a range moves away", func(ne *explored) { ne.wanted-- })
	}
	if len(ex.inFlight) == 0 && ex.issues < maxIssues {
		add("orders are issued", func(ne *explored) {
			var wanted []WantedPartition
			for i := range ne.wanted {
				wanted = append(wanted, WantedPartition{Partition: uint32(exploreRanges - 1 - i), Epoch: 7})
			}
			ne.issues++
			ne.inFlight = ne.re.DueOrders(wanted, ne.now.Add(term), ne.now)
		})
	}
	if len(ex.inFlight) > 0 {
		all = append(all, ex.orderSuccessors()...)
	}
	if len(ex.unapplied) > 0 {
		add("a grant is applied late", func(ne *explored) {
			se := ne.unapplied[0]
			ne.unapplied = ne.unapplied[1:]
			ne.apply(se.order, se.arrivedAt)
		})
	}
	if ex.serverRestarts+ex.instanceRestarts < maxExploreRestarts {
		add("the server restarts", func(ne *explored) {
			ne.serverRestarts++
			ne.unapplied, ne.heldUntil = nil, [exploreRanges]timer.Instant{}
			ne.re.ApplyHeartbeat(ne.heartbeat(1), ne.now)
		})
	}
	if ex.serverRestarts+ex.instanceRestarts < maxExploreRestarts {
		add("the instance restarts", func(ne *explored) {
			ne.instanceRestarts++
			ne.dropOrders()
			ne.re = ne.newRegistrar(ne.now)
		})
		add("the instance restarts and hears of a former run first", func(ne *explored) {
			ne.instanceRestarts++
			ne.dropOrders()
			ne.re = ne.newRegistrar(ne.now, Heartbeat{ID: "s", StartedAt: 0, Sequence: 9, Slots: 1, IsDraining: true})
		})
	}
	return all
}

// orderSuccessors returns the states after the first order in flight has its result.
func (ex *explored) orderSuccessors() []*explored {
	var all []*explored
	add := func(name string, do func(ne *explored, or Order)) {
		all = append(all, ex.next(name, func(ne *explored) { do(ne, ne.takeOrder()) }))
	}
	add("an order does not arrive", func(ne *explored, or Order) { ne.re.ApplyResult(or, OrderNotApplied, "", ne.now) })
	if or := ex.inFlight[0]; ex.now.Sub(or.SentAt) > exploreTimeout && !or.IsRelease {
		return all
	}
	add("an order is applied", func(ne *explored, or Order) {
		ne.apply(or, ne.now)
		ne.re.ApplyResult(or, OrderApplied, "", ne.now)
	})
	add("an order is applied, its answer lost", func(ne *explored, or Order) {
		ne.apply(or, ne.now)
		ne.re.ApplyResult(or, OrderUnanswered, "", ne.now)
	})
	if !ex.inFlight[0].IsRelease {
		add("a grant is left unanswered", func(ne *explored, or Order) {
			ne.unapplied = append(ne.unapplied, sentOrder{order: or, arrivedAt: ne.now})
			ne.re.ApplyResult(or, OrderUnanswered, "", ne.now)
		})
	}
	return all
}

// violation returns the range that the registrar reports as free although the server
// holds it or may hold it later without a further order, or false.
func (ex *explored) violation() (int, bool) {
	for pt := range exploreRanges {
		if !ex.re.IsFree(uint32(pt), ex.now) {
			continue
		}
		if ex.now.Before(ex.heldUntil[pt]) {
			return pt, true
		}
		for _, or := range ex.inFlight {
			mayArrive := !or.IsRelease && ex.now.Sub(or.SentAt) <= exploreTimeout
			if mayArrive && slices.Contains(or.Partitions, uint32(pt)) {
				return pt, true
			}
		}
		for _, se := range ex.unapplied {
			ends := se.arrivedAt.Add(se.order.HoldTerm + se.order.HoldTerm/driftShare)
			if slices.Contains(se.order.Partitions, uint32(pt)) && ex.now.Before(ends) {
				return pt, true
			}
		}
	}
	return 0, false
}

// maxExplored bounds the states of one exploration.
const maxExplored = 200_000

// explore visits the states breadth first and returns how many there are and the path to
// the first violation. Mutate changes each state before it is checked.
func explore(t *testing.T, mutate func(ex *explored)) (int, []string) {
	t.Helper()
	queue := []*explored{newExplored(t)}
	seen := map[string]bool{queue[0].key(): true}
	for len(queue) > 0 {
		if len(seen) > maxExplored {
			t.Fatalf("more than %d states", maxExplored)
		}
		ex := queue[0]
		queue = queue[1:]
		for _, ne := range ex.successors() {
			mutate(ne)
			key := ne.key()
			if seen[key] {
				continue
			}
			seen[key] = true
			if pt, isViolated := ne.violation(); isViolated {
				return len(seen), append(ne.path, fmt.Sprintf("range %d is reported as free", pt))
			}
			queue = append(queue, ne)
		}
	}
	return len(seen), nil
}

// TestOrdersNeverFreeAHeldRange explores grants and releases by calls: calls that do not
// arrive, lose their answer or are applied late, ranges that move away one at a time out
// of a common grant, and restarts of the server and of the instance. A range must not be
// reported as free while the server holds it or may yet hold it.
func TestOrdersNeverFreeAHeldRange(t *testing.T) {
	is := is.New(t)
	count, path := explore(t, func(*explored) {})
	t.Log("states:", count)
	is.Equal(path, nil)
}

// TestOrdersCounterexamples checks that the exploration finds a violation when a rule is
// left out.
func TestOrdersCounterexamples(t *testing.T) {
	cases := map[string]func(ex *explored){
		"no wait for unanswered grants": func(ex *explored) {
			for pt := range ex.re.partitions {
				ex.re.partitions[pt].order.unansweredUntil = 0
			}
		},
		"orders in flight are forgotten": func(ex *explored) {
			for pt := range ex.re.partitions {
				ex.re.partitions[pt].order.inFlight = false
			}
		},
		"the hold counts from when the call was sent": func(ex *explored) {
			for pt := range ex.re.partitions {
				ps := &ex.re.partitions[pt]
				if ps.order.grantedUntil != 0 {
					ps.heldUntil = ps.order.grantedUntil
				}
			}
		},
		"a release voids unanswered grants": func(ex *explored) {
			for pt := range ex.re.partitions {
				if ps := &ex.re.partitions[pt]; ps.token == 0 && ps.heldUntil <= ex.re.formerUntil() {
					ps.order.unansweredUntil = 0
				}
			}
		},
	}
	for name, mutate := range cases {
		t.Run(name, func(t *testing.T) {
			count, path := explore(t, mutate)
			is.New(t).True(path != nil)
			t.Log(count, path)
		})
	}
}
