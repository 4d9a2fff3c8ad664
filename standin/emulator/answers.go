package emulator

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// RawEnd is how a server ends a connection after a RawAnswer.
type RawEnd int

// The ends. A half-close ends what the server sends in good order.
const (
	EndKeepOpen RawEnd = iota
	EndHalfClose
	EndHalfCloseReset
	EndReset
	// EndResetLater is EndReset once the answer has been read.
	EndResetLater
)

// rawPause lets the client read what was sent before the connection ends.
const rawPause = 30 * time.Millisecond

// rawFields stands for the header lines by which a protocol matches answers to requests.
const rawFields = "{fields}"

// RawAnswer is what a server sends, byte by byte, in answer to a request whose body it doesn't
// read.
type RawAnswer struct {
	Name string
	// Bytes are the answer, with {fields} in place of the header lines of the protocol.
	Bytes string
	End   RawEnd
	// IsWhole means that it is a complete answer. Any other must not pass for an answer.
	IsWhole bool
	// IsInvalid means that its head or trailer is not valid HTTP.
	IsInvalid bool
}

// UploadBytes is more than a connection takes while the server doesn't read.
const UploadBytes = 8 << 20

// RequestSizes returns the sizes in bytes of the requests with which to play the answer: a small
// one and, if the answer is whole or the connection ends, one that is still being written then.
func (ra RawAnswer) RequestSizes() []int {
	if ra.End == EndKeepOpen && !ra.IsWhole {
		return []int{1}
	}
	return []int{1, UploadBytes}
}

// RawAnswers returns answers with a body that are broken, each in one way, and whole ones that
// resemble them. The body of a broken one is not cut, so that it has to be told by its framing.
func RawAnswers(body string) []RawAnswer {
	const (
		head   = "HTTP/1.1 200 OK\r\n" + rawFields
		head10 = "HTTP/1.0 200 OK\r\n" + rawFields
	)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	cutLength := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body)+1, body)
	cutChunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
	chunks := cutChunks + "0\r\n"
	answers := []RawAnswer{
		{Name: "without length, reset", Bytes: head + "\r\n" + body, End: EndReset},
		{Name: "without length, reset later", Bytes: head + "\r\n" + body, End: EndResetLater},
		{Name: "HTTP/1.0, reset later", Bytes: head10 + "\r\n" + body, End: EndResetLater},
		{Name: "no byte of the body, reset later", Bytes: head + "\r\n", End: EndResetLater},
		{Name: "with length, reset later", Bytes: head + cutLength, End: EndResetLater},
		{Name: "with length, closed", Bytes: head + cutLength, End: EndHalfClose},
		{Name: "chunks, reset later", Bytes: head + cutChunks, End: EndResetLater},
		{Name: "chunks, closed", Bytes: head + cutChunks, End: EndHalfClose},

		{Name: "HTTP/1.0, chunks", Bytes: head10 + chunks + "\r\n", End: EndHalfClose, IsInvalid: true},
		{Name: "HTTP/1.0, chunks and length", Bytes: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + rawFields + length, End: EndHalfClose, IsInvalid: true},
		{Name: "HTTP/1.0 after an interim head", Bytes: "HTTP/1.1 103 Early Hints\r\n\r\n" + head10 + length, End: EndHalfClose, IsInvalid: true},

		{Name: "length, whole", Bytes: head + length, IsWhole: true},
		{Name: "length, whole, reset", Bytes: head + length, End: EndReset, IsWhole: true},
		{Name: "length, whole, reset later", Bytes: head + length, End: EndResetLater, IsWhole: true},
		{Name: "chunks, whole", Bytes: head + chunks + "\r\n", IsWhole: true},
		{Name: "without length, whole", Bytes: head + "\r\n" + body, End: EndHalfClose, IsWhole: true},
		{Name: "without length, whole, reset after the close", Bytes: head + "\r\n" + body, End: EndHalfCloseReset, IsWhole: true},
		{Name: "HTTP/1.0, length", Bytes: head10 + length, End: EndHalfClose, IsWhole: true},
		{Name: "HTTP/1.0, whole", Bytes: head10 + "\r\n" + body, End: EndHalfClose, IsWhole: true},

		{Name: "no reason phrase", Bytes: "HTTP/1.1 200 \r\n" + rawFields + length, IsWhole: true},
		{Name: "no blank after the status", Bytes: "HTTP/1.1 200\r\n" + rawFields + length, IsWhole: true},
		{Name: "fields", Bytes: head + "Odd!#$%&'*+-.^_`|~Name:x\r\nEmpty:\r\nBlanks: \t a \t b \t\r\n" + length, IsWhole: true},
		{Name: "folded line", Bytes: head + "Odd: x\r\n y\r\n" + length, IsWhole: true},
		{Name: "trailer", Bytes: head + chunks + "Odd: x\r\n\r\n", IsWhole: true},
		{Name: "interim heads", Bytes: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + length, IsWhole: true},
	}
	for _, line := range []string{
		"HTTP/1.1 000 None", "HTTP/1.1 000", "HTTP/1.1 042 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 +20 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 -20 OK",
		"HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/1.1 2e2 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1  OK", "HTTP/1.1",
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.x 200 OK", "HTTP 200 OK", "ICY 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK",
		"HTTP/1.1 101 Switching Protocols", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x",
	} {
		answers = append(answers, RawAnswer{Name: fmt.Sprintf("%q", line), Bytes: line + "\r\n" + rawFields + length, IsInvalid: true})
	}
	for _, line := range []string{
		"Odd Name: x", "Odd : x", " Odd: x", "Content-Length : 5", "Transfer-Encoding : chunked", "Odd\tName: x", "Odd\t: x", "Odd\x01Name: x",
		"Odd\x00Name: x", "Odd\x7fName: x", "Odd\rName: x", "Odd\u00e9Name: x", "Odd(Name): x", "Odd", ": x", "Odd: x\x00y", "Odd: x\x01y", "Odd: x\ry", "Odd: x\x7fy",
	} {
		name := fmt.Sprintf("%q", line)
		interim := "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n"
		answers = append(
			answers,
			RawAnswer{Name: name, Bytes: "HTTP/1.1 200 OK\r\n" + line + "\r\n" + rawFields + length, IsInvalid: true},
			RawAnswer{Name: name + " in an interim head", Bytes: interim + head + length, IsInvalid: true},
			RawAnswer{Name: name + " in a trailer", Bytes: head + chunks + line + "\r\n\r\n", IsInvalid: true},
		)
	}
	return answers
}

