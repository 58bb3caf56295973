// Package load sends open-loop load to a fleet that runs in one process,
// measures what callers experience, and writes reports.
package load

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"time"

	"trefoildale.example/trefoildale/internal/fake/model"
	"trefoildale.example/trefoildale/internal/strict"
	"trefoildale.example/trefoildale/pkg/spec"
)

// Scenario describes an experiment: the fleet, its load and its faults.
type Scenario struct {
	Name  string `yaml:"name"`
	About string `yaml:"about"`
	// Seed determines the arrivals.
	Seed int64 `yaml:"seed"`
	// Duration is the length of the measurement, after the warm-up. The load
	// also runs during the warm-up, while models are loaded.
	Duration spec.Duration `yaml:"duration"`
	WarmUp   spec.Duration `yaml:"warm-up"`
	// CompareWithout names a workspace. The scenario also runs without its
	// load, to compare the latencies of the other workspaces.
	CompareWithout string  `yaml:"compare-without"`
	Fleet          Fleet   `yaml:"fleet"`
	Load           []Load  `yaml:"load"`
	Phases         []Phase `yaml:"phases"`
	Faults         []Fault `yaml:"faults"`
}

// Fleet describes the entry nodes and the stand-ins for the other systems.
type Fleet struct {
	// Config is the configuration of the fleet, in the schema of pkg/spec.
	// Endpoint addresses are optional, since the run assigns them.
	Config      spec.Config  `yaml:"config"`
	AdapterSets []AdapterSet `yaml:"adapter-sets"`
	Nodes       []Nodes      `yaml:"nodes"`
	Engine      Engine       `yaml:"engine"`
	// ServiceWork is the duration of a call of a plain service.
	ServiceWork spec.Duration `yaml:"service-work"`
	// WeightsMiBPerSecond is the transfer rate of one load from the weight
	// store. Config.Limits holds the store's other limits.
	WeightsMiBPerSecond float64 `yaml:"weights-mib-per-second"`
}

// AdapterSet adds Count adapters of a model, which are named MODEL-adapter-N.
type AdapterSet struct {
	Model     string `yaml:"model"`
	Count     int    `yaml:"count"`
	MemoryMiB int64  `yaml:"memory-mib"`
}

// Nodes is the number of entry nodes in a domain.
type Nodes struct {
	Domain string `yaml:"domain"`
	Count  int    `yaml:"count"`
}

// Engine holds the settings of the stand-in engines; zero means the default.
// TokensPerSecond is multiplied by the speed of each endpoint.
type Engine struct {
	TokensPerSecond       float64       `yaml:"tokens-per-second"`
	StreamTokensPerSecond float64       `yaml:"stream-tokens-per-second"`
	MaxRunning            int           `yaml:"max-running"`
	CacheTokens           int64         `yaml:"cache-tokens"`
	CacheLag              spec.Duration `yaml:"cache-lag"`
	CacheGap              int64         `yaml:"cache-gap"`
	ReportLag             spec.Duration `yaml:"report-lag"`
	AdapterMin            spec.Duration `yaml:"adapter-min"`
	AdapterMax            spec.Duration `yaml:"adapter-max"`
	AdapterParallel       int           `yaml:"adapter-parallel"`
}

func (e Engine) options() model.Options {
	return model.Options{
		Speed:           e.TokensPerSecond,
		StreamSpeed:     e.StreamTokensPerSecond,
		MaxRunning:      e.MaxRunning,
		CacheTokens:     e.CacheTokens,
		CacheLag:        time.Duration(e.CacheLag),
		CacheGap:        e.CacheGap,
		ReportLag:       time.Duration(e.ReportLag),
		AdapterMin:      time.Duration(e.AdapterMin),
		AdapterMax:      time.Duration(e.AdapterMax),
		AdapterParallel: e.AdapterParallel,
	}
}

