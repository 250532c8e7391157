package controller

import (
	"errors"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

const (
	// confirmRetryDelay is the delay between attempts to read the term after a stall.
	confirmRetryDelay = 200 * time.Millisecond
	// maxConfirmRetries is the number of retries of a failed read of the term. After these retries, the
	// leader resumes without confirmation. While the key-value store is unreachable for all controllers, no
	// other controller can take the term. If the store is unreachable for this controller alone, the peers'
	// heartbeats report a new leader, and no task is launched until the store responds.
	maxConfirmRetries = 12
)

// suspend stops this controller from acting as leader until the term has been read again. It is called after
// a stall. The parameter gap is the duration of the stall in microseconds. Another controller may have taken
// the term during the stall. What this controller knows about heartbeats, returned machines and silent
// workers is outdated by the duration of the stall. suspend must be called on the owner goroutine.
func (l *leadership) suspend(gap int64) {
	c := l.controller
	alreadySuspended := l.stalledFor > 0
	l.stalledFor += gap
	c.term.stopLeading(l.token)
	c.log.Info("process stalled", "duration_us", gap, "token", l.token)
	if !alreadySuspended {
		go l.confirmTerm()
	}
}

// confirmTerm reads the term key. If this controller still holds the term, confirmTerm resumes the
// leadership, and otherwise ends it.
func (l *leadership) confirmTerm() {
	c := l.controller
	for try := 0; l.ctx.Err() == nil; try++ {
		entry, found, err := c.store.Get(l.ctx, termKey)
		switch {
		case err == nil && (!found || entry.Version != l.token):
			c.log.Info("term lost", "token", l.token)
			l.postStepDown()
			return
		case err == nil || try >= maxConfirmRetries:
			l.post(l.resume)
			return
		}
		sleepContext(l.ctx, confirmRetryDelay)
	}
}

// resume makes this controller act as leader again after a stall. It must be called on the owner goroutine.
func (l *leadership) resume() {
	c := l.controller
	c.term.startLeading(l.token)
	l.core.ResumeAfterStall(l.stalledFor, c.now())
	l.stalledFor = 0
	c.owner.requestPass()
}

// holdsTerm reports whether the key-value store confirms that this controller holds the term. It guards
// requests to the cloud, which unlike writes to the store can't be conditional on the term. If the store is
// unreachable for this controller alone, another controller may have become leader. Machines that seem silent
// to this controller may then work for the new leader and must not be returned to the cloud.
func (l *leadership) holdsTerm() bool {
	c := l.controller
	if l.ctx.Err() != nil || !c.owner.ranRecently() {
		return false
	}
	_, err := c.store.Txn(l.ctx, wire.Txn{Conditions: []wire.Condition{l.termCondition()}})
	if errors.Is(err, kvstore.ErrConflict) {
		l.postStepDown()
	}
	return err == nil && c.owner.ranRecently()
}
