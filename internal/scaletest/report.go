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

// Report holds the measurements of a run.
type Report struct {
	Counts         Counts           `json:"counts"`
	JobRateRatio   float64          `json:"compressed"` // submission rate divided by that of Counts.JobsPerDay; 0 without JobsPerDay
	Host           Host             `json:"host"`
	Ramp           RampResult       `json:"ramp"`
	Workers        int              `json:"workers"`
	WorkersByType  map[string]int   `json:"workers_by_type"`
	RunningTasks   []int            `json:"running"` // number of running tasks at each second of the steady part
	StartsPerS     float64          `json:"starts_per_s"`
	Roles          []RoleUsage      `json:"roles"`
	State          StateServiceLoad `json:"state_service"`
	Worker         WorkerTraffic    `json:"worker"`
	Steady         LoadResult       `json:"steady"`
	Disrupted      LoadResult       `json:"troubled"`
	Events         []string         `json:"events"` // descriptions of the injected events
	Config         *ConfigResult    `json:"config,omitempty"`
	PeakMB         float64          `json:"peak_mb"` // highest total of the resident memory of all processes
	Processes      int              `json:"processes"`
	Violations     []string         `json:"broken_rules"`
	Malformed      []string         `json:"malformed_transactions"`
	InvalidReasons []string         `json:"not_counted"`
}

// RampResult holds the duration of the ramp, which ends when all resident tasks run, and the numbers of
// running tasks and workers at its end.
type RampResult struct {
	Seconds      float64 `json:"seconds"`
	RunningTasks int     `json:"running"`
	Workers      int     `json:"workers"`
}

// LoadResult holds the measurements of the generator in one part of the run.
type LoadResult struct {
	Accepted  int                       `json:"accepted"`
	Retries   int                       `json:"again"`    // number of repeated attempts to submit a job
	GivenUp   int                       `json:"given_up"` // number of submissions that timed out or were rejected as invalid
	Latencies map[string]LatencySummary `json:"times"`    // by histogram name
}

// LatencySummary holds quantiles of a latency in milliseconds.
type LatencySummary struct {
	Count int64   `json:"n"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"most_ms"`
}

// newReport returns the report of a run that has not started.
func newReport(spec *Spec) *Report {
	return &Report{Counts: spec.Counts, Host: Host{Cores: runtime.NumCPU()}, Processes: spec.Counts.Controllers + 1}
}

// invalidate adds a reason why the measurements of the run are invalid.
func (r *Report) invalidate(format string, args ...any) {
	r.InvalidReasons = append(r.InvalidReasons, fmt.Sprintf(format, args...))
}

// summary returns the measurements of the generator since the last reset.
func (g *generator) summary() LoadResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	result := LoadResult{Accepted: g.accepted, Retries: g.retries, GivenUp: g.givenUp, Latencies: map[string]LatencySummary{}}
	for name, histogram := range g.histograms {
		quantileMs := func(q float64) float64 { return float64(histogram.ValueAtQuantile(q)) / 1e3 }
		result.Latencies[name] = LatencySummary{histogram.TotalCount(), quantileMs(50), quantileMs(99), float64(histogram.Max()) / 1e3}
	}
	return result
}

const daySeconds = 24 * 60 * 60

// runningShare is the share of Counts.TasksRunning that must run throughout the steady part for a run to be
// valid.
const runningShare = 0.95

