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

	"cornellanding.example/core/shaper"
	"cornellanding.example/instance/accountant"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/port/receiver"
	"cornellanding.example/wire/peerproto"
	"cornellanding.example/wire/signer"
)

const (
	peerDialTimeout = 250 * time.Millisecond
	peerIdle        = 90 * time.Second
	idlePerPeer     = 64
)

// peers is the RPC client of all other instances.
type peers struct {
	si *signer.Signer
	// li is nil if the rate of the VM's link is not limited.
	li *link
	// bodyMin is the size in bytes from which bodies follow their heads.
	bodyMin int64
	// requests carries callers' requests, control the calls that are frequent, and single
	// all others, each on a connection of its own: a kept one may have gone silent since its
	// last use, which would take the whole time-out of a call.
	requests *peerClients
	control  *peerClients
	single   *peerClients
}

// peerClients are the clients of all other instances that share one transport.
type peerClients struct {
	client *http.Client
	// base sends requests without signing them.
	base      http.RoundTripper
	transport *http.Transport
	mu        sync.RWMutex
	clients   map[string]peerproto.Peer
}

// errUnreachable is the error of calls that a simulated network partition blocks.
var errUnreachable = errors.New("router: address is cut off by a simulated network partition")

// errNoLength is the error of an answer of unknown length. Instances always send the length, so
// that the answer is not theirs, and could only be read into a buffer that grows.
var errNoLength = errors.New("router: answer of a peer has no length")

// reachTransport fails calls to unreachable addresses before they are sent, and
// drops the answers of addresses that have become unreachable meanwhile, and those that no
// instance sends.
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
	switch {
	case err != nil:
		return nil, err
	case !rt.isReachable(re.URL.Host):
		answer.Body.Close()
		return nil, errUnreachable
	case answer.ContentLength < 0:
		answer.Body.Close()
		return nil, errNoLength
	}
	return answer, nil
}

// newPeers returns a client whose bulk messages wait for their turn on the link. Control
// calls have connections of their own then, which are not shaped. If li is nil, nothing
// is shaped and all calls share their connections.
func newPeers(si *signer.Signer, isReachable func(address string) bool, li *link) *peers {
	return newLimitedPeers(si, isReachable, li, 0)
}

// newLimitedPeers returns a client that has at most so many connections for requests, 0 for no
// limit.
func newLimitedPeers(si *signer.Signer, isReachable func(address string) bool, li *link, connections int) *peers {
	dialer := &limitedDialer{dialer: net.Dialer{Timeout: peerDialTimeout}, limit: int64(connections)}
	control := newPeerClients(si, isReachable, dialer.dial)
	control.transport.MaxIdleConns = connections
	single := newPeerClients(si, isReachable, dialer.dial)
	single.transport.DisableKeepAlives = true
	if li == nil {
		return &peers{si: si, bodyMin: wholeBodyMax, requests: control, control: control, single: single}
	}
	requests := newPeerClients(si, isReachable, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConnection(conn, li, requestPriority), nil
	})
	requests.transport.MaxIdleConns = connections
	return &peers{si: si, li: li, bodyMin: shaper.Bulk, requests: requests, control: control, single: single}
}

// dialFunc is the type of net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newPeerClients(si *signer.Signer, isReachable func(address string) bool, dial dialFunc) *peerClients {
	transport := &http.Transport{
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext:            dial, MaxIdleConnsPerHost: idlePerPeer, IdleConnTimeout: peerIdle,
		DisableCompression: true, ExpectContinueTimeout: maxContinueWait,
	}
	base := &chargingTransport{base: &reachTransport{base: transport, isReachable: isReachable}}
	return &peerClients{
		transport: transport, base: base, client: &http.Client{Transport: si.Transport(base)},
		clients: map[string]peerproto.Peer{},
	}
}

func (pe *peers) close() {
	pe.requests.transport.CloseIdleConnections()
	pe.control.transport.CloseIdleConnections()
}

