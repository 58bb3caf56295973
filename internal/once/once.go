// Package once makes sure that a call which may not be repeated runs at most
// once, and that its caller learns the result on whichever node it asks again.
//
// Before the first byte goes to an endpoint, a row in the platform's table
// claims the call; after the response it holds the outcome. A claim whose
// owner died stays, because nobody can tell how far the call came.
package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoildale.example/trefoildale/internal/clock"
	"trefoildale.example/trefoildale/internal/store"
)

const (
	// Prefix begins the key of every row.
	Prefix = "once/"
	// Retention is how long a row is kept.
	Retention = 7 * 24 * time.Hour
	// MaxKey bounds an idempotency key.
	MaxKey = 255
	// DefaultMaxBody bounds a stored response body. Bookings and charges answer
	// with a few hundred bytes; the platform's rows are not meant for documents.
	DefaultMaxBody = 64 << 10
	// DefaultTerm is how long a call may take before its claim is reported as
	// an unknown outcome.
	DefaultTerm = 2 * time.Minute
	// WriteBound is the longest time after which a write to the table may still
	// take effect. A row that is created anew begins with version 1 again, so
	// that a late write could fit it; removal therefore waits for this bound.
	WriteBound = 10 * time.Minute
	// attempts bounds the writes tried for one step. Each lost answer costs a
	// read and possibly one more write.
	attempts = 4
	// maxPending bounds the outcomes that wait for the table to come back: 256
	// of 64 KB take 16 MB of the 64 MB that control work may use.
	maxPending = 256
	maxRetired = 4096
)

// Kind is what becomes of an arriving call.
type Kind uint8

// The kinds of decision.
const (
	// Run means that this call holds the claim and may be sent.
	Run Kind = iota + 1
	// Replay means that the call ran; Response is what it answered.
	Replay
	// InProgress means that the call is being carried out.
	InProgress
	// Unknown means that the call may have run. It is never run again.
	Unknown
	// DifferentBody means that the key belongs to another call.
	DifferentBody
	// NotProvable means that the table cannot show whether the key is new. This
	// arrival was not run; whether an earlier one ran stays open.
	NotProvable
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case Run:
		return "run"
	case Replay:
		return "replay"
	case InProgress:
		return "in-progress"
	case Unknown:
		return "unknown"
	case DifferentBody:
		return "different-body"
	case NotProvable:
		return "not-provable"
	default:
		return fmt.Sprintf("kind-%d", uint8(k))
	}
}

// Decision tells what to do with an arriving call.
type Decision struct {
	Kind Kind
	// Ticket is set for Run.
	Ticket *Ticket
	// Response is set for Replay.
	Response Response
	// Holder is the request id that the claim was made under, for every kind
	// but Run and NotProvable.
	Holder string
	// Cause is why the table could not prove the call new, for NotProvable.
	Cause error
}

// Response is a stored response.
type Response struct {
	Status int               `cbor:"1,keyasint"`
	Header map[string]string `cbor:"2,keyasint,omitempty"`
	Body   []byte            `cbor:"3,keyasint,omitempty"`
	// Omitted means that the body was too large to keep. The call ran.
	Omitted bool `cbor:"4,keyasint,omitempty"`
}

// Ticket is the right to run one call. It is used by one goroutine, and ends
// with the first of Finish, FinishUnknown and NotRun.
type Ticket struct {
	key     string
	row     row
	version int64
	// SendBy is when the right to send the first byte ends, on the node's clock.
	SendBy time.Time
	done   bool
}

// Holder is the request id that the ticket was given to.
func (t *Ticket) Holder() string {
	return t.row.Request
}

// phase is how far a call came.
type phase uint8

const (
	phaseClaimed phase = iota + 1
	phaseDone
	phaseNotRun
	phaseUnknown
	// phaseRetired marks a row for removal by the node that retired it.
	phaseRetired
)

// MaySend reports whether the first byte may still be sent. A ticket that is
// too old ends with NotRun.
func (t *Ticket) MaySend(now time.Time) bool {
	return !t.done && now.Before(t.SendBy)
}

// row is the value of a table row.
type row struct {
	Phase       phase     `cbor:"1,keyasint"`
	Request     string    `cbor:"2,keyasint"`
	Fingerprint []byte    `cbor:"3,keyasint"`
	Claimed     time.Time `cbor:"4,keyasint"`
	// Attempt is unique to one Begin. The request id is not enough to recognise
	// a claim, because a request may claim, prove "not run", and claim again.
	Attempt  string    `cbor:"5,keyasint"`
	Response *Response `cbor:"6,keyasint,omitempty"`
	Retired  time.Time `cbor:"7,keyasint,omitzero"`
}

