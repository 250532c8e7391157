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
	vgdraw "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Point holds the measurements of one run of a sweep.
type Point struct {
	Value      float64            `json:"value"` // value of the count that is varied
	Costs      map[string]float64 `json:"costs"`
	SkipReason string             `json:"skipped,omitempty"` // why the regression leaves the point out; empty if it doesn't
}

// Slope is the linear regression of one cost on one count, by least squares.
type Slope struct {
	Count         string  `json:"count"`
	Cost          string  `json:"cost"`
	PerUnit       float64 `json:"per_unit"`
	StandardError float64 `json:"standard_error"`
	Intercept     float64 `json:"intercept"`
	RSquared      float64 `json:"r_squared"`
	// Slope over the upper half of the points divided by the slope over the lower half. A value far from 1
	// means that the relation is not linear.
	SlopeRatio float64 `json:"bend"`
	// Extrapolated and measured cost at full size. Inaccurate is set if they differ by more than
	// extrapolationTolerance.
	Extrapolated float64 `json:"extrapolated"`
	Measured     float64 `json:"measured"`
	Inaccurate   bool    `json:"off"`
}

// SweepReport holds the results of all sweeps of a file.
type SweepReport struct {
	Points     map[string][]Point `json:"points"` // by name of the count
	Slopes     []Slope            `json:"slopes"`
	Violations []string           `json:"broken_rules"`
}

// costs returns the measurements to which lines are fitted, by name.
func (r *Report) costs() map[string]float64 {
	leader, standby, other := r.Role(roleLeader), r.Role(roleStandby), r.Role(roleOther)
	return map[string]float64{
		"leader cores": leader.Cores, "leader MB": leader.ResidentMB, "leader bytes/s": leader.ReadBytesPerS + leader.WrittenBytesPerS, "leader sockets": float64(leader.Sockets),
		"standby cores": standby.Cores, "standby MB": standby.ResidentMB,
		"other cores": other.Cores, "other bytes/s": other.ReadBytesPerS + other.WrittenBytesPerS,
		"state requests/s": r.State.TotalRequests, "state changes/s": r.State.Changes, "state keys": float64(r.State.Keys), "state key bytes": float64(r.State.KeyBytes),
		"worker bytes/s": r.Worker.P50BytesPerS,
	}
}

// extrapolationTolerance is the relative error up to which an extrapolation is considered accurate.
const extrapolationTolerance = 0.25

// RunSweeps runs each sweep of the specification and fits a line to each of its costs. The parameter full
// is the report of the run at full size. If full is not nil, the extrapolated costs are compared with its
// measurements. options.Progress must not be nil.
func RunSweeps(ctx context.Context, spec *Spec, options Options, full *Report) (*SweepReport, error) {
	report := &SweepReport{Points: map[string][]Point{}}
	for _, sweep := range spec.Sweeps {
		for _, value := range sweep.Values {
			varied, err := spec.withCount(sweep.Count, value)
			if err != nil {
				return report, err
			}
			progress := options.Progress
			pointOptions := options
			pointOptions.Progress = func(what string) { progress(fmt.Sprintf("%s = %g: %s", sweep.Count, value, what)) }
			result, err := Run(ctx, varied, pointOptions)
			if result == nil || err != nil && !errors.Is(err, ErrInvalidRun) {
				if ctx.Err() != nil {
					return report, err
				}
				report.Points[sweep.Count] = append(report.Points[sweep.Count], Point{Value: value, SkipReason: err.Error()})
				continue
			}
			point := Point{Value: value, Costs: result.costs()}
			if err != nil {
				point.SkipReason = err.Error()
			}
			report.Points[sweep.Count] = append(report.Points[sweep.Count], point)
			report.Violations = append(report.Violations, result.Violations...)
		}
		report.Slopes = append(report.Slopes, fitSlopes(sweep.Count, report.Points[sweep.Count], full)...)
		if options.OnSweepDone != nil {
			options.OnSweepDone(report)
		}
	}
	return report, nil
}

