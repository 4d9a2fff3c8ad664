package comparer

import (
	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/timer"
)

// Rates are in requests per second.
const (
	slots          = 9
	coldSlots      = 2
	queueLength    = 64
	serviceTime    = 3 * timer.Millisecond
	requestTimeout = 500 * timer.Millisecond
	runFor         = timer.Instant(20 * timer.Second)
	coldUntil      = timer.Instant(timer.Second)
	smallRate      = 200.0
	smallCount     = 7
	floodRate      = 4000.0
	nightRate      = 3500.0
	payRate        = 300.0
	coldRate       = 1500.0
)

// request is one simulated request. Results include it if isMeasured is set.
type request struct {
	workspace  string
	priority   cataloguer.Priority
	arrivedAt  timer.Instant
	isMeasured bool
}

// gate is the admission control in front of a backend server. Both methods
// return the requests that start now and those that are refused.
type gate interface {
	arrive(rq *request, now timer.Instant) (started, refused []*request)
	finish(now timer.Instant) (started, refused []*request)
}

// fifo is the naive version: all slots from the start, and one queue in order
// of arrival.
type fifo struct {
	running int
	queue   []*request
}

func newFIFO() *fifo { return &fifo{} }

func (fi *fifo) arrive(rq *request, _ timer.Instant) (started, refused []*request) {
	switch {
	case fi.running < slots:
		fi.running++
		return []*request{rq}, nil
	case len(fi.queue) >= queueLength:
		return nil, []*request{rq}
	default:
		fi.queue = append(fi.queue, rq)
		return nil, nil
	}
}

func (fi *fifo) finish(timer.Instant) (started, refused []*request) {
	fi.running--
	if len(fi.queue) == 0 {
		return nil, nil
	}
	next := fi.queue[0]
	fi.queue = fi.queue[1:]
	fi.running++
	return []*request{next}, nil
}

// fair is the router's version, on core/admitter. waiting holds the queued
// requests by ticket.
type fair struct {
	ga      *admitter.Gate
	waiting map[admitter.Ticket]*request
}

func newFair(opts ...admitter.Option) *fair {
	opts = append(opts, admitter.Slots(slots), admitter.QueueLength(queueLength), admitter.ColdSpan(timer.Second))
	ga, err := admitter.New(opts...)
	if err != nil {
		panic(err)
	}
	return &fair{ga: ga, waiting: map[admitter.Ticket]*request{}}
}

func (fa *fair) arrive(rq *request, now timer.Instant) (started, refused []*request) {
	decision := fa.ga.Arrive(admitter.Request{Workspace: rq.workspace, Priority: rq.priority, DeadlineAt: now.Add(requestTimeout)}, now)
	switch de := decision.(type) {
	case admitter.Run:
		return []*request{rq}, nil
	case admitter.Wait:
		fa.waiting[de.Ticket] = rq
		return nil, fa.take(de.Shed)
	default:
		return nil, []*request{rq}
	}
}

func (fa *fair) finish(now timer.Instant) (started, refused []*request) {
	return fa.take(fa.ga.Finish(admitter.Completion{}, now)), nil
}

// take removes queued requests by their tickets and returns them.
func (fa *fair) take(tickets []admitter.Ticket) []*request {
	var list []*request
	for _, ticket := range tickets {
		list = append(list, fa.waiting[ticket])
		delete(fa.waiting, ticket)
	}
	return list
}

// gatedServer is a simulated backend server behind a gate, with its results.
// limit returns the requests that the server can run at once.
type gatedServer struct {
	si        *simulation
	ga        gate
	running   int
	limit     func(now timer.Instant) int
	latencies []timer.Span
	outcome   Outcome
}

func newGatedServer(seed uint64, ga gate) *gatedServer {
	return &gatedServer{si: newSimulation(seed), ga: ga, limit: func(timer.Instant) int { return slots }}
}

func (st *gatedServer) arrive(workspace string, priority cataloguer.Priority, isMeasured bool) {
	rq := &request{workspace: workspace, priority: priority, arrivedAt: st.si.now, isMeasured: isMeasured}
	st.apply(st.ga.arrive(rq, st.si.now))
}

func (st *gatedServer) apply(started, refused []*request) {
	for _, rq := range refused {
		if rq.isMeasured {
			st.outcome.Refused++
		}
	}
	for _, rq := range started {
		st.running++
		if st.running > st.limit(st.si.now) {
			st.outcome.Overruns++
		}
		st.si.after(st.si.exponential(serviceTime), func() { st.end(rq) })
	}
}

func (st *gatedServer) end(rq *request) {
	st.running--
	if rq.isMeasured {
		st.latencies = append(st.latencies, st.si.now.Sub(rq.arrivedAt))
	}
	st.apply(st.ga.finish(st.si.now))
}

func (st *gatedServer) measure() Outcome {
	st.si.run()
	st.outcome.P99 = percentile99(st.latencies)
	return st.outcome
}

// flood measures seven workspaces that stay within their rates while another
// exceeds its rate by far.
func flood(seed uint64, ga gate) Outcome {
	st := newGatedServer(seed, ga)
	for i := range smallCount {
		name := string(rune('a' + i))
		st.si.arrivals(smallRate, runFor, func() { st.arrive(name, cataloguer.Interactive, true) })
	}
	st.si.arrivals(floodRate, runFor, func() { st.arrive("flood", cataloguer.Interactive, false) })
	return st.measure()
}

// coldStart measures a server that has only coldSlots slots until coldUntil, and
// counts the requests that it gets above its capacity.
func coldStart(seed uint64, ga gate) Outcome {
	st := newGatedServer(seed, ga)
	st.limit = func(now timer.Instant) int {
		if now.Before(coldUntil) {
			return coldSlots
		}
		return slots
	}
	st.si.arrivals(coldRate, runFor, func() { st.arrive("a", cataloguer.Interactive, true) })
	return st.measure()
}

// priorities measures payments while background reads exceed the server's
// capacity.
func priorities(seed uint64, ga gate) Outcome {
	st := newGatedServer(seed, ga)
	st.si.arrivals(payRate, runFor, func() { st.arrive("a", cataloguer.Payment, true) })
	st.si.arrivals(nightRate, runFor, func() { st.arrive("a", cataloguer.Background, false) })
	return st.measure()
}
