package limiter

import (
	"testing"

	"cornellanding.example/core/timer"
	"github.com/matryer/is"
)

// TestFallbackStaysBelowRate checks that all entries together stay within the
// fallback share, and use most of it, while none can reach a home.
func TestFallbackStaysBelowRate(t *testing.T) {
	is := is.New(t)
	const rate, entries, seconds = 50.0, 11, 20
	buckets := make([]FallbackBucket, entries)
	used := 0
	for ms := range seconds * 1000 {
		for i := range buckets {
			if buckets[i].Take(rate, entries, timer.Instant(ms)*timer.Instant(timer.Millisecond)) {
				used++
			}
		}
	}
	is.True(float64(used) <= rate*FallbackShare*seconds+entries)
	is.True(float64(used) >= rate*FallbackShare*seconds*0.9) // most of the share is used
}
