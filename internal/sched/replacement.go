package sched

import (
	"fmt"
	"math"

	"dalefront/internal/config"
	"dalefront/internal/failuredomain"
	"dalefront/wire"
)

// assumedFetchGBPerS is the lowest rate of fetching images, in GB/s, that estimates assume.
const assumedFetchGBPerS = 0.01

// rescheduleCosts estimates how soon the tasks of silent machines could start on other machines. It serves
// one call of ScaleIn, during which results are cached. A slot is free capacity for one task, and is counted
// for one task only.
type rescheduleCosts struct {
	core           *Core
	freeSlots      map[*class]int       // slots that remain after the waiting tasks have taken theirs
	bootTimes      map[*class]Micros    // boot time of a machine for the class, negative if none can be rented
	capacityWanted map[machineKind]bool // whether free capacity on a machine of the kind would be used
}

func newRescheduleCosts(c *Core) *rescheduleCosts {
	return &rescheduleCosts{core: c, freeSlots: map[*class]int{}, bootTimes: map[*class]Micros{}, capacityWanted: map[machineKind]bool{}}
}

// delay returns how long a task of a returned machine would wait until it runs again. The task takes a free
// slot or, if no slot is free, a machine that has to be rented. If no machine can be rented, the task takes
// the replacement of the returned machine, once the replacement has booted and can be reached.
func (r *rescheduleCosts) delay(j *job, m *machine, diagnosis *failuredomain.Diagnosis) Micros {
	fetch := config.Micro(j.spec.ImageGB / max(m.machineType.FetchGBPS, assumedFetchGBPerS))
	if r.takeSlot(j) {
		return fetch
	}
	if boot := r.bootTime(j); boot >= 0 {
		return boot + fetch
	}
	boot := config.Micro(m.machineType.BootS)
	if diagnosis.Verdict == failuredomain.Partitioned {
		boot = max(diagnosis.RemainingSilence, boot)
	}
	return boot + fetch
}

// takeSlot takes a free slot for a task of the job's class, and reports whether a slot was free. Slots that
// the waiting tasks need don't count as free.
func (r *rescheduleCosts) takeSlot(j *job) bool {
	slots, known := r.freeSlots[j.class]
	if !known {
		slots = r.core.surplusSlots(j)
	}
	r.freeSlots[j.class] = slots - 1
	return slots > 0
}

// bootTime returns how long a machine rented for a task of the job takes to boot. The result is negative if
// no machine can be rented.
func (r *rescheduleCosts) bootTime(j *job) Micros {
	boot, known := r.bootTimes[j.class]
	if !known {
		boot = r.core.fastestBoot(j)
		r.bootTimes[j.class] = boot
	}
	return boot
}

// wantsCapacity reports whether capacity on the machine would be used if it were available now.
func (r *rescheduleCosts) wantsCapacity(m *machine) bool {
	wanted, known := r.capacityWanted[m.kind()]
	if !known {
		wanted = r.core.wantsCapacity(m)
		r.capacityWanted[m.kind()] = wanted
	}
	return wanted
}

// surplusSlots returns how many tasks of the job fit the free capacity, less the number of waiting tasks that
// compete with the job's tasks. The result is negative if more tasks compete than fit.
func (c *Core) surplusSlots(j *job) int {
	slots := 0
	for _, m := range c.lastPass.schedulable {
		if meetsMachineConstraints(j, m) && !m.isReservedForOther(j) {
			slots += slotsFor(j, m.machineType, m.used())
		}
	}
	for other := range c.jobs.all() {
		if other.rank >= j.rank && other.pendingCount() > 0 && other.team.withinLimit(other.spec.CPUs, other.spec.GPUs) && other.competesWith(j) {
			slots -= other.pendingCount()
		}
	}
	return slots
}

// competesWith reports whether two jobs use roughly the same kind of machines.
func (j *job) competesWith(other *job) bool {
	return j.class == other.class || (j.spec.GPUs > 0) == (other.spec.GPUs > 0)
}

// fastestBoot returns the shortest boot time of the machine types that can be rented for the job. The result
// is negative if no type can be rented.
func (c *Core) fastestBoot(j *job) Micros {
	fastest := Micros(-1)
	for _, t := range c.machineTypes {
		for _, zone := range t.Zones {
			if !c.isRentable(j, t, zone) {
				continue
			}
			if boot := config.Micro(t.BootS); fastest < 0 || boot < fastest {
				fastest = boot
			}
		}
	}
	return fastest
}

// isRentable reports whether a machine of the type can be rented for the job in the zone. The zone must be
// reachable, and the cloud must have such a machine, as far as known.
func (c *Core) isRentable(j *job, t *wire.MachineType, zone string) bool {
	if !fitsType(&j.spec, t) || (j.spec.Zone != nil && *j.spec.Zone != zone) || c.detector.IsPartitioned(zone) {
		return false
	}
	return !c.lacksCapacity(t.Name, zone, false) || (j.spec.Spot && !c.lacksCapacity(t.Name, zone, true))
}

// wantsCapacity reports whether waiting tasks, expected tasks or the quota reserve could use the machine.
func (c *Core) wantsCapacity(m *machine) bool {
	for j := range c.jobs.all() {
		if j.pendingCount() > 0 && meetsMachineConstraints(j, m) && fitsType(&j.spec, m.machineType) {
			return true
		}
	}
	return c.expectedMachines(m.machineType) > 0 || (c.quotaReserveCPUs() > 0 && c.usableCPUs(m.machineType, m.zone, m.spot) > 0)
}

