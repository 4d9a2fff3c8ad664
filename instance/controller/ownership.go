package controller

import (
	"context"
	"slices"

	"cornellanding.example/core/folder"
	"cornellanding.example/core/limiter"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/peerproto"
)

// ownership is the state of the partitions of one service that this instance owns,
// is acquiring from prior owners, or is releasing.
type ownership struct {
	service string
	version uint64
	// pending maps each partition to the incarnations of the prior owners that
	// must still release it.
	pending map[uint32]map[uint64]bool
	// releasedBy holds the prior owners that have released a pending partition.
	releasedBy map[uint32]map[uint64]bool
	// buckets holds the token buckets received with releases of the limits service.
	buckets map[uint32][]*peerproto.Bucket
	// releasing holds the partitions that the map assigns to another instance and
	// that the backend server still serves until the next heartbeat reply.
	releasing map[uint32]bool
	// changedAt is when the latest version of the map was applied here.
	changedAt timer.Instant
	// inFlight holds the prior owners to which a release request is in progress.
	inFlight      map[uint64]bool
	nextRequestAt timer.Instant
}

func newOwnership(service string) *ownership {
	return &ownership{
		service: service, pending: map[uint32]map[uint64]bool{},
		releasedBy: map[uint32]map[uint64]bool{}, buckets: map[uint32][]*peerproto.Bucket{}, inFlight: map[uint64]bool{},
		releasing: map[uint32]bool{},
	}
}

// followMaps applies the latest maps: it drops the partitions that they assign to
// others and starts to acquire those that they assign to this instance.
func (co *Controller) followMaps() {
	for _, service := range []string{co.self.Service, folder.LimitsService} {
		tb := co.ds.tables[service]
		if tb == nil || tb.Map.Partitions == 0 {
			continue
		}
		co.pu.Resize(service, tb.Map.Partitions)
		co.resizeRegistrar(service, tb)
		if co.ownerships[service] == nil {
			co.ownerships[service] = newOwnership(service)
		}
		co.follow(co.ownerships[service], tb)
	}
}

// follow applies the latest map of one service. A partition that has moved away but
// that the backend server may still hold is served until the next heartbeat reply
// excludes it, or no longer if the server is called to release it.
func (co *Controller) follow(ow *ownership, tb *placer.Table) {
	if ow.version != tb.Map.Version {
		ow.version, ow.changedAt = tb.Map.Version, co.pu.Now()
	}
	owned := map[uint32]bool{}
	for _, pt := range tb.OwnedBy(co.self.Incarnation) {
		owned[pt] = true
	}
	for pt := range tb.Map.Partitions {
		switch {
		case owned[pt]:
			delete(ow.releasing, pt)
		case co.tracksHolds(ow.service) && !co.usesOrders() && co.pu.Epoch(ow.service, pt) != 0 && co.re.MayHold(pt, co.pu.Now()):
			ow.releasing[pt] = true
		default:
			co.drop(ow, pt)
		}
	}
	ow.pending = map[uint32]map[uint64]bool{}
	prior := tb.PriorOwners(co.self.Incarnation, co.heldAt(ow))
	for pt := range owned {
		if co.pu.Epoch(ow.service, pt) != 0 {
			continue
		}
		waits := map[uint64]bool{}
		for _, me := range prior[pt] {
			if !ow.releasedBy[pt][me.Incarnation] {
				waits[me.Incarnation] = true
			}
		}
		ow.pending[pt] = waits
		co.acquireIfReleased(ow, pt)
	}
	co.replyIfDraining(ow)
	co.replyIfAcquired(co.pu.Now())
	co.tickForOrders(ow)
	co.lo.Info("partition map applied", "service", ow.service, "map", placer.FormatVersion(tb.Map.Version), "members", len(tb.Map.Members),
		"owned", len(owned), "pending", len(ow.pending))
}

// heldAt returns the argument of placer.Table.PriorOwners for a service.
func (co *Controller) heldAt(ow *ownership) func(pt uint32) uint64 {
	if !co.tracksHolds(ow.service) {
		return nil
	}
	return co.re.HeldAt
}

