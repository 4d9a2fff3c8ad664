package controller

import (
	"slices"
	"time"

	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
	"cornellanding.example/port/tabler"
)

const (
	// maxDeregistrations bounds the calls of the backend server that wait for their reply.
	// Further ones get none.
	maxDeregistrations = 16
	// shareTimeout bounds how long a reply waits until a peer knows what the row says. Servers
	// wait for a second.
	shareTimeout = timer.Second / 2
	// shareInterval separates the renewals that find out whether a peer does.
	shareInterval = 40 * timer.Millisecond
)

// onServerDeregistered records the end of a run of the backend server. The reply is an
// acknowledgement, which binds the instances after this one, so it waits for the row, and for
// a peer that knows if the table may lose the row.
func (co *Controller) onServerDeregistered(ev serverDeregistered, now timer.Instant) {
	isPresent := co.re.MarkLeaving(ev.id, time.Now().UnixMilli(), now)
	co.updateServerState(now)
	co.join(now)
	co.updateRow(now)
	if ev.reply != nil && len(co.deregistrations) < maxDeregistrations {
		co.deregistrations = append(co.deregistrations, deregistration{isPresent: isPresent, shareBy: now.Add(shareTimeout), reply: ev.reply})
	}
	co.replyToDeregistrations(now)
}

// deregistration is a call of the backend server that waits for its reply. From shareBy on,
// the row alone permits it.
type deregistration struct {
	isPresent bool
	shareBy   timer.Instant
	reply     chan<- bool
}

// replyToDeregistrations gives the replies that are permitted.
func (co *Controller) replyToDeregistrations(now timer.Instant) {
	if len(co.deregistrations) == 0 || !co.isLeavingStored() {
		return
	}
	isShared := co.isLeavingShared()
	if !isShared {
		co.nextRenewAt = min(co.nextRenewAt, now.Add(shareInterval))
	}
	co.deregistrations = slices.DeleteFunc(co.deregistrations, func(de deregistration) bool {
		isPermitted := isShared || !now.Before(de.shareBy)
		if isPermitted {
			de.reply <- de.isPresent
		}
		return isPermitted
	})
}

// onDocumentsShared records that a peer has the same documents. One in the same data centre
// counts only if there is no other, since a whole data centre may end at once.
func (co *Controller) onDocumentsShared(peer placer.Member, now timer.Instant) {
	isElsewhere := func(me placer.Member) bool { return me.DataCentre != co.self.DataCentre }
	if isElsewhere(peer) || !slices.ContainsFunc(co.ds.members(), isElsewhere) {
		co.sharedHash = co.ds.hash
		co.replyToDeregistrations(now)
	}
}

// isLeavingShared reports whether a peer has the map that lists every leaving run of the backend
// server, so that they are known even if the table loses the row. A table without eras loses
// nothing.
func (co *Controller) isLeavingShared() bool {
	if _, ok := co.tableStore.table.(tabler.EraSource); !ok {
		return true
	}
	tb := co.ds.tables[co.self.Service]
	if tb == nil || co.sharedHash != co.ds.hash {
		return false
	}
	me, _ := tb.Map.Member(co.self.BackendServer)
	return listsRuns(me, co.leavingRuns())
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
	return hb.Run()
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
	co.replyToDeregistrations(co.pu.Now())
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