// Load is a stream of requests of one workspace. Its arrivals are a Poisson
// process.
type Load struct {
	Workspace         string     `yaml:"workspace"`
	RequestsPerSecond float64    `yaml:"requests-per-second"`
	Classes           []Share    `yaml:"classes"`
	Models            []string   `yaml:"models"` // most popular first; all if empty
	Zipf              float64    `yaml:"zipf"`
	PromptTokens      Range      `yaml:"prompt-tokens"`
	OutputTokens      Range      `yaml:"output-tokens"`
	Prefixes          Prefixes   `yaml:"prefixes"`
	AdapterShare      float64    `yaml:"adapter-share"`
	WholeShare        float64    `yaml:"whole-share"` // the rest is streamed
	EntrySkew         float64    `yaml:"entry-skew"`  // share that goes to one node
	Calls             PlainCalls `yaml:"calls"`
}

// Share is the share of requests in a class.
type Share struct {
	Class spec.Class `yaml:"class"`
	Share float64    `yaml:"share"`
}

// Range is a uniform distribution that includes both bounds.
type Range struct {
	Min int64 `yaml:"min"`
	Max int64 `yaml:"max"`
}

// Prefixes describes the beginnings that prompts have in common: Share of the
// prompts start with one of Count prefixes of Tokens tokens.
type Prefixes struct {
	Count  int     `yaml:"count"`
	Tokens int64   `yaml:"tokens"`
	Share  float64 `yaml:"share"`
}

// PlainCalls turns a load into calls of a plain service, with idempotency keys,
// instead of model requests.
type PlainCalls struct {
	Path string `yaml:"path"`
	// RepeatShare is the share of calls that are repeated with the same key on
	// another node, ReadShare the share whose result is read back.
	RepeatShare float64 `yaml:"repeat-share"`
	ReadShare   float64 `yaml:"read-share"`
}

// Phase changes the demand between two instants, which count from the end of the
// warm-up.
type Phase struct {
	From       spec.Duration `yaml:"from"`
	Until      spec.Duration `yaml:"until"`
	Models     []Factor      `yaml:"models"`     // popularity
	Workspaces []Factor      `yaml:"workspaces"` // requests per second
}

// Factor multiplies the demand for the named model or of the named workspace.
type Factor struct {
	Name   string  `yaml:"name"`
	Factor float64 `yaml:"factor"`
}

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of fault.
const (
	KillNode       FaultKind = "kill-node"
	AddNode        FaultKind = "add-node"
	PlatformOutage FaultKind = "platform-outage"
	CutDomain      FaultKind = "cut-domain"
	RestartEngine  FaultKind = "restart-engine"
)

// Fault is a fault at the time At after the end of the warm-up.
type Fault struct {
	Kind FaultKind     `yaml:"kind"`
	At   spec.Duration `yaml:"at"`
	// For is the duration of an outage or a cut; zero means until the end of
	// the run.
	For spec.Duration `yaml:"for"`
	// Domain is the domain in which a node is killed or added, or which is cut
	// off.
	Domain string `yaml:"domain"`
	// FromPlatform also cuts the domain off from the platform.
	FromPlatform bool   `yaml:"from-platform"`
	Endpoint     string `yaml:"endpoint"`
}

const (
	// maxDuration keeps a run under two minutes together with its start.
	maxDuration = 100 * time.Second
	// maxFactor is the largest change of demand that the requirements state,
	// tenfold.
	maxFactor = 10
	// maxRequests bounds the load of one run, since fleet and load share one
	// machine.
	maxRequests = 200_000
)

