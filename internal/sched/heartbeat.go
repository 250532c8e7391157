package sched

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

// maxAnswerCommands is how many orders an answer has at most before launches are added to it: it
// keeps the answer within the protocol's limit for bodies.
const maxAnswerCommands = 400

// Heartbeat takes a worker's heartbeat that this leader is entitled to answer with
// 200, and returns the answer.
//
// What a heartbeat proves rests on the order in which a worker acts: it has one
// in flight at a time and drops an answer once it has given up on the
// heartbeat. So when the newest heartbeat of a worker that has seen this term's token
// arrives, no answer to it is outstanding, answers of older leaders will be
// dropped, and the machine holds exactly the tasks listed.
func (c *Core) Heartbeat(r *wire.Heartbeat, now Micros) wire.HeartbeatResponse {
	c.now = now
	answer := wire.HeartbeatResponse{FencingToken: c.Token(), Commands: []wire.Command{}}
	if c.machines.isReturned(r.Host) {
		return answer // sent before the machine was returned
	}
	m := c.machines.find(r.Host)
	if m == nil {
		// An unexpected machine, or one that the list does not show yet: adopt it.
		m = c.newMachine(r.Host, r.Addr, r.Type, r.Zone, r.Spot)
	}
	if !m.isNewer(r) && !m.isFirst(r) {
		return answer // late: its task list is older than what is known
	}
	if !m.registered {
		c.recordBootOutcome(m, true)
	}
	if r.FencingToken != c.Token() {
		// The worker has not seen this term's token. Its list may predate a
		// launch by an older leader, so it proves nothing; but the answer
		// hands out the token, and the worker sends another heartbeat at once.
		m.registered = true
		m.addr = r.Addr
		if !m.confirmed {
			m.lastHeartbeat = now
		}
		return answer
	}
	c.acceptHeartbeat(m, r)
	c.reconcileTasks(m, r, &answer)
	if !m.scalingIn { // its tasks are about to go: nothing is launched, stops still make sense
		m.appendLaunches(&answer)
	}
	return answer
}

// acceptHeartbeat takes what a heartbeat of this term says of the machine itself: it has its lease.
func (c *Core) acceptHeartbeat(m *machine, r *wire.Heartbeat) {
	if m.lastHeartbeat > 0 && !c.detector.IsPartitioned(m.zone) && c.canSampleTimes() {
		c.detector.RecordRecovery(c.now, c.now-m.lastHeartbeat)
	}
	m.addr, m.registered, m.leaseExpired = r.Addr, true, false
	if r.Incarnation > m.incarnation {
		c.startIncarnation(m)
	}
	if !m.confirmed {
		c.confirm(m)
	}
	m.accept(r)
	m.lastHeartbeat = c.now
	m.reclaimAt = 0
	if r.PreemptionNoticeS != nil {
		m.reclaimAt = c.now + config.Micro(*r.PreemptionNoticeS)
	}
}

// confirm notes that a worker has seen the term's token in its incarnation: from now on it may get
// launches.
func (c *Core) confirm(m *machine) {
	m.confirmed = true
	if m.placementCount == 0 {
		m.idleSince, m.gpusIdleSince = c.now, c.now
	}
	c.outbox.requestPass()
}

// startIncarnation takes a later incarnation of a machine's worker: it killed and forgot all tasks of the
// earlier one, and drops answers to heartbeats of that one.
func (c *Core) startIncarnation(m *machine) {
	m.confirmed = false
	m.eachPlacement(func(p *placement) {
		if p.durable {
			c.release(p)
		}
	})
}

// CommandAnswered takes the heartbeat with which a worker answers a direct command. Unlike with one
// of its own, an answer to it may be outstanding and bring launches. So what is proven is that a
// task which was seen on the machine and is listed no more, or as exited, is gone for good,
// as launches are repeated only until their task is seen; and that nothing of an earlier incarnation
// is left. It renews no lease, and the machine is as silent as it was.
func (c *Core) CommandAnswered(r *wire.Heartbeat, now Micros) {
	m := c.machines.find(r.Host)
	if m == nil || r.FencingToken != c.Token() || !m.isNewer(r) {
		return
	}
	c.now = now
	if r.Incarnation > m.incarnation {
		c.startIncarnation(m)
	}
	m.accept(r)
	present := map[*placement]bool{}
	for i := range r.Tasks {
		status := &r.Tasks[i]
		j, task, known := c.findTask(status.Task)
		if !known {
			continue
		}
		p := m.findPlacement(taskKey{j, task}, status.Attempt)
		if status.State == wire.TaskExited {
			c.handleExit(m, j, task, status, p)
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

// appendLaunches adds the stored launches that the machine does not hold yet. They
// are repeated until a heartbeat shows them, which the protocol allows.
func (m *machine) appendLaunches(answer *wire.HeartbeatResponse) {
	m.eachPlacement(func(p *placement) {
		if p.durable && !p.observed && !p.stopping && !p.recovered && len(answer.Commands) < maxAnswerCommands {
			p.dispatched = true
			answer.Commands = append(answer.Commands, p.launchCommand())
		}
	})
}

// LaunchCommands returns the launches that the machine's worker should get now.
func (c *Core) LaunchCommands(host string) []wire.Command {
	var answer wire.HeartbeatResponse
	if m := c.machines.find(host); m != nil && m.confirmed && !m.scalingIn {
		m.appendLaunches(&answer)
	}
	return answer.Commands
}

// WantsLaunches says whether a machine that has just sent a heartbeat has room for something
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
