// Package recurring decides which runs of recurring jobs are due, are submitted and are
// missed. It is pure: schedules, stored state and the time go in, decisions to be
// stored come out. Each decision is stored in one transaction, conditional on the
// state that it rests on, together with the acceptance of its job: whatever fails, an
// occurrence has one run or one recorded miss.
package recurring

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"dalefront/internal/calendar"
	"dalefront/internal/config"
	"dalefront/wire"
)

// Micros is time in whole microseconds, of the day.
type Micros = config.Micros

const second = config.Second

// State is what is stored of a schedule.
type State struct {
	Revision string             `msgpack:"V"`
	Upto     Micros             `msgpack:"U"` // occurrences up to this instant are decided
	Paused   bool               `msgpack:"P"`
	Gone     Micros             `msgpack:"G"` // since when no file has it, 0 if one has
	Runs     []wire.ScheduleRun `msgpack:"R"` // the latest, the newest last
	Ran      uint64             `msgpack:"N"`
	Missed   uint64             `msgpack:"M"`
	Skipped  uint64             `msgpack:"S"` // let out by the calendar
}

// Decision is what is to be stored of one schedule: on condition that its state still
// has the version (0: there is none), that none of the jobs exists, and that the
// cancelled job has not ended.
type Decision struct {
	Name    string
	Version uint64
	State   *State // nil: delete it
	Jobs    []wire.Job
	Cancel  string // a job to be cancelled with it, or ""
}

// What counts as late, and how much is looked at in one decision.
const (
	onTime   = 30 * second // later than this is a missed run
	mostAt   = 5000        // occurrences in one decision
	mostJobs = 3           // jobs in one decision
	again    = 5 * second  // when a schedule that waits for its last run is looked at again
	keepGone = 30 * 86400 * second
)

type entry struct {
	s       *calendar.Schedule
	name    string
	state   State
	version uint64 // 0: not stored
	salt    int    // of the job's id, after a collision
	at      Micros // when it is looked at next
	index   int    // in the heap, -1 while a decision is being stored
}

// queue is a heap of entries by when they are looked at next.
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
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}
func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	e.index = -1
	return e
}

// Engine holds the schedules of a term.
type Engine struct {
	entries map[string]*entry
	queue   queue
}

// New returns an engine for the schedules of a file and what is stored of them, by
// name, with the versions. A schedule that is stored but in no file any more keeps its
// history for a while.
func New(cal *calendar.Calendar, stored map[string]State, versions map[string]uint64) *Engine {
	e := &Engine{entries: map[string]*entry{}}
	for _, s := range cal.Schedules {
		e.entries[s.Name] = &entry{s: s, name: s.Name}
	}
	for name, st := range stored {
		x := e.entries[name]
		if x == nil {
			x = &entry{name: name}
			e.entries[name] = x
		}
		x.state, x.version = st, versions[name]
	}
	for _, x := range e.entries {
		x.at = x.next()
		heap.Push(&e.queue, x)
	}
	return e
}

// next is when the entry has to be looked at: at its next occurrence, or at once if
// what is stored is not of this file.
func (x *entry) next() Micros {
	switch {
	case x.s == nil:
		if x.state.Gone == 0 {
			return 0
		}
		return x.state.Gone + keepGone
	case x.version == 0 || x.state.Revision != x.s.Revision || x.state.Gone > 0:
		return 0
	}
	o, ok := x.s.Next(time.UnixMicro(x.state.Upto))
	if !ok {
		return 1 << 62
	}
	return x.due(o)
}

// due is when an occurrence runs.
func (x *entry) due(o calendar.Occurrence) Micros {
	return ceil(o.At) + Micros(x.s.Delay()/time.Microsecond)
}

// ceil is an instant in whole microseconds, never before it.
func ceil(t time.Time) Micros {
	us := t.UnixMicro()
	if time.UnixMicro(us).Before(t) {
		us++
	}
	return us
}

