// Package cost measures the resources that the control plane uses on each node
// (CPU, memory, messages and requests to the platform) for idle fleets of several
// sizes, each in one process. docs/CAPACITY.md is based on how these figures grow
// with the size.
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

// Size is the size of a fleet.
type Size struct {
	Domains        int
	NodesPerDomain int
	Endpoints      int
	Models         int
	Workspaces     int
}

// Result holds the resources that a fleet used while it served no requests.
// Figures are per node, and per second where they are rates, unless stated
// otherwise.
type Result struct {
	Size
	Nodes int
	// CPU is the share of one core, including a node's share of the stand-ins.
	CPU float64
	// MemoryMiB is the live heap after a garbage collection plus the stacks, in
	// MiB, including a node's share of the stand-ins.
	MemoryMiB     float64
	Goroutines    float64
	SentBytes     float64
	ReceivedBytes float64
	Messages      float64
	// MaxSentBytes is the number of bytes that the busiest node sent.
	MaxSentBytes float64
	// Reads and Writes are the requests of the whole fleet to the platform.
	Reads  float64
	Writes float64
}

// warmUp is how long a fleet runs before the measurement, so that the assignment
// of slots and leases and the layouts have become stable.
const warmUp = 12 * time.Second

// Measure starts a fleet of the given size and measures it for the given
// duration.
func Measure(ctx context.Context, size Size, duration time.Duration) (Result, error) {
	f, stop, err := local.Start(local.Options{
		Config:         config(size),
		NodesPerDomain: size.NodesPerDomain,
	})
	if err != nil {
		return Result{}, fmt.Errorf("start fleet of %d nodes: %w", size.Domains*size.NodesPerDomain, err)
	}
	defer stop()
	if err := sleep(ctx, warmUp); err != nil {
		return Result{}, err
	}
	before := takeReading(f)
	if err := sleep(ctx, duration); err != nil {
		return Result{}, err
	}
	return computeResult(size, before, takeReading(f)), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reading holds the counters of a fleet at one time.
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

// takeReading reads the counters. The memory is read last, after a garbage
// collection.
func takeReading(f *local.Fleet) reading {
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

// processorTime returns the CPU time of this process in user and system mode.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// computeResult computes the rates between two readings.
func computeResult(size Size, before, after reading) Result {
	nodes := float64(len(after.sent))
	seconds := after.at.Sub(before.at).Seconds()
	rate := func(from, to int64) float64 { return float64(to-from) / seconds }
	out := Result{
		Size:          size,
		Nodes:         len(after.sent),
		CPU:           (after.cpu - before.cpu).Seconds() / seconds / nodes,
		MemoryMiB:     float64(after.heap) / nodes / (1 << 20),
		Goroutines:    float64(after.goroutines) / nodes,
		ReceivedBytes: rate(before.received, after.received) / nodes,
		Messages:      rate(before.messages, after.messages) / nodes,
		Reads:         rate(before.reads, after.reads),
		Writes:        rate(before.writes, after.writes),
	}
	for i := range after.sent {
		sent := rate(before.sent[i], after.sent[i])
		out.SentBytes += sent / nodes
		out.MaxSentBytes = max(out.MaxSentBytes, sent)
	}
	return out
}

// config returns a configuration whose endpoints are distributed over the domains.
// Four domains form a region.
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
