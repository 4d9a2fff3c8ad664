package timer

import (
	"syscall"
	"unsafe"
)

// clockBootTime is CLOCK_BOOTTIME of clock_gettime(2). Unlike the clock behind
// time.Time it goes on while the machine is suspended, so a lease can't
// outlive a suspend.
const clockBootTime = 7

// BootClock is the machine's boot clock. Its zero value is ready for use.
type BootClock struct{}

// Now reads the boot clock.
func (BootClock) Now() Instant {
	var ts syscall.Timespec
	syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockBootTime, uintptr(unsafe.Pointer(&ts)), 0)
	return Instant(ts.Nano())
}
