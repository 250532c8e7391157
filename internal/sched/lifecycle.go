package sched

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

// defaultCompletionTarget is within what a job should be done for which no objective and no deadline
// says it.
const defaultCompletionTarget = 600 * second

// AddJob takes an accepted job. arrival is when its user submitted it.
func (c *Core) AddJob(spec wire.Job, arrival, now Micros) {
	c.now = now
	if c.jobs.find(spec.ID) != nil {
		return
	}
	tm := c.teams.findOrAdd(spec.Team)
	cl := c.classOf(spec.Class)
	j := &job{
		id: spec.ID, spec: spec, rank: c.rank(spec.Priority), arrival: min(arrival, now), team: tm, class: cl,
		progress: newProgress(spec.Tasks), placements: map[*placement]struct{}{}, placementsByTask: map[int32]int{}, waitingSince: now,
	}
	j.dueAt = j.arrival + j.completionTarget()
	c.jobs.add(j)
	j.isLarge = j.class.recentSizes.addIsLarge(j.spec.Tasks)
	j.eachService(func(s *serviceShare) { s.submitted++ })
	c.outbox.requestPass()
	cl.sampleJob = j
	if now-j.arrival < arrivalDecayTime {
		cl.recordArrival(now, float64(spec.Tasks))
		cl.lastArrival = max(cl.lastArrival, j.arrival)
	}
}

// completionTarget is how long after its arrival the job should be done.
func (j *job) completionTarget() Micros {
	switch {
	case j.spec.DeadlineS != nil:
		return config.Micro(*j.spec.DeadlineS)
	case len(j.class.completionObjectives) > 0:
		return j.class.completionObjectives[0]
	}
	return defaultCompletionTarget
}

// JobEnded takes a stored end: done or cancelled, final from then on.
func (c *Core) JobEnded(id, status string, now Micros) {
	c.now = now
	j := c.jobs.find(id)
	if j == nil || j.finalStatus != "" {
		return
	}
	j.finalStatus = status
	c.recordEnd(j, status == wire.JobDone)
	c.log("job over", "job", id, "class", j.spec.Class, "team", j.spec.Team, "status", status, "tasks", j.spec.Tasks,
		"age_us", now-j.arrival, "guaranteed", j.initiallyWithinGuarantee, "placed_us", max(0, j.fullyPlacedAt-j.arrival), "first_start_us", max(0, j.firstStartedAt-j.arrival), "late_us", max(0, now-j.dueAt),
		"estimate_us", j.expectedRunTime(), "evictions", j.preemptions)
	j.discardUnstored()
	for _, p := range j.sortedPlacements() {
		c.stopPlacement(p, false)
	}
	c.forgetIfGone(j)
}

// forgetIfGone drops an ended job once nothing of it can be on any machine. Its
// records may then be deleted: its end stays.
func (c *Core) forgetIfGone(j *job) {
	if j.finalStatus != "" && len(j.placements) == 0 && c.jobs.find(j.id) == j {
		c.jobs.remove(j)
		c.outbox.addForgotten(ForgottenJob{j.id, j.finalStatus})
		if j.class.sampleJob == j {
			j.class.sampleJob = j.withoutTasks()
		}
	}
}

// withoutTasks is the job's shape without the state of its tasks.
func (j *job) withoutTasks() *job {
	return &job{id: j.id, spec: j.spec, rank: j.rank, team: j.team, class: j.class}
}

// IsActive says whether the core knows a job that has not ended.
func (c *Core) IsActive(id string) bool {
	j := c.jobs.find(id)
	return j != nil && j.finalStatus == ""
}

// Counts returns a job's display counts and whether the core knows the job.
func (c *Core) Counts(id string) (status string, done, running int, ok bool) {
	j := c.jobs.find(id)
	if j == nil {
		return "", 0, 0, false
	}
	for p := range j.placements {
		if p.state == wire.TaskRunning || p.state == wire.TaskSaving {
			running++
		}
	}
	status = wire.JobQueued
	if running > 0 {
		status = wire.JobRunning
	}
	return status, j.completedCount, running, true
}
