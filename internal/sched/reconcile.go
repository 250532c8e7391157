package sched

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

const (
	// minPushes is how many machines a pass tells of the term's token, so that they report at
	// once, at a site of up to minPushes*machinesPerPush machines.
	minPushes = 16
	// machinesPerPush is how many machines there are for each that a pass tells of the token at a
	// larger site: there, too, all are told within some hundred passes.
	machinesPerPush = 100
)

// maxPushes is how many machines a pass tells of the term's token.
func (c *Core) maxPushes() int { return max(minPushes, c.machines.count()/machinesPerPush) }

// reconcile looks after machines and tasks as time passes.
func (c *Core) reconcile() {
	expiry, silence := c.leaseExpiry(), c.detector.Silence()
	pushes, most := 0, c.maxPushes()
	if c.now-c.termStart < 2*second {
		most /= 2 // most report by themselves meanwhile
	}
	for _, m := range c.machines.all() {
		if m.registered && !m.confirmed && (!m.leaseExpired || m.placementCount > 0 && !c.detector.IsCut(m.zone)) && !m.scalingIn && m.addr != "" && m.incarnation > 0 && pushes < most && c.now-m.tokenPushedAt > 2*second {
			// Once its worker has seen this token it reports at once, instead of up to a
			// report's interval later. And it may still report to an older leader that
			// is cut off from us and keeps it: it drops that one's answers then, and finds
			// its way here. One that reaches no controller at all may still answer a command:
			// what it says then frees the places of what it lost with its lease.
			m.tokenPushedAt = c.now
			pushes++
			c.directCommands = append(c.directCommands, DirectCommand{m.addr, wire.CommandBatch{FencingToken: c.Token(), Incarnation: m.incarnation}})
		}
		if m.reservedFor != nil && (c.now >= m.reservedUntil || m.reservedFor.isOver() || m.reservedFor.pendingCount() == 0) {
			m.reservedFor = nil
		}
		if m.confirmed && !m.leaseExpired && c.now-m.lastHeartbeat > expiry {
			// As far as this node can tell the lease ran out. But while the
			// state service is out of reach a peer may renew leases under this
			// term's token, so time proves nothing: the machine is returned,
			// and its tasks are freed when that is confirmed.
			m.leaseExpired, m.confirmed = true, false
			c.Stats.LeasesExpired++
			c.log("silent beyond its lease", "host", m.host, "zone", m.zone, "tasks", m.placementCount, "zone_cut", c.detector.IsCut(m.zone))
		}
		if m.placementCount > 0 && c.now-m.lastHeartbeat > silence {
			c.releaseUndispatched(m)
		}
		if m.reclaimAt > 0 && m.confirmed {
			c.drainReclaimed(m)
		}
		if m.cordon = c.cordonOf(m); m.cordon != nil && m.cordon.Drain && m.confirmed {
			c.drainCordoned(m)
		}
		if len(m.failedJobs) >= quarantineAfterJobs {
			c.updateQuarantine(m)
		}
	}
	for _, j := range c.jobs.sorted(func(j *job) bool { return j.isGang() && j.gangBroken }) {
		for _, p := range j.sortedPlacements() {
			if !p.checkpointing {
				c.stopPlacement(p, false)
			}
		}
	}
}

// drainReclaimed stops tasks of a machine that will be taken and can't end in time, late
// enough to save as much as possible.
func (c *Core) drainReclaimed(m *machine) {
	left := m.reclaimAt - c.now
	m.eachPlacement(func(p *placement) {
		if p.stopping || !p.observed {
			return
		}
		j := p.job
		remaining := j.expectedRunTime()
		if p.runningSince > 0 {
			remaining -= c.now - p.runningSince
		}
		if remaining > 0 && remaining < left-2*second && !j.isGang() {
			return
		}
		saves := j.spec.CheckpointIntervalS > 0
		if saves && left < config.Micro(j.spec.CheckpointDurationS)+5*second {
			for _, q := range j.sortedPlacements() {
				if q == p || j.isGang() {
					c.stopPlacement(q, true)
				}
			}
		} else if !saves && !j.isGang() {
			c.stopPlacement(p, false)
		}
	})
}

// leaseExpiry is how long after a heartbeat its lease must have run out: the workers' clocks may be
// 0.05% slow, and ours fast.
func (c *Core) leaseExpiry() Micros { return c.lease + c.lease/1000 + config.Second/2 }