// shouldReplace decides whether a machine that is silent beyond its lease is returned. It compares the cost
// of waiting for the machine with the cost of returning the machine. Both costs are the time that tasks lose,
// weighted by the share of the machine that each task takes, and nothing else. The estimates use three
// sources: observations of this silence and of earlier silences, the tasks' run times and checkpoints, and the
// time that a replacement takes. Returning a silent machine is the only way to free the resources of tasks
// that may still be on the machine. Returning always has a cost, since a machine that is only partitioned
// continues to work.
func (c *Core) shouldReplace(machine *machine, costs *rescheduleCosts) (reason string, replace bool) {
	diagnosis := c.detector.diagnose(c.now, machine)
	switch {
	case diagnosis.Verdict == failuredomain.ObserverIsolated:
		return "", false
	case diagnosis.Verdict == failuredomain.Dead:
		return diagnosis.Evidence, true
	case *c.settings.Operator.SilentPatience == 0:
		return "silent_patience is 0", true
	}
	decision := replacementDecision{core: c, machine: machine, costs: costs, diagnosis: &diagnosis, wait: expectedSilence(&diagnosis) / *c.settings.Operator.SilentPatience}
	if decision.gain() <= 0 {
		return "", false
	}
	return fmt.Sprintf("%s, %s, expected for %.0f s more", diagnosis.Verdict, diagnosis.Evidence, decision.wait/float64(second)), true
}

// expectedSilence returns how much longer a silent machine is expected to stay silent, in microseconds.
func expectedSilence(diagnosis *failuredomain.Diagnosis) float64 {
	untilHeard := float64(diagnosis.RemainingSilence)
	if diagnosis.Verdict == failuredomain.Undetermined {
		// Either the machine is dead, which the cloud's list will show, or the machine comes back.
		return diagnosis.DeathProbability*float64(diagnosis.DeathListedIn) + (1-diagnosis.DeathProbability)*untilHeard
	}
	return untilHeard
}

// replacementDecision holds the inputs of the decision about one silent machine.
type replacementDecision struct {
	core      *Core
	machine   *machine
	costs     *rescheduleCosts
	diagnosis *failuredomain.Diagnosis
	wait      float64 // expected further silence in microseconds, divided by the setting silent_patience
}

// gain returns the time that is expected to be saved by returning the machine now instead of waiting. The
// result is in microseconds during which the whole machine is used.
func (d *replacementDecision) gain() float64 {
	gain, idle := 0.0, 1.0
	d.machine.eachPlacement(func(placement *placement) {
		share := d.machineShare(placement.job)
		taskGain, needed := d.taskGain(placement, share)
		gain += taskGain
		if needed {
			idle -= share
		}
	})
	if idle > epsilon {
		bootTime := 0.0
		if d.costs.wantsCapacity(d.machine) {
			bootTime = d.machine.machineType.BootS * float64(second)
		}
		gain += idle * (d.wait - bootTime)
	}
	return gain
}

// machineShare returns the fraction of the machine that a task of the job takes.
func (d *replacementDecision) machineShare(j *job) float64 {
	t := d.machine.machineType
	share := j.spec.CPUs / max(t.CPUs, epsilon)
	if t.GPUs > 0 {
		share = max(share, j.spec.GPUs/t.GPUs)
	}
	return share
}

// taskGain returns the time that a task gains if the machine is returned now. The task may still be on the
// machine. The time is weighted by the task's share of the machine. The result needed reports whether anyone
// waits for the task or for confirmation that the task is gone. If needed is false, the task's share of the
// machine counts as idle.
func (d *replacementDecision) taskGain(placement *placement, share float64) (gain float64, needed bool) {
	job := placement.job
	switch {
	case job.finalStatus == wire.JobCancelled:
		return share * d.wait, true // the user waits for confirmation that the task is gone
	case job.isOver() || job.isCompleted(placement.taskIndex):
		return 0, false // the task's share is idle capacity, which also counts against its team's limit
	case job.isGang() && (job.gangBroken || placement.stopping):
		return share * d.wait * float64(job.spec.Tasks), true // the whole gang waits for this attempt to be gone
	}
	delay := float64(d.costs.delay(job, d.machine, d.diagnosis))
	if placement.stopping || !d.diagnosis.LeasesRenewed {
		return share * (d.wait - delay), true // the task no longer makes progress and only has to start again
	}
	remaining, lost, stillRunning := d.core.workAtRisk(placement, d.diagnosis.SilentSince)
	return share * (stillRunning*(max(d.wait, remaining)-(delay+remaining+lost)) + (1-stillRunning)*(d.wait-delay)), true
}

// workAtRisk estimates the state of a task that may continue on a silent machine. It returns three values:
//   - remaining is the run time that the task still needed when the silence began, in microseconds.
//   - lost is the work that the task would repeat if the machine were returned now, in microseconds.
//   - stillRunning is the probability that the task has not ended yet, which can't be observed. The estimate
//     assumes that the standard deviation of run times is as large as their mean.
//
// A task that has ended loses nothing, since its result is kept.
func (c *Core) workAtRisk(placement *placement, since Micros) (remaining, lost, stillRunning float64) {
	estimate := float64(placement.job.expectedRunTime())
	if estimate == 0 {
		return math.MaxInt32 * float64(second), 0, 1 // a service replica runs until it is stopped
	}
	ran := estimate / 2 // assumed for a task from an earlier term, since its start time is unknown
	switch {
	case placement.runningSince > 0:
		ran = float64(since - placement.runningSince)
	case !placement.recovered:
		ran = 0
	}
	remaining = max(estimate-ran, estimate/4) // a task that exceeds its expected run time is likely to run on for a while
	silent := float64(c.now - since)
	stillRunning = math.Exp(-silent / remaining)
	lost = max(0, ran) + silent
	if interval := placement.job.spec.CheckpointIntervalS; interval > 0 {
		lost = min(lost, interval*float64(second))
	}
	return remaining, lost, stillRunning
}
