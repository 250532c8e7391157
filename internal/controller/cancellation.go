package controller

import (
	"context"
	"time"

	"dalefront/internal/api"
	"dalefront/wire"
)

// A user is told that a job is cancelled only after the job's record has been deleted. The leader deletes the
// record once every task of the job is proven to have stopped. The deletion is conditional on the leader's
// term. No task is launched after the job has an end record. Therefore no later failure can affect a
// cancelled job, and a controller may renew leases without knowing about cancellations. Until the job's
// record is deleted, every controller answers status requests for the job with queued or running, whether or
// not the controller knows of the cancellation. See docs/meetings.md.

// Bounds of the interval at which Cancel checks whether a cancelled job's record has been deleted. The
// interval starts at the minimum and doubles with every check up to the maximum.
const (
	minDeletionPollInterval = 100 * time.Millisecond
	maxDeletionPollInterval = 400 * time.Millisecond
)

// Cancel implements api.Service. Completion and cancellation of a job are stored under the same key. The
// key is created only once, so whichever of the two is stored first is final.
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

// awaitRecordDeleted waits until a cancelled job's record has been deleted. An error means that the record
// still exists, or that it is unknown whether it exists. After an error the end record stays in the store
// and the job's tasks are still being stopped. The user can repeat the request to get the result.
func (c *Controller) awaitRecordDeleted(ctx context.Context, id string, end endRecord) (wire.JobStatus, error) {
	select {
	case c.cancelSlots <- struct{}{}:
		defer func() { <-c.cancelSlots }()
	default:
		return wire.JobStatus{}, api.ErrOverloaded
	}
	for pause := minDeletionPollInterval; ; pause = min(2*pause, maxDeletionPollInterval) {
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
