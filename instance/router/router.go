// Package router assembles an instance, the sidecar process of one backend server.
//
// # Usage
//
//	ro, err := router.New(settings, router.WithLogger(lo))
//	err = ro.Run(ctx)   // until ctx ends: then a planned stop
package router

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/pacer"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/roller"
	"cornellanding.example/core/throttler"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/accountant"
	"cornellanding.example/instance/administrator"
	"cornellanding.example/instance/controller"
	"cornellanding.example/instance/forwarder"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/instance/granter"
	"cornellanding.example/instance/messenger"
	"cornellanding.example/instance/meter"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/port/storer"
	"cornellanding.example/port/tabler"
	"cornellanding.example/wire/parser"
	"cornellanding.example/wire/peerproto"
	"cornellanding.example/wire/signer"
	"github.com/hashicorp/go-hclog"
)

const (
	defaultStopTimeout = 30 * time.Second
	// Ends of the phases of a planned stop, in percent of its time-out: handing
	// over, serving callers, the last write of the row, and waiting for running
	// requests. Requests that start in the first half have time to finish, since
	// running work is cancelled only in the last sixth.
	handOverUntil = 40
	serveUntil    = 50
	leaveUntil    = 75
	finishUntil   = 98
	// answerUntil is the deadline, in percent of the time-out, of requests that
	// start during a planned stop.
	answerUntil = 96
	// rejoinDelay separates a revoked incarnation from the next one.
	rejoinDelay    = 100 * time.Millisecond
	incarnationMin = uint64(1)
	// defaultColdSlack is how many requests may start at once on a cold server beyond its
	// rate if no bound is set, as without the feature pacing.
	defaultColdSlack = 2
)

// Router is an instance. It runs one incarnation after another.
type Router struct {
	se    parser.Settings
	lo    hclog.Logger
	clock timer.Clock
	si    *signer.Signer
	pe    *peers
	// li and inlet are nil if the rate of the VM's link is not limited.
	li      *link
	inlet   *link
	me      *messenger.Messenger
	table   tabler.Table
	objects storer.Objects
	meter   *meter.Meter
	fo      *forwarder.Forwarder
	current atomic.Pointer[incarnation]
	servers *servers
	// ac is nil if the settings have no limits of memory and descriptors.
	ac          *accountant.Accountant
	isReachable func(address string) bool
	configs     controller.ConfigSource
	maxHold     timer.Span
	// granter is nil if replies to heartbeats grant the backend server its partitions.
	granter           controller.KeyGranter
	isFreshnessStrict bool
	firstFoldDelay    timer.Span
	coldBound         pacer.Bound
	hasColdBound      bool
	codec             gatekeeper.Codec
	rollOutBounds     roller.Bounds
	// rollOutStatus is nil if rollouts are off.
	rollOutStatus controller.StatusWriter
	// caller handles callers' requests.
	caller           http.Handler
	wrapCaller       func(fo *forwarder.Forwarder) http.Handler
	forwarderOptions []forwarder.Option
	stopTimeout      time.Duration
	repeatedStops    <-chan os.Signal
	quietPeriod      time.Duration
	kill             context.CancelFunc
	killed           context.Context
}

// incarnation is the state that ends when the lease is revoked.
type incarnation struct {
	pu *publisher.Publisher
	co *controller.Controller
	ga *gatekeeper.Gatekeeper
	gr *granter.Granter
	ad http.Handler
	// peer handles the RPCs of other instances.
	peer http.Handler
}