// acquireHeld acquires the pending partitions whose prior owners need not be asked any more,
// after a heartbeat: what the server holds was released to a former instance on this VM.
func (co *Controller) acquireHeld(ow *ownership) {
	tb := co.ds.tables[ow.service]
	if len(ow.pending) == 0 || !co.tracksHolds(ow.service) || tb.Map.Version != ow.version {
		return
	}
	prior := tb.PriorOwners(co.self.Incarnation, co.re.HeldAt)
	for pt, waits := range ow.pending {
		for holder := range waits {
			isPrior := slices.ContainsFunc(prior[pt], func(me placer.Member) bool { return me.Incarnation == holder })
			if !isPrior {
				delete(waits, holder)
			}
		}
		co.acquireIfReleased(ow, pt)
	}
}

func (co *Controller) drop(ow *ownership, pt uint32) {
	co.pu.Drop(ow.service, pt)
	delete(ow.releasing, pt)
	delete(ow.releasedBy, pt)
	delete(ow.buckets, pt)
}

// acquireIfReleased starts to serve a pending partition once every prior owner has
// released it.
func (co *Controller) acquireIfReleased(ow *ownership, pt uint32) {
	waits, ok := ow.pending[pt]
	if !ok || len(waits) > 0 {
		return
	}
	delete(ow.pending, pt)
	delete(ow.releasedBy, pt)
	tb := co.ds.tables[ow.service]
	if ow.service == folder.LimitsService {
		co.importBuckets(ow, tb, pt)
	}
	co.pu.Acquire(ow.service, pt, tb.Map.Version)
	co.tickForOrders(ow)
}

// importBuckets imports the token buckets that were handed over for a partition, if
// they are complete: those of the latest prior owner, and only if no later owner
// was lost.
func (co *Controller) importBuckets(ow *ownership, tb *placer.Table, pt uint32) {
	lostUntil, losses := uint64(0), tb.OwnerLosses(pt)
	if len(losses) > 0 {
		lostUntil = losses[0].Version
	}
	latest := uint64(0)
	for _, bu := range ow.buckets[pt] {
		latest = max(latest, bu.GetEpoch())
	}
	var complete []*peerproto.Bucket
	for _, bu := range ow.buckets[pt] {
		if bu.GetEpoch() == latest && latest >= lostUntil {
			complete = append(complete, bu)
		}
	}
	isFirst := latest == 0 && lostUntil == 0 && tb.Map.Settled == 0
	since, recent := co.pu.Now(), co.recentLosses(losses)
	if len(complete) == 0 && len(losses) > 0 && co.isFormerSelf(losses[0].Owner) {
		since, recent = min(since, co.startedAt), max(recent, 1)
	}
	co.buckets.Import(pt, tb.Map.Version, complete, isFirst, recent, since)
	delete(ow.buckets, pt)
}

// isFormerSelf reports whether a lost member was a former incarnation on this VM. It
// granted nothing after this one started, since both bind the same address.
func (co *Controller) isFormerSelf(me placer.Member) bool {
	return me.BackendServer == co.self.BackendServer && me.Address == co.self.Address
}

// seenVersion records when a version of a map was applied here.
type seenVersion struct {
	version uint64
	at      timer.Instant
}

// recordLimitsMap records when a version of the limits service's map was first
// applied here. Skipped versions count as applied with the next one.
func (co *Controller) recordLimitsMap(now timer.Instant) {
	tb := co.ds.tables[folder.LimitsService]
	if tb == nil {
		return
	}
	count := len(co.seenVersions)
	if count > 0 && co.seenVersions[count-1].version >= tb.Map.Version {
		return
	}
	kept := co.seenVersions[:0]
	for _, sv := range co.seenVersions {
		if now.Sub(sv.at) < limiter.GrantTerm {
			kept = append(kept, sv)
			continue
		}
		co.seenBefore = max(co.seenBefore, sv.version)
	}
	co.seenVersions = append(kept, seenVersion{version: tb.Map.Version, at: now})
}

// recentLosses counts the lost owners whose grants of tokens may not have expired.
// An owner granted nothing after the version that removed it was committed, and so
// nothing after that version was applied here. Versions that were applied more than
// a grant term ago are no longer recorded.
func (co *Controller) recentLosses(losses []placer.OwnerLoss) int {
	now, recent := co.pu.Now(), 0
	for _, loss := range losses {
		if loss.Version <= co.seenBefore {
			continue
		}
		for _, sv := range co.seenVersions {
			if sv.version < loss.Version {
				continue
			}
			if now.Sub(sv.at) < limiter.GrantTerm {
				recent++
			}
			break
		}
	}
	return recent
}

