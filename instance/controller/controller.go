// Package controller is an instance's control thread.
//
// One goroutine owns all control state: the lease, the watching of others, the
// agreed documents and the handover of partitions. It drives the decision
// libraries and publishes their results to the traffic threads. Slow calls run
// in goroutines of their own, which post their outcome back as an event.
//
// # Usage
//
//	co, err := controller.New(controller.WithTable(ta), controller.WithObjects(ob), ...)
//	go co.Run(ctx)          // returns ErrRevoked when another owner took over
//	co.Datagram(da)         // from the messenger
//	vote, err := co.Revoke(ctx, holder, isProbe, isFormer)
package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/freshener"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
	"cornellanding.example/core/warner"
	"cornellanding.example/instance/publisher"
	"github.com/hashicorp/go-hclog"
)

const (
	// busyInterval separates ticks while something is under way, idleInterval
	// otherwise, and minInterval always.
	busyInterval    = 15 * timer.Millisecond
	idleInterval    = 150 * timer.Millisecond
	minInterval     = 2 * timer.Millisecond
	observeInterval = timer.Second / 2
	renewInterval   = 300 * timer.Millisecond
	pollInterval    = timer.Second
	// pollsPerWhole is how many polls there are for one that reads the maps.
	pollsPerWhole   = 5
	joinBackoff     = 200 * timer.Millisecond
	releaseInterval = 15 * timer.Millisecond
	takeoverBackoff = 100 * timer.Millisecond
	// watcherPatience is how long a watcher may be silent before it is
	// replaced.
	watcherPatience = 2 * timer.Second
	// preparePatience is how long new watchers may take to acknowledge before
	// they are proposed: some ways through a slow network.
	preparePatience  = 150 * timer.Millisecond
	rewatchInterval  = timer.Second
	safetyInterval   = 30 * timer.Second
	peerTimeout      = 2 * time.Second
	pollersPerCentre = 2
	// firstFoldSpread spreads the folds of instances that find no map when they
	// join, so that one of them finds most others. It tells them the map.
	firstFoldSpread = 1500 * timer.Millisecond
	// foldSpreadPerMember does so for those that start again, all at once at the
	// worst.
	foldSpreadPerMember = 2 * timer.Millisecond
	// minFoldSpread is the least wait after a fold that met another.
	minFoldSpread = 15 * timer.Millisecond
	// firstWatchDelay is how long the first choice of watchers waits for the
	// members that join at the same time.
	firstWatchDelay = firstFoldSpread + 300*timer.Millisecond
	eventQueue      = 4096
)

// ErrRevoked ends Run when another incarnation or owner took over, or when the
// watchers revoked the lease. The instance must start as a new incarnation.
var ErrRevoked = errors.New("controller: the lease is revoked")

// ErrLeft ends Run after a planned stop.
var ErrLeft = errors.New("controller: left")

// Controller is the control state of one incarnation.
type Controller struct {
	ledger    ledger
	peers     Peers
	buckets   Buckets
	blame     func(fingerprint uint64)
	sender    Sender
	pu        *publisher.Publisher
	lo        hclog.Logger
	leaseTerm timer.Span
	freshness timer.Span
	self      publisher.Self

	events chan event
	ctx    context.Context

	configs ConfigSource
	re      *registrar.Registrar
	// open is the heartbeat whose reply waits for partitions that are about to
	// be obtained.
	open *openHeartbeat
	// server is the state of the backend server as last logged.
	server registrar.State
	// drainAckAt is when the server's word that it leaves was acknowledged.
	drainAckAt timer.Instant
	// writtenWeight is the weight that the own row names.
	writtenWeight    uint32
	nextAnnounceAt   timer.Instant
	startedAt        timer.Instant
	nextOrphansAt    timer.Instant
	isAwaiting       bool
	hasSoughtOrphans bool
	// echoes holds the clock of each watcher's latest acknowledgement.
	echoes             map[uint64]uint32
	hadLease, wasFresh bool
	nextConfigAt       timer.Instant
	configErrors       int
	pollUntil          timer.Instant

	ho      *leaser.Holder
	wa      *leaser.Watcher
	ds      *documents
	warner  *warner.Warner
	tenures map[string]*tenure

	// learned holds when versions of the limits map were seen, those after
	// learnedBefore: whatever was seen earlier is too old to matter.
	learned       []learnedVersion
	learnedBefore uint64
	// reported holds the map versions up to which the own row says that
	// everything was obtained.
	reported      map[string]uint64
	settleChanges int
	settleSpread  timer.Span
	isSyncing     map[uint64]bool
	// avoid holds until when a silent watcher is not chosen again.
	avoid         map[uint64]timer.Instant
	watchersSetAt timer.Instant
	isJoined      bool
	wasMember     bool
	isJoining     bool
	isFetching    bool
	isRewatching  bool
	// prepared is the row whose watchers are renewed ahead of its proposal, at
	// proposeAt at the latest.
	prepared  *leaser.Row
	proposeAt timer.Instant
	isFolding bool
	needsFold bool
	// needsOwnFold says that the maps don't show the own row yet.
	needsOwnFold  bool
	takeovers     map[uint64]bool
	nextTakeover  map[uint64]timer.Instant
	nextJoinAt    timer.Instant
	nextTickAt    timer.Instant
	nextObserveAt timer.Instant
	nextRenewAt   timer.Instant
	nextPollAt    timer.Instant
	isWholeDue    bool
	wholeAt       timer.Instant
	polls         uint64
	nextFoldAt    timer.Instant
	nextRewatchAt timer.Instant
	fr            *freshener.Freshener
	tableError    string
	leave         *leaving
	err           error
}

