package coord

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/grant"
)

// TestAdmitBetweenCoordinators guards against requests that are refused as over a rate which
// nobody reaches, because the last coordinator has just ended and no other one answers yet.
func TestAdmitBetweenCoordinators(t *testing.T) {
	const (
		rate = 100_000
		wait = 50 * time.Millisecond
	)
	for _, tc := range []struct {
		name     string
		tokens   float64
		usedUp   bool // by the word of the coordinator
		admitted bool
		within   time.Duration
	}{
		{name: "few tokens", tokens: 500, admitted: true, within: grant.CoordinatorTimeout + 200*time.Millisecond},
		{name: "more than the own fraction", tokens: rate, within: grant.CoordinatorTimeout + 300*time.Millisecond},
		{name: "used up", tokens: 500, usedUp: true, within: wait},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			clk := clock.NewReal()
			a := NewAdmitter(clk, make(chan struct{}, 1), make(chan struct{}, 1), 0)
			a.SetConfig(&fleet.Config{
				Workspaces: map[string]*fleet.Workspace{"club": {Name: "club", Rate: rate, Burst: rate}},
			})
			reply := &Reply{
				Fraction: 0.25,
			}
			if tc.usedUp {
				reply.Shortages = []grant.Shortage{{Workspace: "club", RetryIn: time.Second}}
			}
			began := clk.Now()
			a.applyReply(began, reply.Grants, reply.Shortages, reply.Fraction)
			_, admitted := a.Admit(t.Context(), "club", tc.tokens, wait)
			if took := clk.Now().Sub(began); admitted != tc.admitted || took > tc.within {
				t.Errorf("admitted %v after %v, want %v within %v", admitted, took, tc.admitted, tc.within)
			}
		})
	}
}

// TestAdmitAtNewCoordinator guards against requests that are refused as over their rate
// because a new coordinator has no tokens yet, and against waits for tokens that do not come
// in time.
func TestAdmitAtNewCoordinator(t *testing.T) {
	const (
		wait = 50 * time.Millisecond
		soon = 500 * time.Millisecond
	)
	for _, tc := range []struct {
		name       string
		rate       float64
		tokens     float64
		configIn   time.Duration // until the coordinator knows the configuration
		deadline   time.Duration // of the request, 0 if it has none
		handedOver bool          // the former coordinator had no tokens left
		admitted   bool
		overRate   bool
		within     time.Duration
	}{
		{name: "no configuration yet", rate: 1_000_000, tokens: 20, configIn: 300 * time.Millisecond, admitted: true, within: unansweredWait},
		{name: "too few tokens yet", rate: 1000, tokens: 300, admitted: true, within: unansweredWait},
		{name: "never a configuration", rate: 1_000_000, tokens: 20, configIn: time.Hour, within: unansweredWait + soon},
		{name: "too few tokens for long", rate: 100, tokens: 300, within: soon},
		{name: "too few tokens before the deadline", rate: 1000, tokens: 900, deadline: 800 * time.Millisecond, within: soon},
		{name: "used up", rate: 1000, tokens: 300, handedOver: true, overRate: true, within: soon},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			clk := clock.NewReal()
			config := &fleet.Config{
				Workspaces: map[string]*fleet.Workspace{"club": {Name: "club", Rate: tc.rate, Burst: 1000}},
			}
			requested := make(chan struct{}, 1)
			a := NewAdmitter(clk, requested, make(chan struct{}, 1), 0)
			a.SetConfig(config)
			ctx := t.Context()
			c := newCoordinator(Options{
				Clock: clk,
				Log:   slog.New(slog.DiscardHandler),
			})
			c.tenure.Fence = 1
			c.beginTenure(clk.Now())
			configAt := clk.Now().Add(tc.configIn)
			exchange := func() {
				sent := clk.Now()
				if c.config == nil && !sent.Before(configAt) {
					configChanged{config: config}.apply(ctx, c, sent)
					if tc.handedOver {
						handoverReceived{
							fence: 1,
							handover: &Handover{
								Levels: []grant.Grant{{Workspace: "club", Tokens: -100}},
							},
						}.apply(ctx, c, sent)
					}
				}
				reply := make(chan Reply, 1)
				exchangeReceived{
					x: &Exchange{
						Node:          "node-1",
						TokensOnly:    true,
						TokenRequests: a.tokenRequests(sent),
					},
					reply: reply,
				}.apply(ctx, c, sent)
				r := <-reply
				a.applyReply(sent, r.Grants, r.Shortages, r.Fraction)
			}
			exchange()
			go func() {
				for {
					select {
					case <-requested:
					case <-time.After(minExchangeInterval):
					case <-ctx.Done():
						return
					}
					exchange()
				}
			}()
			requestCtx := ctx
			if tc.deadline > 0 {
				bounded, cancel := context.WithTimeout(ctx, tc.deadline)
				defer cancel()
				requestCtx = bounded
			}
			began := clk.Now()
			refusal, admitted := a.Admit(requestCtx, "club", tc.tokens, wait)
			if took := clk.Now().Sub(began); admitted != tc.admitted || took > tc.within {
				t.Errorf("admitted %v after %v, want %v within %v", admitted, took, tc.admitted, tc.within)
			}
			if overRate := !admitted && !refusal.Unreachable; overRate != tc.overRate {
				t.Errorf("refused as over the rate: %v, want %v", overRate, tc.overRate)
			}
		})
	}
}
