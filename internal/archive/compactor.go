package archive

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

// End is the end of a job as it is stored under a key of its own.
type End struct {
	Record
	EndedAt int64 // microseconds, time of day
}

// Limits bound what a compactor does.
type Limits struct {
	MaxMutations  int   // in a transaction
	MaxValueBytes int   // of a value in its text form
	MinAge        int64 // of ends that are moved, in microseconds
	MaxBatch      int   // ends moved at once; 0 for the default
}

// EndSource says where ends and jobs are stored.
type EndSource struct {
	EndPrefix, JobPrefix string
	// Decode reads the value of an end's key.
	Decode func(id string, value []byte) (End, error)
	// Term returns the condition that holds as long as this compactor is the only one.
	Term func() wire.Condition
	// Now returns the time of day in microseconds.
	Now func() int64
}

// Bounds of a compactor's work.
const (
	maxBuffered  = 50_000    // ends read and not yet moved
	maxBatch     = 1000      // ends moved at once
	minBatch     = 16        // ends of a shard; fewer stay where they are
	pageSize     = 500       // ends read at once
	maxLeafBytes = 14 * 1024 // of a leaf or manifest: three leaves and a manifest fit into a transaction
	maxLeafParts = 3         // leaves written at once

	// mutationsPerReplacement are those beside the new leaves: of the old leaf and the
	// manifest.
	mutationsPerReplacement = 2
	// filterHeaderBytes is reserved for the header of a manifest's filter.
	filterHeaderBytes = 64
)

// Counts is what a compactor has done.
type Counts struct {
	Moved, Dropped, Switches, Requests int
	Differing                          int // ends that are not what the archive says: left alone
}

// pendingEnd is an end that is to be moved.
type pendingEnd struct {
	jobNumber
	result
}

// Compactor moves ends into the archive, step by step. Only the leader may run one. All its
// state is in the state service, so that another one continues wherever this one stopped.
// It is not safe for use by several goroutines at once.
type Compactor struct {
	reader *Reader
	source EndSource
	limits Limits

	cursor       string // the last end read
	allRead      bool   // all ends have been read
	pending      [shardCount][]pendingEnd
	pendingCount int
	full         [shardCount]bool // the manifest has no room for more
	batchSize    int
	archivedKeys []string // keys of ends that the archive has, to be deleted

	Counts Counts
}

// NewCompactor returns a compactor that begins by reading all ends.
func NewCompactor(reader *Reader, source EndSource, limits Limits) *Compactor {
	limits.MaxValueBytes = min(limits.MaxValueBytes*9/10, maxLeafBytes) // the rest is for the value's encoding
	limits.MaxBatch = cmp.Or(limits.MaxBatch, maxBatch)
	return &Compactor{reader: reader, source: source, limits: limits, batchSize: limits.MaxBatch}
}

// Step does one piece of work and returns how many mutations it made. It is idle when
// all ends have been read and those that are due are moved; the next step
// begins again. After an error the outcome may be unknown: the next step finds out what
// was done. The error is ErrTermLost, a *LimitsError, wraps ErrDamaged, or is the store's.
func (c *Compactor) Step(ctx context.Context) (mutations int, idle bool, err error) {
	shard, found := c.fullestShard()
	switch {
	case len(c.archivedKeys) > 0:
		mutations, err = c.deleteArchivedKeys(ctx)
		return mutations, false, err
	case !c.allRead && c.pendingCount < maxBuffered:
		return 0, false, c.readEnds(ctx)
	case found:
		mutations, err = c.moveEnds(ctx, shard)
		return mutations, false, err
	}
	idle = c.allRead
	c.reset()
	return 0, idle, nil
}

// reset forgets the ends that are left: they are too few to be worth a leaf, or came after
// their page was read.
func (c *Compactor) reset() {
	for shard := range c.pending {
		c.pending[shard], c.full[shard] = nil, false
	}
	c.pendingCount, c.batchSize = 0, c.limits.MaxBatch
	if c.allRead {
		c.cursor, c.allRead = "", false
	}
}

// fullestShard returns the shard with the most ends to be moved.
func (c *Compactor) fullestShard() (fullest int, found bool) {
	for shard, ends := range c.pending {
		if len(ends) >= minBatch && !c.full[shard] && (!found || len(ends) > len(c.pending[fullest])) {
			fullest, found = shard, true
		}
	}
	return fullest, found
}

// readEnds reads the next ends and keeps those that are old enough and whose job's
// record is gone. Such a record can't come back: accepting a job is conditional on
// its end's absence and, once that is gone, on the manifest.
func (c *Compactor) readEnds(ctx context.Context) error {
	c.Counts.Requests++
	page, err := c.reader.store.Page(ctx, c.source.EndPrefix, c.cursor, pageSize)
	if err != nil {
		return err
	}
	due, err := c.dueEnds(page.Items)
	if err != nil {
		return err
	}
	jobKeys := make([]string, len(due))
	for i, end := range due {
		jobKeys[i] = c.source.JobPrefix + end.id()
	}
	keysPerRequest := wire.ConditionsPerChange * c.limits.MaxMutations
	c.Counts.Requests += (len(jobKeys) + keysPerRequest - 1) / keysPerRequest
	existing, err := kvstore.ExistingKeys(ctx, c.reader.store, jobKeys, c.limits.MaxMutations)
	if err != nil {
		return err
	}
	for i, end := range due {
		if !existing[jobKeys[i]] {
			shard := end.shard()
			c.pending[shard] = append(c.pending[shard], end)
			c.pendingCount++
		}
	}
	if len(page.Items) > 0 {
		c.cursor = page.Items[len(page.Items)-1].Key
	}
	c.allRead = !page.More || len(page.Items) == 0
	return nil
}