// requestReleases sends release requests for all pending partitions to their prior
// owners, at most once per releaseInterval.
func (co *Controller) requestReleases(now timer.Instant) {
	for _, ow := range co.ownerships {
		if len(ow.pending) == 0 || now.Before(ow.nextRequestAt) {
			continue
		}
		ow.nextRequestAt = now.Add(releaseInterval)
		for holder, partitions := range ow.byHolder() {
			co.requestRelease(ow, holder, partitions)
		}
	}
}

// byHolder groups the pending partitions by the prior owners that must release
// them.
func (ow *ownership) byHolder() map[uint64][]uint32 {
	byHolder := map[uint64][]uint32{}
	for pt, waits := range ow.pending {
		for holder := range waits {
			byHolder[holder] = append(byHolder[holder], pt)
		}
	}
	return byHolder
}

func (co *Controller) requestRelease(ow *ownership, holder uint64, partitions []uint32) {
	me, ok := co.ds.member(holder)
	if !ok || ow.inFlight[holder] {
		return
	}
	ow.inFlight[holder] = true
	request := &peerproto.ReleaseRequest{
		Service: ow.service, MapVersion: co.ds.tables[ow.service].Map.Version,
		Partitions: partitions, Holder: holder,
	}
	service := ow.service
	co.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		answer, err := co.peers.Release(ctx, me.Address, request)
		return releaseAnswered{service: service, holder: holder, answer: answer, err: err}
	})
}

func (co *Controller) onReleaseAnswered(ev releaseAnswered) {
	ow := co.ownerships[ev.service]
	delete(ow.inFlight, ev.holder)
	for _, bu := range ev.answer.GetBuckets() {
		ow.buckets[bu.GetPartition()] = append(ow.buckets[bu.GetPartition()], bu)
	}
	for i, pt := range ev.answer.GetReleased() {
		waits, ok := ow.pending[pt]
		if !ok {
			continue
		}
		if handovers := ev.answer.GetHandovers(); i < len(handovers) && handovers[i] != "" && co.tracksHolds(ow.service) {
			co.re.SetReceivedHandover(pt, handovers[i])
		}
		delete(waits, ev.holder)
		if ow.releasedBy[pt] == nil {
			ow.releasedBy[pt] = map[uint64]bool{}
		}
		ow.releasedBy[pt][ev.holder] = true
		co.acquireIfReleased(ow, pt)
	}
	co.replyIfAcquired(co.pu.Now())
}

// onRelease answers with those of the requested partitions that this instance does
// not serve and never will under the requester's map. A partition is released only
// once this instance has applied a map at least as new in which it is not the
// owner, no work runs on the partition and the backend server doesn't hold it.
func (co *Controller) onRelease(re *peerproto.ReleaseRequest) *peerproto.ReleaseResponse {
	answer := &peerproto.ReleaseResponse{}
	tb := co.ds.tables[re.GetService()]
	isBehind := tb == nil || tb.Map.Version < re.GetMapVersion()
	if re.GetHolder() != co.self.Incarnation || isBehind {
		return answer
	}
	for _, pt := range re.GetPartitions() {
		owner, _ := tb.Owner(pt)
		if owner.Incarnation == co.self.Incarnation || !co.isReleasable(re.GetService(), pt) {
			continue
		}
		answer.Released = append(answer.Released, pt)
		answer.Handovers = append(answer.Handovers, co.handoverOf(re.GetService(), pt))
		if re.GetService() == folder.LimitsService {
			answer.Buckets = append(answer.Buckets, co.buckets.Export(pt)...)
		}
	}
	co.logRelease(re, answer)
	return answer
}

// logRelease logs the release of partitions with what it rests on: the latest heartbeat of
// the backend server and the time since this instance started.
func (co *Controller) logRelease(re *peerproto.ReleaseRequest, answer *peerproto.ReleaseResponse) {
	if len(answer.GetReleased()) == 0 {
		return
	}
	now := co.pu.Now()
	facts := []any{
		"service", re.GetService(), "map", placer.FormatVersion(re.GetMapVersion()), "released", len(answer.GetReleased()), "asked", len(re.GetPartitions()),
		"startedAgo", now.Sub(co.startedAt).Duration().String(),
	}
	if co.tracksHolds(re.GetService()) {
		hb, heardAt := co.re.LatestHeartbeat()
		facts = append(facts, "server", hb.ID, "serverState", co.re.State(now).String(), "sequence", hb.Sequence, "listed", len(hb.Holds),
			"heardAgo", now.Sub(heardAt).Duration().String())
	}
	co.lo.Info("partitions released to their new owners", facts...)
}