// New binds the addresses in the settings and returns an instance that is not
// running yet. It returns an error if an address is in use or the settings are
// invalid.
func New(se parser.Settings, opts ...Option) (*Router, error) {
	ro := &Router{se: se, clock: timer.BootClock{}, meter: meter.New(), coldBound: pacer.Bound{Overshoot: 1, Slack: defaultColdSlack}, stopTimeout: defaultStopTimeout, quietPeriod: quietPeriod}
	ro.isReachable = func(string) bool { return true }
	for _, opt := range opts {
		opt(ro)
	}
	if ro.lo == nil {
		ro.lo = NewLogger(se.Log)
	}
	redirectKratosLog(ro.lo)
	ro.killed, ro.kill = context.WithCancel(context.Background())
	var err error
	if ro.si, err = signer.New(se.FleetKey); err != nil {
		return nil, err
	}
	if err := ro.connect(); err != nil {
		return nil, err
	}
	if ro.li, err = newLink(se.Limits.LinkRate, ro.clock); err != nil {
		return nil, err
	}
	if ro.inlet, err = newInlet(se.Limits.LinkRate, ro.clock); err != nil {
		return nil, err
	}
	ro.pe = newLimitedPeers(ro.si, ro.isReachable, ro.li, capacity(se.Limits).PeerConnections)
	if ro.me, err = messenger.Listen(se.PeerAddress, ro.si); err != nil {
		return nil, err
	}
	ro.ac = newAccountant(ro)
	if ro.servers, err = listen(ro); err != nil {
		ro.me.Close()
		return nil, err
	}
	local := &localPeers{ro: ro}
	forwarderOptions := append([]forwarder.Option{
		forwarder.WithLogger(ro.lo), forwarder.WithLogSampling(se.Log.SampleEvery), forwarder.WithObserver(ro.meter),
		forwarder.WithCallerRepeats(func() float64 { return ro.current.Load().ga.RepeatShare() }),
		forwarder.WithNewerConfig(func(from placer.Member, version uint64) { ro.current.Load().co.ReportNewerConfig(from, version) }),
		forwarder.WithCallObserver(func(ca throttler.Call) { ro.current.Load().ga.ObserveCall(ca) }),
	}, ro.forwarderOptions...)
	if ro.se.Features.Pacing {
		forwarderOptions = append(forwarderOptions, forwarder.WithGateReports())
	}
	ro.fo, err = forwarder.New(&source{ro: ro}, local, local, forwarderOptions...)
	if err != nil {
		ro.close()
		return nil, err
	}
	ro.caller = ro.fo
	if ro.wrapCaller != nil {
		ro.caller = ro.wrapCaller(ro.fo)
	}
	ro.registerGauges()
	return ro, nil
}

// connect creates the clients of the table service and the object store, unless the
// table was set by an option.
func (ro *Router) connect() error {
	if ro.table != nil {
		return nil
	}
	table, err := tabler.NewClient(ro.se.TableAddress)
	if err != nil {
		return err
	}
	ro.table = &reachTable{ro: ro, table: table}
	ro.objects, err = storer.NewClient(ro.se.ObjectsAddress)
	return err
}

// errNoIncarnation is the error of calls before Run has started an incarnation.
var errNoIncarnation = errors.New("router: the instance is starting")

// Heartbeat handles a heartbeat of the backend server and returns the partitions
// that the server may hold. It fails until Run has started.
func (ro *Router) Heartbeat(ctx context.Context, hb registrar.Heartbeat) (registrar.Reply, error) {
	in := ro.current.Load()
	if in == nil {
		return registrar.Reply{}, errNoIncarnation
	}
	return in.co.Heartbeat(ctx, hb)
}

// DeregisterServer records that the start of the backend server with this id ends.
// It reports whether that is the current start, and fails until Run has started.
func (ro *Router) DeregisterServer(ctx context.Context, id string) (bool, error) {
	in := ro.current.Load()
	if in == nil {
		return false, errNoIncarnation
	}
	return in.co.DeregisterServer(ctx, id)
}

// IsReady reports whether the instance serves callers: it has a configuration and a
// partition map, and no planned stop has begun.
func (ro *Router) IsReady() bool {
	in := ro.current.Load()
	return in != nil && in.pu.View().Config.Version != 0 && len(in.pu.View().Tables) > 0 && !in.pu.IsStopping()
}

// Gauge registers a gauge whose value is read at each scrape.
func (ro *Router) Gauge(name, help string, read func() float64) { ro.meter.Gauge(name, help, read) }

// ObserveStoreCall records the kind, outcome and latency of a call to the platform's
// store.
func (ro *Router) ObserveStoreCall(kind, outcome string, latency timer.Span) {
	ro.meter.ObserveStoreCall(kind, outcome, latency)
}

// Metrics returns the handler of the instance's metrics.
func (ro *Router) Metrics() http.Handler { return ro.meter.Handler() }

// NewLogger returns a logger that writes JSON to standard error at the level in the
// settings.
func NewLogger(se parser.LogSettings) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: "cornellanding", Level: hclog.LevelFromString(se.Level), JSONFormat: true, Output: os.Stderr,
	})
}

// rollOutPhases lists the phases by their values in the metric.
var rollOutPhases = []roller.Phase{roller.Stable, roller.Canary, roller.Ramp, roller.Moving, roller.Closing}

// incarnationGauge registers a gauge of the current incarnation, which is 0 before Run.
func (ro *Router) incarnationGauge(name, help string, read func(in *incarnation) float64) {
	ro.meter.Gauge(name, help, func() float64 {
		if in := ro.current.Load(); in != nil {
			return read(in)
		}
		return 0
	})
}

