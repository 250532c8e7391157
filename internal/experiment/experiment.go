// Package experiment runs load experiments and reports their results. Classes of jobs arrive at random,
// machines fail, and variants of the scheduler's settings are compared over several seeds. An
// experiment runs either in simulated time around the scheduler's core (Simulate) or in real time
// against a running site (Live).
package experiment

import (
	"cmp"
	"fmt"
	"maps"
	"os"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"

	"dalefront/internal/config"
	"dalefront/internal/emulator"
	"dalefront/internal/hclfile"
	"dalefront/wire"
)

// Experiment is the content of an experiment file. Durations are in seconds.
type Experiment struct {
	Seed      uint64    `hcl:"seed,optional"`
	Repeat    int       `hcl:"repeat,optional"`   // number of runs of each variant, each run with its own seed; 1 by default
	DurationS float64   `hcl:"duration_s"`        // time in which jobs arrive
	DrainS    float64   `hcl:"drain_s,optional"`  // time after DurationS in which jobs can still finish
	Machines  int       `hcl:"machines,optional"` // maximum number of rented machines; by default the site's
	Classes   []Class   `hcl:"class,block"`
	Faults    []Fault   `hcl:"fault,block"`
	Variants  []Variant `hcl:"variant,block"` // by default one variant with adaptive eviction
	Sweeps    []Sweep   `hcl:"sweep,block"`   // each variant runs with each combination of the sweeps' values
	Site      emulator.Spec
}

// experimentFile is the top level of an experiment file, in which the site may be left out.
type experimentFile struct {
	Body hcl.Body       `hcl:",remain"`
	Site *emulator.Spec `hcl:"site,block"`
}

// Sweep lists the values that a setting takes. The setting is "machines" or the name of a numeric operator
// setting.
type Sweep struct {
	Setting string    `hcl:"setting,label"`
	Values  []float64 `hcl:"values"`
	Range   hcl.Range `hcl:",def_range"`
}

// Class describes jobs of one kind. Task counts and run times are drawn for each job.
type Class struct {
	Name                string    `hcl:"name,label"`
	Team                string    `hcl:"team"`
	Priority            string    `hcl:"priority"`
	Shape               string    `hcl:"shape,optional"`    // sweep (an array, the default) or ensemble (a gang)
	JobsPerHour         float64   `hcl:"per_hour,optional"` // rate of Poisson arrivals
	TraceS              []float64 `hcl:"at_s,optional"`     // arrival times, in addition to the Poisson arrivals
	Tasks               []int     `hcl:"tasks"`             // smallest and largest number of tasks of a job
	CPUs                float64   `hcl:"cpus"`
	GPUs                float64   `hcl:"gpus,optional"`
	MemoryGB            float64   `hcl:"memory_gb"`
	OneZone             bool      `hcl:"one_zone,optional"`
	DeadlineFactor      float64   `hcl:"due_factor,optional"` // deadline as a multiple of the mean run time; 0 for none
	Images              int       `hcl:"images,optional"`     // number of different images; 1 by default
	RunS                []float64 `hcl:"run_s"`               // mean run time, standard deviation of the run time's logarithm
	CheckpointIntervalS float64   `hcl:"checkpoint_every_s,optional"`
	CheckpointDurationS float64   `hcl:"save_s,optional"`
	ImageGB             float64   `hcl:"image_gb,optional"`
	Range               hcl.Range `hcl:",def_range"`
}

// Fault is a failure that is injected at a given time.
type Fault struct {
	Kind      string    `hcl:"kind,label"` // die, hang, slow, recall or wave; at a live site any of emulator.Faults
	Name      string    `hcl:"name,optional"`
	AtS       float64   `hcl:"at_s"`
	Count     int       `hcl:"count,optional"`
	DurationS float64   `hcl:"for_s,optional"`
	Range     hcl.Range `hcl:",def_range"`
}

// Variant is a scheduler configuration that is compared with the other variants.
type Variant struct {
	Name     string             `hcl:"name,label"`
	Eviction string             `hcl:"eviction,optional"`
	Order    string             `hcl:"order,optional"`
	Machines int                `hcl:"machines,optional"`
	Settings map[string]float64 `hcl:"settings,optional"` // operator settings that override the site's
	Range    hcl.Range          `hcl:",def_range"`
}

