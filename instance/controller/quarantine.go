package controller

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/sequencer"
	"cornellanding.example/core/timer"
	"cornellanding.example/port/tabler"
	"cornellanding.example/wire/encoder"
	"cornellanding.example/wire/peerproto"
)

const (
	// maxQuarantined bounds the requests in the stored quarantine. The oldest ones make
	// room for others.
	maxQuarantined = 256
	// quarantineBackoff separates writes of the quarantine.
	quarantineBackoff = timer.Second
	// quarantineAttempts and quarantineJitter bound the conflicts with other instances
	// that write it at the same time.
	quarantineAttempts = 10
	quarantineJitter   = 30 * time.Millisecond
	// reportInterval separates the two copies of a report to peers, and maxRepeats bounds
	// the reports that wait.
	reportInterval = 300 * timer.Millisecond
	maxRepeats     = 1024
	// clearSpreadPerMember is the range per member of the delay of a report of a success.
	clearSpreadPerMember = 2 * timer.Millisecond
)

// quarantine is what the event loop knows of the requests that crash backend servers.
type quarantine struct {
	// unstored holds the requests that this instance has quarantined and not written.
	unstored map[uint64]admitter.Suspect
	// version is that of the stored quarantine that was passed on last.
	version uint64
	// seenAt is when each request in the stored quarantine was first seen there.
	seenAt  map[uint64]timer.Instant
	writeAt timer.Instant
	// repeats are reports of crashes that are sent once more, since datagrams may be lost.
	repeats []crashReport
	// clearAt holds when the success of a request is reported, unless a peer does so before,
	// and cleared the requests that are to be removed from the stored quarantine.
	clearAt map[uint64]timer.Instant
	cleared map[uint64]bool
	// isWriting is set while a write is under way.
	isWriting bool
	// isRead is set once the stored quarantine has been read, which a join waits for:
	// it binds every instance that runs requests.
	isRead bool
}

// ReportQuarantined stores a request that has been quarantined because of crashes of this
// instance's backend server. It is dropped if the event queue is full.
func (co *Controller) ReportQuarantined(su admitter.Suspect) {
	select {
	case co.events <- requestQuarantined{suspect: su}:
	default:
	}
}

// crashReport is a report to peers, to be sent at an instant.
type crashReport struct {
	suspectReported
	at timer.Instant
}

// ReportCleared reports that a request was answered after it had been running in crashes. It
// is dropped if the event queue is full.
func (co *Controller) ReportCleared(fingerprint uint64) {
	select {
	case co.events <- suspectCleared{fingerprint: fingerprint}:
	default:
	}
}

// reportSuspect reports a crash to all instances, any of which may receive the next copy of
// the request.
func (co *Controller) reportSuspect(ev suspectReported, now timer.Instant) {
	delete(co.quarantine.clearAt, ev.fingerprint)
	co.broadcast(&peerproto.Datagram{Suspect: ev.fingerprint, SuspectRun: ev.run}, now)
	if len(co.quarantine.repeats) < maxRepeats {
		co.quarantine.repeats = append(co.quarantine.repeats, crashReport{suspectReported: ev, at: now.Add(reportInterval)})
	}
}

// scheduleClear schedules the report of a success to all instances. What many callers read
// succeeds at many of them at once, and one report suffices.
func (co *Controller) scheduleClear(fingerprint uint64, now timer.Instant) {
	if _, ok := co.quarantine.clearAt[fingerprint]; ok || len(co.quarantine.clearAt) >= maxRepeats {
		return
	}
	spread := clearSpreadPerMember * timer.Span(1+len(co.ds.members()))
	co.quarantine.clearAt[fingerprint] = now.Add(timer.Span(rand.Int64N(int64(spread))))
	co.nextTickAt = min(co.nextTickAt, co.quarantine.clearAt[fingerprint])
}

// sendReports sends the reports that are due.
func (co *Controller) sendReports(now timer.Instant) {
	qu := &co.quarantine
	for len(qu.repeats) > 0 && !now.Before(qu.repeats[0].at) {
		co.broadcast(&peerproto.Datagram{Suspect: qu.repeats[0].fingerprint, SuspectRun: qu.repeats[0].run}, now)
		qu.repeats = qu.repeats[1:]
	}
	for fingerprint, at := range qu.clearAt {
		if now.Before(at) {
			continue
		}
		delete(qu.clearAt, fingerprint)
		delete(qu.unstored, fingerprint)
		qu.repeats = slices.DeleteFunc(qu.repeats, func(cr crashReport) bool { return cr.fingerprint == fingerprint })
		co.broadcast(&peerproto.Datagram{Cleared: fingerprint}, now)
		co.lo.Info("request cleared: answered after it had been running in crashes", "fingerprint", strconv.FormatUint(fingerprint, 16))
		if co.isStoredSuspect(fingerprint) {
			qu.cleared[fingerprint] = true
		}
	}
}

// onCleared handles a peer's report of a success.
func (co *Controller) onCleared(fingerprint uint64) {
	delete(co.quarantine.clearAt, fingerprint)
	delete(co.quarantine.unstored, fingerprint)
	co.clearedHandler(fingerprint)
}

func (co *Controller) isStoredSuspect(fingerprint uint64) bool {
	isSame := func(su admitter.Suspect) bool { return su.Fingerprint == fingerprint }
	return slices.ContainsFunc(co.ds.quarantine, isSame) || co.quarantine.isWriting
}

func (co *Controller) onRequestQuarantined(ev requestQuarantined, now timer.Instant) {
	co.quarantine.unstored[ev.suspect.Fingerprint] = ev.suspect
	delete(co.quarantine.cleared, ev.suspect.Fingerprint)
	co.writeQuarantine(now)
}

