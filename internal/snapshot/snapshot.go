// Package snapshot takes consistent snapshots of what controllers keep in the state
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
	// Watch returns the changes of keys with a prefix after a revision. It waits for the
	// first for a time. The error is kvstore.ErrCompacted if the service no longer has them.
	Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (wire.Events, error)
}

// Snapshot is all keys as of one revision, without those that depend on a lease and
// those that were excluded.
type Snapshot struct {
	Revision uint64                        `msgpack:"R"`
	TakenAt  int64                         `msgpack:"T"` // microseconds, time of day
	Keys     map[string]msgpack.RawMessage `msgpack:"K"`
	Versions map[string]uint64             `msgpack:"V"` // of the keys
}

const (
	pageSize    = 500 // keys a read
	maxAttempts = 5   // to take a snapshot without a compaction in between
)

// AllKeys is the prefix of all keys.
var AllKeys = []string{""}

// Take reads all keys page by page, and then the changes since the first page:
// together that is the state at the revision of the last answer, whatever happened in
// between. If the service no longer has the changes, it starts again; the error is ErrBusy
// if that doesn't help. The store limits the rate of requests. Only keys with one of the
// prefixes are read, except those that exclude selects.
func Take(ctx context.Context, store Store, prefixes []string, exclude func(key string) bool, now func() int64) (*Snapshot, error) {
	for range maxAttempts {
		snap, err := take(ctx, store, prefixes, exclude, now)
		if !errors.Is(err, kvstore.ErrCompacted) {
			return snap, err
		}
	}
	return nil, ErrBusy
}

func take(ctx context.Context, store Store, prefixes []string, exclude func(key string) bool, now func() int64) (*Snapshot, error) {
	snap := &Snapshot{Keys: map[string]msgpack.RawMessage{}, Versions: map[string]uint64{}}
	var lastRevision uint64
	for _, prefix := range prefixes {
		for after := ""; ; {
			page, err := store.Page(ctx, prefix, after, pageSize)
			if err != nil {
				return nil, err
			}
			if lastRevision == 0 {
				snap.Revision = page.Revision
			}
			lastRevision = max(lastRevision, page.Revision)
			for _, entry := range page.Items {
				if entry.Lease == 0 && !exclude(entry.Key) {
					snap.put(entry.Key, entry.Value, entry.Version)
				}
			}
			if !page.More || len(page.Items) == 0 {
				break
			}
			after = page.Items[len(page.Items)-1].Key
		}
	}
	if err := snap.CatchUp(ctx, store, prefixes, exclude, lastRevision); err != nil {
		return nil, err
	}
	snap.TakenAt = now()
	return snap, nil
}

func (s *Snapshot) put(key string, value msgpack.RawMessage, version uint64) {
	s.Keys[key], s.Versions[key] = value, version
}

func (s *Snapshot) remove(key string) {
	delete(s.Keys, key)
	delete(s.Versions, key)
}

// CatchUp brings a snapshot up to the present state, and at least to a revision. The
// prefixes are watched concurrently: with one prefix, the result is the state at one
// revision; with several each has its own, and the snapshot's is the lowest, from which it
// can catch up again. The error is kvstore.ErrCompacted if the service no longer has the
// changes; then the snapshot can't be used.
func (s *Snapshot) CatchUp(ctx context.Context, store Store, prefixes []string, exclude func(key string) bool, minRevision uint64) error {
	changes, errs := make([][]wire.Event, len(prefixes)), make([]error, len(prefixes))
	reached := make([]uint64, len(prefixes))
	var watches sync.WaitGroup
	for i, prefix := range prefixes {
		watches.Go(func() {
			changes[i], reached[i], errs[i] = changesSince(ctx, store, prefix, s.Revision, minRevision)
		})
	}
	watches.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for _, events := range changes {
		for _, event := range events {
			switch {
			case event.Delete != "":
				s.remove(event.Delete)
			case !exclude(event.Put):
				s.put(event.Put, event.Value, event.Version)
			}
		}
	}
	s.Revision = slices.Min(reached)
	return nil
}

// changesSince returns the changes of keys with a prefix after a revision, up to the
// present, and at least up to minRevision.
func changesSince(ctx context.Context, store Store, prefix string, revision, minRevision uint64) (changes []wire.Event, reached uint64, err error) {
	reached = revision
	for first := true; first || reached < minRevision; first = false {
		answer, err := store.Watch(ctx, prefix, reached, 0)
		if err != nil {
			return changes, reached, err
		}
		changes = append(changes, answer.Events...)
		reached = max(reached, answer.Revision)
	}
	return changes, reached, nil
}

// Entries returns the keys with a prefix, in order.
func (s *Snapshot) Entries(prefix string) (entries []wire.KeyValue) {
	for key, value := range s.Keys {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, wire.KeyValue{Key: key, Value: value, Version: s.Versions[key]})
		}
	}
	slices.SortFunc(entries, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// SortedKeys returns the names of the keys in order.
func (s *Snapshot) SortedKeys() []string { return slices.Sorted(maps.Keys(s.Keys)) }

// KeyCount is how many keys with a prefix there are, and their bytes.
type KeyCount struct {
	Prefix      string
	Keys, Bytes int
}

// CountByKind counts keys by the kind of what is kept under them: the part before the first
// slash or, where several kinds share that, before the second.
func (s *Snapshot) CountByKind() []KeyCount {
	counts := map[string]*KeyCount{}
	for key, value := range s.Keys {
		prefix, rest, _ := strings.Cut(key, "/")
		if sub, _, more := strings.Cut(rest, "/"); more && (prefix == "q" || prefix == "a") {
			prefix += "/" + sub
		}
		if counts[prefix] == nil {
			counts[prefix] = &KeyCount{Prefix: prefix}
		}
		counts[prefix].Keys++
		counts[prefix].Bytes += len(key) + len(value)
	}
	var sorted []KeyCount
	for _, prefix := range slices.Sorted(maps.Keys(counts)) {
		sorted = append(sorted, *counts[prefix])
	}
	return sorted
}

// DifferenceKind is how a key differs between two snapshots, as commands show it.
type DifferenceKind string

// The kinds of differences.
const (
	Added   DifferenceKind = "added"
	Removed DifferenceKind = "removed"
	Changed DifferenceKind = "changed"
)

// Difference is a key that differs between two snapshots.
type Difference struct {
	Key  string
	Kind DifferenceKind
}

// Diff lists what leads from one snapshot to another, in the order of the keys.
func Diff(from, to *Snapshot) []Difference {
	var differences []Difference
	for key, oldValue := range from.Keys {
		newValue, exists := to.Keys[key]
		switch {
		case !exists:
			differences = append(differences, Difference{key, Removed})
		case !slices.Equal(oldValue, newValue):
			differences = append(differences, Difference{key, Changed})
		}
	}
	for key := range to.Keys {
		if _, exists := from.Keys[key]; !exists {
			differences = append(differences, Difference{key, Added})
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int { return strings.Compare(a.Key, b.Key) })
	return differences
}

// String describes the snapshot in a line.
func (s *Snapshot) String() string {
	return fmt.Sprintf("revision %d of %s, %d keys", s.Revision, time.UnixMicro(s.TakenAt).UTC().Format(time.RFC3339), len(s.Keys))
}