// Load reads an experiment file. Its error is one line with the file, line and column.
func Load(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path)
}

// Parse reads an experiment from text. Errors give the parameter name as the file name.
func Parse(text []byte, name string) (*Experiment, error) {
	experiment, top := &Experiment{}, experimentFile{}
	if err := hclfile.Decode(text, name, &top); err != nil {
		return nil, err
	}
	if diags := gohcl.DecodeBody(top.Body, nil, experiment); diags.HasErrors() {
		return nil, hclfile.FirstError(diags, name)
	}
	if top.Site != nil {
		experiment.Site = *top.Site
	} else {
		experiment.Site.Range = hcl.Range{Filename: name, Start: hcl.InitialPos}
	}
	if err := experiment.Site.Complete(); err != nil {
		return nil, err
	}
	experiment.setDefaults()
	if err := experiment.expandSweeps(); err != nil {
		return nil, err
	}
	return experiment, experiment.validate(name)
}

// drainFactor is the default of drain_s as a multiple of duration_s.
const drainFactor = 4

// setDefaults sets the fields that the file leaves out to their defaults.
func (e *Experiment) setDefaults() {
	e.Seed = max(e.Seed, 1)
	e.Repeat = max(e.Repeat, 1)
	e.Machines = max(e.Machines, 0)
	if e.Machines == 0 {
		e.Machines = e.Site.Machines
	}
	if e.DrainS == 0 {
		e.DrainS = drainFactor * e.DurationS
	}
	if len(e.Variants) == 0 {
		e.Variants = []Variant{{Name: config.PreemptAdaptive}}
	}
	for i := range e.Variants {
		variant := &e.Variants[i]
		variant.Eviction = cmp.Or(variant.Eviction, config.PreemptAdaptive)
		variant.Order = cmp.Or(variant.Order, config.OrderPriority)
	}
	for i := range e.Classes {
		e.Classes[i].Shape = cmp.Or(e.Classes[i].Shape, wire.Array)
	}
	for i := range e.Faults {
		e.Faults[i].Count = cmp.Or(e.Faults[i].Count, 1)
	}
}

// maxVariants bounds the number of variants after the sweeps are expanded.
const maxVariants = 100

// machinesSetting is the setting of a sweep that varies the number of machines.
const machinesSetting = "machines"

// expandSweeps replaces the variants by their combinations with the values of all sweeps.
func (e *Experiment) expandSweeps() error {
	for _, sweep := range e.Sweeps {
		var expanded []Variant
		for _, variant := range e.Variants {
			for _, value := range sweep.Values {
				expanded = append(expanded, variant.withSetting(sweep, value))
			}
		}
		e.Variants = expanded
		if len(expanded) == 0 || len(expanded) > maxVariants {
			return hclfile.Errorf(sweep.Range, "sweep %s: there must be values, and at most %d combinations in all", sweep.Setting, maxVariants)
		}
	}
	return nil
}

// withSetting returns the variant with the setting of a sweep set to one value.
func (v Variant) withSetting(sweep Sweep, value float64) Variant {
	v.Name = fmt.Sprintf("%s %s=%g", v.Name, sweep.Setting, value)
	if v.Range.Filename == "" {
		v.Range = sweep.Range
	}
	if sweep.Setting == machinesSetting {
		v.Machines = int(value)
		return v
	}
	settings := maps.Clone(v.Settings) // cloned: the variants of all the sweep's values share this map
	if settings == nil {
		settings = map[string]float64{}
	}
	settings[sweep.Setting] = value
	v.Settings = settings
	return v
}

// settings returns the scheduler's settings for a variant.
func (e *Experiment) settings(variant Variant) (*config.Settings, error) {
	settings, err := e.Site.Settings()
	if err != nil {
		return nil, err
	}
	settings.Operator.PreemptionMode = variant.Eviction
	settings.Operator.PlacementOrder = variant.Order
	return settings, settings.OverrideOperator(variant.Settings)
}
