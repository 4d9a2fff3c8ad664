package gatekeeper

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// cutter accepts connections of a backend server that writes the given bytes in answer to
// a request and closes, or resets, the connection.
func cutter(t *testing.T, answer string, isReset bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = conn.Write([]byte(answer))
				if isReset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestCutHeadIsNoAnswer: a server stops anywhere in the head of an answer and closes. What
// arrived must not pass for a whole answer, such as one with an empty body.
func TestCutHeadIsNoAnswer(t *testing.T) {
	ga := newGate(t)
	for name, head := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nServer: s\r\nContent-Length: 5\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nServer: s\r\nConnection: close\r\n\r\n",
		"chunked":   "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nServer: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0":  "HTTP/1.0 200 OK\r\nRequest-Id: 1\r\nServer: s\r\n\r\n",
		"bare LF":   "HTTP/1.1 200 OK\nRequest-Id: 1\nServer: s\nContent-Length: 5\n\n",
	} {
		for _, isReset := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				for end := range len(head) {
					gate, err := New(ga.pu, cutter(t, head[:end], isReset))
					is.NoErr(err)
					answer := gate.Forward(context.Background(), request("1", "body"))
					is.Equal(answer.GetOutcome(), uint32(OutcomeUnknown))
				}
			})
		}
	}
}
