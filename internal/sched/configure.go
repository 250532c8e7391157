package sched

import (
	"dalefront/internal/config"
	"dalefront/internal/dynconfig"
	"dalefront/wire"
)

// policy is what the settings and the operators' configuration say.
type policy struct {
	settings   *config.Settings
	cordons    []dynconfig.Cordon
	generation uint64 // version of the configuration's generation that decisions are made by

	lease                Micros // how long a heartbeat entitles a worker to keep its tasks
	preemptAfter         Micros // how long a job waits before it preempts
	preemptionPolicy     string
	firstComeFirstServed bool // jobs are served in the order of their arrival, whatever their priority
}

func newPolicy(settings *config.Settings) policy {
	return policy{
		settings:             settings,
		lease:                config.Micro(settings.Deployment.Workers.LeaseS),
		preemptAfter:         config.Micro(*settings.Operator.PreemptionDelayS),
		preemptionPolicy:     settings.Operator.PreemptionMode,
		firstComeFirstServed: settings.Operator.PlacementOrder == config.OrderArrival,
	}
}

// configure takes a generation of the configuration. What may not change within a term stays.
func (p *policy) configure(settings *config.Settings, cordons []dynconfig.Cordon, generation uint64) {
	p.settings, p.cordons, p.generation = settings, cordons, generation
	p.preemptAfter = config.Micro(*settings.Operator.PreemptionDelayS)
}

// leaseExpiry is how long after a heartbeat its lease must have run out: the workers' clocks may be
// 0.05% slow, and ours fast.
func (p *policy) leaseExpiry() Micros { return p.lease + p.lease/1000 + second/2 }

// rank is a priority's rank. First come, first served knows one only, and not the lowest,
// for which no machines would be rented at first.
func (p *policy) rank(priority string) int {
	if p.firstComeFirstServed {
		return Rank(wire.Normal)
	}
	return Rank(priority)
}

// Configure takes the settings and cordons of a generation of the configuration. Batches that
// are decided from now on carry the generation's version, on condition of which they are to be
// stored. Lower limits stop nothing that runs: they keep more from starting.
func (c *Core) Configure(settings *config.Settings, cordons []dynconfig.Cordon, version uint64, now Micros) {
	if version == c.generation && settings == c.settings {
		return
	}
	c.now = now
	c.configure(settings, cordons, version)
	c.teams.configure(settings.Deployment.Teams)
	c.outbox.requestPass()
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
		if c.cordons[i].CoversScaleOut(typ, zone, c.now) {
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
