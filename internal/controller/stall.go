package controller

import (
	"errors"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/wire"
)

const (
	// confirmRetry is the pause between two tries to read the term after a stall.
	confirmRetry = 200 * time.Millisecond
	// confirmTries: after so many failed ones the leader goes on. While the key-value store is out of
	// reach nobody can have taken the term, unless it is out of reach for this controller alone; peers
	// that know better say so within their heartbeats, and until the service answers nothing is started.
	confirmTries = 12
)

// suspend stops all acting after a stall of so many microseconds until the term was read again: in
// the meantime another controller may have taken it, and heartbeats, returned machines
// and silent workers seen from here are as old as the gap. Owner goroutine.
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

// confirmTerm reads the term, and resumes the leadership or ends it.
func (l *leadership) confirmTerm() {
	c := l.controller
	for try := 0; l.ctx.Err() == nil; try++ {
		entry, found, err := c.store.Get(l.ctx, termKey)
		switch {
		case err == nil && (!found || entry.Version != l.token):
			c.log.Info("term lost", "token", l.token)
			l.postStepDown()
			return
		case err == nil || try >= confirmTries:
			l.post(l.resume)
			return
		}
		sleepContext(l.ctx, confirmRetry)
	}
}

// resume goes on after a stall. Owner goroutine.
func (l *leadership) resume() {
	c := l.controller
	c.term.startLeading(l.token)
	l.core.ResumeAfterStall(l.stalledFor, c.now())
	l.stalledFor = 0
	c.owner.requestPass()
}

// holdsTerm says whether the key-value store has just confirmed that the term is this controller's: what
// is said to the cloud is, unlike what is stored, not conditional on it. A controller that the
// service refuses alone may have been replaced, and a machine that it takes for silent may
// work for the next leader.
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
