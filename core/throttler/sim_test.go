package throttler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/timer"
)

const ms = timer.Millisecond

// sim plays two services without a network: callers send to the first, whose runs call
// the second.
type sim struct {
	now    timer.Instant
	events events
	rn     *rand.Rand
}

type event struct {
	at timer.Instant
	do func()
}

type events []event

func (ev events) Len() int           { return len(ev) }
func (ev events) Less(i, j int) bool { return ev[i].at < ev[j].at }
func (ev events) Swap(i, j int)      { ev[i], ev[j] = ev[j], ev[i] }
func (ev *events) Push(e any)        { *ev = append(*ev, e.(event)) }
func (ev *events) Pop() any {
	old := *ev
	last := old[len(old)-1]
	*ev = old[:len(old)-1]
	return last
}

func (si *sim) after(span timer.Span, do func()) {
	heap.Push(&si.events, event{at: si.now.Add(span), do: do})
}

func (si *sim) play(until timer.Instant) {
	for len(si.events) > 0 && si.events[0].at < until {
		next := heap.Pop(&si.events).(event)
		si.now = next.at
		next.do()
	}
}

// repeat calls do at random instants, rate() times a second on average.
func (si *sim) repeat(rate func() float64, do func()) {
	si.after(timer.Span(si.rn.ExpFloat64()/rate()*float64(timer.Second)), func() {
		do()
		si.repeat(rate, do)
	})
}

// server is a backend server with its gate and throttler.
type server struct {
	si      *sim
	gate    *admitter.Gate
	th      *Throttler
	waiting map[admitter.Ticket]func(isStarted bool)
	speed   float64
	isDown  bool
}

func (si *sim) servers(count, slots int) []*server {
	var list []*server
	for range count {
		gate, err := admitter.New(admitter.Slots(slots), admitter.QueueLength(4*slots))
		if err != nil {
			panic(err)
		}
		list = append(list, &server{si: si, gate: gate, th: New(), waiting: map[admitter.Ticket]func(bool){}, speed: 0.7 + 0.6*si.rn.Float64()})
	}
	return list
}

// span is the time of some work on the server: it is three times slower for a fifth of
// the time, in periods of 400 ms.
func (se *server) span(work timer.Span) timer.Span {
	if (int64(se.si.now)/int64(400*ms)+int64(se.speed*1000))%5 == 0 {
		work *= 3
	}
	return timer.Span(float64(work) / se.speed)
}

// arrive calls begin with true when the request starts, or with false if it is refused.
func (se *server) arrive(rq admitter.Request, begin func(isStarted bool)) {
	if se.isDown {
		begin(false)
		return
	}
	switch de := se.gate.Arrive(rq, se.si.now).(type) {
	case admitter.Run:
		begin(true)
	case admitter.Wait:
		se.waiting[de.Ticket] = begin
		se.wake(de.Shed, false)
	case admitter.Refuse:
		begin(false)
	}
}

func (se *server) finish(route string, startedAt timer.Instant) {
	se.wake(se.gate.Finish(admitter.Completion{Route: route, Latency: se.si.now.Sub(startedAt)}, se.si.now), true)
	se.wake(se.gate.TakeExpired(), false)
}

func (se *server) wake(tickets []admitter.Ticket, isStarted bool) {
	for _, ticket := range tickets {
		begin := se.waiting[ticket]
		delete(se.waiting, ticket)
		begin(isStarted)
	}
}

// load is a service and the one it calls.
type load struct {
	callers, called             int
	callerSlots                 int
	rate, ownRate               float64
	work, ownWork, callWork     timer.Span
	target, ownTarget, deadline timer.Span
	callTarget, callDeadline    timer.Span
	// factor is the load on the called service over its capacity at the rates above.
	factor float64
	// shape scales the rates over time.
	shape       func(now timer.Instant) float64
	isThrottled bool
	// unthrottled is the number of servers that don't throttle all the same.
	unthrottled int
	// isPrompt ends a run as soon as its call fails. Otherwise it works on to its end.
	isPrompt bool
	// isOrdered marks calls as such at the called gate.
	isOrdered bool
	// change is called with the called servers at changeAt.
	change   func(called []*server)
	changeAt timer.Instant
}

// result counts what became of the requests of the calling service, and of those that the
// called service gets besides calls.
type result struct {
	requests, begun, bad, inTime, refused int
	ownRequests, ownInTime                int
	calls, callsInTime                    int
}

// String gives shares: of the requests, except for bad, which is of the runs.
func (re result) String() string {
	share := func(count, of int) float64 { return float64(count) / float64(max(1, of)) }
	return fmt.Sprintf("begun %.3f bad %.3f in time %.3f refused %.3f, own in time %.3f, calls in time %.3f",
		share(re.begun, re.requests), share(re.bad, re.begun), share(re.inTime, re.requests), share(re.refused, re.requests),
		share(re.ownInTime, re.ownRequests), share(re.callsInTime, re.calls))
}

func (re result) wasted() float64 { return float64(re.bad) / float64(max(1, re.begun)) }
func (re result) served() float64 { return float64(re.inTime) / float64(max(1, re.requests)) }

