package config

import (
	"fmt"
	"maps"
	"net"
	"slices"

	"dalefront/wire"
)

// Settings holds the settings that the platform passes to a controller, and the operator's settings.
type Settings struct {
	Label      string     `toml:"label"`      // name of this controller
	Zone       string     `toml:"zone"`       // availability zone of this controller
	ListenAddr string     `toml:"serve_on"`   // host:port on which users and workers reach this controller
	PeerAddr   string     `toml:"mesh_addr"`  // host:port on which the other controllers reach this controller
	Members    []Member   `toml:"members"`    // the other controllers
	Endpoints  Endpoints  `toml:"endpoints"`  // services of the platform
	Deployment Deployment `toml:"deployment"` // the site as a whole

	Operator Operator `toml:"-"` // the operator's settings, read from a separate HCL file
}

// Member is another controller.
type Member struct {
	Label string `toml:"label"`
	Zone  string `toml:"zone"`
	Addr  string `toml:"addr"` // host:port on which the other controllers reach this member
}

// Endpoints holds the addresses of the platform's services as host:port.
type Endpoints struct {
	Cloud string `toml:"cloud"` // rents and lists machines
	State string `toml:"state"` // consensus-backed key-value store
}

// Deployment describes the site. It is the same for all controllers.
type Deployment struct {
	Size            int         `toml:"size"` // number of controllers
	Zones           []string    `toml:"zones"`
	MaxClockErrorMs float64     `toml:"clock_off_ms"` // maximum deviation of a clock from the true time, in milliseconds
	Teams           []Team      `toml:"teams"`
	Objectives      []Objective `toml:"objectives"`
	Workers         Workers     `toml:"workers"`
	State           StateLimits `toml:"state"`
	Cloud           CloudLimits `toml:"cloud"`
	Resources       Resources   `toml:"resources"`
}

// Team holds a team's guarantees and limits. An amount of 0 means no guarantee or no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`     // guaranteed processor cores
	MaxCPUs float64 `toml:"cpus_max"` // limit of processor cores
	GPUs    float64 `toml:"gpus"`     // guaranteed accelerators
	MaxGPUs float64 `toml:"gpus_max"` // limit of accelerators
}

// Objective is a service-level objective of the users.
type Objective struct {
	Kind           string  `toml:"kind"`     // "wait", "finished", "guarantee" and so on
	Class          string  `toml:"class"`    // class of the jobs that the objective applies to; empty for all jobs
	WithinS        float64 `toml:"within_s"` // time limit in seconds
	Share          float64 `toml:"share"`    // share of the jobs that must meet the objective, from 0 to 1
	DeadlineFactor float64 `toml:"times"`    // time limit as a multiple of the deadline
}

// Workers holds the workers' timings.
type Workers struct {
	HeartbeatIntervalS   float64 `toml:"report_s"`    // seconds between heartbeats
	LeaseS               float64 `toml:"lease_s"`     // seconds from the last answered heartbeat until a worker kills its tasks
	GangWaitS            float64 `toml:"gang_wait_s"` // seconds that a task waits for the other tasks of its gang
	GangLossDetectionS   float64 `toml:"gang_peer_s"` // seconds within which a task detects that another task of its gang was lost
	CancellationTimeoutS float64 `toml:"cancel_s"`    // seconds within which the tasks of a cancelled job must be gone
}

// StateLimits are the limits of the state service.
type StateLimits struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // puts and deletes per second
	ValueKB  float64 `toml:"value_kb"`  // size of a value as JSON, in KiB
	TxnOps   int     `toml:"txn_ops"`   // puts and deletes per transaction
}

// CloudLimits are the limits of the cloud's API.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`        // requests per second
	ListLagS float64 `toml:"list_lag_s"` // seconds by which the cloud's list of machines may be out of date
}

// Resources holds the amounts of its host's resources that a controller may use.
type Resources struct {
	Cores    float64 `toml:"cores"`   // processor cores
	MemoryMB float64 `toml:"ram_mb"`  // megabytes of memory
	Sockets  int     `toml:"sockets"` // open connections
}

const (
	bytesPerKiB = 1 << 10
	bytesPerMB  = 1 << 20
)

// MemoryBytes returns a share of the memory, in bytes.
func (r *Resources) MemoryBytes(share float64) int64 { return int64(r.MemoryMB * share * bytesPerMB) }

// TxnLimits returns the state service's limits for a transaction.
func (s *Settings) TxnLimits() wire.TxnLimits {
	limits := &s.Deployment.State
	return wire.TxnLimits{MaxMutations: limits.TxnOps, MaxValueBytes: int(limits.ValueKB * bytesPerKiB)}
}

// check returns a FieldError for the first invalid setting.
func (s *Settings) check() error {
	if s.Label == "" {
		return &FieldError{"label", "missing"}
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	if err := s.Deployment.checkAmounts(); err != nil {
		return err
	}
	return s.Deployment.checkTeams()
}

// checkAddresses returns a FieldError for the first invalid address. It checks addresses sorted by field name.
func (s *Settings) checkAddresses() error {
	addresses := map[string]string{
		"serve_on":        s.ListenAddr,
		"mesh_addr":       s.PeerAddr,
		"endpoints.cloud": s.Endpoints.Cloud,
		"endpoints.state": s.Endpoints.State,
	}
	for _, member := range s.Members {
		if member.Label == "" || member.Label == s.Label {
			return &FieldError{"members.label", "missing or this node's own"}
		}
		addresses["members."+member.Label+".addr"] = member.Addr
	}
	for _, field := range slices.Sorted(maps.Keys(addresses)) {
		address := addresses[field]
		if _, _, err := net.SplitHostPort(address); err != nil {
			return &FieldError{field, fmt.Sprintf("%q is not host:port", address)}
		}
	}
	return nil
}

// maxAmount is the maximum of settings without a specific maximum. It is above any sensible value.
const maxAmount = 1e9

func (d *Deployment) checkAmounts() error {
	for _, amount := range []struct {
		field string
		value float64
	}{
		{"deployment.workers.report_s", d.Workers.HeartbeatIntervalS},
		{"deployment.workers.lease_s", d.Workers.LeaseS},
		{"deployment.workers.gang_wait_s", d.Workers.GangWaitS},
		{"deployment.workers.gang_peer_s", d.Workers.GangLossDetectionS},
		{"deployment.workers.cancel_s", d.Workers.CancellationTimeoutS},
		{"deployment.state.rps", d.State.RPS},
		{"deployment.state.write_rps", d.State.WriteRPS},
		{"deployment.state.value_kb", d.State.ValueKB},
		{"deployment.state.txn_ops", float64(d.State.TxnOps)},
		{"deployment.cloud.rps", d.Cloud.RPS},
		{"deployment.resources.ram_mb", d.Resources.MemoryMB},
		{"deployment.resources.sockets", float64(d.Resources.Sockets)},
	} {
		if !(amount.value > 0 && amount.value < maxAmount) { // also rejects NaN
			return &FieldError{amount.field, "must be above 0"}
		}
	}
	if d.Cloud.ListLagS < 0 {
		return &FieldError{"deployment.cloud.list_lag_s", "must not be negative"}
	}
	return nil
}

func (d *Deployment) checkTeams() error {
	for _, team := range d.Teams {
		if team.Name == "" {
			return &FieldError{"deployment.teams.name", "missing"}
		}
		for _, amount := range []float64{team.CPUs, team.MaxCPUs, team.GPUs, team.MaxGPUs} {
			if !(amount >= 0) { // also rejects NaN
				return &FieldError{"deployment.teams." + team.Name, "amounts must not be negative"}
			}
		}
	}
	return nil
}
