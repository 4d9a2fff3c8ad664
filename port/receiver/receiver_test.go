package receiver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/http/httpguts"
)

// scripted is the client's end of a connection whose server reads a request, sends an answer and
// closes.
type scripted struct {
	net.Conn
	reader io.Reader
}

// Read implements net.Conn.
func (sc *scripted) Read(into []byte) (int, error) { return sc.reader.Read(into) }

// get returns the answer that a Receiver makes of the bytes, if it accepts them.
func get(content []byte, isSlow bool) (*http.Response, []byte, error) {
	rc := New(&http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		sent, send := io.Pipe()
		go func() {
			defer server.Close()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				send.CloseWithError(err)
				return
			}
			_, err := send.Write(content)
			send.CloseWithError(err)
		}()
		sc := &scripted{Conn: client, reader: sent}
		if isSlow {
			sc.reader = iotest.OneByteReader(sent)
		}
		return sc, nil
	}})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	re, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://server/", nil)
	if err != nil {
		return nil, nil, err
	}
	answer, err := rc.RoundTrip(re)
	if err != nil {
		return nil, nil, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer, body, err
}

// TestErrorNamesReason guards against errors that don't tell what was wrong, or that repeat bytes
// of the answer.
func TestErrorNamesReason(t *testing.T) {
	const length = "Content-Length: 1\r\n\r\nx"
	for content, reason := range map[string]string{
		"HTTP/1.1 000 No\r\n" + length:                                                  "status 000",
		"HTTP/1.1 101 No\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n":                  "status 101",
		"HTTP/1.1 +20 No\r\n" + length:                                                  "status code is not a number",
		"HTTP/2.0 200 OK\r\n" + length:                                                  "version 2.0",
		"HTTP/1.1 200 O\x01K\r\n" + length:                                              "invalid byte in the reason phrase",
		"HTTP/1.1 200 OK\r\nSecret Name: x\r\n" + length:                                "invalid byte in a field of the head",
		"HTTP/1.1 103 Hints\r\nSecret : x\r\n\r\nHTTP/1.1 200 OK\r\n" + length:          "invalid byte in a field of the interim head",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nSecret : x\r\n\r\n":  "invalid byte in a field of the trailer",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":                "Transfer-Encoding in version 1.0",
		"HTTP/1.0 200 OK\nA: x\ntransfer-encoding: chunked\nContent-Length: 0\n\n":      "Transfer-Encoding in version 1.0",
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.0 200 OK\r\n" + length:                        "version 1.0 after an interim head",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: x\r\n\r\n0": "version 1.0 after an interim head",
	} {
		for _, isSlow := range []bool{false, true} {
			is := is.New(t)
			_, _, err := get([]byte(content), isSlow)
			var invalid *HeadError
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Reason, reason)
		}
	}
}

// FuzzAnswer checks that no bytes of a server pass for an answer that HTTP doesn't allow, end the
// process, or are read otherwise if they arrive one by one.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: x\r\n\r\n",
		"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\nx",
		"HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n0\r\n\r\n",
		"HTTP/1.1 000 \r\nOdd Name: x\r\n y\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		answer, body, err := get(content, false)
		_, slowBody, slowErr := get(content, true)
		if (err == nil) != (slowErr == nil) || string(body) != string(slowBody) {
			t.Fatalf("at once: %q, %v; byte by byte: %q, %v", body, err, slowBody, slowErr)
		}
		if err != nil {
			return
		}
		if !IsFinal(answer.StatusCode) || answer.ProtoMajor != 1 {
			t.Fatalf("%s %d", answer.Proto, answer.StatusCode)
		}
		for _, header := range []http.Header{answer.Header, answer.Trailer} {
			for name, values := range header {
				for _, value := range values {
					if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
						t.Fatalf("%q: %q", name, value)
					}
				}
			}
		}
	})
}