var encoder = func() cbor.EncMode {
	m, err := cbor.EncOptions{
		Time: cbor.TimeUnixMicro,
	}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func (r row) encode() []byte {
	data, err := encoder.Marshal(r)
	if err != nil {
		// The type has no field that cannot be encoded.
		panic(err)
	}
	return data
}

func decode(data []byte) (row, error) {
	var r row
	if err := cbor.Unmarshal(data, &r); err != nil {
		return row{}, fmt.Errorf("once: decode row: %w", err)
	}
	if r.Phase < phaseClaimed || r.Phase > phaseRetired || r.Phase == phaseDone && r.Response == nil {
		return row{}, fmt.Errorf("once: row of %s has phase %d", r.Request, r.Phase)
	}
	return r, nil
}

// Guard decides which calls run. It is safe for concurrent use.
type Guard struct {
	// Table holds the rows.
	Table store.Table
	// Clock must be close to the wall time: rows are kept by it for 7 days.
	Clock clock.Clock
	// Node is unique to this process, for example "<node>-<incarnation>".
	Node string
	// Dead reports that the process which a request id names is proved dead.
	// Without it, a claim of a dead owner is "in progress" until its term ends.
	Dead func(requestID string) bool
	// MaxBody bounds stored bodies; 0 means DefaultMaxBody.
	MaxBody int
	// Term is how long a call may take; 0 means DefaultTerm.
	Term time.Duration

	sequence atomic.Uint64
	mu       sync.Mutex
	// pending holds the outcome that this process knows of a claim which the
	// table still shows, by attempt.
	pending map[string]pending
	// retired holds the attempts under which this process retired rows that it
	// has not tried to remove yet.
	retired map[string]bool
}

type pending struct {
	key     string
	row     row
	version int64
}

// Key is the table key of a call. The digest keeps callers' text out of the table.
func Key(workspace, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return Prefix + workspace + "/" + hex.EncodeToString(sum[:])
}

// Fingerprint identifies what a call asks for.
func Fingerprint(method, path string, body []byte) []byte {
	h := sha256.New()
	// Writes to a hash do not fail.
	_, _ = fmt.Fprintf(h, "%s\n%s\n", method, path)
	_, _ = h.Write(body)
	return h.Sum(nil)
}

// Begin decides about an arriving call. The error is set only when the
// arguments are not usable; a table that cannot answer gives NotProvable.
func (g *Guard) Begin(ctx context.Context, workspace, idempotencyKey string, fingerprint []byte, requestID string) (Decision, error) {
	if idempotencyKey == "" || len(idempotencyKey) > MaxKey {
		return Decision{}, fmt.Errorf("once: an idempotency key has 1 to %d bytes, this one has %d", MaxKey, len(idempotencyKey))
	}
	if workspace == "" || strings.Contains(workspace, "/") || requestID == "" || len(fingerprint) == 0 {
		return Decision{}, fmt.Errorf("once: request %q of workspace %q is incomplete", requestID, workspace)
	}
	key := Key(workspace, idempotencyKey)
	now := g.Clock.Now()
	claim := row{
		Phase:       phaseClaimed,
		Request:     requestID,
		Fingerprint: fingerprint,
		Claimed:     now,
		Attempt:     g.attempt(),
	}
	d := g.claim(ctx, key, claim)
	if d.Kind == Run {
		d.Ticket.SendBy = now.Add(g.term())
	}
	return d, nil
}

func (g *Guard) attempt() string {
	return fmt.Sprintf("%s/%d", g.Node, g.sequence.Add(1))
}

// claim writes the claim if the row allows it. Every path that does not end in
// Run leaves a row of this attempt only in g.pending, as "not run".
func (g *Guard) claim(ctx context.Context, key string, claim row) Decision {
	// version is that of the row to replace; 0 means that there must be none.
	var version int64
	var cause error
	wrote := false
	for range attempts {
		written, err := g.write(ctx, key, claim, version)
		if err == nil {
			return run(key, claim, written.Version)
		}
		cause = err
		if errors.Is(err, store.ErrUnavailable) {
			break
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrAbsent) {
			wrote = true
		}
		found, err := g.Table.Get(ctx, key)
		if errors.Is(err, store.ErrAbsent) {
			version = 0
			continue
		}
		if err != nil {
			cause = err
			break
		}
		held, err := decode(found.Value)
		if err != nil {
			cause = err
			break
		}
		if held.Attempt == claim.Attempt && held.Phase == phaseClaimed {
			return run(key, claim, found.Version)
		}
		d, open := g.judge(held, claim)
		if !open {
			// The row has changed since the version that a lost write named, so
			// that the write can no longer take effect.
			return d
		}
		version = found.Version
	}
	if wrote {
		notRun := claim
		notRun.Phase = phaseNotRun
		g.remember(pending{
			key:     key,
			row:     notRun,
			version: version,
		})
	}
	return Decision{
		Kind:  NotProvable,
		Cause: fmt.Errorf("once: claim %s: %w", key, cause),
	}
}

func run(key string, claim row, version int64) Decision {
	return Decision{
		Kind: Run,
		Ticket: &Ticket{
			key:     key,
			row:     claim,
			version: version,
		},
	}
}

func (g *Guard) write(ctx context.Context, key string, r row, version int64) (store.Row, error) {
	if version == 0 {
		return g.Table.Insert(ctx, key, r.encode())
	}
	return g.Table.Update(ctx, key, r.encode(), version)
}

// judge decides by the row held; open means that the claim may replace it.
func (g *Guard) judge(held, claim row) (d Decision, open bool) {
	if held.Phase == phaseRetired {
		// The row is about to go; until then nothing may be built on its version.
		return Decision{
			Kind:  NotProvable,
			Cause: errors.New("once: the row of an earlier call is being removed"),
		}, false
	}
	if claim.Claimed.Sub(held.Claimed) > Retention {
		return Decision{}, true
	}
	d.Holder = held.Request
	if string(held.Fingerprint) != string(claim.Fingerprint) {
		d.Kind = DifferentBody
		return d, false
	}
	if held.Phase == phaseClaimed {
		if p, ok := g.outcome(held.Attempt); ok {
			held = p
		}
	}
	switch held.Phase {
	case phaseDone:
		d.Kind = Replay
		d.Response = *held.Response
	case phaseNotRun:
		return Decision{}, true
	case phaseUnknown:
		d.Kind = Unknown
	default:
		d.Kind = InProgress
		if claim.Claimed.Sub(held.Claimed) > g.term() || g.Dead != nil && g.Dead(held.Request) {
			d.Kind = Unknown
		}
	}
	return d, false
}

func (g *Guard) term() time.Duration {
	if g.Term > 0 {
		return g.Term
	}
	return DefaultTerm
}

// ErrEnded means that the ticket was used before.
var ErrEnded = errors.New("once: the ticket has ended")

// Finish stores the response of a call that ran. When the table cannot be
// reached, the outcome waits for Sweep, and other nodes see the call as in
// progress until then; the error tells so, and the response stays valid.
func (g *Guard) Finish(ctx context.Context, t *Ticket, r Response) error {
	limit := g.MaxBody
	if limit == 0 {
		limit = DefaultMaxBody
	}
	if len(r.Body) > limit {
		r.Body = nil
		r.Omitted = true
	}
	return g.end(ctx, t, phaseDone, &r)
}

// FinishUnknown stores that nobody knows whether the call ran.
func (g *Guard) FinishUnknown(ctx context.Context, t *Ticket) error {
	return g.end(ctx, t, phaseUnknown, nil)
}

// NotRun stores that the call is proved not to have run, so that a later
// arrival may run. The ticket must not be used to send anything afterwards.
func (g *Guard) NotRun(ctx context.Context, t *Ticket) error {
	return g.end(ctx, t, phaseNotRun, nil)
}

func (g *Guard) end(ctx context.Context, t *Ticket, p phase, r *Response) error {
	if t.done {
		return ErrEnded
	}
	t.done = true
	t.row.Phase = p
	t.row.Response = r
	out := pending{
		key:     t.key,
		row:     t.row,
		version: t.version,
	}
	g.remember(out)
	return g.settle(ctx, out)
}

// settle writes an outcome in place of the claim of the same attempt. The write
// starts from the row that the claim was to replace or the claim itself, so
// that it also stops a lost claim from taking effect later.
func (g *Guard) settle(ctx context.Context, p pending) error {
	if g.Clock.Now().Sub(p.row.Claimed) > Retention-WriteBound {
		// Nobody asks for the outcome any more, and the row may soon be of
		// another call.
		g.forget(p.row.Attempt)
		return nil
	}
	var cause error
	for range attempts {
		_, err := g.write(ctx, p.key, p.row, p.version)
		if err == nil {
			g.forget(p.row.Attempt)
			return nil
		}
		cause = err
		if errors.Is(err, store.ErrUnavailable) {
			break
		}
		found, err := g.Table.Get(ctx, p.key)
		if errors.Is(err, store.ErrAbsent) {
			p.version = 0
			continue
		}
		if err != nil {
			cause = err
			break
		}
		if found.Version == p.version {
			continue
		}
		held, err := decode(found.Value)
		if err != nil || held.Attempt != p.row.Attempt || held.Phase != phaseClaimed {
			// The outcome is stored, or the row has passed to another attempt,
			// which happens only after its retention or after "not run".
			g.forget(p.row.Attempt)
			return nil
		}
		p.version = found.Version
	}
	return fmt.Errorf("once: settle %s: %w", p.key, cause)
}

// remember keeps an outcome until it is stored. When too many wait, it is
// dropped: its call is then reported as unknown, and never run again.
func (g *Guard) remember(p pending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pending == nil {
		g.pending = map[string]pending{}
	}
	if len(g.pending) < maxPending {
		g.pending[p.row.Attempt] = p
	}
}

func (g *Guard) forget(attempt string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pending, attempt)
}

