package crowder

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"cornellanding.example/port/receiver"
	"cornellanding.example/standin/platformer"
)

const (
	// MaxHeaderBytes and MaxBodyBytes are the limits that every crowd stays within.
	MaxHeaderBytes = 16 << 10
	MaxBodyBytes   = 8 << 20
	// bodyBytes is the size of a large body, smallChunkBytes that of a body in chunks of
	// one byte, and answerBytes that of a large response.
	bodyBytes       = 4 << 20
	smallChunkBytes = 1 << 20
	answerBytes     = 6 << 20
	chunkBytes      = 64 << 10
	// pieceBytes and piecePause slow down a body that is sent piece by piece.
	pieceBytes = 16 << 10
	piecePause = time.Millisecond
	// receiveBuffer keeps the kernel from taking the response off a slow reader's hands.
	receiveBuffer = 4 << 10
	dialTimeout   = 5 * time.Second
	// writeTimeout bounds how long a client waits for an instance that does not read.
	writeTimeout = 6 * time.Second
	// requestDeadline is the deadline that a client's request names.
	requestDeadline = 5 * time.Second
	// keys is the number of different keys that a crowd uses.
	keys = 60000
)

// Crowd is a number of clients of one kind that connect at once.
type Crowd struct {
	Name    string
	Clients int
	// talk sends one client's request. It leaves the connection open.
	talk func(index int, conn net.Conn) error
}

// Held are the open connections of a crowd.
type Held struct {
	mu    sync.Mutex
	conns []net.Conn
	// Broken is the number of clients that could not send everything.
	Broken int
}

// Crowds returns every kind of crowd.
func Crowds() []Crowd {
	return []Crowd{
		{"shortLines", 800, func(_ int, conn net.Conn) error { return write(conn, shortLines()) }},
		{"oddLines", 800, func(_ int, conn net.Conn) error { return write(conn, oddLines()) }},
		{"lengthBodies", 60, sendLength},
		{"pieceBodies", 60, sendPieces},
		{"largeChunks", 60, func(index int, conn net.Conn) error { return sendChunks(index, conn, chunkBytes, bodyBytes) }},
		{"oneByteChunks", 160, func(index int, conn net.Conn) error { return sendChunks(index, conn, 1, smallChunkBytes) }},
		{"mixed", 240, sendMixed},
		{"idleConnections", 700, func(int, net.Conn) error { return nil }},
		{"completeBodies", 80, sendComplete},
		{"slowReaders", 60, requestLarge},
	}
}

// CompleteHeads returns a crowd of complete requests with very many header lines to the owner
// of a key behind the entry, several on each connection.
func CompleteHeads() Crowd {
	const requests = 10
	return Crowd{"completeHeads", 400, func(index int, conn net.Conn) error {
		for i := range requests {
			lines := bytes.TrimPrefix(oddLines(), []byte(head(0, plainPath)))
			if _, err := fmt.Fprintf(conn, "%s%sContent-Length: 0\r\n\r\n", head(index*requests+i, keyPath), lines); err != nil {
				return err
			}
			if err := conn.SetReadDeadline(time.Now().Add(writeTimeout)); err != nil {
				return err
			}
			if _, err := conn.Read(make([]byte, chunkBytes)); err != nil {
				return err
			}
		}
		return nil
	}}
}

// Send connects all clients at once and returns when each has sent what it sends.
func (cr Crowd) Send(address string) *Held {
	he := &Held{}
	var wg sync.WaitGroup
	for i := range cr.Clients {
		wg.Go(func() {
			conn, err := dial(address)
			if err == nil {
				err = cr.talk(i, conn)
			}
			he.mu.Lock()
			defer he.mu.Unlock()
			if conn != nil {
				he.conns = append(he.conns, conn)
			}
			if err != nil {
				he.Broken++
			}
		})
	}
	wg.Wait()
	return he
}

// Close closes the connections.
func (he *Held) Close() {
	for _, conn := range he.conns {
		// The instance may have closed it already.
		_ = conn.Close()
	}
}

func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	if err := conn.(*net.TCPConn).SetReadBuffer(receiveBuffer); err != nil {
		return conn, err
	}
	return conn, conn.SetWriteDeadline(time.Now().Add(writeTimeout))
}

func write(conn net.Conn, content []byte) error {
	_, err := conn.Write(content)
	return err
}

// head returns a request's head up to the empty line that ends it.
func head(index int, path string) string {
	rq := platformer.Request{ID: fmt.Sprintf("crowd-%d", index), Host: host, Path: path, Key: uint64(index * 997 % keys), Deadline: requestDeadline}
	return rq.Head()
}

// shortLines returns a head of very many short lines that lacks its end.
func shortLines() []byte {
	bu := bytes.NewBufferString(head(0, plainPath))
	for i := 0; bu.Len() < MaxHeaderBytes-16; i++ {
		fmt.Fprintf(bu, "%c%c:\r\n", 'a'+i/26%26, 'a'+i%26)
	}
	return bu.Bytes()
}

// oddLines returns a head of lines with different names of odd characters and empty or
// blank values that lacks its end.
func oddLines() []byte {
	bu := bytes.NewBufferString(head(0, plainPath))
	for i := 0; bu.Len() < MaxHeaderBytes-24; i++ {
		fmt.Fprintf(bu, "~%x!:%*s\r\n", i, i%3, "")
	}
	return bu.Bytes()
}

// sendLength sends a body with a length, but for its last byte.
func sendLength(index int, conn net.Conn) error {
	if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head(index, plainPath), bodyBytes); err != nil {
		return err
	}
	return write(conn, make([]byte, bodyBytes-1))
}

