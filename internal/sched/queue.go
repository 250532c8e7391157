package sched

import (
	"cmp"
	"slices"
)

// workPenalty defines a penalty that is added to the latest time at which a job must start: it is multiplied
// by the job's work. The penalty makes short jobs go first, because estimates are often wrong and more jobs are
// yet to arrive.
const workPenalty = 3

// classCapacityInterval is the time after which the capacity of a class is computed again.
const classCapacityInterval = second

// queuePosition holds the sort keys of a job in the queue.
type queuePosition struct {
	job             *job
	withinGuarantee bool
	underserved     bool
	late            bool   // no objective of the job can be met any more
	latestStart     Micros // latest time to start the job, plus the penalty for the job's work
}

// queue returns the jobs with pending tasks in scheduling order. They are sorted by priority. Within a
// priority, jobs within their team's guarantee go first, then underserved jobs, then jobs that can still meet
// an objective. Jobs that are equal in these respects are sorted by latest start. If jobs are served first
// come, first served, they are sorted by arrival only.
func (c *Core) queue() []*job {
	waiting := c.waitingJobs()
	c.markWithinGuarantee()
	c.updateFairness()
	c.rotateForCapacity(waiting)
	positions := make([]queuePosition, len(waiting))
	for i, job := range waiting {
		positions[i] = c.queuePositionOf(job)
	}
	slices.SortFunc(positions, func(a, b queuePosition) int {
		if c.firstComeFirstServed {
			return compareArrival(a.job, b.job)
		}
		return a.compare(&b)
	})
	for i := range positions {
		waiting[i] = positions[i].job
	}
	return waiting
}

// waitingJobs returns the jobs with pending tasks in unspecified order. For a job without pending tasks, it
// resets waitingSince, and sets fullyPlacedAt if fullyPlacedAt is not set yet.
func (c *Core) waitingJobs() (waiting []*job) {
	for j := range c.jobs.all() {
		if j.pendingCount() > 0 {
			waiting = append(waiting, j)
			continue
		}
		j.waitingSince = 0
		if j.fullyPlacedAt == 0 {
			j.fullyPlacedAt = c.now
		}
	}
	return waiting
}

// rotateForCapacity reorders the jobs if the capacity of any class has to be computed again. A different job
// comes first from one second to the next. The capacity of a class is computed for the first of its jobs. If
// the oldest waiting job always came first, the capacity would be too low, because the oldest waiting job is
// likely the job that may use the fewest machines.
func (c *Core) rotateForCapacity(waiting []*job) {
	if !slices.ContainsFunc(waiting, func(j *job) bool { return c.capacityStale(j.class) }) {
		return
	}
	sortByID(waiting)
	first := int(c.now/second) % len(waiting)
	copy(waiting, slices.Concat(waiting[first:], waiting[:first]))
}

// queuePositionOf returns the sort keys of a job.
//
// The job's work is the time for which the job would occupy the whole capacity of its class. A large job must
// start earlier to be done in time. When not all jobs can be done in time, a large job yields to the small
// jobs that could run instead, since each job counts the same, whatever its size.
func (c *Core) queuePositionOf(j *job) queuePosition {
	work := Micros(float64(j.pendingCount()) * j.spec.CPUs * float64(j.expectedRunTime()) / max(c.classCapacity(j), 1))
	start, late := j.latestStart(c.now, work)
	return queuePosition{j, j.withinGuarantee, j.underserved(), late, start + workPenalty*work}
}

// compare returns a negative number if the job at a goes before the job at b.
func (a *queuePosition) compare(b *queuePosition) int {
	return cmp.Or(
		cmp.Compare(b.job.rank, a.job.rank),
		compareBool(b.withinGuarantee, a.withinGuarantee),
		compareBool(b.underserved, a.underserved),
		compareBool(a.late, b.late),
		cmp.Compare(a.latestStart, b.latestStart),
		cmp.Compare(a.job.id, b.job.id),
	)
}

// compareBool compares two booleans. The value false sorts before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// compareArrival compares two jobs by arrival time, then by ID.
func compareArrival(a, b *job) int {
	return cmp.Or(cmp.Compare(a.arrival, b.arrival), cmp.Compare(a.id, b.id))
}

// capacityStale reports whether the capacity of a class has to be computed again.
func (c *Core) capacityStale(cl *class) bool {
	return cl.capacityAt == 0 || c.now-cl.capacityAt >= classCapacityInterval
}

// classCapacity returns the number of CPUs available to the jobs of a class. It counts the schedulable
// machines that the given job may use, less the CPUs that jobs of higher ranks use there. GPU machines count
// only for jobs that use GPUs.
func (c *Core) classCapacity(job *job) float64 {
	class := job.class
	if !c.capacityStale(class) {
		return class.capacity
	}
	class.capacity, class.capacityAt = 0, c.now
	for _, machine := range c.lastPass.schedulable {
		if !meetsMachineConstraints(job, machine) || slotsOnEmpty(job, machine.machineType) == 0 || (machine.machineType.GPUs > 0 && job.spec.GPUs == 0) {
			continue
		}
		class.capacity += machine.machineType.CPUs
		for _, used := range machine.usedByRank[job.rank+1:] {
			class.capacity -= used.cpus
		}
	}
	return class.capacity
}

// markWithinGuarantee marks the jobs that fit their team's guarantee together with all unfinished jobs of the
// team that arrived before. In the queue, these jobs go before other jobs of the same priority.
func (c *Core) markWithinGuarantee() {
	byTeam := map[*team][]*job{}
	for j := range c.jobs.all() {
		j.withinGuarantee = false
		if !j.isOver() && j.team.hasGuarantee() {
			byTeam[j.team] = append(byTeam[j.team], j)
		}
	}
	for t, jobs := range byTeam {
		slices.SortFunc(jobs, compareArrival)
		t.markWithinGuarantee(jobs)
	}
}

// markWithinGuarantee marks the first of the given jobs that together fit the team's guarantee. The given jobs
// are the team's unfinished jobs, in the order of arrival.
func (t *team) markWithinGuarantee(jobs []*job) {
	cpus, gpus := 0.0, 0.0
	for _, j := range jobs {
		n := float64(j.spec.Tasks - j.completedCount)
		cpus += n * j.spec.CPUs
		gpus += n * j.spec.GPUs
		j.withinGuarantee = (t.CPUs == 0 || cpus <= t.CPUs+epsilon) && (t.GPUs == 0 || gpus <= t.GPUs+epsilon)
		if !j.guaranteeEvaluated {
			j.guaranteeEvaluated, j.initiallyWithinGuarantee = true, j.withinGuarantee
		}
	}
}

// hasGuarantee reports whether any resources are guaranteed to the team.
func (t *team) hasGuarantee() bool { return t.CPUs > 0 || t.GPUs > 0 }
