package recurring

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"dalefront/internal/calendar"
	"dalefront/wire"
)

// Decision is what is to be stored of one schedule: on condition that its state still
// has the version (0: there is none), that none of the jobs exists, and that the
// cancelled job has not ended.
type Decision struct {
	Name    string
	Version uint64
	State   *State     // nil: delete it
	Jobs    []wire.Job // to be submitted
	Cancel  string     // ID of a job to be cancelled; empty: none
}

const (
	// lateAfter is how long after its instant an occurrence counts as late.
	lateAfter = 30 * second
	// maxOccurrences bounds the occurrences in one decision.
	maxOccurrences = 5000
	// maxJobs bounds the jobs in one decision.
	maxJobs = 3
	// overlapRetryDelay is when a schedule is decided about again that waits for its last run.
	overlapRetryDelay = 5 * second
)

// decide returns a decision, or when the next one can be made.
func (e *entry) decide(now Micros, jobs Jobs) (decision *Decision, retryAt Micros) {
	state := e.state
	state.Runs = append([]wire.ScheduleRun{}, state.Runs...) // never nil, which is stored in another form
	decision = &Decision{Name: e.name, Version: e.version, State: &state}
	switch {
	case e.schedule == nil:
		decideRemoval(decision, now)
		return decision, 0
	case e.version == 0:
		state = State{Revision: e.schedule.Revision, DecidedUntil: now}
		return decision, 0
	case e.isRedefined():
		e.decideRedefinition(&state, now)
		return decision, 0
	}
	due := e.dueOccurrences(now)
	if due.isEmpty() {
		return nil, e.nextDecision()
	}
	state.DecidedUntil = due.until
	submission := submission{entry: e, now: now, jobs: jobs, state: &state, decision: decision}
	submission.submitAll(submission.choose(due))
	if len(decision.Jobs) == 0 && state.DecidedUntil <= e.state.DecidedUntil {
		return nil, now + overlapRetryDelay // even the first one waits for the last run
	}
	for _, occurrence := range due.skipped {
		if instantOf(occurrence) <= state.DecidedUntil { // later ones are decided next time
			state.Skipped++
		}
	}
	return decision, 0
}

// decideRemoval ends a schedule that is in no file any more, and deletes its history in the end.
func decideRemoval(decision *Decision, now Micros) {
	if decision.State.RemovedAt > 0 {
		decision.State = nil
		return
	}
	decision.State.RemovedAt = now
	decision.State.record(nil, wire.ScheduleRun{At: now, Status: wire.RunNoted, Reason: "the schedule was removed; nothing of it runs any more"})
}

// decideRedefinition begins anew with a changed schedule. What fell due meanwhile under
// other rules can't be known any more, and nobody expects what falls under the new ones
// before they were set.
func (e *entry) decideRedefinition(state *State, now Micros) {
	since := time.UnixMicro(state.DecidedUntil).UTC().Format(time.RFC3339)
	state.record(e.schedule, wire.ScheduleRun{At: now, Status: wire.RunNoted,
		Reason: fmt.Sprintf("the schedule was changed; nothing is run for the time since %s", since)})
	state.Revision = e.schedule.Revision
	state.DecidedUntil = max(now, state.DecidedUntil)
	state.RemovedAt = 0
}

// dueOccurrences are those that a decision is about, the earliest first.
type dueOccurrences struct {
	late      []calendar.Occurrence // by more than lateAfter
	onTime    []calendar.Occurrence
	skipped   []calendar.Occurrence // by the calendar
	until     Micros                // instant of the latest
	truncated bool                  // there are more: the latest is not known yet
}

func (d *dueOccurrences) isEmpty() bool {
	return len(d.late) == 0 && len(d.onTime) == 0 && len(d.skipped) == 0
}

// dueOccurrences finds what has fallen due since the last decision.
func (e *entry) dueOccurrences(now Micros) *dueOccurrences {
	found := &dueOccurrences{until: e.state.DecidedUntil}
	for range maxOccurrences {
		occurrence, exists := e.schedule.Next(time.UnixMicro(found.until))
		if !exists || e.dueAt(occurrence) > now {
			return found
		}
		found.until = instantOf(occurrence)
		switch {
		case occurrence.Skip != "":
			found.skipped = append(found.skipped, occurrence)
		case e.isLate(occurrence, now):
			found.late = append(found.late, occurrence)
		default:
			found.onTime = append(found.onTime, occurrence)
		}
	}
	found.truncated = true
	return found
}

func (e *entry) isLate(occurrence calendar.Occurrence, now Micros) bool {
	return now-e.dueAt(occurrence) > lateAfter
}

