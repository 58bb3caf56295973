package load

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// writePlots draws the plots of a report as SVG files.
func writePlots(dir string, all []*Result) ([]plotFile, error) {
	var out []plotFile
	save := func(p *plot.Plot, file string) error {
		out = append(out, plotFile{Title: p.Title.Text, File: file})
		return p.Save(plotWidth, plotHeight, filepath.Join(dir, file))
	}
	if len(all) == 1 {
		p, err := firstTokenPlot(all[0])
		if err != nil {
			return nil, err
		}
		if err := save(p, "first-token.svg"); err != nil {
			return nil, err
		}
	}
	p, err := attainmentPlot(all)
	if err != nil {
		return nil, err
	}
	if err := save(p, "attainment.svg"); err != nil {
		return nil, err
	}
	p, err = modelLoadsPlot(all)
	if err != nil {
		return nil, err
	}
	if err := save(p, "moves.svg"); err != nil {
		return nil, err
	}
	if len(all) > 1 {
		if p, err = comparisonPlot(all); err != nil {
			return nil, err
		}
		err = save(p, "comparison.svg")
	}
	return out, err
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

func firstTokenPlot(res *Result) (*plot.Plot, error) {
	p := newPlot("Time to first token, 95 in 100", "seconds", "milliseconds")
	var lines []any
	for _, class := range []spec.Class{spec.ClassInteractive, spec.ClassNormal, spec.ClassDeferrable} {
		var xys plotter.XYs
		for _, t := range res.Timeline {
			if v, ok := t.FirstToken[class]; ok {
				xys = append(xys, plotter.XY{X: float64(t.Second), Y: v})
			}
		}
		if len(xys) > 0 {
			lines = append(lines, string(class), xys)
		}
	}
	return p, plotutil.AddLines(p, lines...)
}

func modelLoadsPlot(all []*Result) (*plot.Plot, error) {
	p := newPlot("Model loads since the warm-up", "seconds", "loads")
	var lines []any
	for i, name := range labels(all) {
		xys := make(plotter.XYs, len(all[i].Timeline))
		for n, t := range all[i].Timeline {
			xys[n] = plotter.XY{X: float64(t.Second + 1), Y: float64(t.ModelLoads)}
		}
		if len(xys) > 0 {
			lines = append(lines, name, xys)
		}
	}
	return p, plotutil.AddLines(p, lines...)
}

// barWidth is the total width of the bars of one group, in points.
const barWidth = 60

// addBars draws one bar for each run in each group.
func addBars(p *plot.Plot, runs []string, groups []string, value func(run, group int) float64) error {
	width := vg.Points(barWidth / float64(len(runs)))
	for i, name := range runs {
		values := make(plotter.Values, len(groups))
		for j := range groups {
			values[j] = value(i, j)
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return err
		}
		bars.LineStyle.Width = 0
		bars.Color = plotutil.Color(i)
		bars.Offset = width * vg.Length(float64(i)-float64(len(runs)-1)/2)
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.NominalX(groups...)
	return nil
}

func attainmentPlot(all []*Result) (*plot.Plot, error) {
	p := newPlot("Requests in time, by workspace", "", "percent")
	p.Y.Max = 100
	var names []string
	for _, w := range all[0].Workspaces {
		names = append(names, w.Name)
	}
	names = append(names, "all")
	return p, addBars(p, labels(all), names, func(run, group int) float64 {
		for _, w := range append([]WorkspaceCount{all[run].Total}, all[run].Workspaces...) {
			if w.Name == names[group] {
				return 100 * w.Attainment
			}
		}
		return 0
	})
}

func comparisonPlot(all []*Result) (*plot.Plot, error) {
	p := newPlot("Comparison", "", "percent, and model loads")
	groups := []string{"requests in time", "worst workspace", "model loads"}
	return p, addBars(p, labels(all), groups, func(run, group int) float64 {
		res := all[run]
		switch group {
		case 0:
			return 100 * res.Total.Attainment
		case 1:
			for _, w := range res.Workspaces {
				if w.Name == res.Worst {
					return 100 * w.Attainment
				}
			}
			return 0
		}
		return float64(res.ModelLoads.Measured)
	})
}