// Jobs is what the engine asks about jobs.
type Jobs interface {
	// Running says whether a job has not ended, as far as known.
	Running(id string) bool
	// Admit says why a job can never run; nil if it can.
	Admit(j *wire.Job) error
}

// Due decides about up to most schedules that are due by now. Each decision has to be
// answered by Stored or Again.
func (e *Engine) Due(now Micros, most int, jobs Jobs) []Decision {
	var out []Decision
	for len(out) < most && len(e.queue) > 0 && e.queue[0].at <= now {
		x := heap.Pop(&e.queue).(*entry)
		d, wait := x.decide(now, jobs)
		if d == nil {
			x.at = wait
			heap.Push(&e.queue, x)
			continue
		}
		out = append(out, *d)
	}
	return out
}

// decide returns a decision, or until when there is none to be made.
func (x *entry) decide(now Micros, jobs Jobs) (*Decision, Micros) {
	st := x.state
	st.Runs = append([]wire.ScheduleRun{}, st.Runs...)
	d := &Decision{Name: x.name, Version: x.version, State: &st}
	switch {
	case x.s == nil && st.Gone == 0:
		st.Gone = now
		x.note(&st, wire.ScheduleRun{At: now, Status: wire.RunNoted, Reason: "the schedule was removed; nothing of it runs any more"})
		return d, 0
	case x.s == nil:
		d.State = nil
		return d, 0
	case x.version == 0:
		st = State{Revision: x.s.Revision, Upto: now}
		return d, 0
	case st.Revision != x.s.Revision || st.Gone > 0:
		// What fell due meanwhile under other rules can't be known any more, and
		// nobody expects what falls under the new ones before they were set.
		x.note(&st, wire.ScheduleRun{At: now, Status: wire.RunNoted,
			Reason: fmt.Sprintf("the schedule was changed; nothing is run for the time since %s", time.UnixMicro(st.Upto).UTC().Format(time.RFC3339))})
		st.Revision, st.Upto, st.Gone = x.s.Revision, max(now, st.Upto), 0
		return d, 0
	}
	var late, due, skipped []calendar.Occurrence
	looked := 0
	upto := st.Upto
	for ; looked < mostAt; looked++ {
		o, ok := x.s.Next(time.UnixMicro(upto))
		if !ok || x.due(o) > now {
			if !ok && looked == 0 {
				return nil, 1 << 62
			}
			break
		}
		upto = ceil(o.At)
		switch {
		case o.Skip != "":
			skipped = append(skipped, o)
		case now-x.due(o) > onTime:
			late = append(late, o)
		default:
			due = append(due, o)
		}
	}
	if looked == 0 {
		return nil, x.next()
	}
	st.Upto = upto
	more := looked == mostAt // still more of them: the latest is not known yet
	run := x.choose(&st, late, due, now, more)
	for i, o := range run {
		last := lastJob(&st)
		busy := last != "" && (len(d.Jobs) > 0 && d.Jobs[len(d.Jobs)-1].ID == last || jobs.Running(last))
		if busy && x.s.Overlap == calendar.OverlapForbid {
			if now-x.due(o) > onTime && x.s.Missed == calendar.MissedRunAll {
				// Catching up goes one after the other.
				if st.Upto = before(o); len(d.Jobs) == 0 && st.Upto <= x.state.Upto {
					return nil, now + again
				}
				break
			}
			x.miss(&st, o, "the last run, "+last+", has not ended")
			continue
		}
		if len(d.Jobs) == mostJobs || (busy && x.s.Overlap == calendar.OverlapReplace && d.Cancel != "") {
			st.Upto = before(run[i]) // the rest in the next decision
			break
		}
		j := x.s.Job
		j.ID = x.id(o, x.salt)
		if err := jobs.Admit(&j); err != nil {
			x.miss(&st, o, err.Error())
			continue
		}
		if busy && x.s.Overlap == calendar.OverlapReplace {
			d.Cancel = last
		}
		d.Jobs = append(d.Jobs, j)
		st.Ran++
		x.note(&st, wire.ScheduleRun{At: ceil(o.At), Status: wire.RunSubmitted, Job: j.ID, Decided: now})
	}
	for _, o := range skipped {
		if ceil(o.At) <= st.Upto { // what comes later is looked at again
			st.Skipped++
		}
	}
	return d, 0
}

