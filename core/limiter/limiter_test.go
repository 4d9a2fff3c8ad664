package limiter

import (
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fleet drives a home and several entries through random traffic and failures.
type fleet struct {
	rate   float64
	burst  float64
	now    timer.Instant
	home   *Home
	shares []*Share
	// asks may be delivered late, twice or never.
	asks   []Request
	used   []timer.Instant
	losses []timer.Instant
}

func (fl *fleet) newHome(opts ...HomeOption) {
	opts = append([]HomeOption{HomeRate(fl.rate), HomeBurst(fl.burst), HomeSince(fl.now)}, opts...)
	ho, err := NewHome(opts...)
	if err != nil {
		panic(err)
	}
	fl.home = ho
}

func (fl *fleet) take(t *rapid.T) {
	sh := rapid.SampledFrom(fl.shares).Draw(t, "entry")
	if sh.Take(fl.now) {
		fl.used = append(fl.used, fl.now)
	}
	if sh.NeedsRequest(fl.now) {
		fl.asks = append(fl.asks, sh.NewRequest(fl.now))
	}
}

// rush takes many tokens at once at one entry, whose asks are answered at once.
func (fl *fleet) rush(t *rapid.T) {
	sh := rapid.SampledFrom(fl.shares).Draw(t, "entry")
	for range rapid.IntRange(1, 40).Draw(t, "requests") {
		isTaken := sh.Take(fl.now)
		if sh.NeedsRequest(fl.now) {
			ask := sh.NewRequest(fl.now)
			sh.Receive(ask, fl.home.Grant(ask, fl.now), fl.now)
			isTaken = isTaken || sh.Retake(fl.now)
		}
		if isTaken {
			fl.used = append(fl.used, fl.now)
		}
	}
}

// lose replaces the home. The new one knows how many were lost lately.
func (fl *fleet) lose() {
	fl.losses = append(fl.losses, fl.now)
	recent := 0
	for _, at := range fl.losses {
		if fl.now.Sub(at) < GrantTerm {
			recent++
		}
	}
	fl.newHome(HomeLosses(recent))
}

func (fl *fleet) giveUp(t *rapid.T) {
	sh := rapid.SampledFrom(fl.shares).Draw(t, "entry")
	if sh.IsIdle(fl.now) {
		fl.asks = append(fl.asks, sh.ReturnAll(fl.now))
	}
}

func (fl *fleet) deliver(t *rapid.T) {
	if len(fl.asks) == 0 {
		return
	}
	i := rapid.IntRange(0, len(fl.asks)-1).Draw(t, "ask")
	ask := fl.asks[i]
	if !rapid.Bool().Draw(t, "isDuplicated") {
		fl.asks = append(fl.asks[:i], fl.asks[i+1:]...)
	}
	gr := fl.home.Grant(ask, fl.now)
	if rapid.IntRange(0, 9).Draw(t, "isAnswerLost") == 0 {
		fl.shares[ask.Entry].Fail(fl.now)
		return
	}
	fl.shares[ask.Entry].Receive(ask, gr, fl.now)
}

// peak returns the most by which the uses exceed the rate in any window.
func (fl *fleet) peak() float64 {
	level, peak, last := 0.0, 0.0, timer.Instant(0)
	for _, at := range fl.used {
		level = max(0, level-fl.rate*float64(at.Sub(last))/float64(timer.Second)) + 1
		last = at
		peak = max(peak, level)
	}
	return peak
}

// TestNeverAboveBurst checks invariant 6 under loss, duplication, handover and
// loss of the home.
func TestNeverAboveBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fl := &fleet{rate: rapid.Float64Range(0, 200).Draw(t, "rate"), burst: rapid.Float64Range(1, 30).Draw(t, "burst")}
		for i := range 3 {
			fl.shares = append(fl.shares, NewShare(uint64(i)))
		}
		fl.newHome(HomeFull())
		t.Repeat(map[string]func(*rapid.T){
			"take":    fl.take,
			"deliver": fl.deliver,
			"give up": fl.giveUp,
			"rush":    fl.rush,
			"time": func(t *rapid.T) {
				fl.now += timer.Instant(rapid.Int64Range(0, int64(300*timer.Millisecond)).Draw(t, "span"))
			},
			"home is lost": func(*rapid.T) { fl.lose() },
			"handover":     func(t *rapid.T) { fl.newHome(HomeState(fl.home.Export(fl.now))) },
			"": func(t *rapid.T) {
				if peak := fl.peak(); peak > fl.burst+1e-6 {
					t.Fatalf("peak %v above burst %v", peak, fl.burst)
				}
			},
		})
	})
}

// TestInsideRateIsServed compares the share that a workspace inside its rate
// gets with static shares, whose entries can't lend each other anything.
func TestInsideRateIsServed(t *testing.T) {
	is := is.New(t)
	const entries, rate, burst = 10, 50.0, 20.0
	fl := &fleet{rate: rate, burst: burst}
	for i := range entries {
		fl.shares = append(fl.shares, NewShare(uint64(i)))
	}
	fl.newHome(HomeFull())
	static := make([]float64, entries)
	staticAt := make([]timer.Instant, entries)
	refused, staticRefused, sent := 0, 0, 0
	// 40 requests a second, all at one entry, which changes every 5 s. As in the
	// product a request waits a moment for its token; static shares gain nothing
	// from waiting, since their rate is below the demand.
	const patience = 300 * timer.Millisecond
	var waiting []timer.Instant
	for step := range 800 {
		fl.now = timer.Instant(step) * timer.Instant(25*timer.Millisecond)
		entry := step / 200 % entries
		sent++
		fl.sweep()
		waiting = append(waiting, fl.now)
		isNew := true
		for len(waiting) > 0 && fl.takeWaiting(entry, isNew) {
			waiting, isNew = waiting[1:], false
		}
		for len(waiting) > 0 && fl.now.Sub(waiting[0]) > patience {
			waiting = waiting[1:]
			refused++
		}
		gained := rate / entries * float64(fl.now.Sub(staticAt[entry])) / float64(timer.Second)
		static[entry] = min(burst/entries, static[entry]+gained)
		staticAt[entry] = fl.now
		if static[entry] < 1 {
			staticRefused++
			continue
		}
		static[entry]--
	}
	t.Logf("refused of %d: %d, with static shares %d", sent, refused, staticRefused)
	is.Equal(refused, 0)
	is.True(staticRefused > sent/2) // static shares fail when demand moves
}

// sweep lets idle entries give up their tokens.
func (fl *fleet) sweep() {
	for _, sh := range fl.shares {
		if sh.IsIdle(fl.now) {
			ask := sh.ReturnAll(fl.now)
			sh.Receive(ask, fl.home.Grant(ask, fl.now), fl.now)
		}
	}
}

// takeWaiting takes a token, and asks the home at once if there is none.
func (fl *fleet) takeWaiting(entry int, isNew bool) bool {
	sh := fl.shares[entry]
	isTaken := false
	if isNew {
		isTaken = sh.Take(fl.now)
	} else {
		isTaken = sh.Retake(fl.now)
	}
	if sh.NeedsRequest(fl.now) {
		ask := sh.NewRequest(fl.now)
		sh.Receive(ask, fl.home.Grant(ask, fl.now), fl.now)
	}
	return isTaken || sh.Retake(fl.now)
}

func TestBadOptions(t *testing.T) {
	is := is.New(t)
	_, err := NewHome(HomeRate(-1), HomeBurst(5))
	is.True(err != nil) // a rate below 0
	_, err = NewHome(HomeRate(1), HomeBurst(0.5))
	is.True(err != nil) // a burst below 1
}
