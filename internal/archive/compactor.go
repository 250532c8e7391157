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

// EndRecord is the final result of a job. It is stored under its own key until the result is in the archive.
type EndRecord struct {
	Record
	EndedAt int64 // Unix time in microseconds
}

// Limits limits the transactions of a compactor and selects the end records that it moves.
type Limits struct {
	MaxMutations  int   // maximum number of mutations in a transaction
	MaxValueBytes int   // maximum size of a value in its text form
	MinAge        int64 // minimum time from the end of a job until its end record is moved, in microseconds
	MaxBatch      int   // maximum number of end records moved at once; 0 means defaultMaxBatch
}

// EndSource gives a compactor access to end records, the leadership term and the clock.
type EndSource struct {
	EndPrefix, JobPrefix string // prefixes of the keys of end records and of jobs
	// Decode decodes a stored end record.
	Decode func(id string, value []byte) (EndRecord, error)
	// TermCondition returns a transaction condition that holds until the leadership term of this controller
	// ends. While the condition holds, no other controller's compactor changes the archive.
	TermCondition func() wire.Condition
	// Now returns the Unix time in microseconds.
	Now func() int64
}

// Limits of a compactor's work.
const (
	maxPendingEnds  = 50_000 // maximum number of end records that are read but not yet moved
	defaultMaxBatch = 1000   // maximum number of end records moved at once
	minEndsPerShard = 16     // number of pending end records from which on a shard's end records are moved
	endPageSize     = 500    // end records per request

	// maxLeafBytes is the maximum length of the encoded text of a leaf or a manifest. Three leaves and
	// a manifest of this length fit into a transaction.
	maxLeafBytes = 14 * 1024
	maxLeafParts = 3 // maximum number of leaves written in one transaction

	// mutationsPerReplacement is the number of mutations in a transaction in addition to those that
	// write new leaves: one deletes the old leaf and one writes the manifest.
	mutationsPerReplacement = 2
	// filterHeaderBytes is the number of bytes reserved for the header of a manifest's filter.
	filterHeaderBytes = 64
)

// Counts holds the counters of a compactor since its creation. Moved counts the results added to the
// archive, Dropped the deleted keys of end records, and Switches the replaced manifests. Requests counts
// most of the requests sent, but not the requests that read a single manifest again.
type Counts struct {
	Moved, Dropped, Switches, Requests int
	Differing                          int // end records kept because the archive has a different result for their job
}

// pendingEnd is an end record that has been read and is to be moved into the archive.
type pendingEnd struct {
	jobNumber
	result
}

// Compactor moves end records into the archive, step by step. Only the leader may run a compactor. All
// durable state is in the state service, so a new leader's compactor can continue at any point. A
// Compactor is not safe for concurrent use.
type Compactor struct {
	reader *Reader
	source EndSource
	limits Limits

	cursor       string // key of the last end record read
	allRead      bool   // the last page of end records has been read
	pending      [shardCount][]pendingEnd
	pendingCount int
	fullShards   [shardCount]bool // shards whose manifest has no room for more results
	batchSize    int
	archivedKeys []string // keys of archived end records, to be deleted

	Counts Counts
}

// NewCompactor returns a compactor that starts with the first end record.
func NewCompactor(reader *Reader, source EndSource, limits Limits) *Compactor {
	limits.MaxValueBytes = min(limits.MaxValueBytes*9/10, maxLeafBytes) // 1/10 is left for the value's encoding
	limits.MaxBatch = cmp.Or(limits.MaxBatch, defaultMaxBatch)
	return &Compactor{reader: reader, source: source, limits: limits, batchSize: limits.MaxBatch}
}

// Step does one unit of work and returns the number of mutations that it made. It returns idle as true
// when all end records have been read and no more of them can be moved. The next call starts again
// with the first end record. After an error, the outcome of a transaction may be unknown;
// later steps find out whether it was applied. The error is ErrTermLost or a *LimitsError, wraps
// ErrCorrupt or ErrNewerVersion, or comes from the store or from EndSource.Decode.
func (c *Compactor) Step(ctx context.Context) (mutations int, idle bool, err error) {
	shard, found := c.fullestShard()
	switch {
	case len(c.archivedKeys) > 0:
		mutations, err = c.deleteArchivedKeys(ctx)
		return mutations, false, err
	case !c.allRead && c.pendingCount < maxPendingEnds:
		return 0, false, c.readEnds(ctx)
	case found:
		mutations, err = c.moveEnds(ctx, shard)
		return mutations, false, err
	}
	idle = c.allRead
	c.reset()
	return 0, idle, nil
}

// reset discards the pending end records. Step calls it when no shard's end records can be moved, because
// each shard has fewer than minEndsPerShard pending end records or a full manifest. If all end records
// have been read, the next step starts again with the first end record. The new pass also finds the end
// records that were written after the pages with their keys had been read.
func (c *Compactor) reset() {
	for shard := range c.pending {
		c.pending[shard], c.fullShards[shard] = nil, false
	}
	c.pendingCount, c.batchSize = 0, c.limits.MaxBatch
	if c.allRead {
		c.cursor, c.allRead = "", false
	}
}

