package controller

import (
	"context"
	"strings"

	"cornellanding.example/core/folder"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/sequencer"
	"cornellanding.example/core/timer"
	"cornellanding.example/port/tabler"
)

const (
	// restoreSpreadPerMember is the range per member of the delay before an instance writes
	// its row again, since all learn of a new era at once.
	restoreSpreadPerMember = 4 * timer.Millisecond
	// memberEraDelay is how long a member waits before it changes maps of an earlier era.
	// Meanwhile those who know newer maps than the store restore them.
	memberEraDelay = 1500 * timer.Millisecond
	// eraMargin, added to the lease term, is that delay for an instance that was no member
	// in the earlier era. Leases under maps that nobody knows any more have ended by then.
	eraMargin = timer.Second / 2
	// missingRowInterval separates reads of its row by an instance that the maps lack.
	missingRowInterval = 5 * timer.Second
)

// followEra notes that the store has come back from an older copy, as known from its own
// answers or from a configuration that a peer has read. What instances wrote last may be gone
// then, so that each writes its row again and restores the maps.
func (co *Controller) followEra(now timer.Instant) {
	era := max(tabler.EraOf(co.tableStore.table), sequencer.Era(co.ds.config.Version))
	if era <= co.era {
		return
	}
	before := co.era
	co.era = era
	delay := co.leaseTerm + eraMargin
	if co.wasMember {
		delay = memberEraDelay
	}
	co.startsEraAt = now.Add(delay)
	if !co.isJoined {
		return
	}
	co.restoreRowAt = now.Add(co.restoreDelay())
	co.needsFold = true
	co.nextFoldAt = max(co.nextFoldAt, co.restoreRowAt)
	if co.isPoller() {
		for _, su := range co.ds.quarantine {
			co.quarantine.unstored[su.Fingerprint] = su
		}
	}
	co.lo.Warn("the store has come back from an older copy; writing the member row again", "era", era, "before", before,
		"config", sequencer.Format(co.ds.config.Version), "row", sequencer.Format(co.ho.Committed().Version), "leaving", len(co.leavingRuns()))
}

// restoreIfLost makes this instance store a map again that it has learned from a peer after the
// store came back, if the map is of an earlier era: the peer may end before it does so itself.
func (co *Controller) restoreIfLost(do Document, now timer.Instant) {
	service, _ := strings.CutPrefix(do.Name, MapPrefix)
	tb := co.ds.tables[service]
	if tb == nil || tb.Map.Era() >= co.era || !co.isJoined {
		return
	}
	co.needsFold = true
	co.nextFoldAt = min(co.nextFoldAt, now.Add(co.restoreDelay()))
}

// restoreDelay returns the delay before this instance writes again what the store may have lost.
func (co *Controller) restoreDelay() timer.Span {
	spread := restoreSpreadPerMember * timer.Span(1+len(co.ds.members()))
	return timer.Span(co.self.Incarnation % uint64(spread))
}

// isRowLost reports whether the row as last committed is of an earlier era of the store, so
// that the store may lack it.
func (co *Controller) isRowLost() bool { return co.isJoined && co.rowEra < co.era }

// restoreRow writes this instance's row again in a new era of the store. It also reads the
// row now and then while the maps lack this incarnation: if its watchers have revoked it before
// it became a member, nothing else tells it so.
func (co *Controller) restoreRow(now timer.Instant) {
	isBusy := co.isWritingRow || co.prepared != nil || co.stopping != nil && co.stopping.isBusy
	isCheckDue := co.isJoined && co.isMissing() && !now.Before(co.nextRowCheckAt)
	if !co.isRowLost() && !isCheckDue || isBusy || now.Before(co.restoreRowAt) {
		return
	}
	co.nextRowCheckAt = now.Add(missingRowInterval)
	if co.stopping != nil && co.stopping.hasEnded {
		return
	}
	co.isWritingRow = true
	weight := co.weight()
	co.writtenWeight, co.writtenVersion = weight, co.ownVersion()
	ir := co.instanceRow(weight)
	ir.IsStopping = co.stopping != nil
	ir.Lease = co.ho.Committed()
	era := co.era
	co.spawn(func(ctx context.Context) event {
		found, err := co.tableStore.restoreRow(ctx, ir, era)
		ev := newRowCommitted(found, ir.Lease.Incarnation, err)
		ev.affectsMaps = true
		return ev
	})
}

// restoreRow writes the row of a live incarnation again, in place of an outdated one or of
// none, once the store answers in the given era. It returns the row as found if that is
// not outdated.
func (ts *tableStore) restoreRow(ctx context.Context, ir folder.InstanceRow, era uint64) (folder.InstanceRow, error) {
	found, err := ts.readRow(ctx, ir.BackendServer)
	if err != nil && !isUnreadable(err) {
		return folder.InstanceRow{}, err
	}
	if known := tabler.EraOf(ts.table); known < era {
		return folder.InstanceRow{}, &EraError{Known: known, Wanted: era}
	}
	isCurrent := found.Lease.Version != 0 && !found.IsOutdated() && err == nil
	if isCurrent || isReplacedOrEnded(found, ir.Lease.Incarnation) {
		return found, nil
	}
	ir.Lease.Version = found.Lease.Version
	return ts.writeRow(ctx, ir)
}

// EraError reports that the store has not answered in the era that peers know.
type EraError struct {
	Known  uint64
	Wanted uint64
}

// Error implements error.
func (er *EraError) Error() string {
	return "controller: the store has not answered in its latest era yet"
}

// foldBasis returns what this instance knows of the maps.
func (co *Controller) foldBasis(now timer.Instant) foldBasis {
	return foldBasis{maps: mapsOf(co.ds.tables), startsEra: !now.Before(co.startsEraAt)}
}

func mapsOf(tables map[string]*placer.Table) map[string]placer.Map {
	held := make(map[string]placer.Map, len(tables))
	for service, tb := range tables {
		held[service] = tb.Map
	}
	return held
}

// mayLackWatchers reports whether the store may have lost the row that named the latest
// watchers of a holder.
func (ts *tableStore) mayLackWatchers(row folder.InstanceRow) bool {
	return row.IsOutdated() || row.Lease.Version == 0 && tabler.EraOf(ts.table) > 0
}

// takeOverUnrecorded takes over a holder whose watchers are not known, since the store has lost
// its row. Any members may watch it. All but one of the others must vote, so that they include
// a majority of the watchers whichever these are.
func (co *Controller) takeOverUnrecorded(ctx context.Context, me placer.Member, row folder.InstanceRow, members []placer.Member) error {
	ended := row
	if row.Lease.Incarnation != me.Incarnation {
		ended = folder.InstanceRow{BackendServer: me.BackendServer, DataCentre: me.DataCentre, Address: me.Address}
		ended.Lease = leaser.Row{Incarnation: me.Incarnation, Version: row.Lease.Version}
		ended.Leaving = row.Leaving
	}
	wanted := leaser.Row{Incarnation: me.Incarnation}
	for _, other := range members {
		if other.BackendServer != me.BackendServer {
			wanted.Watchers = append(wanted.Watchers, leaser.WatcherID{BackendServer: other.BackendServer, Incarnation: other.Incarnation})
		}
	}
	for _, isProbe := range []bool{true, false} {
		if err := co.collectVotes(ctx, wanted, members, max(1, len(wanted.Watchers)-1), isProbe); err != nil {
			return err
		}
	}
	return co.tableStore.endIncarnation(ctx, ended, folder.Revoked)
}
