// Package accountant charges what clients hold to the account of package reserver: it wraps
// the connections that HTTP servers accept, counts the bytes and lines of heads as they
// arrive, and closes the connections that the account drops.
//
// # Usage
//
//	ac := accountant.New(clock, capacity, limits)
//	go ac.Run(ctx)
//	ac.Attach(server)
//	err := server.Serve(ac.Listener(listener, reserver.Caller))
//
//	hold := accountant.From(request.Context())
//	if !hold.Take(length) { refuse }
package accountant

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cornellanding.example/core/reserver"
	"cornellanding.example/core/timer"
	"github.com/hashicorp/go-hclog"
)

const (
	// sweepInterval is how often connections that must end are looked for.
	sweepInterval = 250 * time.Millisecond
	// pollInterval is how often Await tries again. Each try looks at all connections.
	pollInterval = 20 * time.Millisecond
	// logInterval is the least time between two lines about dropped connections.
	logInterval = 5 * timer.Second
)

// RetryAfter is the retry delay to advise when no memory is left: clients that make no progress
// are dropped after a second.
const RetryAfter = timer.Second

// Limits are the limits of one head and of the time between requests.
type Limits struct {
	// HeadBytes is the maximum size of a head in bytes.
	HeadBytes int64
	// HeadTimeout bounds the time from the first byte of a head to its end, and
	// IdleTimeout the time without a request.
	HeadTimeout timer.Span
	IdleTimeout timer.Span
}

// Accountant is the account of one instance's connections. It is safe for concurrent use.
type Accountant struct {
	clock  timer.Clock
	limits func(kind reserver.Kind) Limits
	lo     hclog.Logger
	// turn is taken by the one holder that may grow without a known end, see AwaitTurn.
	turn chan struct{}
	// measurement is nil if the limit of bytes is fixed.
	measurement *measurement

	mu       sync.Mutex
	account  *reserver.Account
	conns    map[reserver.ID]*conn
	loggedAt timer.Instant
	logged   uint64
}

// New returns an accountant. Limits returns the limits in force for a kind of connection.
func New(clock timer.Clock, capacity reserver.Capacity, limits func(kind reserver.Kind) Limits, lo hclog.Logger) *Accountant {
	return &Accountant{clock: clock, limits: limits, lo: lo, turn: make(chan struct{}, 1), account: reserver.New(capacity), conns: map[reserver.ID]*conn{}}
}

// Run closes connections that must end, until ctx ends.
func (ac *Accountant) Run(ctx context.Context) {
	for timer.Sleep(ctx, sweepInterval) {
		ac.dropBy(func(account *reserver.Account, now timer.Instant) []reserver.ID {
			if ac.measurement != nil {
				ac.measurement.apply(account)
			}
			expired := account.Expire(now)
			ac.logDropped()
			return expired
		})
	}
}

// logDropped logs that connections were dropped or refused. The lock must be held.
func (ac *Accountant) logDropped() {
	count, now := ac.account.Dropped+ac.account.Refused, ac.clock.Now()
	if count == ac.logged || ac.loggedAt != 0 && now.Sub(ac.loggedAt) < logInterval {
		return
	}
	ac.logged, ac.loggedAt = count, now
	held, connections := ac.account.Held()
	ac.lo.Warn("connections closed or refused for memory, descriptors or lack of progress", "heldBytes", held, "connections", connections,
		"dropped", ac.account.Dropped, "refused", ac.account.Refused)
}

// Held returns the bytes held and the number of connections.
func (ac *Accountant) Held() (bytes int64, connections int) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return ac.account.Held()
}

// Counts returns how many connections were dropped, and how often more was refused.
func (ac *Accountant) Counts() (dropped, refused uint64) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return ac.account.Dropped, ac.account.Refused
}

// dropBy changes the account under the lock, and then closes the connections of the holders
// that change returns as dropped.
func (ac *Accountant) dropBy(change func(account *reserver.Account, now timer.Instant) (dropped []reserver.ID)) {
	var closing []*conn
	ac.update(func(account *reserver.Account, now timer.Instant) {
		for _, id := range change(account, now) {
			if co := ac.conns[id]; co != nil {
				closing = append(closing, co)
				delete(ac.conns, id)
			}
		}
	})
	for _, co := range closing {
		// The client may have closed it already.
		_ = co.Conn.Close()
	}
}

// open adds an accepted connection. It returns nil if the connection must be closed.
func (ac *Accountant) open(inner net.Conn, kind reserver.Kind) *conn {
	if tcp, ok := inner.(*net.TCPConn); ok && kind == reserver.Caller {
		// A broken connection shows in the first read.
		_ = tcp.SetWriteBuffer(writeBuffer)
	}
	var opened *conn
	ac.dropBy(func(account *reserver.Account, now timer.Instant) []reserver.ID {
		id, dropped, ok := account.Open(kind, now.Add(ac.limits(kind).HeadTimeout), now)
		if ok {
			opened = &conn{Conn: inner, ac: ac, kind: kind, id: id}
			ac.conns[id] = opened
		}
		return dropped
	})
	return opened
}

// take charges bytes to a connection, or returns false.
func (ac *Accountant) take(id reserver.ID, bytes int64) bool {
	isTaken := false
	ac.dropBy(func(account *reserver.Account, now timer.Instant) (dropped []reserver.ID) {
		dropped, isTaken = account.Take(id, bytes, now)
		return dropped
	})
	return isTaken
}

// update changes the account under the lock.
func (ac *Accountant) update(change func(account *reserver.Account, now timer.Instant)) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	change(ac.account, ac.clock.Now())
}

