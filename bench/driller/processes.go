// Package driller runs a deployment of real processes under load, injects one
// fault, and checks the invariants.
//
// The platform and the backend servers are stand-ins run by cornelbench. Beside
// each backend server runs an instance of cornellanding.
//
// # Usage
//
//	rp, err := driller.Run(ctx, driller.Settings{Router: "./cornellanding", Bench: "./cornelbench", Fault: driller.KillOwner})
package driller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cornellanding.example/bench/allocator"
	"cornellanding.example/bench/checker"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/examples"
	"cornellanding.example/instance/administrator"
	"cornellanding.example/port/storer"
	"cornellanding.example/port/tabler"
	"cornellanding.example/standin/emulator"
	"cornellanding.example/wire/parser"
)

const (
	exclusiveVMs = 5
	sharedVMs    = 2
	operatorKey  = "drill-operator-key"
	fleetKey     = "00112233445566778899aabbccddeeff"
	startTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
	stopTimeout  = 40 * time.Second
	// dumpSpan is how long instances get to write their goroutine stacks.
	dumpSpan = 500 * time.Millisecond
)

// vm is one VM: the processes of a backend server and of the instance beside
// it.
type vm struct {
	name           string
	service        cataloguer.Service
	dataCentre     cataloguer.DataCentre
	server         *exec.Cmd
	instance       *exec.Cmd
	serverAddress  string
	callerAddress  string
	peerAddress    string
	adminAddress   string
	isRunning      bool
	settingsFile   string
	instanceExited chan error
}

// fleet is a deployment of processes.
type fleet struct {
	se        Settings
	folder    string
	cat       cataloguer.Catalogue
	keys      map[string]string
	table     string
	platform  *exec.Cmd
	editor    *administrator.Editor
	mu        sync.Mutex
	vms       []*vm
	logWriter *os.File
}

func startFleet(ctx context.Context, se Settings) (*fleet, error) {
	fl := &fleet{se: se, keys: map[string]string{}}
	var err error
	if fl.folder, err = os.MkdirTemp("", "drill"); err != nil {
		return nil, err
	}
	if fl.logWriter, err = os.Create(filepath.Join(fl.folder, "log.jsonl")); err != nil {
		return nil, err
	}
	content, err := examples.Catalogue("sapateira")
	if err != nil {
		return nil, err
	}
	if fl.cat, err = parser.ParseCatalogue("sapateira", content); err != nil {
		return nil, err
	}
	if err := fl.startPlatform(ctx); err != nil {
		fl.close()
		return nil, err
	}
	if err := fl.startVMs(); err != nil {
		fl.close()
		return nil, err
	}
	if err := fl.awaitReady(ctx); err != nil {
		fl.dumpGoroutines()
		return fl, fmt.Errorf("%w; goroutines are in %s", err, fl.folder)
	}
	return fl, nil
}

// dumpGoroutines makes every instance write its goroutine stacks to the log
// with SIGQUIT, and keeps the log.
func (fl *fleet) dumpGoroutines() {
	fl.se.KeepFiles = true
	for _, machine := range fl.vms {
		// Signal fails for an instance that has ended, which has no stacks to write.
		_ = machine.instance.Process.Signal(syscall.SIGQUIT)
	}
	time.Sleep(dumpSpan)
}

func (fl *fleet) spawn(binary string, args ...string) (*exec.Cmd, error) {
	cmd := exec.Command(binary, args...)
	cmd.Stderr = fl.logWriter
	return cmd, cmd.Start()
}

func (fl *fleet) startPlatform(ctx context.Context) error {
	var err error
	if fl.table, err = allocator.Address(); err != nil {
		return err
	}
	if fl.platform, err = fl.spawn(fl.se.Bench, "platform", "--listen", fl.table); err != nil {
		return err
	}
	table, err := tabler.NewClient(fl.table)
	if err != nil {
		return err
	}
	objects, err := storer.NewClient(fl.table)
	if err != nil {
		return err
	}
	fl.editor = administrator.NewEditor(table, objects)
	return fl.configure(ctx)
}

