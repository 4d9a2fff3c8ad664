// Package retrier limits retries by a budget and computes the delay of hedged
// requests.
//
// Budget and Hedger are not safe for concurrent use.
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

// Budget limits retries to a ratio of the first attempts, plus a reserve.
type Budget struct {
	tokens  float64
	ratio   float64
	reserve float64
}

// BudgetOption configures NewBudget.
type BudgetOption func(*Budget)

// Ratio sets the number of retries allowed per first attempt. The default is 0.1.
func Ratio(ratio float64) BudgetOption { return func(bu *Budget) { bu.ratio = ratio } }

// Reserve sets how many retries may be saved up. The default is 20.
func Reserve(reserve float64) BudgetOption { return func(bu *Budget) { bu.reserve = reserve } }

// NewBudget returns a Budget with a full reserve.
func NewBudget(opts ...BudgetOption) *Budget {
	bu := &Budget{ratio: defaultRatio, reserve: defaultReserve}
	for _, opt := range opts {
		opt(bu)
	}
	bu.tokens = bu.reserve
	return bu
}

// SetReserve changes the reserve, and drops saved retries beyond it.
func (bu *Budget) SetReserve(reserve float64) {
	bu.reserve = reserve
	bu.tokens = min(bu.tokens, reserve)
}

// Deposit records a first attempt.
func (bu *Budget) Deposit() {
	bu.tokens = min(bu.reserve, bu.tokens+bu.ratio)
}

// Withdraw takes one retry from the budget. It returns false if there is none.
func (bu *Budget) Withdraw() bool {
	if bu.tokens < 1 {
		return false
	}
	bu.tokens--
	return true
}

// Charge takes repeats that have been sent already, also a part of one, from the budget.
// Debt beyond the reserve is dropped.
func (bu *Budget) Charge(repeats float64) {
	bu.tokens = max(-bu.reserve, bu.tokens-repeats)
}

// Left returns the number of retries in the budget.
func (bu *Budget) Left() float64 { return bu.tokens }

const (
	hedgeQuantile  = 0.95
	hedgeStepShare = 0.05
	minHedgeDelay  = timer.Millisecond
	initialDelay   = 50 * timer.Millisecond
)

// Hedger estimates the 95th percentile of latency, after which a second copy of an
// idempotent read is sent.
type Hedger struct {
	estimate timer.Span
}

// NewHedger returns a Hedger with an initial delay of 50 ms.
func NewHedger() *Hedger { return &Hedger{estimate: initialDelay} }

// Observe records the latency of one attempt. The estimate rises by a large step on
// a higher latency and falls by a small one on a lower latency, so that it settles
// where one in 20 attempts is slower.
func (he *Hedger) Observe(latency timer.Span) {
	step := float64(he.estimate) * hedgeStepShare
	if latency > he.estimate {
		he.estimate += timer.Span(step * hedgeQuantile)
		return
	}
	he.estimate -= timer.Span(step * (1 - hedgeQuantile))
	he.estimate = max(he.estimate, minHedgeDelay)
}

// Delay returns how long to wait for an answer before hedging.
func (he *Hedger) Delay() timer.Span { return he.estimate }
