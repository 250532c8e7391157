package sched

import "dalefront/wire"

const (
	// refusalBackoff is the time for which no task is placed on a machine that refused a launch. It is also
	// the time for which no task of a job is placed after a worker rejected a launch because the job or task
	// does not exist.
	refusalBackoff = 3 * second

	slowdownWeight     = 0.3 // weight of a task in the moving average of its machine's slowdown
	slowdownFloor      = 0.2 // lowest value that a task can add to the average slowdown
	slowdownCap        = 6   // highest value that a task can add to the average slowdown
	runTimeRatioWeight = 0.1 // weight of a task in the moving average of its class's run time ratio
	runTimeRatioFloor  = 0.2 // lowest value that a task can add to the average run time ratio
	runTimeRatioCap    = 5   // highest value that a task can add to the average run time ratio
)

// reconcileTasks updates the placements of a machine from its worker's exact list of tasks. It adds commands
// to the response for tasks that the worker must stop or remove from its list.
func (c *Core) reconcileTasks(machine *machine, heartbeat *wire.Heartbeat, response *wire.HeartbeatResponse) {
	present := make(map[*placement]bool, len(heartbeat.Tasks))
	machine.checkpointingCount = 0
	clear(machine.fetchingImages)
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		job, task, known := c.findTask(status.Task)
		if !known {
			response.Commands = append(response.Commands, removalCommand(status))
			continue
		}
		placement := machine.findPlacement(taskKey{job, task}, status.Attempt)
		if status.State == wire.TaskExited {
			c.handleExit(machine, job, task, status, placement)
			if job.mayClear(task, status) {
				response.Commands = append(response.Commands, clearCommand(status))
			}
			continue
		}
		if placement == nil {
			placement = c.adoptTask(machine, job, task, status.Attempt)
		}
		present[placement] = true
		c.handlePresent(placement, status)
		if placement.needsStopRepeated() {
			response.Commands = append(response.Commands, placement.stopCommand())
		}
	}
	c.releaseAbsent(machine, present)
	c.startQueuedCheckpoint(machine)
}

// findTask looks up a task by its name. The result known is false if the task's job is not known or has no
// such task.
func (c *Core) findTask(name string) (j *job, task int32, known bool) {
	id, task, ok := wire.ParseTask(name)
	j = c.jobs.find(id)
	return j, task, ok && j != nil && int(task) < j.spec.Tasks
}

// adoptTask adds a placement for a task that was found on a machine and is in no entry of the ledger. The
// placement is needed because the task uses the machine's resources until it is gone.
func (c *Core) adoptTask(m *machine, j *job, task int32, attempt uint64) *placement {
	p := c.addPlacement(j, task, m, attempt)
	p.durable = true
	c.ledger.addUnrecorded(p)
	if p.mustStop() {
		c.stopPlacement(p, false)
	}
	return p
}

// mustStop reports whether a task that was found on a machine but in no ledger entry must be stopped. It must
// if its job is over, the task is done, another copy of the task may exist, or the task belongs to an outdated
// attempt of a gang.
func (p *placement) mustStop() bool {
	j := p.job
	return j.isOver() || j.isCompleted(p.taskIndex) || j.placementsByTask[p.taskIndex] > 1 || (j.isGang() && p.attempt != j.gangAttempt)
}

// handlePresent updates a placement whose task is on the machine, from the worker's status of the task.
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
		return // the machine doesn't have the task's image yet
	case wire.TaskCheckpointing:
		machine.checkpointingCount++
	}
	machine.markCached(job.spec.Image, c.now)
}

// needsStopRepeated reports whether the heartbeat response must repeat the command to stop the task. The
// command is repeated until the worker acts on it.
func (p *placement) needsStopRepeated() bool {
	isSaving := p.checkpointing && p.state == wire.TaskCheckpointing
	return p.stopping && !p.checkpointQueued && !isSaving
}

// releaseAbsent releases placements that are missing from an exact list of tasks. The task of such a placement
// is gone, or its launch never arrived. A placement is kept if its launch is still wanted and was decided in
// this term. Its launch command is then sent again with this response. The launch of a recovered placement is
// never repeated: the task may have exited since the ledger entry was stored, and may have started elsewhere.
// If the worker has removed the exited task from its list, a repeated launch would start the task again.
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

// mayClear reports whether the worker may forget a task that has exited. The worker's list is the only record
// of a completed task until the job's progress is stored.
func (j *job) mayClear(task int32, status *wire.TaskStatus) bool {
	return status.Cause != wire.CauseDone || j.finalStatus != "" || j.spec.Shape == wire.Service || j.isDurable(task)
}

// clearCommand returns the command that removes an exited task from its worker's list.
func clearCommand(status *wire.TaskStatus) wire.Command {
	return wire.Command{Op: wire.Clear, Task: status.Task, Attempt: status.Attempt}
}

// removalCommand returns the command that stops a task without grace, or removes it from its worker's list if
// it has exited.
func removalCommand(status *wire.TaskStatus) wire.Command {
	if status.State == wire.TaskExited {
		return clearCommand(status)
	}
	noGrace := 0.0
	return wire.Command{Op: wire.Stop, Task: status.Task, Attempt: status.Attempt, GraceS: &noGrace}
}

// handleExit handles a task that a heartbeat reports as exited. The worker lists an exited task until the
// clear command has arrived, so the same exit may be reported several times. The placement is nil if it was
// released before.
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
	case wire.CauseInsufficientResources, wire.CauseAttemptConflict:
		machine.avoidUntil = c.now + refusalBackoff
	case wire.CauseUnknown:
		job.backoffUntil = c.now + refusalBackoff
	case wire.CauseGangIncomplete, wire.CauseGangMemberLost:
		if job.isGang() {
			job.markBroken(placement.attempt)
		}
	}
	c.release(placement)
}

// handleDone handles a task that has completed. The completion shows that the machine works, so the jobs that
// have failed on the machine no longer count against the machine.
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

// sampleRunTime updates two moving averages from the run time of a completed task: the slowdown of its machine
// and the run time ratio of its class. The run time ratio is the ratio of run times to the jobs' estimates. The
// slowdown compares the run times of the machine's tasks with the usual run times of their classes. It shows
// that a machine is faulty, since a faulty machine can be much slower than other machines of its type.
func (c *Core) sampleRunTime(p *placement) {
	j, m := p.job, p.machine
	if p.runningSince == 0 || p.recovered || j.spec.EstimateS <= 0 || !c.canSampleTimes() {
		return
	}
	ratio := float64(c.now-p.runningSince) / float64(second) / j.spec.EstimateS
	m.slowdown += slowdownWeight * (min(max(ratio/j.class.runTimeRatio, slowdownFloor), slowdownCap) - m.slowdown)
	j.class.runTimeRatio += runTimeRatioWeight * (min(max(ratio, runTimeRatioFloor), runTimeRatioCap) - j.class.runTimeRatio)
}

// recordCheckpoint adds the run time that a stopped task saved in a checkpoint to the job's saved run time. It
// also updates the estimated checkpoint bandwidth from the time that the checkpoint took.
func (c *Core) recordCheckpoint(p *placement, status *wire.TaskStatus) {
	if !status.Saved || p.runningSince == 0 {
		return
	}
	p.job.checkpointedRunTime += c.now - p.runningSince
	if p.checkpointing && c.canSampleTimes() {
		c.bandwidth.observeWrite(p.job.spec.MemoryGB, float64(c.now-p.stopSentAt)/float64(second))
	}
}
