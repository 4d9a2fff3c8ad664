package receiver

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"net"
	"net/textproto"
	"sync"
	"syscall"
)

// conn is a connection whose reads end with io.EOF only if the server closed it in good order.
//
// The kernel reports a reset once. If a write gets that error, later reads see the end of the
// stream, as after an orderly close.
type conn struct {
	net.Conn
	// tcp is nil if the connection is not a TCP connection.
	tcp *net.TCPConn
	// writing is held during a write, and guards writeErr, the error of the first one that
	// failed, and isBegun, which is set once a part of the current request has been written.
	writing  sync.Mutex
	writeErr error
	isBegun  bool
	// readErr is the error that ended the reads. Only one goroutine reads at a time.
	readErr error
	// ended is closed when no more can be read.
	ended   chan struct{}
	endOnce sync.Once

	mu sync.Mutex
	// oldHead is what was read of the head of an HTTP/1.0 answer, at least, and isHead is set
	// until it is known whether the answer is one and the head is whole.
	oldHead []byte
	isHead  bool
}

func newConn(inner net.Conn) *conn {
	tcp, _ := inner.(*net.TCPConn)
	return &conn{Conn: inner, tcp: tcp, ended: make(chan struct{})}
}

// Read implements net.Conn.
func (cn *conn) Read(into []byte) (int, error) {
	if cn.readErr != nil {
		return 0, cn.readErr
	}
	count, err := cn.Conn.Read(into)
	cn.keepHead(into[:count])
	if err == nil {
		return count, nil
	}
	if errors.Is(err, io.EOF) {
		err = cn.endOfStream()
	}
	cn.readErr = err
	cn.end()
	return count, err
}

// endOfStream returns io.EOF if the server ended the stream in good order, or the error of the
// write that got the reset.
func (cn *conn) endOfStream() error {
	if cn.tcp == nil {
		return io.EOF
	}
	if wasReset, err := isReset(cn.tcp); err != nil || !wasReset {
		return cmp.Or(err, io.EOF)
	}
	// A write that is under way ends at once.
	cn.writing.Lock()
	defer cn.writing.Unlock()
	// A reset after an orderly close is reported to writes as a broken pipe.
	if cn.writeErr == nil || errors.Is(cn.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return cn.writeErr
}

// Write implements net.Conn. Once a part of the request has been written, a failure because the
// server has reset the connection, or because it was closed on this side, is left to the reads to
// report: http.Transport closes the connection on a failed write, although a whole answer may have
// arrived, and returns that error in place of what it found wrong in an answer.
func (cn *conn) Write(from []byte) (int, error) {
	count, isBegun, err := cn.write(from)
	switch {
	case err == nil || !isBegun:
		return count, err
	case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		// The connection must not be used again once the answer has been read. It isn't while
		// a write is under way.
		<-cn.ended
	case !errors.Is(err, net.ErrClosed):
		return count, err
	}
	return len(from), nil
}

// write also returns whether a part of the request has been written.
func (cn *conn) write(from []byte) (int, bool, error) {
	cn.writing.Lock()
	defer cn.writing.Unlock()
	count, err := cn.Conn.Write(from)
	if err != nil && cn.writeErr == nil {
		cn.writeErr = err
	}
	cn.isBegun = cn.isBegun || count > 0
	return count, cn.isBegun, err
}

// Close implements net.Conn.
func (cn *conn) Close() error {
	cn.end()
	return cn.Conn.Close()
}

func (cn *conn) end() { cn.endOnce.Do(func() { close(cn.ended) }) }

// oldVersion is how an HTTP/1.0 answer begins.
const oldVersion = "HTTP/1.0"

// begin is called before a request is written.
func (cn *conn) begin() {
	cn.writing.Lock()
	cn.isBegun = false
	cn.writing.Unlock()
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.oldHead, cn.isHead = nil, true
}

// keepHead keeps the head of an HTTP/1.0 answer, since net/http drops its Transfer-Encoding.
// http.Transport bounds the head.
func (cn *conn) keepHead(piece []byte) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if !cn.isHead || len(piece) == 0 {
		return
	}
	if known := len(cn.oldHead); known < len(oldVersion) {
		size := min(len(piece), len(oldVersion)-known)
		if string(piece[:size]) != oldVersion[known:known+size] {
			cn.oldHead, cn.isHead = nil, false
			return
		}
	}
	cn.oldHead = append(cn.oldHead, piece...)
	cn.isHead = !bytes.Contains(cn.oldHead, []byte("\n\r\n")) && !bytes.Contains(cn.oldHead, []byte("\n\n"))
}

// isCoded reports whether the head of the HTTP/1.0 answer that was read has a Transfer-Encoding.
func (cn *conn) isCoded() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(cn.oldHead)))
	// Errors don't matter: net/http has read the head, too.
	_, _ = reader.ReadLine()
	header, _ := reader.ReadMIMEHeader()
	return len(header["Transfer-Encoding"]) > 0
}
