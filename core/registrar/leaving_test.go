package registrar

import (
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// TestLeaveNoticeHoldsForLateHeartbeats guards against requests to a server that announced
// its end, because a heartbeat that it sent before arrives afterwards.
func TestLeaveNoticeHoldsForLateHeartbeats(t *testing.T) {
	draining := beat(1)
	draining.IsDraining = true
	later := Heartbeat{ID: "s1", StartedAt: 2, Sequence: 1, Slots: 4}
	cases := map[string]struct {
		do    func(re *Registrar)
		late  Heartbeat
		state State
	}{
		"deregistered":                      {do: func(re *Registrar) { re.ApplyHeartbeat(beat(1), 11*second); re.MarkLeaving("s1", 0, 11*second) }, late: beat(2), state: Draining},
		"deregistered before any heartbeat": {do: func(re *Registrar) { re.MarkLeaving("s1", 0, 11*second) }, late: beat(2), state: Draining},
		"drained":                           {do: func(re *Registrar) { re.ApplyHeartbeat(draining, 11*second) }, late: beat(2), state: Draining},
		"known to a former instance":        {do: func(re *Registrar) { re.RestoreLeaving([]ServerRun{{ID: "s1", StartedAt: 1}}, 11*second) }, late: beat(2), state: Draining},
		"known to it without its start":     {do: func(re *Registrar) { re.RestoreLeaving([]ServerRun{{ID: "s1"}}, 11*second) }, late: beat(2), state: Draining},
		"known to it, heartbeat before": {do: func(re *Registrar) {
			re.ApplyHeartbeat(beat(1), 11*second)
			re.RestoreLeaving([]ServerRun{{ID: "s1", StartedAt: 1}}, 11*second)
		}, late: beat(2), state: Draining},
		"a later start with the ID":       {do: func(re *Registrar) { re.ApplyHeartbeat(beat(1), 10*second); re.MarkLeaving("s1", 0, 10*second) }, late: later, state: Ready},
		"a later start too soon after it": {do: func(re *Registrar) { re.ApplyHeartbeat(beat(1), 11*second); re.MarkLeaving("s1", 0, 11*second) }, late: later, state: Draining},
		"a later start after it drained": {do: func(re *Registrar) {
			re.ApplyHeartbeat(draining, 11*second)
			re.MarkLeaving("s1", 0, 11*second)
		}, late: later, state: Ready},
		"former run ended, heartbeat of the later one late": {do: func(re *Registrar) {
			re.ApplyHeartbeat(beat(1), 11*second)
			re.MarkDown(11*second, 11*second)
			re.MarkLeaving("s1", 0, 11*second)
		}, late: later, state: Draining},
		"former run silent, heartbeat of the later one late": {do: func(re *Registrar) {
			re.ApplyHeartbeat(beat(1), 9*second)
			re.MarkLeaving("s1", 0, 9*second+timer.Instant(silentAfter)+1)
		}, late: later, state: Draining},
		"former run ended, but heard again": {do: func(re *Registrar) {
			re.ApplyHeartbeat(beat(1), 11*second)
			re.MarkDown(11*second, 11*second)
			re.MarkLeaving("s1", 0, 11*second)
		}, late: beat(2), state: Draining},
		"another server left": {do: func(re *Registrar) { re.ApplyHeartbeat(beat(1), 11*second); re.MarkLeaving("s0", 0, 11*second) }, late: beat(2), state: Ready},
		"notice long ago":     {do: func(re *Registrar) { re.MarkLeaving("s1", 0, 12*second-timer.Instant(unboundTerm)) }, late: later, state: Ready},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			re := newRegistrar(t)
			tc.do(re)
			is.True(re.ApplyHeartbeat(tc.late, 12*second))
			is.Equal(re.State(12*second), tc.state)
		})
	}
}

// TestNoticeOfAnUnheardRunBinds guards against requests to a server that announced its end
// before its first heartbeat arrived, while the run before it under the same ID is known to
// have ended.
func TestNoticeOfAnUnheardRunBinds(t *testing.T) {
	is := is.New(t)
	re := newRegistrar(t)
	re.ApplyHeartbeat(beat(1), 11*second)
	re.MarkDown(11*second, 11*second)
	is.True(!re.MarkLeaving("s1", 0, 12*second))
	is.Equal(re.State(12*second), Draining) // whatever serves there now
	re.MarkDown(12*second, 12*second)
	is.Equal(re.State(12*second), Draining)
	is.Equal(re.Leaving(), []ServerRun{{ID: "s1"}})
	is.True(re.ApplyHeartbeat(Heartbeat{ID: "s1", StartedAt: 2, Sequence: 1, Slots: 4}, 14*second))
	is.Equal(re.State(14*second), Draining)
	is.Equal(re.Leaving(), []ServerRun{{ID: "s1", StartedAt: 2}})
	is.True(re.ApplyHeartbeat(Heartbeat{ID: "s1", StartedAt: 3, Sequence: 1, Slots: 4}, 20*second))
	is.Equal(re.State(20*second), Ready) // a run after it
}

// TestLeavingRunsAreBounded checks that the latest notices are kept, in this instance and
// in the one after it.
func TestLeavingRunsAreBounded(t *testing.T) {
	is := is.New(t)
	re := newRegistrar(t)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		re.MarkLeaving(id, 0, 11*second)
	}
	former := []ServerRun{{ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
	is.Equal(re.Leaving(), former)
	next := newRegistrar(t)
	next.MarkLeaving("f", 0, 12*second)
	is.Equal(MergeRuns(former, next.Leaving()), []ServerRun{{ID: "c"}, {ID: "d"}, {ID: "e"}, {ID: "f"}})
	next.RestoreLeaving(former, 12*second)
	is.Equal(next.Leaving(), MergeRuns(former, []ServerRun{{ID: "f"}}))
}

// TestNoticeOfARunAfterASilentCrash guards against requests to a server that announced its end
// after a crash which refused no connection: the run before it was heard shortly before the
// notice, and the first heartbeat of its own comes seconds after it.
func TestNoticeOfARunAfterASilentCrash(t *testing.T) {
	const givenAt = 1000
	for name, tc := range map[string]struct {
		startedAt int64
		heardAt   timer.Instant
		state     State
	}{
		"started before the notice":               {startedAt: givenAt - 800, heardAt: 14 * second, state: Draining},
		"started before it and heard much later":  {startedAt: givenAt - 800, heardAt: 40 * second, state: Draining},
		"started after it":                        {startedAt: givenAt + 3000, heardAt: 15 * second, state: Ready},
		"started after it, but heard within span": {startedAt: givenAt + 3000, heardAt: 12 * second, state: Draining},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			re := newRegistrar(t)
			re.ApplyHeartbeat(beat(1), 9*second)
			is.True(re.MarkLeaving("s1", givenAt, 11*second)) // not silent for long enough
			is.True(re.ApplyHeartbeat(Heartbeat{ID: "s1", StartedAt: tc.startedAt, Sequence: 1, Slots: 4}, tc.heardAt))
			is.Equal(re.State(tc.heardAt), tc.state)
			next := Heartbeat{ID: "s1", StartedAt: givenAt + 9000, Sequence: 1, Slots: 4}
			is.True(re.ApplyHeartbeat(next, 50*second))
			is.Equal(re.State(50*second), Ready) // a run after it
		})
	}
}
