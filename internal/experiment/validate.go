package experiment

import (
	"slices"

	"github.com/hashicorp/hcl/v2"

	"dalefront/internal/config"
	"dalefront/internal/emulator"
	"dalefront/internal/hclfile"
	"dalefront/wire"
)

const (
	maxMachines = 10_000 // maximum number of machines of an experiment
	maxTasks    = 10_000 // maximum number of tasks of one job
	maxRepeats  = 100    // maximum number of runs of a variant
)

// The ranges of the numbers in an experiment file. The error messages below repeat these ranges in
// digits.
const (
	minDurationS      = 1
	maxDurationS      = 1e6
	maxDrainS         = 1e7
	maxMeanRunS       = 1e6  // the mean run time must be below this limit
	maxRunDeviation   = 3    // limit on the standard deviation of the run time's logarithm
	maxDeadlineFactor = 1000 // maximum deadline as a multiple of the mean run time
	maxImagesPerClass = 1000
	maxJobsPerHour    = 1e7
	maxImageGB        = 50
)

// validate checks an experiment after its defaults are set. Its error gives the position in the file.
func (e *Experiment) validate(name string) error {
	top := hcl.Range{Filename: name, Start: hcl.InitialPos}
	if !(e.DurationS >= minDurationS && e.DurationS <= maxDurationS) || !(e.DrainS >= 0 && e.DrainS <= maxDrainS) {
		return hclfile.Errorf(top, "duration_s must be from 1 to 1000000, and drain_s from 0 to 10000000")
	}
	if e.Repeat > maxRepeats || e.Machines < 1 || e.Machines > maxMachines || len(e.Classes) == 0 {
		return hclfile.Errorf(top, "repeat is at most 100, machines from 1 to 10000, and there must be a class")
	}
	for _, class := range e.Classes {
		if err := e.validateClass(class); err != nil {
			return err
		}
	}
	for _, fault := range e.Faults {
		if !slices.Contains(emulator.Faults, fault.Kind) || fault.Count < 1 || fault.AtS < 0 || fault.DurationS < 0 {
			return hclfile.Errorf(fault.Range, "fault must be one of %v, at_s and for_s not negative", emulator.Faults)
		}
	}
	return e.validateVariants()
}

// validateClass checks one class against the site's teams and machine types.
func (e *Experiment) validateClass(c Class) error {
	switch {
	case !slices.ContainsFunc(e.Site.Teams, func(t emulator.SpecTeam) bool { return t.Name == c.Team }):
		return hclfile.Errorf(c.Range, "class %s: team %s is not one of the site's", c.Name, c.Team)
	case !slices.Contains([]string{wire.Production, wire.High, wire.Normal, wire.Low}, c.Priority):
		return hclfile.Errorf(c.Range, "class %s: priority must be production, urgent, normal or low", c.Name)
	case c.Shape != wire.Array && c.Shape != wire.Gang:
		return hclfile.Errorf(c.Range, "class %s: shape must be %s or %s", c.Name, wire.Array, wire.Gang)
	case len(c.Tasks) != 2 || c.Tasks[0] < 1 || c.Tasks[1] < c.Tasks[0] || c.Tasks[1] > maxTasks:
		return hclfile.Errorf(c.Range, "class %s: tasks must be [FROM, TO], from 1 to 10000", c.Name)
	case len(c.RunS) != 2 || !(c.RunS[0] > 0 && c.RunS[0] < maxMeanRunS) || !(c.RunS[1] >= 0 && c.RunS[1] <= maxRunDeviation):
		return hclfile.Errorf(c.Range, "class %s: run_s must be [MEAN, DEVIATION], the mean above 0, the deviation of its logarithm from 0 to 3", c.Name)
	case !(c.CPUs > 0 && c.MemoryGB > 0 && c.GPUs >= 0) || !slices.ContainsFunc(e.Site.Types, c.fits):
		return hclfile.Errorf(c.Range, "class %s: cpus and memory_gb must be above 0, gpus must not be negative, and a task must fit a machine type", c.Name)
	case !(c.DeadlineFactor >= 0 && c.DeadlineFactor <= maxDeadlineFactor) || c.Images < 0 || c.Images > maxImagesPerClass:
		return hclfile.Errorf(c.Range, "class %s: due_factor and images are from 0 to 1000", c.Name)
	case !(c.JobsPerHour >= 0 && c.JobsPerHour <= maxJobsPerHour) || c.JobsPerHour == 0 && len(c.TraceS) == 0:
		return hclfile.Errorf(c.Range, "class %s: per_hour must be from 0 to 10000000, and above 0 unless at_s is given", c.Name)
	case c.CheckpointIntervalS < 0 || c.CheckpointDurationS < 0 || c.ImageGB < 0 || c.ImageGB > maxImageGB:
		return hclfile.Errorf(c.Range, "class %s: checkpoint_every_s, save_s and image_gb must not be negative, and image_gb must be at most 50", c.Name)
	}
	return nil
}

// fits reports whether one task of the class fits an empty machine of the type.
func (c Class) fits(machine emulator.SpecMachine) bool {
	return c.CPUs <= machine.CPUs && c.GPUs <= machine.GPUs && c.MemoryGB <= machine.MemoryGB
}

// validateVariants checks the variants, after the sweeps are expanded.
func (e *Experiment) validateVariants() error {
	evictions := []string{config.PreemptAdaptive, config.PreemptKill, config.PreemptCheckpoint, config.PreemptNone}
	names := map[string]bool{}
	for _, variant := range e.Variants {
		if !slices.Contains(evictions, variant.Eviction) {
			return hclfile.Errorf(variant.Range, "variant %s: eviction must be adaptive, kill, checkpoint or none", variant.Name)
		}
		if variant.Order != config.OrderPriority && variant.Order != config.OrderArrival {
			return hclfile.Errorf(variant.Range, "variant %s: order must be priority or arrival", variant.Name)
		}
		if _, err := e.settings(variant); err != nil {
			return hclfile.Errorf(variant.Range, "variant %s: %v", variant.Name, err)
		}
		if names[variant.Name] || variant.Machines < 0 || variant.Machines > maxMachines {
			return hclfile.Errorf(variant.Range, "variant %s: names differ, and machines are from 1 to 10000", variant.Name)
		}
		names[variant.Name] = true
	}
	return nil
}
