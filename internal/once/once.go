// Package once makes calls with an idempotency key run at most once. A caller that
// repeats a call on any node gets the stored result.
//
// A node inserts a row into the platform's table to claim a call before it sends
// the first byte to an endpoint, and stores the outcome in the row after the
// response. The claim of a process that died is kept, because it is unknown
// whether the call ran.
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
	// Prefix is the prefix of the table keys of all rows.
	Prefix = "once/"
	// Retention is how long a row is kept.
	Retention = 7 * 24 * time.Hour
	// MaxKeyBytes limits the length of an idempotency key.
	MaxKeyBytes = 255
	// DefaultMaxBodyBytes limits a stored response body. Responses to bookings and
	// charges have a few hundred bytes; the platform's table is not meant for
	// large rows.
	DefaultMaxBodyBytes = 64 << 10
	// DefaultTerm is how long a call may take before its claim is reported as
	// an unknown outcome.
	DefaultTerm = 2 * time.Minute
	// MaxWriteDelay is the maximum delay after which a write to the table may still
	// take effect. A new row for the same key starts at version 1 again, so a late
	// write could match its version. Rows are therefore removed only after this
	// delay.
	MaxWriteDelay = 10 * time.Minute
	// maxAttempts limits the writes to store one row. After each lost response the
	// row is read, and written again if necessary.
	maxAttempts = 4
	// maxPending limits the outcomes that wait until the table is reachable: 256
	// of 64 KB take 16 MB of the 64 MB that control work may use.
	maxPending = 256
	// maxRetired limits the retired rows that a process keeps track of.
	maxRetired = 4096
)

// Kind is the kind of a Decision.
type Kind uint8

// The kinds of decision.
const (
	// Run means that this request holds the claim and may send the call.
	Run Kind = iota + 1
	// Replay means that the call ran; Response is its stored response.
	Replay
	// InProgress means that the call is running for another request.
	InProgress
	// Unknown means that the call may have run. It is never run again.
	Unknown
	// DifferentBody means that the key was used for a call with another method,
	// path or body.
	DifferentBody
	// NotProvable means that the table could not confirm that the key is new. This
	// request did not run the call; whether an earlier one did is unknown.
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

// Decision is the result of Begin for a call.
type Decision struct {
	Kind Kind
	// Ticket is set for Run.
	Ticket *Ticket
	// Response is set for Replay.
	Response Response
	// Holder is the id of the request that claimed the call. It is set for every
	// kind but Run and NotProvable.
	Holder string
	// Cause is the reason for NotProvable.
	Cause error
}

// Response is the stored response of a call.
type Response struct {
	Status int               `cbor:"1,keyasint"`
	Header map[string]string `cbor:"2,keyasint,omitempty"`
	Body   []byte            `cbor:"3,keyasint,omitempty"`
	// Omitted means that the body was too large to be stored.
	Omitted bool `cbor:"4,keyasint,omitempty"`
}

// Ticket permits one call to run. It is not safe for concurrent use. The first call
// of Finish, FinishUnknown or FinishNotRun uses it up.
type Ticket struct {
	key     string
	row     row
	version int64
	// SendBy is the deadline for sending the first byte, by the node's clock.
	SendBy time.Time
	used   bool
}

// Holder returns the id of the request that got the ticket.
func (t *Ticket) Holder() string {
	return t.row.Request
}

// phase is the state of a call in its row.
type phase uint8

const (
	phaseClaimed phase = iota + 1
	phaseDone
	phaseNotRun
	phaseUnknown
	// phaseRetired marks an expired row that the process that retired it will
	// remove.
	phaseRetired
)

// MaySend reports whether the first byte may still be sent. If the ticket is too
// old, the caller ends it with FinishNotRun.
func (t *Ticket) MaySend(now time.Time) bool {
	return !t.used && now.Before(t.SendBy)
}

// row is the encoded value of a table row.
type row struct {
	Phase       phase     `cbor:"1,keyasint"`
	Request     string    `cbor:"2,keyasint"`
	Fingerprint []byte    `cbor:"3,keyasint"`
	Claimed     time.Time `cbor:"4,keyasint"`
	// AttemptID is unique to one call of Begin, or to one retirement of the row. The
	// request id does not identify a claim, because a request may claim, store "not
	// run" and claim again.
	AttemptID string    `cbor:"5,keyasint"`
	Response  *Response `cbor:"6,keyasint,omitempty"`
	Retired   time.Time `cbor:"7,keyasint,omitzero"`
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
		// All fields of row can be encoded.
		panic(err)
	}
	return data
}

