// Package experiment runs experiments: classes of jobs that arrive at random, at a site that
// is played in simulated time around the scheduler's core, with faults, repetitions,
// variants and sweeps of settings that are compared; or, in real time, at a site that
// runs.
package experiment

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"

	"dalefront/internal/config"
	"dalefront/internal/emulator"
	"dalefront/internal/hclfile"
	"dalefront/wire"
)

// Experiment is what a file describes. Durations are seconds.
type Experiment struct {
	Seed      uint64    `hcl:"seed,optional"`
	Repeat    int       `hcl:"repeat,optional"`   // with other seeds, 1
	DurationS float64   `hcl:"duration_s"`        // while jobs arrive
	DrainS    float64   `hcl:"drain_s,optional"`  // and at most so long after that
	Machines  int       `hcl:"machines,optional"` // that may be rented, 20
	Classes   []Class   `hcl:"class,block"`
	Faults    []Fault   `hcl:"fault,block"`
	Variants  []Variant `hcl:"variant,block"` // one, adaptive, if there is none
	Sweeps    []Sweep   `hcl:"sweep,block"`   // each variant is played with each combination
	Site      emulator.Spec
}

// file is an experiment as it is written: its site may be left out.
type file struct {
	Body hcl.Body       `hcl:",remain"`
	Site *emulator.Spec `hcl:"site,block"`
}

// Sweep is a setting and the values with which it is played: "machines", or one of the
// operator's settings that is a number.
type Sweep struct {
	Setting string    `hcl:"setting,label"`
	Values  []float64 `hcl:"values"`
	Range   hcl.Range `hcl:",def_range"`
}

// Class is jobs of a kind. Sizes and times are drawn anew for each job.
type Class struct {
	Name             string    `hcl:"name,label"`
	Team             string    `hcl:"team"`
	Priority         string    `hcl:"priority"`
	Shape            string    `hcl:"shape,optional"`    // sweep or ensemble
	PerHour          float64   `hcl:"per_hour,optional"` // Poisson arrivals
	At               []float64 `hcl:"at_s,optional"`     // or a trace
	Tasks            []int     `hcl:"tasks"`             // from, to
	CPUs             float64   `hcl:"cpus"`
	GPUs             float64   `hcl:"gpus,optional"`
	MemoryGB         float64   `hcl:"memory_gb"`
	OneZone          bool      `hcl:"one_zone,optional"`
	DueFactor        float64   `hcl:"due_factor,optional"` // the deadline, in mean run times; 0 for none
	Images           int       `hcl:"images,optional"`     // how many different ones, 1
	RunS             []float64 `hcl:"run_s"`               // mean, and the deviation of its logarithm
	CheckpointEveryS float64   `hcl:"checkpoint_every_s,optional"`
	SaveS            float64   `hcl:"save_s,optional"`
	ImageGB          float64   `hcl:"image_gb,optional"`
	Range            hcl.Range `hcl:",def_range"`
}

// Fault is something bad that happens to machines at a moment.
type Fault struct {
	Kind  string    `hcl:"kind,label"` // die, hang, slow, recall or wave; at a live site any of site.Faults
	Name  string    `hcl:"name,optional"`
	AtS   float64   `hcl:"at_s"`
	Count int       `hcl:"count,optional"`
	ForS  float64   `hcl:"for_s,optional"`
	Range hcl.Range `hcl:",def_range"`
}

// Variant is a way of scheduling that is compared with the others.
type Variant struct {
	Name     string             `hcl:"name,label"`
	Eviction string             `hcl:"eviction,optional"`
	Order    string             `hcl:"order,optional"`
	Machines int                `hcl:"machines,optional"`
	Settings map[string]float64 `hcl:"settings,optional"` // the operator's
	Range    hcl.Range          `hcl:",def_range"`
}

// Load reads an experiment. Its error is one line with the file, line and column.
func Load(path string) (*Experiment, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(b, path)
}

// Parse reads an experiment from text; the name is for errors.
func Parse(text []byte, name string) (*Experiment, error) {
	e, part := &Experiment{}, file{}
	if err := hclfile.Decode(text, name, &part); err != nil {
		return nil, err
	}
	if diags := gohcl.DecodeBody(part.Body, nil, e); diags.HasErrors() {
		return nil, hclfile.First(diags, name)
	}
	if part.Site != nil {
		e.Site = *part.Site
	} else {
		e.Site.Range = hcl.Range{Filename: name, Start: hcl.InitialPos}
	}
	if err := e.Site.Complete(); err != nil {
		return nil, err
	}
	e.defaults()
	if err := e.sweep(); err != nil {
		return nil, err
	}
	return e, e.check(name)
}

// mostVariants bounds what the sweeps make of the variants.
const mostVariants = 100

// sweep replaces the variants by their combinations with the values swept.
func (e *Experiment) sweep() error {
	for _, s := range e.Sweeps {
		var out []Variant
		for _, v := range e.Variants {
			for _, x := range s.Values {
				n := v
				n.Name = fmt.Sprintf("%s %s=%g", v.Name, s.Setting, x)
				if n.Range.Filename == "" {
					n.Range = s.Range
				}
				if s.Setting == "machines" {
					n.Machines = int(x)
				} else {
					n.Settings = maps.Clone(v.Settings)
					if n.Settings == nil {
						n.Settings = map[string]float64{}
					}
					n.Settings[s.Setting] = x
				}
				out = append(out, n)
			}
		}
		if e.Variants = out; len(out) == 0 || len(out) > mostVariants {
			return hclfile.At(s.Range, "sweep %s: there must be values, and at most %d combinations in all", s.Setting, mostVariants)
		}
	}
	return nil
}

