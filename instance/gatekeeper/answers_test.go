package gatekeeper

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cornellanding.example/standin/emulator"
	"github.com/matryer/is"
)

// uploadBytes is more than a connection takes while the server doesn't read.
const uploadBytes = 16 << 20

// rawServer accepts connections and answers the first request of each without reading its body.
func rawServer(t *testing.T, ra emulator.RawAnswer) string {
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
			t.Cleanup(func() { conn.Close() })
			go func() {
				re, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				ra.Write(conn.(*net.TCPConn), "Request-Id: "+re.Header.Get(headerRequestID)+"\r\n")
			}()
		}
	}()
	return listener.Addr().String()
}

// TestBrokenAnswers guards against answers that are incomplete or not HTTP and pass for answers,
// and against whole ones that are taken for broken, while the request is written and after it.
func TestBrokenAnswers(t *testing.T) {
	const (
		tries   = 8
		atOnce  = time.Second
		timeout = 10 * time.Second
	)
	ga := newGate(t)
	for _, ra := range emulator.RawAnswers() {
		for name, body := range map[string]string{"upload": strings.Repeat("x", uploadBytes), "request": "body"} {
			t.Run(ra.Name+"/"+name, func(t *testing.T) {
				is := is.New(t)
				for range tries {
					gate, err := New(ga.pu, rawServer(t, ra))
					is.NoErr(err)
					rq := request("1", body)
					rq.Remaining = int64(timeout)
					startedAt := time.Now()
					answer := gate.Forward(context.Background(), rq)
					is.True(time.Since(startedAt) < atOnce)
					if ra.IsWhole {
						is.Equal(answer.GetOutcome(), uint32(OutcomeAnswered)) // a whole answer passes
						is.Equal(string(answer.GetBody()), emulator.RawBody)
					} else {
						is.Equal(answer.GetOutcome(), uint32(OutcomeUnknown)) // the request may have run
					}
				}
			})
		}
	}
}
