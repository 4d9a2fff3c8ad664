package forwarder

import (
	"sync"

	"cornellanding.example/core/folder"
	"cornellanding.example/core/retrier"
	"cornellanding.example/instance/publisher"
)

// budgets holds a retry budget for each service, shared by several goroutines.
type budgets struct {
	// ratio and reserve are those of the fleet, 0 for the defaults of one entry.
	ratio   float64
	reserve float64

	mu        sync.Mutex
	byService map[string]*retrier.Budget
}

func newBudgets() *budgets { return &budgets{byService: map[string]*retrier.Budget{}} }

// WithRetryBudget bounds the repeats at each service, over all entries together,
// to a ratio of its requests and a reserve.
func WithRetryBudget(ratio, reserve float64) Option {
	return func(fo *Forwarder) { fo.retries.ratio, fo.retries.reserve = ratio, reserve }
}

// deposit counts a first attempt by one of that many entries.
func (bs *budgets) deposit(service string, entries int) {
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
}

func (bs *budgets) newBudget() *retrier.Budget {
	if bs.ratio == 0 {
		return retrier.NewBudget()
	}
	return retrier.NewBudget(retrier.Ratio(bs.ratio), retrier.Reserve(1))
}

func (bs *budgets) withdraw(service string) bool {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bu := bs.byService[service]
	return bu != nil && bu.Withdraw()
}

// entries returns how many entries there are.
func (fo *Forwarder) entries() int { return entriesOf(fo.so.View()) }

func entriesOf(vi *publisher.View) int {
	if tb := vi.Tables[folder.LimitsService]; tb != nil {
		return len(tb.Map.Members)
	}
	return 0
}
