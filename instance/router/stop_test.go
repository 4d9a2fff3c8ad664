package router

import (
	"context"
	"testing"
	"time"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// TestRepeatedStopSignal checks that a second stop signal puts off the end of a phase
// that has begun. The platform counts its grace period from the latest signal, so
// work must not be broken off by the time-out of the first.
func TestRepeatedStopSignal(t *testing.T) {
	is := is.New(t)
	const timeout = 400 * time.Millisecond
	schedule := newStopSchedule(timer.BootClock{}, timeout)
	ctx, cancel := schedule.part(context.Background(), finishUntil)
	defer cancel()
	time.Sleep(timeout / 2)
	schedule.restart()
	restartedAt := time.Now()
	first := schedule.end(finishUntil)
	<-ctx.Done()
	is.True(time.Since(restartedAt) >= timeout*finishUntil/100-time.Millisecond)
	is.True(!timer.BootClock{}.Now().Before(first))
}
