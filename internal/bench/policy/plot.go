package policy

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 8 // points
	smoothOver = 5 // seconds
)

// WritePlot writes an SVG of the bench: the attainment over time when the scenario
// has a fault, otherwise that of each class.
func WritePlot(w io.Writer, s Scenario, results []*Result) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.Y.Min, p.Y.Max = 0, 100
	draw := drawClasses
	if len(s.Faults) > 0 || s.Crash != nil {
		draw = drawTimeline
	}
	if err := draw(p, results); err != nil {
		return err
	}
	svg, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return err
	}
	_, err = svg.WriteTo(w)
	return err
}

// drawClasses draws a group of bars for each class, with a bar for each policy.
func drawClasses(p *plot.Plot, results []*Result) error {
	p.Y.Label.Text = "requests that met their deadline, %"
	p.Legend.Top = false
	var names []string
	for _, c := range results[0].Classes {
		names = append(names, fmt.Sprintf("%s/%s", c.Service, c.Class))
	}
	for i, r := range results {
		values := make(plotter.Values, 0, len(r.Classes))
		for _, c := range r.Classes {
			values = append(values, 100*c.Attainment())
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Length(i-len(results)/2) * barWidth
		p.Add(bars)
		p.Legend.Add(r.Policy, bars)
	}
	p.NominalX(names...)
	return nil
}

func drawTimeline(p *plot.Plot, results []*Result) error {
	p.X.Label.Text = "arrival, s"
	p.Y.Label.Text = "requests wanted now that met their deadline, %"
	for i, r := range results {
		line, err := plotter.NewLine(smooth(r.Timeline))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	return nil
}

// smooth joins several seconds to a point and leaves out those without requests.
func smooth(seconds []Second) plotter.XYs {
	var points plotter.XYs
	for from := 0; from+smoothOver <= len(seconds); from += smoothOver {
		met, total := 0, 0
		for _, s := range seconds[from : from+smoothOver] {
			met += s.Met
			total += s.Total
		}
		if total > 0 {
			points = append(points, plotter.XY{X: float64(from), Y: 100 * ratio(met, total)})
		}
	}
	return points
}
