package exchanger

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the number of the Linux socket option that bounds how long sent bytes stay unacknowledged.
const tcpUserTimeout = 0x12

// limitUnacknowledged returns a function that makes a socket fail when bytes stay unacknowledged for longer.
func limitUnacknowledged(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
