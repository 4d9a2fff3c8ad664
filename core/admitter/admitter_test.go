package admitter

import (
	"fmt"
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// late is a deadline that no test reaches.
const late = timer.Instant(1000 * timer.Second)

func arrive(ga *Gate, ws string, pr cataloguer.Priority) Decision {
	return ga.Arrive(Request{Workspace: ws, Priority: pr, DeadlineAt: late}, 0)
}

func newGate(t *testing.T, opts ...Option) *Gate {
	t.Helper()
	ga, err := New(opts...)
	is.New(t).NoErr(err)
	return ga
}

func TestWorkspacesTakeTurns(t *testing.T) {
	is := is.New(t)
	ga := newGate(t, Slots(1), QueueLength(100))
	arrive(ga, "loud", cataloguer.Interactive)
	owner := map[Ticket]string{}
	for i := range 20 {
		ws := "loud"
		if i >= 18 {
			ws = "quiet"
		}
		owner[arrive(ga, ws, cataloguer.Interactive).(Wait).Ticket] = ws
	}
	quiet := 0
	for range 4 {
		for _, ti := range ga.Finish(Completion{}, 0) {
			if owner[ti] == "quiet" {
				quiet++
			}
		}
	}
	is.Equal(quiet, 2) // both quiet requests are among the first four
}

func TestShedsTheLeastImportantFirst(t *testing.T) {
	is := is.New(t)
	ga := newGate(t, Slots(1), QueueLength(2))
	arrive(ga, "a", cataloguer.Interactive)
	background := arrive(ga, "a", cataloguer.Background).(Wait)
	arrive(ga, "a", cataloguer.Interactive)
	payment := arrive(ga, "b", cataloguer.Payment).(Wait)
	is.Equal(payment.Shed, []Ticket{background.Ticket}) // a payment displaces background work
	_, isRefused := arrive(ga, "b", cataloguer.Background).(Refuse)
	is.True(isRefused)                                             // background work displaces nothing
	is.Equal(ga.Finish(Completion{}, 0), []Ticket{payment.Ticket}) // the payment starts first
}

func TestLongestQueueIsShedWithinAPriority(t *testing.T) {
	is := is.New(t)
	ga := newGate(t, Slots(1), QueueLength(5))
	arrive(ga, "loud", cataloguer.Interactive)
	var last Ticket
	for range 5 {
		last = arrive(ga, "loud", cataloguer.Interactive).(Wait).Ticket
	}
	is.Equal(arrive(ga, "quiet", cataloguer.Interactive).(Wait).Shed, []Ticket{last})
	_, isRefused := arrive(ga, "loud", cataloguer.Interactive).(Refuse)
	is.True(isRefused)
}

func TestColdStart(t *testing.T) {
	is := is.New(t)
	warm := timer.Instant(timer.Second)
	ga := newGate(t, Slots(8), QueueLength(100), ColdStart(2, warm), ColdSpan(timer.Second))
	for range 8 {
		arrive(ga, "a", cataloguer.Interactive)
	}
	is.Equal(ga.Running(), 2) // limited to the cold slots
	for range 20 {
		ga.Finish(Completion{}, 0)
		arrive(ga, "a", cataloguer.Interactive)
	}
	is.Equal(ga.Limit(), 2) // still cold
	for range 100 {
		ga.Finish(Completion{}, warm)
		arrive(ga, "a", cataloguer.Interactive)
	}
	is.Equal(ga.Limit(), 8) // ramped up
	ga.Finish(Completion{Overloaded: true}, warm)
	is.Equal(ga.Limit(), 2) // cold again
}

func TestDeadlines(t *testing.T) {
	is := is.New(t)
	ga := newGate(t, Slots(1), QueueLength(10))
	re := ga.Arrive(Request{Workspace: "a", DeadlineAt: 5}, 5).(Refuse)
	is.Equal(re.Code, CodeDeadline)
	arrive(ga, "a", cataloguer.Interactive)
	ga.Arrive(Request{Workspace: "a", DeadlineAt: 5}, 0)
	in := arrive(ga, "a", cataloguer.Interactive).(Wait).Ticket
	is.Equal(ga.Finish(Completion{}, 6), []Ticket{in}) // a request past its deadline is skipped
	is.Equal(ga.Abandon(in), false)
	ga.SetDraining(true)
	is.Equal(arrive(ga, "a", cataloguer.Payment).(Refuse).Code, CodeDraining)
}

func TestDeduper(t *testing.T) {
	is := is.New(t)
	dd := NewDeduper()
	id := Identity{Workspace: "a", Route: "orders", ID: "1"}
	begin := func(fingerprint uint64, now timer.Instant) DuplicateState {
		state, _, ok := dd.Begin(id, fingerprint, now)
		is.True(ok)
		return state
	}
	is.Equal(begin(1, 0), FirstCopy)
	is.Equal(begin(1, 0), StillRunning)
	is.Equal(begin(2, 0), DifferentBody)
	dd.Finish(id, Answer{Status: 200, Body: []byte("ok")})
	is.Equal(begin(1, 0), Answered)
	after := timer.Instant(dedupeTerm)
	is.Equal(begin(1, after), FirstCopy)          // forgotten after its term
	is.Equal(begin(1, after+after), StillRunning) // but never while it runs
	dd.MarkLost(id)
	is.Equal(begin(1, after), OutcomeLost)
	dd.Forget(id)
	is.Equal(begin(1, after), FirstCopy)
	for i := range maxDedupeEntries {
		dd.Begin(Identity{ID: fmt.Sprint(i)}, 1, after)
	}
	_, _, ok := dd.Begin(Identity{ID: "one more"}, 1, after)
	is.Equal(ok, false) // full: new identities are refused, none is forgotten early
}

// TestForgottenIdentitiesAreDropped guards against refused requests that hold memory for ten
// minutes, and against the loss of those that are remembered.
func TestForgottenIdentitiesAreDropped(t *testing.T) {
	is := is.New(t)
	dd := NewDeduper()
	for i := range 20_000 {
		id := Identity{ID: fmt.Sprint(i)}
		_, _, ok := dd.Begin(id, 1, 0)
		is.True(ok)
		if i%1000 != 0 {
			dd.Forget(id)
			continue
		}
		dd.Finish(id, Answer{Status: 200})
	}
	is.True(len(dd.order) < 2*forgottenSlack)
	for i := range 20 {
		state, _, _ := dd.Begin(Identity{ID: fmt.Sprint(1000 * i)}, 1, 1)
		is.Equal(state, Answered)
	}
	state, _, _ := dd.Begin(Identity{ID: "0"}, 1, timer.Instant(dedupeTerm))
	is.Equal(state, FirstCopy)
	is.Equal(len(dd.entries), 1)
}

func TestQuarantine(t *testing.T) {
	is := is.New(t)
	qu := NewQuarantine()
	for range 2 {
		is.Equal(qu.IsQuarantined(7, 0, 0), false)
		qu.Start(7)
		qu.Start(8)
		qu.Crash(7, 0)
		qu.Crash(8, 0)
		qu.Start(8)
		qu.Succeed(8)
	}
	is.True(qu.IsQuarantined(7, 0, 0))                                     // refused before it reaches a third server
	is.Equal(qu.IsQuarantined(8, 0, 0), false)                             // a success clears a request
	is.Equal(qu.IsQuarantined(7, 0, timer.Instant(QuarantineTerm)), false) // until the record expires
	is.True(qu.IsQuarantined(9, 2, 0))                                     // the forwarding instance has seen two crashes
	qu.RecordCrashes(10, 1, 0)
	qu.Start(10)
	qu.Crash(10, 0)
	is.True(qu.IsQuarantined(10, 0, 0)) // one crash elsewhere and one here
}

// TestQuarantineOfASuccessor checks what a gate passes on of the requests that crash
// servers, and what it accepts from others.
func TestQuarantineOfASuccessor(t *testing.T) {
	is := is.New(t)
	qu := NewQuarantine()
	_, ok := qu.LocalSuspect(7, 0)
	is.True(!ok)
	qu.RecordCrashes(7, 2, 0)
	_, ok = qu.LocalSuspect(7, 0)
	is.True(!ok) // it crashed other servers only, whose instances pass it on
	qu.Start(7)
	qu.Crash(7, 0)
	su, ok := qu.LocalSuspect(7, 0)
	is.True(ok)
	is.Equal(su, Suspect{Fingerprint: 7, Crashes: 3})
	is.True(qu.Clone().IsQuarantined(7, 0, 0))

	next := NewQuarantine()
	next.Learn(su, 0)
	is.True(next.IsQuarantined(7, 0, 0))
	next.Learn(su, timer.Instant(QuarantineTerm)-1)
	is.True(!next.IsQuarantined(7, 0, timer.Instant(QuarantineTerm))) // learning it again prolongs nothing
}

func BenchmarkArrive(b *testing.B) {
	ga, err := New(Slots(9), QueueLength(64))
	if err != nil {
		b.Fatal(err)
	}
	rq := Request{Workspace: "a", DeadlineAt: late}
	b.ReportAllocs()
	for range b.N {
		ga.Arrive(rq, 0)
		ga.Finish(Completion{}, 0)
	}
}
