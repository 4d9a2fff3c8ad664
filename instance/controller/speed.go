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
	// speedFoldPerMember is the range, per member, of the random delay before a changed
	// speed is folded into the maps. All servers are measured at the same time after a
	// start, and one fold covers the rows of many.
	speedFoldPerMember = 30 * timer.Millisecond
	maxSpeedFoldDelay  = 2 * timer.Second
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

// isSpeedDue reports whether this instance's row is to be written for a changed speed.
func (co *Controller) isSpeedDue(now timer.Instant) bool {
	return co.stopping == nil && co.isSplitByKey() && co.wantedSpeed() != co.writtenSpeed && !now.Before(co.nextSpeedAt)
}

// speedFoldDelay returns a random delay before a changed speed is folded into the maps.
func (co *Controller) speedFoldDelay() timer.Span {
	spread := min(speedFoldPerMember*timer.Span(1+len(co.ds.members())), maxSpeedFoldDelay)
	return 1 + timer.Span(rand.Int64N(int64(spread)))
}