func (ro *Router) registerGauges() {
	ro.incarnationGauge("lease_valid", "1 if the instance's lease is valid.", func(in *incarnation) float64 {
		if in.pu.HasLease() {
			return 1
		}
		return 0
	})
	ro.incarnationGauge("config_version", "Version of the configuration in force.", func(in *incarnation) float64 {
		return float64(in.pu.View().Config.Version)
	})
	if ro.se.Features.Pacing {
		ro.registerStanding()
	}
	ro.incarnationGauge("throttled_routes", "Routes of the own backend server that are throttled because their calls fail.", func(in *incarnation) float64 {
		return float64(in.ga.ThrottledRoutes())
	})
	if ro.rollOutStatus != nil {
		ro.incarnationGauge("rollout_phase", "Phase of the rollout of the own service: 0 none, 1 canary, 2 ramp, 3 moving, 4 closing.", func(in *incarnation) float64 {
			return float64(max(0, slices.Index(rollOutPhases, in.pu.View().RollOuts[ro.se.BackendServer.Service].Phase)))
		})
	}
	ro.meter.Gauge("control_sent_bytes", "Payload of control datagrams sent.", func() float64 {
		return float64(ro.me.Counts().SentBytes)
	})
	ro.meter.Gauge("control_received_bytes", "Payload of control datagrams received.", func() float64 {
		return float64(ro.me.Counts().ReceivedBytes)
	})
	if ro.li != nil {
		ro.registerLinkGauges()
	}
	if ro.se.Features.ServerMemory {
		ro.incarnationGauge("server_body_bound_bytes", "Bytes of large requests that the backend server may hold.", func(in *incarnation) float64 {
			return float64(in.ga.BodyBound())
		})
	}
	if ro.ac != nil {
		ro.registerAccountGauges()
	}
}

func (ro *Router) registerLinkGauges() {
	ro.meter.Gauge("link_inbound_backlog_bytes", "Bytes of requests' bodies that wait to be admitted or have not arrived.", func() float64 {
		_, _, backlog := ro.inlet.traffic()
		return float64(backlog)
	})
	ro.meter.Gauge("link_sent_bytes", "Bytes sent on connections of callers and peers.", func() float64 {
		sent, _, _ := ro.li.traffic()
		return float64(sent)
	})
	ro.meter.Gauge("link_received_bytes", "Bytes received on connections of callers and peers.", func() float64 {
		_, received, _ := ro.li.traffic()
		return float64(received)
	})
	ro.meter.Gauge("link_backlog_bytes", "Bytes of large messages that wait for their turn on the link.", func() float64 {
		_, _, backlog := ro.li.traffic()
		return float64(backlog)
	})
}

// registerStanding registers the gauges of how the backend server compares with the others
// of its service.
func (ro *Router) registerStanding() {
	ro.incarnationGauge("server_speed", "Speed of the backend server relative to the median of its service, 0 if it is not known.", func(in *incarnation) float64 {
		st, _ := in.ga.Standing()
		return st.Speed
	})
	ro.incarnationGauge("server_load", "Work that arrives at the backend server relative to the mean of its service, 0 if it is not known.", func(in *incarnation) float64 {
		st, _ := in.ga.Standing()
		return st.Load
	})
}

// Counts returns the totals of the control datagrams.
func (ro *Router) Counts() messenger.Counts { return ro.me.Counts() }

// Tables returns the partition maps in force, by service, or nil before Run.
func (ro *Router) Tables() map[string]*placer.Table {
	in := ro.current.Load()
	if in == nil {
		return nil
	}
	return in.pu.View().Tables
}

// Kill ends the instance at once without a planned stop, as the loss of its VM does.
func (ro *Router) Kill() { ro.kill() }

// Run serves until ctx ends, and then makes a planned stop: it hands over its
// partitions and lets running work finish. After a revocation it starts a new
// incarnation. It returns nil after a complete planned stop.
func (ro *Router) Run(ctx context.Context) error {
	defer ro.close()
	go ro.me.Receive(ro.onDatagram)
	go ro.fo.Run(ro.killed)
	if ro.ac != nil {
		go ro.ac.Run(ro.killed)
	}
	ro.servers.start(func(err error) { ro.lo.Error("HTTP server failed", "error", err) })
	for {
		err := ro.runIncarnation(ctx)
		switch {
		case errors.Is(err, controller.ErrRevoked):
			ro.lo.Warn("incarnation ended, starting a new one", "error", err)
			time.Sleep(rejoinDelay)
		case errors.Is(err, controller.ErrLeft):
			return nil
		default:
			return err
		}
	}
}

