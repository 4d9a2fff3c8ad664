// Package controller runs an instance's control event loop.
//
// One goroutine owns all control state: the lease of this instance, its votes as
// a watcher (an acceptor of other instances' leases), the replicated documents
// (the configuration and the partition maps) and the hand-over of partitions. It
// publishes its results to the goroutines that serve requests. Calls that may
// block run in goroutines of their own, which post their outcome as an event.
//
// # Usage
//
//	co, err := controller.New(controller.WithTable(ta), controller.WithObjects(ob), ...)
//	go co.Run(ctx)          // returns ErrRevoked when the lease was revoked
//	co.Datagram(da, from)   // from the messenger
//	vote, err := co.Revoke(ctx, holder, isProbe, isFormer)
package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/freshener"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/pacer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/sequencer"
	"cornellanding.example/core/timer"
	"cornellanding.example/core/warner"
	"cornellanding.example/instance/publisher"
	"github.com/hashicorp/go-hclog"
)

const (
	// busyInterval separates ticks while an operation is in progress and
	// idleInterval, at the latest, otherwise. minInterval bounds the latter from
	// below.
	busyInterval = 15 * timer.Millisecond
	idleInterval = 150 * timer.Millisecond
	minInterval  = 2 * timer.Millisecond
	// observeInterval separates updates of the warnings.
	observeInterval = timer.Second / 2
	renewInterval   = 300 * timer.Millisecond
	pollInterval    = timer.Second
	// pollsPerMapRead is how many polls of the table there are per poll that also
	// reads the maps.
	pollsPerMapRead = 5
	joinBackoff     = 200 * timer.Millisecond
	// releaseInterval separates a service's release requests to prior owners.
	releaseInterval = 15 * timer.Millisecond
	takeoverBackoff = 100 * timer.Millisecond
	// watcherTimeout is how long a watcher may leave renewals unacknowledged
	// before it is replaced.
	watcherTimeout = 2 * timer.Second
	// prepareTimeout bounds the wait for new watchers to acknowledge a renewal
	// before they are proposed: a few round trips of a slow network.
	prepareTimeout       = 150 * timer.Millisecond
	watcherCheckInterval = timer.Second
	// watcherAvoidSpan is for how long a watcher that timed out is not chosen
	// again.
	watcherAvoidSpan     = 30 * timer.Second
	peerTimeout          = 2 * time.Second
	pollersPerDataCentre = 2
	// firstFoldSpread is the range of the random delay before the first fold of
	// an instance that finds no map when it joins. The first one to fold then
	// finds the rows of most others, and sends them the map.
	firstFoldSpread = 1500 * timer.Millisecond
	// delayedFoldSpread is that range after a fixed delay, in which most others have
	// joined.
	delayedFoldSpread = 500 * timer.Millisecond
	// foldSpreadPerMember is that range per member once there is a map, since
	// all members may restart at once.
	foldSpreadPerMember = 2 * timer.Millisecond
	// minFoldSpread is the shortest delay after a fold that failed or conflicted
	// with another instance's.
	minFoldSpread = 15 * timer.Millisecond
	// firstWatchDelay postpones the first choice of watchers after the first fold, so
	// that members that join at the same time can be chosen.
	firstWatchDelay = 300 * timer.Millisecond
	// eventQueue is how many events can be queued for the event loop.
	eventQueue = 4096
)

// ErrRevoked is returned by Run when the watchers revoked the lease or another
// incarnation replaced this one. The instance must start as a new incarnation.
var ErrRevoked = errors.New("controller: the lease is revoked")

// ErrLeft is returned by Run after a planned stop.
var ErrLeft = errors.New("controller: left")

