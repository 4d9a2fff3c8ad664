package throttler

import (
	"math"

	"cornellanding.example/core/scheduler"
	"cornellanding.example/core/timer"
)

const (
	// shareWeight is the weight of a new call in the smoothed share of failed calls.
	shareWeight = 0.05
	// formerWeight is the same for the share before throttling began.
	formerWeight = 0.02
	// Throttling begins when more than onsetShare of at least onsetCalls calls fail. Three
	// failures in a row are needed, so that single ones change nothing.
	onsetShare = 0.15
	onsetCalls = 10
	// probeRate is the least rate of admitted runs per second. The end of an outage is
	// taken for certain after probeStreak calls without a failure. At 3 a second that took
	// 2.9 s at worst, at 4 it took 1.5 s.
	probeRate   = 4.0
	probeStreak = 2
	// minAdmitted times the share of calls that succeed is the least share of requests that
	// is admitted, so that an instance keeps a part if others don't throttle.
	minAdmitted = 0.2
	// A failure reduces the rate by minCut, at most once in a run's latency and
	// minReaction, and to maxExcess times the rate of runs whose calls succeed. growth and
	// growthScale give the increase with the number of calls without a failure: a
	// reduction by minCut is made up for after about 20 of them, and the rate has doubled
	// after 40. After an outage it grows by rampGrowth with each. At first the rate is cut
	// by firstCut, which shows soon whether throttling has an effect.
	minCut      = 0.1
	maxExcess   = 1.2
	minReaction = 100 * timer.Millisecond
	growth      = 0.002
	growthScale = 8
	firstCut    = 0.5
	rampGrowth  = 0.2
	// Throttling ends when the rate has been above releaseFactor times the demand for
	// releaseSpan after the last reduction.
	releaseFactor = 1.5
	releaseSpan   = timer.Second
	// If the rate is below futileRateShare of the demand and still futileShare of the calls
	// fail, and futileRatio times as many as before, over futileCalls and futileSpan, the
	// failures don't follow the load, and throttling would only add refusals. It ends for
	// a time that doubles from minPause to maxPause. Above outageShare only probes are
	// worth it.
	futileRateShare = 0.5
	futileRatio     = 0.7
	futileShare     = 0.15
	outageShare     = 0.8
	futileCalls     = 40
	futileSpan      = 5 * timer.Second
	minPause        = 5 * timer.Second
	maxPause        = 160 * timer.Second
	// burstSpan is the time whose admissions may be saved up.
	burstSpan = 100 * timer.Millisecond
)

// control is the admission of one route.
type control struct {
	isThrottled bool
	// rate is the runs per second that are admitted, with a bucket of tokens as of
	// filledAt. Places are the times named in refusals.
	rate     float64
	tokens   float64
	filledAt timer.Instant
	places   scheduler.Schedule
	// streak is the number of calls since the last failure.
	streak int
	cutAt  timer.Instant
	// offered and started measure the requests.
	offered, started meter
	// formerRate and formerShare are the rate of runs and the smoothed share of failed
	// calls before throttling began.
	formerRate, formerShare float64
	// isProbing means that nearly all calls fail, and isRamping that none has since then.
	isProbing, isRamping bool
	trial                trial
	// pausedUntil is until when throttling doesn't begin again, and pause how long the
	// latest such time was.
	pausedUntil timer.Instant
	pause       timer.Span
}

// trial counts the calls made while the rate is far below the demand.
type trial struct {
	startedAt     timer.Instant
	calls, failed int
}

func (co *control) arrive(rq Request, now timer.Instant) Decision {
	co.offered.add(now)
	if !co.isThrottled {
		return Admit{}
	}
	demand := co.offered.perSecond(now)
	if co.rate > releaseFactor*demand && now.Sub(co.cutAt) > releaseSpan {
		co.isThrottled = false
		return Admit{}
	}
	earned := now.Sub(co.filledAt).Duration().Seconds() * co.rate
	co.tokens = min(max(1, co.rate*burstSpan.Duration().Seconds()), co.tokens+earned)
	co.filledAt = now
	if isReturn := co.places.Take(rq.Fingerprint, now); isReturn || co.tokens >= 1 {
		co.tokens = max(co.tokens-1, -1)
		return Admit{}
	}
	return Refuse{RetryAfter: co.reserve(rq, now)}
}

// reserve returns the time until the place of a refused request.
func (co *control) reserve(rq Request, now timer.Instant) timer.Span {
	from := now.Add(timer.Span((1 - co.tokens) / co.rate * float64(timer.Second)))
	place := scheduler.Place{Fingerprint: rq.Fingerprint, Rank: rq.Priority, Cost: 1}
	return co.places.RetryAfter(place, from, rq.DeadlineAt, co.rate, now)
}

