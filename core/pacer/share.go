package pacer

import (
	"math"

	"cornellanding.example/core/timer"
)

const (
	// FullShare is the share of keys of a server of usual speed. A share is in units of
	// 1/FullShare of it, from minShare to maxShare: a wrong measurement never takes all
	// keys from a server or gives it more than twice the usual number.
	FullShare = 8
	minShare  = 3
	maxShare  = 14
	// A share changes only if it is off by at least minChange units and by
	// minRelativeChange of itself. The median of a few seconds is off by some 5 in 100.
	minChange         = 1.0
	minRelativeChange = 0.12
	// shareInterval separates changes of a share. Each is a write to the table and moves
	// keys.
	shareInterval = 10 * timer.Second
	// A server whose load is above highLoad gets a lower share, by a factor from
	// minLoadFactor to 1, and gets it back while its load is below lowLoad. Between both
	// lies what a changed share leads to, so that it doesn't change back.
	highLoad      = 1.3
	lowLoad       = 0.65
	minLoadFactor = 0.5
	// Above urgentLoad, a server does not wait longer than loadInterval.
	urgentLoad = 1.5
	// loadInterval is how long after a change the load shows its effect: the fold and the
	// moves take some 2 s, and the demand is the median over demandSpans. It doubles with
	// each change for the load, up to maxLoadInterval: with 45 servers, each change shifts
	// the loads of others, and there was no end of changes.
	loadInterval    = 14 * timer.Second
	maxLoadInterval = 8 * loadInterval
)

// Share is the share of keys of one server, by its speed and its load.
type Share struct {
	units     uint32
	changedAt timer.Instant
	isChanged bool
	// loadFactor scales the share by speed. It is 1 unless the load was high.
	loadFactor float64
	// loadInterval is as in the constant.
	loadInterval timer.Span
}

// NewShare returns a full share.
func NewShare() *Share { return &Share{units: FullShare, loadFactor: 1, loadInterval: loadInterval} }

// Units returns the share in units of 1/FullShare.
func (sh *Share) Units() uint32 { return sh.units }

// Update returns the share for the standing of the server at now.
func (sh *Share) Update(st Standing, now timer.Instant) uint32 {
	factor := sh.loadFactorFor(st.Load, now)
	wanted := min(max(st.Speed*factor*FullShare, minShare), maxShare)
	off := math.Abs(wanted - float64(sh.units))
	isSmall := off < max(minChange, minRelativeChange*float64(sh.units))
	isEarly := sh.isChanged && now.Before(sh.changedAt.Add(shareInterval))
	if isSmall || isEarly {
		return sh.units
	}
	if factor != sh.loadFactor {
		sh.loadInterval = min(2*sh.loadInterval, maxLoadInterval)
	}
	sh.units, sh.changedAt, sh.isChanged, sh.loadFactor = uint32(math.Round(wanted)), now, true, factor
	return sh.units
}

// loadFactorFor returns the factor for the load under the present share.
func (sh *Share) loadFactorFor(load float64, now timer.Instant) float64 {
	interval := sh.loadInterval
	if load > urgentLoad {
		interval = loadInterval
	}
	isStale := sh.isChanged && now.Before(sh.changedAt.Add(interval))
	if load == 0 || isStale || load >= lowLoad && load <= highLoad {
		return sh.loadFactor
	}
	return min(max(sh.loadFactor/load, minLoadFactor), 1)
}
