// Package granter serves the token buckets of the workspaces whose home is this
// instance.
//
// The home of a bucket is the owner of the workspace's partition of the limits
// service, under the same lease as the owners of keys. Package limiter describes the
// rules.
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

// notHomeRetry is the retry delay in answers with NotHome.
const notHomeRetry = 10 * timer.Millisecond

// home is the token bucket of one workspace, with the epoch of its partition at its
// set-up and the limits applied to it.
type home struct {
	epoch uint64
	rate  float64
	burst float64
	ho    *limiter.Home
}

// Granter holds the token buckets owned by this instance. It is safe for concurrent
// use.
type Granter struct {
	pu    *publisher.Publisher
	mu    sync.Mutex
	homes map[string]*home
	// handedOver holds buckets received from former homes until their first use.
	handedOver map[string]handedOverBucket
	ownerships map[uint32]ownership
}

// ownership is the period in which this instance owns a partition of the limits
// service.
type ownership struct {
	epoch uint64
	// since is the time from which on no other home has granted tokens of buckets
	// that were not handed over.
	since timer.Instant
	// isFirst means that the partition had no owner before, and losses is the number
	// of owners that failed within the term of a grant.
	isFirst bool
	losses  int
}

// New returns a Granter without buckets.
func New(pu *publisher.Publisher) *Granter {
	return &Granter{pu: pu, homes: map[string]*home{}, handedOver: map[string]handedOverBucket{}, ownerships: map[uint32]ownership{}}
}

// Grant answers an entry instance's request for tokens. NotHome is set in the answer if
// this instance does not own the workspace's bucket under a valid lease, the
// workspace is not known, or its limits are invalid.
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
	ow := gr.ownerships[pt]
	if ow.epoch != epoch {
		return notHome
	}
	ho := gr.homeOf(ws, ow, now)
	if ho == nil {
		return notHome
	}
	grant := ho.Grant(toRequest(rq), now)
	return &peerproto.GrantResponse{Immediate: grant.Immediate, Tokens: grant.Tokens, RetryAfter: int64(grant.RetryAfter), Held: grant.IsAtCap}
}

func toRequest(rq *peerproto.GrantRequest) limiter.Request {
	lr := limiter.Request{Entry: rq.GetFrom(), Sequence: rq.GetSequence(), Waiting: rq.GetWaiting(), Want: rq.GetWant()}
	for _, us := range rq.GetUses() {
		lr.Uses = append(lr.Uses, limiter.Usage{Sequence: us.GetSequence(), Tokens: us.GetTokens(), Returned: us.GetReturned()})
	}
	return lr
}

// homeOf returns the workspace's bucket, or nil if its limits are invalid. A bucket
// that was not handed over starts full if the partition had no owner before.
// Otherwise it starts empty, as if its former home had granted all of its tokens.
func (gr *Granter) homeOf(ws cataloguer.Workspace, ow ownership, now timer.Instant) *limiter.Home {
	present := gr.homes[ws.Name]
	if present != nil && present.epoch == ow.epoch {
		if present.rate != ws.Rate || present.burst != ws.Burst {
			present.ho.SetLimits(ws.Rate, ws.Burst, now)
			present.rate, present.burst = ws.Rate, ws.Burst
		}
		return present.ho
	}
	opts := []limiter.HomeOption{limiter.HomeRate(ws.Rate), limiter.HomeBurst(ws.Burst), limiter.HomeSince(ow.since), limiter.HomeLosses(ow.losses)}
	former, ok := gr.handedOver[ws.Name]
	switch {
	case ok && former.epoch == ow.epoch:
		opts = append(opts, limiter.HomeState(former.state))
	case ow.isFirst:
		opts = append(opts, limiter.HomeFull())
	}
	ho, err := limiter.NewHome(opts...)
	if err != nil {
		return nil
	}
	delete(gr.handedOver, ws.Name)
	gr.homes[ws.Name] = &home{epoch: ow.epoch, rate: ws.Rate, burst: ws.Burst, ho: ho}
	return ho
}
