package kvstore

import (
	"context"
	"errors"

	"dalefront/wire"
)

// Store is the part of a Client that most packages use. Fakes in tests implement it, too.
type Store interface {
	// Get reads a key. found reports whether the key exists.
	Get(ctx context.Context, key string) (item wire.KeyValue, found bool, err error)
	// Page reads the keys that have a prefix and come after the given key, up to limit of them.
	Page(ctx context.Context, prefix, after string, limit int) (wire.KeyValuePage, error)
	// Txn executes a transaction. If a condition does not hold, the error is ErrConflict and the response
	// has the keys of the failed conditions.
	Txn(ctx context.Context, txn wire.Txn) (wire.TxnResponse, error)
}

var _ Store = (*Client)(nil)

// ExistingKeys returns the subset of the keys that exist. It uses transactions without mutations: each
// transaction checks the conditions of many keys at one revision and transfers no values. maxMutations
// is the maximum number of mutations that the service allows in a transaction. Errors are those of Txn,
// except ErrConflict.
func ExistingKeys(ctx context.Context, store Store, keys []string, maxMutations int) (map[string]bool, error) {
	existing := map[string]bool{}
	for len(keys) > 0 {
		batch := keys[:min(wire.ConditionsPerMutation*maxMutations, len(keys))]
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
