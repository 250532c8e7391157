package standby

import (
	"math/rand/v2"
	"slices"
	"strings"

	"dalefront/wire"
)

// auditPageSize is the number of keys that an audit compares at a time.
const auditPageSize = 200

// KeyRange is a range of the keys with a prefix: at most Limit keys that come after the key After.
type KeyRange struct {
	Prefix, After string
	Limit         int
	CopyKeys      int // number of keys with the prefix in the copy; only set by SampleRange
}

// NextAuditRange returns the range that the next audit compares. Successive ranges cover all keys
// with the prefixes and then start again at the first prefix.
func (c *Copy) NextAuditRange(prefixes []string) KeyRange {
	current := 0
	for i, prefix := range prefixes {
		if strings.HasPrefix(c.auditCursor, prefix) {
			current = i
		}
	}
	after := ""
	if strings.HasPrefix(c.auditCursor, prefixes[current]) {
		after = c.auditCursor
	}
	return KeyRange{Prefix: prefixes[current], After: after, Limit: auditPageSize}
}

// SampleRange returns a random range of the keys with one of the prefixes.
func (c *Copy) SampleRange(prefixes []string, rnd *rand.Rand) KeyRange {
	prefix := prefixes[rnd.IntN(len(prefixes))]
	keys := c.Keys(prefix)
	sample := KeyRange{Prefix: prefix, Limit: auditPageSize, CopyKeys: len(keys)}
	if len(keys) > auditPageSize {
		sample.After = keys[rnd.IntN(len(keys)-auditPageSize/2)]
	}
	return sample
}

// Audit compares a page that the store returned for a range of keys with the copy. It invalidates the
// copy if the two differ. If the copy has not reached the page's revision, nothing is compared. Keys
// that have changed since the page was read are left out. Audit returns the number of keys that are
// equal.
func (c *Copy) Audit(keys KeyRange, page wire.KeyValuePage, prefixes []string) (compared int) {
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
		if inPage && !stored[key] && item.Version <= page.Revision { // not created after the page was read
			c.Invalidate(&MismatchError{key, MissingInStore})
		}
	}
	if page.More && last != keys.After {
		c.auditCursor = last
	} else {
		c.advanceAudit(keys.Prefix, prefixes)
	}
	return compared
}

// compare compares an entry that the store returned at a revision with the copy, and reports whether
// the two are equal. If they differ and the key has not changed after the revision, compare
// invalidates the copy.
func (c *Copy) compare(entry wire.KeyValue, revision uint64) bool {
	item, ok := c.items[entry.Key]
	switch {
	case !ok && c.revision == revision:
		c.Invalidate(&MismatchError{entry.Key, MissingInCopy})
	case !ok || item.Version > revision:
		// the key has changed since the page was read
	case item.Version != entry.Version || !slices.Equal(item.Value, entry.Value):
		c.Invalidate(&MismatchError{entry.Key, DifferentValue})
	default:
		return true
	}
	return false
}

// advanceAudit continues the audit at the prefix that follows the given prefix in the list. After the last
// prefix, it starts the next round.
func (c *Copy) advanceAudit(prefix string, prefixes []string) {
	next := slices.Index(prefixes, prefix) + 1
	if next == len(prefixes) {
		next = 0
		c.auditRounds++
	}
	c.auditCursor = prefixes[next]
}

// AuditRounds returns the number of completed rounds of audits. A round goes through all ranges.
func (c *Copy) AuditRounds() int { return c.auditRounds }
