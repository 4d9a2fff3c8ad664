package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// TestAwaitQuiet serves callers that come back after a pause in a planned stop:
// what they know of the instance may be about a second old.
func TestAwaitQuiet(t *testing.T) {
	for _, cas := range []struct {
		name  string
		quiet time.Duration
		pause time.Duration
	}{
		{"callers with a list of their own", quietSpan, 700 * time.Millisecond},
		{"callers that the platform sends elsewhere", 350 * time.Millisecond, 250 * time.Millisecond},
	} {
		t.Run(cas.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ss := &servers{clock: timer.BootClock{}}
			ss.ended, ss.end = context.WithCancel(context.Background())
			serve := ss.track(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), true)
			come := func() {
				serve.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
			}
			come()
			quiet := make(chan time.Time, 1)
			go func() {
				ss.awaitQuiet(context.Background(), cas.quiet)
				quiet <- time.Now()
			}()
			time.Sleep(cas.pause)
			select {
			case <-quiet:
				t.Fatal("quiet while callers still come")
			default:
			}
			come()
			cameAt := time.Now()
			is.True((<-quiet).Sub(cameAt) >= cas.pause)
		})
	}
}
