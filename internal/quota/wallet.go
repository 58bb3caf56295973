package quota

import (
	"slices"
	"time"
)

// Loan is tokens that a node may spend before a deadline on its own clock.
type Loan struct {
	Workspace string
	// Lender is the node that made the loan; Epoch and ID identify it there.
	Lender  string
	Epoch   uint64
	ID      uint64
	Tokens  int64
	SpendBy time.Time
}

// Wallet holds the loans of one workspace at one node. The zero value is empty.
type Wallet struct {
	loans     []Loan // earliest deadline first
	tokenRate meter
	takeRate  meter
	// ignoreDeadlines lets tokens be spent after their deadline; only tests set it.
	ignoreDeadlines bool
}

// The local reserve of tokens, in time that it lasts at the recent use.
const (
	// prefetchLow is the reserve below which a node draws more.
	prefetchLow = 200 * time.Millisecond
	// prefetchHigh is the reserve that a node draws up to, and keeps when it
	// returns surplus tokens.
	prefetchHigh = 500 * time.Millisecond
	// minPrefetchRate is the number of requests per second from which a node draws
	// in advance. Below it each request draws its own tokens.
	minPrefetchRate = 4
	// spendMargin is the least time between admission and the deadline, so that a
	// request that isn't queued passes the check before its first byte.
	spendMargin = 20 * time.Millisecond
)

// Add puts a loan into the wallet.
func (w *Wallet) Add(l Loan) {
	if l.Tokens <= 0 {
		return
	}
	i := len(w.loans)
	for i > 0 && w.loans[i-1].SpendBy.After(l.SpendBy) {
		i--
	}
	w.loans = slices.Insert(w.loans, i, l)
}

func (w *Wallet) expire(now time.Time) {
	if w.ignoreDeadlines {
		return
	}
	i := 0
	for i < len(w.loans) && w.loans[i].SpendBy.Sub(now) < spendMargin {
		i++
	}
	if i > 0 {
		w.loans = slices.Delete(w.loans, 0, i)
	}
}

// Tokens returns the number of tokens that can be spent now.
func (w *Wallet) Tokens(now time.Time) int64 {
	w.expire(now)
	n := int64(0)
	for i := range w.loans {
		n += w.loans[i].Tokens
	}
	return n
}

// Withdrawal is tokens taken out of a wallet and the loans they came from. Loans
// beyond the size of Parts are left out and so not reported to their lenders,
// which restore the capacity only at the deadline.
type Withdrawal struct {
	// SpendBy is the earliest deadline among the loans.
	SpendBy time.Time
	Parts   [8]Part
}

// Part is the tokens that came from one loan.
type Part struct {
	Lender string
	Epoch  uint64
	ID     uint64
	Tokens int64
}

// Take removes tokens, those with the earliest deadline first. It removes all
// of them, or none if there are too few.
func (w *Wallet) Take(now time.Time, tokens int64) (Withdrawal, bool) {
	var t Withdrawal
	if w.Tokens(now) < tokens {
		return t, false
	}
	w.tokenRate.add(now, tokens)
	w.takeRate.add(now, 1)
	t.SpendBy = now.Add(DepositTerm)
	if len(w.loans) > 0 && tokens > 0 {
		t.SpendBy = w.loans[0].SpendBy
	}
	i := 0
	for k := 0; tokens > 0; k++ {
		l := &w.loans[i]
		n := min(l.Tokens, tokens)
		l.Tokens -= n
		tokens -= n
		if k < len(t.Parts) {
			t.Parts[k] = Part{
				Lender: l.Lender,
				Epoch:  l.Epoch,
				ID:     l.ID,
				Tokens: n,
			}
		}
		if l.Tokens == 0 {
			i++
		}
	}
	if i > 0 {
		w.loans = slices.Delete(w.loans, 0, i)
	}
	return t, true
}

// Split removes up to n tokens, those with the earliest deadline first, and
// returns them as loans that can be lent to another node.
func (w *Wallet) Split(now time.Time, n int64) []Loan {
	n = min(n, w.Tokens(now))
	if n <= 0 {
		return nil
	}
	w.tokenRate.add(now, n)
	w.takeRate.add(now, 1)
	var out []Loan
	for n > 0 {
		l := w.loans[0]
		l.Tokens = min(l.Tokens, n)
		n -= l.Tokens
		out = append(out, l)
		if w.loans[0].Tokens -= l.Tokens; w.loans[0].Tokens == 0 {
			w.loans = slices.Delete(w.loans, 0, 1)
		}
	}
	return out
}

// reserve returns the tokens that the recent use needs for d. With few requests
// it is 0: tokens drawn in advance would mostly be returned, at the cost of two
// messages.
func (w *Wallet) reserve(now time.Time, d time.Duration) float64 {
	if w.takeRate.value(now) < minPrefetchRate {
		return 0
	}
	return w.tokenRate.value(now) * d.Seconds()
}

// Low reports whether the wallet holds less than the lower reserve.
func (w *Wallet) Low(now time.Time) bool {
	return float64(w.Tokens(now)) < w.reserve(now, prefetchLow)
}

// Prefetch returns the number of tokens missing from the upper reserve.
func (w *Wallet) Prefetch(now time.Time) int64 {
	return max(0, int64(w.reserve(now, prefetchHigh))-w.Tokens(now))
}

// Use returns the recent use in tokens per second.
func (w *Wallet) Use(now time.Time) float64 {
	return w.tokenRate.value(now)
}

// Surplus removes and returns the loans above the upper reserve.
func (w *Wallet) Surplus(now time.Time) []Loan {
	return w.remove(w.Tokens(now) - int64(w.reserve(now, prefetchHigh)))
}

// Drain removes and returns all loans.
func (w *Wallet) Drain(now time.Time) []Loan {
	return w.remove(w.Tokens(now))
}

// remove removes and returns n tokens, those with the latest deadline first.
func (w *Wallet) remove(n int64) []Loan {
	var out []Loan
	for i := len(w.loans) - 1; i >= 0 && n > 0; i-- {
		l := w.loans[i]
		l.Tokens = min(l.Tokens, n)
		n -= l.Tokens
		w.loans[i].Tokens -= l.Tokens
		out = append(out, l)
	}
	w.loans = slices.DeleteFunc(w.loans, func(l Loan) bool {
		return l.Tokens == 0
	})
	return out
}