func (ro *Router) close() {
	ro.servers.close()
	ro.me.Close()
	ro.pe.close()
}

func (ro *Router) onDatagram(da *peerproto.Datagram, from netip.AddrPort) {
	if in := ro.current.Load(); in != nil {
		in.co.Datagram(da, from)
	}
}

// runIncarnation runs one incarnation until a revocation, a planned stop or Kill.
func (ro *Router) runIncarnation(ctx context.Context) error {
	in, err := ro.newIncarnation()
	if err != nil {
		return err
	}
	ro.current.Store(in)
	defer in.ga.Close()
	runCtx, cancel := context.WithCancel(ro.killed)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- in.co.Run(runCtx) }()
	go in.ga.CheckCold(runCtx)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ro.stop(in, done)
	}
}

// newIncarnationNumber returns a random number of 63 bits above 0.
func newIncarnationNumber() uint64 {
	var raw [8]byte
	// Reads of crypto/rand never fail.
	_, _ = rand.Read(raw[:])
	return max(incarnationMin, binary.LittleEndian.Uint64(raw[:])>>1)
}

func (ro *Router) newIncarnation() (*incarnation, error) {
	in := &incarnation{}
	var former *controller.Controller
	if last := ro.current.Load(); last != nil {
		former = last.co
	}
	in.pu = publisher.New(ro.clock, publisher.Self{
		BackendServer: ro.se.BackendServer.Name, Service: ro.se.BackendServer.Service,
		DataCentre: ro.se.DataCentre, Region: ro.se.Region, Address: ro.se.PeerAddress,
		Incarnation: newIncarnationNumber(),
	})
	var err error
	gateOptions := []gatekeeper.Option{
		gatekeeper.WithLogger(ro.lo), gatekeeper.WithLogSampling(ro.se.Log.SampleEvery),
		gatekeeper.WithCrashNotifier(func(fingerprint uint64, run uint32) { in.co.ReportSuspect(fingerprint, run) }),
		gatekeeper.WithSuccessNotifier(func(fingerprint uint64) { in.co.ReportCleared(fingerprint) }),
		gatekeeper.WithQuarantineNotifier(func(su admitter.Suspect) { in.co.ReportQuarantined(su) }),
		gatekeeper.WithObserver(ro.meter.ObserveAdmission),
		gatekeeper.WithRefusedConnection(func(attemptedAt timer.Instant) { in.co.ReportConnectionRefused(attemptedAt) }),
		gatekeeper.WithLeavingServer(func(id string) { in.co.ReportServerLeaving(id) }),
	}
	if ro.li != nil {
		gateOptions = append(gateOptions, gatekeeper.WithLink(ro.li))
	}
	if ro.se.Features.ServerMemory {
		gateOptions = append(gateOptions, gatekeeper.WithServerMemory())
	}
	if last := ro.current.Load(); last != nil {
		gateOptions = append(gateOptions, gatekeeper.WithFormerCondition(last.ga.Condition()))
	}
	switch {
	case ro.se.Features.Pacing:
		gateOptions = append(gateOptions, gatekeeper.WithPacing(ro.coldBound))
	case ro.hasColdBound:
		gateOptions = append(gateOptions, gatekeeper.WithColdBound(ro.coldBound))
	}
	if ro.codec != nil {
		gateOptions = append(gateOptions, gatekeeper.WithCodec(ro.codec))
	}
	if ro.rollOutStatus != nil {
		gateOptions = append(gateOptions, gatekeeper.WithRollOuts())
	}
	in.ga, err = gatekeeper.New(in.pu, ro.se.BackendServer.Address, gateOptions...)
	if err != nil {
		return nil, err
	}
	controlOptions, err := ro.controlOptions()
	if err != nil {
		return nil, err
	}
	if ro.se.Features.Pacing {
		controlOptions = append(controlOptions, controller.WithStanding(in.ga.Standing))
	}
	in.gr = granter.New(in.pu)
	in.co, err = controller.New(append(controlOptions,
		controller.WithTable(ro.table), controller.WithObjects(ro.objects), controller.WithPeers(ro.pe),
		controller.WithBuckets(in.gr), controller.WithSender(&reachSender{ro: ro}), controller.WithPublisher(in.pu), controller.WithLogger(ro.lo),
		controller.WithLeaseTerm(ro.se.LeaseTerm), controller.WithFreshness(ro.se.FreshnessLimit), controller.WithPredecessor(former), controller.WithSuspectHandler(in.ga.RecordCrash),
		controller.WithQuarantineHandler(in.ga.LearnSuspects), controller.WithClearedHandler(in.ga.RecordSuccess),
	)...)
	if err != nil {
		return nil, err
	}
	api := administrator.NewAPI(in.pu, administrator.NewEditor(ro.table, ro.objects), in.co, ro.se.OperatorKeyDigest)
	in.ad = api.Handler(ro.meter.Handler())
	in.peer = ro.peerHandler(in)
	return in, nil
}

