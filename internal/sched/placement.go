package sched

import (
	"cmp"
	"maps"
	"slices"

	"dalefront/wire"
)

// taskReportBytes is the size in bytes that is assumed for each task in a heartbeat and in its response.
const taskReportBytes = 160

// maxTasksPerMachine bounds the number of tasks on a machine, so that the bodies of a heartbeat and
// its response stay well within their size limits.
const maxTasksPerMachine = wire.MaxBodyBytes / taskReportBytes

// taskKey identifies a task by its job and its index in the job.
type taskKey struct {
	job       *job
	taskIndex int32
}

// placement is a task that may be on a machine. It counts against the team's quota, the machine's capacity
// and the placement constraints. It starts to count before its launch is stored, and stops only when there is
// proof that the task is gone.
type placement struct {
	taskKey
	attempt     uint64
	machine     *machine
	incarnation uint64        // the worker's incarnation at the time of placement
	entry       *trackedEntry // the ledger entry that records the placement

	durable      bool // the launch is stored in the ledger, or the task was found on the machine
	recovered    bool // recovered from a ledger entry of an earlier term; never launched again
	observed     bool // a heartbeat has reported the task
	dispatched   bool // the launch was sent in a heartbeat response, which may or may not have arrived
	state        string
	placedAt     Micros
	runningSince Micros // when the task was first reported running, 0 before that

	stopping         bool   // the task is being stopped
	checkpointing    bool   // the stop command gives enough grace time to write a checkpoint
	checkpointQueued bool   // the checkpoint waits for another checkpoint on the machine to end
	stopSentAt       Micros // when the stop command was first sent
	preempted        bool   // the task is stopped to free resources for another job
}

// isHeld reports whether the placement has not been released yet.
func (p *placement) isHeld() bool {
	_, held := p.job.placements[p]
	return held
}

// stopCommand returns the command to stop the task. If the task is to be checkpointed, the grace time is long
// enough for the checkpoint.
func (p *placement) stopCommand() wire.Command {
	grace := 0.0
	if p.checkpointing {
		grace = p.job.spec.CheckpointDurationS + 1
	}
	return wire.Command{Op: wire.Stop, Task: wire.TaskName(p.job.id, p.taskIndex), Attempt: p.attempt, GraceS: &grace}
}

// launchCommand returns the command to start the task.
func (p *placement) launchCommand() wire.Command {
	return wire.Command{Op: wire.Launch, Task: wire.TaskName(p.job.id, p.taskIndex), Attempt: p.attempt}
}

// sortByTask sorts placements by task index, then by attempt, then by host.
func sortByTask(placements []*placement) {
	slices.SortFunc(placements, func(a, b *placement) int {
		return cmp.Or(cmp.Compare(a.taskIndex, b.taskIndex), cmp.Compare(a.attempt, b.attempt), cmp.Compare(a.machine.host, b.machine.host))
	})
}

// sortedPlacements returns the job's placements in the order of sortByTask.
func (j *job) sortedPlacements() []*placement {
	placements := slices.Collect(maps.Keys(j.placements))
	sortByTask(placements)
	return placements
}

// addPlacement places a task on a machine. Until release, the task occupies capacity of the machine
// and counts against its team's quota.
func (c *Core) addPlacement(j *job, task int32, m *machine, attempt uint64) *placement {
	p := &placement{taskKey: taskKey{j, task}, attempt: attempt, machine: m, incarnation: m.incarnation, placedAt: c.now}
	m.addPlacement(p)
	j.team.addUse(j.taskResources())
	j.addPlacement(p)
	c.jobs.adjustPlacements(j.rank, 1)
	return p
}

// release removes a placement. It is the only way to free a task's capacity and quota and to make
// the task eligible for another placement, so it may be called only with proof that the task is not
// on the machine and can't start there any more. Releasing without proof runs a task twice.
//
// The accepted proofs and the functions that establish them:
//   - The launch was never stored: the commit was rejected (CommitRejected), or not all tasks of a gang
//     could be placed. Launches are sent only after they are stored.
//   - The launch was stored and will never be sent (launchStored). A launch is sent only by the leader of
//     the term that stored the launch.
//   - The launch was never sent in a response to the machine (releaseUndispatched).
//   - The worker reports that the task has exited (handleExit). The worker would start the same attempt again
//     only if a clear command and then a launch command arrived. No launch command is sent any more once a
//     heartbeat has reported the task.
//   - The worker's task list lacks the task (releaseAbsent). The list must be exact: it comes from the
//     newest heartbeat of a worker that has seen this term's token (see Heartbeat). In the response to
//     a direct command, only the absence of a task that was observed before counts (see CommandAnswered).
//   - The worker has a later incarnation (startIncarnation): the tasks of its earlier incarnation were killed.
//   - The cloud confirmed the machine's return (MachinesReturned): the machine no longer exists.
//
// Elapsed time is no proof: another controller may have renewed the lease of a machine that seems silent
// beyond its lease, and the machine may still be running tasks.
func (c *Core) release(placement *placement) {
	if !placement.isHeld() {
		return
	}
	job, machine := placement.job, placement.machine
	c.outbox.requestPass()
	c.jobs.adjustPlacements(job.rank, -1)
	c.ledger.removePlacement(placement)
	machine.removePlacement(placement)
	if placement.durable {
		machine.recordVacated(c.now, c.lastPass.justifiesGPUMachine(job))
	}
	job.team.removeUse(job.taskResources(), placement.stopping)
	job.removePlacement(placement, c.now)
	c.purgeIfGone(job)
}

