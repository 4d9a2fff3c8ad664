package limiter

import "cornellanding.example/core/timer"

// FallbackShare is the share of a workspace's rate that all entries together may
// use while they cannot reach the home of its bucket. After a network partition the
// home still grants the whole rate to the entries that reach it, so the share bounds
// by how much the rate can be exceeded.
const FallbackShare = 0.4

// FallbackBucket is a small local token bucket of an entry, used while the home of
// the workspace's bucket does not answer. The zero value is a bucket that was empty at
// time 0, so it is usually full when it is first used.
type FallbackBucket struct {
	level    float64
	filledAt timer.Instant
}

// Take uses one token of a bucket that holds at most one. It refills at this
// entry's part of FallbackShare, for a rate in tokens per second and the number of
// entries. It returns false if there is no token.
func (fb *FallbackBucket) Take(rate float64, entries int, now timer.Instant) bool {
	own := rate * FallbackShare / float64(max(1, entries))
	fb.level = min(1, fb.level+own*now.Sub(fb.filledAt).Duration().Seconds())
	fb.filledAt = now
	if fb.level < 1 {
		return false
	}
	fb.level--
	return true
}
