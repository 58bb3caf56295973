package quota

import (
	"slices"
	"time"
)

// Loan is tokens that a node may spend before a deadline on its own clock.
type Loan struct {
	Workspace string
	// Lender is the node that gave the loan; Epoch and ID name it there.
	Lender  string
	Epoch   uint64
	ID      uint64
	Tokens  int64
	SpendBy time.Time
}

// Wallet holds the loans of one workspace at one node. The zero value is empty.
type Wallet struct {
	loans []Loan // earliest deadline first
	use   meter
	takes meter
	// loose lets tokens be spent after their deadline; only tests set it.
	loose bool
}

// Times of use that a node keeps at hand.
const (
	// prefetchLow is the stock below which a node draws more.
	prefetchLow = 200 * time.Millisecond
	// prefetchHigh is the stock it draws up to, and keeps when it returns tokens.
	prefetchHigh = 500 * time.Millisecond
	// prefetchTakes is the number of requests a second from which a node draws
	// ahead; below it a request draws for itself.
	prefetchTakes = 4
	// spendMargin is left between admission and the deadline, so that a request
	// that isn't queued passes the check before its first byte.
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
	if w.loose {
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

// Tokens is what can be spent now.
func (w *Wallet) Tokens(now time.Time) int64 {
	w.expire(now)
	n := int64(0)
	for i := range w.loans {
		n += w.loans[i].Tokens
	}
	return n
}

// Taken is tokens taken out of a wallet and the loans they came from. Parts of
// more loans than fit are left out; their caps come back at their deadline.
type Taken struct {
	// SpendBy is the earliest deadline among the loans.
	SpendBy time.Time
	Parts   [8]Part
}

// Part is tokens of one loan.
type Part struct {
	Lender string
	Epoch  uint64
	ID     uint64
	Tokens int64
}

// Take takes tokens, those with the earliest deadline first. It takes all or
// nothing.
func (w *Wallet) Take(now time.Time, tokens int64) (Taken, bool) {
	var t Taken
	if w.Tokens(now) < tokens {
		return t, false
	}
	w.use.add(now, tokens)
	w.takes.add(now, 1)
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

// Split takes up to n tokens out, those with the earliest deadline first, as
// loans that can be passed on.
func (w *Wallet) Split(now time.Time, n int64) []Loan {
	n = min(n, w.Tokens(now))
	if n <= 0 {
		return nil
	}
	w.use.add(now, n)
	w.takes.add(now, 1)
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

// stock is the use during d. With few requests it is 0: tokens drawn ahead
// would mostly be returned, at the cost of two messages.
func (w *Wallet) stock(now time.Time, d time.Duration) float64 {
	if w.takes.value(now) < prefetchTakes {
		return 0
	}
	return w.use.value(now) * d.Seconds()
}

// Low reports whether the stock is short of the recent use.
func (w *Wallet) Low(now time.Time) bool {
	return float64(w.Tokens(now)) < w.stock(now, prefetchLow)
}

// Prefetch is how many tokens bring the stock up to the recent use.
func (w *Wallet) Prefetch(now time.Time) int64 {
	return max(0, int64(w.stock(now, prefetchHigh))-w.Tokens(now))
}

// Use is the recent use in tokens per second.
func (w *Wallet) Use(now time.Time) float64 {
	return w.use.value(now)
}

// Surplus removes and returns the loans that are not needed for the recent use.
func (w *Wallet) Surplus(now time.Time) []Loan {
	return w.remove(w.Tokens(now) - int64(w.stock(now, prefetchHigh)))
}

// Drain removes and returns all loans.
func (w *Wallet) Drain(now time.Time) []Loan {
	return w.remove(w.Tokens(now))
}

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