// configure commits the catalogue once the platform answers, and grants one key
// to each workspace.
func (fl *fleet) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err := errors.New("not tried")
	for err != nil {
		_, err = fl.editor.Commit(ctx, 0, "drill", administrator.CatalogueApply{Catalogue: fl.cat})
		if ctx.Err() != nil {
			return err
		}
		time.Sleep(pollInterval)
	}
	for i, ws := range fl.cat.Workspaces {
		fl.keys[ws.Name] = "key-of-" + ws.Name
		grant := administrator.KeyGrant{Workspace: ws.Name, Digest: sha256.Sum256([]byte(fl.keys[ws.Name]))}
		if _, err := fl.editor.Commit(ctx, uint64(i+1), "drill", grant); err != nil {
			return err
		}
	}
	return nil
}

func (fl *fleet) startVMs() error {
	index := 0
	for _, sv := range fl.cat.Services {
		count := sharedVMs
		if sv.Class == cataloguer.Exclusive {
			count = exclusiveVMs
		}
		for i := range count {
			machine := &vm{
				name: fmt.Sprintf("%s-%d", sv.Name, i+1), service: sv,
				dataCentre: fl.cat.DataCentres[index%len(fl.cat.DataCentres)],
			}
			fl.vms = append(fl.vms, machine)
			if err := fl.startServer(machine); err != nil {
				return err
			}
			if err := fl.startInstance(machine); err != nil {
				return err
			}
			index++
		}
	}
	return nil
}

func (fl *fleet) startServer(machine *vm) error {
	var err error
	if machine.serverAddress, err = allocator.Address(); err != nil {
		return err
	}
	args := []string{
		"backend-server", "--listen", machine.serverAddress, "--name", machine.name,
		"--slots", fmt.Sprint(machine.service.Limits.Slots),
	}
	if machine.service.Fenced && !fl.se.Unfenced {
		args = append(args, "--fenced")
	}
	machine.server, err = fl.spawn(fl.se.Bench, args...)
	return err
}

// startInstance starts an instance on newly allocated ports, as a replacement
// VM would.
func (fl *fleet) startInstance(machine *vm) error {
	for _, address := range []*string{&machine.callerAddress, &machine.peerAddress, &machine.adminAddress} {
		var err error
		if *address, err = allocator.Address(); err != nil {
			return err
		}
	}
	digest := sha256.Sum256([]byte(operatorKey))
	settings := fmt.Sprintf(`vm: %s
dataCentre: %s
region: %s
callerAddress: %s
peerAddress: %s
administratorAddress: %s
tableAddress: %s
objectsAddress: %s
backendServer: {name: %s, service: %s, address: "%s"}
fleetKey: %s
operatorKeyDigest: %s
log: {level: info, sampleEvery: 0}
`, machine.name, machine.dataCentre.Name, machine.dataCentre.Region, machine.callerAddress, machine.peerAddress,
		machine.adminAddress, fl.table, fl.table, machine.name, machine.service.Name, machine.serverAddress,
		fleetKey, hex.EncodeToString(digest[:]))
	machine.settingsFile = filepath.Join(fl.folder, machine.name+".yaml")
	if err := os.WriteFile(machine.settingsFile, []byte(settings), 0o600); err != nil {
		return err
	}
	cmd, err := fl.spawn(fl.se.Router, "serve", "--config", machine.settingsFile)
	if err != nil {
		return err
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	machine.instance, machine.instanceExited, machine.isRunning = cmd, exited, true
	return nil
}

func (fl *fleet) entries() []string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var list []string
	for _, machine := range fl.vms {
		if machine.isRunning {
			list = append(list, machine.callerAddress)
		}
	}
	return list
}

// awaitReady blocks until every running instance has a lease and a fresh
// configuration, sees all running instances as members, and has no partitions
// pending. It returns an error if an instance ends, or after startTimeout.
func (fl *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		why := fl.unreadyReason(ctx)
		if why == "" {
			return nil
		}
		if machine, err := fl.exited(); machine != nil {
			return fmt.Errorf("driller: instance of %s ended: %w", machine.name, err)
		}
		if ctx.Err() != nil {
			return fmt.Errorf("driller: not ready: %s", why)
		}
		time.Sleep(pollInterval)
	}
}

