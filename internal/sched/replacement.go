package sched

import (
	"fmt"
	"math"

	"dalefront/internal/config"
	"dalefront/internal/failuredomain"
	"dalefront/wire"
)

// slowestFetch is the least rate of fetching images, in GB/s, that is assumed.
const slowestFetch = 0.01

// rescheduleCosts knows, during one round of decisions about silent machines, how soon
// their tasks could start on others. What it found out for one machine it uses for the next.
type rescheduleCosts struct {
	core      *Core
	freeSlots map[*class]int       // slots that nobody waits for
	bootDelay map[*class]Micros    // until a rented machine could take a task, negative if none can be had
	wanted    map[machineKind]bool // whether room on a machine of the kind would be used
}

func newRescheduleCosts(c *Core) *rescheduleCosts {
	return &rescheduleCosts{core: c, freeSlots: map[*class]int{}, bootDelay: map[*class]Micros{}, wanted: map[machineKind]bool{}}
}

// delay is how long a task of a returned machine would wait until it runs again: it
// takes a free slot, or a machine that has to be rented, or, where none can be had,
// the one that takes the returned one's place once it can be reached.
func (r *rescheduleCosts) delay(j *job, m *machine, finding *failuredomain.Diagnosis) Micros {
	fetch := config.Micro(j.spec.ImageGB / max(m.machineType.FetchGBPS, slowestFetch))
	if r.takeSlot(j) {
		return fetch
	}
	if boot := r.boot(j); boot >= 0 {
		return boot + fetch
	}
	boot := config.Micro(m.machineType.BootS)
	if finding.Verdict == failuredomain.Partitioned {
		boot = max(finding.ExpectedSilence, boot)
	}
	return boot + fetch
}

// takeSlot takes one of the slots for the job's class that nobody waits for, and says whether there was one.
func (r *rescheduleCosts) takeSlot(j *job) bool {
	slots, known := r.freeSlots[j.class]
	if !known {
		slots = r.core.slotsBeyondWaiting(j)
	}
	r.freeSlots[j.class] = slots - 1
	return slots > 0
}

// boot is how long a rented machine for a task of the job takes to boot, negative if none can be had.
func (r *rescheduleCosts) boot(j *job) Micros {
	boot, known := r.bootDelay[j.class]
	if !known {
		boot = r.core.fastestBoot(j)
		r.bootDelay[j.class] = boot
	}
	return boot
}

// wants says whether room on the machine would be used if it were there now.
func (r *rescheduleCosts) wants(m *machine) bool {
	wanted, known := r.wanted[m.kind()]
	if !known {
		wanted = r.core.wantsRoom(m)
		r.wanted[m.kind()] = wanted
	}
	return wanted
}

