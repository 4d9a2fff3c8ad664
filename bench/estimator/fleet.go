// Package estimator measures the costs on which the capacity plan in
// docs/CAPACITY.md is based, at the design size of the system.
//
// # Usage
//
//	measurements, err := estimator.MeasureComponents()
//	idle, err := estimator.MeasureIdle(ctx, estimator.IdleSettings{Binary: "./cornellanding", Members: 880, Duration: 20 * time.Second})
package estimator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cornellanding.example/bench/allocator"
	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/folder"
	"cornellanding.example/core/leaser"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/administrator"
	"cornellanding.example/instance/controller"
	"cornellanding.example/instance/messenger"
	"cornellanding.example/port/storer"
	"cornellanding.example/port/tabler"
	"cornellanding.example/standin/emulator"
	"cornellanding.example/wire/encoder"
	"cornellanding.example/wire/peerproto"
	"cornellanding.example/wire/signer"
)

// The design size: Members is the number of instances, of which watchedCount
// renew their leases at the measured one; the other counts are those of the
// configuration. headerBytes are the UDP and IPv4 headers of a datagram.
const (
	Members        = 880
	exclusiveCount = 6
	serviceCount   = 8
	partitions     = 16_384
	workspaceCount = 1000
	keyCount       = 5000
	centreCount    = 6
	watchedCount   = 3
	renewInterval  = 300 * time.Millisecond
	headerBytes    = 28
	fleetKeyHex    = "00112233445566778899aabbccddeeff"
	operatorKey    = "estimator"
	readyTimeout   = 30 * time.Second
)

// IdleSettings configure a measurement of one instance among simulated peers.
// Binary is the path of cornellanding, Members the number of instances with the
// measured one, and Duration the time of the measurement.
type IdleSettings struct {
	Binary   string
	Members  int
	Duration time.Duration
	// IsPoller makes the instance one that polls the table. The members with the
	// lowest incarnations do, so its simulated peers get higher ones.
	IsPoller bool
}

// IdleUsage is what an instance without callers uses.
type IdleUsage struct {
	Members int
	// CPU is the processor time per second, as a share of one core.
	CPU float64
	// Memory is the resident set size in bytes.
	Memory int64
	// DatagramBytes are the bytes per second in both directions, and
	// DatagramSize the mean bytes of a datagram, both with UDP and IP headers.
	DatagramBytes float64
	DatagramSize  float64
	// Reads and Writes are rates of table requests, per second.
	Reads  float64
	Writes float64
}

// fleet simulates all instances but the measured one behind one socket.
type fleet struct {
	se              IdleSettings
	si              *signer.Signer
	incarnationBase uint64
	address         string
	platform        *emulator.Platform
	me              *messenger.Messenger
	servers         []*http.Server

	mu        sync.Mutex
	target    netip.AddrPort
	instance  uint64
	documents uint32
	renewals  atomic.Uint64
}

func newFleet(se IdleSettings) (*fleet, error) {
	key, err := hex.DecodeString(fleetKeyHex)
	if err != nil {
		return nil, err
	}
	fl := &fleet{se: se, platform: emulator.NewPlatform()}
	if fl.si, err = signer.New(key); err != nil {
		return nil, err
	}
	if se.IsPoller {
		// Higher than every incarnation that an instance draws for itself.
		fl.incarnationBase = 1 << 63
	}
	if fl.address, err = allocator.Address(); err != nil {
		return nil, err
	}
	if fl.me, err = messenger.Listen(fl.address, fl.si); err != nil {
		return nil, err
	}
	go fl.me.Receive(fl.onDatagram)
	return fl, fl.listen(fl.address, fl.si.Handler(peerproto.NewPeerServer(peer{}), func() {}))
}

