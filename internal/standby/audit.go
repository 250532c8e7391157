package standby

import (
	"math/rand/v2"
	"slices"
	"strings"

	"dalefront/wire"
)

// auditPageSize is how many keys an audit compares at a time.
const auditPageSize = 200

// Range is part of the keys with a prefix: at most Limit of those after a key.
type Range struct {
	Prefix, After string
	Limit         int
	CopyKeys      int // that the copy has with the prefix, of a sample
}

// NextAuditRange returns the range to compare next. Successive ranges cover all keys with
// the prefixes, round after round.
func (c *Copy) NextAuditRange(prefixes []string) Range {
	at := 0
	for i, prefix := range prefixes {
		if strings.HasPrefix(c.auditCursor, prefix) {
			at = i
		}
	}
	after := ""
	if strings.HasPrefix(c.auditCursor, prefixes[at]) {
		after = c.auditCursor
	}
	return Range{Prefix: prefixes[at], After: after, Limit: auditPageSize}
}

// SampleRange returns a random range of the keys with one of the prefixes.
func (c *Copy) SampleRange(prefixes []string, rnd *rand.Rand) Range {
	prefix := prefixes[rnd.IntN(len(prefixes))]
	keys := c.Keys(prefix)
	sample := Range{Prefix: prefix, Limit: auditPageSize, CopyKeys: len(keys)}
	if len(keys) > auditPageSize {
		sample.After = keys[rnd.IntN(len(keys)-auditPageSize/2)]
	}
	return sample
}

// Audit compares a page that the store returned for a range with the copy, which must have
// reached the page's revision; a difference invalidates the copy. Keys that have changed
// since the page was read can't be compared. It returns how many keys were compared.
func (c *Copy) Audit(keys Range, page wire.KeyValuePage, prefixes []string) (compared int) {
	if c.err != nil || c.revision < page.Revision {
		return 0
	}
	stored := map[string]bool{}
	last := keys.After
	for _, entry := range page.Items {
		last = entry.Key
		stored[entry.Key] = true
		if c.Keep(entry.Key) && entry.Lease == 0 && c.compare(entry, page.Revision) {
			compared++
		}
	}
	for key, item := range c.items {
		inPage := strings.HasPrefix(key, keys.Prefix) && key > keys.After && (!page.More || key <= last)
		if inPage && !stored[key] && item.Version <= page.Revision { // not created since
			c.Invalidate(&MismatchError{key, MissingInStore})
		}
	}
	if page.More && last != keys.After {
		c.auditCursor = last
	} else {
		c.endAuditOf(keys.Prefix, prefixes)
	}
	return compared
}

// compare compares a key with the store as of a revision, and reports whether it is equal.
func (c *Copy) compare(entry wire.KeyValue, revision uint64) bool {
	item, ok := c.items[entry.Key]
	switch {
	case !ok && c.revision == revision:
		c.Invalidate(&MismatchError{entry.Key, MissingInCopy})
	case !ok || item.Version > revision:
		// changed since
	case item.Version != entry.Version || !slices.Equal(item.Value, entry.Value):
		c.Invalidate(&MismatchError{entry.Key, DifferentValue})
	default:
		return true
	}
	return false
}

// endAuditOf moves on to the prefix after one, or to the next round.
func (c *Copy) endAuditOf(prefix string, prefixes []string) {
	next := slices.Index(prefixes, prefix) + 1
	if next == len(prefixes) {
		next = 0
		c.auditRounds++
	}
	c.auditCursor = prefixes[next]
}

// AuditRounds returns how often all ranges were compared.
func (c *Copy) AuditRounds() int { return c.auditRounds }
