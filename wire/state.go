package wire

import "github.com/vmihailenco/msgpack/v5"

// KeyValue is a key of the state service. Version is the revision of its most
// recent change.
type KeyValue struct {
	Key     string             `msgpack:"K"`
	Value   msgpack.RawMessage `msgpack:"Value"`
	Version uint64             `msgpack:"Stamp"`
	Lease   uint64             `msgpack:"Tenancy,omitempty"`
}

// KeyValuePage is a page of keys.
type KeyValuePage struct {
	Items    []KeyValue `msgpack:"Entries"`
	More     bool       `msgpack:"More"`
	Revision uint64     `msgpack:"Epoch"`
}

// Condition is a condition of a transaction; version 0 means that the key must not
// exist.
type Condition struct {
	Key     string `msgpack:"K"`
	Version uint64 `msgpack:"Stamp"`
}

// Mutation is a put (Put and Value set) or a delete of a transaction.
type Mutation struct {
	Put    string `msgpack:"Write,omitempty"`
	Value  any    `msgpack:"Value,omitempty"`
	Lease  uint64 `msgpack:"Tenancy,omitempty"`
	Delete string `msgpack:"Drop,omitempty"`
}

// Txn is an atomic transaction.
type Txn struct {
	Conditions []Condition `msgpack:"When"`
	Mutations  []Mutation  `msgpack:"Writes,omitempty"`
}

// TxnResponse answers a transaction: with 200 the revision, with 409 also the
// keys that did not match.
type TxnResponse struct {
	Revision   uint64   `msgpack:"Epoch"`
	FailedKeys []string `msgpack:"failed,omitempty"`
}

// Lease is a lease of the state service.
type Lease struct {
	ID    uint64 `msgpack:"Tenancy"`
	TTLMs int64  `msgpack:"LifeMs,omitempty"`
}

// Event is one change seen by a watch.
type Event struct {
	Put     string             `msgpack:"Write"`
	Delete  string             `msgpack:"Drop"`
	Value   msgpack.RawMessage `msgpack:"Value"`
	Version uint64             `msgpack:"Stamp"`
}

// Events answers a watch.
type Events struct {
	Revision uint64  `msgpack:"Epoch"`
	Events   []Event `msgpack:"Events"`
}
