package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dalefront/internal/archive"
	"dalefront/internal/config"
	"dalefront/internal/kvstore"
	"dalefront/wire"
)

const (
	maxQueuedLookups   = 4096 // lookups that exceed this number are rejected immediately
	lookupWorkers      = 4    // batches processed concurrently
	lookupRequestShare = 0.35 // fraction of the store's request rate for the lookups of all controllers together
	maxArchiveLookups  = 8    // concurrent lookups in the archive

	// lookupTimeout limits the time for processing a batch, including the request to the leader and the
	// lookups in the archive. It is shorter than the 2 s for which users wait for an answer.
	lookupTimeout = 1200 * time.Millisecond
)

// lookup is a request to find out whether a job has a record and an end record.
type lookup struct {
	id       string
	accepted bool // whether this controller knows that the job was accepted
	result   chan<- lookupResult
}

// maxConditionsPerLookup is the maximum number of conditions that a lookup adds to a transaction.
const maxConditionsPerLookup = 3

// conditionCount returns the maximum number of conditions that the lookup adds to a transaction: one
// on the job's record, one on its end record and, if the job may never have been accepted, one on the
// archive.
func (l lookup) conditionCount() int {
	if l.accepted {
		return maxConditionsPerLookup - 1
	}
	return maxConditionsPerLookup
}

// lookupResult is the stored state of a job at a time after the lookup was requested.
type lookupResult struct {
	hasRecord bool
	hasEnd    bool           // the job has an end record, in the store or in the archive
	archived  bool           // the end record is in the archive, and the field status is the final status
	status    wire.JobStatus // includes the leader's task counts, unless the job has ended
	err       error
}

// lookupBatcher combines lookups into batches. If hundreds of polling users each caused a read of
// their own, the reads would use up the request rate that the key-value store grants to all
// controllers, and no leader could renew its term. A transaction that has only conditions checks many
// jobs for the cost of one request.
type lookupBatcher struct {
	store    *kvstore.Client
	archive  *archive.Reader
	statuses *statusCache
	// taskCounts returns the statuses with task counts, by job ID, of those jobs that the leader knows.
	taskCounts func(ctx context.Context, ids []string) map[string]wire.JobStatus

	queue              chan lookup
	limiter            *rate.Limiter // limits the rate of batches
	maxBatchConditions int
	archiveSlots       chan struct{}  // limits concurrent lookups in the archive
	archiveLookups     sync.WaitGroup // waits for batches with unfinished lookups in the archive
}

// newLookupBatcher returns a batcher, which answers lookups once run has been started.
func newLookupBatcher(settings *config.Settings, store *kvstore.Client, reader *archive.Reader, statuses *statusCache,
	taskCounts func(context.Context, []string) map[string]wire.JobStatus,
) *lookupBatcher {
	return &lookupBatcher{
		store:              store,
		archive:            reader,
		statuses:           statuses,
		taskCounts:         taskCounts,
		queue:              make(chan lookup, maxQueuedLookups),
		limiter:            newLookupLimiter(settings.Deployment.State.RPS, len(settings.Members)+1),
		maxBatchConditions: conditionsPerOperation * settings.Deployment.State.TxnOps,
		archiveSlots:       make(chan struct{}, maxArchiveLookups),
	}
}

// newLookupLimiter returns the limiter for the batches of one controller. The batches of all controllers
// together use lookupRequestShare of the key-value store's request rate. A batch waits for a few tenths of a
// second at most. Lookups that arrive while a batch waits are added to that batch.
func newLookupLimiter(storeRPS float64, controllers int) *rate.Limiter {
	rps := storeRPS * lookupRequestShare / float64(controllers)
	return rate.NewLimiter(rate.Limit(max(rps, 1)), max(2, int(rps)))
}

// run answers lookups until the context ends. It returns once all of its goroutines have ended.
func (b *lookupBatcher) run(ctx context.Context) {
	var workers sync.WaitGroup
	for range lookupWorkers {
		workers.Go(func() {
			for {
				batch := b.nextBatch(ctx)
				if batch == nil {
					return
				}
				b.answer(ctx, batch)
			}
		})
	}
	workers.Wait()
	b.archiveLookups.Wait()
}

// errLookupQueueFull means that maxQueuedLookups lookups are waiting already.
var errLookupQueueFull = errors.New("lookup queue is full")

// lookUp looks up a job in a batch with other lookups.
func (b *lookupBatcher) lookUp(ctx context.Context, id string, accepted bool) lookupResult {
	result := make(chan lookupResult, 1)
	select {
	case b.queue <- lookup{id, accepted, result}:
	default:
		return lookupResult{err: errLookupQueueFull}
	}
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		return lookupResult{err: ctx.Err()}
	}
}

// nextBatch returns as many of the queued lookups as fit into a transaction, or nil when the context ends.
// All lookups of a batch were queued before the read of the batch begins, so the results are as recent as if
// each lookup had read its keys separately.
func (b *lookupBatcher) nextBatch(ctx context.Context) []lookup {
	var batch []lookup
	select {
	case <-ctx.Done():
		return nil
	case l := <-b.queue:
		batch = append(batch, l)
	}
	if b.limiter.Wait(ctx) != nil {
		return nil
	}
	for conditions := batch[0].conditionCount(); conditions+maxConditionsPerLookup <= b.maxBatchConditions; {
		select {
		case l := <-b.queue:
			batch = append(batch, l)
			conditions += l.conditionCount()
		default:
			return batch
		}
	}
	return batch
}

