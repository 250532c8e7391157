package controller

import (
	"context"
	"time"

	"dalefront/internal/api"
	"dalefront/wire"
)

// A user learns that a job is cancelled only once the job's record is deleted: the leader deletes it,
// on condition of its term, after every task has been proven to have stopped, and nothing is launched
// after the end. So nothing that fails later can matter, and nobody has to know of a cancellation in
// order to renew leases. Until then the job's status is queued or running for whoever asks, as it is
// for those who don't know of the cancellation. See docs/meetings.md.

// Pauses between two looks whether a cancelled job's record is deleted: the first one, which doubles,
// and the longest.
const (
	minDeletionPause = 100 * time.Millisecond
	maxDeletionPause = 400 * time.Millisecond
)

// Cancel implements api.Service. Being done and being cancelled share one key that is created once,
// so the first of the two is final.
func (c *Controller) Cancel(ctx context.Context, id string) (wire.JobStatus, error) {
	status, err := c.Status(ctx, id)
	if err != nil || wire.Final(status.Status) {
		return status, err
	}
	end, err := c.createEnd(ctx, id, wire.JobCancelled, status.Done, nil)
	if err != nil {
		return wire.JobStatus{}, api.ErrUnavailable
	}
	if end.Status == wire.JobDone {
		return end.status(id), nil
	}
	return c.awaitRecordDeleted(ctx, id, end)
}

// awaitRecordDeleted waits until a cancelled job's record is deleted. An error means that it is not,
// or that nobody can tell: the end stays in the store, the job's tasks are being stopped, and the
// user's repeated request gets the answer.
func (c *Controller) awaitRecordDeleted(ctx context.Context, id string, end endRecord) (wire.JobStatus, error) {
	select {
	case c.cancelSlots <- struct{}{}:
		defer func() { <-c.cancelSlots }()
	default:
		return wire.JobStatus{}, api.ErrOverloaded
	}
	for pause := minDeletionPause; ; pause = min(2*pause, maxDeletionPause) {
		result := c.lookups.lookUp(ctx, id, true)
		switch {
		case result.err != nil:
			return wire.JobStatus{}, api.ErrUnavailable
		case result.archived:
			return result.status, nil
		case result.hasEnd && !result.hasRecord:
			status := end.status(id)
			c.statuses.addFinal(status)
			return status, nil
		}
		select {
		case <-ctx.Done():
			return wire.JobStatus{}, api.ErrUnavailable
		case <-time.After(pause):
		}
	}
}
