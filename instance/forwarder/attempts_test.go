package forwarder

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/peerproto"
	"github.com/matryer/is"
)

// addMembers adds members to the fleet's shared service.
func (fl *fleet) addMembers(addresses ...string) {
	vi := fl.pu.View()
	ma := vi.Tables["pages"].Map.NextVersion(0)
	for i, address := range addresses {
		ma = ma.WithMember(placer.Member{BackendServer: address, Incarnation: uint64(10 + i), Address: address, Weight: placer.FullWeight})
	}
	tables := map[string]*placer.Table{}
	for name, tb := range vi.Tables {
		tables[name] = tb
	}
	tables["pages"] = placer.NewTable(ma)
	fl.pu.Publish(publisher.NewView(vi.Config, tables))
}

// TestHedgedRetryStaysWithinMaxAttempts: the first copy's answer is unusable and the
// retry is slow enough to be hedged.
func TestHedgedRetryStaysWithinMaxAttempts(t *testing.T) {
	is := is.New(t)
	fo, fl := newFleet(t, WithRetryBudget(1, 100))
	fl.addMembers("c", "d")
	var copies atomic.Int64
	fl.set(func(ctx context.Context, _ *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		if copies.Add(1) == 1 {
			return &peerproto.ForwardResponse{Outcome: gatekeeper.OutcomeUnknown, Code: gatekeeper.CodeLost}, true, nil
		}
		select {
		case <-time.After(300 * time.Millisecond):
			return answered("late")
		case <-ctx.Done():
			return nil, true, ctx.Err()
		}
	}, "a", "b", "c", "d")
	answer, rf := fo.Do(context.Background(), toPath("/page/x"))
	is.Equal(rf, nil)
	is.Equal(string(answer.Body), "late")
	is.Equal(copies.Load(), int64(2)) // the route's maximum attempts
}

// TestSingleAttemptIsNotHedged: the only copy that the route allows is slow.
func TestSingleAttemptIsNotHedged(t *testing.T) {
	is := is.New(t)
	fo, fl := newFleet(t, WithRetryBudget(1, 100))
	vi := fl.pu.View()
	for i := range vi.Config.Catalogue.Routes {
		vi.Config.Catalogue.Routes[i].MaxAttempts = 1
	}
	fl.pu.Publish(publisher.NewView(vi.Config, vi.Tables))
	var copies atomic.Int64
	fl.set(func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		copies.Add(1)
		time.Sleep(300 * time.Millisecond)
		return answered("late")
	}, "a", "b")
	_, rf := fo.Do(context.Background(), toPath("/page/x"))
	is.Equal(rf, nil)
	is.Equal(copies.Load(), int64(1))
}

// TestCallsOfRepeatsStayWithinTheRetryBudget: a part of the calls are made by repeats at
// the calling service, and every call is worth a retry.
func TestCallsOfRepeatsStayWithinTheRetryBudget(t *testing.T) {
	is := is.New(t)
	const (
		calls       = 400
		ratio       = 0.2
		reserve     = 20
		repeatShare = 0.15
	)
	fo, fl := newFleet(t, WithRetryBudget(ratio, reserve), WithoutHedging(), WithCallerRepeats(func() float64 { return repeatShare }))
	fl.addMembers("c", "d")
	var arrivals, inherited atomic.Int64
	fl.set(func(_ context.Context, rq *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		arrivals.Add(1)
		if rq.GetRepeatShare() == repeatShare {
			inherited.Add(1)
		}
		return &peerproto.ForwardResponse{Outcome: gatekeeper.OutcomeUnknown, Code: gatekeeper.CodeLost}, true, nil
	}, "a", "b", "c", "d")
	rq := toPath("/page/sub/x")
	rq.Authorization = ""
	for range calls {
		_, rf := fo.Do(context.Background(), rq)
		is.True(rf.MayHaveRun())
	}
	is.Equal(inherited.Load(), int64(calls)) // first copies pass the caller's share on
	repeats := float64(arrivals.Load()-calls) + calls*repeatShare
	is.True(repeats <= calls*ratio+reserve)
	is.True(arrivals.Load() > calls) // the rest of the budget is used
}

// TestLimitedServerLeavesRequestToOthers: one server of a shared service takes no more
// requests, and then none does.
func TestLimitedServerLeavesRequestToOthers(t *testing.T) {
	is := is.New(t)
	fo, fl := newFleet(t, WithRetryBudget(1, 100))
	limited := func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		return &peerproto.ForwardResponse{Outcome: gatekeeper.OutcomeNotRun, Code: admitter.CodeServerLimit, RetryAfter: int64(timer.Second)}, true, nil
	}
	fl.set(limited, "a")
	fl.set(func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		return answered("ok")
	}, "b")
	for range 20 {
		_, rf := fo.Do(context.Background(), toPath("/page/x"))
		is.Equal(rf, nil)
	}
	fl.set(limited, "b")
	startedAt := time.Now()
	_, rf := fo.Do(context.Background(), toPath("/page/x"))
	is.True(time.Since(startedAt) < 100*time.Millisecond) // refused at once
	is.Equal([]any{rf.Status, rf.Code, rf.MayHaveRun(), rf.RetryAfter}, []any{http.StatusServiceUnavailable, admitter.CodeServerLimit, false, timer.Second})
}

// TestFullLinkIsAvoidedOnce guards against requests that are refused although another server
// could answer them, and against attempts at every server when all links are full.
func TestFullLinkIsAvoidedOnce(t *testing.T) {
	is := is.New(t)
	fo, fl := newFleet(t, WithRetryBudget(1, 100))
	fl.addMembers("c", "d")
	full := func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		return &peerproto.ForwardResponse{Outcome: gatekeeper.OutcomeNotRun, Code: admitter.CodeLinkFull, RetryAfter: int64(timer.Second)}, true, nil
	}
	fl.set(full, "a", "b", "c", "d")
	_, rf := fo.Do(context.Background(), toPath("/page/x"))
	is.Equal([]any{rf.Status, rf.Code, rf.MayHaveRun(), rf.RetryAfter}, []any{http.StatusServiceUnavailable, admitter.CodeLinkFull, false, timer.Second})
	is.Equal(len(fl.seen), 2)
	fl.set(func(context.Context, *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		return answered("ok")
	}, "b", "c", "d")
	for range 20 {
		_, rf = fo.Do(context.Background(), toPath("/page/x"))
		is.Equal(rf, nil)
	}
}

// TestCopiesTellThatTheyWereRefused: the gate needs to know that the answer to a copy could
// be the refusal of an earlier one.
func TestCopiesTellThatTheyWereRefused(t *testing.T) {
	is := is.New(t)
	fo, fl := newFleet(t, WithRetryBudget(1, 100))
	fl.set(func(_ context.Context, rq *peerproto.ForwardRequest) (*peerproto.ForwardResponse, bool, error) {
		if rq.GetRefused() {
			return answered("ok")
		}
		return refused(gatekeeper.CodeShed)
	}, "a", "b")
	for _, path := range []string{"/key/x", "/order/x", "/page/x"} {
		_, rf := fo.Do(context.Background(), toPath(path))
		is.Equal(rf, nil)
	}
	is.Equal(len(fl.seen), 6)
}
