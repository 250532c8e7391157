package controller

import (
	"context"
	"errors"
	"time"

	"dalefront/internal/api"
	"dalefront/internal/kvstore"
	"dalefront/wire"
)

// A user is told that a job is cancelled only once the job's record is gone: the leader deletes
// it, on condition of its term, after every task was proven gone, and nothing is launched after
// the end. So nothing that fails later can matter, and nobody has to know of a cancellation in
// order to renew leases. Until then whoever asks gets what nobody was told otherwise: queued or
// running. docs/meetings.md.

// Between two looks whether a cancelled job's tasks are gone, at first and at most.
const (
	goneEvery  = 100 * time.Millisecond
	goneAtMost = 400 * time.Millisecond
)

// Cancel implements api.Service. Done and cancelled share one key that is created once, so the
// first one is final.
func (c *Controller) Cancel(ctx context.Context, id string) (wire.JobStatus, error) {
	st, err := c.Status(ctx, id)
	if err != nil || wire.Final(st.Status) {
		return st, err
	}
	end, err := c.createEnd(ctx, id, wire.JobCancelled, st.Done, nil)
	switch {
	case err != nil:
		return wire.JobStatus{}, api.ErrUnavailable
	case end.Status == wire.JobDone:
		return end.status(id), nil
	}
	return c.awaitRecordDeleted(ctx, id, end)
}

// awaitRecordDeleted waits until a cancelled job's record is gone. An error means that it is not, or that
// nobody can tell: the end stays in the state service, its tasks are being stopped, and the
// user's repeat gets the answer.
func (c *Controller) awaitRecordDeleted(ctx context.Context, id string, end endRecord) (wire.JobStatus, error) {
	select {
	case c.cancelSlots <- struct{}{}:
		defer func() { <-c.cancelSlots }()
	default:
		return wire.JobStatus{}, api.ErrOverloaded
	}
	for pause := goneEvery; ; pause = min(2*pause, goneAtMost) {
		v := c.lookUpJob(ctx, id, true)
		switch {
		case v.err != nil:
			return wire.JobStatus{}, api.ErrUnavailable
		case v.archived:
			return v.st, nil
		case v.ended && !v.accepted:
			st := end.status(id)
			c.rememberFinal(st)
			return st, nil
		}
		select {
		case <-ctx.Done():
			return wire.JobStatus{}, api.ErrUnavailable
		case <-time.After(pause):
		}
	}
}

// deleteCancelled deletes the records of cancelled jobs whose tasks are gone, apart from the
// other tidying, since their users wait for it. Without an answer it is done again: under one
// term it comes to the same.
func (l *leadership) deleteCancelled(keys []string) {
	c := l.controller
	err := l.deleteUnderTerm(keys)
	if err != nil {
		sleepContext(l.ctx, goneEvery)
	}
	c.owner.post(func() {
		l.busyCancelled = false
		if c.owner.leadership != l {
			return
		}
		if errors.Is(err, kvstore.ErrConflict) {
			l.stepDown()
			return
		}
		if err != nil {
			l.cancelledRecords = append(l.cancelledRecords, keys...)
		}
		if len(l.cancelledRecords) > 0 {
			c.owner.requestPass()
		}
	})
}

// deleteUnderTerm deletes keys on condition of the term.
func (l *leadership) deleteUnderTerm(keys []string) error {
	txn := wire.Txn{Conditions: []wire.Condition{l.termCondition()}}
	for _, k := range keys {
		txn.Mutations = append(txn.Mutations, wire.Mutation{Delete: k})
	}
	_, err := l.controller.store.Txn(l.ctx, txn)
	return err
}
