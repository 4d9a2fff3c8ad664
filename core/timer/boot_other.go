//go:build !linux

package timer

import "time"

var processStart = time.Now()

// Boot is the process's monotonic clock where no boot clock is at hand. It may
// stand still during a suspend.
type Boot struct{}

// Now reads the monotonic clock.
func (Boot) Now() Instant { return Instant(time.Since(processStart)) }
