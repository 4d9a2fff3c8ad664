package gatekeeper

import (
	"context"
	"runtime"
	"strings"
	"testing"
	"time"

	"cornellanding.example/standin/emulator"
	"github.com/matryer/is"
)

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
			st, err := emulator.NewStreamer(tc.start, tc.piece, tc.pause)
			is.NoErr(err)
			defer st.Close()
			ga := newGate(t)
			ga.Gatekeeper, _ = New(ga.pu, st.Address())
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
			case <-st.Closed():
			case <-time.After(5 * time.Second):
				t.Fatal("the connection was not closed")
			}
		})
	}
}
