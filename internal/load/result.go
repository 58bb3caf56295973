package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"trefoildale.example/trefoildale/internal/limit"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Result holds the measurements of a run. Latencies are in milliseconds.
type Result struct {
	Scenario string `json:"scenario"`
	About    string `json:"about,omitempty"`
	// Baseline is empty for the product's own planner and router.
	Baseline string  `json:"baseline,omitempty"`
	Seed     int64   `json:"seed"`
	Seconds  float64 `json:"seconds"`
	WarmUp   float64 `json:"warm-up-seconds"`
	Engines  int     `json:"engines"`
	Nodes    int     `json:"nodes"`

	Groups     []Group          `json:"groups"`
	Classes    []Group          `json:"classes"`
	Workspaces []WorkspaceCount `json:"workspaces"`
	// Total combines the counts of all workspaces.
	Total WorkspaceCount `json:"total"`
	// Worst is the name of the workspace with the lowest attainment.
	Worst string `json:"worst"`
	// PerAccelerator is the number of requests per second and engine that met
	// their target.
	PerAccelerator float64    `json:"attained-per-second-per-accelerator"`
	ModelLoads     ModelLoads `json:"moves"`
	Cache          Cache      `json:"cache"`
	Checks         Checks     `json:"checks"`
	// Codes counts the requests that were not served, by code.
	Codes []CodeCount `json:"codes,omitempty"`
	// SendLag is how late requests were sent. A large value means that the
	// machine was overloaded and that the measurements cannot be trusted.
	SendLag  Latency               `json:"send-lag"`
	Timeline []TimePoint           `json:"timeline"`
	Events   []Event               `json:"events,omitempty"`
	Compared []WorkspaceComparison `json:"compared-without,omitempty"`
	Without  string                `json:"without,omitempty"`

	// requests is the table of all requests in CSV format.
	requests string
}

// Group holds the latencies of the requests of one class and kind, of one
// workspace or of all.
type Group struct {
	Workspace  string     `json:"workspace,omitempty"`
	Class      spec.Class `json:"class"`
	Kind       string     `json:"kind"`
	Requests   int64      `json:"requests"`
	Attainment float64    `json:"attainment"`
	FirstToken Latency    `json:"first-token"`
	Gap        Latency    `json:"gap"`
	Total      Latency    `json:"total"`

	attained int64
	hists    [3]*hdr.Histogram
}

// The kinds of request.
const (
	kindModel = "model"
	kindCall  = "call"
)

// Latency summarizes a distribution of durations in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// WorkspaceCount counts a workspace's requests by their outcome.
type WorkspaceCount struct {
	Name string `json:"name"`
	Sent int64  `json:"sent"`
	// Counted is the number of requests within the rate, Attained the number
	// that met their target.
	Counted    int64   `json:"counted"`
	Attained   int64   `json:"attained"`
	Attainment float64 `json:"attainment"`
	Served     int64   `json:"served"`
	// OverRate counts refusals while the workspace sent more than its rate,
	// Unreachable those of them that an ideal bucket would have admitted.
	// WronglyRefused counts refusals for the rate while the workspace was
	// within it.
	OverRate       int64 `json:"over-rate"`
	Unreachable    int64 `json:"unreachable"`
	WronglyRefused int64 `json:"wrongly-refused"`
	// OtherRefused counts refusals for other reasons, Failed requests that were
	// not completed.
	OtherRefused int64 `json:"other-refused"`
	Failed       int64 `json:"failed"`
	// Overspent is the largest number of served tokens in excess of rate and
	// burst at any time.
	Overspent int64 `json:"overspent-tokens"`
}

// ModelLoads has the number of model loads, during the warm-up and during the
// measurement, and of adapter loads during the measurement.
type ModelLoads struct {
	WarmUp   int64 `json:"warm-up"`
	Measured int64 `json:"measured"`
	Adapters int64 `json:"adapters"`
}

// Cache counts the prompt tokens of the measurement that the prefix caches of the
// engines held, and those that had to be processed.
type Cache struct {
	HitTokens     int64 `json:"hit-tokens"`
	PrefillTokens int64 `json:"prefill-tokens"`
}