// fullestShard returns the shard with the most pending end records. It considers only shards that have
// at least minEndsPerShard pending end records and whose manifest is not full.
func (c *Compactor) fullestShard() (fullest int, found bool) {
	for shard, ends := range c.pending {
		if len(ends) >= minEndsPerShard && !c.fullShards[shard] && (!found || len(ends) > len(c.pending[fullest])) {
			fullest, found = shard, true
		}
	}
	return fullest, found
}

// readEnds reads the next page of end records. The end records that are old enough and whose job record has
// been deleted become pending. The deleted job records can't be created again. Accepting a job is
// conditional on the absence of its end record and on the version of its shard's manifest. Archiving the
// end record changes the version of the manifest.
func (c *Compactor) readEnds(ctx context.Context) error {
	c.Counts.Requests++
	page, err := c.reader.store.Page(ctx, c.source.EndPrefix, c.cursor, endPageSize)
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
	keysPerRequest := wire.ConditionsPerMutation * c.limits.MaxMutations
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

// dueEnds returns the end records that are old enough to be moved.
func (c *Compactor) dueEnds(entries []wire.KeyValue) (due []pendingEnd, err error) {
	for _, entry := range entries {
		id := entry.Key[len(c.source.EndPrefix):]
		number, err := parseID(id)
		if err != nil {
			continue // the key was not written by this program
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

// deleteArchivedKeys deletes keys of archived end records, as many as fit into one transaction. An
// archived result is never removed, so the keys may be deleted at any later time. Deleting a key twice does
// no harm.
func (c *Compactor) deleteArchivedKeys(ctx context.Context) (deleted int, err error) {
	deleted = min(len(c.archivedKeys), c.limits.MaxMutations)
	txn := wire.Txn{Conditions: []wire.Condition{c.source.TermCondition()}}
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

// moveEnds finds the leaf that most of a shard's pending end records belong to, and adds their results to
// it. One transaction replaces the leaf and the manifest, conditional on the leadership term and on the
// version of the old manifest. The end records are deleted after the transaction. Thus a result is always
// stored as an end record, in the archive, or in both with the same value.
func (c *Compactor) moveEnds(ctx context.Context, shard int) (mutations int, err error) {
	r := &leafReplacement{compactor: c, shard: shard, view: c.reader.view(shard), leaf: &leaf{}}
	if r.view.manifest == nil {
		r.view.manifest = &manifest{}
	}
	ends := c.pending[shard]
	slices.SortFunc(ends, func(a, b pendingEnd) int { return compareNumbers(a.jobNumber, b.jobNumber) })
	var chosen []pendingEnd
	r.leafIndex, chosen = c.chooseLeaf(r.view.manifest, ends)
	if len(r.view.manifest.leaves) > 0 {
		c.Counts.Requests++
		old, found, err := c.reader.readLeaf(ctx, r.oldLeafKey())
		if err != nil {
			return 0, err
		}
		if !found { // the cached manifest is stale
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

// chooseLeaf returns the index of the leaf that most of the given end records belong to, and at most
// batchSize of the end records of that leaf. The given end records must be sorted by job number.
func (c *Compactor) chooseLeaf(m *manifest, ends []pendingEnd) (index int, chosen []pendingEnd) {
	for first := 0; first < len(ends); {
		leafIndex, end := m.leafIndex(ends[first].jobNumber), first
		for end < len(ends) && m.leafIndex(ends[end].jobNumber) == leafIndex {
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
	movedNumbers := make(map[jobNumber]bool, len(moved))
	for _, end := range moved {
		movedNumbers[end.jobNumber] = true
	}
	c.pending[shard] = slices.DeleteFunc(slices.Clone(c.pending[shard]), func(end pendingEnd) bool { return movedNumbers[end.jobNumber] })
}

// resolveFailure handles the error of a transaction that failed or whose outcome is unknown. It reads the
// manifest again. If this read fails, it returns the error of the read. If the leadership term has ended,
// it returns ErrTermLost. In all other cases it returns the given error. The end records stay pending, and
// the next attempt finds out whether their results are in the archive.
func (c *Compactor) resolveFailure(ctx context.Context, shard int, err error) error {
	if refreshErr := c.reader.refresh(ctx, shard); refreshErr != nil {
		return refreshErr
	}
	if errors.Is(err, kvstore.ErrConflict) {
		c.Counts.Requests++
		_, termErr := c.reader.store.Txn(ctx, wire.Txn{Conditions: []wire.Condition{c.source.TermCondition()}})
		if errors.Is(termErr, kvstore.ErrConflict) {
			return ErrTermLost
		}
	}
	return err
}
