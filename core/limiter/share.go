package limiter

import "cornellanding.example/core/timer"

const (
	// demandWindow is the time ahead for which a request should provide tokens.
	demandWindow = 500 * timer.Millisecond
	// demandWeight is the weight of a new sample in the smoothed demand.
	demandWeight = 0.3
	// maxExtrapolation bounds the factor by which the demand seen in a short
	// interval is scaled up to the window.
	maxExtrapolation = 4
	// lowWatermark is the share of the expected demand below which the Share
	// requests tokens in advance.
	lowWatermark = 0.5
	// idleAfter is the time without requests after which tokens are returned.
	idleAfter = 400 * timer.Millisecond
	// returnBefore is the remaining term below which unused tokens are returned,
	// so that the home can grant them again.
	returnBefore = 200 * timer.Millisecond
)

// heldGrant is a grant that has not expired and has tokens or unreported uses.
type heldGrant struct {
	sequence    uint64
	isImmediate bool
	tokens      float64
	// used and returned are still to be reported.
	used      float64
	returned  float64
	expiresAt timer.Instant
}

// Share holds the tokens that one entry instance has been granted from the bucket
// of one workspace. It is not safe for concurrent use.
type Share struct {
	entry    uint64
	grants   []heldGrant
	sequence uint64
	// taken counts the calls of Take since the last request.
	taken float64
	// waiting counts the calls that found no token since the last request.
	waiting float64
	// takenAt is the time of the last Take, and requestedAt that of the last request.
	takenAt     timer.Instant
	requestedAt timer.Instant
	// demand is the smoothed number of tokens needed per demandWindow.
	demand             float64
	isRequestPending   bool
	isHomeUnresponsive bool
	isAtCap            bool
	retryAt            timer.Instant
}

// NewShare returns an empty Share. Entry identifies this start of the instance.
func NewShare(entry uint64) *Share { return &Share{entry: entry} }

// Take uses one token at now. It returns false if there is none.
func (sh *Share) Take(now timer.Instant) bool {
	sh.taken++
	sh.takenAt = now
	return sh.Retake(now)
}

// Retake is Take for a waiting request that Take has counted before.
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

// NeedsRequest reports whether to send a request for tokens at now: tokens are low,
// no request is pending, and RetryAt has passed.
func (sh *Share) NeedsRequest(now timer.Instant) bool {
	if sh.isRequestPending || now.Before(sh.retryAt) {
		return false
	}
	sh.expire(now)
	return sh.waiting > 0 || sh.demand >= 1 && sh.tokens() < sh.demand*lowWatermark
}

// RetryAt returns the earliest time of the next request, as set by the home's answer
// or by Fail, or 0 if none is set.
func (sh *Share) RetryAt() timer.Instant { return sh.retryAt }

// IsHomeUnresponsive reports whether the home has not answered the last request, in
// which case a lack of tokens does not mean that the rate is used up.
func (sh *Share) IsHomeUnresponsive() bool { return sh.isHomeUnresponsive }

// MarkHomeUnresponsive records that the home has not answered yet. The request
// remains pending.
func (sh *Share) MarkHomeUnresponsive() { sh.isHomeUnresponsive = true }

// IsAtCap reports whether the home refused only because other entries hold as many
// tokens as may be outstanding. A lack of tokens does not mean then that the rate is
// used up.
func (sh *Share) IsAtCap() bool { return sh.isAtCap }

// IsRequestPending reports whether a request is waiting for its answer.
func (sh *Share) IsRequestPending() bool { return sh.isRequestPending }

// IsIdle reports whether the Share holds tokens that have not been needed lately.
// They should be returned before they expire, since another entry may need them.
func (sh *Share) IsIdle(now timer.Instant) bool {
	sh.expire(now)
	return !sh.isRequestPending && len(sh.grants) > 0 && now.Sub(sh.takenAt) >= idleAfter
}

// ReturnAll returns a request that returns all tokens and requests none. It must be
// followed by Receive or Fail.
func (sh *Share) ReturnAll(now timer.Instant) Request {
	sh.sequence++
	sh.isRequestPending = true
	sh.demand, sh.taken, sh.waiting, sh.requestedAt = 0, 0, 0, now
	for i := range sh.grants {
		sh.grants[i].expiresAt = now
	}
	return Request{Entry: sh.entry, Sequence: sh.sequence, Uses: sh.report(now), SentAt: now}
}

// NewRequest returns the request to send at now. It must be followed by Receive or
// Fail.
func (sh *Share) NewRequest(now timer.Instant) Request {
	sh.updateDemand(now)
	sh.sequence++
	sh.isRequestPending = true
	rq := Request{
		Entry: sh.entry, Sequence: sh.sequence, Uses: sh.report(now),
		Waiting: sh.waiting, Want: sh.prefetch(), SentAt: now,
	}
	sh.taken, sh.waiting = 0, 0
	sh.requestedAt = now
	return rq
}

// prefetch returns how many tokens to request beyond those for waiting requests. At
// a low demand it is 0, and each request gets its own token, so that none are
// withheld from other entries.
func (sh *Share) prefetch() float64 {
	if sh.demand < 1 {
		return 0
	}
	return max(0, sh.demand-sh.tokens())
}

// report lists the uses to be reported, returns tokens that are about to expire, and
// drops grants that are used up.
func (sh *Share) report(now timer.Instant) []Usage {
	var uses []Usage
	kept := sh.grants[:0]
	for _, gr := range sh.grants {
		if !gr.isImmediate && gr.expiresAt.Sub(now) < returnBefore {
			gr.returned, gr.tokens = gr.tokens, 0
		}
		if !gr.isImmediate && (gr.used > 0 || gr.returned > 0) {
			uses = append(uses, Usage{Sequence: gr.sequence, Tokens: gr.used, Returned: gr.returned})
		}
		gr.used, gr.returned = 0, 0
		if gr.tokens >= 1 {
			kept = append(kept, gr)
		}
	}
	sh.grants = kept
	return uses
}

// updateDemand smooths the demand since the last request, scaled to the window. The
// interval has a lower bound, so that a few requests in a short one are not taken
// for a high demand.
func (sh *Share) updateDemand(now timer.Instant) {
	elapsed := max(now.Sub(sh.requestedAt), demandWindow/maxExtrapolation)
	seen := sh.taken * float64(demandWindow) / float64(elapsed)
	sh.demand += demandWeight * (seen - sh.demand)
}

// Receive processes the home's answer to a request.
func (sh *Share) Receive(rq Request, gr Grant, now timer.Instant) {
	sh.isRequestPending = false
	sh.isHomeUnresponsive = false
	sh.isAtCap = gr.IsAtCap
	sh.addGrant(rq, gr.Immediate, ImmediateTerm, true)
	sh.addGrant(rq, gr.Tokens, GrantTerm, false)
	sh.retryAt = 0
	if gr.Immediate+gr.Tokens == 0 && rq.Waiting+rq.Want > 0 {
		sh.retryAt = now.Add(gr.RetryAfter)
	}
}

func (sh *Share) addGrant(rq Request, tokens float64, term timer.Span, isImmediate bool) {
	if tokens < 1 {
		return
	}
	sh.grants = append(sh.grants, heldGrant{
		sequence: rq.Sequence, tokens: tokens, expiresAt: rq.SentAt.Add(term), isImmediate: isImmediate,
	})
}

// Fail ends a request that got no answer, and allows the next one at retryAt. The
// home may have received its report, so the uses are not reported again.
func (sh *Share) Fail(retryAt timer.Instant) {
	sh.isRequestPending = false
	sh.isHomeUnresponsive = true
	sh.retryAt = retryAt
}
