// Package recurring decides which runs of recurring jobs are due, are submitted and are
// missed. It is pure: schedules, stored state and the time go in, decisions to be
// stored come out. Each decision is stored in one transaction, conditional on the
// state that it rests on, together with the acceptance of its job: whatever fails, an
// occurrence has one run or one recorded miss.
package recurring

import (
	"container/heap"
	"time"

	"dalefront/internal/calendar"
	"dalefront/internal/config"
	"dalefront/wire"
)

// Micros is time in whole microseconds since 1970, UTC, or a duration.
type Micros = config.Micros

const (
	second = config.Second
	day    = 86400 * second
)

const (
	// never is later than any occurrence.
	never Micros = 1 << 62
	// removedRetention is how long the history of a schedule is kept that no file has any more.
	removedRetention = 30 * day
)

// Jobs is what the engine asks about jobs.
type Jobs interface {
	// Running says whether a job has not ended, as far as known.
	Running(id string) bool
	// Admit says why a job can never run; nil if it can.
	Admit(job *wire.Job) error
}

// Engine holds the schedules of a term. It is not safe for concurrent use.
type Engine struct {
	entries map[string]*entry // by the schedule's name
	queue   queue             // entries without a decision that is being stored
}

// NewEngine returns an engine for the schedules of a file and what is stored of them, by
// name, with the versions. A schedule that is stored but in no file any more keeps its
// history for a while.
func NewEngine(file *calendar.Calendar, stored map[string]State, versions map[string]uint64) *Engine {
	e := &Engine{entries: map[string]*entry{}}
	for _, schedule := range file.Schedules {
		e.entries[schedule.Name] = &entry{schedule: schedule, name: schedule.Name}
	}
	for name, state := range stored {
		scheduled := e.entries[name]
		if scheduled == nil {
			scheduled = &entry{name: name}
			e.entries[name] = scheduled
		}
		scheduled.state, scheduled.version = state, versions[name]
	}
	for _, scheduled := range e.entries {
		e.enqueue(scheduled, scheduled.nextDecision())
	}
	return e
}

func (e *Engine) enqueue(scheduled *entry, at Micros) {
	scheduled.at = at
	heap.Push(&e.queue, scheduled)
}

// Due decides about up to limit schedules that are due by now. Each decision has to be
// answered by Committed or Retry.
func (e *Engine) Due(now Micros, limit int, jobs Jobs) []Decision {
	var decisions []Decision
	for len(decisions) < limit && len(e.queue) > 0 && e.queue[0].at <= now {
		scheduled := heap.Pop(&e.queue).(*entry)
		decision, retryAt := scheduled.decide(now, jobs)
		if decision == nil {
			e.enqueue(scheduled, retryAt)
			continue
		}
		decisions = append(decisions, *decision)
	}
	return decisions
}

// Committed says that a decision was stored, and under which version.
func (e *Engine) Committed(decision Decision, version uint64) {
	scheduled := e.undecided(decision.Name)
	if scheduled == nil {
		return
	}
	if decision.State == nil {
		delete(e.entries, decision.Name)
		return
	}
	scheduled.state, scheduled.version, scheduled.salt = *decision.State, version, 0
	e.enqueue(scheduled, scheduled.nextDecision())
}

// Retry says that a decision was not stored, and what is stored instead (version 0:
// nothing): it is made anew at the given time. idTaken says that the ID of one of its
// jobs is that of another job.
func (e *Engine) Retry(decision Decision, state State, version uint64, idTaken bool, at Micros) {
	scheduled := e.undecided(decision.Name)
	if scheduled == nil {
		return
	}
	if idTaken {
		scheduled.salt++
	}
	scheduled.state, scheduled.version = state, version
	e.enqueue(scheduled, at)
}

// undecided returns the entry whose decision is being stored, or nil if there is none.
func (e *Engine) undecided(name string) *entry {
	scheduled := e.entries[name]
	if scheduled == nil || scheduled.index >= 0 {
		return nil
	}
	return scheduled
}

// Count is how many schedules there are, and of how many only the history is left.
func (e *Engine) Count() (schedules, removed int) {
	for _, scheduled := range e.entries {
		if scheduled.schedule == nil {
			removed++
		}
	}
	return len(e.entries) - removed, removed
}

// entry is a schedule of the file, of the stored state or of both.
type entry struct {
	schedule *calendar.Schedule // nil: in no file any more
	name     string
	state    State
	version  uint64 // of the state; 0: not stored
	salt     int    // of the next job's ID, raised after a collision
	at       Micros // when it is decided about next
	index    int    // in the queue; -1 while a decision is being stored
}

// nextDecision is when a decision is due: at the next occurrence, or at once if what is
// stored is not of this file.
func (e *entry) nextDecision() Micros {
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

// isRedefined reports whether the stored state is of another definition of the schedule.
func (e *entry) isRedefined() bool {
	return e.state.Revision != e.schedule.Revision || e.state.RemovedAt > 0
}

// dueAt is when the run of an occurrence is due.
func (e *entry) dueAt(occurrence calendar.Occurrence) Micros {
	return instantOf(occurrence) + Micros(e.schedule.Delay()/time.Microsecond)
}

// instantOf is an occurrence's instant in whole microseconds, never before it.
func instantOf(occurrence calendar.Occurrence) Micros {
	micros := occurrence.At.UnixMicro()
	if time.UnixMicro(micros).Before(occurrence.At) {
		micros++
	}
	return micros
}

// queue is a heap of entries by when they are decided about next. It implements heap.Interface.
type queue []*entry

func (q queue) Len() int { return len(q) }

func (q queue) Less(a, b int) bool {
	return q[a].at < q[b].at || (q[a].at == q[b].at && q[a].name < q[b].name)
}

func (q queue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].index, q[b].index = a, b
}

func (q *queue) Push(x any) {
	scheduled := x.(*entry)
	scheduled.index = len(*q)
	*q = append(*q, scheduled)
}

func (q *queue) Pop() any {
	last := len(*q) - 1
	scheduled := (*q)[last]
	*q = (*q)[:last]
	scheduled.index = -1
	return scheduled
}
