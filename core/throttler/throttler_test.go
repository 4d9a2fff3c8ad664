package throttler

import (
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// TestLoads compares today's admission with the order of calls at the called gate, and then
// with the throttler too. It guards against runs begun for nothing while the called service
// has too little capacity, and against any change while it has enough.
func TestLoads(t *testing.T) {
	down := func(count int) func([]*server) {
		return func(called []*server) {
			for i, se := range called {
				se.isDown = i < count
			}
		}
	}
	atLoad := func(factor, own float64) func(lo load) load {
		return func(lo load) load {
			lo.factor, lo.isWarm, lo.ownRate = factor, true, lo.ownRate*own
			return lo
		}
	}
	cases := []struct {
		name     string
		change   func(lo load) load
		from, to timer.Instant
		// wasted and served bound the shares of runs begun for nothing, and of requests
		// served in time.
		wasted, served float64
	}{
		{"0.8", atLoad(0.8, 1), 40, 70, 0.01, 0.98},
		{"1.2", atLoad(1.2, 1), 40, 70, 0.03, 0.95},
		{"2", atLoad(2, 1), 40, 70, 0.05, 0.7},
		{"1.2, mostly calls", atLoad(1.2, 0.1), 50, 80, 0.05, 0.7},
		{"2, mostly calls", atLoad(2, 0.1), 50, 80, 0.12, 0.4},
		{"2, half don't throttle", func(lo load) load {
			lo.unthrottled = lo.callers / 2
			return atLoad(2, 0.1)(lo)
		}, 50, 80, 0.25, 0.4},
		{"half of the servers lost", func(lo load) load { lo.change = down(lo.called / 2); return lo }, 40, 70, 0.2, 0.8},
		{"outage", func(lo load) load { lo.change = down(lo.called); return lo }, 45, 60, 1, 0},
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
				is, lo := is.New(t), lo
				lo.factor = 0.7
				lo = tc.change(lo)
				today := lo.play(tc.from, tc.to)
				lo.isOrdered = true
				ordered := lo.play(tc.from, tc.to)
				lo.isThrottled = true
				throttled := lo.play(tc.from, tc.to)
				t.Logf("\ntoday     %s\nordered   %s\nthrottled %s", today, ordered, throttled)
				is.True(throttled.wasted() <= tc.wasted && throttled.served() >= tc.served)
				if tc.name == "0.8" {
					is.Equal(throttled, ordered)
				}
				if tc.name == "outage" {
					is.True(throttled.begun <= 0.5*throttled.requests)
				}
			})
		}
	}
}

// playRoute plays 15 requests a second for 10 minutes on a route whose runs end with the
// outcome and span of run, and 10 calls a second that fail by the share. It returns the share
// of requests refused.
func playRoute(seed uint64, run func(si *sim, th *Throttler) (isBad bool, span timer.Span), callsFailing func(now timer.Instant) float64) float64 {
	si, th := newSim(seed), New()
	refused, requests := 0.0, 0.0
	si.repeat(func() float64 { return 15 }, func() {
		requests++
		if _, isRefused := th.Arrive(Request{Route: "route"}, si.now).(Refuse); isRefused {
			refused++
			return
		}
		ru := th.Start("route", si.now)
		isBad, span := run(si, th)
		si.after(span, func() { th.Finish(ru, isBad, si.now) })
	})
	si.repeat(func() float64 { return 10 }, func() {
		calledAt, isFailed := si.now, si.rn.Float64() < callsFailing(si.now)
		si.after(timer.Span(40*si.rn.Float64()*float64(ms)), func() {
			th.Call(Call{Route: "call", StartedAt: calledAt, IsFailed: isFailed, IsOverload: isFailed}, si.now)
		})
	})
	si.play(600 * second)
	return refused / requests
}

func always(share float64) func(timer.Instant) float64 {
	return func(timer.Instant) float64 { return share }
}

// pulse is an overload of 5 s in 20 s.
func pulse(share float64) func(timer.Instant) float64 {
	return func(now timer.Instant) float64 { return share * indicator(now%(20*second) < 5*second) }
}

// TestOtherCauses guards against throttling a route whose bad runs have nothing to do with
// calls, while the calls of another route on the same server fail.
func TestOtherCauses(t *testing.T) {
	cases := map[string]struct {
		// failing is the share of calls that fail, bad that of runs that fail by
		// themselves, and long that of runs that take a second, up to their deadline.
		failing, bad, long func(now timer.Instant) float64
	}{
		"fails by itself":                    {failing: always(0.5), bad: always(0.3), long: always(0)},
		"fails while calls begin to fail":    {failing: pulse(0.6), bad: always(0.3), long: always(0)},
		"times out for its length":           {failing: always(0.5), bad: always(0), long: always(0.1)},
		"times out in the same overload":     {failing: pulse(0.6), bad: always(0), long: pulse(0.2)},
		"fails by itself in the same pulses": {failing: pulse(0.6), bad: pulse(0.3), long: always(0)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				is.New(t).Equal(0.0, playRoute(seed, func(si *sim, _ *Throttler) (bool, timer.Span) {
					if si.rn.Float64() < tc.long(si.now) {
						return true, timer.Second
					}
					return si.rn.Float64() < tc.bad(si.now), timer.Span((50 + 100*si.rn.Float64()) * float64(ms))
				}, tc.failing))
			}
		})
	}
}

// TestFutile guards against throttling a route whose calls fail as often at a low rate: it
// would only add refusals. It is tried less and less often.
func TestFutile(t *testing.T) {
	for _, failing := range []float64{0.2, 0.4} {
		refused := 0.0
		for seed := range uint64(20) {
			refused += playRoute(seed, func(si *sim, th *Throttler) (bool, timer.Span) {
				isFailed := si.now > 60*second && si.rn.Float64() < failing
				calledAt := si.now.Add(150 * ms)
				si.after(199*ms, func() {
					th.Call(Call{Route: "own", StartedAt: calledAt, IsFailed: isFailed, IsOverload: isFailed}, si.now)
				})
				return isFailed, 200 * ms
			}, always(0)) / 20
		}
		t.Logf("failing %.1f: refused %.3f", failing, refused)
		is.New(t).True(refused > 0 && refused < 0.2)
	}
}
