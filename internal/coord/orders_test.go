package coord

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/models"
)

// TestOrderAfterSuspension guards against orders of two holders: a coordinator that
// is suspended between its decision and the first byte of the order must not send it
// after its lease. An attempt before that may still take effect, so the order must
// not be recorded as refused then.
func TestOrderAfterSuspension(t *testing.T) {
	for _, tc := range []struct {
		name       string
		unanswered int
		want       models.Answer
	}{
		{name: "the first attempt", want: models.Refused},
		{name: "a repeat of an unanswered order", unanswered: 1, want: models.NoAnswer},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clk := clock.NewFake()
			attempts := 0
			e := &testEngine{
				models:     map[string]bool{},
				unanswered: tc.unanswered,
			}
			e.beforeSend = func() {
				if attempts++; attempts > tc.unanswered {
					clk.Advance(10 * time.Second)
				}
			}
			c := newCoordinator(Options{
				Clock:   clk,
				Engines: e,
				Log:     slog.New(slog.DiscardHandler),
			})
			c.tenure.Until = clk.Now().Add(2 * time.Second)
			c.sendOrder(context.Background(), models.Order{Load: true, Model: "m0"})
			finished := (<-c.inbox).(orderFinished)
			if len(e.orders) > 0 {
				t.Error("the order was sent after the lease")
			}
			if finished.answer != tc.want {
				t.Errorf("the order is recorded as %v, want %v", finished.answer, tc.want)
			}
		})
	}
}
