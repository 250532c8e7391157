package recurring

import (
	"dalefront/internal/calendar"
	"dalefront/wire"
)

// State is the stored state of a schedule.
type State struct {
	Revision     string             `msgpack:"V"` // revision of the definition that the state belongs to
	DecidedUntil Micros             `msgpack:"U"` // instant up to which, inclusive, all occurrences have been decided
	Paused       bool               `msgpack:"P"`
	RemovedAt    Micros             `msgpack:"G"` // time at which the schedule was found to be removed; 0 if it is defined
	Runs         []wire.ScheduleRun `msgpack:"R"` // the latest runs, misses and changes of the schedule; newest last
	Submitted    uint64             `msgpack:"N"` // number of submitted occurrences
	Missed       uint64             `msgpack:"M"` // number of missed occurrences
	Skipped      uint64             `msgpack:"S"` // number of occurrences that the calendar excluded
}

// defaultKeepRuns is the maximum number of runs in the history of a removed schedule.
const defaultKeepRuns = 20

// record appends a run to the history and drops the oldest runs beyond the schedule's limit. A nil schedule
// means a removed schedule, whose limit is defaultKeepRuns.
func (s *State) record(schedule *calendar.Schedule, run wire.ScheduleRun) {
	keep := defaultKeepRuns
	if schedule != nil {
		keep = schedule.KeepRuns
	}
	s.Runs = append(s.Runs, run)
	s.Runs = s.Runs[max(0, len(s.Runs)-keep):]
}

// recordMiss counts an occurrence as missed, and adds the miss and its reason to the history.
func (s *State) recordMiss(schedule *calendar.Schedule, occurrence calendar.Occurrence, reason string) {
	s.Missed++
	s.record(schedule, wire.ScheduleRun{At: instantOf(occurrence), Status: wire.RunMissed, Reason: reason})
}

// lastJob returns the ID of the latest submitted job, or "" if the history has no submitted job.
func (s *State) lastJob() string {
	for i := len(s.Runs) - 1; i >= 0; i-- {
		if s.Runs[i].Job != "" {
			return s.Runs[i].Job
		}
	}
	return ""
}
