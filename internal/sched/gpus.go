package sched

import "math"

// gpuView sums up, once a pass, what graphics tasks need.
type gpuView struct {
	any       bool
	rank      int
	wait      Micros  // the strictest aim for their start, 0 if there is none
	cpus, mem float64 // the most that a task takes beside one GPU
	free      float64 // GPUs free on usable machines
	waiting   float64 // GPUs wanted by waiting tasks
	rate      float64 // GPUs wanted per second by arrivals
}

func (c *Core) viewGPUs(queue []*job) {
	v := gpuView{rank: -1}
	for _, cl := range c.eachClass() {
		if cl.sample == nil || cl.sample.spec.GPUs <= 0 {
			continue
		}
		s := &cl.sample.spec
		v.any = true
		v.cpus, v.mem = max(v.cpus, s.CPUs/s.GPUs), max(v.mem, s.MemoryGB/s.GPUs)
		v.rank = max(v.rank, cl.sample.rank)
		v.rate += cl.perSecond(c.now) * s.GPUs
		if len(cl.waits) > 0 && (v.wait == 0 || cl.waits[0] < v.wait) {
			v.wait = cl.waits[0]
		}
	}
	clear(c.ordinary)
	for _, j := range queue {
		if !j.spec.Spot {
			for name, t := range c.types {
				c.ordinary[name] = c.ordinary[name] || fitsType(&j.spec, t)
			}
		}
		v.waiting += float64(j.pending()) * j.spec.GPUs
	}
	for _, m := range c.open {
		v.free += max(0, m.kind.GPUs-m.gpus)
	}
	c.gpus = v
}

// deserves says whether a graphics machine is kept for tasks of the job too: they
// use graphics, rank higher than those that do, or have an aim that watches their
// start more closely.
func (c *Core) deserves(j *job) bool {
	v := &c.gpus
	return !v.any || j.spec.GPUs > 0 || j.rank > v.rank || (j.rank == v.rank && len(j.class.waits) > 0 && (v.wait == 0 || j.class.waits[0] < v.wait))
}

// mostNeglect is how long a job may wait with none of its tasks on a machine before whatever
// room there is will do: nobody is left waiting beside a machine that fits.
const mostNeglect = 60 * second

func (c *Core) neglected(j *job) bool {
	return j.waitSince > 0 && c.now-max(j.waitSince, j.leftAt) > mostNeglect && (j.gang() || len(j.placements) == 0)
}

// mayBlockGPUs says whether a task without graphics may go to a graphics
// machine. It may as long as it leaves what the free GPUs' own tasks need beside
// them. Beyond that it may if it ranks higher or an aim watches its start, or if
// enough GPUs stay free elsewhere for the graphics tasks that arrive during its
// stay. Otherwise small tasks fill the processors of the graphics machines and
// their GPUs, the dearest part, stand idle.
func (c *Core) mayBlockGPUs(j *job, m *machine) bool {
	if c.deserves(j) || c.neglected(j) {
		return true
	}
	v := &c.gpus
	if m.gpus < eps && j.aimless() {
		return false // nothing would ever let the dearest machines go
	}
	if m.gpus < eps && c.now-m.gpusIdle > c.keep(m.kind, true) && !c.soldOut(j) {
		return false // it empties and goes back: cheaper machines can be had
	}
	free := m.kind.GPUs - m.gpus
	if m.cpus+j.spec.CPUs+free*v.cpus <= m.kind.CPUs+eps && m.mem+j.spec.MemoryGB+free*v.mem <= m.kind.MemoryGB+eps {
		return true
	}
	if c.now > j.due-j.estimate() && j.spec.DeadlineS != nil {
		return false // too late anyway: it can wait for a cheaper machine
	}
	coming := v.rate * float64(j.estimate()) / float64(second)
	return v.waiting == 0 && v.free-free >= coming+math.Sqrt(coming)
}
