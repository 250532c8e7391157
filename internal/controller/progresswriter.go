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
	// progressWriteDivisor limits the size of one write of progress. It has at most the number of changes
	// that the key-value store accepts per second, divided by progressWriteDivisor.
	progressWriteDivisor = 10
	// progressWritePause is the pause after a write of progress. Tasks that complete during the pause are
	// part of the next write. A launch is delayed by every change that is stored before it, so the pause lets
	// launches through. The pause costs little: until a result is stored, workers only repeat their report of
	// it.
	progressWritePause = time.Second
)

// progressWriter stores which tasks of jobs are done, in chunks with one key each. A chunk is stored on
// condition that its key still has the version last stored or read. Without this condition, a transaction
// that got no answer could be applied after a later transaction and undo the progress that the later
// transaction stored. The workers may already have been told to remove these tasks from their heartbeats, so
// this progress would be lost.
type progressWriter struct {
	leadership  *leadership
	task        backgroundTask
	chunkCounts map[string]int    // number of stored chunks by job
	versions    map[string]uint64 // versions of the stored chunks by key
}

// reset drops all versions and counts of chunks.
func (w *progressWriter) reset() {
	w.chunkCounts, w.versions = map[string]int{}, map[string]uint64{}
}

// record records the version of a chunk's key and counts the chunk as stored.
func (w *progressWriter) record(job string, index int, version uint64) {
	w.versions[progressKey(job, index)] = version
	w.chunkCounts[job] = max(w.chunkCounts[job], index+1)
}

// forget drops a job and returns the keys of its chunks. It must be called on the owner goroutine.
func (w *progressWriter) forget(job string) (keys []string) {
	for i := range w.chunkCounts[job] {
		key := progressKey(job, i)
		keys = append(keys, key)
		delete(w.versions, key)
	}
	delete(w.chunkCounts, job)
	return keys
}

// start stores progress that has changed, unless a write is in progress. It must be called on the owner
// goroutine.
func (w *progressWriter) start() {
	if w.task.running {
		return
	}
	limits := &w.leadership.controller.settings.Deployment.State
	chunks := w.leadership.core.ProgressToStore(min(limits.TxnOps, max(1, int(limits.WriteRPS/progressWriteDivisor))))
	if len(chunks) == 0 {
		return
	}
	txn := w.transaction(chunks)
	w.leadership.startTask(&w.task, func() func() {
		answer, err := w.leadership.controller.store.Txn(w.leadership.ctx, txn)
		changed := w.changedVersions(answer.FailedKeys, err)
		sleepContext(w.leadership.ctx, progressWritePause)
		return func() {
			if err != nil {
				maps.Copy(w.versions, changed)
			} else {
				w.finish(chunks, answer.Revision)
			}
		}
	})
}

// transaction returns the transaction that stores chunks on condition of the term and of the versions of
// their keys. It must be called on the owner goroutine.
func (w *progressWriter) transaction(chunks []sched.ProgressChunk) wire.Txn {
	txn := wire.Txn{Conditions: []wire.Condition{w.leadership.termCondition()}}
	for _, chunk := range chunks {
		key := progressKey(chunk.Job, chunk.Index)
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: key, Version: w.versions[key]})
		txn.Mutations = append(txn.Mutations, wire.Mutation{Put: key, Value: chunk.Text})
	}
	return txn
}

// changedVersions returns the current versions of the chunk keys whose conditions failed, 0 for a key that
// doesn't exist. It returns no versions if the write failed for another reason than a conflict. Keys that
// can't be read are left out.
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

// finish records the version under which chunks were stored, and tells the core that they are stored. It must
// be called on the owner goroutine.
func (w *progressWriter) finish(chunks []sched.ProgressChunk, version uint64) {
	core := w.leadership.core
	for _, chunk := range chunks {
		key := progressKey(chunk.Job, chunk.Index)
		w.versions[key] = version
		if _, _, _, known := core.Counts(chunk.Job); !known {
			w.leadership.staleKeys.add(key) // the core dropped the job during the write
			continue
		}
		w.record(chunk.Job, chunk.Index, version)
		core.ProgressStored(chunk)
	}
}