func decodeRow(data []byte) (row, error) {
	var r row
	if err := cbor.Unmarshal(data, &r); err != nil {
		return row{}, fmt.Errorf("once: decode row: %w", err)
	}
	if r.Phase < phaseClaimed || r.Phase > phaseRetired || r.Phase == phaseDone && r.Response == nil {
		return row{}, fmt.Errorf("once: row of %s has phase %d", r.Request, r.Phase)
	}
	return r, nil
}

// Guard decides which calls may run. It is safe for concurrent use.
type Guard struct {
	// Table holds the rows.
	Table store.Table
	// Clock must be close to wall time: the retention of 7 days is measured with
	// it, also for rows that other nodes wrote.
	Clock clock.Clock
	// Node is unique to this process, for example "<node>.<incarnation>".
	Node string
	// IsProcessDead reports whether the process that created a request id is
	// proved dead. If IsProcessDead is nil, the claim of a dead process is in
	// progress until Term ends.
	IsProcessDead func(requestID string) bool
	// MaxBodyBytes limits a stored body; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int
	// Term is how long a call may take; 0 means DefaultTerm.
	Term time.Duration

	sequence atomic.Uint64
	mu       sync.Mutex
	// pending holds the outcomes that are not stored yet, by attempt ID. The table
	// may still contain the claims.
	pending map[string]pendingOutcome
	// retired holds the attempt IDs of the rows that this process has retired and
	// not yet tried to remove.
	retired map[string]bool
}

// pendingOutcome is a row that has to be stored, and the version of the table row
// that it replaces.
type pendingOutcome struct {
	key     string
	row     row
	version int64
}

// Key returns the table key of a call. It contains a digest, so that no text of the
// caller is stored.
func Key(workspace, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return Prefix + workspace + "/" + hex.EncodeToString(sum[:])
}

// Fingerprint returns a digest of the method, path and body of a call.
func Fingerprint(method, path string, body []byte) []byte {
	h := sha256.New()
	// Writes to a hash do not fail.
	_, _ = fmt.Fprintf(h, "%s\n%s\n", method, path)
	_, _ = h.Write(body)
	return h.Sum(nil)
}

// Begin claims a call or returns the state of an earlier claim. It returns an error
// only for invalid arguments; when the table is unavailable, the decision is
// NotProvable.
func (g *Guard) Begin(ctx context.Context, workspace, idempotencyKey string, fingerprint []byte, requestID string) (Decision, error) {
	if idempotencyKey == "" || len(idempotencyKey) > MaxKeyBytes {
		return Decision{}, fmt.Errorf("once: an idempotency key has 1 to %d bytes, this one has %d", MaxKeyBytes, len(idempotencyKey))
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
		AttemptID:   g.newAttemptID(),
	}
	d := g.claim(ctx, key, claim)
	if d.Kind == Run {
		d.Ticket.SendBy = now.Add(g.term())
	}
	return d, nil
}

func (g *Guard) newAttemptID() string {
	return fmt.Sprintf("%s/%d", g.Node, g.sequence.Add(1))
}

