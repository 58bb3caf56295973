package place

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// fastTime follows a tenfold change within a minute. slowTime evens out the
	// arrivals of models with a few requests a minute.
	fastTime = 20 * time.Second
	slowTime = 3 * time.Minute
	// The fast average counts only when it stands for at least fastRequests and
	// is fastRatio above the slow one; below that it is mostly chance.
	fastRequests = 4
	fastRatio    = 1.5
	// attainTime is the memory of a workspace's attainment.
	attainTime = time.Minute
	// levelBand is the hysteresis of a level: it changes only when the average
	// has left the band around it, so that noise causes no moves.
	levelBand = 0.25
	// nodeExpiry is when the wants and uses of a silent node stop counting.
	nodeExpiry = 30 * time.Second
	// idleRate is the rate in requests/s below which an estimate is dropped.
	idleRate = 1e-7
)

// average is a quantity per second with a fast and a slow moving average.
type average struct {
	sum        float64 // since the last advance
	fast, slow float64
	level      float64
}

func (a *average) advance(dt, keepFast, keepSlow float64) {
	rate := a.sum / dt
	a.sum = 0
	a.fast = rate + (a.fast-rate)*keepFast
	a.slow = rate + (a.slow-rate)*keepSlow
}

// settle moves the level to the current average if that has left the band.
func (a *average) settle(rising bool) {
	now := a.slow
	if rising {
		now = a.fast
	}
	if now > a.level*(1+levelBand) || now < a.level*(1-levelBand) {
		a.level = now
	}
}

type modelDemand struct {
	requests average
	tokens   average
	value    average
	lastUse  time.Time
	waiting  time.Time // since when requests wait for it, zero when none do
}

type adapterDemand struct {
	lastUse time.Time
	waiting time.Time
}

type nodeDemand struct {
	incarnation string
	seq         int64
	at          time.Time
	waiting     []Want
	inUse       []Use
}

type workspaceDemand struct {
	ok, all  float64
	fraction float64
	weight   float64
}

// Demand estimates what the nodes of a domain ask for.
type Demand struct {
	at         time.Time
	models     map[string]*modelDemand
	adapters   map[Item]*adapterDemand
	workspaces map[string]*workspaceDemand
	nodes      map[string]*nodeDemand
}

// NewDemand returns an estimator without any demand.
func NewDemand() *Demand {
	return &Demand{
		models:     map[string]*modelDemand{},
		adapters:   map[Item]*adapterDemand{},
		workspaces: map[string]*workspaceDemand{},
		nodes:      map[string]*nodeDemand{},
	}
}

func (d *Demand) model(name string) *modelDemand {
	m := d.models[name]
	if m == nil {
		m = &modelDemand{}
		d.models[name] = m
	}
	return m
}

func (d *Demand) adapter(model, name string) *adapterDemand {
	i := Item{
		Model:   model,
		Adapter: name,
	}
	a := d.adapters[i]
	if a == nil {
		a = &adapterDemand{}
		d.adapters[i] = a
	}
	return a
}

func (d *Demand) workspace(name string) *workspaceDemand {
	w := d.workspaces[name]
	if w == nil {
		w = &workspaceDemand{
			fraction: 1,
			weight:   1,
		}
		d.workspaces[name] = w
	}
	return w
}

// urgency is how much more a request of a workspace counts because the
// workspace is served worse than others.
func (w *workspaceDemand) urgency() float64 {
	return w.weight * (1 + 3*(1-w.fraction))
}

// Add takes over a report. Repeated and late ones change nothing.
func (d *Demand) Add(now time.Time, r DemandReport) {
	n := d.nodes[r.Node]
	if n != nil && n.incarnation == r.Incarnation && r.Seq <= n.seq {
		return
	}
	if n == nil {
		n = &nodeDemand{}
		d.nodes[r.Node] = n
	}
	n.incarnation, n.seq, n.at = r.Incarnation, r.Seq, now
	n.waiting, n.inUse = r.Waiting, r.InUse
	for _, e := range r.Entries {
		m, w := d.model(e.Model), d.workspace(e.Workspace)
		m.requests.sum += float64(e.Requests)
		m.tokens.sum += float64(e.Tokens)
		m.value.sum += float64(e.Requests) * w.urgency()
		w.ok += float64(e.OnTarget)
		w.all += float64(e.Begun)
		if e.Requests > 0 {
			m.lastUse = now
			if e.Adapter != "" {
				d.adapter(e.Model, e.Adapter).lastUse = now
			}
		}
	}
	for _, u := range r.InUse {
		if u.Running > 0 {
			d.adapter(u.Model, u.Adapter).lastUse = now
		}
	}
	for _, w := range r.Waiting {
		if w.Requests == 0 {
			continue
		}
		m := d.model(w.Model)
		if w.Adapter == "" {
			if m.waiting.IsZero() {
				m.waiting = now
			}
			continue
		}
		a := d.adapter(w.Model, w.Adapter)
		if a.waiting.IsZero() {
			a.waiting = now
		}
	}
}

