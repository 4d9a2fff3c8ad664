package router

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cornellanding.example/core/timer"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

const (
	headerTimeout  = 2 * time.Second
	bodyTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	// quietPeriod is how long no request must have begun before a planned stop
	// refuses what still comes: callers that ask for the instances once a second
	// have left by then.
	quietPeriod = time.Second
	quietCheck  = 20 * time.Millisecond
	// cancelGrace is how long cancelled requests may take to be answered.
	cancelGrace = 200 * time.Millisecond
)

// servers are the three HTTP servers of an instance.
type servers struct {
	caller        *khttp.Server
	peer          *khttp.Server
	administrator *khttp.Server

	isStopping atomic.Bool
	active     atomic.Int64
	// lastRequestAt is when the latest caller's request began.
	lastRequestAt atomic.Int64
	clock         timer.Clock
	// endAt is by when requests that begin in a planned stop must have an
	// answer, 0 before the stop.
	endAt atomic.Int64
	// ended is cancelled when a planned stop can wait no longer.
	ended context.Context
	end   context.CancelFunc
}

// listen binds the addresses, so that a port in use is an error at the start.
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
	ss.caller, err = newServer(ro.se.CallerAddress, ss.track(pick(func(*incarnation) http.Handler { return ro.caller }), true))
	if err != nil {
		return nil, err
	}
	ss.peer, err = newServer(ro.se.PeerAddress, ss.track(pick(func(in *incarnation) http.Handler { return in.peer }), false))
	if err != nil {
		ss.close()
		return nil, err
	}
	ss.administrator, err = newServer(ro.se.AdministratorAddress, pick(func(in *incarnation) http.Handler { return in.ad }))
	if err != nil {
		ss.close()
		return nil, err
	}
	return ss, nil
}

// newServer returns a kratos server without its per-request timeout, since each
// route has its own, and with limits against slow callers.
func newServer(address string, handler http.Handler) (*khttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("router: listen on %s: %w", address, err)
	}
	server := khttp.NewServer(khttp.Listener(listener), khttp.Address(address), khttp.Timeout(0))
	// The handler takes the place of the router, which would redirect requests
	// whose path is not in its shortest form.
	server.Handler = handler
	server.ReadHeaderTimeout = headerTimeout
	server.ReadTimeout = bodyTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeaderBytes
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

// start serves until close. A server that can't go on is told to failed.
func (ss *servers) start(failed func(error)) {
	for _, server := range ss.all() {
		go func() {
			if err := server.Start(context.Background()); err != nil {
				failed(err)
			}
		}()
	}
}

// stopKeepingAlive tells callers, with each answer from now on, to come back on
// another connection. Connections at rest stay open: closing one could cut a
// request that has just been read.
func (ss *servers) stopKeepingAlive(endAt timer.Instant) {
	ss.endAt.Store(int64(endAt))
	ss.isStopping.Store(true)
}

// awaitQuiet returns once no caller's request has begun for a while and none
// runs, or ctx ends.
func (ss *servers) awaitQuiet(ctx context.Context, quiet time.Duration) {
	for {
		since := ss.clock.Now().Sub(timer.Instant(ss.lastRequestAt.Load()))
		if ss.active.Load() == 0 && since.Duration() >= quiet || !timer.Sleep(ctx, quietCheck) {
			return
		}
	}
}

// awaitIdle returns once no request runs, or a moment after ctx ends: what runs
// then is cancelled, so that its caller gets an answer. It returns how many were.
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

// track counts the requests that run, and ends keep-alive in a planned stop. Only
// callers keep the instance busy: peers go elsewhere at once.
func (ss *servers) track(handler http.Handler, isCaller bool) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		ss.active.Add(1)
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

// boundContext ends a request's context when a planned stop can wait no longer. A
// request that begins in a planned stop knows so from the start, and can be
// refused as not run in time.
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
		// The process or the test ends; nothing is left to do on an error.
		_ = server.Close()
	}
}
