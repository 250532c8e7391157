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

// Decision holds the changes to one schedule that are to be stored in one transaction. The transaction has
// three conditions: the version of the schedule's stored state has not changed, none of the jobs exists, and
// the job to be cancelled has not ended.
type Decision struct {
	Name    string
	Version uint64     // version of the stored state that the decision is based on; 0 if no state is stored
	State   *State     // state to be stored; nil deletes the stored state
	Jobs    []wire.Job // jobs to be submitted
	Cancel  string     // ID of a job to be cancelled; empty if no job is to be cancelled
}

const (
	// lateAfter is the time from the due time of an undecided occurrence until the occurrence counts as late.
	lateAfter = 30 * second
	// maxOccurrences is the maximum number of occurrences that one decision covers.
	maxOccurrences = 5000
	// maxJobs is the maximum number of jobs that one decision submits.
	maxJobs = 3
	// overlapRetryDelay is the time between two checks of a schedule whose next run waits for the previous
	// run to end.
	overlapRetryDelay = 5 * second
)

// decide returns the decision that is due now. If nothing is to be stored, decide returns nil and the time at
// which it should be called again.
func (e *scheduleEntry) decide(now Micros, jobs Jobs) (decision *Decision, retryAt Micros) {
	state := e.state
	state.Runs = append([]wire.ScheduleRun{}, state.Runs...) // never nil, because nil has another stored encoding
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
	state.DecidedUntil = due.latest
	submission := submission{entry: e, now: now, jobs: jobs, state: &state, decision: decision}
	submission.submitAll(submission.selectRuns(due))
	if len(decision.Jobs) == 0 && state.DecidedUntil <= e.state.DecidedUntil {
		return nil, now + overlapRetryDelay // the first due occurrence waits for the last run to end
	}
	for _, occurrence := range due.skipped {
		if instantOf(occurrence) <= state.DecidedUntil { // later occurrences belong to the next decision
			state.Skipped++
		}
	}
	return decision, 0
}

// decideRemoval handles a schedule that the calendar file no longer defines. The first call marks the
// schedule's state as removed. The next call is made when the retention time has passed, and deletes the
// state.
func decideRemoval(decision *Decision, now Micros) {
	if decision.State.RemovedAt > 0 {
		decision.State = nil
		return
	}
	decision.State.RemovedAt = now
	decision.State.record(nil, wire.ScheduleRun{At: now, Status: wire.RunScheduleChanged, Reason: "the schedule was removed; nothing of it runs any more"})
}

// decideRedefinition continues a changed schedule with the occurrences later than now. Earlier occurrences
// since the last decision are not run. The occurrences of the old definition can no longer be determined,
// and users would not expect runs of the new definition for the time before the change.
func (e *scheduleEntry) decideRedefinition(state *State, now Micros) {
	since := time.UnixMicro(state.DecidedUntil).UTC().Format(time.RFC3339)
	state.record(e.schedule, wire.ScheduleRun{At: now, Status: wire.RunScheduleChanged,
		Reason: fmt.Sprintf("the schedule was changed; nothing is run for the time since %s", since)})
	state.Revision = e.schedule.Revision
	state.DecidedUntil = max(now, state.DecidedUntil)
	state.RemovedAt = 0
}

// dueOccurrences holds the occurrences that one decision covers. Each slice is sorted by time, earliest first.
type dueOccurrences struct {
	late      []calendar.Occurrence // due more than lateAfter ago
	onTime    []calendar.Occurrence // due at most lateAfter ago
	skipped   []calendar.Occurrence // excluded by the calendar
	latest    Micros                // instant of the latest occurrence
	truncated bool                  // maxOccurrences was reached, so further occurrences may be due
}

func (d *dueOccurrences) isEmpty() bool {
	return len(d.late) == 0 && len(d.onTime) == 0 && len(d.skipped) == 0
}