// claim writes the claim if the current row permits it. If the decision is not Run
// and the claim may still take effect, g.pending holds "not run" for this attempt.
func (g *Guard) claim(ctx context.Context, key string, claim row) Decision {
	// version is the version of the row to replace; 0 means that no row may exist.
	var version int64
	var cause error
	mayHaveWritten := false
	for range maxAttempts {
		written, err := g.write(ctx, key, claim, version)
		if err == nil {
			return runDecision(key, claim, written.Version)
		}
		cause = err
		if errors.Is(err, store.ErrUnavailable) {
			break
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrNotFound) {
			mayHaveWritten = true
		}
		found, err := g.Table.Get(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			version = 0
			continue
		}
		if err != nil {
			cause = err
			break
		}
		existing, err := decodeRow(found.Value)
		if err != nil {
			cause = err
			break
		}
		if existing.AttemptID == claim.AttemptID && existing.Phase == phaseClaimed {
			return runDecision(key, claim, found.Version)
		}
		d, replaceable := g.decide(existing, claim)
		if !replaceable {
			// The row has a newer version than any lost write expects, so none of
			// them can take effect any more.
			return d
		}
		version = found.Version
	}
	if mayHaveWritten {
		notRun := claim
		notRun.Phase = phaseNotRun
		g.addPending(pendingOutcome{
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

func runDecision(key string, claim row, version int64) Decision {
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

// decide returns the decision that follows from the existing row. If replaceable is
// true, the claim may replace the row.
func (g *Guard) decide(existing, claim row) (d Decision, replaceable bool) {
	if existing.Phase == phaseRetired {
		// The row is about to be removed, so its version must not be reused.
		return Decision{
			Kind:  NotProvable,
			Cause: errors.New("once: the row of an earlier call is being removed"),
		}, false
	}
	if claim.Claimed.Sub(existing.Claimed) > Retention {
		return Decision{}, true
	}
	d.Holder = existing.Request
	if string(existing.Fingerprint) != string(claim.Fingerprint) {
		d.Kind = DifferentBody
		return d, false
	}
	if existing.Phase == phaseClaimed {
		if p, ok := g.pendingRow(existing.AttemptID); ok {
			existing = p
		}
	}
	switch existing.Phase {
	case phaseDone:
		d.Kind = Replay
		d.Response = *existing.Response
	case phaseNotRun:
		return Decision{}, true
	case phaseUnknown:
		d.Kind = Unknown
	default:
		d.Kind = InProgress
		if claim.Claimed.Sub(existing.Claimed) > g.term() || g.IsProcessDead != nil && g.IsProcessDead(existing.Request) {
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

// ErrTicketUsed means that an outcome was already given for the ticket.
var ErrTicketUsed = errors.New("once: the ticket has ended")

// Finish stores the response of a call that ran. If the table cannot be reached,
// it returns an error and keeps the outcome for FlushPending. Until FlushPending
// has stored it, other nodes see the call as in progress. The response may be
// delivered either way.
func (g *Guard) Finish(ctx context.Context, t *Ticket, r Response) error {
	limit := g.MaxBodyBytes
	if limit == 0 {
		limit = DefaultMaxBodyBytes
	}
	if len(r.Body) > limit {
		r.Body = nil
		r.Omitted = true
	}
	return g.endTicket(ctx, t, phaseDone, &r)
}

// FinishUnknown stores that it is unknown whether the call ran.
func (g *Guard) FinishUnknown(ctx context.Context, t *Ticket) error {
	return g.endTicket(ctx, t, phaseUnknown, nil)
}

// FinishNotRun stores that the call is proved not to have run, so that a later
// request may run it. Nothing may be sent with the ticket afterwards.
func (g *Guard) FinishNotRun(ctx context.Context, t *Ticket) error {
	return g.endTicket(ctx, t, phaseNotRun, nil)
}

func (g *Guard) endTicket(ctx context.Context, t *Ticket, p phase, r *Response) error {
	if t.used {
		return ErrTicketUsed
	}
	t.used = true
	t.row.Phase = p
	t.row.Response = r
	out := pendingOutcome{
		key:     t.key,
		row:     t.row,
		version: t.version,
	}
	g.addPending(out)
	return g.storeOutcome(ctx, out)
}

// storeOutcome replaces the claim of the same attempt by its outcome. The first write
// expects the version of the claim or of the row that the claim was to replace. In
// the second case it also prevents a delayed claim from taking effect.
func (g *Guard) storeOutcome(ctx context.Context, p pendingOutcome) error {
	if g.Clock.Now().Sub(p.row.Claimed) > Retention-MaxWriteDelay {
		// The outcome is no longer needed, and the row may soon belong to another
		// call.
		g.removePending(p.row.AttemptID)
		return nil
	}
	var cause error
	for range maxAttempts {
		_, err := g.write(ctx, p.key, p.row, p.version)
		if err == nil {
			g.removePending(p.row.AttemptID)
			return nil
		}
		cause = err
		if errors.Is(err, store.ErrUnavailable) {
			break
		}
		found, err := g.Table.Get(ctx, p.key)
		if errors.Is(err, store.ErrNotFound) {
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
		existing, err := decodeRow(found.Value)
		if err != nil || existing.AttemptID != p.row.AttemptID || existing.Phase != phaseClaimed {
			// The outcome is stored, or the row belongs to another attempt, which
			// is possible only after its retention or after "not run".
			g.removePending(p.row.AttemptID)
			return nil
		}
		p.version = found.Version
	}
	return fmt.Errorf("once: store outcome of %s: %w", p.key, cause)
}

// addPending keeps an outcome until it is stored. If maxPending outcomes are
// pending, the new one is dropped; its call is then reported as unknown and never
// run again.
func (g *Guard) addPending(p pendingOutcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pending == nil {
		g.pending = map[string]pendingOutcome{}
	}
	if len(g.pending) < maxPending {
		g.pending[p.row.AttemptID] = p
	}
}

func (g *Guard) removePending(attempt string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pending, attempt)
}

// pendingRow returns the pending outcome of an attempt.
func (g *Guard) pendingRow(attempt string) (row, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.pending[attempt]
	return p.row, ok
}

// Pending returns the number of outcomes that are not stored yet.
func (g *Guard) Pending() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pending)
}

// FlushPending stores the pending outcomes. A node calls it every few seconds and
// before it exits.
func (g *Guard) FlushPending(ctx context.Context) error {
	g.mu.Lock()
	waiting := make([]pendingOutcome, 0, len(g.pending))
	for _, p := range g.pending {
		waiting = append(waiting, p)
	}
	g.mu.Unlock()
	slices.SortFunc(waiting, func(a, b pendingOutcome) int {
		return strings.Compare(a.row.AttemptID, b.row.AttemptID)
	})
	for _, p := range waiting {
		// FlushPending stops at the first failure, because the table is likely to
		// be unavailable for the other outcomes too.
		if err := g.storeOutcome(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// Expire processes up to limit rows after the given key. It retires rows past their
// retention and removes those that this process retired before. It returns the
// key to continue after, or "" at the end of the table.
//
// Only the process that retired a row removes it, with a single request between
// one and two times MaxWriteDelay later. By then no claim of the row can still
// take effect, and no second removal can delete the row of a later call. A row
// that was not removed is retired again after three times MaxWriteDelay.
func (g *Guard) Expire(ctx context.Context, after string, limit int) (next string, removed int, err error) {
	rows, err := g.Table.Scan(ctx, Prefix, after, limit)
	if err != nil {
		return after, 0, fmt.Errorf("once: list rows after %q: %w", after, err)
	}
	for _, r := range rows {
		deleted, err := g.expireRow(ctx, r)
		if err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrNotFound) {
			return after, removed, fmt.Errorf("once: remove %s: %w", r.Key, err)
		}
		if deleted {
			removed++
		}
		after = r.Key
	}
	if len(rows) < limit {
		return "", removed, nil
	}
	return after, removed, nil
}

func (g *Guard) expireRow(ctx context.Context, r store.Row) (removed bool, err error) {
	existing, err := decodeRow(r.Value)
	now := g.Clock.Now()
	if err != nil || now.Sub(existing.Claimed) <= Retention {
		// The age of a row that cannot be decoded is unknown, so it is kept.
		return false, nil
	}
	age := now.Sub(existing.Retired)
	if existing.Phase != phaseRetired || age > 3*MaxWriteDelay {
		existing.Phase = phaseRetired
		existing.Response = nil
		existing.Retired = now
		existing.AttemptID = g.newAttemptID()
		g.mu.Lock()
		if len(g.retired) == 0 || len(g.retired) > maxRetired {
			// The rows that are dropped here are retired again later.
			g.retired = map[string]bool{}
		}
		g.retired[existing.AttemptID] = true
		g.mu.Unlock()
		_, err := g.Table.Update(ctx, r.Key, existing.encode(), r.Version)
		return false, err
	}
	if age < MaxWriteDelay || age > 2*MaxWriteDelay {
		return false, nil
	}
	g.mu.Lock()
	retiredHere := g.retired[existing.AttemptID]
	delete(g.retired, existing.AttemptID)
	g.mu.Unlock()
	if !retiredHere {
		return false, nil
	}
	err = g.Table.Delete(ctx, r.Key, r.Version)
	return err == nil, err
}
