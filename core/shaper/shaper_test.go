package shaper

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

const testRate = 18e6 / 8

func newTestShaper(t *testing.T) *Shaper {
	t.Helper()
	sh, err := New(testRate)
	is.New(t).NoErr(err)
	return sh
}

// TestStartOrder guards against bulk messages that overtake each other or get more than the
// usable share of the link.
func TestStartOrder(t *testing.T) {
	is := is.New(t)
	sh := newTestShaper(t)
	const size, count = 100_000, 20
	for range count {
		sh.Arrive(size, 0, 0)
	}
	is.Equal(sh.Backlog(), int64(size*count))
	expected := sh.Finish(0, 0)
	now, ended := timer.Instant(0), []Ticket{}
	left := map[Ticket]int64{}
	for len(ended) < count {
		grants, nextAt := sh.Start(now)
		for _, gr := range grants {
			left[gr.Ticket] += gr.Bytes
			sh.Written(gr.Ticket, now)
			if left[gr.Ticket] == size {
				ended = append(ended, gr.Ticket)
			}
		}
		if len(grants) == 0 {
			is.True(nextAt > now)
			now = nextAt
		}
	}
	is.True(slices.IsSorted(ended))
	is.Equal(sh.Backlog(), int64(0))
	is.True(math.Abs(float64(now.Sub(expected))) < float64(10*timer.Millisecond))
}

// TestPriorityOrder guards against bodies of urgent requests that wait behind others, and
// against urgent ones that take the turn of a body on its way.
func TestPriorityOrder(t *testing.T) {
	is := is.New(t)
	sh, err := NewInlet(testRate)
	is.NoErr(err)
	var tickets []Ticket
	for _, priority := range []cataloguer.Priority{2, 2, 2, 1} {
		tickets = append(tickets, sh.Arrive(1<<20, priority, 0))
		sh.Start(0)
	}
	urgent := sh.Arrive(1<<20, 0, 0)
	var order []Ticket
	for _, me := range sh.messages {
		order = append(order, me.ticket)
	}
	is.Equal(order, []Ticket{tickets[0], urgent, tickets[3], tickets[1], tickets[2]})
}

// TestStalledWrite guards against readers that stop and keep all others from their turn.
func TestStalledWrite(t *testing.T) {
	is := is.New(t)
	sh := newTestShaper(t)
	for range maxTurns {
		sh.Arrive(1<<20, 0, 0)
	}
	other := sh.Arrive(Bulk, 0, 0)
	for at := timer.Instant(0); at.Before(timer.Instant(stallSpan)); at = at.Add(10 * timer.Millisecond) {
		grants, _ := sh.Start(at)
		is.True(!slices.ContainsFunc(grants, func(gr Grant) bool { return gr.Ticket == other }))
	}
	grants, _ := sh.Start(timer.Instant(stallSpan))
	is.Equal(grants, []Grant{{Ticket: other, Bytes: Bulk}})
	sh.Written(other, timer.Instant(stallSpan))
	sh.Written(1, timer.Instant(stallSpan))
	grants, _ = sh.Start(timer.Instant(2 * stallSpan))
	is.Equal(grants[0].Ticket, Ticket(1)) // goes on once its reader does
	sh.Leave(1)
	sh.Leave(2)
	is.Equal(sh.Backlog(), int64(0))
}

// TestSmallMessagesAreCounted guards against bulk messages that ignore the small ones, and
// against small ones whose debt stops bulk messages for long.
func TestSmallMessagesAreCounted(t *testing.T) {
	is := is.New(t)
	sh := newTestShaper(t)
	before := sh.Finish(1<<20, 0)
	sh.Count(1<<15, 0)
	delay := sh.Finish(1<<20, 0).Sub(before) - sh.spanOf(1<<15)
	is.True(max(delay, -delay) <= timer.Microsecond)
	for range 1000 {
		sh.Count(1<<15, 0)
	}
	sh.Arrive(Bulk, 0, 0)
	grants, nextAt := sh.Start(0)
	is.Equal(len(grants), 0)
	is.True(nextAt <= timer.Instant(maxDebtSpan+sh.spanOf(Bulk)+timer.Millisecond))
}

// TestFastLinkIsNotLimited guards against a delay on a link of 1000 Mbit/s that carries an
// eighth of its rate, with timers 20 ms late.
func TestFastLinkIsNotLimited(t *testing.T) {
	is := is.New(t)
	sh, err := New(1e9 / 8)
	is.NoErr(err)
	for now := timer.Instant(0); now < timer.Instant(timer.Second); now = now.Add(20 * timer.Millisecond) {
		for range 4 {
			ticket := sh.Arrive(80_000, 0, now)
			grants, _ := sh.Start(now)
			is.Equal(grants, []Grant{{Ticket: ticket, Bytes: 80_000}})
			sh.Written(ticket, now)
		}
	}
}

// TestBadRate guards against a division by 0.
func TestBadRate(t *testing.T) {
	for _, rate := range []float64{0, -1, math.NaN()} {
		_, err := New(rate)
		is.New(t).True(err != nil)
	}
}

// simulation is one link with downloads at 1.25 times its rate and small calls, as of
// scan-vault of H.
type simulation struct {
	isShaped bool
	// wakeEvery is the interval at which the link gives out turns.
	wakeEvery timer.Span
	rand      *rand.Rand
	sh        *Shaper
	ad        *Admission
	// freeAt is when the link has sent all that was written to it.
	freeAt timer.Instant
	runs   []*simulatedRun
	bulk   map[Ticket]*simulatedRun

	offered, inTime, refused int
	small, smallInTime       int
}