// dueOccurrences returns the occurrences that have become due since the last decision, up to maxOccurrences.
func (e *scheduleEntry) dueOccurrences(now Micros) *dueOccurrences {
	found := &dueOccurrences{latest: e.state.DecidedUntil}
	for range maxOccurrences {
		occurrence, exists := e.schedule.Next(time.UnixMicro(found.latest))
		if !exists || e.dueAt(occurrence) > now {
			return found
		}
		found.latest = instantOf(occurrence)
		switch {
		case occurrence.SkipReason != "":
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

// isLate reports whether an occurrence was due more than lateAfter ago.
func (e *scheduleEntry) isLate(occurrence calendar.Occurrence, now Micros) bool {
	return now-e.dueAt(occurrence) > lateAfter
}

// submission applies a schedule's policies for missed and overlapping runs to the schedule's due occurrences.
type submission struct {
	entry    *scheduleEntry
	now      Micros
	jobs     Jobs
	state    *State    // the state that the decision stores
	decision *Decision // the decision to which the jobs are added
}

func (s *submission) recordMiss(occurrence calendar.Occurrence, reason string) {
	s.state.recordMiss(s.entry.schedule, occurrence, reason)
}

// selectRuns applies the policy for missed runs. It returns the occurrences that are to run, earliest first,
// and records the other late and on-time occurrences as missed.
func (s *submission) selectRuns(due *dueOccurrences) []calendar.Occurrence {
	if s.state.Paused {
		for _, occurrence := range slices.Concat(due.late, due.onTime) {
			s.recordMiss(occurrence, "paused")
		}
		return nil
	}
	schedule := s.entry.schedule
	var chosen []calendar.Occurrence
	firstKept := len(due.late) - s.lateRunCount(due)
	for i, occurrence := range due.late {
		lateness := time.Duration(s.now-s.entry.dueAt(occurrence)) * time.Microsecond
		switch {
		case schedule.Missed == calendar.MissedSkip:
			s.recordMiss(occurrence, "it was not started in time, and missed runs are skipped")
		case lateness > schedule.MaxStartDelay:
			s.recordMiss(occurrence, fmt.Sprintf("%s late, more than latest_start_s", lateness.Round(time.Second)))
		case i < firstKept:
			s.recordMiss(occurrence, "a later one runs instead")
		default:
			chosen = append(chosen, occurrence)
		}
	}
	return append(chosen, due.onTime...)
}

// lateRunCount returns the maximum number of late occurrences that are to run. If there are more late
// occurrences, only the latest of them run.
func (s *submission) lateRunCount(due *dueOccurrences) int {
	schedule := s.entry.schedule
	switch schedule.Missed {
	case calendar.MissedRunOnce:
		if len(due.onTime) == 0 && !due.truncated {
			return 1
		}
	case calendar.MissedRunAll:
		return schedule.MaxMissedRuns
	}
	return 0
}

// submitAll submits occurrences in order until an occurrence has to wait. The waiting occurrence and all later
// occurrences are left to the next decision.
func (s *submission) submitAll(occurrences []calendar.Occurrence) {
	for _, occurrence := range occurrences {
		if !s.submit(occurrence) {
			s.state.DecidedUntil = instantOf(occurrence) - 1
			return
		}
	}
}

// submit adds the job of an occurrence to the decision or records the occurrence as missed, with the reason.
// It returns false if the occurrence has to wait.
func (s *submission) submit(occurrence calendar.Occurrence) bool {
	schedule := s.entry.schedule
	lastJob := s.state.lastJob()
	overlaps := s.isRunning(lastJob)
	replaces := overlaps && schedule.Overlap == calendar.OverlapReplace
	if overlaps && schedule.Overlap == calendar.OverlapForbid {
		if s.entry.isLate(occurrence, s.now) && schedule.Missed == calendar.MissedRunAll {
			return false // late runs are started one after the other
		}
		s.recordMiss(occurrence, "the last run, "+lastJob+", has not ended")
		return true
	}
	if len(s.decision.Jobs) == maxJobs || (replaces && s.decision.Cancel != "") {
		return false
	}
	job := schedule.Job
	job.ID = s.entry.jobID(occurrence, s.entry.salt)
	if err := s.jobs.Admit(&job); err != nil {
		s.recordMiss(occurrence, err.Error())
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

// isRunning reports whether a job has not ended. The latest job that this decision submits counts as running.
func (s *submission) isRunning(id string) bool {
	if id == "" {
		return false
	}
	if submitted := s.decision.Jobs; len(submitted) > 0 && submitted[len(submitted)-1].ID == id {
		return true
	}
	return s.jobs.Running(id)
}

// jobNumberBase is 10^18, the smallest number with nineteen digits. The IDs of schedules' jobs use the 10^18
// numbers from jobNumberBase on.
const jobNumberBase = 1_000_000_000_000_000_000

// jobID returns the ID of an occurrence's job. Its number has nineteen digits and is derived from a hash of
// the schedule's name, its revision, the occurrence's instant and the salt. If a user's job already has this
// ID, the transaction fails and the next attempt uses another salt.
func (e *scheduleEntry) jobID(occurrence calendar.Occurrence, salt int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%d\x00%d", e.name, e.schedule.Revision, instantOf(occurrence), salt))
	return fmt.Sprintf("j-%d", jobNumberBase+binary.BigEndian.Uint64(sum[:])%jobNumberBase)
}
