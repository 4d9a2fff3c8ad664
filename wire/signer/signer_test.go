package signer

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

func newSigner(t testing.TB, key string) *Signer {
	t.Helper()
	si, err := New([]byte(key))
	if err != nil {
		t.Fatal(err)
	}
	return si
}

const (
	goodKey  = "0123456789abcdef"
	otherKey = "fedcba9876543210"
)

func TestDatagrams(t *testing.T) {
	is := is.New(t)
	si := newSigner(t, goodKey)
	packet := si.Seal([]byte("renewal"))
	payload, ok := si.Open(packet)
	is.True(ok)
	is.Equal(string(payload), "renewal")
	_, ok = newSigner(t, otherKey).Open(packet)
	is.Equal(ok, false)
	for i := range packet {
		spoiled := bytes.Clone(packet)
		spoiled[i] ^= 1
		_, ok = si.Open(spoiled)
		is.Equal(ok, false) // a changed bit in any byte is detected
	}
	_, ok = si.Open(packet[:3])
	is.Equal(ok, false)
	_, err := New([]byte("short"))
	is.True(err != nil)
}

func FuzzOpen(f *testing.F) {
	si := newSigner(f, goodKey)
	f.Add([]byte("garbage"))
	f.Fuzz(func(t *testing.T, packet []byte) {
		if payload, ok := si.Open(packet); ok && !bytes.Equal(si.Seal(bytes.Clone(payload)), packet) {
			t.Fatal("an altered packet was accepted")
		}
	})
}

func TestCalls(t *testing.T) {
	si := newSigner(t, goodKey)
	cases := map[string]struct {
		client  *Signer
		tamper  func(answer *http.Response)
		isBad   bool
		reached bool
	}{
		"authentic":             {client: si, reached: true},
		"client with wrong key": {client: newSigner(t, otherKey), isBad: true},
		"response altered":      {client: si, isBad: true, reached: true, tamper: func(an *http.Response) { an.Body = io.NopCloser(bytes.NewReader([]byte("other"))) }},
		"response truncated":    {client: si, isBad: true, reached: true, tamper: func(an *http.Response) { an.Body = io.NopCloser(bytes.NewReader([]byte("rep"))) }},
		"status altered":        {client: si, isBad: true, reached: true, tamper: func(an *http.Response) { an.StatusCode = 500 }},
		"response without tag":  {client: si, isBad: true, reached: true, tamper: func(an *http.Response) { an.Header.Del(tagHeader) }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			isReached, rejected := false, 0
			handler := si.Handler(http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
				isReached = true
				content, _ := io.ReadAll(re.Body)
				_, _ = wr.Write(append([]byte("reply to "), content...))
			}), func() { rejected++ })
			server := httptest.NewServer(handler)
			defer server.Close()
			client := &http.Client{Transport: tc.client.Transport(tamperer{tamper: tc.tamper})}
			answer, err := client.Post(server.URL+"/x", "text/plain", bytes.NewReader([]byte("hello")))
			is.Equal(err != nil, tc.isBad)
			is.Equal(isReached, tc.reached)
			is.Equal(rejected > 0, !tc.reached)
			if err != nil {
				is.True(errors.Is(err, ErrInvalidTag))
				return
			}
			content, _ := io.ReadAll(answer.Body)
			is.Equal(string(content), "reply to hello")
		})
	}
}

// TestRefusedCalls guards against a refusal that the caller can't trust, and one that a client
// without the key gets signed.
func TestRefusedCalls(t *testing.T) {
	is := is.New(t)
	si := newSigner(t, goodKey)
	rejected := 0
	refuse := http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		content, _ := io.ReadAll(re.Body)
		is.Equal(len(content), 0) // the body isn't kept
		wr.WriteHeader(http.StatusTooManyRequests)
	})
	next := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("a refused call was served") })
	server := httptest.NewServer(si.LimitedHandler(next, func() { rejected++ }, refuse, func(*http.Request) bool { return false }))
	defer server.Close()
	body := bytes.Repeat([]byte("b"), 1<<20)
	client := &http.Client{Transport: si.Transport(http.DefaultTransport)}
	answer, err := client.Post(server.URL+"/x", "text/plain", bytes.NewReader(body))
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusTooManyRequests)
	is.Equal(rejected, 0)
	other := &http.Client{Transport: newSigner(t, otherKey).Transport(http.DefaultTransport)}
	_, err = other.Post(server.URL+"/x", "text/plain", bytes.NewReader(body))
	is.True(errors.Is(err, ErrInvalidTag))
	is.Equal(rejected, 1)
}

// tamperer changes responses before the transport under test receives them.
type tamperer struct{ tamper func(*http.Response) }

func (ta tamperer) RoundTrip(re *http.Request) (*http.Response, error) {
	answer, err := http.DefaultTransport.RoundTrip(re)
	if err == nil && ta.tamper != nil {
		ta.tamper(answer)
	}
	return answer, err
}

// TestSwappedResponses checks that the response to one request is rejected as the response
// to another one.
func TestSwappedResponses(t *testing.T) {
	is := is.New(t)
	si := newSigner(t, goodKey)
	server := httptest.NewServer(si.Handler(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		_, _ = wr.Write([]byte("yes"))
	}), func() {}))
	defer server.Close()
	var first *http.Response
	var firstBody []byte
	swap := tamperer{tamper: func(answer *http.Response) {
		if first == nil {
			firstBody, _ = io.ReadAll(answer.Body)
			answer.Body = io.NopCloser(bytes.NewReader(firstBody))
			first = answer
			return
		}
		*answer = *first
		answer.Body = io.NopCloser(bytes.NewReader(firstBody))
	}}
	client := &http.Client{Transport: si.Transport(swap)}
	_, err := client.Post(server.URL+"/x", "text/plain", bytes.NewReader([]byte("one")))
	is.NoErr(err)
	_, err = client.Post(server.URL+"/x", "text/plain", bytes.NewReader([]byte("two")))
	is.True(errors.Is(err, ErrInvalidTag)) // the same content, but for another request
}

func BenchmarkSeal(b *testing.B) {
	si := newSigner(b, goodKey)
	packet := make([]byte, 64, 128)
	b.ReportAllocs()
	for range b.N {
		si.Seal(packet)
	}
}
