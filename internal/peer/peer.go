// Package peer implements the protocol between controllers, and between operators' commands and
// controllers. It is gRPC with messages encoded as MessagePack.
package peer

import (
	"google.golang.org/grpc/encoding"

	"dalefront/wire"
)

// codecName is the gRPC content subtype that both sides use.
const codecName = "msgpack"

// codec encodes gRPC messages as MessagePack.
type codec struct{}

// Marshal encodes a message.
func (codec) Marshal(v any) ([]byte, error) { return wire.Marshal(v) }

// Unmarshal decodes a message.
func (codec) Unmarshal(data []byte, v any) error { return wire.Unmarshal(data, v) }

// Name returns the content subtype for which gRPC uses the codec.
func (codec) Name() string { return codecName }

func init() { encoding.RegisterCodec(codec{}) }
