package router

import (
	"context"
	"runtime"
	"strings"
	"testing"
	"time"

	"cornellanding.example/standin/emulator"
	"cornellanding.example/wire/peerproto"
	"cornellanding.example/wire/signer"
	"github.com/matryer/is"
)

// TestEndlessPeer guards against an instance that keeps what is sent without end from the
// address of a peer, such as one that a faulty backend server has now.
func TestEndlessPeer(t *testing.T) {
	const (
		maxMemory = 64 << 20
		timeout   = 2 * time.Second
		grace     = time.Second
	)
	const success = "HTTP/1.1 200 OK\r\n"
	const chunked = success + "Transfer-Encoding: chunked\r\n\r\n"
	block := strings.Repeat("x", 4096)
	for name, cas := range map[string]struct{ start, piece string }{
		"no answer":           {piece: block},
		"header line":         {start: success + "X-A: ", piece: block},
		"header lines":        {start: success, piece: strings.Repeat("X-A: x\r\n", 512)},
		"interim answers":     {piece: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 128)},
		"body without length": {start: success + "\r\n", piece: block},
		"body with length":    {start: success + "Content-Length: 99999999999\r\n\r\n", piece: block},
		"large chunks":        {start: chunked, piece: "1000\r\n" + block + "\r\n"},
		"small chunks":        {start: chunked, piece: strings.Repeat("1\r\nx\r\n", 512)},
		"chunk size":          {start: chunked, piece: strings.Repeat("0", 4096)},
		"chunk extension":     {start: chunked + "1;", piece: block},
		"trailer line":        {start: chunked + "0\r\nX-A: ", piece: block},
		"trailer lines":       {start: chunked + "0\r\n", piece: strings.Repeat("X-A: x\r\n", 512)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			st, err := emulator.NewStreamer(cas.start, cas.piece, 0)
			is.NoErr(err)
			defer st.Close()
			si, err := signer.New([]byte("0123456789abcdef"))
			is.NoErr(err)
			pe := newPeers(si, func(string) bool { return true }, nil)
			defer pe.close()
			peak := watchHeap()
			startedAt := time.Now()
			for _, call := range []func(ctx context.Context) error{
				func(ctx context.Context) error {
					_, _, err := pe.Forward(ctx, st.Address(), &peerproto.ForwardRequest{RequestId: "1"})
					return err
				},
				func(ctx context.Context) error {
					_, err := pe.Sync(ctx, st.Address(), &peerproto.SyncRequest{})
					return err
				},
			} {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				is.True(call(ctx) != nil)
				cancel()
			}
			is.True(time.Since(startedAt) < 2*(timeout+grace))
			is.True(peak() < maxMemory)
		})
	}
}

// watchHeap samples the heap until the function that it returns is called, which returns by how
// many bytes it grew at the most.
func watchHeap() (peak func() int64) {
	const interval = 5 * time.Millisecond
	read := func() int64 {
		var ms runtime.MemStats
		runtime.ReadMemStats(&ms)
		return int64(ms.HeapAlloc)
	}
	runtime.GC()
	before, done, result := read(), make(chan struct{}), make(chan int64)
	go func() {
		highest := before
		for {
			select {
			case <-time.After(interval):
				highest = max(highest, read())
			case <-done:
				result <- highest - before
				return
			}
		}
	}()
	return func() int64 {
		close(done)
		return <-result
	}
}
