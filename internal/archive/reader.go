package archive

import (
	"context"
	"fmt"
	"sync"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

// Reader looks answers up. It keeps the manifests that it has seen, and no leaves.
// A manifest that is not the latest only costs a refused transaction: what is read
// from it is either a final answer or a "no" that holds as of its version. It is safe
// for use by several goroutines.
type Reader struct {
	store kvstore.Store

	mu     sync.Mutex
	shards [shards]view
}

// view is a shard at some version; without a manifest, at version 0, it is empty.
type view struct {
	version uint64
	m       *manifest
}

// NewReader returns a reader that assumes an empty archive until it is told
// otherwise.
func NewReader(store kvstore.Store) *Reader { return &Reader{store: store} }

// manifestPage is how many manifests are read at once, the protocol's limit.
const manifestPage = 1000

// Warm reads all manifests, page by page. It is not needed for right answers: it saves
// the first questions in each shard a refused transaction.
func (r *Reader) Warm(ctx context.Context) error {
	for after := ""; ; {
		page, err := r.store.Page(ctx, ManifestPrefix, after, manifestPage)
		if err != nil {
			return err
		}
		for _, e := range page.Items {
			if shard, ok := shardOf(e.Key); ok {
				if err := r.take(shard, e); err != nil {
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

func (r *Reader) take(shard int, e wire.KeyValue) error {
	var text string
	if err := wire.Unmarshal(e.Value, &text); err != nil {
		return fmt.Errorf("%s: %w", e.Key, ErrDamaged)
	}
	m, err := decodeManifest(text)
	if err != nil {
		return fmt.Errorf("%s: %w", e.Key, err)
	}
	r.set(shard, view{e.Version, m})
	return nil
}

// set keeps the newer of what is there and what was read.
func (r *Reader) set(shard int, v view) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.version > r.shards[shard].version {
		r.shards[shard] = v
	}
}

func (r *Reader) view(shard int) view {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shards[shard]
}

// refresh reads a shard's manifest. Manifests are never deleted.
func (r *Reader) refresh(ctx context.Context, shard int) error {
	e, found, err := r.store.Get(ctx, manifestKey(shard))
	if err != nil || !found {
		return err
	}
	return r.take(shard, e)
}

// Refresh reads the manifests again whose conditions failed, and says whether there
// were any among the keys.
func (r *Reader) Refresh(ctx context.Context, failed []string) (found bool, err error) {
	for _, k := range failed {
		if shard, ok := shardOf(k); ok {
			found = true
			if err := r.refresh(ctx, shard); err != nil {
				return found, err
			}
		}
	}
	return found, nil
}

// Answer is what the archive says about a job. Without a record it rests on Cond: as
// long as the condition holds the job has no answer in the archive.
type Answer struct {
	Found  bool
	Record Record
	Cond   wire.Condition
}

// Look asks about a job: without a request unless its answer is there, or, seldom,
// unless the filter takes it for another one. An error means that nothing is known.
func (r *Reader) Look(ctx context.Context, id string) (Answer, error) {
	n, err := parseID(id)
	if err != nil {
		return Answer{}, err
	}
	shard := n.shard()
	// A leaf that is gone was replaced, and the manifest that named it too.
	for tries := 0; ; tries++ {
		v := r.view(shard)
		a := Answer{Cond: wire.Condition{Key: manifestKey(shard), Version: v.version}}
		if v.m == nil || !v.m.filter.mayHave(n) {
			return a, nil
		}
		key := leafKey(shard, v.m.leaves[v.m.leafOf(n)].name)
		l, found, err := r.leaf(ctx, key)
		if err != nil {
			return Answer{}, err
		}
		if found {
			if ans, ok := l.find(n); ok {
				a.Found, a.Record = true, Record{id, ans.status, ans.done}
			}
			return a, nil
		}
		if tries == 4 {
			return Answer{}, fmt.Errorf("%s: %w: missing", key, ErrDamaged)
		}
		if err := r.refresh(ctx, shard); err != nil {
			return Answer{}, err
		}
	}
}

// LookFresh asks about a job as of a moment after the call.
func (r *Reader) LookFresh(ctx context.Context, id string) (Answer, error) {
	n, err := parseID(id)
	if err != nil {
		return Answer{}, err
	}
	if err := r.refresh(ctx, n.shard()); err != nil {
		return Answer{}, err
	}
	return r.Look(ctx, id)
}

// Guard returns the condition under which no job of the same shard has an answer in
// the archive that this reader does not know of.
func (r *Reader) Guard(id string) wire.Condition {
	n, err := parseID(id)
	if err != nil {
		return wire.Condition{Key: manifestKey(0)} // never reached: ids are checked on arrival
	}
	shard := n.shard()
	return wire.Condition{Key: manifestKey(shard), Version: r.view(shard).version}
}

func (r *Reader) leaf(ctx context.Context, key string) (*leaf, bool, error) {
	e, found, err := r.store.Get(ctx, key)
	if err != nil || !found {
		return nil, found, err
	}
	var text string
	if err := wire.Unmarshal(e.Value, &text); err != nil {
		return nil, false, fmt.Errorf("%s: %w", key, ErrDamaged)
	}
	l, err := decodeLeaf(text)
	if err != nil {
		return nil, false, fmt.Errorf("%s: %w", key, err)
	}
	return l, true, nil
}

// Size is what the manifests known here say: jobs, leaves and manifests.
func (r *Reader) Size() (jobs, leaves, manifests int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range r.shards {
		if v.m != nil {
			jobs += v.m.count()
			leaves += len(v.m.leaves)
			manifests++
		}
	}
	return jobs, leaves, manifests
}