// play returns the counts for the time from one instant to another.
func (lo load) play(seed uint64, from, to timer.Instant) result {
	si := &sim{rn: rand.New(rand.NewPCG(seed, 1)), now: 1}
	busy := lo.factor * (lo.rate*0.7*lo.callWork.Duration().Seconds() + lo.ownRate*lo.ownWork.Duration().Seconds())
	// A fifth of the time is three times slower.
	perServer := busy / lo.factor * 1.4 / float64(lo.called)
	slots := int(perServer + 1)
	scale := lo.factor * float64(slots) / perServer
	callers, called := si.servers(lo.callers, lo.callerSlots), si.servers(lo.called, slots)
	var all, before result
	shape := func() float64 { return lo.shape(si.now) * scale }
	si.repeat(func() float64 { return lo.rate * shape() }, func() { lo.request(si, callers, called, &all) })
	si.repeat(func() float64 { return lo.ownRate * shape() }, func() {
		all.ownRequests++
		lo.runOn(si, called, "own", lo.ownWork, lo.ownTarget, lo.deadline, func(isInTime bool) { all.ownInTime += count(isInTime) })
	})
	if lo.change != nil {
		si.after(timer.Span(lo.changeAt), func() { lo.change(called) })
	}
	si.play(from)
	before = all
	si.play(to)
	return result{
		all.requests - before.requests, all.begun - before.begun, all.bad - before.bad, all.inTime - before.inTime, all.refused - before.refused,
		all.ownRequests - before.ownRequests, all.ownInTime - before.ownInTime, all.calls - before.calls, all.callsInTime - before.callsInTime,
	}
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

// runOn runs a request on the less busy of two random servers, and reports whether it has
// ended by its deadline.
func (lo load) runOn(si *sim, servers []*server, route string, work, target, deadline timer.Span, done func(isInTime bool)) {
	se, other := servers[si.rn.IntN(len(servers))], servers[si.rn.IntN(len(servers))]
	if se.isDown || !other.isDown && other.gate.Running()+other.gate.Waiting() < se.gate.Running()+se.gate.Waiting() {
		se = other
	}
	deadlineAt, isDone := si.now.Add(deadline), false
	end := func(isInTime bool) {
		if !isDone {
			isDone = true
			done(isInTime)
		}
	}
	si.after(deadline, func() { end(false) })
	se.arrive(admitter.Request{Route: route, Priority: 1, IsCall: lo.isOrdered && route == "call", TargetAt: si.now.Add(target), DeadlineAt: deadlineAt}, func(isStarted bool) {
		if !isStarted {
			end(false)
			return
		}
		startedAt := si.now
		si.after(se.span(work), func() {
			se.finish(route, startedAt)
			end(!se.isDown)
		})
	})
}

// request is one request to the calling service.
func (lo load) request(si *sim, callers, called []*server, re *result) {
	chosen := si.rn.IntN(len(callers))
	se, arrivedAt := callers[chosen], si.now
	re.requests++
	if lo.isThrottled && chosen >= lo.unthrottled {
		if _, isRefused := se.th.Arrive(Request{Route: "caller", DeadlineAt: si.now.Add(lo.deadline)}, si.now).(Refuse); isRefused {
			re.refused++
			return
		}
	}
	se.arrive(admitter.Request{Route: "caller", Priority: 1, TargetAt: si.now.Add(lo.target), DeadlineAt: si.now.Add(lo.deadline)}, func(isStarted bool) {
		if !isStarted {
			se.th.Cancel("caller")
			re.refused++
			return
		}
		re.begun++
		startedAt, ru := si.now, se.th.Start("caller", si.now)
		end := func(isBad bool) {
			left := se.span(lo.work / 2)
			if isBad && lo.isPrompt {
				left = ms
			}
			si.after(left, func() {
				se.finish("caller", startedAt)
				se.th.Finish(ru, isBad, si.now)
				re.bad += count(isBad)
				re.inTime += count(!isBad && si.now.Sub(arrivedAt) <= lo.deadline)
			})
		}
		si.after(se.span(lo.work/2), func() {
			if si.rn.Float64() >= 0.7 {
				end(false)
				return
			}
			calledAt := si.now
			re.calls++
			lo.runOn(si, called, "call", lo.callWork, lo.callTarget, lo.callDeadline, func(isInTime bool) {
				re.callsInTime += count(isInTime)
				se.th.Call(Call{Route: "call", StartedAt: calledAt, IsFailed: !isInTime, IsOverload: !isInTime && !called[0].isDown}, si.now)
				end(!isInTime)
			})
		})
	})
}

func steady(timer.Instant) float64 { return 1 }

// siteH is sheet-viewer with accession-desk, and siteK is orders with media, at a third of
// their sizes.
var (
	siteH = load{
		callers: 15, called: 9, callerSlots: 9, rate: 462, ownRate: 139, work: 110 * ms, ownWork: 140 * ms, callWork: 32 * ms,
		target: 500 * ms, ownTarget: 600 * ms, deadline: 1000 * ms, callTarget: 120 * ms, callDeadline: 400 * ms, shape: steady,
	}
	siteK = load{
		callers: 10, called: 3, callerSlots: 13, rate: 138, ownRate: 41, work: 290 * ms, ownWork: 270 * ms, callWork: 56 * ms,
		target: 1000 * ms, ownTarget: 2500 * ms, deadline: 2500 * ms, callTarget: 200 * ms, callDeadline: 600 * ms, shape: steady,
	}
)
