package wire

// PathJobList is the path of the list of jobs that have not ended. It is an addition to the users' protocol.
const PathJobList = "/v2/jobs"

// JobSummary is an entry of a JobList.
type JobSummary struct {
	ID        string `msgpack:"Id" json:"id"`
	Class     string `msgpack:"Jobclass" json:"class"`
	Team      string `msgpack:"Owner" json:"team"`
	Shape     string `msgpack:"Shape" json:"shape"`
	Priority  string `msgpack:"Urgency" json:"priority"`
	Tasks     int    `msgpack:"Pieces" json:"tasks"`
	Status    string `msgpack:"Status" json:"status"`
	Done      int    `msgpack:"done" json:"done"`              // completed tasks
	Running   int    `msgpack:"running" json:"running"`        // running tasks
	Submitted int64  `msgpack:"Submitted" json:"submitted_us"` // microseconds since 1970, UTC
}

// JobList is a page of jobs, ordered by ID. Jobs that don't match the filter are left out, so a page may
// be empty although there are more pages.
type JobList struct {
	Jobs  []JobSummary `msgpack:"Jobs" json:"jobs"`
	More  bool         `msgpack:"More" json:"more"`
	After string       `msgpack:"After,omitempty" json:"after,omitempty"` // ID after which the next page starts; only set if More is true
}

// JobFilter selects jobs. An empty field matches all jobs.
type JobFilter struct{ Class, Team, Status string }

// Matches reports whether the filter selects a job.
func (f JobFilter) Matches(job *JobSummary) bool {
	return (f.Class == "" || f.Class == job.Class) &&
		(f.Team == "" || f.Team == job.Team) &&
		(f.Status == "" || f.Status == job.Status)
}
