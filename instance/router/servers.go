package router

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cornellanding.example/core/reserver"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/accountant"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

const (
	headerTimeout  = 2 * time.Second
	bodyTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	// quietPeriod is for how long no caller's request must have arrived before a
	// planned stop refuses further ones. Callers that look up the instances once a
	// second have switched to others by then.
	quietPeriod = time.Second
	quietCheck  = 20 * time.Millisecond
	// noticeSpan is how long callers need to notice a planned stop: they check once a
	// second that an instance is ready, and leave after the second miss.
	noticeSpan = 2500 * timer.Millisecond
	// cancelGrace bounds the wait for the answers of cancelled requests.
	cancelGrace = 200 * time.Millisecond
)

// servers are the HTTP servers of an instance: for callers, for other instances and
// for administrators.
type servers struct {
	caller        *khttp.Server
	peer          *khttp.Server
	administrator *khttp.Server

	isStopping atomic.Bool
	active     atomic.Int64
	// lastRequestAt is when the latest caller's request arrived.
	lastRequestAt atomic.Int64
	clock         timer.Clock
	// endAt is the deadline of requests that start during a planned stop. It is 0
	// before the stop.
	endAt atomic.Int64
	// ended is cancelled when a planned stop stops waiting for running requests.
	ended context.Context
	end   context.CancelFunc
}

// listen binds the addresses, so that a port in use is reported at startup. Requests
// get status 503 until Run has started an incarnation.
func listen(ro *Router) (*servers, error) {
	ss := &servers{clock: ro.clock}
	ss.ended, ss.end = context.WithCancel(context.Background())
	pick := func(choose func(*incarnation) http.Handler) http.Handler {
		return http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
			in := ro.current.Load()
			if in == nil {
				http.Error(wr, "starting", http.StatusServiceUnavailable)
				return
			}
			choose(in).ServeHTTP(wr, re)
		})
	}
	var err error
	ss.caller, err = newChargedServer(ro.se.CallerAddress, ss.track(pick(func(*incarnation) http.Handler { return ro.caller }), true), ro.li, ro.ac, reserver.Caller)
	if err != nil {
		return nil, err
	}
	ss.peer, err = newChargedServer(ro.se.PeerAddress, ss.track(pick(func(in *incarnation) http.Handler { return in.peer }), false), ro.li, ro.ac, reserver.Peer)
	if err != nil {
		ss.close()
		return nil, err
	}
	ss.peer.MaxHeaderBytes = maxPeerHeader
	ss.administrator, err = newServer(ro.se.AdministratorAddress, pick(func(in *incarnation) http.Handler { return in.ad }), nil)
	if err != nil {
		ss.close()
		return nil, err
	}
	return ss, nil
}

// newServer returns a kratos server with time-outs against slow callers. The
// per-request time-out of kratos is disabled, since each route has its own. Large
// responses wait for their turn on the link, unless it is nil.
func newServer(address string, handler http.Handler, li *link) (*khttp.Server, error) {
	return newChargedServer(address, handler, li, nil, reserver.Caller)
}

// newChargedServer returns a server whose connections of a kind are charged to the account,
// which then also sets the time-outs. If ac is nil, there is none.
func newChargedServer(address string, handler http.Handler, li *link, ac *accountant.Accountant, kind reserver.Kind) (*khttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("router: listen on %s: %w", address, err)
	}
	if ac != nil {
		listener = ac.Listener(listener, kind)
	}
	if li != nil {
		listener = &shapedListener{Listener: listener, li: li}
	}
	server := khttp.NewServer(khttp.Listener(listener), khttp.Address(address), khttp.Timeout(0))
	// The handler replaces the router of kratos, which redirects requests whose
	// path is not in canonical form.
	server.Handler = handler
	server.ReadHeaderTimeout = headerTimeout
	server.ReadTimeout = bodyTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeaderBytes
	if li != nil {
		server.ConnContext = withConnection
	}
	if ac != nil {
		ac.Attach(server.Server)
	}
	return server, nil
}

func (ss *servers) all() []*khttp.Server {
	var all []*khttp.Server
	for _, server := range []*khttp.Server{ss.caller, ss.peer, ss.administrator} {
		if server != nil {
			all = append(all, server)
		}
	}
	return all
}

// start serves until close. It calls failed with the error of a server that ends
// early.
func (ss *servers) start(failed func(error)) {
	for _, server := range ss.all() {
		go func() {
			if err := server.Start(context.Background()); err != nil {
				failed(err)
			}
		}()
	}
}

// stopKeepingAlive makes each answer from now on close its connection, and gives
// callers' and peers' requests that start from now on the deadline endAt. Idle connections stay open:
// closing one could break off a request that has just been read.
func (ss *servers) stopKeepingAlive(endAt timer.Instant) {
	ss.endAt.Store(int64(endAt))
	ss.isStopping.Store(true)
}

// awaitQuiet returns once no caller's request has arrived for the quiet period and
// no request runs, or ctx ends.
func (ss *servers) awaitQuiet(ctx context.Context, quiet time.Duration) {
	for {
		since := ss.clock.Now().Sub(timer.Instant(ss.lastRequestAt.Load()))
		if ss.active.Load() == 0 && since.Duration() >= quiet || !timer.Sleep(ctx, quietCheck) {
			return
		}
	}
}

// awaitIdle waits until no request runs or ctx ends. It then cancels the requests
// that still run, so that their callers get an answer, and waits up to cancelGrace
// for these. It returns how many were cancelled.
func (ss *servers) awaitIdle(ctx context.Context) int64 {
	for ss.active.Load() > 0 && timer.Sleep(ctx, quietCheck) {
	}
	cancelled := ss.active.Load()
	ss.end()
	ctx, cancel := context.WithTimeout(context.Background(), cancelGrace)
	defer cancel()
	for ss.active.Load() > 0 && timer.Sleep(ctx, quietCheck) {
	}
	return cancelled
}

// track counts running requests and ends keep-alive during a planned stop. Only
// callers' requests extend the quiet period, since peers switch to other instances
// at once.
func (ss *servers) track(handler http.Handler, isCaller bool) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		ss.active.Add(1)
		beginResponse(re.Context(), !isCaller && re.URL.Path != forwardPath && re.URL.Path != bodyPath)
		if isCaller {
			ss.lastRequestAt.Store(int64(ss.clock.Now()))
		}
		defer ss.active.Add(-1)
		if ss.isStopping.Load() {
			wr.Header().Set("Connection", "close")
		}
		ctx, cancel := ss.boundContext(re.Context())
		defer cancel()
		handler.ServeHTTP(wr, re.WithContext(ctx))
	})
}

// boundContext returns a context that is cancelled when a planned stop stops waiting
// for running requests. A request that starts during a planned stop gets that time
// as its deadline, so that it can be refused before it runs.
func (ss *servers) boundContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	unhook := context.AfterFunc(ss.ended, cancel)
	release := func() {
		unhook()
		cancel()
	}
	if !ss.isStopping.Load() {
		return ctx, release
	}
	left := timer.Instant(ss.endAt.Load()).Sub(ss.clock.Now())
	ctx, cancelDeadline := context.WithTimeout(ctx, left.Duration())
	return ctx, func() {
		cancelDeadline()
		release()
	}
}

func (ss *servers) close() {
	for _, server := range ss.all() {
		// The process or test is about to end, so errors don't matter.
		_ = server.Close()
	}
}