// Checks counts violations of guarantees. All counts must be zero.
type Checks struct {
	Overcommits      int64 `json:"overcommits"`
	KeysSeen         int64 `json:"keys-seen"`
	WrongAnswers     int64 `json:"wrong-answers"`
	RepeatedBookings int64 `json:"repeated-bookings"`
	LostBookings     int64 `json:"lost-bookings"`
	FalseNotRun      int64 `json:"false-not-run"`
	LostTokens       int64 `json:"lost-tokens"`
	LateRequests     int64 `json:"late-requests"`
}

// Zero reports whether all counts are zero.
func (c Checks) Zero() bool { return c == Checks{} }

// CodeCount is the number of requests that ended with a code.
type CodeCount struct {
	Code  string `json:"code"`
	Count int64  `json:"count"`
}

// TimePoint holds the measurements of one second of the run.
type TimePoint struct {
	// Second counts from the end of the warm-up.
	Second int `json:"second"`
	// FirstToken is the 95th percentile of the time to the first token, by
	// class, in milliseconds. ModelLoads and Tokens are totals since the end of
	// the warm-up.
	FirstToken map[spec.Class]float64 `json:"first-token-p95"`
	ModelLoads int64                  `json:"moves"`
	Tokens     int64                  `json:"tokens"`
}

// WorkspaceComparison compares the 95th percentile of the time to the first
// token, in milliseconds, with and without the load of the workspace that
// Result.Without names.
type WorkspaceComparison struct {
	Workspace string  `json:"workspace"`
	With      float64 `json:"with-p95"`
	Without   float64 `json:"without-p95"`
	Ratio     float64 `json:"ratio"`
}

// newHist returns a histogram of microseconds up to ten minutes with three
// significant digits.
func newHist() *hdr.Histogram { return hdr.New(1, 600_000_000, 3) }

func recordDuration(h *hdr.Histogram, d time.Duration) {
	// Values above ten minutes do not occur, since a run is shorter.
	_ = h.RecordValue(max(1, d.Microseconds()))
}

func latencyOf(h *hdr.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	if h.TotalCount() == 0 {
		return Latency{}
	}
	return Latency{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}

// groups collects groups by workspace, class and kind.
type groups struct {
	list []*Group
}

// get returns a group, which it creates if it does not exist.
func (g *groups) get(workspace string, class spec.Class, kind string) *Group {
	for _, x := range g.list {
		if x.Workspace == workspace && x.Class == class && x.Kind == kind {
			return x
		}
	}
	x := &Group{
		Workspace: workspace,
		Class:     class,
		Kind:      kind,
		hists:     [3]*hdr.Histogram{newHist(), newHist(), newHist()},
	}
	g.list = append(g.list, x)
	return x
}

func (g *Group) add(r *Record) {
	g.Requests++
	if r.metTarget() {
		g.attained++
	}
	if !r.Served {
		return
	}
	recordDuration(g.hists[0], r.FirstToken)
	for _, d := range r.Gaps {
		recordDuration(g.hists[1], d)
	}
	recordDuration(g.hists[2], r.Total)
}

func (g *groups) finish() []Group {
	slices.SortFunc(g.list, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class), cmp.Compare(b.Kind, a.Kind))
	})
	out := make([]Group, 0, len(g.list))
	for _, x := range g.list {
		x.Attainment = ratio(x.attained, x.Requests)
		x.FirstToken = latencyOf(x.hists[0])
		x.Gap = latencyOf(x.hists[1])
		x.Total = latencyOf(x.hists[2])
		out = append(out, *x)
	}
	return out
}

// ratio returns n/of, or 1 if of is zero.
func ratio(n, of int64) float64 {
	if of == 0 {
		return 1
	}
	return float64(n) / float64(of)
}

// outcome is the classification of a request for the counts of its workspace.
type outcome int

const (
	outcomeServed outcome = iota
	outcomeOverRate
	outcomeUnreachable
	outcomeWronglyRefused
	outcomeOtherRefused
	outcomeFailed
)

// outcomeNames are the values of the column fate in the table of requests.
var outcomeNames = []string{"served", "over-rate", "unreachable", "wrongly-refused", "other-refused", "failed"}

// rateCodes are the codes of refusals due to the rate limit.
var rateCodes = []string{"over-rate", "over-burst", "rate-unreachable"}

