package caller

import (
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// listener wraps the connections that it accepts. After stop it still returns those
// that wait in the accept queue, and then closes.
type listener struct {
	net.Listener

	server  *Server
	stopped bool
	// done is closed once no more connections are accepted.
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

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		if !l.isStopped() {
			return nil, err
		}
		if c, err = acceptWaiting(l.Listener); err != nil {
			_ = l.Close()
			close(l.done)
			return nil, net.ErrClosed
		}
	}
	return l.server.track(c), nil
}

func (l *listener) isStopped() bool {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	return l.stopped
}

func (s *Server) track(c net.Conn) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.lastAccept = now
	t := &trackedConn{
		Conn:      c,
		server:    s,
		idleSince: now,
	}
	s.conns[t] = struct{}{}
	if s.closing {
		t.closeUnlessBusy()
	}
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
