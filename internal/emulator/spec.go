package emulator

import (
	"cmp"
	"os"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/pelletier/go-toml/v2"

	"dalefront/internal/config"
	"dalefront/internal/hclfile"
	"dalefront/wire"
)

// Spec is the description of an emulated site, as read from a file. A field that is left out gets the value of
// a small default site. Durations are in seconds. Amounts of memory and image sizes are in gigabytes.
type Spec struct {
	Controllers int           `hcl:"controllers,optional"`
	Machines    int           `hcl:"machines,optional"` // maximum number of machines that are rented at a time
	Seed        uint64        `hcl:"seed,optional"`
	Sockets     int           `hcl:"sockets,optional"` // maximum number of open sockets of a controller
	Zones       []string      `hcl:"zones,optional"`
	Types       []SpecMachine `hcl:"machine,block"`
	Teams       []SpecTeam    `hcl:"team,block"`
	Workers     *SpecWorkers  `hcl:"workers,block"`
	State       *SpecState    `hcl:"state,block"`
	Cloud       *SpecCloud    `hcl:"cloud,block"`
	Range       hcl.Range     `hcl:",def_range"`
}

// SpecMachine is a type of machine that may be rented. Prices are per hour.
type SpecMachine struct {
	Name      string    `hcl:"name,label"`
	CPUs      float64   `hcl:"cpus"`
	GPUs      float64   `hcl:"gpus,optional"`
	MemoryGB  float64   `hcl:"memory_gb"`
	CacheGB   float64   `hcl:"cache_gb,optional"`
	FetchGBPS float64   `hcl:"fetch_gb_per_s,optional"`
	Price     float64   `hcl:"price"`
	SpotPrice float64   `hcl:"spot_price,optional"`
	BootS     float64   `hcl:"boot_s,optional"`
	Zones     []string  `hcl:"zones,optional"` // zones that offer the type; all zones if empty
	Range     hcl.Range `hcl:",def_range"`
}

// SpecTeam is a team with its guaranteed CPUs and GPUs and its limits CPUsMax and GPUsMax. The value 0 means no
// guarantee or no limit.
type SpecTeam struct {
	Name    string    `hcl:"name,label"`
	CPUs    float64   `hcl:"cpus,optional"`
	CPUsMax float64   `hcl:"cpus_max,optional"`
	GPUs    float64   `hcl:"gpus,optional"`
	GPUsMax float64   `hcl:"gpus_max,optional"`
	Range   hcl.Range `hcl:",def_range"`
}

// SpecWorkers holds the intervals and timeouts of the workers.
type SpecWorkers struct {
	HeartbeatIntervalS   float64 `hcl:"report_s,optional"`
	LeaseS               float64 `hcl:"lease_s,optional"`
	GangWaitS            float64 `hcl:"gang_wait_s,optional"`
	GangLossDetectionS   float64 `hcl:"gang_peer_s,optional"`
	CancellationTimeoutS float64 `hcl:"cancel_s,optional"`
}

// SpecState holds the state service's limits. Rates are per second.
type SpecState struct {
	RPS      float64 `hcl:"rps,optional"`
	WriteRPS float64 `hcl:"write_rps,optional"`
	ValueKB  float64 `hcl:"value_kb,optional"`
	TxnOps   int     `hcl:"txn_ops,optional"`
}

// SpecCloud holds the cloud's limit on requests per second and the lag of its machine list behind the current
// state.
type SpecCloud struct {
	RPS      float64 `hcl:"rps,optional"`
	ListLagS float64 `hcl:"list_lag_s,optional"`
}

// LoadSpec reads a site's file. An error in the file's contents is one line of text that names the file, line
// and column.
func LoadSpec(path string) (*Spec, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseSpec(b, path)
}

