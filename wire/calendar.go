package wire

// Paths of recurring jobs, beside the users' ones.
const (
	PathSchedules = "/v2/schedules"
	PauseVerb     = "pause"
	ResumeVerb    = "resume"
)

// What became of an occurrence of a schedule.
const (
	RunSubmitted = "submitted"
	RunMissed    = "missed"
	RunNoted     = "noted" // not an occurrence: the schedule was changed or removed
)

// ScheduleRun is an occurrence of a schedule, and what became of it. Times are
// microseconds since 1970, UTC.
type ScheduleRun struct {
	At      int64  `msgpack:"At" json:"at_us"`
	Status  string `msgpack:"Status" json:"status"`
	Job     string `msgpack:"Job,omitempty" json:"job,omitempty"`
	Decided int64  `msgpack:"Decided,omitempty" json:"decided_us,omitempty"`
	Reason  string `msgpack:"Reason,omitempty" json:"reason,omitempty"`
}

// Schedule is what a controller says of a recurring job: how it stands in the file
// that this controller has, and what is stored of it.
type Schedule struct {
	Name     string        `msgpack:"Name" json:"name"`
	Revision string        `msgpack:"Revision" json:"revision"`
	Zone     string        `msgpack:"Zone,omitempty" json:"zone,omitempty"`
	Paused   bool          `msgpack:"Paused" json:"paused"`
	Gone     bool          `msgpack:"Gone" json:"gone"` // in no file any more
	Next     int64         `msgpack:"Next,omitempty" json:"next_us,omitempty"`
	Ran      uint64        `msgpack:"Ran" json:"ran"`
	Missed   uint64        `msgpack:"Missed" json:"missed"`
	Skipped  uint64        `msgpack:"Skipped" json:"skipped"`
	Runs     []ScheduleRun `msgpack:"Runs,omitempty" json:"runs,omitempty"`
}

// Schedules answers a request for all of them; More says that the answer's limit left
// some out, to be asked for after the last name.
type Schedules struct {
	Schedules []Schedule `msgpack:"Schedules" json:"schedules"`
	More      bool       `msgpack:"More" json:"more"`
}
