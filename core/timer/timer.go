// Package timer gives the instant type and the clock port of all decision
// libraries.
//
// A decision library never reads a clock. Each of its methods takes the
// present instant as an argument, so that a test or a model can drive it.
//
// # Usage
//
//	clk := timer.NewManual(0)
//	deadline := clk.Now().Add(600 * timer.Millisecond)
//	clk.Advance(timer.Second)
//	expired := !clk.Now().Before(deadline)
package timer

import "time"

// Instant is a point on one machine's boot clock, in nanoseconds. Instants of
// two machines, or of two boots, can't be compared.
type Instant int64

// Span is a distance between two instants, in nanoseconds.
type Span int64

// The usual spans.
const (
	Microsecond Span = 1000
	Millisecond      = 1000 * Microsecond
	Second           = 1000 * Millisecond
)

// Add returns the instant that is sp later.
func (in Instant) Add(sp Span) Instant { return in + Instant(sp) }

// Sub returns the span from other to in.
func (in Instant) Sub(other Instant) Span { return Span(in - other) }

// Before reports whether in is earlier than other.
func (in Instant) Before(other Instant) bool { return in < other }

// Duration converts sp for the standard library.
func (sp Span) Duration() time.Duration { return time.Duration(sp) }

// FromDuration converts a duration of the standard library.
func FromDuration(du time.Duration) Span { return Span(du) }

// Clock tells the present instant.
type Clock interface {
	Now() Instant
}

// Manual is a clock that stands still until it is advanced. It is not safe
// for use by several goroutines.
type Manual struct {
	now Instant
}

// NewManual returns a manual clock that shows start.
func NewManual(start Instant) *Manual { return &Manual{now: start} }

// Now returns the instant the clock shows.
func (ma *Manual) Now() Instant { return ma.now }

// Advance moves the clock forward by sp.
func (ma *Manual) Advance(sp Span) { ma.now = ma.now.Add(sp) }
