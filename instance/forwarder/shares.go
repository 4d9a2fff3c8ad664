package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cornellanding.example/core/folder"
	"cornellanding.example/core/limiter"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/timer"
	"cornellanding.example/wire/peerproto"
)

const (
	// grantPatience is how long a request waits for its workspace's bucket, at
	// the most: longer than the loss of a bucket's home takes.
	grantPatience = 1500 * time.Millisecond
	// patienceShare is the share of the request's time left that it waits.
	patienceShare = 0.75
	// ratePatience is how long a request of a workspace above its rate waits for
	// the next token. Longer queues would make every request late.
	ratePatience  = 50 * timer.Millisecond
	grantTimeout  = 200 * time.Millisecond
	sweepInterval = 100 * time.Millisecond
	grantRetry    = 10 * timer.Millisecond
	// maxWaiters bounds the requests of one workspace that wait for tokens.
	maxWaiters = 64
)

// shares holds this entry's part of each workspace's bucket.
type shares struct {
	so    Source
	homes HomeClient
	entry uint64

	mu         sync.Mutex
	workspaces map[string]*share
}

// share is one workspace's part. Changed is closed and replaced when tokens or
// a refusal arrive.
type share struct {
	mu      sync.Mutex
	sh      *limiter.Share
	spare   limiter.FallbackBucket
	changed chan struct{}
	waiters atomic.Int32
}

func newShares(so Source, homes HomeClient) *shares {
	return &shares{so: so, homes: homes, entry: rand.Uint64(), workspaces: map[string]*share{}}
}

func (ss *shares) of(workspace string) *share {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	sh := ss.workspaces[workspace]
	if sh == nil {
		sh = &share{sh: limiter.NewShare(ss.entry), changed: make(chan struct{})}
		ss.workspaces[workspace] = sh
	}
	return sh
}

// take uses one token. It waits for the home's answer if none is at hand, and
// for the next token if the home has one soon. Otherwise it returns a refusal.
func (ss *shares) take(ctx context.Context, workspace string) *Refusal {
	sh := ss.of(workspace)
	patience := grantPatience
	if deadline, ok := ctx.Deadline(); ok {
		patience = min(patience, time.Duration(patienceShare*float64(time.Until(deadline))))
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	next := ss.takeOnce(sh, workspace, true)
	if next.isTaken {
		return nil
	}
	if !sh.enter() {
		return next.refusal()
	}
	defer sh.waiters.Add(-1)
	// overAt is when the home first said that the rate is used up. The wait for
	// its answer before that is no wait for the rate.
	overAt := timer.Instant(0)
	for {
		now := ss.so.Now()
		if next.isOverRate() && overAt == 0 {
			overAt = now
		}
		if next.isOverRate() && now.Sub(overAt)+next.retryAfter > ratePatience || !next.await(ctx) {
			break
		}
		next = ss.takeOnce(sh, workspace, false)
		if next.isTaken {
			return nil
		}
	}
	return next.refusal()
}

// enter counts a waiting request, or reports false if too many wait.
func (sh *share) enter() bool {
	if sh.waiters.Add(1) > maxWaiters {
		sh.waiters.Add(-1)
		return false
	}
	return true
}

// step is the result of one try to take a token.
type step struct {
	isTaken bool
	// changed is closed when the home has answered, if it was asked.
	changed    <-chan struct{}
	retryAfter timer.Span
	// isHomeSilent says that the home did not answer.
	isHomeSilent bool
	// isHeld says that other entries hold the tokens.
	isHeld bool
}

// isOverRate reports whether the workspace has used up its rate and burst.
func (st step) isOverRate() bool { return st.changed == nil && !st.isHomeSilent && !st.isHeld }

// refusal tells a workspace above its limits from a home without an answer.
func (st step) refusal() *Refusal {
	retryAfter := max(st.retryAfter, timer.Millisecond)
	if !st.isOverRate() {
		return &Refusal{
			Status: http.StatusServiceUnavailable, Code: CodeNoLimits,
			Reason: "the home of the workspace's limits did not answer or had lent all", RetryAfter: retryAfter,
		}
	}
	return &Refusal{
		Status: http.StatusTooManyRequests, Code: CodeRate,
		Reason: "the workspace's rate and burst are used up", RetryAfter: retryAfter,
	}
}

// await waits until another try makes sense. It reports false if the context
// ends before that.
func (st step) await(ctx context.Context) bool {
	if st.changed == nil {
		deadline, _ := ctx.Deadline()
		return time.Until(deadline) > st.retryAfter.Duration() && timer.Sleep(ctx, st.retryAfter.Duration())
	}
	select {
	case <-st.changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// takeOnce uses a token if there is one, and asks the home if tokens run low.
func (ss *shares) takeOnce(sh *share, workspace string, isFirst bool) step {
	now := ss.so.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	isTaken := false
	if isFirst {
		isTaken = sh.sh.Take(now)
	} else {
		isTaken = sh.sh.Retake(now)
	}
	if sh.sh.NeedsRequest(now) {
		ask := sh.sh.NewRequest(now)
		go ss.ask(sh, workspace, ask)
	}
	if !isTaken && sh.sh.IsHomeUnresponsive() {
		isTaken = ss.takeSpare(sh, workspace, now)
	}
	switch {
	case isTaken:
		return step{isTaken: true}
	case sh.sh.IsRequestPending():
		return step{changed: sh.changed, retryAfter: comeBack, isHomeSilent: sh.sh.IsHomeUnresponsive()}
	default:
		return step{
			retryAfter: max(timer.Millisecond, sh.sh.RetryAt().Sub(now)), isHomeSilent: sh.sh.IsHomeUnresponsive(), isHeld: sh.sh.IsAtCap(),
		}
	}
}

// takeSpare uses this entry's own small part of the rate.
func (ss *shares) takeSpare(sh *share, workspace string, now timer.Instant) bool {
	vi := ss.so.View()
	return sh.spare.Take(vi.WorkspacesByName[workspace].Rate, entriesOf(vi), now)
}

// sweep lets idle shares give their tokens up until ctx ends.
func (ss *shares) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			ss.sweepOnce()
		case <-ctx.Done():
			return
		}
	}
}

