// Package timekeeper reads a monotonic clock that also counts the time in which the machine was suspended.
package timekeeper

import (
	"syscall"
	"time"
	"unsafe"
)

// bootTime is the number of the Linux clock that counts suspended time.
const bootTime = 7

// Now returns the time since boot, as a time after the Unix epoch. It means something only beside other readings of it
// in the same process.
func Now() time.Time {
	var t syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, bootTime, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		panic("clock since boot can't be read: " + errno.Error()) // it exists on every Linux since 2.6.39
	}
	return time.Unix(t.Sec, t.Nsec)
}
