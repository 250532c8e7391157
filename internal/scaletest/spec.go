// Package scaletest runs a whole site of a given size on one machine, in real time. The controllers are real
// processes, the workers exchange real messages but emulate the execution of tasks, and an open-loop
// generator submits jobs. The package measures the resource usage of each role and the latencies that users
// see. Sweeps estimate by linear regression how the usage grows with the number of workers, tasks, task
// starts and so on.
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

// Spec is the specification of a scale run, as read from its file. Resource usage is measured in the steady
// part. Durations are in seconds. A number at the end of a comment is the default.
type Spec struct {
	Counts        Counts                `hcl:"counts,block"`
	RampTimeoutS  float64               `hcl:"ramp_s,optional"`    // maximum time until all resident tasks run; 180
	SteadyS       float64               `hcl:"steady_s,optional"`  // length of the steady part, which has no events; 60
	DisruptionS   float64               `hcl:"trouble_s,optional"` // length of the part with events, which follows; 0
	SweepSteadyS  float64               `hcl:"sweep_s,optional"`   // length of the steady part of each run of a sweep; 20
	TaskDurationS float64               `hcl:"task_s,optional"`    // mean run time of batch, urgent and gang tasks; 5
	Limits        *SpecLimits           `hcl:"limits,block"`
	Events        []Event               `hcl:"event,block"`
	Sweeps        []Sweep               `hcl:"sweep,block"` // these run only with --sweep
	Workers       *emulator.SpecWorkers `hcl:"workers,block"`
	State         *emulator.SpecState   `hcl:"state,block"`
	Cloud         *emulator.SpecCloud   `hcl:"cloud,block"`
	Seed          uint64                `hcl:"seed,optional"`
	Sockets       int                   `hcl:"sockets,optional"` // maximum number of sockets of a controller; 800
}

// Counts is the size of a run. withCount lists the counts that a sweep can vary.
type Counts struct {
	Controllers  int     `hcl:"controllers,optional"`
	Zones        int     `hcl:"zones,optional"`
	Workers      int     `hcl:"workers"`
	Accelerators int     `hcl:"accelerators,optional"` // accelerators in the whole site; a worker has four or none
	TasksRunning int     `hcl:"tasks_running"`         // number of running resident and batch tasks
	StartsPerS   float64 `hcl:"starts_per_s"`          // starts of batch tasks per second
	Teams        int     `hcl:"teams,optional"`
	JobsPerDay   float64 `hcl:"jobs_per_day,optional"`   // jobs per day of the site that the run represents; only for the report
	JobsWaiting  int     `hcl:"jobs_waiting,optional"`   // backlog jobs, which never fit
	GangSize     int     `hcl:"gang_size,optional"`      // number of tasks of a gang; 0 for no gangs
	GangEveryS   float64 `hcl:"gang_every_s,optional"`   // time between two gangs; 20
	UrgentTasks  int     `hcl:"urgent_tasks,optional"`   // number of tasks of an urgent job; 0 for no urgent jobs
	UrgentEveryS float64 `hcl:"urgent_every_s,optional"` // time between two urgent jobs; 5
	ConfigPerS   float64 `hcl:"config_per_s,optional"`   // configuration changes per second
}

// SpecLimits bounds the resources of the machine that a run may use. A run that exceeds MaxMemoryShare or
// MaxProcesses is cancelled. A run that exceeds MaxLagMs is invalid.
type SpecLimits struct {
	MaxMemoryShare float64 `hcl:"memory_share,optional"` // of the machine's memory, for all processes together; 0.5
	MaxProcesses   int     `hcl:"processes,optional"`    // controllers and this process; 300
	MaxLagMs       float64 `hcl:"late_ms,optional"`      // maximum delay, in ms, within which 99 of 100 submissions are sent; 250
}

// Event is a disruption at a given time after the end of the steady part. The kinds are:
//   - "kill": the leader is killed and restarts after DurationS.
//   - "rack": as many machines of one zone as Count says fail at once.
//   - "restart": as many workers as Count says restart one after the other, spread over DurationS.
//   - "cut": one zone is partitioned from the network for DurationS.
type Event struct {
	Kind      string    `hcl:"kind,label"`
	AtS       float64   `hcl:"at_s"`
	DurationS float64   `hcl:"for_s,optional"`
	Count     int       `hcl:"count,optional"`
	Range     hcl.Range `hcl:",def_range"`
}