// slotsBeyondWaiting is how many tasks of the job there is room for beside the waiting ones that compete with them;
// it is negative if more wait.
func (c *Core) slotsBeyondWaiting(j *job) int {
	slots := 0
	for _, m := range c.lastPass.schedulable {
		if allowed(j, m) && !m.isReservedForOther(j) {
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

// competesWith says whether two jobs use the same kind of machines, roughly.
func (j *job) competesWith(other *job) bool {
	return j.class == other.class || (j.spec.GPUs > 0) == (other.spec.GPUs > 0)
}

// fastestBoot is how long the fastest type of machine that can be had for the job takes to boot, negative if none
// can.
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

// isRentable says whether, as far as known, the cloud has such a machine for the job that could be reached.
func (c *Core) isRentable(j *job, t *wire.MachineType, zone string) bool {
	if !fitsType(&j.spec, t) || (j.spec.Zone != nil && *j.spec.Zone != zone) || c.detector.IsPartitioned(zone) {
		return false
	}
	return !c.lacksCapacity(t.Name, zone, false) || (j.spec.Spot && !c.lacksCapacity(t.Name, zone, true))
}

// wantsRoom says whether waiting or expected tasks could use the machine.
func (c *Core) wantsRoom(m *machine) bool {
	for j := range c.jobs.all() {
		if j.pendingCount() > 0 && allowed(j, m) && fitsType(&j.spec, m.machineType) {
			return true
		}
	}
	return c.expectedMachines(m.machineType) > 0 || (c.standbyDemand() > 0 && c.serves(m.machineType, m.zone, m.spot) > 0)
}

// shouldReplace weighs, for a machine that is silent beyond its lease, what waiting for it
// costs against what returning it costs, both in time of its tasks, each by the part
// of the machine that it takes. Nothing else counts: what is expected comes from what
// was observed of this silence and of earlier ones, from the tasks' run times and
// saves, and from what a replacement takes. Returning is the only way to free what
// may still be on the machine; it is never free of cost, since a machine that is only
// cut off goes on working.
func (c *Core) shouldReplace(machine *machine, costs *rescheduleCosts) (why string, replace bool) {
	finding := c.detector.diagnose(c.now, machine)
	switch {
	case finding.Verdict == failuredomain.ObserverIsolated:
		return "", false
	case finding.Verdict == failuredomain.Dead:
		return finding.Evidence, true
	case *c.settings.Operator.HeartbeatPatience == 0:
		return "no patience is set", true
	}
	weighing := replacementWeighing{core: c, machine: machine, costs: costs, finding: &finding, wait: expectedSilence(&finding) / *c.settings.Operator.HeartbeatPatience}
	if weighing.gain() <= 0 {
		return "", false
	}
	return fmt.Sprintf("%s, %s, expected for %.0f s more", finding.Verdict, finding.Evidence, weighing.wait/float64(second)), true
}

// expectedSilence is how long a silent machine is expected to stay so, in microseconds.
func expectedSilence(finding *failuredomain.Diagnosis) float64 {
	back := float64(finding.ExpectedSilence)
	if finding.Verdict == failuredomain.Undetermined {
		// Either it is dead, which the list will tell, or it comes back.
		return finding.DeathProbability*float64(finding.KnownIn) + (1-finding.DeathProbability)*back
	}
	return back
}

// replacementWeighing is what a decision about one silent machine rests on.
type replacementWeighing struct {
	core    *Core
	machine *machine
	costs   *rescheduleCosts
	finding *failuredomain.Diagnosis
	wait    float64 // microseconds until the machine is expected back, by the set patience
}

// gain is how much time of tasks, in microseconds of the whole machine, returning it now is expected to save.
func (w *replacementWeighing) gain() float64 {
	gain, idle := 0.0, 1.0
	w.machine.eachPlacement(func(placement *placement) {
		part := w.part(placement.job)
		taskGain, needed := w.gainFor(placement, part)
		gain += taskGain
		if needed {
			idle -= part
		}
	})
	if idle > epsilon {
		replace := 0.0
		if w.costs.wants(w.machine) {
			replace = w.machine.machineType.BootS * float64(second)
		}
		gain += idle * (w.wait - replace)
	}
	return gain
}

// part is the part of the machine that a task of the job takes.
func (w *replacementWeighing) part(j *job) float64 {
	t := w.machine.machineType
	part := j.spec.CPUs / max(t.CPUs, epsilon)
	if t.GPUs > 0 {
		part = max(part, j.spec.GPUs/t.GPUs)
	}
	return part
}

// gainFor is what a task that may be on the machine, and takes a part of it, gains if the machine is returned now.
// needed says whether anybody waits for the task or for the word that it is gone; what others take counts as idle.
func (w *replacementWeighing) gainFor(placement *placement, part float64) (gain float64, needed bool) {
	job := placement.job
	switch {
	case job.finalStatus == wire.JobCancelled:
		return part * w.wait, true // its user waits for the word that it is gone
	case job.isOver() || job.isCompleted(placement.taskIndex):
		return 0, false // it is room, which also counts against its team's limit
	case job.isGang() && (job.gangBroken || placement.stopping):
		return part * w.wait * float64(job.spec.Tasks), true // its whole gang waits for this attempt to be gone
	}
	delay := float64(w.costs.delay(job, w.machine, w.finding))
	if placement.stopping || !w.finding.LeasesRenewed {
		return part * (w.wait - delay), true // it runs no more: it only has to start again
	}
	left, lost, unended := w.core.workAtRisk(placement, w.finding.SilentSince)
	return part * (unended*(max(w.wait, left)-(delay+left+lost)) + (1-unended)*(w.wait-delay)), true
}

// workAtRisk is what a task that goes on working out of sight has still to run, what it
// would have to repeat if its machine were returned now, both in microseconds, and how likely it has not
// ended yet, which nobody can see: run times are taken to vary as much as they are
// long. One that has ended has lost nothing, as its result is kept.
func (c *Core) workAtRisk(placement *placement, since Micros) (left, lost, unended float64) {
	estimate := float64(placement.job.expectedRunTime())
	if estimate == 0 {
		return math.MaxInt32 * float64(second), 0, 1 // a replica runs until it is stopped
	}
	ran := estimate / 2 // at the beginning of the silence, if it ran before this term: nobody knows
	switch {
	case placement.runningSince > 0:
		ran = float64(since - placement.runningSince)
	case !placement.recovered:
		ran = 0
	}
	left = max(estimate-ran, estimate/4) // later than expected is likely to be a while later still
	silent := float64(c.now - since)
	unended = math.Exp(-silent / left)
	lost = max(0, ran) + silent
	if interval := placement.job.spec.CheckpointIntervalS; interval > 0 {
		lost = min(lost, interval*float64(second))
	}
	return left, lost, unended
}
