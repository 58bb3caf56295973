// Package stats holds the counters and latency histograms of a process.
package stats

import (
	"expvar"
	"fmt"
	"sync/atomic"
)

// Counter identifies one counter in the fixed list.
type Counter int

// The counters, grouped by subject.
const (
	RequestsStarted Counter = iota
	RequestsServed
	RequestsRefused
	RequestsFailed
	RequestsCancelled
	RequestsInterrupted
	RequestsPanicked
	CallersLimited
	TokensCharged
	TokensRefunded
	TokensGenerated
	StreamsResumed
	StreamsSlow
	ResponsesMismatched
	RetriesDone
	RetriesOverBudget
	OnceRun
	OnceReplayed
	OnceInProgress
	OnceUnknown
	OnceDifferentBody
	OnceNotProvable
	OnceStoreFailed
	QuotaDraws
	QuotaDrawsShort
	QuotaLoansExpired
	QuotaSlotsTaken
	QuotaSlotsLost
	KeysUnknown
	KeysStale
	KeysWithdrawn
	FeedPolls
	FeedPollsFailed
	FeedChangesApplied
	PeersSyncs
	PeersSyncsFailed
	PeersProvedDead
	PlaceOrders
	PlaceOrdersFailed
	PlaceMoves
	RouteEjections
	RouteReturns
	StoreReads
	StoreWrites
	StoreOutcomesUnknown
	numCounters
)

type label struct {
	subject string
	name    string
}

// labels holds the published name of each counter. A test checks that every counter
// has one.
var labels = [numCounters]label{
	RequestsStarted:      {"requests", "started"},
	RequestsServed:       {"requests", "served"},
	RequestsRefused:      {"requests", "refused"},
	RequestsFailed:       {"requests", "failed"},
	RequestsCancelled:    {"requests", "cancelled"},
	RequestsInterrupted:  {"requests", "interrupted"},
	RequestsPanicked:     {"requests", "panicked"},
	CallersLimited:       {"callers", "limited"},
	TokensCharged:        {"tokens", "charged"},
	TokensRefunded:       {"tokens", "refunded"},
	TokensGenerated:      {"tokens", "generated"},
	StreamsResumed:       {"streams", "resumed"},
	StreamsSlow:          {"streams", "slow-client"},
	ResponsesMismatched:  {"responses", "mismatched"},
	RetriesDone:          {"retries", "done"},
	RetriesOverBudget:    {"retries", "over-budget"},
	OnceRun:              {"once", "run"},
	OnceReplayed:         {"once", "replayed"},
	OnceInProgress:       {"once", "in-progress"},
	OnceUnknown:          {"once", "unknown"},
	OnceDifferentBody:    {"once", "different-body"},
	OnceNotProvable:      {"once", "not-provable"},
	OnceStoreFailed:      {"once", "store-failed"},
	QuotaDraws:           {"quota", "draws"},
	QuotaDrawsShort:      {"quota", "draws-short"},
	QuotaLoansExpired:    {"quota", "loans-expired"},
	QuotaSlotsTaken:      {"quota", "slots-taken"},
	QuotaSlotsLost:       {"quota", "slots-lost"},
	KeysUnknown:          {"keys", "unknown"},
	KeysStale:            {"keys", "stale"},
	KeysWithdrawn:        {"keys", "withdrawn"},
	FeedPolls:            {"feed", "polls"},
	FeedPollsFailed:      {"feed", "polls-failed"},
	FeedChangesApplied:   {"feed", "changes-applied"},
	PeersSyncs:           {"peers", "syncs"},
	PeersSyncsFailed:     {"peers", "syncs-failed"},
	PeersProvedDead:      {"peers", "proved-dead"},
	PlaceOrders:          {"place", "orders"},
	PlaceOrdersFailed:    {"place", "orders-failed"},
	PlaceMoves:           {"place", "moves"},
	RouteEjections:       {"route", "ejections"},
	RouteReturns:         {"route", "returns"},
	StoreReads:           {"store", "reads"},
	StoreWrites:          {"store", "writes"},
	StoreOutcomesUnknown: {"store", "outcomes-unknown"},
}

// String returns the published name, "subject.name".
func (c Counter) String() string {
	if c < 0 || c >= numCounters {
		return fmt.Sprintf("counter(%d)", int(c))
	}
	return labels[c].subject + "." + labels[c].name
}

// Set holds the counters and histograms of one process. It is safe for
// concurrent use.
type Set struct {
	counters [numCounters]paddedInt
	latency  latency
}

// paddedInt fills a cache line, which avoids false sharing between counters.
type paddedInt struct {
	atomic.Int64
	_ [56]byte
}

// New returns an empty Set.
func New() *Set {
	return &Set{}
}

// Inc adds one to a counter.
func (s *Set) Inc(c Counter) {
	s.counters[c].Add(1)
}

// Add adds n to a counter.
func (s *Set) Add(c Counter, n int64) {
	s.counters[c].Add(n)
}

// Value returns a counter's current value.
func (s *Set) Value(c Counter) int64 {
	return s.counters[c].Load()
}

// Publish publishes the set with expvar: one variable for each subject, and
// "latency" for the histograms. expvar names are global to the process, so a
// process can publish only one Set, and only once.
func (s *Set) Publish() {
	for subject, m := range s.Groups() {
		expvar.Publish(subject, m)
	}
	expvar.Publish("latency", s.Latency())
}

// Groups returns the counters grouped by subject.
func (s *Set) Groups() map[string]*expvar.Map {
	subjects := map[string]*expvar.Map{}
	for c := range numCounters {
		l := labels[c]
		m, ok := subjects[l.subject]
		if !ok {
			m = new(expvar.Map)
			subjects[l.subject] = m
		}
		m.Set(l.name, expvar.Func(func() any { return s.Value(c) }))
	}
	return subjects
}

// LabelCounters holds one counter for each label in a fixed list, such as the
// reasons of refusals. Other labels are counted as "other", so that traffic
// cannot increase the number of counters. It implements expvar.Var.
type LabelCounters struct {
	expvar.Map
	known map[string]*expvar.Int
	other *expvar.Int
}

// NewLabelCounters returns counters for the given labels.
func NewLabelCounters(labels ...string) *LabelCounters {
	l := &LabelCounters{
		known: make(map[string]*expvar.Int, len(labels)),
		other: new(expvar.Int),
	}
	for _, name := range labels {
		v := new(expvar.Int)
		l.known[name] = v
		l.Set(name, v)
	}
	l.Set("other", l.other)
	return l
}

// Inc adds one to the counter of a label.
func (l *LabelCounters) Inc(name string) {
	if v, ok := l.known[name]; ok {
		v.Add(1)
		return
	}
	l.other.Add(1)
}

// Value returns the count of a label, or that of "other" if the label is not in the
// list.
func (l *LabelCounters) Value(name string) int64 {
	if v, ok := l.known[name]; ok {
		return v.Value()
	}
	return l.other.Value()
}
