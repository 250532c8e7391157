package controller

import (
	"context"
	"errors"
	"strings"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

const (
	// queueWatchTimeout is the time for which the key-value store holds a watch of the queue open.
	queueWatchTimeout = 5 * time.Second
	// queueWatchRetryPause is the pause after a watch that failed.
	queueWatchRetryPause = 200 * time.Millisecond
	// queueWatchRequestDivisor limits the rate at which the watch is reopened, to the key-value store's
	// request rate divided by queueWatchRequestDivisor.
	queueWatchRequestDivisor = 8
)

// queueWatch watches the queue in the key-value store, which consists of job records and end records. It
// passes accepted jobs and ends of jobs to the core.
type queueWatch struct {
	leadership *leadership
	revision   uint64 // revision up to which all changes have been passed to the core
}

// run watches the queue until the context is cancelled.
func (w *queueWatch) run(ctx context.Context) {
	c := w.leadership.controller
	// Opening a watch costs one request. Without a minimum interval, every change in a burst of small
	// jobs would cost a request.
	minInterval := seconds(queueWatchRequestDivisor / max(c.settings.Deployment.State.RPS, 1))
	for ctx.Err() == nil {
		events, err := c.store.Watch(ctx, queuePrefix, w.revision, queueWatchTimeout)
		if errors.Is(err, kvstore.ErrCompacted) {
			w.resync(ctx)
		}
		if err != nil {
			sleepContext(ctx, queueWatchRetryPause)
			continue
		}
		w.revision = max(w.revision, events.Revision)
		if len(events.Events) > 0 {
			next := time.Now().Add(minInterval)
			w.leadership.post(func() { w.apply(events.Events) })
			sleepContext(ctx, time.Until(next))
		}
	}
}

// resync reads the whole queue again after the store has compacted changes that the watch has not
// delivered yet.
func (w *queueWatch) resync(ctx context.Context) {
	c := w.leadership.controller
	jobs, revision, err := c.store.List(ctx, jobPrefix)
	if err != nil {
		return
	}
	ends, err := c.readEnds(ctx, jobs)
	if err != nil {
		return
	}
	w.leadership.post(func() {
		for _, entry := range append(jobs, ends...) {
			w.applyChange(entry.Key, entry.Value)
		}
	})
	w.revision = revision
}

// apply applies changes of the queue and requests a scheduling pass. It must be called on the owner
// goroutine.
func (w *queueWatch) apply(events []wire.Event) {
	for _, event := range events {
		w.applyChange(event.Put, event.Value)
	}
	w.leadership.controller.owner.requestPass()
}

// applyChange applies the new value of a key of the queue. It must be called on the owner goroutine.
func (w *queueWatch) applyChange(key string, value []byte) {
	if id, isJob := strings.CutPrefix(key, jobPrefix); isJob {
		w.leadership.jobAccepted(id, value)
	} else if id, isEnd := strings.CutPrefix(key, endPrefix); isEnd {
		w.leadership.jobEnded(id, value)
	}
}

// jobAccepted adds a stored job to the core. It ignores a job whose final status is cached. Either the record
// of such a job has been deleted, or the core already has the job. jobAccepted must be called on the owner
// goroutine.
func (l *leadership) jobAccepted(id string, value []byte) {
	c := l.controller
	var record jobRecord
	if wire.Unmarshal(value, &record) != nil {
		return
	}
	if _, ended := c.statuses.final(id); !ended {
		c.statuses.addAccepted(id)
		l.core.AddJob(record.Job, record.SubmittedAt, c.now())
	}
}

// jobEnded passes the stored end of a job to the core. It must be called on the owner goroutine.
func (l *leadership) jobEnded(id string, value []byte) {
	if end, err := l.controller.decodeEnd(id, value); err == nil {
		l.core.JobEnded(id, end.Status, l.controller.now())
	}
}