// outcome returns what this process knows of a claim that the table still shows.
func (g *Guard) outcome(attempt string) (row, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.pending[attempt]
	return p.row, ok
}

// Pending is the number of outcomes that wait to be stored.
func (g *Guard) Pending() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pending)
}

// Sweep stores the outcomes that wait. A node calls it every few seconds, and
// before it exits.
func (g *Guard) Sweep(ctx context.Context) error {
	g.mu.Lock()
	waiting := make([]pending, 0, len(g.pending))
	for _, p := range g.pending {
		waiting = append(waiting, p)
	}
	g.mu.Unlock()
	slices.SortFunc(waiting, func(a, b pending) int {
		return strings.Compare(a.row.Attempt, b.row.Attempt)
	})
	for _, p := range waiting {
		// One failure ends the sweep: the table is down for the others as well.
		if err := g.settle(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// Expire handles up to limit rows after the given key: rows past their
// retention are retired, and those that this process retired before are
// removed. It returns the key to go on from, or "" at the end of the table.
//
// A row is removed by one request only, at least WriteBound after it was
// retired: by then no claim can still be under way to it, and no second
// removal can hit the row that a later call creates.
func (g *Guard) Expire(ctx context.Context, after string, limit int) (next string, removed int, err error) {
	rows, err := g.Table.Scan(ctx, Prefix, after, limit)
	if err != nil {
		return after, 0, fmt.Errorf("once: list rows after %q: %w", after, err)
	}
	for _, r := range rows {
		gone, err := g.expire(ctx, r)
		if err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrAbsent) {
			return after, removed, fmt.Errorf("once: remove %s: %w", r.Key, err)
		}
		if gone {
			removed++
		}
		after = r.Key
	}
	if len(rows) < limit {
		return "", removed, nil
	}
	return after, removed, nil
}

func (g *Guard) expire(ctx context.Context, r store.Row) (removed bool, err error) {
	held, err := decode(r.Value)
	now := g.Clock.Now()
	if err != nil || now.Sub(held.Claimed) <= Retention {
		// A row that cannot be read has no age; it stays.
		return false, nil
	}
	age := now.Sub(held.Retired)
	if held.Phase != phaseRetired || age > 3*WriteBound {
		held.Phase = phaseRetired
		held.Response = nil
		held.Retired = now
		held.Attempt = g.attempt()
		g.mu.Lock()
		if len(g.retired) == 0 || len(g.retired) > maxRetired {
			// What is dropped here is retired again by some node.
			g.retired = map[string]bool{}
		}
		g.retired[held.Attempt] = true
		g.mu.Unlock()
		_, err := g.Table.Update(ctx, r.Key, held.encode(), r.Version)
		return false, err
	}
	if age < WriteBound || age > 2*WriteBound {
		return false, nil
	}
	g.mu.Lock()
	mine := g.retired[held.Attempt]
	delete(g.retired, held.Attempt)
	g.mu.Unlock()
	if !mine {
		return false, nil
	}
	err = g.Table.Delete(ctx, r.Key, r.Version)
	return err == nil, err
}