// controlOptions returns the controller's options that depend on the router's.
func (ro *Router) controlOptions() ([]controller.Option, error) {
	opts := []controller.Option{controller.WithStrictFreshness(ro.isFreshnessStrict), controller.WithFirstFoldDelay(ro.firstFoldDelay)}
	if ro.configs != nil {
		opts = append(opts, controller.WithConfigSource(ro.configs))
	}
	if ro.rollOutStatus != nil {
		opts = append(opts, controller.WithRollOuts(ro.rollOutBounds, ro.pe, ro.rollOutStatus))
	}
	if ro.maxHold > 0 {
		registrarOptions := []registrar.Option{
			registrar.Start(ro.clock.Now()), registrar.Term(ro.se.LeaseTerm), registrar.MaxHold(ro.maxHold),
		}
		if ro.granter != nil {
			registrarOptions = append(registrarOptions, registrar.OrderTimeout(controller.OrderTimeout))
			opts = append(opts, controller.WithKeyGranter(ro.granter))
		}
		re, err := registrar.New(registrarOptions...)
		if err != nil {
			return nil, err
		}
		opts = append(opts, controller.WithRegistrar(re))
	}
	return opts, nil
}

// reachSender drops datagrams to addresses made unreachable by WithReachability.
type reachSender struct {
	ro *Router
}

// Send implements controller.Sender.
func (rs *reachSender) Send(to netip.AddrPort, da *peerproto.Datagram) error {
	if !rs.ro.isReachable(to.String()) {
		return nil
	}
	return rs.ro.me.Send(to, da)
}

// reachTable fails calls to a table service made unreachable by WithReachability.
type reachTable struct {
	ro    *Router
	table tabler.Table
}

// Read implements tabler.Table.
func (rt *reachTable) Read(ctx context.Context, qu tabler.Query) ([]tabler.Row, error) {
	if !rt.ro.isReachable(rt.ro.se.TableAddress) {
		return nil, errUnreachable
	}
	return rt.table.Read(ctx, qu)
}

// Commit implements tabler.Table.
func (rt *reachTable) Commit(ctx context.Context, tx tabler.Transaction) (uint64, error) {
	if !rt.ro.isReachable(rt.ro.se.TableAddress) {
		return 0, errUnreachable
	}
	return rt.table.Commit(ctx, tx)
}

// source reads the published state of the current incarnation.
type source struct {
	ro *Router
}

// View implements forwarder.Source.
func (so *source) View() *publisher.View { return so.ro.current.Load().pu.View() }

// Now implements forwarder.Source.
func (so *source) Now() timer.Instant { return so.ro.clock.Now() }

// IsFresh implements forwarder.Source.
func (so *source) IsFresh() bool { return so.ro.current.Load().pu.IsFresh() }

// ReadAt implements forwarder.Source.
func (so *source) ReadAt() timer.Instant { return so.ro.current.Load().pu.ReadAt() }

// localPeers serves requests addressed to this instance without an RPC: those to the
// admission control of its backend server and to the token buckets that it owns.
type localPeers struct {
	ro *Router
}

// Forward implements forwarder.Gates.
func (lp *localPeers) Forward(ctx context.Context, address string, rq *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
	if in := lp.ro.current.Load(); rq.GetTo() == in.pu.Self().Incarnation {
		return in.ga.Forward(ctx, rq), true, nil
	}
	answer, wasSent, err := lp.ro.pe.Forward(ctx, address, rq)
	if in := lp.ro.current.Load(); err == nil && rq.GetService() == in.pu.Self().Service {
		in.ga.ObservePeer(rq.GetRoute(), rq.GetTo(), answer)
	}
	return answer, wasSent, err
}

// Grant implements forwarder.Homes.
func (lp *localPeers) Grant(ctx context.Context, address string, rq *peerproto.GrantRequest) (*peerproto.GrantResponse, error) {
	if in := lp.ro.current.Load(); rq.GetHome() == in.pu.Self().Incarnation {
		return in.gr.Grant(rq), nil
	}
	return lp.ro.pe.Grant(ctx, address, rq)
}
