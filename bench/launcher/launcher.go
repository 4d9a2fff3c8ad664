// Package launcher starts a whole deployment in one process: the platform
// stand-in, stand-ins of backend servers, and a router instance beside each of
// them. All traffic goes over real sockets on loopback.
//
// # Usage
//
//	de, err := launcher.New(launcher.WithExample("sapateira"))
//	defer de.Close()
//	err = de.AwaitReady(ctx)
//	de.KillVM("ordering-3")
package launcher

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"cornellanding.example/bench/allocator"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/examples"
	"cornellanding.example/instance/administrator"
	"cornellanding.example/instance/router"
	"cornellanding.example/port/storer"
	"cornellanding.example/port/tabler"
	"cornellanding.example/standin/emulator"
	"cornellanding.example/wire/parser"
	"github.com/hashicorp/go-hclog"
)

const (
	// exclusiveVMs and sharedVMs are the numbers of VMs per exclusive and per
	// shared service.
	exclusiveVMs = 7
	sharedVMs    = 4
	// tableWriteRate and tableReadRate limit the table, in requests per second.
	tableWriteRate = 300
	tableReadRate  = 2000
	keyBytes       = 16
	operatorName   = "launcher"
	pollInterval   = 20 * time.Millisecond
	backendLatency = 3 * time.Millisecond
	coldStart      = 800 * time.Millisecond
)

// VM is one VM of the deployment: a backend server stand-in and the router
// instance beside it.
type VM struct {
	Name          string
	DataCentre    string
	Service       string
	CallerAddress string
	AdminAddress  string
	Server        *emulator.BackendServer

	peerAddress string
	settings    parser.Settings
	listener    net.Listener
	http        *http.Server
	ro          *router.Router
	cancel      context.CancelFunc
	done        chan error
	isRunning   bool
}

// ServerAddress returns the address at which the backend server accepts
// requests.
func (vm *VM) ServerAddress() string { return vm.settings.BackendServer.Address }

// PeerAddress returns the address on which the instance accepts traffic from
// other instances.
func (vm *VM) PeerAddress() string { return vm.peerAddress }

// Option configures a Deployment in New.
type Option func(*Deployment)

// WithExample selects the example catalogue by name. The default is
// "sapateira".
func WithExample(name string) Option { return func(de *Deployment) { de.example = name } }

// WithLogger sets the logger of all instances. The default discards all lines.
func WithLogger(lo hclog.Logger) Option { return func(de *Deployment) { de.lo = lo } }

// WithSampling makes instances log one in every successful routing decisions.
// The default, 0, logs none.
func WithSampling(every int) Option { return func(de *Deployment) { de.sampleEvery = every } }

// WithBackendOptions adds options to those of every backend server stand-in.
func WithBackendOptions(opts ...emulator.BackendServerOption) Option {
	return func(de *Deployment) { de.backendOptions = opts }
}

// WithLinkRate sets the rate of each VM's link that its instance keeps to, in bytes a second.
// The default, 0, means that it has none.
func WithLinkRate(rate float64) Option { return func(de *Deployment) { de.linkRate = rate } }

// Deployment is a running deployment.
type Deployment struct {
	example        string
	lo             hclog.Logger
	sampleEvery    int
	backendOptions []emulator.BackendServerOption
	linkRate       float64

	Catalogue cataloguer.Catalogue
	Platform  *emulator.Platform
	// Keys holds the API key of each workspace, by the workspace's name.
	Keys map[string]string
	// OperatorKey is the key that all instances accept on the administration
	// API.
	OperatorKey string

	editor   *administrator.Editor
	platform *http.Server
	address  string
	fleetKey []byte
	mu       sync.Mutex
	isolated map[string]bool
	vms      []*VM
}

// New starts a deployment. It returns before the instances are ready; see
// AwaitReady.
func New(opts ...Option) (*Deployment, error) {
	de := &Deployment{example: "sapateira", lo: hclog.NewNullLogger(), Keys: map[string]string{}, OperatorKey: randomKey(), isolated: map[string]bool{}}
	for _, opt := range opts {
		opt(de)
	}
	content, err := examples.Catalogue(de.example)
	if err != nil {
		return nil, err
	}
	de.Catalogue, err = parser.ParseCatalogue(de.example+"/catalogue.yaml", content)
	if err != nil {
		return nil, err
	}
	de.fleetKey = []byte(randomKey())
	if err := de.startPlatform(); err != nil {
		return nil, err
	}
	if err := de.configure(); err != nil {
		de.Close()
		return nil, err
	}
	if err := de.startVMs(); err != nil {
		de.Close()
		return nil, err
	}
	return de, nil
}

func randomKey() string {
	raw := make([]byte, keyBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

func (de *Deployment) startPlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("launcher: %w", err)
	}
	de.address = listener.Addr().String()
	de.Platform = emulator.NewPlatform(emulator.WithRates(tableWriteRate, tableReadRate))
	de.platform = &http.Server{Handler: de.Platform}
	go serve(de.platform, listener)
	table, err := tabler.NewClient(de.address)
	if err != nil {
		return err
	}
	objects, err := storer.NewClient(de.address)
	if err != nil {
		return err
	}
	de.editor = administrator.NewEditor(table, objects)
	return nil
}

