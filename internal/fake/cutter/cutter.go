// Package cutter is a TCP proxy that injects network faults between two
// processes under test.
package cutter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Direction is a direction of the traffic through a Proxy.
type Direction int

// The directions.
const (
	// ToServer is from the side that connects to the target.
	ToServer Direction = iota
	// ToClient is from the target back.
	ToClient
)

// Proxy forwards TCP connections to one target.
type Proxy struct {
	target  string
	address string
	work    sync.WaitGroup

	mu       sync.Mutex
	changed  chan struct{}
	closed   bool
	cut      bool
	frozen   bool
	dropped  [2]bool
	delay    time.Duration
	listener net.Listener
	links    map[*link]struct{}
	release  func() // gives the port back
}

// New returns a Proxy that listens on a free port of the loopback interface,
// and a function that releases it.
func New(target string) (*Proxy, func(), error) {
	l, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, nil, fmt.Errorf("cutter: %w", err)
	}
	release, err := reserve(l.Addr().(*net.TCPAddr))
	if err != nil {
		l.Close()
		return nil, nil, fmt.Errorf("cutter: reserve port: %w", err)
	}
	p := &Proxy{
		release:  release,
		target:   target,
		address:  l.Addr().String(),
		changed:  make(chan struct{}),
		listener: l,
		links:    map[*link]struct{}{},
	}
	p.work.Add(1)
	go p.accept(l)
	return p, p.close, nil
}

// listen listens on a port that reserve may hold.
func listen(address string) (net.Listener, error) {
	c := net.ListenConfig{
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			cerr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			})
			return errors.Join(cerr, err)
		},
	}
	return c.Listen(context.Background(), "tcp", address)
}

// reserve keeps a port from being given to other sockets until release. A
// socket that is bound and does not listen refuses connections.
func reserve(address *net.TCPAddr) (release func(), err error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	to := &unix.SockaddrInet4{
		Port: address.Port,
		Addr: [4]byte(address.IP.To4()),
	}
	err = errors.Join(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1), unix.Bind(fd, to))
	if err != nil {
		return nil, errors.Join(err, unix.Close(fd))
	}
	// A second close could hit a file that was opened meanwhile.
	return sync.OnceFunc(func() { _ = unix.Close(fd) }), nil
}

// Addr returns the address that clients connect to.
func (p *Proxy) Addr() string { return p.address }

// Cut resets all connections and refuses new ones until Heal, as the host of a
// process that died does.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = true
	p.listener.Close()
	for l := range p.links {
		l.reset()
	}
	p.signal()
}

// Freeze holds all bytes and new connections back until Heal, which delivers
// them late.
func (p *Proxy) Freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = true
	p.signal()
}

// Drop discards the bytes of one direction until Heal. Connections that lost
// bytes are reset by Heal, since a TCP stream cannot go on without them.
func (p *Proxy) Drop(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropped[d] = true
	p.signal()
}

// Delay delays the bytes of each direction by d; 0 ends it.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Heal ends Cut, Freeze, Drop and Delay.
func (p *Proxy) Heal() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errors.New("cutter: proxy is closed")
	}
	if p.cut {
		l, err := listen(p.address)
		if err != nil {
			return fmt.Errorf("cutter: %w", err)
		}
		p.listener = l
		p.work.Add(1)
		go p.accept(l)
	}
	p.cut, p.frozen, p.delay = false, false, 0
	p.dropped = [2]bool{}
	for l := range p.links {
		if l.lost {
			l.reset()
		}
	}
	p.signal()
	return nil
}

// Links returns the number of open connections.
func (p *Proxy) Links() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

func (p *Proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.listener.Close()
	for l := range p.links {
		l.reset()
	}
	p.signal()
	p.mu.Unlock()
	p.work.Wait()
	p.release()
}

// signal wakes everything that waits for a change.
func (p *Proxy) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) accept(l net.Listener) {
	defer p.work.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p.work.Add(1)
		go p.serve(c)
	}
}

// link is one forwarded connection.
type link struct {
	client net.Conn
	server net.Conn
	gone   chan struct{}
	closed bool
	// lost is set when bytes were dropped.
	lost bool
}

// reset closes both sides so that the peers see a connection reset. Bytes that
// are still in the buffers of the system are lost.
func (l *link) reset() { l.close(true) }

func (l *link) close(reset bool) {
	if l.closed {
		return
	}
	l.closed = true
	close(l.gone)
	for _, c := range []net.Conn{l.client, l.server} {
		if t, ok := c.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		if c != nil {
			c.Close()
		}
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer p.work.Done()
	l := &link{
		client: client,
		gone:   make(chan struct{}),
	}
	p.mu.Lock()
	if p.closed || p.cut {
		p.mu.Unlock()
		l.reset()
		return
	}
	p.links[l] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.links, l)
		// After a dropped byte, or without a server, the end is no regular one.
		l.close(l.lost || l.server == nil)
		p.mu.Unlock()
	}()
	if !p.passable(l) {
		return
	}
	server, err := net.DialTimeout("tcp", p.target, 2*time.Second)
	if err != nil {
		return
	}
	p.mu.Lock()
	l.server = server
	select {
	case <-l.gone:
		server.Close()
	default:
	}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(l, client, server, ToServer) })
	both.Go(func() { p.pump(l, server, client, ToClient) })
	both.Wait()
}

// passable waits while the proxy is frozen. It reports false when the link is gone.
func (p *Proxy) passable(l *link) bool {
	for {
		p.mu.Lock()
		frozen, changed := p.frozen && !p.closed, p.changed
		p.mu.Unlock()
		if !frozen {
			select {
			case <-l.gone:
				return false
			default:
				return true
			}
		}
		select {
		case <-changed:
		case <-l.gone:
			return false
		}
	}
}

type chunk struct {
	data []byte
	due  time.Time
}

// pump copies one direction. Reading goes on while earlier chunks are delayed,
// so that a delay does not limit the rate.
func (p *Proxy) pump(l *link, from, to net.Conn, d Direction) {
	chunks := make(chan chunk, 64)
	var writer sync.WaitGroup
	writer.Go(func() {
		for c := range chunks {
			if !p.deliver(l, to, c, d) {
				break
			}
		}
		// The reader must not block on a full channel.
		for range chunks {
			continue
		}
	})
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.mu.Lock()
			due := time.Now().Add(p.delay)
			p.mu.Unlock()
			chunks <- chunk{
				data: append([]byte(nil), buf[:n]...),
				due:  due,
			}
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	writer.Wait()
	p.closeWrite(l, to, d)
}

func (p *Proxy) deliver(l *link, to net.Conn, c chunk, d Direction) bool {
	if wait := time.Until(c.due); wait > 0 {
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-l.gone:
			t.Stop()
			return false
		}
	}
	if !p.passable(l) {
		return false
	}
	p.mu.Lock()
	dropped := p.dropped[d]
	l.lost = l.lost || dropped
	p.mu.Unlock()
	if dropped {
		return true
	}
	if _, err := to.Write(c.data); err != nil {
		p.mu.Lock()
		l.reset()
		p.mu.Unlock()
		return false
	}
	return true
}

// closeWrite passes on the end of a direction, unless that direction is dropped.
func (p *Proxy) closeWrite(l *link, to net.Conn, d Direction) {
	if !p.passable(l) {
		return
	}
	p.mu.Lock()
	dropped := p.dropped[d]
	l.lost = l.lost || dropped
	p.mu.Unlock()
	if dropped {
		return
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
