package router

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"cornellanding.example/core/timer"
	"cornellanding.example/instance/controller"
)

// stopSchedule gives the ends of the phases of a planned stop. It is safe for
// concurrent use.
type stopSchedule struct {
	clock   timer.Clock
	timeout timer.Span

	mu        sync.Mutex
	startedAt timer.Instant
}

func newStopSchedule(clock timer.Clock, timeout time.Duration) *stopSchedule {
	return &stopSchedule{clock: clock, timeout: timer.FromDuration(timeout), startedAt: clock.Now()}
}

// restart makes the time-out begin again.
func (ss *stopSchedule) restart() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.startedAt = ss.clock.Now()
}

// end returns the instant at this percentage of the time-out.
func (ss *stopSchedule) end(percent int) timer.Instant {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.startedAt.Add(ss.timeout * timer.Span(percent) / 100)
}

// part returns a context that ends at this percentage of the time-out, and later if
// the time-out begins again before.
func (ss *stopSchedule) part(parent context.Context, percent int) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		defer cancel()
		for {
			left := ss.end(percent).Sub(ss.clock.Now())
			if left <= 0 || !timer.Sleep(ctx, left.Duration()) {
				return
			}
		}
	}()
	return ctx, cancel
}

// restartOnSignals makes the stop's time-out begin again at each repeated stop signal
// until ctx ends.
func (ro *Router) restartOnSignals(ctx context.Context, schedule *stopSchedule) {
	for {
		select {
		case <-ro.repeatedStops:
			schedule.restart()
			ro.servers.stopKeepingAlive(schedule.end(answerUntil))
			ro.lo.Info("planned stop: stop signal repeated; the time-out begins again")
		case <-ctx.Done():
			return
		}
	}
}

// stop makes a planned stop: answers close callers' connections, so that they switch
// to other instances, ownership is handed over and running work finishes. Requests
// that arrive after that are refused as not run, since the process could end before
// they are answered. So are those that arrive after noticeSpan and whose own deadline
// lies beyond the end of the stop. done receives the result of the event loop.
func (ro *Router) stop(in *incarnation, done <-chan error) error {
	startedAt := ro.clock.Now()
	schedule := newStopSchedule(ro.clock, ro.stopTimeout)
	refuseLongFrom := startedAt.Add(noticeSpan)
	in.pu.SetStopping(refuseLongFrom)
	ro.fo.RefuseLong(refuseLongFrom)
	ro.servers.stopKeepingAlive(schedule.end(answerUntil))
	stopCtx, stopped := context.WithCancel(ro.killed)
	defer stopped()
	go ro.restartOnSignals(stopCtx, schedule)
	ctx, cancel := schedule.part(stopCtx, handOverUntil)
	defer cancel()
	if err := in.co.HandOver(ctx); err != nil {
		ro.lo.Warn("planned stop: hand-over failed", "error", err)
	}
	handedOverIn := ro.clock.Now().Sub(startedAt)
	ctx, cancel = schedule.part(stopCtx, serveUntil)
	defer cancel()
	ro.servers.awaitQuiet(ctx, ro.quietPeriod)
	ro.fo.Stop()
	in.ga.Drain()
	ctx, cancel = schedule.part(stopCtx, leaveUntil)
	defer cancel()
	err := in.co.Leave(ctx)
	ctx, cancel = schedule.part(stopCtx, finishUntil)
	defer cancel()
	running := ro.servers.awaitIdle(ctx)
	ro.lo.Info("planned stop complete", "handedOverIn", handedOverIn.Duration().String(),
		"took", ro.clock.Now().Sub(startedAt).Duration().String(), "hasLeft", err == nil, "stillRunning", running)
	if errors.Is(err, controller.ErrRevoked) {
		return controller.ErrLeft // there is no row left to write
	}
	if err != nil {
		return fmt.Errorf("router: planned stop: %w", err)
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("router: planned stop: %w", ctx.Err())
	}
}
