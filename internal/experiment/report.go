package experiment

import (
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"

	"dalefront/internal/emulator"
	"dalefront/internal/hclfile"
)

// Report holds the results of all runs of an experiment, ordered by variant and seed.
type Report struct {
	Results []*Result `json:"results"`
}

// Simulate runs all variants with all seeds in simulated time, several at a time. It calls progress after each
// run, from one goroutine at a time.
func (e *Experiment) Simulate(progress func(finished, total int)) (*Report, error) {
	for _, fault := range e.Faults {
		if !slices.Contains(emulator.MachineFaults, fault.Kind) {
			return nil, hclfile.Errorf(fault.Range, "fault %s is available only at a live site; simulated time supports %v", fault.Kind, emulator.MachineFaults)
		}
	}
	total := len(e.Variants) * e.Repeat
	report := &Report{Results: make([]*Result, total)}
	errs := make([]error, total)
	var mu sync.Mutex
	finished := 0
	semaphore := make(chan struct{}, max(1, runtime.NumCPU()-1))
	var runs sync.WaitGroup
	for i := range total {
		semaphore <- struct{}{}
		runs.Go(func() {
			defer func() { <-semaphore }()
			report.Results[i], errs[i] = e.RunVariant(e.Variants[i/e.Repeat], e.Seed+uint64(i%e.Repeat))
			mu.Lock()
			defer mu.Unlock()
			finished++
			progress(finished, total)
		})
	}
	runs.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return report, nil
}

// Violations returns the violated invariants, each with the variant and the seed of its run.
func (r *Report) Violations() []string {
	var violations []string
	for _, result := range r.Results {
		for _, violation := range result.Violations {
			violations = append(violations, fmt.Sprintf("%s, seed %d: %s", result.Variant, result.Seed, violation))
		}
	}
	return violations
}

// variantNames returns the names of the variants in the order of the results.
func (r *Report) variantNames() []string {
	var names []string
	for _, result := range r.Results {
		if !slices.Contains(names, result.Variant) {
			names = append(names, result.Variant)
		}
	}
	return names
}

// classNames returns the names of the classes in alphabetical order.
func (r *Report) classNames() []string {
	return slices.Sorted(maps.Keys(r.Results[0].Classes))
}

// meanOver returns the mean of a metric over the runs of a variant.
func (r *Report) meanOver(variant string, metric func(*Result) float64) Mean {
	var values []float64
	for _, result := range r.Results {
		if result.Variant == variant {
			values = append(values, metric(result))
		}
	}
	return mean(values)
}

// Table prints a table of the metrics with a column for each variant. The values are means over the runs with
// their confidence intervals.
func (r *Report) Table(out io.Writer) error {
	table := &comparison{report: r, out: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	table.header()
	table.row("jobs", func(x *Result) float64 { return float64(x.Jobs) })
	table.row("unfinished", func(x *Result) float64 { return float64(x.Unfinished) })
	table.row("wasted processor time, %", func(x *Result) float64 { return 100 * x.WastedShare })
	table.row("evictions", func(x *Result) float64 { return float64(x.Evictions) })
	table.row("of these checkpointed", func(x *Result) float64 { return float64(x.Checkpoints) })
	table.row("price", func(x *Result) float64 { return x.Price })
	for _, class := range r.classNames() {
		table.row(class+": wait p50, s", func(x *Result) float64 { return quantile(x.Classes[class].Waits, 0.5) })
		table.row(class+": wait p99, s", func(x *Result) float64 { return quantile(x.Classes[class].Waits, 0.99) })
		table.row(class+": response mean, s", func(x *Result) float64 { return average(x.Classes[class].Responses) })
	}
	if r.Results[0].Submissions != nil {
		table.submissionRows()
	}
	return table.out.Flush()
}

// comparison is a table with a column for each variant.
type comparison struct {
	report *Report
	out    *tabwriter.Writer
}

// header prints the names of the variants.
func (c *comparison) header() {
	fmt.Fprint(c.out, "VARIANT")
	for _, variant := range c.report.variantNames() {
		fmt.Fprintf(c.out, "\t%s", variant)
	}
	fmt.Fprintln(c.out)
}

// row prints the mean of a metric for each variant.
func (c *comparison) row(name string, metric func(*Result) float64) {
	fmt.Fprint(c.out, name)
	for _, variant := range c.report.variantNames() {
		fmt.Fprintf(c.out, "\t%s", c.report.meanOver(variant, metric))
	}
	fmt.Fprintln(c.out)
}

// submissionRows prints the metrics that only a live site has.
func (c *comparison) submissionRows() {
	c.row("submissions accepted", func(x *Result) float64 { return float64(x.Submissions.Accepted) })
	c.row("a second", func(x *Result) float64 { return x.Submissions.PerSecond })
	c.row("tried again", func(x *Result) float64 { return float64(x.Submissions.Retries) })
	c.row("given up", func(x *Result) float64 { return float64(x.Submissions.GivenUp) })
	c.row("submission p50, ms", func(x *Result) float64 { return x.Submissions.P50 })
	c.row("submission p99, ms", func(x *Result) float64 { return x.Submissions.P99 })
	c.row("submission p99.9, ms", func(x *Result) float64 { return x.Submissions.P999 })
}