// at returns the client of the instance with the address, host:port.
func (pc *peerClients) at(address string) peerproto.Peer {
	pc.mu.RLock()
	cl := pc.clients[address]
	pc.mu.RUnlock()
	if cl != nil {
		return cl
	}
	pc.mu.Lock()
	defer pc.mu.Unlock()
	cl = peerproto.NewPeerProtobufClient("http://"+address, pc.client)
	pc.clients[address] = cl
	return cl
}

// Sync implements controller.Peers.
func (pe *peers) Sync(ctx context.Context, address string, re *peerproto.SyncRequest) (*peerproto.SyncResponse, error) {
	return pe.single.at(address).Sync(ctx, re)
}

// Revoke implements controller.Peers.
func (pe *peers) Revoke(ctx context.Context, address string, re *peerproto.RevokeRequest) (*peerproto.RevokeResponse, error) {
	return pe.single.at(address).Revoke(ctx, re)
}

// Release implements controller.Peers.
func (pe *peers) Release(ctx context.Context, address string, re *peerproto.ReleaseRequest) (*peerproto.ReleaseResponse, error) {
	return pe.single.at(address).Release(ctx, re)
}

// Grant implements forwarder.Homes.
func (pe *peers) Grant(ctx context.Context, address string, re *peerproto.GrantRequest) (*peerproto.GrantResponse, error) {
	return pe.control.at(address).Grant(ctx, re)
}

// RollOut implements controller.RollOutPeers.
func (pe *peers) RollOut(ctx context.Context, address string, re *peerproto.RollOutRequest) (*peerproto.RollOutResponse, error) {
	return pe.control.at(address).RollOut(ctx, re)
}

// Forward implements forwarder.Gates. It also reports whether the request may have
// run, which is so once it got a connection, or the other instance may have the whole of a
// large body.
func (pe *peers) Forward(ctx context.Context, address string, re *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
	answer, wasSent, err := pe.forward(ctx, address, re)
	return replaceInvalid(answer), wasSent, err
}

// replaceInvalid returns the answer, or a lost one in place of a backend server's that is not
// valid HTTP. Instances of older builds pass those on.
func replaceInvalid(answer *peerproto.ForwardResponse) *peerproto.ForwardResponse {
	if answer.GetOutcome() != gatekeeper.OutcomeAnswered {
		return answer
	}
	isValid := receiver.IsFinal(int(answer.GetStatus()))
	for _, he := range answer.GetHeaders() {
		isValid = isValid && receiver.IsField(he.GetName(), he.GetValue())
	}
	if !isValid {
		answer.Outcome, answer.Code = gatekeeper.OutcomeUnknown, gatekeeper.CodeLost
		answer.Reason = "the answer that the owner's instance passed on is not valid HTTP"
		answer.Status, answer.Headers, answer.Body = 0, nil, nil
	}
	return answer
}

func (pe *peers) forward(ctx context.Context, address string, re *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
	body := gatekeeper.Body(ctx, re)
	ch := &charge{hold: accountant.From(ctx)}
	defer ch.giveAll()
	ctx = context.WithValue(ctx, chargeKey{}, ch)
	if body.Len() >= pe.bodyMin {
		answer, wasSent, err := pe.forwardInSteps(ctx, address, re, body)
		ch.keep(int64(len(answer.GetBody())))
		return answer, wasSent, err
	}
	if !ch.take(requestBytes(body)) {
		return refuseNoMemory(re), false, nil
	}
	re.Body = body.Bytes()
	var wasSent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wasSent.Store(true) }}
	answer, err := pe.requests.at(address).Forward(httptrace.WithClientTrace(ctx, trace), re)
	if isNoMemory(err) {
		return refuseNoMemory(re), true, nil
	}
	ch.keep(int64(len(answer.GetBody())))
	return answer, wasSent.Load(), err
}
