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
	// maxGrantWait is the longest wait of a request for a token. It is longer than
	// the takeover of a failed home takes.
	maxGrantWait = 1500 * time.Millisecond
	// grantWaitShare is the share of the remaining time that a request may wait for
	// a token.
	grantWaitShare = 0.75
	// maxRateWait is the longest wait for the next token in a workspace that has
	// used up its rate. A longer queue would make every request late.
	maxRateWait = 50 * timer.Millisecond
	// grantTimeout bounds one call to a home.
	grantTimeout = 200 * time.Millisecond
	// sweepInterval is how often the tokens of idle workspaces are returned.
	sweepInterval = 100 * time.Millisecond
	// grantRetry is the delay before the next call to a home after a failed one.
	grantRetry = 10 * timer.Millisecond
	// maxWaiters bounds the requests of one workspace that wait for tokens at this
	// instance. Any more are refused at once.
	maxWaiters = 64
)

// shares holds the tokens granted to this entry instance, by workspace.
type shares struct {
	so    Source
	homes HomeClient
	entry uint64

	mu         sync.Mutex
	workspaces map[string]*share
}

// share holds the tokens of one workspace. Changed is closed and replaced when the
// home has answered or is found unresponsive.
type share struct {
	mu       sync.Mutex
	sh       *limiter.Share
	fallback limiter.FallbackBucket
	changed  chan struct{}
	waiters  atomic.Int32
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

// take uses one token. If there is none, it waits for the answer of the home, and
// for the next token if that is soon. Otherwise it returns a refusal.
func (ss *shares) take(ctx context.Context, workspace string) *Refusal {
	sh := ss.of(workspace)
	maxWait := maxGrantWait
	if deadline, ok := ctx.Deadline(); ok {
		maxWait = min(maxWait, time.Duration(grantWaitShare*float64(time.Until(deadline))))
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	next := ss.takeOnce(sh, workspace, true)
	if next.isTaken {
		return nil
	}
	if !sh.addWaiter() {
		return next.refusal()
	}
	defer sh.waiters.Add(-1)
	// overAt is when the home first reported that the rate is used up. The wait for
	// its answer until then does not count towards maxRateWait.
	overAt := timer.Instant(0)
	for {
		now := ss.so.Now()
		if next.isOverRate() && overAt == 0 {
			overAt = now
		}
		if next.isOverRate() && now.Sub(overAt)+next.retryAfter > maxRateWait || !next.await(ctx) {
			break
		}
		next = ss.takeOnce(sh, workspace, false)
		if next.isTaken {
			return nil
		}
	}
	return next.refusal()
}

// addWaiter counts a waiting request, or returns false if too many are waiting.
func (sh *share) addWaiter() bool {
	if sh.waiters.Add(1) > maxWaiters {
		sh.waiters.Add(-1)
		return false
	}
	return true
}

// takeResult is the result of one attempt to take a token.
type takeResult struct {
	isTaken bool
	// changed is closed when the state of the pending request to the home changes,
	// and nil if none is pending.
	changed    <-chan struct{}
	retryAfter timer.Span
	// isHomeUnresponsive means that the home has not answered.
	isHomeUnresponsive bool
	// isAtCap means that other entries hold as many tokens as may be outstanding.
	isAtCap bool
}

// isOverRate reports whether the workspace has used up its rate and burst.
func (tr takeResult) isOverRate() bool {
	return tr.changed == nil && !tr.isHomeUnresponsive && !tr.isAtCap
}

// refusal returns the refusal for a workspace over its rate, or for limits that are
// unavailable because the home did not answer or could not grant.
func (tr takeResult) refusal() *Refusal {
	retryAfter := max(tr.retryAfter, timer.Millisecond)
	if !tr.isOverRate() {
		return &Refusal{
			Status: http.StatusServiceUnavailable, Code: CodeLimitsUnavailable,
			Reason: "the home of the workspace's limits did not answer or had lent all", RetryAfter: retryAfter,
		}
	}
	return &Refusal{
		Status: http.StatusTooManyRequests, Code: CodeRateExceeded,
		Reason: "the workspace's rate and burst are used up", RetryAfter: retryAfter,
	}
}

// await waits until another attempt can succeed. It returns false if the context
// ends, or would end, before that.
func (tr takeResult) await(ctx context.Context) bool {
	if tr.changed == nil {
		deadline, _ := ctx.Deadline()
		return time.Until(deadline) > tr.retryAfter.Duration() && timer.Sleep(ctx, tr.retryAfter.Duration())
	}
	select {
	case <-tr.changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// takeOnce takes a token if there is one, and sends a request to the home if tokens
// are low. While the home is unresponsive it takes from the fallback bucket. IsFirst
// is false for further attempts of a waiting request.
func (ss *shares) takeOnce(sh *share, workspace string, isFirst bool) takeResult {
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
		lr := sh.sh.NewRequest(now)
		go ss.requestGrant(sh, workspace, lr)
	}
	if !isTaken && sh.sh.IsHomeUnresponsive() {
		isTaken = ss.takeFallback(sh, workspace, now)
	}
	switch {
	case isTaken:
		return takeResult{isTaken: true}
	case sh.sh.IsRequestPending():
		return takeResult{changed: sh.changed, retryAfter: defaultRetryAfter, isHomeUnresponsive: sh.sh.IsHomeUnresponsive()}
	default:
		return takeResult{
			retryAfter: max(timer.Millisecond, sh.sh.RetryAt().Sub(now)), isHomeUnresponsive: sh.sh.IsHomeUnresponsive(), isAtCap: sh.sh.IsAtCap(),
		}
	}
}

// takeFallback takes a token from the fallback bucket.
func (ss *shares) takeFallback(sh *share, workspace string, now timer.Instant) bool {
	vi := ss.so.View()
	return sh.fallback.Take(vi.WorkspacesByName[workspace].Rate, entriesOf(vi), now)
}

// sweep periodically returns the tokens of idle shares until ctx ends.
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
			go ss.requestGrant(sh, workspace, sh.sh.ReturnAll(now))
		}
		sh.mu.Unlock()
	}
}

