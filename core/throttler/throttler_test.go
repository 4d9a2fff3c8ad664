package throttler

import (
	"math/rand/v2"
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

const second = timer.Instant(timer.Second)

// warm is half of the called service's capacity for 40 s, and then the given load.
func (lo load) warm() load {
	lo.shape = func(now timer.Instant) float64 {
		if now < 40*second {
			return 0.5 / lo.factor
		}
		return 1
	}
	return lo
}

// TestLoads compares today's admission with that by calls, at both sites: with the order of
// calls at the called gate, and then with the throttler too. It guards against runs begun for
// nothing while the called service has too little capacity, and against any change while it
// has enough.
func TestLoads(t *testing.T) {
	down := func(count int) func([]*server) {
		return func(called []*server) {
			for i, se := range called {
				se.isDown = i < count
			}
		}
	}
	cases := []struct {
		name     string
		change   func(lo load) load
		from, to timer.Instant
		// wasted bounds the share of runs begun for nothing, and served from below the
		// share of requests served in time.
		wasted, served float64
	}{
		{"0.8", func(lo load) load { lo.factor = 0.8; return lo.warm() }, 40, 70, 0.01, 0.98},
		{"1.2", func(lo load) load { lo.factor = 1.2; return lo.warm() }, 40, 70, 0.03, 0.95},
		{"2", func(lo load) load { lo.factor = 2; return lo.warm() }, 40, 70, 0.05, 0.7},
		{"1.2, mostly calls", func(lo load) load { lo.factor = 1.2; lo.ownRate /= 10; return lo.warm() }, 50, 80, 0.05, 0.7},
		{"2, mostly calls", func(lo load) load { lo.factor = 2; lo.ownRate /= 10; return lo.warm() }, 50, 80, 0.1, 0.3},
		{"2, half don't throttle", func(lo load) load { lo.factor = 2; lo.ownRate /= 10; lo.unthrottled = lo.callers / 2; return lo.warm() }, 50, 80, 0.3, 0.3},
		{"half of the servers lost", func(lo load) load { lo.change = down(lo.called / 2); return lo }, 40, 70, 0.2, 0.8},
		{"outage", func(lo load) load { lo.change = down(lo.called); return lo }, 45, 60, 0.75, 0},
		{"return", func(lo load) load {
			lo.change = func(called []*server) {
				down(lo.called)(called)
				called[0].si.after(10*timer.Second, func() { down(0)(called) })
			}
			return lo
		}, 51, 60, 0.02, 0.6},
	}
	for site, lo := range map[string]load{"H": siteH, "K": siteK} {
		for _, tc := range cases {
			t.Run(site+" "+tc.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				lo := lo
				lo.factor, lo.changeAt, lo.isPrompt = 0.7, 40*second, true
				lo = tc.change(lo)
				today := lo.play(1, tc.from*second, tc.to*second)
				lo.isOrdered = true
				ordered := lo.play(1, tc.from*second, tc.to*second)
				lo.isThrottled = true
				throttled := lo.play(1, tc.from*second, tc.to*second)
				t.Logf("\ntoday     %s\nordered   %s\nthrottled %s", today, ordered, throttled)
				is.True(throttled.wasted() <= tc.wasted)
				is.True(throttled.served() >= tc.served)
				if tc.name == "0.8" {
					is.Equal(throttled, ordered)
				}
			})
		}
	}
}

// TestOtherCauses guards against throttling a route whose bad runs have nothing to do with
// calls, while the calls of another route on the same server fail.
func TestOtherCauses(t *testing.T) {
	never := func(timer.Instant) float64 { return 0 }
	always := func(share float64) func(timer.Instant) float64 {
		return func(timer.Instant) float64 { return share }
	}
	// pulse is an overload of 5 s in 20 s.
	pulse := func(share float64) func(timer.Instant) float64 {
		return func(now timer.Instant) float64 { return share * float64(indicator(now%(20*second) < 5*second)) }
	}
	cases := map[string]struct {
		// failing is the share of calls that fail, bad that of runs that fail by
		// themselves, and long that of runs that take a second, up to their deadline.
		failing, bad, long func(now timer.Instant) float64
	}{
		"fails by itself":                    {failing: always(0.5), bad: always(0.3), long: never},
		"fails while calls begin to fail":    {failing: pulse(0.6), bad: always(0.3), long: never},
		"times out for its length":           {failing: always(0.5), bad: never, long: always(0.1)},
		"times out in the same overload":     {failing: pulse(0.6), bad: never, long: pulse(0.2)},
		"fails by itself in the same pulses": {failing: pulse(0.6), bad: pulse(0.3), long: never},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			refused := 0
			for seed := range uint64(10) {
				si := &sim{rn: rand.New(rand.NewPCG(seed, 2)), now: 1}
				th := New()
				si.repeat(func() float64 { return 15 }, func() {
					if _, isRefused := th.Arrive(Request{Route: "plain", DeadlineAt: si.now.Add(timer.Second)}, si.now).(Refuse); isRefused {
						refused++
						return
					}
					ru, span := th.Start("plain", si.now), timer.Span((50+100*si.rn.Float64())*float64(ms))
					isBad := si.rn.Float64() < tc.bad(si.now)
					if si.rn.Float64() < tc.long(si.now) {
						isBad, span = true, timer.Second
					}
					si.after(span, func() { th.Finish(ru, isBad, si.now) })
				})
				// The calls are made by another route of the server.
				si.repeat(func() float64 { return 10 }, func() {
					calledAt := si.now
					isFailed := si.rn.Float64() < tc.failing(si.now)
					si.after(timer.Span(40*si.rn.Float64()*float64(ms)), func() {
						th.Call(Call{Route: "call", StartedAt: calledAt, IsFailed: isFailed, IsOverload: isFailed}, si.now)
					})
				})
				si.play(600 * second)
			}
			is.New(t).Equal(refused, 0)
		})
	}
}