// classify determines the outcome of each request. A refusal for the rate is
// justified unless an ideal bucket, charged with what the fleet admitted, held the
// tokens from the sending of the request until its refusal. A refusal that is not
// justified is wrong if the workspace was within its rate with all requests that
// it had sent, and unreachable otherwise. overspent has the largest excess over
// rate and burst of each workspace.
func classify(records []Record, workspaces []spec.Workspace) (out []outcome, overspent map[string]int64) {
	out = make([]outcome, len(records))
	overspent = map[string]int64{}
	// A request holds its tokens from its sending on. Tokens that it did not
	// use are returned at its end.
	type change struct {
		at     time.Duration
		record int
		end    bool
	}
	var changes []change
	for i := range records {
		r := &records[i]
		changes = append(changes, change{at: r.Sent, record: i}, change{at: r.Sent + r.Total, record: i, end: true})
	}
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	allowances := map[string]allowance{}
	for _, w := range workspaces {
		allowances[w.Name] = newAllowance(w.RateTokensPerSecond, w.BurstTokens)
	}
	for _, c := range changes {
		r := &records[c.record]
		b, known := allowances[r.Arrival.Workspace]
		tokens := r.Arrival.Tokens()
		within := known && !c.end && b.recordSent(c.at, tokens)
		refused := slices.Contains(rateCodes, r.Code)
		switch {
		case !known:
		case c.end && refused:
			// The fleet may wait for tokens before it refuses. The refusal is
			// justified if the bucket has become too empty in the meantime.
			if !b.admittedMin.hasTokens(c.at, tokens) {
				out[c.record] = outcomeOverRate
			}
		case c.end && !r.Served:
			used := int64(0)
			if r.Tokens > 0 {
				used = r.Arrival.PromptTokens + r.Tokens
			}
			b.charge(c.at, used-tokens)
		case c.end:
		case refused:
			out[c.record] = outcomeOverRate
			switch {
			case !b.admittedMin.hasTokens(c.at, tokens):
			case within:
				out[c.record] = outcomeWronglyRefused
			default:
				out[c.record] = outcomeUnreachable
			}
		default:
			out[c.record] = outcomeOf(r)
			b.charge(c.at, tokens)
			// The fleet may have admitted the request up to DefaultMaxWait
			// after it was sent.
			waited := b.admittedMax.rate * limit.DefaultMaxWait.Seconds()
			overspent[r.Arrival.Workspace] = max(overspent[r.Arrival.Workspace], int64(-b.admittedMax.level-waited))
		}
	}
	return out, overspent
}

func outcomeOf(r *Record) outcome {
	switch {
	case r.Served:
		return outcomeServed
	case r.NotRun, r.Status == http.StatusConflict, r.Status == http.StatusServiceUnavailable:
		return outcomeOtherRefused
	}
	return outcomeFailed
}

func (w *WorkspaceCount) add(o outcome, r *Record) {
	w.Sent++
	switch o {
	case outcomeServed:
		w.Served++
	case outcomeOverRate:
		w.OverRate++
		return
	case outcomeUnreachable:
		w.OverRate++
		w.Unreachable++
		return
	case outcomeWronglyRefused:
		w.WronglyRefused++
	case outcomeOtherRefused:
		w.OtherRefused++
	case outcomeFailed:
		w.Failed++
	}
	w.Counted++
	if r.metTarget() {
		w.Attained++
	}
}

