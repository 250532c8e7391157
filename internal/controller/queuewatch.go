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
	// queueWatchHold is how long one request for changes of the queue is held open.
	queueWatchHold = 5 * time.Second
	// queueWatchRetry is the pause after one that failed.
	queueWatchRetry = 200 * time.Millisecond
	// queueWatchShare: watching takes one in so many of the requests that the key-value store takes.
	queueWatchShare = 8
)

// queueWatch brings jobs that are accepted and jobs that have ended to the core.
type queueWatch struct {
	leadership *leadership
	revision   uint64 // up to which all changes were brought
}

// run watches until the context ends.
func (w *queueWatch) run(ctx context.Context) {
	c := w.leadership.controller
	// Each opening of the watch is a request: in a flood of small jobs every change
	// would cost one.
	pace := seconds(queueWatchShare / max(c.settings.Deployment.State.RPS, 1))
	for ctx.Err() == nil {
		events, err := c.store.Watch(ctx, queuePrefix, w.revision, queueWatchHold)
		if errors.Is(err, kvstore.ErrCompacted) {
			w.resync(ctx)
		}
		if err != nil {
			sleepContext(ctx, queueWatchRetry)
			continue
		}
		w.revision = max(w.revision, events.Revision)
		if len(events.Events) > 0 {
			next := time.Now().Add(pace)
			w.leadership.post(func() { w.apply(events.Events) })
			sleepContext(ctx, time.Until(next))
		}
	}
}

// resync reads the queue again after the watch lagged too far.
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

// apply applies changes of the queue. Owner goroutine.
func (w *queueWatch) apply(events []wire.Event) {
	for _, event := range events {
		w.applyChange(event.Put, event.Value)
	}
	w.leadership.controller.owner.requestPass()
}

// applyChange applies one changed key. Owner goroutine.
func (w *queueWatch) applyChange(key string, value []byte) {
	if id, isJob := strings.CutPrefix(key, jobPrefix); isJob {
		w.leadership.jobAccepted(id, value)
	} else if id, isEnd := strings.CutPrefix(key, endPrefix); isEnd {
		w.leadership.jobEnded(id, value)
	}
}

// jobAccepted hands a stored job to the core, unless its end is known: then its record is gone, or
// the core knows it. Owner goroutine.
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

// jobEnded hands a stored end to the core. Owner goroutine.
func (l *leadership) jobEnded(id string, value []byte) {
	if end, err := l.controller.decodeEnd(id, value); err == nil {
		l.core.JobEnded(id, end.Status, l.controller.now())
	}
}
