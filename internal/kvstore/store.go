package kvstore

import (
	"context"
	"errors"

	"dalefront/wire"
)

// Store is what most of the program needs of the state service; *Client has it, and so
// have the stand-ins of tests.
type Store interface {
	Get(ctx context.Context, key string) (wire.KeyValue, bool, error)
	Page(ctx context.Context, prefix, after string, most int) (wire.KeyValuePage, error)
	Txn(ctx context.Context, txn wire.Txn) (wire.TxnResponse, error)
}

var _ Store = (*Client)(nil)

// Existing tells which of some keys exist, by transactions that only compare: each looks
// at four times as many as a transaction has changes, in one moment, and brings no
// values. Errors are those of Multi, ErrConflict excepted.
func Existing(ctx context.Context, s Store, keys []string, ops int) (map[string]bool, error) {
	there := map[string]bool{}
	for len(keys) > 0 {
		part := keys[:min(4*ops, len(keys))]
		keys = keys[len(part):]
		var txn wire.Txn
		for _, k := range part {
			txn.Conditions = append(txn.Conditions, wire.Condition{Key: k})
		}
		a, err := s.Txn(ctx, txn)
		if err != nil && !errors.Is(err, ErrConflict) {
			return nil, err
		}
		for _, k := range a.FailedKeys {
			there[k] = true
		}
	}
	return there, nil
}
