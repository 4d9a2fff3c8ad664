package timer

import (
	"syscall"
	"unsafe"
)

// clockBootTime is CLOCK_BOOTTIME of clock_gettime(2). Unlike CLOCK_MONOTONIC, which
// time.Time uses, it advances while the machine is suspended. A lease measured with it
// also expires during a suspend.
const clockBootTime = 7

// BootClock reads the machine's boot clock. Its zero value is ready for use.
type BootClock struct{}

// Now reads the boot clock.
func (BootClock) Now() Instant {
	var ts syscall.Timespec
	syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockBootTime, uintptr(unsafe.Pointer(&ts)), 0)
	return Instant(ts.Nano())
}
