package config

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"

	"dalefront/internal/hclfile"
)

const (
	// defaultMaxMachines is the default of max_machines.
	defaultMaxMachines = 20_000
	// largestMaxMachines is the largest valid value of max_machines.
	largestMaxMachines = 100_000
)

// Operator holds the settings that an operator may tune. docs/operations.md lists them with their defaults and
// ranges. After loading, every pointer except CancelWaitS is set.
type Operator struct {
	// Machines.

	// IdleTimeoutS is the maximum time in seconds until an idle machine is returned.
	IdleTimeoutS *float64 `hcl:"idle_return_s,optional"`
	// HeadroomFactor scales the capacity that is kept free for classes with a start objective.
	HeadroomFactor *float64 `hcl:"spare_factor,optional"`
	// QuotaReserveFactor scales the capacity that is reserved for the teams' guarantees.
	QuotaReserveFactor *float64 `hcl:"reserve_factor,optional"`
	// MaxMachines is the maximum number of machines of the site.
	MaxMachines *int `hcl:"max_machines,optional"`
	// LowPriorityScaleOutDelayS is the time in seconds that work of the lowest priority without deadline or
	// objective waits before machines are rented for it.
	LowPriorityScaleOutDelayS *float64 `hcl:"leftover_rent_s,optional"`
	// SilentPatience divides the time that a silent machine is expected to stay silent. With a higher value the
	// scheduler waits longer before it replaces the machine; with 0 it never weighs the cost of waiting.
	SilentPatience *float64 `hcl:"silent_patience,optional"`

	// Placement and preemption.

	// PreemptionDelayS is the time in seconds that a task waits before it may preempt other tasks.
	PreemptionDelayS *float64 `hcl:"evict_after_s,optional"`
	// PreemptionMode is PreemptAdaptive, PreemptKill, PreemptCheckpoint or PreemptNone.
	PreemptionMode string `hcl:"eviction,optional"`
	// PlacementOrder is OrderPriority or OrderArrival.
	PlacementOrder string `hcl:"order,optional"`
	// CheckpointMBPerS is the checkpoint speed in megabytes per second that is assumed until checkpoints have
	// been measured.
	CheckpointMBPerS *float64 `hcl:"checkpoint_mb_per_s,optional"`
	// CancelWaitS is a setting of an earlier version. It has no effect.
	CancelWaitS *float64 `hcl:"cancel_wait_s,optional"`

	// Controllers.

	// LeaderLeaseS is the time in seconds from the last renewal of the leader's lease until the lease expires.
	LeaderLeaseS *float64 `hcl:"term_s,optional"`
	// DrainS is the time in seconds that a controller continues to serve requests after it was told to stop.
	DrainS *float64 `hcl:"drain_s,optional"`
	// Standbys is the number of controllers that keep a copy of the leader's state.
	Standbys *int `hcl:"standbys,optional"`
	// SuspicionTimeoutS is the time in seconds without contact to the leader after which a standby suspects
	// that the leader has failed.
	SuspicionTimeoutS *float64 `hcl:"suspect_s,optional"`
	// FailoverSnapshotS is the time in seconds between copies of the state that are stored for the next
	// leader. 0 disables these copies.
	FailoverSnapshotS *float64 `hcl:"takeover_copy_s,optional"`

	// Archive and snapshots. Relative paths are relative to the directory of the operator's file.

	// ArchiveAfterS is the time in seconds from the end of a job until its end record may be archived. 0
	// disables archiving.
	ArchiveAfterS *float64 `hcl:"archive_after_s,optional"`
	// ArchiveShare is the share of the state service's rate limits that archiving may use.
	ArchiveShare *float64 `hcl:"archive_share,optional"`
	// SnapshotIntervalS is the time in seconds between snapshots.
	SnapshotIntervalS *float64 `hcl:"snapshot_every_s,optional"`
	// SnapshotDir is the directory of the snapshots. An empty value disables snapshots.
	SnapshotDir string `hcl:"snapshot_dir,optional"`
	// SnapshotKeyFile is a file with a secret of any length, from which the key of snapshots is derived.
	SnapshotKeyFile string `hcl:"snapshot_key_file,optional"`

	// CalendarFile is the file with recurring jobs. A relative path is relative to the directory of the
	// operator's file.
	CalendarFile string `hcl:"calendar,optional"`
}

// Preemption modes. PreemptAdaptive is the mode for production. The others are baselines for comparison.
const (
	PreemptAdaptive   = "adaptive"   // preempted tasks are checkpointed if their progress is worth it, otherwise killed
	PreemptKill       = "kill"       // preempted tasks are always killed
	PreemptCheckpoint = "checkpoint" // preempted tasks are always checkpointed if possible
	PreemptNone       = "none"       // no task is preempted
)

// Placement orders. OrderArrival (first come, first served) is a baseline for comparison. It ignores
// priorities and preempts nothing. A job that does not fit blocks all jobs that arrived later.
const (
	OrderPriority = "priority"
	OrderArrival  = "arrival"
)

// setDefault sets a setting to the given default value if the setting has no value.
func setDefault[T any](setting **T, value T) {
	if *setting == nil {
		*setting = &value
	}
}

