package limiter

import "cornellanding.example/core/timer"

const (
	// demandWindow is how far ahead an ask looks.
	demandWindow = 500 * timer.Millisecond
	// demandWeight smooths the demand seen between two asks.
	demandWeight = 0.3
	// demandParts bounds how far a short interval is extrapolated.
	demandParts = 4
	// lowShare is the share of the window's demand below which the share asks
	// ahead.
	lowShare = 0.5
	// idleAfter is how long after the last request tokens are given up.
	idleAfter = 400 * timer.Millisecond
	// returnBefore is how long before the end of their term unused tokens are
	// given up, so that the home can grant them again.
	returnBefore = 200 * timer.Millisecond
)

// held is a grant in the hands of an entry.
type held struct {
	sequence    uint64
	isImmediate bool
	tokens      float64
	// used waits to be reported.
	used      float64
	returned  float64
	expiresAt timer.Instant
}

// Share is an entry instance's part of one workspace's bucket. It is not safe
// for use by several goroutines.
type Share struct {
	entry    uint64
	grants   []held
	sequence uint64
	// taken counts attempts since the last ask.
	taken float64
	// waiting counts requests that found no token since the last ask.
	waiting      float64
	takenAt      timer.Instant
	askedAt      timer.Instant
	demand       float64
	isAsking     bool
	isHomeSilent bool
	isHeld       bool
	retryAt      timer.Instant
}

// NewShare returns an empty share of the entry with that incarnation.
func NewShare(entry uint64) *Share { return &Share{entry: entry} }

// Take uses one token at now, or reports false if none is at hand.
func (sh *Share) Take(now timer.Instant) bool {
	sh.taken++
	sh.takenAt = now
	return sh.Retake(now)
}

// Retake is Take for a request that was counted before and waits.
func (sh *Share) Retake(now timer.Instant) bool {
	sh.expire(now)
	for i := range sh.grants {
		if sh.grants[i].tokens >= 1 {
			sh.grants[i].tokens--
			sh.grants[i].used++
			return true
		}
	}
	sh.waiting++
	return false
}

func (sh *Share) expire(now timer.Instant) {
	kept := sh.grants[:0]
	for _, gr := range sh.grants {
		if now.Before(gr.expiresAt) {
			kept = append(kept, gr)
		}
	}
	sh.grants = kept
}

func (sh *Share) tokens() float64 {
	sum := 0.0
	for _, gr := range sh.grants {
		sum += gr.tokens
	}
	return sum
}

// NeedsRequest reports whether an ask should be sent at now: tokens run low, none
// is under way, and the home did not say to wait.
func (sh *Share) NeedsRequest(now timer.Instant) bool {
	if sh.isAsking || now.Before(sh.retryAt) {
		return false
	}
	sh.expire(now)
	return sh.waiting > 0 || sh.demand >= 1 && sh.tokens() < sh.demand*lowShare
}

// RetryAt returns when the home may have a token again, or 0.
func (sh *Share) RetryAt() timer.Instant { return sh.retryAt }

// IsHomeUnresponsive reports whether the last ask got no answer, so that a lack of
// tokens says nothing about the workspace's rate.
func (sh *Share) IsHomeUnresponsive() bool { return sh.isHomeSilent }

// MarkHomeUnresponsive says that the home does not answer the ask under way, which goes on.
func (sh *Share) MarkHomeUnresponsive() { sh.isHomeSilent = true }

// IsAtCap reports whether the home had tokens, but none to grant, so that a lack
// of tokens says nothing about the workspace's rate.
func (sh *Share) IsAtCap() bool { return sh.isHeld }

// IsRequestPending reports whether an ask is under way.
func (sh *Share) IsRequestPending() bool { return sh.isAsking }

