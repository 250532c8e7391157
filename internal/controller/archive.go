package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"dalefront/internal/api"
	"dalefront/internal/archive"
	"dalefront/internal/config"
	"dalefront/internal/kvstore"
	"dalefront/wire"
)

// Once a job's end is archived its key is gone, and with it what kept a late
// submission or withdrawal from being taken. So whatever is conditional on the
// absence of an end is also conditional on the manifest that the archive was read
// from: it changes whenever ends of the same shard are archived.

// withArchiveGuards adds the manifests that stand for jobs, each once.
func (c *Controller) withArchiveGuards(conds []wire.Condition, ids ...string) []wire.Condition {
	for _, id := range ids {
		if g := c.archive.Guard(id); !slices.Contains(conds, g) {
			conds = append(conds, g)
		}
	}
	return conds
}

// txnUnlessArchived runs a transaction that must not take effect if the job has an end in
// the archive; then it returns that end. The transaction's own conditions see to an
// end that is not archived.
func (c *Controller) txnUnlessArchived(ctx context.Context, id string, txn wire.Txn) (wire.JobStatus, error) {
	own := txn.Conditions
	for tries := 0; ; tries++ {
		a, err := c.archive.Look(ctx, id)
		if err != nil {
			return wire.JobStatus{}, api.ErrUnavailable
		}
		if a.Found {
			return c.rememberArchived(a.Record), nil
		}
		txn.Conditions = append(slices.Clone(own), a.Cond)
		res, err := c.store.Txn(ctx, txn)
		if !errors.Is(err, kvstore.ErrConflict) || tries == 3 {
			return wire.JobStatus{}, err
		}
		if len(res.FailedKeys) != 1 || res.FailedKeys[0] != a.Cond.Key {
			return wire.JobStatus{}, err
		}
		if _, rerr := c.archive.Refresh(ctx, res.FailedKeys); rerr != nil {
			return wire.JobStatus{}, api.ErrUnavailable
		}
	}
}

// rememberArchived remembers an answer of the archive.
func (c *Controller) rememberArchived(rec archive.Record) wire.JobStatus {
	st := wire.JobStatus{ID: rec.ID, Status: rec.Status, Done: rec.Done}
	c.rememberFinal(st)
	return st
}

// lookUpArchive answers a lookup of which neither the job nor its end was found. The
// archive only grows: without an answer now it had none when the keys were looked
// at, and the job was never accepted.
func (c *Controller) lookUpArchive(ctx context.Context, l lookup, moved bool) lookupResult {
	select {
	case c.archiveSlots <- struct{}{}:
		defer func() { <-c.archiveSlots }()
	case <-ctx.Done():
		return lookupResult{err: api.ErrUnavailable}
	}
	look := c.archive.Look
	if moved {
		look = c.archive.LookFresh
	}
	a, err := look(ctx, l.id)
	switch {
	case err != nil:
		return lookupResult{err: err}
	case a.Found:
		return lookupResult{accepted: true, ended: true, archived: true, st: c.rememberArchived(a.Record)}
	case l.known: // it can't be: an accepted job leaves something
		return lookupResult{err: api.ErrUnavailable}
	}
	return lookupResult{}
}

// warmArchive reads the manifests, of which there may be some hundred.
func (c *Controller) warmArchive(ctx context.Context) {
	for ctx.Err() == nil && c.archive.Warm(ctx) != nil {
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Second):
		}
	}
}

// compact moves old ends into the archive while this node holds the term, below a
// share of what the state service takes.
func (l *leadership) compact(ctx context.Context) {
	c := l.controller
	after := config.Micro(*c.settings.Operator.ArchiveAfterS)
	if after <= 0 {
		return
	}
	d := &c.settings.Deployment.State
	share := *c.settings.Operator.ArchiveShare
	compactor := archive.NewCompactor(c.archive, endSource(l.termCondition, c.now), archive.Limits{Ops: d.TxnOps, Value: int(d.ValueKB * 1024), After: after})
	told := 0
	rest := min(5*time.Second, time.Duration(after)*time.Microsecond) // a takeover comes first
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(rest):
		}
		rest = time.Second
		if !c.store.Reachable(3*time.Second) || !c.owner.ranRecently() {
			continue
		}
		before := compactor.Counts
		step, cancel := context.WithTimeout(ctx, 20*time.Second)
		changes, idle, err := compactor.Step(step)
		cancel()
		requests := compactor.Counts.Requests - before.Requests
		rest = max(seconds(float64(changes)/(d.WriteRPS*share)), seconds(float64(requests)/(d.RPS*share)))
		switch {
		case errors.Is(err, archive.ErrDeposed):
			return
		case err != nil:
			c.log.Info("archiving is put off", "err", err)
			rest = max(rest, 5*time.Second)
		case idle:
			if compactor.Counts.Dropped > told {
				told = compactor.Counts.Dropped
				jobs, leaves, manifests := c.archive.Size()
				c.log.Info("archived", "jobs", jobs, "leaves", leaves, "manifests", manifests, "did", compactor.Counts)
			}
			rest = max(rest, min(time.Duration(after)*time.Microsecond/4, 10*time.Minute))
		}
	}
}

// endSource tells a compactor about ends as they are stored.
func endSource(term func() wire.Condition, now func() int64) archive.Source {
	return archive.Source{
		EndPrefix: endPrefix, JobPrefix: jobPrefix, Term: term, Now: now,
		Decode: func(id string, value []byte) (archive.End, error) {
			var e endRecord
			err := wire.Unmarshal(value, &e)
			return archive.End{Record: archive.Record{ID: id, Status: e.Status, Done: e.TasksDone}, At: e.EndedAt}, err
		},
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
