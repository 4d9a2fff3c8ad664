// Package launcher starts a whole deployment on loopback in one process: the
// platform stand-in, backend server stand-ins and an instance beside each, all
// over real sockets.
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
	exclusiveVMs   = 7
	sharedVMs      = 4
	tableWrites    = 300
	tableReads     = 2000
	keyBytes       = 16
	operatorName   = "launcher"
	pollInterval   = 20 * time.Millisecond
	backendLatency = 3 * time.Millisecond
	coldStart      = 800 * time.Millisecond
)

// VM is one VM: a backend server and the instance beside it.
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
	isUp        bool
}

// ServerAddress returns the address of the backend server.
func (vm *VM) ServerAddress() string { return vm.settings.BackendServer.Address }

// PeerAddress returns the address of the instance for other instances.
func (vm *VM) PeerAddress() string { return vm.peerAddress }

// Option sets one option of New.
type Option func(*Deployment)

// WithExample chooses the example catalogue.
func WithExample(name string) Option { return func(de *Deployment) { de.example = name } }

// WithLogger sets the log of all instances.
func WithLogger(lo hclog.Logger) Option { return func(de *Deployment) { de.lo = lo } }

// WithSampling logs one in so many routing decisions that succeeded.
func WithSampling(every int) Option { return func(de *Deployment) { de.sampleEvery = every } }

// WithBackendOptions sets the options of all backend servers.
func WithBackendOptions(opts ...emulator.BackendServerOption) Option {
	return func(de *Deployment) { de.backendOptions = opts }
}

// Deployment is a running deployment.
type Deployment struct {
	example        string
	lo             hclog.Logger
	sampleEvery    int
	backendOptions []emulator.BackendServerOption

	Catalogue cataloguer.Catalogue
	Platform  *emulator.Platform
	// Keys holds each workspace's key.
	Keys map[string]string
	// OperatorKey is the operators' key of all instances.
	OperatorKey string

	editor   *administrator.Editor
	platform *http.Server
	address  string
	fleetKey []byte
	mu       sync.Mutex
	cuts     map[string]bool
	vms      []*VM
}

// New starts a deployment. It is not ready at once: see AwaitReady.
func New(opts ...Option) (*Deployment, error) {
	de := &Deployment{example: "sapateira", lo: hclog.NewNullLogger(), Keys: map[string]string{}, OperatorKey: randomKey(), cuts: map[string]bool{}}
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
	// Read of crypto/rand never fails.
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

func (de *Deployment) startPlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("launcher: %w", err)
	}
	de.address = listener.Addr().String()
	de.Platform = emulator.NewPlatform(emulator.WithRates(tableWrites, tableReads))
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

// serve returns when the server is closed.
func serve(server *http.Server, listener net.Listener) { _ = server.Serve(listener) }

// configure applies the catalogue and grants each workspace a key.
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

// Edit commits one change on the platform, as an operator elsewhere would, and
// tries again when another operator was faster.
func (de *Deployment) Edit(ctx context.Context, change administrator.Edit) error {
	for {
		present, err := de.editor.Read(ctx)
		if err != nil {
			return err
		}
		_, err = de.editor.Commit(ctx, present.Version, operatorName, change)
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
	}
	de.mu.Lock()
	de.vms = append(de.vms, vm)
	de.mu.Unlock()
	vm.http = &http.Server{Handler: vm.Server}
	go serve(vm.http, listener)
	return de.startInstance(vm)
}

// startInstance starts a new instance on new ports, as a replaced VM would.
func (de *Deployment) startInstance(vm *VM) error {
	se := vm.settings
	var err error
	for _, address := range []*string{&se.CallerAddress, &se.PeerAddress, &se.AdministratorAddress} {
		if *address, err = allocator.Address(); err != nil {
			return err
		}
	}
	ro, err := router.New(se, router.WithLogger(de.lo.With("backendServer", vm.Name)), router.WithReachability(de.reachOf(vm)))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	de.mu.Lock()
	vm.peerAddress = se.PeerAddress
	vm.CallerAddress, vm.AdminAddress = se.CallerAddress, se.AdministratorAddress
	vm.ro, vm.cancel, vm.done, vm.isUp = ro, cancel, done, true
	de.mu.Unlock()
	go func() { done <- ro.Run(ctx) }()
	return nil
}

