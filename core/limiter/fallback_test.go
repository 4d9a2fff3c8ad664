package limiter

import (
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// TestSpareStaysBelowRate lets every entry of a fleet without a home use all it
// can.
func TestSpareStaysBelowRate(t *testing.T) {
	is := is.New(t)
	const rate, entries, seconds = 50.0, 11, 20
	spares := make([]FallbackBucket, entries)
	used := 0
	for ms := range seconds * 1000 {
		for i := range spares {
			if spares[i].Take(rate, entries, timer.Instant(ms)*timer.Instant(timer.Millisecond)) {
				used++
			}
		}
	}
	is.True(float64(used) <= rate*FallbackShare*seconds+entries)
	is.True(float64(used) >= rate*FallbackShare*seconds*0.9) // it is of use
}
