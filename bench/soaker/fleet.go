package soaker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cornellanding.example/port/receiver"
	"cornellanding.example/standin/platformer"
)

const (
	keyService   = "booking"
	plainService = "catalogue"
	host         = "soak.example"
	storePort    = 8362
	serverPort   = 8363
	// relayOffset is added to a target's port to get the port of its relay.
	relayOffset = 1000
	serverWork  = 20 * time.Millisecond
	// restartDelay is how long the platform takes to restart a process that
	// ended.
	restartDelay = 200 * time.Millisecond
	startLimit   = 20 * time.Second
	readyPoll    = 20 * time.Millisecond
	// stopLimit is the time that the platform grants for a graceful stop, and
	// stopSlack what a busy machine may add.
	stopLimit = 6 * time.Second
	stopSlack = time.Second
)

var zones = []string{"a", "b", "c"}

// vm is one VM: a router instance in a process of its own, and a backend server
// in this process.
type vm struct {
	place    platformer.VMSpec
	settings string
	log      *os.File
	// callers, control and app relay the traffic to the instance's caller port,
	// to its control port, and to the backend server.
	callers *relay
	control *relay
	app     *relay

	// crash is held from a crash of the backend server until its restart.
	crash sync.Mutex

	mu       sync.Mutex
	instance *exec.Cmd
	// exited is closed when the instance's process has ended.
	exited chan struct{}
	// isEndExpected is set once the soak has sent a signal that ends the
	// process.
	isEndExpected bool
	server        *platformer.Server
	serverRuns    []*platformer.Server
	stopServer    context.CancelFunc
	http          *http.Server
	// starts counts the starts of the backend server.
	starts int
}

// fleet is a deployment on the platform's stand-in. Its backend servers, the
// store and the relays run in this process.
type fleet struct {
	program     string
	folder      string
	store       *platformer.Store
	storeServer *http.Server
	storeRelay  *relay
	network     string
	vms         []*vm
	check       *verifier

	mu      sync.Mutex
	config  platformer.Config
	closing chan struct{}
	wg      sync.WaitGroup
}

