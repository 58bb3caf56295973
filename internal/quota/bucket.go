package quota

import (
	"math"
	"slices"
	"time"
)

// bucket is the token bucket of one workspace at one node: the node's own
// slots, while they are not deposited elsewhere, and the deposits it holds.
type bucket struct {
	slotRate, slotCap float64
	level             float64
	at                time.Time
	ownSlots          int
	ownFrom, ownUntil time.Time // own slots are usable in between
	sources           []source
	loans             []loan
	lent              float64
	faults            *faults
}

// source is a deposit.
type source struct {
	from  string
	slots int
	debt  float64
	until time.Time
}

// loan lowers the cap until its deadline.
type loan struct {
	id     uint64
	tokens float64
	until  time.Time
}

func (b *bucket) ownActive() bool {
	return b.ownSlots > 0 && !b.at.Before(b.ownFrom) && b.at.Before(b.ownUntil)
}

func (b *bucket) sourceCap(s source) float64 {
	return max(0, float64(s.slots)*b.slotCap-s.debt)
}

// limit is the cap without what is lent.
func (b *bucket) limit() float64 {
	c := 0.0
	if b.ownActive() {
		c = float64(b.ownSlots) * b.slotCap
	}
	for _, s := range b.sources {
		c += b.sourceCap(s)
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
	for _, s := range b.sources {
		n += s.slots
	}
	return float64(n) * b.slotRate
}

// settle refills up to now. It stops at every instant at which the rate or the
// cap changes: a refill over the whole span would count time in which a loan
// held the level down.
func (b *bucket) settle(now time.Time) {
	for b.at.Before(now) {
		next := now
		earlier := func(t time.Time) {
			if t.After(b.at) && t.Before(next) {
				next = t
			}
		}
		if b.ownSlots > 0 {
			earlier(b.ownFrom)
			earlier(b.ownUntil)
		}
		for _, s := range b.sources {
			earlier(s.until)
		}
		for _, l := range b.loans {
			earlier(l.until)
		}
		b.level += b.rate() * next.Sub(b.at).Seconds()
		b.level = min(b.level, b.limit())
		b.at = next
		b.sources = slices.DeleteFunc(b.sources, func(s source) bool {
			return !next.Before(s.until)
		})
		b.loans = slices.DeleteFunc(b.loans, func(l loan) bool {
			return !next.Before(l.until)
		})
		b.lent = 0
		for _, l := range b.loans {
			b.lent += l.tokens
		}
		b.level = min(b.level, b.limit())
	}
}

// setShare changes the rate and cap of a slot.
func (b *bucket) setShare(now time.Time, rate, limit float64) {
	b.settle(now)
	b.slotRate, b.slotCap = rate, limit
	b.level = min(b.level, b.limit())
}

func (b *bucket) setOwn(now time.Time, slots int, until time.Time) {
	b.settle(now)
	b.ownSlots, b.ownUntil = slots, until
	b.level = min(b.level, b.limit())
}

// deposit adds or renews a source.
func (b *bucket) deposit(now time.Time, s source, level float64) {
	b.settle(now)
	i := slices.IndexFunc(b.sources, func(o source) bool {
		return o.from == s.from
	})
	if i >= 0 {
		b.sources[i] = s
	} else {
		b.sources = append(b.sources, s)
	}
	b.level = min(b.level+level, b.limit())
}

// handOver empties the bucket for a deposit elsewhere and keeps off the own
// slots until resume. Loans to this node are still out, so they are a debt.
func (b *bucket) handOver(now, resume time.Time) (level, debt int64) {
	b.settle(now)
	if b.ownActive() {
		level = int64(b.level)
		b.level = 0
	}
	b.ownFrom = resume
	if b.faults.forgetDebt {
		return level, 0
	}
	return level, int64(math.Ceil(b.lent))
}

// lend takes up to want tokens for a loan and returns its deadline. The loan
// ends before the deposits that stand behind it, because a depositor that
// resumes would refill its cap while the loan is still spendable.
func (b *bucket) lend(now time.Time, id uint64, want int64) (int64, time.Time) {
	b.settle(now)
	want = min(want, int64(b.level))
	if want <= 0 {
		return 0, now
	}
	type backing struct {
		until  time.Time
		tokens float64
	}
	var back []backing
	if b.ownActive() {
		back = append(back, backing{
			until:  b.ownUntil,
			tokens: float64(b.ownSlots) * b.slotCap,
		})
	}
	for _, s := range b.sources {
		back = append(back, backing{
			until:  s.until,
			tokens: b.sourceCap(s),
		})
	}
	slices.SortFunc(back, func(x, y backing) int {
		return y.until.Compare(x.until)
	})
	until, sum := now.Add(DepositTerm), 0.0
	for _, s := range back {
		if s.until.Sub(now) < minLoanTerm {
			break
		}
		if s.until.Before(until) {
			until = s.until
		}
		sum += s.tokens
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

// repay ends a part of a loan before its deadline and restores the cap. Unused
// tokens go back to the level; once the loan has ended, its cap may have been
// refilled, so nothing is credited.
func (b *bucket) repay(now time.Time, id uint64, tokens int64, spent bool) {
	b.settle(now)
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
		b.level = min(b.level+n, b.limit())
	}
	if l.tokens == 0 {
		b.loans = slices.Delete(b.loans, i, i+1)
	}
}

// credit adds a refund as far as the cap allows and returns what it added.
func (b *bucket) credit(now time.Time, tokens float64) float64 {
	b.settle(now)
	n := min(tokens, max(0, b.limit()-b.level))
	b.level += n
	return n
}

// meter estimates the present use per second with a moving average over
// meterSpan.
type meter struct {
	perSecond float64
	at        time.Time
}

const meterSpan = time.Second

func (m *meter) add(now time.Time, tokens int64) {
	m.perSecond = m.value(now) + float64(tokens)/meterSpan.Seconds()
	m.at = now
}

func (m *meter) value(now time.Time) float64 {
	if m.perSecond == 0 {
		return 0
	}
	return m.perSecond * math.Exp(-now.Sub(m.at).Seconds()/meterSpan.Seconds())
}