// finish completes the report at the end of the run and adds the reasons, if any, why the run is invalid.
func (r *Report) finish(run *runner) {
	run.sampler.mu.Lock()
	r.PeakMB = run.sampler.peakMB
	run.sampler.mu.Unlock()
	counts := &r.Counts
	if counts.JobsPerDay > 0 {
		r.JobRateRatio = counts.jobsPerS() / (counts.JobsPerDay / daySeconds)
	}
	if lag := r.Steady.Latencies[latencyGeneratorLag]; lag.P99 > run.spec.Limits.MaxLagMs {
		r.invalidate("the generator fell behind: p99 %.0f ms late, of %.0f at most", lag.P99, run.spec.Limits.MaxLagMs)
	}
	if n := r.Steady.GivenUp + r.Disrupted.GivenUp; n > 0 {
		r.invalidate("%d submissions were given up", n)
	}
	if len(r.RunningTasks) > 0 && float64(slices.Min(r.RunningTasks)) < runningShare*float64(counts.TasksRunning) {
		r.invalidate("only %d of %d tasks ran at some time", slices.Min(r.RunningTasks), counts.TasksRunning)
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

// Role returns the usage of the named role, or the zero value if no process had it.
func (r *Report) Role(name string) RoleUsage {
	for _, role := range r.Roles {
		if role.Name == name {
			return role
		}
	}
	return RoleUsage{}
}

// JSON writes the report as indented JSON.
func (r *Report) JSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// Text writes the report as human-readable text.
func (r *Report) Text(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "%d workers (%v), %d to %d tasks running, %.0f starts/s, %d teams; %d processes, %.0f MB at the peak of %.0f, processors %.0f %% busy\n",
		r.Workers, r.WorkersByType, minOrZero(r.RunningTasks), maxOrZero(r.RunningTasks), r.StartsPerS, r.Counts.Teams, r.Processes, r.PeakMB, r.Host.MemoryMB, 100*r.Host.Utilization)
	if r.JobRateRatio > 0 {
		fmt.Fprintf(table, "jobs come %.1f times as fast as on the day that this stands for\n", r.JobRateRatio)
	}
	fmt.Fprintln(table, "\nrole\tcores\tpeak\tMB\tread KB/s\twritten KB/s\tsockets\tgoroutines")
	for _, role := range r.Roles {
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%d\t%d\n", role.Name, role.Cores, role.PeakCores, role.ResidentMB, role.ReadBytesPerS/1e3, role.WrittenBytesPerS/1e3, role.Sockets, role.Goroutines)
	}
	fmt.Fprintf(table, "\nstate service: %.1f requests/s, %.1f changes/s, %.2f conflicts/s, %.2f refused/s, %d keys, %d bytes; cloud %.2f requests/s\n",
		r.State.TotalRequests, r.State.Changes, r.State.Conflicts, r.State.Refused, r.State.Keys, r.State.KeyBytes, r.State.CloudRequests)
	fmt.Fprintf(table, "a worker: %.0f bytes/s (p50), %.0f (p99), %.0f (most over 10 s); reports/s %s; encoding and decoding %.5f of a core\n",
		r.Worker.P50BytesPerS, r.Worker.P99BytesPerS, r.Worker.PeakBytesPerS, formatRates(r.Worker.Heartbeats), r.Worker.CodecCores)
	r.Steady.text(table, "steady")
	if len(r.Events) > 0 {
		fmt.Fprintf(table, "\n%s\n", strings.Join(r.Events, "\n"))
		r.Disrupted.text(table, "troubled")
	}
	if c := r.Config; c != nil {
		fmt.Fprintf(table, "\nconfiguration: %d changes, %d in force everywhere, %d failed, %d not in force in time; %d batches decided anew\n", c.Applied, c.InForce, c.Failed, c.Late, c.RejectedBatches)
	}
	for _, reason := range r.InvalidReasons {
		fmt.Fprintf(table, "not counted: %s\n", reason)
	}
	return table.Flush()
}

// text writes the counts and latencies of a part of the run.
func (r *LoadResult) text(out io.Writer, part string) {
	fmt.Fprintf(out, "\n%s: %d accepted, %d repeated attempts, %d given up\ntime\tn\tp50 ms\tp99 ms\tmost ms\n", part, r.Accepted, r.Retries, r.GivenUp)
	names := make([]string, 0, len(r.Latencies))
	for name := range r.Latencies {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		latencies := r.Latencies[name]
		fmt.Fprintf(out, "%s\t%d\t%.1f\t%.1f\t%.1f\n", name, latencies.Count, latencies.P50, latencies.P99, latencies.Max)
	}
}

// formatRates formats rates by cause, in alphabetical order.
func formatRates(perCause map[string]float64) string {
	var out []string
	for cause, rate := range perCause {
		out = append(out, fmt.Sprintf("%s %.3f", cause, rate))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// minOrZero returns the smallest value, or 0 if there is none.
func minOrZero(v []int) int {
	if len(v) == 0 {
		return 0
	}
	return slices.Min(v)
}

// maxOrZero returns the largest value, or 0 if there is none.
func maxOrZero(v []int) int {
	if len(v) == 0 {
		return 0
	}
	return slices.Max(v)
}