// dueEnds returns the ends that are old enough to be moved.
func (c *Compactor) dueEnds(entries []wire.KeyValue) (due []pendingEnd, err error) {
	for _, entry := range entries {
		id := entry.Key[len(c.source.EndPrefix):]
		number, err := parseID(id)
		if err != nil {
			continue // not written by this program
		}
		end, err := c.source.Decode(id, entry.Value)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", entry.Key, err)
		}
		final := end.Status == wire.JobDone || end.Status == wire.JobCancelled
		if final && end.EndedAt <= c.source.Now()-c.limits.MinAge {
			due = append(due, pendingEnd{number, result{end.Status, end.Done}})
		}
	}
	return due, nil
}

// deleteArchivedKeys deletes keys of ends that the archive has. That may be done any
// number of times and at any later moment: a result once archived stays.
func (c *Compactor) deleteArchivedKeys(ctx context.Context) (deleted int, err error) {
	deleted = min(len(c.archivedKeys), c.limits.MaxMutations)
	txn := wire.Txn{Conditions: []wire.Condition{c.source.Term()}}
	for _, key := range c.archivedKeys[:deleted] {
		txn.Mutations = append(txn.Mutations, wire.Mutation{Delete: key})
	}
	c.Counts.Requests++
	_, err = c.reader.store.Txn(ctx, txn)
	if errors.Is(err, kvstore.ErrConflict) {
		return 0, ErrTermLost
	}
	if err != nil {
		return 0, err
	}
	c.archivedKeys = c.archivedKeys[deleted:]
	c.Counts.Dropped += deleted
	return deleted, nil
}

// moveEnds adds ends of one shard to the leaf that most of them belong to, and replaces
// the manifest: one transaction, conditional on the term and on the manifest from
// which it was made. Their keys are deleted afterwards, so that at every moment a result is
// in at least one place, and in both it is the same.
func (c *Compactor) moveEnds(ctx context.Context, shard int) (mutations int, err error) {
	r := &leafReplacement{compactor: c, shard: shard, view: c.reader.view(shard), leaf: &leaf{}}
	if r.view.manifest == nil {
		r.view.manifest = &manifest{}
	}
	ends := c.pending[shard]
	slices.SortFunc(ends, func(a, b pendingEnd) int { return compareNumbers(a.jobNumber, b.jobNumber) })
	var chosen []pendingEnd
	r.index, chosen = c.chooseLeaf(r.view.manifest, ends)
	if len(r.view.manifest.leaves) > 0 {
		c.Counts.Requests++
		old, found, err := c.reader.readLeaf(ctx, r.oldLeafKey())
		if err != nil {
			return 0, err
		}
		if !found { // the manifest is not the latest
			return 0, c.reader.refresh(ctx, shard)
		}
		r.leaf = old
	}
	archived := r.insert(chosen)
	if len(r.added) > 0 {
		mutations, err = r.store(ctx)
		if err != nil || mutations == 0 {
			return mutations, err
		}
		c.Counts.Moved += len(r.added)
	}
	c.archivedKeys = append(c.archivedKeys, archived...)
	c.removePending(shard, chosen)
	return mutations, nil
}

// chooseLeaf chooses the leaf with the most ends, and those of them that are moved at once.
// The ends are in order.
func (c *Compactor) chooseLeaf(m *manifest, ends []pendingEnd) (index int, chosen []pendingEnd) {
	for first := 0; first < len(ends); {
		leafIndex, end := m.leafOf(ends[first].jobNumber), first
		for end < len(ends) && m.leafOf(ends[end].jobNumber) == leafIndex {
			end++
		}
		if end-first > len(chosen) {
			index, chosen = leafIndex, ends[first:end]
		}
		first = end
	}
	return index, chosen[:min(len(chosen), c.batchSize)]
}

func (c *Compactor) removePending(shard int, moved []pendingEnd) {
	c.pendingCount -= len(moved)
	gone := make(map[jobNumber]bool, len(moved))
	for _, end := range moved {
		gone[end.jobNumber] = true
	}
	c.pending[shard] = slices.DeleteFunc(slices.Clone(c.pending[shard]), func(end pendingEnd) bool { return gone[end.jobNumber] })
}

// resolveFailure looks into a transaction that was not, or not surely, applied. The manifest
// is read again, and the ends stay pending: whether they were moved shows when they
// are tried again.
func (c *Compactor) resolveFailure(ctx context.Context, shard int, err error) error {
	if refreshErr := c.reader.refresh(ctx, shard); refreshErr != nil {
		return refreshErr
	}
	if errors.Is(err, kvstore.ErrConflict) {
		c.Counts.Requests++
		_, termErr := c.reader.store.Txn(ctx, wire.Txn{Conditions: []wire.Condition{c.source.Term()}})
		if errors.Is(termErr, kvstore.ErrConflict) {
			return ErrTermLost
		}
	}
	return err
}
