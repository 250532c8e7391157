package wire

// Paths of recurring jobs, which are an addition to the users' protocol.
const (
	PathSchedules = "/v2/schedules"
	PauseAction   = "pause"
	ResumeAction  = "resume"
)

// Statuses of a ScheduleRun.
const (
	RunSubmitted       = "submitted"
	RunMissed          = "missed"
	RunScheduleChanged = "noted" // an entry for a change or removal of the schedule, not for an occurrence
)

// ScheduleRun is an occurrence of a schedule with its outcome.
type ScheduleRun struct {
	At      int64  `msgpack:"At" json:"at_us"` // microseconds since 1970, UTC
	Status  string `msgpack:"Status" json:"status"`
	Job     string `msgpack:"Job,omitempty" json:"job,omitempty"`            // ID of the job that was submitted
	Decided int64  `msgpack:"Decided,omitempty" json:"decided_us,omitempty"` // when the job was submitted, microseconds since 1970, UTC
	Reason  string `msgpack:"Reason,omitempty" json:"reason,omitempty"`      // why no job was submitted
}

// Schedule describes a recurring job. It combines the stored state with the definition in the calendar
// file of the controller that sends the response.
type Schedule struct {
	Name     string        `msgpack:"Name" json:"name"`
	Revision string        `msgpack:"Revision" json:"revision"`             // changes with the definition
	Zone     string        `msgpack:"Zone,omitempty" json:"zone,omitempty"` // IANA time zone
	Paused   bool          `msgpack:"Paused" json:"paused"`
	Gone     bool          `msgpack:"Gone" json:"gone"`                        // the calendar file no longer defines the schedule
	Next     int64         `msgpack:"Next,omitempty" json:"next_us,omitempty"` // next occurrence, microseconds since 1970, UTC; 0: no occurrence
	Ran      uint64        `msgpack:"Ran" json:"ran"`                          // occurrences submitted so far
	Missed   uint64        `msgpack:"Missed" json:"missed"`                    // occurrences missed so far
	Skipped  uint64        `msgpack:"Skipped" json:"skipped"`                  // occurrences skipped by rules of the calendar so far
	Runs     []ScheduleRun `msgpack:"Runs,omitempty" json:"runs,omitempty"`    // latest runs, the newest last
}

// Schedules is a page of schedules, ordered by name.
type Schedules struct {
	Schedules []Schedule `msgpack:"Schedules" json:"schedules"`
	More      bool       `msgpack:"More" json:"more"` // whether there are schedules after the last schedule of this page
}
