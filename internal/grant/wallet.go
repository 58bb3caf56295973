package grant

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// ContactLost is how long after the last answer of the coordinator a node
	// admits by itself. The coordinator reserves the node's fraction earlier.
	ContactLost = 900 * time.Millisecond
	// ReserveAfter is how long after the last message of a node the coordinator
	// keeps its fraction back. It is shorter than ContactLost, which counts from
	// before the message was sent.
	ReserveAfter = 700 * time.Millisecond
	// stock is how much of a second's demand a node holds ahead of need.
	stock = 300 * time.Millisecond
	// demandTime is the time constant of the demand that sizes the stock.
	demandTime = 700 * time.Millisecond
	// stockLeast is how many requests of usual size the stock must hold. Tokens
	// that fit no request would only expire.
	stockLeast = 1.5
	// sizeWeight is the weight of one request in the usual size.
	sizeWeight = 0.1
	// localBurst is how long a node without contact saves up its fraction.
	localBurst = 350 * time.Millisecond
)

// Draw asks the coordinator for tokens.
type Draw struct {
	Workspace string  `cbor:"1,keyasint"`
	Want      float64 `cbor:"2,keyasint"`
	// Need is the size of the request that waits, 0 when none does.
	Need float64 `cbor:"3,keyasint,omitempty"`
}

// Shortage tells that the coordinator had too few tokens for a draw, and in what
// time it may have enough.
type Shortage struct {
	Workspace string        `cbor:"1,keyasint"`
	In        time.Duration `cbor:"2,keyasint"`
}

// Loan is what the coordinator issued.
type Loan struct {
	Workspace string  `cbor:"1,keyasint"`
	Tokens    float64 `cbor:"2,keyasint"`
}

// Wallet is what one node may admit. It is not safe for concurrent use.
type Wallet struct {
	limits   map[string]Limit
	purses   map[string]*purse
	contact  time.Time
	fraction float64
	spare    float64
}

type purse struct {
	batches []batch
	demand  float64 // tokens per second
	seen    time.Time
	waiting float64
	need    float64
	local   float64
	filled  time.Time
	short   time.Time // until when it is of no use to ask for tokens
	size    float64   // usual size of a request
}

type batch struct {
	tokens  float64
	spendBy time.Time
}

// NewWallet returns an empty wallet. Nodes without contact may save up spare
// tokens in all beyond what localBurst allows, so that requests of small
// workspaces fit.
func NewWallet(spare float64) *Wallet {
	return &Wallet{
		spare:  spare,
		limits: make(map[string]Limit),
		purses: make(map[string]*purse),
	}
}

// SetLimits takes over the limits of all workspaces. A workspace that is not
// named has no limit.
func (w *Wallet) SetLimits(limits map[string]Limit) {
	for name, l := range limits {
		old, ok := w.limits[name]
		if ok && (l.Rate < old.Rate || l.Burst < old.Burst) {
			// What was issued under the higher limit is not spent under the lower.
			if p := w.purses[name]; p != nil {
				p.batches = nil
				p.local = 0
			}
		}
	}
	w.limits = limits
}

// SetFraction gives a node that never heard the coordinator its fraction, which
// the node had before its restart and others have told it of.
func (w *Wallet) SetFraction(fraction float64) {
	if w.contact.IsZero() {
		w.fraction = fraction
	}
}

func (w *Wallet) purse(name string) *purse {
	p := w.purses[name]
	if p == nil {
		p = &purse{}
		w.purses[name] = p
	}
	return p
}

// InTouch reports whether the coordinator answered lately.
func (w *Wallet) InTouch(now time.Time) bool {
	return !w.contact.IsZero() && now.Sub(w.contact) < ContactLost
}

// Arrived counts the tokens of a request towards the workspace's demand.
func (w *Wallet) Arrived(now time.Time, workspace string, tokens float64) {
	if _, limited := w.limits[workspace]; !limited {
		return
	}
	p := w.purse(workspace)
	p.decay(now)
	p.demand += tokens / demandTime.Seconds()
	if p.size == 0 {
		p.size = tokens
	}
	p.size += (tokens - p.size) * sizeWeight
}

func (p *purse) decay(now time.Time) {
	if d := now.Sub(p.seen); d > 0 {
		p.demand *= math.Exp(-d.Seconds() / demandTime.Seconds())
		p.seen = now
	}
}

// Take spends the tokens of a request. It reports false when the wallet holds
// too few.
func (w *Wallet) Take(now time.Time, workspace string, tokens float64) bool {
	limit, limited := w.limits[workspace]
	if !limited {
		return true
	}
	p := w.purse(workspace)
	if !w.InTouch(now) {
		return w.takeLocal(now, p, limit, tokens)
	}
	p.batches = expired(p.batches, now)
	if total(p.batches)+1e-9 < tokens {
		return false
	}
	p.batches = spend(p.batches, tokens)
	return true
}

