package wire

// States of machines in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed" // stopped on its own; listed until it is deleted
)

// MachineType is one entry of the cloud's catalog.
type MachineType struct {
	Name      string   `msgpack:"Label"`
	CPUs      float64  `msgpack:"Cores"`      // processor cores
	GPUs      float64  `msgpack:"Gpus"`       // accelerators
	MemoryGB  float64  `msgpack:"RamGb"`      // gigabytes
	CacheGB   float64  `msgpack:"LocalGb"`    // gigabytes for images
	FetchGBPS float64  `msgpack:"PullGbPerS"` // gigabytes a second of image fetches
	Price     float64  `msgpack:"Rate"`       // per hour
	SpotPrice float64  `msgpack:"LowPrice"`   // per hour, at present
	BootS     float64  `msgpack:"BootS"`      // usual seconds from the request until the machine is up
	Zones     []string `msgpack:"Districts"`  // where it can be had
}

// Catalog lists the machine types of the cloud.
type Catalog struct {
	Types []MachineType `msgpack:"Builds"`
}

// ScaleOutRequest asks the cloud for machines.
type ScaleOutRequest struct {
	RequestID string `msgpack:"Hire"` // makes repeated requests idempotent; never used again
	Type      string `msgpack:"Build"`
	Zone      string `msgpack:"District"`
	Spot      bool   `msgpack:"Loaners"`
	Count     int    `msgpack:"Count"` // the cloud may grant fewer
}

// MachineIDs names machines: the answer to a ScaleOutRequest and the body of a scale-in.
type MachineIDs struct {
	IDs []string `msgpack:"Hosts"`
}

// Machine is one entry of the cloud's list.
type Machine struct {
	ID    string  `msgpack:"Id"`
	Addr  string  `msgpack:"Addr"` // host:port of its worker
	Type  string  `msgpack:"Build"`
	Zone  string  `msgpack:"District"`
	Spot  bool    `msgpack:"Loaners"`
	State string  `msgpack:"Status"` // MachineBooting, MachineRunning or MachineFailed
	AgeS  float64 `msgpack:"AgeS"`   // seconds since it was requested
}

// MachinePage is a page of the cloud's list, in the order of the machines' IDs.
type MachinePage struct {
	Machines []Machine `msgpack:"Hosts"`
	More     bool      `msgpack:"More"`
}
