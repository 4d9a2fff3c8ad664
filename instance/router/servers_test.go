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

// TestAwaitQuiet guards against a planned stop that refuses callers which have not
// switched to other instances yet: their list of instances may be about a second old.
func TestAwaitQuiet(t *testing.T) {
	for _, cas := range []struct {
		name  string
		quiet time.Duration
		pause time.Duration
	}{
		{"callers with a list of their own", quietPeriod, 700 * time.Millisecond},
		{"callers that the platform redirects", 350 * time.Millisecond, 250 * time.Millisecond},
	} {
		t.Run(cas.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ss := &servers{clock: timer.BootClock{}}
			ss.ended, ss.end = context.WithCancel(context.Background())
			serve := ss.track(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), true)
			request := func() {
				serve.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
			}
			request()
			quiet := make(chan time.Time, 1)
			go func() {
				ss.awaitQuiet(context.Background(), cas.quiet)
				quiet <- time.Now()
			}()
			time.Sleep(cas.pause)
			select {
			case <-quiet:
				t.Fatal("awaitQuiet returned within the quiet period")
			default:
			}
			request()
			requestedAt := time.Now()
			is.True((<-quiet).Sub(requestedAt) >= cas.pause)
		})
	}
}
