package limiter

import "cornellanding.example/core/timer"

// FallbackShare is the share of a workspace's rate that all entries together use
// while they don't hear from the bucket's home. A home that others still hear
// grants the whole rate, so it is below what a split can add unnoticed.
const FallbackShare = 0.4

// FallbackBucket is an entry's own small bucket, for as long as the home is silent.
type FallbackBucket struct {
	level    float64
	filledAt timer.Instant
}

// Take uses one token of a bucket that fills at rate tokens a second, for a
// fleet of that many entries. It holds one token at the most.
func (sp *FallbackBucket) Take(rate float64, entries int, now timer.Instant) bool {
	own := rate * FallbackShare / float64(max(1, entries))
	sp.level = min(1, sp.level+own*now.Sub(sp.filledAt).Duration().Seconds())
	sp.filledAt = now
	if sp.level < 1 {
		return false
	}
	sp.level--
	return true
}
