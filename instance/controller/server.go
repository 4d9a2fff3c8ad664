package controller

import (
	"context"

	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
)

const (
	// replyPatience is how long the reply to a heartbeat waits for partitions
	// that are about to be obtained: the server takes no reply after a second.
	replyPatience = 600 * timer.Millisecond
	// drainPatience is how long the reply to a server's word that it leaves waits
	// for the maps to give its keys to others, so that the reply can leave them
	// out. Some calls to the table take about half of it.
	drainPatience = 400 * timer.Millisecond
	// serverPatience is how long joining waits for the server's first
	// heartbeat: three of the usual second.
	serverPatience = 3 * timer.Second
	// drainServing is how long a leaving server still gets work after its word
	// was acknowledged, so that its keys can move first.
	drainServing = 1200 * timer.Millisecond
	// heldMargin is taken off a hold for the time since the server sent the
	// heartbeat.
	heldMargin = 20 * timer.Millisecond
)

// openHeartbeat is a heartbeat that waits for its reply.
type openHeartbeat struct {
	reply   chan<- registrar.Reply
	gone    <-chan struct{}
	replyAt timer.Instant
}

// isGone reports whether nobody waits for the reply any more.
func (oh *openHeartbeat) isGone() bool {
	select {
	case <-oh.gone:
		return true
	default:
		return false
	}
}

// Heartbeat takes a heartbeat of the backend server beside the instance and
// returns what the server is to hold.
func (co *Controller) Heartbeat(ctx context.Context, hb registrar.Heartbeat) (registrar.Reply, error) {
	reply := make(chan registrar.Reply, 1)
	return ask(ctx, co, reply, heartbeatArrived{heartbeat: hb, reply: reply, gone: ctx.Done()})
}

// DeregisterServer takes the word of a start of the backend server that it leaves.
// It reports whether that is the present start.
func (co *Controller) DeregisterServer(ctx context.Context, id string) (bool, error) {
	reply := make(chan bool, 1)
	return ask(ctx, co, reply, serverLeft{id: id, reply: reply})
}

// ReportConnectionRefused takes the evidence that nothing listens at the backend server's
// address.
func (co *Controller) ReportConnectionRefused() {
	if co.re == nil {
		return
	}
	select {
	case co.events <- serverRefused{}:
	default:
	}
}

// isServerKnown reports whether the backend server's state is known, or nothing
// was heard for so long that it is taken to be absent.
func (co *Controller) isServerKnown(now timer.Instant) bool {
	return co.re == nil || co.re.State(now) != registrar.Unknown || now.Sub(co.startedAt) > serverPatience
}

// isToldHolds reports whether the backend server is told which partitions of
// the service it holds.
func (co *Controller) isToldHolds(service string) bool {
	return co.re != nil && service == co.self.Service
}

func (co *Controller) resizeRegistrar(service string, tb *placer.Table) {
	if !co.isToldHolds(service) {
		return
	}
	ranges := make([]placer.Range, tb.Map.Partitions)
	for pt := range tb.Map.Partitions {
		ranges[pt], _ = tb.Range(pt)
	}
	co.re.SetRanges(ranges)
}

func (co *Controller) onHeartbeat(ev heartbeatArrived, now timer.Instant) {
	hb := ev.heartbeat
	if !co.re.IsDuplicate(hb) && !co.re.ApplyHeartbeat(hb, now) {
		co.lo.Warn("heartbeat out of order", "server", hb.ID, "sequence", hb.Sequence)
		ev.reply <- registrar.Reply{}
		return
	}
	if co.open != nil {
		co.open.reply <- registrar.Reply{}
		co.open = nil
	}
	wasDraining := co.server == registrar.Draining
	co.reviewServer(now)
	co.open = &openHeartbeat{reply: ev.reply, gone: ev.gone, replyAt: now}
	switch {
	case hb.IsDraining && !wasDraining:
		co.open.replyAt = now.Add(drainPatience)
	case !hb.IsDraining && co.isAboutToObtain():
		co.open.replyAt = now.Add(replyPatience)
	}
	co.replyIfDue(now)
}

// replyIfLeft answers the open heartbeat of a leaving server once the maps give
// its keys to others: the reply leaves them out.
func (co *Controller) replyIfLeft(te *tenure) {
	if co.open != nil && co.isToldHolds(te.service) && co.server == registrar.Draining && len(te.leaving) > 0 {
		co.open.replyAt = 0
		co.replyIfDue(co.pu.Now())
	}
}

// isAboutToObtain reports whether partitions of the own service are pending.
func (co *Controller) isAboutToObtain() bool {
	te := co.tenures[co.self.Service]
	return te != nil && len(te.pending) > 0
}

// replyIfComplete answers the open heartbeat once nothing is pending.
func (co *Controller) replyIfComplete(te *tenure) {
	if co.open != nil && co.isToldHolds(te.service) && len(te.pending) == 0 {
		co.open.replyAt = 0
		co.replyIfDue(co.pu.Now())
	}
}

