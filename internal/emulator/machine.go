package emulator

import (
	"maps"
	"slices"

	"dalefront/internal/config"
	"dalefront/wire"
)

// Machine emulates a rented machine and the worker on it. The fleet's lock protects it.
type Machine struct {
	fleet     *Fleet
	id        string
	addr      string
	typ       wire.MachineType
	zone      string
	spot      bool
	rentedAt  Micros // time at which the machine was rented
	bootAt    Micros // time at which the machine finishes booting
	up        bool
	dead      bool
	diedAt    Micros
	hungUntil Micros  // the machine hangs until this time
	preemptAt Micros  // time at which the cloud preempts the machine, 0 if no preemption is announced
	speed     float64 // progress of tasks per unit of time; 1 is the nominal speed

	incarnation, sequence, fencingToken uint64
	leaseRenewedAt                      Micros // start of the lease: send time of the last answered heartbeat
	tasks                               []*task
	cachedImages                        []string           // cached images in the order of fetching
	imageGB                             map[string]float64 // sizes of the cached and the missing images, in GB
	missingGB                           map[string]float64 // GB still to be fetched, by image
	steppedAt                           Micros             // fleet time at the last call of step
	nextHeartbeat, lastHeartbeat        Micros             // times of the next and the last heartbeat of a simulated worker
	changed                             bool               // whether a change on the machine requires an early heartbeat
	traffic                             traffic
}

// task is one attempt of a task on a machine.
type task struct {
	m                 *Machine
	job               *job
	name              string
	index             int
	attempt           uint64
	state             string
	cause             string
	saved             bool
	stateSince        Micros // time at which the task entered its state
	startedAt         Micros // time at which the task started, 0 if it does not run
	startProgress     Micros // progress at the start of this attempt
	saveEndsAt        Micros // time at which the saving of the checkpoint ends
	violationRecorded bool   // whether a violation was recorded because the task ran although its job was cancelled
	removed           bool   // whether the task was lost without exiting; see discard
}

// setState changes the task's state and makes the worker send its next heartbeat early.
func (t *task) setState(state string) {
	t.state, t.stateSince = state, t.m.fleet.now
	t.m.changed = true
}

// exit ends a task with the given cause.
func (t *task) exit(cause string) {
	t.accountCPUTime()
	t.cause = cause
	t.setState(wire.TaskExited)
}

// accountCPUTime adds to the fleet's total the CPU time that a task has used since the task started.
func (t *task) accountCPUTime() {
	if t.startedAt > 0 {
		t.m.fleet.cpuTime += t.job.CPUs * float64(t.m.fleet.now-t.startedAt)
		t.startedAt = 0
	}
}

// runs reports whether the task has started and not exited.
func (t *task) runs() bool { return t.state == wire.TaskRunning || t.state == wire.TaskCheckpointing }

// runningTasks returns the number of tasks that have started and not exited.
func (m *Machine) runningTasks() (n int) {
	for _, t := range m.tasks {
		if t.runs() {
			n++
		}
	}
	return n
}

// cost returns the cost of the machine so far. At least 60 s are charged.
func (m *Machine) cost(now Micros) float64 {
	rate := m.typ.Price
	if m.spot {
		rate = m.typ.SpotPrice
	}
	if m.dead {
		now = m.diedAt
	}
	return rate * max(60, float64(now-m.rentedAt)/1e6) / 3600
}

// startNextIncarnation drops all tasks of the worker, which then starts its next incarnation. This happens
// when the worker's lease has expired and when the worker is restarted.
func (m *Machine) startNextIncarnation() {
	f := m.fleet
	f.counts.Lost += m.runningTasks()
	f.counts.Forgotten += m.runningTasks()
	for _, t := range m.tasks {
		t.discard()
	}
	m.tasks, m.missingGB = nil, map[string]float64{}
	m.incarnation++
	m.sequence, m.leaseRenewedAt, m.changed = 0, f.now, true
}

