package controller

import (
	"context"
	"time"

	"dalefront/internal/config"
	"dalefront/internal/kvstore"
	"dalefront/internal/sched"
	"dalefront/wire"
)

const (
	// loadRetry is the pause before the stored state is read again after that failed.
	loadRetry = 200 * time.Millisecond
	// leaseCheck is how often a leader looks whether its lease has expired.
	leaseCheck = 100 * time.Millisecond
)

// leadership is the time during which this controller holds the term: it owns the core and
// the loops that carry out its effects. All its writes are conditional on the
// term key, so they fail once another controller holds the term.
type leadership struct {
	controller *Controller
	token      uint64
	lease      *lease
	ctx        context.Context // of the background work; its requests to the key-value store are urgent
	cancel     context.CancelFunc

	// Loops beside the owner goroutine.
	queue     queueWatch
	commands  *commandSender
	snapshots snapshotter

	// Owned by the owner goroutine.
	core             *sched.Core
	stalledFor       config.Micros // after a stall of so long: nothing is done until the term is confirmed
	launchWaiters    launchWaiters
	commits          committer
	ends             endWriter
	progress         progressWriter
	staleKeys        staleKeyDeleter
	cancelledRecords cancelledRecordDeleter
	statistics       statisticsWriter
	fleet            fleetScaler
	schedules        scheduleRunner
	statusLoggedAt   config.Micros
}

// newLeadership returns the leadership of a term that was taken just now; load gives it a core.
func newLeadership(ctx context.Context, c *Controller, token uint64, termLease *lease) *leadership {
	ctx, cancel := context.WithCancel(kvstore.Urgent(ctx))
	sockets := c.settings.Deployment.Resources.Sockets
	l := &leadership{
		controller: c, token: token, lease: termLease, ctx: ctx, cancel: cancel,
		launchWaiters: launchWaiters{limit: maxLaunchWaiters(sockets)},
	}
	l.queue.leadership = l
	l.commands = newCommandSender(l)
	l.snapshots = newSnapshotter(l)
	l.commits.leadership = l
	l.ends.leadership = l
	l.progress.leadership = l
	l.progress.reset()
	l.staleKeys.leadership = l
	l.cancelledRecords.leadership = l
	l.statistics.leadership = l
	l.fleet.leadership = l
	l.schedules.leadership = l
	return l
}

// lead loads the stored state and acts as leader until the term is lost.
func (c *Controller) lead(ctx context.Context, term *heldTerm) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := newLeadership(ctx, c, term.token, term.lease)
	defer l.cancel()
	c.observeTerm(c.settings.Label, term.token)
	if !l.loadUntilLost() || !l.install() {
		return
	}
	c.log.Info("acting as leader", "token", term.token)
	for _, client := range c.peers {
		go func() { _, _ = client.Heartbeat(l.ctx, c.newHeartbeat()) }()
	}
	l.startLoops(ctx)
	l.awaitEnd()
}

// loadUntilLost loads the stored state, again if that fails, and says whether it did before the
// term was lost.
func (l *leadership) loadUntilLost() bool {
	c := l.controller
	for {
		if l.lease.expired.Load() || l.ctx.Err() != nil || c.term.view().token > l.token {
			return false
		}
		err := l.load()
		if err == nil {
			return true
		}
		c.log.Info("state recovery failed", "err", err)
		sleepContext(l.ctx, loadRetry)
	}
}

// install has the owner goroutine act for this leadership, unless a higher token is known.
func (l *leadership) install() bool {
	c := l.controller
	installed := make(chan bool, 1)
	c.owner.post(func() {
		ok := c.term.startLeading(l.token)
		if ok {
			c.owner.leadership = l
			c.config.configureCore() // it may have changed while the state was loaded
			c.owner.requestPass()
		}
		installed <- ok
	})
	select {
	case ok := <-installed:
		return ok
	case <-l.ctx.Done():
		return false
	}
}

// startLoops starts what goes on as long as the leadership: all of it ends with its context. What is
// not urgent takes the context given.
func (l *leadership) startLoops(notUrgent context.Context) {
	go l.queue.run(l.ctx)
	go l.compact(notUrgent)
	go l.snapshots.runFiles(notUrgent)
	go l.snapshots.runCopies(notUrgent)
	for range senders(l.controller.settings.Deployment.Resources.Sockets) {
		go l.commands.run(l.ctx)
	}
}

// awaitEnd returns once the leadership has ended, and ends it if its lease expires.
func (l *leadership) awaitEnd() {
	check := time.NewTicker(leaseCheck)
	defer check.Stop()
	for l.ctx.Err() == nil && !l.lease.expired.Load() {
		select {
		case <-l.ctx.Done():
		case <-check.C:
		}
	}
	if l.ctx.Err() == nil {
		l.controller.log.Info("term lost", "token", l.token)
	}
	l.postStepDown()
	<-l.ctx.Done()
}

// stepDown ends the leadership. Owner goroutine.
func (l *leadership) stepDown() {
	c := l.controller
	if l.isCurrent() {
		c.owner.leadership = nil
	}
	c.term.stopLeading(l.token)
	c.gauges.Store(nil)
	l.cancel()
}

// resign gives the term up of this controller's own accord: it lets others go first for a while.
// Owner goroutine.
func (l *leadership) resign() {
	l.controller.term.resign(l.token)
	l.stepDown()
}

// termCondition makes a transaction fail once another controller holds the term.
func (l *leadership) termCondition() wire.Condition {
	return wire.Condition{Key: termKey, Version: l.token}
}

// schedule runs a scheduling pass and starts what follows from it. Owner goroutine.
func (l *leadership) schedule() {
	c := l.controller
	if l.stalledFor > 0 {
		return
	}
	if !l.commits.task.running && c.store.Reachable(storeReachableWithin) {
		l.launchWaiters.passes++
		if batch := l.core.Schedule(c.now()); batch != nil {
			l.commits.start(batch)
		}
	}
	l.launchWaiters.serve(l.core)
	l.dispatchEffects()
}

// dispatchEffects carries out what the core has decided. Owner goroutine.
func (l *leadership) dispatchEffects() {
	l.commands.add(l.core.TakeDirectCommands())
	l.ends.add(l.core.TakeEnds())
	l.ends.start()
	for _, job := range l.core.TakeForgotten() {
		if job.Status == wire.JobCancelled {
			l.cancelledRecords.add(jobKey(job.Job))
		} else {
			l.staleKeys.add(jobKey(job.Job))
		}
		l.staleKeys.add(l.progress.forget(job.Job)...)
	}
	l.cancelledRecords.start()
}

// tick does what is due from time to time: it stores progress, deletes stale keys, submits recurring
// jobs, scales the fleet and logs. Owner goroutine.
func (l *leadership) tick() {
	c := l.controller
	now := c.now()
	if l.stalledFor > 0 {
		return
	}
	l.schedule()
	reachable := c.store.Reachable(storeReachableWithin)
	if reachable {
		l.progress.start()
		l.staleKeys.start()
		l.schedules.start()
		l.statistics.start(now)
	}
	blind := l.core.Blind(now)
	// Without the key-value store nobody could take the term, and this controller
	// still renews leases.
	if blind && len(c.peers) > 0 && reachable {
		c.log.Info("isolated: resigning the term", "token", l.token)
		l.resign()
		return
	}
	if l.fleet.isDue(now) {
		l.publishStandbys()
		l.fleet.start(blind)
		l.publishGauges()
	}
	if now-l.statusLoggedAt > statusLogInterval {
		l.statusLoggedAt = now
		l.logStatus()
	}
}
