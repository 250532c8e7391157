package config

import (
	"bytes"
	"fmt"
	"maps"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
)

const (
	// defaultMaxMachines is how many machines a site may have unless its operator says otherwise.
	defaultMaxMachines = 20_000
	// largestMaxMachines is the largest number that the setting takes.
	largestMaxMachines = 100_000
)

// Operator holds the settings that an operator may tune. docs/operations.md lists them with their
// defaults and ranges. Once they are loaded, no pointer is nil but CancelWaitS.
type Operator struct {
	// Machines.
	IdleTimeoutS              *float64 `hcl:"idle_return_s,optional"`   // an idle machine is returned after at most so many seconds
	HeadroomFactor            *float64 `hcl:"spare_factor,optional"`    // scales the room kept free for classes with an objective for starts
	QuotaReserveFactor        *float64 `hcl:"reserve_factor,optional"`  // scales the room kept for the teams' guarantees
	MaxMachines               *int     `hcl:"max_machines,optional"`    // of the site
	LowPriorityScaleOutDelayS *float64 `hcl:"leftover_rent_s,optional"` // seconds until machines are rented for work of lowest priority without deadline or objective
	HeartbeatPatience         *float64 `hcl:"silent_patience,optional"` // scales how long silent machines are waited for

	// Placement and preemption.
	PreemptionDelayS *float64 `hcl:"evict_after_s,optional"`       // seconds that a task waits before it may preempt
	PreemptionMode   string   `hcl:"eviction,optional"`            // PreemptAdaptive and so on
	PlacementOrder   string   `hcl:"order,optional"`               // OrderPriority or OrderArrival
	CheckpointMBPerS *float64 `hcl:"checkpoint_mb_per_s,optional"` // megabytes a second, assumed until checkpoints were seen
	CancelWaitS      *float64 `hcl:"cancel_wait_s,optional"`       // of an earlier version; it has no effect

	// Controllers.
	LeaderLeaseS      *float64 `hcl:"term_s,optional"`          // seconds that leadership outlives its last renewal
	DrainS            *float64 `hcl:"drain_s,optional"`         // seconds that a controller serves after it was told to end
	Standbys          *int     `hcl:"standbys,optional"`        // controllers that follow the leader's state
	SuspectS          *float64 `hcl:"suspect_s,optional"`       // seconds without a sign of the leader before a standby suspects it
	FailoverSnapshotS *float64 `hcl:"takeover_copy_s,optional"` // seconds between copies for the next leader; 0: none

	// Archive and snapshots. Relative paths are beside the operator's own file.
	ArchiveAfterS     *float64 `hcl:"archive_after_s,optional"`   // seconds until the end of a job is archived; 0: never
	ArchiveShare      *float64 `hcl:"archive_share,optional"`     // of the state service's limits
	SnapshotIntervalS *float64 `hcl:"snapshot_every_s,optional"`  // seconds between snapshots
	SnapshotDir       string   `hcl:"snapshot_dir,optional"`      // empty: no snapshots
	SnapshotKeyFile   string   `hcl:"snapshot_key_file,optional"` // with any secret

	CalendarFile string `hcl:"calendar,optional"` // recurring jobs; its path is as those above
}

// How tasks are preempted. The adaptive mode is the one to run with; the others are there to
// compare it with.
const (
	PreemptAdaptive   = "adaptive"   // checkpointed if their progress is worth it, otherwise killed
	PreemptKill       = "kill"       // always killed
	PreemptCheckpoint = "checkpoint" // always checkpointed, if they can be
	PreemptNone       = "none"       // never
)

// In which order jobs are placed. First come, first served is there to compare with: it knows no
// priorities, nothing is preempted, and a job without room keeps all later ones waiting.
const (
	OrderPriority = "priority"
	OrderArrival  = "arrival"
)

// setDefault gives a setting that is not set its default.
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
	setDefault(&o.HeartbeatPatience, 1)

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
	setDefault(&o.SuspectS, 0.25)
	setDefault(&o.FailoverSnapshotS, 0)

	setDefault(&o.ArchiveAfterS, 0)
	setDefault(&o.ArchiveShare, 0.1)
	setDefault(&o.SnapshotIntervalS, 3600)
}

