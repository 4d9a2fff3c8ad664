package router

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

const (
	headerTimeout  = 2 * time.Second
	bodyTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	shutdownLimit  = 10 * time.Second
)

// servers are the three HTTP servers of an instance.
type servers struct {
	caller        *khttp.Server
	peer          *khttp.Server
	administrator *khttp.Server
}

// listen binds the addresses, so that a port in use is an error at the start.
func listen(ro *Router) (*servers, error) {
	ss := &servers{}
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
	ss.caller, err = newServer(ro.se.CallerAddress, pick(func(*incarnation) http.Handler { return ro.caller }))
	if err != nil {
		return nil, err
	}
	ss.peer, err = newServer(ro.se.PeerAddress, pick(func(in *incarnation) http.Handler { return in.peer }))
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

// drain lets running requests finish and then stops callers' and peers'
// servers.
func (ss *servers) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownLimit)
	defer cancel()
	// Callers see Connection: close on their next answers and come back
	// elsewhere, instead of racing with the close of an idle connection.
	ss.caller.SetKeepAlivesEnabled(false)
	time.Sleep(lameDuck)
	// What is cut after the limit has passed its own deadline.
	_ = ss.caller.Shutdown(ctx)
	_ = ss.peer.Shutdown(ctx)
}

func (ss *servers) close() {
	for _, server := range ss.all() {
		// The process or the test ends; nothing is left to do on an error.
		_ = server.Close()
	}
}
