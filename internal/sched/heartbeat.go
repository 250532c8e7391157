package sched

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

// maxResponseCommands is the number of commands at which a heartbeat response gets no further launches. It
// keeps the response within the protocol's limit for the size of bodies.
const maxResponseCommands = 400

// Heartbeat handles a worker's heartbeat and returns the response. It must be called only for a heartbeat that
// this leader may answer with status 200.
//
// What a heartbeat proves depends on the order in which a worker acts. A worker has one heartbeat in flight
// at a time and drops the response to a heartbeat on which it has given up. Suppose that the newest heartbeat
// of a worker arrives, and that the worker has seen this term's token. Then no response to the worker is
// outstanding, the worker will drop responses of older leaders, and the machine has exactly the tasks that the
// heartbeat lists.
func (c *Core) Heartbeat(heartbeat *wire.Heartbeat, now Micros) wire.HeartbeatResponse {
	c.now = now
	response := wire.HeartbeatResponse{FencingToken: c.Token(), Commands: []wire.Command{}}
	if c.machines.isReturned(heartbeat.Host) {
		return response // the heartbeat was sent before the machine was returned
	}
	machine := c.machines.find(heartbeat.Host)
	if machine == nil {
		// The machine is unexpected, or not yet in the cloud's list.
		machine = c.newMachine(heartbeat.Host, heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	}
	if !machine.isNewer(heartbeat) && !machine.isFirstOfIncarnation(heartbeat) {
		return response // late: the heartbeat is not newer than what is known of the machine
	}
	if !machine.registered {
		c.recordBootOutcome(machine, true)
	}
	if heartbeat.FencingToken != c.Token() {
		// The worker has not seen this term's token. The heartbeat's task list may predate a launch by an
		// older leader, so it proves nothing. The response carries the token, and the worker sends another
		// heartbeat as soon as it gets the token.
		machine.registered = true
		machine.addr = heartbeat.Addr
		if !machine.confirmed {
			machine.lastHeartbeat = now
		}
		return response
	}
	c.acceptHeartbeat(machine, heartbeat)
	c.reconcileTasks(machine, heartbeat, &response)
	if !machine.scalingIn { // a machine that is being returned gets stops, but no launches
		machine.appendLaunches(&response)
	}
	return response
}

// acceptHeartbeat updates the state of a machine from a heartbeat of this term, which renews its lease.
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
	machine.recordSequence(heartbeat)
	machine.lastHeartbeat = c.now
	machine.reclaimAt = 0
	if heartbeat.PreemptionNoticeS != nil {
		machine.reclaimAt = c.now + config.Micro(*heartbeat.PreemptionNoticeS)
	}
}

// confirm records that the machine's worker has seen the term's token in its current incarnation. From then
// on the machine may get launches.
func (c *Core) confirm(m *machine) {
	m.confirmed = true
	if m.placementCount == 0 {
		m.idleSince, m.gpusIdleSince = c.now, c.now
	}
	c.outbox.requestPass()
}

// startIncarnation handles a later incarnation of a machine's worker. The worker has killed and forgotten all
// tasks of its earlier incarnation, and drops responses to that incarnation's heartbeats.
func (c *Core) startIncarnation(m *machine) {
	m.confirmed = false
	m.eachPlacement(func(p *placement) {
		if p.durable {
			c.release(p)
		}
	})
}

// CommandAnswered handles the heartbeat with which a worker responds to a direct command. When such a
// heartbeat arrives, a response to one of the worker's regular heartbeats may be outstanding and bring
// launches. The heartbeat therefore proves only two things. First, a task that was observed on the machine,
// and is now missing or listed as exited, is gone for good, since launches are repeated only until their task
// is observed. Second, no task of an earlier incarnation is left. The heartbeat renews no lease and doesn't
// count as a sign of life.
func (c *Core) CommandAnswered(heartbeat *wire.Heartbeat, now Micros) {
	machine := c.machines.find(heartbeat.Host)
	if machine == nil || heartbeat.FencingToken != c.Token() || !machine.isNewer(heartbeat) {
		return
	}
	c.now = now
	if heartbeat.Incarnation > machine.incarnation {
		c.startIncarnation(machine)
	}
	machine.recordSequence(heartbeat)
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

// appendLaunches adds the stored launches whose tasks were not yet observed on the machine. Launches are
// repeated until a heartbeat lists their tasks, which the protocol allows.
func (m *machine) appendLaunches(response *wire.HeartbeatResponse) {
	m.eachPlacement(func(p *placement) {
		if p.durable && !p.observed && !p.stopping && !p.recovered && len(response.Commands) < maxResponseCommands {
			p.dispatched = true
			response.Commands = append(response.Commands, p.launchCommand())
		}
	})
}

// LaunchCommands returns the launch commands that are due for the machine's worker.
func (c *Core) LaunchCommands(host string) []wire.Command {
	var response wire.HeartbeatResponse
	if m := c.machines.find(host); m != nil && m.confirmed && !m.scalingIn {
		m.appendLaunches(&response)
	}
	return response.Commands
}

// WantsLaunches reports whether a machine that has just sent a heartbeat has room for a pending task, or
// whether launches for it are being stored.
func (c *Core) WantsLaunches(host string) bool {
	m := c.machines.find(host)
	if m == nil || !c.isSchedulable(m) || m.lastHeartbeat != c.now {
		return false
	}
	for j := range c.jobs.all() {
		if j.pendingCount() > 0 && c.now >= j.backoffUntil && meetsMachineConstraints(j, m) && hasRoom(j, m, 1) {
			return true
		}
	}
	return c.HasLaunchInFlight(host)
}