// before is the latest instant before an occurrence.
func before(o calendar.Occurrence) Micros { return ceil(o.At) - 1 }

// choose applies the policy for missed runs, records those that are given up, and
// returns what is to run, the earliest first.
func (x *entry) choose(st *State, late, due []calendar.Occurrence, now Micros, more bool) []calendar.Occurrence {
	if st.Paused {
		for _, o := range append(late, due...) {
			x.miss(st, o, "paused")
		}
		return nil
	}
	var run []calendar.Occurrence
	keep := 0
	switch x.s.Missed {
	case calendar.MissedRunOnce:
		if len(due) == 0 && !more {
			keep = 1
		}
	case calendar.MissedRunAll:
		keep = x.s.MissedBound
	}
	for i, o := range late {
		lateness := time.Duration(now-x.due(o)) * time.Microsecond
		switch {
		case x.s.Missed == calendar.MissedSkip:
			x.miss(st, o, "it was not started in time, and missed runs are skipped")
		case lateness > x.s.LatestStart:
			x.miss(st, o, fmt.Sprintf("%s late, more than latest_start_s", lateness.Round(time.Second)))
		case i < len(late)-keep:
			x.miss(st, o, "a later one runs instead")
		default:
			run = append(run, o)
		}
	}
	return append(run, due...)
}

func (x *entry) miss(st *State, o calendar.Occurrence, reason string) {
	st.Missed++
	x.note(st, wire.ScheduleRun{At: ceil(o.At), Status: wire.RunMissed, Reason: reason})
}

// note adds to the history, which is bounded.
func (x *entry) note(st *State, r wire.ScheduleRun) {
	keep := 20
	if x.s != nil {
		keep = x.s.KeepRuns
	}
	st.Runs = append(st.Runs, r)
	st.Runs = st.Runs[max(0, len(st.Runs)-keep):]
}

// lastJob is the job of the latest run that was submitted, if the history has it.
func lastJob(st *State) string {
	for i := len(st.Runs) - 1; i >= 0; i-- {
		if st.Runs[i].Job != "" {
			return st.Runs[i].Job
		}
	}
	return ""
}

// id is the id of an occurrence's job: nineteen digits from the schedule's name and
// revision and the instant. A user may have chosen the same one, in which case the
// transaction finds it taken and the salt makes another.
func (x *entry) id(o calendar.Occurrence, salt int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%d\x00%d", x.name, x.s.Revision, ceil(o.At), salt))
	const range18 = 1_000_000_000_000_000_000
	return fmt.Sprintf("j-%d", range18+binary.BigEndian.Uint64(sum[:])%range18)
}

// Stored says that a decision was stored, and under which version.
func (e *Engine) Stored(d Decision, version uint64) {
	x := e.entries[d.Name]
	if x == nil || x.index >= 0 {
		return
	}
	if d.State == nil {
		delete(e.entries, d.Name)
		return
	}
	x.state, x.version, x.salt = *d.State, version, 0
	x.at = x.next()
	heap.Push(&e.queue, x)
}

// Again says that a decision was not stored, and what is stored instead (version 0:
// nothing): it is made anew at the given time. taken says that the id of one of its
// jobs is somebody else's.
func (e *Engine) Again(d Decision, st State, version uint64, taken bool, at Micros) {
	x := e.entries[d.Name]
	if x == nil || x.index >= 0 {
		return
	}
	if taken {
		x.salt++
	}
	x.state, x.version, x.at = st, version, at
	heap.Push(&e.queue, x)
}

// Len is how many schedules there are, and how many of them are only history.
func (e *Engine) Len() (schedules, gone int) {
	for _, x := range e.entries {
		if x.s == nil {
			gone++
		}
	}
	return len(e.entries) - gone, gone
}
