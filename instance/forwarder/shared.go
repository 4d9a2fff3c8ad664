package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cornellanding.example/core/admitter"
	"cornellanding.example/core/balancer"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/retrier"
	"cornellanding.example/core/timer"
	"cornellanding.example/instance/gatekeeper"
	"cornellanding.example/wire/peerproto"
)

var (
	// errMismatchedAnswer reports an answer to another request.
	errMismatchedAnswer = errors.New("forwarder: the answer belongs to another request")
	// errOwnerLeft reports an owner that left the partition map while a request
	// waited for its answer.
	errOwnerLeft = errors.New("forwarder: the owner is gone")
)

// balancers holds the load balancing state of all shared services.
type balancers struct {
	mu       sync.Mutex
	services map[string]*serviceBalancer
}

// serviceBalancer balances over the backend servers of one shared service.
type serviceBalancer struct {
	mu         sync.Mutex
	ba         *balancer.Balancer
	routes     map[string]*routeLatency
	mapVersion uint64
}

// routeLatency is the observed latency of one route of a service.
type routeLatency struct {
	he *retrier.Hedger
	// mean is the smoothed latency in nanoseconds, 0 before the first sample.
	mean float64
	// typical is the smoothed run time that gates report, in microseconds, 0 before the
	// first report.
	typical float64
}

const (
	// meanWeight is the weight of a new sample in a route's mean latency.
	meanWeight = 0.05
	// referenceLatency is the latency to which the balancer's samples are scaled, so
	// that fast and slow routes are comparable.
	referenceLatency = 100 * timer.Millisecond
	// maxLatencyRoutes bounds the routes of a service whose latency is recorded.
	// Further routes are treated as new ones.
	maxLatencyRoutes = 4096
)

func newBalancers() *balancers { return &balancers{services: map[string]*serviceBalancer{}} }

func (bs *balancers) of(tb *placer.Table, dataCentre string) *serviceBalancer {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	sb := bs.services[tb.Map.Service]
	if sb == nil {
		sb = &serviceBalancer{ba: balancer.New(), routes: map[string]*routeLatency{}}
		bs.services[tb.Map.Service] = sb
	}
	sb.follow(tb.Map, dataCentre)
	return sb
}

// follow applies the members of a new partition map.
func (sb *serviceBalancer) follow(ma placer.Map, dataCentre string) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	if ma.Version <= sb.mapVersion {
		return
	}
	sb.mapVersion = ma.Version
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
	sb.ba.SetMembers(incarnations)
	sb.ba.SetPreferred(near)
}

func (sb *serviceBalancer) choose(excluded []uint64, now timer.Instant) (uint64, bool) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	incarnation, ok := sb.ba.ChooseAt(rand.Uint64(), excluded, now)
	if ok {
		sb.ba.Start(incarnation)
	}
	return incarnation, ok
}

// report records what an answer says of the server's queue and speed.
func (sb *serviceBalancer) report(incarnation uint64, route string, answer *peerproto.ForwardResponse, now timer.Instant) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	lo := balancer.Load{Running: int(answer.GetRunning()), Waiting: int(answer.GetWaiting())}
	if typical := float64(answer.GetTypicalRun()); typical > 0 && answer.GetOutcome() == gatekeeper.OutcomeAnswered {
		rl := sb.of(route)
		if rl.typical == 0 {
			rl.typical = typical
		}
		rl.typical += meanWeight * (typical - rl.typical)
		lo.Speed = rl.typical / typical
	}
	sb.ba.Report(incarnation, lo, now)
}

// finish records an attempt that ended without being cancelled.
func (sb *serviceBalancer) finish(incarnation uint64, route string, latency timer.Span, isFailed bool) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	sb.ba.Finish(incarnation, sb.normalize(route, latency), isFailed)
	rl := sb.of(route)
	rl.he.Observe(latency)
	if rl.mean == 0 {
		rl.mean = float64(latency)
	}
	rl.mean += meanWeight * (float64(latency) - rl.mean)
}

// normalize scales a latency by the ratio of referenceLatency to the route's mean.
func (sb *serviceBalancer) normalize(route string, latency timer.Span) timer.Span {
	mean := sb.of(route).mean
	if mean == 0 {
		return referenceLatency
	}
	return timer.Span(float64(latency) / mean * float64(referenceLatency))
}

// of returns the latency of a route. The lock must be held.
func (sb *serviceBalancer) of(route string) *routeLatency {
	rl := sb.routes[route]
	if rl == nil {
		rl = &routeLatency{he: retrier.NewHedger()}
		if len(sb.routes) < maxLatencyRoutes {
			sb.routes[route] = rl
		}
	}
	return rl
}

// cancel records an attempt that was cancelled, such as the slower copy of a hedge.
func (sb *serviceBalancer) cancel(incarnation uint64, route string, elapsed timer.Span) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	sb.ba.Cancel(incarnation, sb.normalize(route, elapsed))
}

