package admitter

import (
	"cornellanding.example/core/timer"
)

const (
	// minStartBurst and startBurstSpan give the burst, in requests, of the token bucket
	// that limits starts: what the rate allows in startBurstSpan, as timers fire late.
	minStartBurst  = 2
	startBurstSpan = 50 * timer.Millisecond
	// minStartRate is the lowest rate of starts, in requests a second. A server that
	// gets no request can't lift its limit.
	minStartRate = 0.25
	// unheardSlots is the concurrency limit for a server that has not answered yet.
	unheardSlots = 4
)

// SetColdRate limits how many requests per second start on a cold server. At 0,
// the default, only the concurrency is limited.
func (ga *Gate) SetColdRate(perSecond float64) { ga.coldRate = perSecond }

// SetColdUntil sets until when the server is cold, as the server itself reports.
func (ga *Gate) SetColdUntil(until timer.Instant) { ga.coldUntil = until }

// SetServerLimit limits how many requests per second start, as the server itself asks, or
// lifts that limit if isLimited is false. It returns the tickets that it dropped from the
// queues: requests that can't be served before their deadline at that rate.
func (ga *Gate) SetServerLimit(perSecond float64, isLimited bool, now timer.Instant) []Ticket {
	ga.isRateExhausted(now) // refills the token bucket at the former rate
	ga.isServerLimited, ga.serverRate = isLimited, max(perSecond, minStartRate)
	if !isLimited {
		return nil
	}
	return ga.dropHopeless(now)
}

// dropHopeless removes and returns the queued requests that can't be served before their
// deadline at the rate in force.
func (ga *Gate) dropHopeless(now timer.Instant) []Ticket {
	var dropped []Ticket
	cost, ahead := 0.0, 0
	for pr := range ga.queues {
		qu := &ga.queues[pr]
		for i := 0; i < len(qu.items); {
			wa := qu.items[i]
			if now.Add(ga.spanOf(cost, ahead, now)+ga.latencyOf(wa.request.Route)) > wa.request.DeadlineAt {
				qu.removeAt(i)
				dropped = append(dropped, wa.ticket)
				continue
			}
			cost, ahead = cost+wa.cost, ahead+1
			i++
		}
	}
	return dropped
}

// startRate returns how many requests per second may start at now, or false if only the
// concurrency is limited.
func (ga *Gate) startRate(now timer.Instant) (float64, bool) {
	isCold := ga.coldRate > 0 && now.Before(ga.coldUntil)
	switch {
	case isCold && ga.isServerLimited:
		return min(ga.coldRate, ga.serverRate), true
	case isCold:
		return ga.coldRate, true
	default:
		return ga.serverRate, ga.isServerLimited
	}
}

// isRateExhausted refills the token bucket of the start rate and reports whether it has no
// token for another start at now.
func (ga *Gate) isRateExhausted(now timer.Instant) bool {
	rate, isLimited := ga.startRate(now)
	if !isLimited {
		return false
	}
	earned := now.Sub(ga.filledAt).Duration().Seconds() * rate
	ga.startTokens = min(max(minStartBurst, rate*startBurstSpan.Duration().Seconds()), ga.startTokens+earned)
	ga.filledAt = now
	return ga.startTokens < 1
}

// startRun counts a run and takes a token for it.
func (ga *Gate) startRun() {
	ga.running++
	ga.startTokens = max(0, ga.startTokens-1)
}

// NextStartAt returns when the next queued request may start even if no run ends
// before. It returns false if the start rate is not what holds the queue up.
func (ga *Gate) NextStartAt(now timer.Instant) (timer.Instant, bool) {
	if ga.Waiting() == 0 || ga.running >= ga.Limit() || !ga.isRateExhausted(now) {
		return 0, false
	}
	rate, _ := ga.startRate(now)
	at := now.Add(timer.Span((1-ga.startTokens)/rate*float64(timer.Second)) + 1)
	if now.Before(ga.coldUntil) {
		at = min(at, ga.coldUntil)
	}
	return at, true
}
