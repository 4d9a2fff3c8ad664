package controller

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"cornellanding.example/core/folder"
	"cornellanding.example/core/freshener"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/encoder"
	"cornellanding.example/wire/peerproto"
)

const (
	voteAttempts = 12
	minVoteWait  = 5 * time.Millisecond
	foldDelay    = 30 * timer.Millisecond
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
			co.send(me, &peerproto.Datagram{RenewalSentAt: toWireTime(re.SentAt)}, now)
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
	if da.GetAckSentAt() != 0 {
		co.addReport(da, now)
	}
	if err := co.sender.Send(address, da); err != nil {
		co.lo.Trace("datagram not sent", "to", address, "error", err)
	}
}

// addReport tells what is known of the table.
func (co *Controller) addReport(da *peerproto.Datagram, now timer.Instant) {
	report := co.fr.Report(now)
	da.Attempts = report.Attempts
	if report.HasRead {
		// Rounded up, since an age must not shrink on its way.
		da.ReadAge = uint32((report.Age+timer.Millisecond-1)/timer.Millisecond) + 1
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

// onDatagram takes what a peer sent. Renewals are answered whether or not the
// maps name the sender: a new one is not yet in them, and a revoked one must
// learn of it.
func (co *Controller) onDatagram(da *peerproto.Datagram, address netip.AddrPort) {
	if da.GetTo() != uint32(co.self.Incarnation) {
		return
	}
	now := co.pu.Now()
	if da.GetSuspect() != 0 {
		co.blame(da.GetSuspect())
	}
	if da.GetAckSentAt() != 0 {
		co.ho.Acknowledge(leaser.Ack{
			Watcher: da.GetFrom(), Holder: co.self.Incarnation,
			SentAt: fromWireTime(da.GetAckSentAt()), Revoked: da.GetRevoked(),
		})
		co.takeFreshness(da)
	}
	if da.GetRenewalSentAt() != 0 {
		co.answer(da, address, now)
	}
	from, isKnown := co.ds.member(da.GetFrom())
	if da.GetDocuments() != co.ds.hash && isKnown {
		co.fetchFrom(from)
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
	co.sendTo(address, da.GetFrom(), &peerproto.Datagram{AckSentAt: toWireTime(ack.SentAt), Revoked: ack.Revoked}, now)
}

// takeFreshness counts a peer's knowledge from when this instance sent the
// renewal that the datagram answers. It counts only if both hold the same
// documents.
func (co *Controller) takeFreshness(da *peerproto.Datagram) {
	if da.GetDocuments() != co.ds.hash {
		return
	}
	report := freshener.Report{Attempts: da.GetAttempts()}
	if age := da.GetReadAge(); age > 0 {
		report.HasRead = true
		report.Age = timer.Span(age-1) * timer.Millisecond
	}
	co.fr.Merge(report, fromWireTime(da.GetAckSentAt()))
	co.pu.SetFresh(co.fr.Until())
}

// fetchFrom asks a peer for documents that it holds and this instance lacks.
func (co *Controller) fetchFrom(from placer.Member) {
	if co.isSyncing[from.Incarnation] {
		return
	}
	co.isSyncing[from.Incarnation] = true
	request := &peerproto.SyncRequest{}
	for name, version := range co.ds.versions() {
		request.Have = append(request.Have, &peerproto.DocumentVersion{Name: name, Version: version})
	}
	co.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		answer, err := co.peers.Sync(ctx, from.Address, request)
		ev := synced{from: from.Incarnation, err: err}
		for _, do := range answer.GetNewer() {
			content, err := encoder.Unpack(do.GetContent())
			if err != nil {
				ev.err = err
				continue
			}
			ev.documents = append(ev.documents, Document{Name: do.GetName(), Version: do.GetVersion(), Content: content})
		}
		return ev
	})
}

func (co *Controller) onSynced(ev synced, now timer.Instant) {
	delete(co.isSyncing, ev.from)
	co.onDocuments(documentsFetched{documents: ev.documents}, now)
}

// isPoller reports whether this instance reads the table for its data centre.
// The two members with the lowest incarnations do, and all that have not
// joined yet.
func (co *Controller) isPoller() bool {
	if !co.isJoined || co.isMissing() {
		return true
	}
	lower := 0
	for _, me := range co.ds.members() {
		if me.DataCentre == co.self.DataCentre && me.Incarnation < co.self.Incarnation {
			lower++
		}
	}
	return lower < pollersPerCentre
}

func (co *Controller) poll(now timer.Instant) {
	if co.isFetching || now.Before(co.nextPollAt) {
		return
	}
	co.nextPollAt = now.Add(pollInterval)
	if !co.isJoined {
		co.nextPollAt = now.Add(joinBackoff)
	}
	if !co.isPoller() {
		return
	}
	co.isFetching = true
	have := co.ds.versions()
	co.polls++
	isWhole := !co.isJoined || co.polls%pollsPerWhole == 0
	co.spawn(func(ctx context.Context) event {
		docs, err := co.ledger.readDocuments(ctx, have, isWhole)
		return documentsFetched{documents: docs, readAt: now, isTable: true, err: err}
	})
}

// candidates lists the instances that may watch this one. Those that have been
// silent as watchers are left out.
func (co *Controller) candidates(now timer.Instant) []leaser.Candidate {
	silent := co.ho.Silent(now.Add(-watcherPatience))
	var candidates []leaser.Candidate
	for _, me := range co.ds.members() {
		wt := leaser.Watch{BackendServer: me.BackendServer, Incarnation: me.Incarnation}
		if me.BackendServer == co.self.BackendServer || slices.Contains(silent, wt) || co.avoid[wt.Incarnation] > now {
			continue
		}
		candidates = append(candidates, leaser.Candidate{Watch: wt, DataCentre: me.DataCentre})
	}
	return candidates
}

func (co *Controller) chooseWatchers(present []leaser.Watch, now timer.Instant) []leaser.Watch {
	return leaser.Choose(co.self.BackendServer, co.candidates(now), present)
}

// rewatch replaces watchers that are gone or silent.
func (co *Controller) rewatch(now timer.Instant) {
	if !co.isJoined || co.isRewatching || co.leave != nil || now.Before(co.nextRewatchAt) {
		return
	}
	co.nextRewatchAt = now.Add(rewatchInterval)
	if now.Before(co.watchersSetAt.Add(watcherPatience)) && len(co.ho.Committed().Watchers) == leaser.WatcherCount {
		return
	}
	for _, wt := range co.ho.Silent(now.Add(-watcherPatience)) {
		co.avoid[wt.Incarnation] = now.Add(safetyInterval)
	}
	present := co.ho.Committed()
	chosen := co.chooseWatchers(present.Watchers, now)
	if len(chosen) == 0 || slices.Equal(chosen, present.Watchers) {
		return
	}
	co.replaceWatchers(chosen, now)
}

// replaceWatchers proposes the new row before it is written: until the outcome
// is read the lease needs both sets of watchers.
func (co *Controller) replaceWatchers(chosen []leaser.Watch, now timer.Instant) {
	co.isRewatching = true
	co.watchersSetAt = now
	row := leaser.Row{Incarnation: co.self.Incarnation, Version: co.ho.Committed().Version, Watchers: chosen}
	co.ho.Propose(row)
	co.nextRenewAt = now
	an := co.announcement(co.weight())
	an.Lease = row
	co.spawn(func(ctx context.Context) event {
		// The new watchers acknowledge before the row changes, so that the
		// lease does not lapse in between.
		sleep(ctx, watcherWarmUp)
		found, err := co.ledger.writeRow(ctx, an)
		return rowCommitted{row: found.Lease, err: err, isEnded: found.Lease.Version != 0 && found.State != folder.Active}
	})
}

func (co *Controller) weight() uint32 {
	if co.leave != nil {
		return 0
	}
	return placer.FullWeight
}

// onRevoke votes on a takeover of a holder that this instance may watch.
func (co *Controller) onRevoke(ev revokeAsked, now timer.Instant) leaser.Vote {
	if ev.isProbe {
		return co.wa.Probe(ev.holder, now)
	}
	return co.wa.Revoke(ev.holder, now)
}

// watch begins a takeover of each holder whose promise has expired.
func (co *Controller) watch(now timer.Instant) {
	for _, holder := range co.wa.Expired(now) {
		me, ok := co.ds.member(holder)
		if !ok {
			co.wa.Forget(holder, now)
			continue
		}
		if co.takeovers[holder] || now.Before(co.nextTakeover[holder]) {
			continue
		}
		co.takeovers[holder] = true
		co.lo.Info("takeover begins", "backendServer", me.BackendServer, "incarnation", holder)
		members := co.ds.members()
		co.spawn(func(ctx context.Context) event {
			err := co.takeOver(ctx, me, members)
			return takeoverEnded{holder: holder, err: err}
		})
	}
}

func (co *Controller) onTakeover(ev takeoverEnded, now timer.Instant) {
	delete(co.takeovers, ev.holder)
	co.nextTakeover[ev.holder] = now.Add(takeoverBackoff)
	switch {
	case errors.Is(ev.err, errNoWatcher):
		co.wa.Forget(ev.holder, now)
	case ev.err != nil:
		co.lo.Debug("takeover failed", "incarnation", ev.holder, "error", ev.err)
	default:
		co.lo.Info("takeover done", "incarnation", ev.holder)
		co.needsFold = true
	}
	co.nextFoldAt = now.Add(foldDelay)
}

// errNoWatcher ends a takeover by an instance that the holder's row no longer
// names: the holder replaced it and went on.
var errNoWatcher = errors.New("controller: not a watcher of the holder")

// takeOver revokes a holder with a majority of the watchers its row names, and
// writes that into the row at the version that named them.
func (co *Controller) takeOver(ctx context.Context, me placer.Member, members []placer.Member) error {
	row, err := co.ledger.readRow(ctx, me.BackendServer)
	if err != nil {
		return err
	}
	if row.Lease.Incarnation != me.Incarnation || row.State != folder.Active {
		return nil
	}
	if !row.Lease.Names(co.self.Incarnation) {
		return errNoWatcher
	}
	if err := co.collect(ctx, row.Lease, members, true); err != nil {
		return err
	}
	if err := co.collect(ctx, row.Lease, members, false); err != nil {
		return err
	}
	return co.ledger.end(ctx, row, folder.Revoked)
}

// revokeFormer revokes the former incarnation of this backend server.
func (co *Controller) revokeFormer(ctx context.Context, former folder.Announcement) error {
	docs, err := co.ledger.readDocuments(ctx, nil, true)
	if err != nil {
		return err
	}
	ds := newDocuments()
	for _, do := range docs {
		if _, err := ds.apply(do); err != nil {
			return err
		}
	}
	if err := co.collect(ctx, former.Lease, ds.members(), false); err != nil {
		return err
	}
	return co.ledger.end(ctx, former, folder.Revoked)
}

// collect gathers votes until a majority of a row's watchers have given theirs.
func (co *Controller) collect(ctx context.Context, row leaser.Row, members []placer.Member, isProbe bool) error {
	need := leaser.Majority(len(row.Watchers))
	votes := make(chan bool, len(row.Watchers))
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for _, wt := range row.Watchers {
		go func() { votes <- co.vote(ctx, wt, row.Incarnation, members, isProbe) }()
	}
	given := 0
	for range row.Watchers {
		if <-votes {
			given++
		}
		if given >= need {
			return nil
		}
	}
	return fmt.Errorf("controller: %d of %d votes against incarnation %d", given, need, row.Incarnation)
}

// vote asks one watcher until its promise has expired.
func (co *Controller) vote(ctx context.Context, wt leaser.Watch, holder uint64, members []placer.Member, isProbe bool) bool {
	for range voteAttempts {
		wait, isGiven, err := co.voteOnce(ctx, wt, holder, members, isProbe)
		if isGiven {
			return true
		}
		if err != nil || !sleep(ctx, max(wait, minVoteWait)) {
			return false
		}
	}
	return false
}

func (co *Controller) voteOnce(ctx context.Context, wt leaser.Watch, holder uint64, members []placer.Member, isProbe bool) (time.Duration, bool, error) {
	if wt.Incarnation == co.self.Incarnation {
		vote, err := co.Revoke(ctx, holder, isProbe)
		return vote.RetryAt.Sub(co.pu.Now()).Duration(), err == nil && vote.Revoked, err
	}
	me, ok := placer.Map{Members: members}.ByIncarnation(wt.Incarnation)
	if !ok {
		return 0, false, fmt.Errorf("controller: watcher %s is no member", wt.BackendServer)
	}
	answer, err := co.peers.Revoke(ctx, me.Address, &peerproto.RevokeRequest{Holder: holder, Watcher: wt.Incarnation, Probe: isProbe})
	if err != nil {
		return 0, false, err
	}
	isVote := answer.GetWatcher() == wt.Incarnation && answer.GetRevoked()
	return time.Duration(answer.GetRetryAfter()), isVote, nil
}
