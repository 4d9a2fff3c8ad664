package admitter

import (
	"cornellanding.example/core/timer"
)

// coldBurst is how many requests a cold server may get at once.
const coldBurst = 2

// SetColdRate sets how many requests a second a cold server bears. Without it,
// or at 0, only its concurrency is bounded.
func (ga *Gate) SetColdRate(perSecond float64) { ga.coldRate = perSecond }

// SetColdUntil takes the server's own word of until when it is cold.
func (ga *Gate) SetColdUntil(until timer.Instant) { ga.coldUntil = until }

// isColdFull reports whether a cold server must get no other request yet. It
// refills what a cold server bears.
func (ga *Gate) isColdFull(now timer.Instant) bool {
	if ga.coldRate <= 0 || !now.Before(ga.coldUntil) {
		return false
	}
	earned := now.Sub(ga.coldFilledAt).Duration().Seconds() * ga.coldRate
	ga.coldTokens = min(coldBurst, ga.coldTokens+earned)
	ga.coldFilledAt = now
	return ga.coldTokens < 1
}

// begin counts a run.
func (ga *Gate) begin() {
	ga.running++
	ga.coldTokens = max(0, ga.coldTokens-1)
}

// NextStartAt returns when a waiting request may start at the earliest although no
// run ends before, or false if nothing waits for that.
func (ga *Gate) NextStartAt(now timer.Instant) (timer.Instant, bool) {
	if ga.Waiting() == 0 || ga.running >= ga.limit || !ga.isColdFull(now) {
		return 0, false
	}
	missing := timer.Span((1 - ga.coldTokens) / ga.coldRate * float64(timer.Second))
	return min(now.Add(missing+1), ga.coldUntil), true
}