// step advances the machine and its tasks to the fleet's time.
func (m *Machine) step() {
	f := m.fleet
	elapsed := f.now - m.steppedAt
	m.steppedAt = f.now
	if !m.up || m.dead {
		return
	}
	if m.preemptAt > 0 && f.now >= m.preemptAt {
		f.die(m)
		return
	}
	if f.now < m.hungUntil {
		return
	}
	if f.now-m.leaseRenewedAt > config.Micro(f.workers.LeaseS) {
		m.startNextIncarnation()
	}
	m.fetchImages(elapsed)
	for _, t := range m.tasks {
		switch {
		case t.state == wire.TaskFetching && slices.Contains(m.cachedImages, t.job.Image):
			if t.job.Shape == wire.Gang {
				t.setState(wire.TaskWaitingForGang)
			} else {
				m.start(t)
			}
		case t.state == wire.TaskWaitingForGang && (t.job.gang == nil || t.job.gang.members[t] == nil) && f.now-t.stateSince > config.Micro(f.workers.GangWaitS):
			t.exit(wire.CauseGangIncomplete) // the gang attempt that the task belonged to has ended
		case t.state == wire.TaskRunning && t.job.Shape != wire.Gang && f.TaskFails != nil && f.TaskFails(m, &t.job.Job, false):
			t.fail()
		case t.state == wire.TaskRunning && t.job.Shape == wire.Array:
			progress := t.startProgress + Micros(float64(f.now-t.stateSince)*m.speed)
			f.checkpoint(t.job, t.index, progress)
			if progress >= t.job.runTime[t.index] {
				f.markCompleted(t.job, t.index)
				f.counts.Completed++
				t.exit(wire.CauseDone)
			}
		case t.state == wire.TaskCheckpointing && f.now >= t.saveEndsAt:
			t.finishSave()
		}
	}
}

// discard marks a task as lost without exiting, and removes the task from its gang. This happens when the
// worker loses its tasks and when the machine is returned.
func (t *task) discard() {
	t.accountCPUTime()
	t.removed = true
	if g := t.job.gang; g != nil {
		delete(g.members, t)
	}
}

// fetchImages continues to fetch the images that tasks wait for. The images share the machine's bandwidth.
// When the cached images exceed the size of the cache, the images that were fetched first are dropped.
func (m *Machine) fetchImages(elapsed Micros) {
	var wanted map[string]bool
	for _, t := range m.tasks {
		if t.state == wire.TaskFetching && !slices.Contains(m.cachedImages, t.job.Image) {
			if wanted == nil {
				wanted = map[string]bool{}
			}
			wanted[t.job.Image] = true
			if _, ok := m.missingGB[t.job.Image]; !ok {
				m.missingGB[t.job.Image], m.imageGB[t.job.Image] = t.job.ImageGB, t.job.ImageGB
			}
		}
	}
	if len(m.missingGB) == 0 {
		return
	}
	for _, image := range slices.Sorted(maps.Keys(m.missingGB)) {
		left := m.missingGB[image]
		if !wanted[image] {
			delete(m.missingGB, image) // no task waits for the image any more
			continue
		}
		left -= float64(elapsed) / 1e6 * m.typ.FetchGBPS / float64(len(wanted))
		m.missingGB[image] = left
		if left <= 0 {
			delete(m.missingGB, image)
			m.cachedImages = append(m.cachedImages, image)
			total := 0.0
			for _, i := range m.cachedImages {
				total += m.imageGB[i]
			}
			for total > m.typ.CacheGB && len(m.cachedImages) > 1 {
				total -= m.imageGB[m.cachedImages[0]]
				m.cachedImages = m.cachedImages[1:]
			}
		}
	}
}

