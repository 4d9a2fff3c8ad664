package gatekeeper

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// refuser accepts connections of a backend server that refuses its first request, and runs
// all others. Before each further answer on the same connection it writes the refusal
// once more.
type refuser struct {
	address string
	seen    atomic.Int32
	ran     atomic.Int32
}

func newRefuser(t *testing.T) *refuser {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	rf := &refuser{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go rf.serve(conn)
		}
	}()
	return rf
}

func (rf *refuser) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	refusal := ""
	for {
		re, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := re.Header.Get("Request-Id")
		if rf.seen.Add(1) == 1 {
			refusal = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nRequest-Outcome: notRun\r\nContent-Length: 0\r\n\r\n", id)
			fmt.Fprint(conn, refusal)
			continue
		}
		rf.ran.Add(1)
		fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 3\r\n\r\nran", refusal, id)
	}
}

// TestRepeatedRefusalIsNoAnswer: a server writes an earlier refusal once more on a kept
// connection. Neither another copy of the refused request nor another request may be
// reported as not run.
func TestRepeatedRefusalIsNoAnswer(t *testing.T) {
	for name, next := range map[string]string{"the same request": "1", "another request": "2"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rf := newRefuser(t)
			ga := newGate(t)
			gate, err := New(ga.pu, rf.address)
			is.NoErr(err)
			first := gate.Forward(context.Background(), request("1", "order"))
			is.Equal(first.GetCode(), CodeShed)
			second := request(next, "order")
			second.Refused, second.Attempt = next == "1", 2
			answer := gate.Forward(context.Background(), second)
			is.Equal(rf.ran.Load(), int32(1))
			is.True(answer.GetOutcome() != OutcomeNotRun)
			is.Equal(next == "1", strings.HasPrefix(string(answer.GetBody()), "ran"))
		})
	}
}
