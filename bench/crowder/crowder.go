// Package crowder sends crowds of clients that hold memory and descriptors to instances that
// run as processes of their own, and measures what the processes hold.
//
// The platform's store and the backend servers are stand-ins in the caller's process. Each
// instance has the limits of its settings; a crowd is far larger than they allow.
//
// # Usage
//
//	fl, err := crowder.Start(ctx, crowder.Settings{Program: "./cornellanding", Folder: dir, MemoryMB: 96, MaxFDs: 400})
//	defer fl.Close()
//	cr := crowder.Crowds()[0]
//	hold := cr.Send(fl.Entry())
//	usages, err := fl.Usages()
package crowder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cornellanding.example/port/receiver"
	"cornellanding.example/standin/platformer"
)

const (
	keyService   = "binding"
	plainService = "reading"
	host         = "crowd.example"
	plainPath    = "/read"
	keyPath      = "/bind"
	storePort    = 8362
	serverPort   = 8363
	// serverWork is long enough that requests of a crowd wait at the owner.
	serverWork = 100 * time.Millisecond
	startLimit = 20 * time.Second
	poll       = 20 * time.Millisecond
	bytesPerMB = 1 << 20
)

// started counts the fleets. Each has addresses of its own, since the connections of a former
// one may still be closing.
var started atomic.Int32

// Settings configure a fleet.
type Settings struct {
	// Program is the path of the instances' executable.
	Program string
	// Folder gets the settings and the log of each instance.
	Folder string
	// MemoryMB and MaxFDs are the limits of each instance.
	MemoryMB int
	MaxFDs   int
	// Limits are those of the operators' configuration.
	Limits platformer.Limits
}

// Fleet is a deployment of three VMs in three zones. The first runs the service without
// key ownership and is the entry of the crowds.
type Fleet struct {
	// sent counts the requests of Send, each of which has an ID of its own.
	sent  atomic.Int64
	rows  *platformer.Store
	store *http.Server
	vms   []*vm
}

// vm is one VM: an instance in a process of its own, and a backend server in this process.
type vm struct {
	spec     platformer.VMSpec
	log      *os.File
	instance *exec.Cmd
	server   *http.Server
	stop     context.CancelFunc

	mu     sync.Mutex
	hasEnd bool
	end    error
}

// Usage is what the process of an instance holds.
type Usage struct {
	VM string
	// PeakBytes is the highest resident memory since the start of the process, and
	// Descriptors the number of open file descriptors.
	PeakBytes   int64
	Descriptors int
}

// Start starts a fleet and waits until every instance is ready.
func Start(ctx context.Context, se Settings) (*Fleet, error) {
	fl := &Fleet{rows: platformer.NewStore()}
	network := fmt.Sprintf("127.%d.%d.", 220+started.Add(1)%30, os.Getpid()%250)
	fl.Configure(se.Limits)
	storeAt := fmt.Sprintf("%s1:%d", network, storePort)
	var err error
	if fl.store, err = serve(storeAt, fl.rows); err != nil {
		return nil, err
	}
	zones := []string{"a", "b", "c"}
	for i, service := range []string{plainService, keyService, keyService} {
		spec := platformer.VMSpec{
			Name: fmt.Sprintf("vm-%d", i+1), IP: fmt.Sprintf("%s%d", network, i+2), Zone: zones[i], Zones: zones,
			Service: service, StoreAddress: storeAt, MemoryMB: se.MemoryMB, MaxFDs: se.MaxFDs,
		}
		if err := fl.addVM(se, spec); err != nil {
			fl.Close()
			return nil, err
		}
	}
	if err := fl.awaitReady(ctx); err != nil {
		fl.Close()
		return nil, err
	}
	return fl, nil
}

// Configure writes a configuration with these limits.
func (fl *Fleet) Configure(limits platformer.Limits) {
	fl.rows.Put("op", "config", config(limits).Encode())
}

func config(limits platformer.Limits) platformer.Config {
	route := func(name, prefix, service string) platformer.Route {
		return platformer.Route{Name: name, Prefix: prefix, Type: platformer.NonIdempotent, TimeoutS: 5, TargetLatencyS: 2, Priority: 1, Service: service, MaxAttempts: 2}
	}
	return platformer.Config{
		Version: 1, Host: host, Limits: limits,
		Services: []platformer.Service{{Name: keyService, MaxConnections: 32, IsSharded: true}, {Name: plainService, MaxConnections: 32}},
		Routes:   []platformer.Route{route("read", plainPath, plainService), route("bind", keyPath, keyService)},
	}
}

func serve(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	return server, nil
}

