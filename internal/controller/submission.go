package controller

import (
	"context"
	"errors"
	"fmt"

	"dalefront/internal/api"
	"dalefront/internal/kvstore"
	"dalefront/internal/sched"
	"dalefront/wire"
)

// Submit implements api.Service. Any controller may accept a job: it does so by creating the job's
// key. The request is idempotent: a job that was accepted before is answered with its status.
func (c *Controller) Submit(ctx context.Context, job *wire.Job) (wire.JobStatus, bool, error) {
	if status, ok := c.statuses.final(job.ID); ok {
		return status, false, nil
	}
	if c.statuses.isAccepted(job.ID) {
		status, err := c.Status(ctx, job.ID)
		return status, false, err
	}
	catalog, ok := c.machineTypes()
	if !ok {
		return wire.JobStatus{}, false, api.ErrUnavailable
	}
	if reason := sched.Admit(c.config.current().settings, catalog, job); reason != nil {
		status, err := c.rejectUnlessAccepted(ctx, job.ID, reason)
		return status, false, err
	}
	select {
	case c.submitSlots <- struct{}{}:
		defer func() { <-c.submitSlots }()
	default:
		return wire.JobStatus{}, false, api.ErrOverloaded
	}
	return c.storeJob(ctx, job)
}

// rejectUnlessAccepted rejects a job that can never run. One that was accepted stays so, whatever
// the settings say by now.
func (c *Controller) rejectUnlessAccepted(ctx context.Context, id string, reason error) (wire.JobStatus, error) {
	status, err := c.Status(ctx, id)
	if errors.Is(err, api.ErrNotFound) {
		err = fmt.Errorf("%w: %w", api.ErrUnsatisfiable, reason)
	}
	return status, err
}

// recordShare is the part of the key-value store's limit that a job's record may take, as the
// store counts values in their longer text form. No sensible job comes near.
const recordShare = 0.9

const bytesPerKB = 1024

// storeJob creates a job's record, unless there is one or the job has ended.
func (c *Controller) storeJob(ctx context.Context, job *wire.Job) (wire.JobStatus, bool, error) {
	record := jobRecord{Job: *job, SubmittedAt: c.now()}
	encoded, err := wire.Marshal(record)
	if err != nil || float64(len(encoded)) > recordShare*bytesPerKB*c.settings.Deployment.State.ValueKB {
		return wire.JobStatus{}, false, fmt.Errorf("%w: too large to be stored", wire.ErrMalformed)
	}
	archived, err := c.txnUnlessArchived(ctx, job.ID, wire.Txn{
		Conditions: []wire.Condition{{Key: jobKey(job.ID)}, {Key: endKey(job.ID)}},
		Mutations:  []wire.Mutation{{Put: jobKey(job.ID), Value: record}},
	})
	switch {
	case err == nil && wire.Final(archived.Status):
		return archived, false, nil
	case err == nil:
		c.statuses.addAccepted(job.ID)
		return queuedStatus(job.ID), true, nil
	case errors.Is(err, kvstore.ErrConflict), errors.Is(err, kvstore.ErrOutcomeUnknown):
		// Accepted before, or perhaps just now: read it back.
		status, err := c.Status(ctx, job.ID)
		if errors.Is(err, api.ErrNotFound) {
			err = api.ErrUnavailable // the transaction may still be applied
		}
		return status, false, err
	}
	return wire.JobStatus{}, false, api.ErrUnavailable
}
