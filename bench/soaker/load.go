package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cornellanding.example/standin/platformer"
)

const (
	keyCount        = 1 << 16
	hotShare        = 0.2
	hotKey          = 4711
	clientDeadline  = 3 * time.Second
	clientConns     = 8
	calmDeadline    = 5 * time.Second
	limitedTenant   = "limited"
	openTenant      = "open"
	limitedRate     = 10
	limitedBurst    = 10
	limitedShare    = 0.3
	repeatablePath  = "/check/"
	oncePath        = "/book/"
	plainPath       = "/browse/"
	routeTimeoutS   = 3
	routeTargetS    = 0.5
	routeAttempts   = 2
	serverMaxConns  = 60
	plainShare      = 0.3
	repeatableShare = 0.4
)

// firstConfig is the configuration at the start.
func firstConfig() platformer.Config {
	path := func(name, prefix, kind, service string) platformer.Route {
		return platformer.Route{
			Name: name, Prefix: prefix, Type: kind, TimeoutS: routeTimeoutS, TargetLatencyS: routeTargetS, Priority: 1, Service: service, MaxAttempts: routeAttempts,
		}
	}
	return platformer.Config{
		Host: host,
		Services: []platformer.Service{
			{Name: keyService, MaxConnections: serverMaxConns, IsSharded: true}, {Name: plainService, MaxConnections: serverMaxConns},
		},
		Routes: []platformer.Route{
			path("check", repeatablePath, platformer.Idempotent, keyService),
			path("book", oncePath, platformer.NonIdempotent, keyService),
			path("browse", plainPath, platformer.Idempotent, plainService),
		},
		Tenants: []platformer.Tenant{
			{Name: openTenant, Keys: []string{"key-of-" + openTenant}},
			{Name: limitedTenant, Keys: []string{"key-of-" + limitedTenant}, RatePerS: limitedRate, Burst: limitedBurst},
		},
	}
}

// load sends requests at the instants of a seeded process. Clients keep their
// connections until these break.
type load struct {
	fl     *fleet
	rate   float64
	random *rand.Rand
	client *http.Client
	// calmAt is from when all requests must be served, in Unix nanoseconds, 0
	// while faults go on.
	calmAt atomic.Int64

	mu       sync.Mutex
	attempts []attempt
}

func newLoad(fl *fleet, se Settings) *load {
	return &load{
		fl: fl, rate: se.Rate, random: rand.New(rand.NewPCG(se.Seed, 1)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientConns}},
	}
}

// run sends until ctx ends, and returns all attempts once they have ended.
func (ld *load) run(ctx context.Context) []attempt {
	var wg sync.WaitGroup
	for i := 0; ; i++ {
		pause := time.Duration(ld.random.ExpFloat64() / ld.rate * float64(time.Second))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			wg.Wait()
			return ld.attempts
		}
		at, to := ld.plan(i)
		wg.Go(func() { ld.send(at, to) })
	}
}

// plan decides on the i-th request and where it begins.
func (ld *load) plan(i int) (attempt, string) {
	at := attempt{tenant: openTenant}
	at.request = platformer.Request{ID: fmt.Sprintf("r-%d", i), Host: host, Deadline: clientDeadline, Key: ld.random.Uint64N(keyCount)}
	if ld.random.Float64() < hotShare {
		at.request.Key = hotKey
	}
	if ld.random.Float64() < limitedShare {
		at.tenant = limitedTenant
	}
	at.request.Credential = "key-of-" + at.tenant
	switch draw := ld.random.Float64(); {
	case draw < plainShare:
		at.request.Path, at.isRepeatable = plainPath, true
	case draw < plainShare+repeatableShare:
		at.request.Path, at.isRepeatable = repeatablePath, true
	default:
		at.request.Path = oncePath
	}
	one := ld.fl.vms[ld.random.IntN(len(ld.fl.vms))]
	return at, one.place.Address(platformer.OutboundPort + relayOffset)
}

func (ld *load) send(at attempt, to string) {
	at.startedAt = time.Now()
	calmAt := ld.calmAt.Load()
	at.isCalm = calmAt > 0 && at.startedAt.UnixNano() > calmAt && at.tenant == openTenant
	at.answer = at.request.Send(context.Background(), ld.client, to)
	at.endedAt = time.Now()
	ld.fl.check.check(at)
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.attempts = append(ld.attempts, at)
}
