package sched

import (
	"math"

	"dalefront/internal/config"
	"dalefront/wire"
)

// What the room of machines is wanted for beside tasks that wait: tasks that are expected to
// arrive, and what is guaranteed to teams.

const (
	// rentInTime is within how many boot times a rented machine is up, as far as counts:
	// it takes up to 1.5 usually.
	rentInTime = 2
	// rentDelayS is what renting takes beside the boot, in seconds.
	rentDelayS = 10
)

// demand is room wanted for tasks of one shape.
type demand struct {
	job   *job
	slots int
}

// expectedDemand is the room to be kept free for tasks that arrive while a machine
// would boot, for classes whose start the objectives watch too closely for a boot, by their names.
func (c *Core) expectedDemand() (expected []demand) {
	guaranteeObjective := strictestGuarantee(c.settings.Deployment.Objectives)
	for _, class := range c.classes.sorted() {
		if class.sampleJob == nil || class.sampleJob.spec.Shape == wire.Service {
			continue
		}
		boot := c.machineTypes.shortestBootS(class.sampleJob)
		if class.strictestObjective(guaranteeObjective) > config.Micro(rentInTime*boot)+rentDelayS*second {
			continue // a machine rented when it is needed is up in time
		}
		if slots := c.expectedSlots(class, boot); slots > 0 {
			expected = append(expected, demand{class.sampleJob, slots})
		}
	}
	return expected
}

// strictestGuarantee is the strictest objective for the start of guaranteed work, 0 if there is none.
func strictestGuarantee(objectives []config.Objective) (objective Micros) {
	for _, o := range objectives {
		if within := config.Micro(o.WithinS); o.Kind == "guarantee" && (objective == 0 || within < objective) {
			objective = within
		}
	}
	return objective
}

// strictestObjective is the strictest objective for the start of the class's jobs.
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

// shortestBootS is the shortest boot time in seconds of the types that fit the job, 0 if none does.
func (cat catalog) shortestBootS(j *job) (boot float64) {
	for _, t := range cat {
		if fitsType(&j.spec, t) && (boot == 0 || t.BootS < boot) {
			boot = t.BootS
		}
	}
	return boot
}

// expectedSlots is how many tasks of the class may be expected while a machine boots, beyond those
// for which preempting makes room. Arrivals are taken to be independent: the mean plus one
// deviation. What finishes meanwhile is left to chance.
func (c *Core) expectedSlots(cl *class, bootS float64) int {
	n := cl.arrivalRate(c.now) * (bootS + rentDelayS)
	slots := int(math.Round((n + math.Sqrt(n)) * *c.settings.Operator.HeadroomFactor))
	for _, m := range c.machines.all() {
		if slots > 0 && c.isSchedulable(m) && canClear(cl.sampleJob, m) {
			slots--
		}
	}
	return slots
}

// canClear says whether preempting lower priorities would make room on the
// machine for a task of the job.
func canClear(j *job, m *machine) bool {
	if !allowed(j, m) || slotsOnEmpty(j, m.machineType) == 0 {
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

// standbyDemand is the room in CPUs that the guarantees call for while there is work:
// what is guaranteed has to be there when it is asked for, since a boot takes
// longer than such work may wait.
func (c *Core) standbyDemand() float64 {
	if c.jobs.count() == 0 {
		return 0
	}
	guaranteed := 0.0
	for _, t := range c.settings.Deployment.Teams {
		guaranteed += t.CPUs
	}
	return guaranteed * *c.settings.Operator.QuotaReserveFactor
}

// serves is how many CPUs of such a machine the classes seen can use: the least
// over those that fit, as its room may be cut badly.
func (c *Core) serves(t *wire.MachineType, zone string, spot bool) (cpus float64) {
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

// heaviestJob is a job of the class that brings most work in teams with guarantees, nil for none.
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

// expectedMachines is how many machines of the type the tasks fill that may be expected while
// another one would boot, beyond those that take the place of tasks which end
// meanwhile: the mean and one deviation, as tasks come a job at a time.
func (c *Core) expectedMachines(t *wire.MachineType) int {
	machines := 0.0
	for _, cl := range c.classes.sorted() {
		j := cl.sampleJob
		if j == nil || !fitsType(&j.spec, t) || (t.GPUs > 0) != (j.spec.GPUs > 0) {
			continue
		}
		if slots := slotsOnEmpty(j, t); slots > 0 {
			tasks := cl.arrivalRate(c.now) * (t.BootS + rentDelayS)
			machines += (max(0, tasks-c.completionsWithin(cl, config.Micro(t.BootS))) + math.Sqrt(tasks*max(1, cl.meanTasks))) / float64(slots)
		}
	}
	return int(math.Ceil(machines))
}

// completionsWithin counts the running tasks of a class that are expected to end within that
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

// endsWithin says whether a running task is expected to end within the time.
func (c *Core) endsWithin(p *placement, within Micros) bool {
	if p.runningSince == 0 || p.job.spec.EstimateS == 0 {
		return false
	}
	left := p.job.expectedRunTime() - (c.now - p.runningSince)
	return left > 0 && left < within
}
