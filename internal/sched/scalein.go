package sched

import (
	"cmp"
	"slices"

	"dalefront/internal/config"
	"dalefront/wire"
)

const (
	// minReturnsPerRound is the highest number of machines that one call of ScaleIn returns at a small site. A
	// site is small if it has at most minReturnsPerRound*machinesPerReturn machines.
	minReturnsPerRound = 100
	// machinesPerReturn sets the limit at a larger site: one call of ScaleIn returns at most one in
	// machinesPerReturn machines. The tasks of dead machines restart only once the return is confirmed.
	// All machines of a dead zone should therefore be returned within about ten calls, however large the zone
	// is.
	machinesPerReturn = 16

	// idleReturnDelay is the time after the start of a term during which no idle machine is returned.
	idleReturnDelay = 20 * second

	// unlistedLagFactor and unlistedMargin define the age from which a machine that is missing from the
	// cloud's list may count as gone. A younger machine may be missing only because the list lags. The age is
	// the lag of the list, multiplied by the factor, plus the margin.
	unlistedLagFactor = 4
	unlistedMargin    = 10 * second
	// unlistedSilence is the time for which an unlisted machine must have been silent to count as gone.
	unlistedSilence = 4 * second
	// unconfirmedSilence is the time, in addition to the lease, for which a machine that has not confirmed
	// this term must have been silent before its return is considered.
	unconfirmedSilence = 6 * second
	// bootTimeoutFactor and bootTimeoutMargin define the time after which a machine that has not come up is
	// returned. This time is the boot time of the machine's type, multiplied by the factor, plus the margin.
	bootTimeoutFactor = 3
	bootTimeoutMargin = 40 * second
)

// maxReturnsPerRound returns the highest number of machines that one call of ScaleIn returns.
func (c *Core) maxReturnsPerRound() int {
	return max(minReturnsPerRound, c.machines.count()/machinesPerReturn)
}

// scaleInRound is the state of one call of ScaleIn.
type scaleInRound struct {
	core     *Core
	machines []*machine
	limit    int
	returned []string
}

// ScaleIn returns the host names of the machines to return to the cloud now. While this controller seems
// isolated from most workers, no machine is returned for being silent or idle.
func (c *Core) ScaleIn(now Micros, observerIsolated bool) []string {
	c.now = now
	round := &scaleInRound{core: c, machines: slices.Clone(c.machines.all()), limit: c.maxReturnsPerRound()}
	round.returnUnusable(observerIsolated)
	if !observerIsolated && now-c.termStart >= idleReturnDelay {
		round.returnIdle()
	}
	return round.returned
}

// returnMachine marks a machine as scaling in and adds it to the round's result, unless the round has reached
// its limit.
func (r *scaleInRound) returnMachine(m *machine, reason string) {
	if len(r.returned) >= r.limit || m.scalingIn {
		return
	}
	m.scalingIn = true
	r.core.log("scale in", "host", m.host, "type", m.machineType.Name, "reason", reason, "tasks", m.placementCount)
	r.returned = append(r.returned, m.host)
}

// returnUnusable returns machines that are dead, have not come up, should be replaced, or make tasks fail.
func (r *scaleInRound) returnUnusable(observerIsolated bool) {
	estimates := &returnEstimates{reschedule: newRescheduleCosts(r.core), boots: r.core.bootCurves()}
	for _, m := range r.machines {
		if m.scalingIn {
			continue
		}
		if reason := r.core.returnReason(m, observerIsolated, estimates); reason != "" {
			r.returnMachine(m, reason)
		}
	}
}

// returnEstimates holds the estimates for decisions about silent and booting machines, computed once a round.
type returnEstimates struct {
	reschedule *rescheduleCosts
	boots      map[string]survivalCurve
}

// returnReason returns the reason for returning a machine, or an empty string if it is kept.
func (c *Core) returnReason(machine *machine, observerIsolated bool, estimates *returnEstimates) string {
	silence := c.now - max(machine.lastHeartbeat, c.termStart)
	switch {
	case machine.failed:
		return "failed"
	case observerIsolated:
		return ""
	case c.isUnlisted(machine, silence):
		return "no longer listed"
	case machine.leaseExpired:
		return c.replaceReason(machine, "lease expired: ", estimates)
	case machine.registered && !machine.confirmed && silence > c.lease+unconfirmedSilence:
		// The machine has not confirmed this term, so its silence doesn't prove that its lease has expired.
		return c.replaceReason(machine, "silent since the term began: ", estimates)
	case c.isBootTimedOut(machine, silence) || c.isUnlikelyToBoot(machine, estimates.boots):
		c.recordBootOutcome(machine, false)
		return "never came up"
	case machine.quarantined && machine.placementCount == 0:
		return "tasks fail on it"
	case machine.registered && machine.placementCount == 0 && machine.reclaimAt > 0 && machine.confirmed:
		return "empty and about to be reclaimed"
	}
	return ""
}

// replaceReason returns the reason for replacing a silent machine, or an empty string if it is better to wait
// for it.
func (c *Core) replaceReason(m *machine, prefix string, estimates *returnEstimates) string {
	if reason, ok := c.shouldReplace(m, estimates.reschedule); ok {
		return prefix + reason
	}
	return ""
}

