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

// errEndMissing means that neither the store nor the archive has an end that existed before.
var errEndMissing = errors.New("end of the job is missing")

// Status implements api.Service. A status that is not final always rests on a read of the job's end
// that began after the request: another controller may have answered with that end a moment ago.
func (c *Controller) Status(ctx context.Context, id string) (wire.JobStatus, error) {
	if status, ok := c.statuses.final(id); ok {
		return status, nil
	}
	result := c.lookups.lookUp(ctx, id, c.statuses.isAccepted(id))
	if status, ok := c.statuses.final(id); ok {
		// The end became known by another way during the lookup. Its job is no longer among the
		// accepted ones of the cache: looked up as unknown, it would be answered with ErrNotFound.
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

// endedStatus is the status of a job that has an end, as a lookup found it.
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
	return result.status, nil // cancelled, and no user knows yet
}

// readEnd reads the end of a job that is known to have one.
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
	answer, err := c.archive.LookupFresh(ctx, id) // archived meanwhile
	if err != nil {
		return endRecord{}, err
	}
	if !answer.Found {
		return endRecord{}, fmt.Errorf("%w: %s", errEndMissing, id)
	}
	return endFromStatus(c.statuses.addArchived(answer.Record)), nil
}

// decodeEnd decodes a stored end. Users may see the end of a job that is done at once.
func (c *Controller) decodeEnd(id string, value []byte) (endRecord, error) {
	var end endRecord
	err := wire.Unmarshal(value, &end)
	if err == nil && end.Status == wire.JobDone {
		c.statuses.addFinal(end.status(id))
	}
	return end, err
}

// createEnd creates a job's end on some conditions, or returns the end that exists. An error means
// that it isn't known whether there is one.
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