// fitSlopes fits a line to each cost over the valid points of a count. It returns nil for fewer than three
// points.
func fitSlopes(count string, points []Point, full *Report) (fitted []Slope) {
	var xs []float64
	ys := map[string][]float64{}
	for _, point := range points {
		if point.SkipReason != "" {
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
		slope := fitLine(xs, ys[cost])
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

// fitLine fits a line by least squares. A statistic that is undefined for the points is 0.
func fitLine(xs, ys []float64) (slope Slope) {
	slope.Intercept, slope.PerUnit = stat.LinearRegression(xs, ys, nil, false)
	slope.RSquared = stat.RSquared(xs, ys, nil, slope.Intercept, slope.PerUnit)
	residualSumSquares, xSumSquares := 0.0, 0.0
	meanX := stat.Mean(xs, nil)
	for i, x := range xs {
		residual := ys[i] - slope.Intercept - slope.PerUnit*x
		residualSumSquares += residual * residual
		xSumSquares += (x - meanX) * (x - meanX)
	}
	count := len(xs)
	if count > 2 && xSumSquares > 0 {
		slope.StandardError = math.Sqrt(residualSumSquares / float64(count-2) / xSumSquares)
	}
	_, lower := stat.LinearRegression(xs[:(count+1)/2], ys[:(count+1)/2], nil, false)
	_, upper := stat.LinearRegression(xs[count/2:], ys[count/2:], nil, false)
	if lower != 0 {
		slope.SlopeRatio = upper / lower
	}
	for _, statistic := range []*float64{&slope.SlopeRatio, &slope.RSquared, &slope.StandardError} {
		if math.IsNaN(*statistic) || math.IsInf(*statistic, 0) {
			*statistic = 0
		}
	}
	return slope
}

// value returns the named count, for each count that withCount accepts.
func (c *Counts) value(name string) float64 {
	return map[string]float64{"workers": float64(c.Workers), "tasks_running": float64(c.TasksRunning), "starts_per_s": c.StartsPerS, "teams": float64(c.Teams),
		"jobs_waiting": float64(c.JobsWaiting), "gang_size": float64(c.GangSize), "config_per_s": c.ConfigPerS}[name]
}

// JSON writes the report as indented JSON.
func (r *SweepReport) JSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// Text writes the slopes and the skipped points as human-readable text.
func (r *SweepReport) Text(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "count\tcost\tper unit\t±\tat 0\tR²\tbend\textrapolated\tmeasured\t")
	for _, slope := range r.Slopes {
		note := ""
		if slope.Inaccurate {
			note = "off by more than a quarter"
		}
		fmt.Fprintf(table, "%s\t%s\t%.4g\t%.2g\t%.4g\t%.3f\t%.2f\t%.4g\t%.4g\t%s\n", slope.Count, slope.Cost, slope.PerUnit, slope.StandardError, slope.Intercept, slope.RSquared, slope.SlopeRatio, slope.Extrapolated, slope.Measured, note)
	}
	for count, points := range r.Points {
		for _, point := range points {
			if point.SkipReason != "" {
				fmt.Fprintf(table, "%s = %g does not count: %s\n", count, point.Value, point.SkipReason)
			}
		}
	}
	return table.Flush()
}

// Plot returns an SVG image of the valid points of a slope and the fitted line.
func (r *SweepReport) Plot(slope Slope) ([]byte, error) {
	figure := plot.New()
	figure.Title.Text, figure.X.Label.Text, figure.Y.Label.Text = fmt.Sprintf("%s by %s", slope.Cost, slope.Count), slope.Count, slope.Cost
	var points plotter.XYs
	for _, point := range r.Points[slope.Count] {
		if point.SkipReason == "" {
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
	figure.Draw(vgdraw.New(canvas))
	var buffer bytes.Buffer
	_, err = canvas.WriteTo(&buffer)
	return buffer.Bytes(), err
}
