package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cornellanding.example/port/receiver"
	"cornellanding.example/standin/platformer"
)

const (
	keyCount = 1 << 16
	// hotShare is the share of requests for hotKey, and limitedShare that of
	// limitedTenant. plainShare of the requests go to plainService and
	// idempotentShare to the idempotent route of keyService; the others are not
	// idempotent.
	hotShare          = 0.2
	hotKey            = 4711
	clientDeadline    = 3 * time.Second
	clientConns       = 8
	recoveredDeadline = 5 * time.Second
	limitedTenant     = "limited"
	openTenant        = "open"
	limitedRate       = 10
	limitedBurst      = 10
	limitedShare      = 0.3
	idempotentPath    = "/check/"
	nonIdempotentPath = "/book/"
	plainPath         = "/browse/"
	routeTimeoutS     = 3
	routeTargetS      = 0.5
	routeAttempts     = 2
	serverMaxConns    = 60
	plainShare        = 0.3
	idempotentShare   = 0.4
)

// firstConfig returns the configuration at the start of the soak.
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
			path("check", idempotentPath, platformer.Idempotent, keyService),
			path("book", nonIdempotentPath, platformer.NonIdempotent, keyService),
			path("browse", plainPath, platformer.Idempotent, plainService),
		},
		Tenants: []platformer.Tenant{
			{Name: openTenant, Keys: []string{"key-of-" + openTenant}},
			{Name: limitedTenant, Keys: []string{"key-of-" + limitedTenant}, RatePerS: limitedRate, Burst: limitedBurst},
		},
	}
}

// load sends open-loop requests as a seeded Poisson process. Clients keep
// connections open until they break.
type load struct {
	fl     *fleet
	rate   float64
	random *rand.Rand
	client *http.Client
	// recoveredAt is the time from which requests must succeed, in Unix
	// nanoseconds. It is 0 until the last fault has ended.
	recoveredAt atomic.Int64

	mu       sync.Mutex
	attempts []attempt
}

func newLoad(fl *fleet, se Settings) *load {
	return &load{
		fl: fl, rate: se.Rate, random: rand.New(rand.NewPCG(se.Seed, 1)),
		client: &http.Client{Transport: receiver.New(&http.Transport{MaxIdleConnsPerHost: clientConns})},
	}
}

// run sends requests until ctx ends, and returns all attempts once they have
// been answered.
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

// plan draws the i-th request and the address of the instance that it is sent
// to.
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
		at.request.Path, at.isIdempotent = plainPath, true
	case draw < plainShare+idempotentShare:
		at.request.Path, at.isIdempotent = idempotentPath, true
	default:
		at.request.Path = nonIdempotentPath
	}
	one := ld.fl.vms[ld.random.IntN(len(ld.fl.vms))]
	return at, one.place.Address(platformer.OutboundPort + relayOffset)
}

func (ld *load) send(at attempt, to string) {
	at.startedAt = time.Now()
	mustSucceedFrom := ld.recoveredAt.Load()
	at.isAfterRecovery = mustSucceedFrom > 0 && at.startedAt.UnixNano() > mustSucceedFrom && at.tenant == openTenant
	at.answer = at.request.Send(context.Background(), ld.client, to)
	at.endedAt = time.Now()
	ld.fl.check.verifyAnswer(at)
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.attempts = append(ld.attempts, at)
}