// sendPieces sends a body like sendLength, piece by piece.
func sendPieces(index int, conn net.Conn) error {
	if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head(index, plainPath), bodyBytes); err != nil {
		return err
	}
	piece := make([]byte, pieceBytes)
	for left := bodyBytes - 1; left > 0; left -= len(piece) {
		if err := write(conn, piece[:min(left, len(piece))]); err != nil {
			return err
		}
		time.Sleep(piecePause)
	}
	return nil
}

// sendChunks sends a body of size bytes in chunks without the last chunk that ends it.
func sendChunks(index int, conn net.Conn, chunk, size int) error {
	if _, err := fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n", head(index, plainPath)); err != nil {
		return err
	}
	one := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk, bytes.Repeat([]byte("b"), chunk))
	batch := bytes.Repeat(one, max(1, chunkBytes/len(one)))
	count := size / chunk / (len(batch) / len(one))
	for range count {
		if err := write(conn, batch); err != nil {
			return err
		}
	}
	return nil
}

// sendMixed sends one kind of request after the other, and with every second large body a
// head of many short lines.
func sendMixed(index int, conn net.Conn) error {
	switch index % 6 {
	case 0:
		return write(conn, shortLines())
	case 1:
		return write(conn, oddLines())
	case 2:
		return sendPieces(index, conn)
	case 3:
		return sendChunks(index, conn, chunkBytes, bodyBytes)
	case 4:
		return sendChunks(index, conn, 1, smallChunkBytes)
	default:
		lines := fmt.Appendf(shortLines(), "Content-Length: %d\r\n\r\n", 1<<20)
		return write(conn, append(lines, make([]byte, 1<<20-1)...))
	}
}

// sendComplete sends a whole body to the owner of a key behind the entry and reads the
// response.
func sendComplete(index int, conn net.Conn) error {
	if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head(index, keyPath), bodyBytes); err != nil {
		return err
	}
	if err := write(conn, make([]byte, bodyBytes)); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

// requestLarge requests a large response of the owner of a key behind the entry and does
// not read it.
func requestLarge(index int, conn net.Conn) error {
	path := fmt.Sprintf("%s?padding=%d", keyPath, answerBytes)
	if _, err := fmt.Fprintf(conn, "%sContent-Length: 0\r\n\r\n", head(index, path)); err != nil {
		return err
	}
	time.Sleep(writeTimeout / 2)
	return nil
}

// Single is one request to the backend server beside the entry, or to the owner of a key behind
// it.
type Single struct {
	BodyBytes int
	IsChunked bool
	IsBehind  bool
	// Lines is the number of header lines of four bytes each.
	Lines int
}

// Send sends one request to the entry and returns the status of the response.
func (fl *Fleet) Send(sg Single) (int, error) {
	conn, err := net.DialTimeout("tcp", fl.Entry(), dialTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(4 * writeTimeout)); err != nil {
		return 0, err
	}
	path := plainPath
	if sg.IsBehind {
		path = keyPath
	}
	bu := bytes.NewBufferString(head(int(fl.sent.Add(1)), path))
	for range sg.Lines {
		bu.WriteString("a:\r\n")
	}
	bodyLine, format := fmt.Sprintf("Content-Length: %d\r\n\r\n", sg.BodyBytes), "%s"
	if sg.IsChunked {
		bodyLine, format = "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%%s\r\n", min(sg.BodyBytes, chunkBytes))
	}
	bu.WriteString(bodyLine)
	if err := write(conn, bu.Bytes()); err != nil {
		return 0, err
	}
	for left := sg.BodyBytes; left > 0; left -= chunkBytes {
		piece := make([]byte, min(left, chunkBytes))
		if _, err := fmt.Fprintf(conn, format, piece); err != nil {
			return 0, err
		}
	}
	if sg.IsChunked {
		if err := write(conn, []byte("0\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	status, _, err := readAnswer(conn)
	return status, err
}

// readAnswer reads a whole answer, and returns its status and the length of its body.
func readAnswer(conn net.Conn) (status int, length int64, err error) {
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, err
	}
	defer answer.Body.Close()
	if err := receiver.Check(answer); err != nil {
		return 0, 0, err
	}
	length, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, length, err
}

// Stall sends the beginning of a head to the entry, and returns how long the instance waits for
// the rest before it closes the connection.
func (fl *Fleet) Stall() (time.Duration, error) {
	conn, err := net.DialTimeout("tcp", fl.Entry(), dialTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	startedAt := time.Now()
	if err := conn.SetDeadline(startedAt.Add(writeTimeout)); err != nil {
		return 0, err
	}
	if err := write(conn, []byte(head(0, plainPath))); err != nil {
		return 0, err
	}
	if _, err = conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, err
	}
	return time.Since(startedAt), nil
}

// LargeBytes is the least length of the body that ReadLarge reads.
const LargeBytes = 2 << 20

// ReadLarge requests a large response of the owner of a key behind the entry, and returns how
// long its body is.
func (fl *Fleet) ReadLarge(index int) (int64, error) {
	conn, err := net.DialTimeout("tcp", fl.Entry(), dialTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	path := fmt.Sprintf("%s?padding=%d", keyPath, LargeBytes)
	if _, err := fmt.Fprintf(conn, "%sContent-Length: 0\r\n\r\n", head(index, path)); err != nil {
		return 0, err
	}
	status, length, err := readAnswer(conn)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("crowder: status %d", status)
	}
	return length, err
}
