package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"dalefront/internal/api"
	"dalefront/internal/kvstore"
	"dalefront/internal/sched"
	"dalefront/wire"

	"github.com/vmihailenco/msgpack/v5"
)

// Keys of the state service. A job's record lives under jobKey until the job is
// over and all its tasks are gone; its end stays for good, or until the archive
// answers for it.
const (
	termKey          = "term"
	catalogKey       = "catalog"
	learnedKey       = "learned"
	queuePrefix      = "q/"
	jobPrefix        = "q/a/"
	endPrefix        = "q/e/"
	progressPrefix   = "p/"
	ledgerPrefix     = "l/"
	scaleOutPrefix   = "h/"
	maxFinalStatuses = 20000
	maxAcceptedJobs  = 50000
)

func jobKey(id string) string { return jobPrefix + id }
func endKey(id string) string { return endPrefix + id }
func progressKey(id string, i int) string {
	return fmt.Sprintf("%s%s/%d", progressPrefix, id, i)
}

// jobRecord is a stored job.
type jobRecord struct {
	Job         wire.Job `msgpack:"J"`
	SubmittedAt int64    `msgpack:"A"` // microseconds, time of day
}

// endRecord is a job's end: created once, by whoever is first, and never
// changed.
type endRecord struct {
	Status    string `msgpack:"S"`
	EndedAt   int64  `msgpack:"A"`
	TasksDone int    `msgpack:"D"`
	// Nobody is told of this end before its job's record is gone. Ends of earlier versions lack
	// it: their users may have been told.
	HiddenUntilDeleted bool `msgpack:"U,omitempty"`
}

// status is what users are told, once they may be.
func (e *endRecord) status(id string) wire.JobStatus {
	return wire.JobStatus{ID: id, Status: e.Status, Done: e.TasksDone}
}

// endFromStatus is an end as it is known from a final answer.
func endFromStatus(st wire.JobStatus) endRecord {
	return endRecord{Status: st.Status, TasksDone: st.Done}
}

// rememberFinal keeps a final answer that any user may be given without asking anybody.
func (c *Controller) rememberFinal(st wire.JobStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.finalStatuses[st.ID]; ok {
		return
	}
	if len(c.finalOrder) >= maxFinalStatuses {
		delete(c.finalStatuses, c.finalOrder[0])
		c.finalOrder = c.finalOrder[1:]
	}
	c.finalStatuses[st.ID] = st
	c.finalOrder = append(c.finalOrder, st.ID)
	delete(c.knownJobs, st.ID)
}

func (c *Controller) rememberedFinal(id string) (wire.JobStatus, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st, ok := c.finalStatuses[id]
	return st, ok
}

func (c *Controller) isKnown(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.knownJobs[id]
	return ok
}

func (c *Controller) setKnown(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.knownJobs) >= maxAcceptedJobs {
		clear(c.knownJobs) // only costs one read more
	}
	c.knownJobs[id] = struct{}{}
}

// decodeEnd reads a stored end. One as done may be told at once.
func (c *Controller) decodeEnd(id string, v msgpack.RawMessage) (e endRecord, err error) {
	if err = wire.Unmarshal(v, &e); err == nil && e.Status == wire.JobDone {
		c.rememberFinal(e.status(id))
	}
	return e, err
}

// Status implements api.Service. A non-final answer always rests on a fresh look at the
// job's end: another node may have told the user of it a moment ago.
func (c *Controller) Status(ctx context.Context, id string) (wire.JobStatus, error) {
	if st, ok := c.rememberedFinal(id); ok {
		return st, nil
	}
	v := c.lookUpJob(ctx, id, c.isKnown(id))
	if late, ok := c.rememberedFinal(id); ok {
		// The end came by another way while it was looked up. Asking once more
		// whether the job is known would find it gone from the known ones, and
		// an accepted job would get 404.
		return late, nil
	}
	switch {
	case v.err != nil:
		return wire.JobStatus{}, api.ErrUnavailable
	case v.ended:
		if wire.Final(v.st.Status) {
			return v.st, nil
		}
		end, err := c.readEnd(ctx, id)
		switch {
		case err != nil:
			return wire.JobStatus{}, api.ErrUnavailable
		case end.Status == wire.JobDone || !v.accepted:
			c.rememberFinal(end.status(id))
			return end.status(id), nil
		case !end.HiddenUntilDeleted:
			return wire.JobStatus{}, api.ErrUnavailable
		}
		return v.st, nil // cancelled, and nobody has been told
	case !v.accepted:
		return wire.JobStatus{}, api.ErrNotFound
	}
	return v.st, nil
}

