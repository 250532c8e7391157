package wire

// States of machines in the cloud's list of machines.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed" // stopped by itself; listed until it is deleted
)

// MachineType is one entry of the cloud's catalog.
type MachineType struct {
	Name      string   `msgpack:"Label"`
	CPUs      float64  `msgpack:"Cores"`      // processor cores
	GPUs      float64  `msgpack:"Gpus"`       // accelerators
	MemoryGB  float64  `msgpack:"RamGb"`      // memory, in gigabytes
	CacheGB   float64  `msgpack:"LocalGb"`    // image cache, in gigabytes
	FetchGBPS float64  `msgpack:"PullGbPerS"` // image fetch rate, in gigabytes per second
	Price     float64  `msgpack:"Rate"`       // price per hour
	SpotPrice float64  `msgpack:"LowPrice"`   // current price per hour of a spot machine
	BootS     float64  `msgpack:"BootS"`      // typical time from the request until the machine runs, in seconds
	Zones     []string `msgpack:"Districts"`  // zones that offer this type
}

// Catalog lists the machine types of the cloud.
type Catalog struct {
	Types List[MachineType] `msgpack:"Builds"`
}

// ScaleOutRequest asks the cloud for machines.
type ScaleOutRequest struct {
	RequestID string `msgpack:"Hire"` // idempotency key; must never be used for another request
	Type      string `msgpack:"Build"`
	Zone      string `msgpack:"District"`
	Spot      bool   `msgpack:"Loaners"`
	Count     int    `msgpack:"Count"` // number of machines; the cloud may grant fewer
}

// MachineIDs is a list of machine IDs: the response to a ScaleOutRequest and the body of a scale-in request.
type MachineIDs struct {
	IDs []string `msgpack:"Hosts"`
}

// Machine is one entry of the cloud's list of machines.
type Machine struct {
	ID    string  `msgpack:"Id"`
	Addr  string  `msgpack:"Addr"` // host:port of the machine's worker
	Type  string  `msgpack:"Build"`
	Zone  string  `msgpack:"District"`
	Spot  bool    `msgpack:"Loaners"`
	State string  `msgpack:"Status"` // MachineBooting, MachineRunning or MachineFailed
	AgeS  float64 `msgpack:"AgeS"`   // seconds since the machine was requested
}

// MachinePage is a page of the cloud's list of machines, ordered by machine ID.
type MachinePage struct {
	Machines List[Machine] `msgpack:"Hosts"`
	More     bool          `msgpack:"More"`
}
