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
	// loadRetryDelay is the delay before the stored state is loaded again after a failed attempt.
	loadRetryDelay = 200 * time.Millisecond
	// leaseCheckInterval is the interval at which a leader checks whether its lease has expired.
	leaseCheckInterval = 100 * time.Millisecond
)

// leadership is the state of this controller while it holds a term. It owns the core and the
// goroutines that carry out the core's decisions. All its writes are conditional on the version of
// the term key, so they fail once another controller holds the term.
type leadership struct {
	controller *Controller
	token      uint64
	lease      *lease
	ctx        context.Context // cancelled when the leadership ends; marks requests to the key-value store as urgent
	cancel     context.CancelFunc

	// Loops that run in goroutines of their own.
	queue     queueWatch
	commands  *commandSender
	snapshots snapshotter

	// Owned by the owner goroutine.
	core             *sched.Core
	stalledFor       config.Micros // stall time since the term was last confirmed; while not 0, the leadership is suspended
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

// newLeadership returns the leadership of a newly acquired term. It has no core until load succeeds.
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
	if !l.loadWithRetry() || !l.activate() {
		return
	}
	c.log.Info("acting as leader", "token", term.token)
	for _, client := range c.peers {
		go func() { _, _ = client.Heartbeat(l.ctx, c.newHeartbeat()) }()
	}
	l.startLoops(ctx)
	l.awaitEnd()
}

// loadWithRetry loads the stored state and retries after failures. It returns false if the term is
// lost before a load succeeds.
func (l *leadership) loadWithRetry() bool {
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
		sleepContext(l.ctx, loadRetryDelay)
	}
}

// activate makes this leadership the one that the owner goroutine acts for, and reports whether this
// succeeded. It fails if a higher token is known or the leadership's context ends.
func (l *leadership) activate() bool {
	c := l.controller
	installed := make(chan bool, 1)
	c.owner.post(func() {
		ok := c.term.startLeading(l.token)
		if ok {
			c.owner.leadership = l
			c.config.configureCore() // the configuration may have changed while the state was loaded
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

// startLoops starts the goroutines of the leadership, which end with the leadership's context. Goroutines
// whose requests are not urgent use the given background context instead. The caller must cancel the
// background context when the leadership ends.
func (l *leadership) startLoops(background context.Context) {
	go l.queue.run(l.ctx)
	go l.runArchiver(background)
	go l.snapshots.runFileSnapshots(background)
	go l.snapshots.runTakeoverCopies(background)
	for range commandSenderCount(l.controller.settings.Deployment.Resources.Sockets) {
		go l.commands.run(l.ctx)
	}
}

// awaitEnd waits until the leadership has ended, and ends it if its lease expires.
func (l *leadership) awaitEnd() {
	check := time.NewTicker(leaseCheckInterval)
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

// stepDown ends the leadership. It must be called on the owner goroutine.
func (l *leadership) stepDown() {
	c := l.controller
	if l.isCurrent() {
		c.owner.leadership = nil
	}
	c.term.stopLeading(l.token)
	c.coreMetrics.Store(nil)
	l.cancel()
}

// resign gives up the term voluntarily. This controller doesn't run for election during resignCooldown, so
// that another controller can take the term. resign must be called on the owner goroutine.
func (l *leadership) resign() {
	l.controller.term.resign(l.token)
	l.stepDown()
}

// termCondition returns the condition that makes a transaction fail once another controller holds the
// term.
func (l *leadership) termCondition() wire.Condition {
	return wire.Condition{Key: termKey, Version: l.token}
}

// schedule runs a scheduling pass, starts storing its launches and carries out the core's other decisions. It
// runs no pass while a write-ahead batch is being stored or the key-value store is unreachable. schedule must
// be called on the owner goroutine.
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

// dispatchEffects takes the core's pending commands, its completed jobs and the jobs whose records can be
// deleted. It queues them for the goroutines that send commands and write to the key-value store.
// dispatchEffects must be called on the owner goroutine.
func (l *leadership) dispatchEffects() {
	l.commands.add(l.core.TakeDirectCommands())
	l.ends.add(l.core.TakeCompletedJobs())
	l.ends.start()
	for _, job := range l.core.TakePurgeable() {
		if job.Status == wire.JobCancelled {
			l.cancelledRecords.add(jobKey(job.Job))
		} else {
			l.staleKeys.add(jobKey(job.Job))
		}
		l.staleKeys.add(l.progress.forget(job.Job)...)
	}
	l.cancelledRecords.start()
}

// tick runs the periodic work: it schedules, stores progress and statistics, deletes stale keys, submits
// recurring jobs, scales the fleet and logs the status. It resigns the term if this controller is isolated.
// tick must be called on the owner goroutine.
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
	isolated := l.core.IsObserverIsolated(now)
	// While the key-value store is unreachable, no other controller could take the term and this
	// controller still renews workers' leases, so it doesn't resign.
	if isolated && len(c.peers) > 0 && reachable {
		c.log.Info("isolated: resigning the term", "token", l.token)
		l.resign()
		return
	}
	if l.fleet.takeDue(now) {
		l.updateStandbys()
		l.fleet.start(isolated)
		l.publishCoreMetrics()
	}
	if now-l.statusLoggedAt > statusLogInterval {
		l.statusLoggedAt = now
		l.logStatus()
	}
}
