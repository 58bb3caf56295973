package health

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"trefoildale.example/trefoildale/internal/fleet"
)

// maxRequestRate bounds the limits that are kept, in requests per second. A higher one
// limits nobody.
const maxRequestRate = 1e6

// LimitRule says how the limit that an engine named was read.
type LimitRule string

// The rules.
const (
	// PerSecond is a number above zero.
	PerSecond LimitRule = "per-second"
	// Zero is a limit of zero: the engine wants no requests at all.
	Zero LimitRule = "zero"
	// CappedRate is a number beyond maxRequestRate, which replaces it.
	CappedRate LimitRule = "capped"
	// Lowest is the lowest of several limits in one answer.
	Lowest LimitRule = "lowest"
	// UnreadableLimit is anything else. It neither sets a limit nor ends one.
	UnreadableLimit LimitRule = "unreadable"
)

// Limit is how many requests per second an engine takes from all nodes together, as an
// answer names it. The zero value is that of an answer that names none.
type Limit struct {
	Rate float64
	// Rule is empty if the answer names no limit.
	Rule LimitRule
	// Text is the beginning of what the engine sent.
	Text string
}

// IsNamed reports whether the answer names a limit that can be read.
func (l Limit) IsNamed() bool { return l.Rule != "" && l.Rule != UnreadableLimit }

// ParseLimit reads the values of the header that names a limit. One value may hold several
// limits, separated by commas, as proxies join headers.
func ParseLimit(values []string) Limit {
	if len(values) == 0 {
		return Limit{}
	}
	text := strings.Join(values, ",")
	out := Limit{
		Rule: UnreadableLimit,
		Text: text[:min(len(text), maxText)],
	}
	read := 0
	for value := range strings.SplitSeq(text, ",") {
		rate, rule := parseRate(value)
		if rule == UnreadableLimit {
			continue
		}
		if read++; read == 1 || rate < out.Rate {
			out.Rate, out.Rule = rate, rule
		}
	}
	if read > 1 {
		out.Rule = Lowest
	}
	return out
}

func parseRate(text string) (float64, LimitRule) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	// Beyond the range of numbers it is an infinity of the right sign.
	isBeyond := errors.Is(err, strconv.ErrRange)
	switch {
	case err != nil && !isBeyond, !isBeyond && math.IsInf(rate, 0), math.IsNaN(rate), rate < 0:
		return 0, UnreadableLimit
	case rate > maxRequestRate:
		return maxRequestRate, CappedRate
	case rate == 0:
		return 0, Zero
	}
	return rate, PerSecond
}

// limitSettle is how much later than an engine was last heard to name its limit a request
// must have been sent for its answer without one to end the limit. Answers overtake each
// other, and what other nodes have heard arrives with the delay of a message.
const limitSettle = 300 * time.Millisecond

// limitRefresh is how old the last word of a limit is at least before the same word is
// recorded again.
const limitRefresh = 100 * time.Millisecond

// limitEndSure is how long after its last word a limit was found to have ended for all that
// nodes tell each other. Later answers are not recorded.
const limitEndSure = 5 * time.Second

// peerSettle is how much earlier a request counts whose answer another node reports to name
// no limit. Messages may be that late, and ages then too low.
const peerSettle = time.Second

// limitRecord is the evidence about the limit of an engine. The latest times win, so that
// records merge in any order.
type limitRecord struct {
	rate float64
	// namedAt is when the engine was last heard to name the limit, zero if it was not.
	namedAt time.Time
	namedBy Source
	// reported is set once a report, or the answer to an order, has named a limit, so that
	// one without it says that there is none.
	reported bool
	// absentAt is when the last request was sent whose answer named no limit.
	absentAt time.Time
}

func (l *limitRecord) isInForce() bool {
	return !l.namedAt.IsZero() && l.absentAt.Sub(l.namedAt) < limitSettle
}

