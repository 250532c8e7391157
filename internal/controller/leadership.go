package controller

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"dalefront/internal/kvstore"
	"dalefront/internal/recurring"
	"dalefront/internal/sched"
	"dalefront/wire"
)

// leadership is the time during which this node holds the term: it owns the core and
// the loops that carry out its effects. All its writes are conditional on the
// term key, so they fail once another node holds the term.
type leadership struct {
	controller *Controller
	token      uint64
	lease      *lease
	core       *sched.Core
	ctx        context.Context
	cancel     context.CancelFunc

	// Owned by the owner goroutine.
	stalledFor       int64 // after a standstill of so long: nothing is done until the term is confirmed
	waiters          []waiter
	passes           int // scheduling passes so far
	busyCommit       bool
	busyProgress     bool
	busyStaleKeys    bool
	busyEnds         bool
	busyStatistics   bool
	busyCloud        bool
	busyCancelled    bool
	busyRecur        bool
	recurring        *recurring.Engine // nil without a calendar
	pendingEnds      []string          // jobs whose end is to be stored
	staleKeys        []string          // keys to delete
	cancelledRecords []string          // records of cancelled jobs whose tasks are gone: their users wait
	lastCloud        int64
	lastLog          int64
	lastListed       int64
	lastStatistics   int64
	chunkCounts      map[string]int    // progress chunks stored per job
	chunkVersions    map[string]uint64 // and the version of each key

	revision         uint64 // where the watch begins
	directCommands   chan sched.DirectCommand
	cloudQueue       chan func()
	scaleOutSequence int
}

const (
	// minDirects is how many direct commands may wait to be sent at least. One that finds no room
	// goes with the answer to its worker's next report.
	minDirects = 256
	// minSenders and maxSenders are how many direct commands may be on their way at a time; in
	// between it is one for so many sockets.
	minSenders, maxSenders = 4, 32
	socketsPerSender       = 200
	// cloudQueue is for how many rounds of requests to the cloud there is room; one is asked for
	// at a time.
	cloudQueue = 64
)

// lead loads the stored state and acts as leader until the term is lost.
func (c *Controller) lead(ctx context.Context, token uint64, h *lease) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	plain := ctx
	ctx = kvstore.Urgent(ctx)
	r := &leadership{controller: c, token: token, lease: h, ctx: ctx, cancel: cancel, chunkCounts: map[string]int{}, chunkVersions: map[string]uint64{},
		directCommands: make(chan sched.DirectCommand, max(minDirects, c.settings.Deployment.Resources.Sockets/4)), cloudQueue: make(chan func(), cloudQueue)}
	c.observeTerm(c.settings.Label, token)
	for {
		if h.expired.Load() || ctx.Err() != nil {
			return
		}
		if c.term.view().token > token {
			return
		}
		err := r.load()
		if err == nil {
			break
		}
		c.log.Info("loading failed, trying again", "err", err)
		time.Sleep(200 * time.Millisecond)
	}
	installed := make(chan bool, 1)
	c.owner.post(func() {
		ok := c.term.startLeading(token)
		if ok {
			c.owner.leadership = r
			c.config.configureCore() // it may have changed while the state was loaded
			c.owner.requestPass()
		}
		installed <- ok
	})
	select {
	case ok := <-installed:
		if !ok {
			return
		}
	case <-ctx.Done():
		return
	}
	c.log.Info("acting as leader", "token", token)
	for _, p := range c.peers {
		go func() { _, _ = p.Heartbeat(ctx, c.newHeartbeat()) }()
	}
	go r.watch()
	go r.compact(plain)
	go r.snapshots(plain)
	go r.storeSnapshots(plain)
	// A worker that is cut off holds a sender up for two seconds.
	for range senders(c.settings.Deployment.Resources.Sockets) {
		go r.sendDirectCommands()
	}
	go r.runCloud()
	check := time.NewTicker(100 * time.Millisecond)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
		case <-check.C:
			if !h.expired.Load() {
				continue
			}
			c.log.Info("term lost", "token", token)
		}
		c.owner.post(func() { r.stepDown() })
		<-ctx.Done()
		return
	}
}

