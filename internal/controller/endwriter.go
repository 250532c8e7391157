package controller

import (
	"context"
	"errors"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

const (
	// endWriteTimeout limits the time for storing one batch of end records.
	endWriteTimeout = 4 * time.Second
	// endRetryPause is the pause after a batch of which some end records were not stored.
	endRetryPause = 150 * time.Millisecond
)

// endWriter stores the end records of jobs that are done, one batch at a time.
type endWriter struct {
	leadership *leadership
	task       backgroundTask
	pending    []string // IDs of jobs whose end records are to be stored
}

// finishedJob is a job whose end record is to be stored, with the number of its tasks that are done.
type finishedJob struct {
	id        string
	tasksDone int
}

// endWriteResult is the result of storing the end of one job.
type endWriteResult struct {
	id  string
	end endRecord
	err error // set if it is not known whether the job has an end record
}

// add queues jobs whose end records are to be stored. It must be called on the owner goroutine.
func (w *endWriter) add(ids []string) { w.pending = append(w.pending, ids...) }

// start stores the next batch, unless no job is queued or a batch is already being stored. It must be called
// on the owner goroutine.
func (w *endWriter) start() {
	if w.task.running || len(w.pending) == 0 {
		return
	}
	// End records take at most half of the operations of a transaction, to leave capacity for launches.
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

// store stores the end records of a batch of jobs that are done and returns them. For a job that was already
// cancelled, it returns the existing end record. It first tries one transaction for the whole batch. If a
// condition of that transaction failed or its outcome is unknown, it stores the end records one by one.
func (w *endWriter) store(batch []finishedJob) []endWriteResult {
	ctx, cancel := context.WithTimeout(w.leadership.ctx, endWriteTimeout)
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
		sleepContext(w.leadership.ctx, endRetryPause)
	}
	return results
}

// storeTogether stores the end records of a batch in one transaction. If the transaction fails, every result
// contains the transaction's error.
func (w *endWriter) storeTogether(ctx context.Context, batch []finishedJob) ([]endWriteResult, error) {
	controller := w.leadership.controller
	txn := wire.Txn{Conditions: []wire.Condition{w.leadership.termCondition()}}
	now := controller.now()
	ids := make([]string, len(batch))
	for i, job := range batch {
		ids[i] = job.id
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: endKey(job.id)})
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: endKey(job.id), Value: endRecord{Status: wire.JobDone, EndedAt: now, TasksDone: job.tasksDone}})
	}
	txn.Conditions = controller.withAbsenceConditions(txn.Conditions, ids...)
	_, err := controller.store.Txn(ctx, txn)
	results := make([]endWriteResult, len(batch))
	for i, job := range batch {
		if err != nil {
			results[i] = endWriteResult{id: job.id, err: err}
			continue
		}
		end := endRecord{Status: wire.JobDone, TasksDone: job.tasksDone}
		controller.statuses.addFinal(end.status(job.id))
		results[i] = endWriteResult{id: job.id, end: end}
	}
	return results, err
}

// storeOne stores the end record of one job, or returns the job's existing end record.
func (w *endWriter) storeOne(ctx context.Context, job finishedJob) endWriteResult {
	conditions := []wire.Condition{w.leadership.termCondition()}
	end, err := w.leadership.controller.createEnd(ctx, job.id, wire.JobDone, job.tasksDone, conditions)
	return endWriteResult{job.id, end, err}
}

// finish passes the results of a batch to the core. It must be called on the owner goroutine.
func (w *endWriter) finish(results []endWriteResult) {
	l := w.leadership
	for _, result := range results {
		if result.err != nil {
			l.core.RetryJobEnd(result.id)
		} else {
			l.core.JobEnded(result.id, result.end.Status, l.controller.now())
		}
	}
	l.dispatchEffects()
	l.controller.owner.requestPass()
}
