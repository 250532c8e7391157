// Package snapshot takes consistent copies of what controllers keep in the state
// service, stores them as files, checks, compares and restores them.
// docs/snapshots.md says how they are used.
package snapshot

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

// Store is what a snapshot needs of the state service; *kvstore.Client implements it.
type Store interface {
	kvstore.Store
	Watch(ctx context.Context, prefix string, from uint64, hold time.Duration) (wire.Events, error)
}

// Snapshot is all keys as of one revision, but for those that end with a lease and
// those that were left out.
type Snapshot struct {
	Revision uint64                        `msgpack:"R"`
	TakenAt  int64                         `msgpack:"T"` // microseconds, time of day
	Keys     map[string]msgpack.RawMessage `msgpack:"K"`
	Versions map[string]uint64             `msgpack:"V"` // of the keys
}

// ErrBusy means that the keys changed faster than they could be read.
var ErrBusy = errors.New("snapshot: more changes than the state service keeps happened while its keys were read")

const (
	pageSize = 500
	tries    = 5
)

// Take reads all keys page by page, and then what has changed since the first page:
// together that is the state at the revision of the last answer, whatever happened in
// between. If so much changed that the service no longer tells, it begins again. The
// pace of it is the store's. Leave says which keys are not the snapshot's business, and
// only those with one of the prefixes are read.
func Take(ctx context.Context, s Store, prefixes []string, leave func(key string) bool, now func() int64) (*Snapshot, error) {
	for range tries {
		snap, err := take(ctx, s, prefixes, leave, now)
		if !errors.Is(err, kvstore.ErrCompacted) {
			return snap, err
		}
	}
	return nil, ErrBusy
}

func take(ctx context.Context, s Store, prefixes []string, leave func(key string) bool, now func() int64) (*Snapshot, error) {
	snap := &Snapshot{Keys: map[string]msgpack.RawMessage{}, Versions: map[string]uint64{}}
	var last uint64
	for _, prefix := range prefixes {
		for after := ""; ; {
			page, err := s.Page(ctx, prefix, after, pageSize)
			if err != nil {
				return nil, err
			}
			if last == 0 {
				snap.Revision = page.Revision
			}
			last = max(last, page.Revision)
			for _, e := range page.Items {
				if e.Lease == 0 && !leave(e.Key) {
					snap.Keys[e.Key], snap.Versions[e.Key] = e.Value, e.Version
				}
			}
			if !page.More || len(page.Items) == 0 {
				break
			}
			after = page.Items[len(page.Items)-1].Key
		}
	}
	if err := snap.Follow(ctx, s, prefixes, leave, last); err != nil {
		return nil, err
	}
	snap.TakenAt = now()
	return snap, nil
}

// Follow brings a snapshot up to what it is now, and at least to a revision. Each
// prefix is asked for at the same time: of one, the answer is the state at one
// revision; of several each has its own, and the snapshot's is the lowest, from which
// it can be followed again. The error is kvstore.ErrCompacted if the service no longer
// tells what has changed; then the snapshot is no good.
func (s *Snapshot) Follow(ctx context.Context, from Store, prefixes []string, leave func(key string) bool, least uint64) error {
	answers, errs := make([][]wire.Event, len(prefixes)), make([]error, len(prefixes))
	reached := make([]uint64, len(prefixes))
	var all sync.WaitGroup
	for i, prefix := range prefixes {
		all.Go(func() {
			reached[i] = s.Revision
			for first := true; first || reached[i] < least; first = false {
				ev, err := from.Watch(ctx, prefix, reached[i], 0)
				if err != nil {
					errs[i] = err
					return
				}
				answers[i] = append(answers[i], ev.Events...)
				reached[i] = max(reached[i], ev.Revision)
			}
		})
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for _, events := range answers {
		for _, e := range events {
			switch {
			case e.Delete != "":
				delete(s.Keys, e.Delete)
				delete(s.Versions, e.Delete)
			case !leave(e.Put):
				s.Keys[e.Put], s.Versions[e.Put] = e.Value, e.Version
			}
		}
	}
	s.Revision = slices.Min(reached)
	return nil
}

// All is the prefix of everything.
var All = []string{""}

// Entries returns the keys with a prefix, in order.
func (s *Snapshot) Entries(prefix string) (out []wire.KeyValue) {
	for k, v := range s.Keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, wire.KeyValue{Key: k, Value: v, Version: s.Versions[k]})
		}
	}
	slices.SortFunc(out, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Sorted returns the names of the keys in order.
func (s *Snapshot) Sorted() []string { return slices.Sorted(maps.Keys(s.Keys)) }

// Count is how many keys with a prefix there are, and their bytes.
type Count struct {
	Prefix      string
	Keys, Bytes int
}

// Counts sums keys by the kind of what is kept under them: the part before the first
// slash or, where that is shared, before the second.
func (s *Snapshot) Counts() []Count {
	sums := map[string]*Count{}
	for k, v := range s.Keys {
		prefix, rest, _ := strings.Cut(k, "/")
		if sub, _, more := strings.Cut(rest, "/"); more && (prefix == "q" || prefix == "a") {
			prefix += "/" + sub
		}
		if sums[prefix] == nil {
			sums[prefix] = &Count{Prefix: prefix}
		}
		sums[prefix].Keys++
		sums[prefix].Bytes += len(k) + len(v)
	}
	var out []Count
	for _, p := range slices.Sorted(maps.Keys(sums)) {
		out = append(out, *sums[p])
	}
	return out
}

// Change is a difference between two snapshots.
type Change struct {
	Key string
	How string // "added", "removed" or "changed"
}

// Diff lists what leads from one snapshot to another, in the order of the keys.
func Diff(a, b *Snapshot) []Change {
	var out []Change
	for k, v := range a.Keys {
		if w, ok := b.Keys[k]; !ok {
			out = append(out, Change{k, "removed"})
		} else if !slices.Equal(v, w) {
			out = append(out, Change{k, "changed"})
		}
	}
	for k := range b.Keys {
		if _, ok := a.Keys[k]; !ok {
			out = append(out, Change{k, "added"})
		}
	}
	slices.SortFunc(out, func(x, y Change) int { return strings.Compare(x.Key, y.Key) })
	return out
}

func (s *Snapshot) String() string {
	return fmt.Sprintf("revision %d of %s, %d keys", s.Revision, time.UnixMicro(s.TakenAt).UTC().Format(time.RFC3339), len(s.Keys))
}