func (co *control) cancel() {
	if co.isThrottled {
		co.tokens++
	}
}

// callShares is the smoothed shares of calls of one route that failed, and that failed
// because of an overload, over a number of calls.
type callShares struct {
	failed, overload float64
	calls            int
}

func (cs *callShares) observe(ca Call) {
	cs.calls++
	cs.failed += shareWeight * (indicator(ca.IsFailed) - cs.failed)
	cs.overload += shareWeight * (indicator(ca.IsOverload) - cs.overload)
}

// isOutage reports whether nearly all calls fail, whatever the reason.
func (cs *callShares) isOutage() bool { return cs.failed > outageShare }

// isTooMuch reports whether so many calls fail that fewer should be made.
func (cs *callShares) isTooMuch() bool {
	return cs.calls >= onsetCalls && (cs.overload > onsetShare || cs.isOutage())
}

// observeCall records the outcome of a call that runs of the route depend on. Shares are
// those of the call's route.
func (co *control) observeCall(ca Call, shares *callShares, now timer.Instant, latency timer.Span) {
	if !co.isThrottled {
		co.formerShare += formerWeight * (indicator(ca.IsFailed) - co.formerShare)
	}
	co.observeTrial(ca.IsFailed, now)
	if !ca.IsFailed {
		co.streak++
		co.grow()
		return
	}
	co.streak = 0
	isBegun := !co.isThrottled && shares.isTooMuch() && now >= co.pausedUntil
	if isBegun {
		co.begin(now)
	}
	isCut := co.isThrottled && (ca.IsOverload || shares.isOutage()) && now.Sub(co.cutAt) >= max(minReaction, latency)
	if isBegun || isCut {
		co.cut(shares, now)
	}
}

func indicator(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

func (co *control) begin(now timer.Instant) {
	co.isThrottled = true
	co.formerRate = co.started.perSecond(now)
	co.rate = co.formerRate * firstCut
	co.tokens, co.filledAt, co.places = 0, now, scheduler.Schedule{}
	co.trial = trial{}
}

// cut reduces the rate below that of the runs whose calls succeed.
func (co *control) cut(shares *callShares, now timer.Instant) {
	co.cutAt = now
	co.isRamping = false
	co.isProbing = shares.isOutage()
	least := max(probeRate, minAdmitted*(1-shares.failed)*co.offered.perSecond(now))
	sustained := (1 - shares.failed) * co.started.perSecond(now)
	co.rate = max(least, min(co.rate*(1-minCut), sustained*maxExcess))
}

// grow raises the rate after a call that succeeded.
func (co *control) grow() {
	switch {
	case !co.isThrottled:
	case co.isProbing && co.streak < probeStreak:
	case co.isProbing:
		co.isProbing, co.isRamping = false, true
		co.rate = max(co.rate, co.formerRate/2)
	case co.isRamping && co.rate < co.formerRate:
		co.rate *= 1 + rampGrowth
	default:
		steps := float64(co.streak) / growthScale
		co.rate *= 1 + growth*(1+steps*steps)
	}
}

// observeTrial ends the throttling if it has no effect on the failures.
func (co *control) observeTrial(isFailed bool, now timer.Instant) {
	if !co.isThrottled || co.isProbing || co.rate > futileRateShare*co.offered.perSecond(now) {
		co.trial = trial{}
		return
	}
	tr := &co.trial
	if tr.startedAt == 0 {
		tr.startedAt = now
	}
	tr.calls++
	if isFailed {
		tr.failed++
	}
	if tr.calls < futileCalls || now.Sub(tr.startedAt) < futileSpan {
		return
	}
	share := float64(tr.failed) / float64(tr.calls)
	co.trial = trial{}
	switch {
	case share < futileShare/2:
		co.pause = 0
	case share >= max(futileShare, futileRatio*co.formerShare) && share < outageShare:
		co.isThrottled = false
		co.pause = min(maxPause, max(minPause, 2*co.pause))
		co.pausedUntil = now.Add(co.pause)
	}
}

// meterSpan is the time over which rates are measured.
const meterSpan = timer.Second

// meter measures a rate by a decaying count.
type meter struct {
	count float64
	at    timer.Instant
}

func (me *meter) decay(now timer.Instant) {
	me.count *= math.Exp(-float64(now.Sub(me.at)) / float64(meterSpan))
	me.at = now
}

func (me *meter) add(now timer.Instant) {
	me.decay(now)
	me.count++
}

// perSecond returns the rate per second.
func (me *meter) perSecond(now timer.Instant) float64 {
	me.decay(now)
	return me.count / meterSpan.Duration().Seconds()
}
