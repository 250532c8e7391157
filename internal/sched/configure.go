package sched

import (
	"dalefront/internal/config"
	"dalefront/internal/dynconfig"
)

// Configure takes the settings and cordons of a generation of the configuration. Batches that
// are decided from now on carry the generation's version, on condition of which they are to be
// stored. Lower limits stop nothing that runs: they keep more from starting.
func (c *Core) Configure(set *config.Settings, cordons []dynconfig.Cordon, version uint64, now Micros) {
	if version == c.generation && set == c.settings {
		return
	}
	c.now, c.settings, c.cordons, c.generation = now, set, cordons, version
	c.preemptAfter = config.Micro(*set.Operator.EvictAfterS)
	c.teams.configure(set.Deployment.Teams)
	c.passNeeded = true
}

// cordonOf is the first cordon that applies to a machine now, nil for none.
func (c *Core) cordonOf(m *machine) *dynconfig.Cordon {
	for i := range c.cordons {
		if x := &c.cordons[i]; x.Covers(m.host, m.machineType.Name, m.zone, c.now) {
			return x
		}
	}
	return nil
}

// mayScaleOutIn says whether no cordon keeps new tasks off all machines of a type in a zone.
func (c *Core) mayScaleOutIn(typ, zone string) bool {
	for i := range c.cordons {
		if c.cordons[i].CoversHire(typ, zone, c.now) {
			return false
		}
	}
	return true
}

// drainCordoned stops the tasks on a machine that an operator drains, saved where they can be, as for
// any machine that is drained. Gangs go whole.
func (c *Core) drainCordoned(m *machine) {
	m.eachPlacement(func(p *placement) {
		if p.stopping || !p.observed {
			return
		}
		saves := p.job.spec.CheckpointIntervalS > 0
		if !p.job.isGang() {
			c.stopPlacement(p, saves)
			return
		}
		for _, q := range p.job.sortedPlacements() {
			c.stopPlacement(q, saves)
		}
	})
}
