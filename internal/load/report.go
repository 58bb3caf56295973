package load

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"trefoildale.example/trefoildale/pkg/spec"
)

// ReportFile is the name of the report in the directory of a run.
const ReportFile = "report.md"

// label returns the name of a run in tables and plots.
func (res *Result) label() string {
	if res.Baseline == "" {
		return "product"
	}
	return res.Baseline
}

// labels returns distinct names for several runs.
func labels(all []*Result) []string {
	out := make([]string, len(all))
	seen := map[string]int{}
	for i, r := range all {
		name := r.label()
		if len(all) > 1 && all[0].Scenario != r.Scenario {
			name = r.Scenario + " " + name
		}
		seen[name]++
		if n := seen[name]; n > 1 {
			name = fmt.Sprintf("%s %d", name, n)
		}
		out[i] = name
	}
	return out
}

// WriteReport writes the report on one or more runs, with its plots, into a
// directory.
func WriteReport(dir string, all ...*Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	plots, err := writePlots(dir, all)
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	text := Markdown(all, plots)
	if err := os.WriteFile(filepath.Join(dir, ReportFile), []byte(text), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// plotFile is the title and the file name of a plot.
type plotFile struct {
	Title string
	File  string
}

// Markdown returns the report on one or more runs, with references to the plots.
func Markdown(all []*Result, plots []plotFile) string {
	var b strings.Builder
	if len(all) == 1 {
		all[0].writeMarkdown(&b)
	} else {
		writeComparison(&b, all)
	}
	if len(plots) > 0 {
		b.WriteString("\n## Plots\n")
	}
	for _, p := range plots {
		fmt.Fprintf(&b, "\n![%s](%s)\n", p.Title, p.File)
	}
	return b.String()
}

func percent(x float64) string { return fmt.Sprintf("%.1f %%", 100*x) }

// formatMillis formats milliseconds, or a dash if there is no measurement.
func formatMillis(l Latency, v float64) string {
	if l.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", v)
}

func (res *Result) writeMarkdown(b *strings.Builder) {
	fmt.Fprintf(b, "# Load report: %s (%s)\n\n", res.Scenario, res.label())
	if res.About != "" {
		fmt.Fprintf(b, "%s\n\n", strings.TrimSpace(res.About))
	}
	b.WriteString("## Summary\n\n")
	for _, s := range res.sentences() {
		fmt.Fprintf(b, "- %s\n", s)
	}
	b.WriteString("\n## Workspaces\n\n")
	b.WriteString("| workspace | sent | within the rate | served in time | refused over its rate | wrongly refused | other refusals | failed |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|\n")
	for _, w := range append(res.Workspaces, res.Total) {
		fmt.Fprintf(b, "| %s | %d | %d | %s | %d | %d | %d | %d |\n",
			w.Name, w.Sent, w.Counted, percent(w.Attainment), w.OverRate, w.WronglyRefused, w.OtherRefused, w.Failed)
	}
	b.WriteString("\n## Latency in milliseconds\n\n")
	b.WriteString("| requests | class | count | in time | first token p50 | p95 | p99 | gap p50 | p95 | p99 | total p50 | p95 | p99 |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, g := range append(append([]Group{}, res.Groups...), res.Classes...) {
		name := g.Workspace
		if name == "" {
			name = "all"
		}
		if g.Kind == kindCall {
			name += " (calls)"
		}
		fmt.Fprintf(b, "| %s | %s | %d | %s |", name, g.Class, g.Requests, percent(g.Attainment))
		for _, l := range []Latency{g.FirstToken, g.Gap, g.Total} {
			fmt.Fprintf(b, " %s | %s | %s |", formatMillis(l, l.P50), formatMillis(l, l.P95), formatMillis(l, l.P99))
		}
		b.WriteString("\n")
	}
	if len(res.Compared) > 0 {
		fmt.Fprintf(b, "\n## With and without workspace %s\n\n", res.Without)
		b.WriteString("| workspace | first token p95 with it, ms | without it, ms | ratio |\n|---|---|---|---|\n")
		for _, c := range res.Compared {
			fmt.Fprintf(b, "| %s | %.1f | %.1f | %.2f |\n", c.Workspace, c.With, c.Without, c.Ratio)
		}
	}
	if len(res.Codes) > 0 {
		b.WriteString("\n## Refusals and failures by code\n\n| code | requests |\n|---|---|\n")
		for _, c := range res.Codes {
			fmt.Fprintf(b, "| %s | %d |\n", c.Code, c.Count)
		}
	}
	b.WriteString("\n## Checks that must be zero\n\n| check | count |\n|---|---|\n")
	for _, c := range res.Checks.rows() {
		fmt.Fprintf(b, "| %s | %d |\n", c.Code, c.Count)
	}
	if len(res.Events) > 0 {
		b.WriteString("\n## What happened\n\n")
		for _, e := range res.Events {
			fmt.Fprintf(b, "- After %.0f s: %s\n", e.At, e.Text)
		}
	}
}

// rows returns the checks with their descriptions in the report.
func (c Checks) rows() []CodeCount {
	return []CodeCount{
		{Code: "memory of an endpoint overcommitted", Count: c.Overcommits},
		{Code: "keys seen by endpoints", Count: c.KeysSeen},
		{Code: "answers that belong to another request", Count: c.WrongAnswers},
		{Code: "bookings that ran more than once", Count: c.RepeatedBookings},
		{Code: "bookings confirmed but not run", Count: c.LostBookings},
		{Code: "refused as not run, but run", Count: c.FalseNotRun},
		{Code: "tokens lost from finished answers", Count: c.LostTokens},
		{Code: "requests to endpoints that were leaving", Count: c.LateRequests},
	}
}

// sentences describe the result for readers without a technical background.
func (res *Result) sentences() []string {
	t := res.Total
	what := "the product's own planner and router"
	if res.Baseline != "" {
		what = "the baseline " + res.Baseline
	}
	out := []string{
		fmt.Sprintf("The run lasted %.0f s after a warm-up of %.0f s. At its end there were %d entry nodes. It used %d accelerators and %s.",
			res.Seconds, res.WarmUp, res.Nodes, res.Engines, what),
		fmt.Sprintf("Of %d requests that were within their workspace's rate, %s were served within the target of their class. That is %.2f requests a second on each accelerator.",
			t.Counted, percent(t.Attainment), res.PerAccelerator),
		fmt.Sprintf("It took %d model loads in the measured time, after %d in the warm-up, and %d loads of adapters.",
			res.ModelLoads.Measured, res.ModelLoads.WarmUp, res.ModelLoads.Adapters),
	}
	for _, w := range res.Workspaces {
		if w.Name == res.Worst {
			out = append(out, fmt.Sprintf("The worst-served workspace is %s, with %s of its requests in time.", w.Name, percent(w.Attainment)))
		}
	}
	out = append(out,
		fmt.Sprintf("%s refused for the rate although the workspace was within it. %s refused while the workspace sent more than its rate; an ideal limit would have admitted %d of them.",
			requestsWere(t.WronglyRefused), requestsWere(t.OverRate), t.Unreachable),
		fmt.Sprintf("%s refused for other reasons, for example because a model could not be loaded in time. %d broke off or ended with an error.",
			requestsWere(t.OtherRefused), t.Failed))
	if t.Overspent > 0 {
		out = append(out, fmt.Sprintf("At the worst moment a workspace had got %d tokens more than its rate and burst allow.", t.Overspent))
	}
	if all := res.Cache.HitTokens + res.Cache.PrefillTokens; all > 0 {
		out = append(out, fmt.Sprintf("%s of the prompt tokens (%d) were still remembered from earlier requests and did not have to be read again.",
			percent(float64(res.Cache.HitTokens)/float64(all)), res.Cache.HitTokens))
	}
	for _, c := range res.Compared {
		out = append(out, fmt.Sprintf("With %s sending, the first token for %s took %.2f times as long as without it, for 95 in 100 requests (target: at most 1.20).",
			res.Without, c.Workspace, c.Ratio))
	}
	if res.Checks.Zero() {
		out = append(out, "All checks are zero: no memory overcommitted, no key shown to an endpoint, no wrong or incomplete answer, no booking repeated or lost.")
	} else {
		out = append(out, "Some checks that must be zero are NOT zero; see the table of checks.")
	}
	out = append(out, fmt.Sprintf("The load was sent on time: 99 in 100 requests at most %.1f ms late.", res.SendLag.P99))
	return out
}

func requestsWere(n int64) string {
	switch n {
	case 0:
		return "No request was"
	case 1:
		return "1 request was"
	}
	return fmt.Sprintf("%d requests were", n)
}

func writeComparison(b *strings.Builder, all []*Result) {
	names := labels(all)
	b.WriteString("# Comparison of runs\n\n")
	row := func(title string, cell func(*Result) string) {
		fmt.Fprintf(b, "| %s |", title)
		for _, r := range all {
			fmt.Fprintf(b, " %s |", cell(r))
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(b, "| measure | %s |\n|---|%s\n", strings.Join(names, " | "), strings.Repeat("---|", len(all)))
	row("scenario, seed", func(r *Result) string { return fmt.Sprintf("%s, %d", r.Scenario, r.Seed) })
	row("requests within the rate", func(r *Result) string { return fmt.Sprint(r.Total.Counted) })
	row("attainment", func(r *Result) string { return percent(r.Total.Attainment) })
	row("attained per second and accelerator", func(r *Result) string { return fmt.Sprintf("%.3f", r.PerAccelerator) })
	row("model loads, measured time", func(r *Result) string { return fmt.Sprint(r.ModelLoads.Measured) })
	row("model loads, warm-up", func(r *Result) string { return fmt.Sprint(r.ModelLoads.WarmUp) })
	row("adapter loads", func(r *Result) string { return fmt.Sprint(r.ModelLoads.Adapters) })
	row("worst-served workspace", func(r *Result) string {
		for _, w := range r.Workspaces {
			if w.Name == r.Worst {
				return w.Name + ", " + percent(w.Attainment)
			}
		}
		return "-"
	})
	row("wrongly refused", func(r *Result) string { return fmt.Sprint(r.Total.WronglyRefused) })
	row("refused over the rate", func(r *Result) string { return fmt.Sprint(r.Total.OverRate) })
	row("of these, an ideal limit admits", func(r *Result) string { return fmt.Sprint(r.Total.Unreachable) })
	row("other refusals", func(r *Result) string { return fmt.Sprint(r.Total.OtherRefused) })
	row("failed", func(r *Result) string { return fmt.Sprint(r.Total.Failed) })
	for _, class := range []spec.Class{spec.ClassInteractive, spec.ClassNormal, spec.ClassDeferrable} {
		if !hasClass(all, class) {
			continue
		}
		row("first token p50 / p95, "+string(class)+", ms", func(r *Result) string {
			for _, g := range r.Classes {
				if g.Class == class && g.Kind == kindModel {
					return fmt.Sprintf("%.0f / %.0f", g.FirstToken.P50, g.FirstToken.P95)
				}
			}
			return "-"
		})
		row("gap p95, "+string(class)+", ms", func(r *Result) string {
			for _, g := range r.Classes {
				if g.Class == class && g.Kind == kindModel {
					return fmt.Sprintf("%.1f", g.Gap.P95)
				}
			}
			return "-"
		})
	}
	row("prefix-cache hit tokens", func(r *Result) string {
		return fmt.Sprintf("%d (%s)", r.Cache.HitTokens, percent(ratio(r.Cache.HitTokens, r.Cache.HitTokens+r.Cache.PrefillTokens)))
	})
	row("checks that must be zero", func(r *Result) string {
		if r.Checks.Zero() {
			return "all zero"
		}
		return fmt.Sprintf("NOT zero: %+v", r.Checks)
	})
	row("send lag p99, ms", func(r *Result) string { return fmt.Sprintf("%.1f", r.SendLag.P99) })
	best := 0
	for i, r := range all {
		if r.Total.Attainment > all[best].Total.Attainment {
			best = i
		}
	}
	fmt.Fprintf(b, "\nThe highest share of requests in time has %s, with %s and %d model loads.\n",
		names[best], percent(all[best].Total.Attainment), all[best].ModelLoads.Measured)
	for i, r := range all {
		fmt.Fprintf(b, "\n## %s\n\n", names[i])
		for _, s := range r.sentences() {
			fmt.Fprintf(b, "- %s\n", s)
		}
	}
}

func hasClass(all []*Result, class spec.Class) bool {
	for _, r := range all {
		for _, g := range r.Classes {
			if g.Class == class && g.Kind == kindModel {
				return true
			}
		}
	}
	return false
}
