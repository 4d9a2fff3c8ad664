package admitter

import (
	"cornellanding.example/core/cataloguer"
)

const (
	// A kind of requests that waits gets every owedEvery-th start, whatever waits before it.
	owedEvery = 10
	// maxShareLead bounds by how much the served share of a kind may exceed that of a more
	// urgent one for the kind to be owed a start. The bound to hold is 0.05. The rest is for
	// requests that wait, which count as arrived only.
	maxShareLead = 0.03
	// shareDecay is the weight that the counts of a kind keep when its next request
	// arrives: they cover about the latest 200.
	shareDecay = 0.995
	// absentAfter is the number of arrivals of other kinds after which a kind that sends no
	// more requests doesn't count.
	absentAfter = 1000
	kindCount   = 2 * cataloguer.PriorityCount
)

// kinds keeps the order of calls and other requests from starving any of them. A kind is the
// requests of one priority that are calls, or that are not. Lower kinds are more urgent.
//
// Load: the calls of runs elsewhere fill a server, or more urgent requests do while calls
// wait whose callers hold slots. Without calls it changes nothing.
type kinds struct {
	list [kindCount]kind
	// arrivals counts all arrivals.
	arrivals uint64
}

// kind counts the requests of one kind.
type kind struct {
	arrived, started float64
	// latest is the number of its latest arrival.
	latest uint64
	// passed is the number of starts of other kinds since its last one, while it waited.
	passed int
}

func kindOf(rq Request) int {
	if rq.IsCall {
		return 2 * int(rq.Priority)
	}
	return 2*int(rq.Priority) + 1
}

func (ks *kinds) arrive(rq Request) {
	ki := &ks.list[kindOf(rq)]
	ks.arrivals++
	ki.latest = ks.arrivals
	ki.arrived = ki.arrived*shareDecay + 1
	ki.started *= shareDecay
}

func (ks *kinds) start(rq Request) {
	ki := &ks.list[kindOf(rq)]
	ki.started++
	ki.passed = 0
}

// hasCalls reports whether any request was a call.
func (ks *kinds) hasCalls() bool {
	for i := 0; i < kindCount; i += 2 {
		if ks.list[i].arrived > 0 {
			return true
		}
	}
	return false
}

// queuesOf returns the first and the last queue of a kind, without the one that it shares
// with others.
func queuesOf(kind int) (first, last int) {
	first = kind/2*queuesPerPriority + kind%2*otherQueue
	return first, first + 1
}

// waitingQueue returns the first queue of a kind that is not empty.
func waitingQueue(queues *[queueCount]fairQueue, kind int) (int, bool) {
	first, last := queuesOf(kind)
	for queue := first; queue <= last; queue++ {
		if len(queues[queue].items) > 0 {
			return queue, true
		}
	}
	return 0, false
}

// pass records a start, which passes over all kinds that wait.
func (ks *kinds) pass(queues *[queueCount]fairQueue) {
	if !ks.hasCalls() {
		return
	}
	for i := range ks.list {
		if _, isWaiting := waitingQueue(queues, i); isWaiting {
			ks.list[i].passed++
		} else {
			ks.list[i].passed = 0
		}
	}
}

// owed returns a queue whose kind has been passed over too often, or false.
func (ks *kinds) owed(queues *[queueCount]fairQueue) (int, bool) {
	for i := range ks.list {
		if ks.list[i].passed < owedEvery-1 || !ks.isEntitled(i) {
			continue
		}
		if queue, isWaiting := waitingQueue(queues, i); isWaiting {
			return queue, true
		}
	}
	return 0, false
}

// isEntitled reports whether a kind is owed starts out of turn: no more urgent one is served
// much less often.
func (ks *kinds) isEntitled(kind int) bool {
	if !ks.hasCalls() {
		return false
	}
	for i := range ks.list[:kind] {
		isPresent := ks.list[i].arrived > 0 && ks.arrivals-ks.list[i].latest < absentAfter
		if isPresent && ks.list[kind].share() > ks.list[i].share()+maxShareLead {
			return false
		}
	}
	return true
}

// share returns the share of the kind's requests that were started.
func (ki kind) share() float64 {
	if ki.arrived == 0 {
		return 0
	}
	return min(1, ki.started/ki.arrived)
}
