package registrar

import (
	"slices"

	"cornellanding.example/core/timer"
)

const (
	// rejectionBackoff separates grants of a partition after the server rejected one.
	rejectionBackoff = 200 * timer.Millisecond
	// failureBackoff separates orders for a partition after one without an answer.
	failureBackoff = 50 * timer.Millisecond
	// renewAhead makes grants that are due soon part of the current batch.
	renewAhead = 100 * timer.Millisecond
)

// OrderTimeout sets how long a call to the server may take, and makes the registrar
// issue orders. Without it, holds are granted by replies to heartbeats.
//
// A hold granted by an order counts from the arrival of its call. A call without an
// answer may be applied seconds later, also after the hold was released, but its time
// still counts from its arrival. The registrar therefore adds the time-out to the hold,
// and does not consider a partition free before every unanswered grant of it would have
// ended.
func OrderTimeout(timeout timer.Span) Option {
	return func(re *Registrar) { re.orderTimeout = timeout }
}

// UsesOrders reports whether holds are granted and released by orders.
func (re *Registrar) UsesOrders() bool { return re.orderTimeout > 0 }

// Order is a call to the backend server that grants or releases a hold.
type Order struct {
	Hold      Hold
	IsRelease bool
	// HoldTerm is how long a granted hold lasts, counted from the arrival of the call.
	HoldTerm timer.Span
	// SentAt is when the order was issued.
	SentAt timer.Instant
	// Partitions are the partitions of the hold's range.
	Partitions []uint32
	// restarts is the server's restart count when the order was issued.
	restarts uint64
	// endsBy is an upper bound for the end of a granted hold.
	endsBy timer.Instant
}

// HeldUntil returns until when the server holds the order's range for certain after it
// applied a grant.
func (or Order) HeldUntil() timer.Instant { return or.SentAt.Add(or.HoldTerm) }

// OrderResult is the result of an order.
type OrderResult int

const (
	// OrderUnanswered means that the order may be applied now or later.
	OrderUnanswered OrderResult = iota
	// OrderApplied means that the server applied the order.
	OrderApplied
	// OrderRejected means that the server has seen a higher fencing token.
	OrderRejected
	// OrderNotApplied means that the server did not receive the order or refused it.
	OrderNotApplied
)

// String returns the result's name for logs.
func (or OrderResult) String() string {
	switch or {
	case OrderApplied:
		return "applied"
	case OrderRejected:
		return "rejected"
	case OrderNotApplied:
		return "notApplied"
	default:
		return "unanswered"
	}
}

// orderState is what the orders for one partition have achieved.
type orderState struct {
	// grantedUntil is until when the server holds the partition for certain, and
	// renewAt when the grant is to be repeated.
	grantedUntil timer.Instant
	renewAt      timer.Instant
	// unansweredUntil is an upper bound for the end of the holds of grants without an
	// answer. A release does not void these.
	unansweredUntil timer.Instant
	// inFlight is set while an order awaits its result, and isGranting if that order is
	// a grant.
	inFlight   bool
	isGranting bool
	// retryAt is the earliest time of the next order.
	retryAt timer.Instant
	// rejections counts the grants rejected under the present token's map version.
	rejections uint64
}

// DueOrders returns the orders that are due at now: grants of the wanted partitions,
// and releases of partitions that the server may hold and that are not wanted. The
// result of each must be reported with ApplyResult. Holds end before the instance's
// lease at leaseUntil.
func (re *Registrar) DueOrders(wanted []WantedPartition, leaseUntil, now timer.Instant) []Order {
	if !re.isKnown || re.isDown {
		return nil
	}
	isWanted := make([]bool, len(re.partitions))
	for _, wa := range wanted {
		isWanted[wa.Partition] = true
	}
	var orders []Order
	for pt := range re.partitions {
		ps := &re.partitions[pt]
		isDue := !isWanted[pt] && ps.token != 0 && now.Before(ps.heldUntil) && !ps.order.inFlight && !now.Before(ps.order.retryAt)
		if isDue {
			orders = append(orders, re.release(uint32(pt), now))
		}
	}
	term := min(re.maxHold, leaseUntil.Sub(now)-re.orderTimeout)
	term -= term/driftShare + deliveryMargin
	if term < minHold {
		return orders
	}
	return re.appendGrants(orders, wanted, term, now)
}

func (re *Registrar) release(pt uint32, now timer.Instant) Order {
	ps := &re.partitions[pt]
	ps.order.inFlight, ps.order.isGranting = true, false
	ps.order.grantedUntil, ps.order.renewAt = 0, 0
	return Order{
		Hold: Hold{Range: re.ranges[pt], FencingToken: ps.token}, IsRelease: true,
		SentAt: now, Partitions: []uint32{pt}, restarts: re.restarts,
	}
}

