package cutter

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// echo returns a proxy in front of a server that echoes lines.
func echo(t *testing.T) *Proxy {
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

// TestFaults guards the faults that integration tests rely on: each must take
// effect on an open connection, and end with Heal.
func TestFaults(t *testing.T) {
	const wait = 50 * time.Millisecond
	tests := []struct {
		name  string
		fault func(*Proxy)
		// silent means that the connection stays open without an answer.
		silent bool
		// survives means that the connection can be used after Heal.
		survives bool
	}{
		{
			name:  "cut",
			fault: (*Proxy).Cut,
		},
		{
			name:     "freeze",
			fault:    (*Proxy).Freeze,
			silent:   true,
			survives: true,
		},
		{
			name:   "drop to server",
			fault:  func(p *Proxy) { p.Drop(ToServer) },
			silent: true,
		},
		{
			name:   "drop to client",
			fault:  func(p *Proxy) { p.Drop(ToClient) },
			silent: true,
		},
		{
			name:     "delay",
			fault:    func(p *Proxy) { p.Delay(wait) },
			silent:   true,
			survives: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := echo(t)
			c := dial(t, p)
			if err := exchange(c, time.Second); err != nil {
				t.Fatal(err)
			}
			tt.fault(p)
			err := exchange(c, wait)
			if err == nil || isTimeout(err) != tt.silent {
				t.Errorf("during the fault: %v, want silence %t", err, tt.silent)
			}
			if err := p.Heal(); err != nil {
				t.Fatal(err)
			}
			if err := exchange(c, time.Second); (err == nil) != tt.survives {
				t.Errorf("the open connection after heal: %v, want survival %t", err, tt.survives)
			}
			if err := exchange(dial(t, p), time.Second); err != nil {
				t.Errorf("a new connection after heal: %v", err)
			}
		})
	}
}

// TestCutRefuses guards the proof of death: a cut target refuses connections.
func TestCutRefuses(t *testing.T) {
	p := echo(t)
	p.Cut()
	if c, err := net.Dial("tcp", p.Addr()); err == nil {
		c.Close()
		t.Error("a connection was accepted during the cut")
	}
}

// TestEnd guards against the loss of bytes that the client reads only after
// both directions have ended.
func TestEnd(t *testing.T) {
	p := echo(t)
	c := dial(t, p)
	if err := exchange(c, time.Second); err != nil {
		t.Fatal(err)
	}
	// More than the client's receive buffer, so that the rest waits in the
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
	for deadline := time.Now().Add(time.Second); p.Links() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if n := p.Links(); n != 0 {
		t.Errorf("%d links are left", n)
	}
}

// TestPortKeptWhileCut guards against another process taking the proxy's port
// between Cut and Heal, which made Heal fail with "address already in use".
func TestPortKeptWhileCut(t *testing.T) {
	p := echo(t)
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
