package sched

import "dalefront/wire"

const (
	// refusalPause is for how long nothing is placed on a machine that refused a task, and nothing of a job
	// whose task ended in a way that its worker doesn't know.
	refusalPause = 3 * second

	slowdownWeight = 0.3 // of a task's run time in its machine's slowdown
	slowdownFloor  = 0.2
	slowdownCap    = 6
	ratioWeight    = 0.1 // of a task's run time in its class's ratio
	ratioFloor     = 0.2
	ratioCap       = 5
)

// reconcileTasks brings the placements of a machine in line with its worker's exact list of tasks,
// and answers with what is to be done about them.
func (c *Core) reconcileTasks(machine *machine, heartbeat *wire.Heartbeat, answer *wire.HeartbeatResponse) {
	present := make(map[*placement]bool, len(heartbeat.Tasks))
	machine.savingCount = 0
	clear(machine.fetchingImages)
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		job, task, known := c.findTask(status.Task)
		if !known {
			answer.Commands = append(answer.Commands, removalCommand(status))
			continue
		}
		placement := machine.findPlacement(taskKey{job, task}, status.Attempt)
		if status.State == wire.TaskExited {
			c.handleExit(machine, job, task, status, placement)
			if job.mayClear(task, status) {
				answer.Commands = append(answer.Commands, clearCommand(status))
			}
			continue
		}
		if placement == nil {
			placement = c.adoptTask(machine, job, task, status.Attempt)
		}
		present[placement] = true
		c.handlePresent(placement, status)
		if placement.repeatsStop() {
			answer.Commands = append(answer.Commands, placement.stopCommand())
		}
	}
	c.releaseAbsent(machine, present)
	c.startQueuedCheckpoint(machine)
}

// findTask finds a task by its name, if its job is known.
func (c *Core) findTask(name string) (j *job, task int32, known bool) {
	id, task, ok := wire.ParseTask(name)
	j = c.jobs.find(id)
	return j, task, ok && j != nil && int(task) < j.spec.Tasks
}

// adoptTask counts a task as placed that was found on a machine and is in no entry of the ledger: it takes
// its room all the same until it is gone.
func (c *Core) adoptTask(m *machine, j *job, task int32, attempt uint64) *placement {
	p := c.addPlacement(j, task, m, attempt)
	p.durable = true
	c.ledger.addUnrecorded(p)
	if p.mustStop() {
		c.stopPlacement(p, false)
	}
	return p
}

// mustStop says whether a task found outside the ledger must go: its job is over,
// the task is done, or another copy may exist.
func (p *placement) mustStop() bool {
	j := p.job
	return j.isOver() || j.isCompleted(p.taskIndex) || j.placementsByTask[p.taskIndex] > 1 || (j.isGang() && p.attempt != j.gangAttempt)
}

// handlePresent takes what a worker says of a task that is on its machine.
func (c *Core) handlePresent(placement *placement, status *wire.TaskStatus) {
	job, machine := placement.job, placement.machine
	placement.observed = true
	placement.state = status.State
	if status.State == wire.TaskRunning && placement.runningSince == 0 {
		placement.runningSince = c.now
		c.recordStart(job)
		if job.isGang() {
			job.markRunning(placement.attempt)
		}
	}
	switch status.State {
	case wire.TaskFetching:
		machine.fetchingImages[job.spec.Image] = placement.placedAt
		return // its image is not there yet
	case wire.TaskSaving:
		machine.savingCount++
	}
	machine.markCached(job.spec.Image, c.now)
}

// repeatsStop says whether each answer has the command to stop the task: until the worker obeys.
func (p *placement) repeatsStop() bool {
	isSaving := p.checkpointing && p.state == wire.TaskSaving
	return p.stopping && !p.checkpointQueued && !isSaving
}

