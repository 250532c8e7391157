package snapshot

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

// ErrNotEmpty means that the state service has keys that this restore did not write.
var ErrNotEmpty = errors.New("the state service is not empty")

// ErrDiffers means that a key has another value than the snapshot; it is left alone.
var ErrDiffers = errors.New("keys have other values than in the snapshot")

// markKey says that a restore is under way, and of which snapshot.
const markKey = "restore"

// Options of a restore.
type Options struct {
	Ops       int    // changes in a transaction
	Merge     bool   // also into a service that is not empty; nothing there is overwritten
	Revision  uint64 // the service's revision is raised at least to this one, and to the snapshot's
	Progress  func(Done)
	RetryWait time.Duration
}

// Done is what a restore did.
type Done struct {
	Written, Present int    // keys
	Revision         uint64 // of the service
	Raised           int    // changes made only to raise it
}

type mark struct {
	Sum string `msgpack:"S"`
}

// Restore writes the keys of a snapshot. Each is created, never overwritten; after a
// break it goes on where it stopped, which a key of its own remembers. Since tokens
// are revisions, and workers obey none that is lower than one they have seen, the
// service's revision is raised past the snapshot's in the end. Requests are paced by
// the store. No controller may run meanwhile.
func Restore(ctx context.Context, s Store, snap *Snapshot, o Options) (Done, error) {
	d := Done{}
	body, err := wire.Marshal(snap.Revision)
	if err != nil {
		return d, err
	}
	for _, k := range snap.Sorted() {
		body = append(append(body, k...), snap.Keys[k]...)
	}
	m := mark{hex.EncodeToString(checksum(body, nil)[:16])}
	r := &restorer{s, o, &d}
	markVersion, err := r.begin(ctx, m)
	if err != nil {
		return d, err
	}
	var differ []string
	for batch := range batches(snap, max(1, o.Ops)) {
		bad, err := r.write(ctx, snap, batch)
		if err != nil {
			return d, err
		}
		differ = append(differ, bad...)
		if o.Progress != nil {
			o.Progress(d)
		}
	}
	for d.Revision <= max(snap.Revision, o.Revision) {
		if markVersion, err = r.put(ctx, m, markVersion); err != nil {
			return d, err
		}
		d.Raised++
		if o.Progress != nil && d.Raised%1000 == 0 {
			o.Progress(d)
		}
	}
	if len(differ) > 0 {
		return d, fmt.Errorf("%w: %d, such as %s", ErrDiffers, len(differ), differ[0])
	}
	_, err = r.multi(ctx, wire.Txn{Mutations: []wire.Mutation{{Delete: markKey}}})
	return d, err
}

// batches cuts the keys into transactions of so many changes and 48 KiB.
func batches(snap *Snapshot, ops int) func(func([]string) bool) {
	return func(yield func([]string) bool) {
		var batch []string
		size := 0
		for _, k := range snap.Sorted() {
			n := len(k) + 2*len(snap.Keys[k]) // sizes count in the longer text form
			if len(batch) == ops || len(batch) > 0 && size+n > txnRoom {
				if !yield(batch) {
					return
				}
				batch, size = nil, 0
			}
			batch = append(batch, k)
			size += n
		}
		if len(batch) > 0 {
			yield(batch)
		}
	}
}

type restorer struct {
	Store
	o Options
	d *Done
}

// multi runs a transaction until its outcome is known or the context ends; a conflict
// after an unknown outcome may be its own doing.
func (r *restorer) multi(ctx context.Context, t wire.Txn) (wire.TxnResponse, error) {
	for {
		a, err := r.Txn(ctx, t)
		if !errors.Is(err, kvstore.ErrRefused) && !errors.Is(err, kvstore.ErrOutcomeUnknown) {
			r.d.Revision = max(r.d.Revision, a.Revision)
			return a, err
		}
		select {
		case <-ctx.Done():
			return a, err
		case <-time.After(r.o.RetryWait):
		}
	}
}

// begin makes sure that the service is empty, or half full of this very snapshot.
func (r *restorer) begin(ctx context.Context, m mark) (version uint64, err error) {
	page, err := r.Page(ctx, "", "", 1)
	if err != nil {
		return 0, err
	}
	r.d.Revision = page.Revision
	e, found, err := r.Get(ctx, markKey)
	if err != nil {
		return 0, err
	}
	if found {
		var have mark
		if err := wire.Unmarshal(e.Value, &have); err != nil || have != m {
			return 0, fmt.Errorf("%w: a restore of another snapshot is under way", ErrNotEmpty)
		}
		return e.Version, nil
	}
	if len(page.Items) > 0 && !r.o.Merge {
		return 0, fmt.Errorf("%w: it has the key %s", ErrNotEmpty, page.Items[0].Key)
	}
	return r.put(ctx, m, 0)
}

// put writes the mark anew.
func (r *restorer) put(ctx context.Context, m mark, version uint64) (uint64, error) {
	a, err := r.multi(ctx, wire.Txn{Conditions: []wire.Condition{{Key: markKey, Version: version}}, Mutations: []wire.Mutation{{Put: markKey, Value: m}}})
	if errors.Is(err, kvstore.ErrConflict) { // a copy whose answer was lost, or another restore
		e, found, gerr := r.Get(ctx, markKey)
		var have mark
		if gerr == nil && found && wire.Unmarshal(e.Value, &have) == nil && have == m && e.Version > version {
			return e.Version, nil
		}
		return 0, errors.Join(fmt.Errorf("%w: a restore of another snapshot is under way", ErrNotEmpty), gerr)
	}
	return a.Revision, err
}

// write creates keys. Those that are there already are compared.
func (r *restorer) write(ctx context.Context, snap *Snapshot, keys []string) (differ []string, err error) {
	for len(keys) > 0 {
		var t wire.Txn
		for _, k := range keys {
			t.Conditions = append(t.Conditions, wire.Condition{Key: k})
			t.Mutations = append(t.Mutations, wire.Mutation{Put: k, Value: snap.Keys[k]})
		}
		a, err := r.multi(ctx, t)
		if err == nil {
			r.d.Written += len(keys)
			return differ, nil
		}
		if !errors.Is(err, kvstore.ErrConflict) {
			return differ, err
		}
		for _, k := range a.FailedKeys {
			e, found, err := r.Get(ctx, k)
			switch {
			case err != nil:
				return differ, err
			case !found: // removed meanwhile
				continue
			case slices.Equal(e.Value, snap.Keys[k]):
				r.d.Present++
			default:
				differ = append(differ, k)
			}
			keys = slices.DeleteFunc(slices.Clone(keys), func(x string) bool { return x == k })
		}
	}
	return differ, nil
}
