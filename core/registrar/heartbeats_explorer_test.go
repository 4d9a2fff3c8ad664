package registrar

import (
	"fmt"
	"slices"
	"testing"

	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
)

const (
	// exploreEnd is when an exploration of heartbeats ends: the grants of the former
	// instance have ended by then.
	exploreEnd = 13 * second
	// maxLateHeartbeats bounds the heartbeats that arrive late in one exploration.
	maxLateHeartbeats = 2
	// maxHeartbeats and maxCrashes bound what the server does after the instance's start.
	maxHeartbeats = 2
	maxCrashes    = 1
)

// serverModel is a backend server that holds range 0 of two, or both, by replies to its
// heartbeats, and the registrar of an instance that started beside it at second 10.
type serverModel struct {
	now timer.Instant
	re  *Registrar
	// run is the server's present run, from 1, and isUp whether it is running.
	run      int64
	isUp     bool
	sequence uint64
	beats    int
	crashes  int
	// heldUntil and tokens are the server's holds on both ranges.
	heldUntil [2]timer.Instant
	tokens    [2]uint64
	// delayed holds the heartbeats that may still arrive, and late counts those that did.
	delayed []Heartbeat
	late    int
	// wanted is how many of the ranges the instance owns: none, range 1, or both.
	wanted int
	path   []string
}

// newServerModel returns the server as the former instance left it: it obtained range 0
// some time after the heartbeats that are still delayed. If it has restarted meanwhile,
// these are of its former run, and one of the present run is delayed, too.
func newServerModel(t *testing.T, wanted int, hasRestarted bool) *serverModel {
	t.Helper()
	sm := &serverModel{now: 10 * second, re: newRegistrarOf(t), run: 1, isUp: true, sequence: 9, wanted: wanted}
	held := Hold{Range: exploredRanges[0], FencingToken: 3 << restartBits}
	sm.delayed = []Heartbeat{
		{ID: "s", StartedAt: 1, Sequence: 1, Slots: 1},
		{ID: "s", StartedAt: 1, Sequence: 2, Slots: 1, Holds: []Hold{held}},
		{ID: "s", StartedAt: 1, Sequence: 3, Slots: 1},
	}
	if hasRestarted {
		sm.run, sm.sequence = 2, 5
		sm.delayed = append(sm.delayed, Heartbeat{ID: "s", StartedAt: 2, Sequence: 1, Slots: 1})
	}
	sm.heldUntil[0], sm.tokens[0] = sm.now.Add(term), held.FencingToken
	return sm
}

var exploredRanges = []placer.Range{{From: 0, To: 9}, {From: 10, To: 19}}

func newRegistrarOf(t *testing.T) *Registrar {
	t.Helper()
	re, err := New(Start(10*second), Term(term))
	if err != nil {
		t.Fatal(err)
	}
	re.SetRanges(exploredRanges)
	return re
}

func (sm *serverModel) next(name string, do func(ne *serverModel)) *serverModel {
	ne := *sm
	re := *sm.re
	re.partitions, re.notices = slices.Clone(re.partitions), slices.Clone(re.notices)
	ne.re, ne.delayed = &re, slices.Clone(sm.delayed)
	ne.path = append(slices.Clone(sm.path), fmt.Sprintf("%.1fs %s", float64(ne.now)/float64(second), name))
	do(&ne)
	return &ne
}

func (sm *serverModel) key() string {
	return fmt.Sprint(sm.now, sm.re.partitions, sm.re.latest, sm.re.isDown, sm.re.isCurrent, sm.re.firstEpoch, sm.re.restarts, sm.re.heartbeatAt,
		sm.run, sm.isUp, sm.sequence, sm.beats, sm.crashes, sm.heldUntil, sm.tokens, sm.delayed, sm.late, sm.wanted)
}