// ParseSpec parses the text of a site's file, fills in the defaults and validates the description. Errors refer
// to the file by the given name.
func ParseSpec(text []byte, name string) (*Spec, error) {
	s := &Spec{}
	if err := hclfile.Decode(text, name, s); err != nil {
		return nil, err
	}
	s.Range = hcl.Range{Filename: name, Start: hcl.InitialPos}
	return s, s.Complete()
}

const (
	maxControllers = 9      // maximum number of controllers of an emulated site
	maxMachines    = 20_000 // maximum number of machines that an emulated site may rent
)

// Complete fills in the defaults of fields that were left out, and validates the description.
func (s *Spec) Complete() error {
	s.Controllers, s.Machines, s.Seed = cmp.Or(s.Controllers, 3), cmp.Or(s.Machines, 20), cmp.Or(s.Seed, 1)
	s.Sockets = cmp.Or(s.Sockets, 500)
	if len(s.Zones) == 0 {
		s.Zones = []string{"a", "b"}
	}
	if len(s.Types) == 0 {
		s.Types = []SpecMachine{
			{Name: "small", CPUs: 8, MemoryGB: 32, CacheGB: 60, FetchGBPS: 2, Price: 0.4, SpotPrice: 0.15, BootS: 2},
			{Name: "gpu", CPUs: 16, GPUs: 4, MemoryGB: 128, CacheGB: 120, FetchGBPS: 2, Price: 4, SpotPrice: 1.6, BootS: 3},
		}
	}
	if len(s.Teams) == 0 {
		s.Teams = []SpecTeam{{Name: "research", CPUs: 32, CPUsMax: 200}, {Name: "web", CPUs: 16, CPUsMax: 64}}
	}
	s.Workers, s.State, s.Cloud = cmp.Or(s.Workers, &SpecWorkers{}), cmp.Or(s.State, &SpecState{}), cmp.Or(s.Cloud, &SpecCloud{})
	w, t := s.Workers, s.State
	*w = SpecWorkers{cmp.Or(w.HeartbeatIntervalS, 1), cmp.Or(w.LeaseS, 5), cmp.Or(w.GangWaitS, 20), cmp.Or(w.GangLossDetectionS, 3), cmp.Or(w.CancellationTimeoutS, 15)}
	*t = SpecState{cmp.Or(t.RPS, 400), cmp.Or(t.WriteRPS, 150), cmp.Or(t.ValueKB, 16), cmp.Or(t.TxnOps, 24)}
	s.Cloud.RPS, s.Cloud.ListLagS = cmp.Or(s.Cloud.RPS, 10), cmp.Or(s.Cloud.ListLagS, 1)
	if s.Sockets < 100 {
		return hclfile.Errorf(s.Range, "sockets must be at least 100")
	}
	if s.Controllers < 1 || s.Controllers > maxControllers || s.Machines < 1 || s.Machines > maxMachines {
		return hclfile.Errorf(s.Range, "controllers must be from 1 to 9, and machines from 1 to 20000")
	}
	if w.HeartbeatIntervalS < 0.1 || w.LeaseS <= w.HeartbeatIntervalS || w.GangWaitS <= 0 || w.GangLossDetectionS <= 0 || w.CancellationTimeoutS <= w.HeartbeatIntervalS {
		return hclfile.Errorf(s.Range, "workers: report_s must be at least 0.1, lease_s and cancel_s above it, the others above 0")
	}
	if t.RPS < 10 || t.WriteRPS < 10 || t.ValueKB < 1 || t.TxnOps < 3 || s.Cloud.RPS < 1 || s.Cloud.ListLagS < 0 {
		return hclfile.Errorf(s.Range, "state: rps and write_rps must be at least 10, value_kb 1, txn_ops 3; cloud: rps 1")
	}
	for i := range s.Types {
		m := &s.Types[i]
		m.CacheGB, m.FetchGBPS, m.BootS, m.SpotPrice = cmp.Or(m.CacheGB, 60), cmp.Or(m.FetchGBPS, 2), cmp.Or(m.BootS, 2), cmp.Or(m.SpotPrice, 0.4*m.Price)
		if len(m.Zones) == 0 {
			m.Zones = s.Zones
		}
		if !(m.CPUs > 0 && m.MemoryGB > 0 && m.Price > 0 && m.GPUs >= 0 && m.CacheGB > 0 && m.FetchGBPS > 0 && m.BootS > 0 && m.SpotPrice > 0) {
			return hclfile.Errorf(m.Range, "machine %s: amounts must be above 0", m.Name)
		}
		if i != slices.IndexFunc(s.Types, func(x SpecMachine) bool { return x.Name == m.Name }) {
			return hclfile.Errorf(m.Range, "machine %s: there is another one of this name", m.Name)
		}
		for _, z := range m.Zones {
			if !slices.Contains(s.Zones, z) {
				return hclfile.Errorf(m.Range, "machine %s: zone %s is not one of %v", m.Name, z, s.Zones)
			}
		}
	}
	for i, t := range s.Teams {
		if t.CPUs < 0 || t.GPUs < 0 || t.CPUsMax != 0 && t.CPUsMax < t.CPUs || t.GPUsMax != 0 && t.GPUsMax < t.GPUs {
			return hclfile.Errorf(t.Range, "team %s: a limit must not be below the guarantee", t.Name)
		}
		if i != slices.IndexFunc(s.Teams, func(x SpecTeam) bool { return x.Name == t.Name }) {
			return hclfile.Errorf(t.Range, "team %s: there is another one of this name", t.Name)
		}
	}
	return nil
}

