package controller

import (
	"context"
	"testing"
	"time"

	"cornellanding.example/core/folder"
	"cornellanding.example/core/leaser"
	"github.com/matryer/is"
)

// TestStopAfterRevocation checks that a planned stop ends if the incarnation was revoked
// or replaced meanwhile, in place of repeating a write that can never succeed.
func TestStopAfterRevocation(t *testing.T) {
	for name, change := range map[string]func(ir *folder.InstanceRow){
		"revoked":  func(ir *folder.InstanceRow) { ir.State = folder.Revoked },
		"replaced": func(ir *folder.InstanceRow) { ir.Lease.Incarnation++ },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sc := newSidecar(t, 1)
			sc.isJoined = true
			ir := sc.instanceRow(0)
			ir.Lease = sc.ho.Committed()
			ir.Lease.Version = 0
			written, err := sc.tableStore.writeRow(sc.ctx, ir)
			is.NoErr(err)
			sc.ho.Commit(written.Lease)
			change(&written)
			_, err = sc.tableStore.writeRow(sc.ctx, written)
			is.NoErr(err)
			handedOver, done := make(chan struct{}), make(chan struct{})
			sc.handle(stopRequested{handedOver: handedOver})
			sc.advanceStop()
			sc.handle(<-sc.events)
			select {
			case <-handedOver:
			default:
				t.Fatal("the hand-over has not ended")
			}
			sc.handle(stopRequested{done: done})
			sc.advanceStop()
			is.Equal(sc.err, ErrLeft)
			<-done
		})
	}
}

// TestStopAfterAnotherVersionOfTheRow checks that a planned stop goes on from the version
// of its row that it finds, such as that of a write whose answer was lost.
func TestStopAfterAnotherVersionOfTheRow(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 1)
	sc.isJoined = true
	ir := sc.instanceRow(0)
	ir.Lease = leaser.Row{Incarnation: 1}
	first, err := sc.tableStore.writeRow(sc.ctx, ir)
	is.NoErr(err)
	sc.ho.Commit(first.Lease)
	second, err := sc.tableStore.writeRow(sc.ctx, first)
	is.NoErr(err)
	sc.handle(stopRequested{handedOver: make(chan struct{})})
	sc.advanceStop()
	sc.handle(<-sc.events)
	is.Equal(sc.ho.Committed().Version, second.Lease.Version)
}

// TestStopBeforeJoin guards against a process that panics, and loses the requests in its
// hands, when it is stopped before it has joined beside the row of its predecessor.
func TestStopBeforeJoin(t *testing.T) {
	isClosed := func(done chan struct{}) bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	}
	for name, cas := range map[string]struct {
		isJoining bool
		// join is the outcome of a join that is under way when the stop begins.
		join  func(sc *sidecar, former leaser.Row) rowCommitted
		state folder.State
	}{
		"not joined": {state: folder.Active},
		"join fails": {isJoining: true, state: folder.Active, join: func(_ *sidecar, former leaser.Row) rowCommitted {
			return rowCommitted{row: former, err: errNoAnswer}
		}},
		"join succeeds": {isJoining: true, state: folder.Left, join: func(sc *sidecar, former leaser.Row) rowCommitted {
			ir := sc.instanceRow(100)
			ir.Lease = leaser.Row{Incarnation: sc.self.Incarnation, Version: former.Version}
			written, err := sc.tableStore.writeRow(sc.ctx, ir)
			return rowCommitted{row: written.Lease, err: err}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sc := newSidecar(t, 2)
			predecessor := sc.instanceRow(100)
			predecessor.Lease = leaser.Row{Incarnation: 1}
			written, err := sc.tableStore.writeRow(sc.ctx, predecessor)
			is.NoErr(err)
			former, err := sc.tableStore.writeRow(sc.ctx, written)
			is.NoErr(err)
			sc.isJoining = cas.isJoining
			handedOver, done := make(chan struct{}), make(chan struct{})
			sc.handle(stopRequested{handedOver: handedOver})
			sc.advanceStop()
			if cas.isJoining {
				is.True(!isClosed(handedOver)) // the row may be committed yet
				sc.handle(cas.join(sc, former.Lease))
			}
			sc.advanceUntil(func() bool { return isClosed(handedOver) })
			sc.handle(stopRequested{done: done})
			sc.advanceUntil(func() bool { return isClosed(done) })
			is.Equal(sc.err, ErrLeft)
			found, err := sc.tableStore.readRow(sc.ctx, sc.self.BackendServer)
			is.NoErr(err)
			is.Equal(found.State, cas.state)
		})
	}
}

// advanceUntil advances a planned stop until the condition holds.
func (sc *sidecar) advanceUntil(holds func() bool) {
	sc.t.Helper()
	for range 10 {
		sc.advanceStop()
		if sc.stopping.isBusy {
			sc.handle(<-sc.events)
		}
		if holds() {
			return
		}
	}
	sc.t.Fatal("the planned stop does not advance")
}

// TestStopOfRevokedIncarnation guards against a planned stop that waits for an event loop
// which has ended.
func TestStopOfRevokedIncarnation(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 1)
	sc.err = ErrRevoked
	is.Equal(sc.Run(sc.ctx), ErrRevoked)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.Equal(sc.HandOver(ctx), ErrRevoked)
	is.Equal(sc.Leave(ctx), ErrRevoked)
	_, err := sc.Status(ctx)
	is.Equal(err, ErrRevoked)
}
