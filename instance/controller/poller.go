package controller

import (
	"context"

	"cornellanding.example/core/freshener"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/sequencer"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/encoder"
	"cornellanding.example/wire/peerproto"
)

const (
	// configPollersPerDataCentre is how many members of a data centre poll the
	// external configuration source, and maxConfigPollers how many do so if none
	// of them succeeds.
	configPollersPerDataCentre = 1
	maxConfigPollers           = 3
	// lateReadAge is the age of the latest known successful read after which one
	// more member polls: a poll of 600 ms plus the time to spread its outcome
	// through the fleet. Each further lateReadStep adds another.
	lateReadAge  = 1200 * timer.Millisecond
	lateReadStep = 200 * timer.Millisecond
	// delegatedPollSpan is for how long a member polls in place of one that
	// failed to.
	delegatedPollSpan = 2 * timer.Second
)

const (
	// mapsInterval separates polls of the maps if the configuration comes from an
	// external source. joinMapsInterval applies until the instance has joined.
	mapsInterval     = 10 * timer.Second
	joinMapsInterval = 3 * timer.Second
)

// addFreshnessReport adds this instance's knowledge of recent table reads to a
// datagram.
func (co *Controller) addFreshnessReport(da *peerproto.Datagram, now timer.Instant) {
	report := co.fr.Report(now)
	da.Attempts = report.Attempts
	if report.HasRead {
		// Rounded up, since rounding must not make a read look more recent. The
		// field is 1 more than the age, since 0 means absent.
		da.ReadAge = uint32((report.ReadAge+timer.Millisecond-1)/timer.Millisecond) + 1
	}
}

// mergeFreshness merges a peer's knowledge of recent table reads. Its ages count
// from when this instance sent the datagram that the peer answered, and it is used
// only if both hold the same documents. It travels in both directions between
// holders and watchers, since the pollers may be watchers of no one.
func (co *Controller) mergeFreshness(da *peerproto.Datagram, sentAt timer.Instant) {
	if da.GetDocuments() != co.ds.hash {
		return
	}
	report := freshener.Report{Attempts: da.GetAttempts()}
	if age := da.GetReadAge(); age > 0 {
		report.HasRead = true
		report.ReadAge = timer.Span(age-1) * timer.Millisecond
	}
	co.fr.Merge(report, sentAt)
	co.publishFreshness()
}

// publishFreshness publishes until when withdrawn keys are known, and as of when the
// configuration.
func (co *Controller) publishFreshness() {
	co.pu.SetFreshUntil(co.fr.FreshUntil())
	co.pu.SetReadAt(co.fr.ReadAt())
}

// fetchFrom fetches the documents of which a peer holds newer versions. At most one
// fetch per peer is in progress.
func (co *Controller) fetchFrom(from placer.Member) {
	if co.isSyncing[from.Incarnation] {
		return
	}
	co.isSyncing[from.Incarnation] = true
	now := co.pu.Now()
	request := &peerproto.SyncRequest{}
	for name, version := range co.ds.versions() {
		request.Have = append(request.Have, &peerproto.DocumentVersion{Name: name, Version: version})
	}
	co.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		answer, err := co.peers.Sync(ctx, from.Address, request)
		ev := synced{from: from.Incarnation, startedAt: now, err: err}
		for _, do := range answer.GetNewer() {
			fetched, err := decompress(do)
			if err != nil {
				ev.err = err
				continue
			}
			ev.documents = append(ev.documents, fetched)
		}
		return ev
	})
}

// decompress returns a document that a peer sent.
func decompress(do *peerproto.Document) (Document, error) {
	content, err := encoder.Decompress(do.GetContent())
	return Document{Name: do.GetName(), Version: do.GetVersion(), Content: content}, err
}

func (co *Controller) onSynced(ev synced, now timer.Instant) {
	delete(co.isSyncing, ev.from)
	if ev.err != nil {
		co.lo.Warn("failed to fetch documents", "from", ev.from, "config", sequencer.Format(co.ds.config.Version),
			"took", now.Sub(ev.startedAt).Duration().String(), "error", ev.err)
	}
	co.onDocuments(documentsFetched{documents: ev.documents, from: ev.from}, now)
}

// isPoller reports whether this instance polls the table, or the external
// configuration source, for its data centre. The members with the lowest
// incarnations do, all instances that are not members yet, and of the external source
// for a while those to which a failed poller delegated and any that no poller has
// informed.
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
		now := co.pu.Now()
		return lower < co.configPollers() || now.Before(co.pollUntil) || co.fr.IsUninformed(now, lateReadAge)
	}
	return lower < pollersPerDataCentre
}

// configPollers returns how many members of a data centre poll the external
// configuration source. It grows with the age of the last known success.
func (co *Controller) configPollers() int {
	age, hasRead := co.fr.ReadAge(co.pu.Now())
	if !hasRead || age < lateReadAge {
		return configPollersPerDataCentre
	}
	return min(maxConfigPollers, configPollersPerDataCentre+1+int((age-lateReadAge)/lateReadStep))
}

// delegatePolling requests up to maxConfigPollers members to poll the external
// configuration source after this instance failed to: those of its data centre with
// a higher incarnation and those of other data centres.
func (co *Controller) delegatePolling(now timer.Instant) {
	delegated := 0
	for _, me := range co.ds.members() {
		if delegated == maxConfigPollers {
			return
		}
		isOther := me.Incarnation > co.self.Incarnation || me.DataCentre != co.self.DataCentre
		if me.Incarnation != co.self.Incarnation && isOther {
			co.send(me, &peerproto.Datagram{Poll: true}, now)
			delegated++
		}
	}
}

// requestMapRead schedules a read of the table with the maps, at most once per
// pollInterval. It is used when a peer that the maps don't name holds other
// documents: it has just joined, and its documents can't be fetched yet. It is also
// used when no poller has informed this instance.
func (co *Controller) requestMapRead(now timer.Instant) {
	if co.isMapReadDue || co.isFetching || now.Before(co.mapReadAt.Add(pollInterval)) {
		return
	}
	co.isMapReadDue, co.mapReadAt, co.nextPollAt = true, now, now
}

// poll reads the table when a poll is due and this instance is a poller.
func (co *Controller) poll(now timer.Instant) {
	if co.isFetching || now.Before(co.nextPollAt) {
		return
	}
	co.nextPollAt = now.Add(pollInterval)
	switch {
	case !co.isJoined && co.configs == nil:
		co.nextPollAt = now.Add(joinBackoff)
	case !co.isJoined:
		co.nextPollAt = now.Add(joinMapsInterval)
	}
	if co.configs != nil && co.isJoined && !co.isMapReadDue {
		// The configuration comes from its own source and maps spread by peers.
		// This poll finds maps whose author ended before it notified a peer.
		co.nextPollAt = now.Add(mapsInterval)
	}
	if !co.isPoller() && !co.isMapReadDue {
		return
	}
	co.isFetching = true
	have := co.ds.versions()
	co.polls++
	withMaps := co.configs != nil || !co.isJoined || co.isMapReadDue || co.polls%pollsPerMapRead == 0
	co.isMapReadDue = false
	co.spawn(func(ctx context.Context) event {
		docs, err := co.tableStore.readDocuments(ctx, have, withMaps)
		return documentsFetched{documents: docs, readAt: now, isTable: true, isPoll: true, err: err}
	})
}