func (fl *fleet) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	fl.servers = append(fl.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (fl *fleet) close() {
	for _, server := range fl.servers {
		_ = server.Close()
	}
	_ = fl.me.Close()
}

// onDatagram acknowledges a lease renewal on behalf of the simulated instance
// that it was sent to.
func (fl *fleet) onDatagram(da *peerproto.Datagram, from netip.AddrPort) {
	fl.mu.Lock()
	fl.target, fl.instance, fl.documents = from, da.GetFrom(), da.GetDocuments()
	fl.mu.Unlock()
	if da.GetRenewalSentAt() == 0 {
		return
	}
	fl.renewals.Add(1)
	ack := &peerproto.Datagram{
		From: fl.incarnationBase | uint64(da.GetTo()), To: uint32(da.GetFrom()), AckSentAt: da.GetRenewalSentAt(),
		Documents: da.GetDocuments(), ReadAge: 200, Attempts: []byte{2, 3, 4, 5, 6, 7},
	}
	// A datagram that can't be sent counts as lost by the network.
	_ = fl.me.Send(from, ack)
}

// renew sends the lease renewals of the simulated instances that the measured
// one watches, that is, whose leases it acknowledges.
func (fl *fleet) renew(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		fl.mu.Lock()
		target, instance, documents := fl.target, fl.instance, fl.documents
		fl.mu.Unlock()
		for i := range uint64(watchedCount) {
			if instance != 0 {
				_ = fl.me.Send(target, &peerproto.Datagram{
					From: fl.incarnationBase | (i + 1), To: uint32(instance), Documents: documents,
					RenewalSentAt: uint64(timer.BootClock{}.Now())/uint64(timer.Millisecond) + 1,
				})
			}
		}
	}
}

// peer serves the RPCs of all simulated instances with fixed answers.
type peer struct{}

// Sync implements peerproto.Peer.
func (peer) Sync(context.Context, *peerproto.SyncRequest) (*peerproto.SyncResponse, error) {
	return &peerproto.SyncResponse{}, nil
}

// Revoke implements peerproto.Peer.
func (peer) Revoke(context.Context, *peerproto.RevokeRequest) (*peerproto.RevokeResponse, error) {
	return &peerproto.RevokeResponse{}, nil
}

// RollOut implements peerproto.Peer.
func (peer) RollOut(context.Context, *peerproto.RollOutRequest) (*peerproto.RollOutResponse, error) {
	return &peerproto.RollOutResponse{}, nil
}

// Release implements peerproto.Peer.
func (peer) Release(_ context.Context, re *peerproto.ReleaseRequest) (*peerproto.ReleaseResponse, error) {
	return &peerproto.ReleaseResponse{Released: re.GetPartitions()}, nil
}

// Grant implements peerproto.Peer.
func (peer) Grant(context.Context, *peerproto.GrantRequest) (*peerproto.GrantResponse, error) {
	return &peerproto.GrantResponse{NotHome: true}, nil
}

// Forward implements peerproto.Peer.
func (peer) Forward(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, error) {
	return &peerproto.ForwardResponse{Outcome: 1}, nil
}

// Config returns a configuration of the design size.
func Config() cataloguer.Config {
	co := cataloguer.Config{Version: 1}
	for i := range centreCount {
		co.Catalogue.DataCentres = append(co.Catalogue.DataCentres, cataloguer.DataCentre{
			Name: fmt.Sprint("centre-", i), Region: fmt.Sprint("region-", i%2),
		})
	}
	for i := range serviceCount {
		co.Catalogue.Services = append(co.Catalogue.Services, service(i))
		co.Catalogue.Routes = append(co.Catalogue.Routes, cataloguer.Route{
			Name: fmt.Sprint("route-", i), Service: service(i).Name, Method: "GET", Path: fmt.Sprintf("/s%d/{key}", i),
			Access: cataloguer.WorkspaceAccess, KeySource: cataloguer.KeyFromPath, Timeout: timer.Second,
		})
	}
	for i := range workspaceCount {
		co.Catalogue.Workspaces = append(co.Catalogue.Workspaces, cataloguer.Workspace{
			Name: fmt.Sprint("workspace-", i), Owner: "ops", Rate: 6500, Burst: 6500,
		})
	}
	for i := range keyCount {
		co.WorkspaceKeys = append(co.WorkspaceKeys, cataloguer.WorkspaceKey{
			Digest: sha256.Sum256([]byte(fmt.Sprint(i))), Workspace: fmt.Sprint("workspace-", i%workspaceCount),
		})
	}
	return co
}

