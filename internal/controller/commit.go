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

// commitRetryPause is the pause before a commit with an unknown outcome is retried.
const commitRetryPause = 100 * time.Millisecond

// CommitTxn returns the transaction that stores a write-ahead batch. The transaction succeeds only if the
// given conditions hold, no ledger entry of the batch exists yet, and none of the batch's jobs has ended.
// Names of ledger entries are never reused.
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

// commitOutcome is the outcome of storing a write-ahead batch.
type commitOutcome int

const (
	commitAbandoned commitOutcome = iota // the outcome is unknown, because the leadership or its term ended first
	commitStored                         // the batch is stored
	commitRejected                       // the batch is not stored and never will be
)

// committer stores write-ahead batches, one at a time.
type committer struct {
	leadership *leadership
	task       backgroundTask
}

// start stores a batch in the background and then passes the outcome to the core. It must be called on the
// owner goroutine.
func (c *committer) start(batch *sched.Commit) {
	c.leadership.startTask(&c.task, func() func() {
		outcome := c.store(batch)
		if outcome == commitAbandoned {
			return nil
		}
		return func() { c.finish(batch, outcome) }
	})
}

// finish passes the outcome of a batch to the core. It must be called on the owner goroutine.
func (c *committer) finish(batch *sched.Commit, outcome commitOutcome) {
	controller, core := c.leadership.controller, c.leadership.core
	controller.config.configureCore() // a rejected batch is planned again under the newest configuration
	if outcome == commitStored {
		core.CommitStored(batch, controller.now())
	} else {
		core.CommitRejected(batch, controller.now())
	}
	c.leadership.launchWaiters.serve(core)
	controller.owner.requestPass()
}

// store stores a batch and returns the outcome. While the outcome is unknown it sends the same
// transaction again. The transaction is applied at most once because it requires that the batch's
// ledger entries don't exist.
func (c *committer) store(batch *sched.Commit) commitOutcome {
	l, controller := c.leadership, c.leadership.controller
	txn := CommitTxn(batch, l.termCondition(), generationCondition(batch.Generation))
	txn.Conditions = controller.withAbsenceConditions(txn.Conditions, batch.Jobs...)
	outcomeUnknown := false
	for l.ctx.Err() == nil {
		answer, err := controller.store.Txn(l.ctx, txn)
		switch {
		case err == nil:
			return commitStored
		case errors.Is(err, kvstore.ErrOutcomeUnknown):
			outcomeUnknown = true
		case errors.Is(err, kvstore.ErrConflict):
			return c.resolveConflict(answer.FailedKeys)
		case !outcomeUnknown:
			// No request has an unknown outcome, so the batch was not stored and never will be.
			if errors.Is(err, kvstore.ErrRefused) {
				controller.log.Debug("commit refused", "err", err)
			} else {
				controller.log.Error("commit rejected", "err", err, "conditions", len(txn.Conditions), "mutations", len(txn.Mutations))
			}
			return commitRejected
		}
		sleepContext(l.ctx, commitRetryPause)
	}
	return commitAbandoned
}

// conflictCause is the reason why a condition of a batch failed.
type conflictCause int

const (
	conflictUnreadable conflictCause = iota // the read of a key failed and has to be repeated
	conflictRejected                        // the batch was not stored
	conflictApplied                         // an earlier attempt stored the batch
	conflictTermLost                        // another controller holds the term
)

// resolveConflict finds out why the conditions of a batch failed and returns the outcome. The batch was
// stored if an earlier attempt was applied. If the term is lost, it ends the leadership. Any other
// cause, such as the end of a job, rejects the batch.
func (c *committer) resolveConflict(failedKeys []string) commitOutcome {
	for c.leadership.ctx.Err() == nil {
		switch c.classifyConflict(failedKeys) {
		case conflictApplied:
			return commitStored
		case conflictRejected:
			return commitRejected
		case conflictTermLost:
			c.leadership.postStepDown()
			return commitAbandoned
		}
		sleepContext(c.leadership.ctx, commitRetryPause)
	}
	return commitAbandoned
}

// classifyConflict reads the keys whose conditions failed and returns the cause for the whole batch. It
// returns conflictUnreadable as soon as the read of one of these keys fails. Otherwise conflictTermLost
// takes precedence, then conflictUnreadable, then conflictApplied.
func (c *committer) classifyConflict(failedKeys []string) conflictCause {
	result := conflictRejected
	for _, key := range failedKeys {
		entry, found, err := c.leadership.controller.store.Get(c.leadership.ctx, key)
		if err != nil {
			return conflictUnreadable
		}
		switch cause := c.classifyFailedKey(key, entry, found); {
		case cause == conflictTermLost:
			return cause
		case cause == conflictUnreadable, cause == conflictApplied && result != conflictUnreadable:
			result = cause
		}
	}
	return result
}

// classifyFailedKey returns the cause shown by the key of one failed condition. It also updates this
// controller's state from that key, which may show the end of a job, a newer configuration or a newer archive
// manifest.
func (c *committer) classifyFailedKey(key string, entry wire.KeyValue, found bool) conflictCause {
	l, controller := c.leadership, c.leadership.controller
	switch {
	case key == termKey:
		if !found || entry.Version != l.token {
			return conflictTermLost
		}
	case key == dynconfig.GenerationKey:
		// The batch was planned under a configuration that is no longer in force. It is rejected and
		// planned again.
		controller.config.rejectedBatches.Add(1)
		if controller.config.refresh(l.ctx) != nil {
			return conflictUnreadable
		}
	case strings.HasPrefix(key, endPrefix) && found:
		l.post(func() { l.jobEnded(strings.TrimPrefix(key, endPrefix), entry.Value) })
	case strings.HasPrefix(key, ledgerPrefix) && found:
		return conflictApplied
	case strings.HasPrefix(key, archive.ManifestPrefix):
		// End records were archived after the batch was planned, so the batch is planned again. Like the
		// condition that a job has no end record, the batch's condition on the manifest can't hold again once
		// it has failed. An earlier request for the batch that is still on its way therefore can't be
		// applied.
		if _, err := controller.archive.Refresh(l.ctx, []string{key}); err != nil {
			return conflictUnreadable
		}
	}
	return conflictRejected
}
