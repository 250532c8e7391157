package scaletest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	canvases "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Point is what one run of a sweep measured.
type Point struct {
	Value   float64            `json:"value"`
	Costs   map[string]float64 `json:"costs"`
	Skipped string             `json:"skipped,omitempty"` // why it does not count
}

// Slope is how one cost grows with one count, by least squares.
type Slope struct {
	Count         string  `json:"count"`
	Cost          string  `json:"cost"`
	PerUnit       float64 `json:"per_unit"`
	StandardError float64 `json:"standard_error"`
	Intercept     float64 `json:"intercept"`
	Fit           float64 `json:"r_squared"`
	// Of the slope over the upper half of the points to that over the lower half: far from 1
	// where the line bends.
	Bend float64 `json:"bend"`
	// At the full size, beside the measured value; Inaccurate if they differ by more than
	// extrapolationTolerance.
	Extrapolated float64 `json:"extrapolated"`
	Measured     float64 `json:"measured"`
	Inaccurate   bool    `json:"off"`
}

// SweepReport is the result of all sweeps of a file.
type SweepReport struct {
	Points     map[string][]Point `json:"points"` // by count
	Slopes     []Slope            `json:"slopes"`
	Violations []string           `json:"broken_rules"`
}

// costs returns the figures that are fitted, by name.
func (r *Report) costs() map[string]float64 {
	leader, standby, other := r.Role(roleLeader), r.Role(roleStandby), r.Role(roleOther)
	return map[string]float64{
		"leader cores": leader.CPU, "leader MB": leader.ResidentMB, "leader bytes/s": leader.ReadBS + leader.WrittenBS, "leader sockets": float64(leader.Sockets),
		"standby cores": standby.CPU, "standby MB": standby.ResidentMB,
		"other cores": other.CPU, "other bytes/s": other.ReadBS + other.WrittenBS,
		"state requests/s": r.State.All, "state changes/s": r.State.Changes, "state keys": float64(r.State.Keys), "state key bytes": float64(r.State.KeyBytes),
		"worker bytes/s": r.Worker.P50BS,
	}
}

// extrapolationTolerance is the relative error that an extrapolation may have.
const extrapolationTolerance = 0.25

// RunSweeps runs each sweep of the file, and fits its costs. Full is the run at full size, or
// nil: then nothing is compared.
func RunSweeps(ctx context.Context, spec *Spec, options Options, full *Report) (*SweepReport, error) {
	report := &SweepReport{Points: map[string][]Point{}}
	for _, sweep := range spec.Sweeps {
		for _, value := range sweep.Values {
			varied, err := spec.with(sweep.Count, value)
			if err != nil {
				return report, err
			}
			progress := options.Progress
			inner := options
			inner.Progress = func(what string) { progress(fmt.Sprintf("%s = %g: %s", sweep.Count, value, what)) }
			result, err := Run(ctx, varied, inner)
			if result == nil || err != nil && !errors.Is(err, ErrInvalidRun) {
				if ctx.Err() != nil {
					return report, err
				}
				report.Points[sweep.Count] = append(report.Points[sweep.Count], Point{Value: value, Skipped: err.Error()})
				continue
			}
			point := Point{Value: value, Costs: result.costs()}
			if err != nil {
				point.Skipped = err.Error()
			}
			report.Points[sweep.Count] = append(report.Points[sweep.Count], point)
			report.Violations = append(report.Violations, result.Violations...)
		}
		report.Slopes = append(report.Slopes, slopes(sweep.Count, report.Points[sweep.Count], full)...)
		if options.SweepDone != nil {
			options.SweepDone(report)
		}
	}
	return report, nil
}

// slopes fits every cost over the valid points of a count.
func slopes(count string, points []Point, full *Report) (fitted []Slope) {
	var xs []float64
	ys := map[string][]float64{}
	for _, point := range points {
		if point.Skipped != "" {
			continue
		}
		xs = append(xs, point.Value)
		for cost, y := range point.Costs {
			ys[cost] = append(ys[cost], y)
		}
	}
	if len(xs) < 3 {
		return nil
	}
	names := make([]string, 0, len(ys))
	for cost := range ys {
		names = append(names, cost)
	}
	slices.Sort(names)
	for _, cost := range names {
		slope := fit(xs, ys[cost])
		slope.Count, slope.Cost = count, cost
		if full != nil {
			at := full.Counts.value(count)
			slope.Extrapolated, slope.Measured = slope.Intercept+slope.PerUnit*at, full.costs()[cost]
			slope.Inaccurate = math.Abs(slope.Extrapolated-slope.Measured) > extrapolationTolerance*math.Abs(slope.Measured)
		}
		fitted = append(fitted, slope)
	}
	return fitted
}

