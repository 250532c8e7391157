package controller

import (
	"fmt"
	"time"

	"dalefront/wire"
)

// Keys and key prefixes in the key-value store. A job's record is stored under jobKey until the job has ended
// and none of its tasks runs any more. The job's end record is stored under endKey and stays there unless it
// is moved to the archive.
const (
	termKey        = "term"
	catalogKey     = "catalog"
	statisticsKey  = "learned"
	queuePrefix    = "q/" // common prefix of job records and end records, which the leader watches
	jobPrefix      = "q/a/"
	endPrefix      = "q/e/"
	progressPrefix = "p/"
	ledgerPrefix   = "l/"
	scaleOutPrefix = "h/"
	schedulePrefix = "s/"
)

func jobKey(id string) string        { return jobPrefix + id }
func endKey(id string) string        { return endPrefix + id }
func scheduleKey(name string) string { return schedulePrefix + name }

// progressKey returns the key of a chunk of a job's progress.
func progressKey(id string, chunk int) string {
	return fmt.Sprintf("%s%s/%d", progressPrefix, id, chunk)
}

// jobRecord is a job as stored under its jobKey.
type jobRecord struct {
	Job         wire.Job `msgpack:"J"`
	SubmittedAt int64    `msgpack:"A"` // wall-clock time in microseconds
}

// endRecord is the end of a job as stored under its endKey. The first controller that stores the job's end
// creates the record. The record never changes afterwards.
type endRecord struct {
	Status    string `msgpack:"S"`
	EndedAt   int64  `msgpack:"A"` // wall-clock time in microseconds
	TasksDone int    `msgpack:"D"`
	// HiddenUntilDeleted means that users see this end only after the job's record is deleted. End records
	// stored by earlier versions lack this field, and users may already have seen these ends.
	HiddenUntilDeleted bool `msgpack:"U,omitempty"`
}

// status returns the job's final status, which users see once the end is no longer hidden.
func (e *endRecord) status(id string) wire.JobStatus {
	return wire.JobStatus{ID: id, Status: e.Status, Done: e.TasksDone}
}

// endFromStatus returns the end record that corresponds to a final status.
func endFromStatus(status wire.JobStatus) endRecord {
	return endRecord{Status: status.Status, TasksDone: status.Done}
}

// conditionsPerOperation is the key-value store's limit on the conditions of a transaction, as a
// multiple of its limit on the changes of a transaction.
const conditionsPerOperation = 4

// storeReachableWithin is the maximum age of the key-value store's last response for the store to count
// as reachable.
const storeReachableWithin = 3 * time.Second

// queuedStatus returns the status of a job that is not known to have any running task.
func queuedStatus(id string) wire.JobStatus {
	return wire.JobStatus{ID: id, Status: wire.JobQueued}
}
