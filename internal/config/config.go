// Package config reads and checks the platform's settings (TOML) and the
// operator's own (HCL). Durations become whole microseconds.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"sort"
	"strconv"

	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/pelletier/go-toml/v2"

	"dalefront/wire"
)

// Micros is a duration or a point of time in whole microseconds.
type Micros = int64

// Second is a second in microseconds.
const Second Micros = 1_000_000

// Micro turns seconds into microseconds.
func Micro(seconds float64) Micros { return Micros(math.Round(seconds * float64(Second))) }

// Member is another controller.
type Member struct {
	Label string `toml:"label"`
	Zone  string `toml:"zone"`
	Addr  string `toml:"addr"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	MaxCPUs float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	MaxGPUs float64 `toml:"gpus_max"`
}

// Objective is one aim of the users.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"` // of the deadline
}

// Workers holds the workers' timings.
type Workers struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
}

// Settings is what the platform hands over.
type Settings struct {
	Label      string   `toml:"label"`
	Zone       string   `toml:"zone"`
	ListenAddr string   `toml:"serve_on"`
	PeerAddr   string   `toml:"mesh_addr"`
	Members    []Member `toml:"members"`
	Endpoints  struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"endpoints"`
	Deployment struct {
		Size       int         `toml:"size"`
		Zones      []string    `toml:"zones"`
		ClockOffMs float64     `toml:"clock_off_ms"`
		Teams      []Team      `toml:"teams"`
		Objectives []Objective `toml:"objectives"`
		Workers    Workers     `toml:"workers"`
		State      struct {
			RPS      float64 `toml:"rps"`
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Resources struct {
			Cores   float64 `toml:"cores"`
			RAMMB   float64 `toml:"ram_mb"`
			Sockets int     `toml:"sockets"`
		} `toml:"resources"`
	} `toml:"deployment"`

	Operator Operator `toml:"-"`
}

// TxnLimits are the state service's limits for a transaction.
func (s *Settings) TxnLimits() wire.TxnLimits {
	st := &s.Deployment.State
	return wire.TxnLimits{Changes: st.TxnOps, ValueBytes: int(st.ValueKB * 1024)}
}

const (
	// defaultMaxMachines is how many machines a site may have unless its operator says otherwise.
	defaultMaxMachines = 20_000
	// largestMaxMachines is the largest number that the setting takes.
	largestMaxMachines = 100_000
)

// Operator holds the settings that an operator may tune. docs/operations.md
// lists them with their defaults and ranges.
type Operator struct {
	IdleTimeoutS              *float64 `hcl:"idle_return_s,optional"`
	PreemptionDelayS          *float64 `hcl:"evict_after_s,optional"`
	HeadroomFactor            *float64 `hcl:"spare_factor,optional"`
	QuotaReserveFactor        *float64 `hcl:"reserve_factor,optional"`
	MaxMachines               *int     `hcl:"max_machines,optional"`
	LeaderLeaseS              *float64 `hcl:"term_s,optional"`
	CheckpointMBPerS          *float64 `hcl:"checkpoint_mb_per_s,optional"`
	LowPriorityScaleOutDelayS *float64 `hcl:"leftover_rent_s,optional"`
	HeartbeatPatience         *float64 `hcl:"silent_patience,optional"`
	DrainS                    *float64 `hcl:"drain_s,optional"`
	PreemptionMode            string   `hcl:"eviction,optional"` // EvictAdaptive and so on
	PlacementOrder            string   `hcl:"order,optional"`    // OrderPriority or OrderArrival
	ArchiveAfterS             *float64 `hcl:"archive_after_s,optional"`
	ArchiveShare              *float64 `hcl:"archive_share,optional"`
	FailoverSnapshotS         *float64 `hcl:"takeover_copy_s,optional"`
	Standbys                  *int     `hcl:"standbys,optional"`
	SuspectS                  *float64 `hcl:"suspect_s,optional"`
	CancelWaitS               *float64 `hcl:"cancel_wait_s,optional"` // of an earlier version; it has no effect
	SnapshotIntervalS         *float64 `hcl:"snapshot_every_s,optional"`
	SnapshotDir               string   `hcl:"snapshot_dir,optional"`      // paths are, if relative, beside the operator's own file
	SnapshotKeyFile           string   `hcl:"snapshot_key_file,optional"` // any secret
	CalendarFile              string   `hcl:"calendar,optional"`          // a file of recurring jobs
}

func or[T any](p *T, def T) *T {
	if p == nil {
		return &def
	}
	return p
}

func (o *Operator) defaults() {
	o.IdleTimeoutS = or(o.IdleTimeoutS, 50)
	o.PreemptionDelayS = or(o.PreemptionDelayS, 1.5)
	o.HeadroomFactor = or(o.HeadroomFactor, 1)
	o.QuotaReserveFactor = or(o.QuotaReserveFactor, 1.25)
	o.MaxMachines = or(o.MaxMachines, defaultMaxMachines)
	o.LeaderLeaseS = or(o.LeaderLeaseS, 2)
	o.CheckpointMBPerS = or(o.CheckpointMBPerS, 100)
	o.LowPriorityScaleOutDelayS = or(o.LowPriorityScaleOutDelayS, 600)
	o.HeartbeatPatience = or(o.HeartbeatPatience, 1)
	o.DrainS = or(o.DrainS, 3)
	if o.PreemptionMode == "" {
		o.PreemptionMode = PreemptAdaptive
	}
	if o.PlacementOrder == "" {
		o.PlacementOrder = OrderPriority
	}
	o.ArchiveAfterS = or(o.ArchiveAfterS, 0)
	o.SnapshotIntervalS = or(o.SnapshotIntervalS, 3600)
	o.FailoverSnapshotS = or(o.FailoverSnapshotS, 0)
	o.Standbys = or(o.Standbys, 1)
	o.SuspectS = or(o.SuspectS, 0.25)
	o.ArchiveShare = or(o.ArchiveShare, 0.1)
}

// How tasks make way. The paper's rule is the adaptive one; the others are there to
// compare it with.
const (
	PreemptAdaptive   = "adaptive"   // checkpointed if their progress is worth it, otherwise killed
	PreemptKill       = "kill"       // always killed
	PreemptCheckpoint = "checkpoint" // always checkpointed, if they can be
	PreemptNone       = "none"       // never
)

// In which order jobs are placed. First come, first served is there to compare with: it
// knows no priorities, nobody makes way, and a job that has no room yet keeps all later
// ones waiting.
const (
	OrderPriority = "priority"
	OrderArrival  = "arrival"
)

func (o *Operator) check() error {
	if o.PlacementOrder != OrderPriority && o.PlacementOrder != OrderArrival {
		return fmt.Errorf("order: %q is not one of %s, %s", o.PlacementOrder, OrderPriority, OrderArrival)
	}
	switch o.PreemptionMode {
	case PreemptAdaptive, PreemptKill, PreemptCheckpoint, PreemptNone:
	default:
		return fmt.Errorf("eviction: %q is not one of %s, %s, %s, %s", o.PreemptionMode, PreemptAdaptive, PreemptKill, PreemptCheckpoint, PreemptNone)
	}
	for _, f := range []struct {
		name      string
		v, lo, hi float64
	}{
		{"idle_return_s", *o.IdleTimeoutS, 1, 86400},
		{"evict_after_s", *o.PreemptionDelayS, 0, 3600},
		{"spare_factor", *o.HeadroomFactor, 0, 10},
		{"reserve_factor", *o.QuotaReserveFactor, 0, 10},
		{"max_machines", float64(*o.MaxMachines), 1, largestMaxMachines},
		{"term_s", *o.LeaderLeaseS, 0.5, 60},
		{"checkpoint_mb_per_s", *o.CheckpointMBPerS, 0.1, 1e6},
		{"leftover_rent_s", *o.LowPriorityScaleOutDelayS, 0, 1e9},
		{"silent_patience", *o.HeartbeatPatience, 0, 1000},
		{"drain_s", *o.DrainS, 0, 600},
		{"archive_after_s", *o.ArchiveAfterS, 0, 1e9},
		{"snapshot_every_s", *o.SnapshotIntervalS, 10, 1e9},
		{"takeover_copy_s", *o.FailoverSnapshotS, 0, 3600},
		{"standbys", float64(*o.Standbys), 0, 8},
		{"suspect_s", *o.SuspectS, 0, 60},
		{"archive_share", *o.ArchiveShare, 0.001, 0.5},
	} {
		if !(f.v >= f.lo && f.v <= f.hi) {
			return fmt.Errorf("%s: must be from %g to %g", f.name, f.lo, f.hi)
		}
	}
	return nil
}

// Load reads the platform's file and, when operator is not empty, the HCL file.
// An error is one line that names the file and the field.
func Load(path, operator string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if operator != "" {
		if err := s.LoadOperator(operator); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// LoadOperator takes the settings of an HCL file in place of those that are there.
func (s *Settings) LoadOperator(path string) error {
	s.Operator = Operator{}
	if err := s.readOperator(path); err != nil {
		return err
	}
	s.Operator.defaults()
	if err := s.Operator.check(); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func (s *Settings) readOperator(path string) error {
	f, diags := hclparse.NewParser().ParseHCLFile(path)
	if !diags.HasErrors() {
		diags = gohcl.DecodeBody(f.Body, nil, &s.Operator)
	}
	if diags.HasErrors() {
		d := diags[0]
		line := 0
		if d.Subject != nil {
			line = d.Subject.Start.Line
		}
		return fmt.Errorf("%s:%d: %s: %s", path, line, d.Summary, d.Detail)
	}
	for _, p := range []*string{&s.Operator.CalendarFile, &s.Operator.SnapshotDir, &s.Operator.SnapshotKeyFile} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(path), *p)
		}
	}
	return nil
}

// unshare gives the settings values of their own: decoding writes through pointers, which a
// copy of the settings shares.
func (o *Operator) unshare() {
	fields := reflect.ValueOf(o).Elem()
	for i := range fields.NumField() {
		if f := fields.Field(i); f.Kind() == reflect.Pointer && !f.IsNil() {
			own := reflect.New(f.Type().Elem())
			own.Elem().Set(f.Elem())
			f.Set(own)
		}
	}
}

// OverrideOperator sets operator's settings that are numbers, over those that are there. Settings that
// these are a copy of stay as they are.
func (s *Settings) OverrideOperator(values map[string]float64) error {
	s.Operator.unshare()
	var text bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(&text, "%s = %s\n", name, strconv.FormatFloat(values[name], 'f', -1, 64))
	}
	f, diags := hclparse.NewParser().ParseHCL(text.Bytes(), "settings")
	if !diags.HasErrors() {
		diags = gohcl.DecodeBody(f.Body, nil, &s.Operator)
	}
	if diags.HasErrors() {
		return fmt.Errorf("%s: %s", diags[0].Summary, diags[0].Detail)
	}
	s.Operator.defaults()
	return s.Operator.check()
}

// Parse reads and checks the platform's settings; unknown fields are ignored.
func Parse(b []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.NewDecoder(bytes.NewReader(b)).Decode(s); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, _ := de.Position()
			return nil, fmt.Errorf("line %d: %v: %s", row, de.Key(), de.Error())
		}
		return nil, err
	}
	s.Operator.defaults()
	return s, s.check()
}

func (s *Settings) check() error {
	if s.Label == "" {
		return errors.New("label: missing")
	}
	addrs := map[string]string{"serve_on": s.ListenAddr, "mesh_addr": s.PeerAddr,
		"endpoints.cloud": s.Endpoints.Cloud, "endpoints.state": s.Endpoints.State}
	for _, m := range s.Members {
		if m.Label == "" || m.Label == s.Label {
			return errors.New("members.label: missing or this node's own")
		}
		addrs["members."+m.Label+".addr"] = m.Addr
	}
	names := make([]string, 0, len(addrs))
	for n := range addrs {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		if _, _, err := net.SplitHostPort(addrs[n]); err != nil {
			return fmt.Errorf("%s: %q is not host:port", n, addrs[n])
		}
	}
	d := &s.Deployment
	for _, f := range []struct {
		name string
		v    float64
	}{
		{"deployment.workers.report_s", d.Workers.ReportS},
		{"deployment.workers.lease_s", d.Workers.LeaseS},
		{"deployment.workers.gang_wait_s", d.Workers.GangWaitS},
		{"deployment.workers.gang_peer_s", d.Workers.GangPeerS},
		{"deployment.workers.cancel_s", d.Workers.CancelS},
		{"deployment.state.rps", d.State.RPS},
		{"deployment.state.write_rps", d.State.WriteRPS},
		{"deployment.state.value_kb", d.State.ValueKB},
		{"deployment.state.txn_ops", float64(d.State.TxnOps)},
		{"deployment.cloud.rps", d.Cloud.RPS},
		{"deployment.resources.ram_mb", d.Resources.RAMMB},
		{"deployment.resources.sockets", float64(d.Resources.Sockets)},
	} {
		if !(f.v > 0 && f.v < 1e9) {
			return fmt.Errorf("%s: must be above 0", f.name)
		}
	}
	if d.Cloud.ListLagS < 0 {
		return errors.New("deployment.cloud.list_lag_s: must not be negative")
	}
	for _, t := range d.Teams {
		if t.Name == "" {
			return errors.New("deployment.teams.name: missing")
		}
		for _, v := range []float64{t.CPUs, t.MaxCPUs, t.GPUs, t.MaxGPUs} {
			if !(v >= 0) {
				return fmt.Errorf("deployment.teams.%s: amounts must not be negative", t.Name)
			}
		}
	}
	return nil
}
