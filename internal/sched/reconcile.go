package sched

import (
	"dalefront/internal/config"
)

const (
	// minPushes is how many machines a pass sends the term's token to, so that they send a heartbeat at
	// once, at a site of up to minPushes*machinesPerPush machines.
	minPushes = 16
	// machinesPerPush is how many machines there are for each that a pass sends the token to at a
	// larger site: there, too, all have it within some hundred passes.
	machinesPerPush = 100
	// pushInterval is how long a machine that was sent the token is given to answer.
	pushInterval = 2 * second
	// firstPushes is how long after the term's start it is sent to fewer machines: most report by themselves
	// meanwhile.
	firstPushes = 2 * second

	reclaimMargin = 2 * second // that a task's expected end must be ahead of its machine's
	saveMargin    = 5 * second // that the start of a save must be ahead of it, beyond the save itself
)

// maxPushes is how many machines a pass sends the term's token to.
func (c *Core) maxPushes() int { return max(minPushes, c.machines.count()/machinesPerPush) }

// reconcile looks after machines and tasks as time passes.
func (c *Core) reconcile() {
	pushes := c.pushLimit()
	expiry, silence := c.leaseExpiry(), c.detector.SilenceThreshold()
	for _, machine := range c.machines.all() {
		if pushes > 0 && c.needsToken(machine) {
			pushes--
			c.pushToken(machine)
		}
		machine.dropStale(c.now)
		quiet := c.now - machine.lastHeartbeat
		if machine.confirmed && !machine.leaseExpired && quiet > expiry {
			c.expireLease(machine)
		}
		if machine.placementCount > 0 && quiet > silence {
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

// pushLimit is how many machines this pass sends the term's token to.
func (c *Core) pushLimit() int {
	if c.now-c.termStart < firstPushes {
		return c.maxPushes() / 2
	}
	return c.maxPushes()
}

// pushToken sends the term's token to a machine that has not confirmed it.
//
// Once its worker has seen this token it sends a heartbeat at once, instead of up to an
// interval later. And it may still send them to an older leader that
// is cut off from us: it drops that one's answers then, and finds
// its way here. One that reaches no controller at all may still answer a command:
// what it says then releases what it lost with its lease.
func (c *Core) pushToken(m *machine) {
	m.tokenPushedAt = c.now
	c.outbox.addCommands(m, c.Token())
}

// needsToken says whether the machine's worker should be sent the token: it can be reached, as far as known, and has
// not confirmed it. One whose lease has expired gets it only as long as its tasks are not released. One that just
// got it is given time to answer.
func (c *Core) needsToken(m *machine) bool {
	if !m.registered || m.confirmed || m.scalingIn || m.addr == "" || m.incarnation == 0 || c.now-m.tokenPushedAt <= pushInterval {
		return false
	}
	return !m.leaseExpired || m.placementCount > 0 && !c.detector.IsPartitioned(m.zone)
}

// expireLease notes that as far as this controller can tell a machine's lease has run out. But while the
// state service is out of reach a peer may renew leases under this
// term's token, so time proves nothing: the machine is returned,
// and its tasks are released when that is confirmed.
func (c *Core) expireLease(m *machine) {
	m.leaseExpired, m.confirmed = true, false
	c.Stats.LeasesExpired++
	c.log("lease expired", "host", m.host, "zone", m.zone, "tasks", m.placementCount, "zone_partitioned", c.detector.IsPartitioned(m.zone))
}

// stopBrokenGangs stops what is left of gang attempts that can't complete any more.
func (c *Core) stopBrokenGangs() {
	for _, j := range c.jobs.sorted(func(j *job) bool { return j.isGang() && j.gangBroken }) {
		c.stopGang(j)
	}
}

// drainReclaimed stops tasks of a machine that will be taken and can't end in time, late
// enough to save as much as possible.
func (c *Core) drainReclaimed(m *machine) {
	left := m.reclaimAt - c.now
	m.eachPlacement(func(p *placement) {
		j := p.job
		if p.stopping || !p.observed || !j.isGang() && p.endsBefore(c.now, left) {
			return
		}
		switch saves := j.spec.CheckpointIntervalS > 0; {
		case saves && left < config.Micro(j.spec.CheckpointDurationS)+saveMargin:
			c.checkpointWithGang(p)
		case !saves && !j.isGang():
			c.stopPlacement(p, false)
		}
	})
}

// endsBefore says whether the task is expected to end well before its machine is gone, which is after
// so long.
func (p *placement) endsBefore(now, left Micros) bool {
	remaining := p.job.expectedRunTime()
	if p.runningSince > 0 {
		remaining -= now - p.runningSince
	}
	return remaining > 0 && remaining < left-reclaimMargin
}

// checkpointWithGang stops a task with a checkpoint, and those of its gang with it.
func (c *Core) checkpointWithGang(p *placement) {
	if !p.job.isGang() {
		c.stopPlacement(p, true)
		return
	}
	for _, member := range p.job.sortedPlacements() {
		c.stopPlacement(member, true)
	}
}
