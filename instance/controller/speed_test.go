package controller

import (
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/pacer"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
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
	is.True(sc.needsOwnFold && sc.ownFoldAt > sc.clk.Now().Add(-joinBackoff)) // the maps follow
	sc.foldIfNeeded(sc.ownFoldAt.Add(-1))
	is.True(!sc.isFolding) // later
	sc.needsFold, sc.nextFoldAt = true, 0
	sc.foldIfNeeded(sc.ownFoldAt.Add(-1))
	is.True(sc.isFolding) // at once for a takeover or a configuration
	sc.handle(<-sc.events)
	sc.handle(<-sc.events)
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

// TestSpeedWaitsForSettledMap guards against a record of changes of the map that is never
// dropped, since the map never rests.
func TestSpeedWaitsForSettledMap(t *testing.T) {
	is := is.New(t)
	speed := 0.5
	sc := newSidecar(t, 1).joined().withSpeed(&speed)
	sc.beat(nil, nil)
	sc.settleRow()
	ma := mapWith(numbered(32), 1, 2)
	for i := range settleChanges {
		me, _ := ma.Member(name(2))
		me.Speed = uint32(placer.FullSpeed + i%2)
		ma = ma.NextVersion(0).WithMember(me)
	}
	sc.apply(t, ma)
	sc.updateShare(sc.clk.Now())
	sc.settleRow()
	is.Equal(sc.storedSpeed(), uint32(0))
	sc.apply(t, ma.NextVersion(0).WithSettled(ma.Version))
	sc.beat(nil, nil)
	sc.settleRow()
	is.Equal(sc.storedSpeed(), uint32(placer.FullSpeed/2))
}

// TestColdServerTakesKeysOnceWarm guards against keys that move to a server that has just
// started and refuses most of their requests, and against keys without an owner when most
// servers are cold.
func TestColdServerTakesKeysOnceWarm(t *testing.T) {
	cases := map[string]struct {
		others, cold int
		isHeldBack   bool
	}{
		"others have the keys":  {others: 3, cold: 1, isHeldBack: true},
		"most servers are cold": {others: 1, cold: 3},
		"no others":             {},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			speed := 0.0
			sc := newSidecar(t, 1).joined().withSpeed(&speed)
			ma := numbered(32).NextVersion(0)
			for i := range tc.others + tc.cold {
				me := placer.Member{BackendServer: "x" + string(rune('a'+i)), Incarnation: uint64(100 + i)}
				if i < tc.others {
					me.Weight = placer.FullWeight
				}
				ma = ma.WithMember(me)
			}
			sc.apply(t, ma)
			cold := func(left timer.Span) {
				sc.seq++
				sc.handle(heartbeatReceived{reply: make(chan registrar.Reply, 1), heartbeat: registrar.Heartbeat{
					ID: "s1", StartedAt: 1, Sequence: sc.seq, Slots: 4, ColdRemaining: left,
				}})
			}
			cold(3 * timer.Second)
			is.Equal(sc.weight() == 0, tc.isHeldBack)
			sc.clk.Advance(1500 * timer.Millisecond)
			cold(1500 * timer.Millisecond)
			is.Equal(sc.weight() == 0, tc.isHeldBack)
			sc.clk.Advance(timer.Second)
			is.Equal(sc.weight(), uint32(placer.FullWeight)) // warm by the time that keys arrive
			for range 9 {
				sc.clk.Advance(timer.Second)
				cold(3 * timer.Second)
			}
			is.Equal(sc.weight(), uint32(placer.FullWeight)) // not held back for ever
		})
	}
}
