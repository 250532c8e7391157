package controller

import (
	"errors"
	"strings"
	"time"

	"dalefront/internal/archive"
	"dalefront/internal/dynconfig"
	"dalefront/internal/kvstore"
	"dalefront/internal/sched"
	"dalefront/wire"
)

// commitRetry is the pause before a commit whose outcome is unknown is tried again.
const commitRetry = 100 * time.Millisecond

// CommitTxn is the transaction that stores a write-ahead batch: on condition of the
// leadership, of the entries' names, which are never used again, and of no end of the jobs.
func CommitTxn(cm *sched.Commit, conditions ...wire.Condition) wire.Txn {
	txn := wire.Txn{Conditions: conditions}
	for _, entry := range cm.Entries {
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: ledgerPrefix + entry.Name})
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: ledgerPrefix + entry.Name, Value: entry.LedgerEntry})
	}
	for _, name := range cm.Drop {
		txn.Mutations = append(txn.Mutations, wire.Mutation{Delete: ledgerPrefix + name})
	}
	for _, id := range cm.Jobs {
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: endKey(id)})
	}
	return txn
}

// commitOutcome is what has become of a write-ahead batch.
type commitOutcome int

const (
	commitAbandoned commitOutcome = iota // nobody knows, and this leadership has ended
	commitStored                         // it is stored
	commitRejected                       // it is not stored and never will be
)

// committer stores write-ahead batches, one at a time.
type committer struct {
	leadership *leadership
	task       backgroundTask
}

// start stores a batch and hands the outcome to the core. Owner goroutine.
func (c *committer) start(batch *sched.Commit) {
	c.leadership.startTask(&c.task, func() func() {
		outcome := c.store(batch)
		if outcome == commitAbandoned {
			return nil
		}
		return func() { c.finish(batch, outcome) }
	})
}

// finish hands the outcome of a batch to the core. Owner goroutine.
func (c *committer) finish(batch *sched.Commit, outcome commitOutcome) {
	controller, core := c.leadership.controller, c.leadership.core
	controller.config.configureCore() // what was refused is decided by the newest one
	if outcome == commitStored {
		core.CommitStored(batch, controller.now())
	} else {
		core.CommitRejected(batch, controller.now())
	}
	c.leadership.launchWaiters.serve(core)
	controller.owner.requestPass()
}

// store stores a batch. While its outcome is unknown it is asked again under the same conditions:
// its entries are created once, so that only one copy can ever be applied.
func (c *committer) store(batch *sched.Commit) commitOutcome {
	l, controller := c.leadership, c.leadership.controller
	txn := CommitTxn(batch, l.termCondition(), generationCondition(batch.Generation))
	txn.Conditions = controller.withArchiveGuards(txn.Conditions, batch.Jobs...)
	unknown := false
	for l.ctx.Err() == nil {
		answer, err := controller.store.Txn(l.ctx, txn)
		switch {
		case err == nil:
			return commitStored
		case errors.Is(err, kvstore.ErrOutcomeUnknown):
			unknown = true
		case errors.Is(err, kvstore.ErrConflict):
			return c.resolveConflict(answer.FailedKeys)
		case !unknown:
			// Refused: it was not executed and never will be.
			if errors.Is(err, kvstore.ErrRefused) {
				controller.log.Debug("commit refused", "err", err)
			} else {
				controller.log.Error("commit rejected", "err", err, "conditions", len(txn.Conditions), "mutations", len(txn.Mutations))
			}
			return commitRejected
		}
		sleepContext(l.ctx, commitRetry)
	}
	return commitAbandoned
}

// conflictCause is what a failed condition says of a batch.
type conflictCause int

const (
	conflictUnreadable conflictCause = iota // to be read again
	conflictRejected                        // the batch was not stored
	conflictApplied                         // an earlier copy of the batch was stored after all
	conflictTermLost                        // another controller holds the term
)

// resolveConflict finds out why a batch failed: the term is lost, a job has ended, or
// an earlier copy of the same batch was applied after all.
func (c *committer) resolveConflict(failedKeys []string) commitOutcome {
	for c.leadership.ctx.Err() == nil {
		switch c.conflictCause(failedKeys) {
		case conflictApplied:
			return commitStored
		case conflictRejected:
			return commitRejected
		case conflictTermLost:
			c.leadership.postStepDown()
			return commitAbandoned
		}
		sleepContext(c.leadership.ctx, commitRetry)
	}
	return commitAbandoned
}

// conflictCause reads the keys whose conditions failed, as far as they can be read.
func (c *committer) conflictCause(failedKeys []string) conflictCause {
	result := conflictRejected
	for _, key := range failedKeys {
		entry, found, err := c.leadership.controller.store.Get(c.leadership.ctx, key)
		if err != nil {
			return conflictUnreadable
		}
		switch cause := c.causeOfKey(key, entry, found); {
		case cause == conflictTermLost:
			return cause
		case cause == conflictUnreadable, cause == conflictApplied && result != conflictUnreadable:
			result = cause
		}
	}
	return result
}

// causeOfKey says what one key whose condition failed tells of the batch, and brings up to date what
// this controller knows of it.
func (c *committer) causeOfKey(key string, entry wire.KeyValue, found bool) conflictCause {
	l, controller := c.leadership, c.leadership.controller
	switch {
	case key == termKey:
		if !found || entry.Version != l.token {
			return conflictTermLost
		}
	case key == dynconfig.GenerationKey:
		// Decided by a configuration that is in force no more: decided anew.
		controller.config.rejectedBatches.Add(1)
		if controller.config.refresh(l.ctx) != nil {
			return conflictUnreadable
		}
	case strings.HasPrefix(key, endPrefix) && found:
		l.post(func() { l.jobEnded(strings.TrimPrefix(key, endPrefix), entry.Value) })
	case strings.HasPrefix(key, ledgerPrefix) && found:
		return conflictApplied
	case strings.HasPrefix(key, archive.ManifestPrefix):
		// Ends were archived since it was planned: planned anew. What was sent is as
		// little applied later as after an end.
		if _, err := controller.archive.Refresh(l.ctx, []string{key}); err != nil {
			return conflictUnreadable
		}
	}
	return conflictRejected
}
