// Package granter serves the homes of workspaces' token buckets.
//
// A bucket's home is the owner of the workspace's partition of the limits
// service, under the same lease as any key.
//
// # Usage
//
//	gr := granter.New(pu)
//	answer := gr.Grant(request)
package granter

import (
	"sync"

	"cornellanding.example/core/folder"
	"cornellanding.example/core/limiter"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/publisher"
	"cornellanding.example/wire/peerproto"
)

// notHomeRetry is when an entry asks again that asked the wrong instance.
const notHomeRetry = 10 * timer.Millisecond

// home is a bucket as obtained at one map version.
type home struct {
	epoch uint64
	rate  float64
	burst float64
	ho    *limiter.Home
}

// Granter holds the buckets whose home this instance is.
type Granter struct {
	pu    *publisher.Publisher
	mu    sync.Mutex
	homes map[string]*home
}

// New returns a granter without buckets.
func New(pu *publisher.Publisher) *Granter {
	return &Granter{pu: pu, homes: map[string]*home{}}
}

// Grant answers an entry instance.
func (gr *Granter) Grant(rq *peerproto.GrantRequest) *peerproto.GrantResponse {
	notHome := &peerproto.GrantResponse{NotHome: true, RetryAfter: int64(notHomeRetry)}
	vi := gr.pu.View()
	ws, isKnown := vi.Limits[rq.GetWorkspace()]
	tb := vi.Tables[folder.LimitsService]
	if !isKnown || tb == nil || rq.GetHome() != gr.pu.Self().Incarnation {
		return notHome
	}
	pt := tb.Partition(rq.GetWorkspace())
	epoch, ok := gr.pu.Enter(folder.LimitsService, pt)
	if !ok {
		return notHome
	}
	defer gr.pu.Leave(folder.LimitsService, pt)
	gr.mu.Lock()
	defer gr.mu.Unlock()
	now := gr.pu.Now()
	ho := gr.homeOf(ws.Name, ws.Rate, ws.Burst, epoch, now)
	if ho == nil {
		return notHome
	}
	grant := ho.Grant(toAsk(rq), now)
	return &peerproto.GrantResponse{Tokens: grant.Tokens, RetryAfter: int64(grant.RetryAfter)}
}

func toAsk(rq *peerproto.GrantRequest) limiter.Ask {
	ask := limiter.Ask{Entry: rq.GetFrom(), Sequence: rq.GetSequence(), Want: rq.GetWant()}
	for _, us := range rq.GetUses() {
		ask.Uses = append(ask.Uses, limiter.Use{Sequence: us.GetSequence(), Tokens: us.GetTokens()})
	}
	return ask
}

// homeOf returns the workspace's bucket. One obtained anew starts empty.
func (gr *Granter) homeOf(workspace string, rate, burst float64, epoch uint64, now timer.Instant) *limiter.Home {
	present := gr.homes[workspace]
	if present != nil && present.epoch == epoch {
		if present.rate != rate || present.burst != burst {
			present.ho.SetLimits(rate, burst, now)
			present.rate, present.burst = rate, burst
		}
		return present.ho
	}
	ho, err := limiter.NewHome(limiter.HomeRate(rate), limiter.HomeBurst(burst), limiter.HomeSince(now))
	if err != nil {
		return nil
	}
	gr.homes[workspace] = &home{epoch: epoch, rate: rate, burst: burst, ho: ho}
	return ho
}
