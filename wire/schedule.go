package wire

// Paths of recurring jobs, beside the users' ones.
const (
	PathSchedules = "/v2/schedules"
	PauseAction   = "pause"
	ResumeAction  = "resume"
)

// What became of an occurrence of a schedule.
const (
	RunSubmitted = "submitted"
	RunMissed    = "missed"
	RunNoted     = "noted" // not an occurrence: the schedule was changed or removed
)

// ScheduleRun is an occurrence of a schedule, and what became of it.
type ScheduleRun struct {
	At      int64  `msgpack:"At" json:"at_us"` // microseconds since 1970, UTC
	Status  string `msgpack:"Status" json:"status"`
	Job     string `msgpack:"Job,omitempty" json:"job,omitempty"`            // ID of the job that was submitted
	Decided int64  `msgpack:"Decided,omitempty" json:"decided_us,omitempty"` // when it was submitted, microseconds since 1970, UTC
	Reason  string `msgpack:"Reason,omitempty" json:"reason,omitempty"`      // of what was not submitted
}

// Schedule is a controller's answer about a recurring job: its definition in the file that this
// controller has, and its stored state.
type Schedule struct {
	Name     string        `msgpack:"Name" json:"name"`
	Revision string        `msgpack:"Revision" json:"revision"`             // changes with the definition
	Zone     string        `msgpack:"Zone,omitempty" json:"zone,omitempty"` // IANA time zone
	Paused   bool          `msgpack:"Paused" json:"paused"`
	Gone     bool          `msgpack:"Gone" json:"gone"`                        // in no file any more
	Next     int64         `msgpack:"Next,omitempty" json:"next_us,omitempty"` // microseconds since 1970, UTC; 0: none
	Ran      uint64        `msgpack:"Ran" json:"ran"`                          // occurrences submitted so far
	Missed   uint64        `msgpack:"Missed" json:"missed"`                    // occurrences missed so far
	Skipped  uint64        `msgpack:"Skipped" json:"skipped"`                  // occurrences left out by the calendar so far
	Runs     []ScheduleRun `msgpack:"Runs,omitempty" json:"runs,omitempty"`    // the latest, the newest last
}

// Schedules is a page of schedules in the order of their names.
type Schedules struct {
	Schedules []Schedule `msgpack:"Schedules" json:"schedules"`
	More      bool       `msgpack:"More" json:"more"` // there are more after the last name
}
