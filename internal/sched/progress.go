package sched

import (
	"maps"
	"slices"

	"encoding/base64"
	"encoding/binary"

	"dalefront/wire"
)

const (
	// ChunkTasks is the number of tasks whose completion is recorded in one stored value, a chunk. A chunk
	// stays far below any size limit for values, even for the largest job.
	ChunkTasks = 4096

	tasksPerWord  = 64 // tasks per word of a taskSet
	bytesPerWord  = 8
	wordsPerChunk = ChunkTasks / tasksPerWord
)

// taskSet is a bitmap of a job's tasks. It is stored in chunks of ChunkTasks tasks. The stored form of a chunk
// is the base64 encoding of its words in little-endian byte order.
type taskSet []uint64

func newTaskSet(tasks int) taskSet { return make(taskSet, (tasks+tasksPerWord-1)/tasksPerWord) }

func (s taskSet) has(task int32) bool { return s[task/tasksPerWord]&(1<<(task%tasksPerWord)) != 0 }

func (s taskSet) add(task int32) { s[task/tasksPerWord] |= 1 << (task % tasksPerWord) }

// encodeChunk returns the stored form of a chunk.
func (s taskSet) encodeChunk(chunk int) string {
	words := s[chunk*wordsPerChunk : min((chunk+1)*wordsPerChunk, len(s))]
	data := make([]byte, 0, len(words)*bytesPerWord)
	for _, word := range words {
		data = binary.LittleEndian.AppendUint64(data, word)
	}
	return base64.StdEncoding.EncodeToString(data)
}

// mergeChunk adds the tasks of a stored chunk to the set. It ignores text that is not valid base64.
func (s taskSet) mergeChunk(chunk int, text string) {
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return
	}
	for i, b := range data {
		if word := chunk*wordsPerChunk + i/bytesPerWord; word < len(s) {
			s[word] |= uint64(b) << (8 * (i % bytesPerWord))
		}
	}
}

// progress tracks which tasks of a job have completed, and which of these completions are stored.
//
// Invariants:
//   - The set durable is a subset of the set completed.
//   - A chunk in which the two sets differ is in dirtyChunks, unless the job has ended.
//   - While a job is active, the worker of a completed task keeps the task in its list until the task is in
//     durable. The list is the only record of the completion until then.
type progress struct {
	completed      taskSet
	completedCount int
	durable        taskSet
	dirtyChunks    map[int]bool // indexes of the chunks to be stored
}

func newProgress(tasks int) progress {
	return progress{completed: newTaskSet(tasks), durable: newTaskSet(tasks), dirtyChunks: map[int]bool{}}
}

func (p *progress) isCompleted(task int32) bool { return p.completed.has(task) }

// isDurable reports whether the task's completion is stored.
func (p *progress) isDurable(task int32) bool { return p.durable.has(task) }

// complete records that a task has completed.
func (p *progress) complete(task int32) {
	if p.completed.has(task) {
		return
	}
	p.completed.add(task)
	p.completedCount++
	p.dirtyChunks[int(task)/ChunkTasks] = true
}

// load merges a stored chunk of a job with the given number of tasks.
func (p *progress) load(chunk int, text string, tasks int) {
	p.completed.mergeChunk(chunk, text)
	p.completedCount = 0
	for task := range int32(tasks) {
		if p.completed.has(task) {
			p.completedCount++
		}
	}
	copy(p.durable, p.completed)
}

// chunkStored records that a chunk was stored in the given form. The chunk stays in dirtyChunks if further
// tasks of the chunk have completed in the meantime.
func (p *progress) chunkStored(chunk int, text string) {
	if p.completed.encodeChunk(chunk) == text {
		delete(p.dirtyChunks, chunk)
	}
	p.durable.mergeChunk(chunk, text)
}

// discardUnstored empties dirtyChunks, since the progress of an ended job need not be stored.
func (p *progress) discardUnstored() { p.dirtyChunks = map[int]bool{} }

// SetProgress loads a stored chunk of a job's completed tasks.
func (c *Core) SetProgress(id string, chunk int, text string) {
	j := c.jobs.find(id)
	if j == nil {
		return
	}
	j.load(chunk, text, j.spec.Tasks)
	c.checkComplete(j)
}

// markDone records that a task of the job has completed. The tasks of a gang complete together.
func (c *Core) markDone(j *job, task int32) {
	if j.spec.Shape == wire.Service || int(task) >= j.spec.Tasks {
		return
	}
	if j.isGang() {
		for t := range int32(j.spec.Tasks) {
			j.complete(t)
		}
	} else {
		j.complete(task)
	}
	c.checkComplete(j)
}

// checkComplete requests that the end record of the job be stored if all tasks of the job have completed.
func (c *Core) checkComplete(j *job) {
	if j.spec.Shape != wire.Service && j.completedCount == j.spec.Tasks && !j.isOver() {
		j.completing = true
		c.outbox.addCompletedJob(j.id)
	}
}

// ProgressChunk is a chunk of a job's completed tasks in its stored form.
type ProgressChunk struct {
	Job   string
	Index int
	Text  string
}

// ProgressToStore returns chunks with completions that are not stored yet. It returns at most as many chunks
// as the given limit.
func (c *Core) ProgressToStore(limit int) []ProgressChunk {
	var chunks []ProgressChunk
	for _, j := range c.jobs.jobsWithDirtyProgress() {
		c.jobs.setLastProgressJob(j)
		for _, chunk := range slices.Sorted(maps.Keys(j.dirtyChunks)) {
			if len(chunks) == limit {
				return chunks
			}
			chunks = append(chunks, ProgressChunk{j.id, chunk, j.completed.encodeChunk(chunk)})
		}
	}
	return chunks
}

// ProgressStored records that a chunk is stored. The workers may then remove the completed tasks of the chunk
// from their lists.
func (c *Core) ProgressStored(chunk ProgressChunk) {
	if j := c.jobs.find(chunk.Job); j != nil {
		j.chunkStored(chunk.Index, chunk.Text)
	}
}
