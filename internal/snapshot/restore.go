package snapshot

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"iter"
	"slices"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

const (
	// restoreMarkerKey is the key that exists while a restore is in progress. Its value identifies the
	// snapshot.
	restoreMarkerKey = "restore"
	// markerChecksumLen is the length of the checksum in the marker, in bytes.
	markerChecksumLen = 16
	// progressInterval is the number of transactions between two calls of RestoreOptions.Progress while a
	// restore raises the revision.
	progressInterval = 1000
)

// RestoreOptions are the options of Restore.
type RestoreOptions struct {
	MaxMutations int                 // maximum number of mutations in a transaction
	Merge        bool                // allows a state service that is not empty; existing keys are not overwritten
	MinRevision  uint64              // the service's revision is raised above both MinRevision and the snapshot's revision
	Progress     func(RestoreResult) // called after each batch of keys and while the revision is raised; may be nil
	RetryWait    time.Duration       // time before a failed transaction is retried
}

// RestoreResult is the outcome or the progress of a restore.
type RestoreResult struct {
	Written, AlreadyPresent int    // numbers of keys written, and of keys that existed with the same value
	Revision                uint64 // revision of the state service
	RevisionRaises          int    // number of transactions that only raised the revision
}

// restoreMarker is the value of restoreMarkerKey.
type restoreMarker struct {
	Sum string `msgpack:"S"` // checksum of the snapshot's revision, keys and values
}

// marker returns the marker of a restore of this snapshot.
func (s *Snapshot) marker() (restoreMarker, error) {
	content, err := wire.Marshal(s.Revision)
	if err != nil {
		return restoreMarker{}, err
	}
	for _, key := range s.SortedKeys() {
		content = append(append(content, key...), s.Keys[key]...)
	}
	return restoreMarker{hex.EncodeToString(checksum(content, nil)[:markerChecksumLen])}, nil
}

// Restore writes the keys of a snapshot to the state service. It creates keys and never overwrites existing
// keys. After an interruption, another call of Restore can continue. A marker, which is stored under its own
// key, ensures that the other call restores the same snapshot. Finally Restore raises the service's revision
// above the snapshot's revision. Without this step, the workers would reject the new leader: fencing tokens are
// revisions, and a worker rejects a token that is lower than a token it has seen. The store limits the rate
// of requests. No controller may run during a restore. The error wraps ErrNotEmpty, ErrKeysDiffer or an error
// of the store.
func Restore(ctx context.Context, store Store, snap *Snapshot, options RestoreOptions) (RestoreResult, error) {
	marker, err := snap.marker()
	if err != nil {
		return RestoreResult{}, err
	}
	r := &restorer{Store: store, snap: snap, marker: marker, options: options}
	err = r.run(ctx)
	return r.result, err
}

// restorer holds the state of a restore in progress.
type restorer struct {
	Store
	snap          *Snapshot
	marker        restoreMarker
	markerVersion uint64
	options       RestoreOptions
	result        RestoreResult
}

func (r *restorer) run(ctx context.Context) error {
	if err := r.start(ctx); err != nil {
		return err
	}
	var different []string
	for batch := range r.snap.batches(max(1, r.options.MaxMutations)) {
		differing, err := r.createKeys(ctx, batch)
		if err != nil {
			return err
		}
		different = append(different, differing...)
		r.reportProgress()
	}
	for r.result.Revision <= max(r.snap.Revision, r.options.MinRevision) {
		if err := r.writeMarker(ctx); err != nil {
			return err
		}
		r.result.RevisionRaises++
		if r.result.RevisionRaises%progressInterval == 0 {
			r.reportProgress()
		}
	}
	if len(different) > 0 {
		return &DifferentKeysError{len(different), different[0]}
	}
	_, err := r.runTxn(ctx, wire.Txn{Mutations: []wire.Mutation{{Delete: restoreMarkerKey}}})
	return err
}

func (r *restorer) reportProgress() {
	if r.options.Progress != nil {
		r.options.Progress(r.result)
	}
}

// batches yields the keys of the snapshot in sorted order. Each batch fits into a transaction with at most the
// given number of mutations and about maxTxnBytes. A single key may be larger.
func (s *Snapshot) batches(maxMutations int) iter.Seq[[]string] {
	return func(yield func([]string) bool) {
		var batch []string
		size := 0
		for _, key := range s.SortedKeys() {
			keySize := len(key) + 2*len(s.Keys[key]) // the limit applies to the value's text form, which is longer
			if len(batch) == maxMutations || len(batch) > 0 && size+keySize > maxTxnBytes {
				if !yield(batch) {
					return
				}
				batch, size = nil, 0
			}
			batch = append(batch, key)
			size += keySize
		}
		if len(batch) > 0 {
			yield(batch)
		}
	}
}

