package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"cornellanding.example/standin/platformer"
)

const (
	// maxGap bounds the pause between the starts of two faults.
	maxGap = 1500 * time.Millisecond
	// minSpan and maxSpan bound how long a fault lasts: from less than a lease
	// term to well over one.
	minSpan = 50 * time.Millisecond
	maxSpan = 5 * time.Second
	// repeatShare is the share of faults that are injected twice in a row.
	repeatShare = 0.3
	maxDelay    = 400 * time.Millisecond
	// withdrawnSpan is how long a key stays withdrawn. It exceeds
	// withdrawnLimit, so that a key that is still accepted is detected.
	withdrawnSpan  = withdrawnLimit + 2*time.Second
	maxLostAnswers = 6
	// The store is away for up to maxAway before it comes back from a copy that is
	// minCopyAge to maxCopyAge old. minRestoreGap and maxRestoreGap separate restores.
	maxAway       = 1500 * time.Millisecond
	minCopyAge    = 500 * time.Millisecond
	maxCopyAge    = 6 * time.Second
	minRestoreGap = time.Second
	maxRestoreGap = 6 * time.Second
)

// faultKind is one kind of fault. inject returns once the fault has ended.
type faultKind struct {
	name   string
	inject func(pl *plan, on target)
}

// target holds the random parameters of one fault. Each kind uses those that
// apply to it.
type target struct {
	vm    *vm
	relay *relay
	mode  Mode
	span  time.Duration
	count int
}

var faultKinds = []faultKind{
	{"kill an instance", func(pl *plan, on target) { pl.kill(on.vm) }},
	{"kill all instances", func(pl *plan, _ target) {
		for _, one := range pl.fl.vms {
			pl.kill(one)
		}
	}},
	{"pause an instance", (*plan).pause},
	{"stop an instance", (*plan).stop},
	{"reload an instance", func(pl *plan, on target) { pl.signal(on.vm, syscall.SIGHUP) }},
	{"crash a server", func(pl *plan, on target) { pl.crash(on, false) }},
	{"crash a server that keeps its id", func(pl *plan, on target) { pl.crash(on, true) }},
	{"the store refuses", func(pl *plan, on target) {
		pl.injectStoreFaults(platformer.StoreFaults{Refuse: http.StatusServiceUnavailable}, on.span)
	}},
	{"the store rate-limits calls", func(pl *plan, on target) {
		pl.injectStoreFaults(platformer.StoreFaults{Refuse: http.StatusTooManyRequests}, on.span)
	}},
	{"the store does not answer", func(pl *plan, on target) { pl.injectStoreFaults(platformer.StoreFaults{IsHanging: true}, on.span) }},
	{"the store is slow", func(pl *plan, on target) { pl.injectStoreFaults(platformer.StoreFaults{Delay: on.mode.Delay}, on.span) }},
	{"the store loses answers", func(pl *plan, on target) {
		pl.injectStoreFaults(platformer.StoreFaults{LoseAnswers: on.count}, on.span)
	}},
	{"the store forgets its history", func(pl *plan, on target) { pl.injectStoreFaults(platformer.StoreFaults{IsHistoryLost: true}, on.span) }},
	{"connections are reset", func(_ *plan, on target) { on.relay.reset() }},
	{"connections are slow", func(_ *plan, on target) { on.degrade(Mode{Delay: on.mode.Delay}) }},
	{"connections are blocked", func(_ *plan, on target) { on.degrade(Mode{IsSilentIn: true, IsSilentOut: true}) }},
	{"connections are blocked in one direction", func(_ *plan, on target) {
		on.degrade(on.oneWay())
	}},
	{"the store's connections are reset", func(pl *plan, _ target) { pl.fl.storeRelay.reset() }},
	{"the store's connections are blocked in one direction", func(pl *plan, on target) {
		pl.store.Lock()
		defer pl.store.Unlock()
		on.relay = pl.fl.storeRelay
		on.degrade(on.oneWay())
	}},
	{"a zone is taken out", (*plan).evacuate},
	{"a key is withdrawn", func(pl *plan, _ target) { pl.withdraw() }},
}

// plan draws faults from a seeded generator and injects them, several at once.
type plan struct {
	fl     *fleet
	se     Settings
	random *rand.Rand
	count  int
	wg     sync.WaitGroup
	// store is held while store faults are injected, and while a key is
	// withdrawn, which needs a working store.
	store sync.Mutex

	mu          sync.Mutex
	withdrawals []withdrawal
	// pauses holds the end of the last pause of each VM's instance.
	pauses map[*vm]time.Time
}

func newPlan(fl *fleet, se Settings) *plan {
	return &plan{fl: fl, se: se, random: rand.New(rand.NewPCG(se.Seed, 2)), pauses: map[*vm]time.Time{}}
}

// run starts faults for the configured duration, and returns once all have
// ended.
func (pl *plan) run(ctx context.Context) {
	defer pl.wg.Wait()
	end := time.Now().Add(pl.se.Duration)
	if pl.se.Restores {
		pl.wg.Go(func() { pl.restoreStore(ctx, end) })
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		ac := faultKinds[pl.random.IntN(len(faultKinds))]
		on := pl.drawTarget()
		times := 1
		if pl.random.Float64() < repeatShare {
			times = 2
		}
		pl.se.progressf("%s, %d times: %s, %s, mode %+v", ac.name, times, on.vm.place.Name, on.span.Round(time.Millisecond), on.mode)
		pl.wg.Go(func() {
			for range times {
				ac.inject(pl, on)
			}
		})
		pl.count += times
		time.Sleep(time.Duration(pl.random.Int64N(int64(maxGap))))
	}
}

