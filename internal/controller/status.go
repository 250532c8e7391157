package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"dalefront/internal/api"
	"dalefront/internal/kvstore"
	"dalefront/wire"
)

// errEndNotFound means that neither the store nor the archive has the end record of a job that has ended.
var errEndNotFound = errors.New("end record is neither in the store nor in the archive")

// Status implements api.Service. A status that is not final is always based on a read of the job's end
// record that began after the request, because another controller may just have returned the final status.
func (c *Controller) Status(ctx context.Context, id string) (wire.JobStatus, error) {
	if status, ok := c.statuses.final(id); ok {
		return status, nil
	}
	result := c.lookups.lookUp(ctx, id, c.statuses.isAccepted(id))
	if status, ok := c.statuses.final(id); ok {
		// Another goroutine cached the final status during the lookup, which removed the job from the
		// accepted jobs in the cache. The lookup may therefore not know that the job was accepted, and its
		// result would lead to ErrNotFound.
		return status, nil
	}
	switch {
	case result.err != nil:
		return wire.JobStatus{}, api.ErrUnavailable
	case result.hasEnd:
		return c.endedStatus(ctx, id, result)
	case !result.hasRecord:
		return wire.JobStatus{}, api.ErrNotFound
	}
	return result.status, nil
}

// endedStatus returns the status of a job for which a lookup found an end record.
func (c *Controller) endedStatus(ctx context.Context, id string, result lookupResult) (wire.JobStatus, error) {
	if wire.Final(result.status.Status) {
		return result.status, nil
	}
	end, err := c.readEnd(ctx, id)
	switch {
	case err != nil:
		return wire.JobStatus{}, api.ErrUnavailable
	case end.Status == wire.JobDone || !result.hasRecord:
		status := end.status(id)
		c.statuses.addFinal(status)
		return status, nil
	case !end.HiddenUntilDeleted:
		return wire.JobStatus{}, api.ErrUnavailable
	}
	return result.status, nil // the job is cancelled, but its end is hidden from users until its record is deleted
}

// readEnd returns the end record of a job that is known to have one.
func (c *Controller) readEnd(ctx context.Context, id string) (endRecord, error) {
	if status, ok := c.statuses.final(id); ok {
		return endFromStatus(status), nil
	}
	entry, found, err := c.store.Get(ctx, endKey(id))
	if err != nil {
		return endRecord{}, err
	}
	if found {
		return c.decodeEnd(id, entry.Value)
	}
	answer, err := c.archive.LookupFresh(ctx, id) // the end record may have been archived since the lookup
	if err != nil {
		return endRecord{}, err
	}
	if !answer.Found {
		return endRecord{}, fmt.Errorf("%w: %s", errEndNotFound, id)
	}
	return endFromStatus(c.statuses.addArchived(answer.Record)), nil
}

// decodeEnd decodes a stored end record. It caches the status of a completed job, which may be shown
// to users immediately.
func (c *Controller) decodeEnd(id string, value []byte) (endRecord, error) {
	var end endRecord
	err := wire.Unmarshal(value, &end)
	if err == nil && end.Status == wire.JobDone {
		c.statuses.addFinal(end.status(id))
	}
	return end, err
}

// createEnd creates a job's end record if the conditions hold, or returns the existing record. An error
// means that it is unknown whether the job has an end record.
func (c *Controller) createEnd(ctx context.Context, id, status string, tasksDone int, conditions []wire.Condition) (endRecord, error) {
	end := endRecord{Status: status, EndedAt: c.now(), TasksDone: tasksDone, HiddenUntilDeleted: status == wire.JobCancelled}
	archived, err := c.txnUnlessArchived(ctx, id, wire.Txn{
		Conditions: append(slices.Clone(conditions), wire.Condition{Key: endKey(id)}),
		Mutations:  []wire.Mutation{{Put: endKey(id), Value: end}},
	})
	switch {
	case err == nil && wire.Final(archived.Status):
		return endFromStatus(archived), nil
	case err == nil:
		if status == wire.JobDone {
			c.statuses.addFinal(end.status(id))
		}
		return end, nil
	case errors.Is(err, kvstore.ErrConflict), errors.Is(err, kvstore.ErrOutcomeUnknown):
		if existing, readErr := c.readEnd(ctx, id); readErr == nil {
			return existing, nil
		}
	}
	return endRecord{}, err
}