// isUnlisted reports whether a silent machine is missing from the cloud's newest list although the machine is
// old enough to be in the list. Whether an earlier list of this term showed the machine does not matter. Such
// a machine was reclaimed or is dead. Once its return is confirmed, the machine is proven gone.
func (c *Core) isUnlisted(m *machine, silence Micros) bool {
	lags := unlistedLagFactor * config.Micro(c.settings.Deployment.Cloud.ListLagS)
	return m.registered && c.listedAt > max(m.lastListedAt, m.rentedAt+lags) && c.now-m.rentedAt > lags+unlistedMargin && silence > unlistedSilence
}

// isBootTimedOut reports whether a machine has been booting for so long that it is returned, regardless of
// the boot times of other machines.
func (c *Core) isBootTimedOut(m *machine, silence Micros) bool {
	return !m.registered && c.now-m.rentedAt > bootTimeoutFactor*config.Micro(m.machineType.BootS)+bootTimeoutMargin && silence > c.lease
}

// idleSummary holds the numbers of idle machines by type, and the demand that decides which idle machines are
// kept.
type idleSummary struct {
	wanted         []demand                  // demand of expected tasks and of waiting gangs
	surplusCPUs    float64                   // usable CPUs in excess of the teams' quota reserve
	idleByType     map[*wire.MachineType]int // number of idle machines
	expectedByType map[*wire.MachineType]int // number of machines that expected tasks would fill
}

// returnIdle returns idle machines, the most expensive first. It keeps the machines that the objectives need
// as spare capacity. It also keeps the machines that a waiting gang will use once the gang's other machines
// have booted.
func (r *scaleInRound) returnIdle() {
	idle := r.summarizeIdle()
	byPrice := slices.Clone(r.machines)
	slices.SortStableFunc(byPrice, func(a, b *machine) int { return cmp.Compare(b.hourlyPrice(), a.hourlyPrice()) })
	for _, idleMachine := range byPrice {
		if !r.core.exceedsIdleTimeout(idleMachine, idle) || consumeDemand(idleMachine, idle.wanted) {
			continue
		}
		cpus := r.core.usableCPUs(idleMachine.machineType, idleMachine.zone, idleMachine.spot)
		if cpus > 0 && idle.surplusCPUs < cpus {
			continue
		}
		idle.surplusCPUs -= cpus
		idle.idleByType[idleMachine.machineType]--
		r.returnMachine(idleMachine, "idle")
	}
}

// summarizeIdle counts the idle machines and collects the demand for which idle machines are kept.
func (r *scaleInRound) summarizeIdle() *idleSummary {
	c := r.core
	idle := &idleSummary{wanted: c.expectedDemand(), surplusCPUs: -c.quotaReserveCPUs(), idleByType: map[*wire.MachineType]int{}, expectedByType: map[*wire.MachineType]int{}}
	for _, gang := range c.jobs.sorted(func(gang *job) bool { return gang.isGang() && gang.pendingCount() > 0 && c.mayScaleOutFor(gang) }) {
		idle.wanted = append(idle.wanted, demand{gang, gang.pendingCount()})
	}
	for _, machine := range r.machines {
		if machine.scalingIn || !machine.confirmed {
			continue
		}
		if machine.cordon == nil {
			idle.surplusCPUs += c.usableCPUs(machine.machineType, machine.zone, machine.spot)
		}
		if machine.placementCount == 0 {
			idle.idleByType[machine.machineType]++
		}
	}
	for machineType := range idle.idleByType {
		idle.expectedByType[machineType] = c.expectedMachines(machineType)
	}
	return idle
}

// exceedsIdleTimeout reports whether a machine has been idle for at least its idle timeout.
func (c *Core) exceedsIdleTimeout(m *machine, idle *idleSummary) bool {
	if m.scalingIn || !m.confirmed || m.placementCount > 0 || m.isReserved() {
		return false
	}
	since := m.idleSince
	if m.machineType.GPUs > 0 && c.lastPass.gpus.hasJobs {
		since = m.gpusIdleSince
	}
	t := m.machineType
	return c.now-since >= c.idleTimeout(t, idle.idleByType[t] <= idle.expectedByType[t])
}

const (
	// unexpectedIdleBootFactor is the idle timeout of a machine for which no tasks are expected, as a
	// multiple of its type's boot time.
	unexpectedIdleBootFactor = 0.4
	// expectedIdleBootFactor is the idle timeout of a machine for which tasks are expected, as a multiple of
	// its type's boot time. Keeping the machine for that long costs about as much as booting another one.
	expectedIdleBootFactor = 1.3
)

// idleTimeout returns how long an idle machine of the type is kept, depending on whether tasks are expected
// for it.
func (c *Core) idleTimeout(t *wire.MachineType, expected bool) Micros {
	boots := unexpectedIdleBootFactor
	if expected {
		boots = expectedIdleBootFactor
	}
	return min(config.Micro(*c.settings.Operator.IdleTimeoutS), config.Micro(boots*t.BootS))
}

// consumeDemand reports whether an idle machine can serve any of the wanted demands. It subtracts the number
// of tasks that fit on the machine from each demand that the machine can serve.
func consumeDemand(m *machine, wanted []demand) (needed bool) {
	for i := range wanted {
		d := &wanted[i]
		if d.slots <= 0 || !meetsMachineConstraints(d.job, m) {
			continue
		}
		if slots := slotsOnEmpty(d.job, m.machineType); slots > 0 {
			d.slots -= slots
			needed = true
		}
	}
	return needed
}
