package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cornellanding.example/core/timer"
	"cornellanding.example/wire/peerproto"
	"cornellanding.example/wire/signer"
	"github.com/matryer/is"
)

const testLinkRate = 18e6 / 8

// throttle is a queue that all connections and datagrams of a link share.
type throttle struct {
	rate   float64
	mu     sync.Mutex
	freeAt time.Time
}

// pass returns when the link has sent the bytes.
func (th *throttle) pass(bytes int) {
	th.mu.Lock()
	if now := time.Now(); th.freeAt.Before(now) {
		th.freeAt = now
	}
	th.freeAt = th.freeAt.Add(time.Duration(float64(bytes) / th.rate * float64(time.Second)))
	wait := time.Until(th.freeAt)
	th.mu.Unlock()
	time.Sleep(wait)
}

// relay accepts connections at the address that it returns and passes what both sides send
// through the throttle, as if it were the link of both.
func (th *throttle) relay(t *testing.T, target string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", target)
			if err != nil {
				from.Close()
				continue
			}
			go func() {
				th.copy(to, from)
				to.Close()
			}()
			go func() {
				th.copy(from, to)
				from.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func (th *throttle) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		th.pass(count)
		if _, errWrite := to.Write(buffer[:count]); err != nil || errWrite != nil {
			return
		}
	}
}

// testPeer answers Forward with the body.
type testPeer struct {
	peerproto.Peer
	body []byte
}

func (tp *testPeer) Forward(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, error) {
	return &peerproto.ForwardResponse{Body: tp.body}, nil
}

// Sync answers with a document above shaper.Bulk.
func (tp *testPeer) Sync(context.Context, *peerproto.SyncRequest) (*peerproto.SyncResponse, error) {
	return &peerproto.SyncResponse{Newer: []*peerproto.Document{{Content: make([]byte, 20<<10)}}}, nil
}

func newTestSigner(t *testing.T) *signer.Signer {
	t.Helper()
	si, err := signer.New([]byte("0123456789abcdef"))
	is.New(t).NoErr(err)
	return si
}

// startPeer serves a testPeer behind the link and returns its address.
func startPeer(t *testing.T, si *signer.Signer, li *link, bodySize int) string {
	t.Helper()
	return startServer(t, si.Handler(peerproto.NewPeerServer(&testPeer{body: make([]byte, bodySize)}), func() {}), li)
}

func startServer(t *testing.T, handler http.Handler, li *link) string {
	t.Helper()
	ss := &servers{clock: timer.BootClock{}}
	ss.ended, ss.end = context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	address := listener.Addr().String()
	listener.Close()
	server, err := newServer(address, ss.track(handler, false), li)
	is.New(t).NoErr(err)
	go func() { _ = server.Start(context.Background()) }()
	t.Cleanup(func() { _ = server.Close() })
	return address
}

func newTestLink(t *testing.T) *link {
	t.Helper()
	li, err := newLink(testLinkRate, timer.BootClock{})
	is.New(t).NoErr(err)
	return li
}

func everywhere(string) bool { return true }

// TestControlBesideDownloads guards against control calls and datagrams that wait behind
// downloads at three times the rate of the link.
func TestControlBesideDownloads(t *testing.T) {
	is := is.New(t)
	const size, span = 90_000, 3 * time.Second
	li, si := newTestLink(t), newTestSigner(t)
	th := &throttle{rate: testLinkRate}
	address := th.relay(t, startPeer(t, si, li, size))
	client := newPeers(si, everywhere, li)
	defer client.close()
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var delivered atomic.Int64
	var wg sync.WaitGroup
	wg.Go(func() {
		for timer.Sleep(ctx, 13*time.Millisecond) {
			wg.Go(func() {
				answer, _, err := client.Forward(ctx, address, &peerproto.ForwardRequest{})
				if err == nil && len(answer.GetBody()) == size {
					delivered.Add(1)
				}
			})
		}
	})
	var longestCall, longestDatagram time.Duration
	for timer.Sleep(ctx, 100*time.Millisecond) {
		startedAt := time.Now()
		answer, err := client.Sync(context.Background(), address, &peerproto.SyncRequest{})
		is.NoErr(err)
		is.Equal(len(answer.GetNewer()), 1)
		longestCall = max(longestCall, time.Since(startedAt))
		startedAt = time.Now()
		th.pass(66)
		longestDatagram = max(longestDatagram, time.Since(startedAt))
	}
	wg.Wait()
	share := float64(delivered.Load()) * size / (testLinkRate * span.Seconds())
	t.Logf("downloads used %.2f of the link, control calls took up to %v, datagrams %v", share, longestCall, longestDatagram)
	is.True(share > 0.5)
	is.True(longestCall < 500*time.Millisecond)
	is.True(longestDatagram < 300*time.Millisecond)
}

// TestStoppedReaders guards against readers that stop in the middle of a response and keep
// other responses from being sent.
func TestStoppedReaders(t *testing.T) {
	is := is.New(t)
	li, si := newTestLink(t), newTestSigner(t)
	large := startPeer(t, si, li, 10<<20)
	small := startPeer(t, si, li, 40_000)
	for range 3 {
		conn, err := net.Dial("tcp", large)
		is.NoErr(err)
		defer conn.Close()
		is.NoErr(conn.(*net.TCPConn).SetReadBuffer(4 << 10))
		re, err := http.NewRequest(http.MethodPost, "http://"+large+forwardPath, http.NoBody)
		is.NoErr(err)
		re.Header.Set("Content-Type", "application/protobuf")
		stopped := si.Transport(writeOnly{conn})
		_, err = stopped.RoundTrip(re)
		is.True(errors.Is(err, errWritten))
	}
	time.Sleep(300 * time.Millisecond)
	client := newPeers(si, everywhere, li)
	defer client.close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 10 {
		answer, _, err := client.Forward(ctx, small, &peerproto.ForwardRequest{})
		is.NoErr(err)
		is.Equal(len(answer.GetBody()), 40_000)
	}
}

var errWritten = errors.New("request written")

// writeOnly writes requests and never reads the responses.
type writeOnly struct {
	conn net.Conn
}

func (wo writeOnly) RoundTrip(re *http.Request) (*http.Response, error) {
	if err := re.Write(wo.conn); err != nil {
		return nil, err
	}
	return nil, errWritten
}

// TestWaitingWriteEnds guards against writes that wait for the link longer than their
// connection, its deadline or the request lasts.
func TestWaitingWriteEnds(t *testing.T) {
	is := is.New(t)
	li := newTestLink(t)
	li.arrive(1<<30, 0) // never written, so nothing else gets a turn
	li.arrive(1<<30, 0)
	write := func(end func(cn *connection, cancel context.CancelFunc)) error {
		ours, theirs := net.Pipe()
		defer theirs.Close()
		cn := newConnection(ours, li, responsePriority)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cn.begin(ctx, false)
		time.AfterFunc(20*time.Millisecond, func() { end(cn, cancel) })
		_, err := cn.Write(make([]byte, 1<<20))
		return err
	}
	is.True(errors.Is(write(func(cn *connection, _ context.CancelFunc) { cn.Close() }), net.ErrClosed))
	is.True(errors.Is(write(func(_ *connection, cancel context.CancelFunc) { cancel() }), context.Canceled))
	is.True(errors.Is(write(func(cn *connection, _ context.CancelFunc) {
		_ = cn.SetWriteDeadline(time.Now())
	}), os.ErrDeadlineExceeded))
	_, _, backlog := li.traffic()
	is.True(backlog <= 2<<30) // nothing of the ended writes is left
}