// start starts a task. Its image must be cached and, for a task of a gang, the gang must be complete.
func (m *Machine) start(t *task) {
	f := m.fleet
	f.checkStart(m, t)
	t.job.runningTasks = append(t.job.runningTasks, t)
	f.counts.Started++
	t.setState(wire.TaskRunning)
	t.startedAt = f.now
	if t.job.firstStart == 0 {
		t.job.firstStart = f.now
	}
	if f.OnTaskStart != nil {
		f.OnTaskStart(&t.job.Job, t.index)
	}
	t.startProgress = t.job.savedProgress[t.index]
	switch {
	case t.job.completed[t.index]: // the result of an earlier attempt is already stored
		t.exit(wire.CauseDone)
	case f.TaskFails != nil && f.TaskFails(m, &t.job.Job, true):
		t.fail()
	}
}

// fail ends a task with an error.
func (t *task) fail() {
	t.m.fleet.counts.Failed++
	t.exit(wire.CauseError)
}

// stop executes a stop command. The task saves a checkpoint before it exits if the grace period, in seconds,
// is long enough.
func (t *task) stop(graceS float64) {
	f := t.m.fleet
	j := t.job
	canSave := t.state == wire.TaskRunning && j.CheckpointIntervalS > 0 && j.Shape != wire.Service && graceS >= j.CheckpointDurationS
	g := j.gang
	switch {
	case t.state == wire.TaskExited, t.state == wire.TaskCheckpointing && graceS > 0:
		return
	case canSave && j.Shape == wire.Gang && g != nil && g.startedAt > 0:
		if g.haltedAt == 0 {
			g.haltedAt = f.now
		} else if f.now-g.haltedAt > config.Micro(f.workers.GangLossDetectionS) {
			break
		}
		g.stopsInTime++
		t.saveEndsAt = f.now + config.Micro(j.CheckpointDurationS)
		t.setState(wire.TaskCheckpointing)
		return
	case canSave:
		f.saveProgress(t.job, t.index, t.startProgress+Micros(float64(f.now-t.stateSince)*t.m.speed))
		t.saveEndsAt = f.now + config.Micro(j.CheckpointDurationS)
		t.setState(wire.TaskCheckpointing)
		return
	}
	f.counts.Stopped++
	if g != nil && g.startedAt == 0 {
		delete(g.members, t)
	}
	t.exit(wire.CauseStopped)
}

// finishSave ends the saving of a checkpoint. A gang's checkpoint is valid only if all tasks of the gang
// received a stop command in time.
func (t *task) finishSave() {
	f, j, g := t.m.fleet, t.job, t.job.gang
	if j.Shape == wire.Gang {
		late := g == nil || f.now-g.haltedAt > config.Micro(f.workers.GangLossDetectionS)
		if g != nil && g.stopsInTime < j.Tasks && !late {
			return // the task waits until the other tasks of the gang receive stop commands
		}
		if g == nil || g.stopsInTime < j.Tasks {
			t.exit(wire.CauseGangMemberLost)
			return
		}
		f.saveProgress(j, 0, g.progress(f.now))
	}
	f.counts.Saved++
	t.saved = true
	t.exit(wire.CauseStopped)
}