// heartbeat returns the server's next heartbeat.
func (sm *serverModel) heartbeat() Heartbeat {
	sm.sequence++
	sm.beats++
	hb := Heartbeat{ID: "s", StartedAt: sm.run, Sequence: sm.sequence, Slots: 1}
	for i, ra := range exploredRanges {
		if sm.now.Before(sm.heldUntil[i]) {
			hb.Holds = append(hb.Holds, Hold{Range: ra, FencingToken: sm.tokens[i]})
		}
	}
	return hb
}

// answer applies a heartbeat and returns the instance's reply.
func (sm *serverModel) answer(hb Heartbeat) Reply {
	if !sm.re.ApplyHeartbeat(hb, sm.now) {
		return Reply{}
	}
	var wanted []WantedPartition
	for i := range sm.wanted {
		wanted = append(wanted, WantedPartition{Partition: uint32(1 - i), Epoch: 7})
	}
	reply, _ := sm.re.Grant(wanted, sm.now.Add(term), sm.now)
	return reply
}

// take makes the server hold what a reply says.
func (sm *serverModel) take(reply Reply) {
	if reply.HoldTerm == 0 {
		return
	}
	sm.heldUntil = [2]timer.Instant{}
	for _, ho := range reply.Holds {
		for i, ra := range exploredRanges {
			if overlaps(ho.Range, ra) {
				sm.heldUntil[i], sm.tokens[i] = sm.now.Add(reply.HoldTerm+reply.HoldTerm/driftShare), ho.FencingToken
			}
		}
	}
}

func (sm *serverModel) successors() []*serverModel {
	var all []*serverModel
	add := func(name string, do func(ne *serverModel)) { all = append(all, sm.next(name, do)) }
	if sm.now < exploreEnd {
		add("time passes", func(ne *serverModel) { ne.now = ne.now.Add(timer.Second) })
	}
	if sm.wanted > 1 {
		add("range 0 moves away", func(ne *serverModel) { ne.wanted = 1 })
	}
	if sm.late < maxLateHeartbeats {
		for i, hb := range sm.delayed {
			add(fmt.Sprintf("late heartbeat %d of run %d", hb.Sequence, hb.StartedAt), func(ne *serverModel) {
				ne.late++
				ne.delayed = slices.Delete(ne.delayed, i, i+1)
				ne.answer(hb)
			})
		}
	}
	if !sm.isUp {
		add("a connection is refused", func(ne *serverModel) { ne.re.MarkDown(ne.now, ne.now) })
		add("the server starts", func(ne *serverModel) { ne.isUp, ne.run, ne.sequence = true, ne.run+1, 0 })
		return all
	}
	if sm.beats < maxHeartbeats {
		add("heartbeat", func(ne *serverModel) { ne.take(ne.answer(ne.heartbeat())) })
		add("heartbeat, reply lost", func(ne *serverModel) { ne.answer(ne.heartbeat()) })
	}
	if sm.crashes < maxCrashes {
		add("the server crashes", func(ne *serverModel) {
			ne.crashes++
			ne.isUp, ne.heldUntil = false, [2]timer.Instant{}
		})
	}
	return all
}

// TestHeartbeatsNeverFreeAHeldRange explores every order of heartbeats, delays, lost
// replies, crashes and refused connections at an instance that has just started. It guards
// against two servers that hold the same keys.
func TestHeartbeatsNeverFreeAHeldRange(t *testing.T) {
	states := 0
	for _, hasRestarted := range []bool{false, true} {
		for _, wanted := range []int{0, 2} {
			queue := []*serverModel{newServerModel(t, wanted, hasRestarted)}
			seen := map[string]bool{}
			for len(queue) > 0 {
				sm := queue[len(queue)-1]
				queue = queue[:len(queue)-1]
				if seen[sm.key()] {
					continue
				}
				seen[sm.key()] = true
				if sm.re.IsFree(0, sm.now) && sm.now.Before(sm.heldUntil[0]) {
					t.Fatalf("free at %.1fs, held until %.1fs: %q", float64(sm.now)/float64(second), float64(sm.heldUntil[0])/float64(second), sm.path)
				}
				queue = append(queue, sm.successors()...)
			}
			states += len(seen)
		}
	}
	t.Logf("%d states", states)
}
