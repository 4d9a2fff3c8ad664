package comparer

import (
	"cornellanding.example/core/balancer"
	"cornellanding.example/core/timer"
)

const (
	sharedServers = 4
	sharedRate    = 1200.0
	slowFrom      = timer.Instant(5 * timer.Second)
	slowFactor    = 20
)

// chooser selects a server for each request, and learns its latency when it
// ends.
type chooser interface {
	choose(random uint64) uint64
	finish(server uint64, latency timer.Span)
}

// randomChoice is the naive version: a uniformly random server.
type randomChoice struct{}

func (randomChoice) choose(random uint64) uint64 { return random%sharedServers + 1 }

func (randomChoice) finish(uint64, timer.Span) {}

// balanced is the router's version, on core/balancer.
type balanced struct {
	ba *balancer.Balancer
}

func newBalanced() *balanced {
	ba := balancer.New()
	ba.SetMembers([]uint64{1, 2, 3, 4})
	return &balanced{ba: ba}
}

func (bl *balanced) choose(random uint64) uint64 {
	server, _ := bl.ba.Choose(random, nil)
	bl.ba.Start(server)
	return server
}

func (bl *balanced) finish(server uint64, latency timer.Span) { bl.ba.Finish(server, latency, false) }

// server is a simulated shared backend server with a limited number of slots
// and a FIFO queue.
type server struct {
	running int
	queue   []func()
}

// straggler measures all requests while one server is slow from slowFrom on.
// Requests are not hedged.
func straggler(seed uint64, ch chooser) Outcome {
	si := newSimulation(seed)
	servers := make([]server, sharedServers)
	var latencies []timer.Span
	si.arrivals(sharedRate, runFor, func() {
		arrivedAt := si.now
		id := ch.choose(si.random.Uint64())
		se := &servers[id-1]
		start := func() {
			se.running++
			span := si.exponential(serviceTime)
			if id == 1 && !si.now.Before(slowFrom) {
				span *= slowFactor
			}
			si.after(span, func() {
				se.running--
				ch.finish(id, si.now.Sub(arrivedAt))
				latencies = append(latencies, si.now.Sub(arrivedAt))
				if len(se.queue) > 0 {
					next := se.queue[0]
					se.queue = se.queue[1:]
					next()
				}
			})
		}
		if se.running >= slots {
			se.queue = append(se.queue, start)
			return
		}
		start()
	})
	si.run()
	return Outcome{P99: percentile99(latencies)}
}
