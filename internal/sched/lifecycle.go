package sched

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

// defaultCompletionTarget is the time within which a job should be done if it has neither a completion
// objective nor a deadline. The time counts from the job's arrival.
const defaultCompletionTarget = 600 * second

// AddJob adds an accepted job that was submitted at the given arrival time. It ignores a job that is already
// known.
func (c *Core) AddJob(spec wire.Job, arrival, now Micros) {
	c.now = now
	if c.jobs.find(spec.ID) != nil {
		return
	}
	team := c.teams.findOrAdd(spec.Team)
	class := c.classOf(spec.Class)
	job := &job{
		id: spec.ID, spec: spec, rank: c.rank(spec.Priority), arrival: min(arrival, now), team: team, class: class,
		progress: newProgress(spec.Tasks), placements: map[*placement]struct{}{}, placementsByTask: map[int32]int{}, waitingSince: now,
	}
	job.dueAt = job.arrival + job.completionTarget()
	c.jobs.add(job)
	job.isLarge = job.class.recentSizes.addAndCheckLarge(job.spec.Tasks)
	job.eachServiceShare(func(s *serviceShare) { s.submitted++ })
	c.outbox.requestPass()
	class.sampleJob = job
	if now-job.arrival < arrivalDecayTime {
		class.recordArrival(now, float64(spec.Tasks))
		class.lastArrival = max(class.lastArrival, job.arrival)
	}
}

// completionTarget returns the time, counted from the job's arrival, within which the job should be done.
func (j *job) completionTarget() Micros {
	switch {
	case j.spec.DeadlineS != nil:
		return config.Micro(*j.spec.DeadlineS)
	case len(j.class.completionObjectives) > 0:
		return j.class.completionObjectives[0]
	}
	return defaultCompletionTarget
}

// JobEnded handles the end of a job after the job's end record was stored. The given status is the job's
// final status: done or cancelled.
func (c *Core) JobEnded(id, status string, now Micros) {
	c.now = now
	job := c.jobs.find(id)
	if job == nil || job.finalStatus != "" {
		return
	}
	job.finalStatus = status
	c.recordEnd(job, status == wire.JobDone)
	c.log("job ended", "job", id, "class", job.spec.Class, "team", job.spec.Team, "status", status, "tasks", job.spec.Tasks,
		"age_us", now-job.arrival, "guaranteed", job.initiallyWithinGuarantee, "placed_us", max(0, job.fullyPlacedAt-job.arrival), "first_start_us", max(0, job.firstStartedAt-job.arrival), "late_us", max(0, now-job.dueAt),
		"estimate_us", job.expectedRunTime(), "preemptions", job.preemptions)
	job.discardUnstored()
	for _, placement := range job.sortedPlacements() {
		c.stopPlacement(placement, false)
	}
	c.purgeIfGone(job)
}

// purgeIfGone removes an ended job from memory once the job has no placements. The job's working records may
// then be deleted from the state service, while its end record stays.
func (c *Core) purgeIfGone(j *job) {
	if j.finalStatus != "" && len(j.placements) == 0 && c.jobs.find(j.id) == j {
		c.jobs.remove(j)
		c.outbox.addPurgeable(PurgeableJob{j.id, j.finalStatus})
		if j.class.sampleJob == j {
			j.class.sampleJob = j.withoutTasks()
		}
	}
}

// withoutTasks returns the job's description without the state of its tasks.
func (j *job) withoutTasks() *job {
	return &job{id: j.id, spec: j.spec, rank: j.rank, team: j.team, class: j.class}
}

// IsActive reports whether the job is known and has not ended.
func (c *Core) IsActive(id string) bool {
	j := c.jobs.find(id)
	return j != nil && j.finalStatus == ""
}

// Counts returns the status of a job as shown to users, and the numbers of its completed and running tasks.
// The result ok is false if the core doesn't know the job.
func (c *Core) Counts(id string) (status string, done, running int, ok bool) {
	job := c.jobs.find(id)
	if job == nil {
		return "", 0, 0, false
	}
	for placement := range job.placements {
		if placement.state == wire.TaskRunning || placement.state == wire.TaskCheckpointing {
			running++
		}
	}
	status = wire.JobQueued
	if running > 0 {
		status = wire.JobRunning
	}
	return status, job.completedCount, running, true
}
