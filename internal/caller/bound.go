package caller

import (
	"net"
	"sync"
	"time"

	"trefoildale.example/trefoildale/internal/budget"
)

// Bound returns a listener whose connections have places in a budget, for servers other than
// Server. When all places are taken, the connection from which nothing was read for the
// longest time is closed. onClose is called for each of these; it must not block.
func Bound(l net.Listener, pool *budget.Pool, onClose func(Closing)) net.Listener {
	return &boundListener{
		Listener: l,
		pool:     pool,
		onClose:  onClose,
	}
}

type boundListener struct {
	net.Listener

	pool    *budget.Pool
	onClose func(Closing)
}

// Accept implements net.Listener.
func (l *boundListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		b := &boundConn{
			Conn: c,
			pool: l.pool,
		}
		b.holder = l.pool.Join(func(cause budget.Cause) {
			l.report(limitOf(cause), cause.Stopped)
			_ = c.Close()
		})
		if b.holder != nil {
			return b, nil
		}
		l.report(Limit{
			Name: budget.Conns.String(),
			Size: l.pool.Limit(budget.Conns),
			Used: l.pool.Used(budget.Conns),
		}, 0)
		_ = c.Close()
	}
}

func (l *boundListener) report(limit Limit, idle time.Duration) {
	l.onClose(Closing{
		Reason: Limited,
		Idle:   idle,
		Limit:  limit,
	})
}

// boundConn is a connection with a place.
type boundConn struct {
	net.Conn

	pool   *budget.Pool
	holder *budget.Holder
	leave  sync.Once
}

// Read implements net.Conn.
func (c *boundConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.pool.Enter(c.holder, budget.Idle)
	}
	return n, err
}

// Close implements net.Conn.
func (c *boundConn) Close() error {
	err := c.Conn.Close()
	c.leave.Do(func() { c.pool.Leave(c.holder) })
	return err
}
