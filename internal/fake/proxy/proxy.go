// Package proxy is a TCP proxy that injects network faults between two
// processes under test.
package proxy

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

// Direction is the direction of bytes through a Proxy.
type Direction int

// Directions of traffic.
const (
	// ToServer is from the connecting client to the target.
	ToServer Direction = iota
	// ToClient is from the target to the client.
	ToClient
)

// Proxy forwards TCP connections to one target.
type Proxy struct {
	target     string
	address    string
	background sync.WaitGroup

	mu      sync.Mutex
	changed chan struct{}
	closed  bool
	cut     bool
	down    bool
	frozen  bool
	dropped [2]bool
	delay   time.Duration
	// bytesPerSecond limits each direction of a connection, 0 means no limit.
	bytesPerSecond float64
	listener       net.Listener
	connections    map[*connection]struct{}
	releasePort    func() // frees the reserved port
}

// New returns a Proxy that listens on a free port of the loopback interface, and
// a function that closes it.
func New(target string) (*Proxy, func(), error) {
	l, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, nil, fmt.Errorf("proxy: %w", err)
	}
	release, err := reservePort(l.Addr().(*net.TCPAddr))
	if err != nil {
		l.Close()
		return nil, nil, fmt.Errorf("proxy: reserve port: %w", err)
	}
	p := &Proxy{
		releasePort: release,
		target:      target,
		address:     l.Addr().String(),
		changed:     make(chan struct{}),
		listener:    l,
		connections: map[*connection]struct{}{},
	}
	p.background.Add(1)
	go p.accept(l)
	return p, p.close, nil
}

// listen listens with SO_REUSEPORT, which allows the port to be bound by
// reservePort as well.
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

// reservePort binds a port without listening, so that no other process gets it
// while the proxy does not listen. Connections to it are refused meanwhile.
func reservePort(address *net.TCPAddr) (release func(), err error) {
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
	// A second Close could close an unrelated file that got the same descriptor.
	return sync.OnceFunc(func() { _ = unix.Close(fd) }), nil
}

// Addr returns the address that clients connect to.
func (p *Proxy) Addr() string { return p.address }

// Cut resets all connections and refuses new ones until Heal, as after the death
// of the target process on a running host.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = true
	p.refuse()
}

// refuse closes the listener and resets all connections. The caller holds p.mu.
func (p *Proxy) refuse() {
	p.listener.Close()
	for conn := range p.connections {
		conn.reset()
	}
	p.notifyChanged()
}

// SetDown refuses connections while the target process is down, whatever other faults
// begin and end meanwhile.
func (p *Proxy) SetDown(down bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.down == down {
		return nil
	}
	p.down = down
	if down {
		p.refuse()
		return nil
	}
	return p.relisten()
}

// relisten accepts connections again unless a fault refuses them. The caller holds p.mu.
func (p *Proxy) relisten() error {
	if p.cut || p.down {
		return nil
	}
	l, err := listen(p.address)
	if err != nil {
		return fmt.Errorf("proxy: %w", err)
	}
	p.listener = l
	p.background.Add(1)
	go p.accept(l)
	return nil
}

// Freeze delays all bytes and new connections until Heal.
func (p *Proxy) Freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = true
	p.notifyChanged()
}

// Drop discards the bytes of one direction until Heal. Heal resets connections
// that lost bytes, since a TCP stream cannot continue with a gap.
func (p *Proxy) Drop(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropped[d] = true
	p.notifyChanged()
}

// Delay delays the bytes of both directions by d; 0 removes the delay.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Throttle limits each direction of a connection; 0 removes the limit.
func (p *Proxy) Throttle(bytesPerSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytesPerSecond = bytesPerSecond
}

// Heal ends Cut, Freeze, Drop, Delay and Throttle.
func (p *Proxy) Heal() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errors.New("proxy: proxy is closed")
	}
	if p.cut {
		p.cut = false
		if err := p.relisten(); err != nil {
			return err
		}
	}
	p.frozen, p.delay, p.bytesPerSecond = false, 0, 0
	p.dropped = [2]bool{}
	for conn := range p.connections {
		if conn.dataLost {
			conn.reset()
		}
	}
	p.notifyChanged()
	return nil
}

// Connections returns the number of open connections.
func (p *Proxy) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.connections)
}

func (p *Proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.listener.Close()
	for conn := range p.connections {
		conn.reset()
	}
	p.notifyChanged()
	p.mu.Unlock()
	p.background.Wait()
	p.releasePort()
}

// notifyChanged wakes the goroutines that wait for the proxy's state to change.
// The caller holds p.mu.
func (p *Proxy) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) accept(l net.Listener) {
	defer p.background.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p.background.Add(1)
		go p.serve(c)
	}
}

