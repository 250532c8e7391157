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
func (n *Controller) withArchiveGuards(conds []wire.Condition, ids ...string) []wire.Condition {
	for _, id := range ids {
		if g := n.archive.Guard(id); !slices.Contains(conds, g) {
			conds = append(conds, g)
		}
	}
	return conds
}

// unlessEnded runs a transaction that must not take effect if the job has an end in
// the archive; then it returns that end. The transaction's own conditions see to an
// end that is not archived.
func (n *Controller) unlessEnded(ctx context.Context, id string, txn wire.Txn) (wire.JobStatus, error) {
	own := txn.Conditions
	for tries := 0; ; tries++ {
		a, err := n.archive.Look(ctx, id)
		if err != nil {
			return wire.JobStatus{}, api.ErrUnavailable
		}
		if a.Found {
			return n.archived(a.Record), nil
		}
		txn.Conditions = append(slices.Clone(own), a.Cond)
		res, err := n.store.Txn(ctx, txn)
		if !errors.Is(err, kvstore.ErrConflict) || tries == 3 {
			return wire.JobStatus{}, err
		}
		if len(res.FailedKeys) != 1 || res.FailedKeys[0] != a.Cond.Key {
			return wire.JobStatus{}, err
		}
		if _, rerr := n.archive.Refresh(ctx, res.FailedKeys); rerr != nil {
			return wire.JobStatus{}, api.ErrUnavailable
		}
	}
}

// archived remembers an answer of the archive.
func (n *Controller) archived(rec archive.Record) wire.JobStatus {
	st := wire.JobStatus{ID: rec.ID, Status: rec.Status, Done: rec.Done}
	n.rememberFinal(st)
	return st
}

// lookUpArchive answers a lookup of which neither the job nor its end was found. The
// archive only grows: without an answer now it had none when the keys were looked
// at, and the job was never accepted.
func (n *Controller) lookUpArchive(ctx context.Context, l lookup, moved bool) lookupResult {
	select {
	case n.archiveSlots <- struct{}{}:
		defer func() { <-n.archiveSlots }()
	case <-ctx.Done():
		return lookupResult{err: api.ErrUnavailable}
	}
	look := n.archive.Look
	if moved {
		look = n.archive.LookFresh
	}
	a, err := look(ctx, l.id)
	switch {
	case err != nil:
		return lookupResult{err: err}
	case a.Found:
		return lookupResult{accepted: true, ended: true, archived: true, st: n.archived(a.Record)}
	case l.known: // it can't be: an accepted job leaves something
		return lookupResult{err: api.ErrUnavailable}
	}
	return lookupResult{}
}

// warmArchive reads the manifests, of which there may be some hundred.
func (n *Controller) warmArchive(ctx context.Context) {
	for ctx.Err() == nil && n.archive.Warm(ctx) != nil {
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Second):
		}
	}
}

// compact moves old ends into the archive while this node holds the term, below a
// share of what the state service takes.
func (r *leadership) compact(ctx context.Context) {
	n := r.controller
	after := config.Micro(*n.settings.Operator.ArchiveAfterS)
	if after <= 0 {
		return
	}
	d := &n.settings.Deployment.State
	share := *n.settings.Operator.ArchiveShare
	c := archive.NewCompactor(n.archive, endSource(r.termCondition, n.now), archive.Limits{Ops: d.TxnOps, Value: int(d.ValueKB * 1024), After: after})
	told := 0
	rest := min(5*time.Second, time.Duration(after)*time.Microsecond) // a takeover comes first
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-time.After(rest):
		}
		rest = time.Second
		if !n.store.Reachable(3*time.Second) || !n.ranRecently() {
			continue
		}
		before := c.Counts
		step, cancel := context.WithTimeout(ctx, 20*time.Second)
		changes, idle, err := c.Step(step)
		cancel()
		requests := c.Counts.Requests - before.Requests
		rest = max(seconds(float64(changes)/(d.WriteRPS*share)), seconds(float64(requests)/(d.RPS*share)))
		switch {
		case errors.Is(err, archive.ErrDeposed):
			return
		case err != nil:
			n.log.Info("archiving is put off", "err", err)
			rest = max(rest, 5*time.Second)
		case idle:
			if c.Counts.Dropped > told {
				told = c.Counts.Dropped
				jobs, leaves, manifests := n.archive.Size()
				n.log.Info("archived", "jobs", jobs, "leaves", leaves, "manifests", manifests, "did", c.Counts)
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
			return archive.End{Record: archive.Record{ID: id, Status: e.Status, Done: e.Done}, At: e.At}, err
		},
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
