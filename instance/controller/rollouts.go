package controller

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/roller"
	"cornellanding.example/core/timer"
	"cornellanding.example/port/tabler"
	"cornellanding.example/wire/encoder"
	"cornellanding.example/wire/peerproto"
)

const (
	// rollOutTimeout bounds a poll of a gate.
	rollOutTimeout = 500 * time.Millisecond
	// rollOutBackoff separates writes of a state or a status after one that failed.
	rollOutBackoff = 300 * timer.Millisecond
	// maxOrderAge bounds how long before it was first seen an order counts as written. In
	// a longer outage of the store nobody could write orders.
	maxOrderAge = 5 * timer.Second
	// rollOutFoldSpread is the range of the delay of pollers that fold a new state into the
	// maps. The acting instance does so at once, and they if it has failed.
	rollOutFoldSpread = 400 * timer.Millisecond
)

// RollOutPeers polls the gates of other instances.
type RollOutPeers interface {
	RollOut(ctx context.Context, address string, re *peerproto.RollOutRequest) (*peerproto.RollOutResponse, error)
}

// StatusWriter tells operators how far an order has come.
type StatusWriter interface {
	// WriteStatus writes a status if the row of the table still has the version in the
	// condition. The error is a *tabler.ConflictError if it has not.
	WriteStatus(ctx context.Context, holds tabler.Condition, su roller.Status) error
}

// WithRollOuts makes the instance follow the versions of backend servers. Without it all
// versions get requests.
func WithRollOuts(bo roller.Bounds, pe RollOutPeers, sw StatusWriter) Option {
	return func(co *Controller) {
		co.tableStore.hasRollOuts = true
		co.rollOuts = &rollOuts{bounds: bo, peers: pe, status: sw, services: map[string]*serviceRollOut{}}
	}
}

// rollOuts is what the event loop knows of the versions of all services. It is nil if
// rollouts are off.
type rollOuts struct {
	bounds   roller.Bounds
	peers    RollOutPeers
	status   StatusWriter
	services map[string]*serviceRollOut
	// readAt is when the configuration was last read before the one in force.
	readAt timer.Instant
}

// serviceRollOut is what it knows of one service.
type serviceRollOut struct {
	ro *roller.Roller
	// serviceMap and limitsMap are the versions of the maps that ro follows.
	serviceMap, limitsMap uint64
	isWriting             bool
	nextStateAt           timer.Instant
	nextStatusAt          timer.Instant
	// polling holds the instances that have not answered a poll yet.
	polling map[uint64]bool
}

// rollOutRequested is a poll by the acting instance.
type rollOutRequested struct {
	request *peerproto.RollOutRequest
	reply   chan<- *peerproto.RollOutResponse
}

// rollOutPolled ends a poll of a gate.
type rollOutPolled struct {
	service string
	from    uint64
	answer  *peerproto.RollOutResponse
	err     error
}

// rollOutWritten ends a write of a state. The document is the state as stored, if known.
type rollOutWritten struct {
	state    roller.State
	document Document
	err      error
}

// statusWritten ends a write of a status.
type statusWritten struct {
	status roller.Status
	err    error
}

func (rollOutRequested) isEvent() {}
func (rollOutPolled) isEvent()    {}
func (rollOutWritten) isEvent()   {}
func (statusWritten) isEvent()    {}

// advanceRollOuts makes the steps of all rollouts that are due.
func (co *Controller) advanceRollOuts(now timer.Instant) {
	if co.rollOuts == nil || !co.isJoined || co.stopping != nil {
		return
	}
	for service, st := range co.ds.rollOuts {
		sr := co.serviceRollOut(service)
		sr.ro.Observe(st, now, time.Now().UnixMilli())
		sr.ro.SetOrder(orderOf(co.ds.config, service), co.ds.config.Version, co.rollOuts.readAt)
		co.followService(sr, service)
		if !sr.ro.IsIdle(now) {
			co.advanceRollOut(sr, now)
		}
	}
}

func (co *Controller) serviceRollOut(service string) *serviceRollOut {
	sr := co.rollOuts.services[service]
	if sr == nil {
		sr = &serviceRollOut{ro: roller.New(co.self.Incarnation, roller.WithBounds(co.rollOuts.bounds)), polling: map[uint64]bool{}}
		co.rollOuts.services[service] = sr
	}
	return sr
}

// orderOf returns the order of a service, the zero Order if there is none.
func orderOf(co cataloguer.Config, service string) roller.Order {
	for _, or := range co.RollOuts {
		if or.Service == service {
			return roller.Order(or)
		}
	}
	return roller.Order{}
}

