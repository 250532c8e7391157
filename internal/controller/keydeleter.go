package controller

import (
	"errors"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

const (
	// staleKeyWriteDivisor limits the size of a batch of stale keys. A batch has at most the number of
	// mutations that the key-value store accepts per second, divided by staleKeyWriteDivisor.
	staleKeyWriteDivisor = 6
	// staleKeyPause is the pause after a deletion of stale keys.
	staleKeyPause = time.Second
	// cancelledDeleteRetryPause is the pause after a failed deletion of records of cancelled jobs.
	cancelledDeleteRetryPause = 100 * time.Millisecond
)

// staleKeyDeleter deletes keys that are no longer needed, one batch at a time. No user waits for these
// deletions.
type staleKeyDeleter struct {
	leadership *leadership
	task       backgroundTask
	keys       []string
}

// add queues keys to delete. It must be called on the owner goroutine.
func (d *staleKeyDeleter) add(keys ...string) { d.keys = append(d.keys, keys...) }

// start deletes the next batch, unless no key is queued or a batch is being deleted. It must be called on the
// owner goroutine.
func (d *staleKeyDeleter) start() {
	if d.task.running || len(d.keys) == 0 {
		return
	}
	limits := &d.leadership.controller.settings.Deployment.State
	var batch []string
	batch, d.keys = splitBatch(d.keys, min(limits.TxnOps, max(1, int(limits.WriteRPS/staleKeyWriteDivisor))))
	d.leadership.startTask(&d.task, func() func() {
		err := d.leadership.deleteUnderTerm(batch)
		sleepContext(d.leadership.ctx, staleKeyPause)
		if err == nil || errors.Is(err, kvstore.ErrConflict) {
			return nil
		}
		return func() { d.add(batch...) }
	})
}

// cancelledRecordDeleter deletes the records of cancelled jobs that have no tasks left. It is separate
// from staleKeyDeleter because users wait for these deletions. A deletion that fails or gets no answer is
// repeated. This is safe because a repeated deletion under the same term has no further effect.
type cancelledRecordDeleter struct {
	leadership *leadership
	task       backgroundTask
	keys       []string
}

// add queues the key of a record to delete. It must be called on the owner goroutine.
func (d *cancelledRecordDeleter) add(key string) { d.keys = append(d.keys, key) }

// start deletes the next batch, unless no key is queued, a batch is being deleted or the key-value store is
// unreachable. It must be called on the owner goroutine.
func (d *cancelledRecordDeleter) start() {
	controller := d.leadership.controller
	if d.task.running || len(d.keys) == 0 || !controller.store.Reachable(storeReachableWithin) {
		return
	}
	var batch []string
	batch, d.keys = splitBatch(d.keys, controller.settings.Deployment.State.TxnOps)
	d.leadership.startTask(&d.task, func() func() {
		err := d.leadership.deleteUnderTerm(batch)
		if err != nil {
			sleepContext(d.leadership.ctx, cancelledDeleteRetryPause)
		}
		return func() { d.finish(batch, err) }
	})
}

// finish handles the outcome of a batch. A failed condition means that the term is lost and ends the
// leadership. After any other error the batch is queued again. finish must be called on the owner goroutine.
func (d *cancelledRecordDeleter) finish(batch []string, err error) {
	if errors.Is(err, kvstore.ErrConflict) {
		d.leadership.stepDown()
		return
	}
	if err != nil {
		d.keys = append(d.keys, batch...)
	}
	if len(d.keys) > 0 {
		d.leadership.controller.owner.requestPass()
	}
}

// splitBatch returns the first keys, up to the given limit, as a batch, and the remaining keys.
func splitBatch(keys []string, limit int) (batch, rest []string) {
	count := min(len(keys), limit)
	return keys[:count:count], keys[count:]
}

// deleteUnderTerm deletes keys on condition that this leadership still holds the term.
func (l *leadership) deleteUnderTerm(keys []string) error {
	txn := wire.Txn{Conditions: []wire.Condition{l.termCondition()}}
	for _, key := range keys {
		txn.Mutations = append(txn.Mutations, wire.Mutation{Delete: key})
	}
	_, err := l.controller.store.Txn(l.ctx, txn)
	return err
}