func (e *Experiment) defaults() {
	e.Seed, e.Repeat, e.Machines = max(e.Seed, 1), max(e.Repeat, 1), max(e.Machines, 0)
	if e.Machines == 0 {
		e.Machines = e.Site.Machines
	}
	if e.DrainS == 0 {
		e.DrainS = 4 * e.DurationS
	}
	if len(e.Variants) == 0 {
		e.Variants = []Variant{{Name: config.PreemptAdaptive}}
	}
	for i := range e.Variants {
		v := &e.Variants[i]
		v.Eviction, v.Order = cmp.Or(v.Eviction, config.PreemptAdaptive), cmp.Or(v.Order, config.OrderPriority)
	}
	for i := range e.Classes {
		if c := &e.Classes[i]; c.Shape == "" {
			c.Shape = wire.Array
		}
	}
	for i := range e.Faults {
		if f := &e.Faults[i]; f.Count == 0 {
			f.Count = 1
		}
	}
}

const (
	mostMachines = 10_000 // of an experiment
	mostTasks    = 10_000 // of one of its jobs
	mostRepeats  = 100    // runs of a variant
)

func (e *Experiment) check(name string) error {
	top := hcl.Range{Filename: name, Start: hcl.InitialPos}
	if !(e.DurationS >= 1 && e.DurationS <= 1e6) || !(e.DrainS >= 0 && e.DrainS <= 1e7) {
		return hclfile.At(top, "duration_s must be from 1 to 1000000, and drain_s from 0 to 10000000")
	}
	if e.Repeat > mostRepeats || e.Machines < 1 || e.Machines > mostMachines || len(e.Classes) == 0 {
		return hclfile.At(top, "repeat is at most 100, machines from 1 to 10000, and there must be a class")
	}
	for _, c := range e.Classes {
		switch {
		case !slices.ContainsFunc(e.Site.Teams, func(t emulator.SpecTeam) bool { return t.Name == c.Team }):
			return hclfile.At(c.Range, "class %s: team %s is not one of the site's", c.Name, c.Team)
		case !slices.Contains([]string{wire.Production, wire.High, wire.Normal, wire.Low}, c.Priority):
			return hclfile.At(c.Range, "class %s: priority must be production, urgent, normal or low", c.Name)
		case c.Shape != wire.Array && c.Shape != wire.Gang:
			return hclfile.At(c.Range, "class %s: shape must be %s or %s", c.Name, wire.Array, wire.Gang)
		case len(c.Tasks) != 2 || c.Tasks[0] < 1 || c.Tasks[1] < c.Tasks[0] || c.Tasks[1] > mostTasks:
			return hclfile.At(c.Range, "class %s: tasks must be [FROM, TO], from 1 to 10000", c.Name)
		case len(c.RunS) != 2 || !(c.RunS[0] > 0 && c.RunS[0] < 1e6) || !(c.RunS[1] >= 0 && c.RunS[1] <= 3):
			return hclfile.At(c.Range, "class %s: run_s must be [MEAN, DEVIATION], the mean above 0, the deviation of its logarithm from 0 to 3", c.Name)
		case !(c.CPUs > 0 && c.MemoryGB > 0 && c.GPUs >= 0) || !slices.ContainsFunc(e.Site.Types, func(m emulator.SpecMachine) bool {
			return c.CPUs <= m.CPUs && c.GPUs <= m.GPUs && c.MemoryGB <= m.MemoryGB
		}):
			return hclfile.At(c.Range, "class %s: cpus and memory_gb must be above 0, gpus not below, and fit a machine", c.Name)
		case !(c.DueFactor >= 0 && c.DueFactor <= 1000) || c.Images < 0 || c.Images > 1000:
			return hclfile.At(c.Range, "class %s: due_factor and images are from 0 to 1000", c.Name)
		case !(c.PerHour >= 0 && c.PerHour <= 1e7) || c.PerHour == 0 && len(c.At) == 0:
			return hclfile.At(c.Range, "class %s: per_hour or at_s must say when jobs arrive", c.Name)
		case c.CheckpointEveryS < 0 || c.SaveS < 0 || c.ImageGB < 0 || c.ImageGB > 50:
			return hclfile.At(c.Range, "class %s: amounts must not be negative, nor image_gb above 50", c.Name)
		}
	}
	for _, f := range e.Faults {
		if !slices.Contains(emulator.Faults, f.Kind) || f.Count < 1 || f.AtS < 0 || f.ForS < 0 {
			return hclfile.At(f.Range, "fault must be one of %v, at_s and for_s not negative", emulator.Faults)
		}
	}
	names := map[string]bool{}
	for _, v := range e.Variants {
		if !slices.Contains([]string{config.PreemptAdaptive, config.PreemptKill, config.PreemptCheckpoint, config.PreemptNone}, v.Eviction) {
			return hclfile.At(v.Range, "variant %s: eviction must be adaptive, kill, checkpoint or none", v.Name)
		}
		if v.Order != config.OrderPriority && v.Order != config.OrderArrival {
			return hclfile.At(v.Range, "variant %s: order must be priority or arrival", v.Name)
		}
		if _, err := e.settings(v); err != nil {
			return hclfile.At(v.Range, "variant %s: %v", v.Name, err)
		}
		if names[v.Name] || v.Machines < 0 || v.Machines > mostMachines {
			return hclfile.At(v.Range, "variant %s: names differ, and machines are from 1 to 10000", v.Name)
		}
		names[v.Name] = true
	}
	return nil
}
