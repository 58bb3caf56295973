package stats

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	// resolution is the unit of the recorded values.
	resolution = 10 * time.Microsecond
	// maxValue is the largest value of the histograms. Longer times are recorded as
	// maxValue.
	maxValue = 10 * time.Minute
	// significantDigits is the number of decimal digits that a recorded value keeps.
	// With two, a histogram takes about 20 KB; with three, it would take 150 KB.
	significantDigits = 2
	// maxWorkspaces limits the memory of the histograms: 32 workspaces with three
	// classes, each with two quantities of three histograms, take 12 MB if all are
	// in use.
	maxWorkspaces = 32
	// RotateEvery is the interval at which Rotate is called. The recent values cover
	// between one and two intervals.
	RotateEvery = time.Minute
	// Other is the name under which workspaces above the limit are recorded.
	Other = "other"
)

// Summary holds the count, the quantiles and the maximum of a histogram. Times are
// in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"max-ms"`
}

// Report holds the summaries of one workspace and class: since the start of
// the process, and over the last one to two minutes.
type Report struct {
	Workspace        string     `json:"workspace"`
	Class            spec.Class `json:"class"`
	FirstToken       Summary    `json:"first-token"`
	TokenGap         Summary    `json:"token-gap"`
	RecentFirstToken Summary    `json:"recent-first-token"`
	RecentTokenGap   Summary    `json:"recent-token-gap"`
}

type seriesKey struct {
	workspace string
	class     spec.Class
}

// latency holds the Series of each workspace and class. Looking up an existing
// Series takes no lock.
type latency struct {
	series     sync.Map // of seriesKey to *Series
	mu         sync.Mutex
	workspaces map[string]bool
	order      []seriesKey
	overflow   atomic.Int64
}

// Series records the latencies of one workspace and class. A handler looks up the
// Series once per request.
type Series struct {
	firstToken histogram
	tokenGap   histogram
}

// Series returns the series of a workspace and class. An unknown class is treated
// as normal. Once there are maxWorkspaces workspaces, further ones are recorded
// under Other.
func (s *Set) Series(workspace string, class spec.Class) *Series {
	switch class {
	case spec.ClassInteractive, spec.ClassDeferrable:
	default:
		class = spec.ClassNormal
	}
	key := seriesKey{workspace, class}
	if v, ok := s.latency.series.Load(key); ok {
		return v.(*Series)
	}
	return s.latency.add(key)
}

func (l *latency) add(key seriesKey) *Series {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.workspaces == nil {
		l.workspaces = map[string]bool{}
	}
	if !l.workspaces[key.workspace] && key.workspace != Other {
		if len(l.workspaces) >= maxWorkspaces {
			l.overflow.Add(1)
			key.workspace = Other
		} else {
			l.workspaces[key.workspace] = true
		}
	}
	v, loaded := l.series.LoadOrStore(key, &Series{})
	if !loaded {
		l.order = append(l.order, key)
	}
	return v.(*Series)
}

// FirstToken records the time from the arrival of a request to its first token.
func (s *Series) FirstToken(d time.Duration) {
	s.firstToken.record(d)
}

// TokenGap records the time between two tokens.
func (s *Series) TokenGap(d time.Duration) {
	s.tokenGap.record(d)
}

// histogram records values since the start, and in the current and the previous
// interval. Recording a value holds its lock only briefly.
type histogram struct {
	mu       sync.Mutex
	total    *hdrhistogram.Histogram
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
}

func newHDR() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxValue/resolution), significantDigits)
}

func (h *histogram) record(d time.Duration) {
	v := min(max(int64(d/resolution), 0), int64(maxValue/resolution))
	h.mu.Lock()
	if h.total == nil {
		h.total, h.current, h.previous = newHDR(), newHDR(), newHDR()
	}
	// RecordValue fails only for values out of range, and v is in range.
	_ = h.total.RecordValue(v)
	_ = h.current.RecordValue(v)
	h.mu.Unlock()
}

func (h *histogram) rotate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.total != nil {
		h.current, h.previous = h.previous, h.current
		h.current.Reset()
	}
}

func (h *histogram) summaries() (total, recent Summary) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.total == nil {
		return Summary{}, Summary{}
	}
	merged := newHDR()
	// All histograms have the same range, so Merge drops no value.
	merged.Merge(h.current)
	merged.Merge(h.previous)
	return summarize(h.total), summarize(merged)
}

func summarize(h *hdrhistogram.Histogram) Summary {
	ms := func(v int64) float64 {
		return float64(time.Duration(v)*resolution) / float64(time.Millisecond)
	}
	q := h.ValueAtPercentiles([]float64{50, 95, 99})
	return Summary{
		Count: h.TotalCount(),
		P50:   ms(q[50]),
		P95:   ms(q[95]),
		P99:   ms(q[99]),
		Max:   ms(h.Max()),
	}
}

// Rotate starts a new interval of the recent values.
func (s *Set) Rotate() {
	s.latency.series.Range(func(_, v any) bool {
		series := v.(*Series)
		series.firstToken.rotate()
		series.tokenGap.rotate()
		return true
	})
}

// Reports returns the summaries of all workspaces and classes, in the order of
// their first request.
func (s *Set) Reports() []Report {
	s.latency.mu.Lock()
	keys := append([]seriesKey(nil), s.latency.order...)
	s.latency.mu.Unlock()
	out := make([]Report, 0, len(keys))
	for _, key := range keys {
		v, ok := s.latency.series.Load(key)
		if !ok {
			continue
		}
		series := v.(*Series)
		r := Report{
			Workspace: key.workspace,
			Class:     key.class,
		}
		r.FirstToken, r.RecentFirstToken = series.firstToken.summaries()
		r.TokenGap, r.RecentTokenGap = series.tokenGap.summaries()
		out = append(out, r)
	}
	return out
}

// Latency returns an expvar function with the reports by workspace and class.
func (s *Set) Latency() expvar.Func {
	return func() any {
		out := map[string]map[spec.Class]Report{}
		for _, r := range s.Reports() {
			if out[r.Workspace] == nil {
				out[r.Workspace] = map[spec.Class]Report{}
			}
			out[r.Workspace][r.Class] = r
		}
		return out
	}
}
