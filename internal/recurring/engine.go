// Package recurring decides which runs of recurring jobs are due, which are submitted and which are missed.
// The package does no I/O. It computes decisions from the schedules, their stored states and the time, and
// the caller stores the decisions. One transaction stores a decision and submits its jobs, on condition that
// the schedule's stored state has not changed since the decision. Therefore every occurrence has exactly one
// run or one recorded miss, also after crashes, lost requests and changes of the leader.
package recurring

import (
	"container/heap"
	"time"

	"dalefront/internal/calendar"
	"dalefront/internal/config"
	"dalefront/wire"
)

// Micros is a time in microseconds since 1970-01-01 UTC, or a duration in microseconds.
type Micros = config.Micros

const (
	second = config.Second
	day    = 86400 * second
)

const (
	// never is a time later than any occurrence.
	never Micros = 1 << 62
	// removedRetention is the time from the removal of a schedule until its history is deleted.
	removedRetention = 30 * day
)

// Jobs gives the engine access to the jobs of the scheduler.
type Jobs interface {
	// Running reports whether a job is not known to have ended.
	Running(id string) bool
	// Admit returns nil if a job can run, or else an error that says why the job can never run.
	Admit(job *wire.Job) error
}

// Engine holds the schedules during one leadership term. It is not safe for concurrent use.
type Engine struct {
	entries map[string]*scheduleEntry // by the schedule's name
	queue   queue                     // all entries except those whose decision is being stored
}

// NewEngine returns an engine for the schedules of a calendar file. The maps hold the stored states of
// schedules and the versions of these states, both by schedule name. A schedule that has a stored state but
// is no longer defined keeps its history for removedRetention.
func NewEngine(definitions *calendar.Calendar, stored map[string]State, versions map[string]uint64) *Engine {
	e := &Engine{entries: map[string]*scheduleEntry{}}
	for _, schedule := range definitions.Schedules {
		e.entries[schedule.Name] = &scheduleEntry{schedule: schedule, name: schedule.Name}
	}
	for name, state := range stored {
		entry := e.entries[name]
		if entry == nil {
			entry = &scheduleEntry{name: name}
			e.entries[name] = entry
		}
		entry.state, entry.version = state, versions[name]
	}
	for _, entry := range e.entries {
		e.enqueue(entry, entry.nextDecision())
	}
	return e
}

// enqueue adds an entry to the queue. The entry's next decision is made at the given time.
func (e *Engine) enqueue(entry *scheduleEntry, at Micros) {
	entry.decideAt = at
	heap.Push(&e.queue, entry)
}

// DecideDue makes decisions for schedules that are due now, at most as many as the given limit. For each
// decision the caller must call either Committed or Retry.
func (e *Engine) DecideDue(now Micros, limit int, jobs Jobs) []Decision {
	var decisions []Decision
	for len(decisions) < limit && len(e.queue) > 0 && e.queue[0].decideAt <= now {
		entry := heap.Pop(&e.queue).(*scheduleEntry)
		decision, retryAt := entry.decide(now, jobs)
		if decision == nil {
			e.enqueue(entry, retryAt)
			continue
		}
		decisions = append(decisions, *decision)
	}
	return decisions
}

// Committed tells the engine that a decision was stored, and the version that the stored state has now.
func (e *Engine) Committed(decision Decision, version uint64) {
	entry := e.pendingCommit(decision.Name)
	if entry == nil {
		return
	}
	if decision.State == nil {
		delete(e.entries, decision.Name)
		return
	}
	entry.state, entry.version, entry.salt = *decision.State, version, 0
	e.enqueue(entry, entry.nextDecision())
}

// Retry tells the engine that a decision was not stored, and which state is stored instead (version 0 if
// no state is stored). The schedule is decided again at the given time. idTaken reports whether another job
// already has the ID of one of the decision's jobs.
func (e *Engine) Retry(decision Decision, state State, version uint64, idTaken bool, at Micros) {
	entry := e.pendingCommit(decision.Name)
	if entry == nil {
		return
	}
	if idTaken {
		entry.salt++
	}
	entry.state, entry.version = state, version
	e.enqueue(entry, at)
}

// pendingCommit returns the entry of a schedule if a decision on the schedule is being stored, and nil
// otherwise.
func (e *Engine) pendingCommit(name string) *scheduleEntry {
	entry := e.entries[name]
	if entry == nil || entry.index >= 0 {
		return nil
	}
	return entry
}

// Count returns the number of defined schedules and the number of removed schedules whose history is still
// stored.
func (e *Engine) Count() (schedules, removed int) {
	for _, entry := range e.entries {
		if entry.schedule == nil {
			removed++
		}
	}
	return len(e.entries) - removed, removed
}

// scheduleEntry holds a schedule that is defined in the calendar file, stored, or both.
type scheduleEntry struct {
	schedule *calendar.Schedule // nil if the schedule was removed from the file
	name     string
	state    State
	version  uint64 // version of the stored state; 0 if no state is stored
	salt     int    // salt of the next job's ID; incremented after a collision of IDs
	decideAt Micros // time of the next decision
	index    int    // position in the queue; -1 while a decision on the schedule is being stored
}

// nextDecision returns the time at which the next decision is due. This is normally the time at which the
// next occurrence is due. If the stored state does not match the calendar file, nextDecision returns 0,
// because the decision is due immediately. For a schedule that is marked as removed, nextDecision returns the
// end of the retention time.
func (e *scheduleEntry) nextDecision() Micros {
	switch {
	case e.schedule == nil:
		if e.state.RemovedAt == 0 {
			return 0
		}
		return e.state.RemovedAt + removedRetention
	case e.version == 0 || e.isRedefined():
		return 0
	}
	next, found := e.schedule.Next(time.UnixMicro(e.state.DecidedUntil))
	if !found {
		return never
	}
	return e.dueAt(next)
}

// isRedefined reports whether the stored state belongs to another definition of the schedule. It also returns
// true if the stored state is marked as removed although the schedule is defined again.
func (e *scheduleEntry) isRedefined() bool {
	return e.state.Revision != e.schedule.Revision || e.state.RemovedAt > 0
}

// dueAt returns the time at which the run of an occurrence is due: the occurrence's instant plus the
// schedule's delay.
func (e *scheduleEntry) dueAt(occurrence calendar.Occurrence) Micros {
	return instantOf(occurrence) + Micros(e.schedule.Delay()/time.Microsecond)
}

// instantOf returns an occurrence's instant, rounded up to whole microseconds.
func instantOf(occurrence calendar.Occurrence) Micros {
	micros := occurrence.At.UnixMicro()
	if time.UnixMicro(micros).Before(occurrence.At) {
		micros++
	}
	return micros
}

// queue is a heap of entries, ordered by the time of their next decision. It implements heap.Interface.
type queue []*scheduleEntry

func (q queue) Len() int { return len(q) }

func (q queue) Less(a, b int) bool {
	return q[a].decideAt < q[b].decideAt || (q[a].decideAt == q[b].decideAt && q[a].name < q[b].name)
}

func (q queue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].index, q[b].index = a, b
}

func (q *queue) Push(x any) {
	entry := x.(*scheduleEntry)
	entry.index = len(*q)
	*q = append(*q, entry)
}

func (q *queue) Pop() any {
	last := len(*q) - 1
	entry := (*q)[last]
	*q = (*q)[:last]
	entry.index = -1
	return entry
}