// ReadScenario reads, decodes and checks a scenario file.
func ReadScenario(name string) (*Scenario, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	s, findings := Decode(name, data)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Decode decodes and checks a scenario. It reports all findings together, with
// line and column; name is the file name in them.
func Decode(name string, data []byte) (*Scenario, spec.Findings) {
	s := new(Scenario)
	s.Fleet.Config = *spec.New()
	positions, raw := strict.Decode(data, s)
	var out spec.Findings
	undecoded := map[strict.Position]bool{}
	for _, r := range raw {
		undecoded[r.Position] = true
		out = append(out, spec.Finding{File: name, Line: r.Line, Column: r.Column, Path: r.Path, Text: r.Text})
	}
	s.expand()
	k := checker{scenario: s}
	k.check()
	for _, f := range k.findings {
		at := positions.Of(f.Path)
		if undecoded[at] {
			continue
		}
		f.File, f.Line, f.Column = name, at.Line, at.Column
		out = append(out, f)
	}
	if len(out) > 0 {
		slices.SortStableFunc(out, func(a, b spec.Finding) int {
			if a.Line != b.Line {
				return a.Line - b.Line
			}
			return a.Column - b.Column
		})
		return nil, out
	}
	return s, nil
}

// expand fills in defaults and what the scenario describes in short form, such as
// adapter sets.
func (s *Scenario) expand() {
	c := &s.Fleet.Config
	for i := range c.Endpoints {
		if c.Endpoints[i].Address == "" {
			// A placeholder that makes the configuration valid. The run
			// replaces it with the address of the stand-in.
			c.Endpoints[i].Address = "127.0.0.1:" + strconv.Itoa(i+1)
		}
		if c.Endpoints[i].Speed == 0 {
			c.Endpoints[i].Speed = 1
		}
	}
	for _, a := range s.Fleet.AdapterSets {
		for i := range min(max(a.Count, 0), 10_000) {
			c.Adapters = append(c.Adapters, spec.Adapter{
				Name:      a.Model + "-adapter-" + strconv.Itoa(i+1),
				Model:     a.Model,
				MemoryMiB: a.MemoryMiB,
			})
		}
	}
	if len(s.Fleet.Nodes) == 0 {
		for _, d := range c.Domains {
			s.Fleet.Nodes = append(s.Fleet.Nodes, Nodes{Domain: d.Name, Count: 1})
		}
	}
	for i := range s.Load {
		l := &s.Load[i]
		if len(l.Classes) == 0 {
			l.Classes = []Share{{Class: spec.ClassNormal, Share: 1}}
		}
		if len(l.Models) == 0 && l.Calls.Path == "" {
			for _, m := range c.Models {
				l.Models = append(l.Models, m.Name)
			}
		}
	}
}

type checker struct {
	scenario *Scenario
	findings spec.Findings
}

func (k *checker) add(path, format string, args ...any) {
	k.findings = append(k.findings, spec.Finding{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (k *checker) share(path string, v float64) {
	if math.IsNaN(v) || v < 0 || v > 1 {
		k.add(path, "%v is not between 0 and 1", v)
	}
}

func (k *checker) check() {
	s := k.scenario
	if s.Name == "" {
		k.add("name", "is missing")
	}
	if s.Duration <= 0 {
		k.add("duration", "is not above zero")
	}
	if s.WarmUp < 0 {
		k.add("warm-up", "is below zero")
	}
	if total := time.Duration(s.Duration + s.WarmUp); total > maxDuration {
		k.add("duration", "is %s with the warm-up; at most %s is allowed, to keep a run under two minutes", total, maxDuration)
	}
	for _, f := range s.Fleet.Config.Check() {
		f.Path = "fleet.config." + f.Path
		f.Item = ""
		k.findings = append(k.findings, f)
	}
	if len(s.Fleet.Config.Keys) > 0 {
		k.add("fleet.config.keys", "must be empty: a run creates its own keys")
	}
	index := s.Fleet.Config.Index()
	for i, n := range s.Fleet.Nodes {
		path := fmt.Sprintf("fleet.nodes[%d]", i)
		if _, ok := index.Domains[n.Domain]; !ok {
			k.add(path+".domain", "no domain %q", n.Domain)
		}
		if n.Count < 0 || n.Count > 10 {
			k.add(path+".count", "%d is not between 0 and 10", n.Count)
		}
	}
	if s.Fleet.WeightsMiBPerSecond < 0 {
		k.add("fleet.weights-mib-per-second", "is below zero")
	}
	if err := s.Fleet.Engine.options().Validate(); err != nil {
		k.add("fleet.engine", "%s", err)
	}
	if len(s.Load) == 0 {
		k.add("load", "is empty")
	}
	requests := 0.0
	for i := range s.Load {
		k.load(fmt.Sprintf("load[%d]", i), &s.Load[i], index)
		requests += s.Load[i].RequestsPerSecond * time.Duration(s.Duration+s.WarmUp).Seconds()
	}
	if requests > maxRequests {
		k.add("load", "generates %.0f requests; the limit of a run is %d", requests, maxRequests)
	}
	if w := s.CompareWithout; w != "" && !slices.ContainsFunc(s.Load, func(l Load) bool { return l.Workspace == w }) {
		k.add("compare-without", "no load of workspace %q", w)
	}
	for i, p := range s.Phases {
		k.phase(fmt.Sprintf("phases[%d]", i), p, index)
	}
	for i, f := range s.Faults {
		k.fault(fmt.Sprintf("faults[%d]", i), f, index)
	}
}

func (k *checker) load(path string, l *Load, index *spec.Index) {
	if _, ok := index.Workspaces[l.Workspace]; !ok {
		k.add(path+".workspace", "no workspace %q", l.Workspace)
	}
	if math.IsNaN(l.RequestsPerSecond) || l.RequestsPerSecond <= 0 {
		k.add(path+".requests-per-second", "is not above zero")
	}
	sum := 0.0
	for j, c := range l.Classes {
		at := fmt.Sprintf("%s.classes[%d]", path, j)
		if c.Class != spec.ClassInteractive && c.Class != spec.ClassNormal && c.Class != spec.ClassDeferrable {
			k.add(at+".class", "%q is not interactive, normal or deferrable", string(c.Class))
		}
		k.share(at+".share", c.Share)
		sum += c.Share
	}
	if math.Abs(sum-1) > 1e-6 {
		k.add(path+".classes", "the shares add up to %v, not 1", sum)
	}
	k.share(path+".entry-skew", l.EntrySkew)
	if l.Calls.Path != "" {
		k.share(path+".calls.repeat-share", l.Calls.RepeatShare)
		k.share(path+".calls.read-share", l.Calls.ReadShare)
		return
	}
	if len(l.Models) == 0 {
		k.add(path+".models", "is empty")
	}
	for j, m := range l.Models {
		if _, ok := index.Models[m]; !ok {
			k.add(fmt.Sprintf("%s.models[%d]", path, j), "no model %q", m)
		}
	}
	if math.IsNaN(l.Zipf) || l.Zipf < 0 {
		k.add(path+".zipf", "is below zero")
	}
	for _, r := range []struct {
		name string
		Range
	}{{"prompt-tokens", l.PromptTokens}, {"output-tokens", l.OutputTokens}} {
		if r.Min < 1 || r.Max < r.Min {
			k.add(path+"."+r.name, "want 1 <= min <= max, got %d and %d", r.Min, r.Max)
		}
	}
	k.share(path+".prefixes.share", l.Prefixes.Share)
	if l.Prefixes.Share > 0 && (l.Prefixes.Count < 1 || l.Prefixes.Tokens < 1) {
		k.add(path+".prefixes", "count and tokens are not above zero")
	}
	k.share(path+".adapter-share", l.AdapterShare)
	k.share(path+".whole-share", l.WholeShare)
}

func (k *checker) phase(path string, p Phase, index *spec.Index) {
	if p.From < 0 || p.Until <= p.From {
		k.add(path, "want 0 <= from < until")
	}
	factor := func(at string, f Factor, known bool, kind string) {
		if !known {
			k.add(at+".name", "no %s %q", kind, f.Name)
		}
		if math.IsNaN(f.Factor) || f.Factor < 0 || f.Factor > maxFactor {
			k.add(at+".factor", "%v is not between 0 and %d", f.Factor, maxFactor)
		}
	}
	for j, f := range p.Models {
		_, ok := index.Models[f.Name]
		factor(fmt.Sprintf("%s.models[%d]", path, j), f, ok, "model")
	}
	for j, f := range p.Workspaces {
		_, ok := index.Workspaces[f.Name]
		factor(fmt.Sprintf("%s.workspaces[%d]", path, j), f, ok, "workspace")
	}
}

func (k *checker) fault(path string, f Fault, index *spec.Index) {
	if f.At < 0 || f.At >= k.scenario.Duration {
		k.add(path+".at", "%s is not within the duration", time.Duration(f.At))
	}
	if f.For < 0 {
		k.add(path+".for", "is below zero")
	}
	switch f.Kind {
	case KillNode, AddNode, CutDomain:
		if _, ok := index.Domains[f.Domain]; !ok {
			k.add(path+".domain", "no domain %q", f.Domain)
		}
	case PlatformOutage:
	case RestartEngine:
		if _, ok := index.Endpoints[f.Endpoint]; !ok {
			k.add(path+".endpoint", "no endpoint %q", f.Endpoint)
		}
	default:
		k.add(path+".kind", "%q is none of kill-node, add-node, platform-outage, cut-domain, restart-engine", string(f.Kind))
	}
}
