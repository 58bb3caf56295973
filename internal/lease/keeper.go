package lease

import (
	"context"
	"errors"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/store"
)

// table is the subset of store.Table that a Keeper uses.
type table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Insert(ctx context.Context, key string, value []byte) (store.Row, error)
	Update(ctx context.Context, key string, value []byte, version int64) (store.Row, error)
}

// Keeper runs the table requests of one Lease. It is not safe for concurrent use.
type Keeper struct {
	*Lease
	table table
	clock clock.Clock
}

// NewKeeper returns a Keeper for one candidate. clk must also advance while the
// VM is suspended, since a resumed holder would otherwise use an expired lease.
func NewKeeper(t table, clk clock.Clock, set Settings) *Keeper {
	return &Keeper{
		Lease: New(set),
		table: t,
		clock: clk,
	}
}

// Step sends the requests that are due at now, which is read from the keeper's
// clock before the call. After a write with an unknown outcome the row is read
// in the same step. At most three requests are sent. It returns the last event.
func (k *Keeper) Step(ctx context.Context, now time.Time) (Event, error) {
	event := k.CheckExpired(now)
	var errs []error
	for range 3 {
		op := k.Next(now)
		if op.Kind == OpNone {
			break
		}
		k.MarkSent(op, now)
		var row store.Row
		var err error
		switch op.Kind {
		case OpRead:
			row, err = k.table.Get(ctx, k.settings.Key)
		case OpInsert:
			row, err = k.table.Insert(ctx, k.settings.Key, op.Value)
		default:
			row, err = k.table.Update(ctx, k.settings.Key, op.Value, op.Version)
		}
		// The row may have been written while the request was in progress, so the
		// time of the observation is taken after the answer.
		answeredAt := k.clock.Now()
		ev, answerErr := k.HandleResult(op, answeredAt, row, err)
		if ev.Kind != EventNone {
			event = ev
		}
		if answerErr != nil {
			errs = append(errs, answerErr)
		}
		if err != nil && !errors.Is(err, store.ErrUnknown) && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrNotFound) {
			break
		}
		now = answeredAt
	}
	return event, errors.Join(errs...)
}
