package sched

import (
	"math"

	"dalefront/internal/config"
	"dalefront/wire"
)

// This file estimates the demand for machine capacity beyond that of the waiting tasks: the capacity for
// tasks that are expected to arrive, and for the teams' guaranteed quotas.

const (
	// rentalBootFactor is the number of boot times within which a rented machine is assumed to be up. A boot
	// usually takes up to 1.5 boot times.
	rentalBootFactor = 2
	// rentalDelayS is the time in seconds that renting takes in addition to the boot.
	rentalDelayS = 10
)

// demand describes wanted capacity: room for the given number of tasks like those of the job.
type demand struct {
	job   *job
	slots int
}

// expectedDemand returns the capacity to keep free for tasks that are expected to arrive while a machine is
// rented and boots. The result is sorted by class name. It covers the classes whose objective for the start of
// jobs is shorter than the time that renting and booting take.
func (c *Core) expectedDemand() (expected []demand) {
	guaranteeObjective := strictestGuarantee(c.settings.Deployment.Objectives)
	for _, class := range c.classes.sorted() {
		if class.sampleJob == nil || class.sampleJob.spec.Shape == wire.Service {
			continue
		}
		boot := c.machineTypes.shortestBootS(class.sampleJob)
		if class.strictestObjective(guaranteeObjective) > config.Micro(rentalBootFactor*boot)+rentalDelayS*second {
			continue // a machine that is rented only when tasks arrive is up in time
		}
		if slots := c.expectedSlots(class, boot); slots > 0 {
			expected = append(expected, demand{class.sampleJob, slots})
		}
	}
	return expected
}

// strictestGuarantee returns the strictest objective for the start of guaranteed work, or 0 if there is none.
func strictestGuarantee(objectives []config.Objective) (objective Micros) {
	for _, o := range objectives {
		if within := config.Micro(o.WithinS); o.Kind == "guarantee" && (objective == 0 || within < objective) {
			objective = within
		}
	}
	return objective
}

// strictestObjective returns the strictest objective for the start of the class's jobs, or math.MaxInt64 if
// there is none.
func (cl *class) strictestObjective(guaranteeObjective Micros) Micros {
	objective := Micros(math.MaxInt64)
	if len(cl.waitObjectives) > 0 {
		objective = cl.waitObjectives[0]
	}
	if guaranteeObjective > 0 && cl.sampleJob.team.hasGuarantee() {
		objective = min(objective, guaranteeObjective)
	}
	return objective
}

// shortestBootS returns the shortest boot time in seconds among the types that fit the job, or 0 if none
// does.
func (cat catalog) shortestBootS(j *job) (boot float64) {
	for _, t := range cat {
		if fitsType(&j.spec, t) && (boot == 0 || t.BootS < boot) {
			boot = t.BootS
		}
	}
	return boot
}

// expectedSlots returns the number of tasks of the class that are expected to arrive while a machine boots,
// less one for each machine on which preemption makes room for a task. Arrivals are assumed to be
// independent, and the estimate is their mean plus one standard deviation. Tasks that end in the meantime are
// not counted.
func (c *Core) expectedSlots(cl *class, bootS float64) int {
	arrivals := cl.arrivalRate(c.now) * (bootS + rentalDelayS)
	slots := int(math.Round((arrivals + math.Sqrt(arrivals)) * *c.settings.Operator.HeadroomFactor))
	for _, m := range c.machines.all() {
		if slots > 0 && c.isSchedulable(m) && fitsAfterPreemption(cl.sampleJob, m) {
			slots--
		}
	}
	return slots
}

// fitsAfterPreemption reports whether preempting tasks of lower priority would make room on the machine for a
// task of the job.
func fitsAfterPreemption(j *job, m *machine) bool {
	if !meetsMachineConstraints(j, m) || slotsOnEmpty(j, m.machineType) == 0 {
		return false
	}
	used, preemptible := m.used(), false
	m.eachPlacement(func(p *placement) {
		if p.job.rank < j.rank {
			preemptible = true
			used.subtract(p.job.taskResources())
		}
	})
	return preemptible && slotsFor(j, m.machineType, used) > 0
}

