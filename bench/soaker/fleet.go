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

	"cornellanding.example/standin/platformer"
)

const (
	keyService   = "booking"
	plainService = "catalogue"
	host         = "soak.example"
	storePort    = 8362
	serverPort   = 8363
	// relayOffset is how far the port of a relay is from that of its target.
	relayOffset = 1000
	serverWork  = 20 * time.Millisecond
	// restartDelay is how long the platform takes to start an ended process.
	restartDelay = 200 * time.Millisecond
	startLimit   = 20 * time.Second
	readyPoll    = 20 * time.Millisecond
	// stopLimit is the platform's time for a planned stop, and stopSlack what a
	// busy machine may add.
	stopLimit = 6 * time.Second
	stopSlack = time.Second
)

var zones = []string{"a", "b", "c"}

// vm is a VM: an instance as a process of its own, and a backend server in this
// process.
type vm struct {
	place    platformer.VMSpec
	settings string
	log      *os.File
	callers  *relay
	control  *relay
	app      *relay

	// crash is held from the crash of the server to its next start.
	crash sync.Mutex

	mu       sync.Mutex
	instance *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	// isAsked says that the soak has told the process to end.
	isAsked bool
	server  *platformer.Server
	past    []*platformer.Server
	endOf   context.CancelFunc
	http    *http.Server
	starts  int
}

// fleet is a deployment on the platform's stand-in.
type fleet struct {
	program string
	folder  string
	store   *platformer.Store
	storeAt *http.Server
	storeBy *relay
	network string
	vms     []*vm
	check   *watch

	mu     sync.Mutex
	config platformer.Config
	over   chan struct{}
	wg     sync.WaitGroup
}

// startFleet starts the VMs on loopback addresses of the process and the seed, so
// that several soaks run beside each other.
func startFleet(ctx context.Context, se Settings, check *watch) (*fleet, error) {
	fl := &fleet{
		program: se.Program, folder: se.Folder, store: platformer.NewStore(), check: check, over: make(chan struct{}),
		network: fmt.Sprintf("127.%d.%d.", 16+se.Seed%200, os.Getpid()%250),
	}
	var err error
	fl.configure(func(co *platformer.Config) { *co = firstConfig() })
	storeAt := fmt.Sprintf("%s1:%d", fl.network, storePort)
	if fl.storeAt, err = serve(storeAt, fl.store); err != nil {
		return fl, err
	}
	relayAt := fmt.Sprintf("%s1:%d", fl.network, storePort+relayOffset)
	if fl.storeBy, err = startRelay(relayAt, storeAt); err != nil {
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

// startServer starts the backend server of a VM, under its former id if one is
// given.
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
	one.past = append(one.past, one.server)
	var err error
	if one.http, err = serve(one.place.Address(serverPort), one.server); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	one.endOf = cancel
	go one.server.Run(ctx)
	return nil
}

// crashServer ends the backend server of a VM at once and returns its id.
func (fl *fleet) crashServer(one *vm) string {
	one.mu.Lock()
	defer one.mu.Unlock()
	one.endOf()
	one.server.Crash()
	one.http.Close()
	return one.server.ID()
}

// startInstance starts the instance's process and keeps it running until the
// soak is over, as the platform does.
func (fl *fleet) startInstance(one *vm) error {
	cmd := exec.Command(fl.program, "sidecar", "--settings", one.settings)
	cmd.Stdout, cmd.Stderr = one.log, one.log
	one.mu.Lock()
	defer one.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	one.instance, one.isAsked = cmd, false
	one.exited = make(chan struct{})
	fl.wg.Add(1)
	go fl.tend(one, cmd, one.exited)
	return nil
}

func (fl *fleet) tend(one *vm, cmd *exec.Cmd, exited chan struct{}) {
	defer fl.wg.Done()
	err := cmd.Wait()
	close(exited)
	one.mu.Lock()
	isAsked := one.isAsked
	one.mu.Unlock()
	if !isAsked {
		fl.check.fail("%s ended by itself: %v", one.place.Name, err)
	}
	select {
	case <-fl.over:
		return
	case <-time.After(restartDelay):
	}
	if err := fl.startInstance(one); err != nil {
		fl.check.fail("%s does not start: %v", one.place.Name, err)
	}
}

// signal sends a signal to the instance of a VM. One that ends the process is
// expected to.
func (one *vm) signal(sig syscall.Signal) (<-chan struct{}, error) {
	one.mu.Lock()
	defer one.mu.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		one.isAsked = true
	}
	err := one.instance.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		err = nil
	}
	return one.exited, err
}

// configure changes the operators' configuration.
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

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (fl *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, one := range fl.vms {
		for !fl.isReady(one) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("soaker: %s is not ready", one.place.Name)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// close ends every process that the soak started.
func (fl *fleet) close() {
	close(fl.over)
	for _, one := range fl.vms {
		for _, sig := range []syscall.Signal{syscall.SIGCONT, syscall.SIGKILL} {
			if one.instance == nil {
				continue
			}
			if _, err := one.signal(sig); err != nil {
				fl.check.fail("%s can't be ended: %v", one.place.Name, err)
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
	if fl.storeBy != nil {
		fl.storeBy.close()
	}
	if fl.storeAt != nil {
		fl.storeAt.Close()
	}
}
