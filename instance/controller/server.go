package controller

import (
	"context"

	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
)

const (
	// acquireReplyTimeout bounds how long the reply to a heartbeat is delayed until
	// pending partitions are acquired: the server gives up on a reply after 1 s.
	acquireReplyTimeout = 600 * timer.Millisecond
	// storeReplyTimeout bounds how long the reply to a heartbeat of a leaving server is
	// delayed until the instance's row says that the server is leaving.
	storeReplyTimeout = 800 * timer.Millisecond
	// drainReplyTimeout bounds how long the reply to a server's first draining
	// heartbeat is delayed until the maps assign its keys to others, so that the
	// reply can exclude them. The calls to the table take about half of it.
	drainReplyTimeout = 400 * timer.Millisecond
	// firstHeartbeatTimeout is how long joining waits for the server's first
	// heartbeat: three of the usual intervals of 1 s.
	firstHeartbeatTimeout = 3 * timer.Second
	// holdMargin is subtracted from a hold to allow for the time since the server
	// sent the heartbeat.
	holdMargin = 20 * timer.Millisecond
)

// delayedReply is a heartbeat's reply that is delayed until replyAt or until the
// partitions that it should list are known.
type delayedReply struct {
	reply     chan<- registrar.Reply
	abandoned <-chan struct{}
	replyAt   timer.Instant
	// awaitsKeys means that the reply is delayed until the server can be granted its keys.
	awaitsKeys bool
	// storeBy is until when the reply waits for the server's leaving to be stored.
	storeBy timer.Instant
}

// isAbandoned reports whether the caller no longer waits for the reply.
func (dr *delayedReply) isAbandoned() bool {
	select {
	case <-dr.abandoned:
		return true
	default:
		return false
	}
}

// Heartbeat handles a heartbeat of this instance's backend server and returns the
// partitions that the server may hold. The reply may be delayed by up to
// acquireReplyTimeout. A heartbeat that is out of order, or that a later one
// overtakes, gets an empty reply.
func (co *Controller) Heartbeat(ctx context.Context, hb registrar.Heartbeat) (registrar.Reply, error) {
	reply := make(chan registrar.Reply, 1)
	return call(ctx, co, reply, heartbeatReceived{heartbeat: hb, reply: reply, abandoned: ctx.Done()})
}

// DeregisterServer records that the run of the backend server with this ID ends, and
// returns once the instance's row says so. It reports whether that is the current run.
func (co *Controller) DeregisterServer(ctx context.Context, id string) (bool, error) {
	reply := make(chan bool, 1)
	return call(ctx, co, reply, serverDeregistered{id: id, reply: reply})
}

// ReportConnectionRefused reports that the backend server's address refused a
// connection that was attempted at attemptedAt, so no process listened there. The report is
// dropped if the event queue is full, and ignored if the server sends no heartbeats.
func (co *Controller) ReportConnectionRefused(attemptedAt timer.Instant) {
	if co.re == nil {
		return
	}
	select {
	case co.events <- connectionRefused{attemptedAt: attemptedAt}:
	default:
	}
}

// ReportServerLeaving reports that the start of the backend server with this id announced
// its end in an answer. The report is dropped if the event queue is full, and ignored if
// the server sends no heartbeats.
func (co *Controller) ReportServerLeaving(id string) {
	if co.re == nil {
		return
	}
	select {
	case co.events <- serverDeregistered{id: id}:
	default:
	}
}

// isServerKnown reports whether the backend server's state is known, or no heartbeat
// arrived within firstHeartbeatTimeout, so that it is considered absent. A server that
// announces its end may send no heartbeat any more.
func (co *Controller) isServerKnown(now timer.Instant) bool {
	return co.re == nil || co.re.State(now) != registrar.Unknown || co.re.HasLeaveNotice() || now.Sub(co.startedAt) > firstHeartbeatTimeout
}

// tracksHolds reports whether the backend server holds partitions of the service, by
// replies to its heartbeats or by calls to it.
func (co *Controller) tracksHolds(service string) bool {
	return co.re != nil && service == co.self.Service
}

func (co *Controller) resizeRegistrar(service string, tb *placer.Table) {
	if !co.tracksHolds(service) {
		return
	}
	ranges := make([]placer.Range, tb.Map.Partitions)
	for pt := range tb.Map.Partitions {
		ranges[pt], _ = tb.Range(pt)
	}
	co.re.SetRanges(ranges)
}

