// Package wire holds the message formats that dalefront speaks with users,
// workers, the cloud and the state service. Clients may import it.
//
// Go names are the field's usual terms; the names on the wire appear only as
// tags and values here. Messages are MessagePack, unless they have JSON tags
// too: those are shown by commands.
package wire

import "github.com/vmihailenco/msgpack/v5"

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

// Error is the body of a refusal.
type Error struct {
	Error string `msgpack:"error"`
}

// Marshal encodes a message.
func Marshal(message any) ([]byte, error) { return msgpack.Marshal(message) }

// Unmarshal decodes a message and ignores fields it does not know.
func Unmarshal(body []byte, message any) error { return msgpack.Unmarshal(body, message) }
