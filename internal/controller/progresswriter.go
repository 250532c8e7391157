package controller

import (
	"errors"
	"maps"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/internal/sched"
	"dalefront/wire"
)

const (
	// progressWriteShare: one write of progress takes at most one in so many of a second's changes.
	progressWriteShare = 10
	// progressPause is the pause after a write of progress. What completes in between goes with
	// the next one. Launches wait for every change stored before them, and a result that is not
	// stored yet is only reported once more.
	progressPause = time.Second
)

// progressWriter stores which tasks of jobs are done, in chunks of a key each. It knows the version
// of each key: a chunk is stored on condition that it is as last stored or read, since a copy of an
// earlier transaction that got no answer may be applied after it, and would take back what tasks
// have been cleared for since.
type progressWriter struct {
	leadership *leadership
	task       backgroundTask
	counts     map[string]int    // chunks stored per job
	versions   map[string]uint64 // of each key
}

// reset forgets all keys.
func (w *progressWriter) reset() {
	w.counts, w.versions = map[string]int{}, map[string]uint64{}
}

// record notes the version of a chunk's key.
func (w *progressWriter) record(job string, index int, version uint64) {
	w.versions[progressKey(job, index)] = version
	w.counts[job] = max(w.counts[job], index+1)
}

// forget drops a job and returns the keys of its chunks. Owner goroutine.
func (w *progressWriter) forget(job string) (keys []string) {
	for i := range w.counts[job] {
		key := progressKey(job, i)
		keys = append(keys, key)
		delete(w.versions, key)
	}
	delete(w.counts, job)
	return keys
}

// start stores what has changed, unless a write is going on. Owner goroutine.
func (w *progressWriter) start() {
	if w.task.running {
		return
	}
	limits := &w.leadership.controller.settings.Deployment.State
	chunks := w.leadership.core.ProgressToStore(min(limits.TxnOps, max(1, int(limits.WriteRPS/progressWriteShare))))
	if len(chunks) == 0 {
		return
	}
	txn := w.transaction(chunks)
	w.leadership.startTask(&w.task, func() func() {
		answer, err := w.leadership.controller.store.Txn(w.leadership.ctx, txn)
		changed := w.changedVersions(answer.FailedKeys, err)
		sleepContext(w.leadership.ctx, progressPause)
		return func() {
			if err != nil {
				maps.Copy(w.versions, changed)
			} else {
				w.finish(chunks, answer.Revision)
			}
		}
	})
}

// transaction stores chunks on condition of their versions. Owner goroutine.
func (w *progressWriter) transaction(chunks []sched.ProgressChunk) wire.Txn {
	txn := wire.Txn{Conditions: []wire.Condition{w.leadership.termCondition()}}
	for _, chunk := range chunks {
		key := progressKey(chunk.Job, chunk.Index)
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: key, Version: w.versions[key]})
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: key, Value: chunk.Text})
	}
	return txn
}

// changedVersions reads the versions of keys that have another than was thought, if that is why a
// write failed.
func (w *progressWriter) changedVersions(failedKeys []string, cause error) map[string]uint64 {
	changed := map[string]uint64{}
	if !errors.Is(cause, kvstore.ErrConflict) {
		return changed
	}
	for _, key := range failedKeys {
		entry, found, err := w.leadership.controller.store.Get(w.leadership.ctx, key)
		if err != nil || key == termKey {
			continue
		}
		changed[key] = 0
		if found {
			changed[key] = entry.Version
		}
	}
	return changed
}

// finish notes that chunks are stored. Owner goroutine.
func (w *progressWriter) finish(chunks []sched.ProgressChunk, version uint64) {
	core := w.leadership.core
	for _, chunk := range chunks {
		key := progressKey(chunk.Job, chunk.Index)
		w.versions[key] = version
		if _, _, _, known := core.Counts(chunk.Job); !known {
			w.leadership.staleKeys.add(key) // the job was forgotten while it was stored
			continue
		}
		w.record(chunk.Job, chunk.Index, version)
		core.ProgressStored(chunk)
	}
}
