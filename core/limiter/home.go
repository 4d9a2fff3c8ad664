// Package limiter enforces the rate and burst of a workspace over all instances.
//
// The token bucket of a workspace has one home, the instance that owns it, just as
// keys have owners. The home grants tokens to entry instances, those that accept
// callers' requests, which use them until the grant expires. Granted tokens count
// against the burst until the entry reports them as used, returns them, or the
// grant expires. So in any window, all instances together use at most rate times
// length plus burst tokens.
//
// A home that took over after a failure does not know the grants of its
// predecessor. It starts empty and assumes that as many tokens as possible are
// outstanding until the last such grant has expired. If several homes failed within
// the term of a grant, it assumes that for each of them.
//
// Home and Share are state machines without a clock, a socket or goroutines, and
// callers must serialize access to them.
//
// # Usage
//
//	ho, err := limiter.NewHome(limiter.HomeRate(100), limiter.HomeBurst(200), limiter.HomeSince(now))
//	gr := ho.Grant(limiter.Request{Entry: 7, Sequence: 1, Want: 20}, now)
//
//	sh := limiter.NewShare(entry)
//	if !sh.Take(now) {
//		rq := sh.NewRequest(now)         // send it to the home
//		sh.Receive(rq, gr, now)
//	}
package limiter

import (
	"fmt"
	"maps"
	"math"

	"cornellanding.example/core/timer"
)

const (
	// GrantTerm is how long granted tokens may be used. The entry counts it from
	// when it sent the request and the home from when it granted, so that the
	// entry's term ends first.
	GrantTerm = timer.Second
	// ImmediateTerm is the term of tokens for requests that are waiting already. It
	// is so short that their use need not be reported.
	ImmediateTerm = 80 * timer.Millisecond
	// At most the burst divided by outstandingDivisor may be granted and not yet
	// reported, but see minOutstanding.
	outstandingDivisor = 3
	// minOutstanding tokens, or the whole burst if that is less, may always be
	// outstanding, so that a workspace with a small burst can send a few requests
	// at once.
	minOutstanding = 3
	// outstandingRetry is the delay before an entry requests again when too many
	// tokens are outstanding.
	outstandingRetry = 20 * timer.Millisecond
)

// OptionError reports an invalid option value passed to NewHome.
type OptionError struct {
	Option string
	Value  float64
}

// Error implements error.
func (er *OptionError) Error() string {
	return fmt.Sprintf("limiter: option %s: bad value %v", er.Option, er.Value)
}

// Request is a request of an entry for tokens.
type Request struct {
	// Entry identifies one start of the entry instance.
	Entry uint64
	// Sequence numbers the requests of the entry, from 1.
	Sequence uint64
	// Uses reports the use of earlier grants since the last request.
	Uses []Usage
	// Waiting is the number of requests waiting for a token, and Want the number
	// of tokens expected to be needed soon.
	Waiting float64
	Want    float64
	// SentAt is the time of sending on the entry's clock. It is not transmitted.
	SentAt timer.Instant
}

// Usage reports how many tokens of an earlier grant the entry used, and how many it
// returns unused.
type Usage struct {
	// Sequence is the number of the request that was granted.
	Sequence uint64
	Tokens   float64
	Returned float64
}

// Grant is the home's answer to a Request.
type Grant struct {
	// Immediate tokens are valid for ImmediateTerm, Tokens for GrantTerm.
	Immediate float64
	Tokens    float64
	// RetryAfter is the delay before the next request if nothing was granted.
	RetryAfter timer.Span
	// IsAtCap means that nothing was granted although the bucket is not empty,
	// because other entries hold as many tokens as may be outstanding.
	IsAtCap bool
}

// HomeOption configures NewHome.
type HomeOption func(*Home)

// HomeRate sets the rate in tokens per second.
func HomeRate(rate float64) HomeOption { return func(ho *Home) { ho.rate = rate } }

// HomeBurst sets the burst in tokens, at least 1.
func HomeBurst(burst float64) HomeOption { return func(ho *Home) { ho.burst = burst } }

// HomeSince sets the time at which the home took over the bucket.
func HomeSince(now timer.Instant) HomeOption { return func(ho *Home) { ho.filledAt = now } }

