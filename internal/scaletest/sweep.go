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
	Count     string  `json:"count"`
	Cost      string  `json:"cost"`
	PerUnit   float64 `json:"per_unit"`
	Error     float64 `json:"standard_error"`
	Intercept float64 `json:"intercept"`
	Fit       float64 `json:"r_squared"`
	// Of the slope over the upper half of the points to that over the lower half: far from 1
	// where the line bends.
	Bend float64 `json:"bend"`
	// At the full size, beside what was measured there; Off if they differ by more than a quarter.
	Extrapolated float64 `json:"extrapolated"`
	Measured     float64 `json:"measured"`
	Off          bool    `json:"off"`
}

// SweepReport is the result of all sweeps of a file.
type SweepReport struct {
	Points map[string][]Point `json:"points"` // by count
	Slopes []Slope            `json:"slopes"`
	Broken []string           `json:"broken_rules"`
}

// costs are the figures that are fitted.
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

// offShare is how far an extrapolation may be from what was measured.
const offShare = 0.25

// RunSweeps plays each sweep of the file, and fits its costs. Full is the run at full size, or
// nil: then nothing is compared.
func RunSweeps(ctx context.Context, spec *Spec, opt Options, full *Report) (*SweepReport, error) {
	out := &SweepReport{Points: map[string][]Point{}}
	for _, sweep := range spec.Sweeps {
		for _, value := range sweep.Values {
			one, err := spec.with(sweep.Count, value)
			if err != nil {
				return out, err
			}
			progress := opt.Progress
			inner := opt
			inner.Progress = func(what string) { progress(fmt.Sprintf("%s = %g: %s", sweep.Count, value, what)) }
			r, err := Run(ctx, one, inner)
			if r == nil || err != nil && !errors.Is(err, ErrNotCounted) {
				if ctx.Err() != nil {
					return out, err
				}
				out.Points[sweep.Count] = append(out.Points[sweep.Count], Point{Value: value, Skipped: err.Error()})
				continue
			}
			point := Point{Value: value, Costs: r.costs()}
			if err != nil {
				point.Skipped = err.Error()
			}
			out.Points[sweep.Count] = append(out.Points[sweep.Count], point)
			out.Broken = append(out.Broken, r.Broken...)
		}
		out.Slopes = append(out.Slopes, slopes(sweep.Count, out.Points[sweep.Count], full)...)
		if opt.Swept != nil {
			opt.Swept(out)
		}
	}
	return out, nil
}

// slopes fits every cost over the points of a count that count.
func slopes(count string, points []Point, full *Report) (out []Slope) {
	var xs []float64
	ys := map[string][]float64{}
	for _, p := range points {
		if p.Skipped != "" {
			continue
		}
		xs = append(xs, p.Value)
		for cost, y := range p.Costs {
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
		s := fit(xs, ys[cost])
		s.Count, s.Cost = count, cost
		if full != nil {
			at := full.Counts.value(count)
			s.Extrapolated, s.Measured = s.Intercept+s.PerUnit*at, full.costs()[cost]
			s.Off = math.Abs(s.Extrapolated-s.Measured) > offShare*math.Abs(s.Measured)
		}
		out = append(out, s)
	}
	return out
}

// fit fits a line.
func fit(xs, ys []float64) (s Slope) {
	s.Intercept, s.PerUnit = stat.LinearRegression(xs, ys, nil, false)
	s.Fit = stat.RSquared(xs, ys, nil, s.Intercept, s.PerUnit)
	rest, spread := 0.0, 0.0
	middle := stat.Mean(xs, nil)
	for i, x := range xs {
		off := ys[i] - s.Intercept - s.PerUnit*x
		rest += off * off
		spread += (x - middle) * (x - middle)
	}
	n := len(xs)
	if n > 2 && spread > 0 {
		s.Error = math.Sqrt(rest / float64(n-2) / spread)
	}
	_, lower := stat.LinearRegression(xs[:(n+1)/2], ys[:(n+1)/2], nil, false)
	_, upper := stat.LinearRegression(xs[n/2:], ys[n/2:], nil, false)
	if lower != 0 {
		s.Bend = upper / lower
	}
	for _, v := range []*float64{&s.Bend, &s.Fit, &s.Error} {
		if math.IsNaN(*v) || math.IsInf(*v, 0) {
			*v = 0
		}
	}
	return s
}

// value is the count of that name.
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
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "count\tcost\tper unit\t±\tat 0\tR²\tbend\textrapolated\tmeasured\t")
	for _, s := range r.Slopes {
		off := ""
		if s.Off {
			off = "off by more than a quarter"
		}
		fmt.Fprintf(t, "%s\t%s\t%.4g\t%.2g\t%.4g\t%.3f\t%.2f\t%.4g\t%.4g\t%s\n", s.Count, s.Cost, s.PerUnit, s.Error, s.Intercept, s.Fit, s.Bend, s.Extrapolated, s.Measured, off)
	}
	for count, points := range r.Points {
		for _, p := range points {
			if p.Skipped != "" {
				fmt.Fprintf(t, "%s = %g does not count: %s\n", count, p.Value, p.Skipped)
			}
		}
	}
	return t.Flush()
}

// Plot draws one cost over the values of a count, with the line fitted, as SVG.
func (r *SweepReport) Plot(s Slope) ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = fmt.Sprintf("%s by %s", s.Cost, s.Count), s.Count, s.Cost
	var points plotter.XYs
	for _, x := range r.Points[s.Count] {
		if x.Skipped == "" {
			points = append(points, plotter.XY{X: x.Value, Y: x.Costs[s.Cost]})
		}
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	first, last := points[0].X, points[len(points)-1].X
	line, err := plotter.NewLine(plotter.XYs{{X: first, Y: s.Intercept + s.PerUnit*first}, {X: last, Y: s.Intercept + s.PerUnit*last}})
	if err != nil {
		return nil, err
	}
	p.Add(plotter.NewGrid(), dots, line)
	canvas := vgsvg.New(6*vg.Inch, 3.2*vg.Inch)
	p.Draw(canvases.New(canvas))
	var b bytes.Buffer
	_, err = canvas.WriteTo(&b)
	return b.Bytes(), err
}
