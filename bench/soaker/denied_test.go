package soaker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"cornellanding.example/standin/platformer"
	"github.com/matryer/is"
)

// maxStretch is how much longer an older configuration may be used beside an unstable store.
const maxStretch = 5 * time.Second

// TestConfigurationBesideFaults guards against proper requests that are turned away for good
// because the instances keep a configuration that is no longer the newest. Each fault is one
// way in which a request may meet an older configuration.
func TestConfigurationBesideFaults(t *testing.T) {
	cases := []struct {
		name   string
		inject func(t *testing.T, fl *fleet)
		limit  time.Duration
	}{
		{"the store comes back from an older copy", func(t *testing.T, fl *fleet) {
			asOf := time.Now()
			fl.vms[1].mustSignal(t, syscall.SIGKILL) // what it writes at its start is lost
			time.Sleep(4 * time.Second)
			fl.configure(func(co *platformer.Config) {})
			time.Sleep(time.Second)
			fl.store.SetFaults(platformer.StoreFaults{Refuse: http.StatusServiceUnavailable})
			time.Sleep(time.Second)
			fl.store.Restore(asOf)
			fl.store.SetFaults(platformer.StoreFaults{})
		}, applyLimit + maxStretch},
		{"a crowd of connections", func(t *testing.T, fl *fleet) {
			for _, one := range fl.vms {
				for range 150 {
					if conn, err := net.Dial("tcp", one.place.Address(platformer.OutboundPort)); err == nil {
						t.Cleanup(func() { conn.Close() })
						_, _ = conn.Write([]byte("GET /added/x HTTP/1.1\r\nHost: "))
					}
				}
			}
		}, applyLimit},
		{"instances stop and start", func(t *testing.T, fl *fleet) {
			fl.vms[0].mustSignal(t, syscall.SIGTERM)
			fl.vms[1].mustSignal(t, syscall.SIGKILL)
		}, applyLimit + maxStretch},
		{"an entry older than its gate", func(t *testing.T, fl *fleet) {
			fl.vms[0].mustSignal(t, syscall.SIGSTOP)
			fl.configure(func(co *platformer.Config) {})
			time.Sleep(time.Second)
			fl.vms[0].mustSignal(t, syscall.SIGCONT)
		}, applyLimit + maxStretch},
		{"no limits without their homes", func(t *testing.T, fl *fleet) {
			for _, one := range fl.vms[:2] {
				one.mustSignal(t, syscall.SIGSTOP)
				t.Cleanup(func() { _, _ = one.signal(syscall.SIGCONT) })
			}
		}, applyLimit + maxStretch},
		{"links to the store gone silent", func(_ *testing.T, fl *fleet) {
			fl.storeRelay.setMode(Mode{IsSilentIn: true, IsSilentOut: true})
			time.Sleep(3 * time.Second)
			fl.storeRelay.reset()
			fl.storeRelay.setMode(Mode{})
		}, applyLimit + maxStretch},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fl := startTestFleetIn(t, 6, true)
			statuses := &tally{counts: map[int]int{}}
			stop := make(chan struct{})
			var wg sync.WaitGroup
			for _, one := range fl.vms {
				wg.Go(func() { fl.sendUntil(one, stop, statuses) })
			}
			time.Sleep(2 * time.Second)
			tc.inject(t, fl)
			for round := range 3 {
				prefix := fmt.Sprintf("/added-%d/", round)
				fl.configure(func(co *platformer.Config) {
					co.Routes = append(co.Routes, platformer.Route{
						Name: "added" + fmt.Sprint(round), Prefix: prefix, Type: platformer.Idempotent, TimeoutS: 1, TargetLatencyS: 1, Service: plainService, MaxAttempts: 1,
					})
				})
				time.Sleep(tc.limit)
				for _, one := range fl.vms {
					status := fl.statusAt(one, prefix)
					if isDenied(status) {
						t.Errorf("%s: round %d: status %d %s after the acknowledgement", one.place.Name, round, status, tc.limit)
					}
				}
			}
			close(stop)
			wg.Wait()
			t.Log("statuses of proper requests:", statuses.counts)
			for status, count := range statuses.counts {
				is.True(!isDenied(status) || count == 0)
			}
		})
	}
}

// isDenied reports whether a status turns a request away as wrong.
func isDenied(status int) bool {
	return status >= 300 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout &&
		status != http.StatusMisdirectedRequest
}

type tally struct {
	mu     sync.Mutex
	counts map[int]int
}

// sendUntil sends proper requests to an instance, one after the other, and counts the statuses.
func (fl *fleet) sendUntil(one *vm, stop <-chan struct{}, ta *tally) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		status := fl.statusAt(one, plainPath)
		ta.mu.Lock()
		ta.counts[status]++
		ta.mu.Unlock()
	}
}

// statusAt returns the status of a request on a route to an instance, 0 without an answer.
func (fl *fleet) statusAt(one *vm, prefix string) int {
	rq := platformer.Request{ID: "probe", Host: host, Path: prefix, Deadline: time.Second, Credential: "key-of-" + limitedTenant}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return rq.Send(context.Background(), client, one.place.Address(platformer.OutboundPort)).Status
}

func (one *vm) mustSignal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if _, err := one.signal(sig); err != nil {
		t.Fatal(err)
	}
}
