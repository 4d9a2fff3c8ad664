package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"cornellanding.example/instance/accountant"
	"cornellanding.example/instance/assembler"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/wire/peerproto"
	"github.com/twitchtv/twirp"
)

const (
	// peerCopies is how often the body of a request or an answer is held at once while it
	// is received from another instance: as verified, as read by the RPC library, and
	// decoded.
	peerCopies = 3
	// smallCall is the size in bytes up to which a call of another instance is charged
	// without a check: all control traffic, and requests that are cheaper to run than to
	// refuse.
	smallCall = 16 << 10
)

// charge is what one call to another instance holds beside the request itself. It is safe for
// concurrent use.
type charge struct {
	hold accountant.Hold

	mu    sync.Mutex
	bytes int64
}

type chargeKey struct{}

// take charges bytes, or returns false.
func (ch *charge) take(bytes int64) bool {
	if !ch.hold.Take(bytes) {
		return false
	}
	ch.add(bytes)
	return true
}

func (ch *charge) add(bytes int64) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.bytes += bytes
}

// keep leaves bytes charged until the caller's request ends.
func (ch *charge) keep(bytes int64) { ch.add(-bytes) }

// giveAll returns what is not kept.
func (ch *charge) giveAll() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.hold.Give(max(0, ch.bytes))
	ch.bytes = 0
}

// requestBytes returns what sending a body holds beside it: its encoded form, and a copy in one
// slice if it consists of several pieces.
func requestBytes(body *assembler.Body) int64 {
	if body.Pieces() > 1 {
		return 2 * body.Len()
	}
	return body.Len()
}

// chargingTransport charges answers to the hold of the request that a call is made for, before
// they are read.
type chargingTransport struct {
	base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (ct *chargingTransport) RoundTrip(re *http.Request) (*http.Response, error) {
	answer, err := ct.base.RoundTrip(re)
	ch, _ := re.Context().Value(chargeKey{}).(*charge)
	if err != nil || ch == nil || answer.ContentLength <= 0 {
		return answer, err
	}
	bytes := peerCopies * answer.ContentLength
	if err := ch.hold.Await(re.Context(), bytes); err != nil {
		answer.Body.Close()
		return nil, err
	}
	ch.add(bytes)
	return answer, nil
}

// errNoDescriptors says that no connection could be made within the limit of descriptors.
var errNoDescriptors = errors.New("router: no descriptor is left for a connection to another instance")

// limitedDialer bounds the connections to other instances that are made for requests. Control
// traffic always gets one.
type limitedDialer struct {
	dialer net.Dialer
	limit  int64
	open   atomic.Int64
}

func (ld *limitedDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if ld.limit <= 0 {
		return ld.dialer.DialContext(ctx, network, address)
	}
	if ld.open.Add(1) > ld.limit && accountant.From(ctx).IsLimited() {
		ld.open.Add(-1)
		return nil, errNoDescriptors
	}
	inner, err := ld.dialer.DialContext(ctx, network, address)
	if err != nil {
		ld.open.Add(-1)
		return nil, err
	}
	return &countedConn{Conn: inner, ld: ld}, nil
}

// countedConn is a connection of a limitedDialer.
type countedConn struct {
	net.Conn
	ld       *limitedDialer
	isClosed atomic.Bool
}

// NetConn returns the connection below.
func (cc *countedConn) NetConn() net.Conn { return cc.Conn }

// Close implements net.Conn.
func (cc *countedConn) Close() error {
	if cc.isClosed.CompareAndSwap(false, true) {
		cc.ld.open.Add(-1)
	}
	return cc.Conn.Close()
}

// callHandler returns the handler of the RPCs of other instances. With an account, a call is
// charged before its body is read, or refused as not run.
func (ro *Router) callHandler(in *incarnation) http.Handler {
	server := peerproto.NewPeerServer(&peerServer{in: in})
	if ro.ac == nil {
		return ro.si.Handler(server, ro.meter.PeerCallRejected)
	}
	refuse := http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		// A failed write means that the connection broke.
		_ = twirp.WriteError(wr, twirp.NewError(twirp.ResourceExhausted, "no memory is left"))
	})
	return ro.si.LimitedHandler(server, ro.meter.PeerCallRejected, refuse, admitCall)
}

// admitCall charges a call of another instance before its body is read.
func admitCall(re *http.Request) bool {
	hold, bytes := accountant.From(re.Context()), peerCopies*max(0, re.ContentLength)
	if re.ContentLength >= 0 && re.ContentLength <= smallCall {
		hold.Force(bytes)
		return true
	}
	return re.ContentLength >= 0 && hold.Take(bytes)
}

// chargeDecoded replaces what was charged for the encoded request by what it holds decoded: one
// copy of its body, and its headers, each of which takes far more than its text.
func chargeDecoded(hold accountant.Hold, re *peerproto.ForwardRequest) bool {
	hold.Give((peerCopies - 1) * int64(len(re.GetBody())))
	bytes := int64(len(re.GetHeaders())) * accountant.LineBytes
	if bytes <= smallCall {
		hold.Force(bytes)
		return true
	}
	return hold.Take(bytes)
}

// isNoMemory reports whether an instance refused a call in admitCall. Its answer is authentic.
func isNoMemory(err error) bool {
	var refused twirp.Error
	return errors.As(err, &refused) && refused.Code() == twirp.ResourceExhausted
}

// refuseNoMemory is the answer to a request that was not run for lack of memory.
func refuseNoMemory(re *peerproto.ForwardRequest) *peerproto.ForwardResponse {
	return refuseTransfer(re, gatekeeper.CodeNoMemory, "no memory is left for the request", accountant.RetryAfter)
}
