package soaker

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"cornellanding.example/standin/platformer"
	"github.com/matryer/is"
)

const (
	// limitDelay is how long a limit may take to be in force, and limitSpan the span that it
	// is counted over.
	limitDelay = 3 * time.Second
	limitSpan  = 4 * time.Second
	// limitFactor and limitSlack say how much more than the limit a server may get in limitSpan.
	limitFactor = 1.5
	limitSlack  = 5
	// leaveLimit is how long a server may get requests after it announced its end.
	leaveLimit = 2 * time.Second
)

// TestServerConditionOutlivesRestoredStore guards against a server that gets more than the
// limit that it names, or requests after it announced its end, because the store comes back
// from a copy made before, and the instance beside the server starts again.
func TestServerConditionOutlivesRestoredStore(t *testing.T) {
	const limit = 4.0
	is := is.New(t)
	fl := startTestFleetIn(t, 6, true)
	limited, leaving := fl.vms[0], fl.vms[1]
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan []attempt)
	go func() { done <- newLoad(fl, Settings{Seed: 1, Rate: 200}).run(ctx) }()
	time.Sleep(2 * time.Second)
	asOf := time.Now()
	time.Sleep(100 * time.Millisecond)
	limited.server.SetCondition(platformer.Condition{Limit: limit})
	leaving.server.SetCondition(platformer.Condition{IsLeaving: true})
	namedAt := time.Now()
	time.Sleep(limitDelay)

	fl.store.SetFaults(platformer.StoreFaults{Refuse: http.StatusServiceUnavailable})
	time.Sleep(time.Second)
	limited.mustSignal(t, syscall.SIGKILL)
	leaving.mustSignal(t, syscall.SIGKILL)
	fl.store.Restore(asOf)
	fl.store.SetFaults(platformer.StoreFaults{})
	time.Sleep(3 * limitSpan)
	stop()
	<-done

	before, within := 0, 0
	starts := limited.server.Runs()
	for i, first := range starts {
		if first.StartedAt.Before(namedAt) {
			before++
			continue
		}
		count := 0
		for _, later := range starts[i:] {
			if later.StartedAt.Sub(first.StartedAt) < limitSpan {
				count++
			}
		}
		if first.StartedAt.Sub(namedAt) > limitDelay {
			within = max(within, count)
		}
	}
	t.Logf("limited server: %d requests in the 2 s before the limit, %d at most in %s under it", before, within, limitSpan)
	is.True(float64(before) > limitFactor*limit*2+limitSlack) // the load is below the limit
	is.True(within > 0)                                       // the limited server gets nothing
	is.True(float64(within) <= limitFactor*limit*limitSpan.Seconds()+limitSlack)

	late := 0
	for _, ru := range leaving.server.Runs() {
		if ru.StartedAt.Sub(namedAt) > leaveLimit {
			late++
			t.Logf("leaving server: request %s %s after the announcement", ru.RequestID, ru.StartedAt.Sub(namedAt))
		}
	}
	is.Equal(late, 0) // the leaving server gets requests
}

// TestLeavingOutlivesKillAtAcknowledgement guards against requests to a server whose
// deregistration was acknowledged: right after that the store goes away, the instance that knew
// of it is killed, and the store comes back from a copy made before.
func TestLeavingOutlivesKillAtAcknowledgement(t *testing.T) {
	const inTouchAfter = 3 * time.Second // from the return of the store on
	is := is.New(t)
	fl := startTestFleetIn(t, 6, true)
	leaving := fl.vms[0]
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan []attempt)
	go func() { done <- newLoad(fl, Settings{Seed: 1, Rate: 100}).run(ctx) }()
	time.Sleep(2 * time.Second)
	asOf := time.Now()
	time.Sleep(100 * time.Millisecond)
	calledAt := time.Now()
	isAcknowledged, err := leaving.server.Deregister(ctx)
	is.NoErr(err)
	is.True(isAcknowledged)
	took := time.Since(calledAt)
	fl.store.SetFaults(platformer.StoreFaults{Refuse: http.StatusServiceUnavailable})
	leaving.mustSignal(t, syscall.SIGKILL)
	t.Logf("acknowledged after %s", took)
	is.True(took < time.Second)
	time.Sleep(time.Second)
	fl.store.Restore(asOf)
	fl.store.SetFaults(platformer.StoreFaults{})
	inTouchAt := time.Now().Add(inTouchAfter)
	time.Sleep(inTouchAfter + 5*time.Second)
	stop()
	<-done
	late := 0
	for _, ru := range leaving.server.Runs() {
		if ru.StartedAt.After(inTouchAt) {
			late++
		}
	}
	is.Equal(late, 0) // the leaving server gets requests
}
