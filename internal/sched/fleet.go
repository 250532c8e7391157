package sched

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

// What the cloud says of the machines: which there are, which were rented, which are returned.

// MachinesListed takes the cloud's list, which lags and may be older than the last.
func (c *Core) MachinesListed(list []wire.Machine, now Micros) {
	c.now = now
	for i := range list {
		if !c.machines.isReturned(list[i].ID) { // otherwise the list lags behind the return
			c.machineListed(&list[i])
		}
	}
	c.listedAt = now
}

// machineListed takes what the list says of a machine.
func (c *Core) machineListed(listed *wire.Machine) {
	machine := c.machines.find(listed.ID)
	if machine == nil {
		machine = c.newMachine(listed.ID, listed.Addr, listed.Type, listed.Zone, listed.Spot)
	}
	if machine.addr == "" {
		machine.addr = listed.Addr
	}
	age := config.Micro(listed.AgeS)
	if machine.lastListedAt == 0 {
		machine.rentedAt = min(machine.rentedAt, c.now-age)
	}
	machine.lastListedAt = c.now
	machine.booting = machine.booting || (listed.State == wire.MachineBooting && !machine.registered)
	if listed.State == wire.MachineRunning {
		// The moment that the list describes is the machine's age after its
		// birth, which may itself have been learned late, from a list.
		machine.lastListedRunning = max(machine.lastListedRunning, min(machine.rentedAt+age, c.now)-config.Micro(c.settings.Deployment.Cloud.ListLagS))
	}
	if listed.State == wire.MachineFailed && !machine.failed {
		machine.failed = true
		if machine.registered {
			c.detector.RecordDeath()
		}
	}
}

// ScaledOut takes the answer to a rental request.
func (c *Core) ScaledOut(request wire.ScaleOutRequest, hosts []string, now Micros) {
	c.now = now
	c.cloud.answered(&request)
	c.Stats.ScaledOut += len(hosts)
	for _, host := range hosts {
		if c.machines.find(host) == nil {
			c.newMachine(host, "", request.Type, request.Zone, request.Spot).booting = true
		}
	}
	if len(hosts) < request.Count {
		c.cloud.refused(requestedKind(&request), now)
	}
}

// ScaleOutFailed takes a refusal (no capacity) or a failure.
func (c *Core) ScaleOutFailed(request wire.ScaleOutRequest, noCapacity bool, now Micros) {
	c.now = now
	c.cloud.answered(&request)
	if noCapacity {
		c.cloud.refused(requestedKind(&request), now)
	}
}

// MachinesReturned says that machines, and everything on them, are gone: the cloud has
// confirmed their return.
func (c *Core) MachinesReturned(hosts []string, now Micros) {
	c.now = now
	c.machines.recordReturned(hosts, now)
	for _, host := range hosts {
		if m := c.machines.find(host); m != nil {
			c.machineReturned(m)
		}
	}
}

// machineReturned releases what was on a machine and forgets it.
func (c *Core) machineReturned(machine *machine) {
	machine.eachPlacement(func(p *placement) {
		if p.durable {
			c.release(p)
		}
	})
	c.Stats.ScaledIn++
	c.cloud.machineReturned(machine.kind(), c.now)
	c.ledger.machineReturned(machine.host)
	if machine.placementCount == 0 {
		c.dropMachine(machine)
		return
	}
	machine.leaseExpired = true // a commit for it is outstanding; it releases its tasks
	machine.scalingIn = false
	machine.failed = true
}

// ScaleInFailed says that a return was not confirmed; it will be asked again.
func (c *Core) ScaleInFailed(hosts []string, now Micros) {
	c.now = now
	for _, host := range hosts {
		if m := c.machines.find(host); m != nil {
			m.scalingIn = false
		}
	}
}

// Blind says that most workers fell silent at once: then the fault is likelier
// on this side, and another controller should take over.
func (c *Core) Blind(now Micros) bool {
	c.now = now
	return c.detector.IsObserverIsolated()
}

// FleetSize counts the machines known and those whose workers have confirmed the
// term.
func (c *Core) FleetSize() (known, up int) {
	for _, m := range c.machines.all() {
		if m.confirmed {
			up++
		}
	}
	return c.machines.count(), up
}
