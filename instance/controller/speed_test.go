package controller

import (
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/pacer"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// withSpeed makes an instance that has joined measure the given speed.
func (sc *sidecar) withSpeed(speed *float64) *sidecar {
	sc.standing = func() (pacer.Standing, bool) { return pacer.Standing{Speed: *speed}, *speed > 0 }
	sc.ds.config.Catalogue.Services = []cataloguer.Service{{Name: "counter", Class: cataloguer.Exclusive, Partitions: 32}}
	sc.pu.Publish(sc.ds.view())
	return sc
}

func (sc *sidecar) storedSpeed() uint32 {
	row, err := sc.tableStore.readRow(sc.ctx, sc.self.BackendServer)
	is.New(sc.t).NoErr(err)
	return row.Speed
}

// TestRowFollowsSpeed guards against shares of keys that don't follow the speed of the
// server, and against a write for each measurement.
func TestRowFollowsSpeed(t *testing.T) {
	is := is.New(t)
	speed := 0.0
	sc := newSidecar(t, 1).joined().withSpeed(&speed)
	sc.beat(nil, nil)
	sc.settleRow()
	writes := sc.tableStore.table.(*fakeTable).commits
	sc.updateShare(sc.clk.Now())
	sc.settleRow()
	is.Equal(sc.storedSpeed(), uint32(0)) // not measured
	is.Equal(sc.tableStore.table.(*fakeTable).commits, writes)
	sc.needsOwnFold = false
	speed = 0.5
	sc.updateShare(sc.clk.Now())
	sc.settleRow()
	is.Equal(sc.storedSpeed(), uint32(placer.FullSpeed/2))
	is.True(sc.needsOwnFold && sc.nextFoldAt > sc.clk.Now().Add(-joinBackoff)) // the maps follow
	for range 7 {
		speed = 1.5 - speed
		sc.clk.Advance(timer.Second)
		sc.beat(nil, nil)
		sc.updateShare(sc.clk.Now())
		sc.settleRow()
	}
	is.Equal(sc.tableStore.table.(*fakeTable).commits, writes+1) // at most one change in 10 s
}

// TestFailedWriteOfSpeedIsRare guards against a stream of writes to a table that is
// unavailable. The row must name the former speed until a write succeeds.
func TestFailedWriteOfSpeedIsRare(t *testing.T) {
	is := is.New(t)
	speed := 0.5
	sc := newSidecar(t, 1).joined().withSpeed(&speed)
	sc.beat(nil, nil)
	sc.settleRow()
	table := sc.tableStore.table.(*fakeTable)
	writes := table.commits
	table.faults = []string{"refused"}
	sc.updateShare(sc.clk.Now())
	sc.settleRow()
	is.Equal(sc.writtenSpeed, uint32(0))
	is.Equal(table.commits, writes+1)
	sc.clk.Advance(speedInterval)
	sc.beat(nil, nil)
	sc.settleRow()
	is.Equal(sc.storedSpeed(), uint32(placer.FullSpeed/2))
}
