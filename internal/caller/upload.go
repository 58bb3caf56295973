package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"trefoildale.example/trefoildale/internal/budget"
	"trefoildale.example/trefoildale/internal/conn"
)

// Why a body was not read in full.
var (
	// ErrBodyTooLarge is that the body exceeds the limit.
	ErrBodyTooLarge = errors.New("caller: the body is too large")
	// ErrBodiesFull is that all bodies together take the memory that they may take.
	ErrBodiesFull = errors.New("caller: no memory is free for the body")
	// ErrBodyStalled is that the body made no progress while others needed its memory or
	// its connection.
	ErrBodyStalled = errors.New("caller: the body has stopped arriving")
	// ErrBodyLate is that the body did not arrive within the time for its request.
	ErrBodyLate = errors.New("caller: the body did not arrive in time")
	// ErrBodyUnwanted is that the reader has stopped, see Upload.Stop.
	ErrBodyUnwanted = errors.New("caller: the body is not wanted any more")
)

// Upload is a body that is to be read.
type Upload struct {
	// Limit returns how many bytes the body may have.
	Limit func() int64
	// Until is when the body has to be there, zero for no limit.
	Until time.Time
	// Stop ends the read when it ends. It may be nil.
	Stop context.Context
}

const (
	// pieceSize is the size of the pieces of a large body, and minPieceSize that of the
	// first one of a body of unknown length.
	pieceSize    = 32 << 10
	minPieceSize = 1 << 10
	// maxPacePause bounds one pause for the processor time of chunks.
	maxPacePause = 100 * time.Millisecond
)

// ReadBody reads the body of a request. The memory for it belongs to the server's budget
// until the handler returns. After an error, the connection ends with the answer.
func ReadBody(w http.ResponseWriter, r *http.Request, u Upload) (conn.Body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	c, ok := r.Context().Value(connKey{}).(*trackedConn)
	if !ok {
		// Without a Server, there is no budget.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, u.Limit()))
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			err = ErrBodyTooLarge
		}
		return conn.Body{body}, err
	}
	if r.ContentLength > u.Limit() {
		c.bodyUnread.Store(true)
		c.reportBody(ErrBodyTooLarge, u, int(r.ContentLength))
		return nil, ErrBodyTooLarge
	}
	control := http.NewResponseController(w)
	if !u.Until.IsZero() {
		_ = control.SetReadDeadline(u.Until)
	}
	stopped := make(chan struct{})
	stop := func() bool { return true }
	if u.Stop != nil {
		stop = context.AfterFunc(u.Stop, func() {
			defer close(stopped)
			_ = control.SetReadDeadline(time.Now())
		})
	}
	pool := c.server.opts.Budget
	// A connection that gave way while it was idle still serves the request that came.
	gaveWay := !pool.Enter(c.holder, budget.ReadingBody)
	body, err := c.readPieces(r, u)
	if !pool.Enter(c.holder, budget.Working) && !gaveWay {
		err = ErrBodyStalled
	}
	if !stop() {
		<-stopped
		err = ErrBodyUnwanted
	}
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	c.bodyUnread.Store(true)
	pool.Release(c.holder, budget.Bodies)
	c.reportBody(err, u, body.Len())
	return nil, err
}

// readPieces reads a body to its end. The pieces hold what has arrived, and nothing is
// copied as the body grows.
func (c *trackedConn) readPieces(r *http.Request, u Upload) (conn.Body, error) {
	var body conn.Body
	var piece []byte
	size, framing, paced := int64(0), c.bodyBytes.Load(), int64(0)
	for {
		if len(piece) == cap(piece) {
			next := nextPiece(size, r.ContentLength)
			if size+next > budget.FreeBody && !c.server.opts.Budget.Grow(c.holder, budget.Bodies, next) {
				return body, ErrBodiesFull
			}
			piece = make([]byte, 0, next)
			body = append(body, piece)
		}
		n, err := r.Body.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		body[len(body)-1] = piece
		size += int64(n)
		switch {
		case size > u.Limit():
			return body, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && !u.Until.IsZero() && !time.Now().Before(u.Until):
			return body, ErrBodyLate
		case err != nil:
			return body, err
		}
		// What was read beyond the body are the marks of its chunks.
		marks := c.bodyBytes.Load() - framing - size - int64(float64(size)*budget.FramingRatio) - budget.FreeFraming
		if marks > paced {
			c.pause(c.server.opts.Pacer.Take(marks - paced))
			paced = marks
		}
	}
}

// nextPiece returns the size of the next piece of a body, of which size bytes have arrived.
// length is the length of the body, or -1 if it is not known.
func nextPiece(size, length int64) int64 {
	if length >= 0 {
		return min(pieceSize, max(1, length-size))
	}
	return min(pieceSize, max(minPieceSize, size))
}

// unreadBodyTime is how long the rest of a body is read which the handler has not read: a
// close with unread bytes might take the answer from the caller.
const unreadBodyTime = 500 * time.Millisecond

// limitUnread bounds the time for which http.Server reads on after the handler.
func (c *trackedConn) limitUnread() {
	c.server.opts.Budget.Enter(c.holder, budget.ReadingBody)
	_ = c.SetReadDeadline(time.Now().Add(unreadBodyTime))
}

// discardUnread reads what the caller still sends after the answer, as bytes: the marks of
// small chunks cost too much.
func (c *trackedConn) discardUnread() {
	c.limitUnread()
	_, _ = io.Copy(io.Discard, c.Conn)
}

// pause waits before more of a body is read, until the connection has to give way.
func (c *trackedConn) pause(wait time.Duration) {
	for wait > 0 && !c.server.opts.Budget.GivesWay(c.holder) {
		time.Sleep(min(wait, maxPacePause))
		wait -= maxPacePause
	}
}

// reportBody reports a body that a limit ended.
func (c *trackedConn) reportBody(err error, u Upload, size int) {
	l := Limit{
		Used:  int64(size),
		Phase: budget.ReadingBody,
	}
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		l.Name, l.Size = "body-bytes", u.Limit()
	case errors.Is(err, ErrBodiesFull), errors.Is(err, ErrBodyStalled):
		l.Name, l.Size = budget.Bodies.String(), c.server.opts.Budget.Limit(budget.Bodies)
	case errors.Is(err, ErrBodyLate):
		l.Name = "body-time"
	default:
		return
	}
	q := c.request.Load()
	if errors.Is(err, ErrBodyLate) && q != nil {
		// In milliseconds, as there is no limit on bytes.
		l.Size, l.Used = u.Until.Sub(q.headerReadAt).Milliseconds(), time.Since(q.headerReadAt).Milliseconds()
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if errors.Is(err, ErrBodyStalled) && c.endedBy != nil {
		l = limitOf(*c.endedBy)
	}
	c.server.reportLimited(l, q)
}
