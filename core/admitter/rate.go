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

// Pace limits the starts on a cold server, in place of the rate of SetColdRate.
type Pace interface {
	// Allows reports whether a request may start on the cold server at now.
	Allows(now timer.Instant) bool
	// NextAt returns when the next request may start on the cold server.
	NextAt(now timer.Instant) timer.Instant
	// Rate returns the starts a second in force on the cold server, above 0.
	Rate() float64
	// Start records a start on the server, cold or not.
	Start(now timer.Instant)
}

// SetPace sets what limits the starts on a cold server if SetColdRate sets a rate.
func (ga *Gate) SetPace(pa Pace) { ga.pace = pa }

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
	coldRate := ga.coldRate
	if ga.pace != nil {
		coldRate = ga.pace.Rate()
	}
	switch {
	case ga.IsCold(now) && ga.isServerLimited:
		return min(coldRate, ga.serverRate), true
	case ga.IsCold(now):
		return coldRate, true
	default:
		return ga.serverRate, ga.isServerLimited
	}
}

// IsCold reports whether the rate of starts is limited since the server is cold.
func (ga *Gate) IsCold(now timer.Instant) bool { return ga.coldRate > 0 && now.Before(ga.coldUntil) }

// isRateExhausted refills the token bucket of the start rate and reports whether it has no
// token for another start at now, or the pace allows none.
func (ga *Gate) isRateExhausted(now timer.Instant) bool {
	rate, isLimited := ga.startRate(now)
	if ga.pace != nil && ga.IsCold(now) {
		if !ga.pace.Allows(now) {
			return true
		}
		rate, isLimited = ga.serverRate, ga.isServerLimited
	}
	if !isLimited {
		return false
	}
	earned := now.Sub(ga.filledAt).Duration().Seconds() * rate
	ga.startTokens = min(max(minStartBurst, rate*startBurstSpan.Duration().Seconds()), ga.startTokens+earned)
	ga.filledAt = now
	return ga.startTokens < 1
}

// startRun counts a run and takes a token for it.
func (ga *Gate) startRun(now timer.Instant) {
	ga.running++
	ga.startTokens = max(0, ga.startTokens-1)
	if ga.pace != nil {
		ga.pace.Start(now)
	}
}

// NextStartAt returns when the next queued request may start even if no run ends
// before. It returns false if the start rate is not what holds the queue up.
func (ga *Gate) NextStartAt(now timer.Instant) (timer.Instant, bool) {
	if ga.Waiting() == 0 || ga.running >= ga.Limit() || !ga.isRateExhausted(now) {
		return 0, false
	}
	at := ga.nextTokenAt(now)
	if now.Before(ga.coldUntil) {
		at = min(at, ga.coldUntil)
	}
	return at, true
}

// nextTokenAt returns when the limits on the rate of starts allow the next one.
func (ga *Gate) nextTokenAt(now timer.Instant) timer.Instant {
	rate, _ := ga.startRate(now)
	if ga.pace == nil || !ga.IsCold(now) {
		return now.Add(timer.Span((1-ga.startTokens)/rate*float64(timer.Second)) + 1)
	}
	at := ga.pace.NextAt(now).Add(1)
	if ga.isServerLimited {
		at = max(at, now.Add(timer.Span(max(0, 1-ga.startTokens)/ga.serverRate*float64(timer.Second))+1))
	}
	return at
}
