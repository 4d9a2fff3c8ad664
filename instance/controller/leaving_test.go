package controller

import (
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// joined makes the instance join through the table.
func (sc *sidecar) joined() *sidecar {
	sc.t.Helper()
	sc.clk.Advance(firstHeartbeatTimeout + timer.Millisecond)
	sc.ds.config = cataloguer.Config{Version: 1}
	sc.quarantine.isRead = true
	sc.join(sc.clk.Now())
	sc.handle(<-sc.events)
	if !sc.isJoined {
		sc.t.Fatal("not joined")
	}
	return sc
}

// successor is an instance that starts beside the same backend server, with the same table.
func (sc *sidecar) successor(incarnation uint64) *sidecar {
	next := newSidecar(sc.t, incarnation)
	next.self.BackendServer = sc.self.BackendServer
	next.tableStore.table = sc.tableStore.table
	return next
}

func (sc *sidecar) deregister(id string) <-chan bool {
	reply := make(chan bool, 1)
	sc.handle(serverDeregistered{id: id, reply: reply})
	return reply
}

// drain delivers a draining heartbeat.
func (sc *sidecar) drain() <-chan registrar.Reply {
	sc.seq++
	reply := make(chan registrar.Reply, 1)
	sc.handle(heartbeatReceived{reply: reply, heartbeat: registrar.Heartbeat{ID: "s1", StartedAt: 1, Sequence: sc.seq, Slots: 4, IsDraining: true}})
	return reply
}

// TestLeavingBindsTheNextInstance guards against requests to a server whose leaving was
// acknowledged, because the process that did so has been restarted and an older heartbeat
// arrives after that.
func TestLeavingBindsTheNextInstance(t *testing.T) {
	cases := map[string]func(former *sidecar){
		"deregistered":                      func(former *sidecar) { former.beat(nil, nil); former.deregister("s1") },
		"deregistered before any heartbeat": func(former *sidecar) { former.deregister("s1") },
		"drained":                           func(former *sidecar) { former.beat(nil, nil); former.drain() },
	}
	for name, leave := range cases {
		for _, isBeforeJoin := range []bool{false, true} {
			when := ", late heartbeat after the join"
			if isBeforeJoin {
				when = ", late heartbeat before the join"
			}
			t.Run(name+when, func(t *testing.T) {
				is := is.New(t)
				former := newSidecar(t, 1).joined()
				leave(former)
				former.settleRow()
				next := former.successor(2)
				next.seq = 1 // the heartbeats of the draining server are later
				if isBeforeJoin {
					next.beat(nil, nil)
				}
				next.joined()
				if !isBeforeJoin {
					next.beat(nil, nil)
				}
				is.Equal(next.Controller.re.State(next.clk.Now()), registrar.Draining)
				is.Equal(next.weight(), uint32(0))
				is.True(next.pu.BackendServer().RefuseAt != 0)
				is.True(next.pu.BackendServer().RefuseAt <= next.clk.Now()) // acknowledged long ago
				row, err := next.tableStore.readRow(next.ctx, next.self.BackendServer)
				is.NoErr(err)
				is.Equal(row.Weight, uint32(0)) // the maps assign it nothing
			})
		}
	}
}

// settleRow completes the writes of the row that are under way or due.
func (sc *sidecar) settleRow() {
	sc.t.Helper()
	for range 5 {
		if !sc.isWritingRow {
			sc.clk.Advance(joinBackoff)
			sc.updateRow(sc.clk.Now())
		}
		if !sc.isWritingRow {
			return
		}
		sc.handle(<-sc.events)
	}
	sc.t.Fatal("the row does not settle")
}

// TestLeavingIsAcknowledgedOnceStored guards against an acknowledgement that nothing but
// the memory of this process holds, such as while the table is unavailable.
func TestLeavingIsAcknowledgedOnceStored(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 1).joined()
	sc.beat(nil, nil)
	sc.settleRow()
	row, err := sc.tableStore.readRow(sc.ctx, sc.self.BackendServer)
	is.NoErr(err)
	is.Equal(row.Weight, uint32(placer.FullWeight))
	sc.tableStore.table.(*fakeTable).faults = []string{"refused"}

	acked := sc.deregister("s1")
	is.Equal(sc.weight(), uint32(0)) // it holds for this instance at once
	sc.handle(<-sc.events)           // the table refuses the write
	held := sc.drain()
	sc.clk.Advance(storeReplyTimeout)
	sc.replyIfDue(sc.clk.Now())
	is.Equal(len(acked), 0)
	is.Equal(len(held), 0)
	is.True(sc.heldHeartbeat == nil)

	sc.settleRow()
	is.Equal(<-acked, true)
	reply := sc.drain()
	sc.clk.Advance(drainReplyTimeout)
	sc.replyIfDue(sc.clk.Now())
	is.Equal(len(reply), 1)
	row, err = sc.tableStore.readRow(sc.ctx, sc.self.BackendServer)
	is.NoErr(err)
	is.Equal(row.Leaving, []registrar.ServerRun{{ID: "s1", StartedAt: 1}})
}

// TestServerKeepsItsKeysWhileAnotherRunLeaves guards against replies that are withheld from a
// server because a run before it has left and the table is unavailable.
func TestServerKeepsItsKeysWhileAnotherRunLeaves(t *testing.T) {
	is := is.New(t)
	sc := newSidecar(t, 1).joined()
	sc.apply(t, mapWith(numbered(32), 1))
	sc.lease()
	sc.beat(nil, nil)
	sc.settleRow()
	sc.tableStore.table.(*fakeTable).faults = []string{"refused"}
	acked := sc.deregister("s0")
	_, isReplied := sc.beat(nil, nil)
	is.True(isReplied)
	is.Equal(len(acked), 0)
}
