package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
	"cornellanding.example/port/tabler"
	"cornellanding.example/wire/peerproto"
)

// foldIfNeeded folds the member rows into the maps if they have changed. After a
// takeover the fold is delayed a little: VMs are often lost together, and one
// version for all of them moves each partition only once.
func (co *Controller) foldIfNeeded(now timer.Instant) {
	if !co.needsFold && !co.needsOwnFold || co.isFolding || now.Before(co.nextFoldAt) {
		return
	}
	if !co.needsFold && now.Before(co.ownFoldAt) {
		return
	}
	co.isFolding = true
	known := co.ds.members()
	isForOthers := co.needsFold
	co.needsFold, co.needsOwnFold = false, false
	ba := co.foldBasis(now)
	co.spawn(func(ctx context.Context) event {
		docs, isDone, err := co.tableStore.foldOnce(ctx, ba)
		co.post(ctx, documentsFetched{documents: docs})
		return mapsFolded{known: known, isForOthers: isForOthers, isDone: isDone, err: err}
	})
}

func (co *Controller) onMapsFolded(ev mapsFolded, now timer.Instant) {
	co.isFolding = false
	co.notifyNewMembers(ev.known, now)
	if ev.isDone {
		return
	}
	// Another instance folded first, or the table did not answer. If the maps of
	// the other reflect this instance's row already, no retry is needed.
	co.needsFold = co.needsFold || ev.isForOthers
	co.needsOwnFold = co.needsOwnFold || !co.isOwnRowFolded()
	spread := minFoldSpread + foldSpreadPerMember*timer.Span(len(co.ds.members()))
	co.nextFoldAt = now.Add(minFoldSpread + timer.Span(rand.Int64N(int64(spread))))
	if errors.Is(ev.err, errEraUnsettled) {
		co.nextFoldAt = max(co.nextFoldAt, co.startsEraAt)
		return
	}
	var conflict *tabler.ConflictError
	if !errors.As(ev.err, &conflict) {
		co.lo.Warn("failed to fold maps", "error", ev.err)
	}
}

// isOwnRowFolded reports whether the maps reflect the latest write of this
// instance's row.
func (co *Controller) isOwnRowFolded() bool {
	ir := co.instanceRow(co.writtenWeight)
	for _, service := range []string{co.self.Service, folder.LimitsService} {
		tb := co.ds.tables[service]
		if tb == nil {
			return false
		}
		me, ok := tb.Map.ByIncarnation(co.self.Incarnation)
		if !ok || service != folder.LimitsService && me.Version != ir.Version || me.Weight != folder.PermittedWeight(service, ir, co.ds.config, co.ds.rollOuts) ||
			me.Speed != folder.Speed(service, ir) || service != folder.LimitsService && !listsRuns(me, ir.Leaving) {
			return false
		}
	}
	return true
}

// listsRuns reports whether a member's entry in a map lists the leaving runs of a row.
func listsRuns(me placer.Member, runs []registrar.ServerRun) bool {
	listed := registrar.ParseRuns(me.Leaving)
	return !slices.ContainsFunc(runs, func(ru registrar.ServerRun) bool { return !slices.Contains(listed, ru) })
}

// notifyNewMembers sends each member that the latest maps added a datagram with only
// the hash of the documents, so that it fetches them: a new member knows no peer to
// fetch from.
func (co *Controller) notifyNewMembers(known []placer.Member, now timer.Instant) {
	for _, me := range co.ds.members() {
		_, isKnown := placer.Map{Members: known}.ByIncarnation(me.Incarnation)
		if !isKnown && me.Incarnation != co.self.Incarnation {
			co.send(me, &peerproto.Datagram{}, now)
		}
	}
}

// changesWeights reports whether two configurations may give different maps.
func changesWeights(before, after cataloguer.Config) bool {
	isSameService := func(le, ri cataloguer.Service) bool { return le.Name == ri.Name && le.Partitions == ri.Partitions }
	return !slices.Equal(before.DrainedDataCentres, after.DrainedDataCentres) || !slices.Equal(before.DrainedServers, after.DrainedServers) ||
		!slices.EqualFunc(before.Catalogue.Services, after.Catalogue.Services, isSameService)
}

// checkMembership stops Run with ErrRevoked if this incarnation was in the maps
// and is no longer: it was then revoked. Otherwise it updates needsOwnFold.
func (co *Controller) checkMembership() {
	isMissing := co.isMissing()
	if isMissing && co.wasMember && co.stopping == nil {
		co.lo.Warn("incarnation removed from the maps: lease revoked", "incarnation", co.self.Incarnation)
		co.err = ErrRevoked
		return
	}
	if !isMissing && !co.wasMember {
		co.wasMember = true
		co.nextOrphansAt = max(co.nextOrphansAt, co.pu.Now().Add(orphanDelay+watcherCheckInterval))
	}
	if co.isJoined && co.stopping == nil {
		isShown := co.isOwnRowFolded()
		co.needsOwnFold = co.needsOwnFold && !isShown || isMissing
	}
}

// isMissing reports whether the maps lack this incarnation.
func (co *Controller) isMissing() bool {
	_, ok := co.ds.member(co.self.Incarnation)
	return !ok
}