func (o *Operator) setDefaults() {
	setDefault(&o.IdleTimeoutS, 50)
	setDefault(&o.HeadroomFactor, 1)
	setDefault(&o.QuotaReserveFactor, 1.25)
	setDefault(&o.MaxMachines, defaultMaxMachines)
	setDefault(&o.LowPriorityScaleOutDelayS, 600)
	setDefault(&o.SilentPatience, 1)

	setDefault(&o.PreemptionDelayS, 1.5)
	if o.PreemptionMode == "" {
		o.PreemptionMode = PreemptAdaptive
	}
	if o.PlacementOrder == "" {
		o.PlacementOrder = OrderPriority
	}
	setDefault(&o.CheckpointMBPerS, 100)

	setDefault(&o.LeaderLeaseS, 2)
	setDefault(&o.DrainS, 3)
	setDefault(&o.Standbys, 1)
	setDefault(&o.SuspicionTimeoutS, 0.25)
	setDefault(&o.FailoverSnapshotS, 0)

	setDefault(&o.ArchiveAfterS, 0)
	setDefault(&o.ArchiveShare, 0.1)
	setDefault(&o.SnapshotIntervalS, 3600)
}

// check returns a FieldError for the first invalid setting.
func (o *Operator) check() error {
	if err := checkChoice("order", o.PlacementOrder, OrderPriority, OrderArrival); err != nil {
		return err
	}
	if err := checkChoice("eviction", o.PreemptionMode, PreemptAdaptive, PreemptKill, PreemptCheckpoint, PreemptNone); err != nil {
		return err
	}
	return o.checkRanges()
}

func checkChoice(field, value string, allowed ...string) error {
	if slices.Contains(allowed, value) {
		return nil
	}
	return &FieldError{field, fmt.Sprintf("%q is not one of %s", value, strings.Join(allowed, ", "))}
}

func (o *Operator) checkRanges() error {
	const hour, day = 3600, 86400 // seconds
	for _, setting := range []struct {
		field                   string
		value, minimum, maximum float64
	}{
		{"idle_return_s", *o.IdleTimeoutS, 1, day},
		{"evict_after_s", *o.PreemptionDelayS, 0, hour},
		{"spare_factor", *o.HeadroomFactor, 0, 10},
		{"reserve_factor", *o.QuotaReserveFactor, 0, 10},
		{"max_machines", float64(*o.MaxMachines), 1, largestMaxMachines},
		{"term_s", *o.LeaderLeaseS, 0.5, 60},
		{"checkpoint_mb_per_s", *o.CheckpointMBPerS, 0.1, 1e6},
		{"leftover_rent_s", *o.LowPriorityScaleOutDelayS, 0, maxAmount},
		{"silent_patience", *o.SilentPatience, 0, 1000},
		{"drain_s", *o.DrainS, 0, 600},
		{"archive_after_s", *o.ArchiveAfterS, 0, maxAmount},
		{"snapshot_every_s", *o.SnapshotIntervalS, 10, maxAmount},
		{"takeover_copy_s", *o.FailoverSnapshotS, 0, hour},
		{"standbys", float64(*o.Standbys), 0, 8},
		{"suspect_s", *o.SuspicionTimeoutS, 0, 60},
		{"archive_share", *o.ArchiveShare, 0.001, 0.5},
	} {
		if !(setting.value >= setting.minimum && setting.value <= setting.maximum) { // also rejects NaN
			return &FieldError{setting.field, fmt.Sprintf("must be from %g to %g", setting.minimum, setting.maximum)}
		}
	}
	return nil
}

// LoadOperator replaces the operator's settings by the settings in an HCL file. Settings that the file does
// not contain get their defaults. An error is one line that names the file and the field.
func (s *Settings) LoadOperator(path string) error {
	s.Operator = Operator{}
	if err := s.Operator.load(path); err != nil {
		return err
	}
	s.Operator.setDefaults()
	if err := s.Operator.check(); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// load reads an HCL file. It joins relative paths in the file to the file's directory. The resulting paths are
// absolute or relative to the working directory.
func (o *Operator) load(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	file, diagnostics := hclfile.Parse(text, path)
	if !diagnostics.HasErrors() {
		diagnostics = gohcl.DecodeBody(file.Body, nil, o)
	}
	if diagnostics.HasErrors() {
		return newSyntaxError(path, diagnostics[0])
	}
	for _, setting := range []*string{&o.CalendarFile, &o.SnapshotDir, &o.SnapshotKeyFile} {
		if *setting != "" && !filepath.IsAbs(*setting) {
			*setting = filepath.Join(filepath.Dir(path), *setting)
		}
	}
	return nil
}

func newSyntaxError(path string, diagnostic *hcl.Diagnostic) *SyntaxError {
	line := 0
	if diagnostic.Subject != nil {
		line = diagnostic.Subject.Start.Line
	}
	return &SyntaxError{File: path, Line: line, Problem: diagnostic.Summary + ": " + diagnostic.Detail, Err: diagnostic}
}

// OverrideOperator overrides numeric settings of the operator, given by their names in the operator's file.
// Other copies of the settings are not changed. An error names the setting.
func (s *Settings) OverrideOperator(values map[string]float64) error {
	s.Operator.copyPointers()
	var text bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(&text, "%s = %s\n", name, strconv.FormatFloat(values[name], 'f', -1, 64))
	}
	file, diagnostics := hclfile.Parse(text.Bytes(), "settings")
	if !diagnostics.HasErrors() {
		diagnostics = gohcl.DecodeBody(file.Body, nil, &s.Operator)
	}
	if diagnostics.HasErrors() {
		return &FieldError{diagnostics[0].Summary, diagnostics[0].Detail}
	}
	s.Operator.setDefaults()
	return s.Operator.check()
}

// copyPointers replaces each pointer with a pointer to a copy of its value. Decoding writes through pointers,
// which copies of the settings would otherwise share.
func (o *Operator) copyPointers() {
	fields := reflect.ValueOf(o).Elem()
	for i := range fields.NumField() {
		field := fields.Field(i)
		if field.Kind() != reflect.Pointer || field.IsNil() {
			continue
		}
		value := reflect.New(field.Type().Elem())
		value.Elem().Set(field.Elem())
		field.Set(value)
	}
}