// Sweep repeats the run with different values of one count, while the other counts stay the same.
type Sweep struct {
	Count  string    `hcl:"count,label"`
	Values []float64 `hcl:"values"`
	Range  hcl.Range `hcl:",def_range"`
}

// Kinds of events.
const (
	EventKillLeader     = "kill"
	EventRackFailure    = "rack"
	EventRestartWorkers = "restart"
	EventZonePartition  = "cut"
)

// Load reads the specification of a scale run from a file. An error in the file is reported in one line with
// the file, line and column.
func Load(path string) (*Spec, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path)
}

// Parse reads the specification of a scale run from text. Errors give the parameter name as the file
// name.
func Parse(text []byte, name string) (*Spec, error) {
	spec := &Spec{}
	if err := hclfile.Decode(text, name, spec); err != nil {
		return nil, err
	}
	spec.setDefaults()
	return spec, spec.validate(hcl.Range{Filename: name, Start: hcl.InitialPos})
}

// Defaults of optional fields.
const (
	defaultControllers    = 6
	defaultZones          = 5
	defaultTeams          = 4
	defaultGangEveryS     = 20
	defaultUrgentEveryS   = 5
	defaultRampTimeoutS   = 180
	defaultSteadyS        = 60
	defaultSweepSteadyS   = 20
	defaultTaskDurationS  = 5
	defaultSeed           = 1
	defaultSockets        = 800
	defaultMaxMemoryShare = 0.5
	defaultMaxProcesses   = 300
	defaultMaxLagMs       = 250
)

// setDefaults sets the fields that the file leaves out to their defaults.
func (s *Spec) setDefaults() {
	counts := &s.Counts
	counts.Controllers = cmp.Or(counts.Controllers, defaultControllers)
	counts.Zones = cmp.Or(counts.Zones, defaultZones)
	counts.Teams = cmp.Or(counts.Teams, defaultTeams)
	counts.GangEveryS = cmp.Or(counts.GangEveryS, defaultGangEveryS)
	counts.UrgentEveryS = cmp.Or(counts.UrgentEveryS, defaultUrgentEveryS)
	s.RampTimeoutS = cmp.Or(s.RampTimeoutS, defaultRampTimeoutS)
	s.SteadyS = cmp.Or(s.SteadyS, defaultSteadyS)
	s.SweepSteadyS = cmp.Or(s.SweepSteadyS, defaultSweepSteadyS)
	s.TaskDurationS = cmp.Or(s.TaskDurationS, defaultTaskDurationS)
	s.Seed = cmp.Or(s.Seed, defaultSeed)
	s.Sockets = cmp.Or(s.Sockets, defaultSockets)
	if s.Limits == nil {
		s.Limits = &SpecLimits{}
	}
	limits := s.Limits
	limits.MaxMemoryShare = cmp.Or(limits.MaxMemoryShare, defaultMaxMemoryShare)
	limits.MaxProcesses = cmp.Or(limits.MaxProcesses, defaultMaxProcesses)
	limits.MaxLagMs = cmp.Or(limits.MaxLagMs, defaultMaxLagMs)
}

// Maximum counts of a run.
const (
	maxControllers = 9
	maxZones       = 26
	maxWorkers     = 20_000
	maxTeams       = 1_000
)

// validate checks a specification whose defaults are set. Its error contains the position in the file.
func (s *Spec) validate(at hcl.Range) error {
	counts := &s.Counts
	switch {
	case counts.Controllers < 1 || counts.Controllers > maxControllers || counts.Zones < 1 || counts.Zones > maxZones:
		return hclfile.Errorf(at, "counts: controllers must be from 1 to 9, zones from 1 to 26")
	case counts.Workers < 1 || counts.Workers > maxWorkers || counts.TasksRunning < 1 || counts.Teams < 1 || counts.Teams > maxTeams:
		return hclfile.Errorf(at, "counts: workers must be from 1 to 20000, tasks_running at least 1, teams from 1 to 1000")
	case !(counts.StartsPerS >= 0) || counts.StartsPerS*s.TaskDurationS > float64(counts.TasksRunning):
		return hclfile.Errorf(at, "counts: starts_per_s times task_s must not be above tasks_running")
	case counts.Accelerators > acceleratorsPerWorker*counts.Workers:
		return hclfile.Errorf(at, "counts: accelerators must be at most %d per worker", acceleratorsPerWorker)
	case s.Limits.MaxMemoryShare <= 0 || s.Limits.MaxMemoryShare > 0.5:
		return hclfile.Errorf(at, "limits: memory_share must be above 0 and at most 0.5")
	}
	for _, event := range s.Events {
		if !slices.Contains([]string{EventKillLeader, EventRackFailure, EventRestartWorkers, EventZonePartition}, event.Kind) {
			return hclfile.Errorf(event.Range, "event %q is not one of kill, rack, restart, cut", event.Kind)
		}
		if !(event.AtS >= 0 && event.AtS <= s.DisruptionS) {
			return hclfile.Errorf(event.Range, "event %s: at_s must be from 0 to trouble_s", event.Kind)
		}
	}
	for _, sweep := range s.Sweeps {
		if _, err := s.withCount(sweep.Count, 1); err != nil {
			return hclfile.Errorf(sweep.Range, "%v", err)
		}
		if len(sweep.Values) < 4 {
			return hclfile.Errorf(sweep.Range, "sweep %s: at least four values", sweep.Count)
		}
	}
	return nil
}

