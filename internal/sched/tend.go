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
func (c *Core) maxPushes() int { return max(minPushes, len(c.order)/machinesPerPush) }

// tend looks after machines and tasks as time passes.
func (c *Core) tend() {
	expiry, silence := c.expiry(), c.domains.Silence()
	pushes, most := 0, c.maxPushes()
	if c.now-c.since < 2*second {
		most /= 2 // most report by themselves meanwhile
	}
	for _, m := range c.order {
		if m.up && !m.confirmed && (!m.lost || m.n > 0 && !c.domains.IsCut(m.zone)) && !m.returning && m.addr != "" && m.session > 0 && pushes < most && c.now-m.pushed > 2*second {
			// Once its worker has seen this token it reports at once, instead of up to a
			// report's interval later. And it may still report to an older leader that
			// is cut off from us and keeps it: it drops that one's answers then, and finds
			// its way here. One that reaches no controller at all may still answer a command:
			// what it says then frees the places of what it lost with its lease.
			m.pushed = c.now
			pushes++
			c.direct = append(c.direct, Direct{m.addr, wire.DirectOrders{Token: c.token, Session: m.session}})
		}
		if m.reserved != nil && (c.now >= m.reservedTill || m.reserved.over() || m.reserved.pending() == 0) {
			m.reserved = nil
		}
		if m.confirmed && !m.lost && c.now-m.lastHello > expiry {
			// As far as this node can tell the lease ran out. But while the
			// state service is out of reach a peer may renew leases under this
			// term's token, so time proves nothing: the machine is returned,
			// and its tasks are freed when that is confirmed.
			m.lost, m.confirmed = true, false
			c.Stats.LeasesLost++
			c.log("silent beyond its lease", "host", m.host, "zone", m.zone, "tasks", m.n, "zone_cut", c.domains.IsCut(m.zone))
		}
		if m.n > 0 && c.now-m.lastHello > silence {
			c.unsent(m)
		}
		if m.recallAt > 0 && m.confirmed {
			c.drain(m)
		}
		if m.cordon = c.cordonOf(m); m.cordon != nil && m.cordon.Drain && m.confirmed {
			c.leave(m)
		}
		if len(m.errJobs) >= strikesOut {
			c.judge(m)
		}
	}
	for _, j := range c.inOrder(func(j *job) bool { return j.gang() && j.broken }) {
		for _, p := range j.ordered() {
			if !p.checkpoint {
				c.stop(p, false)
			}
		}
	}
}

// drain stops tasks of a machine that will be taken and can't end in time, late
// enough to save as much as possible.
func (c *Core) drain(m *machine) {
	left := m.recallAt - c.now
	m.each(func(p *placement) {
		if p.stop || !p.seen {
			return
		}
		j := p.job
		remaining := j.estimate()
		if p.running > 0 {
			remaining -= c.now - p.running
		}
		if remaining > 0 && remaining < left-2*second && !j.gang() {
			return
		}
		saves := j.spec.CheckpointEvery > 0
		if saves && left < config.Micro(j.spec.SaveS)+5*second {
			for _, q := range j.ordered() {
				if q == p || j.gang() {
					c.stop(q, true)
				}
			}
		} else if !saves && !j.gang() {
			c.stop(p, false)
		}
	})
}