// connection is a forwarded connection: the client's and the one to the target.
type connection struct {
	client net.Conn
	server net.Conn
	done   chan struct{}
	closed bool
	// dataLost is set if bytes or the end of a direction were dropped.
	dataLost bool
}

// reset closes both sides with a TCP reset. Bytes still in the send buffers are
// lost. The caller holds p.mu, or the connection is not shared yet.
func (conn *connection) reset() { conn.close(true) }

func (conn *connection) close(reset bool) {
	if conn.closed {
		return
	}
	conn.closed = true
	close(conn.done)
	for _, c := range []net.Conn{conn.client, conn.server} {
		if t, ok := c.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		if c != nil {
			c.Close()
		}
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer p.background.Done()
	conn := &connection{
		client: client,
		done:   make(chan struct{}),
	}
	p.mu.Lock()
	if p.closed || p.cut || p.down {
		p.mu.Unlock()
		conn.reset()
		return
	}
	p.connections[conn] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.connections, conn)
		// Reset the connection if data was lost or the target was not reached, so
		// that the client does not see a regular end.
		conn.close(conn.dataLost || conn.server == nil)
		p.mu.Unlock()
	}()
	if !p.waitWhileFrozen(conn) {
		return
	}
	server, err := net.DialTimeout("tcp", p.target, 2*time.Second)
	if err != nil {
		return
	}
	p.mu.Lock()
	conn.server = server
	select {
	case <-conn.done:
		server.Close()
	default:
	}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copyDirection(conn, client, server, ToServer) })
	both.Go(func() { p.copyDirection(conn, server, client, ToClient) })
	both.Wait()
}

// waitWhileFrozen waits until the proxy is not frozen. It returns false if the
// connection has been closed.
func (p *Proxy) waitWhileFrozen(conn *connection) bool {
	for {
		p.mu.Lock()
		frozen, changed := p.frozen && !p.closed, p.changed
		p.mu.Unlock()
		if !frozen {
			select {
			case <-conn.done:
				return false
			default:
				return true
			}
		}
		select {
		case <-changed:
		case <-conn.done:
			return false
		}
	}
}

// chunk is data to be delivered no earlier than due.
type chunk struct {
	data []byte
	due  time.Time
}

// copyDirection forwards the bytes of one direction. It continues to read while
// earlier chunks are delayed, so that a delay does not limit the throughput.
func (p *Proxy) copyDirection(conn *connection, from, to net.Conn, d Direction) {
	chunks := make(chan chunk, 64)
	var writer sync.WaitGroup
	writer.Go(func() {
		for c := range chunks {
			if !p.deliver(conn, to, c, d) {
				break
			}
		}
		// Drain the channel so that the reader does not block.
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
		if errors.Is(err, syscall.ECONNRESET) {
			// A reset also drops what is held on the way.
			p.mu.Lock()
			conn.reset()
			p.mu.Unlock()
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	writer.Wait()
	p.closeWrite(conn, to, d)
}

// waitForRate waits for the time that bytes take on a throttled link. It returns false if
// the connection has been closed.
func (p *Proxy) waitForRate(conn *connection, bytes int) bool {
	p.mu.Lock()
	rate := p.bytesPerSecond
	p.mu.Unlock()
	if rate == 0 {
		return true
	}
	t := time.NewTimer(time.Duration(float64(bytes) / rate * float64(time.Second)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-conn.done:
		return false
	}
}

// deliver writes a chunk when it is due, or drops it. It returns false if the
// connection has been closed.
func (p *Proxy) deliver(conn *connection, to net.Conn, c chunk, d Direction) bool {
	if wait := time.Until(c.due); wait > 0 {
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-conn.done:
			t.Stop()
			return false
		}
	}
	if !p.waitWhileFrozen(conn) || !p.waitForRate(conn, len(c.data)) {
		return false
	}
	p.mu.Lock()
	dropped := p.dropped[d]
	conn.dataLost = conn.dataLost || dropped
	p.mu.Unlock()
	if dropped {
		return true
	}
	if _, err := to.Write(c.data); err != nil {
		p.mu.Lock()
		conn.reset()
		p.mu.Unlock()
		return false
	}
	return true
}

// closeWrite forwards the end of a direction, unless the direction is dropped.
func (p *Proxy) closeWrite(conn *connection, to net.Conn, d Direction) {
	if !p.waitWhileFrozen(conn) {
		return
	}
	p.mu.Lock()
	dropped := p.dropped[d]
	conn.dataLost = conn.dataLost || dropped
	p.mu.Unlock()
	if dropped {
		return
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
