package controller

import (
	"context"

	"cornellanding.example/core/folder"
	"cornellanding.example/core/limiter"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/peerproto"
)

// tenure is the control state of the partitions of one service that this
// instance owns or is about to own.
type tenure struct {
	service string
	version uint64
	// pending maps each partition to the prior owners that must release it.
	pending map[uint32]map[uint64]bool
	// releasedBy keeps the releases already given for a pending partition.
	releasedBy map[uint32]map[uint64]bool
	// buckets keeps what came with the releases of the limits service.
	buckets map[uint32][]*peerproto.Bucket
	// leaving holds the partitions that are another's under the map, and that
	// the backend server goes on serving until it can be told.
	leaving map[uint32]bool
	// changedAt is when the map last changed here.
	changedAt timer.Instant
	asking    map[uint64]bool
	nextAskAt timer.Instant
}

func newTenure(service string) *tenure {
	return &tenure{
		service: service, pending: map[uint32]map[uint64]bool{},
		releasedBy: map[uint32]map[uint64]bool{}, buckets: map[uint32][]*peerproto.Bucket{}, asking: map[uint64]bool{},
		leaving: map[uint32]bool{},
	}
}

// followMaps drops what the maps give to others and begins to obtain what they
// give to this instance.
func (co *Controller) followMaps() {
	for _, service := range []string{co.self.Service, folder.LimitsService} {
		tb := co.ds.tables[service]
		if tb == nil || tb.Map.Partitions == 0 {
			continue
		}
		co.pu.Resize(service, tb.Map.Partitions)
		co.resizeRegistrar(service, tb)
		if co.tenures[service] == nil {
			co.tenures[service] = newTenure(service)
		}
		co.follow(co.tenures[service], tb)
	}
}

func (co *Controller) follow(te *tenure, tb *placer.Table) {
	if te.version != tb.Map.Version {
		te.version, te.changedAt = tb.Map.Version, co.pu.Now()
	}
	owned := map[uint32]bool{}
	for _, pt := range tb.OwnedBy(co.self.Incarnation) {
		owned[pt] = true
	}
	for pt := range tb.Map.Partitions {
		switch {
		case owned[pt]:
			delete(te.leaving, pt)
		case co.isToldHolds(te.service) && co.pu.Epoch(te.service, pt) != 0 && co.re.MayHold(pt, co.pu.Now()):
			te.leaving[pt] = true
		default:
			co.drop(te, pt)
		}
	}
	te.pending = map[uint32]map[uint64]bool{}
	prior := tb.PriorOwners(co.self.Incarnation)
	for pt := range owned {
		if co.pu.Epoch(te.service, pt) != 0 {
			continue
		}
		waits := map[uint64]bool{}
		for _, me := range prior[pt] {
			if !te.releasedBy[pt][me.Incarnation] {
				waits[me.Incarnation] = true
			}
		}
		te.pending[pt] = waits
		co.obtainIfReleased(te, pt)
	}
	co.replyIfLeft(te)
	co.lo.Info("placement", "service", te.service, "map", tb.Map.Version, "members", len(tb.Map.Members),
		"owned", len(owned), "pending", len(te.pending))
}

func (co *Controller) drop(te *tenure, pt uint32) {
	co.pu.Drop(te.service, pt)
	delete(te.leaving, pt)
	delete(te.releasedBy, pt)
	delete(te.buckets, pt)
}

// obtainIfReleased begins to serve a partition once every prior owner has
// released it.
func (co *Controller) obtainIfReleased(te *tenure, pt uint32) {
	waits, ok := te.pending[pt]
	if !ok || len(waits) > 0 {
		return
	}
	delete(te.pending, pt)
	delete(te.releasedBy, pt)
	tb := co.ds.tables[te.service]
	if te.service == folder.LimitsService {
		co.importBuckets(te, tb, pt)
	}
	co.pu.Acquire(te.service, pt, tb.Map.Version)
	co.replyIfComplete(te)
}

