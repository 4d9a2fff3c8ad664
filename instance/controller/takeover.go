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
	foldDelay    = 30 * timer.Millisecond
	// rankDelay is how much later each further watcher begins a takeover.
	rankDelay = 70 * time.Millisecond
)

// onRevoke votes on a takeover of a holder that this instance may watch.
func (co *Controller) onRevoke(ev revokeAsked, now timer.Instant) leaser.Vote {
	if ev.isFormer {
		return co.wa.RevokeForPredecessor(ev.holder, now)
	}
	if ev.isProbe {
		return co.wa.Probe(ev.holder, now)
	}
	return co.wa.Revoke(ev.holder, now)
}

// watch begins a takeover of each holder whose promise has expired.
func (co *Controller) watch(now timer.Instant) {
	for _, holder := range co.wa.ExpiredHolders(now) {
		me, ok := co.ds.member(holder)
		if !ok {
			co.wa.Forget(holder, now)
			continue
		}
		if co.takeovers[holder] || now.Before(co.nextTakeover[holder]) {
			continue
		}
		co.beginTakeover(me)
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

// orphanDelay is how long after a term from its start an instance looks for
// holders that its former incarnation watched: they name other watchers by then.
const orphanDelay = timer.Second

// findOrphans looks once for holders whose rows name a former incarnation on
// this VM. If a holder and most of its watchers were lost together, nobody else
// remembers to take over.
func (co *Controller) findOrphans(now timer.Instant) {
	if co.hasSoughtOrphans || !co.isJoined || now.Before(co.nextOrphansAt) {
		return
	}
	co.hasSoughtOrphans = true
	co.spawn(func(ctx context.Context) event {
		holders, err := co.ledger.watchedOn(ctx, co.self)
		return orphansFound{holders: holders, err: err}
	})
}

func (co *Controller) onOrphans(ev orphansFound) {
	if ev.err != nil {
		co.lo.Warn("rows not read for orphans", "error", ev.err)
		co.hasSoughtOrphans = false
		co.nextOrphansAt = co.nextOrphansAt.Add(orphanDelay)
		return
	}
	for _, me := range ev.holders {
		co.beginTakeover(me)
	}
}

func (co *Controller) beginTakeover(me placer.Member) {
	if co.takeovers[me.Incarnation] {
		return
	}
	co.takeovers[me.Incarnation] = true
	co.lo.Info("takeover begins", "backendServer", me.BackendServer, "incarnation", me.Incarnation)
	members := co.ds.members()
	co.spawn(func(ctx context.Context) event {
		err := co.takeOver(ctx, me, members)
		return takeoverEnded{holder: me.Incarnation, err: err}
	})
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
	rank := co.rank(row.Lease)
	if rank < 0 {
		return errNoWatcher
	}
	// The first watcher goes first. The others give it time, since otherwise
	// each lost row is written three times, and a lost data centre is many.
	if rank > 0 {
		if !timer.Sleep(ctx, time.Duration(rank)*rankDelay) {
			return ctx.Err()
		}
		if row, err = co.ledger.readRow(ctx, me.BackendServer); err != nil {
			return err
		}
		if row.Lease.Incarnation != me.Incarnation || row.State != folder.Active {
			return nil
		}
	}
	if err := co.collect(ctx, row.Lease, members, true); err != nil {
		return err
	}
	if err := co.collect(ctx, row.Lease, members, false); err != nil {
		return err
	}
	return co.ledger.end(ctx, row, folder.Revoked)
}

// rank returns the position among a row's watchers of this instance, or of a
// former incarnation on its VM, or -1.
func (co *Controller) rank(row leaser.Row) int {
	return slices.IndexFunc(row.Watchers, func(wt leaser.WatcherID) bool {
		return wt.BackendServer == co.self.BackendServer
	})
}

// revokeFormer revokes the former incarnation of this backend server.
func (co *Controller) revokeFormer(ctx context.Context, former folder.InstanceRow) error {
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
		return 0, false, fmt.Errorf("controller: watcher %s is no member", wt.BackendServer)
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
