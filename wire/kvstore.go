package wire

import "github.com/vmihailenco/msgpack/v5"

// KeyValue is a key of the state service with its value.
type KeyValue struct {
	Key     string             `msgpack:"K"`
	Value   msgpack.RawMessage `msgpack:"Value"`
	Version uint64             `msgpack:"Stamp"`             // revision of the latest change of the key
	Lease   uint64             `msgpack:"Tenancy,omitempty"` // lease whose expiry deletes the key; 0: no lease
}

// KeyValuePage is a page of keys with their values, ordered by key.
type KeyValuePage struct {
	Items    List[KeyValue] `msgpack:"Entries"`
	More     bool           `msgpack:"More"`
	Revision uint64         `msgpack:"Epoch"` // revision of the store when the page was read
}

// Condition is a condition of a transaction: the key must have the version. Version 0 means that the key
// must not exist.
type Condition struct {
	Key     string `msgpack:"K"`
	Version uint64 `msgpack:"Stamp"`
}

// Mutation is a put (Put and Value set) or a delete (Delete set) in a transaction.
type Mutation struct {
	Put    string `msgpack:"Write,omitempty"` // key to be set
	Value  any    `msgpack:"Value,omitempty"`
	Lease  uint64 `msgpack:"Tenancy,omitempty"` // lease to which the key in Put is attached; 0: no lease
	Delete string `msgpack:"Drop,omitempty"`    // key to be deleted
}

// Txn is an atomic compare-and-swap transaction. If all conditions hold, all mutations are applied. If any
// condition does not hold, no mutation is applied.
type Txn struct {
	Conditions []Condition `msgpack:"When"`
	Mutations  []Mutation  `msgpack:"Writes,omitempty"`
}

// TxnResponse is the response to a transaction, with status 200 or 409.
type TxnResponse struct {
	Revision   uint64   `msgpack:"Epoch"`            // revision of the store after the transaction
	FailedKeys []string `msgpack:"failed,omitempty"` // keys whose condition did not hold; only with 409
}

// Lease is a lease of the state service. When it expires, the keys attached to it are deleted.
type Lease struct {
	ID    uint64 `msgpack:"Tenancy"`
	TTLMs int64  `msgpack:"LifeMs,omitempty"` // time to live in milliseconds
}

// Event is a put or a delete that a watch has observed.
type Event struct {
	Put     string             `msgpack:"Write"` // key that was set
	Delete  string             `msgpack:"Drop"`  // key that was deleted
	Value   msgpack.RawMessage `msgpack:"Value"`
	Version uint64             `msgpack:"Stamp"` // revision of the change
}

// Events is the response to a watch.
type Events struct {
	Revision uint64      `msgpack:"Epoch"` // revision up to which all changes are included
	Events   List[Event] `msgpack:"Events"`
}
