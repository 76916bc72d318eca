package joint

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"savoryweir/internal/bench/policy"
)

// Size of the plot of moves.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// WritePlots writes two plots of one scenario to a folder: the attainment of each class,
// and attainment per accelerator against moves.
func WritePlots(folder string, s Scenario, results []Result) error {
	if err := writeClasses(filepath.Join(folder, s.Routing.Name+"-classes.svg"), s, results); err != nil {
		return err
	}
	return writeMoves(filepath.Join(folder, s.Routing.Name+"-moves.svg"), s, results)
}

func writeClasses(path string, s Scenario, results []Result) error {
	var data []*policy.Result
	for _, r := range results {
		data = append(data, r.Data)
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := policy.WritePlot(file, s.Routing, data); err != nil {
		_ = file.Close() // the first error counts
		return err
	}
	return file.Close()
}

func writeMoves(path string, s Scenario, results []Result) error {
	p := plot.New()
	p.Title.Text = s.Routing.Name
	p.X.Label.Text = "moves an hour"
	p.Y.Label.Text = "attainment per accelerator, % of the bound"
	for i, r := range results {
		share := 100 * r.PerAccelerator() / Bound(results)
		point, err := plotter.NewScatter(plotter.XYs{{X: r.MovesAnHour(), Y: share}})
		if err != nil {
			return err
		}
		point.Color, point.Shape = plotutil.Color(i), plotutil.Shape(i)
		p.Add(point)
		p.Legend.Add(r.Policy, point)
	}
	return p.Save(plotWidth, plotHeight, path)
}
