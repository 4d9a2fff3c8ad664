package admitter

import (
	"cornellanding.example/core/timer"
)

// coldBurst is the burst, in requests, of the token bucket that limits starts on a
// cold server.
const coldBurst = 2

// SetColdRate limits how many requests per second start on a cold server. At 0,
// the default, only the concurrency is limited.
func (ga *Gate) SetColdRate(perSecond float64) { ga.coldRate = perSecond }

// SetColdUntil sets until when the server is cold, as the server itself reports.
func (ga *Gate) SetColdUntil(until timer.Instant) { ga.coldUntil = until }

// isColdRateExhausted refills the token bucket of a cold server and reports
// whether it has no token for another start at now.
func (ga *Gate) isColdRateExhausted(now timer.Instant) bool {
	if ga.coldRate <= 0 || !now.Before(ga.coldUntil) {
		return false
	}
	earned := now.Sub(ga.coldFilledAt).Duration().Seconds() * ga.coldRate
	ga.coldTokens = min(coldBurst, ga.coldTokens+earned)
	ga.coldFilledAt = now
	return ga.coldTokens < 1
}

// startRun counts a run and takes a token for it.
func (ga *Gate) startRun() {
	ga.running++
	ga.coldTokens = max(0, ga.coldTokens-1)
}

// NextStartAt returns when the next queued request may start even if no run ends
// before. It returns false if the start rate of a cold server is not what holds
// the queue up.
func (ga *Gate) NextStartAt(now timer.Instant) (timer.Instant, bool) {
	if ga.Waiting() == 0 || ga.running >= ga.limit || !ga.isColdRateExhausted(now) {
		return 0, false
	}
	missing := timer.Span((1 - ga.coldTokens) / ga.coldRate * float64(timer.Second))
	return min(now.Add(missing+1), ga.coldUntil), true
}
