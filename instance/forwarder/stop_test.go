package forwarder

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"cornellanding.example/core/timer"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/wire/peerproto"
	"github.com/matryer/is"
)

// TestLongRequestsLateInAStop guards against requests that are taken late in a planned stop
// and broken off when the process ends, though they could have been refused as not run.
// The load is calls of a non-idempotent route with a timeout of 1 s.
func TestLongRequestsLateInAStop(t *testing.T) {
	cases := map[string]struct {
		// left is the time to the end of the stop, 0 if there is none, and timeout the
		// caller's, 0 for the route's.
		left    time.Duration
		timeout timer.Span
		isLate  bool
		isTaken bool
	}{
		"no stop":                          {isTaken: true},
		"callers have not noticed":         {left: 300 * time.Millisecond, isTaken: true},
		"late, may outlast the stop":       {left: 300 * time.Millisecond, isLate: true},
		"late, ends in time":               {left: 2 * time.Second, isLate: true, isTaken: true},
		"late, the caller waits less long": {left: 300 * time.Millisecond, timeout: 100 * timer.Millisecond, isLate: true, isTaken: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fo, fl := newFleet(t)
			var sent atomic.Int32
			fl.set(func(_ context.Context, rq *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
				sent.Add(1)
				is.True(tc.left == 0 || rq.GetRemaining() <= int64(tc.left))
				return answered("ok")
			}, "a", "b")
			ctx := context.Background()
			if tc.left > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, tc.left)
				defer cancel()
				fo.RefuseLong(fo.so.Now().Add(timer.Second))
			}
			if tc.isLate {
				fo.RefuseLong(fo.so.Now())
			}
			rq := toPath("/order/x")
			rq.Timeout = tc.timeout
			_, rf := fo.Do(ctx, rq)
			if tc.isTaken {
				is.Equal(rf, nil)
				is.Equal(sent.Load(), int32(1))
				return
			}
			is.Equal(sent.Load(), int32(0))
			is.Equal(rf.Code, CodeStopping)
			is.Equal(rf.Outcome, gatekeeper.OutcomeName(gatekeeper.OutcomeNotRun))
			is.True(rf.RetryAfter > 0)
		})
	}
}
