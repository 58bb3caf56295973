package caller

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"trefoildale.example/trefoildale/internal/budget"
)

// listener wraps the connections that it accepts. After stop it still returns those
// that wait in the accept queue, and then closes.
type listener struct {
	net.Listener

	server  *Server
	stopped bool
	// done is closed once Serve has returned.
	done chan struct{}
}

// stop ends the wait for new connections. The caller holds the server's lock.
func (l *listener) stop() {
	if l.stopped {
		return
	}
	l.stopped = true
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || d.SetDeadline(time.Now()) != nil {
		_ = l.Listener.Close()
	}
}

// Accept implements net.Listener. It refuses connections while all that may be open are
// needed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, err
		}
		if t := l.server.track(c); t != nil {
			return t, nil
		}
		l.server.refuse(c)
	}
}

func (l *listener) accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		if !l.isStopped() {
			return nil, err
		}
		c, err = acceptWaiting(l.Listener)
		var temporary interface{ Temporary() bool }
		if errors.As(err, &temporary) && temporary.Temporary() && !errors.Is(err, unix.EAGAIN) {
			// http.Server calls Accept again after a pause, as long as no descriptor is free.
			return nil, err
		}
		if err != nil {
			_ = l.Close()
			return nil, net.ErrClosed
		}
	}
	return c, nil
}

func (l *listener) isStopped() bool {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	return l.stopped
}

// track returns an accepted connection for use, or nil if the budget allows no further one.
func (s *Server) track(c net.Conn) net.Conn {
	t := &trackedConn{
		Conn:      c,
		server:    s,
		idleSince: time.Now(),
	}
	t.holder = s.opts.Budget.Join(t.giveWay)
	if t.holder == nil {
		return nil
	}
	limitBuffers(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[t] = struct{}{}
	t.closeIfDue()
	return t
}

// acceptWaiting returns a connection from the accept queue, or an error if there is
// none. The net package accepts none once the deadline has passed.
func acceptWaiting(l net.Listener) (net.Conn, error) {
	s, ok := l.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd := -1
	var acceptErr error
	err = raw.Control(func(listenFD uintptr) {
		fd, _, acceptErr = unix.Accept4(int(listenFD), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	})
	if err != nil {
		return nil, err
	}
	if acceptErr != nil {
		return nil, acceptErr
	}
	f := os.NewFile(uintptr(fd), "caller")
	defer f.Close()
	return net.FileConn(f)
}

// limitBuffers keeps the system from growing the buffers of a connection's socket to
// megabytes. Where that is not possible, the connection works as well.
func limitBuffers(c net.Conn) {
	b, ok := c.(interface {
		SetReadBuffer(int) error
		SetWriteBuffer(int) error
	})
	if !ok {
		return
	}
	// The system doubles the value, for its own use.
	_ = b.SetReadBuffer(budget.CallerSocket / 2)
	_ = b.SetWriteBuffer(budget.CallerSocket / 2)
}

// refuse closes a connection for which the budget has no room. Nothing was read from it.
func (s *Server) refuse(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused >= maxRefused {
		_ = c.Close()
	} else {
		s.closeRefused(c, Overloaded)
	}
	s.opts.OnClose(Closing{
		Reason: Limited,
		Limit: Limit{
			Name: budget.Conns.String(),
			Size: s.opts.Budget.Limit(budget.Conns),
			Used: s.opts.Budget.Used(budget.Conns),
		},
	})
}

// closeRefused sends an answer to the request that may be on its way on a connection, which
// is not read, and closes the connection once its client has done so, or after a while: a
// close with unread bytes would take the answer from the client. The caller holds the
// server's lock.
func (s *Server) closeRefused(c net.Conn, answer string) {
	// The socket's buffer is empty, as any answer before was sent.
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	_, err := io.WriteString(c, answer)
	if w, ok := c.(interface{ CloseWrite() error }); err != nil || !ok || w.CloseWrite() != nil {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(refusalReadTime))
	s.refused++
	go func() {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refused--
	}()
}