// newHeartbeat returns the worker's next heartbeat.
func (m *Machine) newHeartbeat() wire.Heartbeat {
	m.sequence++
	m.changed = false
	r := wire.Heartbeat{Host: m.id, Addr: m.addr, Type: m.typ.Name, Zone: m.zone, Spot: m.spot,
		Incarnation: m.incarnation, Sequence: m.sequence, FencingToken: m.fencingToken, Tasks: []wire.TaskStatus{}}
	if m.preemptAt > 0 {
		s := float64(m.preemptAt-m.fleet.now) / 1e6
		r.PreemptionNoticeS = &s
	}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

// handleResponse handles the response to a heartbeat that the given incarnation sent at the given time. It
// ignores a response to an earlier incarnation, a response without a fencing token, and a response whose
// fencing token is lower than the worker's.
func (m *Machine) handleResponse(response *wire.HeartbeatResponse, incarnation uint64, sent Micros) {
	if incarnation != m.incarnation || response.FencingToken < m.fencingToken || response.FencingToken == 0 {
		return
	}
	if response.FencingToken > m.fencingToken {
		m.fencingToken, m.changed = response.FencingToken, true
	}
	m.leaseRenewedAt = max(m.leaseRenewedAt, sent)
	for _, command := range response.Commands {
		m.execute(command)
	}
}

// handleCommands executes direct commands. It returns false and executes nothing if the batch of
// commands has a lower fencing token than the worker's or is meant for another incarnation.
func (m *Machine) handleCommands(batch *wire.CommandBatch) bool {
	if batch.FencingToken < m.fencingToken || batch.Incarnation != m.incarnation {
		return false
	}
	m.fencingToken = batch.FencingToken
	for _, command := range batch.Commands {
		m.execute(command)
	}
	return true
}

// execute executes one command of a controller.
func (m *Machine) execute(command wire.Command) {
	at := slices.IndexFunc(m.tasks, func(t *task) bool { return t.name == command.Task })
	switch command.Op {
	case wire.Launch:
		m.launch(command)
	case wire.Stop:
		for _, t := range m.tasks {
			if t.name == command.Task && t.attempt == command.Attempt {
				grace := 0.0
				if command.GraceS != nil {
					grace = *command.GraceS
				}
				t.stop(grace)
			}
		}
	case wire.Clear:
		if at >= 0 {
			m.tasks = slices.DeleteFunc(m.tasks, func(t *task) bool {
				return t.name == command.Task && t.attempt == command.Attempt && t.state == wire.TaskExited
			})
		}
	}
}

// resourceTolerance absorbs rounding errors in sums of CPUs, GPUs and gigabytes of memory.
const resourceTolerance = 1e-6

// freeResources returns the resources not used by tasks that have not exited.
func (m *Machine) freeResources() (cpus, gpus, memory float64) {
	cpus, gpus, memory = m.typ.CPUs, m.typ.GPUs, m.typ.MemoryGB
	for _, x := range m.tasks {
		if x.state != wire.TaskExited {
			cpus, gpus, memory = cpus-x.job.CPUs, gpus-x.job.GPUs, memory-x.job.MemoryGB
		}
	}
	return cpus, gpus, memory
}

// launch executes a launch command. A task that can't run is added in the state "exited", with the cause.
func (m *Machine) launch(command wire.Command) {
	id, index, ok := wire.ParseTask(command.Task)
	j := m.fleet.jobs[id]
	t := &task{m: m, job: j, name: command.Task, index: int(index), attempt: command.Attempt, stateSince: m.fleet.now, state: wire.TaskFetching}
	if !ok || j == nil || int(index) >= j.Tasks {
		t.job, t.state, t.cause = &job{}, wire.TaskExited, wire.CauseUnknown
	}
	for _, x := range m.tasks {
		if x.name == command.Task && x.attempt == command.Attempt {
			return
		}
		if x.name == command.Task && x.state != wire.TaskExited {
			t.state, t.cause = wire.TaskExited, wire.CauseAttemptConflict
		}
	}
	cpus, gpus, memory := m.freeResources()
	if t.state == wire.TaskFetching && (t.job.CPUs > cpus+resourceTolerance || t.job.GPUs > gpus+resourceTolerance || t.job.MemoryGB > memory+resourceTolerance) {
		t.state, t.cause = wire.TaskExited, wire.CauseInsufficientResources
	}
	if t.state == wire.TaskFetching && m.fleet.RejectsLaunch != nil && m.fleet.RejectsLaunch() {
		t.state, t.cause = wire.TaskExited, wire.CauseInsufficientResources
	}
	m.tasks = append(m.tasks, t)
	m.changed = true
	if t.state == wire.TaskFetching && j.Shape == wire.Gang {
		if j.gang == nil || j.gang.attempt < t.attempt {
			j.gang = &gangAttempt{attempt: t.attempt, members: map[*task]*Machine{}}
		}
		if j.gang.attempt == t.attempt && j.gang.startedAt == 0 {
			j.gang.members[t] = m
		}
	}
}
