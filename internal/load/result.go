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

// Result is what a run measured. Durations are in milliseconds.
type Result struct {
	Scenario string `json:"scenario"`
	About    string `json:"about,omitempty"`
	// Baseline is empty for the product itself.
	Baseline string  `json:"baseline,omitempty"`
	Seed     int64   `json:"seed"`
	Seconds  float64 `json:"seconds"`
	WarmUp   float64 `json:"warm-up-seconds"`
	Engines  int     `json:"engines"`
	Nodes    int     `json:"nodes"`

	Groups     []Group          `json:"groups"`
	Classes    []Group          `json:"classes"`
	Workspaces []WorkspaceCount `json:"workspaces"`
	// Total holds the counts of all workspaces.
	Total WorkspaceCount `json:"total"`
	// Worst names the workspace with the lowest attainment.
	Worst string `json:"worst"`
	// PerAccelerator is attained requests per second and engine.
	PerAccelerator float64 `json:"attained-per-second-per-accelerator"`
	Moves          Moves   `json:"moves"`
	Cache          Cache   `json:"cache"`
	Checks         Checks  `json:"checks"`
	// Codes counts refusals and failures by their code.
	Codes []CodeCount `json:"codes,omitempty"`
	// SendLag is how late requests were sent. A large value means that the
	// machine was too busy for the run to be trusted.
	SendLag  Latency        `json:"send-lag"`
	Timeline []TimePoint    `json:"timeline"`
	Events   []Event        `json:"events,omitempty"`
	Compared []QuietCompare `json:"compared-without,omitempty"`
	Without  string         `json:"without,omitempty"`

	// requests is the table of all requests.
	requests string
}

// Group holds the latencies of a workspace and class, or of a class.
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

// Latency is a summary of a histogram in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// WorkspaceCount counts what became of a workspace's requests.
type WorkspaceCount struct {
	Name string `json:"name"`
	Sent int64  `json:"sent"`
	// Counted are the requests within the rate; Attained met their target.
	Counted    int64   `json:"counted"`
	Attained   int64   `json:"attained"`
	Attainment float64 `json:"attainment"`
	Served     int64   `json:"served"`
	// OverRate were refused while the workspace sent more than its rate;
	// Unreachable is how many of them an ideal bucket would have admitted.
	// WronglyRefused were refused for the rate although within it.
	OverRate       int64 `json:"over-rate"`
	Unreachable    int64 `json:"unreachable"`
	WronglyRefused int64 `json:"wrongly-refused"`
	// OtherRefused were refused for other reasons, Failed broke.
	OtherRefused int64 `json:"other-refused"`
	Failed       int64 `json:"failed"`
	// Overspent is how many tokens more than rate and burst allow were served
	// at the worst moment.
	Overspent int64 `json:"overspent-tokens"`
}

// Moves counts loads of models and adapters.
type Moves struct {
	WarmUp   int64 `json:"warm-up"`
	Measured int64 `json:"measured"`
	Adapters int64 `json:"adapters"`
}

// Cache counts prompt tokens.
type Cache struct {
	HitTokens     int64 `json:"hit-tokens"`
	PrefillTokens int64 `json:"prefill-tokens"`
}

// Checks count what must not happen.
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

// Zero tells whether nothing went wrong.
func (c Checks) Zero() bool { return c == Checks{} }

// CodeCount is how often requests ended with a code.
type CodeCount struct {
	Code  string `json:"code"`
	Count int64  `json:"count"`
}

// TimePoint is one second of the run.
type TimePoint struct {
	// Second counts from the end of the warm-up.
	Second int `json:"second"`
	// FirstToken holds the 95th percentile by class.
	FirstToken map[spec.Class]float64 `json:"first-token-p95"`
	Moves      int64                  `json:"moves"`
	Tokens     int64                  `json:"tokens"`
}

// QuietCompare compares a workspace with the run without the noisy one.
type QuietCompare struct {
	Workspace string  `json:"workspace"`
	With      float64 `json:"with-p95"`
	Alone     float64 `json:"without-p95"`
	Ratio     float64 `json:"ratio"`
}

// Histograms record microseconds up to ten minutes with three digits.
func newHist() *hdr.Histogram { return hdr.New(1, 600_000_000, 3) }