// addPlacement adds a placement and counts its resources as used.
func (u *machineUsage) addPlacement(p *placement) {
	use := p.job.taskResources()
	u.tasks[p.taskKey] = append(u.tasks[p.taskKey], p)
	u.placements = append(u.placements, p)
	u.placementCount++
	u.usedCPUs += use.cpus
	u.usedGPUs += use.gpus
	u.usedMemoryGB += use.memoryGB
	u.usedByRank[p.job.rank].add(use)
}

// removePlacement removes a placement and frees its resources. It builds new slices instead of changing the
// existing ones, so that eachPlacement can continue to iterate over an old slice.
func (u *machineUsage) removePlacement(placement *placement) {
	if i := slices.Index(u.placements, placement); i >= 0 {
		u.placements = slices.Concat(u.placements[:i], u.placements[i+1:])
	}
	attempts := u.tasks[placement.taskKey]
	if i := slices.Index(attempts, placement); i >= 0 {
		attempts = slices.Concat(attempts[:i], attempts[i+1:])
	}
	if len(attempts) == 0 {
		delete(u.tasks, placement.taskKey)
	} else {
		u.tasks[placement.taskKey] = attempts
	}
	use := placement.job.taskResources()
	u.placementCount--
	u.usedCPUs -= use.cpus
	u.usedGPUs -= use.gpus
	u.usedMemoryGB -= use.memoryGB
	u.usedByRank[placement.job.rank].subtract(use)
	if u.placementCount == 0 { // resets the sums, so that rounding errors don't accumulate
		u.usedCPUs, u.usedGPUs, u.usedMemoryGB, u.usedByRank = 0, 0, 0, [numRanks]resourceUse{}
	}
}

// recordVacated updates the machine's idle times after a task has left the machine. It must not be called for
// a placement whose launch was never stored or was refused. A gang that can't be placed completely tries again
// in each pass. If its released placements counted, the machine would never count as idle.
func (u *machineUsage) recordVacated(now Micros, justifiesGPUMachine bool) {
	if u.placementCount == 0 {
		u.idleSince = now
	}
	if justifiesGPUMachine {
		u.gpusIdleSince = now
	}
}

// eachPlacement calls f for each of the machine's placements, the oldest first. The callback f may release any
// of the placements, because release never changes a slice that is being iterated over.
func (u *machineUsage) eachPlacement(f func(*placement)) {
	for _, p := range u.placements {
		if p.isHeld() {
			f(p)
		}
	}
}

// findPlacement returns the placement of an attempt of a task on the machine, or nil.
func (u *machineUsage) findPlacement(k taskKey, attempt uint64) *placement {
	for _, p := range u.tasks[k] {
		if p.attempt == attempt {
			return p
		}
	}
	return nil
}

// addPlacement counts a task of the job as placed.
func (j *job) addPlacement(p *placement) {
	j.placements[p] = struct{}{}
	j.placementsByTask[p.taskIndex]++
}

// removePlacement removes a released placement from the job. The task becomes pending again unless it
// has completed or is placed elsewhere. A running gang that lost a task restarts from its checkpoint.
func (j *job) removePlacement(placement *placement, now Micros) {
	delete(j.placements, placement)
	if j.placementsByTask[placement.taskIndex]--; j.placementsByTask[placement.taskIndex] <= 0 {
		delete(j.placementsByTask, placement.taskIndex)
		if !j.isOver() && !j.isCompleted(placement.taskIndex) {
			j.requeue(placement.taskIndex, now)
		}
	}
	if len(j.placements) == 0 && placement.runningSince > 0 {
		j.lastVacatedAt = now
	}
	if !j.isGang() {
		return
	}
	if !j.isOver() && (j.gangStarted || placement.state == wire.TaskExited) {
		j.markBroken(placement.attempt)
	}
	if len(j.placements) == 0 {
		j.endAttempt()
	}
}

// requeue makes a task pending again. Only the tasks of jobs that are not gangs are put on the retry stack,
// since the tasks of a gang are all placed at once.
func (j *job) requeue(task int32, now Micros) {
	if !j.isGang() {
		j.retryStack = append(j.retryStack, task)
	}
	if j.waitingSince == 0 {
		j.waitingSince = now
	}
}
