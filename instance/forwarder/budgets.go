package forwarder

import (
	"sync"

	"cornellanding.example/core/folder"
	"cornellanding.example/core/retrier"
	"cornellanding.example/instance/publisher"
)

// budgets holds the retry budget of each service. It is safe for concurrent use.
type budgets struct {
	// ratio and reserve are configured for all entry instances together, and 0
	// means the defaults per instance.
	ratio   float64
	reserve float64

	mu        sync.Mutex
	byService map[string]*retrier.Budget
}

func newBudgets() *budgets { return &budgets{byService: map[string]*retrier.Budget{}} }

// WithRetryBudget limits the retries and hedges of each service, over all entry
// instances together, to a ratio of its requests plus a reserve.
func WithRetryBudget(ratio, reserve float64) Option {
	return func(fo *Forwarder) { fo.retries.ratio, fo.retries.reserve = ratio, reserve }
}

// WithCallerRepeats sets the function that returns the share of repeats, from 0 to 1, among
// the requests that the backend server of this VM runs. That share of the calls which
// the server makes are repeats too.
func WithCallerRepeats(share func() float64) Option {
	return func(fo *Forwarder) { fo.callerRepeats = share }
}

// deposit records a first attempt that is a repeat with the given likelihood, and updates
// this instance's part of the reserve for the number of entry instances.
func (bs *budgets) deposit(service string, entries int, repeatShare float64) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bu := bs.byService[service]
	if bu == nil {
		bu = bs.newBudget()
		bs.byService[service] = bu
	}
	if bs.reserve > 0 {
		bu.SetReserve(max(1, bs.reserve/float64(max(1, entries))))
	}
	bu.Deposit()
	bu.Charge(repeatShare)
}

func (bs *budgets) newBudget() *retrier.Budget {
	if bs.ratio == 0 {
		return retrier.NewBudget()
	}
	return retrier.NewBudget(retrier.Ratio(bs.ratio), retrier.Reserve(1))
}

// withdraw takes one retry from the service's budget and returns how many are left, or
// false if there is none.
func (bs *budgets) withdraw(service string) (left float64, ok bool) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bu := bs.byService[service]
	if bu == nil || !bu.Withdraw() {
		return 0, false
	}
	return bu.Left(), true
}

// entries returns the number of entry instances, the members of the limits service.
func (fo *Forwarder) entries() int { return entriesOf(fo.so.View()) }

func entriesOf(vi *publisher.View) int {
	if tb := vi.Tables[folder.LimitsService]; tb != nil {
		return len(tb.Map.Members)
	}
	return 0
}
