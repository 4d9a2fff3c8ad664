package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"cornellanding.example/core/folder"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/peerproto"
)

const (
	voteAttempts = 12
	minVoteWait  = 5 * time.Millisecond
	// foldDelay postpones the fold after a takeover, see foldIfNeeded.
	foldDelay = 30 * timer.Millisecond
	// rankDelay is the additional delay with which each further watcher of a
	// holder starts a takeover.
	rankDelay = 70 * time.Millisecond
)

// onRevoke returns this watcher's vote on the takeover of a holder.
func (co *Controller) onRevoke(ev revokeRequested, now timer.Instant) leaser.Vote {
	if ev.isFormer {
		return co.wa.RevokeForPredecessor(ev.holder, now)
	}
	if ev.isProbe {
		return co.wa.Probe(ev.holder, now)
	}
	return co.wa.Revoke(ev.holder, now)
}

// checkExpiredHolders starts a takeover of each holder whose promise by this
// watcher has expired. It forgets those that are no longer members.
func (co *Controller) checkExpiredHolders(now timer.Instant) {
	for _, holder := range co.wa.ExpiredHolders(now) {
		me, ok := co.ds.member(holder)
		if !ok {
			co.wa.Forget(holder, now)
			continue
		}
		if co.takeovers[holder] || now.Before(co.nextTakeover[holder]) {
			continue
		}
		co.startTakeover(me)
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
		co.lo.Info("takeover complete", "incarnation", ev.holder)
		co.needsFold = true
	}
	co.nextFoldAt = now.Add(foldDelay)
}

// orphanDelay, added to one lease term after its start, is when an instance looks
// for holders that its former incarnation watched. Live ones have replaced that
// watcher by then, which they can do once the maps name its present incarnation: it looks no
// earlier than orphanDelay and watcherCheckInterval after that.
const orphanDelay = timer.Second

// findOrphans looks once for holders whose rows name a former incarnation on this
// VM as a watcher. If a holder and most of its watchers were lost together, no
// other instance starts a takeover.
func (co *Controller) findOrphans(now timer.Instant) {
	if co.hasCheckedOrphans || !co.isJoined || co.isMissing() || now.Before(co.nextOrphansAt) {
		return
	}
	co.hasCheckedOrphans = true
	co.spawn(func(ctx context.Context) event {
		holders, err := co.tableStore.holdersWatchedFrom(ctx, co.self)
		return orphansFound{holders: holders, err: err}
	})
}

func (co *Controller) onOrphans(ev orphansFound) {
	if ev.err != nil {
		co.lo.Warn("failed to read member rows to find orphaned holders", "error", ev.err)
		co.hasCheckedOrphans = false
		co.nextOrphansAt = co.nextOrphansAt.Add(orphanDelay)
		return
	}
	for _, me := range ev.holders {
		co.startTakeover(me)
	}
}

func (co *Controller) startTakeover(me placer.Member) {
	if co.takeovers[me.Incarnation] {
		return
	}
	co.takeovers[me.Incarnation] = true
	co.lo.Info("starting takeover", "backendServer", me.BackendServer, "incarnation", me.Incarnation)
	members := co.ds.members()
	co.spawn(func(ctx context.Context) event {
		err := co.takeOver(ctx, me, members)
		return takeoverEnded{holder: me.Incarnation, err: err}
	})
}

// errNoWatcher ends a takeover by an instance that the holder's row no longer names
// as a watcher: the holder is alive and has replaced it.
var errNoWatcher = errors.New("controller: not a watcher of the holder")