func (co *Controller) onHeartbeat(ev heartbeatReceived, now timer.Instant) {
	hb := ev.heartbeat
	former, _ := co.re.LatestHeartbeat()
	if !co.re.IsDuplicate(hb) && !co.re.ApplyHeartbeat(hb, now) {
		co.lo.Warn("heartbeat out of order, ignored", "server", hb.ID, "sequence", hb.Sequence)
		if !hb.IsDraining || co.mayAcknowledge() {
			ev.reply <- registrar.Reply{}
		}
		return
	}
	if former.Run() != hb.Run() {
		co.serverSince = now
		co.withdrawOrderedHolds()
	}
	if ow := co.ownerships[co.self.Service]; ow != nil {
		co.acquireHeld(ow)
	}
	if co.heldHeartbeat != nil && co.mayAcknowledge() {
		co.heldHeartbeat.reply <- registrar.Reply{}
	}
	co.heldHeartbeat = nil
	wasDraining := co.server == registrar.Draining
	co.updateServerState(now)
	co.heldHeartbeat = &delayedReply{reply: ev.reply, abandoned: ev.abandoned, replyAt: now, storeBy: now.Add(storeReplyTimeout)}
	co.updateRow(now)
	switch {
	case co.usesOrders():
	case hb.IsDraining && !wasDraining:
		co.heldHeartbeat.replyAt = now.Add(drainReplyTimeout)
	case !hb.IsDraining && (co.isAcquiring() || !hb.OmitsHolds && !co.mayGrant(now)):
		co.heldHeartbeat.replyAt, co.heldHeartbeat.awaitsKeys = now.Add(acquireReplyTimeout), true
	}
	co.replyIfDue(now)
}

// replyIfDraining replies to the held heartbeat of a draining server once the maps
// assign its keys to others. The reply excludes these keys.
func (co *Controller) replyIfDraining(ow *ownership) {
	if co.heldHeartbeat != nil && co.tracksHolds(ow.service) && co.server == registrar.Draining && len(ow.releasing) > 0 {
		co.heldHeartbeat.replyAt = 0
		co.replyIfDue(co.pu.Now())
	}
}

// isAcquiring reports whether partitions of this instance's service are pending.
func (co *Controller) isAcquiring() bool {
	ow := co.ownerships[co.self.Service]
	return ow != nil && len(ow.pending) > 0
}

// mayGrant reports whether this instance has a lease and is a member of the map of its
// service, so that it knows which partitions it is to serve.
func (co *Controller) mayGrant(now timer.Instant) bool {
	tb := co.ds.tables[co.self.Service]
	if tb == nil || !now.Before(co.ho.Deadline()) {
		return false
	}
	_, ok := tb.Map.ByIncarnation(co.self.Incarnation)
	return ok
}

// replyIfAcquired replies to a held heartbeat that awaits keys once this instance has its
// lease and no partition is pending.
func (co *Controller) replyIfAcquired(now timer.Instant) {
	if co.heldHeartbeat == nil || !co.heldHeartbeat.awaitsKeys || !co.mayGrant(now) || co.isAcquiring() {
		return
	}
	co.heldHeartbeat.replyAt = 0
	co.replyIfDue(now)
}

// replyIfDue replies to the held heartbeat, when that is due, with all partitions
// that the server may hold from now on. Partitions being released are excluded and
// get no new work. If the caller no longer waits, nothing is granted.
func (co *Controller) replyIfDue(now timer.Instant) {
	if co.heldHeartbeat == nil || now.Before(co.heldHeartbeat.replyAt) {
		return
	}
	if co.heldHeartbeat.isAbandoned() {
		co.heldHeartbeat = nil
		return
	}
	if !co.mayAcknowledge() {
		co.awaitStoredLeaving(now)
		return
	}
	reply := co.heldHeartbeat.reply
	co.heldHeartbeat = nil
	ow := co.ownerships[co.self.Service]
	if ow == nil || co.usesOrders() {
		reply <- registrar.Reply{}
		return
	}
	for pt := range ow.releasing {
		co.drop(ow, pt)
	}
	wanted := co.wantedPartitions(ow)
	answer, granted := co.re.Grant(wanted, co.ho.Deadline(), now)
	for _, pt := range granted {
		co.pu.SetHeldUntil(ow.service, pt, now.Add(answer.HoldTerm-holdMargin))
	}
	if len(granted) < len(wanted) {
		co.lo.Warn("heartbeat reply grants only part of the partitions", "wanted", len(wanted), "granted", len(granted), "leaseLeft", timer.Left(co.ho.Deadline(), now))
	}
	reply <- answer
}

func (co *Controller) onConnectionRefused(ev connectionRefused, now timer.Instant) {
	switch co.re.State(now) {
	case registrar.Unknown, registrar.Down, registrar.Draining:
		return
	}
	if !co.re.MarkDown(ev.attemptedAt, now) {
		return
	}
	co.withdrawOrderedHolds()
	ow := co.ownerships[co.self.Service]
	if ow != nil {
		for pt := range ow.releasing {
			co.drop(ow, pt)
		}
	}
	co.updateServerState(now)
}

