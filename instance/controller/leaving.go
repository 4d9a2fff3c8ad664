package controller

import (
	"slices"
	"time"

	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
)

// maxDeregistrations bounds the calls of the backend server that wait for the row of this
// instance to be written. Further ones get no reply.
const maxDeregistrations = 16

// onServerDeregistered records the end of a run of the backend server. The reply is an
// acknowledgement, which binds the instances after this one, so it waits for the row.
func (co *Controller) onServerDeregistered(ev serverDeregistered, now timer.Instant) {
	isPresent := co.re.MarkLeaving(ev.id, time.Now().UnixMilli(), now)
	co.updateServerState(now)
	co.join(now)
	co.updateRow(now)
	switch {
	case ev.reply == nil:
	case co.isLeavingStored():
		ev.reply <- isPresent
	case len(co.deregistrations) < maxDeregistrations:
		co.deregistrations = append(co.deregistrations, deregistration{isPresent: isPresent, reply: ev.reply})
	}
}

// deregistration is a call of the backend server that waits for the row to be written.
type deregistration struct {
	isPresent bool
	reply     chan<- bool
}

// leavingRuns returns the runs of the backend server that have announced their end, which
// the row of this instance must list.
func (co *Controller) leavingRuns() []registrar.ServerRun {
	if co.re == nil {
		return nil
	}
	return co.re.Leaving()
}

// heardRun returns the run of the backend server that sent the latest heartbeat, or a zero
// ServerRun.
func (co *Controller) heardRun() registrar.ServerRun {
	if co.re == nil {
		return registrar.ServerRun{}
	}
	hb, _ := co.re.LatestHeartbeat()
	return registrar.ServerRun{ID: hb.ID, StartedAt: hb.StartedAt}
}

// isLeavingStored reports whether the row as last committed lists every leaving run of the
// backend server.
func (co *Controller) isLeavingStored() bool {
	for _, ru := range co.leavingRuns() {
		if !slices.Contains(co.storedLeaving, ru) {
			return false
		}
	}
	return true
}

// mayAcknowledge reports whether the latest heartbeat may be replied to: the row must list
// its run if that is leaving.
func (co *Controller) mayAcknowledge() bool {
	return !co.re.IsLeaving(co.pu.Now()) || registrar.HasLeft(co.storedLeaving, co.heardRun())
}

// recordStoredLeaving records the leaving runs in the row as committed, and gives the
// replies that waited for them.
func (co *Controller) recordStoredLeaving(runs []registrar.ServerRun) {
	co.storedLeaving = runs
	if co.isLeavingStored() {
		for _, de := range co.deregistrations {
			de.reply <- de.isPresent
		}
		co.deregistrations = nil
	}
	if co.heldHeartbeat != nil && co.heldHeartbeat.replyAt == co.heldHeartbeat.storeBy && co.mayAcknowledge() {
		co.heldHeartbeat.replyAt = 0
		co.replyIfDue(co.pu.Now())
	}
}

// awaitStoredLeaving delays the reply to the held heartbeat until the row is written, or
// gives up on it. Without a reply the server repeats what it said.
func (co *Controller) awaitStoredLeaving(now timer.Instant) {
	if now.Before(co.heldHeartbeat.storeBy) {
		co.heldHeartbeat.replyAt = co.heldHeartbeat.storeBy
		return
	}
	co.lo.Warn("heartbeat of a leaving backend server not acknowledged: the member row is not written", "isJoined", co.isJoined,
		"tableError", co.tableError)
	co.heldHeartbeat = nil
}

// recallLeaving applies what the maps say of leaving runs of the backend server and this
// instance doesn't know, since the row of a former instance was lost.
func (co *Controller) recallLeaving(now timer.Instant) {
	tb := co.ds.tables[co.self.Service]
	if tb == nil || co.re == nil {
		return
	}
	me, _ := tb.Map.Member(co.self.BackendServer)
	known := co.leavingRuns()
	if me.Leaving == "" || len(known) >= registrar.MaxNotices {
		return
	}
	lost := registrar.ParseRuns(me.Leaving)
	lost = slices.DeleteFunc(lost, func(ru registrar.ServerRun) bool { return slices.Contains(known, ru) })
	// A notice of unknown start is dropped once it is bound to a run.
	lost = slices.DeleteFunc(lost, func(ru registrar.ServerRun) bool { return ru.StartedAt == 0 && registrar.HasID(known, ru.ID) })
	if len(lost) > 0 {
		co.lo.Warn("leaving runs of the backend server recalled from the maps", "runs", registrar.FormatRuns(lost))
		co.restoreLeaving(lost, now)
	}
}

// restoreLeaving applies what the former instance recorded of leaving servers. A server
// that it acknowledged gets no new requests from this instance at all.
func (co *Controller) restoreLeaving(runs []registrar.ServerRun, now timer.Instant) {
	if co.re == nil || len(runs) == 0 {
		return
	}
	co.re.RestoreLeaving(runs, now)
	if co.re.State(now) == registrar.Draining {
		// What this instance heard of the server so far was older.
		co.server = registrar.Unknown
	}
	co.updateServerState(now)
}
