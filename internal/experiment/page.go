package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	canvases "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The page stands alone: the plots are in it, and it asks nobody for anything.
var reportTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>dalefront load</title>
<style>body{font-family:sans-serif;margin:2em auto;max-width:60em}pre{overflow-x:auto}svg{width:100%;height:auto}</style></head>
<body><h1>dalefront load</h1>
<p>From {{.From}}. Means over the repetitions, with their 95 per cent confidence intervals.</p>
<pre>{{.Table}}</pre>
{{range .Plots}}{{.}}
{{end}}</body></html>
`))

// variantColours of the variants, which stay apart for most kinds of colour blindness.
var variantColours = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{230, 159, 0, 255}}

// HTML writes a page with the table and plots: the waits of each class as a
// distribution, and for the first seed the processors in use and rented and the tasks
// that wait, with the faults marked.
func (r *Report) HTML(e *Experiment, out io.Writer) error {
	var table bytes.Buffer
	if err := r.Table(&table); err != nil {
		return err
	}
	var plots []template.HTML
	add := func(title, x, y string, marks []Fault, of func(variant string) plotter.XYs) error {
		svg, err := renderPlot(title, x, y, marks, r.variantNames(), of)
		plots = append(plots, template.HTML(svg)) // drawn here, from names that the plot escapes
		return err
	}
	for _, c := range r.classNames() {
		if err := add("waits of class "+c+", all runs", "seconds", "share of jobs", nil, func(v string) plotter.XYs {
			var waits []float64
			for _, x := range r.Results {
				if x.Variant == v {
					waits = append(waits, x.Classes[c].Waits...)
				}
			}
			slices.Sort(waits)
			points := make(plotter.XYs, len(waits))
			for i, w := range waits {
				points[i] = plotter.XY{X: w, Y: float64(i+1) / float64(len(waits))}
			}
			return points
		}); err != nil {
			return err
		}
	}
	for _, p := range []struct {
		title, unit string
		of          func(Sample) float64
	}{
		{"processors in use", "CPUs", func(s Sample) float64 { return s.Used }},
		{"processors rented", "CPUs", func(s Sample) float64 { return s.Room }},
		{"evictions so far", "tasks", func(s Sample) float64 { return float64(s.Evictions) }},
		{"price so far", "price", func(s Sample) float64 { return s.Price }},
		{"waiting (at a live site: jobs that have not started)", "tasks", func(s Sample) float64 { return float64(s.Waiting) }},
	} {
		if err := add(fmt.Sprintf("%s, seed %d", p.title, e.Seed), "seconds", p.unit, e.Faults, func(v string) plotter.XYs {
			var points plotter.XYs
			for _, x := range r.Results {
				if x.Variant == v && x.Seed == e.Seed {
					for _, s := range x.Samples {
						points = append(points, plotter.XY{X: s.AtS, Y: p.of(s)})
					}
				}
			}
			return points
		}); err != nil {
			return err
		}
	}
	from := "machines played in simulated time"
	if r.Results[0].Submit != nil {
		from = "a live site with played machines, in real time"
	}
	return reportTemplate.Execute(out, map[string]any{"From": from, "Table": table.String(), "Plots": plots})
}

// renderPlot returns a plot as SVG.
func renderPlot(title, x, y string, faults []Fault, variants []string, of func(string) plotter.XYs) (string, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Y.Min, p.Legend.Top = 0, false
	p.Add(plotter.NewGrid())
	top := 1.0
	for i, v := range variants {
		points := of(v)
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color, line.Width = variantColours[i%len(variantColours)], vg.Points(1.3)
		line.StepStyle = plotter.PostStep
		p.Add(line)
		p.Legend.Add(v, line)
		for _, xy := range points {
			top = max(top, xy.Y)
		}
	}
	for _, f := range faults {
		mark, err := plotter.NewLine(plotter.XYs{{X: f.AtS, Y: 0}, {X: f.AtS, Y: top}})
		if err != nil {
			return "", err
		}
		mark.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(mark)
		p.Legend.Add(fmt.Sprintf("%s at %g s", f.Kind, f.AtS), mark)
	}
	canvas := vgsvg.New(9*vg.Inch, 3.6*vg.Inch)
	p.Draw(canvases.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.Bytes()
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		svg = svg[at:] // without the head of an XML file
	}
	return string(svg), nil
}
