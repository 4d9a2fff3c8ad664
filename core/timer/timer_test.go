package timer

import (
	"testing"

	"github.com/matryer/is"
)

// TestLeft guards against a log line that shows the time since the machine's start as that
// since a lease ended, though there was none.
func TestLeft(t *testing.T) {
	is := is.New(t)
	now := Instant(423 * Second)
	is.Equal(Left(0, now), "none")
	is.Equal(Left(now.Add(2*Second), now), "2s")
	is.Equal(Left(now.Add(-Second), now), "-1s")
}
