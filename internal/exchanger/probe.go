package exchanger

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which bounds how long sent bytes may stay unacknowledged.
const tcpUserTimeout = 0x12

// setUserTimeout makes a connection fail when sent bytes stay unacknowledged for longer than timeout.
func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
