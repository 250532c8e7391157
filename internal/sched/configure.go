package sched

import (
	"dalefront/internal/config"
	"dalefront/internal/dynconfig"
	"dalefront/wire"
)

// policy holds the settings and the operators' configuration, with values derived from them.
type policy struct {
	settings   *config.Settings
	cordons    []dynconfig.Cordon
	generation uint64 // version of the operators' configuration in force

	lease                Micros // time for which a heartbeat entitles a worker to keep its tasks
	preemptAfter         Micros // time for which a job waits before it may preempt others
	preemptionPolicy     string
	firstComeFirstServed bool // jobs are served in the order of their arrival, regardless of their priority
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

// configure applies a version of the operators' configuration, except for settings that can't change within a
// term.
func (p *policy) configure(settings *config.Settings, cordons []dynconfig.Cordon, generation uint64) {
	p.settings, p.cordons, p.generation = settings, cordons, generation
	p.preemptAfter = config.Micro(*settings.Operator.PreemptionDelayS)
}

// leaseExpiry returns the time after a heartbeat by which the worker's lease must have expired, even if the
// worker's clock is 0.05% slow and this controller's clock is 0.05% fast.
func (p *policy) leaseExpiry() Micros { return p.lease + p.lease/1000 + second/2 }

// rank returns the rank of a priority. Under first come, first served all priorities have the rank of
// normal priority. The lowest rank would not do, since no machines are rented at first for jobs of that rank.
func (p *policy) rank(priority string) int {
	if p.firstComeFirstServed {
		return Rank(wire.Normal)
	}
	return Rank(priority)
}

// Configure applies the settings and cordons of a configuration change. Batches decided after the call carry
// the given version, and are stored only while that version is in force. A lowered team limit doesn't stop
// running tasks, but keeps further tasks from starting.
func (c *Core) Configure(settings *config.Settings, cordons []dynconfig.Cordon, version uint64, now Micros) {
	if version == c.generation && settings == c.settings {
		return
	}
	c.now = now
	c.configure(settings, cordons, version)
	c.teams.configure(settings.Deployment.Teams)
	c.outbox.requestPass()
}

// cordonOf returns the first cordon that applies to a machine now, or nil.
func (c *Core) cordonOf(m *machine) *dynconfig.Cordon {
	for i := range c.cordons {
		if cordon := &c.cordons[i]; cordon.Covers(m.host, m.machineType.Name, m.zone, c.now) {
			return cordon
		}
	}
	return nil
}

// mayScaleOutIn reports whether no cordon keeps new tasks off all machines of a type in a zone.
func (c *Core) mayScaleOutIn(typ, zone string) bool {
	for i := range c.cordons {
		if c.cordons[i].BlocksScaleOut(typ, zone, c.now) {
			return false
		}
	}
	return true
}

// drainCordoned stops the tasks on a machine that an operator drains, with a checkpoint if the job writes
// checkpoints. Gangs are stopped as a whole.
func (c *Core) drainCordoned(m *machine) {
	m.eachPlacement(func(p *placement) {
		if p.stopping || !p.observed {
			return
		}
		canCheckpoint := p.job.spec.CheckpointIntervalS > 0
		if !p.job.isGang() {
			c.stopPlacement(p, canCheckpoint)
			return
		}
		for _, member := range p.job.sortedPlacements() {
			c.stopPlacement(member, canCheckpoint)
		}
	})
}
