// Package cost measures what control costs a node: processor time, memory,
// messages and requests to the platform, for fleets of several sizes in one
// process. The slopes are the basis of docs/CAPACITY.md.
package cost

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"trefoildale.example/trefoildale/internal/local"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Size is a fleet to measure.
type Size struct {
	Domains        int
	NodesPerDomain int
	Endpoints      int
	Models         int
	Workspaces     int
}

// Result is what one fleet cost while it served no requests. Figures are for
// one node and one second unless said otherwise.
type Result struct {
	Size
	Nodes int
	// CPU is the part of a core, with a node's share of the stand-ins.
	CPU float64
	// HeapMB is the live heap after a collection, with the stand-ins' share.
	HeapMB        float64
	Goroutines    float64
	SentBytes     float64
	ReceivedBytes float64
	Messages      float64
	// MaxBytes is what the busiest node sent.
	MaxBytes float64
	// Reads and Writes are the requests of the whole fleet to the platform.
	Reads  float64
	Writes float64
}

// settle is how long a fleet runs before the measurement, so that slots, leases
// and layouts have found their places.
const settle = 12 * time.Second

// Measure starts a fleet and measures it for the given time.
func Measure(ctx context.Context, size Size, length time.Duration) (Result, error) {
	f, stop, err := local.Start(local.Options{
		Config:         config(size),
		NodesPerDomain: size.NodesPerDomain,
	})
	if err != nil {
		return Result{}, fmt.Errorf("start fleet of %d nodes: %w", size.Domains*size.NodesPerDomain, err)
	}
	defer stop()
	if err := sleep(ctx, settle); err != nil {
		return Result{}, err
	}
	before := sample(f)
	if err := sleep(ctx, length); err != nil {
		return Result{}, err
	}
	return result(size, before, sample(f)), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reading holds the totals of a fleet at one time.
type reading struct {
	at         time.Time
	cpu        time.Duration
	heap       uint64
	goroutines int
	sent       []int64
	received   int64
	messages   int64
	reads      int64
	writes     int64
}

func sample(f *local.Fleet) reading {
	r := reading{
		cpu:        processorTime(),
		goroutines: runtime.NumGoroutine(),
		at:         time.Now(),
	}
	for _, n := range f.Nodes {
		u := n.Usage()
		r.sent = append(r.sent, u.SentBytes)
		r.received += u.ReceivedBytes
		r.messages += u.SentMessages
	}
	st := f.Platform.Stats()
	r.reads, r.writes = st.Reads, st.Writes
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	r.heap = m.HeapAlloc + m.StackInuse
	return r
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func result(size Size, a, b reading) Result {
	nodes := float64(len(b.sent))
	seconds := b.at.Sub(a.at).Seconds()
	rate := func(from, to int64) float64 { return float64(to-from) / seconds }
	out := Result{
		Size:          size,
		Nodes:         len(b.sent),
		CPU:           (b.cpu - a.cpu).Seconds() / seconds / nodes,
		HeapMB:        float64(b.heap) / nodes / (1 << 20),
		Goroutines:    float64(b.goroutines) / nodes,
		ReceivedBytes: rate(a.received, b.received) / nodes,
		Messages:      rate(a.messages, b.messages) / nodes,
		Reads:         rate(a.reads, b.reads),
		Writes:        rate(a.writes, b.writes),
	}
	for i := range b.sent {
		sent := rate(a.sent[i], b.sent[i])
		out.SentBytes += sent / nodes
		out.MaxBytes = max(out.MaxBytes, sent)
	}
	return out
}

// config spreads the endpoints over the domains. Every tenth of the domains is
// a region.
func config(size Size) *spec.Config {
	c := spec.New()
	c.Services = []spec.Service{{
		Name: "assistant",
		Kind: spec.KindModel,
	}}
	for i := range size.Domains {
		c.Domains = append(c.Domains, spec.Domain{
			Name:   fmt.Sprintf("d%02d", i),
			Region: fmt.Sprintf("r%d", i/4),
		})
	}
	for i := range size.Endpoints {
		c.Endpoints = append(c.Endpoints, spec.Endpoint{
			Name:      fmt.Sprintf("e%04d", i),
			Service:   "assistant",
			Domain:    c.Domains[i%size.Domains].Name,
			Address:   fmt.Sprintf("127.0.0.1:%d", i+1),
			MemoryMiB: 80_000,
			Fencing:   true,
			Speed:     1,
		})
	}
	for i := range size.Models {
		c.Models = append(c.Models, spec.Model{
			Name:             fmt.Sprintf("m%04d", i),
			Service:          "assistant",
			Version:          "1",
			MemoryMiB:        16_000,
			MaxContextTokens: 8192,
			OnDemand:         spec.Duration(30 * time.Second),
		})
	}
	for i := range size.Workspaces {
		c.Workspaces = append(c.Workspaces, spec.Workspace{
			Name:                fmt.Sprintf("w%04d", i),
			RateTokensPerSecond: 2000,
			BurstTokens:         8000,
			Weight:              1,
		})
	}
	return c
}
