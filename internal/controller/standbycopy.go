package controller

import (
	"context"
	"strings"

	"dalefront/internal/dynconfig"
	"dalefront/internal/sched"
	"dalefront/internal/standby"
	"dalefront/wire"
)

const (
	copyPage     = 500     // keys that one read of a copy asks for
	followMemory = 0.15    // share of a controller's memory that a copy may take
	bytesPerMB   = 1 << 20 // of that memory
)

// followedPrefixes lists the prefixes that a takeover needs, in the order in which they are read.
// Ends are kept, too, of jobs whose records are there.
var followedPrefixes = []string{jobPrefix, progressPrefix, ledgerPrefix, statisticsKey, scaleOutPrefix, schedulePrefix, dynconfig.Prefix}

// newStandbyCopy returns an empty copy within a share of a controller's memory.
func newStandbyCopy(ramMB float64) *standby.Copy {
	return standby.NewCopy(isFollowed, owningKey, decodeStored, standby.Limits{MaxBytes: int(ramMB * followMemory * bytesPerMB)})
}

// isFollowed says whether a copy has a key.
func isFollowed(key string) bool {
	for _, prefix := range followedPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return strings.HasPrefix(key, endPrefix)
}

// owningKey returns the key without which a copy doesn't keep another one: a job's record for its
// end, nothing for other keys.
func owningKey(key string) string {
	if id, ok := strings.CutPrefix(key, endPrefix); ok {
		return jobKey(id)
	}
	return ""
}

// decodeStored decodes a stored value as far as a takeover needs it.
func decodeStored(key string, value []byte) (any, error) {
	switch {
	case strings.HasPrefix(key, jobPrefix):
		return decodeAs[jobRecord](value)
	case strings.HasPrefix(key, endPrefix):
		return decodeAs[endRecord](value)
	case strings.HasPrefix(key, ledgerPrefix):
		return decodeAs[sched.LedgerEntry](value)
	case strings.HasPrefix(key, progressPrefix):
		text := ""
		err := wire.Unmarshal(value, &text)
		return text, err
	}
	return nil, nil
}

// decodeAs decodes a stored value.
func decodeAs[T any](value []byte) (*T, error) {
	decoded := new(T)
	err := wire.Unmarshal(value, decoded)
	return decoded, err
}

// read reads a copy whole.
func (f *follower) read(ctx context.Context, store paced) (*standby.Copy, error) {
	c := f.controller
	var entries, jobs []wire.KeyValue
	var first uint64 // revision of the first page: what changes after it is yet to be applied
	for _, prefix := range followedPrefixes {
		read, revision, err := readPrefix(ctx, store, prefix)
		if err != nil {
			return nil, err
		}
		if first == 0 {
			first = revision
		}
		entries = append(entries, read...)
		if prefix == jobPrefix {
			jobs = read
		}
	}
	ends, err := c.readEnds(ctx, jobs)
	if err != nil {
		return nil, err
	}
	stateCopy := newStandbyCopy(c.settings.Deployment.Resources.RAMMB)
	stateCopy.Load(append(entries, ends...), first, c.now())
	return stateCopy, nil
}

// readPrefix reads all entries under a prefix, page by page, and the revision of the first page.
func readPrefix(ctx context.Context, store paced, prefix string) (entries []wire.KeyValue, revision uint64, err error) {
	for after := ""; ; {
		page, err := store.Page(ctx, prefix, after, copyPage)
		if err != nil {
			return nil, 0, err
		}
		if after == "" {
			revision = page.Revision
		}
		entries = append(entries, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return entries, revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