// withCount returns the specification of a run of a sweep, which has one count changed and no events.
func (s *Spec) withCount(count string, value float64) (*Spec, error) {
	varied := *s
	varied.Events, varied.DisruptionS, varied.SteadyS = nil, 0, s.SweepSteadyS
	counts := &varied.Counts
	rounded := int(math.Round(value))
	switch count {
	case "workers":
		counts.Accelerators = counts.Accelerators * rounded / counts.Workers
		counts.Workers = rounded
	case "tasks_running":
		counts.TasksRunning = rounded
	case "starts_per_s":
		counts.StartsPerS = value
	case "teams":
		counts.Teams = rounded
	case "jobs_waiting":
		counts.JobsWaiting = rounded
	case "gang_size":
		counts.GangSize = rounded
	case "config_per_s":
		counts.ConfigPerS = value
	default:
		return nil, fmt.Errorf("%q is not a count that can be varied", count)
	}
	return &varied, nil
}

const acceleratorsPerWorker = 4 // on each worker that has accelerators

// Machine types of the site.
const (
	plainType = "plain"
	accelType = "accel"
)

// siteSpec returns the specification of the emulated site. Its workers have slightly more capacity than the
// running tasks need; each task needs one core.
func (s *Spec) siteSpec() emulator.Spec {
	counts := &s.Counts
	site := emulator.Spec{Controllers: counts.Controllers, Machines: counts.Workers, Seed: s.Seed, Sockets: s.Sockets, Workers: s.Workers, State: s.State, Cloud: s.Cloud}
	for i := range counts.Zones {
		site.Zones = append(site.Zones, "zone-"+string(rune('a'+i)))
	}
	cores := s.coresPerWorker()
	memory := 2 * cores
	site.Types = append(site.Types, emulator.SpecMachine{Name: plainType, CPUs: cores, MemoryGB: memory, Price: 1, BootS: 1})
	if counts.Accelerators > 0 {
		site.Types = append(site.Types, emulator.SpecMachine{Name: accelType, CPUs: cores, GPUs: acceleratorsPerWorker, MemoryGB: memory, Price: 4, BootS: 1})
	}
	tasksPerTeam := float64(counts.TasksRunning) / float64(counts.Teams)
	for i := range counts.Teams {
		site.Teams = append(site.Teams, emulator.SpecTeam{Name: teamName(i), CPUs: math.Floor(0.8 * tasksPerTeam), CPUsMax: math.Ceil(3*tasksPerTeam) + 64})
	}
	return site
}

// spareCapacityFactor is the target ratio of the cores of all workers to the cores of the running tasks. The
// actual ratio differs since workers have whole cores.
const spareCapacityFactor = 1.01

// coresPerWorker returns the number of cores of a worker.
func (s *Spec) coresPerWorker() float64 {
	tasksPerWorker := float64(s.Counts.TasksRunning) / float64(s.Counts.Workers)
	return max(math.Ceil(tasksPerWorker), math.Floor(spareCapacityFactor*tasksPerWorker))
}

// acceleratorsPerTask returns the fraction of an accelerator that a task uses. One task for
// each core of a worker fits. The fraction is rounded down to hundredths.
func (s *Spec) acceleratorsPerTask() float64 {
	return math.Floor(100*acceleratorsPerWorker/s.coresPerWorker()) / 100
}

// teamName returns the name of the team with index i, counted from 0.
func teamName(i int) string { return fmt.Sprintf("team-%02d", i+1) }
