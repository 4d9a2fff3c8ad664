package controller

import (
	"context"

	"cornellanding.example/core/folder"
)

// leavePhase is the progress of a planned stop.
type leavePhase int

const (
	// leaveWeight writes a weight of 0, so that the maps name new owners.
	leaveWeight leavePhase = iota
	// leaveHandover waits until others own everything and no work runs.
	leaveHandover
	// leaveServed waits for Leave: callers are served until then.
	leaveServed
	// leaveEnd writes that the incarnation left.
	leaveEnd
)

type leaving struct {
	phase  leavePhase
	isBusy bool
	// handedOver is closed when nothing is owned any more.
	handedOver chan struct{}
	// done is closed at the end, and nil until Leave.
	done chan struct{}
}

// HandOver gives all that the instance owns to others. The instance goes on
// following what is agreed, so that it can serve callers until Leave.
func (co *Controller) HandOver(ctx context.Context) error {
	done := make(chan struct{})
	return co.await(ctx, leaveAsked{handedOver: done}, done)
}

// Leave ends Run with ErrLeft, after HandOver.
func (co *Controller) Leave(ctx context.Context) error {
	done := make(chan struct{})
	return co.await(ctx, leaveAsked{done: done}, done)
}

// await posts an event and waits until done is closed.
func (co *Controller) await(ctx context.Context, ev event, done <-chan struct{}) error {
	select {
	case co.events <- ev:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (co *Controller) onLeave(ev leaveAsked) {
	if co.leave == nil {
		co.leave = &leaving{handedOver: make(chan struct{})}
	}
	if ev.handedOver != nil {
		co.leave.handedOver = ev.handedOver
	}
	if ev.done != nil {
		co.leave.done = ev.done
	}
	switch {
	case !co.isJoined && co.leave.done != nil:
		co.finishLeaving()
	case !co.isJoined:
		close(co.leave.handedOver)
	}
}

// proceedLeaving takes the next step of a planned stop when it is due.
func (co *Controller) proceedLeaving() {
	if co.leave == nil || co.leave.isBusy || co.isRewatching || co.isJoining {
		return
	}
	switch co.leave.phase {
	case leaveWeight:
		co.writeLeaving(folder.Active)
	case leaveHandover:
		if co.hasHandedOver() {
			co.leave.phase = leaveServed
			close(co.leave.handedOver)
		}
	case leaveServed:
		if co.leave.done != nil {
			co.leave.phase = leaveEnd
		}
	case leaveEnd:
		co.writeLeaving(folder.Left)
	}
}

func (co *Controller) writeLeaving(state folder.State) {
	co.leave.isBusy = true
	an := co.announcement(0)
	an.IsStopping = true
	an.Lease = co.ho.Committed()
	an.State = state
	co.spawn(func(ctx context.Context) event {
		committed, err := co.ledger.writeRow(ctx, an)
		if err != nil {
			return left{err: err}
		}
		docs, err := co.ledger.fold(ctx)
		co.post(ctx, documentsFetched{documents: docs})
		return left{row: committed.Lease, err: err}
	})
}

func (co *Controller) onLeft(ev left) {
	co.leave.isBusy = false
	if ev.row.Version != 0 {
		co.ho.Commit(ev.row)
	}
	if ev.err != nil {
		co.lo.Warn("planned stop: step failed", "error", ev.err)
		return
	}
	if co.leave.phase == leaveEnd {
		co.finishLeaving()
		return
	}
	co.leave.phase = leaveHandover
}

func (co *Controller) finishLeaving() {
	close(co.leave.done)
	co.err = ErrLeft
}

// hasHandedOver reports whether the maps give this instance nothing, no work
// runs on what it owned, and nobody waits for its release.
func (co *Controller) hasHandedOver() bool {
	for _, te := range co.tenures {
		tb := co.ds.tables[te.service]
		if len(te.leaving) > 0 || co.isServerHolding(te) {
			return false
		}
		if len(tb.OwnedBy(co.self.Incarnation)) > 0 {
			return false
		}
		for pt := range tb.Map.Partitions {
			if !co.pu.IsIdle(te.service, pt) {
				return false
			}
		}
	}
	return true
}
