package controller

import (
	"context"
	"maps"

	"cornellanding.example/core/timer"
)

const (
	// settleChanges is how many recorded changes of a map make its members report
	// that they have acquired all their partitions.
	settleChanges = 64
	// settleAfter is for how long the map must not have changed, so that all
	// members report the same version.
	settleAfter = 10 * timer.Second
	// settleSpread is the range of the delay by which the reports of a large fleet
	// are spread out.
	settleSpread = 30 * timer.Second
)

// reportSettled reports in this instance's row that all partitions owned under the
// current maps have been acquired. Once all members have done so, a fold drops the
// maps' record of changes, which would otherwise grow without bound.
func (co *Controller) reportSettled(now timer.Instant) {
	if !co.isJoined || co.isWritingRow || co.isRowLost() || co.stopping != nil {
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
	ir := co.instanceRow(co.writtenWeight)
	ir.Lease = co.ho.Committed()
	co.spawn(func(ctx context.Context) event {
		found, err := co.tableStore.writeRow(ctx, ir)
		ev := newRowCommitted(found, ir.Lease.Incarnation, err)
		ev.affectsMaps = true
		return ev
	})
}

// isReportDue reports whether a service's map has recorded enough changes and been
// stable for long enough, and its latest version has not been reported yet.
func (co *Controller) isReportDue(ow *ownership, now timer.Instant) bool {
	delay := settleAfter + timer.Span(co.self.Incarnation%uint64(co.settleSpread+1))
	isAtRest := now.Sub(ow.changedAt) >= delay && len(ow.pending) == 0
	changes := len(co.ds.tables[ow.service].Map.Changes)
	return isAtRest && changes >= co.settleChanges && co.reported[ow.service] < ow.version
}
