package sched

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

// ResumeAfterStall says that the controller stood still for so long. Its own absence is not
// the workers' silence: what was measured against the clock goes on from where it
// was, and what took the gap to be noticed teaches nothing about run times.
func (c *Core) ResumeAfterStall(gap, now Micros) {
	c.now, c.resumedAt, c.passNeeded = now, now, true
	for _, m := range c.machines.all() {
		if m.lastHeartbeat > 0 {
			m.lastHeartbeat = min(now, m.lastHeartbeat+gap)
		}
		m.idleSince = min(now, m.idleSince+gap)
	}
}

// canSampleTimes says whether times measured now mean anything: shortly after a
// standstill or a takeover what is seen may have happened long before.
func (c *Core) canSampleTimes() bool {
	return c.now-max(c.resumedAt, c.termStart) >= 2*config.Micro(c.settings.Deployment.Workers.ReportS)+second
}

// Heartbeat takes a worker's report that this leader is entitled to answer with
// 200, and returns the answer.
//
// What a report proves rests on the order in which a worker acts: it has one
// report in flight at a time and drops an answer once it has given up on the
// report. So when the newest report of a worker that has seen this term's token
// arrives, no answer to it is outstanding, answers of older leaders will be
// dropped, and the machine holds exactly the tasks listed.
func (c *Core) Heartbeat(r *wire.Heartbeat, now Micros) wire.HeartbeatResponse {
	c.now = now
	a := wire.HeartbeatResponse{FencingToken: c.Token(), Commands: []wire.Command{}}
	if c.machines.isReturned(r.Host) {
		return a // sent before the machine was returned
	}
	m := c.machines.find(r.Host)
	if m == nil {
		// An unexpected machine, or one that the list does not show yet: adopt it.
		m = c.newMachine(r.Host, r.Addr, r.Type, r.Zone, r.Spot)
	}
	if r.Incarnation < m.incarnation || (r.Incarnation == m.incarnation && r.Sequence <= m.sequence && m.sequence > 0) {
		return a // late: its task list is older than what is known
	}
	if !m.registered {
		c.recordBootOutcome(m, true)
	}
	if r.FencingToken != c.Token() {
		// The worker has not seen this term's token. Its list may predate a
		// launch by an older leader, so it proves nothing; but the answer
		// hands out the token, and the worker reports again at once.
		m.registered = true
		m.addr = r.Addr
		if !m.confirmed {
			m.lastHeartbeat = now
		}
		return a
	}
	if m.lastHeartbeat > 0 && !c.detector.IsCut(m.zone) && c.canSampleTimes() {
		c.detector.Resumed(now, now-m.lastHeartbeat)
	}
	m.addr, m.registered, m.leaseExpired = r.Addr, true, false
	if r.Incarnation > m.incarnation {
		c.startIncarnation(m)
	}
	if !m.confirmed && m.placementCount == 0 {
		m.idleSince, m.gpusIdleSince = now, now
	}
	if !m.confirmed {
		c.passNeeded = true
	}
	m.incarnation, m.sequence, m.lastHeartbeat, m.confirmed = r.Incarnation, r.Sequence, now, true
	m.reclaimAt = 0
	if r.PreemptionNoticeS != nil {
		m.reclaimAt = now + config.Micro(*r.PreemptionNoticeS)
	}
	if m.scalingIn {
		// Its tasks are about to go; nothing is launched, stops still make sense.
		c.reconcileTasks(m, r, &a)
		return a
	}
	c.reconcileTasks(m, r, &a)
	c.appendLaunches(m, &a)
	return a
}

// CommandAnswered takes the report with which a worker answers a direct command. Unlike with a report
// of its own, an answer to it may be outstanding and bring launches. So what is proven is that a
// task which was seen on the machine and is listed no more, or as exited, is gone for good,
// as launches are repeated only until their task is seen; and that nothing of an earlier session
// is left. It renews no lease, and the machine is as silent as it was.
func (c *Core) CommandAnswered(r *wire.Heartbeat, now Micros) {
	m := c.machines.find(r.Host)
	if m == nil || r.FencingToken != c.Token() || r.Incarnation < m.incarnation || (r.Incarnation == m.incarnation && r.Sequence <= m.sequence) {
		return
	}
	c.now = now
	if r.Incarnation > m.incarnation {
		c.startIncarnation(m)
	}
	m.incarnation, m.sequence = r.Incarnation, r.Sequence
	present := map[*placement]bool{}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		j, num, ok := c.findTask(t.Task)
		if !ok {
			continue
		}
		p := m.findPlacement(taskKey{j, num}, t.Attempt)
		if t.State == wire.TaskExited {
			c.handleExit(m, j, num, t, p)
		} else if p != nil {
			present[p] = true
		}
	}
	m.eachPlacement(func(p *placement) {
		if p.durable && p.observed && !present[p] {
			c.release(p)
		}
	})
	c.startQueuedCheckpoint(m)
}

