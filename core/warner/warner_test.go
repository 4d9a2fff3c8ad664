package warner

import (
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

func TestWarningIsTrueWhenRead(t *testing.T) {
	is := is.New(t)
	wa := New(RaiseAfter(3*timer.Second), ClearAfter(2*timer.Second))
	at := func(seconds int) timer.Instant { return timer.Instant(seconds) * timer.Instant(timer.Second) }
	observe := func(seconds int, holds bool) {
		wa.Observe(Condition{Kind: "lease", Subject: "a", Holds: holds, Reason: "why"}, at(seconds))
	}
	observe(0, true)
	is.Equal(len(wa.Active(at(0))), 0) // a moment is no warning
	observe(2, false)
	observe(3, true)
	is.Equal(len(wa.Active(at(4))), 0) // the time starts again
	observe(6, true)
	is.Equal(wa.Active(at(6)), []Warning{{Kind: "lease", Subject: "a", Reason: "why", Since: at(3)}})
	observe(7, false)
	is.Equal(len(wa.Active(at(7))), 0) // false at this moment: not shown
	observe(8, true)
	is.Equal(len(wa.Active(at(8))), 1)  // the same warning: not raised anew
	is.Equal(len(wa.Active(at(20))), 0) // nobody has looked since: not shown
	observe(21, false)
	observe(24, false)
	is.Equal(len(wa.records), 0) // cleared and forgotten
}
