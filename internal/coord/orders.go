package coord

import (
	"context"
	"errors"
	"slices"
	"time"

	"trefoildale.example/trefoildale/internal/conn"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/grant"
	"trefoildale.example/trefoildale/internal/health"
	"trefoildale.example/trefoildale/internal/models"
)

type adapterFetch struct {
	Fetch
	deadline time.Time
	reply    chan<- Fetched
}

type orderFinished struct {
	order  models.Order
	answer models.Answer
	err    error
	sent   time.Time // the last time
	tries  int
}

func (c *Coordinator) mayOrder(now time.Time) bool {
	return now.Before(c.tenure.Until.Add(-orderMargin))
}

// resign ends this node's tenure in favor of a new holder. It returns when that
// holder may send orders to each engine, or nil if the fence is not newer.
func (c *Coordinator) resign(now time.Time, fence int64) *Handover {
	if c.planner == nil || fence <= c.tenure.Fence {
		return nil
	}
	c.resignedFence = max(c.resignedFence, fence)
	h := &Handover{
		OtherEngines: max(0, c.tenure.OrdersFrom.Sub(now)),
	}
	if c.active {
		// The levels are handed over only once, because the successor would add
		// them to its buckets again.
		for name, level := range c.issuer.Levels(now) {
			h.Levels = append(h.Levels, grant.Grant{
				Workspace: name,
				Tokens:    level,
			})
		}
		c.endTenure("another node holds the lease")
	}
	last := c.planner.LastOrderTimes(now)
	for key := range c.sending {
		// The order may be on its way.
		last[key] = now
	}
	for key, at := range last {
		h.Engines = append(h.Engines, EngineWait{
			Key:  key,
			Wait: max(0, at.Add(c.leaseWait).Sub(now), h.OtherEngines),
		})
	}
	return h
}

// handoverReceived is the former holder's reply to a request to resign.
type handoverReceived struct {
	fence    int64
	at       time.Time
	handover *Handover
}

func (m handoverReceived) apply(_ context.Context, c *Coordinator, now time.Time) {
	if !c.active || c.tenure.Fence != m.fence {
		return
	}
	engines := make(map[fleet.Key]time.Time, len(m.handover.Engines))
	for _, e := range m.handover.Engines {
		engines[e.Key] = m.at.Add(e.Wait)
	}
	c.planner.SetOrdersFrom(m.at.Add(m.handover.OtherEngines), engines)
	for _, l := range m.handover.Levels {
		c.issuer.AddTokens(now, l.Workspace, l.Tokens)
	}
	c.log.Info("former coordinator resigned", "former", c.tenure.Former, "engines", len(engines),
		"others-in-ms", m.at.Add(m.handover.OtherEngines).Sub(now).Milliseconds())
}

// sendOrder sends an order to an engine and repeats it while it is unanswered.
func (c *Coordinator) sendOrder(ctx context.Context, o models.Order) {
	c.log.Info("order given", "endpoint", o.Key.ID, "load", o.Load, "model", o.Model, "adapter", o.Adapter,
		"expected", o.Expected, "from-store", o.FromStore, "reason", o.Reason, "fence", c.tenure.Fence)
	until := c.tenure.Until.Add(-orderMargin)
	fence, ended := c.tenure.Fence, c.tenureEnded
	// The process may be suspended between this decision and the first byte.
	check := func() error {
		select {
		case <-ended:
			return errLeaseOver
		default:
		}
		now := c.clock.Now()
		if !now.Before(until) {
			return errLeaseOver
		}
		if o.Load && c.health.Ask(now, o.Key).Reason == health.Leaving {
			return errEngineLeaves
		}
		return nil
	}
	c.sending[o.Key]++
	go func() {
		finished := orderFinished{
			order: o,
		}
		finished.answer = models.Refused
		for range maxOrderAttempts {
			if err := check(); err != nil {
				if finished.tries == 0 {
					finished.err = err
				}
				break
			}
			finished.sent, finished.tries = c.clock.Now(), finished.tries+1
			bounded, cancel := context.WithTimeout(ctx, orderTimeout)
			answer, err := c.engines.Order(bounded, o, c.node, fence, check)
			cancel()
			var notSent *conn.NotSentError
			if finished.tries > 1 && errors.As(err, &notSent) {
				// An earlier attempt was not answered and may still take effect.
				break
			}
			finished.answer, finished.err = answer, err
			if answer != models.NoAnswer {
				break
			}
		}
		c.post(ctx, finished)
	}()
}

var (
	errLeaseOver    = errors.New("coord: the lease ended before the order was sent")
	errEngineLeaves = errors.New("coord: the engine leaves")
)

func (m orderFinished) apply(ctx context.Context, c *Coordinator, now time.Time) {
	if m.answer == models.NoAnswer || m.answer == models.Refused {
		text := ""
		if m.err != nil {
			text = m.err.Error()
		}
		c.log.Warn("order answered", "endpoint", m.order.Key.ID, "model", m.order.Model, "adapter", m.order.Adapter,
			"load", m.order.Load, "expected", m.order.Expected, "answer", m.answer.String(), "tries", m.tries, "error", text)
	}
	if c.sending[m.order.Key]--; c.sending[m.order.Key] <= 0 {
		delete(c.sending, m.order.Key)
	}
	if !c.active {
		return
	}
	c.planner.RecordAnswer(m.sent, m.order, m.answer)
	if p := c.polls[m.order.Key]; p != nil {
		// Poll the engine early to see the effect of the order.
		p.nextPoll = now.Add(reportInterval / 3)
	}
	c.processFetches(ctx, now)
}

// processFetches continues the waiting adapter loads: it sends the orders that
// they need next and answers those that are finished, failed or too late.
func (c *Coordinator) processFetches(ctx context.Context, now time.Time) {
	c.fetches = slices.DeleteFunc(c.fetches, func(f *adapterFetch) bool {
		if !now.Before(f.deadline) {
			f.reply <- Fetched{
				Problem: "not in time",
			}
			return true
		}
		if !c.mayOrder(now) {
			return false
		}
		o, err := c.planner.NextAdapterOrder(now, f.Key, f.Model, f.Adapter)
		switch {
		case err == models.ErrNotHeld:
			f.reply <- Fetched{
				Problem: err.Error(),
			}
			return true
		case err != nil:
			return false
		case o != nil:
			c.sendOrder(ctx, *o)
			return false
		}
		reply := f.reply
		time.AfterFunc(adapterLoadTime, func() { reply <- Fetched{} })
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

func (f *adapterFetch) apply(ctx context.Context, c *Coordinator, now time.Time) {
	if !c.active {
		f.reply <- Fetched{
			Problem: "this node is not the coordinator",
		}
		return
	}
	f.deadline = now.Add(fetchTimeout)
	c.fetches = append(c.fetches, f)
	c.processFetches(ctx, now)
}