func service(i int) cataloguer.Service {
	sv := cataloguer.Service{
		Name: fmt.Sprint("service-", i), Owner: "ops", Class: cataloguer.Shared,
		Limits: cataloguer.ServiceLimits{Slots: 9, Connections: 130, Queue: 64, ColdStartSlots: 2, ColdStart: timer.Second},
	}
	if i < exclusiveCount {
		sv.Class, sv.Partitions = cataloguer.Exclusive, partitions
	}
	return sv
}

// Rows returns the membership rows of that many instances, all with the same
// address. Incarnations count up from base+1.
func Rows(members int, base uint64, address string) []folder.InstanceRow {
	var rows []folder.InstanceRow
	for i := range members {
		rows = append(rows, folder.InstanceRow{
			BackendServer: fmt.Sprintf("server-%04d", i), Service: service(i % serviceCount).Name,
			DataCentre: fmt.Sprint("centre-", i%centreCount), Region: fmt.Sprint("region-", i%2), Address: address,
			Weight: placer.FullWeight, State: folder.Active,
			Lease: leaser.Row{Incarnation: base | uint64(i+1), Version: 1, Watchers: []leaser.WatcherID{
				{BackendServer: "a", Incarnation: 1}, {BackendServer: "b", Incarnation: 2}, {BackendServer: "c", Incarnation: 3},
			}},
		})
	}
	return rows
}

// populate writes the configuration, the membership rows and the partition maps
// to the platform.
func (fl *fleet) populate(ctx context.Context, table tabler.Table, objects storer.Objects) error {
	co := Config()
	content, err := encoder.EncodeConfig(co)
	if err != nil {
		return err
	}
	if err := objects.Put(ctx, "config", content); err != nil {
		return err
	}
	tx := tabler.Transaction{Writes: []tabler.Write{{Key: controller.ConfigKey, Value: []byte("config")}}}
	rows := Rows(fl.se.Members-1, fl.incarnationBase, fl.address)
	for _, an := range rows {
		value, err := encoder.EncodeInstanceRow(an)
		if err != nil {
			return err
		}
		tx.Writes = append(tx.Writes, tabler.Write{Key: controller.MemberPrefix + an.BackendServer, Value: value})
	}
	for _, ma := range folder.Fold(folder.Input{Rows: rows, Config: co}) {
		value, err := encoder.EncodeMap(ma.WithSettled(ma.Version))
		if err != nil {
			return err
		}
		tx.Writes = append(tx.Writes, tabler.Write{Key: controller.MapPrefix + ma.Service, Value: value})
	}
	_, err = table.Commit(ctx, tx)
	return err
}