// applyQuarantine passes on the stored quarantine if it has changed. A request stays in it
// for admitter.QuarantineTerm from when this instance first saw it there.
func (co *Controller) applyQuarantine(now timer.Instant) {
	version := co.ds.held[QuarantineKey].Version
	if version == co.quarantine.version {
		return
	}
	co.quarantine.version = version
	var current []admitter.Suspect
	seenAt := map[uint64]timer.Instant{}
	for _, su := range co.ds.quarantine {
		at, ok := co.quarantine.seenAt[su.Fingerprint]
		if !ok {
			at = now
		}
		seenAt[su.Fingerprint] = at
		if now.Sub(at) < admitter.QuarantineTerm {
			current = append(current, su)
		}
	}
	co.quarantine.seenAt = seenAt
	co.quarantineHandler(current)
}

// expiredSuspects returns the requests that the stored quarantine has held for its term.
func (co *Controller) expiredSuspects(now timer.Instant) []uint64 {
	var expired []uint64
	for fingerprint, at := range co.quarantine.seenAt {
		if now.Sub(at) >= admitter.QuarantineTerm {
			expired = append(expired, fingerprint)
		}
	}
	return expired
}

// writeQuarantine adds the requests to the stored quarantine that this instance has
// quarantined. Pollers also remove those whose term has passed.
func (co *Controller) writeQuarantine(now timer.Instant) {
	qu := &co.quarantine
	if qu.isWriting || now.Before(qu.writeAt) {
		return
	}
	expired := co.expiredSuspects(now)
	if len(expired) > 0 && !(co.isJoined && co.isPoller()) {
		expired = nil
	}
	expired = slices.AppendSeq(expired, maps.Keys(qu.cleared))
	if len(qu.unstored) == 0 && len(expired) == 0 {
		return
	}
	var added []admitter.Suspect
	for _, su := range qu.unstored {
		added = append(added, su)
	}
	qu.isWriting, qu.writeAt = true, now.Add(quarantineBackoff)
	co.spawn(func(ctx context.Context) event {
		do, err := co.tableStore.updateQuarantine(ctx, added, expired)
		return quarantineWritten{added: added, removed: expired, document: do, err: err}
	})
}

func (co *Controller) onQuarantineWritten(ev quarantineWritten, now timer.Instant) {
	co.quarantine.isWriting = false
	if ev.err != nil {
		co.lo.Warn("failed to write the quarantine", "requests", len(ev.added), "error", ev.err)
		return
	}
	for _, su := range ev.added {
		if co.quarantine.unstored[su.Fingerprint] == su {
			delete(co.quarantine.unstored, su.Fingerprint)
		}
	}
	for _, fingerprint := range ev.removed {
		delete(co.quarantine.cleared, fingerprint)
	}
	co.lo.Info("quarantine written", "added", len(ev.added), "version", sequencer.Format(ev.document.Version))
	co.onDocuments(documentsFetched{documents: []Document{ev.document}}, now)
}

// updateQuarantine adds and removes requests of the stored quarantine, and returns it as
// committed. A write whose answer is lost may be repeated: that changes nothing.
func (ts *tableStore) updateQuarantine(ctx context.Context, added []admitter.Suspect, removed []uint64) (Document, error) {
	for range quarantineAttempts {
		do, err := ts.updateQuarantineOnce(ctx, added, removed)
		var conflict *tabler.ConflictError
		if err == nil || !errors.As(err, &conflict) {
			return do, err
		}
		if !timer.Sleep(ctx, time.Duration(rand.Int64N(int64(quarantineJitter)))) {
			return Document{}, ctx.Err()
		}
	}
	return Document{}, errors.New("controller: quarantine: too many conflicts")
}

func (ts *tableStore) updateQuarantineOnce(ctx context.Context, added []admitter.Suspect, removed []uint64) (Document, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := ts.table.Read(ctx, tabler.Query{Keys: []string{QuarantineKey}})
	if err != nil {
		return Document{}, err
	}
	former := tabler.Find(rows, QuarantineKey)
	var stored []admitter.Suspect
	if former.Version != 0 {
		if stored, err = encoder.DecodeQuarantine(former.Value); err != nil {
			ts.logUnreadable(former, err)
		}
	}
	content, err := encoder.EncodeQuarantine(mergeSuspects(stored, added, removed))
	if err != nil {
		return Document{}, fmt.Errorf("controller: encode quarantine: %w", err)
	}
	version, err := ts.table.Commit(ctx, tabler.Transaction{
		Conditions: []tabler.Condition{{Key: QuarantineKey, Version: former.Version}},
		Writes:     []tabler.Write{{Key: QuarantineKey, Value: content}},
	})
	return Document{Name: QuarantineKey, Version: version, Content: content}, err
}

// mergeSuspects returns the stored suspects without those removed and with those added,
// each with the highest count known, the latest maxQuarantined of them.
func mergeSuspects(stored, added []admitter.Suspect, removed []uint64) []admitter.Suspect {
	var merged []admitter.Suspect
	for _, su := range stored {
		if !slices.Contains(removed, su.Fingerprint) {
			merged = append(merged, su)
		}
	}
	for _, su := range added {
		at := slices.IndexFunc(merged, func(known admitter.Suspect) bool { return known.Fingerprint == su.Fingerprint })
		if at < 0 {
			merged = append(merged, su)
			continue
		}
		merged[at].Crashes = max(merged[at].Crashes, su.Crashes)
	}
	return merged[max(0, len(merged)-maxQuarantined):]
}
