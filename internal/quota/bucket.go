package quota

import (
	"math"
	"slices"
	"time"
)

// bucket is the token bucket of one workspace at one node. Its rate and capacity
// come from the node's own slots, unless they are deposited with another node,
// and from the deposits that the node holds as a pool.
type bucket struct {
	slotRate, slotCap float64
	level             float64
	updatedAt         time.Time
	ownSlots          int
	ownFrom, ownUntil time.Time // the own slots are usable in this interval
	deposits          []deposit
	loans             []loan
	lent              float64
	faults            *faults
}

// deposit is the slots of another node, which this pool uses until a deadline.
type deposit struct {
	depositor string
	slots     int
	debt      float64
	until     time.Time
}

// loan is tokens lent to a node. It lowers the capacity until its deadline.
type loan struct {
	id     uint64
	tokens float64
	until  time.Time
}

func (b *bucket) ownActive() bool {
	return b.ownSlots > 0 && !b.updatedAt.Before(b.ownFrom) && b.updatedAt.Before(b.ownUntil)
}

func (b *bucket) depositCap(d deposit) float64 {
	return max(0, float64(d.slots)*b.slotCap-d.debt)
}

// capacity is the largest level of the bucket: the capacity of its slots less
// the tokens that are lent.
func (b *bucket) capacity() float64 {
	c := 0.0
	if b.ownActive() {
		c = float64(b.ownSlots) * b.slotCap
	}
	for _, d := range b.deposits {
		c += b.depositCap(d)
	}
	if !b.faults.keepCap {
		c -= b.lent
	}
	return max(0, c)
}

func (b *bucket) rate() float64 {
	n := 0
	if b.ownActive() {
		n = b.ownSlots
	}
	for _, d := range b.deposits {
		n += d.slots
	}
	return float64(n) * b.slotRate
}

// advance refills the bucket up to now and removes expired deposits and loans.
// It refills separately up to every instant at which the rate or the capacity
// changes: one refill over the whole span would include time in which a loan
// limited the level.
func (b *bucket) advance(now time.Time) {
	for b.updatedAt.Before(now) {
		next := now
		stopAt := func(t time.Time) {
			if t.After(b.updatedAt) && t.Before(next) {
				next = t
			}
		}
		if b.ownSlots > 0 {
			stopAt(b.ownFrom)
			stopAt(b.ownUntil)
		}
		for _, d := range b.deposits {
			stopAt(d.until)
		}
		for _, l := range b.loans {
			stopAt(l.until)
		}
		b.level += b.rate() * next.Sub(b.updatedAt).Seconds()
		b.level = min(b.level, b.capacity())
		b.updatedAt = next
		b.deposits = slices.DeleteFunc(b.deposits, func(d deposit) bool {
			return !next.Before(d.until)
		})
		b.loans = slices.DeleteFunc(b.loans, func(l loan) bool {
			return !next.Before(l.until)
		})
		b.lent = 0
		for _, l := range b.loans {
			b.lent += l.tokens
		}
		b.level = min(b.level, b.capacity())
	}
}

// setShare changes the rate and capacity of a slot.
func (b *bucket) setShare(now time.Time, rate, capacity float64) {
	b.advance(now)
	b.slotRate, b.slotCap = rate, capacity
	b.level = min(b.level, b.capacity())
}

func (b *bucket) setOwn(now time.Time, slots int, until time.Time) {
	b.advance(now)
	b.ownSlots, b.ownUntil = slots, until
	b.level = min(b.level, b.capacity())
}

// addDeposit adds or renews a deposit. level is the tokens that come with it.
func (b *bucket) addDeposit(now time.Time, d deposit, level float64) {
	b.advance(now)
	i := slices.IndexFunc(b.deposits, func(o deposit) bool {
		return o.depositor == d.depositor
	})
	if i >= 0 {
		b.deposits[i] = d
	} else {
		b.deposits = append(b.deposits, d)
	}
	b.level = min(b.level+level, b.capacity())
}

// handOver deposits the own slots with another node: it takes the level out of
// the bucket and disables the own slots until resume. debt is the sum of the
// outstanding loans, by which the pool has to lower its capacity.
func (b *bucket) handOver(now, resume time.Time) (level, debt int64) {
	b.advance(now)
	if b.ownActive() {
		level = int64(b.level)
		b.level = 0
	}
	b.ownFrom = resume
	if b.faults.omitDebt {
		return level, 0
	}
	return level, int64(math.Ceil(b.lent))
}

// lend takes up to want tokens for a loan and returns its deadline. The loan
// ends no later than the deposits that back it: a depositor that uses its slots
// again would otherwise refill them while the loan can still be spent.
func (b *bucket) lend(now time.Time, id uint64, want int64) (int64, time.Time) {
	b.advance(now)
	want = min(want, int64(b.level))
	if want <= 0 {
		return 0, now
	}
	type backing struct {
		until  time.Time
		tokens float64
	}
	var backings []backing
	if b.ownActive() {
		backings = append(backings, backing{
			until:  b.ownUntil,
			tokens: float64(b.ownSlots) * b.slotCap,
		})
	}
	for _, d := range b.deposits {
		backings = append(backings, backing{
			until:  d.until,
			tokens: b.depositCap(d),
		})
	}
	slices.SortFunc(backings, func(x, y backing) int {
		return y.until.Compare(x.until)
	})
	until, sum := now.Add(DepositTerm), 0.0
	for _, x := range backings {
		if x.until.Sub(now) < minLoanTerm {
			break
		}
		if x.until.Before(until) {
			until = x.until
		}
		sum += x.tokens
		if sum >= b.lent+float64(want) {
			break
		}
	}
	if !b.faults.keepCap {
		want = min(want, int64(max(0, sum-b.lent)))
	}
	if want <= 0 {
		return 0, now
	}
	b.level -= float64(want)
	b.lent += float64(want)
	term := until.Sub(now)
	b.loans = append(b.loans, loan{
		id:     id,
		tokens: float64(want),
		until:  until.Add(term / 10),
	})
	return want, until
}

// repay ends a part of a loan before its deadline and restores the capacity.
// Unused tokens go back to the level. After the deadline nothing is credited,
// because the capacity may have been refilled already.
func (b *bucket) repay(now time.Time, id uint64, tokens int64, spent bool) {
	b.advance(now)
	i := slices.IndexFunc(b.loans, func(l loan) bool {
		return l.id == id
	})
	if i < 0 {
		return
	}
	l := &b.loans[i]
	n := min(l.tokens, float64(tokens))
	l.tokens -= n
	b.lent -= n
	if !spent {
		b.level = min(b.level+n, b.capacity())
	}
	if l.tokens == 0 {
		b.loans = slices.Delete(b.loans, i, i+1)
	}
}

// credit adds a refund up to the capacity and returns the tokens it added.
func (b *bucket) credit(now time.Time, tokens float64) float64 {
	b.advance(now)
	n := min(tokens, max(0, b.capacity()-b.level))
	b.level += n
	return n
}

// meter estimates the current rate per second with an exponential moving
// average, whose time constant is meterTimeConstant.
type meter struct {
	perSecond float64
	at        time.Time
}

const meterTimeConstant = time.Second

func (m *meter) add(now time.Time, tokens int64) {
	m.perSecond = m.value(now) + float64(tokens)/meterTimeConstant.Seconds()
	m.at = now
}

func (m *meter) value(now time.Time) float64 {
	if m.perSecond == 0 {
		return 0
	}
	return m.perSecond * math.Exp(-now.Sub(m.at).Seconds()/meterTimeConstant.Seconds())
}
