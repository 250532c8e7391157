// Package scaletest runs a whole site at a given size on one machine, in real time: real
// controllers as processes, workers whose messages are real and whose work is not, and an
// open-loop generator. It measures what each role costs and how long users wait, and fits
// the cost of one more worker, task, start and so on.
package scaletest

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"slices"

	"github.com/hashicorp/hcl/v2"

	"dalefront/internal/emulator"
	"dalefront/internal/hclfile"
)

// Spec is a scale run as its file describes it. Durations are seconds.
type Spec struct {
	Counts  Counts                `hcl:"counts,block"`
	RampS   float64               `hcl:"ramp_s,optional"`    // at most, until the resident tasks run; 180
	SteadyS float64               `hcl:"steady_s,optional"`  // without troubles: what roles cost is measured here; 60
	Trouble float64               `hcl:"trouble_s,optional"` // in which the events fall; 0
	SweepS  float64               `hcl:"sweep_s,optional"`   // the steady part of each point of a sweep; 20
	TaskS   float64               `hcl:"task_s,optional"`    // mean run time of the tasks that come and go; 5
	Limits  *SpecLimits           `hcl:"limits,block"`
	Events  []Event               `hcl:"event,block"`
	Sweeps  []Sweep               `hcl:"sweep,block"` // used with --sweep
	Workers *emulator.SpecWorkers `hcl:"workers,block"`
	State   *emulator.SpecState   `hcl:"state,block"`
	Cloud   *emulator.SpecCloud   `hcl:"cloud,block"`
	Seed    uint64                `hcl:"seed,optional"`
	Sockets int                   `hcl:"sockets,optional"` // of a controller; 800
}

// Counts is the size of a run. Each can be varied by a sweep.
type Counts struct {
	Controllers  int     `hcl:"controllers,optional"`
	Zones        int     `hcl:"zones,optional"`
	Workers      int     `hcl:"workers"`
	Accelerators int     `hcl:"accelerators,optional"` // on a part of the workers, four each
	TasksRunning int     `hcl:"tasks_running"`         // those that come and go included
	StartsPerS   float64 `hcl:"starts_per_s"`
	Teams        int     `hcl:"teams,optional"`
	JobsPerDay   float64 `hcl:"jobs_per_day,optional"`   // of the size that the run stands for; only reported
	JobsWaiting  int     `hcl:"jobs_waiting,optional"`   // jobs that are known and never have room
	GangSize     int     `hcl:"gang_size,optional"`      // 0: no gangs
	GangEveryS   float64 `hcl:"gang_every_s,optional"`   // 20
	UrgentTasks  int     `hcl:"urgent_tasks,optional"`   // of an urgent job; 0: none
	UrgentEveryS float64 `hcl:"urgent_every_s,optional"` // 5
	ConfigPerS   float64 `hcl:"config_per_s,optional"`   // changes of configuration
}

// SpecLimits bounds what a run may take of the machine. A run that passes one ends.
type SpecLimits struct {
	MemoryShare float64 `hcl:"memory_share,optional"` // of the machine's memory, all processes together; 0.5
	Processes   int     `hcl:"processes,optional"`    // 300
	LateMs      float64 `hcl:"late_ms,optional"`      // 99 of 100 submissions are sent at most so late, or the run does not count; 250
}

// Event is a trouble at a moment after the steady part has ended: "kill" of the leader,
// "rack" (count machines of one zone die at once), "restart" (count workers, one after the
// other over for_s) or "cut" of a zone for for_s.
type Event struct {
	Kind  string    `hcl:"kind,label"`
	AtS   float64   `hcl:"at_s"`
	ForS  float64   `hcl:"for_s,optional"`
	Count int       `hcl:"count,optional"`
	Range hcl.Range `hcl:",def_range"`
}

// Sweep varies one count while the others stay as they are.
type Sweep struct {
	Count  string    `hcl:"count,label"`
	Values []float64 `hcl:"values"`
	Range  hcl.Range `hcl:",def_range"`
}

// Event kinds.
const (
	EventKill    = "kill"
	EventRack    = "rack"
	EventRestart = "restart"
	EventCut     = "cut"
)

// Load reads a scale run's file. Its error is one line with the file, line and column.
func Load(path string) (*Spec, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path)
}

// Parse reads a scale run from text; the name is for errors.
func Parse(text []byte, name string) (*Spec, error) {
	s := &Spec{}
	if err := hclfile.Decode(text, name, s); err != nil {
		return nil, err
	}
	s.defaults()
	return s, s.check(hcl.Range{Filename: name, Start: hcl.InitialPos})
}

func (s *Spec) defaults() {
	c := &s.Counts
	c.Controllers, c.Zones, c.Teams = cmp.Or(c.Controllers, 6), cmp.Or(c.Zones, 5), cmp.Or(c.Teams, 4)
	c.GangEveryS, c.UrgentEveryS = cmp.Or(c.GangEveryS, 20), cmp.Or(c.UrgentEveryS, 5)
	s.RampS, s.SteadyS, s.SweepS = cmp.Or(s.RampS, 180), cmp.Or(s.SteadyS, 60), cmp.Or(s.SweepS, 20)
	s.TaskS, s.Seed = cmp.Or(s.TaskS, 5), cmp.Or(s.Seed, 1)
	s.Sockets = cmp.Or(s.Sockets, 800)
	if s.Limits == nil {
		s.Limits = &SpecLimits{}
	}
	l := s.Limits
	*l = SpecLimits{cmp.Or(l.MemoryShare, 0.5), cmp.Or(l.Processes, 300), cmp.Or(l.LateMs, 250)}
}