// Controller holds the control state of one incarnation, which is one start of
// an instance between joining and leaving or losing its lease. Its methods are
// safe for concurrent use; its fields belong to the goroutine of Run.
type Controller struct {
	tableStore     tableStore
	peers          Peers
	buckets        Buckets
	suspectHandler func(fingerprint uint64, run uint32)
	clearedHandler func(fingerprint uint64)
	// quarantineHandler is as in WithQuarantineHandler.
	quarantineHandler func(suspects []admitter.Suspect)
	sender            Sender
	pu                *publisher.Publisher
	lo                hclog.Logger
	leaseTerm         timer.Span
	freshness         timer.Span
	// isFreshnessStrict is set if only successful reads count for freshness.
	isFreshnessStrict bool
	self              publisher.Self

	events chan event
	ctx    context.Context

	configs ConfigSource
	re      *registrar.Registrar
	// granter is nil if the backend server takes its holds from replies to heartbeats.
	granter KeyGranter
	// heldHeartbeat is the heartbeat whose reply is delayed until pending
	// partitions are acquired or, for a draining server, assigned to others. It is
	// nil if there is none.
	heldHeartbeat *delayedReply
	// server is the last logged state of the backend server.
	server registrar.State
	// refuseAt is from when a draining server gets no new requests.
	refuseAt timer.Instant
	// writtenWeight is the weight in the latest write of this instance's row.
	writtenWeight uint32
	// standing is nil without WithStanding.
	standing func() (pacer.Standing, bool)
	// share is the share of keys by the standing, and writtenSpeed what the latest write of
	// this instance's row says of it, 0 for a full share.
	share        *pacer.Share
	writtenSpeed uint32
	nextSpeedAt  timer.Instant
	// heldBackRun is the run of the backend server whose weight is held back until
	// heldBackUntil at the latest, see isHeldBack.
	heldBackRun   string
	heldBackUntil timer.Instant
	// writtenVersion is the backend server's version in that write, and serverSince when the
	// server's current start was first heard of.
	writtenVersion  string
	serverSince     timer.Instant
	nextRowUpdateAt timer.Instant
	// era is the latest era of the store that this instance knows of, and rowEra that in which
	// its row was written last. If they differ, the row is to be written again at restoreRowAt.
	era, rowEra  uint64
	restoreRowAt timer.Instant
	// nextRowCheckAt is when the row is read next while the maps lack this incarnation.
	nextRowCheckAt timer.Instant
	// startsEraAt is from when this instance may change maps of an earlier era.
	startsEraAt timer.Instant
	// storedLeaving lists the leaving runs of the backend server in the row as last
	// committed, and deregistrations the calls that wait until it lists all and a peer knows.
	storedLeaving   []registrar.ServerRun
	deregistrations []deregistration
	// sharedHash is the hash of the documents that a peer was last heard to have as well, see
	// onDocumentsShared.
	sharedHash        uint32
	startedAt         timer.Instant
	nextOrphansAt     timer.Instant
	isPollingConfig   bool
	hasCheckedOrphans bool
	// ackClocks holds the clock in each watcher's latest acknowledgement, which
	// the next renewal echoes.
	ackClocks          map[uint64]uint32
	hadLease, wasFresh bool
	nextConfigAt       timer.Instant
	// configErrors counts consecutive failed polls of the external configuration
	// source, up to maxConfigErrors.
	configErrors int
	// pollUntil is until when this instance polls in place of one that failed to.
	pollUntil timer.Instant

	quarantine quarantine
	rollOuts   *rollOuts
	ho         *leaser.Holder
	wa         *leaser.Watcher
	ds         *documents
	warner     *warner.Warner
	ownerships map[string]*ownership

	// seenVersions records when versions of the limits map after seenBefore were
	// first applied here. Grants made under earlier versions have expired.
	seenVersions []seenVersion
	seenBefore   uint64
	// reported holds, by service, the map version up to which this instance's
	// row reports all owned partitions as acquired.
	reported      map[string]uint64
	settleChanges int
	settleSpread  timer.Span
	isSyncing     map[uint64]bool
	// avoidUntil holds until when a watcher that timed out is not chosen again.
	avoidUntil    map[uint64]timer.Instant
	watchersSetAt timer.Instant
	isJoined      bool
	wasMember     bool
	isJoining     bool
	isFetching    bool
	isWritingRow  bool
	// prepared is a row that is not written yet and whose watchers already get
	// renewals. It is proposed at proposeAt at the latest.
	prepared  *leaser.Row
	proposeAt timer.Instant
	isFolding bool
	// needsFold is set if the maps may not reflect the configuration or the rows
	// of other instances.
	needsFold bool
	// needsOwnFold is set while the maps don't reflect this instance's row.
	needsOwnFold bool
	// ownFoldAt is the earliest time of a fold for this instance's row only.
	ownFoldAt     timer.Instant
	takeovers     map[uint64]bool
	nextTakeover  map[uint64]timer.Instant
	nextJoinAt    timer.Instant
	nextTickAt    timer.Instant
	nextObserveAt timer.Instant
	nextRenewAt   timer.Instant
	nextPollAt    timer.Instant
	// isMapReadDue makes the next poll read the maps, even if this instance is no
	// poller. mapReadAt is when that was last requested.
	isMapReadDue       bool
	mapReadAt          timer.Instant
	polls              uint64
	nextFoldAt         timer.Instant
	firstFoldDelay     timer.Span
	nextWatcherCheckAt timer.Instant
	fr                 *freshener.Freshener
	tableError         string
	stopping           *stopState
	// err is the error of Run, and ended is closed once it is final.
	err   error
	ended chan struct{}
}

