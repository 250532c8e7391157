package sched

import "dalefront/internal/config"

const (
	// maxMachineVisits bounds the number of machines that a pass examines to find tasks to preempt. A machine
	// counts once for each search that examines the machine. The same bound applies separately to the searches
	// for gangs.
	maxMachineVisits = 200_000
	// minPreemptionSearches is the number of jobs for which a pass may search for tasks to preempt in any
	// case, even if these searches exceed maxMachineVisits.
	minPreemptionSearches = 4

	// preemptionShareDivisor limits how many machines preemption may reserve for one job at a time. The limit
	// is the fraction 1/preemptionShareDivisor of all schedulable machines.
	preemptionShareDivisor = 4

	// settledHeartbeatIntervals and settledDelay define the time that all running machines need to confirm a
	// new term. It is the given number of heartbeat intervals plus the delay, counted from the term's start.
	settledHeartbeatIntervals = 1.25
	settledDelay              = second
	// settledTenths is the share of running machines, in tenths, that must have confirmed the term for the
	// fleet to count as settled before that time has passed.
	settledTenths = 9

	// preemptionBackoff is the time after an unsuccessful search for tasks to preempt until the next search
	// for the same job.
	preemptionBackoff = second
	// preemptionReservationTime is the time for which a machine stays reserved for the preempting job after
	// the preempted tasks are expected to have written their checkpoints.
	preemptionReservationTime = 10 * second
)

// maxPreemptionSearches returns the limit on the searches for victims in a pass. Each search is for one job
// and covers all machines.
func (ps *pass) maxPreemptionSearches() int {
	return max(minPreemptionSearches, maxMachineVisits/max(1, len(ps.schedulable)))
}

// isFleetSettled reports whether nearly all running machines have confirmed the term, or have had the time to
// confirm it. In an unsettled fleet, a job may seem to lack capacity only because machines with free
// resources have not sent a heartbeat yet. Preempting for the job would then be needless. If each leader
// lasted only a few seconds, such needless preemptions would happen again and again.
func (c *Core) isFleetSettled() bool {
	if c.now-c.termStart > config.Micro(settledHeartbeatIntervals*c.settings.Deployment.Workers.HeartbeatIntervalS)+settledDelay {
		return true
	}
	up, confirmed := 0, 0
	for _, m := range c.machines.all() {
		if m.registered && !m.leaseExpired && !m.failed && !m.scalingIn {
			up++
			if m.confirmed {
				confirmed++
			}
		}
	}
	return confirmed*10 >= up*settledTenths
}

// mayPreempt reports whether preemption is enabled, the job has waited long enough for it, and there may
// be running tasks that the job may preempt.
func (ps *pass) mayPreempt(j *job) bool {
	c := ps.core
	if !ps.fleetSettled || c.preemptionPolicy == config.PreemptNone || c.firstComeFirstServed || j.isSuspect() {
		return false
	}
	if j.waitingSince == 0 || c.now-j.waitingSince < c.preemptAfter || c.now < j.preemptionBackoffUntil {
		return false
	}
	if c.jobs.placementsBelow(j.rank) > 0 {
		return true
	}
	return j.reclaimsGuarantee() && c.teams.any(func(t *team) bool {
		return t != j.team && t.exceedsGuarantee() && (t.usedCPUs > epsilon || t.usedGPUs > epsilon)
	})
}

// preemptFor preempts tasks to free capacity for the job's next task, if the job may preempt. It chooses the
// machine with the lowest total cost. The search covers all machines, so the number of searches in a pass is
// limited. A job that gets no search in this pass can get a search in a later pass.
func (ps *pass) preemptFor(job *job) {
	if !ps.mayPreempt(job) || ps.preemptionSearches > ps.maxPreemptionSearches() {
		return
	}
	ps.preemptionSearches++
	if !ps.mayPreemptAnotherMachine(job) {
		return
	}
	machine := ps.cheapestToPreempt(job)
	if machine == nil {
		job.preemptionBackoffUntil = ps.core.now + preemptionBackoff
		return
	}
	victims, _ := ps.selectVictims(job, machine)
	ps.preempt(job, machine, victims)
}

// mayPreemptAnotherMachine reports whether tasks on another machine may be preempted for the job. At most a
// quarter of the machines may be reserved for the job at a time. Without this limit, a single huge job of a
// guest team would preempt almost everything. A machine counts as long as it is reserved for the job.
func (ps *pass) mayPreemptAnotherMachine(j *job) bool {
	reserved := 0
	for _, m := range ps.schedulable {
		if m.isReservedFor(j) {
			reserved++
		}
	}
	return reserved < max(1, len(ps.schedulable)/preemptionShareDivisor) && reserved < j.pendingCount()
}

// cheapestToPreempt returns the machine on which preempting for a task of the job costs least, or nil
// if there is none.
func (ps *pass) cheapestToPreempt(job *job) (best *machine) {
	var bestCost Micros
	tasksByZone, reclaims := job.tasksByZone(), job.reclaimsGuarantee()
	for _, machine := range ps.schedulable {
		if !meetsMachineConstraints(job, machine) || machine.isReserved() || !satisfiesZoneConstraints(job, tasksByZone, machine.zone) || !fitsEmpty(job, machine) {
			continue
		}
		if !reclaims && slotsFor(job, machine.machineType, machine.usedAtOrAbove(job.rank)) == 0 {
			continue // preempting all tasks of lower ranks would not free enough capacity
		}
		cost, ok := ps.preemptionCost(job, machine)
		if !ok {
			continue
		}
		cost += Micros(ps.placementCost(job, machine) * float64(second))
		if best == nil || cost < bestCost || (cost == bestCost && machine.host < best.host) {
			best, bestCost = machine, cost
		}
	}
	return best
}

// preempt stops the selected victims and reserves the machine for the job.
func (ps *pass) preempt(job *job, machine *machine, victims []victim) {
	c := ps.core
	queueTime := Micros(0)
	for i := range victims {
		victim := &victims[i]
		preempted := victim.tasks[0].job
		if victim.tasks[0].stopping {
			continue // the victim is already being stopped, for another machine on which the job preempts
		}
		c.Stats.Preemptions += len(victim.tasks)
		if victim.checkpoint {
			c.Stats.Checkpoints++
		} else {
			c.Stats.Kills++
		}
		queueTime += victim.queueTime(preempted)
		preempted.preemptions++
		c.log("preempt", "for", job.id, "job", preempted.id, "tasks", len(victim.tasks), "host", machine.host,
			"checkpoint", victim.checkpoint, "progress_us", victim.progress, "overhead_us", victim.overhead)
		for _, placement := range victim.tasks {
			placement.preempted = true
			c.stopPlacement(placement, victim.checkpoint)
		}
	}
	machine.reserveCleared(job, c.now+queueTime+preemptionReservationTime)
}