// HomeLosses sets how many homes failed within GrantTerm before this one took over.
// The default is 1.
func HomeLosses(count int) HomeOption { return func(ho *Home) { ho.losses = count } }

// HomeFull starts with a full bucket. It is safe only if no other home can have
// granted tokens within GrantTerm.
func HomeFull() HomeOption { return func(ho *Home) { ho.isFull = true } }

// lot is a grant that has neither expired nor been reported in full.
type lot struct {
	entry     uint64
	sequence  uint64
	tokens    float64
	expiresAt timer.Instant
	// isImmediate means that its use is not reported.
	isImmediate bool
}

// Home is the token bucket of one workspace at its home.
type Home struct {
	rate     float64
	burst    float64
	level    float64
	filledAt timer.Instant
	isFull   bool
	lots     []lot
	losses   int
	// assumed is the number of tokens that failed predecessors may have granted,
	// and assumedUntil is when those grants have expired.
	assumed      float64
	assumedUntil timer.Instant
	handedOver   *State
	// sequences holds the number of the latest request of each entry.
	sequences map[uint64]uint64
}

// NewHome returns a Home that assumes a failed predecessor, unless HomeFull,
// HomeState or HomeLosses says otherwise. It returns an *OptionError for a negative
// rate or a burst below 1.
func NewHome(opts ...HomeOption) (*Home, error) {
	ho := &Home{sequences: map[uint64]uint64{}, losses: 1}
	for _, opt := range opts {
		opt(ho)
	}
	if !(ho.rate >= 0) {
		return nil, &OptionError{Option: "HomeRate", Value: ho.rate}
	}
	if !(ho.burst >= 1) {
		return nil, &OptionError{Option: "HomeBurst", Value: ho.burst}
	}
	if ho.isFull {
		ho.level = ho.burst
		return ho, nil
	}
	if ho.losses > 0 {
		ho.assumed = float64(ho.losses) * ho.outstandingCap()
		ho.assumedUntil = ho.filledAt.Add(GrantTerm)
	}
	if ho.handedOver != nil {
		ho.restore(*ho.handedOver)
		ho.handedOver = nil
	}
	return ho, nil
}

// SetLimits applies a changed rate and burst.
func (ho *Home) SetLimits(rate, burst float64, now timer.Instant) {
	ho.advance(now)
	ho.rate, ho.burst = rate, burst
	ho.level = min(ho.level, ho.headroom())
}

// outstandingCap returns how many tokens may be granted and not yet reported.
func (ho *Home) outstandingCap() float64 {
	return max(min(minOutstanding, ho.burst), ho.burst/outstandingDivisor)
}

func (ho *Home) outstanding() float64 {
	sum := 0.0
	for _, lo := range ho.lots {
		sum += lo.tokens
	}
	return sum
}

// headroom returns the highest level at which level and outstanding grants together
// stay within the burst.
func (ho *Home) headroom() float64 {
	return max(0, ho.burst-ho.outstanding()-ho.assumed)
}

// advance drops expired grants and refills the bucket. Expired tokens may have been
// used, so they are not put back.
func (ho *Home) advance(now timer.Instant) {
	if ho.assumed > 0 && !now.Before(ho.assumedUntil) {
		ho.fillTo(ho.assumedUntil)
		ho.assumed = 0
	}
	kept := ho.lots[:0]
	for _, lo := range ho.lots {
		if now.Before(lo.expiresAt) {
			kept = append(kept, lo)
		}
	}
	ho.lots = kept
	ho.fillTo(now)
}

func (ho *Home) fillTo(now timer.Instant) {
	if !ho.filledAt.Before(now) {
		return
	}
	gained := ho.rate * float64(now.Sub(ho.filledAt)) / float64(timer.Second)
	ho.filledAt = now
	ho.level = min(ho.level+gained, ho.headroom())
}

