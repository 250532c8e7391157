package controller

import (
	"context"
	"errors"
	"maps"
	"strings"
	"time"

	"dalefront/internal/archive"
	"dalefront/internal/dynconfig"
	"dalefront/internal/kvstore"
	"dalefront/internal/sched"
	"dalefront/wire"
)

// CommitTxn is the transaction that stores a write-ahead batch: on condition of the
// leadership, of the entries' names, which are never used again, and of no end of the jobs.
func CommitTxn(cm *sched.Commit, conditions ...wire.Condition) wire.Txn {
	txn := wire.Txn{Conditions: conditions}
	for _, e := range cm.Entries {
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: ledgerPrefix + e.Name})
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: ledgerPrefix + e.Name, Value: e.LedgerEntry})
	}
	for _, name := range cm.Drop {
		txn.Mutations = append(txn.Mutations, wire.Mutation{Delete: ledgerPrefix + name})
	}
	for _, id := range cm.Jobs {
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: endKey(id)})
	}
	return txn
}

// commit stores a write-ahead batch. While its outcome is unknown it is asked
// again under the same conditions: its entries are created once, so that only one
// copy can ever be applied.
func (l *leadership) commit(cm *sched.Commit) {
	c := l.controller
	txn := CommitTxn(cm, l.termCondition(), generationCond(cm.Generation))
	txn.Conditions = c.withArchiveGuards(txn.Conditions, cm.Jobs...)
	unknown := false
	for l.ctx.Err() == nil {
		a, err := c.store.Txn(l.ctx, txn)
		switch {
		case err == nil:
			l.commitFinished(cm, true)
			return
		case errors.Is(err, kvstore.ErrUnknown):
			unknown = true
		case errors.Is(err, kvstore.ErrConflict):
			l.resolveConflict(cm, a.FailedKeys)
			return
		case !unknown:
			// Refused: it was not executed and never will be.
			if errors.Is(err, kvstore.ErrRefused) {
				c.log.Debug("commit refused", "err", err)
			} else {
				c.log.Error("commit is not accepted", "err", err, "conditions", len(txn.Conditions), "changes", len(txn.Mutations))
			}
			l.commitFinished(cm, false)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (l *leadership) commitFinished(cm *sched.Commit, ok bool) {
	c := l.controller
	c.owner.post(func() {
		if c.owner.leadership != l {
			return
		}
		l.busyCommit = false
		c.config.configureCore() // what was refused is decided by the newest one
		if ok {
			l.core.CommitStored(cm, c.now())
		} else {
			l.core.CommitRejected(cm, c.now())
		}
		l.serveWaiters()
		c.owner.requestPass()
	})
}

// resolveConflict finds out why a batch failed: the term is lost, a job has ended, or
// an earlier copy of the same batch was applied after all.
func (l *leadership) resolveConflict(cm *sched.Commit, failed []string) {
	c := l.controller
	for l.ctx.Err() == nil {
		again, applied := false, false
		for _, k := range failed {
			e, found, err := c.store.Get(l.ctx, k)
			if err != nil {
				again = true
				break
			}
			switch {
			case k == termKey:
				if !found || e.Version != l.token {
					c.owner.post(func() { l.stepDown() })
					return
				}
			case k == dynconfig.GenerationKey:
				// Decided by a configuration that is in force no more: decided anew.
				c.config.refused.Add(1)
				if c.config.refresh(l.ctx) != nil {
					again = true
				}
			case strings.HasPrefix(k, endPrefix) && found:
				c.owner.post(func() {
					if c.owner.leadership == l {
						l.jobEnded(strings.TrimPrefix(k, endPrefix), e.Value)
					}
				})
			case strings.HasPrefix(k, ledgerPrefix):
				applied = applied || found
			case strings.HasPrefix(k, archive.ManifestPrefix):
				// Ends were archived meanwhile: planned anew. What was sent is as
				// little applied later as after an end.
				if _, err := c.archive.Refresh(l.ctx, []string{k}); err != nil {
					again = true
				}
			}
		}
		if !again {
			l.commitFinished(cm, applied)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// storeEnds makes jobs done, unless they were cancelled before: all in one
// transaction, or one by one if that fails.
func (l *leadership) storeEnds(ids []string, done []int) {
	c := l.controller
	ctx, cancel := context.WithTimeout(l.ctx, 4*time.Second)
	defer cancel()
	conds := []wire.Condition{l.termCondition()}
	txn := wire.Txn{Conditions: conds}
	at := c.now()
	for i, id := range ids {
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: endKey(id)})
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: endKey(id), Value: endRecord{Status: wire.JobDone, EndedAt: at, TasksDone: done[i]}})
	}
	txn.Conditions = c.withArchiveGuards(txn.Conditions, ids...)
	_, together := c.store.Txn(ctx, txn)
	ends := make([]endRecord, len(ids))
	errs := make([]error, len(ids))
	failed := false
	for i, id := range ids {
		if together == nil {
			ends[i] = endRecord{Status: wire.JobDone, TasksDone: done[i]}
			c.statuses.addFinal(ends[i].status(id))
			continue
		}
		if errs[i] = together; errors.Is(together, kvstore.ErrConflict) || errors.Is(together, kvstore.ErrUnknown) {
			ends[i], errs[i] = c.createEnd(ctx, id, wire.JobDone, done[i], conds)
		}
		failed = failed || errs[i] != nil
	}
	if failed {
		time.Sleep(150 * time.Millisecond)
	}
	c.owner.post(func() {
		l.busyEnds = false
		if c.owner.leadership != l {
			return
		}
		for i, id := range ids {
			if errs[i] != nil {
				l.core.RetryEnd(id)
			} else {
				l.core.JobEnded(id, ends[i].Status, c.now())
			}
		}
		l.dispatchEffects()
		c.owner.requestPass()
	})
}

// progressTxn stores progress, each chunk on condition that it is as last stored or read: a
// copy of an earlier transaction that got no answer may be applied after it, and would take
// back what tasks have been cleared for since. Owner goroutine.
func (l *leadership) progressTxn(cs []sched.ProgressChunk) wire.Txn {
	txn := wire.Txn{Conditions: []wire.Condition{l.termCondition()}}
	for _, c := range cs {
		key := progressKey(c.Job, c.Index)
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: key, Version: l.chunkVersions[key]})
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: key, Value: c.Text})
	}
	return txn
}

