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
	vgdraw "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// reportTemplate is the page of a report. It is self-contained: the plots are inline SVG.
var reportTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>dalefront load</title>
<style>body{font-family:sans-serif;margin:2em auto;max-width:60em}pre{overflow-x:auto}svg{width:100%;height:auto}</style></head>
<body><h1>dalefront load</h1>
<p>From {{.From}}. Means over the repetitions, with their 95 per cent confidence intervals.</p>
<pre>{{.Table}}</pre>
{{range .Plots}}{{.}}
{{end}}</body></html>
`))

// variantColours are the line colours of the variants. They are distinguishable with most kinds of colour
// blindness.
var variantColours = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{230, 159, 0, 255}}

// The size and the line styles of a plot.
const (
	plotWidth       = 9 * vg.Inch
	plotHeight      = 3.6 * vg.Inch
	lineWidth       = 1.3 // width in points
	dashLength      = 4   // length in points of the dashes in the lines that mark faults
	dashGap         = 3   // length in points of the gaps between these dashes
	faultMarkHeight = 1.0 // minimum height of the lines that mark faults, in units of the y axis
	secondsLabel    = "seconds"
)

// reportPage is the data of reportTemplate.
type reportPage struct {
	From  string
	Table string
	Plots []template.HTML
}

// HTML writes a page with the table and plots. The plots show the distribution of the waiting times of each
// class over all runs. For the first seed they also show the CPUs in use and rented, the evictions, the price
// and the waiting tasks over time, with the faults marked.
func (r *Report) HTML(e *Experiment, out io.Writer) error {
	var table bytes.Buffer
	if err := r.Table(&table); err != nil {
		return err
	}
	page := reportPage{From: "machines played in simulated time", Table: table.String()}
	if r.Results[0].Submissions != nil {
		page.From = "a live site with played machines, in real time"
	}
	for _, chart := range append(r.waitCharts(), r.sampleCharts(e)...) {
		svg, err := chart.svg()
		if err != nil {
			return err
		}
		page.Plots = append(page.Plots, template.HTML(svg)) // safe: rendered by chart.svg, and the plot package escapes the names
	}
	return reportTemplate.Execute(out, page)
}

// chart is a plot with a line for each variant.
type chart struct {
	title, xLabel, yLabel string
	variants              []string
	points                func(variant string) plotter.XYs
	faults                []Fault // marked in the plot
}

// waitCharts returns charts of the distribution of the waiting times of each class, over all runs.
func (r *Report) waitCharts() []chart {
	var charts []chart
	for _, class := range r.classNames() {
		charts = append(charts, chart{
			title:    "waits of class " + class + ", all runs",
			xLabel:   secondsLabel,
			yLabel:   "share of jobs",
			variants: r.variantNames(),
			points:   func(variant string) plotter.XYs { return r.waitDistribution(variant, class) },
		})
	}
	return charts
}

// waitDistribution returns the cumulative distribution of the waiting times of a class's jobs in seconds.
func (r *Report) waitDistribution(variant, class string) plotter.XYs {
	var waits []float64
	for _, result := range r.Results {
		if result.Variant == variant {
			waits = append(waits, result.Classes[class].Waits...)
		}
	}
	slices.Sort(waits)
	points := make(plotter.XYs, len(waits))
	for i, wait := range waits {
		points[i] = plotter.XY{X: wait, Y: float64(i+1) / float64(len(waits))}
	}
	return points
}

// sampleCharts returns charts of the samples of the first seed's runs, with the faults marked.
func (r *Report) sampleCharts(e *Experiment) []chart {
	var charts []chart
	for _, series := range []struct {
		title, unit string
		value       func(Sample) float64
	}{
		{"processors in use", "CPUs", func(s Sample) float64 { return s.UsedCPUs }},
		{"processors rented", "CPUs", func(s Sample) float64 { return s.TotalCPUs }},
		{"evictions so far", "tasks", func(s Sample) float64 { return float64(s.Evictions) }},
		{"price so far", "price", func(s Sample) float64 { return s.Price }},
		{"waiting (at a live site: jobs that have not started)", "tasks", func(s Sample) float64 { return float64(s.Waiting) }},
	} {
		charts = append(charts, chart{
			title:    fmt.Sprintf("%s, seed %d", series.title, e.Seed),
			xLabel:   secondsLabel,
			yLabel:   series.unit,
			variants: r.variantNames(),
			points:   func(variant string) plotter.XYs { return r.sampleSeries(variant, e.Seed, series.value) },
			faults:   e.Faults,
		})
	}
	return charts
}

// sampleSeries returns one value of each sample of a run as a series over the time in seconds.
func (r *Report) sampleSeries(variant string, seed uint64, value func(Sample) float64) plotter.XYs {
	var points plotter.XYs
	for _, result := range r.Results {
		if result.Variant != variant || result.Seed != seed {
			continue
		}
		for _, sample := range result.Samples {
			points = append(points, plotter.XY{X: sample.AtS, Y: value(sample)})
		}
	}
	return points
}

// svg renders the chart as an SVG element.
func (c chart) svg() (string, error) {
	figure := plot.New()
	figure.Title.Text, figure.X.Label.Text, figure.Y.Label.Text = c.title, c.xLabel, c.yLabel
	figure.Y.Min, figure.Legend.Top = 0, false
	figure.Add(plotter.NewGrid())
	top, err := c.addVariants(figure)
	if err != nil {
		return "", err
	}
	if err := c.addFaults(figure, top); err != nil {
		return "", err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	figure.Draw(vgdraw.New(canvas))
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return "", err
	}
	svg := text.Bytes()
	if start := bytes.Index(svg, []byte("<svg")); start > 0 {
		svg = svg[start:] // leaves out the XML declaration, which is not valid in HTML
	}
	return string(svg), nil
}

// addVariants adds the line of each variant that has points. It returns the largest value, or
// faultMarkHeight if all values are lower.
func (c chart) addVariants(figure *plot.Plot) (float64, error) {
	top := faultMarkHeight
	for i, variant := range c.variants {
		points := c.points(variant)
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return 0, err
		}
		line.Color = variantColours[i%len(variantColours)]
		line.Width = vg.Points(lineWidth)
		line.StepStyle = plotter.PostStep
		figure.Add(line)
		figure.Legend.Add(variant, line)
		for _, point := range points {
			top = max(top, point.Y)
		}
	}
	return top, nil
}

// addFaults marks the time of each fault with a dashed line from 0 to top.
func (c chart) addFaults(figure *plot.Plot, top float64) error {
	for _, fault := range c.faults {
		mark, err := plotter.NewLine(plotter.XYs{{X: fault.AtS, Y: 0}, {X: fault.AtS, Y: top}})
		if err != nil {
			return err
		}
		mark.Dashes = []vg.Length{vg.Points(dashLength), vg.Points(dashGap)}
		figure.Add(mark)
		figure.Legend.Add(fmt.Sprintf("%s at %g s", fault.Kind, fault.AtS), mark)
	}
	return nil
}