func record(h *hdr.Histogram, d time.Duration) {
	// Longer values do not occur: a run ends before them.
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

// groups collects latencies under a workspace, class and kind.
type groups struct {
	list []*Group
}

func (g *groups) of(workspace string, class spec.Class, kind string) *Group {
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
	if r.onTarget() {
		g.attained++
	}
	if !r.Served {
		return
	}
	record(g.hists[0], r.FirstToken)
	for _, d := range r.Gaps {
		record(g.hists[1], d)
	}
	record(g.hists[2], r.Total)
}

func (g *groups) finish() []Group {
	slices.SortFunc(g.list, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class), cmp.Compare(b.Kind, a.Kind))
	})
	out := make([]Group, 0, len(g.list))
	for _, x := range g.list {
		x.Attainment = share(x.attained, x.Requests)
		x.FirstToken = latencyOf(x.hists[0])
		x.Gap = latencyOf(x.hists[1])
		x.Total = latencyOf(x.hists[2])
		out = append(out, *x)
	}
	return out
}

func share(n, of int64) float64 {
	if of == 0 {
		return 1
	}
	return float64(n) / float64(of)
}

// fate is what became of a request.
type fate int

const (
	fateServed fate = iota
	fateOverRate
	fateUnreachable
	fateWrongly
	fateOther
	fateFailed
)

var fateNames = []string{"served", "over-rate", "unreachable", "wrongly-refused", "other-refused", "failed"}

// rateCodes are the codes of refusals on account of the rate.
var rateCodes = []string{"over-rate", "over-burst", "rate-unreachable"}

// fates decides about each request. A refusal for the rate is wrong when the
// workspace was within its rate with all that it had sent. Otherwise it still
// counts as unreachable if an ideal bucket, charged with what the fleet
// admitted, held the tokens from the sending until the refusal.
func fates(records []Record, workspaces []spec.Workspace) (out []fate, overspent map[string]int64) {
	out = make([]fate, len(records))
	overspent = map[string]int64{}
	// A request holds its tokens from its sending on. What was not used comes
	// back at its end.
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
		within := known && !c.end && b.offer(c.at, tokens)
		refused := slices.Contains(rateCodes, r.Code)
		switch {
		case !known:
		case c.end && refused:
			// The fleet may wait for tokens before it refuses, and the bucket may
			// have been emptied in the meantime.
			if !b.low.holds(c.at, tokens) {
				out[c.record] = fateOverRate
			}
		case c.end && !r.Served:
			used := int64(0)
			if r.Tokens > 0 {
				used = r.Arrival.PromptTokens + r.Tokens
			}
			b.take(c.at, used-tokens)
		case c.end:
		case refused:
			out[c.record] = fateOverRate
			switch {
			case !b.low.holds(c.at, tokens):
			case within:
				out[c.record] = fateWrongly
			default:
				out[c.record] = fateUnreachable
			}
		default:
			out[c.record] = fateOf(r)
			b.take(c.at, tokens)
			// The fleet may have admitted the request this much later.
			waited := b.high.rate * limit.DefaultMaxWait.Seconds()
			overspent[r.Arrival.Workspace] = max(overspent[r.Arrival.Workspace], int64(-b.high.level-waited))
		}
	}
	return out, overspent
}

func fateOf(r *Record) fate {
	switch {
	case r.Served:
		return fateServed
	case r.NotRun, r.Status == http.StatusConflict, r.Status == http.StatusServiceUnavailable:
		return fateOther
	}
	return fateFailed
}

func (w *WorkspaceCount) add(f fate, r *Record) {
	w.Sent++
	switch f {
	case fateServed:
		w.Served++
	case fateOverRate:
		w.OverRate++
		return
	case fateUnreachable:
		w.OverRate++
		w.Unreachable++
		return
	case fateWrongly:
		w.WronglyRefused++
	case fateOther:
		w.OtherRefused++
	case fateFailed:
		w.Failed++
	}
	w.Counted++
	if r.onTarget() {
		w.Attained++
	}
}

