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

// day is a scenario as it went with sharing off and on, the same draws in both.
type day struct {
	Name, About string
	Brokers     int
	Sides       []side
}

type side struct {
	Name    string
	F       emulator.Figures
	Service template.HTML // SVG
	Parts   template.HTML
}

const sideWide, sideHigh = 15 * vg.Centimeter, 6 * vg.Centimeter

var pageForm = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>Verdicts shared by the fleet</title>
<style>body{font:15px sans-serif;margin:2em;max-width:76em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:left;vertical-align:top}th{font-weight:600}svg{max-width:100%;height:auto}</style>
<h1>A fault's day with sharing off and on</h1>
<p>The same draws on both sides; service and parts by windows of five seconds. Written by <code>go run ./cmd/measure verdicts --page FILE</code>.</p>
{{range .}}<h2>{{.Name}}</h2><p>{{.About}} ({{.Brokers}} brokers)</p>
<table><tr>{{range .Sides}}<th>{{.Name}}</th>{{end}}</tr>
<tr>{{range .Sides}}<td>service {{printf "%.4f" .F.Service}}, worst 10 s {{printf "%.4f" .F.Worst10s}}, p99 {{printf "%.0f" .F.P99}} ms, {{.F.Struck}} parts to failing stores, {{printf "%.3f" .F.Dispatches}} dispatches a part</td>{{end}}</tr>
<tr>{{range .Sides}}<td>{{.Service}}</td>{{end}}</tr><tr>{{range .Sides}}<td>{{.Parts}}</td>{{end}}</tr></table>
{{end}}</html>
`))

// drawSide draws a run's windows. Most is the largest number of parts in any window of both sides, so that they compare.
func drawSide(name string, f emulator.Figures, least float64, most int) (s side, err error) {
	s = side{Name: name, F: f}
	var service, parts plotter.XYs
	for _, w := range f.Windows {
		if w.Asked > 0 {
			service = append(service, plotter.XY{X: w.From / 1000, Y: w.Served / w.Asked})
		}
		parts = append(parts, plotter.XY{X: w.From / 1000, Y: float64(w.Struck)})
	}
	if s.Service, err = svg("service", "of the benefit", service, least, 1, 0); err != nil {
		return s, err
	}
	s.Parts, err = svg("parts to stores that fail", "parts", parts, 0, float64(max(1, most)), 1)
	return s, err
}

func svg(title, unit string, pts plotter.XYs, least, most float64, n int) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.Y.Min, p.Y.Max = least, most
	l, err := plotter.NewLine(pts)
	if err != nil {
		return "", fmt.Errorf("the plot: %w", err)
	}
	l.Color, l.Width, l.StepStyle = plotutil.Color(n), vg.Points(1.5), plotter.PostStep
	grid := plotter.NewGrid()
	grid.Horizontal.Color, grid.Vertical.Color = color.Gray{220}, color.Gray{235}
	p.Add(grid, l)
	canvas := vgsvg.New(sideWide, sideHigh)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", fmt.Errorf("the plot: %w", err)
	}
	_, body, _ := bytes.Cut(b.Bytes(), []byte("?>")) // no XML head within a page
	return template.HTML(body), nil
}

// compared puts two runs of a day side by side.
func compared(name, about string, brokers int, off, on emulator.Figures, how string) (day, error) {
	d := day{Name: name, About: about, Brokers: brokers}
	least, most := 1.0, 0
	for _, f := range []emulator.Figures{off, on} {
		for _, w := range f.Windows {
			if w.Asked > 0 {
				least = min(least, w.Served/w.Asked)
			}
			most = max(most, w.Struck)
		}
	}
	for _, x := range []struct {
		name string
		f    emulator.Figures
	}{{"sharing off", off}, {"sharing on (" + how + ")", on}} {
		s, err := drawSide(x.name, x.f, max(0, least-0.02), most)
		if err != nil {
			return d, err
		}
		d.Sides = append(d.Sides, s)
	}
	return d, nil
}

// writePage writes all days as one page.
func writePage(path string, days []day) error {
	var b bytes.Buffer
	if err := pageForm.Execute(&b, days); err != nil {
		return fmt.Errorf("the page: %w", err)
	}
	return os.WriteFile(path, b.Bytes(), 0o644)
}
