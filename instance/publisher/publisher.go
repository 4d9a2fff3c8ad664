// Package publisher makes the control state available to request handlers.
//
// The control event loop publishes immutable views and sets deadlines. Request
// handlers read both through atomics, so they never wait for the loop.
//
// # Usage
//
//	pu := publisher.New(clock, self)
//	pu.Publish(view)          // event loop
//	pu.SetLeaseUntil(deadline)
//	vi := pu.View()           // request handlers
//	epoch, ok := pu.Enter("counter", partition)
//	defer pu.Leave("counter", partition)
package publisher

import (
	"context"
	"sync"
	"sync/atomic"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/roller"
	"cornellanding.example/core/timer"
)

// Self identifies the instance and its incarnation, which is one start of it.
type Self struct {
	BackendServer string
	Service       string
	DataCentre    string
	Region        string
	// Address is where other instances send RPCs and datagrams, as IP:port.
	Address     string
	Incarnation uint64
}

// View is an immutable snapshot of the configuration and the partition maps.
type View struct {
	Config cataloguer.Config
	// WorkspacesByKey maps the digest of each workspace key to the workspace's name.
	WorkspacesByKey  map[cataloguer.Digest]string
	WorkspacesByName map[string]cataloguer.Workspace
	Services         map[string]cataloguer.Service
	Tables           map[string]*placer.Table
	// RollOuts holds the states of the services' versions. It is nil if rollouts are off.
	RollOuts map[string]roller.State
	// ConfigStarts lists when the latest versions of the configuration came in force here,
	// oldest first.
	ConfigStarts []ConfigStart
	// OutSince is since when, as known here, the configuration has this VM out: its data
	// centre or its backend server is drained. It is 0 if neither is.
	OutSince timer.Instant
}

// NewView indexes a configuration and its maps.
func NewView(co cataloguer.Config, tables map[string]*placer.Table) *View {
	vi := &View{
		Config: co, Tables: tables,
		WorkspacesByKey:  make(map[cataloguer.Digest]string, len(co.WorkspaceKeys)),
		WorkspacesByName: make(map[string]cataloguer.Workspace, len(co.Catalogue.Workspaces)),
		Services:         make(map[string]cataloguer.Service, len(co.Catalogue.Services)),
	}
	for _, ke := range co.WorkspaceKeys {
		vi.WorkspacesByKey[ke.Digest] = ke.Workspace
	}
	for _, ws := range co.Catalogue.Workspaces {
		vi.WorkspacesByName[ws.Name] = ws
	}
	for _, sv := range co.Catalogue.Services {
		vi.Services[sv.Name] = sv
	}
	return vi
}

// partitionSet is the state of the partitions of one service, by partition.
type partitionSet struct {
	// epochs holds the map version at which a partition was acquired, which is its
	// fencing epoch, or 0 if it is not served.
	epochs []atomic.Uint64
	// running counts the work that runs on a partition.
	running []atomic.Int32
	// heldUntil is until when the backend server holds a partition for certain. It
	// is used only if requiresHold is set.
	heldUntil    []atomic.Int64
	requiresHold bool
}

// BackendServer is the state of the instance's backend server as known from its
// heartbeats.
type BackendServer struct {
	// ID identifies the server's current start. It is "" before the first
	// heartbeat.
	ID string
	// StartedAt tells runs of one ID apart, see registrar.Heartbeat.
	StartedAt int64
	// Version is the version of the server's program, and Since when its current start was
	// first heard of.
	Version string
	Since   timer.Instant
	// Slots is how many requests the server handles concurrently.
	Slots int
	// ColdUntil is when the server's warm-up ends. It is 0 if the server is warm.
	ColdUntil timer.Instant
	// RefuseAt is from when the server must get no new work. It is 0 unless the
	// server drains.
	RefuseAt timer.Instant
	// LastHeartbeatAt is when the latest heartbeat was received.
	LastHeartbeatAt timer.Instant
}

