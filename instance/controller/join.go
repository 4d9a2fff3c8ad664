package controller

import (
	"context"
	"math/rand/v2"

	"cornellanding.example/core/folder"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/timer"
)

// join announces the instance once the configuration is known.
func (co *Controller) join(now timer.Instant) {
	if co.isJoined || co.isJoining || co.leave != nil || now.Before(co.nextJoinAt) || co.ds.config.Version == 0 {
		return
	}
	if !co.isServerKnown(now) {
		return
	}
	co.isJoining = true
	an := co.announcement(co.weight())
	co.writtenWeight = an.Weight
	an.Lease = leaser.Row{Incarnation: co.self.Incarnation, Watchers: co.chooseWatchers(nil, now)}
	co.spawn(func(ctx context.Context) event {
		row, isFirst, err := co.ledger.join(ctx, an, co.revokeFormer)
		return rowCommitted{row: row, isFirst: isFirst, err: err}
	})
}

func (co *Controller) announcement(weight uint32) folder.InstanceRow {
	return folder.InstanceRow{
		BackendServer: co.self.BackendServer, Service: co.self.Service, DataCentre: co.self.DataCentre,
		Region: co.self.Region, Address: co.self.Address, Weight: weight, State: folder.Active,
		Settled: co.reported,
	}
}

// onRow takes the own row as it was read back. A row that is absent or whose
// write's outcome is not proved leaves the lease as it is: a proposal then goes
// on to need both sets of watchers.
func (co *Controller) onRow(ev rowCommitted, now timer.Instant) {
	co.isJoining, co.isRewatching = false, false
	isFound := ev.row.Version != 0
	if co.isJoined && isFound && (ev.isEnded || ev.row.Incarnation != co.self.Incarnation) {
		co.err = ErrRevoked
		return
	}
	if isFound && ev.row.Incarnation == co.self.Incarnation {
		former := co.ho.Committed().Watchers
		co.ho.Commit(ev.row)
		co.dismiss(former, now)
	}
	if ev.err != nil {
		co.lo.Warn("row not written", "error", ev.err)
		co.nextJoinAt = now.Add(joinBackoff)
		if ev.isWeight {
			co.writtenWeight = ev.formerWeight
		}
		return
	}
	if !co.isJoined {
		co.lo.Info("joined", "incarnation", co.self.Incarnation, "watchers", len(ev.row.Watchers))
		co.needsOwnFold = true
		spread := foldSpreadPerMember * timer.Span(1+len(co.ds.members()))
		if len(co.ds.members()) == 0 {
			spread = firstFoldSpread
			co.nextRewatchAt = now.Add(firstWatchDelay)
		}
		co.nextFoldAt = now.Add(timer.Span(rand.Int64N(int64(spread))))
	}
	co.isJoined = true
	co.hasSoughtOrphans = co.hasSoughtOrphans || ev.isFirst
	co.needsOwnFold = co.needsOwnFold || ev.isReport
	co.nextRenewAt = now
}