// isKept reports whether the limit is in force, or ended so recently that other nodes may
// not know.
func (l *limitRecord) isKept(now time.Time) bool {
	return !l.namedAt.IsZero() && (l.isInForce() || now.Sub(l.absentAt) < sharedAfterEnd)
}

// LimitChange is a limit that came into force, changed or ended.
type LimitChange struct {
	Key    fleet.Key
	Rate   float64
	Before float64
	// InForce is whether there is a limit now, WasInForce whether there was one before.
	InForce, WasInForce bool
	Source              Source
	Limit               Limit
	// Age is the time since the answer.
	Age time.Duration
}

// Attrs returns the change as it is written to logs.
func (c *LimitChange) Attrs() []any {
	return []any{
		"endpoint", c.Key.ID, "incarnation", c.Key.Incarnation, "in-force", c.InForce, "per-second", c.Rate,
		"was-in-force", c.WasInForce, "per-second-before", c.Before, "source", string(c.Source),
		"text", c.Limit.Text, "rule", string(c.Limit.Rule), "age-ms", c.Age.Milliseconds(),
	}
}

// HearLimit records what an answer of an engine says of its limit: the limit that it names,
// or that it names none. The request of the answer was sent at sentAt. It returns the change
// of the limit in force, nil if there is none.
func (t *Table) HearLimit(now, sentAt time.Time, key fleet.Key, l Limit, from Source) *LimitChange {
	if l.Rule == UnreadableLimit {
		return nil
	}
	if !l.IsNamed() && !t.hasLimit(key) {
		// Nearly all answers.
		return nil
	}
	change := t.changeLimit(now, key, func(r *limitRecord) {
		switch {
		case l.IsNamed():
			r.reported = r.reported || from == Report
			if r.isInForce() && r.rate == l.Rate && now.Sub(r.namedAt) < limitRefresh {
				return
			}
			if now.After(r.namedAt) {
				r.rate, r.namedAt, r.namedBy = l.Rate, now, from
			}
		case from == Report && !r.reported, r.absentAt.Sub(r.namedAt) >= limitEndSure:
		case sentAt.Sub(r.absentAt) >= limitRefresh:
			r.absentAt = sentAt
		}
	})
	if change != nil {
		change.Source, change.Limit = from, l
	}
	return change
}

// hasLimit reports whether an engine was heard to name a limit.
func (t *Table) hasLimit(key fleet.Key) bool {
	r, ok := (*t.records.Load())[key.ID]
	return ok && r.incarnation == key.Incarnation && !r.limit.namedAt.IsZero()
}

// changeLimit applies f to the limit of an engine, unless a later incarnation is known, and
// returns the change of the limit in force, nil if there is none.
func (t *Table) changeLimit(now time.Time, key fleet.Key, f func(*limitRecord)) *LimitChange {
	var change *LimitChange
	t.change(now, key, func(r *record) {
		before := r.limit
		f(&r.limit)
		is, was := r.limit.isInForce(), before.isInForce()
		if is == was && (!is || r.limit.rate == before.rate) {
			return
		}
		change = &LimitChange{
			Key:        key,
			Rate:       r.limit.rate,
			Before:     before.rate,
			InForce:    is,
			WasInForce: was,
		}
	})
	return change
}

// LimitVersion returns a number that changes whenever a limit comes into force, changes or
// ends.
func (t *Table) LimitVersion() int64 { return t.limitVersion.Load() }

// countLimitChange changes the version of the limits if two sets of records differ in them.
func (t *Table) countLimitChange(old, next map[string]record) {
	same := func(a, b record) bool {
		is, was := a.limit.isInForce(), b.limit.isInForce()
		return is == was && (!is || a.limit.rate == b.limit.rate && a.incarnation == b.incarnation)
	}
	for id, r := range next {
		if !same(r, old[id]) {
			t.limitVersion.Add(1)
			return
		}
	}
	for id, r := range old {
		if _, ok := next[id]; !ok && r.limit.isInForce() {
			t.limitVersion.Add(1)
			return
		}
	}
}