// startIncarnation takes a later session of a machine's worker: it killed and forgot all tasks of the
// earlier one, and drops answers to reports of that session.
func (c *Core) startIncarnation(m *machine) {
	m.confirmed = false
	m.eachPlacement(func(p *placement) {
		if p.durable {
			c.release(p)
		}
	})
}

// reconcileTasks brings the placements of a machine in line with its report.
func (c *Core) reconcileTasks(m *machine, r *wire.Heartbeat, a *wire.HeartbeatResponse) {
	present := make(map[*placement]bool, len(r.Tasks))
	m.savingCount = 0
	clear(m.fetchingImages)
	for i := range r.Tasks {
		t := &r.Tasks[i]
		j, num, ok := c.findTask(t.Task)
		if !ok {
			a.Commands = append(a.Commands, removalCommand(t))
			continue
		}
		p := m.findPlacement(taskKey{j, num}, t.Attempt)
		if t.State == wire.TaskExited {
			c.handleExit(m, j, num, t, p)
			if t.Cause != wire.CauseDone || j.finalStatus != "" || j.spec.Shape == wire.Service || j.hasBit(j.durableCompleted, num) {
				a.Commands = append(a.Commands, wire.Command{Op: wire.Clear, Task: t.Task, Attempt: t.Attempt})
			}
			continue
		}
		if p == nil {
			// Not in the books: it occupies its place all the same until it is gone.
			p = c.addPlacement(j, num, m, t.Attempt)
			p.durable = true
			c.ledger.addUnrecorded(p)
			if c.mustRemove(p) {
				c.stopPlacement(p, false)
			}
		}
		present[p] = true
		p.observed = true
		if t.State == wire.TaskRunning && p.runningSince == 0 {
			p.runningSince = c.now
			c.recordStart(j)
			if j.isGang() && t.Attempt == j.gangAttempt {
				j.gangStarted = true
			}
		}
		p.state = t.State
		switch t.State {
		case wire.TaskFetching:
			m.fetchingImages[j.spec.Image] = p.placedAt
		case wire.TaskSaving:
			m.savingCount++
		}
		if t.State != wire.TaskFetching {
			c.markImageCached(m, j)
		}
		if p.stopping && !p.checkpointQueued && !(p.checkpointing && t.State == wire.TaskSaving) {
			a.Commands = append(a.Commands, p.stopCommand())
		}
	}
	m.eachPlacement(func(p *placement) {
		if present[p] || !p.durable {
			return
		}
		// Absent from an exact list: gone, or its launch never arrived. A
		// launch that is still wanted is sent again with this answer, but only
		// one of this term: a record may be older than the task's exit and its
		// start elsewhere, and after a clear a repeated launch starts it again.
		if p.observed || p.stopping || p.recovered || p.job.isOver() || p.job.isCompleted(p.taskIndex) {
			c.release(p)
		}
	})
	c.startQueuedCheckpoint(m)
}

// findTask finds a task by its name, if its job is known.
func (c *Core) findTask(task string) (j *job, num int32, ok bool) {
	id, num, ok := wire.ParseTask(task)
	j = c.jobs.find(id)
	return j, num, ok && j != nil && int(num) < j.spec.Tasks
}

// mustRemove says whether a task found outside the books must go: its job is over,
// the task is done, or another copy may exist.
func (c *Core) mustRemove(p *placement) bool {
	j := p.job
	return j.isOver() || j.isCompleted(p.taskIndex) || j.placementsByTask[p.taskIndex] > 1 || (j.isGang() && p.attempt != j.gangAttempt)
}