// What a run may be asked for at most.
const (
	maxControllers = 9
	maxZones       = 26
	maxWorkers     = 20_000
	maxTeams       = 1_000
)

func (s *Spec) check(at hcl.Range) error {
	c := &s.Counts
	switch {
	case c.Controllers < 1 || c.Controllers > maxControllers || c.Zones < 1 || c.Zones > maxZones:
		return hclfile.At(at, "counts: controllers must be from 1 to 9, zones from 1 to 26")
	case c.Workers < 1 || c.Workers > maxWorkers || c.TasksRunning < 1 || c.Teams < 1 || c.Teams > maxTeams:
		return hclfile.At(at, "counts: workers must be from 1 to 20000, tasks_running at least 1, teams from 1 to 1000")
	case !(c.StartsPerS >= 0) || c.StartsPerS*s.TaskS > float64(c.TasksRunning):
		return hclfile.At(at, "counts: starts_per_s times task_s must not be above tasks_running")
	case c.Accelerators > acceleratorsEach*c.Workers:
		return hclfile.At(at, "counts: more than %d accelerators a worker", acceleratorsEach)
	case s.Limits.MemoryShare <= 0 || s.Limits.MemoryShare > 0.5:
		return hclfile.At(at, "limits: memory_share must be above 0 and at most 0.5")
	}
	for _, e := range s.Events {
		if !slices.Contains([]string{EventKill, EventRack, EventRestart, EventCut}, e.Kind) {
			return hclfile.At(e.Range, "event %q is not one of kill, rack, restart, cut", e.Kind)
		}
		if !(e.AtS >= 0 && e.AtS <= s.Trouble) {
			return hclfile.At(e.Range, "event %s: at_s must be from 0 to trouble_s", e.Kind)
		}
	}
	for _, w := range s.Sweeps {
		if _, err := s.with(w.Count, 1); err != nil {
			return hclfile.At(w.Range, "%v", err)
		}
		if len(w.Values) < 4 {
			return hclfile.At(w.Range, "sweep %s: at least four values", w.Count)
		}
	}
	return nil
}

// with returns the run with one count changed, for a sweep: without troubles.
func (s *Spec) with(count string, value float64) (*Spec, error) {
	out := *s
	out.Events, out.Trouble, out.SteadyS = nil, 0, s.SweepS
	c := &out.Counts
	whole := int(math.Round(value))
	switch count {
	case "workers":
		c.Accelerators = c.Accelerators * whole / c.Workers
		c.Workers = whole
	case "tasks_running":
		c.TasksRunning = whole
	case "starts_per_s":
		c.StartsPerS = value
	case "teams":
		c.Teams = whole
	case "jobs_waiting":
		c.JobsWaiting = whole
	case "gang_size":
		c.GangSize = whole
	case "config_per_s":
		c.ConfigPerS = value
	default:
		return nil, fmt.Errorf("%q is not a count that can be varied", count)
	}
	return &out, nil
}

const acceleratorsEach = 4 // of a worker that has any

// Machine types of a run.
const (
	plainType = "plain"
	accelType = "accel"
)

// site is the site that the run needs: workers just large enough for the running tasks, of
// one core each, and a little more.
func (s *Spec) site() emulator.Spec {
	c := &s.Counts
	out := emulator.Spec{Controllers: c.Controllers, Machines: c.Workers, Seed: s.Seed, Sockets: s.Sockets, Workers: s.Workers, State: s.State, Cloud: s.Cloud}
	for i := range c.Zones {
		out.Zones = append(out.Zones, "zone-"+string(rune('a'+i)))
	}
	cores := s.coresEach()
	memory := 2 * cores
	out.Types = append(out.Types, emulator.SpecMachine{Name: plainType, CPUs: cores, MemoryGB: memory, Price: 1, BootS: 1})
	if c.Accelerators > 0 {
		out.Types = append(out.Types, emulator.SpecMachine{Name: accelType, CPUs: cores, GPUs: acceleratorsEach, MemoryGB: memory, Price: 4, BootS: 1})
	}
	share := float64(c.TasksRunning) / float64(c.Teams)
	for i := range c.Teams {
		out.Teams = append(out.Teams, emulator.SpecTeam{Name: teamName(i), CPUs: math.Floor(0.8 * share), CPUsMax: math.Ceil(3*share) + 64})
	}
	return out
}

// spareRoom is how much larger the workers are together than the running tasks, if whole
// cores allow it.
const spareRoom = 1.01

// coresEach is the size of a worker.
func (s *Spec) coresEach() float64 {
	each := float64(s.Counts.TasksRunning) / float64(s.Counts.Workers)
	return max(math.Ceil(each), math.Floor(spareRoom*each))
}

// acceleratorShare is what a task takes of accelerators so that a worker has some for each of
// its cores, in hundredths.
func (s *Spec) acceleratorShare() float64 {
	return math.Floor(100*acceleratorsEach/s.coresEach()) / 100
}

func teamName(i int) string { return fmt.Sprintf("team-%02d", i+1) }