// New returns a controller that has not joined yet.
func New(opts ...Option) (*Controller, error) {
	co := &Controller{
		leaseTerm: leaser.DefaultTerm, events: make(chan event, eventQueue), ended: make(chan struct{}), ds: newDocuments(),
		warner: warner.New(), ownerships: map[string]*ownership{},
		ackClocks: map[uint64]uint32{}, reported: map[string]uint64{}, settleChanges: settleChanges, settleSpread: settleSpread,
		isSyncing: map[uint64]bool{}, avoidUntil: map[uint64]timer.Instant{},
		takeovers: map[uint64]bool{}, nextTakeover: map[uint64]timer.Instant{}, lo: hclog.NewNullLogger(),
		share:          pacer.NewShare(),
		suspectHandler: func(uint64, uint32) {}, clearedHandler: func(uint64) {}, quarantineHandler: func([]admitter.Suspect) {},
		quarantine: quarantine{unstored: map[uint64]admitter.Suspect{}, cleared: map[uint64]bool{}, clearAt: map[uint64]timer.Instant{}},
	}
	for _, opt := range opts {
		opt(co)
	}
	hasConfigs := co.tableStore.objects != nil || co.configs != nil
	if co.tableStore.table == nil || !hasConfigs || co.peers == nil || co.sender == nil || co.pu == nil || co.buckets == nil {
		return nil, errors.New("controller: table, objects, peers, buckets, sender and publisher are needed")
	}
	co.tableStore.lo = co.lo
	co.self = co.pu.Self()
	co.startedAt = co.pu.Now()
	co.nextOrphansAt = co.startedAt.Add(co.leaseTerm + orphanDelay)
	if co.configs != nil {
		co.tableStore.externalConfig = func() cataloguer.Config { return co.pu.View().Config }
	}
	if co.re != nil {
		co.pu.RequireHolds(co.self.Service)
	}
	co.pu.Publish(co.ds.view())
	if co.fr == nil {
		co.fr = freshener.New(nil, co.freshness, freshener.Strict(co.isFreshnessStrict))
	}
	co.publishFreshness()
	var err error
	co.ho, err = leaser.NewHolder(leaser.HolderIncarnation(co.self.Incarnation), leaser.HolderTerm(co.leaseTerm))
	if err != nil {
		return nil, err
	}
	co.wa, err = leaser.NewWatcher(leaser.WatcherIncarnation(co.self.Incarnation), leaser.WatcherTerm(co.leaseTerm),
		leaser.WatcherStart(co.startedAt))
	return co, err
}

// Run runs the event loop until ctx ends, the lease is revoked or a planned stop
// is complete. It returns the context's error, ErrRevoked or ErrLeft.
func (co *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	co.ctx = ctx
	wake := time.NewTimer(0)
	defer wake.Stop()
	for co.err == nil {
		select {
		case ev := <-co.events:
			co.handle(ev)
		case <-wake.C:
		case <-ctx.Done():
			co.err = ctx.Err()
			continue
		}
		now := co.pu.Now()
		co.step(now)
		wake.Reset(co.nextTickAt.Sub(now).Duration())
	}
	close(co.ended)
	co.pu.SetLeaseUntil(0)
	co.pu.CancelIfLapsed()
	return co.err
}

