package main

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"gullstair/internal/emulator"
)

// comparison holds two runs of a scenario, with sharing off and on, that use the same random draws.
type comparison struct {
	Name, About string
	Brokers     int
	Sides       []runView
}

type runView struct {
	Name    string
	F       emulator.Figures
	Service template.HTML // SVG
	Parts   template.HTML
}

const chartWidth, chartHeight = 15 * vg.Centimeter, 6 * vg.Centimeter

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>Verdicts shared by the fleet</title>
<style>body{font:15px sans-serif;margin:2em;max-width:76em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:left;vertical-align:top}th{font-weight:600}svg{max-width:100%;height:auto}</style>
<h1>Scenarios of faults with sharing off and on</h1>
<p>The same random draws in both runs of a scenario; service and parts by windows of five seconds. Written by <code>go run ./cmd/measure verdicts --page FILE</code>.</p>
{{range .}}<h2>{{.Name}}</h2><p>{{.About}} ({{.Brokers}} brokers)</p>
<table><tr>{{range .Sides}}<th>{{.Name}}</th>{{end}}</tr>
<tr>{{range .Sides}}<td>service {{printf "%.4f" .F.Service}}, worst 10 s {{printf "%.4f" .F.Worst10s}}, p99 {{printf "%.0f" .F.P99}} ms, {{.F.Struck}} parts to failing stores, {{printf "%.3f" .F.Dispatches}} dispatches a part</td>{{end}}</tr>
<tr>{{range .Sides}}<td>{{.Service}}</td>{{end}}</tr><tr>{{range .Sides}}<td>{{.Parts}}</td>{{end}}</tr></table>
{{end}}</html>
`))

// drawRun draws the windows of a run. most is the largest number of parts in any window of both runs, so that both
// charts have the same scale.
func drawRun(name string, f emulator.Figures, least float64, most int) (s runView, err error) {
	s = runView{Name: name, F: f}
	var service, parts plotter.XYs
	for _, w := range f.Windows {
		if w.Requested > 0 {
			service = append(service, plotter.XY{X: w.From / 1000, Y: w.Earned / w.Requested})
		}
		parts = append(parts, plotter.XY{X: w.From / 1000, Y: float64(w.Struck)})
	}
	if s.Service, err = lineChart("service", "of the benefit", service, least, 1, 0); err != nil {
		return s, err
	}
	s.Parts, err = lineChart("parts to stores that fail", "parts", parts, 0, float64(max(1, most)), 1)
	return s, err
}

func lineChart(title, unit string, pts plotter.XYs, least, most float64, n int) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.Y.Min, p.Y.Max = least, most
	l, err := plotter.NewLine(pts)
	if err != nil {
		return "", fmt.Errorf("draw the plot: %w", err)
	}
	l.Color, l.Width, l.StepStyle = plotutil.Color(n), vg.Points(1.5), plotter.PostStep
	grid := plotter.NewGrid()
	grid.Horizontal.Color, grid.Vertical.Color = color.Gray{220}, color.Gray{235}
	p.Add(grid, l)
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", fmt.Errorf("draw the plot: %w", err)
	}
	_, body, _ := bytes.Cut(b.Bytes(), []byte("?>")) // strips the XML header, since the SVG is embedded in a page
	return template.HTML(body), nil
}

// compareRuns builds the comparison of two runs of a scenario.
func compareRuns(name, about string, brokers int, off, on emulator.Figures, how string) (comparison, error) {
	d := comparison{Name: name, About: about, Brokers: brokers}
	least, most := 1.0, 0
	for _, f := range []emulator.Figures{off, on} {
		for _, w := range f.Windows {
			if w.Requested > 0 {
				least = min(least, w.Earned/w.Requested)
			}
			most = max(most, w.Struck)
		}
	}
	for _, x := range []struct {
		name string
		f    emulator.Figures
	}{{"sharing off", off}, {"sharing on (" + how + ")", on}} {
		s, err := drawRun(x.name, x.f, max(0, least-0.02), most)
		if err != nil {
			return d, err
		}
		d.Sides = append(d.Sides, s)
	}
	return d, nil
}

// writePage writes all comparisons as one HTML page.
func writePage(path string, comparisons []comparison) error {
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, comparisons); err != nil {
		return fmt.Errorf("render the page: %w", err)
	}
	return os.WriteFile(path, b.Bytes(), 0o644)
}