// MeasureIdle runs one real instance among simulated peers, which send the same
// datagrams at the same rate as real ones, and measures what it uses.
func MeasureIdle(ctx context.Context, se IdleSettings) (IdleUsage, error) {
	fl, err := newFleet(se)
	if err != nil {
		return IdleUsage{}, err
	}
	defer fl.close()
	platformAddress, err := allocator.Address()
	if err != nil {
		return IdleUsage{}, err
	}
	if err := fl.listen(platformAddress, fl.platform); err != nil {
		return IdleUsage{}, err
	}
	table, err := tabler.NewClient(platformAddress)
	if err != nil {
		return IdleUsage{}, err
	}
	objects, err := storer.NewClient(platformAddress)
	if err != nil {
		return IdleUsage{}, err
	}
	if err := fl.populate(ctx, table, objects); err != nil {
		return IdleUsage{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go fl.renew(ctx)
	return fl.measure(ctx, platformAddress)
}

// measure starts the instance, waits until it has settled, and measures what it
// uses for the duration of the settings.
func (fl *fleet) measure(ctx context.Context, platformAddress string) (IdleUsage, error) {
	folderPath, err := os.MkdirTemp("", "estimator")
	if err != nil {
		return IdleUsage{}, err
	}
	defer os.RemoveAll(folderPath)
	file, adminAddress, err := fl.writeSettings(folderPath, platformAddress)
	if err != nil {
		return IdleUsage{}, err
	}
	cmd := exec.Command(fl.se.Binary, "serve", "--config", file)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return IdleUsage{}, err
	}
	defer func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}()
	if err := awaitSettled(ctx, adminAddress); err != nil {
		return IdleUsage{}, err
	}
	before, err := readUsage(cmd.Process.Pid)
	if err != nil {
		return IdleUsage{}, err
	}
	counts, table, startedAt := fl.me.Counts(), fl.platform.Counts(), time.Now()
	time.Sleep(fl.se.Duration)
	seconds := time.Since(startedAt).Seconds()
	after, err := readUsage(cmd.Process.Pid)
	if err != nil {
		return IdleUsage{}, err
	}
	return fl.usageSince(seconds, before, after, counts, table), nil
}

func (fl *fleet) usageSince(seconds float64, before, after usage, counts messenger.Counts, table emulator.PlatformCounts) IdleUsage {
	now, tableNow := fl.me.Counts(), fl.platform.Counts()
	datagrams := float64(now.Sent - counts.Sent + now.Received - counts.Received)
	payload := float64(now.SentBytes - counts.SentBytes + now.ReceivedBytes - counts.ReceivedBytes)
	return IdleUsage{
		Members: fl.se.Members, CPU: (after.cpu - before.cpu).Seconds() / seconds, Memory: after.memory,
		DatagramBytes: (payload + headerBytes*datagrams) / seconds, DatagramSize: payload/datagrams + headerBytes,
		Reads: float64(tableNow.Reads-table.Reads) / seconds, Writes: float64(tableNow.Writes-table.Writes) / seconds,
	}
}

func (fl *fleet) writeSettings(folderPath, platformAddress string) (file, adminAddress string, err error) {
	var addresses []string
	for range 4 {
		address, err := allocator.Address()
		if err != nil {
			return "", "", err
		}
		addresses = append(addresses, address)
	}
	digest := sha256.Sum256([]byte(operatorKey))
	settings := fmt.Sprintf(`vm: measured
dataCentre: centre-0
region: region-0
callerAddress: %s
peerAddress: %s
administratorAddress: %s
tableAddress: %s
objectsAddress: %s
backendServer: {name: measured, service: service-0, address: "%s"}
fleetKey: %s
operatorKeyDigest: %s
log: {level: warn, sampleEvery: 0}
`, addresses[0], addresses[1], addresses[2], platformAddress, platformAddress, addresses[3], fleetKeyHex, hex.EncodeToString(digest[:]))
	file = filepath.Join(folderPath, "vm.yaml")
	return file, addresses[2], os.WriteFile(file, []byte(settings), 0o600)
}

// awaitSettled blocks until the instance has a lease and a fresh configuration,
// and owns partitions of its service with none pending. It returns an error
// after readyTimeout.
func awaitSettled(ctx context.Context, adminAddress string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	cl := administrator.NewClient(adminAddress, operatorKey)
	for {
		st, err := cl.Status(ctx)
		if err == nil && st.HasLease && st.IsFresh && st.Owned["service-0"] > 0 && st.Pending["service-0"]+st.Pending[folder.LimitsService] == 0 {
			time.Sleep(2 * time.Second)
			return nil
		}
		if ctx.Err() != nil {
			return errors.Join(fmt.Errorf("estimator: the instance did not reach a stable state in time: %+v", summary(st)), err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func summary(st administrator.WireStatus) string {
	return strings.TrimSpace(fmt.Sprint(st.IsJoined, st.HasLease, st.IsFresh, st.Owned, st.Pending, st.Watchers))
}
