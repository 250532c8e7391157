package wire

import (
	"strconv"
	"strings"
)

// Shapes of jobs.
const (
	Array   = "sweep"    // independent tasks that run to completion
	Gang    = "ensemble" // tasks that run all at the same time or not at all
	Service = "service"  // replicas that run until the job is cancelled
)

// Priorities of jobs, the highest first.
const (
	Production = "production"
	High       = "urgent"
	Normal     = "normal"
	Low        = "low"
)

// States of jobs as users see them.
const (
	JobQueued    = "queued"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "aborted"
)

// Job is the submission of a job. Resources are per task.
type Job struct {
	ID                  string   `msgpack:"Id"`             // "j-" and up to 32 digits, see ValidID
	Class               string   `msgpack:"Jobclass"`       // job class, which has its own service-level objectives
	Team                string   `msgpack:"Owner"`          // team whose quota applies
	Shape               string   `msgpack:"Shape"`          // Array, Gang or Service
	Priority            string   `msgpack:"Urgency"`        // Production, High, Normal or Low
	Tasks               int      `msgpack:"Pieces"`         // number of tasks, numbered from 0
	CPUs                float64  `msgpack:"Cores"`          // processor cores of a task
	GPUs                float64  `msgpack:"Gpus"`           // accelerators of a task
	MemoryGB            float64  `msgpack:"RamGb"`          // memory of a task, in gigabytes
	Image               string   `msgpack:"Bundle"`         // image that a machine must have before a task starts
	ImageGB             float64  `msgpack:"SizeGb"`         // size of the image, in gigabytes
	Types               []string `msgpack:"Builds"`         // allowed machine types; nil: any
	Zone                *string  `msgpack:"District"`       // the only allowed zone; nil: any
	OneZone             bool     `msgpack:"SamePlace"`      // all tasks must run in the same zone
	Spread              bool     `msgpack:"Spread"`         // at most half of the tasks, rounded up, in one zone
	Spot                bool     `msgpack:"Loaners"`        // spot machines are allowed
	EstimateS           float64  `msgpack:"ExpectedS"`      // estimated duration of a task's run, in seconds; 0 for services
	CheckpointIntervalS float64  `msgpack:"SnapshotEveryS"` // seconds of progress between checkpoints; 0: no checkpoints
	CheckpointDurationS float64  `msgpack:"SnapshotS"`      // seconds that it takes to save a checkpoint when a task is stopped
	DeadlineS           *float64 `msgpack:"DueS"`           // seconds from submission to completion; nil: no deadline
}

// JobStatus is the response to submissions, queries and cancellations.
type JobStatus struct {
	ID      string `msgpack:"Id"`
	Status  string `msgpack:"Status"`  // JobQueued, JobRunning, JobDone or JobCancelled
	Done    int    `msgpack:"done"`    // completed tasks
	Running int    `msgpack:"running"` // running tasks
}

// Final reports whether a job with the given status has ended. A final status never changes again.
func Final(status string) bool { return status == JobDone || status == JobCancelled }

const (
	idPrefix    = "j-"
	maxIDDigits = 32
)

// ValidID reports whether a job ID has the protocol's form.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, idPrefix)
	if !ok || len(digits) < 1 || len(digits) > maxIDDigits {
		return false
	}
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return true
}

// TaskName returns the name of a job's task, such as "j-12/3".
func TaskName(jobID string, task int32) string {
	return jobID + "/" + strconv.Itoa(int(task))
}

// ParseTask splits a task name into the job's ID and the number of the task. ok reports whether the name
// has the form that TaskName returns.
func ParseTask(name string) (jobID string, task int32, ok bool) {
	jobID, digits, found := strings.Cut(name, "/")
	if !found || !ValidID(jobID) {
		return "", 0, false
	}
	number, err := strconv.ParseInt(digits, 10, 32)
	if err != nil || number < 0 {
		return "", 0, false
	}
	return jobID, int32(number), true
}
