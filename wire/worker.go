package wire

// States of tasks in workers' heartbeats.
const (
	TaskFetching       = "pulling"   // waits until the machine has the task's image
	TaskWaitingForGang = "gathering" // gang task that waits until the other tasks of the same attempt are ready
	TaskRunning        = "running"
	TaskCheckpointing  = "flushing" // saves a checkpoint after a stop command
	TaskExited         = "exited"   // see TaskStatus.Cause
)

// Causes of a task's exit.
const (
	CauseDone                  = "done"       // the task completed
	CauseStopped               = "stopped"    // the task was stopped by a command
	CauseGangMemberLost        = "peers"      // another task of the gang was lost
	CauseGangIncomplete        = "incomplete" // the gang was not complete before a timeout
	CauseError                 = "error"      // the task failed
	CauseInsufficientResources = "no_room"    // launch rejected, not enough free resources on the machine
	CauseAttemptConflict       = "in_use"     // launch rejected, another attempt of the task is on the machine
	CauseUnknown               = "no_such"    // launch rejected, the job or task does not exist
)

// Operations of commands to workers.
const (
	Launch = "launch"
	Stop   = "stop"
	Clear  = "clear" // removes an exited task from the worker's heartbeats
)

// TaskStatus is the status of one task on a machine.
type TaskStatus struct {
	Task    string `msgpack:"Piece"`           // see TaskName
	Attempt uint64 `msgpack:"Try"`             // identifies the launch of the task
	State   string `msgpack:"Status"`          // TaskFetching to TaskExited
	Cause   string `msgpack:"Cause,omitempty"` // CauseDone to CauseUnknown; only set for an exited task
	Saved   bool   `msgpack:"Saved,omitempty"` // whether a stopped task has saved its checkpoint
}

// Heartbeat describes a worker's machine and all tasks on it. Of two heartbeats, the one with the larger
// Incarnation is newer. If the incarnations are equal, the one with the larger Sequence is newer.
type Heartbeat struct {
	Host              string           `msgpack:"Host"`
	Addr              string           `msgpack:"Addr"`     // host:port to which controllers send commands directly
	Type              string           `msgpack:"Build"`    // machine type
	Zone              string           `msgpack:"District"` // availability zone
	Spot              bool             `msgpack:"Loaners"`
	Incarnation       uint64           `msgpack:"Tenure"`  // starts at 1; increases with each expiry of the worker's lease
	Sequence          uint64           `msgpack:"Tick"`    // increases with each message of the worker
	FencingToken      uint64           `msgpack:"Warrant"` // highest token that the worker has seen
	PreemptionNoticeS *float64         `msgpack:"RecallS"` // seconds until the cloud reclaims the machine; nil: no notice
	Tasks             List[TaskStatus] `msgpack:"Pieces"`  // includes exited tasks until a Clear command removes them
}

// Command is one command to a worker.
type Command struct {
	Op      string   `msgpack:"Verb"`  // Launch, Stop or Clear
	Task    string   `msgpack:"Piece"` // see TaskName
	Attempt uint64   `msgpack:"Try"`
	GraceS  *float64 `msgpack:"WindupS,omitempty"` // only for Stop: time for saving a checkpoint, in seconds
}

// HeartbeatResponse is the response to a heartbeat with status 200. The worker drops the response if its
// token is lower than a token that the worker has seen before.
type HeartbeatResponse struct {
	FencingToken uint64        `msgpack:"Warrant"`
	Commands     List[Command] `msgpack:"Orders"` // executed in this order
}

// Redirect is the response to a heartbeat with status 421.
type Redirect struct {
	To string `msgpack:"Overseer,omitempty"` // label of the controller that should get the heartbeat; empty: unknown
}

// CommandBatch is the body of a request that sends commands directly to a worker. The worker executes
// the commands only if the fencing token and the incarnation still match.
type CommandBatch struct {
	FencingToken uint64        `msgpack:"Warrant"`
	Incarnation  uint64        `msgpack:"Tenure"`
	Commands     List[Command] `msgpack:"Orders"`
}
