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
	maxLookups        = 4096 // those that wait for a read; more are refused at once
	lookupWorkers     = 4    // batches at the same time
	lookupShare       = 0.35 // of the requests that the key-value store takes, for the lookups of all controllers
	maxArchiveLookups = 8    // those in the archive at the same time

	// lookupTimeout bounds a batch with all that it leads to. Users wait for 2 s.
	lookupTimeout = 1200 * time.Millisecond
)

// lookup is the question whether a job has a record and an end.
type lookup struct {
	id       string
	accepted bool // as this controller knows
	result   chan<- lookupResult
}

// conditionsPerLookup is how many conditions a lookup takes at most.
const conditionsPerLookup = 3

// conditions is how many conditions the lookup takes at most: of the record, of the end and, if the
// job may never have been accepted, of the archive.
func (l lookup) conditions() int {
	if l.accepted {
		return conditionsPerLookup - 1
	}
	return conditionsPerLookup
}

// lookupResult is what is stored of a job, at a moment after the lookup was asked for.
type lookupResult struct {
	hasRecord bool
	hasEnd    bool           // in the store or in the archive
	archived  bool           // the end is in the archive, and status is final
	status    wire.JobStatus // with the leader's counts of tasks, unless the job has ended
	err       error
}

// lookupBatcher answers lookups together. Hundreds of users polling, each with a read of its own,
// would use up the requests that the key-value store takes from all controllers, and then nobody
// could renew a term; a transaction that only compares looks at many jobs for the price of one.
type lookupBatcher struct {
	store    *kvstore.Client
	archive  *archive.Reader
	statuses *statusCache
	// taskCounts returns statuses with counts of tasks, of those jobs that the leader knows.
	taskCounts func(ctx context.Context, ids []string) map[string]wire.JobStatus

	queue         chan lookup
	limiter       *rate.Limiter // of batches
	maxConditions int           // of a batch
	archiveSlots  chan struct{} // bounds the lookups in the archive
	archiveWork   sync.WaitGroup
}

// newLookupBatcher returns a batcher; run starts it.
func newLookupBatcher(settings *config.Settings, store *kvstore.Client, reader *archive.Reader, statuses *statusCache,
	taskCounts func(context.Context, []string) map[string]wire.JobStatus,
) *lookupBatcher {
	return &lookupBatcher{
		store:         store,
		archive:       reader,
		statuses:      statuses,
		taskCounts:    taskCounts,
		queue:         make(chan lookup, maxLookups),
		limiter:       newLookupLimiter(settings.Deployment.State.RPS, len(settings.Members)+1),
		maxConditions: conditionsPerOperation * settings.Deployment.State.TxnOps,
		archiveSlots:  make(chan struct{}, maxArchiveLookups),
	}
}

// newLookupLimiter paces the batches of one controller, so that all together use lookupShare of the
// requests that the store takes. A batch waits some tenths of a second at most, and lookups that come
// meanwhile join it.
func newLookupLimiter(storeRPS float64, controllers int) *rate.Limiter {
	rps := storeRPS * lookupShare / float64(controllers)
	return rate.NewLimiter(rate.Limit(max(rps, 1)), max(2, int(rps)))
}

// run answers lookups until the context ends, and returns when nothing of them goes on.
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
	b.archiveWork.Wait()
}

// errLookupQueueFull means that too many lookups wait already.
var errLookupQueueFull = errors.New("too many lookups wait")

// lookUp asks for a job, together with others.
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

// nextBatch takes as many lookups as wait and fit into a transaction. They were asked for before the
// batch is read, so that its answers are as recent as a read for each would be. It returns nil when
// the context ends.
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
	for conditions := batch[0].conditions(); conditions+conditionsPerLookup <= b.maxConditions; {
		select {
		case l := <-b.queue:
			batch = append(batch, l)
			conditions += l.conditions()
		default:
			return batch
		}
	}
	return batch
}

// answer answers a batch with one read, and one question to the leader for the counts of tasks.
func (b *lookupBatcher) answer(ctx context.Context, batch []lookup) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	var inArchive sync.WaitGroup // those of the batch that go on there
	defer func() {
		b.archiveWork.Go(func() {
			inArchive.Wait()
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
		changed := l.accepted || exists[b.archive.AbsenceCondition(l.id).Key]
		inArchive.Go(func() { l.result <- b.lookUpArchive(ctx, l, changed) })
	}
}

// existingKeys reads which keys of a batch exist, all at one moment: since a job's record is deleted
// only after its end was created, finding neither means that the end was archived, or that the job
// was never accepted. The manifests that have changed since this controller read them are among the
// keys returned.
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

// idsWithRecord lists the jobs of a batch that have a record.
func idsWithRecord(batch []lookup, exists map[string]bool) []string {
	var ids []string
	for _, l := range batch {
		if exists[jobKey(l.id)] {
			ids = append(ids, l.id)
		}
	}
	return ids
}

// storedResult answers a lookup of a job of which a key exists.
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

// errRecordMissing means that an accepted job has neither a record nor an end.
var errRecordMissing = errors.New("an accepted job has left no trace")

// lookUpArchive answers a lookup of which neither the job's record nor its end was found. The archive
// only grows: a job that it doesn't have now wasn't there when the keys were looked at, and was never
// accepted. changed says that the manifests known here may not have the job yet.
func (b *lookupBatcher) lookUpArchive(ctx context.Context, l lookup, changed bool) lookupResult {
	select {
	case b.archiveSlots <- struct{}{}:
		defer func() { <-b.archiveSlots }()
	case <-ctx.Done():
		return lookupResult{err: ctx.Err()}
	}
	look := b.archive.Lookup
	if changed {
		look = b.archive.LookupFresh
	}
	answer, err := look(ctx, l.id)
	switch {
	case err != nil:
		return lookupResult{err: err}
	case answer.Found:
		return lookupResult{hasEnd: true, archived: true, status: b.statuses.addArchived(answer.Record)}
	case l.accepted:
		return lookupResult{err: errRecordMissing}
	}
	return lookupResult{}
}

// taskCounts asks for statuses with the counts of tasks that only the leader has. Jobs that are not
// among them count as queued.
func (c *Controller) taskCounts(ctx context.Context, ids []string) map[string]wire.JobStatus {
	if len(ids) == 0 {
		return nil
	}
	statuses := c.localCounts(ctx, ids)
	term := c.term.view()
	if leader := c.peers[term.leader]; leader != nil && !term.isLeading() {
		if response, err := leader.Counts(ctx, ids); err == nil {
			statuses = response.Jobs
		}
	}
	byID := make(map[string]wire.JobStatus, len(statuses))
	for _, status := range statuses {
		byID[status.ID] = status
	}
	return byID
}
