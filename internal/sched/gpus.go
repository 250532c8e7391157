package sched

import "math"

// gpuSummary is what GPU tasks need, summed up once a pass.
type gpuSummary struct {
	any            bool    // jobs with GPUs are known
	rank           int     // the highest of their priorities
	startObjective Micros  // the strictest objective for their start, 0 if there is none
	cpusPerGPU     float64 // the most that a task takes beside one GPU
	memPerGPU      float64
	free           float64 // GPUs free on schedulable machines
	waiting        float64 // GPUs wanted by waiting tasks
	arrivalsPerS   float64 // GPUs wanted per second by arriving tasks
}

// summarizeGPUs sums up what GPU tasks need, and which types are wanted by jobs that may not use
// spot machines.
func (ps *pass) summarizeGPUs(queue []*job) {
	summary := gpuSummary{rank: -1}
	for _, class := range ps.core.classes.sorted() {
		if class.sampleJob != nil && class.sampleJob.spec.GPUs > 0 {
			summary.addClass(class, ps.core.now)
		}
	}
	for _, job := range queue {
		if !job.spec.Spot {
			for name, machineType := range ps.core.machineTypes {
				ps.onDemandTypes[name] = ps.onDemandTypes[name] || fitsType(&job.spec, machineType)
			}
		}
		summary.waiting += float64(job.pendingCount()) * job.spec.GPUs
	}
	for _, machine := range ps.schedulable {
		summary.free += max(0, machine.machineType.GPUs-machine.usedGPUs)
	}
	ps.gpus = summary
}

// addClass takes what a class of GPU tasks needs into account.
func (g *gpuSummary) addClass(cl *class, now Micros) {
	spec := &cl.sampleJob.spec
	g.any = true
	g.cpusPerGPU, g.memPerGPU = max(g.cpusPerGPU, spec.CPUs/spec.GPUs), max(g.memPerGPU, spec.MemoryGB/spec.GPUs)
	g.rank = max(g.rank, cl.sampleJob.rank)
	g.arrivalsPerS += cl.arrivalRate(now) * spec.GPUs
	if len(cl.waitObjectives) > 0 && (g.startObjective == 0 || cl.waitObjectives[0] < g.startObjective) {
		g.startObjective = cl.waitObjectives[0]
	}
}

// keepsGPUMachine says whether a GPU machine is kept for tasks of the job too: they use GPUs, rank
// higher than those that do, or have an objective that watches their start more closely.
func (ps *pass) keepsGPUMachine(j *job) bool {
	g := &ps.gpus
	if !g.any || j.spec.GPUs > 0 || j.rank > g.rank {
		return true
	}
	objectives := j.class.waitObjectives
	return j.rank == g.rank && len(objectives) > 0 && (g.startObjective == 0 || objectives[0] < g.startObjective)
}

// starvationAfter is how long a job may wait with none of its tasks on a machine before whatever
// room there is will do: nobody is left waiting beside a machine that fits.
const starvationAfter = 60 * second

// starved says whether the job has waited for so long.
func (c *Core) starved(j *job) bool {
	return j.waitingSince > 0 && c.now-max(j.waitingSince, j.lastVacatedAt) > starvationAfter && (j.isGang() || len(j.placements) == 0)
}

// mayUseGPUMachine says whether a task without GPUs may go to a GPU
// machine. It may as long as it leaves what the free GPUs' own tasks need beside
// them. Beyond that it may if it ranks higher or an objective watches its start, or if
// enough GPUs stay free elsewhere for the GPU tasks that arrive during its
// stay. Otherwise small tasks fill the processors of the GPU machines and
// their GPUs, the most expensive part, stand idle.
func (ps *pass) mayUseGPUMachine(j *job, m *machine) bool {
	if ps.keepsGPUMachine(j) || ps.core.starved(j) {
		return true
	}
	if m.usedGPUs < epsilon && ps.core.shouldEmpty(m, j) {
		return false
	}
	if ps.gpus.leavesRoomBeside(j, m) {
		return true
	}
	if ps.core.now > j.dueAt-j.expectedRunTime() && j.spec.DeadlineS != nil {
		return false // too late anyway: it can wait for a cheaper machine
	}
	return ps.gpus.enoughFreeBeside(j, m)
}

// shouldEmpty says whether a GPU machine without GPU tasks takes no task of the job, so that it goes
// back: nothing would ever let the most expensive machines go for work that no objective watches, and
// other work can have cheaper ones.
func (c *Core) shouldEmpty(m *machine, j *job) bool {
	return j.isLeftover() || (c.now-m.gpusIdleSince > c.idleTimeout(m.machineType, true) && !c.allLackCapacity(j))
}

// leavesRoomBeside says whether the machine has room for a task of the job beside what tasks on its
// free GPUs need.
func (g *gpuSummary) leavesRoomBeside(j *job, m *machine) bool {
	free := m.machineType.GPUs - m.usedGPUs
	return m.usedCPUs+j.spec.CPUs+free*g.cpusPerGPU <= m.machineType.CPUs+epsilon &&
		m.usedMemoryGB+j.spec.MemoryGB+free*g.memPerGPU <= m.machineType.MemoryGB+epsilon
}

// enoughFreeBeside says whether the GPUs that are free on other machines do for the GPU tasks that
// arrive while a task of the job runs: their mean and one deviation.
func (g *gpuSummary) enoughFreeBeside(j *job, m *machine) bool {
	coming := g.arrivalsPerS * float64(j.expectedRunTime()) / float64(second)
	return g.waiting == 0 && g.free-(m.machineType.GPUs-m.usedGPUs) >= coming+math.Sqrt(coming)
}