// Listener returns a listener whose connections are charged to the account.
func (ac *Accountant) Listener(inner net.Listener, kind reserver.Kind) net.Listener {
	return &listener{Listener: inner, ac: ac, kind: kind}
}

type listener struct {
	net.Listener
	ac   *Accountant
	kind reserver.Kind
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (li *listener) Accept() (net.Conn, error) {
	for {
		inner, err := li.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if co := li.ac.open(inner, li.kind); co != nil {
			return co, nil
		}
		// Nothing was exchanged, so an error needs no handling.
		_ = inner.Close()
	}
}

type holdKey struct{}

// Attach makes a server, whose connections may be wrapped once more, report the states of its
// connections, and replaces its time-outs and its limit of a head by those of the account. It
// must be called before the server starts.
func (ac *Accountant) Attach(server *http.Server) {
	before := server.ConnContext
	server.ConnContext = func(ctx context.Context, outer net.Conn) context.Context {
		if before != nil {
			ctx = before(ctx, outer)
		}
		if co := connOf(outer); co != nil {
			ctx = context.WithValue(ctx, holdKey{}, Hold{co: co})
		}
		return ctx
	}
	server.ConnState = func(outer net.Conn, state http.ConnState) {
		if co := connOf(outer); co != nil {
			co.enter(state)
		}
	}
	server.ReadHeaderTimeout, server.ReadTimeout, server.IdleTimeout = 0, 0, 0
	server.MaxHeaderBytes = maxHeadBytes
	server.Handler = ac.handler(server.Handler)
}

// handler gives each request a hold of its own, and charges heads that arrived together with
// an earlier request, which the connection did not see as heads.
func (ac *Accountant) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		hold := From(re.Context()).begin()
		re = re.WithContext(context.WithValue(re.Context(), holdKey{}, hold))
		if !hold.chargeHead(re.Header) {
			wr.Header().Set("Connection", "close")
			wr.Header().Set("Retry-After", strconv.Itoa(int(RetryAfter/timer.Second)))
			http.Error(wr, "no memory is left for the request's head", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(wr, re)
	})
}

// ErrNoRoom says that the account had no room in time.
var ErrNoRoom = errors.New("accountant: no memory is left")

// Hold is what a request holds. The zero value belongs to no account and may hold anything.
// Once the connection is idle, a hold of an earlier request charges and returns nothing.
type Hold struct {
	co *conn
	// request is the number of the request on its connection.
	request uint64
}

// From returns the hold of the connection on which a request arrived.
func From(ctx context.Context) Hold {
	ho, _ := ctx.Value(holdKey{}).(Hold)
	return ho
}

// IsLimited reports whether the hold belongs to an account.
func (ho Hold) IsLimited() bool { return ho.co != nil }

// IsPeer reports whether the request is from another instance.
func (ho Hold) IsPeer() bool { return ho.co != nil && ho.co.kind == reserver.Peer }

// Take charges bytes, or returns false.
func (ho Hold) Take(bytes int64) bool {
	if ho.co == nil {
		return true
	}
	isTaken := false
	ho.co.ac.dropBy(func(account *reserver.Account, now timer.Instant) (dropped []reserver.ID) {
		if ho.co.request == ho.request {
			dropped, isTaken = account.Take(ho.co.id, bytes, now)
		}
		return dropped
	})
	return isTaken
}

// update changes the account if the hold is that of the current request.
func (ho Hold) update(change func(account *reserver.Account, id reserver.ID, now timer.Instant)) {
	if ho.co == nil {
		return
	}
	ho.co.ac.update(func(account *reserver.Account, now timer.Instant) {
		if ho.co.request == ho.request {
			change(account, ho.co.id, now)
		}
	})
}

// Await charges bytes as soon as there is room. It returns ErrNoRoom if ctx ends before.
func (ho Hold) Await(ctx context.Context, bytes int64) error {
	for !ho.Take(bytes) {
		if !timer.Sleep(ctx, pollInterval) {
			return ErrNoRoom
		}
	}
	return nil
}

// AwaitTurn waits until no other request of the account grows without a known end. It returns
// ErrNoRoom if ctx ends before. The caller must call end.
func (ho Hold) AwaitTurn(ctx context.Context) (end func(), err error) {
	if ho.co == nil {
		return func() {}, nil
	}
	select {
	case ho.co.ac.turn <- struct{}{}:
		return func() { <-ho.co.ac.turn }, nil
	case <-ctx.Done():
		return nil, ErrNoRoom
	}
}

// Force charges bytes whether there is room or not.
func (ho Hold) Force(bytes int64) {
	ho.update(func(account *reserver.Account, id reserver.ID, _ timer.Instant) { account.Force(id, bytes) })
}

// Give returns bytes. The rest is returned when the connection becomes idle or ends.
func (ho Hold) Give(bytes int64) {
	ho.update(func(account *reserver.Account, id reserver.ID, _ timer.Instant) { account.Give(id, bytes) })
}

// Rank sets the rank of the request; connections of higher ones are closed first.
func (ho Hold) Rank(rank int) {
	ho.update(func(account *reserver.Account, id reserver.ID, _ timer.Instant) { account.Rank(id, rank) })
}

// PassOn says that the request may run from now on, so that its connection isn't closed before
// its response is written.
func (ho Hold) PassOn() {
	ho.update(func(account *reserver.Account, id reserver.ID, now timer.Instant) {
		account.Enter(id, reserver.Run, 0, now)
	})
}