// Grant answers a request at now. A request that is a copy of the latest one answered
// to its entry, or older, gets nothing, and its report is ignored.
func (ho *Home) Grant(rq Request, now timer.Instant) Grant {
	ho.advance(now)
	if rq.Sequence <= ho.sequences[rq.Entry] {
		return Grant{RetryAfter: timer.Millisecond}
	}
	ho.sequences[rq.Entry] = rq.Sequence
	for _, us := range rq.Uses {
		ho.settle(rq.Entry, us)
	}
	gr := Grant{}
	available := ho.outstandingCap() - ho.outstanding()
	gr.Immediate = math.Floor(max(0, min(rq.Waiting, ho.level, available)))
	ho.issue(rq, gr.Immediate, now.Add(ImmediateTerm), true)
	available -= gr.Immediate
	// Grant half of what is left, and keep the rest for the entries that request next.
	gr.Tokens = max(0, min(rq.Want, ho.level, available, max(1, available/2)))
	if gr.Tokens < 1 {
		gr.Tokens = 0
	}
	ho.issue(rq, gr.Tokens, now.Add(GrantTerm), false)
	if gr.Immediate+gr.Tokens == 0 {
		gr.RetryAfter = ho.retryAfter()
		gr.IsAtCap = ho.level >= 1
	}
	return gr
}

// issue takes granted tokens out of the bucket and records them as outstanding.
func (ho *Home) issue(rq Request, tokens float64, expiresAt timer.Instant, isImmediate bool) {
	if tokens <= 0 {
		return
	}
	ho.level -= tokens
	ho.lots = append(ho.lots, lot{entry: rq.Entry, sequence: rq.Sequence, tokens: tokens, expiresAt: expiresAt, isImmediate: isImmediate})
}

// settle applies a report to its grant, and puts the returned tokens back into the
// bucket. A report on an expired grant changes nothing.
func (ho *Home) settle(entry uint64, us Usage) {
	for i := range ho.lots {
		lo := &ho.lots[i]
		if lo.entry != entry || lo.sequence != us.Sequence || lo.isImmediate {
			continue
		}
		lo.tokens -= min(max(0, us.Tokens), lo.tokens)
		returned := min(max(0, us.Returned), lo.tokens)
		lo.tokens -= returned
		ho.level = min(ho.level+returned, ho.headroom())
	}
}

// retryAfter returns the delay after which a token is expected to be available.
func (ho *Home) retryAfter() timer.Span {
	if ho.level < 1 && ho.rate > 0 {
		return timer.Span((1 - ho.level) / ho.rate * float64(timer.Second))
	}
	// Other entries hold the remaining tokens and will soon report or return them.
	return outstandingRetry
}

// Lot is an outstanding grant in a State.
type Lot struct {
	Entry    uint64
	Sequence uint64
	Tokens   float64
	// Remaining is how long the tokens may still be used.
	Remaining timer.Span
	// IsImmediate means that its use is not reported.
	IsImmediate bool
}

// State is the state of a bucket that a home hands over to the next one.
type State struct {
	Level     float64
	Lots      []Lot
	Sequences map[uint64]uint64
	// Assumed is the number of tokens that failed predecessors may have granted,
	// and AssumedFor is how long those may still be used.
	Assumed    float64
	AssumedFor timer.Span
}

// Export returns the state of the bucket at now. The home must not grant any more
// tokens afterwards.
func (ho *Home) Export(now timer.Instant) State {
	ho.advance(now)
	st := State{Level: ho.level, Sequences: maps.Clone(ho.sequences)}
	for _, lo := range ho.lots {
		st.Lots = append(st.Lots, Lot{Entry: lo.entry, Sequence: lo.sequence, Tokens: lo.tokens, Remaining: lo.expiresAt.Sub(now), IsImmediate: lo.isImmediate})
	}
	if ho.assumed > 0 {
		st.Assumed, st.AssumedFor = ho.assumed, ho.assumedUntil.Sub(now)
	}
	return st
}

// HomeState starts from the state that the previous home handed over, instead of
// assumptions about it.
func HomeState(st State) HomeOption {
	return func(ho *Home) { ho.handedOver = &st }
}

func (ho *Home) restore(st State) {
	ho.assumed, ho.assumedUntil = max(0, st.Assumed), ho.filledAt.Add(st.AssumedFor)
	for _, lo := range st.Lots {
		ho.lots = append(ho.lots, lot{
			entry: lo.Entry, sequence: lo.Sequence, tokens: lo.Tokens, expiresAt: ho.filledAt.Add(lo.Remaining), isImmediate: lo.IsImmediate,
		})
	}
	maps.Copy(ho.sequences, st.Sequences)
	ho.level = min(max(0, st.Level), ho.headroom())
}
