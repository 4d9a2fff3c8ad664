//go:build !linux

package timer

import "time"

var processStart = time.Now()

// BootClock is the process's monotonic clock where no boot clock is at hand. It may
// stand still during a suspend.
type BootClock struct{}

// Now reads the monotonic clock.
func (BootClock) Now() Instant { return Instant(time.Since(processStart)) }
