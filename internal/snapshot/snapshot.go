// Package snapshot takes consistent snapshots of the controllers' keys in the state service. It stores
// snapshots in files or in the state service itself, and verifies, compares and restores them.
// docs/snapshots.md describes the use of snapshots.
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

// Store is the part of the state service's API that snapshots need. *kvstore.Client implements it.
type Store interface {
	kvstore.Store
	// Watch returns the changes of keys with a prefix that are later than a revision. It waits up to the given
	// time for the first change. The error is kvstore.ErrCompacted if the service no longer has all of these
	// changes.
	Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (wire.Events, error)
}

// Snapshot holds the selected keys of the state service as of one revision. It does not hold excluded keys or
// keys that are attached to a lease.
type Snapshot struct {
	Revision uint64                        `msgpack:"R"`
	TakenAt  int64                         `msgpack:"T"` // time in microseconds since 1970-01-01 UTC
	Keys     map[string]msgpack.RawMessage `msgpack:"K"`
	Versions map[string]uint64             `msgpack:"V"` // versions by key
}

const (
	pageSize    = 500 // keys per read
	maxAttempts = 5   // attempts to take a snapshot; an attempt fails if the service compacts its change history
)

// AllKeys is a list of prefixes that selects all keys.
var AllKeys = []string{""}

// Take takes a snapshot of the keys that have one of the prefixes, except keys for which the function exclude
// returns true. It reads the keys page by page and then applies the changes that were made since the first
// page was read. The result is the state at the revision of the last response. If the service no longer has
// all changes since the first page, Take starts again. The error is ErrTooManyChanges if
// all attempts fail for this reason. The store limits the rate of requests.
func Take(ctx context.Context, store Store, prefixes []string, exclude func(key string) bool, now func() int64) (*Snapshot, error) {
	for range maxAttempts {
		snap, err := take(ctx, store, prefixes, exclude, now)
		if !errors.Is(err, kvstore.ErrCompacted) {
			return snap, err
		}
	}
	return nil, ErrTooManyChanges
}

// take makes one attempt to take a snapshot.
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

// CatchUp updates a snapshot to the current state, and at least to minRevision. The prefixes are watched
// concurrently. With one prefix, the result is the state at one revision. With several prefixes, the keys of
// each prefix may be as of a different revision. The snapshot then gets the lowest of these revisions.
// Another call can continue from the lowest revision. If the service no longer has the changes since the
// snapshot's revision, the error is kvstore.ErrCompacted and the snapshot can't be updated any more.
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

// changesSince returns the changes of keys with a prefix that are later than a revision. It also returns the
// revision up to which the changes are complete. This is the current revision, and at least minRevision.
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

// Entries returns the entries whose keys have the given prefix, sorted by key.
func (s *Snapshot) Entries(prefix string) (entries []wire.KeyValue) {
	for key, value := range s.Keys {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, wire.KeyValue{Key: key, Value: value, Version: s.Versions[key]})
		}
	}
	slices.SortFunc(entries, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// SortedKeys returns all keys in sorted order.
func (s *Snapshot) SortedKeys() []string { return slices.Sorted(maps.Keys(s.Keys)) }

// KeyCount holds the number of keys with a prefix, and the total size of these keys and their values in bytes.
type KeyCount struct {
	Prefix      string
	Keys, Bytes int
}

// CountByKind counts the keys by kind of stored object. The kind is the part of a key before its first slash.
// Several kinds share the prefixes "q" and "a". Under these prefixes the kind is the part before the second
// slash. The result is sorted by prefix.
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

// DifferenceKind is the kind of difference of a key between two snapshots. Commands print its text.
type DifferenceKind string

// The kinds of differences between snapshots.
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

// Diff returns the differences between two snapshots, sorted by key.
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

// String returns a one-line description of the snapshot.
func (s *Snapshot) String() string {
	return fmt.Sprintf("revision %d of %s, %d keys", s.Revision, time.UnixMicro(s.TakenAt).UTC().Format(time.RFC3339), len(s.Keys))
}