// step runs a tick if one is due, after an event or a timer. An event may bring
// the next tick forward but never postpones it, so that a stream of events can't
// starve the ticks.
func (co *Controller) step(now timer.Instant) {
	isDue := !now.Before(co.nextTickAt)
	if isDue {
		co.tick(now)
	}
	co.publishLease()
	co.replyIfAcquired(now)
	next := co.nextTick(now)
	if isDue || next < co.nextTickAt {
		co.nextTickAt = next
	}
}

// nextTick returns the time of the next tick: after busyInterval while an
// operation is in progress, else when the earliest timer is due, but after
// idleInterval at the latest.
func (co *Controller) nextTick(now timer.Instant) timer.Instant {
	if co.isBusy() {
		return now.Add(busyInterval)
	}
	next := min(now.Add(idleInterval), co.nextPollAt)
	if co.heldHeartbeat != nil {
		next = min(next, co.heldHeartbeat.replyAt)
	}
	if co.isJoined {
		next = min(next, co.nextRenewAt)
	}
	if expiry, ok := co.wa.NextExpiry(); ok {
		// A takeover in progress, or one that waits for the table, is checked
		// again after the busy interval.
		next = min(next, max(expiry, now.Add(busyInterval)))
	}
	if deadline := co.ho.Deadline(); now.Before(deadline) {
		next = min(next, deadline)
	}
	return max(next, now.Add(minInterval))
}

// isBusy reports whether an operation is in progress whose steps the ticks drive.
func (co *Controller) isBusy() bool {
	if !co.isJoined || co.prepared != nil || co.needsFold || co.needsOwnFold || co.stopping != nil || !co.isLeavingStored() || len(co.deregistrations) > 0 {
		return true
	}
	for _, ow := range co.ownerships {
		if len(ow.pending) > 0 || len(ow.releasing) > 0 {
			return true
		}
	}
	return false
}

// publishLease publishes the lease's deadline, and cancels guarded work if the lease
// has ended.
func (co *Controller) publishLease() {
	co.pu.SetLeaseUntil(co.ho.Deadline())
	co.pu.CancelIfLapsed()
}

// spawn runs blocking work in its own goroutine and posts the resulting event.
func (co *Controller) spawn(work func(ctx context.Context) event) {
	ctx := co.ctx
	go func() {
		co.post(ctx, work(ctx))
	}()
}

func (co *Controller) post(ctx context.Context, ev event) {
	select {
	case co.events <- ev:
	case <-ctx.Done():
	}
}

func (co *Controller) handle(ev event) {
	now := co.pu.Now()
	switch ev := ev.(type) {
	case datagramReceived:
		co.onDatagram(ev.datagram, ev.from)
	case revokeRequested:
		ev.reply <- co.onRevoke(ev, now)
	case releaseRequested:
		ev.reply <- co.onRelease(ev.request)
	case syncRequested:
		ev.reply <- co.ds.newerThan(ev.have)
	case configPolled:
		co.onConfig(ev, now)
	case orphansFound:
		co.onOrphans(ev)
	case heartbeatReceived:
		co.onHeartbeat(ev, now)
	case serverDeregistered:
		co.onServerDeregistered(ev, now)
	case connectionRefused:
		co.onConnectionRefused(ev, now)
	case ordersDone:
		co.onOrdersDone(ev, now)
	case documentsFetched:
		co.onDocuments(ev, now)
	case synced:
		co.onSynced(ev, now)
	case rowCommitted:
		co.onRow(ev, now)
	case releaseAnswered:
		co.onReleaseAnswered(ev)
	case takeoverEnded:
		co.onTakeover(ev, now)
	case mapsFolded:
		co.onMapsFolded(ev, now)
	case stopRequested:
		co.onStopRequested(ev)
	case stopStepDone:
		co.onStopStepDone(ev)
	case suspectReported:
		co.reportSuspect(ev, now)
	case suspectCleared:
		co.scheduleClear(ev.fingerprint, now)
	case requestQuarantined:
		co.onRequestQuarantined(ev, now)
	case quarantineWritten:
		co.onQuarantineWritten(ev, now)
	case rollOutRequested:
		co.onRollOutRequested(ev, now)
	case rollOutPolled:
		co.onRollOutPolled(ev, now)
	case rollOutWritten:
		co.onRollOutWritten(ev, now)
	case statusWritten:
		co.onStatusWritten(ev, now)
	case newerConfigSeen:
		if ev.version > co.ds.config.Version {
			co.fetchFrom(ev.from)
		}
	case statusRequested:
		ev.reply <- co.status(now)
	default:
		panic(fmt.Sprintf("controller: unknown event %T", ev))
	}
}