// startFleet starts the VMs and waits until all are ready. Loopback addresses
// depend on the seed and the process id, so that several soaks can run side by
// side.
func startFleet(ctx context.Context, se Settings, check *verifier) (*fleet, error) {
	fl := &fleet{
		program: se.Program, folder: se.Folder, store: platformer.NewStore(), check: check, closing: make(chan struct{}),
		network: fmt.Sprintf("127.%d.%d.", 16+se.Seed%200, os.Getpid()%250),
	}
	var err error
	if se.Restores {
		fl.store.SetEra(1)
	}
	fl.configure(func(co *platformer.Config) { *co = firstConfig() })
	storeAt := fmt.Sprintf("%s1:%d", fl.network, storePort)
	if fl.storeServer, err = serve(storeAt, fl.store); err != nil {
		return fl, err
	}
	relayAt := fmt.Sprintf("%s1:%d", fl.network, storePort+relayOffset)
	if fl.storeRelay, err = startRelay(relayAt, storeAt); err != nil {
		return fl, err
	}
	for i := range se.VMs {
		if err := fl.addVM(i, relayAt); err != nil {
			return fl, err
		}
	}
	return fl, fl.awaitReady(ctx)
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

func (fl *fleet) addVM(index int, store string) error {
	pl := platformer.VMSpec{
		Name: fmt.Sprintf("vm-%d", index+1), IP: fmt.Sprintf("%s%d", fl.network, index+2),
		Zone: zones[index%len(zones)], Zones: zones, Service: keyService, StoreAddress: store,
	}
	if index%3 == 2 {
		pl.Service = plainService
	}
	pl.AppAddress = pl.Address(serverPort + relayOffset)
	one := &vm{place: pl, settings: filepath.Join(fl.folder, pl.Name+".yaml")}
	if err := os.WriteFile(one.settings, pl.Settings(), 0o600); err != nil {
		return err
	}
	var err error
	if one.log, err = os.Create(filepath.Join(fl.folder, pl.Name+".jsonl")); err != nil {
		return err
	}
	for port, by := range map[int]**relay{platformer.OutboundPort: &one.callers, platformer.ControlPort: &one.control, serverPort: &one.app} {
		re, err := startRelay(pl.Address(port+relayOffset), pl.Address(port))
		if err != nil {
			return err
		}
		*by = re
	}
	fl.vms = append(fl.vms, one)
	if err := fl.startServer(one, ""); err != nil {
		return err
	}
	return fl.startInstance(one)
}

// startServer starts the backend server of a VM. A non-empty id makes the
// server keep the id of an earlier run.
func (fl *fleet) startServer(one *vm, id string) error {
	one.mu.Lock()
	defer one.mu.Unlock()
	one.starts++
	if id == "" {
		id = fmt.Sprintf("%s-%d", one.place.Name, one.starts)
	}
	opts := []platformer.ServerOption{platformer.WithServiceTime(serverWork), platformer.WithZone(one.place.Zone)}
	if one.place.Service == plainService {
		opts = append(opts, platformer.WithoutSharding())
	}
	one.server = platformer.NewServer(id, one.place.Service, one.place.AppAddress, one.place.Address(platformer.ControlPort+relayOffset), opts...)
	one.serverRuns = append(one.serverRuns, one.server)
	var err error
	if one.http, err = serve(one.place.Address(serverPort), one.server); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	one.stopServer = cancel
	go one.server.Run(ctx)
	return nil
}

// crashServer ends the backend server of a VM at once and returns the server's
// id.
func (fl *fleet) crashServer(one *vm) string {
	one.mu.Lock()
	defer one.mu.Unlock()
	one.stopServer()
	one.server.Crash()
	one.http.Close()
	return one.server.ID()
}

// startInstance starts the instance's process. Like the platform, it restarts
// the process whenever it ends, until the soak is over.
func (fl *fleet) startInstance(one *vm) error {
	cmd := exec.Command(fl.program, "sidecar", "--settings", one.settings)
	cmd.Stdout, cmd.Stderr = one.log, one.log
	one.mu.Lock()
	defer one.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	one.instance, one.isEndExpected = cmd, false
	one.exited = make(chan struct{})
	fl.wg.Add(1)
	go fl.supervise(one, cmd, one.exited)
	return nil
}

// supervise waits for the end of a process and restarts it after restartDelay.
// An end that the soak did not cause is a violation.
func (fl *fleet) supervise(one *vm, cmd *exec.Cmd, exited chan struct{}) {
	defer fl.wg.Done()
	err := cmd.Wait()
	close(exited)
	one.mu.Lock()
	isEndExpected := one.isEndExpected
	one.mu.Unlock()
	if !isEndExpected {
		fl.check.fail("%s: the instance ended unexpectedly: %v", one.place.Name, err)
	}
	select {
	case <-fl.closing:
		return
	case <-time.After(restartDelay):
	}
	if err := fl.startInstance(one); err != nil {
		fl.check.fail("%s: the instance does not start: %v", one.place.Name, err)
	}
}

// signal sends a signal to the VM's instance. SIGKILL and SIGTERM mark the end
// of the process as expected. The returned channel is closed when the process
// has ended; a process that has ended already is no error.
func (one *vm) signal(sig syscall.Signal) (<-chan struct{}, error) {
	one.mu.Lock()
	defer one.mu.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		one.isEndExpected = true
	}
	err := one.instance.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		err = nil
	}
	return one.exited, err
}

// configure changes the configuration and stores it under a new version.
func (fl *fleet) configure(change func(co *platformer.Config)) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	change(&fl.config)
	fl.config.Version++
	fl.store.Put("op", "config", fl.config.Encode())
}

func (fl *fleet) isReady(one *vm) bool {
	answer, err := readyClient.Get("http://" + one.place.Address(platformer.ReadyPort) + platformer.ReadyPath)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

var readyClient = &http.Client{Timeout: time.Second, Transport: receiver.New(&http.Transport{DisableKeepAlives: true})}

func (fl *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, one := range fl.vms {
		for !fl.isReady(one) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("soaker: %s did not become ready in time", one.place.Name)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// close ends every process, server and relay that the soak started.
func (fl *fleet) close() {
	close(fl.closing)
	for _, one := range fl.vms {
		for _, sig := range []syscall.Signal{syscall.SIGCONT, syscall.SIGKILL} {
			if one.instance == nil {
				continue
			}
			if _, err := one.signal(sig); err != nil {
				fl.check.fail("%s: the instance can't be killed: %v", one.place.Name, err)
			}
		}
	}
	fl.wg.Wait()
	for _, one := range fl.vms {
		fl.crashServer(one)
		for _, re := range []*relay{one.callers, one.control, one.app} {
			re.close()
		}
		one.log.Close()
	}
	if fl.storeRelay != nil {
		fl.storeRelay.close()
	}
	if fl.storeServer != nil {
		fl.storeServer.Close()
	}
}