func (l *leadership) storeProgress(cs []sched.ProgressChunk, txn wire.Txn) {
	c := l.controller
	a, err := c.store.Txn(l.ctx, txn)
	changed := map[string]uint64{} // versions that are another than thought
	if errors.Is(err, kvstore.ErrConflict) {
		for _, k := range a.FailedKeys {
			if e, found, err := c.store.Get(l.ctx, k); err == nil && found && k != termKey {
				changed[k] = e.Version
			} else if err == nil && k != termKey {
				changed[k] = 0
			}
		}
	}
	// What completes meanwhile goes with the next one. Launches wait for every
	// change stored before them, and a result that is not stored yet is only
	// reported once more.
	time.Sleep(time.Second)
	c.owner.post(func() {
		l.busyProgress = false
		maps.Copy(l.chunkVersions, changed)
		if c.owner.leadership != l || err != nil {
			return
		}
		for _, chunk := range cs {
			l.chunkVersions[progressKey(chunk.Job, chunk.Index)] = a.Revision
			if _, _, _, known := l.core.Counts(chunk.Job); !known {
				l.staleKeys = append(l.staleKeys, progressKey(chunk.Job, chunk.Index)) // forgotten meanwhile
				continue
			}
			l.chunkCounts[chunk.Job] = max(l.chunkCounts[chunk.Job], chunk.Index+1)
			l.core.ProgressStored(chunk)
		}
	})
}

// learnEvery is how often what was observed is stored, in microseconds: one change
// in twenty seconds.
const learnEvery = 20_000_000

func (l *leadership) storeStatistics(statistics sched.Statistics) {
	c := l.controller
	_, _ = c.store.Txn(l.ctx, wire.Txn{Conditions: []wire.Condition{l.termCondition()}, Mutations: []wire.Mutation{{Put: learnedKey, Value: statistics}}})
	c.owner.post(func() { l.busyStatistics = false })
}

func (l *leadership) deleteKeys(keys []string) {
	c := l.controller
	err := l.deleteUnderTerm(keys)
	time.Sleep(time.Second)
	c.owner.post(func() {
		l.busyStaleKeys = false
		if err != nil && !errors.Is(err, kvstore.ErrConflict) {
			l.staleKeys = append(l.staleKeys, keys...)
		}
	})
}