// drawTarget draws a target. It consumes the same random numbers for every kind
// of fault, so that a seed gives the same sequence whichever kinds are drawn.
func (pl *plan) drawTarget() target {
	one := pl.fl.vms[pl.random.IntN(len(pl.fl.vms))]
	relays := []*relay{one.callers, one.control, one.app}
	return target{
		vm: one, relay: relays[pl.random.IntN(len(relays))],
		span:  minSpan + time.Duration(pl.random.Int64N(int64(maxSpan-minSpan))),
		mode:  Mode{Delay: time.Duration(pl.random.Int64N(int64(maxDelay))), IsSilentIn: pl.random.IntN(2) == 0},
		count: 1 + pl.random.IntN(maxLostAnswers),
	}
}

// oneWay returns a relay mode that blocks the drawn direction only.
func (on target) oneWay() Mode {
	return Mode{IsSilentIn: on.mode.IsSilentIn, IsSilentOut: !on.mode.IsSilentIn}
}

func (on target) degrade(mo Mode) {
	on.relay.setMode(mo)
	time.Sleep(on.span)
	on.relay.setMode(Mode{})
}

func (pl *plan) signal(one *vm, sig syscall.Signal) <-chan struct{} {
	exited, err := one.signal(sig)
	if err != nil {
		pl.fl.check.fail("%s: signal %v: %v", one.place.Name, sig, err)
	}
	return exited
}

func (pl *plan) kill(one *vm) { pl.signal(one, syscall.SIGKILL) }

func (pl *plan) pause(on target) {
	pl.signal(on.vm, syscall.SIGSTOP)
	time.Sleep(on.span)
	pl.mu.Lock()
	pl.pauses[on.vm] = time.Now()
	pl.mu.Unlock()
	pl.signal(on.vm, syscall.SIGCONT)
}

// wasPaused reports whether a pause of the VM's instance ended after since.
func (pl *plan) wasPaused(one *vm, since time.Time) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.pauses[one].After(since)
}

// stop stops an instance gracefully. The process must end within the platform's
// time limit, unless it was paused meanwhile.
func (pl *plan) stop(on target) {
	startedAt := time.Now()
	exited := pl.signal(on.vm, syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopLimit + stopSlack):
		if !pl.wasPaused(on.vm, startedAt) {
			pl.fl.check.fail("%s: a graceful stop takes longer than %s", on.vm.place.Name, stopLimit)
		}
		pl.kill(on.vm)
	}
}

func (pl *plan) crash(on target, isSameID bool) {
	on.vm.crash.Lock()
	defer on.vm.crash.Unlock()
	id := pl.fl.crashServer(on.vm)
	if !isSameID {
		id = ""
	}
	time.Sleep(on.span / 2)
	if err := pl.fl.startServer(on.vm, id); err != nil {
		pl.fl.check.fail("%s: the server does not start: %v", on.vm.place.Name, err)
	}
}

func (pl *plan) injectStoreFaults(fa platformer.StoreFaults, span time.Duration) {
	pl.store.Lock()
	defer pl.store.Unlock()
	pl.fl.store.SetFaults(fa)
	time.Sleep(span)
	pl.fl.store.SetFaults(platformer.StoreFaults{})
}

// restoreStore makes the store come back from older copies until end. It draws from a
// generator of its own, so that a seed gives the same faults with it and without.
func (pl *plan) restoreStore(ctx context.Context, end time.Time) {
	random := rand.New(rand.NewPCG(pl.se.Seed, 3))
	draw := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	for {
		gap, away, age := draw(minRestoreGap, maxRestoreGap), draw(0, maxAway), draw(minCopyAge, maxCopyAge)
		if time.Now().Add(gap).After(end) || ctx.Err() != nil {
			return
		}
		time.Sleep(gap)
		pl.store.Lock()
		asOf := time.Now().Add(-age)
		pl.fl.store.SetFaults(platformer.StoreFaults{Refuse: http.StatusServiceUnavailable})
		time.Sleep(away)
		before, copied := pl.fl.store.Restore(asOf)
		pl.fl.store.SetFaults(platformer.StoreFaults{})
		pl.store.Unlock()
		pl.se.progressf("the store was away for %s and is back from a copy of version %d, was at %d", away.Round(time.Millisecond), copied, before)
	}
}

func (pl *plan) evacuate(on target) {
	key := "evacuate/" + on.vm.place.Zone
	pl.fl.store.Put("op", key, []byte("{}"))
	time.Sleep(on.span)
	pl.fl.store.Remove("op", key)
}

// withdraw replaces a tenant's key for withdrawnSpan. The store has no faults
// meanwhile.
func (pl *plan) withdraw() {
	pl.store.Lock()
	defer pl.store.Unlock()
	useKeys := func(keys ...string) {
		pl.fl.configure(func(co *platformer.Config) {
			co.Tenants = slices.Clone(co.Tenants)
			for i := range co.Tenants {
				if co.Tenants[i].Name == limitedTenant {
					co.Tenants[i].Keys = keys
				}
			}
		})
	}
	wi := withdrawal{tenant: limitedTenant, from: time.Now()}
	useKeys(fmt.Sprintf("another-%d", pl.fl.config.Version))
	time.Sleep(withdrawnSpan)
	wi.until = time.Now()
	useKeys("key-of-" + limitedTenant)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.withdrawals = append(pl.withdrawals, wi)
}
