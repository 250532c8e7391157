package wire

// PathJobList lists the jobs that are not over, beside the users' paths.
const PathJobList = "/v2/jobs"

// JobSummary is a job in a list.
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

// JobList is a page of jobs in the order of their IDs. A page may be empty although there are
// more, since jobs that the filter does not match are left out.
type JobList struct {
	Jobs  []JobSummary `msgpack:"Jobs" json:"jobs"`
	More  bool         `msgpack:"More" json:"more"`
	After string       `msgpack:"After,omitempty" json:"after,omitempty"` // with More: the ID after which the list continues
}

// JobFilter selects jobs; empty fields match all.
type JobFilter struct{ Class, Team, Status string }

// Matches reports whether a job is selected.
func (f JobFilter) Matches(job *JobSummary) bool {
	return (f.Class == "" || f.Class == job.Class) &&
		(f.Team == "" || f.Team == job.Team) &&
		(f.Status == "" || f.Status == job.Status)
}
