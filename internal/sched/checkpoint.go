package sched

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

// The rule for checkpointing or killing a victim follows J. Li et al., "Improving Preemptive Scheduling
// with Application-Transparent Checkpointing in Shared Clusters", Middleware '15, §4.1. A victim is
// checkpointed if its progress exceeds the time to write its checkpoint, to read the checkpoint back, and to
// wait for other checkpoints that the machine writes first. Any other victim is killed and starts again.

const (
	// minCheckpointGBPerS is the lower bound for the assumed bandwidth of checkpoints.
	minCheckpointGBPerS = 0.001
	// priorPreemptionCost is added to a victim's cost for each earlier preemption of its job. Otherwise
	// a burst of preemptions would kill recently started tasks over and over, since they look cheapest.
	priorPreemptionCost = 5 * second
)

// stopPlan says how a victim is stopped and what that costs.
type stopPlan struct {
	writeTime  Micros // time to write the checkpoint of one task
	overhead   Micros // time to write and read this checkpoint and to wait for those queued before it
	progress   Micros // run time that a checkpoint would save
	checkpoint bool   // the victim is checkpointed, otherwise killed
	cost       Micros // expected loss of run time over all tasks of the victim, with a surcharge for earlier preemptions
}

// planStop decides by the progress of one task of a victim whether the victim is checkpointed or killed. The
// parameter tasks is the number of the victim's tasks. The parameter queueTime is the time that the machine
// takes to write the checkpoints queued before those of the victim.
func (c *Core) planStop(placement *placement, tasks int, queueTime Micros) stopPlan {
	job := placement.job
	running := Micros(0)
	if placement.runningSince > 0 {
		running = c.now - placement.runningSince
	}
	plan := stopPlan{writeTime: transferTime(job.spec.MemoryGB, c.bandwidth.write), progress: job.checkpointedRunTime + running}
	plan.overhead = plan.writeTime + transferTime(job.spec.MemoryGB, c.bandwidth.read) + queueTime
	plan.checkpoint = c.shouldCheckpoint(job, &plan)
	switch {
	case plan.checkpoint:
		plan.cost = plan.overhead
	case job.spec.CheckpointIntervalS > 0: // the task writes checkpoints periodically by itself
		plan.cost = min(running, config.Micro(job.spec.CheckpointIntervalS))
	default:
		plan.cost = running
	}
	plan.cost *= Micros(tasks)
	plan.cost += Micros(job.preemptions) * priorPreemptionCost
	return plan
}

// shouldCheckpoint reports whether a task of the job is checkpointed rather than killed. The preemption mode
// in the operators' settings may prescribe checkpointing or killing for all tasks.
func (c *Core) shouldCheckpoint(j *job, plan *stopPlan) bool {
	switch {
	case !canCheckpoint(j) || c.preemptionPolicy == config.PreemptKill:
		return false
	case c.preemptionPolicy == config.PreemptCheckpoint:
		return true
	}
	return plan.progress > plan.overhead
}

// queueTime returns how long the victim's checkpoint delays the checkpoints queued behind it.
func (plan *stopPlan) queueTime(j *job) Micros {
	if !plan.checkpoint {
		return 0
	}
	return max(plan.writeTime, config.Micro(j.spec.CheckpointDurationS))
}

// canCheckpoint reports whether stopping a task of the job with grace time saves its progress.
func canCheckpoint(j *job) bool {
	return j.spec.CheckpointIntervalS > 0 && j.spec.Shape != wire.Service
}

// transferTime returns the time to transfer an amount of data at a bandwidth.
func transferTime(gb, gbPerS float64) Micros {
	return Micros(gb / max(gbPerS, minCheckpointGBPerS) * float64(second))
}
