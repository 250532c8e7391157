package scaletest

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"dalefront/wire"
)

// Report is what a run measured.
type Report struct {
	Counts     Counts         `json:"counts"`
	Compressed float64        `json:"compressed"` // jobs in a second, over those of the day that the run stands for; 0 without such a day
	Host       Host           `json:"host"`
	Ramp       RampResult     `json:"ramp"`
	Workers    int            `json:"workers"`
	Types      map[string]int `json:"workers_by_type"`
	Running    []int          `json:"running"` // tasks, at each second of the steady part
	StartsPerS float64        `json:"starts_per_s"`
	Roles      []Role         `json:"roles"`
	State      StateCost      `json:"state_service"`
	Worker     WorkerCost     `json:"worker"`
	Steady     Generated      `json:"steady"`
	Troubled   Generated      `json:"troubled"`
	Events     []string       `json:"events"`
	Config     *ConfigResult  `json:"config,omitempty"`
	PeakMB     float64        `json:"peak_mb"` // all processes together
	Processes  int            `json:"processes"`
	Broken     []string       `json:"broken_rules"`
	Malformed  []string       `json:"malformed_transactions"`
	NotCounted []string       `json:"not_counted"`
}

// RampResult is how the workers were filled.
type RampResult struct {
	Seconds float64 `json:"seconds"`
	Running int     `json:"running"`
	Workers int     `json:"workers"`
}

// Generated is what the generator saw in a part of the run.
type Generated struct {
	Accepted int              `json:"accepted"`
	Again    int              `json:"again"`    // attempts that were repeated
	GivenUp  int              `json:"given_up"` // after a minute, or refused for good
	Times    map[string]Times `json:"times"`
}

// Times are quantiles in milliseconds.
type Times struct {
	N    int64   `json:"n"`
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	Most float64 `json:"most_ms"`
}

func newReport(spec *Spec) *Report {
	return &Report{Counts: spec.Counts, Host: Host{Cores: runtime.NumCPU()}, Processes: spec.Counts.Controllers + 1}
}

func (r *Report) notCounted(format string, args ...any) {
	r.NotCounted = append(r.NotCounted, fmt.Sprintf(format, args...))
}

// summary returns what the generator saw since it last forgot.
func (g *generator) summary() Generated {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := Generated{Accepted: g.accepted, Again: g.again, GivenUp: g.gaveUp, Times: map[string]Times{}}
	for name, h := range g.times {
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e3 }
		out.Times[name] = Times{h.TotalCount(), ms(50), ms(99), float64(h.Max()) / 1e3}
	}
	return out
}

const daySeconds = 24 * 60 * 60

// runningShare is the least share of the tasks that are to run that must do so throughout.
const runningShare = 0.95

