package admitter

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// crowd plays callers that return after a refusal, on a server with 13 slots that takes
// 220 ms for a request: 59 a second.
type crowd struct {
	ga       *Gate
	rn       *rand.Rand
	running  ends
	attempts map[Ticket]caller
	// returns holds the callers by the time at which they return, in milliseconds.
	returns map[int64][]caller
	// callers counts the requests, served those that ran, late those served after their target, sent all attempts,
	// and again the refusals of those that returned.
	callers, served, late, sent, again int
	isImpatient                        bool
}

// caller is one request with its fingerprint, and when it was first sent.
type caller struct {
	fingerprint uint64
	firstAt     timer.Instant
	returns     int
}

const (
	crowdWork   = 220 * timer.Millisecond
	crowdTarget = 800 * timer.Millisecond
	crowdSpan   = 2500 * timer.Millisecond
)

func (cr *crowd) start(now timer.Instant, tickets ...Ticket) {
	for _, ticket := range tickets {
		ca := cr.attempts[ticket]
		delete(cr.attempts, ticket)
		cr.served++
		if now.Add(crowdWork) > ca.firstAt.Add(crowdTarget) {
			cr.late++
		}
		heap.Push(&cr.running, now.Add(timer.Span(float64(crowdWork)*(0.7+0.6*cr.rn.Float64()))))
	}
}

// refuse lets a caller return if the time that it is told is within a third of what it has
// left. An impatient one returns after a tenth.
func (cr *crowd) refuse(ca caller, after timer.Span, now timer.Instant) {
	if ca.returns > 0 {
		cr.again++
	}
	left := ca.firstAt.Add(crowdSpan).Sub(now)
	if cr.isImpatient {
		after = left / 10
	}
	if after > left/3 || ca.returns == 5 {
		return
	}
	ca.returns++
	at := int64(now.Add(after).Add(timer.Span(cr.rn.Int64N(int64(10*timer.Millisecond))))) / int64(timer.Millisecond)
	cr.returns[at] = append(cr.returns[at], ca)
}

func (cr *crowd) arrive(ca caller, now timer.Instant) {
	cr.sent++
	rq := Request{Priority: 1, TargetAt: now.Add(crowdTarget), DeadlineAt: ca.firstAt.Add(crowdSpan), Fingerprint: ca.fingerprint}
	switch de := cr.ga.Arrive(rq, now).(type) {
	case Run:
		cr.attempts[de.Ticket] = ca
		cr.start(now, de.Ticket)
	case Wait:
		cr.attempts[de.Ticket] = ca
		for _, ticket := range de.Shed {
			cr.drop(ticket, rq, now)
		}
	case Refuse:
		cr.refuse(ca, de.RetryAfter, now)
	}
}

func (cr *crowd) drop(ticket Ticket, rq Request, now timer.Instant) {
	ca := cr.attempts[ticket]
	delete(cr.attempts, ticket)
	rq.Fingerprint, rq.DeadlineAt = ca.fingerprint, ca.firstAt.Add(crowdSpan)
	cr.refuse(ca, cr.ga.Reserve(rq, now), now)
}

// play returns the counts of 30 s at 0.8 of the capacity, with bursts of 3 s in 10 s.
func playCrowd(t *testing.T, burst float64, keepsPlaces, isImpatient bool) *crowd {
	cr := &crowd{
		ga: newGate(t, Slots(13), QueueLength(52)), rn: rand.New(rand.NewPCG(1, 1)),
		attempts: map[Ticket]caller{}, returns: map[int64][]caller{}, isImpatient: isImpatient,
	}
	cr.ga.KeepPlaces(keepsPlaces)
	arrivals := rand.New(rand.NewPCG(2, 2))
	for now := timer.Instant(0); now < timer.Instant(30*timer.Second); now = now.Add(timer.Millisecond) {
		for len(cr.running) > 0 && cr.running[0] <= now {
			heap.Pop(&cr.running)
			cr.start(now, cr.ga.Finish(Completion{Latency: crowdWork}, now)...)
			cr.ga.TakeExpired()
		}
		perMs := 0.8 * 13 / float64(crowdWork/timer.Millisecond)
		if now%timer.Instant(10*timer.Second) > timer.Instant(7*timer.Second) {
			perMs *= burst
		}
		for _, ca := range cr.returns[int64(now/ms)] {
			cr.arrive(ca, now)
		}
		if arrivals.Float64() < perMs {
			cr.callers++
			cr.arrive(caller{fingerprint: uint64(cr.callers), firstAt: now}, now)
		}
	}
	return cr
}

// TestReturns guards against refused callers that return when there is no room for them, and
// against a schedule that costs those that are served, also if callers don't keep to it.
func TestReturns(t *testing.T) {
	for _, burst := range []float64{1, 1.7, 3} {
		for _, isImpatient := range []bool{false, true} {
			today, kept := playCrowd(t, burst, false, isImpatient), playCrowd(t, burst, true, isImpatient)
			for _, cr := range []*crowd{today, kept} {
				t.Logf("burst %.1f impatient %v: callers %d sent %d served %d late %d refused again %d", burst, isImpatient, cr.callers, cr.sent, cr.served, cr.late, cr.again)
			}
			is := is.New(t)
			is.True(float64(kept.served) >= 0.98*float64(today.served))
			if burst == 1 {
				is.Equal([]int{kept.sent, kept.served, kept.late}, []int{today.sent, today.served, today.late})
			}
			if !isImpatient {
				is.Equal(kept.again, 0)
			}
		}
	}
}
