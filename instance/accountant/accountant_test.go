package accountant

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"cornellanding.example/core/reserver"
	"cornellanding.example/core/timer"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

const headLimit = 1 << 10

// start serves requests under an account. The handler answers with the length of the body,
// or with status 503 if there is no room for it.
func start(t *testing.T, capacity reserver.Capacity) (*Accountant, string) {
	t.Helper()
	limits := Limits{HeadBytes: headLimit, HeadTimeout: 300 * timer.Millisecond, IdleTimeout: 600 * timer.Millisecond}
	ac := New(timer.BootClock{}, capacity, func(reserver.Kind) Limits { return limits }, hclog.NewNullLogger())
	go ac.Run(t.Context())
	server := &http.Server{Handler: http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		hold := From(re.Context())
		if re.ContentLength > 0 && !hold.Take(re.ContentLength) {
			wr.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		content, _ := io.ReadAll(re.Body)
		hold.PassOn()
		_, _ = io.WriteString(wr, strconv.Itoa(len(content)))
	})}
	ac.Attach(server)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(ac.Listener(inner, reserver.Caller))
	t.Cleanup(func() { server.Close() })
	return ac, inner.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	return conn, bufio.NewReader(conn)
}

func status(is *is.I, reader *bufio.Reader) (int, string) {
	is.Helper()
	answer, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	body, err := io.ReadAll(answer.Body)
	is.NoErr(err)
	return answer.StatusCode, string(body)
}

// awaitHeld waits until connections hold this many bytes.
func awaitHeld(is *is.I, ac *Accountant, want int64) {
	is.Helper()
	for range 200 {
		if held, _ := ac.Held(); held == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	held, _ := ac.Held()
	is.Equal(held, want)
}

// TestKeptConnection guards against bodies that are taken for heads on a connection with
// several requests, sent one after the other or at once, and against charges that remain.
func TestKeptConnection(t *testing.T) {
	is := is.New(t)
	ac, address := start(t, reserver.Capacity{Bytes: 1 << 20})
	conn, reader := dial(t, address)
	body := strings.Repeat("a\n", 20<<10)
	one := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	for _, count := range []int{1, 1, 3} {
		_, err := io.WriteString(conn, strings.Repeat(one, count))
		is.NoErr(err)
		for range count {
			code, length := status(is, reader)
			is.Equal(code, http.StatusOK)
			is.Equal(length, strconv.Itoa(len(body)))
		}
		awaitHeld(is, ac, reserver.ConnectionBytes)
	}
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF) // an idle connection is closed in time
	awaitHeld(is, ac, 0)
}

// TestHeads guards against heads that cost more than the account has, are larger than their
// limit or never end, and against the refusal of one within its limit.
func TestHeads(t *testing.T) {
	for _, cas := range []struct {
		name   string
		pieces []string
		status int // 0 for a closed connection
	}{
		{"within the limit", []string{"GET / HTTP/1.1\r\nHost: x\r\nA: ", strings.Repeat("b", headLimit-40), "\r", "\n\r", "\n"}, 200},
		{"too large", []string{"GET / HTTP/1.1\r\nHost: x\r\nA: ", strings.Repeat("b", headLimit+headSlack)}, 431},
		{"too many lines", []string{"GET / HTTP/1.1\r\nHost: x\r\n", strings.Repeat("a:\r\n", 1000)}, 0},
		{"without an end", []string{"GET / HTTP/1.1\r\nHost: x\r\n"}, 0},
	} {
		t.Run(cas.name, func(t *testing.T) {
			is := is.New(t)
			ac, address := start(t, reserver.Capacity{Bytes: 300 << 10})
			conn, reader := dial(t, address)
			for _, piece := range cas.pieces {
				_, _ = io.WriteString(conn, piece)
				time.Sleep(10 * time.Millisecond)
			}
			if cas.status == 0 {
				_, err := http.ReadResponse(reader, nil)
				is.True(err != nil)
			} else {
				code, _ := status(is, reader)
				is.Equal(code, cas.status)
			}
			conn.Close()
			awaitHeld(is, ac, 0)
		})
	}
}

// TestAwait guards against a response that is given up although there is room soon.
func TestAwait(t *testing.T) {
	is := is.New(t)
	ac, address := start(t, reserver.Capacity{Bytes: 1 << 20})
	first, _ := dial(t, address)
	_, err := io.WriteString(first, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 700000\r\n\r\n")
	is.NoErr(err)
	awaitHeld(is, ac, 700000+reserver.ConnectionBytes+LineBytes*4+textCopies*int64(len("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 700000\r\n\r\n")))
	inner, _ := net.Pipe()
	hold := Hold{co: ac.open(inner, reserver.Caller)}
	hold.PassOn()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	is.Equal(hold.Await(ctx, 700000), ErrNoRoom)
	ctx, cancel = context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.NoErr(hold.Await(ctx, 700000)) // once the first has made no progress for a while
}

// TestLateHold guards against the end of an earlier request's copy that returns what the next
// request on the connection holds.
func TestLateHold(t *testing.T) {
	is := is.New(t)
	ac := New(timer.BootClock{}, reserver.Capacity{Bytes: 1 << 20}, func(reserver.Kind) Limits { return Limits{} }, hclog.NewNullLogger())
	inner, _ := net.Pipe()
	co := ac.open(inner, reserver.Caller)
	first := Hold{co: co}.begin()
	is.True(first.Take(1000))
	co.enter(http.StateIdle)
	second := Hold{co: co}.begin()
	is.True(second.Take(2000))
	first.Give(1000)
	is.True(!first.Take(1000))
	held, _ := ac.Held()
	is.Equal(held, int64(reserver.ConnectionBytes+2000))
}

type fixedClock struct{}

// Now implements timer.Clock.
func (fixedClock) Now() timer.Instant { return timer.Instant(timer.Second) }

// BenchmarkRequest compares the time of a small request on a kept connection without and with
// an account.
func BenchmarkRequest(b *testing.B) {
	for _, isLimited := range []bool{false, true} {
		b.Run("limited="+strconv.FormatBool(isLimited), func(b *testing.B) {
			limits := Limits{HeadBytes: headLimit, HeadTimeout: timer.Second, IdleTimeout: timer.Second}
			ac := New(fixedClock{}, reserver.Capacity{Bytes: 1 << 20}, func(reserver.Kind) Limits { return limits }, hclog.NewNullLogger())
			server := &http.Server{Handler: http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
				From(re.Context()).PassOn()
				_, _ = io.WriteString(wr, "ok")
			})}
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			if isLimited {
				ac.Attach(server)
				inner = ac.Listener(inner, reserver.Caller)
			}
			go server.Serve(inner)
			defer server.Close()
			conn, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			request := []byte("GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("Name: a value\r\n", 12) + "\r\n")
			into := make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				if _, err := conn.Read(into); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