// VMs lists all VMs.
func (de *Deployment) VMs() []*VM {
	de.mu.Lock()
	defer de.mu.Unlock()
	return append([]*VM(nil), de.vms...)
}

// VM returns the VM of that name, or nil.
func (de *Deployment) VM(name string) *VM {
	for _, vm := range de.VMs() {
		if vm.Name == name {
			return vm
		}
	}
	return nil
}

// Entries lists the caller addresses of the instances that are up.
func (de *Deployment) Entries() []string {
	de.mu.Lock()
	defer de.mu.Unlock()
	var entries []string
	for _, vm := range de.vms {
		if vm.isUp {
			entries = append(entries, vm.CallerAddress)
		}
	}
	return entries
}

// Instance returns the router of a VM.
func (de *Deployment) Instance(name string) *router.Router {
	vm := de.VM(name)
	de.mu.Lock()
	defer de.mu.Unlock()
	return vm.ro
}

// KillVM loses a VM at once: instance and backend server.
func (de *Deployment) KillVM(name string) {
	vm := de.VM(name)
	de.mu.Lock()
	vm.isUp = false
	de.mu.Unlock()
	vm.ro.Kill()
	// The listener and all connections go at once; nothing is left to do on an
	// error.
	_ = vm.http.Close()
	<-vm.done
}

// StopInstance stops an instance as planned and waits until it has left.
func (de *Deployment) StopInstance(name string) error {
	vm := de.VM(name)
	vm.cancel()
	err := <-vm.done
	de.mu.Lock()
	vm.isUp = false
	de.mu.Unlock()
	return err
}

// ReplaceVM starts a VM that was killed or stopped again, on new addresses.
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

// AwaitReady waits until every instance that is up reports to be ready, and
// every exclusive instance has a lease and nothing pending.
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
	up := 0
	for _, vm := range de.VMs() {
		if vm.isUp {
			up++
		}
	}
	for _, vm := range de.VMs() {
		if !vm.isUp {
			continue
		}
		st, err := de.Status(ctx, vm)
		if err != nil || !st.IsJoined || !st.HasLease || !st.IsFresh || len(st.Members) != up || isPending(st.Pending) {
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

// Status asks an instance for its status.
func (de *Deployment) Status(ctx context.Context, vm *VM) (administrator.WireStatus, error) {
	cl := administrator.NewClient(vm.AdminAddress, de.OperatorKey)
	return cl.Status(ctx)
}

// SetIsolated cuts a VM off from all others and from the platform, or ends that. Its
// callers still reach it.
func (de *Deployment) SetIsolated(name string, isCut bool) {
	de.mu.Lock()
	defer de.mu.Unlock()
	de.cuts[name] = isCut
}

// reachOf tells which addresses a VM reaches.
func (de *Deployment) reachOf(vm *VM) func(address string) bool {
	return func(address string) bool {
		de.mu.Lock()
		defer de.mu.Unlock()
		if de.cuts[vm.Name] {
			return false
		}
		for _, other := range de.vms {
			if other.peerAddress == address {
				return !de.cuts[other.Name]
			}
		}
		return true
	}
}

// Close ends everything at once.
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

// Tables returns the maps of the exclusive services as an instance that is up
// knows them: the one with the newest versions.
func (de *Deployment) Tables() map[string]*placer.Table {
	tables := map[string]*placer.Table{}
	for _, vm := range de.VMs() {
		if !vm.isUp {
			continue
		}
		for service, tb := range vm.ro.Tables() {
			isExclusive := tb.Map.Partitions > 0 && service != folder.LimitsService
			if isExclusive && (tables[service] == nil || tables[service].Map.Version < tb.Map.Version) {
				tables[service] = tb
			}
		}
	}
	return tables
}