// evaluate computes the result of a run.
func (r *run) evaluate() *Result {
	s := r.scenario
	res := &Result{
		Scenario: s.Name,
		About:    s.About,
		Baseline: r.opts.Baseline,
		Seed:     s.Seed,
		Seconds:  time.Duration(s.Duration).Seconds(),
		WarmUp:   time.Duration(s.WarmUp).Seconds(),
		Engines:  len(r.fleet.Engines),
		Nodes:    len(r.nodes),
		Events:   r.events,
		Total:    WorkspaceCount{Name: "all"},
	}
	outcomes, overspent := classify(r.records, s.Fleet.Config.Workspaces)
	counts := map[string]*WorkspaceCount{}
	codes := map[string]int64{}
	var byWorkspace, byClass groups
	lag := newHist()
	for i := range r.records {
		rec := &r.records[i]
		recordDuration(lag, rec.Sent-rec.Arrival.At)
		if rec.Arrival.At < time.Duration(s.WarmUp) {
			continue
		}
		a := rec.Arrival
		w := counts[a.Workspace]
		if w == nil {
			w = &WorkspaceCount{Name: a.Workspace}
			counts[a.Workspace] = w
		}
		w.add(outcomes[i], rec)
		res.Total.add(outcomes[i], rec)
		if !rec.Served {
			codes[codeOf(rec)]++
		}
		if outcomes[i] == outcomeOverRate || outcomes[i] == outcomeUnreachable {
			continue
		}
		kind := kindModel
		if a.Path != "" {
			kind = kindCall
		}
		byWorkspace.get(a.Workspace, a.Class, kind).add(rec)
		byClass.get("", a.Class, kind).add(rec)
	}
	res.Groups, res.Classes = byWorkspace.finish(), byClass.finish()
	for _, w := range counts {
		w.Attainment = ratio(w.Attained, w.Counted)
		w.Overspent = overspent[w.Name]
		res.Workspaces = append(res.Workspaces, *w)
	}
	slices.SortFunc(res.Workspaces, func(a, b WorkspaceCount) int { return cmp.Compare(a.Name, b.Name) })
	res.summarize()
	for code, n := range codes {
		res.Codes = append(res.Codes, CodeCount{Code: code, Count: n})
	}
	slices.SortFunc(res.Codes, func(a, b CodeCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Code, b.Code))
	})
	res.SendLag = latencyOf(lag)
	r.readStandIns(res)
	res.Timeline = r.timeline()
	res.requests = r.requestTable(outcomes)
	return res
}

// summarize computes the fields that follow from the counts of the workspaces.
func (res *Result) summarize() {
	res.Total.Attainment = ratio(res.Total.Attained, res.Total.Counted)
	if res.Engines > 0 && res.Seconds > 0 {
		res.PerAccelerator = float64(res.Total.Attained) / res.Seconds / float64(res.Engines)
	}
	worst := 2.0
	for _, w := range res.Workspaces {
		if w.Attainment < worst {
			worst, res.Worst = w.Attainment, w.Name
		}
		res.Total.Overspent = max(res.Total.Overspent, w.Overspent)
	}
}

func codeOf(r *Record) string {
	switch {
	case r.Code != "":
		return r.Code
	case r.Status == http.StatusOK:
		return "answer-cut-off"
	case r.Status != 0:
		return fmt.Sprintf("status-%d", r.Status)
	}
	return "connection-broken"
}

// readStandIns fills in the fields that come from the counters of the stand-ins.
func (r *run) readStandIns(res *Result) {
	end := r.engineStats()
	var warm sample
	for _, x := range r.samples {
		if x.at <= time.Duration(r.scenario.WarmUp) {
			warm = x
		}
	}
	res.ModelLoads = ModelLoads{
		WarmUp:   warm.engines.Loads,
		Measured: end.Loads - warm.engines.Loads,
		Adapters: end.AdapterLoads - warm.engines.AdapterLoads,
	}
	res.Cache = Cache{
		HitTokens:     end.CacheHits - warm.engines.CacheHits,
		PrefillTokens: end.PrefillTokens - warm.engines.PrefillTokens,
	}
	c := &res.Checks
	c.Overcommits = end.Overcommits
	c.KeysSeen = end.KeysSeen
	c.LateRequests = end.LateRequests
	for _, s := range r.fleet.Services {
		st := s.Stats()
		c.KeysSeen += st.KeysSeen
	}
	for i := range r.records {
		rec := &r.records[i]
		if rec.WrongAnswer {
			c.WrongAnswers++
		}
		c.LostTokens += rec.LostTokens
		if rec.Arrival.Key == "" {
			continue
		}
		ran := int64(0)
		for _, s := range r.fleet.Services {
			ran += s.Executions(rec.Arrival.Key)
		}
		if ran > 1 {
			c.RepeatedBookings++
		}
		if rec.Served && ran == 0 {
			c.LostBookings++
		}
		// A repeated call may run after its first attempt was correctly
		// reported as not run.
		if rec.NotRun && ran > 0 && !rec.Arrival.Repeat {
			c.FalseNotRun++
		}
	}
}

