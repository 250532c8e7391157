package kvstore

import (
	"context"
	"errors"

	"dalefront/wire"
)

// Store is the part of a Client that most packages use; fakes in tests implement it too.
type Store interface {
	// Get reads a key; found is false if it does not exist.
	Get(ctx context.Context, key string) (item wire.KeyValue, found bool, err error)
	// Page reads up to most keys with a prefix that come after a key.
	Page(ctx context.Context, prefix, after string, most int) (wire.KeyValuePage, error)
	// Txn runs a transaction. On ErrConflict the response names the keys whose conditions failed.
	Txn(ctx context.Context, txn wire.Txn) (wire.TxnResponse, error)
}

var _ Store = (*Client)(nil)

// ExistingKeys returns which of the keys exist. It uses transactions that consist of
// conditions only: each of them checks many keys at one revision and transfers no values.
// maxMutations is the service's limit of mutations in a transaction. Errors are those of
// Txn, except ErrConflict.
func ExistingKeys(ctx context.Context, store Store, keys []string, maxMutations int) (map[string]bool, error) {
	existing := map[string]bool{}
	for len(keys) > 0 {
		batch := keys[:min(wire.ConditionsPerChange*maxMutations, len(keys))]
		keys = keys[len(batch):]
		var txn wire.Txn
		for _, key := range batch {
			txn.Conditions = append(txn.Conditions, wire.Condition{Key: key})
		}
		response, err := store.Txn(ctx, txn)
		if err != nil && !errors.Is(err, ErrConflict) {
			return nil, err
		}
		for _, key := range response.FailedKeys {
			existing[key] = true
		}
	}
	return existing, nil
}