// takeLocal spends what a pool issued and the node's own fraction of the rate.
func (w *Wallet) takeLocal(now time.Time, p *purse, limit Limit, tokens float64) bool {
	p.batches = expired(p.batches, now)
	w.mint(now, p, limit)
	pooled := min(tokens, total(p.batches))
	if pooled+p.local < tokens {
		return false
	}
	p.batches = spend(p.batches, pooled)
	p.local -= tokens - pooled
	return true
}

// mint adds what the node's own fraction of the rate brings. It begins when the
// contact was lost, or in a new process at the first use.
func (w *Wallet) mint(now time.Time, p *purse, limit Limit) {
	if p.filled.IsZero() {
		p.filled, p.local = now, 0
		if !w.contact.IsZero() {
			p.filled = w.contact.Add(ContactLost)
		}
	}
	rate := limit.Rate * w.fraction
	most := rate*localBurst.Seconds() + min(w.spare, limit.Burst)*w.fraction
	p.local = min(most, p.local+now.Sub(p.filled).Seconds()*rate)
	p.filled = now
}

// Deposit hands over what the node has minted of all workspaces without contact.
func (w *Wallet) Deposit(now time.Time) []Loan {
	if w.InTouch(now) {
		return nil
	}
	var out []Loan
	for name, limit := range w.limits {
		p := w.purse(name)
		w.mint(now, p, limit)
		if p.local < 1 {
			continue
		}
		out = append(out, Loan{
			Workspace: name,
			Tokens:    p.local,
		})
		p.local = 0
	}
	slices.SortFunc(out, func(a, b Loan) int { return strings.Compare(a.Workspace, b.Workspace) })
	return out
}

// expired drops the batches that may not be spent any more.
func expired(list []batch, now time.Time) []batch {
	return slices.DeleteFunc(list, func(b batch) bool { return !now.Before(b.spendBy) })
}

func total(list []batch) float64 {
	var sum float64
	for _, b := range list {
		sum += b.tokens
	}
	return sum
}

// spend takes tokens from the first batches.
func spend(list []batch, tokens float64) []batch {
	for tokens > 0 && len(list) > 0 {
		part := min(tokens, list[0].tokens)
		list[0].tokens -= part
		tokens -= part
		if list[0].tokens <= 0 {
			list = list[1:]
		}
	}
	return list
}

// Wait notes a request that waits for tokens until done is called.
func (w *Wallet) Wait(workspace string, tokens float64) (done func()) {
	p := w.purse(workspace)
	p.waiting += tokens
	if p.need == 0 || tokens < p.need {
		p.need = tokens
	}
	return func() {
		p.waiting -= tokens
		if p.waiting <= 0 {
			p.waiting, p.need = 0, 0
		}
	}
}

// Draws returns what to ask the coordinator for.
func (w *Wallet) Draws(now time.Time) []Draw {
	var out []Draw
	for name, p := range w.purses {
		if _, limited := w.limits[name]; !limited || now.Before(p.short) {
			continue
		}
		p.decay(now)
		p.batches = expired(p.batches, now)
		var held float64
		for _, b := range p.batches {
			// Tokens about to expire do not count as stock.
			if b.spendBy.Sub(now) > Term/3 {
				held += b.tokens
			}
		}
		want := p.waiting - held
		if ahead := p.demand * stock.Seconds(); ahead >= stockLeast*p.size && w.InTouch(now) {
			want += ahead
		}
		if want < 1 {
			continue
		}
		out = append(out, Draw{
			Workspace: name,
			Want:      want,
			Need:      p.need,
		})
	}
	slices.SortFunc(out, func(a, b Draw) int { return strings.Compare(a.Workspace, b.Workspace) })
	return out
}

// Short notes that the coordinator had too few tokens, in the answer to a
// message that was sent at a time of this node's clock.
func (w *Wallet) Short(sent time.Time, list []Shortage) {
	for _, s := range list {
		if p := w.purse(s.Workspace); sent.Add(s.In).After(p.short) {
			p.short = sent.Add(s.In)
		}
	}
}

// ShortUntil is until when it is of no use to ask for tokens of a workspace.
func (w *Wallet) ShortUntil(workspace string) time.Time { return w.purse(workspace).short }

// Receive takes over the coordinator's answer to a message that was sent at a
// time of this node's clock.
func (w *Wallet) Receive(sent time.Time, loans []Loan, fraction float64) {
	if sent.After(w.contact) {
		w.contact, w.fraction = sent, fraction
		for _, p := range w.purses {
			p.filled, p.local = time.Time{}, 0
		}
	}
	w.add(loans, sent.Add(Term))
}

// ReceivePool takes over a pool's answer.
func (w *Wallet) ReceivePool(sent time.Time, loans []Loan) { w.add(loans, sent.Add(PoolTerm)) }

func (w *Wallet) add(loans []Loan, spendBy time.Time) {
	for _, l := range loans {
		if l.Tokens <= 0 {
			continue
		}
		p := w.purse(l.Workspace)
		p.batches = append(p.batches, batch{
			tokens:  l.Tokens,
			spendBy: spendBy,
		})
		slices.SortStableFunc(p.batches, func(a, b batch) int { return a.spendBy.Compare(b.spendBy) })
	}
}