// finish takes what is known at the end, and judges whether the run counts.
func (r *Report) finish(of *runner) {
	of.meter.mu.Lock()
	r.PeakMB = of.meter.peakMB
	of.meter.mu.Unlock()
	c := &r.Counts
	if c.JobsPerDay > 0 {
		perS := 0.0
		if c.StartsPerS > 0 {
			perS += 1 / batchEvery.Seconds()
		}
		if c.UrgentTasks > 0 {
			perS += 1 / c.UrgentEveryS
		}
		if c.GangSize > 0 {
			perS += 1 / c.GangEveryS
		}
		r.Compressed = perS / (c.JobsPerDay / daySeconds)
	}
	if late := r.Steady.Times[timeLate]; late.P99 > of.spec.Limits.LateMs {
		r.notCounted("the generator fell behind: p99 %.0f ms late, of %.0f at most", late.P99, of.spec.Limits.LateMs)
	}
	if n := r.Steady.GivenUp + r.Troubled.GivenUp; n > 0 {
		r.notCounted("%d submissions were given up", n)
	}
	if len(r.Running) > 0 && float64(slices.Min(r.Running)) < runningShare*float64(c.TasksRunning) {
		r.notCounted("only %d of %d tasks ran at some time", slices.Min(r.Running), c.TasksRunning)
	}
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
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "%d workers (%v), %d to %d tasks running, %.0f starts/s, %d teams; %d processes, %.0f MB at the peak of %.0f, processors %.0f %% busy\n",
		r.Workers, r.Types, least(r.Running), most(r.Running), r.StartsPerS, r.Counts.Teams, r.Processes, r.PeakMB, r.Host.MemoryMB, 100*r.Host.Busy)
	if r.Compressed > 0 {
		fmt.Fprintf(t, "jobs come %.1f times as fast as on the day that this stands for\n", r.Compressed)
	}
	fmt.Fprintln(t, "\nrole\tcores\tpeak\tMB\tread KB/s\twritten KB/s\tsockets\tgoroutines")
	for _, x := range r.Roles {
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%d\t%d\n", x.Name, x.CPU, x.CPUPeak, x.ResidentMB, x.ReadBS/1e3, x.WrittenBS/1e3, x.Sockets, x.Goroutines)
	}
	fmt.Fprintf(t, "\nstate service: %.1f requests/s, %.1f changes/s, %.2f conflicts/s, %.2f refused/s, %d keys, %d bytes; cloud %.2f requests/s\n",
		r.State.All, r.State.Changes, r.State.Conflicts, r.State.Refused, r.State.Keys, r.State.KeyBytes, r.State.Cloud)
	fmt.Fprintf(t, "a worker: %.0f bytes/s (p50), %.0f (p99), %.0f (most over 10 s); reports/s %s; encoding and decoding %.5f of a core\n",
		r.Worker.P50BS, r.Worker.P99BS, r.Worker.Most10S, rates(r.Worker.Reports), r.Worker.CodecCore)
	r.Steady.text(t, "steady")
	if len(r.Events) > 0 {
		fmt.Fprintf(t, "\n%s\n", strings.Join(r.Events, "\n"))
		r.Troubled.text(t, "troubled")
	}
	if c := r.Config; c != nil {
		fmt.Fprintf(t, "\nconfiguration: %d changes, %d in force everywhere, %d failed, %d not in force in time; %d batches decided anew\n", c.Applied, c.InForce, c.Failed, c.Late, c.Refused)
	}
	for _, x := range r.NotCounted {
		fmt.Fprintf(t, "not counted: %s\n", x)
	}
	return t.Flush()
}

func (g *Generated) text(out io.Writer, part string) {
	fmt.Fprintf(out, "\n%s: %d accepted, %d repeated attempts, %d given up\ntime\tn\tp50 ms\tp99 ms\tmost ms\n", part, g.Accepted, g.Again, g.GivenUp)
	names := make([]string, 0, len(g.Times))
	for name := range g.Times {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		x := g.Times[name]
		fmt.Fprintf(out, "%s\t%d\t%.1f\t%.1f\t%.1f\n", name, x.N, x.P50, x.P99, x.Most)
	}
}

func rates(of map[string]float64) string {
	var out []string
	for cause, n := range of {
		out = append(out, fmt.Sprintf("%s %.3f", cause, n))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

func least(v []int) int {
	if len(v) == 0 {
		return 0
	}
	return slices.Min(v)
}

func most(v []int) int {
	if len(v) == 0 {
		return 0
	}
	return slices.Max(v)
}

// codecTime is how long it takes to encode a report with so many tasks and to decode an
// answer with one launch and one clear.
func codecTime(tasks int) time.Duration {
	r := wire.Heartbeat{Host: "n-000001", Addr: "127.0.0.1:30000", Type: plainType, Zone: "zone-a", Incarnation: 1, Sequence: 1000, FencingToken: 100_000}
	for i := range tasks {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: wire.TaskName("j-17646000000000001", int32(i)), Attempt: 1 << 40, State: wire.TaskRunning})
	}
	answer, _ := wire.Marshal(wire.HeartbeatResponse{FencingToken: 100_000, Commands: []wire.Command{
		{Op: wire.Launch, Task: "j-17646000000000001/1", Attempt: 1 << 40}, {Op: wire.Clear, Task: "j-17646000000000001/2", Attempt: 1 << 40}}})
	const rounds = 2000
	begun := time.Now()
	for range rounds {
		_, _ = wire.Marshal(r)
		var a wire.HeartbeatResponse
		_ = wire.Unmarshal(answer, &a)
	}
	return time.Since(begun) / rounds
}
