package sched

import (
	"cmp"
	"slices"
)

// workPenalty is how many times over a job's work counts against it: estimates are often
// wrong and more jobs are yet to come, so what is short is served first.
const workPenalty = 3

// classCapacityInterval is how often a class's capacity is summed up anew.
const classCapacityInterval = second

// queuePosition is what the place of a job in the queue rests on.
type queuePosition struct {
	job             *job
	withinGuarantee bool
	underserved     bool
	late            bool   // no objective can be met any more
	latestStart     Micros // with a penalty for its work
}

// queue returns the jobs that wait, in the order in which they are served:
// priority, work within guarantees, then what must start first among what can
// still make it.
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

// waitingJobs lists the jobs of which tasks wait to be placed, in no order, and notes of the
// others that none does.
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

// rotateForCapacity puts the jobs into the order in which their positions are found out. A class's
// capacity is summed up for the first of its jobs: for another one each time, as the oldest that
// waits is likely to be the one that may use the least.
func (c *Core) rotateForCapacity(waiting []*job) {
	if !slices.ContainsFunc(waiting, func(j *job) bool { return c.capacityStale(j.class) }) {
		return
	}
	sortByID(waiting)
	first := int(c.now/second) % len(waiting)
	copy(waiting, slices.Concat(waiting[first:], waiting[:first]))
}

// queuePositionOf weighs when the job must start.
//
// A large job needs the machines for a while: it has to start earlier to be done in time, but when
// not all can be, it stands for one job only, so it yields to as many small ones as that while
// would serve.
func (c *Core) queuePositionOf(j *job) queuePosition {
	work := Micros(float64(j.pendingCount()) * j.spec.CPUs * float64(j.expectedRunTime()) / max(c.classCapacity(j), 1))
	start, late := j.latestStart(c.now, work)
	return queuePosition{j, j.withinGuarantee, j.underserved(), late, start + workPenalty*work}
}

// compare is negative if the job at a is served before the one at b.
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

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// compareArrival orders jobs by their arrival.
func compareArrival(a, b *job) int {
	return cmp.Or(cmp.Compare(a.arrival, b.arrival), cmp.Compare(a.id, b.id))
}

// capacityStale says whether a class's capacity is to be summed up anew.
func (c *Core) capacityStale(cl *class) bool {
	return cl.capacityAt == 0 || c.now-cl.capacityAt >= classCapacityInterval
}

// classCapacity is how many CPUs the jobs of a class have between them: those of the
// machines that they may use, without what higher ranks take there.
func (c *Core) classCapacity(job *job) float64 {
	class := job.class
	if !c.capacityStale(class) {
		return class.capacity
	}
	class.capacity, class.capacityAt = 0, c.now
	for _, machine := range c.lastPass.schedulable {
		if !allowed(job, machine) || slotsOnEmpty(job, machine.machineType) == 0 || (machine.machineType.GPUs > 0 && job.spec.GPUs == 0) {
			continue
		}
		class.capacity += machine.machineType.CPUs
		for _, used := range machine.usedByRank[job.rank+1:] {
			class.capacity -= used.cpus
		}
	}
	return class.capacity
}

// markWithinGuarantee marks the jobs that fit their teams' guarantees together with the
// teams' earlier unfinished jobs: these need not wait on other teams.
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

// markWithinGuarantee marks those of the team's unfinished jobs, in the order of their arrival,
// that fit its guarantee together.
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

// hasGuarantee says whether anything is guaranteed to the team.
func (t *team) hasGuarantee() bool { return t.CPUs > 0 || t.GPUs > 0 }
