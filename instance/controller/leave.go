package controller

import (
	"context"

	"cornellanding.example/core/folder"
)

// stopPhase is the progress of a planned stop.
type stopPhase int

const (
	// phaseDropWeight writes a weight of 0, so that the maps name new owners.
	phaseDropWeight stopPhase = iota
	// phaseHandOver waits until others own everything and no work runs.
	phaseHandOver
	// phaseServe waits for Leave: callers are served until then.
	phaseServe
	// phaseLeave writes that the incarnation left.
	phaseLeave
)

type releasing struct {
	phase  stopPhase
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
	return co.await(ctx, stopRequested{handedOver: done}, done)
}

// Leave ends Run with ErrLeft, after HandOver.
func (co *Controller) Leave(ctx context.Context) error {
	done := make(chan struct{})
	return co.await(ctx, stopRequested{done: done}, done)
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

func (co *Controller) onStopRequested(ev stopRequested) {
	if co.stopping == nil {
		co.stopping = &releasing{handedOver: make(chan struct{})}
	}
	if ev.handedOver != nil {
		co.stopping.handedOver = ev.handedOver
	}
	if ev.done != nil {
		co.stopping.done = ev.done
	}
	switch {
	case !co.isJoined && co.stopping.done != nil:
		co.finishStop()
	case !co.isJoined:
		close(co.stopping.handedOver)
	}
}

// advanceStop takes the next step of a planned stop when it is due.
func (co *Controller) advanceStop() {
	if co.stopping == nil || co.stopping.isBusy || co.isWritingRow || co.isJoining {
		return
	}
	switch co.stopping.phase {
	case phaseDropWeight:
		co.writeStopRow(folder.Active)
	case phaseHandOver:
		if co.hasHandedOver() {
			co.stopping.phase = phaseServe
			close(co.stopping.handedOver)
		}
	case phaseServe:
		if co.stopping.done != nil {
			co.stopping.phase = phaseLeave
		}
	case phaseLeave:
		co.writeStopRow(folder.Left)
	}
}

func (co *Controller) writeStopRow(state folder.State) {
	co.stopping.isBusy = true
	an := co.announcement(0)
	an.IsStopping = true
	an.Lease = co.ho.Committed()
	an.State = state
	co.spawn(func(ctx context.Context) event {
		committed, err := co.tableStore.writeRow(ctx, an)
		if err != nil {
			return stopStepDone{err: err}
		}
		docs, err := co.tableStore.fold(ctx)
		co.post(ctx, documentsFetched{documents: docs})
		return stopStepDone{row: committed.Lease, err: err}
	})
}

func (co *Controller) onStopStepDone(ev stopStepDone) {
	co.stopping.isBusy = false
	if ev.row.Version != 0 {
		co.ho.Commit(ev.row)
	}
	if ev.err != nil {
		co.lo.Warn("planned stop: step failed", "error", ev.err)
		return
	}
	if co.stopping.phase == phaseLeave {
		co.finishStop()
		return
	}
	co.stopping.phase = phaseHandOver
}

func (co *Controller) finishStop() {
	close(co.stopping.done)
	co.err = ErrLeft
}

// hasHandedOver reports whether the maps give this instance nothing, no work
// runs on what it owned, and nobody waits for its release.
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
