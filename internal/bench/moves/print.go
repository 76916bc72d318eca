package moves

import (
	"fmt"
	"io"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plots.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Print writes the table of one scenario.
func Print(w io.Writer, s Scenario, seed uint64, results []Result) {
	fmt.Fprintf(w, "placement, %s: %d engines, %s of demand, seed %d\n", s.Name, s.Engines(), s.Duration, seed)
	fmt.Fprintf(w, "%-12s %10s %15s %8s %12s %14s %12s\n", "policy", "attainment", "per accelerator", "moves", "model moves", "adapter moves", "store writes")
	for _, r := range results {
		fmt.Fprintf(w, "%-12s %10.4f %15.5f %8d %12d %14d %12d\n",
			r.Policy, r.Attainment(), r.PerAccelerator(), r.Moves(), r.ModelMoves, r.AdapterMoves, r.StoreWrites)
	}
	bound := results[0].Bound / results[0].Demand
	fmt.Fprintf(w, "%-12s %10.4f %15.5f\n\n", "bound", bound, bound/float64(s.Engines()))
}

// Plot writes two plots of one scenario to a folder: attainment and moves over time.
func Plot(folder string, s Scenario, results []Result) error {
	attainment := func(p Point) float64 { return p.Attainment }
	if err := plotSeries(folder, s.Name, "attainment", results, attainment); err != nil {
		return err
	}
	moved := func(p Point) float64 { return float64(p.Moves) }
	return plotSeries(folder, s.Name, "moves", results, moved)
}

func plotSeries(folder, scenario, measure string, results []Result, value func(Point) float64) error {
	p := plot.New()
	p.Title.Text = "Placement, " + scenario
	p.X.Label.Text = "minute"
	p.Y.Label.Text = measure
	for i, r := range results {
		points := make(plotter.XYs, 0, len(r.Series))
		for _, point := range r.Series {
			points = append(points, plotter.XY{X: float64(point.Minute), Y: value(point)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	name := fmt.Sprintf("placement-%s-%s.svg", scenario, measure)
	return p.Save(plotWidth, plotHeight, filepath.Join(folder, name))
}
