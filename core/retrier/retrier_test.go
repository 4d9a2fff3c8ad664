package retrier

import (
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	bu := NewBudget()
	retries := 0
	for range 1000 {
		bu.Deposit()
		for bu.Withdraw() {
			retries++
		}
	}
	is.True(retries <= 1000/10+defaultReserve) // at most a tenth of the requests and the reserve
}

func TestHedgerFindsTheTail(t *testing.T) {
	is := is.New(t)
	he := NewHedger()
	hedges := 0
	for i := range 20_000 {
		latency := timer.Span(1+i%100) * timer.Millisecond
		if i >= 10_000 && latency > he.Delay() {
			hedges++
		}
		he.Observe(latency)
	}
	is.True(hedges > 100 && hedges < 1500) // around 1 in 20
}
