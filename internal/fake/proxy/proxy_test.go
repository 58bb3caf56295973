package proxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// startEchoProxy returns a proxy in front of a server that echoes all bytes.
func startEchoProxy(t *testing.T) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	p, release, err := New(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		release()
		l.Close()
	})
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// exchange sends a line and reads it back within the limit.
func exchange(c net.Conn, limit time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := c.Write([]byte("line\n")); err != nil {
		return err
	}
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// TestFaults guards against a fault that does not affect an open connection, or
// that does not end with Heal. Integration tests rely on both.
func TestFaults(t *testing.T) {
	const wait = 50 * time.Millisecond
	tests := []struct {
		name  string
		fault func(*Proxy)
		// timesOut means that the connection stays open but the answer does not
		// arrive in time.
		timesOut bool
		// usable means that the connection works again after Heal.
		usable bool
	}{
		{
			name:  "cut",
			fault: (*Proxy).Cut,
		},
		{
			name:     "freeze",
			fault:    (*Proxy).Freeze,
			timesOut: true,
			usable:   true,
		},
		{
			name:     "drop to server",
			fault:    func(p *Proxy) { p.Drop(ToServer) },
			timesOut: true,
		},
		{
			name:     "drop to client",
			fault:    func(p *Proxy) { p.Drop(ToClient) },
			timesOut: true,
		},
		{
			name:     "delay",
			fault:    func(p *Proxy) { p.Delay(wait) },
			timesOut: true,
			usable:   true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := startEchoProxy(t)
			c := dial(t, p)
			if err := exchange(c, time.Second); err != nil {
				t.Fatal(err)
			}
			tt.fault(p)
			err := exchange(c, wait)
			if err == nil || isTimeout(err) != tt.timesOut {
				t.Errorf("during the fault: %v, want a timeout: %t", err, tt.timesOut)
			}
			if err := p.Heal(); err != nil {
				t.Fatal(err)
			}
			if err := exchange(c, time.Second); (err == nil) != tt.usable {
				t.Errorf("the open connection after Heal: %v, want usable: %t", err, tt.usable)
			}
			if err := exchange(dial(t, p), time.Second); err != nil {
				t.Errorf("a new connection after Heal: %v", err)
			}
		})
	}
}

// TestCutRefuses guards against a cut proxy that accepts connections. A refused
// connection is what shows that a process is dead.
func TestCutRefuses(t *testing.T) {
	p := startEchoProxy(t)
	p.Cut()
	if c, err := net.Dial("tcp", p.Addr()); err == nil {
		c.Close()
		t.Error("a connection was accepted during the cut")
	}
}

// TestEnd guards against the loss of bytes that are still in the proxy's send
// buffer when both directions have ended.
func TestEnd(t *testing.T) {
	p := startEchoProxy(t)
	c := dial(t, p)
	if err := exchange(c, time.Second); err != nil {
		t.Fatal(err)
	}
	// 1 MiB exceeds the client's receive buffer, so that the rest is in the
	// proxy's send buffer when the proxy closes its side.
	sent := make([]byte, 1<<20)
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write(sent); err != nil {
		t.Fatal(err)
	}
	_ = c.(*net.TCPConn).CloseWrite()
	time.Sleep(100 * time.Millisecond)
	got, err := io.ReadAll(c)
	if err != nil || len(got) != len(sent) {
		t.Errorf("got %d of %d bytes, %v", len(got), len(sent), err)
	}
	for deadline := time.Now().Add(time.Second); p.Connections() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if n := p.Connections(); n != 0 {
		t.Errorf("%d connections are left open", n)
	}
}

// TestPortKeptWhileCut guards against another process binding the proxy's port
// between Cut and Heal. Heal then fails with "address already in use".
func TestPortKeptWhileCut(t *testing.T) {
	p := startEchoProxy(t)
	p.Cut()
	if l, err := net.Listen("tcp", p.Addr()); err == nil {
		l.Close()
		t.Error("the port was free while the proxy was cut")
	}
	if c, err := net.Dial("tcp", p.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		if err == nil {
			c.Close()
		}
		t.Errorf("a connection while cut gave %v, want refused", err)
	}
	if err := p.Heal(); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "line\n"); err != nil {
		t.Fatal(err)
	}
	if got, err := bufio.NewReader(c).ReadString('\n'); err != nil || got != "line\n" {
		t.Errorf("after Heal the server answered %q, %v", got, err)
	}
}
