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
func (c *Core) Heartbeat(heartbeat *wire.Heartbeat, now Micros) wire.HeartbeatResponse {
	c.now = now
	answer := wire.HeartbeatResponse{FencingToken: c.Token(), Commands: []wire.Command{}}
	if c.machines.isReturned(heartbeat.Host) {
		return answer // sent before the machine was returned
	}
	machine := c.machines.find(heartbeat.Host)
	if machine == nil {
		// An unexpected machine, or one that the list does not show yet: adopt it.
		machine = c.newMachine(heartbeat.Host, heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	}
	if !machine.isNewer(heartbeat) && !machine.isFirst(heartbeat) {
		return answer // late: its task list is older than what is known
	}
	if !machine.registered {
		c.recordBootOutcome(machine, true)
	}
	if heartbeat.FencingToken != c.Token() {
		// The worker has not seen this term's token. Its list may predate a
		// launch by an older leader, so it proves nothing; but the answer
		// hands out the token, and the worker sends another heartbeat at once.
		machine.registered = true
		machine.addr = heartbeat.Addr
		if !machine.confirmed {
			machine.lastHeartbeat = now
		}
		return answer
	}
	c.acceptHeartbeat(machine, heartbeat)
	c.reconcileTasks(machine, heartbeat, &answer)
	if !machine.scalingIn { // its tasks are about to go: nothing is launched, stops still make sense
		machine.appendLaunches(&answer)
	}
	return answer
}

// acceptHeartbeat takes what a heartbeat of this term says of the machine itself: it has its lease.
func (c *Core) acceptHeartbeat(machine *machine, heartbeat *wire.Heartbeat) {
	if machine.lastHeartbeat > 0 && !c.detector.IsPartitioned(machine.zone) && c.canSampleTimes() {
		c.detector.RecordRecovery(c.now, c.now-machine.lastHeartbeat)
	}
	machine.addr, machine.registered, machine.leaseExpired = heartbeat.Addr, true, false
	if heartbeat.Incarnation > machine.incarnation {
		c.startIncarnation(machine)
	}
	if !machine.confirmed {
		c.confirm(machine)
	}
	machine.accept(heartbeat)
	machine.lastHeartbeat = c.now
	machine.reclaimAt = 0
	if heartbeat.PreemptionNoticeS != nil {
		machine.reclaimAt = c.now + config.Micro(*heartbeat.PreemptionNoticeS)
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
func (c *Core) CommandAnswered(heartbeat *wire.Heartbeat, now Micros) {
	machine := c.machines.find(heartbeat.Host)
	if machine == nil || heartbeat.FencingToken != c.Token() || !machine.isNewer(heartbeat) {
		return
	}
	c.now = now
	if heartbeat.Incarnation > machine.incarnation {
		c.startIncarnation(machine)
	}
	machine.accept(heartbeat)
	present := map[*placement]bool{}
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		job, task, known := c.findTask(status.Task)
		if !known {
			continue
		}
		placement := machine.findPlacement(taskKey{job, task}, status.Attempt)
		if status.State == wire.TaskExited {
			c.handleExit(machine, job, task, status, placement)
		} else if placement != nil {
			present[placement] = true
		}
	}
	machine.eachPlacement(func(placement *placement) {
		if placement.durable && placement.observed && !present[placement] {
			c.release(placement)
		}
	})
	c.startQueuedCheckpoint(machine)
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
