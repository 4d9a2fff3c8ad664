package router

import (
	"context"
	"fmt"
	"time"

	"cornellanding.example/core/timer"
)

// stop makes a planned stop: callers are told to switch to other instances, ownership
// is handed over and running work finishes. Requests that arrive after that are
// refused as not run, since the process could end before they are answered.
func (ro *Router) stop(in *incarnation, done <-chan error) error {
	startedAt := ro.clock.Now()
	part := func(percent time.Duration) (context.Context, context.CancelFunc) {
		left := ro.stopTimeout*percent/100 - ro.clock.Now().Sub(startedAt).Duration()
		return context.WithTimeout(ro.killed, left)
	}
	in.pu.SetStopping()
	ro.servers.stopKeepingAlive(startedAt.Add(timer.FromDuration(ro.stopTimeout * answerUntil / 100)))
	ctx, cancel := part(handOverUntil)
	defer cancel()
	if err := in.co.HandOver(ctx); err != nil {
		ro.lo.Warn("planned stop: hand-over failed", "error", err)
	}
	handedOverIn := ro.clock.Now().Sub(startedAt)
	ctx, cancel = part(serveUntil)
	defer cancel()
	ro.servers.awaitQuiet(ctx, ro.quietPeriod)
	ro.fo.Stop()
	in.ga.Drain()
	ctx, cancel = part(leaveUntil)
	defer cancel()
	err := in.co.Leave(ctx)
	ctx, cancel = part(finishUntil)
	defer cancel()
	running := ro.servers.awaitIdle(ctx)
	ro.lo.Info("planned stop complete", "handedOverIn", handedOverIn.Duration().String(),
		"took", ro.clock.Now().Sub(startedAt).Duration().String(), "hasLeft", err == nil, "stillRunning", running)
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
