// Package standby is what a controller needs that stands by warm: who stands by, in which
// order (View); the copy of the stored state that it follows (Copy); when it may take an
// leader for ended without waiting for its lease (Suspicion); and what it must check
// before its first decision (Checks). It is pure: what was read and the time go in.
//
// docs/standby.md argues why each of these is safe.
package standby

import (
	"fmt"
	"math/rand/v2"
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
	Bytes int // of keys and values
}

// Copy is the stored state up to a revision, as far as a takeover needs it. It is fed with
// whole reads and with the answers of a watch on all keys, and holds what Keep says. Any
// doubt about it is for good: Doubt says why, and it has to be begun anew.
//
// It is not safe for use by several goroutines at once.
type Copy struct {
	// Keep says whether a key is part of the copy.
	Keep func(key string) bool
	// Owner names the key without which a key is no part of the copy, or nothing: the end
	// of a job matters while the job's record is there.
	Owner func(key string) string
	// Decode makes of a value what a takeover needs, so that none of it waits until then.
	// Its error is doubt.
	Decode func(key string, value []byte) (any, error)

	limits   Limits
	items    map[string]Item
	owned    map[string]string // keys by their owner
	revision uint64
	bytes    int
	doubt    string
	whole    bool // it was read whole, and has followed since
	seen     Micros
	audited  string // the last key that an audit has compared
	audits   int
}

// NewCopy returns an empty copy.
func NewCopy(keep func(string) bool, owner func(string) string, decode func(string, []byte) (any, error), l Limits) *Copy {
	return &Copy{Keep: keep, Owner: owner, Decode: decode, limits: l, items: map[string]Item{}, owned: map[string]string{}}
}

// Begin takes a whole read of the state: all keys, and the revision that a watch goes on
// from. Some of the entries may be newer than that revision; the watch brings them again.
func (c *Copy) Begin(entries []wire.KeyValue, revision uint64, now Micros) {
	c.items, c.owned, c.bytes, c.doubt, c.audited, c.audits = map[string]Item{}, map[string]string{}, 0, "", "", 0
	c.revision, c.whole, c.seen = revision, true, now
	for _, e := range entries {
		c.set(e.Key, e.Value, e.Version)
	}
}

// Apply takes the answer of a watch on all keys that was opened at the copy's revision.
// The service raises its revision by one for each transaction and lease that changes
// something, and a watch tells all changes; a revision in between of which nothing was
// told means that something was lost on the way. The first answer after a whole read is
// told from, so revisions up to the newest entry read may be told twice.
func (c *Copy) Apply(ev wire.Events, now Micros) {
	if c.doubt != "" || !c.whole {
		return
	}
	if ev.Revision < c.revision {
		return // an answer that came late: what it tells is known
	}
	at := c.revision
	for _, e := range ev.Events {
		switch {
		case e.Version <= c.revision:
			continue // told before
		case e.Version < at:
			c.suspect("the changes are not in order at revision %d", e.Version)
			return
		case e.Version > at+1:
			c.suspect("nothing is told of revisions %d to %d", at+1, e.Version-1)
			return
		case e.Version > ev.Revision:
			c.suspect("a change of revision %d is told at revision %d", e.Version, ev.Revision)
			return
		}
		at = e.Version
		if e.Delete != "" {
			if c.items[e.Delete].Version < e.Version { // otherwise it was created again and read as that
				c.drop(e.Delete)
			}
		} else if old, ok := c.items[e.Put]; !ok || old.Version <= e.Version {
			c.set(e.Put, e.Value, e.Version)
		}
	}
	if at != ev.Revision {
		c.suspect("nothing is told of revisions %d to %d", at+1, ev.Revision)
		return
	}
	c.revision, c.seen = ev.Revision, now
}

func (c *Copy) set(key string, value msgpack.RawMessage, version uint64) {
	if !c.Keep(key) {
		return
	}
	owner := c.Owner(key)
	if owner != "" {
		if _, there := c.items[owner]; !there {
			return
		}
	}
	d, err := c.Decode(key, value)
	if err != nil {
		c.suspect("%s can't be read: %v", key, err)
		return
	}
	if old, ok := c.items[key]; ok {
		c.bytes -= len(key) + len(old.Value)
	}
	c.items[key] = Item{value, version, d}
	if owner != "" {
		c.owned[owner] = key
	}
	if c.bytes += len(key) + len(value); c.limits.Bytes > 0 && c.bytes > c.limits.Bytes {
		c.suspect("it takes more than %d bytes", c.limits.Bytes)
	}
}

