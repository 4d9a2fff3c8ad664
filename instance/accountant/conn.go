package accountant

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cornellanding.example/core/reserver"
	"cornellanding.example/core/timer"
)

const (
	// LineBytes is what a line of a head holds beside its text: an entry in the map of
	// headers, the value's slice, the copy that is passed on, and the header of the request
	// to the backend server.
	LineBytes = 512
	// textCopies is how often the text of a head is held.
	textCopies = 3
	// headSlack is how much larger than its limit a head may be. net/http adds the same
	// to its own limit.
	headSlack = 4 << 10
	// maxHeadBytes is the limit of net/http, which the limit of the account replaces.
	maxHeadBytes = 1 << 20
	// pieceBytes is how much is written at a time, so that a slow reader's progress shows.
	pieceBytes = 64 << 10
	// writeBuffer is the size in bytes of the kernel's buffer for a caller's responses, which
	// the account does not see. By itself it would grow to 4 MiB for a reader that stops; 128
	// KiB carry 10 Mbit/s over 100 ms.
	writeBuffer = 128 << 10
	// refusalSpan is how long a connection stays open after the refusal of its head, so
	// that the client can read it before a reset.
	refusalSpan = 500 * time.Millisecond
)

// headTooLarge is the response to a head that is larger than its limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// errClosed ends a connection. net/http takes it for a failed read and sends no response.
var errClosed = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNABORTED}

// conn is an accepted connection whose bytes are charged to the account.
type conn struct {
	net.Conn
	ac   *Accountant
	id   reserver.ID
	kind reserver.Kind
	// request is the number of the current request. The lock of ac guards it.
	request uint64

	mu sync.Mutex
	// isHeadOver is false while the bytes that arrive belong to a head, and isIdle is
	// true until the first of them arrives.
	isHeadOver bool
	isIdle     bool
	// headBytes and lines are the size of the head so far, lineLength and lineStart the
	// length and the first byte of its current line, and charged what was charged for the
	// head.
	headBytes  int64
	lines      int64
	lineLength int
	lineStart  byte
	charged    int64
}

// Read implements net.Conn.
func (co *conn) Read(into []byte) (int, error) {
	count, err := co.Conn.Read(into)
	if count == 0 {
		return count, err
	}
	missing, isTooLarge := co.count(into[:count])
	switch {
	case isTooLarge:
		co.refuseHead()
		return 0, errClosed
	case missing > 0 && !co.ac.take(co.id, missing):
		return 0, errClosed
	}
	co.ac.update(func(account *reserver.Account, now timer.Instant) { account.Advance(co.id, int64(count), now) })
	return count, err
}

// count counts received bytes that belong to a head. It returns what must be charged for
// them, and whether the head is too large.
func (co *conn) count(content []byte) (missing int64, isTooLarge bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.isHeadOver {
		return 0, false
	}
	limits := co.ac.limits(co.kind)
	if co.isIdle {
		co.isIdle = false
		co.ac.update(func(account *reserver.Account, now timer.Instant) {
			account.Enter(co.id, reserver.Head, now.Add(limits.HeadTimeout), now)
		})
	}
	for len(content) > 0 && !co.isHeadOver {
		if co.lineLength == 0 {
			co.lineStart = content[0]
		}
		end := bytes.IndexByte(content, '\n')
		if end < 0 {
			co.headBytes += int64(len(content))
			co.lineLength += len(content)
			break
		}
		co.headBytes += int64(end + 1)
		co.lines++
		length := co.lineLength + end
		co.isHeadOver = length == 0 || length == 1 && co.lineStart == '\r'
		co.lineLength = 0
		content = content[end+1:]
	}
	missing = co.headBytes*textCopies + co.lines*LineBytes - co.charged
	co.charged += missing
	return missing, co.headBytes > limits.HeadBytes+headSlack
}

// refuseHead sends status 431 and discards what the client still sends for a while.
func (co *conn) refuseHead() {
	deadline := time.Now().Add(refusalSpan)
	if co.Conn.SetDeadline(deadline) != nil {
		return
	}
	if _, err := io.WriteString(co.Conn, headTooLarge); err != nil || co.CloseWrite() != nil {
		return
	}
	// The deadline or the client's end of the connection ends the reads.
	_, _ = io.Copy(io.Discard, co.Conn)
}

// Write implements net.Conn. It writes in pieces, each of which counts as progress.
func (co *conn) Write(content []byte) (int, error) {
	written := 0
	co.ac.update(func(account *reserver.Account, now timer.Instant) { account.Respond(co.id, now) })
	for {
		piece := content[written:min(len(content), written+pieceBytes)]
		count, err := co.Conn.Write(piece)
		written += count
		co.ac.update(func(account *reserver.Account, now timer.Instant) { account.Advance(co.id, int64(count), now) })
		if err != nil || written == len(content) {
			return written, err
		}
	}
}

// NetConn returns the connection below.
func (co *conn) NetConn() net.Conn { return co.Conn }

// connOf returns the connection of an account that a server's connection is or wraps, or nil.
func connOf(outer net.Conn) *conn {
	if co, ok := outer.(*conn); ok {
		return co
	}
	if wrapped, ok := outer.(interface{ NetConn() net.Conn }); ok {
		return connOf(wrapped.NetConn())
	}
	return nil
}

// CloseWrite closes the writing side. net/http calls it before it closes a connection.
func (co *conn) CloseWrite() error {
	if closer, ok := co.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (co *conn) Close() error {
	co.ac.mu.Lock()
	co.ac.account.Close(co.id)
	delete(co.ac.conns, co.id)
	co.ac.mu.Unlock()
	return co.Conn.Close()
}

// enter follows the state of the connection in net/http. Active means that a head has
// arrived and been parsed.
func (co *conn) enter(state http.ConnState) {
	co.mu.Lock()
	defer co.mu.Unlock()
	switch state {
	case http.StateActive:
		co.isHeadOver, co.isIdle = true, false
		co.ac.update(func(account *reserver.Account, now timer.Instant) { account.Enter(co.id, reserver.Body, 0, now) })
	case http.StateIdle:
		co.isHeadOver, co.isIdle = false, true
		co.headBytes, co.lines, co.lineLength, co.charged = 0, 0, 0, 0
		limits := co.ac.limits(co.kind)
		co.ac.update(func(account *reserver.Account, now timer.Instant) {
			co.request++
			account.Enter(co.id, reserver.Idle, now.Add(limits.IdleTimeout), now)
		})
	}
}

// begin says that a head was parsed, and returns the hold of its request.
func (ho Hold) begin() Hold {
	if ho.co == nil {
		return ho
	}
	// net/http doesn't report a request that it had read together with the one before.
	ho.co.enter(http.StateActive)
	ho.co.ac.update(func(*reserver.Account, timer.Instant) {
		ho.co.request++
		ho.request = ho.co.request
	})
	return ho
}

// chargeHead charges what a head holds and was not charged as it arrived.
func (ho Hold) chargeHead(header http.Header) bool {
	if ho.co == nil {
		return true
	}
	cost := int64(0)
	for name, values := range header {
		for _, value := range values {
			cost += LineBytes + textCopies*int64(len(name)+len(value))
		}
	}
	ho.co.mu.Lock()
	missing := cost - ho.co.charged
	if missing > 0 {
		ho.co.charged += missing
	}
	ho.co.mu.Unlock()
	return missing <= 0 || ho.Take(missing)
}
