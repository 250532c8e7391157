package sched

import "slices"

// stopPlacement marks a placement to be stopped and sends the stop at once. A launch
// that was never stored or sent simply isn't sent any more. As in the paper's
// resource manager, checkpoints of a machine queue, one at a time; kills don't
// wait, and neither do gangs, whose tasks must stop together.
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

// sendStop sends a stop straight to the worker; the answers to heartbeats repeat it.
func (c *Core) sendStop(p *placement) {
	p.stopSentAt = c.now
	if p.observed && p.machine.confirmed && p.machine.addr != "" {
		c.outbox.addCommands(p.machine, c.Token(), p.stopCommand())
	}
}

// hasCheckpointInProgress says whether another checkpoint is under way on the machine.
func (u *machineUsage) hasCheckpointInProgress(but *placement) bool {
	return slices.ContainsFunc(u.placements, func(p *placement) bool {
		return p != but && p.isHeld() && p.stopping && p.checkpointing && !p.checkpointQueued && !p.job.isGang()
	})
}

// startQueuedCheckpoint starts the queued checkpoint that has waited longest.
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

// isEarlierThan orders placements by attempt and task.
func (p *placement) isEarlierThan(other *placement) bool {
	return p.attempt < other.attempt || (p.attempt == other.attempt && p.taskIndex < other.taskIndex)
}
