package controller

import (
	"context"
	"maps"

	"cornellanding.example/core/timer"
)

const (
	// settleChanges is how many changes a map records before its members
	// report that they have obtained everything.
	settleChanges = 64
	// settleAfter is how long the map must have been at rest, so that all
	// members report the same version.
	settleAfter = 10 * timer.Second
	// settleSpread spreads the reports of a large fleet.
	settleSpread = 30 * timer.Second
)

// reportSettled reports in the own row that everything owned under the present maps
// was obtained. Once all members have, a fold drops the maps' record of
// changes, which would otherwise grow for good.
func (co *Controller) reportSettled(now timer.Instant) {
	if !co.isJoined || co.isWritingRow || co.stopping != nil {
		return
	}
	reported := maps.Clone(co.reported)
	for service, ow := range co.ownerships {
		if co.isReportDue(ow, now) {
			reported[service] = ow.version
		}
	}
	if maps.Equal(reported, co.reported) {
		return
	}
	co.reported = reported
	co.isWritingRow = true
	an := co.announcement(co.writtenWeight)
	an.Lease = co.ho.Committed()
	co.spawn(func(ctx context.Context) event {
		found, err := co.tableStore.writeRow(ctx, an)
		return rowCommitted{
			row: found.Lease, err: err, affectsMaps: true,
			isEnded: hasEnded(found),
		}
	})
}

func (co *Controller) isReportDue(ow *ownership, now timer.Instant) bool {
	delay := settleAfter + timer.Span(co.self.Incarnation%uint64(co.settleSpread+1))
	isAtRest := now.Sub(ow.changedAt) >= delay && len(ow.pending) == 0
	changes := len(co.ds.tables[ow.service].Map.Changes)
	return isAtRest && changes >= co.settleChanges && co.reported[ow.service] < ow.version
}