// releaseAbsent releases what an exact list does not have: it is gone, or its launch never arrived. A
// launch that is still wanted is sent again with this answer, but only
// one of this term: a record may be older than the task's exit and its
// start elsewhere, and after a clear a repeated launch starts it again.
func (c *Core) releaseAbsent(m *machine, present map[*placement]bool) {
	m.eachPlacement(func(p *placement) {
		if present[p] || !p.durable {
			return
		}
		if p.observed || p.stopping || p.recovered || p.job.isOver() || p.job.isCompleted(p.taskIndex) {
			c.release(p)
		}
	})
}

// mayClear says whether the worker may forget a task that has exited. Of one that is done its list is the
// only record until the job's progress is stored.
func (j *job) mayClear(task int32, status *wire.TaskStatus) bool {
	return status.Cause != wire.CauseDone || j.finalStatus != "" || j.spec.Shape == wire.Service || j.isDurable(task)
}

// clearCommand takes a task that has exited out of its worker's list.
func clearCommand(status *wire.TaskStatus) wire.Command {
	return wire.Command{Op: wire.Clear, Task: status.Task, Attempt: status.Attempt}
}

// removalCommand takes a task off its machine at once, or out of its worker's list if
// it has exited.
func removalCommand(status *wire.TaskStatus) wire.Command {
	if status.State == wire.TaskExited {
		return clearCommand(status)
	}
	noGrace := 0.0
	return wire.Command{Op: wire.Stop, Task: status.Task, Attempt: status.Attempt, GraceS: &noGrace}
}

// handleExit takes a task that has exited. placement is nil if it was released before: the worker
// lists the task until the clear has arrived.
func (c *Core) handleExit(machine *machine, job *job, task int32, status *wire.TaskStatus, placement *placement) {
	if status.Cause == wire.CauseDone {
		c.handleDone(machine, job, task, placement)
	}
	if placement == nil {
		return
	}
	placement.state = wire.TaskExited
	switch status.Cause {
	case wire.CauseStopped:
		c.recordCheckpoint(placement, status)
	case wire.CauseError:
		c.Stats.Errors++
		c.recordFailure(placement)
	case wire.CauseNoRoom, wire.CauseImageInUse:
		machine.avoidUntil = c.now + refusalPause
	case wire.CauseUnknown:
		job.backoffUntil = c.now + refusalPause
	case wire.CauseGangIncomplete, wire.CauseGangMemberLost:
		if job.isGang() {
			job.markBroken(placement.attempt)
		}
	}
	c.release(placement)
}

// handleDone takes a task that is done. Its machine works.
func (c *Core) handleDone(m *machine, j *job, task int32, p *placement) {
	if !j.isCompleted(task) {
		if p != nil {
			c.sampleRunTime(p)
		}
		c.markDone(j, task)
	}
	clear(m.failedJobs)
	m.markCached(j.spec.Image, c.now)
}

// sampleRunTime learns from how long a task that is done took. A faulty machine can be much slower than others of
// its type: it is compared with what the class usually takes, and forgotten slowly.
func (c *Core) sampleRunTime(p *placement) {
	j, m := p.job, p.machine
	if p.runningSince == 0 || p.recovered || j.spec.EstimateS <= 0 || !c.canSampleTimes() {
		return
	}
	ratio := float64(c.now-p.runningSince) / float64(second) / j.spec.EstimateS
	m.slowdown += slowdownWeight * (min(max(ratio/j.class.runTimeRatio, slowdownFloor), slowdownCap) - m.slowdown)
	j.class.runTimeRatio += ratioWeight * (min(max(ratio, ratioFloor), ratioCap) - j.class.runTimeRatio)
}

// recordCheckpoint takes a task that was stopped, and learns from how long it took to save.
func (c *Core) recordCheckpoint(p *placement, status *wire.TaskStatus) {
	if !status.Saved || p.runningSince == 0 {
		return
	}
	p.job.checkpointedRunTime += c.now - p.runningSince
	if p.checkpointing && c.canSampleTimes() {
		c.bandwidth.observeWrite(p.job.spec.MemoryGB, float64(c.now-p.stopSentAt)/float64(second))
	}
}