// result evaluates a run.
func (r *run) result() *Result {
	s := r.s
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
	fate, overspent := fates(r.records, s.Fleet.Config.Workspaces)
	counts := map[string]*WorkspaceCount{}
	codes := map[string]int64{}
	var byWorkspace, byClass groups
	lag := newHist()
	for i := range r.records {
		rec := &r.records[i]
		record(lag, rec.Sent-rec.Arrival.At)
		if rec.Arrival.At < time.Duration(s.WarmUp) {
			continue
		}
		a := rec.Arrival
		w := counts[a.Workspace]
		if w == nil {
			w = &WorkspaceCount{Name: a.Workspace}
			counts[a.Workspace] = w
		}
		w.add(fate[i], rec)
		res.Total.add(fate[i], rec)
		if !rec.Served {
			codes[codeOf(rec)]++
		}
		if fate[i] == fateOverRate || fate[i] == fateUnreachable {
			continue
		}
		kind := kindModel
		if a.Path != "" {
			kind = kindCall
		}
		byWorkspace.of(a.Workspace, a.Class, kind).add(rec)
		byClass.of("", a.Class, kind).add(rec)
	}
	res.Groups, res.Classes = byWorkspace.finish(), byClass.finish()
	for _, w := range counts {
		w.Attainment = share(w.Attained, w.Counted)
		w.Overspent = overspent[w.Name]
		res.Workspaces = append(res.Workspaces, *w)
	}
	slices.SortFunc(res.Workspaces, func(a, b WorkspaceCount) int { return cmp.Compare(a.Name, b.Name) })
	res.summarise()
	for code, n := range codes {
		res.Codes = append(res.Codes, CodeCount{Code: code, Count: n})
	}
	slices.SortFunc(res.Codes, func(a, b CodeCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Code, b.Code))
	})
	res.SendLag = latencyOf(lag)
	r.readStands(res)
	res.Timeline = r.timeline()
	res.requests = r.writeRequests(fate)
	return res
}

// summarise fills in what follows from the counts of the workspaces.
func (res *Result) summarise() {
	res.Total.Attainment = share(res.Total.Attained, res.Total.Counted)
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

// readStands evaluates the counters of the stand-ins.
func (r *run) readStands(res *Result) {
	end := r.engineStats()
	var warm sample
	for _, x := range r.samples {
		if x.at <= time.Duration(r.s.WarmUp) {
			warm = x
		}
	}
	res.Moves = Moves{
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
		if rec.Wrong {
			c.WrongAnswers++
		}
		c.LostTokens += rec.Lost
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
		// A repeat may run what the first call rightly reported as not run.
		if rec.NotRun && ran > 0 && !rec.Arrival.Repeat {
			c.FalseNotRun++
		}
	}
}

func (r *run) timeline() []TimePoint {
	seconds := int(time.Duration(r.s.Duration).Seconds())
	hists := make([]map[spec.Class]*hdr.Histogram, seconds)
	for i := range r.records {
		rec := &r.records[i]
		at := rec.Arrival.At - time.Duration(r.s.WarmUp)
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
		record(h, rec.FirstToken)
	}
	out := make([]TimePoint, seconds)
	var first sample
	for n := range out {
		out[n] = TimePoint{Second: n, FirstToken: map[spec.Class]float64{}}
		for class, h := range hists[n] {
			out[n].FirstToken[class] = latencyOf(h).P95
		}
		for _, x := range r.samples {
			if x.at <= time.Duration(r.s.WarmUp) {
				first = x
			}
			if x.at <= time.Duration(r.s.WarmUp)+time.Duration(n+1)*time.Second {
				out[n].Moves = x.engines.Loads - first.engines.Loads
				out[n].Tokens = x.engines.Tokens - first.engines.Tokens
			}
		}
	}
	return out
}

// compare notes how the other workspaces fare without the noisy one.
func (res *Result) compare(noisy string, base *Result) {
	res.Without = noisy
	for _, g := range res.Groups {
		if g.Workspace == noisy || g.Kind != kindModel {
			continue
		}
		for _, b := range base.Groups {
			if b.Workspace != g.Workspace || b.Class != g.Class || b.Kind != g.Kind || b.FirstToken.P95 == 0 {
				continue
			}
			res.Compared = append(res.Compared, QuietCompare{
				Workspace: g.Workspace + " (" + string(g.Class) + ")",
				With:      g.FirstToken.P95,
				Alone:     b.FirstToken.P95,
				Ratio:     g.FirstToken.P95 / b.FirstToken.P95,
			})
		}
	}
}

// writeRequests writes a line for each request, for closer looks.
func (r *run) writeRequests(fate []fate) string {
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
			(rec.Sent - time.Duration(r.s.WarmUp)).Milliseconds(), a.Workspace, a.Class, a.Model, a.Adapter, a.Path, a.Tokens(),
			fateNames[fate[i]], rec.Status, rec.Code, float64(rec.FirstToken.Microseconds())/1000,
			float64(rec.Total.Microseconds())/1000, rec.Resent, nodes[rec.Node], rec.Error)
	}
	return b.String()
}

// The files of a run's directory.
const (
	ResultFile   = "result.json"
	requestsFile = "requests.csv"
)

// Write writes the result into a directory.
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
