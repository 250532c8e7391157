// Package standby implements warm standbys of the leader. View and Selector determine which
// controllers are standbys, and in which order they try to take over. Copy is a standby's replica
// of the stored state. FailureDetector decides when a standby suspects that the leader's process
// has ended, so that the standby need not wait for the leader's lease to expire. Checks lists what a
// new leader checks before its first decision based on its copy. The package does no I/O: stored data
// and the time are parameters.
//
// docs/standby.md explains why each of these mechanisms is safe.
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

// Item is the copy's entry for a key. Decoded is what Copy.Decode returned for the value.
type Item struct {
	Value   msgpack.RawMessage
	Version uint64
	Decoded any
}

// Limits bound a copy.
type Limits struct {
	MaxBytes int // total size of keys and values, 0 for no limit
}

// Copy is a replica of the part of the stored state that a takeover needs, as of a revision. The function
// Keep selects the keys that are part of the copy. A copy is loaded by a full read and updated by the
// responses of a watch on all keys. When the copy may differ from the store, it becomes invalid and stays
// invalid until it is loaded again. Err returns the reason.
//
// A Copy is not safe for concurrent use.
type Copy struct {
	// Keep reports whether a key is part of the copy.
	Keep func(key string) bool
	// Owner returns the key that owns a key, or "" if the key has no owner. An owned key is part of the copy
	// only while its owner exists. For example, a job's record owns the job's end record.
	Owner func(key string) string
	// Decode decodes a value to the form that a takeover needs. Values are decoded when they are put
	// into the copy, so that decoding does not delay the takeover. An error invalidates the copy.
	Decode func(key string, value []byte) (any, error)

	limits      Limits
	items       map[string]Item
	dependents  map[string]string // by owner: the key that it owns
	revision    uint64
	bytes       int
	err         error
	loaded      bool // Load has been called
	currentAt   Micros
	auditCursor string // the last key that an audit has compared, or the prefix to compare next
	auditRounds int
}

// NewCopy returns an empty copy.
func NewCopy(keep func(string) bool, owner func(string) string, decode func(string, []byte) (any, error), limits Limits) *Copy {
	return &Copy{Keep: keep, Owner: owner, Decode: decode, limits: limits, items: map[string]Item{}, dependents: map[string]string{}}
}

// Load replaces the content of the copy by a full read of the state. Afterwards the copy is at the given
// revision, from which a watch continues. Entries may be newer than the revision. In this case the watch
// returns the changes of these entries again.
func (c *Copy) Load(entries []wire.KeyValue, revision uint64, now Micros) {
	c.items, c.dependents, c.bytes = map[string]Item{}, map[string]string{}, 0
	c.err, c.auditCursor, c.auditRounds = nil, "", 0
	c.revision, c.loaded, c.currentAt = revision, true, now
	for _, entry := range entries {
		c.put(entry.Key, entry.Value, entry.Version)
	}
}

// Apply applies the response of a watch on all keys that was opened at the copy's revision.
//
// The store raises its revision by one for each transaction and each lease that changes something.
// Since a watch returns all changes, a revision without a change means that a change was lost.
//
// The first watch after a full read starts at the revision of the read's first page. Later pages may
// already include changes that this watch returns, which are then applied twice.
func (c *Copy) Apply(response wire.Events, now Micros) {
	if c.err != nil || !c.loaded {
		return
	}
	if response.Revision < c.revision {
		return // a delayed response whose changes have been applied before
	}
	last := c.revision // revision of the last change that was applied
	for _, event := range response.Events {
		switch {
		case event.Version <= c.revision:
			continue // the change has been applied before
		case event.Version < last:
			c.Invalidate(&OrderError{event.Version})
			return
		case event.Version > last+1:
			c.Invalidate(&GapError{last + 1, event.Version - 1})
			return
		case event.Version > response.Revision:
			c.Invalidate(&FutureChangeError{event.Version, response.Revision})
			return
		}
		last = event.Version
		c.applyEvent(event)
	}
	if last != response.Revision {
		c.Invalidate(&GapError{last + 1, response.Revision})
		return
	}
	c.revision, c.currentAt = response.Revision, now
}

// applyEvent applies one change, unless the full read returned a newer version of the key.
func (c *Copy) applyEvent(event wire.Event) {
	if event.Delete != "" {
		if c.items[event.Delete].Version < event.Version { // otherwise the key was created again before the full read returned it
			c.remove(event.Delete)
		}
		return
	}
	if old, ok := c.items[event.Put]; !ok || old.Version <= event.Version {
		c.put(event.Put, event.Value, event.Version)
	}
}

// put sets a key, unless Keep does not select the key or its owner does not exist.
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
		c.Invalidate(fmt.Errorf("decoding the value of %s: %w", key, err))
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

// remove deletes a key. If the key owns another key, remove deletes the owned key, too.
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

// Invalidate marks the copy as invalid. If the copy is invalid already, its reason does not change.
func (c *Copy) Invalidate(reason error) {
	if c.err == nil {
		c.err = reason
	}
}

// Err returns the reason why the copy is invalid, or nil if it is valid.
func (c *Copy) Err() error {
	if c.err == nil && !c.loaded {
		return ErrNotLoaded
	}
	return c.err
}

// Revision returns the revision of the store that the copy has reached.
func (c *Copy) Revision() uint64 { return c.revision }

// CurrentAt returns the time at which the copy was last known to be current.
func (c *Copy) CurrentAt() Micros { return c.currentAt }

// Size returns the number of keys, and the total size of keys and values in bytes.
func (c *Copy) Size() (keys, bytes int) { return len(c.items), c.bytes }

// Get returns the item of a key, and whether the copy has it.
func (c *Copy) Get(key string) (item Item, found bool) {
	item, found = c.items[key]
	return item, found
}

// Keys returns the keys with a prefix in lexical order.
func (c *Copy) Keys(prefix string) (keys []string) {
	for key := range c.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
