package controller

import (
	"context"
	"strings"

	"dalefront/internal/config"
	"dalefront/internal/dynconfig"
	"dalefront/internal/sched"
	"dalefront/internal/standby"
	"dalefront/wire"
)

const (
	copyPageSize    = 500  // keys per page of a full read
	copyMemoryShare = 0.15 // share of a controller's memory that a copy may use
)

// followedPrefixes lists the key prefixes that a takeover needs, in the order in which they are read. A copy
// also holds the end record of each ended job whose job record it holds.
var followedPrefixes = []string{jobPrefix, progressPrefix, ledgerPrefix, statisticsKey, scaleOutPrefix, schedulePrefix, dynconfig.Prefix}

// newStandbyCopy returns an empty copy, which may use the share copyMemoryShare of a controller's memory.
func newStandbyCopy(resources *config.Resources) *standby.Copy {
	limits := standby.Limits{MaxBytes: int(resources.MemoryBytes(copyMemoryShare))}
	return standby.NewCopy(isFollowed, owningKey, decodeStored, limits)
}

// isFollowed reports whether a key belongs in a copy.
func isFollowed(key string) bool {
	for _, prefix := range followedPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return strings.HasPrefix(key, endPrefix)
}

// owningKey returns the key that must exist for a copy to keep the given key. For the key of an end record
// this is the key of the job's record. All other keys depend on no key, and owningKey returns "".
func owningKey(key string) string {
	if id, ok := strings.CutPrefix(key, endPrefix); ok {
		return jobKey(id)
	}
	return ""
}

// decodeStored decodes the value of a key for a takeover. It returns nil if the takeover uses the raw
// value of the key.
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

// decodeAs decodes a stored value into a T.
func decodeAs[T any](value []byte) (*T, error) {
	decoded := new(T)
	err := wire.Unmarshal(value, decoded)
	return decoded, err
}

// readCopy reads a full copy of the followed keys from the store.
func (f *follower) readCopy(ctx context.Context, store pacedClient) (*standby.Copy, error) {
	c := f.controller
	var entries, jobs []wire.KeyValue
	var first uint64 // revision of the first page; the watch delivers the changes after this revision
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
	stateCopy := newStandbyCopy(&c.settings.Deployment.Resources)
	stateCopy.Load(append(entries, ends...), first, c.now())
	return stateCopy, nil
}

// readPrefix returns all entries under a prefix, read page by page, and the revision of the first
// page.
func readPrefix(ctx context.Context, store pacedClient, prefix string) (entries []wire.KeyValue, revision uint64, err error) {
	for after := ""; ; {
		page, err := store.Page(ctx, prefix, after, copyPageSize)
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
