package wire

// States of tasks as workers report them.
const (
	TaskFetching = "pulling"   // waits for its image
	TaskWaiting  = "gathering" // gang task that waits for the others of its attempt
	TaskRunning  = "running"
	TaskSaving   = "flushing" // was told to stop and saves a checkpoint
	TaskExited   = "exited"   // see the cause
)

// Causes of exit.
const (
	CauseDone           = "done"       // completed
	CauseStopped        = "stopped"    // by command
	CauseGangMemberLost = "peers"      // another task of the gang is gone
	CauseGangIncomplete = "incomplete" // the gang was not complete in time
	CauseError          = "error"      // failed
	CauseNoRoom         = "no_room"    // launch refused: not enough free resources on the machine
	CauseImageInUse     = "in_use"     // launch refused: the machine has the task with another attempt
	CauseUnknown        = "no_such"    // launch refused: no such job or task
)

// Operations of commands to workers.
const (
	Launch = "launch"
	Stop   = "stop"
	Clear  = "clear" // removes an exited task from the heartbeats
)

// TaskStatus is one task on a machine.
type TaskStatus struct {
	Task    string `msgpack:"Piece"`           // see TaskName
	Attempt uint64 `msgpack:"Try"`             // tells one launch of the task from another
	State   string `msgpack:"Status"`          // TaskRunning and so on
	Cause   string `msgpack:"Cause,omitempty"` // of an exited task: CauseDone and so on
	Saved   bool   `msgpack:"Saved,omitempty"` // of a stopped task: its checkpoint was saved
}

// Heartbeat is a worker's report on its machine and all its tasks. The one with the larger
// (Incarnation, Sequence) is the newer one.
type Heartbeat struct {
	Host              string       `msgpack:"Host"`
	Addr              string       `msgpack:"Addr"`     // host:port for direct commands
	Type              string       `msgpack:"Build"`    // machine type
	Zone              string       `msgpack:"District"` // availability zone
	Spot              bool         `msgpack:"Loaners"`
	Incarnation       uint64       `msgpack:"Tenure"`  // from 1; increases with each expiry of the worker's lease
	Sequence          uint64       `msgpack:"Tick"`    // increases with each message of the worker
	FencingToken      uint64       `msgpack:"Warrant"` // the highest that the worker has seen
	PreemptionNoticeS *float64     `msgpack:"RecallS"` // seconds until the cloud takes the machine; nil: no notice
	Tasks             []TaskStatus `msgpack:"Pieces"`  // exited tasks too, until they are cleared
}

// Command is one command to a worker.
type Command struct {
	Op      string   `msgpack:"Verb"`  // Launch, Stop or Clear
	Task    string   `msgpack:"Piece"` // see TaskName
	Attempt uint64   `msgpack:"Try"`
	GraceS  *float64 `msgpack:"WindupS,omitempty"` // of Stop: seconds for a checkpoint
}

// HeartbeatResponse answers a heartbeat with 200. The worker drops it if the token is lower than
// one it has seen.
type HeartbeatResponse struct {
	FencingToken uint64    `msgpack:"Warrant"`
	Commands     []Command `msgpack:"Orders"` // executed in this order
}

// Redirect answers a heartbeat with 421.
type Redirect struct {
	To string `msgpack:"Overseer,omitempty"` // label of the controller to report to; empty: not known
}

// CommandBatch is the body of commands sent directly to a worker. They are executed only if token
// and incarnation still match.
type CommandBatch struct {
	FencingToken uint64    `msgpack:"Warrant"`
	Incarnation  uint64    `msgpack:"Tenure"`
	Commands     []Command `msgpack:"Orders"`
}
