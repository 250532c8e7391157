package sched

import "math"

// gpuSummary summarizes what GPU tasks need. It is computed once per pass.
type gpuSummary struct {
	hasJobs                bool    // whether any class of jobs with GPUs is known
	maxRank                int     // the highest rank of the jobs with GPUs
	strictestWaitObjective Micros  // the strictest wait objective of any class with GPUs, 0 if there is none
	maxCPUsPerGPU          float64 // the largest number of CPUs per GPU that a task requests
	maxMemoryGBPerGPU      float64 // the largest amount of memory per GPU that a task requests
	freeGPUs               float64 // GPUs that are free on schedulable machines
	waitingGPUs            float64 // GPUs requested by waiting tasks
	gpuArrivalsPerS        float64 // GPUs requested per second by arriving tasks
}

// summarizeGPUs computes the pass's gpuSummary and lists the machine types that fit waiting jobs which
// may not use spot machines.
func (ps *pass) summarizeGPUs(queue []*job) {
	summary := gpuSummary{maxRank: -1}
	for _, class := range ps.core.classes.sorted() {
		if class.sampleJob != nil && class.sampleJob.spec.GPUs > 0 {
			summary.addClass(class, ps.core.now)
		}
	}
	for _, job := range queue {
		if !job.spec.Spot {
			for name, machineType := range ps.core.machineTypes {
				ps.typesWantedOnDemand[name] = ps.typesWantedOnDemand[name] || fitsType(&job.spec, machineType)
			}
		}
		summary.waitingGPUs += float64(job.pendingCount()) * job.spec.GPUs
	}
	for _, machine := range ps.schedulable {
		summary.freeGPUs += max(0, machine.machineType.GPUs-machine.usedGPUs)
	}
	ps.gpus = summary
}

// addClass includes what a class of GPU jobs needs.
func (g *gpuSummary) addClass(cl *class, now Micros) {
	spec := &cl.sampleJob.spec
	g.hasJobs = true
	g.maxCPUsPerGPU, g.maxMemoryGBPerGPU = max(g.maxCPUsPerGPU, spec.CPUs/spec.GPUs), max(g.maxMemoryGBPerGPU, spec.MemoryGB/spec.GPUs)
	g.maxRank = max(g.maxRank, cl.sampleJob.rank)
	g.gpuArrivalsPerS += cl.arrivalRate(now) * spec.GPUs
	if len(cl.waitObjectives) > 0 && (g.strictestWaitObjective == 0 || cl.waitObjectives[0] < g.strictestWaitObjective) {
		g.strictestWaitObjective = cl.waitObjectives[0]
	}
}

// justifiesGPUMachine reports whether tasks of the job justify keeping a GPU machine. They do if they use
// GPUs, or rank higher than all GPU jobs. They also do if they have the rank of the highest GPU job and a
// stricter wait objective than all GPU jobs. While no GPU jobs are known, the tasks of any job justify
// keeping the machine.
func (ps *pass) justifiesGPUMachine(j *job) bool {
	g := &ps.gpus
	if !g.hasJobs || j.spec.GPUs > 0 || j.rank > g.maxRank {
		return true
	}
	objectives := j.class.waitObjectives
	return j.rank == g.maxRank && len(objectives) > 0 && (g.strictestWaitObjective == 0 || objectives[0] < g.strictestWaitObjective)
}

// starvationAfter is the time that a job may wait without a task on any machine before it may take any
// machine that fits, so that no job waits indefinitely while such a machine has room.
const starvationAfter = 60 * second

// starved reports whether the job has waited for longer than starvationAfter.
func (c *Core) starved(j *job) bool {
	return j.waitingSince > 0 && c.now-max(j.waitingSince, j.lastVacatedAt) > starvationAfter && (j.isGang() || len(j.placements) == 0)
}

// mayUseGPUMachine reports whether a task without GPUs may be placed on a GPU machine. Tasks of jobs that
// justify a GPU machine (see justifiesGPUMachine), and of starved jobs, always may. Other tasks may not use a
// machine that is to be drained. On a machine that is not to be drained, such a task must leave the CPUs and
// the memory that tasks on the free GPUs need. Alternatively, enough GPUs must be free on other machines for
// the GPU tasks that arrive while the task runs. Without these rules small tasks fill the CPUs of the GPU
// machines, and the GPUs, the most expensive part, stay idle.
func (ps *pass) mayUseGPUMachine(j *job, m *machine) bool {
	if ps.justifiesGPUMachine(j) || ps.core.starved(j) {
		return true
	}
	if m.usedGPUs < epsilon && ps.core.shouldDrain(m, j) {
		return false
	}
	if ps.gpus.leavesResourcesForGPUs(j, m) {
		return true
	}
	if ps.core.now > j.dueAt-j.expectedRunTime() && j.spec.DeadlineS != nil {
		return false // the deadline can't be met any more, so the job can wait for a cheaper machine
	}
	return ps.gpus.enoughGPUsElsewhere(j, m)
}

// shouldDrain reports whether a GPU machine without GPU tasks takes no tasks of the job, so that it becomes
// idle and is returned. Jobs of the lowest priority without a deadline or an objective are always kept off,
// since they would keep the most expensive machines rented indefinitely. Other jobs are kept off once the GPUs
// have idled for the idle timeout, since these jobs can use cheaper machines. They are not kept off if the
// cloud recently had no machine without GPUs that fits them.
func (c *Core) shouldDrain(m *machine, j *job) bool {
	return j.isBestEffort() || (c.now-m.gpusIdleSince > c.idleTimeout(m.machineType, true) && !c.lacksCPUMachines(j))
}

// leavesResourcesForGPUs reports whether the machine has room for a task of the job in addition to the
// CPUs and the memory that tasks on its free GPUs need.
func (g *gpuSummary) leavesResourcesForGPUs(j *job, m *machine) bool {
	free := m.machineType.GPUs - m.usedGPUs
	return m.usedCPUs+j.spec.CPUs+free*g.maxCPUsPerGPU <= m.machineType.CPUs+epsilon &&
		m.usedMemoryGB+j.spec.MemoryGB+free*g.maxMemoryGBPerGPU <= m.machineType.MemoryGB+epsilon
}

// enoughGPUsElsewhere reports whether no GPU task waits and the GPUs that are free on other machines
// are enough for the GPU tasks that arrive while a task of the job runs. It allows for the expected
// number of GPUs plus one standard deviation.
func (g *gpuSummary) enoughGPUsElsewhere(j *job, m *machine) bool {
	expectedArrivals := g.gpuArrivalsPerS * float64(j.expectedRunTime()) / float64(second)
	return g.waitingGPUs == 0 && g.freeGPUs-(m.machineType.GPUs-m.usedGPUs) >= expectedArrivals+math.Sqrt(expectedArrivals)
}
