// Package limiter keeps a workspace within its rate and burst over all VMs.
//
// The workspace's token bucket has one home, owned like a key. The home grants
// tokens to entry instances, which use them until they expire. Granted tokens
// count against the burst until the entry reports that it used them, returns
// them, or until they expire. So in any window of any length the fleet uses at
// most rate times length plus burst.
//
// A home that took over after a loss knows nothing of its predecessor's
// grants. It starts empty and assumes the most that may be outstanding until
// the last of them has expired. If several homes were lost within the term of a
// grant, it assumes that of each.
//
// Home and Share are state machines without a clock, a socket or a goroutine.
//
// # Usage
//
//	ho, err := limiter.NewHome(limiter.HomeRate(100), limiter.HomeBurst(200), limiter.HomeSince(now))
//	gr := ho.Grant(limiter.Ask{Entry: 7, Want: 20}, now)
//
//	sh := limiter.NewShare(entry)
//	if !sh.Take(now) {
//		ask := sh.Ask(now)         // send it to the home
//		sh.Receive(ask, gr, now)
//	}
package limiter

import (
	"fmt"
	"maps"
	"math"

	"cornellanding.example/core/timer"
)

const (
	// GrantTerm is how long an entry may use granted tokens, counted by the
	// entry from when it asked and by the home from when it granted.
	GrantTerm = timer.Second
	// ImmediateTerm is the term of tokens for requests that wait already. It is
	// so short that their use needs no report.
	ImmediateTerm = 80 * timer.Millisecond
	// outstandingShare is the inverse share of the burst that may be granted
	// and unreported.
	outstandingShare = 3
	// minOutstanding is how many tokens may be granted and unreported of a small
	// burst, so that a few requests that come together are served.
	minOutstanding = 3
	// outstandingRetry is when to ask again if too much is outstanding.
	outstandingRetry = 20 * timer.Millisecond
)

// OptionError is a bad option of NewHome.
type OptionError struct {
	Option string
	Value  float64
}

// Error implements error.
func (er *OptionError) Error() string {
	return fmt.Sprintf("limiter: option %s: bad value %v", er.Option, er.Value)
}

// Request is an entry's request for tokens.
type Request struct {
	// Entry is the asking instance's incarnation.
	Entry uint64
	// Sequence orders the entry's asks, from 1.
	Sequence uint64
	// Uses reports what became of earlier grants since the last ask.
	Uses []Use
	// Waiting counts requests that wait for a token, and Want those expected
	// soon.
	Waiting float64
	Want    float64
	// SentAt is on the entry's clock and not sent.
	SentAt timer.Instant
}

// Use reports how many tokens of an earlier grant were used, and how many the
// entry gave up unused.
type Use struct {
	// Sequence is that of the ask that got the grant.
	Sequence uint64
	Tokens   float64
	Returned float64
}

// Grant answers an ask.
type Grant struct {
	// Immediate tokens may be used for ImmediateTerm, Tokens for GrantTerm.
	Immediate float64
	Tokens    float64
	// RetryAfter says, if nothing was granted, when to ask again.
	RetryAfter timer.Span
	// IsAtCap says that nothing was granted although the bucket isn't empty:
	// other entries hold what may be outstanding.
	IsAtCap bool
}

// HomeOption sets one option of NewHome.
type HomeOption func(*Home)

// HomeRate sets the workspace's rate in tokens a second.
func HomeRate(rate float64) HomeOption { return func(ho *Home) { ho.rate = rate } }

// HomeBurst sets the workspace's burst in tokens, at least 1.
func HomeBurst(burst float64) HomeOption { return func(ho *Home) { ho.burst = burst } }

// HomeSince sets when the home took the bucket.
func HomeSince(now timer.Instant) HomeOption { return func(ho *Home) { ho.filledAt = now } }

// HomeLosses sets how many homes were lost within GrantTerm before this one
// took the bucket. It is 1 if not set.
func HomeLosses(count int) HomeOption { return func(ho *Home) { ho.losses = count } }

// HomeFull starts with a full bucket. It is right only if no other home can
// have granted anything within GrantTerm.
func HomeFull() HomeOption { return func(ho *Home) { ho.isFull = true } }

// lot is a grant that is neither reported nor expired.
type lot struct {
	entry     uint64
	sequence  uint64
	tokens    float64
	expiresAt timer.Instant
	// isImmediate says that nothing is reported of it.
	isImmediate bool
}

