package sched

import (
	"dalefront/internal/config"
)

const (
	// smallSiteTokenPushes is the highest number of machines to which a pass sends the term's fencing token at
	// a small site. A site is small if it has at most smallSiteTokenPushes*machinesPerTokenPush machines. A
	// worker that receives the token sends a heartbeat at once.
	smallSiteTokenPushes = 16
	// machinesPerTokenPush sets the limit at a larger site: a pass sends the token to one in
	// machinesPerTokenPush machines. All machines then receive the token within some hundred passes, as at a
	// small site.
	machinesPerTokenPush = 100
	// tokenPushInterval is the time that a machine has to respond to the token before the token is sent again.
	tokenPushInterval = 2 * second
	// tokenPushWarmup is the time after the term's start during which a pass sends the token to half as many
	// machines, since most workers send a heartbeat during this time without having received the token.
	tokenPushWarmup = 2 * second

	// taskEndMargin is a safety margin. A task on a machine that will be reclaimed is left running only if it
	// is expected to end at least this long before the reclaim.
	taskEndMargin = 2 * second
	// checkpointMargin is a safety margin. On a machine that will be reclaimed, a task's final checkpoint is
	// started so early that it is expected to end this long before the reclaim.
	checkpointMargin = 5 * second
)

// maxTokenPushes returns the highest number of machines to which a pass sends the term's token once
// tokenPushWarmup has passed.
func (c *Core) maxTokenPushes() int {
	return max(smallSiteTokenPushes, c.machines.count()/machinesPerTokenPush)
}

// reconcile updates all machines at the start of a pass. It sends the token, ends stale reservations, expires
// leases, releases launches that were never sent, drains and quarantines machines, and stops broken gangs.
func (c *Core) reconcile() {
	pushesLeft := c.tokenPushLimit()
	expiry, silenceThreshold := c.leaseExpiry(), c.detector.SilenceThreshold()
	for _, machine := range c.machines.all() {
		if pushesLeft > 0 && c.needsToken(machine) {
			pushesLeft--
			c.pushToken(machine)
		}
		machine.dropStale(c.now)
		silentFor := c.now - machine.lastHeartbeat
		if machine.confirmed && !machine.leaseExpired && silentFor > expiry {
			c.expireLease(machine)
		}
		if machine.placementCount > 0 && silentFor > silenceThreshold {
			c.releaseUndispatched(machine)
		}
		if machine.reclaimAt > 0 && machine.confirmed {
			c.drainReclaimed(machine)
		}
		if machine.cordon = c.cordonOf(machine); machine.cordon != nil && machine.cordon.Drain && machine.confirmed {
			c.drainCordoned(machine)
		}
		c.updateQuarantine(machine)
	}
	c.stopBrokenGangs()
}

// tokenPushLimit returns the highest number of machines to which the current pass sends the term's token.
func (c *Core) tokenPushLimit() int {
	if c.now-c.termStart < tokenPushWarmup {
		return c.maxTokenPushes() / 2
	}
	return c.maxTokenPushes()
}

// pushToken sends the term's token to a machine that has not confirmed it.
//
// A worker that receives a new token sends a heartbeat at once, instead of up to a heartbeat interval later.
// Suppose that the worker still sends heartbeats to an older leader that is partitioned from this leader. With
// the new token, the worker drops the older leader's responses and finds this leader. A worker that reaches
// no controller may still respond to a command. Its response releases the tasks that it lost with its lease.
func (c *Core) pushToken(m *machine) {
	m.tokenPushedAt = c.now
	c.outbox.addCommands(m, c.Token())
}

// needsToken reports whether the token should be sent to the machine's worker. The worker must be reachable,
// as far as known, must not have confirmed the token, and must not have been sent the token within
// tokenPushInterval. A worker whose lease has expired gets the token only while it has unreleased tasks and
// its zone isn't partitioned.
func (c *Core) needsToken(m *machine) bool {
	if !m.registered || m.confirmed || m.scalingIn || m.addr == "" || m.incarnation == 0 || c.now-m.tokenPushedAt <= tokenPushInterval {
		return false
	}
	return !m.leaseExpired || m.placementCount > 0 && !c.detector.IsPartitioned(m.zone)
}

// expireLease marks the lease of a machine as expired, as far as this controller knows. While the state
// service is unreachable, another controller may renew leases under this term's token. The elapsed time
// therefore doesn't prove that the machine's tasks have stopped, and no task is released here. ScaleIn decides
// whether to return the machine.
func (c *Core) expireLease(m *machine) {
	m.leaseExpired, m.confirmed = true, false
	c.Stats.LeasesExpired++
	c.log("lease expired", "host", m.host, "zone", m.zone, "tasks", m.placementCount, "zone_partitioned", c.detector.IsPartitioned(m.zone))
}

// stopBrokenGangs stops the remaining tasks of gang attempts that can't complete any more.
func (c *Core) stopBrokenGangs() {
	for _, j := range c.jobs.sorted(func(j *job) bool { return j.isGang() && j.gangBroken }) {
		c.stopGang(j)
	}
}

// drainReclaimed stops tasks that are not expected to end before their machine is reclaimed. A task with
// checkpoints is stopped only when just enough time for a checkpoint remains, so that it can run as long as
// possible. A task without checkpoints is stopped at once, unless the task belongs to a gang.
func (c *Core) drainReclaimed(m *machine) {
	timeLeft := m.reclaimAt - c.now
	m.eachPlacement(func(p *placement) {
		j := p.job
		if p.stopping || !p.observed || !j.isGang() && p.finishesWithin(c.now, timeLeft) {
			return
		}
		switch canCheckpoint := j.spec.CheckpointIntervalS > 0; {
		case canCheckpoint && timeLeft < config.Micro(j.spec.CheckpointDurationS)+checkpointMargin:
			c.checkpointWithGang(p)
		case !canCheckpoint && !j.isGang():
			c.stopPlacement(p, false)
		}
	})
}

// finishesWithin reports whether the task is expected to end at least taskEndMargin before its machine is
// reclaimed. The parameter timeLeft is the time until the machine is reclaimed.
func (p *placement) finishesWithin(now, timeLeft Micros) bool {
	remaining := p.job.expectedRunTime()
	if p.runningSince > 0 {
		remaining -= now - p.runningSince
	}
	return remaining > 0 && remaining < timeLeft-taskEndMargin
}

// checkpointWithGang checkpoints and stops a task. If the task belongs to a gang, it does so with all tasks
// of the gang.
func (c *Core) checkpointWithGang(p *placement) {
	if !p.job.isGang() {
		c.stopPlacement(p, true)
		return
	}
	for _, member := range p.job.sortedPlacements() {
		c.stopPlacement(member, true)
	}
}