// New returns a controller that has not joined yet.
func New(opts ...Option) (*Controller, error) {
	co := &Controller{
		leaseTerm: leaser.DefaultTerm, events: make(chan event, eventQueue), ds: newDocuments(),
		warner: warner.New(), tenures: map[string]*tenure{},
		echoes: map[uint64]uint32{}, reported: map[string]uint64{}, settleChanges: settleChanges, settleSpread: settleSpread,
		isSyncing: map[uint64]bool{}, avoid: map[uint64]timer.Instant{},
		takeovers: map[uint64]bool{}, nextTakeover: map[uint64]timer.Instant{}, lo: hclog.NewNullLogger(),
		blame: func(uint64) {},
	}
	for _, opt := range opts {
		opt(co)
	}
	hasConfigs := co.ledger.objects != nil || co.configs != nil
	if co.ledger.table == nil || !hasConfigs || co.peers == nil || co.sender == nil || co.pu == nil || co.buckets == nil {
		return nil, errors.New("controller: table, objects, peers, buckets, sender and publisher are needed")
	}
	co.self = co.pu.Self()
	co.startedAt = co.pu.Now()
	co.nextOrphansAt = co.startedAt.Add(co.leaseTerm + orphanDelay)
	if co.configs != nil {
		co.ledger.held = func() cataloguer.Config { return co.pu.View().Config }
	}
	if co.re != nil {
		co.pu.RequireHolds(co.self.Service)
	}
	co.pu.Publish(co.ds.view())
	if co.fr == nil {
		co.fr = freshener.New(nil, co.freshness)
	}
	co.pu.SetFreshUntil(co.fr.FreshUntil())
	var err error
	co.ho, err = leaser.NewHolder(leaser.HolderIncarnation(co.self.Incarnation), leaser.HolderTerm(co.leaseTerm))
	if err != nil {
		return nil, err
	}
	co.wa, err = leaser.NewWatcher(leaser.WatcherIncarnation(co.self.Incarnation), leaser.WatcherTerm(co.leaseTerm),
		leaser.WatcherStart(co.startedAt))
	return co, err
}

// Run is the control thread. It returns the context's error, ErrRevoked or
// ErrLeft.
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
	co.pu.SetLease(0)
	co.pu.CancelIfLapsed()
	return co.err
}

// step does what is due after an event or at a wake. An event may bring the next
// tick forward and never puts it off, however many come.
func (co *Controller) step(now timer.Instant) {
	isDue := !now.Before(co.nextTickAt)
	if isDue {
		co.tick(now)
	}
	co.publishLease()
	next := co.nextTick(now)
	if isDue || next < co.nextTickAt {
		co.nextTickAt = next
	}
}

// nextTick returns when something is due next. While something is under way it
// is soon.
func (co *Controller) nextTick(now timer.Instant) timer.Instant {
	if co.isBusy() {
		return now.Add(busyInterval)
	}
	next := min(now.Add(idleInterval), co.nextPollAt)
	if co.open != nil {
		next = min(next, co.open.replyAt)
	}
	if co.isJoined {
		next = min(next, co.nextRenewAt)
	}
	if expiry, ok := co.wa.NextExpiry(); ok {
		// A takeover under way, or one that waits for the table, is looked at
		// again at the busy pace.
		next = min(next, max(expiry, now.Add(busyInterval)))
	}
	if deadline := co.ho.Deadline(); now.Before(deadline) {
		next = min(next, deadline)
	}
	return max(next, now.Add(minInterval))
}

