package router

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/shaper"
)

// Bodies of requests go before responses: the owner keeps a place on its link for each, and
// ends a transfer that makes no progress.
const (
	requestPriority  cataloguer.Priority = 0
	responsePriority cataloguer.Priority = 1
)

// buffers holds the buffers of ReadFrom.
var buffers = sync.Pool{New: func() any { return new([shaper.Bulk]byte) }}

// connection is a TCP connection whose bulk messages wait for their turn on the link. One
// call of Write or ReadFrom is one message, and the HTTP client and server of net/http
// write a large body in one call. At most one such call may run at a time.
type connection struct {
	net.Conn
	li        *link
	priority  cataloguer.Priority
	closed    chan struct{}
	closeOnce sync.Once
	// changed wakes a waiting write after a change of the deadline.
	changed chan struct{}

	mu       sync.Mutex
	deadline time.Time
	// request is the context of the request whose response is written, or nil. Once it
	// ends, the client has gone.
	request context.Context
	// isExempt means that nothing waits: the connection carries control calls.
	isExempt bool
}

func newConnection(conn net.Conn, li *link, priority cataloguer.Priority) *connection {
	if tcp := tcpOf(conn); tcp != nil && li.socketBuffer > 0 {
		// Without these buffer sizes the connection still works.
		_ = tcp.SetWriteBuffer(li.socketBuffer)
		_ = tcp.SetReadBuffer(li.socketBuffer)
	}
	return &connection{Conn: conn, li: li, priority: priority, closed: make(chan struct{}), changed: make(chan struct{}, 1)}
}

// tcpOf returns the TCP connection that a connection is or wraps, or nil.
func tcpOf(conn net.Conn) *net.TCPConn {
	switch cn := conn.(type) {
	case *net.TCPConn:
		return cn
	case interface{ NetConn() net.Conn }:
		return tcpOf(cn.NetConn())
	default:
		return nil
	}
}

// NetConn returns the connection below.
func (cn *connection) NetConn() net.Conn { return cn.Conn }

// CloseWrite closes the writing side. net/http calls it before it closes a connection with
// unread data, so that the response isn't lost with a reset.
func (cn *connection) CloseWrite() error {
	if closer, ok := cn.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// begin notes the request that the connection serves next.
func (cn *connection) begin(ctx context.Context, isExempt bool) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.request, cn.isExempt = ctx, isExempt
}

func (cn *connection) state() (deadline time.Time, request context.Context, isExempt bool) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.deadline, cn.request, cn.isExempt
}

// Read implements net.Conn.
func (cn *connection) Read(content []byte) (int, error) {
	count, err := cn.Conn.Read(content)
	if count > 0 {
		cn.li.countReceived(count)
	}
	return count, err
}

// Write implements net.Conn.
func (cn *connection) Write(content []byte) (int, error) {
	if _, _, isExempt := cn.state(); isExempt || len(content) < shaper.Bulk {
		count, err := cn.Conn.Write(content)
		cn.li.countSent(count)
		return count, err
	}
	sent := 0
	_, err := cn.send(int64(len(content)), func(limit int64) (int64, error) {
		count, err := cn.Conn.Write(content[sent : sent+int(limit)])
		sent += count
		return int64(count), err
	})
	return sent, err
}

// ReadFrom implements io.ReaderFrom, which net/http uses for bodies. A body of known
// length is one message.
func (cn *connection) ReadFrom(source io.Reader) (int64, error) {
	limited, ok := source.(*io.LimitedReader)
	if _, _, isExempt := cn.state(); !ok || isExempt || limited.N < shaper.Bulk {
		return io.Copy(struct{ io.Writer }{cn}, source)
	}
	buffer := buffers.Get().(*[shaper.Bulk]byte)
	defer buffers.Put(buffer)
	return cn.send(limited.N, func(limit int64) (int64, error) {
		return io.CopyBuffer(struct{ io.Writer }{cn.Conn}, io.LimitReader(source, limit), buffer[:])
	})
}

// send sends a message of size bytes by calls of write, each with the number of bytes
// that it may write. It ends early if write wrote fewer.
func (cn *connection) send(size int64, write func(limit int64) (int64, error)) (int64, error) {
	ticket, turns := cn.li.arrive(size, cn.priority)
	defer cn.li.leave(ticket)
	sent := int64(0)
	for sent < size {
		limit, err := cn.await(turns)
		if err != nil {
			return sent, err
		}
		count, err := write(limit)
		sent += count
		cn.li.written(ticket, count)
		if err != nil || count < limit {
			return sent, err
		}
	}
	return sent, nil
}

// await waits for the next grant. It returns an error once the connection is closed, its
// deadline passes or the client has gone.
func (cn *connection) await(turns <-chan int64) (int64, error) {
	for {
		deadline, request, _ := cn.state()
		ctx, cancel := deadlineContext(request, deadline)
		select {
		case limit := <-turns:
			cancel()
			return limit, nil
		case <-cn.closed:
			cancel()
			return 0, net.ErrClosed
		case <-cn.changed:
			cancel()
		case <-ctx.Done():
			cancel()
			if request != nil && request.Err() != nil {
				return 0, request.Err()
			}
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// deadlineContext returns a context that ends with the request, if there is one, or at the
// deadline, if there is one.
func deadlineContext(request context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if request == nil {
		request = context.Background()
	}
	if deadline.IsZero() {
		return request, func() {}
	}
	return context.WithDeadline(request, deadline)
}

// Close implements net.Conn. It ends a waiting write.
func (cn *connection) Close() error {
	cn.closeOnce.Do(func() { close(cn.closed) })
	return cn.Conn.Close()
}

// SetDeadline implements net.Conn.
func (cn *connection) SetDeadline(at time.Time) error {
	cn.setWriteDeadline(at)
	return cn.Conn.SetDeadline(at)
}

// SetWriteDeadline implements net.Conn.
func (cn *connection) SetWriteDeadline(at time.Time) error {
	cn.setWriteDeadline(at)
	return cn.Conn.SetWriteDeadline(at)
}

func (cn *connection) setWriteDeadline(at time.Time) {
	cn.mu.Lock()
	cn.deadline = at
	cn.mu.Unlock()
	select {
	case cn.changed <- struct{}{}:
	default:
	}
}

// shapedListener wraps the connections that it accepts.
type shapedListener struct {
	net.Listener
	li *link
}

// Accept implements net.Listener.
func (sl *shapedListener) Accept() (net.Conn, error) {
	conn, err := sl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConnection(conn, sl.li, responsePriority), nil
}

type connectionKey struct{}

// withConnection adds a wrapped connection to the context of its requests. It is the
// ConnContext of an HTTP server.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	if cn, ok := conn.(*connection); ok {
		return context.WithValue(ctx, connectionKey{}, cn)
	}
	return ctx
}

// beginResponse tells the connection, if it is wrapped, which request it serves. Its
// context must end only when the client goes or the response is complete.
func beginResponse(ctx context.Context, isExempt bool) {
	if cn, ok := ctx.Value(connectionKey{}).(*connection); ok {
		cn.begin(ctx, isExempt)
	}
}
