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

	"cornellanding.example/core/cataloguer"
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
	// handed holds buckets as handed over, until their first use.
	handed  map[string]handed
	tenures map[uint32]tenure
}

// tenure is a partition of the limits service as obtained.
type tenure struct {
	epoch uint64
	// since is from when nobody has granted anything of what was not handed over.
	since   timer.Instant
	isFirst bool
	losses  int
}

// New returns a granter without buckets.
func New(pu *publisher.Publisher) *Granter {
	return &Granter{pu: pu, homes: map[string]*home{}, handed: map[string]handed{}, tenures: map[uint32]tenure{}}
}

// Grant answers an entry instance.
func (gr *Granter) Grant(rq *peerproto.GrantRequest) *peerproto.GrantResponse {
	notHome := &peerproto.GrantResponse{NotHome: true, RetryAfter: int64(notHomeRetry)}
	vi := gr.pu.View()
	ws, isKnown := vi.WorkspacesByName[rq.GetWorkspace()]
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
	te := gr.tenures[pt]
	if te.epoch != epoch {
		return notHome
	}
	ho := gr.homeOf(ws, te, now)
	if ho == nil {
		return notHome
	}
	grant := ho.Grant(toAsk(rq), now)
	return &peerproto.GrantResponse{Immediate: grant.Immediate, Tokens: grant.Tokens, RetryAfter: int64(grant.RetryAfter), Held: grant.IsAtCap}
}

func toAsk(rq *peerproto.GrantRequest) limiter.Request {
	ask := limiter.Request{Entry: rq.GetFrom(), Sequence: rq.GetSequence(), Waiting: rq.GetWaiting(), Want: rq.GetWant()}
	for _, us := range rq.GetUses() {
		ask.Uses = append(ask.Uses, limiter.Use{Sequence: us.GetSequence(), Tokens: us.GetTokens(), Returned: us.GetReturned()})
	}
	return ask
}

// homeOf returns the workspace's bucket. One that was not handed over was empty
// at the worst when its former home ended, and full if it never had one.
func (gr *Granter) homeOf(ws cataloguer.Workspace, te tenure, now timer.Instant) *limiter.Home {
	present := gr.homes[ws.Name]
	if present != nil && present.epoch == te.epoch {
		if present.rate != ws.Rate || present.burst != ws.Burst {
			present.ho.SetLimits(ws.Rate, ws.Burst, now)
			present.rate, present.burst = ws.Rate, ws.Burst
		}
		return present.ho
	}
	opts := []limiter.HomeOption{limiter.HomeRate(ws.Rate), limiter.HomeBurst(ws.Burst), limiter.HomeSince(te.since), limiter.HomeLosses(te.losses)}
	former, ok := gr.handed[ws.Name]
	switch {
	case ok && former.epoch == te.epoch:
		opts = append(opts, limiter.HomeState(former.state))
	case te.isFirst:
		opts = append(opts, limiter.HomeFull())
	}
	ho, err := limiter.NewHome(opts...)
	if err != nil {
		return nil
	}
	delete(gr.handed, ws.Name)
	gr.homes[ws.Name] = &home{epoch: te.epoch, rate: ws.Rate, burst: ws.Burst, ho: ho}
	return ho
}
