package main

import (
	"fmt"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"gullstair/internal/simulation"
)

const (
	plotWidth, plotHeight = 26 * vg.Centimeter, 9 * vg.Centimeter
	smoothingSteps        = 5 // number of steps that each point averages
)

// smoothedPoints converts a series to points: seconds, and the moving average.
func smoothedPoints(series []float64) (pts plotter.XYs) {
	for i := smoothingSteps; i <= len(series); i++ {
		sum := 0.0
		for _, x := range series[i-smoothingSteps : i] {
			sum += x
		}
		pts = append(pts, plotter.XY{X: float64(i) * simulation.SeriesStep / 1000, Y: sum / smoothingSteps})
	}
	return pts
}

// plotLimits draws a day under each strategy: what the fleet and each side of the partition used over time, next to the
// limit.
func plotLimits(path string, d simulation.Day, strategies []simulation.Strategy) error {
	all := make([]*plot.Plot, 0, len(strategies))
	for _, strategy := range strategies {
		played := simulation.Play(1, d, strategy)
		p := plot.New()
		p.Title.Text = fmt.Sprintf("%s: %s, %d members, 200 scans a second", d.Name, strategy, d.Members)
		p.X.Label.Text, p.Y.Label.Text = "s", "scans a second"
		p.Y.Min, p.Y.Max = 0, 2.5*d.Size
		p.Legend.Top = true
		allowed := plotter.NewFunction(func(float64) float64 { return d.Size })
		allowed.Color, allowed.Dashes = color.Gray{100}, plotutil.Dashes(1)
		p.Add(allowed, plotter.NewGrid())
		p.Legend.Add("allowed", allowed)
		for i, s := range append([][]float64{played.Taken}, played.By...) {
			l, err := plotter.NewLine(smoothedPoints(s))
			if err != nil {
				return fmt.Errorf("draw the plot: %w", err)
			}
			l.Color, l.Width = plotutil.Color(i), vg.Points(1.2)
			p.Add(l)
			p.Legend.Add([]string{"used by all", "by the larger side's members", "by the smaller side's members"}[min(i, 2)], l)
		}
		all = append(all, p)
	}
	return writeStacked(path, all)
}

// writeStacked writes the plots below each other into one SVG file.
func writeStacked(path string, all []*plot.Plot) error {
	canvas := vgsvg.New(plotWidth, plotHeight*vg.Length(len(all)))
	rows := make([][]*plot.Plot, len(all))
	for i, p := range all {
		rows[i] = []*plot.Plot{p}
	}
	tiles := draw.Tiles{Rows: len(rows), Cols: 1, PadY: vg.Centimeter / 2}
	for i, row := range plot.Align(rows, tiles, draw.New(canvas)) {
		rows[i][0].Draw(row[0])
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("draw the plot: %w", err)
	}
	if _, err := canvas.WriteTo(f); err != nil {
		f.Close()
		return fmt.Errorf("draw the plot: %w", err)
	}
	return f.Close()
}
