package controller

import (
	"context"

	"cornellanding.example/core/freshener"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/encoder"
	"cornellanding.example/wire/peerproto"
)

// mapsInterval separates reads of the maps where the configuration is awaited.
const mapsInterval = 10 * timer.Second

// addReport tells what is known of the table.
func (co *Controller) addReport(da *peerproto.Datagram, now timer.Instant) {
	report := co.fr.Report(now)
	da.Attempts = report.Attempts
	if report.HasRead {
		// Rounded up, since an age must not shrink on its way.
		da.ReadAge = uint32((report.Age+timer.Millisecond-1)/timer.Millisecond) + 1
	}
}

// takeFreshness counts a peer's knowledge from when this instance sent what the
// datagram answers. It counts only if both hold the same documents. It spreads
// both ways between holders and watchers: the pollers may watch nobody.
func (co *Controller) takeFreshness(da *peerproto.Datagram, sentAt timer.Instant) {
	if da.GetDocuments() != co.ds.hash {
		return
	}
	report := freshener.Report{Attempts: da.GetAttempts()}
	if age := da.GetReadAge(); age > 0 {
		report.HasRead = true
		report.Age = timer.Span(age-1) * timer.Millisecond
	}
	co.fr.Merge(report, sentAt)
	co.pu.SetFresh(co.fr.Until())
}

// fetchFrom asks a peer for documents that it holds and this instance lacks.
func (co *Controller) fetchFrom(from placer.Member) {
	if co.isSyncing[from.Incarnation] {
		return
	}
	co.isSyncing[from.Incarnation] = true
	request := &peerproto.SyncRequest{}
	for name, version := range co.ds.versions() {
		request.Have = append(request.Have, &peerproto.DocumentVersion{Name: name, Version: version})
	}
	co.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		answer, err := co.peers.Sync(ctx, from.Address, request)
		ev := synced{from: from.Incarnation, err: err}
		for _, do := range answer.GetNewer() {
			content, err := encoder.Unpack(do.GetContent())
			if err != nil {
				ev.err = err
				continue
			}
			ev.documents = append(ev.documents, Document{Name: do.GetName(), Version: do.GetVersion(), Content: content})
		}
		return ev
	})
}

func (co *Controller) onSynced(ev synced, now timer.Instant) {
	delete(co.isSyncing, ev.from)
	co.onDocuments(documentsFetched{documents: ev.documents}, now)
}

// isPoller reports whether this instance reads the table for its data centre.
// The two members with the lowest incarnations do, and all that have not
// joined yet.
func (co *Controller) isPoller() bool {
	if !co.isJoined || co.isMissing() {
		return true
	}
	lower := 0
	for _, me := range co.ds.members() {
		if me.DataCentre == co.self.DataCentre && me.Incarnation < co.self.Incarnation {
			lower++
		}
	}
	if co.configs != nil {
		return lower < awaitersPerCentre
	}
	return lower < pollersPerCentre
}

// pollWhole reads the table soon, since a peer that the maps don't name holds
// other documents: it has just joined, and can't be asked yet.
func (co *Controller) pollWhole(now timer.Instant) {
	if co.isWholeDue || co.isFetching || now.Before(co.wholeAt.Add(pollInterval)) {
		return
	}
	co.isWholeDue, co.wholeAt, co.nextPollAt = true, now, now
}

func (co *Controller) poll(now timer.Instant) {
	if co.isFetching || now.Before(co.nextPollAt) {
		return
	}
	co.nextPollAt = now.Add(pollInterval)
	if !co.isJoined && co.configs == nil {
		co.nextPollAt = now.Add(joinBackoff)
	}
	if co.configs != nil && co.isJoined && !co.isWholeDue {
		// The configuration is awaited, and maps spread by peers. The poll is
		// for those whose author ended before it told anybody.
		co.nextPollAt = now.Add(mapsInterval)
	}
	if !co.isPoller() && !co.isWholeDue {
		return
	}
	co.isFetching = true
	have := co.ds.versions()
	co.polls++
	isWhole := co.configs != nil || !co.isJoined || co.isWholeDue || co.polls%pollsPerWhole == 0
	co.isWholeDue = false
	co.spawn(func(ctx context.Context) event {
		docs, err := co.ledger.readDocuments(ctx, have, isWhole)
		return documentsFetched{documents: docs, readAt: now, isTable: true, isPoll: true, err: err}
	})
}
