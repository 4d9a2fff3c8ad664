package warner

import (
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// TestWarningIsTrueWhenRead checks that a raised warning is not shown while its condition
// is false or has not been observed recently.
func TestWarningIsTrueWhenRead(t *testing.T) {
	is := is.New(t)
	wa := New(RaiseAfter(3*timer.Second), ClearAfter(2*timer.Second))
	at := func(seconds int) timer.Instant { return timer.Instant(seconds) * timer.Instant(timer.Second) }
	observe := func(seconds int, holds bool) {
		wa.Observe(Condition{Kind: "lease", Subject: "a", Holds: holds, Reason: "why"}, at(seconds))
	}
	observe(0, true)
	is.Equal(len(wa.Active(at(0))), 0) // held for too short a time
	observe(2, false)
	observe(3, true)
	is.Equal(len(wa.Active(at(4))), 0) // the minimum time starts again
	observe(6, true)
	is.Equal(wa.Active(at(6)), []Warning{{Kind: "lease", Subject: "a", Reason: "why", Since: at(3)}})
	observe(7, false)
	is.Equal(len(wa.Active(at(7))), 0) // currently false: not shown
	observe(8, true)
	is.Equal(len(wa.Active(at(8))), 1)  // the same warning, raised already
	is.Equal(len(wa.Active(at(20))), 0) // not observed recently: not shown
	observe(21, false)
	observe(24, false)
	is.Equal(len(wa.records), 0) // cleared and removed
}
