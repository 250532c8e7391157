package controller

import (
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
	// queueWatchShare: watching takes one in so many of the requests that the state service takes.
	queueWatchShare = 8
)

// watchQueue brings accepted and ended jobs to the core, until the leadership ends.
func (l *leadership) watchQueue() {
	c := l.controller
	from := l.revision
	// Each opening of the watch is a request: in a flood of small jobs every change
	// would cost one.
	pace := time.Duration(queueWatchShare / max(c.settings.Deployment.State.RPS, 1) * float64(time.Second))
	for l.ctx.Err() == nil {
		events, err := c.store.Watch(l.ctx, queuePrefix, from, queueWatchHold)
		if errors.Is(err, kvstore.ErrCompacted) {
			if revision, ok := l.resyncQueue(); ok {
				from = revision
			}
		}
		if err != nil {
			sleepContext(l.ctx, queueWatchRetry)
			continue
		}
		from = max(from, events.Revision)
		next := time.Now()
		if len(events.Events) > 0 {
			next = next.Add(pace)
			l.post(func() { l.applyChanges(events.Events) })
		}
		time.Sleep(time.Until(next))
	}
}

// applyChanges applies changed keys of the queue. Owner goroutine.
func (l *leadership) applyChanges(events []wire.Event) {
	for _, event := range events {
		l.applyChange(event.Put, event.Value)
	}
	l.controller.owner.requestPass()
}

// applyChange applies one changed key of the queue. Owner goroutine.
func (l *leadership) applyChange(key string, value []byte) {
	if id, isJob := strings.CutPrefix(key, jobPrefix); isJob {
		l.jobAccepted(id, value)
	} else if id, isEnd := strings.CutPrefix(key, endPrefix); isEnd {
		l.jobEnded(id, value)
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
	if _, over := c.statuses.final(id); !over {
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

// resyncQueue reads the queue again after the watch fell too far behind, and returns the revision
// from which it misses nothing.
func (l *leadership) resyncQueue() (uint64, bool) {
	c := l.controller
	jobs, revision, err := c.store.List(l.ctx, jobPrefix)
	if err != nil {
		return 0, false
	}
	ends, err := c.readEnds(l.ctx, jobs)
	if err != nil {
		return 0, false
	}
	l.post(func() {
		for _, entry := range append(jobs, ends...) {
			l.applyChange(entry.Key, entry.Value)
		}
	})
	return revision, true
}