// Advance brings the averages to now.
func (d *Demand) Advance(now time.Time) {
	if d.at.IsZero() {
		d.at = now
		return
	}
	dt := now.Sub(d.at).Seconds()
	if dt <= 0 {
		return
	}
	d.at = now
	keepFast := math.Exp(-dt / fastTime.Seconds())
	keepSlow := math.Exp(-dt / slowTime.Seconds())
	keepAttain := math.Exp(-dt / attainTime.Seconds())

	wanted := map[Item]bool{}
	for name, n := range d.nodes {
		if now.Sub(n.at) > nodeExpiry {
			delete(d.nodes, name)
			continue
		}
		for _, w := range n.waiting {
			if w.Requests > 0 {
				wanted[Item{Model: w.Model, Adapter: w.Adapter}] = true
			}
		}
	}
	for name, m := range d.models {
		m.requests.advance(dt, keepFast, keepSlow)
		m.tokens.advance(dt, keepFast, keepSlow)
		m.value.advance(dt, keepFast, keepSlow)
		// A rise shows in the fast average; after a fall the slow one keeps the
		// model from being unloaded at once.
		r := &m.requests
		rising := r.fast*fastTime.Seconds() >= fastRequests && r.fast > fastRatio*r.slow
		m.requests.settle(rising)
		m.tokens.settle(rising)
		m.value.settle(rising)
		if !wanted[Item{Model: name}] {
			m.waiting = time.Time{}
		}
		if m.requests.slow < idleRate && m.requests.fast < idleRate && m.waiting.IsZero() && now.Sub(m.lastUse) > 20*slowTime {
			delete(d.models, name)
		}
	}
	for i, a := range d.adapters {
		if !wanted[i] {
			a.waiting = time.Time{}
		}
		if a.waiting.IsZero() && now.Sub(a.lastUse) > 20*slowTime {
			delete(d.adapters, i)
		}
	}
	for _, w := range d.workspaces {
		if w.all > 0 {
			// The weight of a step grows with its requests, so that one late
			// request of a quiet workspace does not outweigh an hour.
			part := (1 - keepAttain) * w.all / (w.all + 1)
			w.fraction += (w.ok/w.all - w.fraction) * max(part, 0.02)
			w.ok, w.all = 0, 0
		}
	}
}

// SetWeights takes over the weights of the workspaces.
func (d *Demand) SetWeights(weights map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		if w := weights[name]; w > 0 {
			d.workspace(name).weight = w
		}
	}
}

// Requests is the level of requests per second for a model.
func (d *Demand) Requests(model string) float64 {
	if m := d.models[model]; m != nil {
		return m.requests.level
	}
	return 0
}

// Tokens is the level of tokens per second for a model.
func (d *Demand) Tokens(model string) float64 {
	if m := d.models[model]; m != nil {
		return m.tokens.level
	}
	return 0
}

// Attainment is a workspace's share of requests that met their target lately.
func (d *Demand) Attainment(workspace string) float64 {
	if w := d.workspaces[workspace]; w != nil {
		return w.fraction
	}
	return 1
}

// refs counts the running requests of each adapter at an endpoint.
func (d *Demand) refs() map[string]map[Item]int64 {
	out := map[string]map[Item]int64{}
	for _, n := range d.nodes {
		for _, u := range n.inUse {
			if out[u.Endpoint] == nil {
				out[u.Endpoint] = map[Item]int64{}
			}
			out[u.Endpoint][Item{Model: u.Model, Adapter: u.Adapter}] += u.Running
		}
	}
	return out
}