// submission applies the policies of a schedule to occurrences that are due.
type submission struct {
	entry    *entry
	now      Micros
	jobs     Jobs
	state    *State    // to be stored with the decision
	decision *Decision // gets the jobs
}

func (s *submission) miss(occurrence calendar.Occurrence, reason string) {
	s.state.recordMiss(s.entry.schedule, occurrence, reason)
}

// choose applies the policy for missed runs, records those that are given up, and
// returns what is to run, the earliest first.
func (s *submission) choose(due *dueOccurrences) []calendar.Occurrence {
	if s.state.Paused {
		for _, occurrence := range slices.Concat(due.late, due.onTime) {
			s.miss(occurrence, "paused")
		}
		return nil
	}
	schedule := s.entry.schedule
	var chosen []calendar.Occurrence
	firstKept := len(due.late) - s.keepLate(due)
	for i, occurrence := range due.late {
		lateness := time.Duration(s.now-s.entry.dueAt(occurrence)) * time.Microsecond
		switch {
		case schedule.Missed == calendar.MissedSkip:
			s.miss(occurrence, "it was not started in time, and missed runs are skipped")
		case lateness > schedule.LatestStart:
			s.miss(occurrence, fmt.Sprintf("%s late, more than latest_start_s", lateness.Round(time.Second)))
		case i < firstKept:
			s.miss(occurrence, "a later one runs instead")
		default:
			chosen = append(chosen, occurrence)
		}
	}
	return append(chosen, due.onTime...)
}

// keepLate is how many of the late occurrences, the latest ones, are to run.
func (s *submission) keepLate(due *dueOccurrences) int {
	schedule := s.entry.schedule
	switch schedule.Missed {
	case calendar.MissedRunOnce:
		if len(due.onTime) == 0 && !due.truncated {
			return 1
		}
	case calendar.MissedRunAll:
		return schedule.MissedBound
	}
	return 0
}

// submitAll submits occurrences until one has to wait. That one and those after it are
// left to the next decision.
func (s *submission) submitAll(occurrences []calendar.Occurrence) {
	for _, occurrence := range occurrences {
		if !s.submit(occurrence) {
			s.state.DecidedUntil = instantOf(occurrence) - 1
			return
		}
	}
}

// submit adds the job of an occurrence to the decision or records why it is missed. It
// returns false if the occurrence has to wait.
func (s *submission) submit(occurrence calendar.Occurrence) bool {
	schedule := s.entry.schedule
	lastJob := s.state.lastJob()
	overlaps := s.isRunning(lastJob)
	replaces := overlaps && schedule.Overlap == calendar.OverlapReplace
	if overlaps && schedule.Overlap == calendar.OverlapForbid {
		if s.entry.isLate(occurrence, s.now) && schedule.Missed == calendar.MissedRunAll {
			return false // late ones run one after the other
		}
		s.miss(occurrence, "the last run, "+lastJob+", has not ended")
		return true
	}
	if len(s.decision.Jobs) == maxJobs || (replaces && s.decision.Cancel != "") {
		return false
	}
	job := schedule.Job
	job.ID = s.entry.jobID(occurrence, s.entry.salt)
	if err := s.jobs.Admit(&job); err != nil {
		s.miss(occurrence, err.Error())
		return true
	}
	if replaces {
		s.decision.Cancel = lastJob
	}
	s.decision.Jobs = append(s.decision.Jobs, job)
	s.state.Submitted++
	s.state.record(schedule, wire.ScheduleRun{At: instantOf(occurrence), Status: wire.RunSubmitted, Job: job.ID, Decided: s.now})
	return true
}

// isRunning reports whether a job has not ended; one of this decision has not.
func (s *submission) isRunning(id string) bool {
	if id == "" {
		return false
	}
	if submitted := s.decision.Jobs; len(submitted) > 0 && submitted[len(submitted)-1].ID == id {
		return true
	}
	return s.jobs.Running(id)
}

// jobNumberBase is 10^18, the least number with nineteen digits. Jobs of schedules have one of the
// 10^18 numbers from it on.
const jobNumberBase = 1_000_000_000_000_000_000

// jobID is the ID of an occurrence's job: nineteen digits from the schedule's name and
// revision and the instant. A user may have chosen the same one, in which case the
// transaction finds it taken and the salt makes another.
func (e *entry) jobID(occurrence calendar.Occurrence, salt int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%d\x00%d", e.name, e.schedule.Revision, instantOf(occurrence), salt))
	return fmt.Sprintf("j-%d", jobNumberBase+binary.BigEndian.Uint64(sum[:])%jobNumberBase)
}