// fit fits a line by least squares.
func fit(xs, ys []float64) (slope Slope) {
	slope.Intercept, slope.PerUnit = stat.LinearRegression(xs, ys, nil, false)
	slope.Fit = stat.RSquared(xs, ys, nil, slope.Intercept, slope.PerUnit)
	residuals, spread := 0.0, 0.0
	middle := stat.Mean(xs, nil)
	for i, x := range xs {
		residual := ys[i] - slope.Intercept - slope.PerUnit*x
		residuals += residual * residual
		spread += (x - middle) * (x - middle)
	}
	count := len(xs)
	if count > 2 && spread > 0 {
		slope.StandardError = math.Sqrt(residuals / float64(count-2) / spread)
	}
	_, lower := stat.LinearRegression(xs[:(count+1)/2], ys[:(count+1)/2], nil, false)
	_, upper := stat.LinearRegression(xs[count/2:], ys[count/2:], nil, false)
	if lower != 0 {
		slope.Bend = upper / lower
	}
	for _, statistic := range []*float64{&slope.Bend, &slope.Fit, &slope.StandardError} {
		if math.IsNaN(*statistic) || math.IsInf(*statistic, 0) {
			*statistic = 0
		}
	}
	return slope
}

// value returns the count of that name.
func (c *Counts) value(name string) float64 {
	return map[string]float64{"workers": float64(c.Workers), "tasks_running": float64(c.TasksRunning), "starts_per_s": c.StartsPerS, "teams": float64(c.Teams),
		"jobs_waiting": float64(c.JobsWaiting), "gang_size": float64(c.GangSize), "config_per_s": c.ConfigPerS}[name]
}

// JSON writes the sweeps.
func (r *SweepReport) JSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", " ")
	return e.Encode(r)
}

// Text writes the slopes for people.
func (r *SweepReport) Text(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "count\tcost\tper unit\t±\tat 0\tR²\tbend\textrapolated\tmeasured\t")
	for _, slope := range r.Slopes {
		off := ""
		if slope.Inaccurate {
			off = "off by more than a quarter"
		}
		fmt.Fprintf(table, "%s\t%s\t%.4g\t%.2g\t%.4g\t%.3f\t%.2f\t%.4g\t%.4g\t%s\n", slope.Count, slope.Cost, slope.PerUnit, slope.StandardError, slope.Intercept, slope.Fit, slope.Bend, slope.Extrapolated, slope.Measured, off)
	}
	for count, points := range r.Points {
		for _, point := range points {
			if point.Skipped != "" {
				fmt.Fprintf(table, "%s = %g does not count: %s\n", count, point.Value, point.Skipped)
			}
		}
	}
	return table.Flush()
}

// Plot draws one cost over the values of a count, with the line fitted, as SVG.
func (r *SweepReport) Plot(slope Slope) ([]byte, error) {
	figure := plot.New()
	figure.Title.Text, figure.X.Label.Text, figure.Y.Label.Text = fmt.Sprintf("%s by %s", slope.Cost, slope.Count), slope.Count, slope.Cost
	var points plotter.XYs
	for _, point := range r.Points[slope.Count] {
		if point.Skipped == "" {
			points = append(points, plotter.XY{X: point.Value, Y: point.Costs[slope.Cost]})
		}
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	first, last := points[0].X, points[len(points)-1].X
	line, err := plotter.NewLine(plotter.XYs{{X: first, Y: slope.Intercept + slope.PerUnit*first}, {X: last, Y: slope.Intercept + slope.PerUnit*last}})
	if err != nil {
		return nil, err
	}
	figure.Add(plotter.NewGrid(), dots, line)
	canvas := vgsvg.New(6*vg.Inch, 3.2*vg.Inch)
	figure.Draw(canvases.New(canvas))
	var buffer bytes.Buffer
	_, err = canvas.WriteTo(&buffer)
	return buffer.Bytes(), err
}
