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
	Counts      Counts                `hcl:"counts,block"`
	RampS       float64               `hcl:"ramp_s,optional"`    // at most, until the resident tasks run; 180
	SteadyS     float64               `hcl:"steady_s,optional"`  // without events: the cost of roles is measured here; 60
	DisruptionS float64               `hcl:"trouble_s,optional"` // in which the events fall; 0
	SweepS      float64               `hcl:"sweep_s,optional"`   // the steady part of each point of a sweep; 20
	TaskS       float64               `hcl:"task_s,optional"`    // mean run time of the tasks that come and go; 5
	Limits      *SpecLimits           `hcl:"limits,block"`
	Events      []Event               `hcl:"event,block"`
	Sweeps      []Sweep               `hcl:"sweep,block"` // used with --sweep
	Workers     *emulator.SpecWorkers `hcl:"workers,block"`
	State       *emulator.SpecState   `hcl:"state,block"`
	Cloud       *emulator.SpecCloud   `hcl:"cloud,block"`
	Seed        uint64                `hcl:"seed,optional"`
	Sockets     int                   `hcl:"sockets,optional"` // of a controller; 800
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

// Event is a disruption at a given time after the steady part has ended: "kill" of the leader,
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
	spec := &Spec{}
	if err := hclfile.Decode(text, name, spec); err != nil {
		return nil, err
	}
	spec.setDefaults()
	return spec, spec.validate(hcl.Range{Filename: name, Start: hcl.InitialPos})
}

// What a file may leave out.
const (
	defaultControllers  = 6
	defaultZones        = 5
	defaultTeams        = 4
	defaultGangEveryS   = 20
	defaultUrgentEveryS = 5
	defaultRampS        = 180
	defaultSteadyS      = 60
	defaultSweepS       = 20
	defaultTaskS        = 5
	defaultSeed         = 1
	defaultSockets      = 800
	defaultMemoryShare  = 0.5
	defaultProcesses    = 300
	defaultLateMs       = 250
)

// setDefaults fills in what the file leaves out.
func (s *Spec) setDefaults() {
	counts := &s.Counts
	counts.Controllers = cmp.Or(counts.Controllers, defaultControllers)
	counts.Zones = cmp.Or(counts.Zones, defaultZones)
	counts.Teams = cmp.Or(counts.Teams, defaultTeams)
	counts.GangEveryS = cmp.Or(counts.GangEveryS, defaultGangEveryS)
	counts.UrgentEveryS = cmp.Or(counts.UrgentEveryS, defaultUrgentEveryS)
	s.RampS = cmp.Or(s.RampS, defaultRampS)
	s.SteadyS = cmp.Or(s.SteadyS, defaultSteadyS)
	s.SweepS = cmp.Or(s.SweepS, defaultSweepS)
	s.TaskS = cmp.Or(s.TaskS, defaultTaskS)
	s.Seed = cmp.Or(s.Seed, defaultSeed)
	s.Sockets = cmp.Or(s.Sockets, defaultSockets)
	if s.Limits == nil {
		s.Limits = &SpecLimits{}
	}
	limits := s.Limits
	limits.MemoryShare = cmp.Or(limits.MemoryShare, defaultMemoryShare)
	limits.Processes = cmp.Or(limits.Processes, defaultProcesses)
	limits.LateMs = cmp.Or(limits.LateMs, defaultLateMs)
}

// The largest sizes of a run.
const (
	maxControllers = 9
	maxZones       = 26
	maxWorkers     = 20_000
	maxTeams       = 1_000
)

// validate checks a complete specification. Its error names the place in the file.
func (s *Spec) validate(at hcl.Range) error {
	counts := &s.Counts
	switch {
	case counts.Controllers < 1 || counts.Controllers > maxControllers || counts.Zones < 1 || counts.Zones > maxZones:
		return hclfile.At(at, "counts: controllers must be from 1 to 9, zones from 1 to 26")
	case counts.Workers < 1 || counts.Workers > maxWorkers || counts.TasksRunning < 1 || counts.Teams < 1 || counts.Teams > maxTeams:
		return hclfile.At(at, "counts: workers must be from 1 to 20000, tasks_running at least 1, teams from 1 to 1000")
	case !(counts.StartsPerS >= 0) || counts.StartsPerS*s.TaskS > float64(counts.TasksRunning):
		return hclfile.At(at, "counts: starts_per_s times task_s must not be above tasks_running")
	case counts.Accelerators > acceleratorsPerWorker*counts.Workers:
		return hclfile.At(at, "counts: more than %d accelerators a worker", acceleratorsPerWorker)
	case s.Limits.MemoryShare <= 0 || s.Limits.MemoryShare > 0.5:
		return hclfile.At(at, "limits: memory_share must be above 0 and at most 0.5")
	}
	for _, event := range s.Events {
		if !slices.Contains([]string{EventKill, EventRack, EventRestart, EventCut}, event.Kind) {
			return hclfile.At(event.Range, "event %q is not one of kill, rack, restart, cut", event.Kind)
		}
		if !(event.AtS >= 0 && event.AtS <= s.DisruptionS) {
			return hclfile.At(event.Range, "event %s: at_s must be from 0 to trouble_s", event.Kind)
		}
	}
	for _, sweep := range s.Sweeps {
		if _, err := s.with(sweep.Count, 1); err != nil {
			return hclfile.At(sweep.Range, "%v", err)
		}
		if len(sweep.Values) < 4 {
			return hclfile.At(sweep.Range, "sweep %s: at least four values", sweep.Count)
		}
	}
	return nil
}

// with returns the run with one count changed, for a sweep: without events.
func (s *Spec) with(count string, value float64) (*Spec, error) {
	varied := *s
	varied.Events, varied.DisruptionS, varied.SteadyS = nil, 0, s.SweepS
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

const acceleratorsPerWorker = 4 // of a worker that has any

// Machine types of a run.
const (
	plainType = "plain"
	accelType = "accel"
)

// siteSpec returns the site that the run needs: workers just large enough for the running tasks, of
// one core each, and a little more.
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
	share := float64(counts.TasksRunning) / float64(counts.Teams)
	for i := range counts.Teams {
		site.Teams = append(site.Teams, emulator.SpecTeam{Name: teamName(i), CPUs: math.Floor(0.8 * share), CPUsMax: math.Ceil(3*share) + 64})
	}
	return site
}

// spareCapacityFactor is the capacity of all workers over the cores of the running tasks, if whole
// cores allow it.
const spareCapacityFactor = 1.01

// coresPerWorker returns the number of cores of a worker.
func (s *Spec) coresPerWorker() float64 {
	each := float64(s.Counts.TasksRunning) / float64(s.Counts.Workers)
	return max(math.Ceil(each), math.Floor(spareCapacityFactor*each))
}

// acceleratorsPerTask returns the share of an accelerator that a task takes, rounded down to
// hundredths, so that a worker has some for each of its cores.
func (s *Spec) acceleratorsPerTask() float64 {
	return math.Floor(100*acceleratorsPerWorker/s.coresPerWorker()) / 100
}

// teamName returns the name of the i-th team, from 0.
func teamName(i int) string { return fmt.Sprintf("team-%02d", i+1) }
