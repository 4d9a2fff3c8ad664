package controller

import (
	"context"
	"net/netip"
	"slices"

	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/peerproto"
	"google.golang.org/protobuf/proto"
)

// renew sends a lease renewal to each watcher when one is due.
func (co *Controller) renew(now timer.Instant) {
	if !co.isJoined || now.Before(co.nextRenewAt) {
		return
	}
	co.nextRenewAt = now.Add(renewInterval)
	re := co.ho.Renewal(now)
	for _, wt := range co.ho.Targets() {
		if me, ok := co.ds.member(wt.Incarnation); ok {
			co.send(me, &peerproto.Datagram{RenewalSentAt: toWireTime(re.SentAt), Echo: co.ackClocks[wt.Incarnation]}, now)
		}
	}
}

func (co *Controller) send(to placer.Member, da *peerproto.Datagram, now timer.Instant) {
	if address, err := netip.ParseAddrPort(to.Address); err == nil {
		co.sendTo(address, to.Incarnation, da, now)
	}
}

// sendTo completes a datagram with its sender, its recipient, the documents' hash and,
// in an acknowledgement or an echo, the freshness report, and sends it. Errors are
// logged only, since datagrams may be lost anyway.
func (co *Controller) sendTo(address netip.AddrPort, incarnation uint64, da *peerproto.Datagram, now timer.Instant) {
	da.From, da.To = co.self.Incarnation, uint32(incarnation)
	da.Documents = co.ds.hash
	if da.GetAckSentAt() != 0 || da.GetEcho() != 0 {
		co.addFreshnessReport(da, now)
	}
	if err := co.sender.Send(address, da); err != nil {
		co.lo.Trace("failed to send datagram", "to", address, "error", err)
	}
}

// toWireTime returns an instant in milliseconds plus 1, since 0 means absent. It
// rounds down, so that the lease counts from no later than the renewal was sent.
func toWireTime(at timer.Instant) uint64 {
	return uint64(at)/uint64(timer.Millisecond) + 1
}

func fromWireTime(ms uint64) timer.Instant {
	return timer.Instant((ms - 1) * uint64(timer.Millisecond))
}

// wireClock returns the low 32 bits of an instant in milliseconds, and 1 instead of
// 0, which means absent.
func wireClock(at timer.Instant) uint32 {
	return max(1, uint32(uint64(at)/uint64(timer.Millisecond)))
}

// onDatagram handles a peer's datagram. Renewals are acknowledged whether or not
// the maps name the sender: a new instance is not in them yet, and a revoked one
// must learn that it was revoked.
func (co *Controller) onDatagram(da *peerproto.Datagram, address netip.AddrPort) {
	now := co.pu.Now()
	if da.GetTo() != uint32(co.self.Incarnation) {
		// The peer still addresses a former incarnation on this VM. It can supply
		// the documents, even while the table is unreachable.
		if !co.isJoined && co.ds.config.Version == 0 && da.GetDocuments() != co.ds.hash {
			co.fetchFrom(placer.Member{Incarnation: da.GetFrom(), Address: address.String()})
		}
		return
	}
	if da.GetDismissed() {
		co.wa.Dismiss(da.GetFrom())
	}
	if da.GetPoll() {
		co.pollUntil = now.Add(delegatedPollSpan)
	}
	if da.GetSuspect() != 0 {
		co.suspectHandler(da.GetSuspect(), da.GetSuspectRun())
	}
	if da.GetCleared() != 0 {
		co.onCleared(da.GetCleared())
	}
	if da.GetAckSentAt() != 0 {
		co.ho.Acknowledge(leaser.Ack{
			Watcher: da.GetFrom(), Holder: co.self.Incarnation,
			SentAt: fromWireTime(da.GetAckSentAt()), Revoked: da.GetRevoked(),
		})
		co.mergeFreshness(da, fromWireTime(da.GetAckSentAt()))
		co.ackClocks[da.GetFrom()] = da.GetClock()
	}
	if da.GetEcho() != 0 {
		co.mergeFreshness(da, now.Add(-timer.Span(wireClock(now)-da.GetEcho())*timer.Millisecond))
	}
	if da.GetRenewalSentAt() != 0 {
		co.acknowledge(da, address, now)
	}
	from, isKnown := co.ds.member(da.GetFrom())
	switch {
	case da.GetDocuments() == co.ds.hash:
		if isKnown {
			co.onDocumentsShared(from, now)
		}
	case isKnown:
		co.fetchFrom(from)
	case co.configs != nil:
		co.fetchFrom(placer.Member{Incarnation: da.GetFrom(), Address: address.String()})
	default:
		co.requestMapRead(now)
	}
}

// broadcast sends a copy of a datagram to every other instance.
func (co *Controller) broadcast(da *peerproto.Datagram, now timer.Instant) {
	for _, me := range co.ds.members() {
		if me.Incarnation != co.self.Incarnation {
			co.send(me, proto.Clone(da).(*peerproto.Datagram), now)
		}
	}
}

// acknowledge records a renewal and replies to it. The watcher's promise counts
// from now rather than from the datagram's arrival: the later instant is the safe
// one.
func (co *Controller) acknowledge(da *peerproto.Datagram, address netip.AddrPort, now timer.Instant) {
	ack := co.wa.Renew(leaser.Renewal{Holder: da.GetFrom(), SentAt: fromWireTime(da.GetRenewalSentAt())}, now)
	co.sendTo(address, da.GetFrom(), &peerproto.Datagram{
		AckSentAt: toWireTime(ack.SentAt), Revoked: ack.Revoked, Clock: wireClock(now),
	}, now)
}

