package controller

import (
	"context"

	"cornellanding.example/core/freshener"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/encoder"
	"cornellanding.example/wire/peerproto"
)

const (
	// awaitersPerCentre is how many members of a data centre await a
	// configuration that is kept elsewhere, and maxAwaiters how many if none of
	// them succeeds.
	awaitersPerCentre = 1
	maxAwaiters       = 3
	// lateRead is the age of the latest known success after which more members
	// await: a wait of 600 ms and the way through the fleet. Each further step
	// adds one.
	lateRead     = 1200 * timer.Millisecond
	lateReadStep = 200 * timer.Millisecond
	// passedPolling is how long a member awaits for one that can't.
	passedPolling = 2 * timer.Second
)

const (
	// mapsInterval separates reads of the maps where the configuration is
	// awaited, and firstMapsInterval so before the instance has joined.
	mapsInterval      = 10 * timer.Second
	firstMapsInterval = 3 * timer.Second
)

// addReport tells what is known of the table.
func (co *Controller) addReport(da *peerproto.Datagram, now timer.Instant) {
	report := co.fr.Report(now)
	da.Attempts = report.Attempts
	if report.HasRead {
		// Rounded up, since an age must not shrink on its way.
		da.ReadAge = uint32((report.ReadAge+timer.Millisecond-1)/timer.Millisecond) + 1
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
		report.ReadAge = timer.Span(age-1) * timer.Millisecond
	}
	co.fr.Merge(report, sentAt)
	co.pu.SetFreshUntil(co.fr.FreshUntil())
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
			content, err := encoder.Decompress(do.GetContent())
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
		return lower < co.awaiters() || co.pu.Now().Before(co.pollUntil)
	}
	return lower < pollersPerCentre
}

// awaiters returns how many members of a data centre are to await the
// configuration: more of them the longer nobody is known to have succeeded.
func (co *Controller) awaiters() int {
	age, hasRead := co.fr.ReadAge(co.pu.Now())
	if !hasRead || age < lateRead {
		return awaitersPerCentre
	}
	return min(maxAwaiters, awaitersPerCentre+1+int((age-lateRead)/lateReadStep))
}

// passPolling asks the next members of the data centre to await the
// configuration in place of this one, which can't.
func (co *Controller) passPolling(now timer.Instant) {
	passed := 0
	for _, me := range co.ds.members() {
		if passed == maxAwaiters {
			return
		}
		isOther := me.Incarnation > co.self.Incarnation || me.DataCentre != co.self.DataCentre
		if me.Incarnation != co.self.Incarnation && isOther {
			co.send(me, &peerproto.Datagram{Poll: true}, now)
			passed++
		}
	}
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
	switch {
	case !co.isJoined && co.configs == nil:
		co.nextPollAt = now.Add(joinBackoff)
	case !co.isJoined:
		co.nextPollAt = now.Add(firstMapsInterval)
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
