package peer

import (
	"dalefront/internal/standby"
	"dalefront/wire"
)

// Heartbeat tells a peer what the sender knows about the leader's term. The peer may rely on a heartbeat
// only where a late or wrong heartbeat is harmless. Information under a higher token always takes precedence.
type Heartbeat struct {
	From         string                   `msgpack:"f"`
	Leader       string                   `msgpack:"l"`
	Token        uint64                   `msgpack:"t"`
	WantContacts bool                     `msgpack:"a,omitempty"` // asks the peer to respond with Contacts
	Contacts     wire.List[WorkerContact] `msgpack:"h,omitempty"`

	// Peers of an earlier version do not send any of the following fields.
	Leading        bool   `msgpack:"x,omitempty"` // the sender acts as leader under Token
	ProcessID      uint64 `msgpack:"b,omitempty"` // identifies the sender's process; changes with each start
	RecentRestarts int    `msgpack:"e,omitempty"` // in a response: recent restarts of the requesting controller
	RenewalToken   uint64 `msgpack:"g,omitempty"` // the token under which the sender may renew workers' leases

	StandbyView  *standby.View `msgpack:"v,omitempty"` // the list of standbys that the leader has published
	CannotFollow bool          `msgpack:"u,omitempty"` // the sender recently failed to follow the stored state

	SupportsConfig bool   `msgpack:"cf,omitempty"` // the sender supports configuration that changes at run time
	Generation     uint64 `msgpack:"cg,omitempty"` // generation of the configuration that the sender uses

	// Probe and ProbeProcessID ask whether the receiver reaches a process of another controller. In the
	// response, Reached tells whether the receiver reaches the process.
	Probe          string `msgpack:"p,omitempty"`
	ProbeProcessID uint64 `msgpack:"pb,omitempty"`
	Reached        bool   `msgpack:"pr,omitempty"`
}

// WorkerContact names a worker and gives the age, in microseconds, of its last heartbeat at a controller.
type WorkerContact struct {
	Host      string `msgpack:"h"`
	AgeMicros int64  `msgpack:"a"`
}

// EntryName returns the worker's name.
func (c WorkerContact) EntryName() string { return c.Host }

// MaxWorkerContacts limits the number of workers in one heartbeat response. With names of 40 bytes the
// response stays below the message size limit.
const MaxWorkerContacts = 16_384

// RelayRequest carries a worker's heartbeat to the leader.
type RelayRequest struct {
	Report wire.Heartbeat `msgpack:"r"`
}

// RelayResponse is the leader's response to a RelayRequest. Status is an HTTP status code.
type RelayResponse struct {
	Status int                    `msgpack:"s"`
	Answer wire.HeartbeatResponse `msgpack:"a"`
}

// TaskCountsRequest asks for the task counts of jobs, for display.
type TaskCountsRequest struct {
	JobIDs []string `msgpack:"i"`
}

// TaskCountsResponse has the task counts of those jobs that the leader knows.
type TaskCountsResponse struct {
	Jobs wire.List[wire.JobStatus] `msgpack:"j"`
}

// TransferRequest asks a controller to transfer leadership if it is the leader under Token.
type TransferRequest struct {
	Token uint64 `msgpack:"t"`
}

// TransferResponse reports whether the controller transfers leadership.
type TransferResponse struct {
	Transferred bool `msgpack:"d"`
}
