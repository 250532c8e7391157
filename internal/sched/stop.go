package sched

import "slices"

// stopPlacement marks a placement as stopping and sends the stop command, unless a checkpoint has to wait
// first. A launch that was never stored or sent is simply not sent any more. As in the resource manager of the
// paper cited in checkpoint.go, checkpoints on the same machine wait for each other and run one at a time. A
// stop without a checkpoint doesn't wait. The tasks of a gang don't wait either, because they must stop
// together.
func (c *Core) stopPlacement(p *placement, checkpoint bool) {
	if p.stopping && (checkpoint || !p.checkpointing) {
		return
	}
	if !p.stopping {
		p.job.team.addReleasing(p.job.taskResources())
	}
	p.stopping, p.checkpointing = true, checkpoint
	p.checkpointQueued = checkpoint && !p.job.isGang() && p.machine.hasCheckpointInProgress(p)
	if !p.checkpointQueued {
		c.sendStop(p)
	}
}

// sendStop sends a stop command directly to the worker, if the worker is known to have the task. The responses
// to the worker's heartbeats repeat the command.
func (c *Core) sendStop(p *placement) {
	p.stopSentAt = c.now
	if p.observed && p.machine.confirmed && p.machine.addr != "" {
		c.outbox.addCommands(p.machine, c.Token(), p.stopCommand())
	}
}

// hasCheckpointInProgress reports whether a checkpoint of another placement is in progress on the machine.
func (u *machineUsage) hasCheckpointInProgress(except *placement) bool {
	return slices.ContainsFunc(u.placements, func(p *placement) bool {
		return p != except && p.isHeld() && p.stopping && p.checkpointing && !p.checkpointQueued && !p.job.isGang()
	})
}

// startQueuedCheckpoint starts the queued checkpoint of the machine's oldest attempt, unless another
// checkpoint is in progress on the machine.
func (c *Core) startQueuedCheckpoint(m *machine) {
	var next *placement
	m.eachPlacement(func(p *placement) {
		if p.checkpointQueued && (next == nil || p.isEarlierThan(next)) {
			next = p
		}
	})
	if next != nil && !m.hasCheckpointInProgress(next) {
		next.checkpointQueued = false
		c.sendStop(next)
	}
}

// isEarlierThan reports whether the placement comes before the other placement, by attempt and then by task.
func (p *placement) isEarlierThan(other *placement) bool {
	return p.attempt < other.attempt || (p.attempt == other.attempt && p.taskIndex < other.taskIndex)
}
