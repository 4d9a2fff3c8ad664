package controller

import (
	"context"
	"time"

	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
)

const (
	// OrderTimeout bounds a call that grants a hold. A hold is that much shorter than
	// the lease allows, since its call may arrive late.
	OrderTimeout = 500 * timer.Millisecond
	// grantWorkers and releaseWorkers bound the concurrent calls to the backend
	// server. A release is answered only when the work on its keys has ended.
	grantWorkers   = 4
	releaseWorkers = 16
	// grantTimeout bounds one call of a batch. It is well below OrderTimeout, so that a
	// call without an answer does not stop the rest of its batch.
	grantTimeout = 200 * timer.Millisecond
	// releaseTimeout bounds a release. The hold itself ends sooner, since a released
	// range is not renewed.
	releaseTimeout = 5 * time.Second
)

// KeyGranter calls the backend server to grant and release key ranges, where the server
// does not take them from the replies to its heartbeats.
type KeyGranter interface {
	// Grant grants a hold for a term that counts from the arrival of the call. Once ctx
	// has ended, no call may arrive that has not arrived before.
	Grant(ctx context.Context, ho registrar.Hold, term timer.Span) registrar.OrderResult
	// Release stops new work on a range, waits until the running work has ended, and
	// returns the hand-over string for the next holder.
	Release(ctx context.Context, ho registrar.Hold) (handover string, result registrar.OrderResult)
}

// orderDone carries the result of an order.
type orderDone struct {
	order    registrar.Order
	result   registrar.OrderResult
	handover string
}

// ordersDone carries the results of a batch of orders.
type ordersDone struct {
	results []orderDone
}

func (ordersDone) isEvent() {}

// usesOrders reports whether the backend server holds keys by calls to it.
func (co *Controller) usesOrders() bool {
	return co.re != nil && co.granter != nil && co.re.UsesOrders()
}

// tickForOrders makes a tick due at once if a change of the service's partitions may
// need orders.
func (co *Controller) tickForOrders(ow *ownership) {
	if co.usesOrders() && co.tracksHolds(ow.service) {
		co.nextTickAt = min(co.nextTickAt, co.pu.Now())
	}
}

// issueOrders calls the backend server for all grants and releases that are due.
func (co *Controller) issueOrders(now timer.Instant) {
	if !co.usesOrders() {
		return
	}
	ow := co.ownerships[co.self.Service]
	if ow == nil {
		return
	}
	var grants, releases []registrar.Order
	for _, or := range co.re.DueOrders(co.wantedPartitions(ow), co.ho.Deadline(), now) {
		if or.IsRelease {
			releases = append(releases, or)
		} else {
			grants = append(grants, or)
		}
	}
	for _, batch := range split(releases, releaseWorkers) {
		co.spawn(func(ctx context.Context) event { return co.release(ctx, batch) })
	}
	for _, batch := range split(grants, grantWorkers) {
		co.spawn(func(ctx context.Context) event { return co.grant(ctx, batch) })
	}
}

// split divides orders into at most count batches of about the same size.
func split(orders []registrar.Order, count int) [][]registrar.Order {
	batches := make([][]registrar.Order, min(count, len(orders)))
	for i, or := range orders {
		batches[i%len(batches)] = append(batches[i%len(batches)], or)
	}
	return batches
}

// wantedPartitions lists the partitions that the backend server is to hold.
func (co *Controller) wantedPartitions(ow *ownership) []registrar.WantedPartition {
	var wanted []registrar.WantedPartition
	if !co.isOwnVersionAdmitted() {
		return nil
	}
	for _, pt := range co.ds.tables[ow.service].OwnedBy(co.self.Incarnation) {
		if epoch := co.pu.Epoch(ow.service, pt); epoch != 0 {
			wanted = append(wanted, registrar.WantedPartition{Partition: pt, Epoch: epoch})
		}
	}
	return wanted
}

// grant makes the calls of a batch one after the other. None may arrive later than the
// time-out after the batch was issued, since the ends of the holds depend on it.
func (co *Controller) grant(ctx context.Context, batch []registrar.Order) event {
	var done ordersDone
	for _, or := range batch {
		left := min(grantTimeout, or.SentAt.Add(OrderTimeout).Sub(co.pu.Now()))
		result := registrar.OrderNotApplied
		if left > 0 {
			callCtx, cancel := context.WithTimeout(ctx, left.Duration())
			result = co.granter.Grant(callCtx, or.Hold, or.HoldTerm)
			cancel()
		}
		done.results = append(done.results, orderDone{order: or, result: result})
	}
	return done
}

func (co *Controller) release(ctx context.Context, batch []registrar.Order) event {
	var done ordersDone
	for _, or := range batch {
		callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		handover, result := co.granter.Release(callCtx, or.Hold)
		cancel()
		done.results = append(done.results, orderDone{order: or, result: result, handover: handover})
	}
	return done
}

func (co *Controller) onOrdersDone(ev ordersDone, now timer.Instant) {
	ow := co.ownerships[co.self.Service]
	failed := map[registrar.OrderResult]int{}
	var first orderDone
	for _, od := range ev.results {
		co.re.ApplyResult(od.order, od.result, od.handover, now)
		switch {
		case od.result != registrar.OrderApplied:
			if len(failed) == 0 {
				first = od
			}
			failed[od.result]++
		case !od.order.IsRelease:
			co.publishHolds(ow, od.order, now)
		}
	}
	if len(failed) > 0 {
		co.lo.Warn("orders to backend server not applied", "orders", len(ev.results), "isRelease", first.order.IsRelease,
			"unanswered", failed[registrar.OrderUnanswered], "rejected", failed[registrar.OrderRejected], "notApplied", failed[registrar.OrderNotApplied],
			"firstResult", first.result.String(), "from", first.order.Hold.Range.From, "to", first.order.Hold.Range.To, "token", first.order.Hold.FencingToken)
	}
	co.tickForOrders(ow)
}

// withdrawOrderedHolds stops requests for all partitions until they are granted again,
// since the backend server ended or restarted.
func (co *Controller) withdrawOrderedHolds() {
	ow := co.ownerships[co.self.Service]
	if !co.usesOrders() || ow == nil {
		return
	}
	for pt := range co.ds.tables[ow.service].Map.Partitions {
		co.pu.SetHeldUntil(ow.service, pt, 0)
	}
	co.tickForOrders(ow)
}

// publishHolds makes the partitions of an applied grant available to requests if the
// instance still owns them.
func (co *Controller) publishHolds(ow *ownership, or registrar.Order, now timer.Instant) {
	for _, pt := range or.Partitions {
		if co.pu.Epoch(ow.service, pt) != 0 && co.re.MayHold(pt, now) {
			co.pu.SetHeldUntil(ow.service, pt, or.HeldUntil().Add(-holdMargin))
		}
	}
}