// serve blocks until the server is closed.
func serve(server *http.Server, listener net.Listener) { _ = server.Serve(listener) }

// configure commits the catalogue and grants one key to each workspace.
func (de *Deployment) configure() error {
	ctx := context.Background()
	if _, err := de.editor.Commit(ctx, 0, operatorName, administrator.CatalogueApply{Catalogue: de.Catalogue}); err != nil {
		return err
	}
	for _, ws := range de.Catalogue.Workspaces {
		key := randomKey()
		de.Keys[ws.Name] = key
		if err := de.Edit(ctx, administrator.KeyGrant{Workspace: ws.Name, Digest: sha256.Sum256([]byte(key))}); err != nil {
			return err
		}
	}
	return nil
}

// Edit commits a configuration change directly to the platform's table. It
// retries after version conflicts with concurrent edits; other errors are
// returned.
func (de *Deployment) Edit(ctx context.Context, change administrator.Edit) error {
	for {
		current, err := de.editor.Read(ctx)
		if err != nil {
			return err
		}
		_, err = de.editor.Commit(ctx, current.Version, operatorName, change)
		var conflict *administrator.VersionConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
}

func (de *Deployment) startVMs() error {
	index := 0
	for _, sv := range de.Catalogue.Services {
		count := sharedVMs
		if sv.Class == cataloguer.Exclusive {
			count = exclusiveVMs
		}
		for i := range count {
			dc := de.Catalogue.DataCentres[index%len(de.Catalogue.DataCentres)]
			vm := &VM{Name: fmt.Sprintf("%s-%d", sv.Name, i+1), DataCentre: dc.Name, Service: sv.Name}
			if err := de.startVM(vm, sv, dc); err != nil {
				return err
			}
			index++
		}
	}
	return nil
}

func (de *Deployment) startVM(vm *VM, sv cataloguer.Service, dc cataloguer.DataCentre) error {
	opts := []emulator.BackendServerOption{
		emulator.WithSlots(sv.Limits.Slots), emulator.WithServiceTime(backendLatency),
		emulator.WithColdStart(coldStart, sv.Limits.ColdStartSlots),
	}
	if sv.Fenced {
		opts = append(opts, emulator.WithFencing())
	}
	vm.Server = emulator.NewBackendServer(vm.Name, append(opts, de.backendOptions...)...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("launcher: %w", err)
	}
	vm.listener = listener
	vm.settings = parser.Settings{
		VM: vm.Name, DataCentre: dc.Name, Region: dc.Region,
		TableAddress: de.address, ObjectsAddress: de.address, FleetKey: de.fleetKey,
		OperatorKeyDigest: sha256.Sum256([]byte(de.OperatorKey)),
		BackendServer:     parser.BackendServerSettings{Name: vm.Name, Service: sv.Name, Address: listener.Addr().String()},
		Log:               parser.LogSettings{Level: "info", SampleEvery: de.sampleEvery},
		LeaseTerm:         leaser.DefaultTerm, FreshnessLimit: parser.DefaultFreshnessLimit,
		Limits: parser.ResourceLimits{LinkRate: de.linkRate},
	}
	de.mu.Lock()
	de.vms = append(de.vms, vm)
	de.mu.Unlock()
	vm.http = &http.Server{Handler: vm.Server}
	go serve(vm.http, listener)
	return de.startInstance(vm)
}

// startInstance starts a new instance on newly allocated ports, as a
// replacement VM would.
func (de *Deployment) startInstance(vm *VM) error {
	se := vm.settings
	var err error
	for _, address := range []*string{&se.CallerAddress, &se.PeerAddress, &se.AdministratorAddress} {
		if *address, err = allocator.Address(); err != nil {
			return err
		}
	}
	ro, err := router.New(se, router.WithLogger(de.lo.With("backendServer", vm.Name)), router.WithReachability(de.reachability(vm)))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	de.mu.Lock()
	vm.peerAddress = se.PeerAddress
	vm.CallerAddress, vm.AdminAddress = se.CallerAddress, se.AdministratorAddress
	vm.ro, vm.cancel, vm.done, vm.isRunning = ro, cancel, done, true
	de.mu.Unlock()
	go func() { done <- ro.Run(ctx) }()
	return nil
}

// VMs returns all VMs, including those that were killed or stopped.
func (de *Deployment) VMs() []*VM {
	de.mu.Lock()
	defer de.mu.Unlock()
	return append([]*VM(nil), de.vms...)
}

// VM returns the VM with that name, or nil if there is none.
func (de *Deployment) VM(name string) *VM {
	for _, vm := range de.VMs() {
		if vm.Name == name {
			return vm
		}
	}
	return nil
}

// Entries returns the addresses at which the running instances accept requests
// of callers.
func (de *Deployment) Entries() []string {
	de.mu.Lock()
	defer de.mu.Unlock()
	var entries []string
	for _, vm := range de.vms {
		if vm.isRunning {
			entries = append(entries, vm.CallerAddress)
		}
	}
	return entries
}

// Instance returns the router that runs, or ran last, on the named VM. It
// panics if there is no VM with that name, as do KillVM, StopInstance and
// ReplaceVM.
func (de *Deployment) Instance(name string) *router.Router {
	vm := de.VM(name)
	de.mu.Lock()
	defer de.mu.Unlock()
	return vm.ro
}

// KillVM ends the instance and the backend server of a VM at once, without a
// hand-over.
func (de *Deployment) KillVM(name string) {
	vm := de.VM(name)
	de.mu.Lock()
	vm.isRunning = false
	de.mu.Unlock()
	de.Instance(name).Kill()
	// Close ends the listener and all connections. An error needs no handling.
	_ = vm.http.Close()
	<-vm.done
}

// StopInstance stops an instance gracefully and blocks until it has handed over
// its partitions and left the membership.
func (de *Deployment) StopInstance(name string) error {
	vm := de.VM(name)
	vm.cancel()
	err := <-vm.done
	de.mu.Lock()
	vm.isRunning = false
	de.mu.Unlock()
	return err
}

// ReplaceVM restarts a VM that was killed or stopped, on new addresses.
func (de *Deployment) ReplaceVM(name string) error {
	vm := de.VM(name)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("launcher: %w", err)
	}
	_ = vm.http.Close()
	vm.listener = listener
	vm.http = &http.Server{Handler: vm.Server}
	vm.settings.BackendServer.Address = listener.Addr().String()
	vm.Server.Restart()
	go serve(vm.http, listener)
	return de.startInstance(vm)
}

