package peer

import (
	"dalefront/internal/standby"
	"dalefront/wire"
)

// Heartbeat tells a peer what this controller knows about the leader's term. A peer may
// rely on it only where a late or wrong message is harmless: a higher token always wins.
type Heartbeat struct {
	From         string    `msgpack:"f"`
	Leader       string    `msgpack:"l"`
	Token        uint64    `msgpack:"t"`
	WantContacts bool      `msgpack:"a,omitempty"` // asks for Contacts
	Contacts     []Contact `msgpack:"h,omitempty"`

	// Peers of an earlier version leave these out.
	Leading        bool   `msgpack:"x,omitempty"` // the sender acts as leader under the token
	ProcessID      uint64 `msgpack:"b,omitempty"` // of the sender's process: another one each time it is started
	RecentRestarts int    `msgpack:"e,omitempty"` // in an answer: how often the asking controller was restarted lately
	RenewalToken   uint64 `msgpack:"g,omitempty"` // the token under which the sender may renew workers' leases

	StandbyView  *standby.View `msgpack:"v,omitempty"` // the standbys, as the leader published them
	CannotFollow bool          `msgpack:"u,omitempty"` // the sender could not follow the stored state lately

	SupportsConfig bool   `msgpack:"cf,omitempty"` // the sender knows configuration that changes at run time
	Generation     uint64 `msgpack:"cg,omitempty"` // of the configuration that the sender decides by

	// A question whether the receiver reaches a process of another controller, and its answer.
	Probe          string `msgpack:"p,omitempty"`
	ProbeProcessID uint64 `msgpack:"pb,omitempty"`
	Reached        bool   `msgpack:"pr,omitempty"`
}

// Contact is a worker and the age in microseconds of its last heartbeat at a controller.
type Contact struct {
	Host      string `msgpack:"h"`
	AgeMicros int64  `msgpack:"a"`
}

// MaxContacts bounds the workers that one answer names: with names of 40 bytes it
// stays below the limit of a message.
const MaxContacts = 16_384

// RelayRequest carries a worker's heartbeat to the leader.
type RelayRequest struct {
	Report wire.Heartbeat `msgpack:"r"`
}

// RelayResponse is the leader's answer; Status is an HTTP status.
type RelayResponse struct {
	Status int                    `msgpack:"s"`
	Answer wire.HeartbeatResponse `msgpack:"a"`
}

// CountsRequest asks for the task counts of jobs, for display.
type CountsRequest struct {
	JobIDs []string `msgpack:"i"`
}

// CountsResponse has the counts of those jobs that the leader knows.
type CountsResponse struct {
	Jobs []wire.JobStatus `msgpack:"j"`
}

// TransferRequest asks a controller to transfer leadership, if it is the leader under the
// token.
type TransferRequest struct {
	Token uint64 `msgpack:"t"`
}

// TransferResponse says whether it does.
type TransferResponse struct {
	Transferred bool `msgpack:"d"`
}
