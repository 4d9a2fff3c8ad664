// Package retrier bounds retries and times hedges.
//
// # Usage
//
//	bu := retrier.NewBudget()
//	bu.Deposit()                 // for each first attempt
//	if bu.Withdraw() { ... }     // before each retry or hedge
//
//	he := retrier.NewHedger()
//	he.Observe(latency)
//	delay := he.Delay()
package retrier

import "cornellanding.example/core/timer"

const (
	defaultRatio   = 0.1
	defaultReserve = 20
)

// Budget lets retries be at most a share of the requests, plus a small reserve.
type Budget struct {
	tokens  float64
	ratio   float64
	reserve float64
}

// BudgetOption sets one option of NewBudget.
type BudgetOption func(*Budget)

// Ratio sets the share of the requests that may be retries. The default is a
// tenth.
func Ratio(ratio float64) BudgetOption { return func(bu *Budget) { bu.ratio = ratio } }

// Reserve sets how many retries there may be beyond the ratio.
func Reserve(reserve float64) BudgetOption { return func(bu *Budget) { bu.reserve = reserve } }

// NewBudget returns a budget with a full reserve.
func NewBudget(opts ...BudgetOption) *Budget {
	bu := &Budget{ratio: defaultRatio, reserve: defaultReserve}
	for _, opt := range opts {
		opt(bu)
	}
	bu.tokens = bu.reserve
	return bu
}

// SetReserve takes another reserve.
func (bu *Budget) SetReserve(reserve float64) {
	bu.reserve = reserve
	bu.tokens = min(bu.tokens, reserve)
}

// Deposit counts a first attempt.
func (bu *Budget) Deposit() {
	bu.tokens = min(bu.reserve, bu.tokens+bu.ratio)
}

// Withdraw takes one retry from the budget or reports false.
func (bu *Budget) Withdraw() bool {
	if bu.tokens < 1 {
		return false
	}
	bu.tokens--
	return true
}

const (
	hedgeQuantile  = 0.95
	hedgeStepShare = 0.05
	minHedgeDelay  = timer.Millisecond
	initialDelay   = 50 * timer.Millisecond
)

// Hedger estimates the 95th percentile of latency, after which a second copy
// of an idempotent read is sent.
type Hedger struct {
	estimate timer.Span
}

// NewHedger returns a hedger that begins with a delay of 50 ms.
func NewHedger() *Hedger { return &Hedger{estimate: initialDelay} }

// Observe takes the latency of one attempt. The estimate rises by steps on a
// late answer and falls by smaller ones on an early answer, so that it settles
// where 1 in 20 is late.
func (he *Hedger) Observe(latency timer.Span) {
	step := float64(he.estimate) * hedgeStepShare
	if latency > he.estimate {
		he.estimate += timer.Span(step * hedgeQuantile)
		return
	}
	he.estimate -= timer.Span(step * (1 - hedgeQuantile))
	he.estimate = max(he.estimate, minHedgeDelay)
}

// Delay returns how long to wait for the first copy.
func (he *Hedger) Delay() timer.Span { return he.estimate }
