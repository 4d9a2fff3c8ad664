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
)

// Share is the share of keys of one server, by its speed.
type Share struct {
	units     uint32
	changedAt timer.Instant
	isChanged bool
}

// NewShare returns a full share.
func NewShare() *Share { return &Share{units: FullShare} }

// Units returns the share in units of 1/FullShare.
func (sh *Share) Units() uint32 { return sh.units }

// Update returns the share for a measured speed, relative to the median of the service.
func (sh *Share) Update(speed float64, now timer.Instant) uint32 {
	wanted := min(max(speed*FullShare, minShare), maxShare)
	off := math.Abs(wanted - float64(sh.units))
	isSmall := off < max(minChange, minRelativeChange*float64(sh.units))
	isEarly := sh.isChanged && now.Before(sh.changedAt.Add(shareInterval))
	if !isSmall && !isEarly {
		sh.units, sh.changedAt, sh.isChanged = uint32(math.Round(wanted)), now, true
	}
	return sh.units
}
