package balancer

import (
	"math"
	"math/bits"

	"cornellanding.example/core/timer"
)

const (
	// A gate's report counts in full at first and falls back, with the time constant
	// reportSpan, to what the gate usually reports: a queue changes within the time of a
	// few requests.
	reportSpan = 200 * timer.Millisecond
	// ownWeight is the weight of a new report in the smoothed values of a server, and
	// usualWeight in those of all servers. priorReports is how many reports of a server
	// count as much as what is usual of all.
	ownWeight    = 0.1
	usualWeight  = 0.02
	priorReports = 3.0
	// minSpeed and maxSpeed bound the speed of a server.
	minSpeed = 0.25
	maxSpeed = 4.0
	// A server whose latency is above slowFactor of the usual one, as after failures,
	// costs more in proportion.
	slowFactor = 1.5
)

// Load is what a gate reports of its server.
type Load struct {
	// Running and Waiting are the requests of all entries.
	Running, Waiting int
	// Speed is relative to the other servers, above 1 if the server is faster, or 0 if it
	// is not known. It is reported only with answers of the server, not with refusals.
	Speed float64
}

// reportedLoad is what one gate has reported. A queue is in multiples of what runs, which
// is the wait for a slot in multiples of a run.
type reportedLoad struct {
	queue    float64
	at       timer.Instant
	smoothed float64
	reports  int
	// speed is 0 before the first report of one, which counts as 1.
	speed float64
}

// usualLoad holds smoothed values over all servers.
type usualLoad struct {
	hasReports bool
	queue      float64
	latency    float64
}

// Report records what a server's gate says of it in an answer at now. The effect of many
// entries that see the same report is bounded: each compares two random candidates, so
// that no server is chosen for more than twice its share.
func (ba *Balancer) Report(incarnation uint64, lo Load, now timer.Instant) {
	se := ba.find(incarnation)
	if se == nil {
		return
	}
	rl, queue := &se.reported, float64(lo.Waiting)/float64(max(1, lo.Running))
	if rl.reports == 0 {
		rl.smoothed = queue
	}
	ba.usual.hasReports = true
	ba.usual.queue += usualWeight * (queue - ba.usual.queue)
	rl.smoothed += ownWeight * (queue - rl.smoothed)
	rl.queue, rl.at = queue, now
	rl.reports++
	if lo.Speed > 0 {
		speed := min(max(lo.Speed, minSpeed), maxSpeed)
		if rl.speed == 0 {
			rl.speed = speed
		}
		rl.speed += ownWeight * (speed - rl.speed)
		ba.endProbation(se, speed)
	}
}

// endProbation ends the probation of a server whose gate reports that it is as fast as the
// others again. The gate sees the requests of all entries, while the few that this entry
// sends to a server on probation take a minute to tell.
func (ba *Balancer) endProbation(se *server, speed float64) {
	if se.isProbation && speed*recoveredFactor >= 1 {
		se.isProbation = false
		se.latency = min(se.latency, recoveredFactor*ba.usual.latency)
	}
}

// speedOrUsual returns the reported speed, or 1 if there is none.
func (rl *reportedLoad) speedOrUsual() float64 {
	if rl.speed == 0 {
		return 1
	}
	return rl.speed
}

// estimate returns the queue expected at now, given what is usual of all servers.
func (rl *reportedLoad) estimate(usual float64, now timer.Instant) float64 {
	own := float64(rl.reports)
	expected := (own*rl.smoothed + priorReports*usual) / (own + priorReports)
	weight := math.Exp(-float64(max(0, now.Sub(rl.at))) / float64(reportSpan))
	return expected + weight*(rl.queue-expected)
}

// reportedCost is the cost of one more request if gates report. Candidates are drawn by
// speed already, so that it counts with its root only; in full, the fastest servers get
// more than they can run.
func (ba *Balancer) reportedCost(se *server) float64 {
	queue := se.reported.estimate(ba.usual.queue, ba.now)
	slow := max(1, se.latency/(slowFactor*max(1, ba.usual.latency)))
	return float64(se.outstanding+1) * (1 + queue) * slow / math.Sqrt(se.reported.speedOrUsual())
}

// draw returns a candidate for the random bits from shift on: any with the same
// probability, or by speed if gates report.
func (ba *Balancer) draw(usable []*server, random uint64, shift int) *server {
	if !ba.usual.hasReports {
		return usable[(random>>shift)%uint64(len(usable))]
	}
	random = bits.RotateLeft64(random, -shift)
	sum := 0.0
	for _, se := range usable {
		sum += se.reported.speedOrUsual()
	}
	at := float64(random&math.MaxUint32) / (math.MaxUint32 + 1) * sum
	for _, se := range usable {
		if at -= se.reported.speedOrUsual(); at < 0 {
			return se
		}
	}
	return usable[len(usable)-1]
}