// suspend stops all acting after a standstill until the term was read again: in
// the meantime another node may have taken it, and reports, returns and silences
// seen from here are as old as the gap. Owner goroutine.
func (l *leadership) suspend(gap int64) {
	c := l.controller
	before := l.stalledFor
	l.stalledFor += gap
	c.term.stopLeading(l.token)
	c.log.Info("stood still", "for_us", gap, "token", l.token)
	if before == 0 {
		go l.confirmTerm()
	}
}

// confirmTerm reads the term. While the state service is out of reach nobody can have
// taken it, unless it is out of reach for this node alone; peers that know better
// say so within their hello, and until the service answers nothing is started.
func (l *leadership) confirmTerm() {
	c := l.controller
	for tries := 0; l.ctx.Err() == nil; tries++ {
		e, found, err := c.store.Get(l.ctx, termKey)
		switch {
		case err == nil && (!found || e.Version != l.token):
			c.log.Info("term lost", "token", l.token)
			c.owner.post(func() { l.stepDown() })
			return
		case err == nil || tries >= 12:
			c.owner.post(l.resume)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// resume goes on after a standstill. Owner goroutine.
func (l *leadership) resume() {
	c := l.controller
	if c.owner.leadership != l {
		return
	}
	c.term.startLeading(l.token)
	l.core.ResumeAfterStall(l.stalledFor, c.now())
	l.stalledFor = 0
	c.owner.requestPass()
}

// holdsTerm says whether the state service has just confirmed that the term is this node's: what
// is said to the cloud is, unlike what is stored, not conditional on it. A node that the
// service refuses alone may have been replaced, and a machine that it takes for silent may
// work for the next leader.
func (l *leadership) holdsTerm() bool {
	c := l.controller
	if l.ctx.Err() != nil || !c.owner.ranRecently() {
		return false
	}
	_, err := c.store.Txn(l.ctx, wire.Txn{Conditions: []wire.Condition{l.termCondition()}})
	if errors.Is(err, kvstore.ErrConflict) {
		c.owner.post(func() { l.stepDown() })
	}
	return err == nil && c.owner.ranRecently()
}

// stepDown stops acting. It runs on the owner goroutine.
func (l *leadership) stepDown() {
	c := l.controller
	if c.owner.leadership == l {
		c.owner.leadership = nil
	}
	c.term.stopLeading(l.token)
	c.gauges.Store(nil)
	l.cancel()
}

// termCondition makes a transaction fail once another node holds the term.
func (l *leadership) termCondition() wire.Condition {
	return wire.Condition{Key: termKey, Version: l.token}
}

func (l *leadership) jobEnded(id string, value []byte) {
	if rec, err := l.controller.decodeEnd(id, value); err == nil {
		l.core.JobEnded(id, rec.Status, l.controller.now())
	}
}

// watch brings accepted and ended jobs.
func (l *leadership) watch() {
	c := l.controller
	from := l.revision
	// Each opening of the watch is a request: in a flood of small jobs every change
	// would cost one.
	every := time.Duration(8 / max(c.settings.Deployment.State.RPS, 1) * float64(time.Second))
	for l.ctx.Err() == nil {
		ev, err := c.store.Changes(l.ctx, queuePrefix, from, 5*time.Second)
		if err != nil {
			if errors.Is(err, kvstore.ErrCompacted) {
				if rev, ok := l.resyncQueue(); ok {
					from = rev
				}
			}
			select {
			case <-l.ctx.Done():
			case <-time.After(200 * time.Millisecond):
			}
			continue
		}
		from = max(from, ev.Revision)
		next := time.Now()
		if len(ev.Events) > 0 {
			next = next.Add(every)
		}
		c.owner.post(func() {
			if c.owner.leadership != l {
				return
			}
			for _, e := range ev.Events {
				l.applyChange(e.Put, e.Value)
			}
			if len(ev.Events) > 0 {
				c.owner.requestPass()
			}
		})
		time.Sleep(time.Until(next))
	}
}

// applyChange applies one changed key of the queue.
func (l *leadership) applyChange(key string, value []byte) {
	c := l.controller
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		var rec jobRecord
		if wire.Unmarshal(value, &rec) != nil {
			return
		}
		if _, over := c.statuses.final(id); !over { // else its record is gone, or its core knows it
			c.statuses.addAccepted(id)
			l.core.AddJob(rec.Job, rec.SubmittedAt, c.now())
		}
	} else if id, ok := strings.CutPrefix(key, endPrefix); ok {
		l.jobEnded(id, value)
	}
}

// resyncQueue reads the queue again after the watch fell too far behind.
func (l *leadership) resyncQueue() (uint64, bool) {
	c := l.controller
	jobs, rev, err := c.store.List(l.ctx, jobPrefix)
	if err != nil {
		return 0, false
	}
	ends, err := c.readEnds(l.ctx, jobs)
	if err != nil {
		return 0, false
	}
	c.owner.post(func() {
		if c.owner.leadership == l {
			for _, e := range append(jobs, ends...) {
				l.applyChange(e.Key, e.Value)
			}
		}
	})
	return rev, true
}

// schedule schedules and starts what follows from it. Owner goroutine.
func (l *leadership) schedule() {
	c := l.controller
	if l.stalledFor > 0 {
		return
	}
	if !l.busyCommit && c.store.Reachable(3*time.Second) {
		l.passes++
		if cm := l.core.Schedule(c.now()); cm != nil {
			l.busyCommit = true
			go l.commit(cm)
		}
	}
	l.serveWaiters()
	l.dispatchEffects()
}

// serveWaiters answers the reports that waited for launches: those whose
// machines a pass has considered and whose launches are stored.
func (l *leadership) serveWaiters() {
	kept := l.waiters[:0]
	for _, w := range l.waiters {
		if l.passes > w.passes && !l.core.HasLaunchInFlight(w.host) {
			w.fresh <- l.core.LaunchCommands(w.host)
		} else if l.passes < w.passes+4 {
			kept = append(kept, w)
		}
	}
	l.waiters = kept
}

func (l *leadership) dispatchEffects() {
	c := l.controller
	for _, d := range l.core.TakeDirectCommands() {
		select {
		case l.directCommands <- d:
		default: // the next report's answer repeats it
		}
	}
	l.pendingEnds = append(l.pendingEnds, l.core.TakeEnds()...)
	if !l.busyEnds && len(l.pendingEnds) > 0 {
		// Half of a transaction: ends leave room for launches.
		k := min(len(l.pendingEnds), max(1, c.settings.Deployment.State.TxnOps/2))
		ids := l.pendingEnds[:k:k]
		l.pendingEnds = l.pendingEnds[k:]
		l.busyEnds = true
		done := make([]int, len(ids))
		for i, id := range ids {
			_, done[i], _, _ = l.core.Counts(id)
		}
		go l.storeEnds(ids, done)
	}
	for _, f := range l.core.TakeForgotten() {
		id := f.Job
		if f.Status == wire.JobCancelled {
			l.cancelledRecords = append(l.cancelledRecords, jobKey(id))
		} else {
			l.staleKeys = append(l.staleKeys, jobKey(id))
		}
		for i := range l.chunkCounts[id] {
			l.staleKeys = append(l.staleKeys, progressKey(id, i))
			delete(l.chunkVersions, progressKey(id, i))
		}
		delete(l.chunkCounts, id)
	}
	if k := min(len(l.cancelledRecords), c.settings.Deployment.State.TxnOps); k > 0 && !l.busyCancelled && c.store.Reachable(3*time.Second) {
		keys := l.cancelledRecords[:k:k]
		l.cancelledRecords = l.cancelledRecords[k:]
		l.busyCancelled = true
		go l.deleteCancelled(keys)
	}
}

const (
	progressPart = 10 // of a second's changes that one write of progress may take
	tidyPart     = 6  // the same for a write that deletes what is of no more use
)

// senders is how many direct commands may be on their way at a time.
func senders(sockets int) int { return min(max(minSenders, sockets/socketsPerSender), maxSenders) }

// tick does what time brings: progress, tidying, the fleet. Owner goroutine.
func (l *leadership) tick() {
	c := l.controller
	now := c.now()
	if l.stalledFor > 0 {
		return
	}
	l.schedule()
	reachable := c.store.Reachable(3 * time.Second)
	if !l.busyProgress && reachable {
		if cs := l.core.ProgressToStore(min(c.settings.Deployment.State.TxnOps, max(1, int(c.settings.Deployment.State.WriteRPS/progressPart)))); len(cs) > 0 {
			l.busyProgress = true
			go l.storeProgress(cs, l.progressTxn(cs))
		}
	}
	if !l.busyStaleKeys && reachable && len(l.staleKeys) > 0 {
		k := min(len(l.staleKeys), c.settings.Deployment.State.TxnOps, max(1, int(c.settings.Deployment.State.WriteRPS/tidyPart)))
		keys := l.staleKeys[:k:k]
		l.staleKeys = l.staleKeys[k:]
		l.busyStaleKeys = true
		go l.deleteKeys(keys)
	}
	if reachable {
		l.submitRecurring()
	}
	if !l.busyStatistics && reachable && now-l.lastStatistics >= learnEvery {
		l.busyStatistics, l.lastStatistics = true, now
		go l.storeStatistics(l.core.Statistics(now))
	}
	blind := l.core.Blind(now)
	// Without the state service nobody could take the term, and this node's word
	// still renews leases.
	if blind && len(c.peers) > 0 && reachable {
		c.log.Info("most workers are silent: giving the term up", "token", l.token)
		c.term.resign(l.token)
		l.stepDown()
		return
	}
	if !l.busyCloud && now-l.lastCloud >= 1_000_000 {
		l.lastCloud = now
		l.publishStandbys()
		l.scaleFleet(blind)
		l.publishGauges()
	}
	if now-l.lastLog > 10_000_000 {
		l.lastLog = now
		jobs, tasks := l.core.Waiting()
		c.log.Info("leader", "waiting_jobs", jobs, "waiting_tasks", tasks, "stats", fmt.Sprintf("%+v", l.core.Stats))
		c.log.Info("work", c.owner.stats.take()...)
		classes, types := l.core.Usages()
		for _, u := range classes {
			c.log.Info("class", "name", u.Name, "tasks", u.Tasks)
		}
		for _, u := range types {
			c.log.Info("machines", "type", u.Name, "up", u.Up, "idle", u.Idle, "kept", u.Reserved, "tasks", u.Tasks, "free_cpus", int(u.Free))
		}
		l.logServiceShares()
		for _, w := range l.core.WaitingJobs(3) {
			c.log.Info("waits", "job", w.Job, "class", w.Class, "team", w.Team, "tasks", w.Tasks, "age_us", w.Age, "why", w.Reason, "room", w.Room, "held", w.Reserved)
		}
	}
}

func (l *leadership) sendDirectCommands() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case d := <-l.directCommands:
			if !l.controller.owner.ranRecently() {
				continue // as old as the standstill; a report's answer repeats it
			}
			l.commandAnswered(l.controller.worker.Orders(l.ctx, d.Addr, d.Batch))
		}
	}
}

// commandAnswered hands the core what a worker said to a direct command: its report, also where it
// refused the command (409).
func (l *leadership) commandAnswered(said wire.Heartbeat, _ error) {
	if said.Host == "" {
		return
	}
	c := l.controller
	c.owner.post(func() {
		if c.owner.leadership == l && l.stalledFor == 0 {
			l.core.CommandAnswered(&said, c.now())
			c.owner.requestPassIf(l.core.TakePassNeeded)
		}
	})
}