// quotaReserveCPUs returns the capacity in CPUs to keep rented for the teams' guaranteed quotas while there
// are any jobs. Guaranteed capacity has to exist before it is requested, since a boot takes longer than
// guaranteed work may wait.
func (c *Core) quotaReserveCPUs() float64 {
	if c.jobs.count() == 0 {
		return 0
	}
	guaranteed := 0.0
	for _, t := range c.settings.Deployment.Teams {
		guaranteed += t.CPUs
	}
	return guaranteed * *c.settings.Operator.QuotaReserveFactor
}

// usableCPUs returns how many CPUs of a machine of the given type, in the given zone, spot or on-demand, the
// known classes can use. The result is the minimum over the classes that fit, since tasks may not fill the
// machine completely.
func (c *Core) usableCPUs(t *wire.MachineType, zone string, spot bool) (cpus float64) {
	for _, cl := range c.classes.sorted() {
		j := cl.sampleJob
		if j == nil || (spot && !j.spec.Spot) || !fitsType(&j.spec, t) || (j.spec.Zone != nil && *j.spec.Zone != zone) {
			continue
		}
		if used := float64(slotsOnEmpty(j, t)) * j.spec.CPUs; cpus == 0 || used < cpus {
			cpus = used
		}
	}
	return cpus
}

// heaviestJob returns the sample job of the class whose arriving tasks bring the most work, in CPU seconds per
// second. Only classes whose sample job is of a team with a guaranteed quota count. The result is nil if there
// is no such class.
func (c *Core) heaviestJob() (heaviest *job) {
	mostWork := 0.0
	for _, cl := range c.classes.sorted() {
		j := cl.sampleJob
		if j == nil || j.spec.Shape == wire.Service || j.team.CPUs == 0 {
			continue
		}
		work := cl.arrivalRate(c.now) * j.spec.CPUs * j.spec.EstimateS
		if work > mostWork || (work == mostWork && heaviest != nil && j.id < heaviest.id) {
			heaviest, mostWork = j, work
		}
	}
	return heaviest
}

// expectedMachines estimates how many machines of the type will be filled by tasks that arrive while another
// machine would boot. Arriving tasks that can run in place of tasks that end during the boot don't count. The
// estimate is the mean plus one standard deviation, which allows for all tasks of a job arriving at once.
func (c *Core) expectedMachines(t *wire.MachineType) int {
	machines := 0.0
	for _, cl := range c.classes.sorted() {
		j := cl.sampleJob
		if j == nil || !fitsType(&j.spec, t) || (t.GPUs > 0) != (j.spec.GPUs > 0) {
			continue
		}
		if slots := slotsOnEmpty(j, t); slots > 0 {
			tasks := cl.arrivalRate(c.now) * (t.BootS + rentalDelayS)
			machines += (max(0, tasks-c.completionsWithin(cl, config.Micro(t.BootS))) + math.Sqrt(tasks*max(1, cl.meanTasks))) / float64(slots)
		}
	}
	return int(math.Ceil(machines))
}

// completionsWithin returns the number of running tasks of a class that are expected to end within the given
// time.
func (c *Core) completionsWithin(cl *class, within Micros) (completions float64) {
	for j := range c.jobs.all() {
		if j.class != cl {
			continue
		}
		for p := range j.placements {
			if c.endsWithin(p, within) {
				completions++
			}
		}
	}
	return completions
}

// endsWithin reports whether a running task is expected to end within the given time.
func (c *Core) endsWithin(p *placement, within Micros) bool {
	if p.runningSince == 0 || p.job.spec.EstimateS == 0 {
		return false
	}
	left := p.job.expectedRunTime() - (c.now - p.runningSince)
	return left > 0 && left < within
}