// Home is the state of one workspace's bucket at its home.
type Home struct {
	rate     float64
	burst    float64
	level    float64
	filledAt timer.Instant
	isFull   bool
	lots     []lot
	losses   int
	// assumed is what lost predecessors may have granted, and assumedUntil
	// when that has expired.
	assumed      float64
	assumedUntil timer.Instant
	handedOver   *State
	// sequences holds the latest ask of each entry.
	sequences map[uint64]uint64
}

// NewHome returns a home that assumes a predecessor, or with HomeFull one that
// assumes none.
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

// SetLimits takes a changed rate and burst.
func (ho *Home) SetLimits(rate, burst float64, now timer.Instant) {
	ho.advance(now)
	ho.rate, ho.burst = rate, burst
	ho.level = min(ho.level, ho.room())
}

// outstandingCap bounds what is granted and unreported.
func (ho *Home) outstandingCap() float64 {
	return max(min(minOutstanding, ho.burst), ho.burst/outstandingShare)
}

func (ho *Home) outstanding() float64 {
	sum := 0.0
	for _, lo := range ho.lots {
		sum += lo.tokens
	}
	return sum
}

// room is how full the bucket may be, so that level and outstanding grants
// together never pass the burst.
func (ho *Home) room() float64 {
	return max(0, ho.burst-ho.outstanding()-ho.assumed)
}

// advance drops expired lots and fills the bucket. Expired tokens may have
// been used, so they are not put back.
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
	ho.level = min(ho.level+gained, ho.room())
}

// Grant answers an ask at now. An ask that is older than one already answered
// gets nothing and its report is ignored.
func (ho *Home) Grant(ask Request, now timer.Instant) Grant {
	ho.advance(now)
	if ask.Sequence <= ho.sequences[ask.Entry] {
		return Grant{RetryAfter: timer.Millisecond}
	}
	ho.sequences[ask.Entry] = ask.Sequence
	for _, us := range ask.Uses {
		ho.settle(ask.Entry, us)
	}
	gr := Grant{}
	available := ho.outstandingCap() - ho.outstanding()
	gr.Immediate = math.Floor(max(0, min(ask.Waiting, ho.level, available)))
	ho.lend(ask, gr.Immediate, now.Add(ImmediateTerm), true)
	available -= gr.Immediate
	// Half of what is left keeps some for entries that ask next.
	gr.Tokens = max(0, min(ask.Want, ho.level, available, max(1, available/2)))
	if gr.Tokens < 1 {
		gr.Tokens = 0
	}
	ho.lend(ask, gr.Tokens, now.Add(GrantTerm), false)
	if gr.Immediate+gr.Tokens == 0 {
		gr.RetryAfter = ho.retryAfter()
		gr.IsAtCap = ho.level >= 1
	}
	return gr
}

func (ho *Home) lend(ask Request, tokens float64, expiresAt timer.Instant, isImmediate bool) {
	if tokens <= 0 {
		return
	}
	ho.level -= tokens
	ho.lots = append(ho.lots, lot{entry: ask.Entry, sequence: ask.Sequence, tokens: tokens, expiresAt: expiresAt, isImmediate: isImmediate})
}

// settle takes what an entry reported off the lot it belongs to, and puts what
// it returned back. A report of a lot that has expired changes nothing.
func (ho *Home) settle(entry uint64, us Use) {
	for i := range ho.lots {
		lo := &ho.lots[i]
		if lo.entry != entry || lo.sequence != us.Sequence || lo.isImmediate {
			continue
		}
		lo.tokens -= min(max(0, us.Tokens), lo.tokens)
		returned := min(max(0, us.Returned), lo.tokens)
		lo.tokens -= returned
		ho.level = min(ho.level+returned, ho.room())
	}
}

func (ho *Home) retryAfter() timer.Span {
	if ho.level < 1 && ho.rate > 0 {
		return timer.Span((1 - ho.level) / ho.rate * float64(timer.Second))
	}
	// Other entries hold what is left. They report and return within moments.
	return outstandingRetry
}

// Lot is a grant that is neither reported nor expired, in a handover.
type Lot struct {
	Entry    uint64
	Sequence uint64
	Tokens   float64
	// Remaining is how long it may still be used.
	Remaining timer.Span
	// IsImmediate says that nothing is reported of it.
	IsImmediate bool
}

// State is what a home hands over to the next one.
type State struct {
	Level     float64
	Lots      []Lot
	Sequences map[uint64]uint64
	// Assumed is what lost predecessors may have granted, and AssumedFor how
	// long that may still be used.
	Assumed    float64
	AssumedFor timer.Span
}

// Export returns the bucket's state at now. The home must grant nothing any
// more.
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

// HomeState starts with what the former home handed over, in place of
// assumptions.
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
	ho.level = min(max(0, st.Level), ho.room())
}
