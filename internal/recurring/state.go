package recurring

import (
	"dalefront/internal/calendar"
	"dalefront/wire"
)

// State is what is stored of a schedule.
type State struct {
	Revision     string             `msgpack:"V"` // of the definition that it is of
	DecidedUntil Micros             `msgpack:"U"` // occurrences up to this instant are decided
	Paused       bool               `msgpack:"P"`
	RemovedAt    Micros             `msgpack:"G"` // since when no file has it; 0: one has
	Runs         []wire.ScheduleRun `msgpack:"R"` // the latest, the newest last
	Submitted    uint64             `msgpack:"N"` // occurrences that were submitted
	Missed       uint64             `msgpack:"M"` // occurrences that were missed
	Skipped      uint64             `msgpack:"S"` // occurrences that the calendar skipped
}

// defaultKeepRuns is the length of the history of a schedule that no file has any more.
const defaultKeepRuns = 20

// record adds a run to the history, which has the length that the schedule sets; nil is a schedule
// that no file has.
func (s *State) record(schedule *calendar.Schedule, run wire.ScheduleRun) {
	keep := defaultKeepRuns
	if schedule != nil {
		keep = schedule.KeepRuns
	}
	s.Runs = append(s.Runs, run)
	s.Runs = s.Runs[max(0, len(s.Runs)-keep):]
}

// recordMiss counts an occurrence that is not run, and adds it to the history.
func (s *State) recordMiss(schedule *calendar.Schedule, occurrence calendar.Occurrence, reason string) {
	s.Missed++
	s.record(schedule, wire.ScheduleRun{At: instantOf(occurrence), Status: wire.RunMissed, Reason: reason})
}

// lastJob is the ID of the latest job that was submitted, or "" if the history has none.
func (s *State) lastJob() string {
	for i := len(s.Runs) - 1; i >= 0; i-- {
		if s.Runs[i].Job != "" {
			return s.Runs[i].Job
		}
	}
	return ""
}
