// Package timekeeper reads a monotonic clock that also counts the time in which the machine was suspended.
package timekeeper

import (
	"syscall"
	"time"
	"unsafe"
)

// clockBoottime is the number of CLOCK_BOOTTIME, the Linux clock that counts suspended time.
const clockBoottime = 7

// Now returns the time since boot, as a time after the Unix epoch. It can be compared only with other results of Now in
// the same process.
func Now() time.Time {
	var t syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		panic("CLOCK_BOOTTIME can't be read: " + errno.Error()) // it exists on every Linux since 2.6.39
	}
	return time.Unix(t.Sec, t.Nsec)
}