// requestGrant sends a request to the home and processes the answer, or the lack of
// one after maxGrantWait.
func (ss *shares) requestGrant(sh *share, workspace string, lr limiter.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), maxGrantWait)
	defer cancel()
	rq := &peerproto.GrantRequest{
		Workspace: workspace, Waiting: lr.Waiting, Want: lr.Want, From: lr.Entry, Sequence: lr.Sequence,
	}
	for _, us := range lr.Uses {
		rq.Uses = append(rq.Uses, &peerproto.GrantUse{Sequence: us.Sequence, Tokens: us.Tokens, Returned: us.Returned})
	}
	answer, ok := ss.callHome(ctx, sh, workspace, rq)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	now := ss.so.Now()
	if ok {
		sh.sh.Receive(lr, toGrant(answer), now)
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

// callHome calls the home until it answers, and returns false if ctx ends before. A
// home that may have granted the request does not grant it again, as it ignores
// repeated sequence numbers.
func (ss *shares) callHome(ctx context.Context, sh *share, workspace string, rq *peerproto.GrantRequest) (*peerproto.GrantResponse, bool) {
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
		sh.markHomeUnresponsive()
		if !timer.Sleep(ctx, grantRetry.Duration()) {
			return nil, false
		}
	}
}

// markHomeUnresponsive lets waiting requests use the fallback bucket while the home
// is being found.
func (sh *share) markHomeUnresponsive() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.sh.MarkHomeUnresponsive()
	close(sh.changed)
	sh.changed = make(chan struct{})
}

// home returns the member that owns the workspace's bucket.
func (ss *shares) home(workspace string) (placer.Member, bool) {
	tb := ss.so.View().Tables[folder.LimitsService]
	if tb == nil {
		return placer.Member{}, false
	}
	return tb.Owner(tb.Partition(workspace))
}
