package scaletest

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
)

// Report is what a run measured.
type Report struct {
	Counts         Counts         `json:"counts"`
	Compressed     float64        `json:"compressed"` // jobs in a second, over those of the day that the run stands for; 0 without such a day
	Host           Host           `json:"host"`
	Ramp           RampResult     `json:"ramp"`
	Workers        int            `json:"workers"`
	Types          map[string]int `json:"workers_by_type"`
	Running        []int          `json:"running"` // tasks, at each second of the steady part
	StartsPerS     float64        `json:"starts_per_s"`
	Roles          []Role         `json:"roles"`
	State          StateCost      `json:"state_service"`
	Worker         WorkerCost     `json:"worker"`
	Steady         LoadResult     `json:"steady"`
	Disrupted      LoadResult     `json:"troubled"`
	Events         []string       `json:"events"`
	Config         *ConfigResult  `json:"config,omitempty"`
	PeakMB         float64        `json:"peak_mb"` // all processes together
	Processes      int            `json:"processes"`
	Violations     []string       `json:"broken_rules"`
	Malformed      []string       `json:"malformed_transactions"`
	InvalidReasons []string       `json:"not_counted"`
}

// RampResult says how long the workers took to fill.
type RampResult struct {
	Seconds float64 `json:"seconds"`
	Running int     `json:"running"`
	Workers int     `json:"workers"`
}

// LoadResult is what the generator measured in a part of the run.
type LoadResult struct {
	Accepted int                  `json:"accepted"`
	Retries  int                  `json:"again"`    // attempts that were repeated
	GivenUp  int                  `json:"given_up"` // after a minute, or refused for good
	Times    map[string]Latencies `json:"times"`
}

// Latencies are quantiles in milliseconds.
type Latencies struct {
	Count int64   `json:"n"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"most_ms"`
}

// newReport returns the report of a run that has not begun.
func newReport(spec *Spec) *Report {
	return &Report{Counts: spec.Counts, Host: Host{Cores: runtime.NumCPU()}, Processes: spec.Counts.Controllers + 1}
}

// invalidate adds a reason for which the run's figures don't count.
func (r *Report) invalidate(format string, args ...any) {
	r.InvalidReasons = append(r.InvalidReasons, fmt.Sprintf(format, args...))
}

// summary returns what the generator measured since the last reset.
func (g *generator) summary() LoadResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	result := LoadResult{Accepted: g.accepted, Retries: g.retries, GivenUp: g.givenUp, Times: map[string]Latencies{}}
	for name, histogram := range g.times {
		ms := func(q float64) float64 { return float64(histogram.ValueAtQuantile(q)) / 1e3 }
		result.Times[name] = Latencies{histogram.TotalCount(), ms(50), ms(99), float64(histogram.Max()) / 1e3}
	}
	return result
}

const daySeconds = 24 * 60 * 60

// runningShare is the share of the wanted tasks that must run throughout the steady part.
const runningShare = 0.95

// finish completes the report at the end and checks whether the run is valid.
func (r *Report) finish(run *runner) {
	run.meter.mu.Lock()
	r.PeakMB = run.meter.peakMB
	run.meter.mu.Unlock()
	counts := &r.Counts
	if counts.JobsPerDay > 0 {
		r.Compressed = counts.jobsPerS() / (counts.JobsPerDay / daySeconds)
	}
	if lag := r.Steady.Times[latencyGeneratorLag]; lag.P99 > run.spec.Limits.LateMs {
		r.invalidate("the generator fell behind: p99 %.0f ms late, of %.0f at most", lag.P99, run.spec.Limits.LateMs)
	}
	if n := r.Steady.GivenUp + r.Disrupted.GivenUp; n > 0 {
		r.invalidate("%d submissions were given up", n)
	}
	if len(r.Running) > 0 && float64(slices.Min(r.Running)) < runningShare*float64(counts.TasksRunning) {
		r.invalidate("only %d of %d tasks ran at some time", slices.Min(r.Running), counts.TasksRunning)
	}
}