// tick runs all periodic work that is due at now.
func (co *Controller) tick(now timer.Instant) {
	co.followEra(now)
	co.join(now)
	co.restoreRow(now)
	co.renew(now)
	co.pollConfig(now)
	co.poll(now)
	co.updateServerState(now)
	co.updateRow(now)
	co.checkExpiredHolders(now)
	co.findOrphans(now)
	co.replaceLostWatchers(now)
	co.proposeWatchers(now)
	co.reportSettled(now)
	co.requestReleases(now)
	co.issueOrders(now)
	co.foldIfNeeded(now)
	co.replyToDeregistrations(now)
	co.sendReports(now)
	co.writeQuarantine(now)
	co.advanceRollOuts(now)
	co.advanceStop()
	co.logStateChanges(now)
	if !now.Before(co.nextObserveAt) {
		co.nextObserveAt = now.Add(observeInterval)
		co.observe(now)
	}
}

// onDocuments applies the documents that are newer than those held. After a read of
// the table or of the external configuration source it also updates freshness.
func (co *Controller) onDocuments(ev documentsFetched, now timer.Instant) {
	co.followEra(now)
	if ev.isPoll {
		co.isFetching = false
		if ev.err != nil && !co.isJoined {
			co.nextPollAt = now.Add(joinBackoff)
		}
		co.quarantine.isRead = co.quarantine.isRead || ev.err == nil
	}
	if ev.isTable {
		co.recordTableError(ev)
	}
	isChanged := false
	before, rollOutsBefore := co.ds.config, co.ds.rollOuts
	for _, do := range ev.documents {
		applied, err := co.ds.apply(do)
		if err != nil {
			co.lo.Error("document rejected", "document", do.Name, "version", do.Version, "error", err)
			continue
		}
		isChanged = isChanged || applied
		if applied {
			co.restoreIfLost(do, now)
		}
	}
	if isChanged {
		co.noteConfig(before, ev.from, now)
		co.noteConfigRead(before, now)
		co.onChange(now)
		co.followRollOuts(rollOutsBefore, now)
	}
	// Weights depend on the configuration. The instance that committed it folds
	// it into the maps; the pollers do so too, in case that instance failed.
	if changesWeights(before, co.ds.config) && co.isJoined && co.isPoller() {
		co.needsFold = true
	}
	if ev.isTable {
		co.recordReadAttempt(ev)
	}
}

// recordTableError keeps the error of the latest read for the reason of WarningTable.
func (co *Controller) recordTableError(ev documentsFetched) {
	co.tableError = ""
	if ev.err != nil {
		co.tableError = ev.err.Error()
	}
}

// recordReadAttempt updates freshness with the outcome of this instance's read of the
// table or of the external configuration source.
func (co *Controller) recordReadAttempt(ev documentsFetched) {
	co.fr.RecordAttempt(co.self.DataCentre, ev.readAt, ev.err == nil)
	co.publishFreshness()
}

func dataCentreNames(cat cataloguer.Catalogue) []string {
	var names []string
	for _, dc := range cat.DataCentres {
		names = append(names, dc.Name)
	}
	return names
}

// onChange publishes new documents, applies the new maps and makes a lease renewal
// due.
func (co *Controller) onChange(now timer.Instant) {
	co.fr.SetDataCentres(dataCentreNames(co.ds.config.Catalogue))
	co.recordLimitsMap(now)
	co.applyQuarantine(now)
	co.followMaps()
	co.recallLeaving(now)
	co.pu.Publish(co.ds.view())
	co.checkMembership()
	co.nextRenewAt = now
	if co.hasLostWatcher() {
		co.nextWatcherCheckAt = min(co.nextWatcherCheckAt, now)
	}
	co.lo.Debug("documents applied", "config", sequencer.Format(co.ds.config.Version), "hash", co.ds.hash)
}
