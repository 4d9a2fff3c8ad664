package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of each VM, on its own loopback address.
const (
	outboundPort = 8365
	inboundPort  = 8366
	controlPort  = 8367
	readyPort    = 8369
	appPort      = 8363
	metricsPort  = 9464
	firstPort    = 7780
	lastPort     = 7795
)

const host = "ficu95.example"

var zones = []string{"zone-a", "zone-b", "zone-c"}

// vm is one machine: a backend and the instance beside it.
type vm struct {
	name, ip, zone, service string
	settings                string
	backend                 *backend
	stopBeats               context.CancelFunc
	client                  *http.Client

	mu      sync.Mutex
	process *exec.Cmd
	isEnded bool
	misses  int
	isReady bool
	exits   int
}

func (mc *vm) address(port int) string { return fmt.Sprintf("%s:%d", mc.ip, port) }

// fleet is a deployment on loopback addresses.
type fleet struct {
	ctx     context.Context
	cancel  context.CancelFunc
	rec     *recorder
	store   *store
	address string
	program string
	dir     string
	prefix  string
	wg      sync.WaitGroup

	mu  sync.Mutex
	vms []*vm
	// hasTraffic is set once clients send.
	hasTraffic bool
	next       atomic.Uint64
	// settings is the text of the settings of all VMs, see settingsOf.
	settings string
	// prepare changes a backend before it starts, if it is not nil.
	prepare func(bs *backend)
}

func newFleet(program string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	fl := &fleet{rec: newRecorder(), store: newStore(), program: program, dir: dir, settings: settingsText}
	fl.ctx, fl.cancel = context.WithCancel(context.Background())
	if fl.prefix, err = freePrefix(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", fl.prefix+".1:0")
	if err != nil {
		return nil, err
	}
	fl.address = listener.Addr().String()
	go (&http.Server{Handler: fl.store}).Serve(listener)
	return fl, nil
}

// freePrefix returns three bytes of loopback addresses on which the ports are free.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		isFree := true
		for _, port := range []int{outboundPort, inboundPort, controlPort, readyPort, appPort, metricsPort, firstPort, firstPort + 1} {
			for _, last := range []int{11, 12, 25} {
				li, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, last, port))
				if err != nil {
					isFree = false
					continue
				}
				li.Close()
			}
		}
		if isFree {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// addVM adds a machine and starts its backend and its instance.
func (fl *fleet) addVM(zone, service string, isSharded bool) (*vm, error) {
	fl.mu.Lock()
	number := len(fl.vms) + 1
	fl.mu.Unlock()
	mc := &vm{name: fmt.Sprintf("sidecar-%s-%d", zone, number), ip: fmt.Sprintf("%s.%d", fl.prefix, 10+number), zone: zone, service: service}
	mc.settings = filepath.Join(fl.dir, mc.name+".yaml")
	mc.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20, IdleConnTimeout: 5 * time.Second}}
	if err := os.WriteFile(mc.settings, []byte(fl.settingsOf(mc)), 0o600); err != nil {
		return nil, err
	}
	mc.backend = &backend{
		id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zone, address: mc.address(appPort), control: mc.address(controlPort),
		isSharded: isSharded, slots: 6, work: 20 * time.Millisecond, beat: 1500 * time.Millisecond, rec: fl.rec,
	}
	if fl.hasTraffic {
		mc.backend.coldUntil = time.Now().Add(coldStart)
	}
	if fl.prepare != nil {
		fl.prepare(mc.backend)
	}
	var ctx context.Context
	ctx, mc.stopBeats = context.WithCancel(fl.ctx)
	if err := startBackend(ctx, mc.backend); err != nil {
		return nil, err
	}
	fl.mu.Lock()
	fl.vms = append(fl.vms, mc)
	fl.mu.Unlock()
	fl.wg.Add(2)
	go fl.keepRunning(mc)
	go fl.watchReady(mc)
	return mc, nil
}

// settingsText is the settings file of a VM, see settingsOf.
//
//go:embed settings.txt
var settingsText string

// settingsOf returns the settings of a VM, as the platform writes them.
func (fl *fleet) settingsOf(mc *vm) string {
	return strings.NewReplacer(
		"NODE", mc.name, "IP", mc.ip, "ZONE", mc.zone, "INBOUND", mc.address(inboundPort), "OUTBOUND", mc.address(outboundPort),
		"READY", mc.address(readyPort), "CONTROL", mc.address(controlPort), "APP", mc.address(appPort), "SERVICE", mc.service, "STORE", fl.address,
	).Replace(fl.settings)
}