// exited returns an instance that ended without being stopped by the drill,
// with the error of its process, or nil.
func (fl *fleet) exited() (*vm, error) {
	for _, machine := range fl.vms {
		select {
		case err := <-machine.instanceExited:
			return machine, err
		default:
		}
	}
	return nil, nil
}

// unreadyReason returns why the fleet is not ready, or an empty string if it
// is.
func (fl *fleet) unreadyReason(ctx context.Context) string {
	up := len(fl.entries())
	for _, machine := range fl.vms {
		if !machine.isRunning {
			continue
		}
		st, err := administrator.NewClient(machine.adminAddress, operatorKey).Status(ctx)
		switch {
		case err != nil:
			return fmt.Sprintf("%s: %v", machine.name, err)
		case !st.HasLease || !st.IsFresh || len(st.Members) != up:
			return fmt.Sprintf("%s: %d instances are up, status %+v", machine.name, up, st)
		}
		for service, pending := range st.Pending {
			if pending > 0 {
				return fmt.Sprintf("%s: %d partitions of %s pending", machine.name, pending, service)
			}
		}
	}
	return ""
}

func (fl *fleet) setRunning(machine *vm, isRunning bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	machine.isRunning = isRunning
}

// killInstance kills the instance of a VM. Its backend server keeps running, so
// that its records can be read.
func (fl *fleet) killInstance(machine *vm) error {
	fl.setRunning(machine, false)
	if err := machine.instance.Process.Kill(); err != nil {
		return err
	}
	<-machine.instanceExited
	return nil
}

// stop stops an instance gracefully and waits for its process to end, at most
// stopTimeout.
func (fl *fleet) stop(machine *vm) error {
	if err := machine.instance.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-machine.instanceExited:
		fl.setRunning(machine, false)
		return err
	case <-time.After(stopTimeout):
		return fmt.Errorf("driller: instance of %s did not exit within %s after SIGTERM", machine.name, stopTimeout)
	}
}

func (fl *fleet) setPlatformFaults(fa emulator.PlatformFaults) error {
	return postFaults(fl.table, fa)
}

func postFaults(address string, faults any) error {
	content, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	answer, err := http.Post("http://"+address+emulator.FaultsPath, "application/json", newReader(content))
	if err != nil {
		return err
	}
	return answer.Body.Close()
}

// history reads the records and counts of all backend servers.
func (fl *fleet) history() ([]checker.Server, error) {
	var servers []checker.Server
	for _, machine := range fl.vms {
		se := checker.Server{Name: machine.name, Service: machine.service.Name}
		if err := getJSON(machine.serverAddress, emulator.RecordsPath, &se.Records); err != nil {
			return nil, err
		}
		if err := getJSON(machine.serverAddress, emulator.FaultsPath, &se.Counts); err != nil {
			return nil, err
		}
		servers = append(servers, se)
	}
	return servers, nil
}

func getJSON(address, path string, into any) error {
	answer, err := http.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return json.NewDecoder(answer.Body).Decode(into)
}

// close ends every process that the drill started.
func (fl *fleet) close() {
	for _, machine := range fl.vms {
		for _, cmd := range []*exec.Cmd{machine.instance, machine.server} {
			if cmd != nil && cmd.Process != nil {
				// Both fail for a process that has ended, which needs no handling.
				_ = cmd.Process.Signal(syscall.SIGCONT)
				_ = cmd.Process.Kill()
			}
		}
		if machine.server != nil {
			_ = machine.server.Wait()
		}
	}
	if fl.platform != nil {
		_ = fl.platform.Process.Kill()
		_ = fl.platform.Wait()
	}
	_ = fl.logWriter.Close()
	if !fl.se.KeepFiles {
		_ = os.RemoveAll(fl.folder)
	}
}
