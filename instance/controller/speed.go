package controller

import (
	"math/rand/v2"

	"cornellanding.example/core/cataloguer"
	"cornellanding.example/core/pacer"
	"cornellanding.example/core/placer"
	"cornellanding.example/core/registrar"
	"cornellanding.example/core/timer"
)

const (
	// speedInterval separates writes of this instance's row for a changed speed, also
	// those that fail.
	speedInterval = 10 * timer.Second
	// minSpeedFoldDelay, and speedFoldPerMember as the range, per member, of a random part,
	// give the delay before a changed speed is folded into the maps. All servers are
	// measured at the same time after a start, and one fold covers the rows of many: each
	// map costs every instance processor time. Without the fixed part, 113 changes in a
	// fleet of 78 made a map every half second.
	minSpeedFoldDelay  = 4 * timer.Second
	speedFoldPerMember = 30 * timer.Millisecond
	maxSpeedFoldDelay  = 2 * timer.Second
	// coldLead is how long before its server is warm an instance takes its keys: writing
	// the row, the fold and the moves take some 0.5 s.
	coldLead = 600 * timer.Millisecond
	// maxHeldBack bounds how long a server that says that it is cold gets no weight.
	maxHeldBack = 10 * timer.Second
	// enoughOthers is the share of a service's members that must have a weight for a cold
	// one to get none.
	enoughOthers = 0.6
)

// updateShare updates the share of keys from the standing of the backend server.
func (co *Controller) updateShare(now timer.Instant) {
	if !co.isSplitByKey() || co.re == nil || co.re.State(now) != registrar.Ready {
		return
	}
	if st, ok := co.standing(); ok {
		former := co.share.Units()
		if units := co.share.Update(st, now); units != former {
			co.lo.Info("share of keys changes with the server's speed", "from", former, "to", units, "of", pacer.FullShare, "speed", st.Speed, "load", st.Load)
		}
	}
}

// isSplitByKey reports whether shares follow the standing and this instance's service has keys
// with owners.
func (co *Controller) isSplitByKey() bool {
	return co.standing != nil && co.pu.View().Services[co.self.Service].Class == cataloguer.Exclusive
}

// wantedSpeed returns the speed that the row is to give: 0 for a full share that no row
// has differed from.
func (co *Controller) wantedSpeed() uint32 {
	units := co.share.Units() * placer.FullSpeed / pacer.FullShare
	if units == placer.FullSpeed && co.writtenSpeed == 0 {
		return 0
	}
	return units
}

// isSpeedDue reports whether this instance's row is to be written for a changed speed. It
// is not while the map's record of changes is long: the record is dropped only once the map
// has rested, and would grow without bound under a steady stream of changes.
func (co *Controller) isSpeedDue(now timer.Instant) bool {
	if co.stopping != nil || !co.isSplitByKey() || co.wantedSpeed() == co.writtenSpeed || now.Before(co.nextSpeedAt) {
		return false
	}
	tb := co.ds.tables[co.self.Service]
	return tb == nil || len(tb.Map.Changes) < co.settleChanges+len(tb.Map.Members)
}

// speedFoldDelay returns the delay before a changed speed is folded into the maps.
func (co *Controller) speedFoldDelay() timer.Span {
	spread := min(speedFoldPerMember*timer.Span(1+len(co.ds.members())), maxSpeedFoldDelay)
	return minSpeedFoldDelay + timer.Span(rand.Int64N(int64(spread)))
}

// isHeldBack reports whether this instance takes no keys or, for a shared service, no
// requests yet, since its server has just started and is cold: it would refuse most of the
// requests, which the other members serve meanwhile. An instance that has a weight keeps
// it, and one takes it at once if too few others have any.
func (co *Controller) isHeldBack(now timer.Instant) bool {
	if co.re == nil || co.standing == nil {
		return false
	}
	hb, heardAt := co.re.LatestHeartbeat()
	isCold := hb.ColdRemaining > 0 && heardAt.Add(hb.ColdRemaining).Sub(now) > coldLead
	tb := co.ds.tables[co.self.Service]
	if !isCold || tb == nil {
		return false
	}
	if own, ok := tb.Map.ByIncarnation(co.self.Incarnation); ok && own.Weight > 0 {
		return false
	}
	weighted := 0
	for _, me := range tb.Map.Members {
		if me.Weight > 0 {
			weighted++
		}
	}
	if float64(weighted) < enoughOthers*float64(len(tb.Map.Members)) || weighted == 0 {
		return false
	}
	if co.heldBackRun != hb.ID {
		co.heldBackRun, co.heldBackUntil = hb.ID, now.Add(maxHeldBack)
		co.lo.Info("requests held back until the backend server is warm", "server", hb.ID, "coldFor", hb.ColdRemaining.Duration().String(), "others", weighted)
	}
	return now.Before(co.heldBackUntil)
}