func (co *Controller) isBusy() bool {
	if !co.isJoined || co.prepared != nil || co.needsFold || co.needsOwnFold || co.leave != nil {
		return true
	}
	for _, te := range co.tenures {
		if len(te.pending) > 0 || len(te.leaving) > 0 {
			return true
		}
	}
	return false
}

func (co *Controller) publishLease() {
	co.pu.SetLease(co.ho.Deadline())
	co.pu.CancelIfLapsed()
}

// spawn runs slow work outside the control thread and posts its outcome.
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
	case datagramArrived:
		co.onDatagram(ev.datagram, ev.from)
	case revokeAsked:
		ev.reply <- co.onRevoke(ev, now)
	case releaseAsked:
		ev.reply <- co.onRelease(ev.request)
	case syncAsked:
		ev.reply <- co.ds.newerThan(ev.have)
	case configAwaited:
		co.onConfig(ev, now)
	case orphansFound:
		co.onOrphans(ev)
	case heartbeatArrived:
		co.onHeartbeat(ev, now)
	case serverLeft:
		ev.reply <- co.onServerLeft(ev, now)
	case serverRefused:
		co.onServerRefused(now)
	case documentsFetched:
		co.onDocuments(ev, now)
	case synced:
		co.onSynced(ev, now)
	case rowCommitted:
		co.onRow(ev, now)
	case released:
		co.onReleased(ev)
	case takeoverEnded:
		co.onTakeover(ev, now)
	case folded:
		co.onFolded(ev, now)
	case leaveAsked:
		co.onLeave(ev)
	case left:
		co.onLeft(ev)
	case suspectFound:
		co.tellSuspect(ev.fingerprint, now)
	case statusAsked:
		ev.reply <- co.status(now)
	default:
		panic(fmt.Sprintf("controller: unknown event %T", ev))
	}
}

// tick does what is due at now.
func (co *Controller) tick(now timer.Instant) {
	co.join(now)
	co.renew(now)
	co.pollConfig(now)
	co.poll(now)
	co.reviewServer(now)
	co.announce(now)
	co.watch(now)
	co.findOrphans(now)
	co.rewatch(now)
	co.proposeWatchers(now)
	co.settle(now)
	co.obtain(now)
	co.refold(now)
	co.proceedLeaving()
	co.logBeliefs(now)
	if !now.Before(co.nextObserveAt) {
		co.nextObserveAt = now.Add(observeInterval)
		co.observe(now)
	}
}

// onDocuments applies documents, forwards only.
func (co *Controller) onDocuments(ev documentsFetched, now timer.Instant) {
	if ev.isPoll {
		co.isFetching = false
		if ev.err != nil && !co.isJoined {
			co.nextPollAt = now.Add(joinBackoff)
		}
	}
	if ev.isTable {
		co.noteTable(ev)
	}
	isChanged := false
	before := co.ds.config
	for _, do := range ev.documents {
		applied, err := co.ds.apply(do)
		if err != nil {
			co.lo.Error("document rejected", "document", do.Name, "version", do.Version, "error", err)
			continue
		}
		isChanged = isChanged || applied
	}
	if isChanged {
		co.onChange(now)
	}
	// Weights follow the configuration. Its author folds it into the maps, and
	// the pollers do in case the author failed.
	if changesWeights(before, co.ds.config) && co.isJoined && co.isPoller() {
		co.needsFold = true
	}
	if ev.isTable {
		co.noteAttempt(ev)
	}
}

func (co *Controller) noteTable(ev documentsFetched) {
	co.tableError = ""
	if ev.err != nil {
		co.tableError = ev.err.Error()
	}
}

// noteAttempt takes a read of the table by this instance.
func (co *Controller) noteAttempt(ev documentsFetched) {
	co.fr.RecordAttempt(co.self.DataCentre, ev.readAt, ev.err == nil)
	co.pu.SetFreshUntil(co.fr.FreshUntil())
}

func centreNames(cat cataloguer.Catalogue) []string {
	var names []string
	for _, dc := range cat.DataCentres {
		names = append(names, dc.Name)
	}
	return names
}

// onChange publishes new documents and follows the new maps.
func (co *Controller) onChange(now timer.Instant) {
	co.fr.SetDataCentres(centreNames(co.ds.config.Catalogue))
	co.noteLimitsMap(now)
	co.followMaps()
	co.pu.Publish(co.ds.view())
	co.checkMembership()
	co.nextRenewAt = now
	if co.hasLostWatcher() {
		co.nextRewatchAt = min(co.nextRewatchAt, now)
	}
	co.lo.Debug("documents applied", "config", co.ds.config.Version, "hash", co.ds.hash)
}
