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

// Submit implements api.Service. Any controller can accept a job by creating the job's record in the
// key-value store. The request is idempotent: for a job that was accepted before, Submit returns the
// job's current status.
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

// rejectUnlessAccepted rejects a job that can never run with ErrUnsatisfiable. If the job was already
// accepted, it returns the job's status instead, since a later change of the settings doesn't revoke an
// acceptance.
func (c *Controller) rejectUnlessAccepted(ctx context.Context, id string, reason error) (wire.JobStatus, error) {
	status, err := c.Status(ctx, id)
	if errors.Is(err, api.ErrNotFound) {
		err = fmt.Errorf("%w: %w", api.ErrUnsatisfiable, reason)
	}
	return status, err
}

// maxRecordShare is the fraction of the key-value store's value size limit that an encoded job record
// may use. The rest is a margin, because the store counts the size of a value in its longer text form.
// Realistic jobs stay far below the limit.
const maxRecordShare = 0.9

const bytesPerKiB = 1024

// storeJob creates a job's record, unless the job has a record already or has ended.
func (c *Controller) storeJob(ctx context.Context, job *wire.Job) (wire.JobStatus, bool, error) {
	record := jobRecord{Job: *job, SubmittedAt: c.now()}
	encoded, err := wire.Marshal(record)
	if err != nil || float64(len(encoded)) > maxRecordShare*bytesPerKiB*c.settings.Deployment.State.ValueKB {
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
		// Either the job already existed, or the outcome of this transaction is unknown. The job's stored
		// state decides about the answer in both cases.
		status, err := c.Status(ctx, job.ID)
		if errors.Is(err, api.ErrNotFound) {
			err = api.ErrUnavailable // the transaction may still be applied later
		}
		return status, false, err
	}
	return wire.JobStatus{}, false, api.ErrUnavailable
}