// delay returns how long to wait for an answer on the route before hedging.
func (sb *serviceBalancer) delay(route string) time.Duration {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.of(route).he.Delay().Duration()
}

// dispatchShared tries servers until one answers. An idempotent request without an
// answer in time is hedged with a second copy. The first answer wins, and the other
// copy is cancelled.
func (fo *Forwarder) dispatchShared(ctx context.Context, ca *call) (*peerproto.ForwardResponse, *Refusal) {
	var tried []uint64
	last := attempt{}
	delay := minRetryDelay
	for {
		tb := fo.so.View().Tables[ca.service]
		if tb != nil {
			sb := fo.balancers.of(tb, fo.dataCentre)
			at, isChosen := fo.tryShared(ctx, ca, tb, sb, &tried)
			last = latest(last, at)
			switch {
			case !isChosen:
				tried = nil
			case isOwnLimit(at) && isAnyUntried(tb, tried):
			case isFullVM(at) && !ca.wasVMFull && isAnyUntried(tb, tried):
				// Only one other is tried: where all are busy, each try adds to their work.
				ca.wasVMFull = true
			case isFinal(last, ca):
				return fo.conclude(last)
			case last.outcome() == gatekeeper.OutcomeUnknown && !(ca.idempotent && fo.mayRepeat(ca, repeatUnknown)):
				return fo.resolve(ctx, ca, last)
			default:
				ca.mayHaveRun = ca.mayHaveRun || last.outcome() == gatekeeper.OutcomeUnknown
			}
		}
		if !fo.mayTryAgain(ca, last, delay) || !timer.Sleep(ctx, delay) {
			return nil, refuseNotServed(ctx, last)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// isFullVM reports whether an attempt was refused for a limit of that VM alone, while its
// server may have slots.
func isFullVM(at attempt) bool {
	return at.answer.GetCode() == admitter.CodeLinkFull || at.answer.GetCode() == admitter.CodeServerMemory || at.answer.GetCode() == gatekeeper.CodeNoMemory
}

// isOwnLimit reports whether a server refused for a limit that others may not have reached.
func isOwnLimit(at attempt) bool {
	code := at.answer.GetCode()
	return code == admitter.CodeServerLimit || code == admitter.CodeExposure
}

// isAnyUntried reports whether a member that may get requests has not been tried yet.
func isAnyUntried(tb *placer.Table, tried []uint64) bool {
	return slices.ContainsFunc(tb.Map.Members, func(me placer.Member) bool {
		return me.Weight > 0 && !slices.Contains(tried, me.Incarnation)
	})
}

// tryShared runs one attempt, with a hedge if the request is idempotent. It returns
// false if all servers have been tried.
func (fo *Forwarder) tryShared(ctx context.Context, ca *call, tb *placer.Table, sb *serviceBalancer, tried *[]uint64) (attempt, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attempt, 2)
	if !fo.launch(ctx, ca, tb, sb, tried, results) {
		return attempt{}, false
	}
	if !ca.idempotent {
		return <-results, true
	}
	hedge := time.NewTimer(sb.delay(ca.route.Name))
	defer hedge.Stop()
	underWay := 1
	for {
		select {
		case at := <-results:
			underWay--
			isUnknown := at.outcome() == gatekeeper.OutcomeUnknown
			ca.mayHaveRun = ca.mayHaveRun || isUnknown
			// The refusal of one copy does not affect the other.
			if underWay == 0 || at.outcome() == gatekeeper.OutcomeAnswered {
				ca.mayHaveRun = ca.mayHaveRun || underWay > 0
				return at, true
			}
		case <-hedge.C:
			if !fo.isHedging {
				continue
			}
			if fo.mayRepeat(ca, repeatHedge) && fo.launch(ctx, ca, tb, sb, tried, results) {
				underWay++
			}
		}
	}
}

// launch sends one copy to a server that has not been tried yet. It returns false if
// there is none.
func (fo *Forwarder) launch(ctx context.Context, ca *call, tb *placer.Table, sb *serviceBalancer, tried *[]uint64, results chan<- attempt) bool {
	incarnation, ok := sb.choose(*tried, fo.so.Now())
	if !ok {
		return false
	}
	*tried = append(*tried, incarnation)
	to, ok := tb.Map.ByIncarnation(incarnation)
	if !ok {
		sb.cancel(incarnation, ca.route.Name, 0)
		return false
	}
	send, route := fo.prepare(ca, to), ca.route.Name
	go func() {
		startedAt := fo.so.Now()
		at := send(ctx)
		now := fo.so.Now()
		latency := now.Sub(startedAt)
		if fo.usesReports && at.err == nil && !at.isTooLate {
			sb.report(incarnation, route, at.answer, now)
		}
		if at.err != nil && ctx.Err() != nil {
			sb.cancel(incarnation, route, latency)
		} else {
			sb.finish(incarnation, route, latency, at.outcome() != gatekeeper.OutcomeAnswered)
		}
		results <- at
	}()
	return true
}
