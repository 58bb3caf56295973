package conn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// NewDialer returns a Dial whose connections fail when the peer does not respond
// for unresponsiveTimeout. During a network partition no connection is reset,
// and by default TCP retransmits unacknowledged data for many minutes.
func NewDialer(unresponsiveTimeout time.Duration) Dial {
	d := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     unresponsiveTimeout / 2,
			Interval: max(time.Second, unresponsiveTimeout/6),
			Count:    3,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			cerr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unresponsiveTimeout.Milliseconds()))
			})
			if cerr != nil {
				return cerr
			}
			return err
		},
	}
	return d.DialContext
}