func (fl *Fleet) addVM(se Settings, spec platformer.VMSpec) error {
	spec.AppAddress = spec.Address(serverPort)
	one := &vm{spec: spec}
	settings := filepath.Join(se.Folder, spec.Name+".yaml")
	if err := os.WriteFile(settings, spec.Settings(), 0o600); err != nil {
		return err
	}
	opts := []platformer.ServerOption{platformer.WithServiceTime(serverWork), platformer.WithZone(spec.Zone)}
	if spec.Service == plainService {
		opts = append(opts, platformer.WithoutSharding())
	}
	server := platformer.NewServer(spec.Name+"-1", spec.Service, spec.AppAddress, spec.Address(platformer.ControlPort), opts...)
	var err error
	if one.server, err = serve(spec.AppAddress, faultyServer(server)); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	one.stop = cancel
	go server.Run(ctx)
	fl.vms = append(fl.vms, one)
	if one.log, err = os.Create(filepath.Join(se.Folder, spec.Name+".jsonl")); err != nil {
		return err
	}
	one.instance = exec.Command(se.Program, "sidecar", "--settings", settings)
	one.instance.Stdout, one.instance.Stderr = one.log, one.log
	if err := one.instance.Start(); err != nil {
		one.instance = nil
		return err
	}
	go one.await(one.instance)
	return nil
}

// await records the end of the instance's process.
func (one *vm) await(instance *exec.Cmd) {
	err := instance.Wait()
	one.mu.Lock()
	defer one.mu.Unlock()
	one.hasEnd, one.end = true, err
}

func (one *vm) hasEnded() (bool, error) {
	one.mu.Lock()
	defer one.mu.Unlock()
	return one.hasEnd, one.end
}

func (fl *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, path := range []string{plainPath, keyPath} {
		if err := fl.AwaitAnswer(ctx, path); err != nil {
			return err
		}
	}
	return nil
}

// Entry returns the address at which the first VM accepts callers.
func (fl *Fleet) Entry() string { return fl.vms[0].spec.Address(platformer.OutboundPort) }

// AwaitAnswer sends one ordinary request at a time to the entry until one is answered by a
// backend server. It returns an error if ctx ends first.
func (fl *Fleet) AwaitAnswer(ctx context.Context, path string) error {
	client := &http.Client{Transport: receiver.New(&http.Transport{DisableKeepAlives: true})}
	last := platformer.Answer{}
	for i := 0; ; i++ {
		rq := platformer.Request{ID: fmt.Sprintf("ordinary-%d", i), Host: host, Path: path, Key: 17, Deadline: 3 * time.Second}
		last = rq.Send(ctx, client, fl.Entry())
		if last.Err == nil && last.Status == http.StatusOK && last.Body == rq.ExpectedBody() {
			return nil
		}
		select {
		case <-time.After(poll):
		case <-ctx.Done():
			return fmt.Errorf("crowder: no answer at %s; the last one: %+v", path, last)
		}
	}
}

// Usages measures every instance. It returns an error if the process of one has ended.
func (fl *Fleet) Usages() ([]Usage, error) {
	var usages []Usage
	for _, one := range fl.vms {
		if hasEnded, err := one.hasEnded(); hasEnded {
			return nil, fmt.Errorf("crowder: the instance of %s ended: %w", one.spec.Name, err)
		}
		us, err := measure(one.instance.Process.Pid)
		if err != nil {
			return nil, err
		}
		us.VM = one.spec.Name
		usages = append(usages, us)
	}
	return usages, nil
}

// errNoPeak says that the status of a process has no peak of its resident memory.
var errNoPeak = errors.New("crowder: no peak of the resident memory")

// measure reads what a process holds from /proc.
func measure(pid int) (Usage, error) {
	folder := filepath.Join("/proc", strconv.Itoa(pid))
	status, err := os.ReadFile(filepath.Join(folder, "status"))
	if err != nil {
		return Usage{}, err
	}
	_, rest, ok := strings.Cut(string(status), "VmHWM:")
	if !ok {
		return Usage{}, errNoPeak
	}
	kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	entries, err := os.ReadDir(filepath.Join(folder, "fd"))
	return Usage{PeakBytes: kilobytes << 10, Descriptors: len(entries)}, err
}

// Close ends every process and server that Start started.
func (fl *Fleet) Close() {
	for _, one := range fl.vms {
		if one.instance != nil {
			// The process may have ended already.
			_ = one.instance.Process.Kill()
		}
		one.stop()
		_ = one.server.Close()
		if one.log != nil {
			_ = one.log.Close()
		}
	}
	_ = fl.store.Close()
}
