package load

import (
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/fake/model"
	"trefoildale.example/trefoildale/pkg/spec"
)

const scenarios = "../../scenarios"

// Guards against a scenario of the repository that fails to decode.
func TestScenariosDecode(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(scenarios, "*.yaml"))
	if err != nil || len(files) < 5 {
		t.Fatalf("%d scenarios, %v", len(files), err)
	}
	for _, f := range files {
		if _, err := ReadScenario(f); err != nil {
			t.Error(err)
		}
	}
}

// Guards against accepting an invalid scenario, and against findings without
// file, line and column.
func TestFindingsHaveFileAndLine(t *testing.T) {
	data, err := os.ReadFile(filepath.Join(scenarios, "tiny.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		from, to, want string
	}{
		{"duration: 3s", "duration: 3x", "5:11: duration: time: unknown unit"},
		{"seed: 1", "sead: 1", `4:1: unknown field "sead"`},
		{"workspace: club\n    requests-per-second: 20", "workspace: pub\n    requests-per-second: 20", `34:16: load[0].workspace: no workspace "pub"`},
		{"share: 0.8", "share: 0.7", "the shares add up to"},
		{"kind: kill-node", "kind: kil-node", `"kil-node" is none of kill-node`},
		{"service: booking, domain: d1", "service: booking, domain: d9", `no domain "d9"`},
		{"min: 80, max: 120", "min: 80, max: 12", "want 1 <= min <= max"},
		{"duration: 3s", "duration: 3h", "at most 1m40s is allowed"},
	} {
		text := strings.Replace(string(data), tc.from, tc.to, 1)
		if text == string(data) {
			t.Fatalf("%q is not in the scenario", tc.from)
		}
		s, findings := Decode("tiny.yaml", []byte(text))
		if s != nil || !strings.Contains(findings.Error(), tc.want) {
			t.Errorf("%q: got %v, want %q", tc.to, findings, tc.want)
		}
		for _, f := range findings {
			if f.File != "tiny.yaml" || f.Line == 0 || f.Column == 0 {
				t.Errorf("%q: finding without file, line or column: %+v", tc.to, f)
			}
		}
	}
}

// Guards against arrivals that differ between runs with the same seed, that miss
// the configured rate, or that ignore the phases.
func TestArrivals(t *testing.T) {
	s, err := ReadScenario(filepath.Join(scenarios, "reykjavik.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	first := s.Arrivals()
	if !reflect.DeepEqual(first, s.Arrivals()) {
		t.Error("the same seed gave different arrivals")
	}
	warm := time.Duration(s.WarmUp)
	count := func(workspace, model string, from, until time.Duration) (n float64) {
		for _, a := range first {
			if a.At >= warm+from && a.At < warm+until && (workspace == "" || a.Workspace == workspace) && (model == "" || a.Model == model) {
				n++
			}
		}
		return n
	}
	// The tolerance is five standard deviations of a Poisson count.
	near := func(name string, got, want float64) {
		if math.Abs(got-want) > 5*math.Sqrt(want) {
			t.Errorf("%s: %.0f arrivals, want about %.0f", name, got, want)
		}
	}
	near("desk", count("desk", "", 0, 40*time.Second), 20*40)
	near("league as usual", count("league", "", 0, 14*time.Second), 3*14)
	near("league at five times", count("league", "", 14*time.Second, 24*time.Second), 15*10)
	before, after := count("", "shoot-schedule", -15*time.Second, 10*time.Second)/25, count("", "shoot-schedule", 10*time.Second, 26*time.Second)/16
	if after < 2*before {
		t.Errorf("shoot-schedule had %.2f requests a second before its phase and %.2f in it", before, after)
	}
	if !slices.IsSortedFunc(first, func(a, b Arrival) int { return int(a.At - b.At) }) {
		t.Error("the arrivals are not in order of time")
	}
	s.Seed++
	if reflect.DeepEqual(first, s.Arrivals()) {
		t.Error("another seed gave the same arrivals")
	}
}

func fixedResult(baseline string, attained int64) *Result {
	res := &Result{
		Scenario: "fixed",
		Baseline: baseline,
		Seconds:  10,
		Engines:  2,
		Workspaces: []WorkspaceCount{
			{Name: "a", Sent: 120, Counted: 100, Attained: attained, Attainment: float64(attained) / 100, OverRate: 20, Unreachable: 4},
			{Name: "b", Sent: 50, Counted: 50, Attained: 50, Attainment: 1, WronglyRefused: 0},
		},
		Total:      WorkspaceCount{Name: "all", Sent: 170, Counted: 150, Attained: attained + 50, OverRate: 20, Unreachable: 4, WronglyRefused: 1},
		Classes:    []Group{{Class: spec.ClassInteractive, Kind: kindModel, Requests: 150, FirstToken: Latency{Count: 150, P50: 12, P95: 34}}},
		ModelLoads: ModelLoads{WarmUp: 3, Measured: 7},
		Timeline:   []TimePoint{{FirstToken: map[spec.Class]float64{spec.ClassInteractive: 30}, ModelLoads: 1}, {Second: 1, ModelLoads: 7}},
		Checks:     Checks{LostTokens: 0},
	}
	res.summarize()
	return res
}

// Guards against a report with wrong figures, with a failed check left out, or
// without plots.
func TestReport(t *testing.T) {
	res, dir := fixedResult("", 80), t.TempDir()
	if err := res.Write(dir); err != nil {
		t.Fatal(err)
	}
	read, err := Read(dir)
	if err != nil || !reflect.DeepEqual(read, res) {
		t.Fatalf("read %+v, %v", read, err)
	}
	wantTexts := func(dir string, all []*Result, texts ...string) {
		t.Helper()
		if err := WriteReport(dir, all...); err != nil {
			t.Fatal(err)
		}
		data, err := os.ReadFile(filepath.Join(dir, ReportFile))
		if err != nil {
			t.Fatal(err)
		}
		for _, want := range texts {
			if !strings.Contains(string(data), want) {
				t.Errorf("the report does not contain %q:\n%s", want, data)
			}
		}
	}
	wantTexts(dir, []*Result{read}, "Of 150 requests", "86.7 % were served", "6.50 requests a second on each accelerator",
		"7 model loads", "worst-served workspace is a, with 80.0 %", "1 request was refused for the rate although",
		"would have admitted 4", "All checks are zero", "![Time to first token")
	res.Checks.LostTokens = 3
	wantTexts(dir, []*Result{res}, "NOT zero", "| tokens lost from finished answers | 3 |")
	both := t.TempDir()
	wantTexts(both, []*Result{read, fixedResult("lru", 50)}, "| measure | product | lru |", "| attainment | 86.7 % | 66.7 % |",
		"The highest share of requests in time has product")
	for _, f := range []string{"attainment.svg", "moves.svg", "comparison.svg"} {
		if data, err := os.ReadFile(filepath.Join(both, f)); err != nil || !strings.Contains(string(data), "<svg") {
			t.Errorf("%s is not an SVG plot: %v", f, err)
		}
	}
}

// Guards against a run that loses requests in the load generator itself, and
// against checks of answers, bookings and stand-ins that never take effect.
func TestTinyRun(t *testing.T) {
	s, err := ReadScenario(filepath.Join(scenarios, "tiny.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	res, err := Run(t.Context(), s, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if !res.Checks.Zero() {
		t.Errorf("checks: %+v", res.Checks)
	}
	want := 0
	for _, a := range s.Arrivals() {
		if a.At >= time.Duration(s.WarmUp) {
			want++
		}
	}
	total := res.Total
	if total.Sent != int64(want) || total.Served+total.OverRate+total.WronglyRefused+total.OtherRefused+total.Failed != total.Sent {
		t.Errorf("%d arrivals, counts %+v", want, total)
	}
	if total.Served < total.Sent/2 || res.ModelLoads.WarmUp == 0 || res.Cache.PrefillTokens == 0 || len(res.Events) != 1 {
		t.Errorf("result %+v", res)
	}
}

// Guards against accepting a stream that answers another prompt or that lacks a
// token.
func TestStreamChecks(t *testing.T) {
	event := func(n int64, prompt string) string {
		return "id: " + string(rune('0'+n)) + "\ndata: {\"choices\":[{\"text\":\"" + model.Word(prompt, n) + "\"}]}\n\n"
	}
	const end = "data: {\"choices\":[{\"text\":\"\"}],\"usage\":{\"completion_tokens\":3}}\n\ndata: [DONE]\n\n"
	for _, tc := range []struct {
		name, body string
		wrong      bool
		lost       int64
		served     bool
	}{
		{name: "whole", body: event(1, "p") + event(2, "p") + event(3, "p") + end, served: true},
		{name: "another prompt", body: event(1, "q") + event(2, "q") + event(3, "q") + end, wrong: true, served: true},
		{name: "gap", body: event(1, "p") + event(3, "p") + end, lost: 2, served: true},
		{name: "cut off", body: event(1, "p") + event(2, "p")},
	} {
		r := Record{}
		a := &Arrival{OutputTokens: 3}
		err := readStream(strings.NewReader(tc.body), a, "p", &r, time.Now())
		if r.WrongAnswer != tc.wrong || r.LostTokens != tc.lost || r.Served != tc.served || (err == nil) != tc.served {
			t.Errorf("%s: %+v, %v", tc.name, r, err)
		}
	}
}