// removalCommand is the order that takes a task off its machine at once, or out of its reports if
// it has exited.
func removalCommand(t *wire.TaskStatus) wire.Command {
	if t.State == wire.TaskExited {
		return wire.Command{Op: wire.Clear, Task: t.Task, Attempt: t.Attempt}
	}
	zero := 0.0
	return wire.Command{Op: wire.Stop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero}
}

// markImageCached notes that a machine has a job's image.
func (c *Core) markImageCached(m *machine, j *job) {
	m.cachedImages[j.spec.Image] = c.now
}

func (c *Core) handleExit(m *machine, j *job, num int32, t *wire.TaskStatus, p *placement) {
	if t.Cause == wire.CauseDone {
		if p != nil && p.runningSince > 0 && j.spec.EstimateS > 0 && !j.isCompleted(num) && !p.recovered && c.canSampleTimes() {
			actual := float64(c.now-p.runningSince) / float64(second) / j.spec.EstimateS
			// A faulty machine can be much slower than others of its type: compare
			// with what the class usually takes, and forget slowly.
			m.slowdown += 0.3 * (min(max(actual/j.class.runTimeRatio, 0.2), 6) - m.slowdown)
			j.class.runTimeRatio += 0.1 * (min(max(actual, 0.2), 5) - j.class.runTimeRatio)
		}
		if !j.isCompleted(num) {
			c.markDone(j, num)
		}
		clear(m.failedJobs)
		c.markImageCached(m, j)
	}
	if p == nil {
		return // freed before; the clear is repeated until it is gone
	}
	p.state = wire.TaskExited
	switch t.Cause {
	case wire.CauseStopped:
		if t.Saved && p.runningSince > 0 {
			j.checkpointedRunTime += c.now - p.runningSince
			if took := float64(c.now-p.stopSentAt) / float64(second); p.checkpointing && took > 0 && j.spec.MemoryGB > 0 && c.canSampleTimes() {
				// The paper's bandwidth, learned from saves that were observed.
				c.writeGBPerS += 0.2 * (j.spec.MemoryGB/max(took, 0.5) - c.writeGBPerS)
			}
		}
	case wire.CauseError:
		c.Stats.Errors++
		c.recordFailure(j, m, p)
	case wire.CauseNoRoom, wire.CauseImageInUse:
		m.avoidUntil = c.now + 3*second
	case wire.CauseUnknown:
		j.backoffUntil = c.now + 3*second
	case wire.CauseGangIncomplete, wire.CauseGangMemberLost:
		if j.isGang() && p.attempt == j.gangAttempt {
			j.gangBroken = true
		}
	}
	c.release(p)
}

// maxAnswerOrders is how many orders an answer has at most before launches are added to it: it
// keeps the answer within the protocol's limit for bodies.
const maxAnswerOrders = 400

// appendLaunches adds the stored launches that the machine does not hold yet. They
// are repeated until a report shows them, which the protocol allows.
func (c *Core) appendLaunches(m *machine, a *wire.HeartbeatResponse) {
	m.eachPlacement(func(p *placement) {
		if p.durable && !p.observed && !p.stopping && !p.recovered && len(a.Commands) < maxAnswerOrders {
			p.dispatched = true
			a.Commands = append(a.Commands, p.launchCommand())
		}
	})
}

// WantsLaunches says whether a machine that has just reported has room for something
// that waits.
func (c *Core) WantsLaunches(host string) bool {
	m := c.machines.find(host)
	if m == nil || !c.isSchedulable(m) || m.lastHeartbeat != c.now {
		return false
	}
	for j := range c.jobs.all() {
		if j.pendingCount() > 0 && c.now >= j.backoffUntil && allowed(j, m) && hasRoom(j, m, 1) {
			return true
		}
	}
	return c.HasLaunchInFlight(host)
}

// TakePassNeeded says whether something happened since the last call that a pass may
// make use of.
func (c *Core) TakePassNeeded() bool {
	x := c.passNeeded
	c.passNeeded = false
	return x
}

// LaunchCommands returns the launches that the machine's worker should get now.
func (c *Core) LaunchCommands(host string) []wire.Command {
	var a wire.HeartbeatResponse
	if m := c.machines.find(host); m != nil && m.confirmed && !m.scalingIn {
		c.appendLaunches(m, &a)
	}
	return a.Commands
}
