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
	// markKey exists while a restore is under way, and says of which snapshot.
	markKey = "restore"
	// markLen is the length of the checksum in the mark.
	markLen = 16
	// progressInterval is after how many transactions to raise the revision a restore
	// reports its progress.
	progressInterval = 1000
)

// RestoreOptions are the options of a restore.
type RestoreOptions struct {
	MaxMutations int                 // in a transaction
	Merge        bool                // also into a service that is not empty; nothing there is overwritten
	MinRevision  uint64              // the service's revision is raised beyond this one, and the snapshot's
	Progress     func(RestoreResult) // is called now and then; may be nil
	RetryWait    time.Duration       // before a transaction is tried again
}

// RestoreResult is what a restore did.
type RestoreResult struct {
	Written, Present int    // keys that were written, and that were there with the same value
	Revision         uint64 // of the service
	RevisionRaises   int    // transactions that only raised the revision
}

// restoreMark is the value of markKey.
type restoreMark struct {
	Sum string `msgpack:"S"` // of the snapshot
}

func (s *Snapshot) mark() (restoreMark, error) {
	content, err := wire.Marshal(s.Revision)
	if err != nil {
		return restoreMark{}, err
	}
	for _, key := range s.SortedKeys() {
		content = append(append(content, key...), s.Keys[key]...)
	}
	return restoreMark{hex.EncodeToString(checksum(content, nil)[:markLen])}, nil
}

// Restore writes the keys of a snapshot. Each is created, never overwritten; after an
// interruption it can be continued, which the mark at a key of its own makes safe. Since
// fencing tokens are revisions, and workers obey none that is lower than one they have
// seen, the service's revision is raised beyond the snapshot's in the end. The store limits
// the rate of requests. No controller may run meanwhile. Errors are ErrNotEmpty, ErrDiffers
// and the store's.
func Restore(ctx context.Context, store Store, snap *Snapshot, options RestoreOptions) (RestoreResult, error) {
	mark, err := snap.mark()
	if err != nil {
		return RestoreResult{}, err
	}
	r := &restorer{Store: store, snap: snap, mark: mark, options: options}
	err = r.run(ctx)
	return r.result, err
}

// restorer is a restore that is under way.
type restorer struct {
	Store
	snap        *Snapshot
	mark        restoreMark
	markVersion uint64
	options     RestoreOptions
	result      RestoreResult
}

func (r *restorer) run(ctx context.Context) error {
	if err := r.start(ctx); err != nil {
		return err
	}
	var different []string
	for batch := range r.snap.batches(max(1, r.options.MaxMutations)) {
		found, err := r.createKeys(ctx, batch)
		if err != nil {
			return err
		}
		different = append(different, found...)
		r.reportProgress()
	}
	for r.result.Revision <= max(r.snap.Revision, r.options.MinRevision) {
		if err := r.writeMark(ctx); err != nil {
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
	_, err := r.runTxn(ctx, wire.Txn{Mutations: []wire.Mutation{{Delete: markKey}}})
	return err
}

func (r *restorer) reportProgress() {
	if r.options.Progress != nil {
		r.options.Progress(r.result)
	}
}

// batches divides the keys into transactions of at most so many mutations and maxTxnBytes.
func (s *Snapshot) batches(maxMutations int) iter.Seq[[]string] {
	return func(yield func([]string) bool) {
		var batch []string
		size := 0
		for _, key := range s.SortedKeys() {
			keySize := len(key) + 2*len(s.Keys[key]) // limits count the longer text form
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

// runTxn runs a transaction until its outcome is known or the context ends; a conflict
// after an unknown outcome may be its own doing.
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

// start makes sure that the service is empty, or that an interrupted restore of the same
// snapshot can be continued.
func (r *restorer) start(ctx context.Context) error {
	page, err := r.Page(ctx, "", "", 1)
	if err != nil {
		return err
	}
	r.result.Revision = page.Revision
	version, exists, same, err := r.readMark(ctx)
	switch {
	case err != nil:
		return err
	case same:
		r.markVersion = version
		return nil
	case exists:
		return ErrOtherRestore
	case len(page.Items) > 0 && !r.options.Merge:
		return fmt.Errorf("%w: it has the key %s", ErrNotEmpty, page.Items[0].Key)
	}
	return r.writeMark(ctx)
}

// readMark reads the mark in the store: its version, and whether it is of the same snapshot.
func (r *restorer) readMark(ctx context.Context) (version uint64, exists, same bool, err error) {
	entry, exists, err := r.Get(ctx, markKey)
	if err != nil || !exists {
		return 0, false, false, err
	}
	var stored restoreMark
	same = wire.Unmarshal(entry.Value, &stored) == nil && stored == r.mark
	return entry.Version, true, same, nil
}

// writeMark writes the mark, which also raises the service's revision.
func (r *restorer) writeMark(ctx context.Context) error {
	response, err := r.runTxn(ctx, wire.Txn{
		Conditions: []wire.Condition{{Key: markKey, Version: r.markVersion}},
		Mutations:  []wire.Mutation{{Put: markKey, Value: r.mark}},
	})
	if errors.Is(err, kvstore.ErrConflict) { // an earlier attempt whose answer was lost, or another restore
		version, _, same, readErr := r.readMark(ctx)
		if !same || version <= r.markVersion {
			return errors.Join(ErrOtherRestore, readErr)
		}
		r.markVersion = version
		return nil
	}
	if err != nil {
		return err
	}
	r.markVersion = response.Revision
	return nil
}

// createKeys creates keys. Those that exist are compared; it returns those that differ.
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
			case !found: // removed meanwhile
				continue
			case slices.Equal(entry.Value, r.snap.Keys[key]):
				r.result.Present++
			default:
				different = append(different, key)
			}
			keys = slices.DeleteFunc(slices.Clone(keys), func(other string) bool { return other == key })
		}
	}
	return different, nil
}