// AwaitReady blocks until every running instance has joined, holds a lease, has
// fresh configuration, sees all running instances as members, and has no
// partitions pending. It returns an error if ctx ends first.
func (de *Deployment) AwaitReady(ctx context.Context) error {
	for {
		if de.isReady(ctx) {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("launcher: not ready: %w", ctx.Err())
		}
	}
}

func (de *Deployment) isReady(ctx context.Context) bool {
	running := de.running()
	for _, vm := range running {
		st, err := de.Status(ctx, vm)
		if err != nil || !st.IsJoined || !st.HasLease || !st.IsFresh || len(st.Members) != len(running) || isPending(st.Pending) {
			return false
		}
	}
	return true
}

func isPending(pending map[string]int) bool {
	for _, count := range pending {
		if count > 0 {
			return true
		}
	}
	return false
}

// running returns the VMs whose instances run.
func (de *Deployment) running() []*VM {
	de.mu.Lock()
	defer de.mu.Unlock()
	var running []*VM
	for _, vm := range de.vms {
		if vm.isRunning {
			running = append(running, vm)
		}
	}
	return running
}

// Status reads an instance's status through its administration API.
func (de *Deployment) Status(ctx context.Context, vm *VM) (administrator.WireStatus, error) {
	de.mu.Lock()
	address := vm.AdminAddress // a replaced VM has another one
	de.mu.Unlock()
	cl := administrator.NewClient(address, de.OperatorKey)
	return cl.Status(ctx)
}

// SetIsolated blocks or unblocks all traffic between a VM's instance and the
// other instances and the platform. Callers still reach the instance.
func (de *Deployment) SetIsolated(name string, isCut bool) {
	de.mu.Lock()
	defer de.mu.Unlock()
	de.isolated[name] = isCut
}

// reachability returns a predicate that reports whether the VM's instance can
// reach an address.
func (de *Deployment) reachability(vm *VM) func(address string) bool {
	return func(address string) bool {
		de.mu.Lock()
		defer de.mu.Unlock()
		if de.isolated[vm.Name] {
			return false
		}
		for _, other := range de.vms {
			if other.peerAddress == address {
				return !de.isolated[other.Name]
			}
		}
		return true
	}
}

// Close ends all instances, backend servers and the platform at once, without a
// graceful stop.
func (de *Deployment) Close() {
	for _, vm := range de.VMs() {
		if vm.ro != nil {
			vm.ro.Kill()
		}
		if vm.http != nil {
			_ = vm.http.Close()
		}
	}
	_ = de.platform.Close()
}

// Tables returns the partition table of each exclusive service, by service
// name. If running instances have different versions, the newest is returned.
func (de *Deployment) Tables() map[string]*placer.Table {
	tables := map[string]*placer.Table{}
	for _, vm := range de.running() {
		for service, tb := range de.Instance(vm.Name).Tables() {
			isExclusive := tb.Map.Partitions > 0 && service != folder.LimitsService
			if isExclusive && (tables[service] == nil || tables[service].Map.Version < tb.Map.Version) {
				tables[service] = tb
			}
		}
	}
	return tables
}
