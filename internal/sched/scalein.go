package sched

import (
	"cmp"
	"slices"

	"dalefront/internal/config"
	"dalefront/wire"
)

const (
	// minReturns is how many machines a round gives back at a site of up to
	// minReturns*machinesPerReturn machines.
	minReturns = 100
	// machinesPerReturn is how many machines there are for each that a round gives back at a larger
	// site. What ran on dead machines starts anew only once their return is confirmed, so a zone
	// that died should be given back within some ten rounds, however large it is.
	machinesPerReturn = 16

	// settleTime is how long after the begin of a term no idle machine is given back.
	settleTime = 20 * second

	// unlistedLags and unlistedDelay are how many lags of the cloud's list, and how much beside, a
	// machine must be old to be missed in it.
	unlistedLags  = 4
	unlistedDelay = 10 * second
	// unlistedSilence is how long a machine must be silent to count as gone if it isn't listed.
	unlistedSilence = 4 * second
	// unconfirmedSilence is how long beyond a lease a machine may be silent that has not been heard
	// of in this term.
	unconfirmedSilence = 6 * second
	// givenUpBoots and givenUpDelay are after how many boot times, and how much beside, a machine that
	// has not come up is given back.
	givenUpBoots = 3
	givenUpDelay = 40 * second
)

// maxReturns is how many machines a round gives back.
func (c *Core) maxReturns() int { return max(minReturns, c.machines.count()/machinesPerReturn) }

// scaleInRound is the state of one call of ScaleIn.
type scaleInRound struct {
	core     *Core
	machines []*machine
	limit    int
	returned []string
}

// ScaleIn lists machines to give back now. While the controller is blind no machine is given back
// for its silence, or for being idle.
func (c *Core) ScaleIn(now Micros, blind bool) []string {
	c.now = now
	round := &scaleInRound{core: c, machines: slices.Clone(c.machines.all()), limit: c.maxReturns()}
	round.returnUnusable(blind)
	if !blind && now-c.termStart >= settleTime {
		round.returnIdle()
	}
	return round.returned
}

// giveBack gives a machine back unless the round has given back enough.
func (r *scaleInRound) giveBack(m *machine, why string) {
	if len(r.returned) >= r.limit || m.scalingIn {
		return
	}
	m.scalingIn = true
	r.core.log("scale in", "host", m.host, "type", m.machineType.Name, "reason", why, "tasks", m.placementCount)
	r.returned = append(r.returned, m.host)
}

// returnUnusable gives back machines that are dead, have not come up, are worth replacing, or fail
// tasks.
func (r *scaleInRound) returnUnusable(blind bool) {
	silence := &silenceCosts{reschedule: newRescheduleCosts(r.core), boots: r.core.bootCurves()}
	for _, m := range r.machines {
		if m.scalingIn {
			continue
		}
		if why := r.core.returnReason(m, blind, silence); why != "" {
			r.giveBack(m, why)
		}
	}
}

// silenceCosts is what decisions on silent machines rest on, found out once a round.
type silenceCosts struct {
	reschedule *rescheduleCosts
	boots      map[string]survivalCurve
}

// returnReason says why a machine is to be given back, empty if it is kept.
func (c *Core) returnReason(machine *machine, blind bool, costs *silenceCosts) string {
	silence := c.now - max(machine.lastHeartbeat, c.termStart)
	switch {
	case machine.failed:
		return "failed"
	case blind:
		return ""
	case c.isUnlisted(machine, silence):
		return "no longer listed"
	case machine.leaseExpired:
		return c.replaceReason(machine, "lease expired: ", costs)
	case machine.registered && !machine.confirmed && silence > c.lease+unconfirmedSilence:
		// Never confirmed this term: time proves nothing about its lease.
		return c.replaceReason(machine, "silent since the term began: ", costs)
	case c.isBootGivenUp(machine, silence) || c.unlikelyToBoot(machine, costs.boots):
		c.recordBootOutcome(machine, false)
		return "never came up"
	case machine.quarantined && machine.placementCount == 0:
		return "tasks fail on it"
	case machine.registered && machine.placementCount == 0 && machine.reclaimAt > 0 && machine.confirmed:
		return "empty and about to be taken"
	}
	return ""
}

// replaceReason says why a silent machine is worth replacing, empty if it is waited for.
func (c *Core) replaceReason(m *machine, silent string, costs *silenceCosts) string {
	if why, ok := c.shouldReplace(m, costs.reschedule); ok {
		return silent + why
	}
	return ""
}