// check returns a FieldError for the first setting that is not valid.
func (o *Operator) check() error {
	if err := checkWord("order", o.PlacementOrder, OrderPriority, OrderArrival); err != nil {
		return err
	}
	if err := checkWord("eviction", o.PreemptionMode, PreemptAdaptive, PreemptKill, PreemptCheckpoint, PreemptNone); err != nil {
		return err
	}
	return o.checkRanges()
}

func checkWord(field, value string, allowed ...string) error {
	if slices.Contains(allowed, value) {
		return nil
	}
	return &FieldError{field, fmt.Sprintf("%q is not one of %s", value, strings.Join(allowed, ", "))}
}

func (o *Operator) checkRanges() error {
	const hour, day = 3600, 86400 // seconds
	for _, setting := range []struct {
		field              string
		value, least, most float64
	}{
		{"idle_return_s", *o.IdleTimeoutS, 1, day},
		{"evict_after_s", *o.PreemptionDelayS, 0, hour},
		{"spare_factor", *o.HeadroomFactor, 0, 10},
		{"reserve_factor", *o.QuotaReserveFactor, 0, 10},
		{"max_machines", float64(*o.MaxMachines), 1, largestMaxMachines},
		{"term_s", *o.LeaderLeaseS, 0.5, 60},
		{"checkpoint_mb_per_s", *o.CheckpointMBPerS, 0.1, 1e6},
		{"leftover_rent_s", *o.LowPriorityScaleOutDelayS, 0, unboundedAmount},
		{"silent_patience", *o.HeartbeatPatience, 0, 1000},
		{"drain_s", *o.DrainS, 0, 600},
		{"archive_after_s", *o.ArchiveAfterS, 0, unboundedAmount},
		{"snapshot_every_s", *o.SnapshotIntervalS, 10, unboundedAmount},
		{"takeover_copy_s", *o.FailoverSnapshotS, 0, hour},
		{"standbys", float64(*o.Standbys), 0, 8},
		{"suspect_s", *o.SuspectS, 0, 60},
		{"archive_share", *o.ArchiveShare, 0.001, 0.5},
	} {
		if !(setting.value >= setting.least && setting.value <= setting.most) { // not a number is refused too
			return &FieldError{setting.field, fmt.Sprintf("must be from %g to %g", setting.least, setting.most)}
		}
	}
	return nil
}

// LoadOperator replaces the operator's settings by those of an HCL file and defaults. An error is
// one line that names the file and the field.
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

// load reads an HCL file and makes its paths absolute or relative to the working directory.
func (o *Operator) load(path string) error {
	file, diagnostics := hclparse.NewParser().ParseHCLFile(path)
	if !diagnostics.HasErrors() {
		diagnostics = gohcl.DecodeBody(file.Body, nil, o)
	}
	if diagnostics.HasErrors() {
		return syntaxError(path, diagnostics[0])
	}
	for _, setting := range []*string{&o.CalendarFile, &o.SnapshotDir, &o.SnapshotKeyFile} {
		if *setting != "" && !filepath.IsAbs(*setting) {
			*setting = filepath.Join(filepath.Dir(path), *setting)
		}
	}
	return nil
}

func syntaxError(path string, diagnostic *hcl.Diagnostic) *SyntaxError {
	line := 0
	if diagnostic.Subject != nil {
		line = diagnostic.Subject.Start.Line
	}
	return &SyntaxError{File: path, Line: line, Problem: diagnostic.Summary + ": " + diagnostic.Detail, Err: diagnostic}
}

// OverrideOperator sets operator's settings that are numbers, over those that are there. Settings
// that these are a copy of stay as they are. Its error names the setting.
func (s *Settings) OverrideOperator(values map[string]float64) error {
	s.Operator.copyPointers()
	var text bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(&text, "%s = %s\n", name, strconv.FormatFloat(values[name], 'f', -1, 64))
	}
	file, diagnostics := hclparse.NewParser().ParseHCL(text.Bytes(), "settings")
	if !diagnostics.HasErrors() {
		diagnostics = gohcl.DecodeBody(file.Body, nil, &s.Operator)
	}
	if diagnostics.HasErrors() {
		return &FieldError{diagnostics[0].Summary, diagnostics[0].Detail}
	}
	s.Operator.setDefaults()
	return s.Operator.check()
}

// copyPointers gives the settings values of their own: decoding writes through pointers, which a
// copy of the settings shares.
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