// importBuckets hands over the buckets that are complete: those of a prior
// owner after which no owner was lost.
func (co *Controller) importBuckets(te *tenure, tb *placer.Table, pt uint32) {
	lostUntil, losses := uint64(0), tb.OwnerLosses(pt)
	if len(losses) > 0 {
		lostUntil = losses[0].Version
	}
	latest := uint64(0)
	for _, bu := range te.buckets[pt] {
		latest = max(latest, bu.GetEpoch())
	}
	var complete []*peerproto.Bucket
	for _, bu := range te.buckets[pt] {
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
	delete(te.buckets, pt)
}

// isFormerSelf reports whether a lost member was a former incarnation on this VM,
// which granted nothing after this one began: both bind the same address.
func (co *Controller) isFormerSelf(me placer.Member) bool {
	return me.BackendServer == co.self.BackendServer && me.Address == co.self.Address
}

// learnedVersion tells when a version of a map was applied here.
type learnedVersion struct {
	version uint64
	at      timer.Instant
}

// noteLimitsMap records when a version of the limits service's map was first
// seen. Versions passed over count as seen with the next one.
func (co *Controller) noteLimitsMap(now timer.Instant) {
	tb := co.ds.tables[folder.LimitsService]
	if tb == nil {
		return
	}
	count := len(co.learned)
	if count > 0 && co.learned[count-1].version >= tb.Map.Version {
		return
	}
	kept := co.learned[:0]
	for _, le := range co.learned {
		if now.Sub(le.at) < limiter.GrantTerm {
			kept = append(kept, le)
			continue
		}
		co.learnedBefore = max(co.learnedBefore, le.version)
	}
	co.learned = append(kept, learnedVersion{version: tb.Map.Version, at: now})
}

// recentLosses counts the losses whose owner's grants may not have expired. An
// owner granted nothing after the version that removed it was committed, which
// was before it was seen here. Versions seen longer ago are not on record.
func (co *Controller) recentLosses(losses []placer.OwnerLoss) int {
	now, recent := co.pu.Now(), 0
	for _, loss := range losses {
		if loss.Version <= co.learnedBefore {
			continue
		}
		for _, le := range co.learned {
			if le.version < loss.Version {
				continue
			}
			if now.Sub(le.at) < limiter.GrantTerm {
				recent++
			}
			break
		}
	}
	return recent
}

// obtain asks prior owners for what is pending.
func (co *Controller) obtain(now timer.Instant) {
	for _, te := range co.tenures {
		if len(te.pending) == 0 || now.Before(te.nextAskAt) {
			continue
		}
		te.nextAskAt = now.Add(releaseInterval)
		for holder, partitions := range te.byHolder() {
			co.askRelease(te, holder, partitions)
		}
	}
}

func (te *tenure) byHolder() map[uint64][]uint32 {
	byHolder := map[uint64][]uint32{}
	for pt, waits := range te.pending {
		for holder := range waits {
			byHolder[holder] = append(byHolder[holder], pt)
		}
	}
	return byHolder
}

func (co *Controller) askRelease(te *tenure, holder uint64, partitions []uint32) {
	me, ok := co.ds.member(holder)
	if !ok || te.asking[holder] {
		return
	}
	te.asking[holder] = true
	request := &peerproto.ReleaseRequest{
		Service: te.service, MapVersion: co.ds.tables[te.service].Map.Version,
		Partitions: partitions, Holder: holder,
	}
	service := te.service
	co.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		answer, err := co.peers.Release(ctx, me.Address, request)
		return released{service: service, holder: holder, answer: answer, err: err}
	})
}

func (co *Controller) onReleased(ev released) {
	te := co.tenures[ev.service]
	delete(te.asking, ev.holder)
	for _, bu := range ev.answer.GetBuckets() {
		te.buckets[bu.GetPartition()] = append(te.buckets[bu.GetPartition()], bu)
	}
	for i, pt := range ev.answer.GetReleased() {
		waits, ok := te.pending[pt]
		if !ok {
			continue
		}
		if words := ev.answer.GetHandovers(); i < len(words) && words[i] != "" && co.isToldHolds(te.service) {
			co.re.SetReceivedHandover(pt, words[i])
		}
		delete(waits, ev.holder)
		if te.releasedBy[pt] == nil {
			te.releasedBy[pt] = map[uint64]bool{}
		}
		te.releasedBy[pt][ev.holder] = true
		co.obtainIfReleased(te, pt)
	}
}

// onRelease tells which partitions this instance doesn't serve and never will
// under the asker's map. It says so only once it follows a map at least as new
// in which it is not the owner, and no work runs there any more.
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
		answer.Handovers = append(answer.Handovers, co.handover(re.GetService(), pt))
		if re.GetService() == folder.LimitsService {
			answer.Buckets = append(answer.Buckets, co.buckets.Export(pt)...)
		}
	}
	return answer
}
