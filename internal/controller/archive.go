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

// Once a job's end is archived its key is deleted, and with it what kept a late submission or
// cancellation from being stored. So whatever is conditional on the absence of an end is also
// conditional on the manifest that the archive was read from: it changes whenever ends of the same
// shard are archived.

// withArchiveGuards adds the conditions on the manifests that stand for jobs, each once.
func (c *Controller) withArchiveGuards(conditions []wire.Condition, ids ...string) []wire.Condition {
	for _, id := range ids {
		if guard := c.archive.AbsenceCondition(id); !slices.Contains(conditions, guard) {
			conditions = append(conditions, guard)
		}
	}
	return conditions
}

// archiveRetries is how often a transaction is run again since only its manifest had changed.
const archiveRetries = 3

// txnUnlessArchived runs a transaction that must not take effect if the job has an end in the
// archive; then it returns that final status. The transaction's own conditions see to an end that is
// not archived. Errors are those of the store's Txn, and api.ErrUnavailable if the archive can't be
// read.
func (c *Controller) txnUnlessArchived(ctx context.Context, id string, txn wire.Txn) (wire.JobStatus, error) {
	own := txn.Conditions
	for retries := 0; ; retries++ {
		answer, err := c.archive.Lookup(ctx, id)
		if err != nil {
			return wire.JobStatus{}, api.ErrUnavailable
		}
		if answer.Found {
			return c.statuses.addArchived(answer.Record), nil
		}
		txn.Conditions = append(slices.Clone(own), answer.Condition)
		response, err := c.store.Txn(ctx, txn)
		if !errors.Is(err, kvstore.ErrConflict) || retries == archiveRetries {
			return wire.JobStatus{}, err
		}
		if !slices.Equal(response.FailedKeys, []string{answer.Condition.Key}) {
			return wire.JobStatus{}, err
		}
		if _, err := c.archive.Refresh(ctx, response.FailedKeys); err != nil {
			return wire.JobStatus{}, api.ErrUnavailable
		}
	}
}

// warmRetryPause is the pause between two tries to read the manifests.
const warmRetryPause = 5 * time.Second

// warmArchive reads the manifests, of which there may be some hundred.
func (c *Controller) warmArchive(ctx context.Context) {
	for ctx.Err() == nil && c.archive.LoadManifests(ctx) != nil {
		sleepContext(ctx, warmRetryPause)
	}
}

const (
	archiveFirstPause = 5 * time.Second // at most: a takeover comes first
	archiveIdlePause  = 10 * time.Minute
	archiveRetryPause = 5 * time.Second
	archiveSkipPause  = time.Second // while the store is out of reach, or after a stall
	archiveTimeout    = 20 * time.Second
	// archiveIdleParts: an idle archiver looks again after this part of the age at which ends are
	// archived.
	archiveIdleParts = 4
)

// archiver moves old ends into the archive while this controller leads, within a share of what the
// key-value store takes.
type archiver struct {
	controller *Controller
	compactor  *archive.Compactor
	age        time.Duration // of an end that is archived
	rps        float64       // requests a second that it may use
	writeRPS   float64       // changes a second that it may use
	logged     int           // how many ends were dropped when the log said so last
}

// compact archives old ends until the leadership ends.
func (l *leadership) compact(ctx context.Context) {
	c := l.controller
	age := config.Micro(*c.settings.Operator.ArchiveAfterS)
	if age <= 0 {
		return
	}
	state := &c.settings.Deployment.State
	share := *c.settings.Operator.ArchiveShare
	limits := archive.Limits{MaxMutations: state.TxnOps, MaxValueBytes: int(state.ValueKB * bytesPerKB), MinAge: age}
	a := archiver{
		controller: c,
		compactor:  archive.NewCompactor(c.archive, endSource(l.termCondition, c.now), limits),
		age:        time.Duration(age) * time.Microsecond,
		rps:        state.RPS * share,
		writeRPS:   state.WriteRPS * share,
	}
	a.run(ctx, l.ctx.Done())
}

// run archives until the leadership has ended.
func (a *archiver) run(ctx context.Context, ended <-chan struct{}) {
	pause := min(archiveFirstPause, a.age)
	for {
		select {
		case <-ended:
			return
		case <-time.After(pause):
		}
		pause = archiveSkipPause
		if !a.controller.store.Reachable(storeReachableWithin) || !a.controller.owner.ranRecently() {
			continue
		}
		var err error
		if pause, err = a.step(ctx); errors.Is(err, archive.ErrTermLost) {
			return
		}
	}
}

// step archives some ends, and returns the pause that its requests cost. An error other than
// archive.ErrTermLost is logged, and the step may be tried again.
func (a *archiver) step(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	before := a.compactor.Counts
	changes, idle, err := a.compactor.Step(ctx)
	requests := a.compactor.Counts.Requests - before.Requests
	pause := max(seconds(float64(changes)/a.writeRPS), seconds(float64(requests)/a.rps))
	switch {
	case errors.Is(err, archive.ErrTermLost):
		return 0, err
	case err != nil:
		a.controller.log.Info("archiving deferred", "err", err)
		return max(pause, archiveRetryPause), err
	case idle:
		a.logProgress()
		return max(pause, min(a.age/archiveIdleParts, archiveIdlePause)), nil
	}
	return pause, nil
}

// logProgress logs the size of the archive when it has grown.
func (a *archiver) logProgress() {
	if a.compactor.Counts.Dropped <= a.logged {
		return
	}
	a.logged = a.compactor.Counts.Dropped
	jobs, leaves, manifests := a.controller.archive.Size()
	a.controller.log.Info("archived", "jobs", jobs, "leaves", leaves, "manifests", manifests, "did", a.compactor.Counts)
}

// endSource has a compactor find and decode ends as they are stored.
func endSource(term func() wire.Condition, now func() int64) archive.EndSource {
	return archive.EndSource{
		EndPrefix: endPrefix, JobPrefix: jobPrefix, Term: term, Now: now,
		Decode: func(id string, value []byte) (archive.End, error) {
			var end endRecord
			err := wire.Unmarshal(value, &end)
			return archive.End{Record: archive.Record{ID: id, Status: end.Status, Done: end.TasksDone}, EndedAt: end.EndedAt}, err
		},
	}
}
