package sched

import (
	"dalefront/internal/config"
	"dalefront/internal/dynconfig"
)

// Configure takes the settings and cordons of a generation of the configuration. Batches that
// are decided from now on carry the generation's version, on condition of which they are to be
// stored. Lower limits stop nothing that runs: they keep more from starting.
func (c *Core) Configure(set *config.Settings, cordons []dynconfig.Cordon, version uint64, now Micros) {
	if version == c.generation && set == c.set {
		return
	}
	c.now, c.set, c.cordons, c.generation = now, set, cordons, version
	c.evictAfter = config.Micro(*set.Operator.EvictAfterS)
	for _, t := range set.Deployment.Teams {
		if known := c.teams[t.Name]; known != nil {
			known.Team = t
		} else {
			c.teams[t.Name] = &team{Team: t}
		}
	}
	c.changed = true
}

// cordonOf is the first cordon that applies to a machine now, nil for none.
func (c *Core) cordonOf(m *machine) *dynconfig.Cordon {
	for i := range c.cordons {
		if x := &c.cordons[i]; x.Covers(m.host, m.kind.Name, m.zone, c.now) {
			return x
		}
	}
	return nil
}

// mayHire says whether no cordon keeps new tasks off all machines of a type in a zone.
func (c *Core) mayHire(typ, zone string) bool {
	for i := range c.cordons {
		if c.cordons[i].CoversHire(typ, zone, c.now) {
			return false
		}
	}
	return true
}

// leave stops the tasks on a machine that an operator drains, saved where they can be, as for
// any machine that is drained. Gangs go whole.
func (c *Core) leave(m *machine) {
	m.each(func(p *placement) {
		if p.stop || !p.seen {
			return
		}
		saves := p.job.spec.CheckpointEvery > 0
		if !p.job.gang() {
			c.stop(p, saves)
			return
		}
		for _, q := range p.job.ordered() {
			c.stop(q, saves)
		}
	})
}
