package fair

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/pkg/spec"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type simEvent struct {
	at  time.Duration
	run func()
}

// simulate sends Poisson arrivals to an endpoint that handles 32 requests at the
// same time and takes 1 s for each on average. It returns the p95 times from
// arrival to start and from arrival to the first token, over all workspaces
// except w0.
func simulate(seed uint64, load []float64, opts Options) (wait, first time.Duration) {
	const limit = 32
	opts.Limit = limit
	q := NewQueue(opts)
	rng := rand.New(rand.NewPCG(seed, 2))
	var now time.Duration
	var pending []simEvent // in descending order of time
	after := func(d float64, run func()) {
		e := simEvent{
			at:  now + time.Duration(d*float64(time.Second)),
			run: run,
		}
		i, _ := slices.BinarySearchFunc(pending, e.at, func(o simEvent, at time.Duration) int { return cmp.Compare(at, o.at) })
		pending = slices.Insert(pending, i, e)
	}
	var waits, firsts []time.Duration
	arrived := make(map[*Ticket]time.Duration)
	start := func() {
		for t := q.Next(epoch.Add(now)); t != nil; t = q.Next(epoch.Add(now)) {
			service := float64(t.Cost) / 1000
			if t.Workspace != "w0" && now > time.Minute {
				w := now - arrived[t]
				waits = append(waits, w)
				// The first token arrives after 10 % to 50 % of the service time.
				firsts = append(firsts, w+time.Duration((0.1+0.4*rng.Float64())*service*float64(time.Second)))
			}
			delete(arrived, t)
			after(service, func() { q.Done(t) })
		}
	}
	for i, l := range load {
		if l == 0 {
			continue
		}
		var next func()
		next = func() {
			after(rng.ExpFloat64()/(l*limit), next)
			t := &Ticket{
				Workspace: fmt.Sprintf("w%d", i),
				Class:     spec.ClassNormal,
				Cost:      int64(500 + rng.IntN(1001)),
			}
			arrived[t] = now
			if out, err := q.Push(epoch.Add(now), t); err != nil {
				delete(arrived, t)
			} else if out != nil {
				delete(arrived, out)
			}
		}
		next()
	}
	for now < 20*time.Minute {
		e := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		now = e.at
		e.run()
		start()
	}
	slices.Sort(waits)
	slices.Sort(firsts)
	return waits[len(waits)*95/100], firsts[len(firsts)*95/100]
}

// TestBusyWorkspaceDoesNotSlowOthers guards against a workspace that slows down
// the others by sending five times its rate. The p95 time to first token of the
// others must stay within 1.2 times the value without the busy workspace.
func TestBusyWorkspaceDoesNotSlowOthers(t *testing.T) {
	for _, load := range []float64{0.10, 0.14, 0.16} {
		for seed := range uint64(3) {
			waitBefore, before := simulate(seed, []float64{0, load, load, load, load}, Options{})
			waitAfter, after := simulate(seed, []float64{5 * load, load, load, load, load}, Options{})
			t.Logf("load %.2f each, seed %d: p95 wait %v and %v, p95 time to first token %v and %v", load, seed, waitBefore, waitAfter, before, after)
			if float64(after) > 1.2*float64(before) {
				t.Errorf("load %.2f each, seed %d: p95 time to first token %v, without the busy workspace %v", load, seed, after, before)
			}
		}
	}
}

// TestClasses guards against an order that ignores the classes, and against
// deferrable requests that never run.
func TestClasses(t *testing.T) {
	push := func(q *Queue, at time.Duration, ws string, c spec.Class) *Ticket {
		tk := &Ticket{
			Workspace: ws,
			Class:     c,
			Cost:      100,
		}
		if _, err := q.Push(epoch.Add(at), tk); err != nil {
			t.Fatal(err)
		}
		return tk
	}
	tests := []struct {
		name  string
		later time.Duration // between the arrivals and the start
		want  []string
	}{
		{"urgent first", 0, []string{"a interactive", "b interactive", "a normal", "a deferrable"}},
		{"overdue deferrable", DefaultDeferBound, []string{"a deferrable", "a normal", "b interactive", "a interactive"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := NewQueue(Options{
				Limit: 1,
			})
			push(q, 0, "a", spec.ClassDeferrable)
			push(q, 0, "a", spec.ClassNormal)
			push(q, tt.later, "a", spec.ClassInteractive)
			push(q, tt.later, "b", spec.ClassInteractive)
			var got []string
			for tk := q.Next(epoch.Add(tt.later)); tk != nil; tk = q.Next(epoch.Add(tt.later)) {
				got = append(got, tk.Workspace+" "+string(tk.Class))
				q.Done(tk)
			}
			if tt.later > 0 {
				// The requests of the two workspaces may alternate, so only the order
				// within "a" is compared.
				got = slices.DeleteFunc(got, func(s string) bool { return s[0] == 'b' })
				tt.want = slices.DeleteFunc(tt.want, func(s string) bool { return s[0] == 'b' })
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("order %q, want %q", got, tt.want)
			}
		})
	}
}