// followService passes on the members if the maps have changed.
func (co *Controller) followService(sr *serviceRollOut, service string) {
	tb, limits := co.ds.tables[service], co.ds.tables[folder.LimitsService]
	if tb == nil || limits == nil || sr.serviceMap == tb.Map.Version && sr.limitsMap == limits.Map.Version {
		return
	}
	sr.serviceMap, sr.limitsMap = tb.Map.Version, limits.Map.Version
	var members []roller.Member
	for _, me := range tb.Map.Members {
		members = append(members, roller.Member{Incarnation: me.Incarnation, Server: me.BackendServer, Version: me.Version, Weight: me.Weight})
	}
	sr.ro.SetFleet(roller.Fleet{
		Members: members, MapVersion: tb.Map.Version, IsShared: tb.Map.Partitions == 0, Standbys: standbysOf(limits.Map.Members),
	})
}

// standbysOf returns the instances that may act: of each data centre the one with the lowest
// incarnation, which also polls the configuration.
func standbysOf(members []placer.Member) []uint64 {
	first := map[string]uint64{}
	for _, me := range members {
		if lowest, ok := first[me.DataCentre]; !ok || me.Incarnation < lowest {
			first[me.DataCentre] = me.Incarnation
		}
	}
	var standbys []uint64
	for _, incarnation := range first {
		standbys = append(standbys, incarnation)
	}
	slices.SortFunc(standbys, cmp.Compare)
	return standbys
}

func (co *Controller) advanceRollOut(sr *serviceRollOut, now timer.Instant) {
	for _, po := range sr.ro.Polls(now) {
		co.pollGate(sr, po)
	}
	sr.ro.Evaluate(now)
	if sr.isWriting {
		return
	}
	if su, ok := sr.ro.StatusDue(now); ok && !now.Before(sr.nextStatusAt) {
		sr.isWriting = true
		co.spawn(func(ctx context.Context) event {
			return statusWritten{status: su, err: co.tableStore.writeStatus(ctx, co.rollOuts.status, su)}
		})
		return
	}
	if now.Before(sr.nextStateAt) {
		return
	}
	if next, ok := sr.ro.Propose(now, time.Now().UnixMilli()); ok {
		sr.isWriting = true
		co.spawn(func(ctx context.Context) event {
			do, err := co.tableStore.writeRollOut(ctx, next)
			return rollOutWritten{state: next, document: do, err: err}
		})
	}
}

// pollGate sends a poll, unless the instance has not answered an earlier one yet.
func (co *Controller) pollGate(sr *serviceRollOut, po roller.Poll) {
	me, ok := co.ds.member(po.To)
	if !ok || sr.polling[po.To] {
		return
	}
	st := sr.ro.State()
	do := co.ds.compressed(RollOutPrefix + st.Service)
	if do.Version != st.Version {
		return
	}
	sr.polling[po.To] = true
	request := &peerproto.RollOutRequest{
		State: &peerproto.Document{Name: do.Name, Version: do.Version, Content: do.Compressed()},
		To:    po.To, Term: st.Term, Ceiling: po.Grant.Ceiling, Stopped: po.Grant.IsStopped, Done: po.IsDone, Stalled: po.IsStalled,
	}
	if po.HasState {
		request.State.Content = nil
	}
	co.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, rollOutTimeout)
		defer cancel()
		answer, err := co.rollOuts.peers.RollOut(ctx, me.Address, request)
		return rollOutPolled{service: st.Service, from: po.To, answer: answer, err: err}
	})
}

func (co *Controller) onRollOutPolled(ev rollOutPolled, now timer.Instant) {
	sr := co.serviceRollOut(ev.service)
	delete(sr.polling, ev.from)
	if ev.err != nil {
		co.lo.Debug("poll of a gate for a rollout failed", "service", ev.service, "instance", ev.from, "error", ev.err)
		return
	}
	an := ev.answer
	re := roller.Report{
		StateVersion: an.GetStateVersion(), MapVersion: an.GetMapVersion(), Started: an.GetStarted(), Routes: map[string]roller.Counts{},
		Running: int(an.GetRunning()), Pending: int(an.GetPending()), Held: int(an.GetHeld()),
		IsReady: an.GetReady(), IsCold: an.GetCold(), IsNew: an.GetNew(),
	}
	for _, rc := range an.GetRoutes() {
		re.Routes[rc.GetRoute()] = roller.Counts{Good: rc.GetGood(), Bad: rc.GetBad(), Slow: rc.GetSlow(), Latency: timer.Span(rc.GetLatency())}
	}
	sr.ro.Report(ev.from, re, now)
}

