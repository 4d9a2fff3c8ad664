package loader

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"cornellanding.example/core/cataloguer"
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