// keepRunning runs the instance of a VM, and starts it again a short while after it ends.
func (fl *fleet) keepRunning(mc *vm) {
	defer fl.wg.Done()
	log, err := os.Create(filepath.Join(fl.dir, mc.name+".log"))
	if err != nil {
		fl.rec.note("%s: no log: %v", mc.name, err)
		return
	}
	defer log.Close()
	for fl.ctx.Err() == nil {
		process := exec.Command(fl.program, "sidecar")
		process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire("settings") + "=" + mc.settings}
		process.Stdout, process.Stderr = log, log
		process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := process.Start(); err != nil {
			fl.rec.note("%s: not started: %v", mc.name, err)
			return
		}
		mc.mu.Lock()
		mc.process = process
		isEnded := mc.isEnded
		mc.mu.Unlock()
		if isEnded {
			_ = process.Process.Kill()
		}
		err := process.Wait()
		if fl.ctx.Err() != nil {
			return
		}
		mc.mu.Lock()
		isEnded = mc.isEnded
		mc.exits++
		mc.mu.Unlock()
		fl.rec.note("%s: process ended: %v", mc.name, err)
		if isEnded {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// signal sends a signal to the instance of a VM.
func (mc *vm) signal(sig os.Signal) {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	if mc.process != nil {
		_ = mc.process.Process.Signal(sig)
	}
}

// watchReady asks once a second whether the instance is ready, as the platform does.
func (fl *fleet) watchReady(mc *vm) {
	defer fl.wg.Done()
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for fl.ctx.Err() == nil {
		status := 0
		if an, err := client.Get("http://" + mc.address(readyPort) + wire("ready")); err == nil {
			status = an.StatusCode
			an.Body.Close()
		}
		mc.mu.Lock()
		if status == http.StatusOK {
			mc.misses, mc.isReady = 0, true
		} else if mc.misses++; mc.misses >= 2 {
			mc.isReady = false
		}
		mc.mu.Unlock()
		select {
		case <-time.After(time.Second):
		case <-fl.ctx.Done():
		}
	}
}

func (mc *vm) ready() bool {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	return mc.isReady && !mc.isEnded
}

// machines returns the VMs.
func (fl *fleet) machines() []*vm {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return append([]*vm(nil), fl.vms...)
}

// awaitServing waits until the backends of the sharded services hold all keys and all
// instances are ready.
func (fl *fleet) awaitServing(services []string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		held, isReady := map[string]uint64{}, true
		for _, mc := range fl.machines() {
			held[mc.service] += mc.backend.heldKeys()
			isReady = isReady && mc.ready()
		}
		for _, service := range services {
			isReady = isReady && held[service] >= 65536
		}
		if isReady {
			return true
		}
	}
	return false
}

// send sends one request of a client to the instance of its VM, and records it.
func (fl *fleet) send(mc *vm, method, path, apiKey string, shardKey uint64, deadline time.Duration) sent {
	se := sent{id: fmt.Sprintf("%016x", fl.next.Add(1)), vm: mc.name, path: path, key: apiKey, shardKey: shardKey, at: time.Now()}
	ctx, cancel := context.WithTimeout(fl.ctx, deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body of " + se.id)
	}
	re, err := http.NewRequestWithContext(ctx, method, "http://"+mc.address(outboundPort)+path, body)
	if err != nil {
		panic(err)
	}
	re.Header.Set(wire("shardKey"), strconv.FormatUint(shardKey, 10))
	if apiKey != "" {
		re.Header.Set("Authorization", "Bearer "+apiKey)
	}
	return fl.exchange(mc, se, re, deadline)
}

// exchange sends the request of a client and records it with its answer.
func (fl *fleet) exchange(mc *vm, se sent, re *http.Request, deadline time.Duration) sent {
	re.GetBody = nil
	re.Host = host
	re.Header.Set("X-Request-Id", se.id)
	re.Header.Set(wire("deadline"), strconv.Itoa(int(deadline.Milliseconds())))
	if an, err := mc.client.Do(re); err == nil {
		content, readErr := io.ReadAll(an.Body)
		an.Body.Close()
		if readErr == nil {
			se.status, se.isSigned = an.StatusCode, an.Header.Get(wire("signature")) != ""
			_ = content
		}
	}
	se.answeredAt = time.Now()
	fl.rec.sent(se)
	return se
}

// request is what a client sends.
type request struct {
	method, path, apiKey string
	deadline             time.Duration
}

// load sends requests at a rate until the fleet ends, each at one of the ready VMs.
func (fl *fleet) load(perSecond int, draw func() request) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-fl.ctx.Done():
			return
		}
		var ready []*vm
		for _, mc := range fl.machines() {
			if mc.ready() {
				ready = append(ready, mc)
			}
		}
		if len(ready) == 0 {
			continue
		}
		mc, rq, key := ready[rand.IntN(len(ready))], draw(), rand.Uint64N(65536)
		go fl.send(mc, rq.method, rq.path, rq.apiKey, key, rq.deadline)
	}
}

// close ends all processes and backends.
func (fl *fleet) close() {
	fl.cancel()
	for _, mc := range fl.machines() {
		mc.signal(syscall.SIGKILL)
		mc.signal(syscall.SIGCONT)
		mc.backend.stop()
	}
	fl.wg.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fl.dir)
	}
}
