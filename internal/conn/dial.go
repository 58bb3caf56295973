package conn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// NewDialer returns a Dial whose connections notice a peer that no longer
// answers: a partition resets nothing, and written bytes would be repeated for
// many minutes.
func NewDialer(silence time.Duration) Dial {
	d := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     silence / 2,
			Interval: max(time.Second, silence/6),
			Count:    3,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			cerr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			if cerr != nil {
				return cerr
			}
			return err
		},
	}
	return d.DialContext
}
