package gatekeeper

import (
	"context"
	"strconv"
	"testing"
	"time"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// fakeLink is a link with a rate in bytes a second and a backlog in bytes.
type fakeLink struct {
	rate    int64
	backlog int64
}

// Finish implements Link.
func (fl *fakeLink) Finish(bytes int64, now timer.Instant) timer.Instant {
	return now.Add(timer.Span((fl.backlog + bytes) * int64(timer.Second) / fl.rate))
}

// TestLinkFull guards against requests that get a slot although the link can't send their
// responses in time, against refusals of small responses, and against reservations that
// outlive their requests.
func TestLinkFull(t *testing.T) {
	is := is.New(t)
	li := &fakeLink{rate: 1 << 20}
	ga := newGate(t)
	WithLink(li)(ga.Gatekeeper)
	ids := 0
	send := func(route string) (outcome uint32, code string, retryAfter time.Duration) {
		ids++
		rq := request(strconv.Itoa(ids), "")
		rq.Route, rq.Remaining = route, int64(time.Second)
		answer := ga.Forward(context.Background(), rq)
		return answer.GetOutcome(), answer.GetCode(), time.Duration(answer.GetRetryAfter())
	}
	ga.link.ad.Observe("download", 100<<10)
	outcome, _, _ := send("download")
	is.Equal(outcome, uint32(OutcomeAnswered))
	li.backlog = 2 << 20
	ran := ga.calls.Load()
	outcome, code, retryAfter := send("download")
	is.Equal([]any{outcome, code, retryAfter}, []any{uint32(OutcomeNotRun), admitter.CodeLinkFull, 2 * time.Second})
	is.Equal(ga.calls.Load(), ran) // it has not run
	outcome, _, _ = send("small")
	is.Equal(outcome, uint32(OutcomeAnswered))
	li.backlog = 0
	for range 50 { // refused if reservations were left
		outcome, _, _ = send("download")
		is.Equal(outcome, uint32(OutcomeAnswered))
	}
}

// TestLinkFullAtTheStart guards against a slot for a request whose response can't be sent
// any more when its turn comes.
func TestLinkFullAtTheStart(t *testing.T) {
	is := is.New(t)
	li := &fakeLink{rate: 1 << 20}
	ga := newGate(t)
	WithLink(li)(ga.Gatekeeper)
	ga.link.ad.Observe("order", 100<<10)
	jo := &job{rq: request("r", ""), deadlineAt: ga.pu.Now().Add(timer.Second)}
	is.Equal(ga.arriveOnLink(jo, jo.admissionRequest()), nil)
	li.backlog = 2 << 20
	refusal := ga.startOnLink(jo)
	is.Equal([]any{refusal.GetOutcome(), refusal.GetCode()}, []any{uint32(OutcomeNotRun), admitter.CodeLinkFull})
	li.backlog = 0
	is.Equal(ga.startOnLink(jo), nil)
	ga.leaveLink(jo)
	is.Equal(jo.onLink.IsHeld(), false)
}
