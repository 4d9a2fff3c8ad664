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
)

// renew sends a datagram to each watcher.
func (co *Controller) renew(now timer.Instant) {
	if !co.isJoined || now.Before(co.nextRenewAt) {
		return
	}
	co.nextRenewAt = now.Add(renewInterval)
	re := co.ho.Renewal(now)
	for _, wt := range co.ho.Targets() {
		if me, ok := co.ds.member(wt.Incarnation); ok {
			co.send(me, &peerproto.Datagram{RenewalSentAt: toWireTime(re.SentAt), Echo: co.echoes[wt.Incarnation]}, now)
		}
	}
}

func (co *Controller) send(to placer.Member, da *peerproto.Datagram, now timer.Instant) {
	if address, err := netip.ParseAddrPort(to.Address); err == nil {
		co.sendTo(address, to.Incarnation, da, now)
	}
}

func (co *Controller) sendTo(address netip.AddrPort, incarnation uint64, da *peerproto.Datagram, now timer.Instant) {
	da.From, da.To = co.self.Incarnation, uint32(incarnation)
	da.Documents = co.ds.hash
	if da.GetAckSentAt() != 0 || da.GetEcho() != 0 {
		co.addReport(da, now)
	}
	if err := co.sender.Send(address, da); err != nil {
		co.lo.Trace("datagram not sent", "to", address, "error", err)
	}
}

// toWireTime rounds down, so that the lease counts from no later than the
// renewal was sent.
func toWireTime(at timer.Instant) uint64 {
	return uint64(at)/uint64(timer.Millisecond) + 1
}

func fromWireTime(ms uint64) timer.Instant {
	return timer.Instant((ms - 1) * uint64(timer.Millisecond))
}

// wireClock returns the low half of an instant in milliseconds, never 0.
func wireClock(at timer.Instant) uint32 {
	return max(1, uint32(uint64(at)/uint64(timer.Millisecond)))
}

// onDatagram takes what a peer sent. Renewals are answered whether or not the
// maps name the sender: a new one is not yet in them, and a revoked one must
// learn of it.
func (co *Controller) onDatagram(da *peerproto.Datagram, address netip.AddrPort) {
	now := co.pu.Now()
	if da.GetTo() != uint32(co.self.Incarnation) {
		// A peer that knew a former incarnation here can tell what is agreed,
		// also while the table is away.
		if !co.isJoined && co.ds.config.Version == 0 && da.GetDocuments() != co.ds.hash {
			co.fetchFrom(placer.Member{Incarnation: da.GetFrom(), Address: address.String()})
		}
		return
	}
	if da.GetDismissed() {
		co.wa.Dismiss(da.GetFrom())
	}
	if da.GetPoll() {
		co.pollUntil = now.Add(passedPolling)
	}
	if da.GetSuspect() != 0 {
		co.blame(da.GetSuspect())
	}
	if da.GetAckSentAt() != 0 {
		co.ho.Acknowledge(leaser.Ack{
			Watcher: da.GetFrom(), Holder: co.self.Incarnation,
			SentAt: fromWireTime(da.GetAckSentAt()), Revoked: da.GetRevoked(),
		})
		co.takeFreshness(da, fromWireTime(da.GetAckSentAt()))
		co.echoes[da.GetFrom()] = da.GetClock()
	}
	if da.GetEcho() != 0 {
		co.takeFreshness(da, now.Add(-timer.Span(wireClock(now)-da.GetEcho())*timer.Millisecond))
	}
	if da.GetRenewalSentAt() != 0 {
		co.answer(da, address, now)
	}
	from, isKnown := co.ds.member(da.GetFrom())
	switch {
	case da.GetDocuments() == co.ds.hash:
	case isKnown:
		co.fetchFrom(from)
	case co.configs != nil:
		co.fetchFrom(placer.Member{Incarnation: da.GetFrom(), Address: address.String()})
	default:
		co.pollWhole(now)
	}
}

// tellSuspect sends a datagram to every instance. Crashes are rare, and the next
// copy of the request may come in anywhere.
func (co *Controller) tellSuspect(fingerprint uint64, now timer.Instant) {
	for _, me := range co.ds.members() {
		if me.Incarnation != co.self.Incarnation {
			co.send(me, &peerproto.Datagram{Suspect: fingerprint}, now)
		}
	}
}

