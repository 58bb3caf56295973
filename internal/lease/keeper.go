package lease

import (
	"context"
	"errors"
	"time"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/store"
)

// table is the part of store.Table that a lease needs.
type table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Insert(ctx context.Context, key string, value []byte) (store.Row, error)
	Update(ctx context.Context, key string, value []byte, version int64) (store.Row, error)
}

// Keeper carries out the requests of one Lease. It is used by one goroutine.
type Keeper struct {
	*Lease
	table table
	clock clock.Clock
}

// NewKeeper returns a Keeper for one candidate. clk must advance while the VM
// is suspended.
func NewKeeper(t table, clk clock.Clock, set Settings) *Keeper {
	return &Keeper{
		Lease: New(set),
		table: t,
		clock: clk,
	}
}

// Step sends the requests that are due at now, a time of the keeper's clock
// taken before the call. A write whose answer is lost is read back in the same
// step. At most three requests are sent.
func (k *Keeper) Step(ctx context.Context, now time.Time) (Event, error) {
	last := k.Lapse(now)
	var errs []error
	for range 3 {
		op := k.Next(now)
		if op.Kind == OpNone {
			break
		}
		k.Sent(op, now)
		var row store.Row
		var err error
		switch op.Kind {
		case OpRead:
			row, err = k.table.Get(ctx, k.set.Key)
		case OpInsert:
			row, err = k.table.Insert(ctx, k.set.Key, op.Value)
		default:
			row, err = k.table.Update(ctx, k.set.Key, op.Value, op.Version)
		}
		// The row may have been written while the request was under way, so an
		// observation counts from after the answer.
		after := k.clock.Now()
		ev, aerr := k.Answer(op, after, row, err)
		if ev.Kind != EventNone {
			last = ev
		}
		if aerr != nil {
			errs = append(errs, aerr)
		}
		if err != nil && !errors.Is(err, store.ErrUnknown) && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrAbsent) {
			break
		}
		now = after
	}
	return last, errors.Join(errs...)
}
