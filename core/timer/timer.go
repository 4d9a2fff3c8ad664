// Package timer defines the time types and the clock interface of the decision
// libraries, which are the packages under core.
//
// A decision library never reads a clock. Its methods take the current instant as an
// argument, so that tests and models control the time.
//
// # Usage
//
//	clk := timer.NewManual(0)
//	deadline := clk.Now().Add(600 * timer.Millisecond)
//	clk.Advance(timer.Second)
//	expired := !clk.Now().Before(deadline)
package timer

import "time"

// Instant is a point in time on one machine's boot clock, in nanoseconds. Instants of
// different machines or boots are not comparable.
type Instant int64

// Span is the time between two instants, in nanoseconds.
type Span int64

// Common spans.
const (
	Microsecond Span = 1000
	Millisecond      = 1000 * Microsecond
	Second           = 1000 * Millisecond
)

// Add returns the instant sp after in.
func (in Instant) Add(sp Span) Instant { return in + Instant(sp) }

// Sub returns the span from other to in.
func (in Instant) Sub(other Instant) Span { return Span(in - other) }

// Before reports whether in is earlier than other.
func (in Instant) Before(other Instant) bool { return in < other }

// Duration converts sp to a time.Duration.
func (sp Span) Duration() time.Duration { return time.Duration(sp) }

// FromDuration converts a time.Duration.
func FromDuration(du time.Duration) Span { return Span(du) }

// Clock returns the current instant.
type Clock interface {
	Now() Instant
}

// Manual is a fake clock that moves only by Advance. It is not safe for concurrent
// use.
type Manual struct {
	now Instant
}

// NewManual returns a manual clock set to start.
func NewManual(start Instant) *Manual { return &Manual{now: start} }

// Now returns the instant that the clock is set to.
func (ma *Manual) Now() Instant { return ma.now }

// Advance moves the clock forward by sp.
func (ma *Manual) Advance(sp Span) { ma.now = ma.now.Add(sp) }

// Left returns for logs how long a deadline is away at now, negative once it has passed. It
// returns "none" for a deadline that was never set, which is 0.
func Left(deadline, now Instant) string {
	if deadline == 0 {
		return "none"
	}
	return deadline.Sub(now).Duration().String()
}