// answer acknowledges a renewal. The promise counts from now, not from the
// datagram's arrival, which is the later and so the safe instant.
func (co *Controller) answer(da *peerproto.Datagram, address netip.AddrPort, now timer.Instant) {
	ack := co.wa.Renew(leaser.Renewal{Holder: da.GetFrom(), SentAt: fromWireTime(da.GetRenewalSentAt())}, now)
	co.sendTo(address, da.GetFrom(), &peerproto.Datagram{
		AckSentAt: toWireTime(ack.SentAt), Revoked: ack.Revoked, Clock: wireClock(now),
	}, now)
}

// candidates lists the instances that may watch this one. Those that have been
// silent as watchers are left out.
func (co *Controller) candidates(now timer.Instant) []leaser.Candidate {
	silent := co.ho.UnresponsiveWatchers(now.Add(-watcherPatience))
	var candidates []leaser.Candidate
	for _, me := range co.ds.members() {
		wt := leaser.WatcherID{BackendServer: me.BackendServer, Incarnation: me.Incarnation}
		if me.BackendServer == co.self.BackendServer || slices.Contains(silent, wt) || co.avoid[wt.Incarnation] > now {
			continue
		}
		candidates = append(candidates, leaser.Candidate{Watcher: wt, DataCentre: me.DataCentre})
	}
	return co.nearby(candidates)
}

// nearby keeps the candidates of the own region if there are enough, so that a
// split between regions leaves every watcher in reach.
func (co *Controller) nearby(candidates []leaser.Candidate) []leaser.Candidate {
	isOwn := map[string]bool{}
	for _, dc := range co.ds.config.Catalogue.DataCentres {
		isOwn[dc.Name] = dc.Region == co.self.Region
	}
	var near []leaser.Candidate
	for _, ca := range candidates {
		if isOwn[ca.DataCentre] {
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

// rewatch replaces watchers that are gone or silent.
func (co *Controller) rewatch(now timer.Instant) {
	if !co.isJoined || co.isRewatching || co.leave != nil || now.Before(co.nextRewatchAt) {
		return
	}
	co.nextRewatchAt = now.Add(rewatchInterval)
	isComplete := len(co.ho.Committed().Watchers) == leaser.WatcherCount && !co.hasLostWatcher()
	if now.Before(co.watchersSetAt.Add(watcherPatience)) && isComplete {
		return
	}
	for _, wt := range co.ho.UnresponsiveWatchers(now.Add(-watcherPatience)) {
		co.avoid[wt.Incarnation] = now.Add(safetyInterval)
	}
	present := co.ho.Committed()
	chosen := co.chooseWatchers(present.Watchers, now)
	if len(chosen) == 0 || slices.Equal(chosen, present.Watchers) {
		return
	}
	co.replaceWatchers(chosen, now)
}

// dismiss tells former watchers that the committed row names no more, so that
// they don't look for a lost holder.
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

// hasLostWatcher reports whether a watcher's incarnation is no member any more.
func (co *Controller) hasLostWatcher() bool {
	for _, wt := range co.ho.Committed().Watchers {
		if _, ok := co.ds.member(wt.Incarnation); !ok {
			return true
		}
	}
	return false
}

// replaceWatchers renews new watchers before it proposes them, so that the lease
// does not lapse in between.
func (co *Controller) replaceWatchers(chosen []leaser.WatcherID, now timer.Instant) {
	co.isRewatching = true
	co.watchersSetAt = now
	co.lo.Info("watchers change", "from", watcherNames(co.ho.Committed().Watchers), "to", watcherNames(chosen),
		"leaseLeft", co.ho.Deadline().Sub(now).Duration().String())
	row := leaser.Row{Incarnation: co.self.Incarnation, Version: co.ho.Committed().Version, Watchers: chosen}
	co.ho.Prepare(row)
	co.prepared, co.proposeAt = &row, now.Add(preparePatience)
	co.nextRenewAt = now
}

// proposeWatchers writes the prepared row once its watchers have acknowledged,
// or have had the time to. From the proposal until the outcome is read the lease
// needs both sets of watchers.
func (co *Controller) proposeWatchers(now timer.Instant) {
	if co.prepared == nil || !co.ho.IsPrepared(now) && now.Before(co.proposeAt) {
		return
	}
	row := *co.prepared
	co.prepared = nil
	co.ho.Propose(row)
	an := co.announcement(co.writtenWeight)
	an.Lease = row
	co.spawn(func(ctx context.Context) event {
		found, err := co.ledger.writeRow(ctx, an)
		return rowCommitted{row: found.Lease, err: err, isEnded: isOver(found)}
	})
}

func (co *Controller) weight() uint32 {
	if co.leave != nil || co.re != nil && co.re.State(co.pu.Now()) != registrar.Ready {
		return 0
	}
	return placer.FullWeight
}
