package controller

import (
	"testing"

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
