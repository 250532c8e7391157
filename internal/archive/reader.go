package archive

import (
	"context"
	"fmt"
	"sync"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

const (
	// manifestPageSize is the number of manifests read per request. It is the protocol's maximum.
	manifestPageSize = 1000
	// maxLookupRetries is the maximum number of times that a lookup reads the manifest again because the
	// leaf was replaced.
	maxLookupRetries = 4
)

// Reader looks up results in the archive. It caches manifests, but not leaves. A stale manifest never
// gives a wrong outcome. A result that a lookup finds is final. If a lookup finds no result, the absence is
// certain only for the version of the manifest that the lookup used. The state service refuses a
// transaction that is conditional on a stale version. A Reader is safe for concurrent use.
type Reader struct {
	store kvstore.Store

	mu     sync.Mutex
	shards [shardCount]shardView
}

// shardView is a shard as of one version of its manifest. An empty shard has version 0 and no manifest.
type shardView struct {
	version  uint64
	manifest *manifest
}

// NewReader returns a reader that treats each shard as empty until it has read the shard's manifest.
func NewReader(store kvstore.Store) *Reader { return &Reader{store: store} }

// LoadManifests reads all manifests into the cache, page by page. Without this call, a reader treats each
// shard as empty. The state service then refuses the first transaction that is conditional on a shard with
// a manifest, so that no outcome is wrong.
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
		return fmt.Errorf("%s: %w", entry.Key, ErrCorrupt)
	}
	decoded, err := decodeManifest(text)
	if err != nil {
		return fmt.Errorf("%s: %w", entry.Key, err)
	}
	r.cacheIfNewer(shard, shardView{entry.Version, decoded})
	return nil
}

// cacheIfNewer caches a view of a shard, unless the cached view is as new or newer.
func (r *Reader) cacheIfNewer(shard int, view shardView) {
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

// refresh reads a shard's manifest into the cache. If the shard has no manifest, the cache needs no change,
// since manifests are never deleted.
func (r *Reader) refresh(ctx context.Context, shard int) error {
	entry, found, err := r.store.Get(ctx, manifestKey(shard))
	if err != nil || !found {
		return err
	}
	return r.addManifest(shard, entry)
}

// Refresh takes the keys whose conditions failed in a transaction. It reads again the manifests that are
// stored under any of these keys, and reports whether there were any.
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

// LookupResult is the outcome of looking up a job. If Found is false, the job has no result in the
// archive as long as Condition holds.
type LookupResult struct {
	Found     bool
	Record    Record
	Condition wire.Condition
}

// Lookup looks up a job. It sends a request only if the cached manifest's filter matches the job. The filter
// matches if the archive has the job's result; false positives are rare. An error says nothing about
// whether the archive has a result. The error wraps ErrCorrupt, ErrNewerVersion or an error of the store,
// or is an *InvalidIDError.
func (r *Reader) Lookup(ctx context.Context, id string) (LookupResult, error) {
	n, err := parseID(id)
	if err != nil {
		return LookupResult{}, err
	}
	shard := n.shard()
	// If the leaf does not exist, a compactor has replaced the leaf and the manifest that listed it.
	for retries := 0; ; retries++ {
		view := r.view(shard)
		answer := LookupResult{Condition: wire.Condition{Key: manifestKey(shard), Version: view.version}}
		if view.manifest == nil || !view.manifest.filter.mayContain(n) {
			return answer, nil
		}
		key := leafKey(shard, view.manifest.leaves[view.manifest.leafIndex(n)].name)
		l, exists, err := r.readLeaf(ctx, key)
		if err != nil {
			return LookupResult{}, err
		}
		if exists {
			if found, ok := l.find(n); ok {
				answer.Found, answer.Record = true, Record{id, found.status, found.done}
			}
			return answer, nil
		}
		if retries == maxLookupRetries {
			return LookupResult{}, fmt.Errorf("%s: %w", key, errLeafNotFound)
		}
		if err := r.refresh(ctx, shard); err != nil {
			return LookupResult{}, err
		}
	}
}

// LookupFresh reads the manifest of a job's shard again and then looks up the job. The result is never
// older than the start of the call.
func (r *Reader) LookupFresh(ctx context.Context, id string) (LookupResult, error) {
	n, err := parseID(id)
	if err != nil {
		return LookupResult{}, err
	}
	if err := r.refresh(ctx, n.shard()); err != nil {
		return LookupResult{}, err
	}
	return r.Lookup(ctx, id)
}

// AbsenceCondition returns the condition that the manifest of the job's shard has not changed since this
// reader cached it. While the condition holds, the shard has no results that this reader can't find.
func (r *Reader) AbsenceCondition(id string) wire.Condition {
	n, err := parseID(id)
	if err != nil {
		return wire.Condition{Key: manifestKey(0)} // not reached, since requests with invalid ids are rejected
	}
	shard := n.shard()
	return wire.Condition{Key: manifestKey(shard), Version: r.view(shard).version}
}

// readLeaf reads and decodes a leaf. If it does not exist, found is false.
func (r *Reader) readLeaf(ctx context.Context, key string) (l *leaf, found bool, err error) {
	entry, found, err := r.store.Get(ctx, key)
	if err != nil || !found {
		return nil, found, err
	}
	var text string
	if err := wire.Unmarshal(entry.Value, &text); err != nil {
		return nil, false, fmt.Errorf("%s: %w", key, ErrCorrupt)
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
