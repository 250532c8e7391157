// Package wire defines the messages that dalefront exchanges with users, workers, the cloud and the
// state service. Clients may import it.
//
// Many names on the wire differ from the Go names. They appear here only as struct tags and as constant
// values. Messages are encoded as MessagePack. Commands also print the messages that have JSON tags.
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

// Error is the body of an error response.
type Error struct {
	Error string `msgpack:"error"`
}

// Marshal encodes a message.
func Marshal(message any) ([]byte, error) { return msgpack.Marshal(message) }

// Unmarshal decodes a message. It ignores unknown fields, and bytes after the message. The error is a
// *StructureError if the body is not MessagePack as the protocol uses it.
func Unmarshal(body []byte, message any) error {
	size, err := checkStructure(body)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(body[:size], message)
}
