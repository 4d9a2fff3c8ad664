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
		"deregistered":                      {do: func(re *Registrar) { re.ApplyHeartbeat(beat(1), 11*second); re.MarkLeaving("s1", 11*second) }, late: beat(2), state: Draining},
		"deregistered before any heartbeat": {do: func(re *Registrar) { re.MarkLeaving("s1", 11*second) }, late: beat(2), state: Draining},
		"drained":                           {do: func(re *Registrar) { re.ApplyHeartbeat(draining, 11*second) }, late: beat(2), state: Draining},
		"known to a former instance":        {do: func(re *Registrar) { re.RestoreLeaving([]ServerRun{{ID: "s1", StartedAt: 1}}, 11*second) }, late: beat(2), state: Draining},
		"known to it without its start":     {do: func(re *Registrar) { re.RestoreLeaving([]ServerRun{{ID: "s1"}}, 11*second) }, late: beat(2), state: Draining},
		"known to it, heartbeat before": {do: func(re *Registrar) {
			re.ApplyHeartbeat(beat(1), 11*second)
			re.RestoreLeaving([]ServerRun{{ID: "s1", StartedAt: 1}}, 11*second)
		}, late: beat(2), state: Draining},
		"a later start with the ID": {do: func(re *Registrar) { re.ApplyHeartbeat(beat(1), 11*second); re.MarkLeaving("s1", 11*second) }, late: later, state: Ready},
		"another server left":       {do: func(re *Registrar) { re.ApplyHeartbeat(beat(1), 11*second); re.MarkLeaving("s0", 11*second) }, late: beat(2), state: Ready},
		"notice long ago":           {do: func(re *Registrar) { re.MarkLeaving("s1", 12*second-timer.Instant(unboundTerm)) }, late: later, state: Ready},
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

// TestLeavingRunsAreBounded checks that the latest notices are kept, in this instance and
// in the one after it.
func TestLeavingRunsAreBounded(t *testing.T) {
	is := is.New(t)
	re := newRegistrar(t)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		re.MarkLeaving(id, 11*second)
	}
	former := []ServerRun{{ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
	is.Equal(re.Leaving(), former)
	next := newRegistrar(t)
	next.MarkLeaving("f", 12*second)
	is.Equal(MergeRuns(former, next.Leaving()), []ServerRun{{ID: "c"}, {ID: "d"}, {ID: "e"}, {ID: "f"}})
	next.RestoreLeaving(former, 12*second)
	is.Equal(next.Leaving(), MergeRuns(former, []ServerRun{{ID: "f"}}))
}