func (c *Copy) drop(key string) {
	if it, ok := c.items[key]; ok {
		c.bytes -= len(key) + len(it.Value)
		delete(c.items, key)
		if k, ok := c.owned[key]; ok {
			delete(c.owned, key)
			c.drop(k)
		}
	}
}

func (c *Copy) suspect(format string, args ...any) {
	if c.doubt == "" {
		c.doubt = fmt.Sprintf(format, args...)
	}
}

// Lost says that the copy can't be followed any more: the watch was too far behind.
func (c *Copy) Lost(why string) { c.suspect("%s", why) }

// Doubt says why the copy is no good, or nothing.
func (c *Copy) Doubt() string {
	if c.doubt == "" && !c.whole {
		return "it was not read yet"
	}
	return c.doubt
}

// Revision is up to which it is the stored state.
func (c *Copy) Revision() uint64 { return c.revision }

// Seen is when it was last known to be the newest.
func (c *Copy) Seen() Micros { return c.seen }

// Size is how many keys it has, and their bytes.
func (c *Copy) Size() (keys, bytes int) { return len(c.items), c.bytes }

// Get returns a key.
func (c *Copy) Get(key string) (Item, bool) {
	it, ok := c.items[key]
	return it, ok
}

// Under returns the keys with a prefix, in order.
func (c *Copy) Under(prefix string) (keys []string) {
	for k := range c.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// auditPage is how many keys an audit reads.
const auditPage = 200

// Range is part of the keys under a prefix: those after a key.
type Range struct {
	Prefix, After string
	Most          int
	Keys          int // that the copy has under the prefix, of a sample
}

// NextAudit is the range to compare next: in turn, so that every key is compared.
func (c *Copy) NextAudit(prefixes []string) Range {
	at := 0
	for i, p := range prefixes {
		if strings.HasPrefix(c.audited, p) {
			at = i
		}
	}
	after := ""
	if strings.HasPrefix(c.audited, prefixes[at]) {
		after = c.audited
	}
	return Range{Prefix: prefixes[at], After: after, Most: auditPage}
}

// Sample is a range at random under one of the prefixes.
func (c *Copy) Sample(prefixes []string, rnd *rand.Rand) Range {
	p := prefixes[rnd.IntN(len(prefixes))]
	keys := c.Under(p)
	r := Range{Prefix: p, Most: auditPage, Keys: len(keys)}
	if len(keys) > auditPage {
		r.After = keys[rnd.IntN(len(keys)-auditPage/2)]
	}
	return r
}

// Audit compares a page that the store gave for a range with the copy, which must have
// been followed up to the page's revision at least. What has changed since the page was
// read can't be compared. It returns how many keys were.
func (c *Copy) Audit(r Range, page wire.KeyValuePage, prefixes []string) int {
	if c.doubt != "" || c.revision < page.Revision {
		return 0
	}
	compared := 0
	there := map[string]bool{}
	last := r.After
	for _, e := range page.Items {
		last = e.Key
		there[e.Key] = true
		if !c.Keep(e.Key) || e.Lease != 0 {
			continue
		}
		it, ok := c.items[e.Key]
		switch {
		case !ok && c.revision == page.Revision:
			c.suspect("the store has %s, the copy has not", e.Key)
		case !ok || it.Version > page.Revision:
			// changed since
		case it.Version != e.Version || !slices.Equal(it.Value, e.Value):
			c.suspect("%s differs from the store's", e.Key)
		default:
			compared++
		}
	}
	for k, it := range c.items {
		// What the copy has in the range and the store had not was created since.
		if strings.HasPrefix(k, r.Prefix) && k > r.After && (!page.More || k <= last) && !there[k] && it.Version <= page.Revision {
			c.suspect("the copy has %s, the store has not", k)
		}
	}
	if page.More && last != r.After {
		c.audited = last
	} else {
		i := slices.Index(prefixes, r.Prefix) + 1
		if i == len(prefixes) {
			i = 0
			c.audits++
		}
		c.audited = prefixes[i]
	}
	return compared
}

// Rounds is how often all ranges were compared.
func (c *Copy) Rounds() int { return c.audits }
