package place

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// The fast moving average follows a tenfold change within a minute. The slow one
	// smooths the arrivals of models with a few requests a minute.
	fastTimeConstant = 20 * time.Second
	slowTimeConstant = 3 * time.Minute
	// The fast average is used only when it represents at least minFastRequests
	// requests and exceeds minFastRatio times the slow one; smaller rises are
	// mostly noise.
	minFastRequests = 4
	minFastRatio    = 1.5
	// attainmentTimeConstant applies to the average of a workspace's attainment.
	attainmentTimeConstant = time.Minute
	// levelBand is the hysteresis of a level, as a fraction of it: the level changes
	// only when the average leaves this band, so that noise causes no moves.
	levelBand = 0.25
	// nodeExpiry is the age at which a node's last report is dropped, so that the
	// waiting and running requests of a dead node do not count forever.
	nodeExpiry = 30 * time.Second
	// idleRate is the rate in requests/s below which a model without waiting
	// requests may be dropped from the estimate.
	idleRate = 1e-7
)

// average holds a fast and a slow moving average of a quantity per second, and
// the level that is derived from them with hysteresis.
type average struct {
	sum        float64 // amount since the last advance
	fast, slow float64
	level      float64
}

func (a *average) advance(dt, keepFast, keepSlow float64) {
	rate := a.sum / dt
	a.sum = 0
	a.fast = rate + (a.fast-rate)*keepFast
	a.slow = rate + (a.slow-rate)*keepSlow
}

// updateLevel sets the level to the current average if that has left the band.
// The fast average is current while the quantity rises, otherwise the slow one.
func (a *average) updateLevel(rising bool) {
	now := a.slow
	if rising {
		now = a.fast
	}
	if now > a.level*(1+levelBand) || now < a.level*(1-levelBand) {
		a.level = now
	}
}

type modelDemand struct {
	requests     average
	tokens       average
	value        average
	lastUse      time.Time
	waitingSince time.Time // when requests began to wait for the model; zero if none wait
}

type adapterDemand struct {
	lastUse      time.Time
	waitingSince time.Time
}

type nodeDemand struct {
	incarnation string
	seq         int64
	receivedAt  time.Time
	waiting     []WaitingRequests
	inUse       []AdapterUse
}

type workspaceDemand struct {
	onTarget, measured float64
	attainment         float64
	weight             float64
}

// DemandEstimator estimates the demand for models and adapters from the reports
// of a domain's nodes.
type DemandEstimator struct {
	advancedAt time.Time
	models     map[string]*modelDemand
	adapters   map[Item]*adapterDemand
	workspaces map[string]*workspaceDemand
	nodes      map[string]*nodeDemand
}

// NewDemandEstimator returns an estimator that has received no reports.
func NewDemandEstimator() *DemandEstimator {
	return &DemandEstimator{
		models:     map[string]*modelDemand{},
		adapters:   map[Item]*adapterDemand{},
		workspaces: map[string]*workspaceDemand{},
		nodes:      map[string]*nodeDemand{},
	}
}

func (d *DemandEstimator) model(name string) *modelDemand {
	m := d.models[name]
	if m == nil {
		m = &modelDemand{}
		d.models[name] = m
	}
	return m
}

func (d *DemandEstimator) adapter(model, name string) *adapterDemand {
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

func (d *DemandEstimator) workspace(name string) *workspaceDemand {
	w := d.workspaces[name]
	if w == nil {
		w = &workspaceDemand{
			attainment: 1,
			weight:     1,
		}
		d.workspaces[name] = w
	}
	return w
}

// requestValue is the weight of one request of the workspace. It grows up to
// fourfold as the workspace's attainment falls, so that workspaces which are
// served badly take precedence.
func (w *workspaceDemand) requestValue() float64 {
	return w.weight * (1 + 3*(1-w.attainment))
}

// Add processes a report. Repeated reports and those older than the last one of
// the same incarnation are ignored.
func (d *DemandEstimator) Add(now time.Time, r DemandReport) {
	n := d.nodes[r.Node]
	if n != nil && n.incarnation == r.Incarnation && r.Seq <= n.seq {
		return
	}
	if n == nil {
		n = &nodeDemand{}
		d.nodes[r.Node] = n
	}
	n.incarnation, n.seq, n.receivedAt = r.Incarnation, r.Seq, now
	n.waiting, n.inUse = r.Waiting, r.InUse
	for _, e := range r.Entries {
		m, w := d.model(e.Model), d.workspace(e.Workspace)
		m.requests.sum += float64(e.Requests)
		m.tokens.sum += float64(e.Tokens)
		m.value.sum += float64(e.Requests) * w.requestValue()
		w.onTarget += float64(e.OnTarget)
		w.measured += float64(e.Measured)
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
			if m.waitingSince.IsZero() {
				m.waitingSince = now
			}
			continue
		}
		a := d.adapter(w.Model, w.Adapter)
		if a.waitingSince.IsZero() {
			a.waitingSince = now
		}
	}
}

