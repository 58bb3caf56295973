package lead

import (
	"context"
	"errors"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/depot"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/grant"
)

type fetch struct {
	Fetch
	by    time.Time
	reply chan<- Fetched
}

type ordered struct {
	order  depot.Order
	answer depot.Answer
	err    error
	sent   time.Time // the last time
	tries  int
}

func (c *Coordinator) mayOrder(now time.Time) bool {
	return now.Before(c.tenure.Until.Add(-orderMargin))
}

// resign ends this node's orders for a new holder, and tells it when each
// engine may be given orders.
func (c *Coordinator) resign(now time.Time, fence int64) *Handover {
	if c.depot == nil || fence <= c.tenure.Fence {
		return nil
	}
	c.resigned = max(c.resigned, fence)
	h := &Handover{
		Others: max(0, c.tenure.OrdersFrom.Sub(now)),
	}
	if c.active {
		// The levels are told once; a second question gets none.
		for name, level := range c.issuer.Levels(now) {
			h.Levels = append(h.Levels, grant.Loan{
				Workspace: name,
				Tokens:    level,
			})
		}
		c.end("another node holds the lease")
	}
	for key, at := range c.depot.Issued(now) {
		h.Engines = append(h.Engines, EngineHold{
			Key: key,
			In:  max(0, at.Add(c.leaseWait).Sub(now), h.Others),
		})
	}
	return h
}

// handedOver is the answer of the former holder.
type handedOver struct {
	fence    int64
	at       time.Time
	handover *Handover
}

func (m handedOver) apply(_ context.Context, c *Coordinator, now time.Time) {
	if !c.active || c.tenure.Fence != m.fence {
		return
	}
	engines := make(map[fleet.Key]time.Time, len(m.handover.Engines))
	for _, e := range m.handover.Engines {
		engines[e.Key] = m.at.Add(e.In)
	}
	c.depot.Hold(m.at.Add(m.handover.Others), engines)
	for _, l := range m.handover.Levels {
		c.issuer.Inherit(now, l.Workspace, l.Tokens)
	}
	c.log.Info("former coordinator resigned", "former", c.tenure.Former, "engines", len(engines),
		"others-in-ms", m.at.Add(m.handover.Others).Sub(now).Milliseconds())
}

// give sends an order to an engine.
func (c *Coordinator) give(ctx context.Context, o depot.Order) {
	c.log.Info("order given", "endpoint", o.Key.ID, "load", o.Load, "model", o.Model, "adapter", o.Adapter,
		"expected", o.Expected, "from-store", o.FromStore, "reason", o.Reason, "fence", c.tenure.Fence)
	until := c.tenure.Until
	fence := c.tenure.Fence
	go func() {
		out := ordered{
			order: o,
		}
		out.answer, out.err = depot.Refused, errLeaseOver
		for range orderTries {
			if !c.clock.Now().Before(until) {
				break
			}
			out.sent, out.tries = c.clock.Now(), out.tries+1
			bounded, cancel := context.WithTimeout(ctx, orderTimeout)
			out.answer, out.err = c.engines.Order(bounded, o, c.node, fence)
			cancel()
			if out.answer != depot.Lost {
				break
			}
		}
		c.post(ctx, out)
	}()
}

var errLeaseOver = errors.New("lead: the lease ended before the order was sent")

func (m ordered) apply(ctx context.Context, c *Coordinator, now time.Time) {
	if m.answer == depot.Lost || m.answer == depot.Refused {
		text := ""
		if m.err != nil {
			text = m.err.Error()
		}
		c.log.Warn("order answered", "endpoint", m.order.Key.ID, "model", m.order.Model, "adapter", m.order.Adapter,
			"load", m.order.Load, "expected", m.order.Expected, "answer", m.answer.String(), "tries", m.tries, "error", text)
	}
	if !c.active {
		return
	}
	c.depot.Answered(m.sent, m.order, m.answer)
	if p := c.reports[m.order.Key]; p != nil {
		// The engine's state is wanted soon after an order.
		p.next = now.Add(reportEvery / 3)
	}
	c.driveFetches(ctx, now)
}

// driveFetches goes on with the adapters that are waited for.
func (c *Coordinator) driveFetches(ctx context.Context, now time.Time) {
	c.fetches = slices.DeleteFunc(c.fetches, func(f *fetch) bool {
		if !now.Before(f.by) {
			f.reply <- Fetched{
				Problem: "not in time",
			}
			return true
		}
		if !c.mayOrder(now) {
			return false
		}
		o, err := c.depot.Adapter(now, f.Key, f.Model, f.Adapter)
		switch {
		case err == depot.ErrGone:
			f.reply <- Fetched{
				Problem: err.Error(),
			}
			return true
		case err != nil:
			return false
		case o != nil:
			c.give(ctx, *o)
			return false
		}
		reply := f.reply
		time.AfterFunc(adapterSettle, func() { reply <- Fetched{} })
		return true
	})
}

func (c *Coordinator) failFetches(why string) {
	for _, f := range c.fetches {
		f.reply <- Fetched{
			Problem: why,
		}
	}
	c.fetches = nil
}

func (f *fetch) apply(ctx context.Context, c *Coordinator, now time.Time) {
	if !c.active {
		f.reply <- Fetched{
			Problem: "this node is not the coordinator",
		}
		return
	}
	f.by = now.Add(fetchTimeout)
	c.fetches = append(c.fetches, f)
	c.driveFetches(ctx, now)
}