// jobsPerS returns the rate at which the generator submits jobs in the steady part.
func (c *Counts) jobsPerS() float64 {
	rate := 0.0
	if c.StartsPerS > 0 {
		rate += 1 / batchInterval.Seconds()
	}
	if c.UrgentTasks > 0 {
		rate += 1 / c.UrgentEveryS
	}
	if c.GangSize > 0 {
		rate += 1 / c.GangEveryS
	}
	return rate
}

// Role returns a role's figures, zero ones if it was not there.
func (r *Report) Role(name string) Role {
	for _, role := range r.Roles {
		if role.Name == name {
			return role
		}
	}
	return Role{}
}

// JSON writes the report.
func (r *Report) JSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", " ")
	return e.Encode(r)
}

// Text writes the report for people.
func (r *Report) Text(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "%d workers (%v), %d to %d tasks running, %.0f starts/s, %d teams; %d processes, %.0f MB at the peak of %.0f, processors %.0f %% busy\n",
		r.Workers, r.Types, minOrZero(r.Running), maxOrZero(r.Running), r.StartsPerS, r.Counts.Teams, r.Processes, r.PeakMB, r.Host.MemoryMB, 100*r.Host.Busy)
	if r.Compressed > 0 {
		fmt.Fprintf(table, "jobs come %.1f times as fast as on the day that this stands for\n", r.Compressed)
	}
	fmt.Fprintln(table, "\nrole\tcores\tpeak\tMB\tread KB/s\twritten KB/s\tsockets\tgoroutines")
	for _, role := range r.Roles {
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%d\t%d\n", role.Name, role.CPU, role.CPUPeak, role.ResidentMB, role.ReadBS/1e3, role.WrittenBS/1e3, role.Sockets, role.Goroutines)
	}
	fmt.Fprintf(table, "\nstate service: %.1f requests/s, %.1f changes/s, %.2f conflicts/s, %.2f refused/s, %d keys, %d bytes; cloud %.2f requests/s\n",
		r.State.All, r.State.Changes, r.State.Conflicts, r.State.Refused, r.State.Keys, r.State.KeyBytes, r.State.Cloud)
	fmt.Fprintf(table, "a worker: %.0f bytes/s (p50), %.0f (p99), %.0f (most over 10 s); reports/s %s; encoding and decoding %.5f of a core\n",
		r.Worker.P50BS, r.Worker.P99BS, r.Worker.Peak10S, rates(r.Worker.Reports), r.Worker.CodecCore)
	r.Steady.text(table, "steady")
	if len(r.Events) > 0 {
		fmt.Fprintf(table, "\n%s\n", strings.Join(r.Events, "\n"))
		r.Disrupted.text(table, "troubled")
	}
	if c := r.Config; c != nil {
		fmt.Fprintf(table, "\nconfiguration: %d changes, %d in force everywhere, %d failed, %d not in force in time; %d batches decided anew\n", c.Applied, c.InForce, c.Failed, c.Late, c.Refused)
	}
	for _, role := range r.InvalidReasons {
		fmt.Fprintf(table, "not counted: %s\n", role)
	}
	return table.Flush()
}

// text writes the counts and latencies of a part of the run.
func (g *LoadResult) text(out io.Writer, part string) {
	fmt.Fprintf(out, "\n%s: %d accepted, %d repeated attempts, %d given up\ntime\tn\tp50 ms\tp99 ms\tmost ms\n", part, g.Accepted, g.Retries, g.GivenUp)
	names := make([]string, 0, len(g.Times))
	for name := range g.Times {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		x := g.Times[name]
		fmt.Fprintf(out, "%s\t%d\t%.1f\t%.1f\t%.1f\n", name, x.Count, x.P50, x.P99, x.Max)
	}
}

// rates formats rates by cause, in alphabetical order.
func rates(of map[string]float64) string {
	var out []string
	for cause, n := range of {
		out = append(out, fmt.Sprintf("%s %.3f", cause, n))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// minOrZero returns the smallest value, 0 if there is none.
func minOrZero(v []int) int {
	if len(v) == 0 {
		return 0
	}
	return slices.Min(v)
}

// maxOrZero returns the largest value, 0 if there is none.
func maxOrZero(v []int) int {
	if len(v) == 0 {
		return 0
	}
	return slices.Max(v)
}
