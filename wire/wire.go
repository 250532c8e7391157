// Package wire holds the message formats that dalefront speaks with users,
// workers, the cloud and the state service. Clients may import it.
//
// Go names are the field's usual terms; the names on the wire appear only as
// tags and values here.
package wire

// Paths of the HTTP interfaces.
const (
	PathJobs      = "/v2/runs"
	PathHealth    = "/healthz"
	PathHeartbeat = "/hello"
	PathCommands  = "/orders"
	PathInspect   = "/inspect"
	PathCatalog   = "/catalog"
	PathMachines  = "/rentals"
	PathScaleIn   = "/rentals/return"
	CancelAction  = "withdraw"
)

// MaxBodyBytes is the protocol's limit for request bodies, in bytes.
const MaxBodyBytes = 64 << 10

// Shapes of jobs.
const (
	Array   = "sweep"
	Gang    = "ensemble"
	Service = "service"
)

// Priorities of jobs.
const (
	Production = "production"
	High       = "urgent"
	Normal     = "normal"
	Low        = "low"
)

// States of jobs as users see them.
const (
	JobQueued    = "queued"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "aborted"
)

// States of tasks as workers report them.
const (
	TaskFetching = "pulling"
	TaskWaiting  = "gathering"
	TaskRunning  = "running"
	TaskSaving   = "flushing"
	TaskExited   = "exited"
)

// Causes of exit.
const (
	CauseDone           = "done"
	CauseStopped        = "stopped"
	CauseGangMemberLost = "peers"
	CauseGangIncomplete = "incomplete"
	CauseError          = "error"
	CauseNoRoom         = "no_room"
	CauseImageInUse     = "in_use"
	CauseUnknown        = "no_such"
)

// Commands to workers.
const (
	Launch = "launch"
	Stop   = "stop"
	Clear  = "clear"
)

// States of machines in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// Job is a submission. Durations are seconds, as on the wire.
type Job struct {
	ID                  string   `msgpack:"Id"`
	Class               string   `msgpack:"Jobclass"`
	Team                string   `msgpack:"Owner"`
	Shape               string   `msgpack:"Shape"`
	Priority            string   `msgpack:"Urgency"`
	Tasks               int      `msgpack:"Pieces"`
	CPUs                float64  `msgpack:"Cores"`
	GPUs                float64  `msgpack:"Gpus"`
	MemoryGB            float64  `msgpack:"RamGb"`
	Image               string   `msgpack:"Bundle"`
	ImageGB             float64  `msgpack:"SizeGb"`
	Types               []string `msgpack:"Builds"`
	Zone                *string  `msgpack:"District"`
	OneZone             bool     `msgpack:"SamePlace"`
	Spread              bool     `msgpack:"Spread"`
	Spot                bool     `msgpack:"Loaners"`
	EstimateS           float64  `msgpack:"ExpectedS"`
	CheckpointIntervalS float64  `msgpack:"SnapshotEveryS"`
	CheckpointDurationS float64  `msgpack:"SnapshotS"`
	DeadlineS           *float64 `msgpack:"DueS"`
}

// JobStatus answers submissions, queries and cancellations.
type JobStatus struct {
	ID      string `msgpack:"Id"`
	Status  string `msgpack:"Status"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
}

// Final reports whether a status can never change again.
func Final(status string) bool { return status == JobDone || status == JobCancelled }

// TaskStatus is one task on a machine.
type TaskStatus struct {
	Task    string `msgpack:"Piece"`
	Attempt uint64 `msgpack:"Try"`
	State   string `msgpack:"Status"`
	Cause   string `msgpack:"Cause,omitempty"`
	Saved   bool   `msgpack:"Saved,omitempty"`
}

// Heartbeat is what a worker says about its machine.
type Heartbeat struct {
	Host              string       `msgpack:"Host"`
	Addr              string       `msgpack:"Addr"`
	Type              string       `msgpack:"Build"`
	Zone              string       `msgpack:"District"`
	Spot              bool         `msgpack:"Loaners"`
	Incarnation       uint64       `msgpack:"Tenure"`
	Sequence          uint64       `msgpack:"Tick"`
	FencingToken      uint64       `msgpack:"Warrant"`
	PreemptionNoticeS *float64     `msgpack:"RecallS"`
	Tasks             []TaskStatus `msgpack:"Pieces"`
}

// Command is one command to a worker.
type Command struct {
	Op      string   `msgpack:"Verb"`
	Task    string   `msgpack:"Piece"`
	Attempt uint64   `msgpack:"Try"`
	GraceS  *float64 `msgpack:"WindupS,omitempty"`
}

// HeartbeatResponse answers a report with 200.
type HeartbeatResponse struct {
	FencingToken uint64    `msgpack:"Warrant"`
	Commands     []Command `msgpack:"Orders"`
}

// Redirect answers a report with 421.
type Redirect struct {
	To string `msgpack:"Overseer,omitempty"`
}

// CommandBatch is the body of a command sent straight to a worker.
type CommandBatch struct {
	FencingToken uint64    `msgpack:"Warrant"`
	Incarnation  uint64    `msgpack:"Tenure"`
	Commands     []Command `msgpack:"Orders"`
}

// MachineType is one entry of the cloud's catalog.
type MachineType struct {
	Name      string   `msgpack:"Label"`
	CPUs      float64  `msgpack:"Cores"`
	GPUs      float64  `msgpack:"Gpus"`
	MemoryGB  float64  `msgpack:"RamGb"`
	CacheGB   float64  `msgpack:"LocalGb"`
	FetchGBPS float64  `msgpack:"PullGbPerS"`
	Price     float64  `msgpack:"Rate"`
	SpotPrice float64  `msgpack:"LowPrice"`
	BootS     float64  `msgpack:"BootS"`
	Zones     []string `msgpack:"Districts"`
}

// Catalog lists the machine types of the cloud.
type Catalog struct {
	Types []MachineType `msgpack:"Builds"`
}

// ScaleOutRequest asks the cloud for machines.
type ScaleOutRequest struct {
	RequestID string `msgpack:"Hire"`
	Type      string `msgpack:"Build"`
	Zone      string `msgpack:"District"`
	Spot      bool   `msgpack:"Loaners"`
	Count     int    `msgpack:"Count"`
}

// MachineIDs names machines: the answer to a Hire and the body of a return.
type MachineIDs struct {
	IDs []string `msgpack:"Hosts"`
}

// Machine is one entry of the cloud's list.
type Machine struct {
	ID    string  `msgpack:"Id"`
	Addr  string  `msgpack:"Addr"`
	Type  string  `msgpack:"Build"`
	Zone  string  `msgpack:"District"`
	Spot  bool    `msgpack:"Loaners"`
	State string  `msgpack:"Status"`
	AgeS  float64 `msgpack:"AgeS"`
}

// MachinePage is a page of the cloud's list.
type MachinePage struct {
	Machines []Machine `msgpack:"Hosts"`
	More     bool      `msgpack:"More"`
}

// Error is the body of a refusal.
type Error struct {
	Error string `msgpack:"error"`
}
