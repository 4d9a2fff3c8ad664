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
	for run := range uint32(2) {
		is.Equal(qu.IsQuarantined(7, 0, 0), false)
		qu.Start(7)
		qu.Start(8)
		qu.Crash(7, 1+run, 0, 0)
		qu.Crash(8, 1+run, 0, 0)
		qu.Start(8)
		is.True(qu.Succeed(8, 0)) // other instances must be told
		qu.Start(8)
		is.True(!qu.Succeed(8, 0))
	}
	is.True(qu.IsQuarantined(7, 0, 0))                                     // refused before it reaches a third server
	is.Equal(qu.IsQuarantined(8, 0, 0), false)                             // a success clears a request
	is.Equal(qu.IsQuarantined(7, 0, timer.Instant(QuarantineTerm)), false) // until the record expires
	is.True(qu.IsQuarantined(9, 2, 0))                                     // the forwarding instance has seen two crashes
	qu.RecordCrash(10, 5, 0)
	qu.Start(10)
	qu.Crash(10, 3, 0, 0)
	is.True(qu.IsQuarantined(10, 0, 0)) // one crash elsewhere and one here
}

// TestQuarantineOfASuccessor checks what a gate passes on of the requests that crash
// servers, and what it accepts from others.
func TestQuarantineOfASuccessor(t *testing.T) {
	is := is.New(t)
	qu := NewQuarantine()
	_, ok := qu.LocalSuspect(7, 0)
	is.True(!ok)
	qu.RecordCrash(7, 1, 0)
	qu.RecordCrash(7, 2, 0)
	_, ok = qu.LocalSuspect(7, 0)
	is.True(!ok) // it crashed other servers only, whose instances pass it on
	qu.Start(7)
	qu.Crash(7, 3, 0, 0)
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

// TestCrashCountsOnce guards against a request that is refused everywhere because several copies
// of it were running when one server crashed once.
func TestCrashCountsOnce(t *testing.T) {
	for _, run := range []uint32{0, 9} { // 0: the server does not announce its runs
		is := is.New(t)
		qu, now := NewQuarantine(), timer.Instant(timer.Second)
		sentAt := now.Add(-timer.Millisecond)
		for range 5 {
			qu.Start(7)
		}
		reports := 0
		for range 5 {
			if _, isFirst := qu.Crash(7, run, sentAt, now); isFirst {
				reports++
			}
			now = now.Add(100 * timer.Millisecond)
		}
		is.Equal([]int{reports, qu.Crashes(7, now)}, []int{1, 1})
		qu.RecordCrash(7, 4, now)
		qu.RecordCrash(7, 4, now) // the report of a peer comes twice
		is.Equal(qu.Crashes(7, now), 2)
		now = now.Add(2 * timer.Second)
		if run != 0 {
			run++
		}
		qu.Start(7)
		_, isFirst := qu.Crash(7, run, now, now.Add(timer.Millisecond))
		is.True(isFirst) // the next run crashes, too
		is.Equal(qu.Crashes(7, now), 3)
	}
}

// TestWayOutOfTheQuarantine guards against a request that is refused by mistake for long after
// several crashes, and against one that crashes servers and is let through too often: after its
// third crash it may reach a server in three more retries.
func TestWayOutOfTheQuarantine(t *testing.T) {
	play := func(isCrashing bool, gates int) (runs, runsAfterThird int, recoveredAt timer.Instant) {
		var qus []*Quarantine
		for i := range gates {
			qu := NewQuarantine()
			qu.SetJitter(float64(i) / float64(gates))
			qus = append(qus, qu)
		}
		run, thirdAt := uint32(0), timer.Instant(0)
		crash := func(at int, now timer.Instant) {
			run++
			for i, qu := range qus {
				if i == at {
					qu.Crash(7, run, now, now)
				} else {
					qu.RecordCrash(7, run, now)
				}
			}
			if run == 3 {
				thirdAt = now
			}
		}
		start := timer.Instant(timer.Second)
		for _, at := range []int{0, 1} { // both kinds were running in two crashes
			qus[at].Start(7)
			crash(at, start)
		}
		// Copies come every 200 ms for two days, at one gate after the other.
		step := 0
		for now := start.Add(timer.Millisecond); now < start.Add(48*3600*timer.Second); now = now.Add(200 * timer.Millisecond) {
			step++
			qu := qus[step%gates]
			if qu.IsQuarantined(7, 0, now) && !qu.Try(7, 0, now) {
				continue
			}
			runs++
			qu.Start(7)
			if isCrashing {
				if thirdAt != 0 && now > thirdAt.Add(3*timer.Second) {
					runsAfterThird++
				}
				crash(step%gates, now)
				continue
			}
			qu.Succeed(7, now)
			for _, peer := range qus {
				peer.Clear(7, now)
			}
			return runs, 0, now
		}
		return runs, runsAfterThird, 0
	}
	for _, gates := range []int{2, 7, 89} {
		is := is.New(t)
		_, late, _ := play(true, gates)
		is.True(late <= 3)
		_, _, recoveredAt := play(false, gates)
		is.True(recoveredAt > 0 && recoveredAt < timer.Instant(8*timer.Second))
	}
}

// TestClearedStaysCleared guards against an older report that brings back a request which was
// answered since.
func TestClearedStaysCleared(t *testing.T) {
	is := is.New(t)
	qu := NewQuarantine()
	qu.RecordCrash(7, 1, 0)
	qu.RecordCrash(7, 2, 0)
	is.True(qu.IsQuarantined(7, 0, 0))
	qu.Clear(7, 0)
	qu.RecordCrash(7, 2, 0)                          // sent twice
	qu.Learn(Suspect{Fingerprint: 7, Crashes: 2}, 0) // stored before
	is.Equal(qu.Crashes(7, 0), 0)
	qu.RecordCrash(7, 3, 0)
	is.True(!qu.IsQuarantined(7, 0, 0))
	qu.RecordCrash(7, 4, 0)
	is.True(qu.IsQuarantined(7, 0, 0))
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