// Write sends the answer with the header lines of a protocol, each of which ends in CRLF, and
// ends the connection. A client that has gone is no error.
func (ra RawAnswer) Write(conn *net.TCPConn, fields string) {
	_, _ = conn.Write([]byte(strings.Replace(ra.Bytes, rawFields, fields, 1)))
	switch ra.End {
	case EndKeepOpen:
	case EndHalfClose:
		_ = conn.CloseWrite()
	case EndHalfCloseReset:
		_ = conn.CloseWrite()
		time.Sleep(rawPause)
		reset(conn)
	case EndReset:
		reset(conn)
	case EndResetLater:
		time.Sleep(rawPause)
		reset(conn)
	}
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// RawServer is a server that gives a RawAnswer to the first request on each connection.
type RawServer struct {
	listener net.Listener
	ra       RawAnswer
	fields   func(re *http.Request) string

	mu    sync.Mutex
	conns []net.Conn
}

// NewRawServer starts a RawServer on a free port of the loopback interface. Fields returns the
// header lines of the protocol for a request, see RawAnswer.Write.
func NewRawServer(ra RawAnswer, fields func(re *http.Request) string) (*RawServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	rs := &RawServer{listener: listener, ra: ra, fields: fields}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			rs.mu.Lock()
			rs.conns = append(rs.conns, conn)
			rs.mu.Unlock()
			go rs.answer(conn.(*net.TCPConn))
		}
	}()
	return rs, nil
}

func (rs *RawServer) answer(conn *net.TCPConn) {
	re, err := http.ReadRequest(bufio.NewReader(conn))
	if err == nil {
		rs.ra.Write(conn, rs.fields(re))
	}
}

// Address returns where the server listens, as IP:port.
func (rs *RawServer) Address() string { return rs.listener.Addr().String() }

// Close closes the listener and all connections.
func (rs *RawServer) Close() error {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, conn := range rs.conns {
		_ = conn.Close()
	}
	return rs.listener.Close()
}