func (r *run) timeline() []TimePoint {
	seconds := int(time.Duration(r.scenario.Duration).Seconds())
	hists := make([]map[spec.Class]*hdr.Histogram, seconds)
	for i := range r.records {
		rec := &r.records[i]
		at := rec.Arrival.At - time.Duration(r.scenario.WarmUp)
		n := int(at / time.Second)
		if at < 0 || n >= seconds || !rec.Served || rec.Arrival.Path != "" {
			continue
		}
		if hists[n] == nil {
			hists[n] = map[spec.Class]*hdr.Histogram{}
		}
		h := hists[n][rec.Arrival.Class]
		if h == nil {
			h = newHist()
			hists[n][rec.Arrival.Class] = h
		}
		recordDuration(h, rec.FirstToken)
	}
	out := make([]TimePoint, seconds)
	var first sample
	for n := range out {
		out[n] = TimePoint{Second: n, FirstToken: map[spec.Class]float64{}}
		for class, h := range hists[n] {
			out[n].FirstToken[class] = latencyOf(h).P95
		}
		for _, x := range r.samples {
			if x.at <= time.Duration(r.scenario.WarmUp) {
				first = x
			}
			if x.at <= time.Duration(r.scenario.WarmUp)+time.Duration(n+1)*time.Second {
				out[n].ModelLoads = x.engines.Loads - first.engines.Loads
				out[n].Tokens = x.engines.Tokens - first.engines.Tokens
			}
		}
	}
	return out
}

// compare adds the comparison of the other workspaces with base, a run without
// the load of the workspace without.
func (res *Result) compare(without string, base *Result) {
	res.Without = without
	for _, g := range res.Groups {
		if g.Workspace == without || g.Kind != kindModel {
			continue
		}
		for _, b := range base.Groups {
			if b.Workspace != g.Workspace || b.Class != g.Class || b.Kind != g.Kind || b.FirstToken.P95 == 0 {
				continue
			}
			res.Compared = append(res.Compared, WorkspaceComparison{
				Workspace: g.Workspace + " (" + string(g.Class) + ")",
				With:      g.FirstToken.P95,
				Without:   b.FirstToken.P95,
				Ratio:     g.FirstToken.P95 / b.FirstToken.P95,
			})
		}
	}
}

// requestTable returns a CSV table with a line for each request.
func (r *run) requestTable(outcomes []outcome) string {
	var b strings.Builder
	b.WriteString("sent-ms,workspace,class,model,adapter,path,tokens,fate,status,code,first-token-ms,total-ms,resent,node,error\n")
	nodes := map[string]string{}
	for _, n := range r.nodes {
		nodes[n.node.CallersAddr] = n.name
	}
	for i := range r.records {
		rec := &r.records[i]
		a := rec.Arrival
		fmt.Fprintf(&b, "%d,%s,%s,%s,%s,%s,%d,%s,%d,%s,%.1f,%.1f,%d,%s,%q\n",
			(rec.Sent - time.Duration(r.scenario.WarmUp)).Milliseconds(), a.Workspace, a.Class, a.Model, a.Adapter, a.Path, a.Tokens(),
			outcomeNames[outcomes[i]], rec.Status, rec.Code, float64(rec.FirstToken.Microseconds())/1000,
			float64(rec.Total.Microseconds())/1000, rec.Retries, nodes[rec.Node], rec.Error)
	}
	return b.String()
}

// The names of the files in the directory of a run.
const (
	ResultFile   = "result.json"
	requestsFile = "requests.csv"
)

// Write writes the result and the table of requests into a directory.
func (res *Result) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	data, err := json.MarshalIndent(res, "", "  ")
	if err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, ResultFile), append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	if res.requests == "" {
		return nil
	}
	if err := os.WriteFile(filepath.Join(dir, requestsFile), []byte(res.requests), 0o644); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}

// Read reads the result of a run from its directory.
func Read(dir string) (*Result, error) {
	data, err := os.ReadFile(filepath.Join(dir, ResultFile))
	if err != nil {
		return nil, fmt.Errorf("read result: %w", err)
	}
	res := new(Result)
	if err := json.Unmarshal(data, res); err != nil {
		return nil, fmt.Errorf("read result in %s: %w", dir, err)
	}
	return res, nil
}
