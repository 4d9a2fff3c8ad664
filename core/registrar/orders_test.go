package registrar

import (
	"testing"

	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// newOrdering returns a registrar that grants by orders, started long before second 20,
// when it has heard from the server.
func newOrdering(t *testing.T) *Registrar {
	t.Helper()
	re, err := New(Start(10*second), Term(term), OrderTimeout(timer.Second/2))
	is.New(t).NoErr(err)
	re.SetRanges([]placer.Range{{From: 0, To: 9}, {From: 10, To: 19}, {From: 20, To: 29}, {From: 30, To: 39}})
	re.ApplyHeartbeat(beat(1), 20*second)
	return re
}

// issue returns the orders due and reports the same result for each.
func issue(re *Registrar, result OrderResult, now timer.Instant, wanted ...WantedPartition) []Order {
	orders := re.DueOrders(wanted, now.Add(term), now)
	for _, or := range orders {
		re.ApplyResult(or, result, "next", now)
	}
	return orders
}

// TestOrders checks which calls are made for a range that is granted, renewed, moved away
// and granted again.
func TestOrders(t *testing.T) {
	is := is.New(t)
	re := newOrdering(t)
	first := issue(re, OrderApplied, 20*second, wants(7, 0, 1, 3)...)
	is.Equal(len(first), 2) // adjacent ranges share a call
	is.Equal(first[0].Hold.Range, placer.Range{From: 0, To: 19})
	is.True(first[0].HoldTerm > 2*timer.Second)
	is.Equal(len(issue(re, OrderApplied, 20*second, wants(7, 0, 1, 3)...)), 0)
	renewed := issue(re, OrderApplied, 20*second+timer.Instant(first[0].HoldTerm/2), wants(7, 0, 1, 3)...)
	is.Equal(len(renewed), 2) // with room for a lost call
	is.Equal(renewed[0].Hold, first[0].Hold)
	moved := issue(re, OrderApplied, 22*second, wants(7, 0, 3)...)
	is.Equal(len(moved), 1)
	is.True(moved[0].IsRelease)
	is.Equal(moved[0].Hold.Range, placer.Range{From: 10, To: 19}) // a part of the grant
	is.Equal([]bool{re.IsFree(1, 22*second), re.IsFree(0, 22*second)}, []bool{true, false})
	is.Equal(re.ReleasedHandover(1), "next")
	re.SetReceivedHandover(1, "back")
	again := issue(re, OrderApplied, 22*second, wants(9, 1)...)
	last := again[len(again)-1]
	is.Equal(last.Hold.Handover, "back")
	is.True(last.Hold.FencingToken > first[0].Hold.FencingToken)
}

// TestOrderResults checks when a range is free, and the next call, after each result.
func TestOrderResults(t *testing.T) {
	for _, cas := range []struct {
		result OrderResult
		isFree bool
		raises bool
	}{
		{OrderApplied, false, false},
		{OrderUnanswered, false, false},
		{OrderNotApplied, true, false},
		{OrderRejected, true, true},
	} {
		t.Run(cas.result.String(), func(t *testing.T) {
			is := is.New(t)
			re := newOrdering(t)
			first := issue(re, cas.result, 20*second, wants(7, 0)...)
			is.Equal(re.IsFree(0, 21*second), cas.isFree)
			is.True(re.IsFree(0, 23*second)) // the lease has ended
			next := issue(re, OrderApplied, 22*second, wants(7, 0)...)
			is.Equal(next[0].Hold.FencingToken > first[0].Hold.FencingToken, cas.raises)
			is.Equal(issue(re, OrderApplied, 22*second, wants(7, 0)...), nil) // no call is repeated at once
		})
	}
}

// TestNoOrdersForAnEndedServer checks that a server whose address refuses connections gets
// no calls until it has sent a heartbeat, and then grants under a higher token.
func TestNoOrdersForAnEndedServer(t *testing.T) {
	is := is.New(t)
	re := newOrdering(t)
	first := issue(re, OrderApplied, 20*second, wants(7, 0)...)
	re.MarkDown(20*second, 20*second)
	is.True(re.IsFree(0, 20*second))
	is.Equal(len(issue(re, OrderApplied, 21*second, wants(7, 0)...)), 0)
	re.ApplyHeartbeat(Heartbeat{ID: "s2", StartedAt: 2, Sequence: 1}, 21*second)
	next := issue(re, OrderApplied, 21*second, wants(7, 0)...)
	is.True(next[0].Hold.FencingToken > first[0].Hold.FencingToken)
}
