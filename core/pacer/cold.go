package pacer

import (
	"math"
	"slices"

	"cornellanding.example/core/timer"
)

// CheckInterval is the shortest interval of checks whether a busy server has turned cold. One
// that does so without a start says it in its next heartbeat only, up to 1.5 s later.
const CheckInterval = 50 * timer.Millisecond

const (
	// coldWindow is the span in which the starts on a cold server are bounded. The bound
	// holds for any second at the server; requests sent a little apart may arrive closer
	// together.
	coldWindow = 1100 * timer.Millisecond
	// raisePerSuccess is how much of the configured rate each response that keeps pace
	// adds to the rate, and lowerFactor scales the rate at one that doesn't.
	raisePerSuccess = 0.1
	lowerFactor     = 0.7
	// busyShareOfBound is the share of the bound from which a server counts as busy. Below
	// it the bound holds even if the server is cold and nobody knows.
	busyShareOfBound = 0.8
	// checkShare is the share of the bound that may start between two checks whether the
	// server has turned cold. Those that start in the same second before the check count
	// too, so that the rest is for them and for late timers.
	checkShare = 0.4
	// A response keeps pace if it takes no more than paceFactor of what is usual on the
	// server's peers. All servers are three times slower for some of the time.
	paceFactor = 3.5
	// minSteadyBurst and steadyBurstSpan give the burst at a steady rate, in requests: what
	// the rate allows in the span, as timers fire late.
	minSteadyBurst  = 2
	steadyBurstSpan = 50 * timer.Millisecond
)

// Bound limits the requests that start in any second on a cold server, from all machines,
// to PerS x Overshoot + Slack.
type Bound struct {
	// PerS is in requests a second, 0 for no limit.
	PerS      float64
	Overshoot float64
	Slack     float64
}

// most returns the number of starts allowed in a window.
func (bo Bound) most() int { return max(1, int(bo.PerS*max(1, bo.Overshoot)+bo.Slack)) }

// Pacer limits the starts on a server that is cold: one that has just started, or has
// turned cold while it serves. It allows a burst at first, as the server is idle then, and
// raises the rate from the configured one to the overshoot while responses keep pace. The
// bound holds over the starts before the server was known to be cold too.
type Pacer struct {
	bound Bound
	// isSteady is set by NewSteady.
	isSteady bool
	// starts holds the times of the latest starts, no more than the bound, oldest first.
	starts []timer.Instant
	// rate is the rate in force and tokens what may start at once as of filledAt. Both
	// begin anew when the server has not been cold before, see Allows.
	rate     float64
	tokens   float64
	filledAt timer.Instant
	// blockedUntil is until when nothing starts: a former instance may have started as
	// much as the bound allows.
	blockedUntil timer.Instant
}

// NewPacer returns a Pacer of a gate that is created at now.
func NewPacer(bound Bound, now timer.Instant) *Pacer {
	return &Pacer{bound: bound, blockedUntil: now.Add(coldWindow)}
}

// NewSteady returns a Pacer that allows the configured rate whatever the responses, without
// the first burst. The bound holds over the starts before the server was known to be cold.
func NewSteady(bound Bound) *Pacer { return &Pacer{bound: bound, isSteady: true} }

// isBusy reports whether requests have lately started on the server at nearly the rate that
// the bound allows on a cold one, so that a server that turns cold must be noticed at once.
func (pa *Pacer) isBusy(now timer.Instant) bool {
	needed := max(1, int(busyShareOfBound*float64(pa.bound.most())))
	return len(pa.starts) >= needed && now.Sub(pa.starts[len(pa.starts)-needed]) <= coldWindow
}

// IsCheckDue reports whether the server should be checked again at now after a check at
// checkedAt: it is busy, and as many requests have started since as checkShare allows. It is
// to be asked at each start.
func (pa *Pacer) IsCheckDue(checkedAt, now timer.Instant) bool {
	if now.Sub(checkedAt) < CheckInterval || !pa.isBusy(now) {
		return false
	}
	since := 0
	for _, at := range pa.starts {
		if !at.Before(checkedAt) {
			since++
		}
	}
	return float64(since) >= checkShare*float64(pa.bound.most())
}

// SetRate applies a changed rate of the configuration.
func (pa *Pacer) SetRate(perS float64) {
	if perS != pa.bound.PerS {
		pa.bound.PerS, pa.rate = perS, 0
		pa.trim()
	}
}

// trim drops the starts that no bound depends on.
func (pa *Pacer) trim() {
	if extra := len(pa.starts) - pa.bound.most(); extra > 0 {
		pa.starts = slices.Delete(pa.starts, 0, extra)
	}
}

// Start records a start at now, on a cold server or another.
func (pa *Pacer) Start(now timer.Instant) {
	pa.starts = append(pa.starts, now)
	pa.trim()
	pa.tokens = max(0, pa.tokens-1)
}

// Allows reports whether a request may start on the cold server at now. It is called only
// while the server is cold.
func (pa *Pacer) Allows(now timer.Instant) bool {
	pa.refill(now)
	return !now.Before(pa.nextInWindow(now)) && pa.tokens >= 1
}

// refill adds the tokens earned since the last call. The bucket holds what the bound
// leaves beside a window at the rate in force.
func (pa *Pacer) refill(now timer.Instant) {
	if pa.rate == 0 || now.Sub(pa.filledAt) > coldWindow {
		pa.rate = pa.bound.PerS
		pa.tokens = pa.burst()
	}
	pa.tokens = min(pa.burst(), pa.tokens+now.Sub(pa.filledAt).Duration().Seconds()*pa.rate)
	pa.filledAt = now
}

// burst returns how many requests may start at once at the rate in force.
func (pa *Pacer) burst() float64 {
	if pa.isSteady {
		return max(minSteadyBurst, pa.rate*steadyBurstSpan.Duration().Seconds())
	}
	return max(1, float64(pa.bound.most())-pa.rate*coldWindow.Duration().Seconds())
}

// nextInWindow returns from when the bound allows another start.
func (pa *Pacer) nextInWindow(now timer.Instant) timer.Instant {
	at := max(now, pa.blockedUntil)
	if len(pa.starts) < pa.bound.most() {
		return at
	}
	return max(at, pa.starts[0].Add(coldWindow))
}

// NextAt returns when the next request may start on the cold server.
func (pa *Pacer) NextAt(now timer.Instant) timer.Instant {
	pa.refill(now)
	missing := max(0, 1-pa.tokens)
	earned := now.Add(timer.Span(math.Ceil(missing / pa.rate * float64(timer.Second))))
	return max(earned, pa.nextInWindow(now))
}

// Rate returns the starts a second in force on the cold server.
func (pa *Pacer) Rate() float64 { return max(pa.rate, pa.bound.PerS) }

// Finish records the latency of a run that the server answered, with what is usual on its
// peers for the route, 0 if that is not known.
func (pa *Pacer) Finish(latency, usual timer.Span) {
	if pa.isSteady {
		return
	}
	if usual > 0 && float64(latency) > paceFactor*float64(usual) {
		pa.rate = max(pa.bound.PerS, pa.rate*lowerFactor)
		return
	}
	pa.rate = min(pa.bound.PerS*max(1, pa.bound.Overshoot), pa.rate+raisePerSuccess*pa.bound.PerS)
}

// Overload records that the server refused a request, crashed or could not be reached.
func (pa *Pacer) Overload() {
	if !pa.isSteady {
		pa.rate, pa.tokens = pa.bound.PerS, 0
	}
}
