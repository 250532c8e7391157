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

// After the end of a job is archived, the key of its end record is deleted. From then on, the condition that
// this key doesn't exist no longer prevents a delayed submission or cancellation from being stored. Every
// transaction that requires the absence of an end record therefore also requires that the manifest of the
// job's shard still has the version that was read. The version of the manifest changes whenever end records
// of its shard are archived.

// withAbsenceConditions appends one condition for each manifest of the given jobs' shards: that the manifest
// has not changed since it was read.
func (c *Controller) withAbsenceConditions(conditions []wire.Condition, ids ...string) []wire.Condition {
	for _, id := range ids {
		if absence := c.archive.AbsenceCondition(id); !slices.Contains(conditions, absence) {
			conditions = append(conditions, absence)
		}
	}
	return conditions
}

// maxArchiveRetries is the maximum number of retries of a transaction whose only failed condition is its
// condition on the manifest.
const maxArchiveRetries = 3

// txnUnlessArchived runs a transaction that must not take effect if the job's end is archived. If the end is
// archived, it returns the job's final status instead. The transaction's own conditions must make it fail if
// the job has an end record that is not archived yet. Errors are those of the store's Txn, and
// api.ErrUnavailable if the archive can't be read.
func (c *Controller) txnUnlessArchived(ctx context.Context, id string, txn wire.Txn) (wire.JobStatus, error) {
	ownConditions := txn.Conditions
	for retries := 0; ; retries++ {
		answer, err := c.archive.Lookup(ctx, id)
		if err != nil {
			return wire.JobStatus{}, api.ErrUnavailable
		}
		if answer.Found {
			return c.statuses.addArchived(answer.Record), nil
		}
		txn.Conditions = append(slices.Clone(ownConditions), answer.Condition)
		response, err := c.store.Txn(ctx, txn)
		if !errors.Is(err, kvstore.ErrConflict) || retries == maxArchiveRetries {
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

// manifestRetryPause is the pause between two attempts to load the manifests.
const manifestRetryPause = 5 * time.Second

// loadArchiveManifests loads the archive's manifests, of which there may be a few hundred, into the cache.
func (c *Controller) loadArchiveManifests(ctx context.Context) {
	for ctx.Err() == nil && c.archive.LoadManifests(ctx) != nil {
		sleepContext(ctx, manifestRetryPause)
	}
}

const (
	maxFirstArchivePause = 5 * time.Second // upper bound of the first pause; archiving must not slow down a takeover
	archiveIdlePause     = 10 * time.Minute
	archiveRetryPause    = 5 * time.Second
	archiveSkipPause     = time.Second // pause while the store is unreachable, or after a stall
	archiveTimeout       = 20 * time.Second
	// An idle archiver looks for end records again after the minimum age of archived end records divided by
	// archiveIdleDivisor, but after archiveIdlePause at the latest.
	archiveIdleDivisor = 4
)

// archiver moves old end records into the archive while this controller leads. It uses only a share of the
// key-value store's request and write rates.
type archiver struct {
	controller    *Controller
	compactor     *archive.Compactor
	minAge        time.Duration // minimum age of an end record to be archived
	rps           float64       // maximum requests sent to the store per second
	writeRPS      float64       // maximum mutations sent to the store per second
	loggedDropped int           // Counts.Dropped of the compactor at the last log line
}

// runArchiver archives old end records until the leadership ends. It does nothing if archiving is disabled.
func (l *leadership) runArchiver(ctx context.Context) {
	c := l.controller
	age := config.Micro(*c.settings.Operator.ArchiveAfterS)
	if age <= 0 {
		return
	}
	state := &c.settings.Deployment.State
	share := *c.settings.Operator.ArchiveShare
	limits := archive.Limits{MaxMutations: state.TxnOps, MaxValueBytes: int(state.ValueKB * bytesPerKiB), MinAge: age}
	a := archiver{
		controller: c,
		compactor:  archive.NewCompactor(c.archive, endSource(l.termCondition, c.now), limits),
		minAge:     time.Duration(age) * time.Microsecond,
		rps:        state.RPS * share,
		writeRPS:   state.WriteRPS * share,
	}
	a.run(ctx, l.ctx.Done())
}

// run archives end records until the term is lost or the given channel is closed, which happens when the
// leadership ends.
func (a *archiver) run(ctx context.Context, ended <-chan struct{}) {
	pause := min(maxFirstArchivePause, a.minAge)
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

// step archives some end records. It returns the pause to make after the step, which keeps the archiver
// within its rates. An error other than archive.ErrTermLost is logged, and the step may be retried.
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
		return max(pause, min(a.minAge/archiveIdleDivisor, archiveIdlePause)), nil
	}
	return pause, nil
}

// logProgress logs the size of the archive if keys of archived end records were deleted since the last such
// log line.
func (a *archiver) logProgress() {
	if a.compactor.Counts.Dropped <= a.loggedDropped {
		return
	}
	a.loggedDropped = a.compactor.Counts.Dropped
	jobs, leaves, manifests := a.controller.archive.Size()
	a.controller.log.Info("archived", "jobs", jobs, "leaves", leaves, "manifests", manifests, "did", a.compactor.Counts)
}

// endSource returns the source from which a compactor reads and decodes stored end records.
func endSource(term func() wire.Condition, now func() int64) archive.EndSource {
	return archive.EndSource{
		EndPrefix: endPrefix, JobPrefix: jobPrefix, TermCondition: term, Now: now,
		Decode: func(id string, value []byte) (archive.EndRecord, error) {
			var end endRecord
			err := wire.Unmarshal(value, &end)
			return archive.EndRecord{Record: archive.Record{ID: id, Status: end.Status, Done: end.TasksDone}, EndedAt: end.EndedAt}, err
		},
	}
}