// Catalog returns the machine types that the site's cloud offers.
func (s *Spec) Catalog() (c wire.Catalog) {
	for _, m := range s.Types {
		c.Types = append(c.Types, wire.MachineType{Name: m.Name, CPUs: m.CPUs, GPUs: m.GPUs, MemoryGB: m.MemoryGB, CacheGB: m.CacheGB,
			FetchGBPS: m.FetchGBPS, Price: m.Price, SpotPrice: m.SpotPrice, BootS: m.BootS, Zones: m.Zones})
	}
	return c
}

// controllerAddrs holds the label, zone and addresses of a controller, and the other controllers (members) of
// the site.
type controllerAddrs struct {
	label, zone, listen, peer string
	services                  string // address of the state service and the cloud
	members                   []config.Member
}

// encodeSettings returns the text of a controller's settings file, in the form in which the platform provides
// the file.
func (s *Spec) encodeSettings(addrs controllerAddrs) ([]byte, error) {
	c := config.Settings{Label: addrs.label, Zone: addrs.zone, ListenAddr: addrs.listen, PeerAddr: addrs.peer, Members: addrs.members}
	c.Endpoints.Cloud, c.Endpoints.State = addrs.services, addrs.services
	d := &c.Deployment
	d.Size, d.Zones, d.MaxClockErrorMs = s.Controllers, s.Zones, 50
	for _, t := range s.Teams {
		d.Teams = append(d.Teams, config.Team{Name: t.Name, CPUs: t.CPUs, MaxCPUs: t.CPUsMax, GPUs: t.GPUs, MaxGPUs: t.GPUsMax})
	}
	d.Workers = config.Workers(*s.Workers)
	d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = s.State.RPS, s.State.WriteRPS, s.State.ValueKB, s.State.TxnOps
	d.Cloud.RPS, d.Cloud.ListLagS = s.Cloud.RPS, s.Cloud.ListLagS
	d.Resources.Cores, d.Resources.MemoryMB, d.Resources.Sockets = 1, 256, s.Sockets
	return toml.Marshal(c)
}

// Settings returns the settings of the site's controllers, for a scheduler that runs without a controller.
func (s *Spec) Settings() (*config.Settings, error) {
	text, err := s.encodeSettings(controllerAddrs{label: "controller-1", zone: s.Zones[0], listen: "127.0.0.1:1", peer: "127.0.0.1:2", services: "127.0.0.1:3"})
	if err != nil {
		return nil, err
	}
	return config.Parse(text)
}