func (ss *shares) sweepOnce() {
	now := ss.so.Now()
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for workspace, sh := range ss.workspaces {
		sh.mu.Lock()
		if sh.sh.IsIdle(now) {
			go ss.ask(sh, workspace, sh.sh.ReturnAll(now))
		}
		sh.mu.Unlock()
	}
}

// ask asks the home, again until it is found or the time is up.
func (ss *shares) ask(sh *share, workspace string, ask limiter.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), grantPatience)
	defer cancel()
	rq := &peerproto.GrantRequest{
		Workspace: workspace, Waiting: ask.Waiting, Want: ask.Want, From: ask.Entry, Sequence: ask.Sequence,
	}
	for _, us := range ask.Uses {
		rq.Uses = append(rq.Uses, &peerproto.GrantUse{Sequence: us.Sequence, Tokens: us.Tokens, Returned: us.Returned})
	}
	answer, ok := ss.askHome(ctx, sh, workspace, rq)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	now := ss.so.Now()
	if ok {
		sh.sh.Receive(ask, toGrant(answer), now)
	} else {
		sh.sh.Fail(now.Add(grantRetry))
	}
	close(sh.changed)
	sh.changed = make(chan struct{})
}

func toGrant(answer *peerproto.GrantResponse) limiter.Grant {
	return limiter.Grant{
		Immediate: answer.GetImmediate(), Tokens: answer.GetTokens(), RetryAfter: timer.Span(answer.GetRetryAfter()), IsAtCap: answer.GetHeld(),
	}
}

// askHome returns false if no home answered. An ask without an answer is not
// repeated at the same home: it may have been granted.
func (ss *shares) askHome(ctx context.Context, sh *share, workspace string, rq *peerproto.GrantRequest) (*peerproto.GrantResponse, bool) {
	for {
		home, ok := ss.home(workspace)
		if ok {
			rq.Home = home.Incarnation
			callCtx, cancel := context.WithTimeout(ctx, grantTimeout)
			answer, err := ss.homes.Grant(callCtx, home.Address, rq)
			cancel()
			if err == nil && !answer.GetNotHome() {
				return answer, true
			}
		}
		sh.suspect()
		if !timer.Sleep(ctx, grantRetry.Duration()) {
			return nil, false
		}
	}
}

// suspect lets waiting requests use the spare part while the home is sought.
func (sh *share) suspect() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.sh.MarkHomeUnresponsive()
	close(sh.changed)
	sh.changed = make(chan struct{})
}

func (ss *shares) home(workspace string) (placer.Member, bool) {
	tb := ss.so.View().Tables[folder.LimitsService]
	if tb == nil {
		return placer.Member{}, false
	}
	return tb.Owner(tb.Partition(workspace))
}
