package pacer

import (
	"math"
	"math/rand/v2"
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// site simulates one service of servers that differ in speed. Each is three times slower
// for a fifth of the time in periods of 400 ms, and 7 in 10 runs wait for a call.
type site struct {
	random *rand.Rand
	speeds []float64
	// comparers and shares are the servers' own.
	comparers []*Comparer
	shares    []*Share
	changes   []int
	// weights are the shares in force, by which requests are spread.
	weights []float64
	perS    float64
	now     timer.Instant
}

func newSite(seed uint64, perServer float64, speeds ...float64) *site {
	si := &site{random: rand.New(rand.NewPCG(seed, 5)), speeds: speeds, perS: perServer * float64(len(speeds)), changes: make([]int, len(speeds))}
	for range speeds {
		si.comparers, si.shares = append(si.comparers, NewComparer()), append(si.shares, NewShare())
		si.weights = append(si.weights, FullShare)
	}
	return si
}

// spread returns count speeds from low to high.
func spread(count int, low, high float64) []float64 {
	var speeds []float64
	for i := range count {
		speeds = append(speeds, low+(high-low)*float64(i)/float64(count-1))
	}
	return speeds
}

func (si *site) latency(server int) timer.Span {
	work := 110 * timer.Millisecond
	if isSlow := (int(si.now/timer.Instant(400*timer.Millisecond))+server*3)%5 == 0; isSlow {
		work *= 3
	}
	latency := timer.Span(float64(work) * (0.8 + 0.4*si.random.Float64()) / si.speeds[server])
	if si.random.Float64() < 0.7 {
		latency += timer.Span(30+20*si.random.Float64()) * timer.Millisecond
	}
	return latency
}

func (si *site) pick() int {
	sum := 0.0
	for _, weight := range si.weights {
		sum += weight
	}
	draw := si.random.Float64() * sum
	for server, weight := range si.weights {
		if draw -= weight; draw < 0 {
			return server
		}
	}
	return len(si.weights) - 1
}

// run simulates a span. Requests enter at random servers, and each entry sees the median
// that the gate reports in the answer.
func (si *site) run(span timer.Span) {
	step := timer.Span(float64(timer.Second) / si.perS)
	updateAt := si.now
	for end := si.now.Add(span); si.now.Before(end); si.now = si.now.Add(step) {
		server, entry := si.pick(), si.random.IntN(len(si.speeds))
		si.comparers[server].ObserveRun("read", si.latency(server), si.now)
		if median, ok := si.comparers[server].Typical("read", si.now); ok && entry != server {
			si.comparers[entry].ObservePeer("read", uint64(server), median, si.now)
		}
		if !si.now.Before(updateAt) {
			updateAt = si.now.Add(timer.Second / 2)
			si.update()
		}
	}
}

func (si *site) update() {
	for server, cm := range si.comparers {
		speed, ok := cm.Speed(len(si.speeds), si.now)
		former := si.shares[server].Units()
		if ok && si.shares[server].Update(Standing{Speed: speed}, si.now) != former {
			si.changes[server]++
		}
		si.weights[server] = float64(si.shares[server].Units())
	}
}

// capacity returns the requests a second that a slot of the server can run, relative to
// one at usual speed.
func (si *site) capacity(server int) float64 {
	const call = 0.7 * 40
	return (1.4*110 + call) / (1.4*110/si.speeds[server] + call)
}

// imbalance returns the highest work of a server relative to the mean.
func (si *site) imbalance() float64 {
	sum, top := 0.0, 0.0
	for server, weight := range si.weights {
		work := weight / si.capacity(server)
		sum, top = sum+work, max(top, work)
	}
	return top * float64(len(si.weights)) / sum
}

// TestSharesFollowSpeeds guards against slow servers that refuse requests while others
// idle, and against shares that follow noise.
func TestSharesFollowSpeeds(t *testing.T) {
	for _, servers := range []int{6, 47} {
		for seed := range uint64(5) {
			is := is.New(t)
			si := newSite(seed, 30, spread(servers, 0.7, 1.7)...)
			before := si.imbalance()
			si.run(6 * timer.Second)
			first := si.imbalance()
			si.run(54 * timer.Second)
			total, most := 0, 0
			for _, changes := range si.changes {
				total, most = total+changes, max(most, changes)
			}
			t.Logf("%d servers: imbalance %.2f, after 6 s %.2f, after 60 s %.2f; %d changes, %d at most", servers, before, first, si.imbalance(), total, most)
			is.True(first < 1.3)
			is.True(si.imbalance() < 1.25)
			is.True(most <= 3 && total <= 3*servers/2) // few moves, although each server has slow periods all the time
		}
	}
}

// TestEqualServersKeepFullShares guards against moves of keys for noise alone.
func TestEqualServersKeepFullShares(t *testing.T) {
	is := is.New(t)
	si := newSite(1, 30, spread(20, 1, 1)...)
	si.run(60 * timer.Second)
	for _, changes := range si.changes {
		is.Equal(changes, 0)
	}
}

// TestNothingIsComparedWithoutPeers guards against shares from a few runs, or from reports
// of peers that are out of date.
func TestNothingIsComparedWithoutPeers(t *testing.T) {
	is := is.New(t)
	cm, now := NewComparer(), timer.Instant(timer.Second)
	for i := range 100 {
		now = now.Add(50 * timer.Millisecond)
		cm.ObserveRun("read", 100*timer.Millisecond, now)
		_, ok := cm.Typical("read", now)
		is.Equal(ok, i >= 60) // runs of 3 s
	}
	cm.ObservePeer("read", 1, 50*timer.Millisecond, now)
	_, ok := cm.Speed(3, now)
	is.Equal(ok, false) // one peer may be the odd one
	cm.ObservePeer("read", 2, 50*timer.Millisecond, now)
	cm.ObservePeer("other", 2, 10*timer.Millisecond, now) // no own runs
	speed, ok := cm.Speed(3, now)
	is.True(ok && math.Abs(speed-0.5) < 0.01)
	cm.ForgetRuns()
	_, ok = cm.Speed(3, now)
	is.Equal(ok, false)
}

// TestShareChangesSeldom guards against a stream of writes to the table, and against keys
// that all move for a wrong measurement.
func TestShareChangesSeldom(t *testing.T) {
	is := is.New(t)
	sh, changes := NewShare(), 0
	for second := range 60 {
		former := sh.Units()
		if sh.Update(Standing{Speed: float64(second%2) * 9}, timer.Instant(second)*timer.Instant(timer.Second)) != former {
			changes++
		}
		is.True(sh.Units() >= minShare && sh.Units() <= maxShare)
	}
	is.True(changes > 0 && changes <= 6)
}

// TestSlowNeighbour checks one server that is always half as fast as the others: it alone
// gets a smaller share, and gets it back once it has recovered.
func TestSlowNeighbour(t *testing.T) {
	is := is.New(t)
	speeds := spread(12, 1, 1)
	speeds[3] = 0.5
	si := newSite(2, 30, speeds...)
	before := si.imbalance()
	si.run(20 * timer.Second)
	t.Logf("imbalance %.2f, after 20 s %.2f", before, si.imbalance())
	is.True(si.imbalance() < 1.2)
	for server, changes := range si.changes {
		is.Equal(changes > 0, server == 3)
	}
	si.speeds[3] = 1
	si.run(30 * timer.Second)
	is.Equal(si.shares[3].Units(), uint32(FullShare))
}

// TestFlappingServer guards against a stream of changes for a server that changes its speed
// every few seconds.
func TestFlappingServer(t *testing.T) {
	is := is.New(t)
	si := newSite(3, 30, spread(12, 1, 1)...)
	for range 20 {
		si.speeds[0] = 1.5 - si.speeds[0]
		si.run(3 * timer.Second)
	}
	total := 0
	for _, changes := range si.changes {
		total += changes
	}
	is.True(si.changes[0] <= 6) // in 60 s
	is.True(total-si.changes[0] <= 2)
}
