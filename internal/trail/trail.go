// Package trail writes the structured log of a process, one JSON object per line,
// and explains requests from such logs.
//
// Logging never blocks the caller: lines go to a bounded buffer that one goroutine
// writes to the output. Lines above the rate limit of their level are dropped and
// counted, and a later line reports the count.
package trail

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// flushEvery is the longest time that a line stays in the buffer.
	flushEvery = 100 * time.Millisecond
	// maxBuffered limits the size of the buffer in bytes. A line takes about 300.
	maxBuffered = 256 << 10
	// infoPerSecond and warnPerSecond limit the lines per second, so that a node at
	// its highest load spends less than 1% of a core on logging.
	infoPerSecond = 150
	warnPerSecond = 250
)

// Log is the log of one process.
type Log struct {
	*slog.Logger
	w       *writer
	dropped atomic.Int64
}

// New returns a log that writes to out and adds the attributes in base to each
// line. The returned function flushes the buffer and stops the log.
func New(out io.Writer, base ...any) (*Log, func()) {
	w := &writer{
		out:  out,
		stop: make(chan struct{}),
		done: make(chan struct{}),
	}
	l := &Log{
		w: w,
	}
	h := &rateLimiter{
		Handler: slog.NewJSONHandler(w, &slog.HandlerOptions{
			Level: slog.LevelInfo,
		}),
		log:    l,
		shared: &window{},
	}
	l.Logger = slog.New(h).With(base...)
	go w.run()
	return l, func() {
		close(w.stop)
		<-w.done
	}
}

// Dropped returns the number of lines that were dropped.
func (l *Log) Dropped() int64 { return l.dropped.Load() + l.w.dropped.Load() }

// rateLimiter is a handler that drops lines above the rate limit of their level.
type rateLimiter struct {
	slog.Handler
	log *Log

	shared *window
}

// window counts the lines of the current second. All handlers derived from one
// log share it.
type window struct {
	mu      sync.Mutex
	second  int64
	infos   int
	warns   int
	dropped int64
}

var _ slog.Handler = (*rateLimiter)(nil)

// WithAttrs implements slog.Handler.
func (l *rateLimiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimiter{
		Handler: l.Handler.WithAttrs(attrs),
		log:     l.log,
		shared:  l.shared,
	}
}

// WithGroup implements slog.Handler.
func (l *rateLimiter) WithGroup(name string) slog.Handler {
	return &rateLimiter{
		Handler: l.Handler.WithGroup(name),
		log:     l.log,
		shared:  l.shared,
	}
}

// Handle implements slog.Handler.
func (l *rateLimiter) Handle(ctx context.Context, r slog.Record) error {
	dropped, ok := l.shared.admit(r.Time.Unix(), r.Level)
	if dropped > 0 {
		summary := slog.NewRecord(r.Time, slog.LevelWarn, "log lines dropped", 0)
		summary.AddAttrs(slog.Int64("count", dropped))
		if err := l.Handler.Handle(ctx, summary); err != nil {
			return err
		}
	}
	if !ok {
		l.log.dropped.Add(1)
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

// admit reports whether a line may be written. On the first line of a new second,
// dropped is the number of lines dropped in the last second with lines.
func (w *window) admit(second int64, level slog.Level) (dropped int64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second != w.second {
		dropped = w.dropped
		w.second, w.infos, w.warns, w.dropped = second, 0, 0, 0
	}
	switch {
	case level < slog.LevelWarn && w.infos < infoPerSecond:
		w.infos++
		return dropped, true
	case level >= slog.LevelWarn && w.warns < warnPerSecond:
		w.warns++
		return dropped, true
	}
	w.dropped++
	return dropped, false
}

// writer buffers lines and writes them from one goroutine.
type writer struct {
	out     io.Writer
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Int64

	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer. It never waits for the output.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lines.Len()+len(line) > maxBuffered {
		w.dropped.Add(1)
		return len(line), nil
	}
	return w.lines.Write(line)
}

func (w *writer) run() {
	defer close(w.done)
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.flush()
		case <-w.stop:
			w.flush()
			return
		}
	}
}

func (w *writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.lines.Bytes())
	w.lines.Reset()
	w.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	// A failure to write the log cannot be reported anywhere else.
	_, _ = w.out.Write(lines)
}
