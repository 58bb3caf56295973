package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/fake/model"
	"trefoildale.example/trefoildale/internal/local"
	"trefoildale.example/trefoildale/pkg/spec"
)

// The targets for the time that an entry node adds to the first token.
const (
	overheadP50 = 300 * time.Microsecond
	overheadP99 = 2 * time.Millisecond
)

// OverheadOptions are the settings of an overhead measurement.
type OverheadOptions struct {
	// Rate is the rate of requests per second through the entry node,
	// DirectRate the rate of those that are sent directly to the engines at the
	// same time.
	Rate       float64
	DirectRate float64
	Duration   time.Duration
	Engines    int
	Tokens     int64
	Seed       int64
}

// Overhead holds the time to the first token with and without an entry node.
type Overhead struct {
	Options OverheadOptions `json:"options"`
	Entry   Latency         `json:"entry"`
	Direct  Latency         `json:"direct"`
	// Failed counts requests of both kinds that failed or got a wrong or
	// incomplete answer.
	Failed  int64   `json:"failed"`
	SendLag Latency `json:"send-lag"`
}

// Added returns the difference of the percentiles in milliseconds.
func (o *Overhead) Added() (p50, p95, p99 float64) {
	return o.Entry.P50 - o.Direct.P50, o.Entry.P95 - o.Direct.P95, o.Entry.P99 - o.Direct.P99
}

// overheadModel is the only model of the fleet, which all engines hold from the
// start.
const overheadModel = "lane-rules"

// overheadWarmUp is the time for opening connections before the measurement.
const overheadWarmUp = 3 * time.Second

// overheadConfig returns a fleet of one domain whose engines all serve one model.
func overheadConfig(engines int) *spec.Config {
	c := spec.New()
	c.Domains = []spec.Domain{{Name: "d1", Region: "r"}}
	c.Services = []spec.Service{{Name: "assistant", Kind: spec.KindModel}}
	for i := range engines {
		c.Endpoints = append(c.Endpoints, spec.Endpoint{
			Name:      "engine-" + strconv.Itoa(i+1),
			Service:   "assistant",
			Domain:    "d1",
			Address:   "127.0.0.1:" + strconv.Itoa(i+1),
			MemoryMiB: 20_000,
			Fencing:   true,
			Speed:     1,
		})
	}
	c.Models = []spec.Model{{
		Name:             overheadModel,
		Service:          "assistant",
		Version:          "1",
		MemoryMiB:        16_000,
		MaxContextTokens: 8192,
		OnDemand:         spec.Duration(30 * time.Second),
	}}
	c.Workspaces = []spec.Workspace{{
		Name:                "club",
		RateTokensPerSecond: 1e7,
		BurstTokens:         1e7,
		Weight:              1,
	}}
	c.Limits.WeightLoadsPerSecond = 20
	c.Limits.WeightLoadsParallel = 20
	return c
}

// MeasureOverhead sends streamed requests through one entry node and, at the
// same time and with the same client, directly to the engines.
func MeasureOverhead(ctx context.Context, opts OverheadOptions) (*Overhead, error) {
	config := overheadConfig(opts.Engines)
	m := config.Models[0]
	engines := model.Options{
		// Fast engines keep their own time small compared with that of the
		// entry node.
		Speed:       1e6,
		StreamSpeed: 1000,
		MaxRunning:  1000,
		Resident: []engine.Resident{{
			Model:     m.Name,
			Version:   m.Version,
			MemoryMiB: m.MemoryMiB,
		}},
	}
	fleet, stop, err := local.Start(local.Options{
		Config: config,
		Engine: engines,
	})
	if err != nil {
		return nil, fmt.Errorf("start the fleet: %w", err)
	}
	defer stop()
	secret, err := fleet.AddKey(ctx, "load", "club")
	if err != nil {
		return nil, err
	}
	if err := fleet.WaitResident(ctx, overheadModel); err != nil {
		return nil, err
	}
	var addresses []string
	for _, e := range fleet.Config.Endpoints {
		addresses = append(addresses, e.Address)
	}
	time.Sleep(keyPropagationDelay)
	entry, release := newCaller(func(*Arrival, int) string { return fleet.Nodes[0].CallersAddr }, map[string]string{"club": secret})
	defer release()
	// Engines refuse requests with a key, so direct requests have none.
	direct, releaseDirect := newCaller(func(a *Arrival, _ int) string { return addresses[a.NodeChoice%uint64(len(addresses))] }, nil)
	defer releaseDirect()
	o := &Overhead{Options: opts}
	o.measure(ctx, entry, direct)
	return o, ctx.Err()
}

// measure sends both kinds of requests as Poisson processes and records their
// times to the first token.
func (o *Overhead) measure(ctx context.Context, entry, direct *caller) {
	entryHist, directHist, lag := newHist(), newHist(), newHist()
	var mu sync.Mutex
	var all sync.WaitGroup
	begin := time.Now()
	send := func(c *caller, h *hdr.Histogram, rate float64, stream uint64) {
		r := rand.New(rand.NewPCG(uint64(o.Options.Seed), stream))
		at := time.Duration(0)
		for n := 0; ; n++ {
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			if at >= o.Options.Duration+overheadWarmUp || !sleepUntil(ctx, begin.Add(at)) {
				return
			}
			a := &Arrival{
				Workspace:    "club",
				Class:        spec.ClassInteractive,
				Model:        overheadModel,
				PromptTokens: 64,
				OutputTokens: o.Options.Tokens,
				ID:           fmt.Sprintf("%d-%d-%d", o.Options.Seed, stream, n),
				NodeChoice:   r.Uint64(),
			}
			late := time.Since(begin) - at
			measured := at >= overheadWarmUp
			all.Go(func() {
				rec := c.do(ctx, a)
				if !measured {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				recordDuration(lag, late)
				if !rec.Served || rec.WrongAnswer || rec.LostTokens > 0 {
					o.Failed++
					return
				}
				recordDuration(h, rec.FirstToken)
			})
		}
	}
	all.Go(func() { send(entry, entryHist, o.Options.Rate, 1) })
	all.Go(func() { send(direct, directHist, o.Options.DirectRate, 2) })
	all.Wait()
	o.Entry, o.Direct, o.SendLag = latencyOf(entryHist), latencyOf(directHist), latencyOf(lag)
}

// Print writes the measurement as a table with the targets.
func (o *Overhead) Print(w io.Writer) {
	fmt.Fprintf(w, "time to first token, ms           requests     p50     p95     p99\n")
	row := func(name string, l Latency) {
		fmt.Fprintf(w, "%-32s %9d %7.3f %7.3f %7.3f\n", name, l.Count, l.P50, l.P95, l.P99)
	}
	row(fmt.Sprintf("through the entry node, %.0f/s", o.Options.Rate), o.Entry)
	row(fmt.Sprintf("directly, %.0f/s", o.Options.DirectRate), o.Direct)
	p50, p95, p99 := o.Added()
	fmt.Fprintf(w, "%-32s %9s %7.3f %7.3f %7.3f\n", "difference", "", p50, p95, p99)
	fmt.Fprintf(w, "targets: p50 below %s: %s; p99 below %s: %s\n", overheadP50, met(p50, overheadP50), overheadP99, met(p99, overheadP99))
	fmt.Fprintf(w, "failed: %d; requests sent late, p99: %.3f ms\n", o.Failed, o.SendLag.P99)
}

func met(ms float64, target time.Duration) string {
	if ms < float64(target.Microseconds())/1000 {
		return "met"
	}
	return "not met"
}
