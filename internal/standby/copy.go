// Package standby is what a controller needs to be a warm standby: which controllers are
// standbys, in which order (View, Selector); the copy of the stored state that a standby
// follows (Copy); when it may take the leader's process for ended without waiting for its
// lease to expire (FailureDetector); and what it must check before its first decision
// (Checks). It is pure: what was read and the time are parameters.
//
// docs/standby.md argues why each of these is safe.
package standby

import (
	"fmt"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"dalefront/internal/config"
	"dalefront/wire"
)

// Micros is time in whole microseconds.
type Micros = config.Micros

const second = config.Second

// Item is a key as the copy has it. Decoded is what Decode made of its value.
type Item struct {
	Value   msgpack.RawMessage
	Version uint64
	Decoded any
}

// Limits bound a copy.
type Limits struct {
	MaxBytes int // of keys and values; 0 for no limit
}

// Copy is a replica of the stored state up to a revision, as far as a takeover needs it. It
// is fed with full reads and with the answers of a watch on all keys, and holds the keys
// that Keep selects. Once it may differ from the store it is invalid for good: Err says
// why, and it has to be loaded anew.
//
// It is not safe for use by several goroutines at once.
type Copy struct {
	// Keep reports whether a key is part of the copy.
	Keep func(key string) bool
	// Owner names the key without which a key is no part of the copy, or nothing: the end
	// of a job matters while the job's record exists.
	Owner func(key string) string
	// Decode decodes a value to what a takeover needs, so that none of it has to be done
	// then. Its error invalidates the copy.
	Decode func(key string, value []byte) (any, error)

	limits      Limits
	items       map[string]Item
	dependents  map[string]string // key that depends on an owner, by owner
	revision    uint64
	bytes       int
	err         error
	loaded      bool // it was read in full, and has followed the store since
	currentAt   Micros
	auditCursor string // the last key that an audit has compared
	auditRounds int
}

// NewCopy returns an empty copy.
func NewCopy(keep func(string) bool, owner func(string) string, decode func(string, []byte) (any, error), limits Limits) *Copy {
	return &Copy{Keep: keep, Owner: owner, Decode: decode, limits: limits, items: map[string]Item{}, dependents: map[string]string{}}
}

// Load replaces the copy by a full read of the state: all keys, and the revision that a
// watch continues from. Some of the entries may be newer than that revision; the watch
// brings them again.
func (c *Copy) Load(entries []wire.KeyValue, revision uint64, now Micros) {
	c.items, c.dependents, c.bytes = map[string]Item{}, map[string]string{}, 0
	c.err, c.auditCursor, c.auditRounds = nil, "", 0
	c.revision, c.loaded, c.currentAt = revision, true, now
	for _, entry := range entries {
		c.put(entry.Key, entry.Value, entry.Version)
	}
}

// Apply applies the answer of a watch on all keys that was opened at the copy's revision.
// The service raises its revision by one for each transaction and lease that changes
// something, and a watch brings all changes; a revision in between without a change means
// that something was lost on the way. The first watch after a full read begins at the
// revision of its first page, so changes up to the newest entry read may come twice.
func (c *Copy) Apply(answer wire.Events, now Micros) {
	if c.err != nil || !c.loaded {
		return
	}
	if answer.Revision < c.revision {
		return // an answer that came late: its changes are known
	}
	last := c.revision // of the changes applied so far
	for _, event := range answer.Events {
		switch {
		case event.Version <= c.revision:
			continue // applied before
		case event.Version < last:
			c.Invalidate(&OrderError{event.Version})
			return
		case event.Version > last+1:
			c.Invalidate(&GapError{last + 1, event.Version - 1})
			return
		case event.Version > answer.Revision:
			c.Invalidate(&FutureChangeError{event.Version, answer.Revision})
			return
		}
		last = event.Version
		c.applyEvent(event)
	}
	if last != answer.Revision {
		c.Invalidate(&GapError{last + 1, answer.Revision})
		return
	}
	c.revision, c.currentAt = answer.Revision, now
}

// applyEvent applies one change, unless the full read had a newer version of its key.
func (c *Copy) applyEvent(event wire.Event) {
	if event.Delete != "" {
		if c.items[event.Delete].Version < event.Version { // otherwise it was created again and read as that
			c.remove(event.Delete)
		}
		return
	}
	if old, ok := c.items[event.Put]; !ok || old.Version <= event.Version {
		c.put(event.Put, event.Value, event.Version)
	}
}

func (c *Copy) put(key string, value msgpack.RawMessage, version uint64) {
	if !c.Keep(key) {
		return
	}
	owner := c.Owner(key)
	if owner != "" {
		if _, exists := c.items[owner]; !exists {
			return
		}
	}
	decoded, err := c.Decode(key, value)
	if err != nil {
		c.Invalidate(fmt.Errorf("%s can't be read: %w", key, err))
		return
	}
	if old, ok := c.items[key]; ok {
		c.bytes -= len(key) + len(old.Value)
	}
	c.items[key] = Item{value, version, decoded}
	if owner != "" {
		c.dependents[owner] = key
	}
	c.bytes += len(key) + len(value)
	if c.limits.MaxBytes > 0 && c.bytes > c.limits.MaxBytes {
		c.Invalidate(&SizeError{c.limits.MaxBytes})
	}
}

func (c *Copy) remove(key string) {
	item, ok := c.items[key]
	if !ok {
		return
	}
	c.bytes -= len(key) + len(item.Value)
	delete(c.items, key)
	if dependent, ok := c.dependents[key]; ok {
		delete(c.dependents, key)
		c.remove(dependent)
	}
}

// Invalidate records that the copy can't be relied on any more. The first reason counts.
func (c *Copy) Invalidate(reason error) {
	if c.err == nil {
		c.err = reason
	}
}

// Err returns why the copy is invalid, nil if it is valid.
func (c *Copy) Err() error {
	if c.err == nil && !c.loaded {
		return ErrNotLoaded
	}
	return c.err
}

// Revision returns the store's revision that the copy has reached.
func (c *Copy) Revision() uint64 { return c.revision }

// CurrentAt returns when the copy was last known to be current.
func (c *Copy) CurrentAt() Micros { return c.currentAt }

// Size returns the number of keys, and the bytes of keys and values.
func (c *Copy) Size() (keys, bytes int) { return len(c.items), c.bytes }

// Get returns a key.
func (c *Copy) Get(key string) (item Item, found bool) {
	item, found = c.items[key]
	return item, found
}

// Keys returns the keys with a prefix, in order.
func (c *Copy) Keys(prefix string) (keys []string) {
	for key := range c.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