// Publisher passes state from the control event loop to request handlers. All
// methods are safe for concurrent use, except RequireHolds.
type Publisher struct {
	clock      timer.Clock
	self       Self
	view       atomic.Pointer[View]
	leaseUntil atomic.Int64
	freshUntil atomic.Int64
	readAt     atomic.Int64
	isStopping atomic.Bool
	// refuseLongFrom is as in SetStopping.
	refuseLongFrom atomic.Int64
	server         atomic.Pointer[BackendServer]

	mu            sync.RWMutex
	partitionSets map[string]*partitionSet
	// heldService is the service named by RequireHolds, "" if there is none.
	heldService string

	cancelMu sync.Mutex
	// cancels holds the cancel functions of the contexts that Guard returned, by a
	// number that lastGuard counts up.
	cancels   map[uint64]context.CancelFunc
	lastGuard uint64
}

// New returns a publisher with an empty view and no lease.
func New(clock timer.Clock, self Self) *Publisher {
	pu := &Publisher{clock: clock, self: self, partitionSets: map[string]*partitionSet{}, cancels: map[uint64]context.CancelFunc{}}
	pu.view.Store(NewView(cataloguer.Config{}, map[string]*placer.Table{}))
	return pu
}

// Self returns the identity of the instance.
func (pu *Publisher) Self() Self { return pu.self }

// Now returns the clock's current instant.
func (pu *Publisher) Now() timer.Instant { return pu.clock.Now() }

// View returns the latest view.
func (pu *Publisher) View() *View { return pu.view.Load() }

// Publish replaces the view.
func (pu *Publisher) Publish(vi *View) { pu.view.Store(vi) }

// SetLeaseUntil sets when the lease ends. 0 means that there is no lease.
func (pu *Publisher) SetLeaseUntil(deadline timer.Instant) { pu.leaseUntil.Store(int64(deadline)) }

// LeaseUntil returns when the lease ends.
func (pu *Publisher) LeaseUntil() timer.Instant { return timer.Instant(pu.leaseUntil.Load()) }

// HasLease reports whether the lease is valid now.
func (pu *Publisher) HasLease() bool { return pu.clock.Now().Before(pu.LeaseUntil()) }

// SetFreshUntil sets until when the known set of withdrawn keys is recent enough to
// authorize callers.
func (pu *Publisher) SetFreshUntil(deadline timer.Instant) { pu.freshUntil.Store(int64(deadline)) }

// FreshUntil returns until when the known set of withdrawn keys may be used.
func (pu *Publisher) FreshUntil() timer.Instant { return timer.Instant(pu.freshUntil.Load()) }

// IsFresh reports whether the known set of withdrawn keys is recent enough.
func (pu *Publisher) IsFresh() bool { return pu.clock.Now().Before(pu.FreshUntil()) }

// SetReadAt sets the instant as of which the configuration is known to be the newest, 0 if it
// is not known.
func (pu *Publisher) SetReadAt(at timer.Instant) { pu.readAt.Store(int64(at)) }

// ReadAt returns the instant as of which the configuration is known to be the newest, 0 if it is
// not known.
func (pu *Publisher) ReadAt() timer.Instant { return timer.Instant(pu.readAt.Load()) }

// SetStopping marks that a planned stop has begun. From refuseLongFrom on, no request is
// to be taken that the end of the instance may break off.
func (pu *Publisher) SetStopping(refuseLongFrom timer.Instant) {
	pu.refuseLongFrom.Store(int64(refuseLongFrom))
	pu.isStopping.Store(true)
}

// RefusesLong reports whether requests must be refused that may outlast the instance.
func (pu *Publisher) RefusesLong() bool {
	return pu.IsStopping() && !pu.clock.Now().Before(timer.Instant(pu.refuseLongFrom.Load()))
}

// IsStopping reports whether a planned stop has begun.
func (pu *Publisher) IsStopping() bool { return pu.isStopping.Load() }

func (pu *Publisher) partitionSet(service string) *partitionSet {
	pu.mu.RLock()
	defer pu.mu.RUnlock()
	return pu.partitionSets[service]
}

// Resize allocates the state of a service's partitions. If their number changes,
// their previous state is lost.
func (pu *Publisher) Resize(service string, partitions uint32) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	ps := pu.partitionSets[service]
	if ps != nil && len(ps.epochs) == int(partitions) {
		return
	}
	pu.partitionSets[service] = &partitionSet{
		epochs: make([]atomic.Uint64, partitions), running: make([]atomic.Int32, partitions),
		heldUntil: make([]atomic.Int64, partitions), requiresHold: pu.heldService == service,
	}
}

