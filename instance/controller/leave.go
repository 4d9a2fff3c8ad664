package controller

import (
	"context"
	"errors"

	"cornellanding.example/core/folder"
)

// stopPhase is the phase of a planned stop.
type stopPhase int

const (
	// phaseDropWeight writes a weight of 0, so that the maps assign the partitions
	// to new owners.
	phaseDropWeight stopPhase = iota
	// phaseHandOver waits until all partitions are released and no work runs.
	phaseHandOver
	// phaseServe forwards callers' requests until Leave is called.
	phaseServe
	// phaseLeave writes the row with the state left.
	phaseLeave
)

type stopState struct {
	phase  stopPhase
	isBusy bool
	// handedOver is closed once all partitions are released.
	handedOver chan struct{}
	// done is closed at the end of the stop. It is nil until Leave is called.
	done chan struct{}
	// hasEnded is set if the incarnation was revoked or replaced meanwhile, or has never
	// joined. Then it serves nothing and has no row left to write.
	hasEnded bool
}

// takesWrites reports whether the row may be written between the steps of the stop.
func (ss *stopState) takesWrites() bool {
	return !ss.isBusy && !ss.hasEnded && ss.phase < phaseLeave
}

// HandOver hands all owned partitions over to other instances and returns once
// that is done, or with the error of the context or of Run. The event loop keeps
// running, so that the instance can forward callers' requests until Leave.
func (co *Controller) HandOver(ctx context.Context) error {
	done := make(chan struct{})
	return co.await(ctx, stopRequested{handedOver: done}, done)
}

// Leave completes a planned stop after HandOver: it marks the incarnation as left
// and makes Run return ErrLeft. The error is that of the context or of Run, ErrRevoked
// if the incarnation's lease was revoked meanwhile.
func (co *Controller) Leave(ctx context.Context) error {
	done := make(chan struct{})
	return co.await(ctx, stopRequested{done: done}, done)
}

// await posts an event and waits until done is closed, ctx ends or Run returns.
func (co *Controller) await(ctx context.Context, ev event, done <-chan struct{}) error {
	select {
	case co.events <- ev:
	case <-co.ended:
		return co.err
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-co.ended:
		if errors.Is(co.err, ErrLeft) {
			return nil
		}
		return co.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (co *Controller) onStopRequested(ev stopRequested) {
	if co.stopping == nil {
		co.stopping = &stopState{handedOver: make(chan struct{})}
	}
	if ev.handedOver != nil {
		co.stopping.handedOver = ev.handedOver
	}
	if ev.done != nil {
		co.stopping.done = ev.done
	}
}

// advanceStop starts the next step of a planned stop once the current one is
// complete. An instance that has not joined has nothing to hand over and no row to
// write; a join under way is awaited, since its row may be committed.
func (co *Controller) advanceStop() {
	if co.stopping == nil || co.stopping.isBusy || co.isWritingRow || co.isJoining || co.isRowLost() {
		return
	}
	if !co.isJoined {
		co.stopping.hasEnded = true
	}
	switch co.stopping.phase {
	case phaseDropWeight, phaseHandOver:
		switch {
		case co.stopping.hasEnded, co.stopping.phase == phaseHandOver && co.hasHandedOver():
			co.endHandOver()
		case co.stopping.phase == phaseDropWeight:
			co.writeStopRow(folder.Active)
		}
	case phaseServe:
		switch {
		case co.stopping.done == nil:
		case co.stopping.hasEnded:
			co.finishStop()
		default:
			co.stopping.phase = phaseLeave
		}
	case phaseLeave:
		co.writeStopRow(folder.Left)
	}
}

// endHandOver ends the hand-over of a planned stop. It is called once.
func (co *Controller) endHandOver() {
	co.stopping.phase = phaseServe
	close(co.stopping.handedOver)
}

// writeStopRow writes this instance's row with weight 0 and folds it into the maps.
// Each tick retries until that succeeds.
func (co *Controller) writeStopRow(state folder.State) {
	co.stopping.isBusy = true
	ir := co.instanceRow(0)
	ir.IsStopping = true
	ir.Lease = co.ho.Committed()
	ir.State = state
	ba := co.foldBasis(co.pu.Now())
	co.spawn(func(ctx context.Context) event {
		committed, err := co.tableStore.writeRow(ctx, ir)
		if err != nil {
			return stopStepDone{
				row: committed.Lease, leaving: committed.Leaving, isEnded: isReplacedOrEnded(committed, ir.Lease.Incarnation),
				isOutdated: committed.IsOutdated(), err: err,
			}
		}
		docs, err := co.tableStore.fold(ctx, ba)
		co.post(ctx, documentsFetched{documents: docs})
		return stopStepDone{row: committed.Lease, leaving: committed.Leaving, err: err}
	})
}

func (co *Controller) onStopStepDone(ev stopStepDone) {
	co.stopping.isBusy = false
	if ev.isEnded {
		co.endStopEarly(ev.err)
		return
	}
	if ev.row.Version != 0 && !ev.isOutdated {
		co.commitRow(ev.row)
		co.recordStoredLeaving(ev.leaving)
	}
	if ev.err != nil {
		co.lo.Warn("planned stop: failed to write row or fold maps", "error", ev.err)
		return
	}
	if co.stopping.phase == phaseLeave {
		co.finishStop()
		return
	}
	co.stopping.phase = phaseHandOver
}

// endStopEarly skips the remaining writes of a planned stop, since the row belongs to
// this incarnation no longer: its watchers revoked it, for instance after its lease
// lapsed on a busy machine.
func (co *Controller) endStopEarly(cause error) {
	co.lo.Warn("planned stop: incarnation has ended already", "incarnation", co.self.Incarnation, "error", cause)
	co.stopping.hasEnded = true
	if co.stopping.phase < phaseServe {
		co.endHandOver()
	}
	co.stopping.phase = phaseServe
}

func (co *Controller) finishStop() {
	close(co.stopping.done)
	co.err = ErrLeft
}

// hasHandedOver reports whether the maps assign no partition to this instance, no
// work runs on its former partitions and the backend server holds none of them.
func (co *Controller) hasHandedOver() bool {
	for _, ow := range co.ownerships {
		tb := co.ds.tables[ow.service]
		if len(ow.releasing) > 0 || co.serverHolds(ow) {
			return false
		}
		if len(tb.OwnedBy(co.self.Incarnation)) > 0 {
			return false
		}
		for pt := range tb.Map.Partitions {
			if !co.pu.IsIdle(ow.service, pt) {
				return false
			}
		}
	}
	return true
}