// Limits returns the limits in force.
func (t *Table) Limits() map[fleet.Key]float64 {
	out := make(map[fleet.Key]float64)
	for id, r := range *t.records.Load() {
		if r.limit.isInForce() {
			out[fleet.Key{
				ID:          id,
				Incarnation: r.incarnation,
			}] = r.limit.rate
		}
	}
	return out
}

// sharedAfterEnd is how long after the end of a limit other nodes are told of it.
const sharedAfterEnd = time.Minute

// LimitStatement is what is known of an engine's limit, as one node tells it to another.
type LimitStatement struct {
	Key  fleet.Key `cbor:"1,keyasint"`
	Rate float64   `cbor:"2,keyasint"`
	// Age is the time since the engine was last heard to name the limit.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// Ended is set if the limit has ended; AbsentAge is the time since the request was sent
	// whose answer named none.
	Ended     bool          `cbor:"4,keyasint,omitempty"`
	AbsentAge time.Duration `cbor:"5,keyasint,omitempty"`
}

// ValidateLimits checks the decoded statements of a message.
func ValidateLimits(list []LimitStatement) error {
	if len(list) > MaxShared {
		return fmt.Errorf("health: %d limits, at most %d are allowed", len(list), MaxShared)
	}
	for _, s := range list {
		switch {
		case s.Key.ID == "":
			return errors.New("health: limit without an engine")
		case !(s.Rate >= 0 && s.Rate <= maxRequestRate):
			return fmt.Errorf("health: limit %v of engine %.64q is out of range", s.Rate, s.Key.ID)
		case s.Age < 0 || s.Age > maxAge || s.AbsentAge < 0 || s.AbsentAge > maxAge:
			return fmt.Errorf("health: limit of engine %.64q has ages %v and %v", s.Key.ID, s.Age, s.AbsentAge)
		}
	}
	return nil
}

// ShareLimits returns the limits that other nodes may not know: those in force at listed
// engines, and those that ended a short time ago. The newest come first.
func (t *Table) ShareLimits(now time.Time) []LimitStatement {
	var out []LimitStatement
	for id, r := range *t.records.Load() {
		ended := !r.limit.isInForce()
		if !r.limit.isKept(now) || !r.unlistedSince.IsZero() {
			continue
		}
		s := LimitStatement{
			Key: fleet.Key{
				ID:          id,
				Incarnation: r.incarnation,
			},
			Rate:  r.limit.rate,
			Age:   boundedAge(now, r.limit.namedAt),
			Ended: ended,
		}
		if ended {
			s.AbsentAge = boundedAge(now, r.limit.absentAt)
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b LimitStatement) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Key.ID, b.Key.ID))
	})
	return out[:min(len(out), MaxShared)]
}

func boundedAge(now, at time.Time) time.Duration { return min(maxAge, max(0, now.Sub(at))) }

// MergeLimits adds the statements of another node and returns the changes of limits in force.
func (t *Table) MergeLimits(now time.Time, list []LimitStatement) []LimitChange {
	var out []LimitChange
	for _, s := range list {
		if s.Ended && !t.hasLimit(s.Key) {
			continue
		}
		namedAt, absentAt := now.Add(-s.Age), time.Time{}
		if s.Ended {
			absentAt = now.Add(-s.AbsentAge - peerSettle)
		}
		change := t.changeLimit(now, s.Key, func(r *limitRecord) {
			if namedAt.After(r.namedAt.Add(limitRefresh)) || namedAt.After(r.namedAt) && r.rate != s.Rate {
				r.rate, r.namedAt, r.namedBy = s.Rate, namedAt, Peer
			}
			if absentAt.After(r.absentAt) {
				r.absentAt = absentAt
			}
		})
		if change != nil {
			change.Source, change.Age = Peer, s.Age
			out = append(out, *change)
		}
	}
	return out
}
