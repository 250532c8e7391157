package sched

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

// This file processes the cloud's lists of machines and its responses to rental and return requests.

// MachinesListed processes the cloud's list of machines, which lags and may be older than the previously
// received list.
func (c *Core) MachinesListed(list []wire.Machine, now Micros) {
	c.now = now
	for i := range list {
		if !c.machines.isReturned(list[i].ID) { // the list may lag behind a return
			c.updateFromList(&list[i])
		}
	}
	c.listedAt = now
}

// updateFromList updates or adds the machine of a list entry.
func (c *Core) updateFromList(listed *wire.Machine) {
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
		// The list entry describes the moment at which the machine had the listed age. The computed moment may
		// be too late by up to the list's lag, since rentedAt may come from an earlier list that lagged. The
		// lag is therefore subtracted.
		machine.lastListedRunning = max(machine.lastListedRunning, min(machine.rentedAt+age, c.now)-config.Micro(c.settings.Deployment.Cloud.ListLagS))
	}
	if listed.State == wire.MachineFailed && !machine.failed {
		machine.failed = true
		if machine.registered {
			c.detector.RecordDeath()
		}
	}
}

// ScaledOut processes the answer to a rental request. The hosts are the rented machines, possibly fewer than
// requested.
func (c *Core) ScaledOut(request wire.ScaleOutRequest, hosts []string, now Micros) {
	c.now = now
	c.cloud.recordAnswer(&request)
	c.Stats.ScaledOut += len(hosts)
	for _, host := range hosts {
		if c.machines.find(host) == nil {
			c.newMachine(host, "", request.Type, request.Zone, request.Spot).booting = true
		}
	}
	if len(hosts) < request.Count {
		c.cloud.recordRefusal(requestedKind(&request), now)
	}
}

// ScaleOutFailed processes a rental request that failed, or that the cloud refused for lack of capacity.
func (c *Core) ScaleOutFailed(request wire.ScaleOutRequest, noCapacity bool, now Micros) {
	c.now = now
	c.cloud.recordAnswer(&request)
	if noCapacity {
		c.cloud.recordRefusal(requestedKind(&request), now)
	}
}

// MachinesReturned processes the cloud's confirmation that machines were returned, which proves that
// everything on them is gone.
func (c *Core) MachinesReturned(hosts []string, now Micros) {
	c.now = now
	c.machines.recordReturned(hosts, now)
	for _, host := range hosts {
		if m := c.machines.find(host); m != nil {
			c.releaseReturnedMachine(m)
		}
	}
}

// releaseReturnedMachine releases the placements of a returned machine and drops the machine.
func (c *Core) releaseReturnedMachine(machine *machine) {
	machine.eachPlacement(func(p *placement) {
		if p.durable {
			c.release(p)
		}
	})
	c.Stats.ScaledIn++
	c.cloud.recordReturn(machine.kind(), c.now)
	c.ledger.machineReturned(machine.host)
	if machine.placementCount == 0 {
		c.dropMachine(machine)
		return
	}
	machine.leaseExpired = true // placements of a commit in flight remain and are released when the commit ends
	machine.scalingIn = false
	machine.failed = true
}

// ScaleInFailed records that returns were not confirmed. ScaleIn will list the machines again.
func (c *Core) ScaleInFailed(hosts []string, now Micros) {
	c.now = now
	for _, host := range hosts {
		if m := c.machines.find(host); m != nil {
			m.scalingIn = false
		}
	}
}

// IsObserverIsolated reports whether most workers fell silent at once. The fault is then more likely on this
// controller's side, and another controller should take over.
func (c *Core) IsObserverIsolated(now Micros) bool {
	c.now = now
	return c.detector.IsObserverIsolated()
}

// FleetSize returns the number of known machines, and the number of machines whose workers have confirmed this
// term's token.
func (c *Core) FleetSize() (known, up int) {
	for _, m := range c.machines.all() {
		if m.confirmed {
			up++
		}
	}
	return c.machines.count(), up
}
