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
func (r *leadership) commit(cm *sched.Commit) {
	n := r.controller
	txn := CommitTxn(cm, r.termCondition(), generationCond(cm.Generation))
	txn.Conditions = n.withArchiveGuards(txn.Conditions, cm.Jobs...)
	unknown := false
	for r.ctx.Err() == nil {
		a, err := n.store.Txn(r.ctx, txn)
		switch {
		case err == nil:
			r.commitFinished(cm, true)
			return
		case errors.Is(err, kvstore.ErrUnknown):
			unknown = true
		case errors.Is(err, kvstore.ErrConflict):
			r.resolveConflict(cm, a.FailedKeys)
			return
		case !unknown:
			// Refused: it was not executed and never will be.
			if errors.Is(err, kvstore.ErrRefused) {
				n.log.Debug("commit refused", "err", err)
			} else {
				n.log.Error("commit is not accepted", "err", err, "conditions", len(txn.Conditions), "changes", len(txn.Mutations))
			}
			r.commitFinished(cm, false)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (r *leadership) commitFinished(cm *sched.Commit, ok bool) {
	n := r.controller
	n.postToOwner(func() {
		if n.leadership != r {
			return
		}
		r.busyCommit = false
		n.config.configureCore() // what was refused is decided by the newest one
		if ok {
			r.core.CommitStored(cm, n.now())
		} else {
			r.core.CommitRejected(cm, n.now())
		}
		r.serveWaiters()
		n.passPending = true
	})
}

// resolveConflict finds out why a batch failed: the term is lost, a job has ended, or
// an earlier copy of the same batch was applied after all.
func (r *leadership) resolveConflict(cm *sched.Commit, failed []string) {
	n := r.controller
	for r.ctx.Err() == nil {
		again, applied := false, false
		for _, k := range failed {
			e, found, err := n.store.Get(r.ctx, k)
			if err != nil {
				again = true
				break
			}
			switch {
			case k == termKey:
				if !found || e.Version != r.token {
					n.postToOwner(func() { r.stepDown() })
					return
				}
			case k == dynconfig.GenerationKey:
				// Decided by a configuration that is in force no more: decided anew.
				n.config.refused.Add(1)
				if n.config.refresh(r.ctx) != nil {
					again = true
				}
			case strings.HasPrefix(k, endPrefix) && found:
				n.postToOwner(func() {
					if n.leadership == r {
						r.jobEnded(strings.TrimPrefix(k, endPrefix), e.Value)
					}
				})
			case strings.HasPrefix(k, ledgerPrefix):
				applied = applied || found
			case strings.HasPrefix(k, archive.ManifestPrefix):
				// Ends were archived meanwhile: planned anew. What was sent is as
				// little applied later as after an end.
				if _, err := n.archive.Refresh(r.ctx, []string{k}); err != nil {
					again = true
				}
			}
		}
		if !again {
			r.commitFinished(cm, applied)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// storeEnds makes jobs done, unless they were cancelled before: all in one
// transaction, or one by one if that fails.
func (r *leadership) storeEnds(ids []string, done []int) {
	n := r.controller
	ctx, cancel := context.WithTimeout(r.ctx, 4*time.Second)
	defer cancel()
	conds := []wire.Condition{r.termCondition()}
	txn := wire.Txn{Conditions: conds}
	at := n.now()
	for i, id := range ids {
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: endKey(id)})
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: endKey(id), Value: endRecord{Status: wire.JobDone, At: at, Done: done[i]}})
	}
	txn.Conditions = n.withArchiveGuards(txn.Conditions, ids...)
	_, together := n.store.Txn(ctx, txn)
	ends := make([]endRecord, len(ids))
	errs := make([]error, len(ids))
	failed := false
	for i, id := range ids {
		if together == nil {
			ends[i] = endRecord{Status: wire.JobDone, Done: done[i]}
			n.rememberFinal(ends[i].answer(id))
			continue
		}
		if errs[i] = together; errors.Is(together, kvstore.ErrConflict) || errors.Is(together, kvstore.ErrUnknown) {
			ends[i], errs[i] = n.createEnd(ctx, id, wire.JobDone, done[i], conds)
		}
		failed = failed || errs[i] != nil
	}
	if failed {
		time.Sleep(150 * time.Millisecond)
	}
	n.postToOwner(func() {
		r.busyEnds = false
		if n.leadership != r {
			return
		}
		for i, id := range ids {
			if errs[i] != nil {
				r.core.RetryEnd(id)
			} else {
				r.core.JobEnded(id, ends[i].Status, n.now())
			}
		}
		r.dispatchEffects()
		n.passPending = true
	})
}

// progressTxn stores progress, each chunk on condition that it is as last stored or read: a
// copy of an earlier transaction that got no answer may be applied after it, and would take
// back what tasks have been cleared for since. Owner goroutine.
func (r *leadership) progressTxn(cs []sched.ProgressChunk) wire.Txn {
	txn := wire.Txn{Conditions: []wire.Condition{r.termCondition()}}
	for _, c := range cs {
		key := chunkKey(c.Job, c.Index)
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: key, Version: r.chunkVersions[key]})
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: key, Value: c.Text})
	}
	return txn
}

func (r *leadership) storeProgress(cs []sched.ProgressChunk, txn wire.Txn) {
	n := r.controller
	a, err := n.store.Txn(r.ctx, txn)
	changed := map[string]uint64{} // versions that are another than thought
	if errors.Is(err, kvstore.ErrConflict) {
		for _, k := range a.FailedKeys {
			if e, found, err := n.store.Get(r.ctx, k); err == nil && found && k != termKey {
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
	n.postToOwner(func() {
		r.busyProgress = false
		maps.Copy(r.chunkVersions, changed)
		if n.leadership != r || err != nil {
			return
		}
		for _, c := range cs {
			r.chunkVersions[chunkKey(c.Job, c.Index)] = a.Revision
			if _, _, _, known := r.core.Counts(c.Job); !known {
				r.staleKeys = append(r.staleKeys, chunkKey(c.Job, c.Index)) // forgotten meanwhile
				continue
			}
			r.chunkCounts[c.Job] = max(r.chunkCounts[c.Job], c.Index+1)
			r.core.ProgressStored(c)
		}
	})
}

// learnEvery is how often what was observed is stored, in microseconds: one change
// in twenty seconds.
const learnEvery = 20_000_000

func (r *leadership) storeStatistics(l sched.Statistics) {
	n := r.controller
	_, _ = n.store.Txn(r.ctx, wire.Txn{Conditions: []wire.Condition{r.termCondition()}, Mutations: []wire.Mutation{{Put: learnedKey, Value: l}}})
	n.postToOwner(func() { r.busyStatistics = false })
}

func (r *leadership) deleteKeys(keys []string) {
	n := r.controller
	err := r.deleteNow(keys)
	time.Sleep(time.Second)
	n.postToOwner(func() {
		r.busyStaleKeys = false
		if err != nil && !errors.Is(err, kvstore.ErrConflict) {
			r.staleKeys = append(r.staleKeys, keys...)
		}
	})
}
