package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"cornellanding.example/core/balancer"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/retrier"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/wire/peerproto"
)

var (
	// errCrossed is an answer to another request.
	errCrossed = errors.New("forwarder: the answer belongs to another request")
	// errOwnerGone is an owner that lost its lease while a call waited for it.
	errOwnerGone = errors.New("forwarder: the owner is gone")
)

// choices balances over the backend servers of shared services.
type choices struct {
	mu       sync.Mutex
	services map[string]*choice
}

type choice struct {
	mu         sync.Mutex
	ba         *balancer.Balancer
	routes     map[string]*routeLatency
	mapVersion uint64
}

// routeLatency is what is known of one route's latency at a service.
type routeLatency struct {
	he *retrier.Hedger
	// mean is smoothed, 0 if nothing is known.
	mean float64
}

const (
	// meanWeight smooths a route's mean latency.
	meanWeight = 0.05
	// usualLatency stands for a route's mean latency in the balancer, so that
	// routes of different length can be compared.
	usualLatency = 100 * timer.Millisecond
	// maxLatencyRoutes bounds the routes whose latency is kept.
	maxLatencyRoutes = 4096
)

func newChoices() *choices { return &choices{services: map[string]*choice{}} }

func (cs *choices) of(tb *placer.Table, dataCentre string) *choice {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	ch := cs.services[tb.Map.Service]
	if ch == nil {
		ch = &choice{ba: balancer.New(), routes: map[string]*routeLatency{}}
		cs.services[tb.Map.Service] = ch
	}
	ch.follow(tb.Map, dataCentre)
	return ch
}

// follow takes the members of a new map.
func (ch *choice) follow(ma placer.Map, dataCentre string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ma.Version <= ch.mapVersion {
		return
	}
	ch.mapVersion = ma.Version
	var incarnations, near []uint64
	for _, me := range ma.Members {
		if me.Weight == 0 {
			continue
		}
		incarnations = append(incarnations, me.Incarnation)
		if me.DataCentre == dataCentre {
			near = append(near, me.Incarnation)
		}
	}
	ch.ba.SetMembers(incarnations)
	ch.ba.SetPreferred(near)
}

func (ch *choice) choose(excluded []uint64) (uint64, bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	incarnation, ok := ch.ba.Choose(rand.Uint64(), excluded)
	if ok {
		ch.ba.Start(incarnation)
	}
	return incarnation, ok
}

// finish takes an attempt that ended by itself.
func (ch *choice) finish(incarnation uint64, route string, latency timer.Span, isFailed bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.ba.Finish(incarnation, ch.compare(route, latency), isFailed)
	rl := ch.of(route)
	rl.he.Observe(latency)
	if rl.mean == 0 {
		rl.mean = float64(latency)
	}
	rl.mean += meanWeight * (float64(latency) - rl.mean)
}

// compare returns a latency as if the route took the usual time.
func (ch *choice) compare(route string, latency timer.Span) timer.Span {
	mean := ch.of(route).mean
	if mean == 0 {
		return usualLatency
	}
	return timer.Span(float64(latency) / mean * float64(usualLatency))
}

// of returns what is known of a route. The lock must be held.
func (ch *choice) of(route string) *routeLatency {
	rl := ch.routes[route]
	if rl == nil {
		rl = &routeLatency{he: retrier.NewHedger()}
		if len(ch.routes) < maxLatencyRoutes {
			ch.routes[route] = rl
		}
	}
	return rl
}

// cancel takes an attempt that was given up, as the loser of a hedge is.
func (ch *choice) cancel(incarnation uint64, route string, elapsed timer.Span) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.ba.Cancel(incarnation, ch.compare(route, elapsed))
}

func (ch *choice) delay(route string) time.Duration {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.of(route).he.Delay().Duration()
}

// dispatchShared tries servers until one answers. A late answer to an
// idempotent request is hedged with a second copy; the first answer wins and
// the other copy is cancelled.
func (fo *Forwarder) dispatchShared(ctx context.Context, ca *call) (*peerproto.ForwardResponse, *Refusal) {
	var tried []uint64
	last := attempt{}
	delay := minRetryDelay
	for {
		tb := fo.so.View().Tables[ca.service]
		if tb != nil {
			ch := fo.choices.of(tb, fo.dataCentre)
			at, isChosen := fo.tryShared(ctx, ca, tb, ch, &tried)
			last = latest(last, at)
			switch {
			case !isChosen:
				tried = nil
			case isFinal(last, ca):
				return fo.conclude(last)
			case last.outcome() == gatekeeper.OutcomeUnknown && !(ca.idempotent && fo.mayRepeat(ca)):
				return fo.resolve(ctx, ca, last)
			default:
				ca.mayHaveRun = ca.mayHaveRun || last.outcome() == gatekeeper.OutcomeUnknown
			}
		}
		if !fo.mayTryAgain(ca, last, delay) || !timer.Sleep(ctx, delay) {
			return nil, notInTime(ctx, last)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// tryShared runs one attempt, hedged if the route allows it.
func (fo *Forwarder) tryShared(ctx context.Context, ca *call, tb *placer.Table, ch *choice, tried *[]uint64) (attempt, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attempt, 2)
	if !fo.launch(ctx, ca, tb, ch, tried, results) {
		return attempt{}, false
	}
	if !ca.idempotent {
		at := <-results
		ca.arrivals += at.arrivals
		return at, true
	}
	hedge := time.NewTimer(ch.delay(ca.route.Name))
	defer hedge.Stop()
	underWay := 1
	for {
		select {
		case at := <-results:
			underWay--
			ca.arrivals += at.arrivals
			isUnknown := at.outcome() == gatekeeper.OutcomeUnknown
			ca.mayHaveRun = ca.mayHaveRun || isUnknown
			// A refusal of one copy says nothing of the other.
			if underWay == 0 || at.outcome() == gatekeeper.OutcomeAnswered {
				ca.mayHaveRun = ca.mayHaveRun || underWay > 0
				return at, true
			}
		case <-hedge.C:
			if !fo.isHedging {
				continue
			}
			if fo.mayRepeat(ca) && fo.launch(ctx, ca, tb, ch, tried, results) {
				underWay++
			}
		}
	}
}

// launch sends one copy to a server that has not been tried.
func (fo *Forwarder) launch(ctx context.Context, ca *call, tb *placer.Table, ch *choice, tried *[]uint64, results chan<- attempt) bool {
	incarnation, ok := ch.choose(*tried)
	if !ok {
		return false
	}
	*tried = append(*tried, incarnation)
	to, ok := tb.Map.ByIncarnation(incarnation)
	if !ok {
		ch.cancel(incarnation, ca.route.Name, 0)
		return false
	}
	copied := ca.copy()
	ca.attempts++
	ca.servedBy = to.BackendServer
	before := copied.arrivals
	go func() {
		startedAt := fo.so.Now()
		at := fo.try(ctx, copied, to)
		at.arrivals = copied.arrivals - before
		latency := fo.so.Now().Sub(startedAt)
		if at.err != nil && ctx.Err() != nil {
			ch.cancel(incarnation, copied.route.Name, latency)
		} else {
			ch.finish(incarnation, copied.route.Name, latency, at.outcome() != gatekeeper.OutcomeAnswered)
		}
		results <- at
	}()
	return true
}