// onRollOutWritten applies a state that was stored, or the one found in its place.
func (co *Controller) onRollOutWritten(ev rollOutWritten, now timer.Instant) {
	st := ev.state
	sr := co.serviceRollOut(st.Service)
	sr.isWriting = false
	sr.ro.Wrote(ev.err != nil, now)
	if ev.err != nil {
		sr.nextStateAt = now.Add(rollOutBackoff)
		co.lo.Warn("failed to write the state of a rollout", "service", st.Service, "version", st.Version, "phase", string(st.Phase), "error", ev.err)
	} else {
		co.lo.Info("state of a rollout written", "service", st.Service, "version", st.Version, "inForce", st.InForce, "to", st.Order.To,
			"order", st.Order.ID, "phase", string(st.Phase), "step", st.Step, "outcome", string(st.Outcome), "canaries", len(st.Canaries), "share", st.Share,
			"term", st.Term, "seen", st.Seen, "granted", st.Granted, "verdict", sr.ro.Verdict().String())
	}
	if ev.document.Version != 0 {
		co.onDocuments(documentsFetched{documents: []Document{ev.document}}, now)
	}
}

func (co *Controller) onStatusWritten(ev statusWritten, now timer.Instant) {
	sr := co.serviceRollOut(ev.status.Service)
	sr.isWriting = false
	sr.ro.Wrote(ev.err != nil, now)
	if ev.err != nil {
		sr.nextStatusAt = now.Add(rollOutBackoff)
		co.lo.Warn("failed to write the status of a rollout", "service", ev.status.Service, "outcome", string(ev.status.Outcome), "error", ev.err)
		return
	}
	sr.ro.StatusWritten(ev.status, now)
	co.lo.Info("status of a rollout written", "service", ev.status.Service, "to", ev.status.To, "order", ev.status.Order, "outcome", string(ev.status.Outcome))
}

// RollOut handles a poll by the acting instance of a rollout, except for what the gate
// counts. It returns the context's error if ctx ends first.
func (co *Controller) RollOut(ctx context.Context, re *peerproto.RollOutRequest) (*peerproto.RollOutResponse, error) {
	reply := make(chan *peerproto.RollOutResponse, 1)
	return call(ctx, co, reply, rollOutRequested{request: re, reply: reply})
}

func (co *Controller) onRollOutRequested(ev rollOutRequested, now timer.Instant) {
	answer := &peerproto.RollOutResponse{}
	if co.rollOuts == nil {
		ev.reply <- answer
		return
	}
	do := ev.request.GetState()
	if len(do.GetContent()) > 0 && do.GetVersion() > co.ds.held[do.GetName()].Version {
		sent, err := decompress(do)
		if err != nil {
			co.lo.Error("document rejected", "document", do.GetName(), "version", do.GetVersion(), "error", err)
		} else {
			co.onDocuments(documentsFetched{documents: []Document{sent}}, now)
		}
	}
	service, _ := cutRollOut(do.GetName())
	if st, ok := co.ds.rollOuts[service]; ok {
		sr := co.serviceRollOut(service)
		sr.ro.Observe(st, now, time.Now().UnixMilli())
		if !ev.request.GetStalled() {
			sr.ro.Hear(ev.request.GetTerm(), ev.request.GetDone(), now)
		}
		answer.StateVersion = st.Version
	}
	if tb := co.ds.tables[service]; tb != nil && service == co.self.Service {
		answer.MapVersion = tb.Map.Version
		answer.Pending, answer.Held = co.countPartitions()
	}
	ev.reply <- answer
}

// countPartitions counts the partitions that this instance is to obtain, and those that it
// serves or its backend server may hold.
func (co *Controller) countPartitions() (pending, held uint32) {
	ow := co.ownerships[co.self.Service]
	if ow == nil {
		return 0, 0
	}
	now := co.pu.Now()
	for pt := range co.ds.tables[ow.service].Map.Partitions {
		if co.pu.Epoch(ow.service, pt) != 0 || co.tracksHolds(ow.service) && co.re.MayHold(pt, now) {
			held++
		}
	}
	return uint32(len(ow.pending)), held
}

