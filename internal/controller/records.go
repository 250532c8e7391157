package controller

import (
	"fmt"
	"time"

	"dalefront/wire"
)

// Keys of the key-value store. A job's record lives under jobKey until the job has ended and none of
// its tasks runs any more; its end stays for good, or until the archive answers for it.
const (
	termKey        = "term"
	catalogKey     = "catalog"
	statisticsKey  = "learned"
	queuePrefix    = "q/" // of jobs and ends, for the leader's watch
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

// progressKey is the key of one chunk of a job's progress.
func progressKey(id string, chunk int) string {
	return fmt.Sprintf("%s%s/%d", progressPrefix, id, chunk)
}

// jobRecord is a stored job.
type jobRecord struct {
	Job         wire.Job `msgpack:"J"`
	SubmittedAt int64    `msgpack:"A"` // microseconds, time of day
}

// endRecord is a job's end: whoever is first creates it, and it never changes.
type endRecord struct {
	Status    string `msgpack:"S"`
	EndedAt   int64  `msgpack:"A"` // microseconds, time of day
	TasksDone int    `msgpack:"D"`
	// HiddenUntilDeleted means that no user learns of this end before the job's record is deleted.
	// Ends of earlier versions lack it: their users may know already.
	HiddenUntilDeleted bool `msgpack:"U,omitempty"`
}

// status is the job's final status, once users may see it.
func (e *endRecord) status(id string) wire.JobStatus {
	return wire.JobStatus{ID: id, Status: e.Status, Done: e.TasksDone}
}

// endFromStatus makes an end of a final status.
func endFromStatus(status wire.JobStatus) endRecord {
	return endRecord{Status: status.Status, TasksDone: status.Done}
}

// conditionsPerOperation is how many conditions a transaction may have for each change that it may
// have: the key-value store's limit.
const conditionsPerOperation = 4

// storeReachableWithin is how recent the store's last answer must be for it to count as reachable.
const storeReachableWithin = 3 * time.Second

// queuedStatus is the status of a job of which nothing runs as far as known.
func queuedStatus(id string) wire.JobStatus {
	return wire.JobStatus{ID: id, Status: wire.JobQueued}
}
