package gatekeeper

import (
	"context"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// streamer accepts connections and writes a start and then a piece again and again,
// until the client closes the connection.
func streamer(t *testing.T, start, piece string, pause time.Duration) (address string, closed <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	ended := make(chan struct{}, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, err := conn.Write([]byte(start))
				for err == nil {
					_, err = conn.Write([]byte(piece))
					time.Sleep(pause)
				}
				ended <- struct{}{}
			}()
		}
	}()
	return listener.Addr().String(), ended
}

// TestEndlessAnswers checks that bytes without end in an answer's head or body end with
// a true outcome within the request's time, in bounded memory, and close the connection.
func TestEndlessAnswers(t *testing.T) {
	const (
		maxMemory = 64 << 20
		grace     = time.Second
	)
	block := strings.Repeat("x", 4096)
	cases := map[string]struct {
		start, piece string
		pause        time.Duration
	}{
		"status line":              {start: "HTTP/1.1 200 ", piece: block},
		"header":                   {start: "HTTP/1.1 200 OK\r\nX-A: ", piece: block},
		"headers":                  {start: "HTTP/1.1 200 OK\r\n", piece: "X-A: " + block + "\r\n"},
		"informational responses":  {piece: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body without length":      {start: "HTTP/1.1 200 OK\r\n\r\n", piece: block},
		"body with a length":       {start: "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", piece: block},
		"chunked body":             {start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", piece: "1000\r\n" + block + "\r\n"},
		"bytes that are no answer": {piece: block},
		"a slow body":              {start: "HTTP/1.1 200 OK\r\n\r\n", piece: "x", pause: 50 * time.Millisecond},
		"a slow head":              {start: "HTTP/1.1 200 OK\r\nX-A: ", piece: "x", pause: 50 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, closed := streamer(t, tc.start, tc.piece, tc.pause)
			ga := newGate(t)
			ga.Gatekeeper, _ = New(ga.pu, address)
			rq := request("1", "")
			rq.Remaining = int64(2 * time.Second)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			startedAt := time.Now()
			answer := ga.Forward(context.Background(), rq)
			runtime.ReadMemStats(&after)
			is.True(time.Since(startedAt) < time.Duration(rq.GetRemaining())+grace)
			is.Equal(answer.GetOutcome(), uint32(OutcomeUnknown)) // the request may have run
			is.True(int64(after.HeapAlloc)-int64(before.HeapAlloc) < maxMemory)
			running, waiting, _ := ga.Load()
			is.Equal([]int{running, waiting}, []int{0, 0}) // the slot is free
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection was not closed")
			}
		})
	}
}
