package throttler

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/timer"
)

const (
	ms     = timer.Millisecond
	second = timer.Instant(timer.Second)
)

// sim plays two services without a network: callers send to the first, whose runs call
// the second.
type sim struct {
	now    timer.Instant
	events []event // in order of their times
	rn     *rand.Rand
}

type event struct {
	at timer.Instant
	do func()
}

func newSim(seed uint64) *sim { return &sim{rn: rand.New(rand.NewPCG(seed, 1)), now: 1} }

func (si *sim) after(span timer.Span, do func()) {
	ev := event{at: si.now.Add(span), do: do}
	i, _ := slices.BinarySearchFunc(si.events, ev, func(le, ri event) int { return int(le.at - ri.at) })
	si.events = slices.Insert(si.events, i, ev)
}

func (si *sim) play(until timer.Instant) {
	for len(si.events) > 0 && si.events[0].at < until {
		next := si.events[0]
		si.events = si.events[1:]
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

func (si *sim) servers(count, slots int) (list []*server) {
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

// load is a service and the one it calls, which also gets requests of its own.
type load struct {
	callers, called, callerSlots                          int
	rate, ownRate                                         float64
	work, ownWork, callWork                               timer.Span
	target, ownTarget, callTarget, deadline, callDeadline timer.Span
	// factor is the load on the called service over its capacity, isWarm begins with half
	// of the capacity for 40 s, and change is called at 40 s.
	factor float64
	isWarm bool
	change func(called []*server)
	// isOrdered marks calls at the called gate, and isThrottled throttles all servers but
	// the first unthrottled ones.
	isOrdered, isThrottled bool
	unthrottled            int
}

// result counts the requests of the calling service, of the called one, and the calls.
type result struct{ requests, begun, bad, inTime, own, ownInTime, calls, callsInTime float64 }

func (re result) wasted() float64 { return re.bad / max(1, re.begun) }
func (re result) served() float64 { return re.inTime / max(1, re.requests) }

// String gives shares: of the requests, except for wasted, which is of the runs.
func (re result) String() string {
	return fmt.Sprintf("begun %.3f wasted %.3f in time %.3f, own in time %.3f, calls in time %.3f",
		re.begun/re.requests, re.wasted(), re.served(), re.ownInTime/re.own, re.callsInTime/re.calls)
}

// play returns the counts from one second to another.
func (lo load) play(from, to timer.Instant) result {
	si, total := newSim(1), result{}
	// A fifth of the time is three times slower.
	perServer := 1.4 * (lo.rate*0.7*lo.callWork.Duration().Seconds() + lo.ownRate*lo.ownWork.Duration().Seconds()) / float64(lo.called)
	slots := int(perServer + 1)
	callers, called := si.servers(lo.callers, lo.callerSlots), si.servers(lo.called, slots)
	scale := func(rate float64) func() float64 {
		return func() float64 {
			if lo.isWarm && si.now < 40*second {
				return 0.5 * rate * float64(slots) / perServer
			}
			return lo.factor * rate * float64(slots) / perServer
		}
	}
	si.repeat(scale(lo.rate), func() { lo.request(si, callers, called, &total) })
	si.repeat(scale(lo.ownRate), func() {
		total.own++
		lo.runOn(si, called, "own", lo.ownWork, lo.ownTarget, lo.deadline, func(isInTime bool) { total.ownInTime += indicator(isInTime) })
	})
	si.after(timer.Span(40*second), func() {
		if lo.change != nil {
			lo.change(called)
		}
	})
	si.play(from * second)
	total = result{}
	si.play(to * second)
	return total
}

// runOn runs a request on the less busy of two random servers, and reports whether it has
// ended by its deadline.
func (lo load) runOn(si *sim, servers []*server, route string, work, target, deadline timer.Span, done func(isInTime bool)) {
	se, other := servers[si.rn.IntN(len(servers))], servers[si.rn.IntN(len(servers))]
	if se.isDown || !other.isDown && other.gate.Running()+other.gate.Waiting() < se.gate.Running()+se.gate.Waiting() {
		se = other
	}
	isDone := false
	end := func(isInTime bool) {
		if !isDone {
			isDone = true
			done(isInTime)
		}
	}
	si.after(deadline, func() { end(false) })
	rq := admitter.Request{Route: route, Priority: 1, IsCall: lo.isOrdered && route == "call", TargetAt: si.now.Add(target), DeadlineAt: si.now.Add(deadline)}
	se.arrive(rq, func(isStarted bool) {
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

// request is one request to the calling service. Its run ends as soon as its call fails.
func (lo load) request(si *sim, callers, called []*server, total *result) {
	chosen, arrivedAt := si.rn.IntN(len(callers)), si.now
	se := callers[chosen]
	total.requests++
	if lo.isThrottled && chosen >= lo.unthrottled {
		if _, isRefused := se.th.Arrive(Request{Route: "caller", DeadlineAt: si.now.Add(lo.deadline)}, si.now).(Refuse); isRefused {
			return
		}
	}
	rq := admitter.Request{Route: "caller", Priority: 1, TargetAt: si.now.Add(lo.target), DeadlineAt: si.now.Add(lo.deadline)}
	se.arrive(rq, func(isStarted bool) {
		if !isStarted {
			se.th.Cancel("caller")
			return
		}
		total.begun++
		startedAt, ru := si.now, se.th.Start("caller", si.now)
		end := func(isBad bool) {
			se.finish("caller", startedAt)
			se.th.Finish(ru, isBad, si.now)
			total.bad += indicator(isBad)
			total.inTime += indicator(!isBad && si.now.Sub(arrivedAt) <= lo.deadline)
		}
		si.after(se.span(lo.work/2), func() {
			if si.rn.Float64() >= 0.7 {
				si.after(se.span(lo.work/2), func() { end(false) })
				return
			}
			calledAt := si.now
			total.calls++
			lo.runOn(si, called, "call", lo.callWork, lo.callTarget, lo.callDeadline, func(isInTime bool) {
				total.callsInTime += indicator(isInTime)
				se.th.Call(Call{Route: "call", StartedAt: calledAt, IsFailed: !isInTime, IsOverload: !isInTime && !called[0].isDown}, si.now)
				left := ms
				if isInTime {
					left = se.span(lo.work / 2)
				}
				si.after(left, func() { end(!isInTime) })
			})
		})
	})
}

// siteH is sheet-viewer with accession-desk, and siteK is orders with media, at a third of
// their sizes.
var (
	siteH = load{
		callers: 15, called: 9, callerSlots: 9, rate: 462, ownRate: 139, work: 110 * ms, ownWork: 140 * ms, callWork: 32 * ms,
		target: 500 * ms, ownTarget: 600 * ms, callTarget: 120 * ms, deadline: 1000 * ms, callDeadline: 400 * ms,
	}
	siteK = load{
		callers: 10, called: 3, callerSlots: 13, rate: 138, ownRate: 41, work: 290 * ms, ownWork: 270 * ms, callWork: 56 * ms,
		target: 1000 * ms, ownTarget: 2500 * ms, callTarget: 200 * ms, deadline: 2500 * ms, callDeadline: 600 * ms,
	}
)