// TestQueueModel guards against lost or duplicated tickets, more running or
// waiting requests than allowed, an endpoint that is idle while requests wait,
// and shares of a busy endpoint that do not match the weights.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opts := Options{
			Limit:    rapid.IntRange(1, 16).Draw(t, "limit"),
			MaxQueue: rapid.IntRange(1, 20).Draw(t, "max-queue"),
		}
		q := NewQueue(opts)
		now := epoch
		waiting, running := make(map[*Ticket]bool), make(map[*Ticket]bool)
		pick := func(from map[*Ticket]bool) *Ticket {
			var all []*Ticket
			for tk := range from {
				all = append(all, tk)
			}
			if len(all) == 0 {
				t.Skip("none")
			}
			slices.SortFunc(all, func(a, b *Ticket) int { return int(a.seq) - int(b.seq) })
			return rapid.SampledFrom(all).Draw(t, "ticket")
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				tk := &Ticket{
					Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					Weight:    rapid.SampledFrom([]float64{0, 1, 4}).Draw(t, "weight"),
					Class:     rapid.SampledFrom([]spec.Class{spec.ClassInteractive, spec.ClassNormal, spec.ClassDeferrable}).Draw(t, "class"),
					Cost:      rapid.Int64Range(0, 5000).Draw(t, "cost"),
				}
				if rapid.Bool().Draw(t, "has deadline") {
					tk.Deadline = now.Add(5 * time.Second)
				}
				out, err := q.Push(now, tk)
				switch {
				case errors.Is(err, ErrFull) && len(waiting) == opts.MaxQueue:
				case err != nil:
					t.Fatal(err)
				default:
					waiting[tk] = true
				}
				if out != nil {
					if !waiting[out] || out.State() != Finished {
						t.Fatalf("evicted %+v", out)
					}
					delete(waiting, out)
				}
			},
			"next": func(t *rapid.T) {
				tk := q.Next(now)
				if tk == nil {
					if len(waiting) > 0 && len(running) == 0 {
						t.Fatal("the endpoint is idle while requests wait")
					}
					return
				}
				if !waiting[tk] || tk.State() != Running {
					t.Fatalf("started %+v", tk)
				}
				delete(waiting, tk)
				running[tk] = true
			},
			"done": func(*rapid.T) {
				tk := pick(running)
				q.Done(tk)
				q.Done(tk)
				delete(running, tk)
			},
			"cancel": func(*rapid.T) {
				tk := pick(waiting)
				q.Done(tk)
				delete(waiting, tk)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
				for _, tk := range q.Expire(now) {
					if !waiting[tk] || now.Before(tk.Deadline) {
						t.Fatalf("expired %+v", tk)
					}
					delete(waiting, tk)
				}
			},
			"": func(t *rapid.T) {
				if q.Waiting() != len(waiting) || q.Running() != len(running) || len(running) > opts.Limit || len(waiting) > opts.MaxQueue {
					t.Fatalf("%d waiting and %d running, model has %d and %d", q.Waiting(), q.Running(), len(waiting), len(running))
				}
			},
		})
	})
	q := NewQueue(Options{
		Limit: 1,
	})
	served := map[string]int{}
	for range 400 {
		for ws, weight := range map[string]float64{"light": 1, "heavy": 3} {
			if _, err := q.Push(epoch, &Ticket{Workspace: ws, Weight: weight, Class: spec.ClassNormal, Cost: 1000}); err != nil {
				t.Fatal(err)
			}
		}
	}
	for range 400 {
		tk := q.Next(epoch)
		served[tk.Workspace]++
		q.Done(tk)
	}
	if n := served["heavy"]; n < 295 || n > 305 {
		t.Errorf("weight 3 of 4 got %d of 400 requests", n)
	}
}

// TestGateReleasesPlaces guards against places that stay occupied when callers
// cancel while waiting.
func TestGateReleasesPlaces(t *testing.T) {
	g := NewGate(clock.NewReal(), Options{
		Limit: 4,
	})
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+i%20)*time.Millisecond)
			defer cancel()
			release, err := g.Acquire(ctx, fmt.Sprintf("w%d", i%3), 1, spec.ClassNormal, 10)
			if err != nil {
				if !errors.Is(err, ErrDeadline) {
					t.Error(err)
				}
				return
			}
			time.Sleep(time.Millisecond)
			release()
			release()
		})
	}
	wg.Wait()
	if running, waiting := g.Load(); running != 0 || waiting != 0 || len(g.waiters) != 0 {
		t.Errorf("%d running, %d waiting, %d waiters left", running, waiting, len(g.waiters))
	}
	if _, err := g.Acquire(context.Background(), "w", 1, "urgent", 1); !errors.Is(err, ErrClass) {
		t.Errorf("unknown class: %v", err)
	}
}

func BenchmarkQueue(b *testing.B) {
	q := NewQueue(Options{})
	for i := range 100 {
		if _, err := q.Push(epoch, &Ticket{Workspace: fmt.Sprintf("w%d", i), Class: spec.ClassNormal, Cost: 100}); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		t := q.Next(epoch)
		q.Done(t)
		if _, err := q.Push(epoch, t); err != nil {
			b.Fatal(err)
		}
	}
}