// candidates returns the instances that may watch this one. Watchers that timed out
// are left out, at once and for watcherAvoidSpan.
func (co *Controller) candidates(now timer.Instant) []leaser.Candidate {
	silent := co.ho.UnresponsiveWatchers(now.Add(-watcherTimeout))
	var candidates []leaser.Candidate
	for _, me := range co.ds.members() {
		wt := leaser.WatcherID{BackendServer: me.BackendServer, Incarnation: me.Incarnation}
		if me.BackendServer == co.self.BackendServer || slices.Contains(silent, wt) || co.avoidUntil[wt.Incarnation] > now {
			continue
		}
		candidates = append(candidates, leaser.Candidate{Watcher: wt, DataCentre: me.DataCentre})
	}
	return co.preferOwnRegion(candidates)
}

// preferOwnRegion returns only the candidates of this instance's region if they
// suffice, so that a network partition between regions leaves all watchers
// reachable.
func (co *Controller) preferOwnRegion(candidates []leaser.Candidate) []leaser.Candidate {
	isOwnRegion := map[string]bool{}
	for _, dc := range co.ds.config.Catalogue.DataCentres {
		isOwnRegion[dc.Name] = dc.Region == co.self.Region
	}
	var near []leaser.Candidate
	for _, ca := range candidates {
		if isOwnRegion[ca.DataCentre] {
			near = append(near, ca)
		}
	}
	if len(near) < leaser.WatcherCount {
		return candidates
	}
	return near
}

func (co *Controller) chooseWatchers(present []leaser.WatcherID, now timer.Instant) []leaser.WatcherID {
	return leaser.ChooseWatchers(co.self.BackendServer, co.candidates(now), present)
}

// replaceLostWatchers replaces watchers that are no longer members or that have
// timed out, and fills up an incomplete set.
func (co *Controller) replaceLostWatchers(now timer.Instant) {
	if !co.isJoined || co.isWritingRow || co.isRowLost() || co.stopping != nil || now.Before(co.nextWatcherCheckAt) {
		return
	}
	co.nextWatcherCheckAt = now.Add(watcherCheckInterval)
	isComplete := len(co.ho.Committed().Watchers) == leaser.WatcherCount && !co.hasLostWatcher()
	if now.Before(co.watchersSetAt.Add(watcherTimeout)) && isComplete {
		return
	}
	for _, wt := range co.ho.UnresponsiveWatchers(now.Add(-watcherTimeout)) {
		co.avoidUntil[wt.Incarnation] = now.Add(watcherAvoidSpan)
	}
	present := co.ho.Committed()
	chosen := co.chooseWatchers(present.Watchers, now)
	if len(chosen) == 0 || slices.Equal(chosen, present.Watchers) {
		return
	}
	co.replaceWatchers(chosen, now)
}

// dismiss notifies the former watchers that the committed row no longer names, so
// that they don't start a takeover when the renewals stop.
func (co *Controller) dismiss(former []leaser.WatcherID, now timer.Instant) {
	for _, wt := range former {
		if co.ho.Committed().HasWatcher(wt.Incarnation) {
			continue
		}
		if me, ok := co.ds.member(wt.Incarnation); ok {
			co.send(me, &peerproto.Datagram{Dismissed: true}, now)
		}
	}
}

func watcherNames(watchers []leaser.WatcherID) []string {
	var names []string
	for _, wt := range watchers {
		names = append(names, wt.BackendServer)
	}
	return names
}

// hasLostWatcher reports whether a watcher's incarnation is no longer a member.
func (co *Controller) hasLostWatcher() bool {
	for _, wt := range co.ho.Committed().Watchers {
		if _, ok := co.ds.member(wt.Incarnation); !ok {
			return true
		}
	}
	return false
}

// replaceWatchers starts sending renewals to new watchers before their row is
// proposed, so that the lease does not lapse in between.
func (co *Controller) replaceWatchers(chosen []leaser.WatcherID, now timer.Instant) {
	co.isWritingRow = true
	co.watchersSetAt = now
	co.lo.Info("replacing watchers", "from", watcherNames(co.ho.Committed().Watchers), "to", watcherNames(chosen),
		"leaseLeft", timer.Left(co.ho.Deadline(), now))
	row := leaser.Row{Incarnation: co.self.Incarnation, Version: co.ho.Committed().Version, Watchers: chosen}
	co.ho.Prepare(row)
	co.prepared, co.proposeAt = &row, now.Add(prepareTimeout)
	co.nextRenewAt = now
}

// proposeWatchers writes the prepared row once its watchers have acknowledged or
// prepareTimeout has passed. Until the outcome of the write is known, the lease
// needs a majority of both sets of watchers.
func (co *Controller) proposeWatchers(now timer.Instant) {
	if co.prepared == nil || !co.ho.IsPrepared(now) && now.Before(co.proposeAt) {
		return
	}
	row := *co.prepared
	co.prepared = nil
	co.ho.Propose(row)
	ir := co.instanceRow(co.writtenWeight)
	ir.Lease = row
	co.spawn(func(ctx context.Context) event {
		found, err := co.tableStore.writeRow(ctx, ir)
		return newRowCommitted(found, ir.Lease.Incarnation, err)
	})
}

// weight returns this instance's placement weight: 0 during a planned stop, while a
// backend server that sends heartbeats is not ready, or while it is held back as cold, else
// the full weight.
func (co *Controller) weight() uint32 {
	if co.isHeldBack(co.pu.Now()) {
		return 0
	}
	if co.stopping != nil || co.re != nil && co.re.State(co.pu.Now()) != registrar.Ready {
		return 0
	}
	return placer.FullWeight
}
