// Package trail writes the structured log of a process: one JSON object a line.
//
// Writing never blocks a caller: lines go to a bounded buffer that one goroutine
// empties. Lines beyond the rate of their level are dropped and counted, and a
// line with the count follows.
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
	// flushEvery bounds how long a line waits before it is written.
	flushEvery = 100 * time.Millisecond
	// maxBuffered bounds the lines that are not written yet: about 300 bytes each.
	maxBuffered = 256 << 10
	// infoPerSecond and warnPerSecond bound the lines of a second, so that a node
	// at its highest load spends under 1% of a core on its log.
	infoPerSecond = 150
	warnPerSecond = 250
)

// Log is the log of one process.
type Log struct {
	*slog.Logger
	w       *writer
	dropped atomic.Int64
}

// New returns a log that writes to out, and a function that writes what is
// buffered and stops.
func New(out io.Writer, base ...any) (*Log, func()) {
	w := &writer{
		out:  out,
		stop: make(chan struct{}),
		done: make(chan struct{}),
	}
	l := &Log{
		w: w,
	}
	h := &bounded{
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

// Dropped returns how many lines were not written.
func (l *Log) Dropped() int64 { return l.dropped.Load() + l.w.dropped.Load() }

// bounded drops lines beyond the rate of their level.
type bounded struct {
	slog.Handler
	log *Log

	shared *window
}

type window struct {
	mu     sync.Mutex
	second int64
	infos  int
	warns  int
	lost   int64
}

var _ slog.Handler = (*bounded)(nil)

// WithAttrs implements slog.Handler.
func (b *bounded) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &bounded{
		Handler: b.Handler.WithAttrs(attrs),
		log:     b.log,
		shared:  b.shared,
	}
}

// WithGroup implements slog.Handler.
func (b *bounded) WithGroup(name string) slog.Handler {
	return &bounded{
		Handler: b.Handler.WithGroup(name),
		log:     b.log,
		shared:  b.shared,
	}
}

// Handle implements slog.Handler.
func (b *bounded) Handle(ctx context.Context, r slog.Record) error {
	lost, ok := b.shared.admit(r.Time.Unix(), r.Level)
	if lost > 0 {
		note := slog.NewRecord(r.Time, slog.LevelWarn, "log lines dropped", 0)
		note.AddAttrs(slog.Int64("count", lost))
		if err := b.Handler.Handle(ctx, note); err != nil {
			return err
		}
	}
	if !ok {
		b.log.dropped.Add(1)
		return nil
	}
	return b.Handler.Handle(ctx, r)
}

func (w *window) admit(second int64, level slog.Level) (lost int64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second != w.second {
		lost = w.lost
		w.second, w.infos, w.warns, w.lost = second, 0, 0, 0
	}
	switch {
	case level < slog.LevelWarn && w.infos < infoPerSecond:
		w.infos++
		return lost, true
	case level >= slog.LevelWarn && w.warns < warnPerSecond:
		w.warns++
		return lost, true
	}
	w.lost++
	return lost, false
}

// writer collects lines and writes them from one goroutine.
type writer struct {
	out     io.Writer
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Int64

	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer. It never blocks on the output.
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
	// There is no other place to report that the log cannot be written.
	_, _ = w.out.Write(lines)
}
