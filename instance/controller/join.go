package controller

import (
	"context"
	"math/rand/v2"

	"cornellanding.example/core/folder"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/sequencer"
	"cornellanding.example/core/timer"
)

// join writes this instance's row once the configuration and the quarantine are known and
// the state of the backend server has been established.
func (co *Controller) join(now timer.Instant) {
	if co.isJoined || co.isJoining || co.stopping != nil || now.Before(co.nextJoinAt) || co.ds.config.Version == 0 || !co.quarantine.isRead {
		return
	}
	if !co.isServerKnown(now) {
		return
	}
	co.isJoining = true
	ir := co.instanceRow(co.weight())
	ir.Version = co.ownVersion()
	co.writtenWeight, co.writtenVersion = ir.Weight, ir.Version
	ir.Lease = leaser.Row{Incarnation: co.self.Incarnation, Watchers: co.chooseWatchers(nil, now)}
	heard, members := co.heardRun(), co.ds.members()
	co.spawn(func(ctx context.Context) event {
		result, err := co.tableStore.join(ctx, ir, heard, members, co.revokePredecessor)
		return rowCommitted{
			row: result.row.Lease, leaving: result.row.Leaving, formerLeaving: result.former.Leaving,
			isFirst: err == nil && result.former.Lease.Version == 0, isOutdated: result.row.IsOutdated(), err: err,
		}
	})
}

func (co *Controller) instanceRow(weight uint32) folder.InstanceRow {
	return folder.InstanceRow{
		BackendServer: co.self.BackendServer, Service: co.self.Service, DataCentre: co.self.DataCentre,
		Region: co.self.Region, Address: co.self.Address, Weight: weight, Speed: co.writtenSpeed, State: folder.Active,
		Settled: co.reported, Leaving: co.leavingRuns(), Version: co.writtenVersion,
	}
}

// onRow handles the end of a write of this instance's row. If the row was not found
// or the outcome of the write is unknown, the lease stays as it is: a proposed set
// of watchers then remains needed along with the committed one.
func (co *Controller) onRow(ev rowCommitted, now timer.Instant) {
	co.isJoining, co.isWritingRow = false, false
	isFound := ev.row.Version != 0 && !ev.isOutdated
	if co.isJoined && ev.isEnded {
		co.err = ErrRevoked
		return
	}
	if isFound && ev.row.Incarnation == co.self.Incarnation {
		former := co.ho.Committed().Watchers
		co.commitRow(ev.row)
		co.dismiss(former, now)
		co.recordStoredLeaving(ev.leaving)
	}
	if ev.err != nil || ev.isOutdated {
		co.lo.Warn("failed to write member row", "isOutdated", ev.isOutdated, "error", ev.err)
		co.nextJoinAt = now.Add(joinBackoff)
		co.restoreRowAt = now.Add(joinBackoff)
		if ev.isWeightChange {
			co.writtenWeight, co.writtenSpeed, co.writtenVersion = ev.formerWeight, ev.formerSpeed, ev.formerVersion
		}
		return
	}
	if !co.isJoined {
		co.restoreLeaving(ev.formerLeaving, now)
		co.lo.Info("joined the fleet", "incarnation", co.self.Incarnation, "watchers", len(ev.row.Watchers))
		co.needsOwnFold = true
		spread, foldAt := foldSpreadPerMember*timer.Span(1+len(co.ds.members())), now
		if len(co.ds.members()) == 0 {
			spread, foldAt = co.firstFoldSpread(), now.Add(co.firstFoldDelay)
			co.nextWatcherCheckAt = foldAt.Add(spread + firstWatchDelay)
		}
		co.nextFoldAt = foldAt.Add(timer.Span(rand.Int64N(int64(spread))))
	}
	if !co.isJoined {
		co.nextRowCheckAt = now.Add(missingRowInterval)
	}
	co.isJoined = true
	// A backend server without an earlier row has no former incarnation that may have
	// watched holders.
	co.hasCheckedOrphans = co.hasCheckedOrphans || ev.isFirst
	co.needsOwnFold = co.needsOwnFold || ev.affectsMaps
	if ev.affectsMaps {
		co.ownFoldAt = now.Add(ev.foldDelay)
	}
	co.nextRenewAt = now
}

// commitRow records this instance's row as found in the table.
func (co *Controller) commitRow(row leaser.Row) {
	co.ho.Commit(row)
	co.rowEra = sequencer.Era(row.Version)
}

// firstFoldSpread returns the range of the random delay before an instance creates the
// partition maps.
func (co *Controller) firstFoldSpread() timer.Span {
	if co.firstFoldDelay > 0 {
		return delayedFoldSpread
	}
	return firstFoldSpread
}
