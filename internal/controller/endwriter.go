package controller

import (
	"context"
	"errors"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

const (
	// endTimeout bounds the writes of one batch of ends.
	endTimeout = 4 * time.Second
	// endRetry is the pause after a batch of which some ends were not stored.
	endRetry = 150 * time.Millisecond
)

// endWriter stores the ends of jobs that are done, a batch at a time.
type endWriter struct {
	leadership *leadership
	task       backgroundTask
	pending    []string // jobs whose end is to be stored
}

// finishedJob is a job whose end is to be stored, and how many of its tasks are done.
type finishedJob struct {
	id        string
	tasksDone int
}

// storedEndResult is what has become of it.
type storedEndResult struct {
	id  string
	end endRecord
	err error // it is not known whether there is an end
}

// add takes jobs whose end is to be stored. Owner goroutine.
func (w *endWriter) add(ids []string) { w.pending = append(w.pending, ids...) }

// start stores the next batch, unless there is none or one is being stored. Owner goroutine.
func (w *endWriter) start() {
	if w.task.running || len(w.pending) == 0 {
		return
	}
	// Half of a transaction: ends leave room for launches.
	count := min(len(w.pending), max(1, w.leadership.controller.settings.Deployment.State.TxnOps/2))
	batch := make([]finishedJob, count)
	for i, id := range w.pending[:count] {
		_, tasksDone, _, _ := w.leadership.core.Counts(id)
		batch[i] = finishedJob{id, tasksDone}
	}
	w.pending = w.pending[count:]
	w.leadership.startTask(&w.task, func() func() {
		results := w.store(batch)
		return func() { w.finish(results) }
	})
}

// store makes jobs done, unless they were cancelled before: all in one
// transaction, or one by one if that fails.
func (w *endWriter) store(batch []finishedJob) []storedEndResult {
	ctx, cancel := context.WithTimeout(w.leadership.ctx, endTimeout)
	defer cancel()
	results, err := w.storeTogether(ctx, batch)
	if err == nil {
		return results
	}
	failed := false
	for i := range results {
		if errors.Is(err, kvstore.ErrConflict) || errors.Is(err, kvstore.ErrOutcomeUnknown) {
			results[i] = w.storeOne(ctx, batch[i])
		}
		failed = failed || results[i].err != nil
	}
	if failed {
		sleepContext(w.leadership.ctx, endRetry)
	}
	return results
}

// storeTogether stores a batch in one transaction. If that fails, all results have its error.
func (w *endWriter) storeTogether(ctx context.Context, batch []finishedJob) ([]storedEndResult, error) {
	controller := w.leadership.controller
	txn := wire.Txn{Conditions: []wire.Condition{w.leadership.termCondition()}}
	now := controller.now()
	ids := make([]string, len(batch))
	for i, job := range batch {
		ids[i] = job.id
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: endKey(job.id)})
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: endKey(job.id), Value: endRecord{Status: wire.JobDone, EndedAt: now, TasksDone: job.tasksDone}})
	}
	txn.Conditions = controller.withArchiveGuards(txn.Conditions, ids...)
	_, err := controller.store.Txn(ctx, txn)
	results := make([]storedEndResult, len(batch))
	for i, job := range batch {
		if err != nil {
			results[i] = storedEndResult{id: job.id, err: err}
			continue
		}
		end := endRecord{Status: wire.JobDone, TasksDone: job.tasksDone}
		controller.statuses.addFinal(end.status(job.id))
		results[i] = storedEndResult{id: job.id, end: end}
	}
	return results, err
}

// storeOne stores the end of one job, or reads the one that exists.
func (w *endWriter) storeOne(ctx context.Context, job finishedJob) storedEndResult {
	conditions := []wire.Condition{w.leadership.termCondition()}
	end, err := w.leadership.controller.createEnd(ctx, job.id, wire.JobDone, job.tasksDone, conditions)
	return storedEndResult{job.id, end, err}
}

// finish hands what was stored to the core. Owner goroutine.
func (w *endWriter) finish(results []storedEndResult) {
	l := w.leadership
	for _, result := range results {
		if result.err != nil {
			l.core.RetryEnd(result.id)
		} else {
			l.core.JobEnded(result.id, result.end.Status, l.controller.now())
		}
	}
	l.dispatchEffects()
	l.controller.owner.requestPass()
}
