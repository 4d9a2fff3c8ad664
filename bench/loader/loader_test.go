package loader

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/standin/emulator"
	"github.com/matryer/is"
)

// TestBrokenConnectionIsNotRetried guards against a second copy of a request that the HTTP client
// sends by itself, whose refusal would be taken for the outcome of both.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	is := is.New(t)
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if received.Add(1) == 2 {
			panic(http.ErrAbortHandler) // the connection was kept after the first response
		}
	}))
	defer server.Close()
	entry := strings.TrimPrefix(server.URL, "http://")
	route := cataloguer.Route{Name: "read", Method: http.MethodGet, Path: "/read/{key}"}
	lo, err := New(WithCatalogue(cataloguer.Catalogue{Routes: []cataloguer.Route{route}}), WithEntries(func() []string { return []string{entry} }))
	is.NoErr(err)
	first, second := Result{ID: "1", Route: "read", Key: "k"}, Result{ID: "2", Route: "read", Key: "k"}
	is.True(lo.call(context.Background(), entry, &first))
	is.True(lo.call(context.Background(), entry, &second))
	is.Equal(received.Load(), int32(2))
	is.Equal(second.Outcome, Unknown)
}

// TestBrokenAnswerCounts guards against a run of the loader that counts broken answers as
// answered.
func TestBrokenAnswerCounts(t *testing.T) {
	route := cataloguer.Route{Name: "read", Method: http.MethodGet, Path: "/read/{key}"}
	for _, ra := range emulator.RawAnswers(`{"key":"k","body":"1"}`) {
		t.Run(ra.Name, func(t *testing.T) {
			is := is.New(t)
			rs, err := emulator.NewRawServer(ra, func(*http.Request) string { return "Connection: close\r\n" })
			is.NoErr(err)
			defer rs.Close()
			lo, err := New(WithCatalogue(cataloguer.Catalogue{Routes: []cataloguer.Route{route}}), WithEntries(func() []string { return []string{rs.Address()} }))
			is.NoErr(err)
			re := Result{ID: "1", Route: "read", Key: "k"}
			is.True(lo.call(context.Background(), rs.Address(), &re))
			is.Equal(re.Outcome == Answered, ra.IsWhole)
			is.Equal(re.IsIntact, ra.IsWhole)
		})
	}
}
