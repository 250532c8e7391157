package controller

import (
	"errors"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

const (
	// tidyPart: a write that deletes what is of no more use takes one in so many of a second's changes.
	staleKeyWriteShare = 6
	// staleKeyPause is the pause after it.
	staleKeyPause = time.Second
	// cancelledRetry is the pause after records of cancelled jobs could not be deleted.
	cancelledRetry = 100 * time.Millisecond
)

// staleKeyDeleter deletes keys that are of no more use, a batch at a time. Nobody waits for it.
type staleKeyDeleter struct {
	leadership *leadership
	task       backgroundTask
	keys       []string
}

// add takes keys to delete. Owner goroutine.
func (d *staleKeyDeleter) add(keys ...string) { d.keys = append(d.keys, keys...) }

// start deletes the next batch, unless there is none or one is being deleted. Owner goroutine.
func (d *staleKeyDeleter) start() {
	if d.task.running || len(d.keys) == 0 {
		return
	}
	limits := &d.leadership.controller.settings.Deployment.State
	var batch []string
	batch, d.keys = cut(d.keys, min(limits.TxnOps, max(1, int(limits.WriteRPS/staleKeyWriteShare))))
	d.leadership.startTask(&d.task, func() func() {
		err := d.leadership.deleteUnderTerm(batch)
		sleepContext(d.leadership.ctx, staleKeyPause)
		if err == nil || errors.Is(err, kvstore.ErrConflict) {
			return nil
		}
		return func() { d.add(batch...) }
	})
}

// cancelledRecordDeleter deletes the records of cancelled jobs whose tasks are gone, apart from the
// other keys, since their users wait for it. Without an answer it is done again: under one term a
// repeated deletion has no further effect.
type cancelledRecordDeleter struct {
	leadership *leadership
	task       backgroundTask
	keys       []string
}

// add takes the key of a record. Owner goroutine.
func (d *cancelledRecordDeleter) add(key string) { d.keys = append(d.keys, key) }

// start deletes the next batch, unless there is none or one is being deleted, or the key-value store
// is out of reach. Owner goroutine.
func (d *cancelledRecordDeleter) start() {
	controller := d.leadership.controller
	if d.task.running || len(d.keys) == 0 || !controller.store.Reachable(storeReachableWithin) {
		return
	}
	var batch []string
	batch, d.keys = cut(d.keys, controller.settings.Deployment.State.TxnOps)
	d.leadership.startTask(&d.task, func() func() {
		err := d.leadership.deleteUnderTerm(batch)
		if err != nil {
			sleepContext(d.leadership.ctx, cancelledRetry)
		}
		return func() { d.finish(batch, err) }
	})
}

// finish takes the outcome of a batch. Owner goroutine.
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

// cut takes at most so many keys from the front.
func cut(keys []string, most int) (batch, rest []string) {
	count := min(len(keys), most)
	return keys[:count:count], keys[count:]
}

// deleteUnderTerm deletes keys on condition of the term.
func (l *leadership) deleteUnderTerm(keys []string) error {
	txn := wire.Txn{Conditions: []wire.Condition{l.termCondition()}}
	for _, key := range keys {
		txn.Mutations = append(txn.Mutations, wire.Mutation{Delete: key})
	}
	_, err := l.controller.store.Txn(l.ctx, txn)
	return err
}
