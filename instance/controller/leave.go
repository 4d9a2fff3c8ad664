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
	// leaveEnd writes that the incarnation left.
	leaveEnd
)

type leaving struct {
	phase  leavePhase
	isBusy bool
	done   chan struct{}
}

// Leave hands everything over and ends Run with ErrLeft.
func (co *Controller) Leave(ctx context.Context) error {
	done := make(chan struct{})
	select {
	case co.events <- leaveAsked{done: done}:
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
	if co.leave != nil {
		return
	}
	co.leave = &leaving{done: ev.done}
	if !co.isJoined {
		co.finishLeaving()
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