// Advance updates the averages and levels to now and drops expired reports and
// idle models and adapters.
func (d *DemandEstimator) Advance(now time.Time) {
	if d.advancedAt.IsZero() {
		d.advancedAt = now
		return
	}
	dt := now.Sub(d.advancedAt).Seconds()
	if dt <= 0 {
		return
	}
	d.advancedAt = now
	keepFast := math.Exp(-dt / fastTimeConstant.Seconds())
	keepSlow := math.Exp(-dt / slowTimeConstant.Seconds())
	keepAttain := math.Exp(-dt / attainmentTimeConstant.Seconds())

	wanted := map[Item]bool{}
	for name, n := range d.nodes {
		if now.Sub(n.receivedAt) > nodeExpiry {
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
		// The fast average detects rises. After a fall the slow average applies, so
		// that the model is not unloaded at once.
		r := &m.requests
		rising := r.fast*fastTimeConstant.Seconds() >= minFastRequests && r.fast > minFastRatio*r.slow
		m.requests.updateLevel(rising)
		m.tokens.updateLevel(rising)
		m.value.updateLevel(rising)
		if !wanted[Item{Model: name}] {
			m.waitingSince = time.Time{}
		}
		if m.requests.slow < idleRate && m.requests.fast < idleRate && m.waitingSince.IsZero() && now.Sub(m.lastUse) > 20*slowTimeConstant {
			delete(d.models, name)
		}
	}
	for i, a := range d.adapters {
		if !wanted[i] {
			a.waitingSince = time.Time{}
		}
		if a.waitingSince.IsZero() && now.Sub(a.lastUse) > 20*slowTimeConstant {
			delete(d.adapters, i)
		}
	}
	for _, w := range d.workspaces {
		if w.measured > 0 {
			// The weight of a step grows with its number of requests, so that one
			// late request of a workspace with little traffic does not outweigh an
			// hour of requests on target.
			stepWeight := (1 - keepAttain) * w.measured / (w.measured + 1)
			w.attainment += (w.onTarget/w.measured - w.attainment) * max(stepWeight, 0.02)
			w.onTarget, w.measured = 0, 0
		}
	}
}

// SetWeights sets the configured weights of workspaces. Weights that are not
// positive are ignored.
func (d *DemandEstimator) SetWeights(weights map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		if w := weights[name]; w > 0 {
			d.workspace(name).weight = w
		}
	}
}

// Requests returns the level of requests per second for a model.
func (d *DemandEstimator) Requests(model string) float64 {
	if m := d.models[model]; m != nil {
		return m.requests.level
	}
	return 0
}

// Tokens returns the level of tokens per second for a model.
func (d *DemandEstimator) Tokens(model string) float64 {
	if m := d.models[model]; m != nil {
		return m.tokens.level
	}
	return 0
}

// Attainment returns the moving average of a workspace's share of requests that
// met their target, 1 for a workspace without reports.
func (d *DemandEstimator) Attainment(workspace string) float64 {
	if w := d.workspaces[workspace]; w != nil {
		return w.attainment
	}
	return 1
}

// runningByAdapter returns the number of running requests by endpoint and
// adapter. The items have no version.
func (d *DemandEstimator) runningByAdapter() map[string]map[Item]int64 {
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
