// Package publisher hands the control thread's decisions to the traffic
// threads.
//
// The control thread publishes immutable views and sets deadlines; traffic
// threads read them without a lock.
//
// # Usage
//
//	pu := publisher.New(clock, self)
//	pu.Publish(view)          // control thread
//	pu.SetLease(deadline)
//	vi := pu.View()           // traffic threads
//	epoch, ok := pu.Enter("counter", partition)
//	defer pu.Leave("counter", partition)
package publisher

import (
	"context"
	"sync"
	"sync/atomic"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
)

// Self tells who the instance is.
type Self struct {
	BackendServer string
	Service       string
	DataCentre    string
	Region        string
	Address       string
	Incarnation   uint64
}

// View is an immutable picture of what is agreed.
type View struct {
	Config           cataloguer.Config
	WorkspacesByKey  map[cataloguer.Digest]string
	WorkspacesByName map[string]cataloguer.Workspace
	Services         map[string]cataloguer.Service
	Tables           map[string]*placer.Table
}

// NewView indexes a configuration and its maps.
func NewView(co cataloguer.Config, tables map[string]*placer.Table) *View {
	vi := &View{
		Config: co, Tables: tables,
		WorkspacesByKey:  make(map[cataloguer.Digest]string, len(co.Keys)),
		WorkspacesByName: make(map[string]cataloguer.Workspace, len(co.Catalogue.Workspaces)),
		Services:         make(map[string]cataloguer.Service, len(co.Catalogue.Services)),
	}
	for _, ke := range co.Keys {
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

// holding is the instance's part of one service.
type holding struct {
	// epochs holds the map version at which a partition was obtained, or 0.
	epochs  []atomic.Uint64
	running []atomic.Int32
	// heldUntil says until when the backend server surely holds a partition, if
	// it is told what to hold.
	heldUntil []atomic.Int64
	isTold    bool
}

// BackendServer is what is known of the backend server beside the instance, if
// it announces itself.
type BackendServer struct {
	// ID names its present start, "" if it has not been heard of.
	ID    string
	Slots int
	// ColdUntil is when it is warm again.
	ColdUntil timer.Instant
	// RefuseAt is from when it must get no new work, 0 if it may.
	RefuseAt timer.Instant
	// LastHeartbeatAt is when it was last heard.
	LastHeartbeatAt timer.Instant
}

// Publisher is the boundary between control and traffic.
type Publisher struct {
	clock      timer.Clock
	self       Self
	view       atomic.Pointer[View]
	leaseUntil atomic.Int64
	freshUntil atomic.Int64
	isStopping atomic.Bool
	server     atomic.Pointer[BackendServer]

	mu       sync.RWMutex
	holdings map[string]*holding
	told     string

	cancelMu sync.Mutex
	cancels  map[uint64]context.CancelFunc
	lastRun  uint64
}

// New returns a publisher with an empty view and no lease.
func New(clock timer.Clock, self Self) *Publisher {
	pu := &Publisher{clock: clock, self: self, holdings: map[string]*holding{}, cancels: map[uint64]context.CancelFunc{}}
	pu.view.Store(NewView(cataloguer.Config{}, map[string]*placer.Table{}))
	return pu
}

// Self returns who the instance is.
func (pu *Publisher) Self() Self { return pu.self }

// Now reads the clock.
func (pu *Publisher) Now() timer.Instant { return pu.clock.Now() }

// View returns the latest view.
func (pu *Publisher) View() *View { return pu.view.Load() }

// Publish replaces the view.
func (pu *Publisher) Publish(vi *View) { pu.view.Store(vi) }

// SetLease sets when the lease ends, 0 if there is none.
func (pu *Publisher) SetLease(deadline timer.Instant) { pu.leaseUntil.Store(int64(deadline)) }

// LeaseUntil returns when the lease ends.
func (pu *Publisher) LeaseUntil() timer.Instant { return timer.Instant(pu.leaseUntil.Load()) }

// HasLease reports whether the lease is valid now.
func (pu *Publisher) HasLease() bool { return pu.clock.Now().Before(pu.LeaseUntil()) }

// SetFreshUntil sets until when the knowledge of withdrawn keys counts.
func (pu *Publisher) SetFreshUntil(deadline timer.Instant) { pu.freshUntil.Store(int64(deadline)) }

// FreshUntil returns until when the knowledge of withdrawn keys counts.
func (pu *Publisher) FreshUntil() timer.Instant { return timer.Instant(pu.freshUntil.Load()) }

// IsFresh reports whether the knowledge of withdrawn keys is recent enough.
func (pu *Publisher) IsFresh() bool { return pu.clock.Now().Before(pu.FreshUntil()) }

// SetStopping makes the instance refuse new callers.
func (pu *Publisher) SetStopping() { pu.isStopping.Store(true) }

// IsStopping reports whether a planned stop has begun.
func (pu *Publisher) IsStopping() bool { return pu.isStopping.Load() }

func (pu *Publisher) holding(service string) *holding {
	pu.mu.RLock()
	defer pu.mu.RUnlock()
	return pu.holdings[service]
}

// Resize makes room for a service's partitions.
func (pu *Publisher) Resize(service string, partitions uint32) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	ho := pu.holdings[service]
	if ho != nil && len(ho.epochs) == int(partitions) {
		return
	}
	pu.holdings[service] = &holding{
		epochs: make([]atomic.Uint64, partitions), running: make([]atomic.Int32, partitions),
		heldUntil: make([]atomic.Int64, partitions), isTold: pu.told == service,
	}
}

// RequireHolds makes the partitions of a service count as served only while the
// backend server holds them, see Hold. It must be called before Resize.
func (pu *Publisher) RequireHolds(service string) { pu.told = service }

// SetHeldUntil sets until when the backend server surely holds a partition.
func (pu *Publisher) SetHeldUntil(service string, pt uint32, until timer.Instant) {
	pu.holding(service).heldUntil[pt].Store(int64(until))
}

// SetBackendServer publishes what is known of the backend server.
func (pu *Publisher) SetBackendServer(bs BackendServer) { pu.server.Store(&bs) }

// BackendServer returns what is known of the backend server, or nil if it does
// not announce itself.
func (pu *Publisher) BackendServer() *BackendServer { return pu.server.Load() }

// Acquire lets the instance serve a partition under a map version.
func (pu *Publisher) Acquire(service string, pt uint32, version uint64) {
	pu.holding(service).epochs[pt].Store(version)
}

// Drop ends the service of a partition. Work that runs goes on: see IsIdle.
func (pu *Publisher) Drop(service string, pt uint32) {
	ho := pu.holding(service)
	ho.epochs[pt].Store(0)
	ho.heldUntil[pt].Store(0)
}

// Epoch returns the map version at which a partition was obtained, or 0.
func (pu *Publisher) Epoch(service string, pt uint32) uint64 {
	ho := pu.holding(service)
	if ho == nil || int(pt) >= len(ho.epochs) {
		return 0
	}
	return ho.epochs[pt].Load()
}

// IsIdle reports whether no work runs on a dropped partition.
func (pu *Publisher) IsIdle(service string, pt uint32) bool {
	ho := pu.holding(service)
	if ho == nil || int(pt) >= len(ho.running) {
		return true
	}
	return ho.running[pt].Load() == 0
}

// Owns reports whether the instance holds the partition under a valid lease.
func (pu *Publisher) Owns(service string, pt uint32) bool {
	ho := pu.holding(service)
	return pu.Epoch(service, pt) != 0 && pu.HasLease() && pu.isHeld(ho, pt)
}

// Enter counts work on a partition and returns its fencing epoch, or false if
// the instance doesn't own it. The count goes up before the check, so that
// whoever drops the partition and then sees no work knows that none can begin.
func (pu *Publisher) Enter(service string, pt uint32) (uint64, bool) {
	ho := pu.holding(service)
	if ho == nil || int(pt) >= len(ho.epochs) {
		return 0, false
	}
	ho.running[pt].Add(1)
	epoch := ho.epochs[pt].Load()
	if epoch == 0 || !pu.HasLease() || !pu.isHeld(ho, pt) {
		ho.running[pt].Add(-1)
		return 0, false
	}
	return epoch, true
}

func (pu *Publisher) isHeld(ho *holding, pt uint32) bool {
	return !ho.isTold || pu.clock.Now().Before(timer.Instant(ho.heldUntil[pt].Load()))
}

// Leave ends what Enter began.
func (pu *Publisher) Leave(service string, pt uint32) {
	pu.holding(service).running[pt].Add(-1)
}

// Guard returns a context that is cancelled when the lease ends. Release must
// be called when the work has ended.
func (pu *Publisher) Guard(parent context.Context) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancel(parent)
	pu.cancelMu.Lock()
	pu.lastRun++
	id := pu.lastRun
	pu.cancels[id] = cancel
	pu.cancelMu.Unlock()
	return ctx, func() {
		pu.cancelMu.Lock()
		delete(pu.cancels, id)
		pu.cancelMu.Unlock()
		cancel()
	}
}

// CancelIfLapsed cancels all guarded work if the lease has ended. It reports
// whether the lease is valid.
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