// runTxn runs a transaction and retries it until its outcome is known or the context ends. If the outcome of
// an attempt is unknown, its mutations may have been applied. A later attempt may then fail with a conflict.
func (r *restorer) runTxn(ctx context.Context, txn wire.Txn) (wire.TxnResponse, error) {
	for {
		response, err := r.Txn(ctx, txn)
		if !errors.Is(err, kvstore.ErrRefused) && !errors.Is(err, kvstore.ErrOutcomeUnknown) {
			r.result.Revision = max(r.result.Revision, response.Revision)
			return response, err
		}
		select {
		case <-ctx.Done():
			return response, err
		case <-time.After(r.options.RetryWait):
		}
	}
}

// start writes the marker if the service is empty or options.Merge is set. If the marker of an interrupted
// restore of the same snapshot exists, start continues the interrupted restore. If the restore is not
// allowed, the error wraps ErrNotEmpty or is ErrOtherRestore.
func (r *restorer) start(ctx context.Context) error {
	page, err := r.Page(ctx, "", "", 1)
	if err != nil {
		return err
	}
	r.result.Revision = page.Revision
	version, exists, same, err := r.readMarker(ctx)
	switch {
	case err != nil:
		return err
	case same:
		r.markerVersion = version
		return nil
	case exists:
		return ErrOtherRestore
	case len(page.Items) > 0 && !r.options.Merge:
		return fmt.Errorf("%w: it has the key %s", ErrNotEmpty, page.Items[0].Key)
	}
	return r.writeMarker(ctx)
}

// readMarker reads the stored marker. It returns the marker's version, whether a marker exists, and whether
// the marker belongs to the same snapshot.
func (r *restorer) readMarker(ctx context.Context) (version uint64, exists, same bool, err error) {
	entry, exists, err := r.Get(ctx, restoreMarkerKey)
	if err != nil || !exists {
		return 0, false, false, err
	}
	var stored restoreMarker
	same = wire.Unmarshal(entry.Value, &stored) == nil && stored == r.marker
	return entry.Version, true, same, nil
}

// writeMarker writes the marker, which also raises the service's revision.
func (r *restorer) writeMarker(ctx context.Context) error {
	response, err := r.runTxn(ctx, wire.Txn{
		Conditions: []wire.Condition{{Key: restoreMarkerKey, Version: r.markerVersion}},
		Mutations:  []wire.Mutation{{Put: restoreMarkerKey, Value: r.marker}},
	})
	if errors.Is(err, kvstore.ErrConflict) { // caused by an earlier attempt whose response was lost, or by another restore
		version, _, same, readErr := r.readMarker(ctx)
		if !same || version <= r.markerVersion {
			return errors.Join(ErrOtherRestore, readErr)
		}
		r.markerVersion = version
		return nil
	}
	if err != nil {
		return err
	}
	r.markerVersion = response.Revision
	return nil
}

// createKeys creates keys with their values in the snapshot. It does not change existing keys. It returns the
// existing keys that have another value than in the snapshot.
func (r *restorer) createKeys(ctx context.Context, keys []string) (different []string, err error) {
	for len(keys) > 0 {
		var txn wire.Txn
		for _, key := range keys {
			txn.Conditions = append(txn.Conditions, wire.Condition{Key: key})
			txn.Mutations = append(txn.Mutations, wire.Mutation{Put: key, Value: r.snap.Keys[key]})
		}
		response, err := r.runTxn(ctx, txn)
		if err == nil {
			r.result.Written += len(keys)
			return different, nil
		}
		if !errors.Is(err, kvstore.ErrConflict) {
			return different, err
		}
		for _, key := range response.FailedKeys {
			entry, found, err := r.Get(ctx, key)
			switch {
			case err != nil:
				return different, err
			case !found: // the key was deleted in the meantime; the next attempt creates it
				continue
			case slices.Equal(entry.Value, r.snap.Keys[key]):
				r.result.AlreadyPresent++
			default:
				different = append(different, key)
			}
			keys = slices.DeleteFunc(slices.Clone(keys), func(other string) bool { return other == key })
		}
	}
	return different, nil
}
