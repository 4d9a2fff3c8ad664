//go:build !linux

package timer

import "time"

var processStart = time.Now()

// BootClock reads the process's monotonic clock on systems without a supported boot
// clock. It may not advance while the machine is suspended.
type BootClock struct{}

// Now reads the monotonic clock.
func (BootClock) Now() Instant { return Instant(time.Since(processStart)) }
