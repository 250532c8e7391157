package experiment

import (
	"fmt"
	"io"
	"maps"
	"math"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dalefront/internal/emulator"
	"dalefront/internal/hclfile"
)

// Report is an experiment and all its runs, by variant and seed.
type Report struct {
	Results []*Result `json:"results"`
}

// Play runs all variants with all seeds, several at a time. Done is told after each.
func (e *Experiment) Play(done func(finished, all int)) (*Report, error) {
	for _, f := range e.Faults {
		if !slices.Contains(emulator.MachineFaults, f.Kind) {
			return nil, hclfile.At(f.Range, "fault %s can only be played at a live site; in simulated time there are %v", f.Kind, emulator.MachineFaults)
		}
	}
	all := len(e.Variants) * e.Repeat
	r := &Report{Results: make([]*Result, all)}
	errs := make([]error, all)
	var mu sync.Mutex
	finished := 0
	turns := make(chan struct{}, max(1, runtime.NumCPU()-1))
	var wg sync.WaitGroup
	for i := range all {
		turns <- struct{}{}
		wg.Go(func() {
			defer func() { <-turns }()
			r.Results[i], errs[i] = e.Run(e.Variants[i/e.Repeat], e.Seed+uint64(i%e.Repeat))
			mu.Lock()
			defer mu.Unlock()
			finished++
			done(finished, all)
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Violations lists the rules that were broken, with variant and seed.
func (r *Report) Violations() (out []string) {
	for _, x := range r.Results {
		for _, b := range x.Violations {
			out = append(out, fmt.Sprintf("%s, seed %d: %s", x.Variant, x.Seed, b))
		}
	}
	return out
}

// variantNames lists the variants in their order.
func (r *Report) variantNames() (out []string) {
	for _, x := range r.Results {
		if !slices.Contains(out, x.Variant) {
			out = append(out, x.Variant)
		}
	}
	return out
}

func (r *Report) classNames() []string {
	return slices.Sorted(maps.Keys(r.Results[0].Classes))
}

// Mean is a mean over the runs of a variant and the half width of its 95 per cent
// confidence interval, by Student's t; 0 for a single run.
type Mean struct{ Value, Half float64 }

func (m Mean) String() string {
	if m.Half == 0 {
		return formatDigits(m.Value)
	}
	return formatDigits(m.Value) + " ± " + formatDigits(m.Half)
}

// formatDigits writes three digits, or all that are before the point.
func formatDigits(v float64) string {
	if math.Abs(v) >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// studentT are the 97.5 per cent points of Student's t by degrees of freedom.
var studentT = []float64{0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23}

func mean(values []float64) Mean {
	n := float64(len(values))
	if n == 0 {
		return Mean{}
	}
	var sum, squares float64
	for _, v := range values {
		sum += v
	}
	m := sum / n
	for _, v := range values {
		squares += (v - m) * (v - m)
	}
	if n < 2 {
		return Mean{Value: m}
	}
	t := 1.98
	if len(values)-1 < len(studentT) {
		t = studentT[len(values)-1]
	}
	return Mean{m, t * math.Sqrt(squares/(n-1)/n)}
}

// meanOver returns the mean of something over the runs of a variant.
func (r *Report) meanOver(variant string, f func(*Result) float64) Mean {
	var values []float64
	for _, x := range r.Results {
		if x.Variant == variant {
			values = append(values, f(x))
		}
	}
	return mean(values)
}

// quantile of seconds, to three digits.
func quantile(seconds []float64, q float64) float64 {
	h := hdrhistogram.New(1, 1e10, 3) // milliseconds
	for _, s := range seconds {
		_ = h.RecordValue(max(1, min(1e10, int64(s*1e3)))) // within its bounds
	}
	if len(seconds) == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(100*q)) / 1e3
}

func average(v []float64) float64 { return mean(v).Value }

// Table prints the variants side by side: means over the runs with their intervals.
func (r *Report) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, f func(*Result) float64) {
		fmt.Fprint(w, name)
		for _, v := range r.variantNames() {
			fmt.Fprintf(w, "\t%s", r.meanOver(v, f))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprint(w, "VARIANT")
	for _, v := range r.variantNames() {
		fmt.Fprintf(w, "\t%s", v)
	}
	fmt.Fprintln(w)
	row("jobs", func(x *Result) float64 { return float64(x.Jobs) })
	row("unfinished", func(x *Result) float64 { return float64(x.Unfinished) })
	row("wasted processor time, %", func(x *Result) float64 { return 100 * x.WastedShare })
	row("evictions", func(x *Result) float64 { return float64(x.Evictions) })
	row("of these checkpointed", func(x *Result) float64 { return float64(x.Checkpoints) })
	row("price", func(x *Result) float64 { return x.Price })
	for _, c := range r.classNames() {
		row(c+": wait p50, s", func(x *Result) float64 { return quantile(x.Classes[c].Waits, 0.5) })
		row(c+": wait p99, s", func(x *Result) float64 { return quantile(x.Classes[c].Waits, 0.99) })
		row(c+": response mean, s", func(x *Result) float64 { return average(x.Classes[c].Responses) })
	}
	if r.Results[0].Submit != nil {
		row("submissions accepted", func(x *Result) float64 { return float64(x.Submit.Accepted) })
		row("a second", func(x *Result) float64 { return x.Submit.PerSecond })
		row("tried again", func(x *Result) float64 { return float64(x.Submit.Retries) })
		row("given up", func(x *Result) float64 { return float64(x.Submit.GivenUp) })
		row("submission p50, ms", func(x *Result) float64 { return x.Submit.P50 })
		row("submission p99, ms", func(x *Result) float64 { return x.Submit.P99 })
		row("submission p99.9, ms", func(x *Result) float64 { return x.Submit.P999 })
	}
	return w.Flush()
}