// IsIdle reports whether the share holds tokens that nobody has taken lately.
// They should be given up before they expire, since another entry may need
// them.
func (sh *Share) IsIdle(now timer.Instant) bool {
	sh.expire(now)
	return !sh.isAsking && len(sh.grants) > 0 && now.Sub(sh.takenAt) >= idleAfter
}

// ReturnAll returns an ask that wants nothing and returns all tokens. Receive or
// Fail must follow.
func (sh *Share) ReturnAll(now timer.Instant) Request {
	sh.sequence++
	sh.isAsking = true
	sh.demand, sh.taken, sh.waiting, sh.askedAt = 0, 0, 0, now
	for i := range sh.grants {
		sh.grants[i].expiresAt = now
	}
	return Request{Entry: sh.entry, Sequence: sh.sequence, Uses: sh.report(now), SentAt: now}
}

// NewRequest returns the ask to send at now. Receive or Fail must follow.
func (sh *Share) NewRequest(now timer.Instant) Request {
	sh.updateDemand(now)
	sh.sequence++
	sh.isAsking = true
	ask := Request{
		Entry: sh.entry, Sequence: sh.sequence, Uses: sh.report(now),
		Waiting: sh.waiting, Want: sh.ahead(), SentAt: now,
	}
	sh.taken, sh.waiting = 0, 0
	sh.askedAt = now
	return ask
}

// ahead returns how many tokens to ask for beyond those for waiting requests. A
// share with little demand asks for each request, so as not to keep tokens from
// others.
func (sh *Share) ahead() float64 {
	if sh.demand < 1 {
		return 0
	}
	return max(0, sh.demand-sh.tokens())
}

// report lists the uses not yet reported, gives up what is about to expire, and
// drops the grants used up.
func (sh *Share) report(now timer.Instant) []Use {
	var uses []Use
	kept := sh.grants[:0]
	for _, gr := range sh.grants {
		if !gr.isImmediate && gr.expiresAt.Sub(now) < returnBefore {
			gr.returned, gr.tokens = gr.tokens, 0
		}
		if !gr.isImmediate && (gr.used > 0 || gr.returned > 0) {
			uses = append(uses, Use{Sequence: gr.sequence, Tokens: gr.used, Returned: gr.returned})
		}
		gr.used, gr.returned = 0, 0
		if gr.tokens >= 1 {
			kept = append(kept, gr)
		}
	}
	sh.grants = kept
	return uses
}

// updateDemand smooths the requests seen since the last ask, scaled to the
// window. A short interval counts for little more than what was seen in it.
func (sh *Share) updateDemand(now timer.Instant) {
	elapsed := max(now.Sub(sh.askedAt), demandWindow/demandParts)
	seen := sh.taken * float64(demandWindow) / float64(elapsed)
	sh.demand += demandWeight * (seen - sh.demand)
}

// Receive takes the home's answer to ask.
func (sh *Share) Receive(ask Request, gr Grant, now timer.Instant) {
	sh.isAsking = false
	sh.isHomeSilent = false
	sh.isHeld = gr.IsAtCap
	sh.keep(ask, gr.Immediate, ImmediateTerm, true)
	sh.keep(ask, gr.Tokens, GrantTerm, false)
	sh.retryAt = 0
	if gr.Immediate+gr.Tokens == 0 && ask.Waiting+ask.Want > 0 {
		sh.retryAt = now.Add(gr.RetryAfter)
	}
}

func (sh *Share) keep(ask Request, tokens float64, term timer.Span, isImmediate bool) {
	if tokens < 1 {
		return
	}
	sh.grants = append(sh.grants, held{
		sequence: ask.Sequence, tokens: tokens, expiresAt: ask.SentAt.Add(term), isImmediate: isImmediate,
	})
}

// Fail ends an ask that got no answer. What it reported may or may not have
// reached the home, so it is not reported again.
func (sh *Share) Fail(retryAt timer.Instant) {
	sh.isAsking = false
	sh.isHomeSilent = true
	sh.retryAt = retryAt
}