type simulatedRun struct {
	re      Reservation
	wi      Wish
	size    int64
	readyAt timer.Instant
	written int64
}

// write puts bytes in the link's queue and returns when the last one has been sent.
func (si *simulation) write(bytes int64, now timer.Instant) timer.Instant {
	si.freeAt = max(si.freeAt, now).Add(timer.Span(float64(bytes) / testRate * float64(timer.Second)))
	return si.freeAt
}

func (si *simulation) arrive(now timer.Instant) {
	si.offered++
	size := int64(min(540_000, max(20_000, 90_000*math.Exp(0.7*si.rand.NormFloat64()-0.245))))
	ru := &simulatedRun{size: size, readyAt: now.Add(85 * timer.Millisecond)}
	ru.wi = Wish{Route: "archive-download", TargetAt: now.Add(600 * timer.Millisecond), DeadlineAt: now.Add(timer.Second)}
	if si.isShaped {
		if retryAfter, ok := si.ad.Arrive(&ru.re, ru.wi, si.sh.Finish, now); !ok {
			if retryAfter <= 0 {
				panic("shaper: refusal without a time to return")
			}
			si.refused++
			return
		}
		if _, ok := si.ad.Start(&ru.re, ru.wi, si.sh.Finish, now); !ok {
			si.refused++
			return
		}
	}
	si.runs = append(si.runs, ru)
}

func (si *simulation) end(ru *simulatedRun, sentAt timer.Instant) {
	if sentAt <= ru.wi.TargetAt {
		si.inTime++
	}
}

func (si *simulation) respond(ru *simulatedRun, now timer.Instant) {
	if !si.isShaped {
		si.end(ru, si.write(ru.size, now))
		return
	}
	si.ad.Release(&ru.re)
	si.ad.Observe(ru.wi.Route, ru.size)
	si.bulk[si.sh.Arrive(ru.size, 0, now)] = ru
}

func (si *simulation) call(now timer.Instant) {
	const size, target = 800, 50 * timer.Millisecond
	si.small++
	if si.isShaped {
		si.sh.Count(size, now)
	}
	if si.write(size, now) <= now.Add(target) {
		si.smallInTime++
	}
}

func (si *simulation) shape(now timer.Instant) {
	for {
		grants, _ := si.sh.Start(now)
		if len(grants) == 0 {
			return
		}
		for _, gr := range grants {
			si.send(gr, now)
		}
	}
}

func (si *simulation) send(gr Grant, now timer.Instant) {
	ru := si.bulk[gr.Ticket]
	sentAt := si.write(gr.Bytes, now)
	si.sh.Written(gr.Ticket, now)
	if ru.written += gr.Bytes; ru.written == ru.size {
		si.end(ru, sentAt)
		delete(si.bulk, gr.Ticket)
	}
}

func (si *simulation) run(span timer.Span) {
	const step = timer.Millisecond
	for now := timer.Instant(0); now < timer.Instant(span); now = now.Add(step) {
		if si.rand.Float64() < 220.0/7/1000 {
			si.arrive(now)
		}
		if si.rand.Float64() < 0.06 {
			si.call(now)
		}
		si.runs = slices.DeleteFunc(si.runs, func(ru *simulatedRun) bool {
			if now.Before(ru.readyAt) {
				return false
			}
			si.respond(ru, now)
			return true
		})
		if si.isShaped && timer.Span(now)%si.wakeEvery == 0 {
			si.shape(now)
		}
	}
}

// TestSaturatedLinks guards against downloads that are all late, and small calls that wait
// behind them, on 7 links at 1.25 times their rate.
func TestSaturatedLinks(t *testing.T) {
	const links, span = 7, 20 * timer.Second
	shares := func(isShaped bool, wakeEvery timer.Span) (inTime, smallInTime float64) {
		total := simulation{}
		for seed := range uint64(links) {
			si := &simulation{
				isShaped: isShaped, wakeEvery: wakeEvery, rand: rand.New(rand.NewPCG(seed, 1)), sh: newTestShaper(t), ad: NewAdmission(),
				bulk: map[Ticket]*simulatedRun{},
			}
			si.run(span)
			total.offered, total.inTime, total.refused = total.offered+si.offered, total.inTime+si.inTime, total.refused+si.refused
			total.small, total.smallInTime = total.small+si.small, total.smallInTime+si.smallInTime
		}
		inTime, smallInTime = float64(total.inTime)/float64(total.offered), float64(total.smallInTime)/float64(total.small)
		t.Logf("shaped %v, wakes every %v: downloads in time %.3f of %d, refused %d; small calls in time %.3f", isShaped, wakeEvery.Duration(), inTime, total.offered, total.refused, smallInTime)
		return inTime, smallInTime
	}
	is := is.New(t)
	before, smallBefore := shares(false, timer.Millisecond)
	after, smallAfter := shares(true, timer.Millisecond)
	late, smallLate := shares(true, 40*timer.Millisecond)
	is.True(before < 0.2)
	is.True(smallBefore < 0.2)
	// The usable rate is 0.72 of what is offered.
	is.True(after > 0.6)
	is.True(smallAfter > 0.99)
	is.True(late > 0.6) // timers that are late don't cost the link's rate
	is.True(smallLate > 0.99)
}