// Submit implements api.Service: a job is accepted by creating its key, as any node may.
func (c *Controller) Submit(ctx context.Context, j *wire.Job) (wire.JobStatus, bool, error) {
	if st, ok := c.rememberedFinal(j.ID); ok {
		return st, false, nil
	}
	if c.isKnown(j.ID) {
		st, err := c.Status(ctx, j.ID)
		return st, false, err
	}
	cat, ok := c.machineTypes()
	if !ok {
		return wire.JobStatus{}, false, api.ErrUnavailable
	}
	never := sched.Admit(c.config.current().settings, cat, j)
	if never != nil {
		// A known job stays known, whatever the settings say by now.
		st, err := c.Status(ctx, j.ID)
		if errors.Is(err, api.ErrNotFound) {
			return st, false, fmt.Errorf("%w: %v", api.ErrUnsatisfiable, never)
		}
		return st, false, err
	}
	select {
	case c.submitSlots <- struct{}{}:
		defer func() { <-c.submitSlots }()
	default:
		return wire.JobStatus{}, false, api.ErrOverloaded
	}
	rec := jobRecord{Job: *j, SubmittedAt: c.now()}
	if b, err := wire.Marshal(rec); err != nil || float64(len(b)) > 0.9*1024*c.settings.Deployment.State.ValueKB {
		// Sizes count in the longer text form; no sensible job comes near.
		return wire.JobStatus{}, false, fmt.Errorf("%w: too large to be stored", wire.ErrMalformed)
	}
	st, err := c.txnUnlessArchived(ctx, j.ID, wire.Txn{
		Conditions: []wire.Condition{{Key: jobKey(j.ID)}, {Key: endKey(j.ID)}},
		Mutations:  []wire.Mutation{{Put: jobKey(j.ID), Value: rec}},
	})
	switch {
	case err == nil && wire.Final(st.Status):
		return st, false, nil
	case err == nil:
		c.setKnown(j.ID)
		return wire.JobStatus{ID: j.ID, Status: wire.JobQueued}, true, nil
	case errors.Is(err, kvstore.ErrConflict), errors.Is(err, kvstore.ErrUnknown):
		// Accepted before, or perhaps just now: read it back.
		st, err := c.Status(ctx, j.ID)
		if errors.Is(err, api.ErrNotFound) {
			err = api.ErrUnavailable // it may still be applied
		}
		return st, false, err
	}
	return wire.JobStatus{}, false, api.ErrUnavailable
}

// createEnd creates a job's end or returns the one that exists. An error means
// that it isn't known whether there is an end.
func (c *Controller) createEnd(ctx context.Context, id, status string, done int, conds []wire.Condition) (endRecord, error) {
	end := endRecord{Status: status, EndedAt: c.now(), TasksDone: done, HiddenUntilDeleted: status == wire.JobCancelled}
	st, err := c.txnUnlessArchived(ctx, id, wire.Txn{
		Conditions: append(slices.Clone(conds), wire.Condition{Key: endKey(id)}),
		Mutations:  []wire.Mutation{{Put: endKey(id), Value: end}},
	})
	switch {
	case err == nil && wire.Final(st.Status):
		return endFromStatus(st), nil
	case err == nil:
		if status == wire.JobDone {
			c.rememberFinal(end.status(id))
		}
		return end, nil
	case errors.Is(err, kvstore.ErrConflict), errors.Is(err, kvstore.ErrUnknown):
		if there, rerr := c.readEnd(ctx, id); rerr == nil {
			return there, nil
		}
	}
	return endRecord{}, err
}