// replyIfDue answers the open heartbeat: with all that the server is to hold
// from now on. What is leaving is left out, and gets no new work from here on. A
// reply that nobody takes grants nothing.
func (co *Controller) replyIfDue(now timer.Instant) {
	if co.open == nil || now.Before(co.open.replyAt) {
		return
	}
	if co.open.isGone() {
		co.open = nil
		return
	}
	reply := co.open.reply
	co.open = nil
	te := co.tenures[co.self.Service]
	if te == nil {
		reply <- registrar.Reply{}
		return
	}
	for pt := range te.leaving {
		co.drop(te, pt)
	}
	var wanted []registrar.WantedPartition
	for _, pt := range co.ds.tables[te.service].OwnedBy(co.self.Incarnation) {
		if epoch := co.pu.Epoch(te.service, pt); epoch != 0 {
			wanted = append(wanted, registrar.WantedPartition{Partition: pt, Epoch: epoch})
		}
	}
	answer, granted := co.re.Grant(wanted, co.ho.Deadline(), now)
	for _, pt := range granted {
		co.pu.SetHeldUntil(te.service, pt, now.Add(answer.HoldTerm-heldMargin))
	}
	if len(granted) < len(wanted) {
		co.lo.Warn("not all keys granted", "wanted", len(wanted), "granted", len(granted), "leaseLeft", co.ho.Deadline().Sub(now).Duration().String())
	}
	reply <- answer
}

func (co *Controller) onServerLeft(ev serverLeft, now timer.Instant) bool {
	isPresent := co.re.MarkLeaving(ev.id)
	co.reviewServer(now)
	return isPresent
}

func (co *Controller) onServerRefused(now timer.Instant) {
	switch co.re.State(now) {
	case registrar.Unknown, registrar.Down, registrar.Draining:
		return
	}
	co.re.MarkDown()
	te := co.tenures[co.self.Service]
	if te != nil {
		for pt := range te.leaving {
			co.drop(te, pt)
		}
	}
	co.reviewServer(now)
}

// reviewServer publishes what is known of the backend server, and logs when
// that changes.
func (co *Controller) reviewServer(now timer.Instant) {
	if co.re == nil {
		return
	}
	state := co.re.State(now)
	hb, heardAt := co.re.LatestHeartbeat()
	if state != co.server {
		co.lo.Info("backend server state", "server", hb.ID, "from", co.server.String(), "to", state.String(),
			"sequence", hb.Sequence, "heardAgo", now.Sub(heardAt).Duration().String(), "coldFor", hb.ColdRemaining.Duration().String())
		if state == registrar.Draining {
			co.drainAckAt = now
		}
		co.server = state
		co.nextAnnounceAt = now
	}
	co.replyIfDue(now)
	co.pu.SetBackendServer(co.describe(hb, heardAt, state))
}

func (co *Controller) describe(hb registrar.Heartbeat, heardAt timer.Instant, state registrar.State) publisher.BackendServer {
	bs := publisher.BackendServer{ID: hb.ID, Slots: hb.Slots, LastHeartbeatAt: heardAt}
	if hb.ColdRemaining > 0 {
		bs.ColdUntil = heardAt.Add(hb.ColdRemaining)
	}
	if state == registrar.Draining {
		bs.RefuseAt = co.drainAckAt.Add(drainServing)
	}
	return bs
}

// announce writes the own row when the weight that it names is no longer right.
func (co *Controller) announce(now timer.Instant) {
	isReady := co.isJoined && !co.isRewatching && !co.isJoining && co.leave == nil
	weight := co.weight()
	if co.re == nil || !isReady || weight == co.writtenWeight || now.Before(co.nextAnnounceAt) {
		return
	}
	co.nextAnnounceAt = now.Add(joinBackoff)
	co.isRewatching = true
	former := co.writtenWeight
	co.writtenWeight = weight
	an := co.announcement(weight)
	an.Lease = co.ho.Committed()
	co.lo.Info("weight changes", "weight", weight, "server", co.server.String())
	co.spawn(func(ctx context.Context) event {
		found, err := co.ledger.writeRow(ctx, an)
		return rowCommitted{
			row: found.Lease, err: err, isReport: true, isWeight: true, formerWeight: former,
			isEnded: isOver(found),
		}
	})
}

// isReleasable reports whether nothing of a partition runs here and the backend
// server doesn't hold it.
func (co *Controller) isReleasable(service string, pt uint32) bool {
	if !co.pu.IsIdle(service, pt) || co.pu.Epoch(service, pt) != 0 {
		return false
	}
	if !co.isToldHolds(service) {
		return true
	}
	return co.re.IsFree(pt, co.pu.Now())
}

// handover returns the backend server's word for a partition.
func (co *Controller) handover(service string, pt uint32) string {
	if !co.isToldHolds(service) {
		return ""
	}
	return co.re.ReleasedHandover(pt)
}

// isServerHolding reports whether the server may hold anything of the tenure.
func (co *Controller) isServerHolding(te *tenure) bool {
	if !co.isToldHolds(te.service) {
		return false
	}
	now := co.pu.Now()
	for pt := range co.ds.tables[te.service].Map.Partitions {
		if co.re.MayHold(pt, now) {
			return true
		}
	}
	return false
}