// updateServerState publishes the state of the backend server, logs its changes and
// replies to a held heartbeat that is due.
func (co *Controller) updateServerState(now timer.Instant) {
	if co.re == nil {
		return
	}
	state := co.re.State(now)
	hb, heardAt := co.re.LatestHeartbeat()
	if state != co.server {
		co.lo.Info("backend server state", "server", hb.ID, "from", co.server.String(), "to", state.String(),
			"sequence", hb.Sequence, "heardAgo", now.Sub(heardAt).Duration().String(), "coldFor", hb.ColdRemaining.Duration().String())
		if state == registrar.Draining {
			co.refuseAt = now.Add(registrar.DrainServeSpan)
		}
		if state == registrar.Draining && co.server == registrar.Unknown {
			// A former instance may have acknowledged it long ago.
			co.refuseAt = now
		}
		co.server = state
		co.nextRowUpdateAt = now
	}
	co.replyIfDue(now)
	co.pu.SetBackendServer(co.describeServer(hb, heardAt, state))
}

func (co *Controller) describeServer(hb registrar.Heartbeat, heardAt timer.Instant, state registrar.State) publisher.BackendServer {
	bs := publisher.BackendServer{ID: hb.ID, StartedAt: hb.StartedAt, Version: hb.Version, Since: co.serverSince, Slots: hb.Slots, LastHeartbeatAt: heardAt}
	if hb.ColdRemaining > 0 {
		bs.ColdUntil = heardAt.Add(hb.ColdRemaining)
	}
	if state == registrar.Draining {
		bs.RefuseAt = co.refuseAt
	}
	return bs
}

// updateRow rewrites this instance's row when its weight has changed, or when it does not
// say of every leaving run of the backend server that it leaves.
func (co *Controller) updateRow(now timer.Instant) {
	isReady := co.isJoined && !co.isWritingRow && !co.isJoining && !co.isRowLost() && (co.stopping == nil || co.stopping.takesWrites())
	weight, version := co.weight(), co.ownVersion()
	isWeightDue := co.stopping == nil && (weight != co.writtenWeight || version != co.writtenVersion) || !co.isLeavingStored()
	isSpeedDue := co.isSpeedDue(now)
	isDue := isWeightDue || isSpeedDue
	if co.re == nil || !isReady || !isDue || now.Before(co.nextRowUpdateAt) {
		return
	}
	co.nextRowUpdateAt = now.Add(joinBackoff)
	co.isWritingRow = true
	former, formerSpeed, formerVersion, delay := co.writtenWeight, co.writtenSpeed, co.writtenVersion, timer.Span(0)
	co.writtenWeight, co.writtenVersion = weight, version
	if isSpeedDue {
		co.writtenSpeed, co.nextSpeedAt = co.wantedSpeed(), now.Add(speedInterval)
	}
	if !isWeightDue {
		delay = co.speedFoldDelay()
	}
	ir := co.instanceRow(weight)
	ir.IsStopping = co.stopping != nil
	ir.Lease = co.ho.Committed()
	co.lo.Info("updating member row", "weight", weight, "speed", co.writtenSpeed, "server", co.server.String(), "leaving", len(ir.Leaving))
	co.spawn(func(ctx context.Context) event {
		found, err := co.tableStore.writeRow(ctx, ir)
		ev := newRowCommitted(found, ir.Lease.Incarnation, err)
		ev.affectsMaps, ev.isWeightChange, ev.foldDelay = true, true, delay
		ev.formerWeight, ev.formerSpeed, ev.formerVersion = former, formerSpeed, formerVersion
		return ev
	})
}

// isReleasable reports whether a partition is not served here, no work runs on it
// and the backend server provably doesn't hold it.
func (co *Controller) isReleasable(service string, pt uint32) bool {
	if !co.pu.IsIdle(service, pt) || co.pu.Epoch(service, pt) != 0 {
		return false
	}
	return !co.mayServerHold(service, pt, co.pu.Now())
}

// mayServerHold reports whether the backend server may hold a partition, by a grant of this
// instance or of a former one on this VM.
func (co *Controller) mayServerHold(service string, pt uint32, now timer.Instant) bool {
	if !co.tracksHolds(service) || co.re.IsFree(pt, now) {
		return false
	}
	if tb := co.ds.tables[service]; tb != nil && !tb.OwnedByFormer(pt, co.self.BackendServer, co.self.Incarnation) {
		co.re.ExcludeFormer(pt)
	}
	return co.re.MayHold(pt, now)
}

// handoverOf returns the hand-over value that the backend server gave when it
// freed a partition, "" if there is none.
func (co *Controller) handoverOf(service string, pt uint32) string {
	if !co.tracksHolds(service) {
		return ""
	}
	return co.re.ReleasedHandover(pt)
}

// serverHolds reports whether the backend server may hold any partition of the
// service.
func (co *Controller) serverHolds(ow *ownership) bool {
	now := co.pu.Now()
	for pt := range co.ds.tables[ow.service].Map.Partitions {
		if co.mayServerHold(ow.service, pt, now) {
			return true
		}
	}
	return false
}