// answer answers a batch with one read and at most one request to the leader for task counts. Jobs
// that have neither a record nor an end record are looked up in the archive.
func (b *lookupBatcher) answer(ctx context.Context, batch []lookup) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	var batchLookups sync.WaitGroup // lookups of the batch in the archive
	defer func() {
		b.archiveLookups.Go(func() {
			batchLookups.Wait()
			cancel()
		})
	}()
	exists, err := b.existingKeys(ctx, batch)
	if err != nil {
		for _, l := range batch {
			l.result <- lookupResult{err: err}
		}
		return
	}
	counts := b.taskCounts(ctx, idsWithRecord(batch, exists))
	for _, l := range batch {
		if exists[jobKey(l.id)] || exists[endKey(l.id)] {
			l.result <- b.storedResult(l, exists, counts)
			continue
		}
		manifestMayBeStale := l.accepted || exists[b.archive.AbsenceCondition(l.id).Key]
		batchLookups.Go(func() { l.result <- b.lookUpArchive(ctx, l, manifestMayBeStale) })
	}
}

// existingKeys returns which keys of a batch exist, all read in one transaction. A job's record is deleted
// only after its end record was created. If neither record exists, the job's end was archived or the job was
// never accepted. The returned keys include the keys of the archive's manifests that have changed since this
// controller read them.
func (b *lookupBatcher) existingKeys(ctx context.Context, batch []lookup) (map[string]bool, error) {
	var txn wire.Txn
	added := map[string]bool{}
	add := func(condition wire.Condition) {
		if !added[condition.Key] {
			added[condition.Key] = true
			txn.Conditions = append(txn.Conditions, condition)
		}
	}
	for _, l := range batch {
		add(wire.Condition{Key: jobKey(l.id)})
		add(wire.Condition{Key: endKey(l.id)})
		if !l.accepted {
			add(b.archive.AbsenceCondition(l.id))
		}
	}
	response, err := b.store.Txn(ctx, txn)
	if err != nil && !errors.Is(err, kvstore.ErrConflict) {
		return nil, err
	}
	exists := map[string]bool{}
	for _, key := range response.FailedKeys {
		exists[key] = true
	}
	return exists, nil
}

// idsWithRecord returns the IDs of the jobs in a batch that have a record.
func idsWithRecord(batch []lookup, exists map[string]bool) []string {
	var ids []string
	for _, l := range batch {
		if exists[jobKey(l.id)] {
			ids = append(ids, l.id)
		}
	}
	return ids
}

// storedResult returns the result for a job that has a record or an end record in the store.
func (b *lookupBatcher) storedResult(l lookup, exists map[string]bool, counts map[string]wire.JobStatus) lookupResult {
	result := lookupResult{hasRecord: exists[jobKey(l.id)], hasEnd: exists[endKey(l.id)], status: queuedStatus(l.id)}
	if status, ok := counts[l.id]; ok {
		result.status = status
	}
	if !l.accepted && result.hasRecord {
		b.statuses.addAccepted(l.id)
	}
	return result
}

// errAcceptedJobNotFound means that an accepted job has neither a record nor an end record, in the store or
// in the archive.
var errAcceptedJobNotFound = errors.New("accepted job has neither a record nor an end")

// lookUpArchive answers the lookup of a job that has neither a record nor an end record in the store. The
// archive only grows. A job that is not in the archive now was therefore not in it when the keys were read,
// and was never accepted. If manifestMayBeStale is true, the job may have been archived after this controller
// cached the manifests.
func (b *lookupBatcher) lookUpArchive(ctx context.Context, l lookup, manifestMayBeStale bool) lookupResult {
	select {
	case b.archiveSlots <- struct{}{}:
		defer func() { <-b.archiveSlots }()
	case <-ctx.Done():
		return lookupResult{err: ctx.Err()}
	}
	lookUp := b.archive.Lookup
	if manifestMayBeStale {
		lookUp = b.archive.LookupFresh
	}
	answer, err := lookUp(ctx, l.id)
	switch {
	case err != nil:
		return lookupResult{err: err}
	case answer.Found:
		return lookupResult{hasEnd: true, archived: true, status: b.statuses.addArchived(answer.Record)}
	case l.accepted:
		return lookupResult{err: errAcceptedJobNotFound}
	}
	return lookupResult{}
}

// taskCounts returns statuses with task counts, by job ID. Only the leader has the counts. Callers report
// jobs that are missing from the result as queued.
func (c *Controller) taskCounts(ctx context.Context, ids []string) map[string]wire.JobStatus {
	if len(ids) == 0 {
		return nil
	}
	statuses := c.localCounts(ctx, ids)
	term := c.term.view()
	if leader := c.peers[term.leader]; leader != nil && !term.isLeading() {
		if response, err := leader.TaskCounts(ctx, ids); err == nil {
			statuses = response.Jobs
		}
	}
	byID := make(map[string]wire.JobStatus, len(statuses))
	for _, status := range statuses {
		byID[status.ID] = status
	}
	return byID
}