// appendGrants appends the due grants of the wanted partitions. Adjacent ranges with
// the same token and no hand-over string share one.
func (re *Registrar) appendGrants(orders []Order, wanted []WantedPartition, term timer.Span, now timer.Instant) []Order {
	wanted = slices.Clone(wanted)
	slices.SortFunc(wanted, func(le, ri WantedPartition) int { return int(le.Partition) - int(ri.Partition) })
	first := len(orders)
	endsBy := now.Add(re.orderTimeout + term + term/driftShare)
	for _, wa := range wanted {
		ps := &re.partitions[wa.Partition]
		if ps.order.inFlight || now.Add(renewAhead).Before(ps.order.renewAt) || now.Before(ps.order.retryAt) {
			continue
		}
		ho := re.orderedHold(wa, now)
		ps.order.inFlight, ps.order.isGranting = true, true
		ps.epoch = max(ps.epoch, ho.FencingToken>>restartBits)
		if last := len(orders) - 1; last >= first && joins(orders[last].Hold, ho) {
			orders[last].Hold.Range.To = ho.Range.To
			orders[last].Partitions = append(orders[last].Partitions, wa.Partition)
			continue
		}
		orders = append(orders, Order{
			Hold: ho, HoldTerm: term, SentAt: now, Partitions: []uint32{wa.Partition},
			restarts: re.restarts, endsBy: endsBy,
		})
	}
	return orders
}

// joins reports whether one grant may cover both holds.
func joins(le, ri Hold) bool {
	return le.Handover == "" && ri.Handover == "" && le.FencingToken == ri.FencingToken && le.Range.To+1 == ri.Range.From
}

// orderedHold returns the hold to grant for a wanted partition: the present one if the
// server still holds it for certain, otherwise one under a token for the wanted epoch.
func (re *Registrar) orderedHold(wa WantedPartition, now timer.Instant) Hold {
	ps := &re.partitions[wa.Partition]
	ho := Hold{Range: re.ranges[wa.Partition], FencingToken: ps.token, Handover: ps.receivedHandover}
	if ps.token == 0 || !now.Before(ps.order.grantedUntil) {
		epoch := max(wa.Epoch, ps.epoch)
		ho.FencingToken = max(ps.token, epoch<<restartBits|min(re.restarts+ps.order.rejections, maxRestarts))
	}
	return ho
}

// ApplyResult records the result of an order. Handover is the server's hand-over string
// after a release.
func (re *Registrar) ApplyResult(or Order, result OrderResult, handover string, now timer.Instant) {
	isSameStart := or.restarts == re.restarts && !re.isDown
	for _, pt := range or.Partitions {
		ps := &re.partitions[pt]
		ps.order.inFlight = false
		switch {
		case or.IsRelease && result == OrderApplied && isSameStart:
			ps.heldUntil, ps.token, ps.receivedHandover = 0, 0, ""
			ps.releasedHandover = handover
		case or.IsRelease:
			ps.order.retryAt = now.Add(failureBackoff)
		case result == OrderApplied && isSameStart:
			re.recordGrant(ps, or)
		case result == OrderApplied || result == OrderUnanswered:
			ps.order.unansweredUntil = max(ps.order.unansweredUntil, or.endsBy)
			ps.order.retryAt = now.Add(failureBackoff)
		case result == OrderRejected:
			ps.order.rejections++
			ps.order.grantedUntil = 0
			ps.order.retryAt = now.Add(rejectionBackoff)
		default:
			ps.order.retryAt = now.Add(failureBackoff)
		}
	}
}

// recordGrant records that the server applied a grant. The hand-over string stays,
// since a renewal repeats the call.
func (re *Registrar) recordGrant(ps *partitionState, or Order) {
	ps.heldUntil = max(ps.heldUntil, or.endsBy)
	ps.token = or.Hold.FencingToken
	ps.releasedHandover = ""
	ps.order.rejections = 0
	ps.order.grantedUntil = max(ps.order.grantedUntil, or.HeldUntil())
	ps.order.renewAt = or.SentAt.Add(or.HoldTerm / 2)
}

// isOrderFree reports whether no order can make the server hold the partition at now.
func (ps *partitionState) isOrderFree(now timer.Instant) bool {
	isGranting := ps.order.inFlight && ps.order.isGranting
	return !isGranting && !now.Before(ps.order.unansweredUntil) && !now.Before(ps.heldUntil)
}