// takeOver collects the votes of a majority of the watchers that the holder's row
// names, and then marks the row as revoked, on condition that it has not changed
// since. It first probes for a majority, so as not to revoke a healthy holder's
// promises. It does nothing if the row names another incarnation or has ended.
func (co *Controller) takeOver(ctx context.Context, me placer.Member, members []placer.Member) error {
	row, err := co.tableStore.readRow(ctx, me.BackendServer)
	if err != nil {
		return err
	}
	if co.tableStore.mayLackWatchers(row) {
		return co.takeOverUnrecorded(ctx, me, row, members)
	}
	if row.Lease.Incarnation != me.Incarnation || row.State != folder.Active {
		return nil
	}
	rank := co.rank(row.Lease)
	if rank < 0 {
		return errNoWatcher
	}
	// Watchers start one after another. Otherwise three of them write the row of
	// each lost holder, and a lost data centre has many holders.
	if rank > 0 {
		if !timer.Sleep(ctx, time.Duration(rank)*rankDelay) {
			return ctx.Err()
		}
		if row, err = co.tableStore.readRow(ctx, me.BackendServer); err != nil {
			return err
		}
		if row.Lease.Incarnation != me.Incarnation || row.State != folder.Active {
			return nil
		}
	}
	for _, isProbe := range []bool{true, false} {
		if err := co.collectVotes(ctx, row.Lease, members, leaser.Majority(len(row.Lease.Watchers)), isProbe); err != nil {
			return err
		}
	}
	return co.tableStore.endIncarnation(ctx, row, folder.Revoked)
}

// rank returns the index among a row's watchers of this instance or of a former
// incarnation on its VM. It returns -1 if there is none.
func (co *Controller) rank(row leaser.Row) int {
	return slices.IndexFunc(row.Watchers, func(wt leaser.WatcherID) bool {
		return wt.BackendServer == co.self.BackendServer
	})
}

// revokePredecessor revokes the former incarnation of this backend server and marks
// its row as revoked.
func (co *Controller) revokePredecessor(ctx context.Context, former folder.InstanceRow) error {
	docs, err := co.tableStore.readDocuments(ctx, nil, true)
	if err != nil {
		return err
	}
	ds := newDocuments()
	for _, do := range docs {
		if _, err := ds.apply(do); err != nil {
			return err
		}
	}
	if co.tableStore.mayLackWatchers(former) {
		me := placer.Member{BackendServer: former.BackendServer, Incarnation: former.Lease.Incarnation}
		return co.takeOverUnrecorded(ctx, me, former, ds.members())
	}
	if err := co.collectVotes(ctx, former.Lease, ds.members(), leaser.Majority(len(former.Lease.Watchers)), false); err != nil {
		return err
	}
	return co.tableStore.endIncarnation(ctx, former, folder.Revoked)
}

// collectVotes requests the votes of all of a row's watchers and returns nil once need of
// them have voted for the takeover. It returns an error if that is not so within
// peerTimeout.
func (co *Controller) collectVotes(ctx context.Context, row leaser.Row, members []placer.Member, need int, isProbe bool) error {
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
	return fmt.Errorf("controller: %d of %d votes needed to revoke incarnation %d", given, need, row.Incarnation)
}

// vote requests one watcher's vote, up to voteAttempts times. A watcher whose promise
// has not expired yet names the wait before the next attempt. vote reports whether
// the vote was given.
func (co *Controller) vote(ctx context.Context, wt leaser.WatcherID, holder uint64, members []placer.Member, isProbe bool) bool {
	for range voteAttempts {
		wait, isGiven, err := co.voteOnce(ctx, wt, holder, members, isProbe)
		if isGiven {
			return true
		}
		if err != nil || !timer.Sleep(ctx, max(wait, minVoteWait)) {
			return false
		}
	}
	return false
}

func (co *Controller) voteOnce(ctx context.Context, wt leaser.WatcherID, holder uint64, members []placer.Member, isProbe bool) (time.Duration, bool, error) {
	if wt.BackendServer == co.self.BackendServer {
		vote, err := co.Revoke(ctx, holder, isProbe, wt.Incarnation != co.self.Incarnation)
		return vote.RetryAt.Sub(co.pu.Now()).Duration(), err == nil && vote.Revoked, err
	}
	me, ok := placer.Map{Members: members}.Member(wt.BackendServer)
	if !ok {
		return 0, false, fmt.Errorf("controller: watcher %s is not a member", wt.BackendServer)
	}
	answer, err := co.peers.Revoke(ctx, me.Address, &peerproto.RevokeRequest{
		Holder: holder, Watcher: wt.Incarnation, WatcherServer: wt.BackendServer, Probe: isProbe,
	})
	if err != nil {
		return 0, false, err
	}
	isVote := answer.GetWatcher() == wt.Incarnation && answer.GetRevoked()
	return time.Duration(answer.GetRetryAfter()), isVote, nil
}
