package sched

import "math"

// gpuSummary sums up, once a pass, what graphics tasks need.
type gpuSummary struct {
	any       bool
	rank      int
	wait      Micros  // the strictest aim for their start, 0 if there is none
	cpus, mem float64 // the most that a task takes beside one GPU
	free      float64 // GPUs free on usable machines
	waiting   float64 // GPUs wanted by waiting tasks
	rate      float64 // GPUs wanted per second by arrivals
}

func (ps *pass) summarizeGPUs(queue []*job) {
	v := gpuSummary{rank: -1}
	for _, cl := range ps.core.classes.sorted() {
		if cl.sampleJob == nil || cl.sampleJob.spec.GPUs <= 0 {
			continue
		}
		s := &cl.sampleJob.spec
		v.any = true
		v.cpus, v.mem = max(v.cpus, s.CPUs/s.GPUs), max(v.mem, s.MemoryGB/s.GPUs)
		v.rank = max(v.rank, cl.sampleJob.rank)
		v.rate += cl.arrivalRate(ps.core.now) * s.GPUs
		if len(cl.waitObjectives) > 0 && (v.wait == 0 || cl.waitObjectives[0] < v.wait) {
			v.wait = cl.waitObjectives[0]
		}
	}
	for _, j := range queue {
		if !j.spec.Spot {
			for name, t := range ps.core.machineTypes {
				ps.onDemandTypes[name] = ps.onDemandTypes[name] || fitsType(&j.spec, t)
			}
		}
		v.waiting += float64(j.pendingCount()) * j.spec.GPUs
	}
	for _, m := range ps.schedulable {
		v.free += max(0, m.machineType.GPUs-m.usedGPUs)
	}
	ps.gpus = v
}

// keepsGPUMachine says whether a graphics machine is kept for tasks of the job too: they
// use graphics, rank higher than those that do, or have an aim that watches their
// start more closely.
func (ps *pass) keepsGPUMachine(j *job) bool {
	v := &ps.gpus
	return !v.any || j.spec.GPUs > 0 || j.rank > v.rank || (j.rank == v.rank && len(j.class.waitObjectives) > 0 && (v.wait == 0 || j.class.waitObjectives[0] < v.wait))
}

// starvationAfter is how long a job may wait with none of its tasks on a machine before whatever
// room there is will do: nobody is left waiting beside a machine that fits.
const starvationAfter = 60 * second

func (c *Core) starved(j *job) bool {
	return j.waitingSince > 0 && c.now-max(j.waitingSince, j.lastVacatedAt) > starvationAfter && (j.isGang() || len(j.placements) == 0)
}

// mayBlockGPUs says whether a task without graphics may go to a graphics
// machine. It may as long as it leaves what the free GPUs' own tasks need beside
// them. Beyond that it may if it ranks higher or an aim watches its start, or if
// enough GPUs stay free elsewhere for the graphics tasks that arrive during its
// stay. Otherwise small tasks fill the processors of the graphics machines and
// their GPUs, the dearest part, stand idle.
func (ps *pass) mayBlockGPUs(j *job, m *machine) bool {
	if ps.keepsGPUMachine(j) || ps.core.starved(j) {
		return true
	}
	v := &ps.gpus
	if m.usedGPUs < epsilon && j.isLeftover() {
		return false // nothing would ever let the dearest machines go
	}
	if m.usedGPUs < epsilon && ps.core.now-m.gpusIdleSince > ps.core.idleTimeout(m.machineType, true) && !ps.core.allLackCapacity(j) {
		return false // it empties and goes back: cheaper machines can be had
	}
	free := m.machineType.GPUs - m.usedGPUs
	if m.usedCPUs+j.spec.CPUs+free*v.cpus <= m.machineType.CPUs+epsilon && m.usedMemoryGB+j.spec.MemoryGB+free*v.mem <= m.machineType.MemoryGB+epsilon {
		return true
	}
	if ps.core.now > j.dueAt-j.expectedRunTime() && j.spec.DeadlineS != nil {
		return false // too late anyway: it can wait for a cheaper machine
	}
	coming := v.rate * float64(j.expectedRunTime()) / float64(second)
	return v.waiting == 0 && v.free-free >= coming+math.Sqrt(coming)
}