// RequireHolds makes the instance serve the partitions of a service only while the
// backend server holds them, as set by SetHeldUntil. It must be called before
// Resize.
func (pu *Publisher) RequireHolds(service string) { pu.heldService = service }

// SetHeldUntil sets until when the backend server holds a partition for certain.
func (pu *Publisher) SetHeldUntil(service string, pt uint32, until timer.Instant) {
	pu.partitionSet(service).heldUntil[pt].Store(int64(until))
}

// SetBackendServer publishes the state of the backend server.
func (pu *Publisher) SetBackendServer(bs BackendServer) { pu.server.Store(&bs) }

// BackendServer returns the state of the backend server. It is nil if the server sends
// no heartbeats, and before the event loop has published a state.
func (pu *Publisher) BackendServer() *BackendServer { return pu.server.Load() }

// Acquire makes the instance serve a partition, with the map version, which must not
// be 0, as the fencing epoch. Resize must have been called for the service.
func (pu *Publisher) Acquire(service string, pt uint32, version uint64) {
	pu.partitionSet(service).epochs[pt].Store(version)
}

// Drop makes the instance stop serving a partition. Running work continues, see
// IsIdle.
func (pu *Publisher) Drop(service string, pt uint32) {
	ps := pu.partitionSet(service)
	ps.epochs[pt].Store(0)
	ps.heldUntil[pt].Store(0)
}

// Epoch returns the map version at which a partition was acquired, or 0 if it is not
// served.
func (pu *Publisher) Epoch(service string, pt uint32) uint64 {
	ps := pu.partitionSet(service)
	if ps == nil || int(pt) >= len(ps.epochs) {
		return 0
	}
	return ps.epochs[pt].Load()
}

// IsIdle reports whether no work runs on a partition. Once a partition is dropped and
// then found idle, no work starts on it until it is acquired again.
func (pu *Publisher) IsIdle(service string, pt uint32) bool {
	ps := pu.partitionSet(service)
	if ps == nil || int(pt) >= len(ps.running) {
		return true
	}
	return ps.running[pt].Load() == 0
}

// Owns reports whether the instance serves the partition under a valid lease and, if
// RequireHolds names the service, the backend server holds it.
func (pu *Publisher) Owns(service string, pt uint32) bool {
	ps := pu.partitionSet(service)
	return pu.Epoch(service, pt) != 0 && pu.HasLease() && pu.isHeld(ps, pt)
}

// Enter registers work on a partition and returns the fencing epoch, or false if the
// instance doesn't own the partition. The count is incremented before the check:
// if the partition is dropped and then found idle, no work can start on it.
func (pu *Publisher) Enter(service string, pt uint32) (uint64, bool) {
	ps := pu.partitionSet(service)
	if ps == nil || int(pt) >= len(ps.epochs) {
		return 0, false
	}
	ps.running[pt].Add(1)
	epoch := ps.epochs[pt].Load()
	if epoch == 0 || !pu.HasLease() || !pu.isHeld(ps, pt) {
		ps.running[pt].Add(-1)
		return 0, false
	}
	return epoch, true
}

func (pu *Publisher) isHeld(ps *partitionSet, pt uint32) bool {
	return !ps.requiresHold || pu.clock.Now().Before(timer.Instant(ps.heldUntil[pt].Load()))
}

// Leave ends the work registered by a successful Enter.
func (pu *Publisher) Leave(service string, pt uint32) {
	pu.partitionSet(service).running[pt].Add(-1)
}

// Guard returns a context that CancelIfLapsed cancels once the lease has ended. The
// caller must call release when the work is done.
func (pu *Publisher) Guard(parent context.Context) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancel(parent)
	pu.cancelMu.Lock()
	pu.lastGuard++
	id := pu.lastGuard
	pu.cancels[id] = cancel
	pu.cancelMu.Unlock()
	return ctx, func() {
		pu.cancelMu.Lock()
		delete(pu.cancels, id)
		pu.cancelMu.Unlock()
		cancel()
	}
}

// CancelIfLapsed cancels all contexts returned by Guard if the lease has ended. It
// reports whether the lease is valid.
func (pu *Publisher) CancelIfLapsed() bool {
	if pu.HasLease() {
		return true
	}
	pu.cancelMu.Lock()
	defer pu.cancelMu.Unlock()
	for id, cancel := range pu.cancels {
		cancel()
		delete(pu.cancels, id)
	}
	return false
}
