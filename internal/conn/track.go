package conn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// ErrCutOff is returned for the end of a connection on which a request was not written to its
// end. An answer that would end with the connection is not whole: the system reports a reset
// once for each connection, so that the write of the request may have got it.
var ErrCutOff = fmt.Errorf("conn: the connection ended within the request: %w", io.ErrUnexpectedEOF)

// maxRequestWait bounds the wait for the rest of a request, after its answer has ended with
// the server's side of the connection.
const maxRequestWait = time.Second

// Judged returns a Dial whose connections fail at bytes that are no answer, and at the end of
// a connection that does not end an answer, for clients that use an http.Transport of their
// own.
func Judged(dial Dial) Dial {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newTrackedConn(c), nil
	}
}

// trackedConn is a connection that counts the writes that may have sent a byte, and judges
// the heads and the ends of answers.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	writes int64
	sealed bool
	// sent is the request that was written last. changed is closed when more of it was
	// written or can't be.
	sent      sentRequest
	isWriting bool
	isLost    bool
	changed   chan struct{}
	// head judges the answer to it. headErr is what it has found wrong; all later reads fail
	// too, since net/http reads on after an error at the first field.
	head    headJudge
	headErr error
}

func newTrackedConn(c net.Conn) *trackedConn {
	return &trackedConn{
		Conn:    c,
		changed: make(chan struct{}),
	}
}

func (c *trackedConn) writeCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealIfUnused blocks later writes and returns true, unless the number of writes
// differs from initialWrites.
func (c *trackedConn) sealIfUnused(initialWrites int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != initialWrites {
		return false
	}
	c.sealed = true
	return true
}

// Write implements net.Conn. A write is counted before it starts, so that a
// write in progress already counts, and is subtracted again if it sent nothing.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, ErrSealed
	}
	c.writes++
	c.isWriting = true
	if c.sent.isWhole() {
		// The connection is in use again.
		c.sent = sentRequest{}
	}
	if !c.sent.isBegun() {
		c.head = headJudge{}
	}
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 && err != nil {
		c.writes--
	}
	c.isWriting = false
	c.sent.add(b[:n])
	c.isLost = c.isLost || err != nil
	c.wake()
	return n, err
}

// wake lets awaitRequest look again. The caller holds the lock.
func (c *trackedConn) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if err := c.judge(b[:n]); err != nil {
			return 0, err
		}
	}
	if errors.Is(err, io.EOF) && !c.awaitRequest() {
		err = ErrCutOff
	}
	return n, err
}

func (c *trackedConn) judge(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headErr == nil {
		c.headErr = c.head.add(p)
	}
	return c.headErr
}

// awaitRequest waits until the request that is being written has been written, and reports
// whether it was. A server may answer before it has read a long request.
func (c *trackedConn) awaitRequest() bool {
	timer := time.NewTimer(maxRequestWait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		isWhole := !c.isWriting && (c.sent.isWhole() || !c.sent.isBegun())
		isLost, changed := c.isLost, c.changed
		c.mu.Unlock()
		switch {
		case isLost:
			return false
		case isWhole:
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		}
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isLost = true
	c.wake()
	return err
}
