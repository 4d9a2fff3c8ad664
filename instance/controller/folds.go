package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/port/tabler"
	"cornellanding.example/wire/peerproto"
)

// refold brings the maps up to date if something changed. After a takeover it
// waits a moment, since VMs are often lost together and one version for all of
// them moves each partition once.
func (co *Controller) refold(now timer.Instant) {
	if !co.needsFold && !co.needsOwnFold || co.isFolding || now.Before(co.nextFoldAt) {
		return
	}
	co.isFolding = true
	known := co.ds.members()
	isForOthers := co.needsFold
	co.needsFold, co.needsOwnFold = false, false
	co.spawn(func(ctx context.Context) event {
		docs, isDone, err := co.ledger.foldOnce(ctx)
		co.post(ctx, documentsFetched{documents: docs})
		return folded{known: known, isForOthers: isForOthers, isDone: isDone, err: err}
	})
}

func (co *Controller) onFolded(ev folded, now timer.Instant) {
	co.isFolding = false
	co.welcome(ev.known, now)
	if ev.isDone {
		return
	}
	// Somebody else folded, or the table did not answer. The other's maps may
	// show the own row already, and then nothing is left to do.
	co.needsFold = co.needsFold || ev.isForOthers
	co.needsOwnFold = co.needsOwnFold || !co.isOwnRowFolded()
	spread := minFoldSpread + foldSpreadPerMember*timer.Span(len(co.ds.members()))
	co.nextFoldAt = now.Add(minFoldSpread + timer.Span(rand.Int64N(int64(spread))))
	var conflict *tabler.ConflictError
	if !errors.As(ev.err, &conflict) {
		co.lo.Warn("maps not folded", "error", ev.err)
	}
}

// isOwnRowFolded reports whether the maps show the own row as it was written
// last.
func (co *Controller) isOwnRowFolded() bool {
	an := co.announcement(co.writtenWeight)
	for _, service := range []string{co.self.Service, folder.LimitsService} {
		tb := co.ds.tables[service]
		if tb == nil {
			return false
		}
		me, ok := tb.Map.ByIncarnation(co.self.Incarnation)
		if !ok || me.Weight != folder.Weight(service, an, co.ds.config) {
			return false
		}
	}
	return true
}

// welcome tells new members of the maps that name them: they know nobody whom
// they could ask.
func (co *Controller) welcome(known []placer.Member, now timer.Instant) {
	for _, me := range co.ds.members() {
		_, isKnown := placer.Map{Members: known}.ByIncarnation(me.Incarnation)
		if !isKnown && me.Incarnation != co.self.Incarnation {
			co.send(me, &peerproto.Datagram{}, now)
		}
	}
}

// changesWeights reports whether maps folded from one configuration may not be
// those of the other.
func changesWeights(before, after cataloguer.Config) bool {
	isSameService := func(le, ri cataloguer.Service) bool { return le.Name == ri.Name && le.Partitions == ri.Partitions }
	return !slices.Equal(before.DrainedDataCentres, after.DrainedDataCentres) || !slices.Equal(before.DrainedServers, after.DrainedServers) ||
		!slices.EqualFunc(before.Catalogue.Services, after.Catalogue.Services, isSameService)
}

// checkMembership looks for this incarnation in the maps. Once it has been
// there, its absence means that it was revoked.
func (co *Controller) checkMembership() {
	isMissing := co.isMissing()
	if isMissing && co.wasMember && co.leave == nil {
		co.lo.Warn("revoked", "incarnation", co.self.Incarnation)
		co.err = ErrRevoked
		return
	}
	co.wasMember = co.wasMember || !isMissing
	if co.isJoined && co.leave == nil {
		isShown := co.isOwnRowFolded()
		co.needsOwnFold = co.needsOwnFold && !isShown || isMissing
	}
}

// isMissing reports whether the maps don't name this incarnation.
func (co *Controller) isMissing() bool {
	_, ok := co.ds.member(co.self.Incarnation)
	return !ok
}
