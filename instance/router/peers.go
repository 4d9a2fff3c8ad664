package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"cornellanding.example/wire/peerproto"
	"cornellanding.example/wire/signer"
)

const (
	peerDialTimeout = 250 * time.Millisecond
	peerIdle        = 90 * time.Second
	idlePerPeer     = 64
)

// peers is the RPC client of all other instances. They share one transport.
type peers struct {
	client    *http.Client
	transport *http.Transport
	mu        sync.RWMutex
	clients   map[string]peerproto.Peer
}

// errUnreachable is the error of calls that a simulated network partition blocks.
var errUnreachable = errors.New("router: address is cut off by a simulated network partition")

// reachTransport fails calls to unreachable addresses before they are sent, and
// drops the answers of addresses that have become unreachable meanwhile.
type reachTransport struct {
	base        http.RoundTripper
	isReachable func(address string) bool
}

// RoundTrip implements http.RoundTripper.
func (rt *reachTransport) RoundTrip(re *http.Request) (*http.Response, error) {
	if !rt.isReachable(re.URL.Host) {
		return nil, errUnreachable
	}
	answer, err := rt.base.RoundTrip(re)
	if err == nil && !rt.isReachable(re.URL.Host) {
		answer.Body.Close()
		return nil, errUnreachable
	}
	return answer, err
}

func newPeers(si *signer.Signer, isReachable func(address string) bool) *peers {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	transport := &http.Transport{
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext:            dialer.DialContext, MaxIdleConnsPerHost: idlePerPeer, IdleConnTimeout: peerIdle,
		DisableCompression: true,
	}
	return &peers{
		transport: transport, client: &http.Client{Transport: si.Transport(&reachTransport{base: transport, isReachable: isReachable})},
		clients: map[string]peerproto.Peer{},
	}
}

func (pe *peers) close() { pe.transport.CloseIdleConnections() }

// at returns the client of the instance with the address, host:port.
func (pe *peers) at(address string) peerproto.Peer {
	pe.mu.RLock()
	cl := pe.clients[address]
	pe.mu.RUnlock()
	if cl != nil {
		return cl
	}
	pe.mu.Lock()
	defer pe.mu.Unlock()
	cl = peerproto.NewPeerProtobufClient("http://"+address, pe.client)
	pe.clients[address] = cl
	return cl
}

// Sync implements controller.Peers.
func (pe *peers) Sync(ctx context.Context, address string, re *peerproto.SyncRequest) (*peerproto.SyncResponse, error) {
	return pe.at(address).Sync(ctx, re)
}

// Revoke implements controller.Peers.
func (pe *peers) Revoke(ctx context.Context, address string, re *peerproto.RevokeRequest) (*peerproto.RevokeResponse, error) {
	return pe.at(address).Revoke(ctx, re)
}

// Release implements controller.Peers.
func (pe *peers) Release(ctx context.Context, address string, re *peerproto.ReleaseRequest) (*peerproto.ReleaseResponse, error) {
	return pe.at(address).Release(ctx, re)
}

// Grant implements forwarder.Homes.
func (pe *peers) Grant(ctx context.Context, address string, re *peerproto.GrantRequest) (*peerproto.GrantResponse, error) {
	return pe.at(address).Grant(ctx, re)
}

// Forward implements forwarder.Gates. It also reports whether the request may have
// run, which is so once it got a connection.
func (pe *peers) Forward(ctx context.Context, address string, re *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
	var wasSent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wasSent.Store(true) }}
	answer, err := pe.at(address).Forward(httptrace.WithClientTrace(ctx, trace), re)
	return answer, wasSent.Load(), err
}