// isUnlisted says whether a silent machine was there so long ago that a list would show it, and the
// newest does not, whether or not one of this term did: taken or dead; the return proves it.
func (c *Core) isUnlisted(m *machine, silence Micros) bool {
	lags := unlistedLags * config.Micro(c.settings.Deployment.Cloud.ListLagS)
	return m.registered && c.listedAt > max(m.lastListedAt, m.rentedAt+lags) && c.now-m.rentedAt > lags+unlistedDelay && silence > unlistedSilence
}

// isBootGivenUp says whether a machine has taken so long to come up that it is given back, whatever
// is known of other boots.
func (c *Core) isBootGivenUp(m *machine, silence Micros) bool {
	return !m.registered && c.now-m.rentedAt > givenUpBoots*config.Micro(m.machineType.BootS)+givenUpDelay && silence > c.lease
}

// idleMachines is what decides which idle machines are kept.
type idleMachines struct {
	wanted   []demand                  // by tasks that are expected, and gangs that wait
	surplus  float64                   // CPUs beyond what the teams' guarantees call for
	idle     map[*wire.MachineType]int // machines
	expected map[*wire.MachineType]int // machines that expected tasks fill
}

// returnIdle gives back idle machines, the most expensive first, unless they are a spare that the objectives
// need, or some of those that a gang waits for while its others boot.
func (r *scaleInRound) returnIdle() {
	idle := r.findIdle()
	byPrice := slices.Clone(r.machines)
	slices.SortStableFunc(byPrice, func(a, b *machine) int { return cmp.Compare(b.hourlyPrice(), a.hourlyPrice()) })
	for _, idleMachine := range byPrice {
		if !r.core.isIdleLong(idleMachine, idle) || takeDemand(idleMachine, idle.wanted) {
			continue
		}
		cpus := r.core.serves(idleMachine.machineType, idleMachine.zone, idleMachine.spot)
		if cpus > 0 && idle.surplus < cpus {
			continue
		}
		idle.surplus -= cpus
		idle.idle[idleMachine.machineType]--
		r.giveBack(idleMachine, "idle")
	}
}

// findIdle sums up what is idle and what it is wanted for.
func (r *scaleInRound) findIdle() *idleMachines {
	c := r.core
	idle := &idleMachines{wanted: c.expectedDemand(), surplus: -c.standbyDemand(), idle: map[*wire.MachineType]int{}, expected: map[*wire.MachineType]int{}}
	for _, gang := range c.jobs.sorted(func(gang *job) bool { return gang.isGang() && gang.pendingCount() > 0 && c.mayScaleOutFor(gang) }) {
		idle.wanted = append(idle.wanted, demand{gang, gang.pendingCount()})
	}
	for _, machine := range r.machines {
		if machine.scalingIn || !machine.confirmed {
			continue
		}
		if machine.cordon == nil {
			idle.surplus += c.serves(machine.machineType, machine.zone, machine.spot)
		}
		if machine.placementCount == 0 {
			idle.idle[machine.machineType]++
		}
	}
	for machineType := range idle.idle {
		idle.expected[machineType] = c.expectedMachines(machineType)
	}
	return idle
}

// isIdleLong says whether a machine has been idle for longer than it is worth keeping.
func (c *Core) isIdleLong(m *machine, idle *idleMachines) bool {
	if m.scalingIn || !m.confirmed || m.placementCount > 0 || m.isReserved() {
		return false
	}
	since := m.idleSince
	if m.machineType.GPUs > 0 && c.lastPass.gpus.any {
		since = m.gpusIdleSince
	}
	t := m.machineType
	return c.now-since >= c.idleTimeout(t, idle.idle[t] <= idle.expected[t])
}

const (
	// unexpectedIdleBoots is for how many boot times a machine is kept idle for which no tasks are
	// expected.
	unexpectedIdleBoots = 0.4
	// expectedIdleBoots is the same for one for which some are: keeping it is worth as much as booting
	// another one would cost.
	expectedIdleBoots = 1.3
)

// idleTimeout is how long an idle machine of the type is kept, by whether tasks may be
// expected for it.
func (c *Core) idleTimeout(t *wire.MachineType, expected bool) Micros {
	boots := unexpectedIdleBoots
	if expected {
		boots = expectedIdleBoots
	}
	return min(config.Micro(*c.settings.Operator.IdleTimeoutS), config.Micro(boots*t.BootS))
}

// takeDemand says whether an idle machine is part of the room that is wanted, and takes it off the
// demands if so.
func takeDemand(m *machine, wanted []demand) (needed bool) {
	for i := range wanted {
		d := &wanted[i]
		if d.slots <= 0 || !allowed(d.job, m) {
			continue
		}
		if slots := slotsOnEmpty(d.job, m.machineType); slots > 0 {
			d.slots -= slots
			needed = true
		}
	}
	return needed
}
