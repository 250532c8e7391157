package wire

import "github.com/vmihailenco/msgpack/v5"

// Entry is a key of the state service. Version is the revision of its most
// recent change.
type Entry struct {
	Key     string             `msgpack:"K"`
	Value   msgpack.RawMessage `msgpack:"Value"`
	Version uint64             `msgpack:"Stamp"`
	Lease   uint64             `msgpack:"Tenancy,omitempty"`
}

// Entries is a page of keys.
type Entries struct {
	Items    []Entry `msgpack:"Entries"`
	More     bool    `msgpack:"More"`
	Revision uint64  `msgpack:"Epoch"`
}

// Cond is a condition of a transaction; version 0 means that the key must not
// exist.
type Cond struct {
	Key     string `msgpack:"K"`
	Version uint64 `msgpack:"Stamp"`
}

// Change is a put (Put and Value set) or a delete of a transaction.
type Change struct {
	Put    string `msgpack:"Write,omitempty"`
	Value  any    `msgpack:"Value,omitempty"`
	Lease  uint64 `msgpack:"Tenancy,omitempty"`
	Delete string `msgpack:"Drop,omitempty"`
}

// Txn is an atomic transaction.
type Txn struct {
	If   []Cond   `msgpack:"When"`
	Then []Change `msgpack:"Writes,omitempty"`
}

// TxnAnswer answers a transaction: with 200 the revision, with 409 also the
// keys that did not match.
type TxnAnswer struct {
	Revision uint64   `msgpack:"Epoch"`
	Failed   []string `msgpack:"failed,omitempty"`
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
