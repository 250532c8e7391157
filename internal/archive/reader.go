package archive

import (
	"context"
	"fmt"
	"sync"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

const (
	// manifestPageSize is how many manifests are read at once, the protocol's limit.
	manifestPageSize = 1000
	// maxLookupRetries is how often a lookup reads a newer manifest because its leaf is gone.
	maxLookupRetries = 4
)

// Reader looks up results. It caches the manifests that it has read, and no leaves.
// A manifest that is not the latest only costs a refused transaction: what is read
// from it is either a final result or a "no" that holds as of its version. It is safe
// for use by several goroutines.
type Reader struct {
	store kvstore.Store

	mu     sync.Mutex
	shards [shardCount]shardView
}

// shardView is a shard at some version; without a manifest, at version 0, it is empty.
type shardView struct {
	version  uint64
	manifest *manifest
}

// NewReader returns a reader that assumes an empty archive until it has read manifests.
func NewReader(store kvstore.Store) *Reader { return &Reader{store: store} }

// LoadManifests reads all manifests, page by page. Results are right without it: it saves
// the first lookups in each shard a refused transaction.
func (r *Reader) LoadManifests(ctx context.Context) error {
	for after := ""; ; {
		page, err := r.store.Page(ctx, ManifestPrefix, after, manifestPageSize)
		if err != nil {
			return err
		}
		for _, entry := range page.Items {
			if shard, ok := shardOfKey(entry.Key); ok {
				if err := r.addManifest(shard, entry); err != nil {
					return err
				}
			}
		}
		if !page.More || len(page.Items) == 0 {
			return nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

func (r *Reader) addManifest(shard int, entry wire.KeyValue) error {
	var text string
	if err := wire.Unmarshal(entry.Value, &text); err != nil {
		return fmt.Errorf("%s: %w", entry.Key, ErrDamaged)
	}
	decoded, err := decodeManifest(text)
	if err != nil {
		return fmt.Errorf("%s: %w", entry.Key, err)
	}
	r.setNewer(shard, shardView{entry.Version, decoded})
	return nil
}

// setNewer keeps the newer of what is cached and what was read.
func (r *Reader) setNewer(shard int, view shardView) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if view.version > r.shards[shard].version {
		r.shards[shard] = view
	}
}

func (r *Reader) view(shard int) shardView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shards[shard]
}

// refresh reads a shard's manifest. Manifests are never deleted.
func (r *Reader) refresh(ctx context.Context, shard int) error {
	entry, found, err := r.store.Get(ctx, manifestKey(shard))
	if err != nil || !found {
		return err
	}
	return r.addManifest(shard, entry)
}

// Refresh reads the manifests again whose conditions failed, and reports whether there
// were any among the keys.
func (r *Reader) Refresh(ctx context.Context, failedKeys []string) (found bool, err error) {
	for _, key := range failedKeys {
		if shard, ok := shardOfKey(key); ok {
			found = true
			if err := r.refresh(ctx, shard); err != nil {
				return found, err
			}
		}
	}
	return found, nil
}

// Answer is what the archive says about a job. If it is not found that rests on Condition:
// as long as the condition holds the job has no result in the archive.
type Answer struct {
	Found     bool
	Record    Record
	Condition wire.Condition
}

// Lookup looks up a job. It sends no request unless the result is there or, seldom, the
// filter has a false positive. An error means that nothing is known; it wraps ErrDamaged,
// ErrNewer or an error of the store, or is an *InvalidIDError.
func (r *Reader) Lookup(ctx context.Context, id string) (Answer, error) {
	n, err := parseID(id)
	if err != nil {
		return Answer{}, err
	}
	shard := n.shard()
	// A leaf that is gone was replaced, and the manifest that named it too.
	for retries := 0; ; retries++ {
		view := r.view(shard)
		answer := Answer{Condition: wire.Condition{Key: manifestKey(shard), Version: view.version}}
		if view.manifest == nil || !view.manifest.filter.mayContain(n) {
			return answer, nil
		}
		key := leafKey(shard, view.manifest.leaves[view.manifest.leafOf(n)].name)
		l, exists, err := r.readLeaf(ctx, key)
		if err != nil {
			return Answer{}, err
		}
		if exists {
			if found, ok := l.find(n); ok {
				answer.Found, answer.Record = true, Record{id, found.status, found.done}
			}
			return answer, nil
		}
		if retries == maxLookupRetries {
			return Answer{}, fmt.Errorf("%s: %w", key, errMissingLeaf)
		}
		if err := r.refresh(ctx, shard); err != nil {
			return Answer{}, err
		}
	}
}

// LookupFresh looks up a job as of a moment after the call.
func (r *Reader) LookupFresh(ctx context.Context, id string) (Answer, error) {
	n, err := parseID(id)
	if err != nil {
		return Answer{}, err
	}
	if err := r.refresh(ctx, n.shard()); err != nil {
		return Answer{}, err
	}
	return r.Lookup(ctx, id)
}

// AbsenceCondition returns the condition under which no job of the same shard has a result
// in the archive that this reader does not know of.
func (r *Reader) AbsenceCondition(id string) wire.Condition {
	n, err := parseID(id)
	if err != nil {
		return wire.Condition{Key: manifestKey(0)} // never reached: ids are checked on arrival
	}
	shard := n.shard()
	return wire.Condition{Key: manifestKey(shard), Version: r.view(shard).version}
}

// readLeaf reads a leaf; found is false if it does not exist.
func (r *Reader) readLeaf(ctx context.Context, key string) (l *leaf, found bool, err error) {
	entry, found, err := r.store.Get(ctx, key)
	if err != nil || !found {
		return nil, found, err
	}
	var text string
	if err := wire.Unmarshal(entry.Value, &text); err != nil {
		return nil, false, fmt.Errorf("%s: %w", key, ErrDamaged)
	}
	l, err = decodeLeaf(text)
	if err != nil {
		return nil, false, fmt.Errorf("%s: %w", key, err)
	}
	return l, true, nil
}

// Size returns the numbers of jobs, leaves and manifests according to the cached manifests.
func (r *Reader) Size() (jobs, leaves, manifests int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, view := range r.shards {
		if view.manifest != nil {
			jobs += view.manifest.count()
			leaves += len(view.manifest.leaves)
			manifests++
		}
	}
	return jobs, leaves, manifests
}