// isOwnVersionAdmitted reports whether the version of the own backend server gets any
// requests, and so may hold keys.
func (co *Controller) isOwnVersionAdmitted() bool {
	if co.rollOuts == nil || co.re == nil {
		return true
	}
	hb, _ := co.re.LatestHeartbeat()
	return co.ds.rollOuts[co.self.Service].AdmissionOf(co.self.BackendServer, hb.Version) != roller.AdmitNone
}

// noteConfigRead notes, with a new configuration, when the one before it was last read: an
// order in the new one was written later.
func (co *Controller) noteConfigRead(before cataloguer.Config, now timer.Instant) {
	if co.rollOuts == nil || before.Version == co.ds.config.Version {
		return
	}
	co.rollOuts.readAt = now
	if age, ok := co.fr.ReadAge(now); ok && before.Version != 0 {
		co.rollOuts.readAt = now.Add(-min(age, maxOrderAge))
	}
}

// ownVersion returns the version of the backend server for this instance's row.
func (co *Controller) ownVersion() string {
	if co.rollOuts == nil || co.re == nil {
		return ""
	}
	hb, _ := co.re.LatestHeartbeat()
	return hb.Version
}

// followRollOuts folds new states into the maps: at once if this instance is the acting one,
// else after a while if it is a poller.
func (co *Controller) followRollOuts(before map[string]roller.State, now timer.Instant) {
	if co.rollOuts == nil || !co.isJoined {
		return
	}
	for service, st := range co.ds.rollOuts {
		if before[service].Version == st.Version || isSameShare(before[service], st) {
			continue
		}
		switch {
		case st.Actor == co.self.Incarnation:
			co.needsFold, co.nextFoldAt = true, now
		case co.isPoller():
			co.needsFold = true
			co.nextFoldAt = max(co.nextFoldAt, now.Add(rollOutFoldSpread/4+timer.Span(rand.Int64N(int64(rollOutFoldSpread)))))
		}
	}
}

// isSameShare reports whether two states give all servers the same shares.
func isSameShare(le, ri roller.State) bool {
	return le.InForce == ri.InForce && le.Phase == ri.Phase && le.Order.To == ri.Order.To && le.Share == ri.Share && slices.Equal(le.Canaries, ri.Canaries)
}

// writeRollOut stores a state on condition that the stored one has the version before. It
// returns the state found if that is another one.
func (ts *tableStore) writeRollOut(ctx context.Context, next roller.State) (Document, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	content, err := encoder.EncodeRollOut(next)
	if err != nil {
		return Document{}, fmt.Errorf("controller: encode rollout: %w", err)
	}
	do := Document{Name: RollOutPrefix + next.Service, Version: next.Version, Content: content}
	found, stored, err := ts.readRollOut(ctx, next.Service)
	switch {
	case err != nil:
		return Document{}, err
	case bytes.Equal(found.Value, content):
		return do, nil // an earlier attempt whose answer was lost
	case stored.Version+1 != next.Version:
		found := Document{Name: do.Name, Version: stored.Version, Content: found.Value}
		return found, fmt.Errorf("controller: rollout of %s is at version %d, not before %d", next.Service, stored.Version, next.Version)
	}
	_, err = ts.table.Commit(ctx, tabler.Transaction{
		Conditions: []tabler.Condition{{Key: do.Name, Version: found.Version}},
		Writes:     []tabler.Write{{Key: do.Name, Value: content}},
	})
	if err != nil {
		return Document{}, err
	}
	return do, nil
}

func (ts *tableStore) readRollOut(ctx context.Context, service string) (tabler.Row, roller.State, error) {
	key := RollOutPrefix + service
	rows, err := ts.table.Read(ctx, tabler.Query{Keys: []string{key}})
	if err != nil {
		return tabler.Row{}, roller.State{}, err
	}
	ro := tabler.Find(rows, key)
	if ro.Version == 0 {
		return ro, roller.State{}, errNoRollOut
	}
	st, err := encoder.DecodeRollOut(ro.Value)
	return ro, st, err
}

var errNoRollOut = errors.New("controller: the state of the service's versions is missing")

// writeStatus writes a status while the stored state says so.
func (ts *tableStore) writeStatus(ctx context.Context, sw StatusWriter, su roller.Status) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	ro, st, err := ts.readRollOut(ctx, su.Service)
	if err != nil {
		return err
	}
	if st.Version != su.StateVersion {
		return fmt.Errorf("controller: rollout of %s is at version %d, not %d", su.Service, st.Version, su.StateVersion)
	}
	return sw.WriteStatus(ctx, tabler.Condition{Key: ro.Key, Version: ro.Version}, su)
}
