package emulator

import (
	"maps"
	"slices"

	"dalefront/internal/config"
	"dalefront/wire"
)

// Machine is a rented machine and the worker on it. The fleet's lock guards it.
type Machine struct {
	f      *Fleet
	id     string
	addr   string
	typ    wire.MachineType
	zone   string
	spot   bool
	born   Micros
	bootAt Micros
	up     bool
	dead   bool
	died   Micros
	hung   Micros // until when it hangs
	recall Micros // when the cloud takes it
	speed  float64

	session, seq, token uint64
	renewed             Micros // when the last answered report was sent
	tasks               []*task
	images              []string           // cached, the most recently used last
	size                map[string]float64 // of images, in GB
	fetches             map[string]float64 // GB that are missing
	stepped             Micros
	next, last          Micros // reports of a simulated worker
	changed             bool   // something is worth a report
	traffic             traffic
}

// task is one attempt on a machine.
type task struct {
	m       *Machine
	job     *job
	name    string
	index   int
	attempt uint64
	state   string
	cause   string
	saved   bool
	since   Micros // when it came into its state
	begun   Micros // when it was started, 0 before and after
	from    Micros // progress when it was started
	saveEnd Micros
	blamed  bool
	gone    bool // the worker forgot it, or its machine was given back
}

func (t *task) set(state string) {
	t.state, t.since = state, t.m.f.now
	t.m.changed = true
}

func (t *task) exit(cause string) {
	t.account()
	t.cause = cause
	t.set(wire.TaskExited)
}

// account adds the time that a task had its processors while it ran or saved.
func (t *task) account() {
	if t.begun > 0 {
		t.m.f.ran += t.job.CPUs * float64(t.m.f.now-t.begun)
		t.begun = 0
	}
}

// runs says whether the task has started and not exited.
func (t *task) runs() bool { return t.state == wire.TaskRunning || t.state == wire.TaskSaving }

// running counts the tasks that run.
func (m *Machine) running() (n int) {
	for _, t := range m.tasks {
		if t.runs() {
			n++
		}
	}
	return n
}

// price is what the machine has cost.
func (m *Machine) price(now Micros) float64 {
	rate := m.typ.Price
	if m.spot {
		rate = m.typ.SpotPrice
	}
	if m.dead {
		now = m.died
	}
	return rate * max(60, float64(now-m.born)/1e6) / 3600
}

// nextSession lets the worker forget all its tasks, as when its lease has run out.
func (m *Machine) nextSession() {
	f := m.f
	f.counts.Lost += m.running()
	f.counts.Forgotten += m.running()
	for _, t := range m.tasks {
		t.leave()
	}
	m.tasks, m.fetches = nil, map[string]float64{}
	m.session++
	m.seq, m.renewed, m.changed = 0, f.now, true
}

// step lets time pass on the machine.
func (m *Machine) step() {
	f := m.f
	passed := f.now - m.stepped
	m.stepped = f.now
	if !m.up || m.dead {
		return
	}
	if m.recall > 0 && f.now >= m.recall {
		f.die(m)
		return
	}
	if f.now < m.hung {
		return
	}
	if f.now-m.renewed > config.Micro(f.workers.LeaseS) {
		m.nextSession()
	}
	m.fetch(passed)
	for _, t := range m.tasks {
		switch {
		case t.state == wire.TaskFetching && slices.Contains(m.images, t.job.Image):
			if t.job.Shape == wire.Gang {
				t.set(wire.TaskWaiting)
			} else {
				m.begin(t)
			}
		case t.state == wire.TaskWaiting && (t.job.gang == nil || t.job.gang.members[t] == nil) && f.now-t.since > config.Micro(f.workers.GangWaitS):
			t.exit(wire.CauseGangIncomplete) // of an attempt that is over
		case t.state == wire.TaskRunning && t.job.Shape != wire.Gang && f.Fails != nil && f.Fails(m, &t.job.Job, false):
			t.fail()
		case t.state == wire.TaskRunning && t.job.Shape == wire.Array:
			done := t.from + Micros(float64(f.now-t.since)*m.speed)
			f.checkpoint(t.job, t.index, done)
			if done >= t.job.length[t.index] {
				f.complete(t.job, t.index)
				f.counts.Completed++
				t.exit(wire.CauseDone)
			}
		case t.state == wire.TaskSaving && f.now >= t.saveEnd:
			t.finishSave()
		}
	}
}

// leave takes a task out of its gang when it is gone without exiting.
func (t *task) leave() {
	t.account()
	t.gone = true
	if g := t.job.gang; g != nil {
		delete(g.members, t)
	}
}

// fetch brings the images that tasks wait for; they share the machine's rate.
func (m *Machine) fetch(passed Micros) {
	var wanted map[string]bool
	for _, t := range m.tasks {
		if t.state == wire.TaskFetching && !slices.Contains(m.images, t.job.Image) {
			if wanted == nil {
				wanted = map[string]bool{}
			}
			wanted[t.job.Image] = true
			if _, ok := m.fetches[t.job.Image]; !ok {
				m.fetches[t.job.Image], m.size[t.job.Image] = t.job.ImageGB, t.job.ImageGB
			}
		}
	}
	if len(m.fetches) == 0 {
		return
	}
	for _, image := range slices.Sorted(maps.Keys(m.fetches)) {
		left := m.fetches[image]
		if !wanted[image] {
			delete(m.fetches, image) // given up
			continue
		}
		left -= float64(passed) / 1e6 * m.typ.FetchGBPS / float64(len(wanted))
		m.fetches[image] = left
		if left <= 0 {
			delete(m.fetches, image)
			m.images = append(m.images, image)
			total := 0.0
			for _, i := range m.images {
				total += m.size[i]
			}
			for total > m.typ.CacheGB && len(m.images) > 1 {
				total -= m.size[m.images[0]]
				m.images = m.images[1:]
			}
		}
	}
}

// begin starts a task that has its image, and whose gang is complete.
func (m *Machine) begin(t *task) {
	f := m.f
	f.mayStart(m, t)
	t.job.live = append(t.job.live, t)
	f.counts.Started++
	t.set(wire.TaskRunning)
	t.begun = f.now
	if t.job.first == 0 {
		t.job.first = f.now
	}
	if f.Begins != nil {
		f.Begins(&t.job.Job, t.index)
	}
	t.from = t.job.saved[t.index]
	switch {
	case t.job.completed[t.index]: // the result is kept
		t.exit(wire.CauseDone)
	case f.Fails != nil && f.Fails(m, &t.job.Job, true):
		t.fail()
	}
}

// fail ends a task with an error.
func (t *task) fail() {
	t.m.f.counts.Failed++
	t.exit(wire.CauseError)
}

// stop tells a task to stop.
func (t *task) stop(graceS float64) {
	f := t.m.f
	j := t.job
	saves := t.state == wire.TaskRunning && j.CheckpointIntervalS > 0 && j.Shape != wire.Service && graceS >= j.CheckpointDurationS
	g := j.gang
	switch {
	case t.state == wire.TaskExited, t.state == wire.TaskSaving && graceS > 0:
		return
	case saves && j.Shape == wire.Gang && g != nil && g.started > 0:
		if g.halted == 0 {
			g.halted = f.now
		} else if f.now-g.halted > config.Micro(f.workers.GangPeerS) {
			break
		}
		g.told++
		t.saveEnd = f.now + config.Micro(j.CheckpointDurationS)
		t.set(wire.TaskSaving)
		return
	case saves:
		f.save(t.job, t.index, t.from+Micros(float64(f.now-t.since)*t.m.speed))
		t.saveEnd = f.now + config.Micro(j.CheckpointDurationS)
		t.set(wire.TaskSaving)
		return
	}
	f.counts.Stopped++
	if g != nil && g.started == 0 {
		delete(g.members, t)
	}
	t.exit(wire.CauseStopped)
}

// finishSave ends a save. A gang's counts if all its tasks were told in time.
func (t *task) finishSave() {
	f, j, g := t.m.f, t.job, t.job.gang
	if j.Shape == wire.Gang {
		late := g == nil || f.now-g.halted > config.Micro(f.workers.GangPeerS)
		if g != nil && g.told < j.Tasks && !late {
			return // waits for the others
		}
		if g == nil || g.told < j.Tasks {
			t.exit(wire.CauseGangMemberLost)
			return
		}
		f.save(j, 0, g.progress(f.now))
	}
	f.counts.Saved++
	t.saved = true
	t.exit(wire.CauseStopped)
}

// report is what the worker says now.
func (m *Machine) report() wire.Heartbeat {
	m.seq++
	m.changed = false
	r := wire.Heartbeat{Host: m.id, Addr: m.addr, Type: m.typ.Name, Zone: m.zone, Spot: m.spot,
		Incarnation: m.session, Sequence: m.seq, FencingToken: m.token, Tasks: []wire.TaskStatus{}}
	if m.recall > 0 {
		s := float64(m.recall-m.f.now) / 1e6
		r.PreemptionNoticeS = &s
	}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

// answered takes the answer to a report of a session that was sent at a time.
func (m *Machine) answered(a *wire.HeartbeatResponse, session uint64, sent Micros) {
	if session != m.session || a.FencingToken < m.token || a.FencingToken == 0 {
		return
	}
	if a.FencingToken > m.token {
		m.token, m.changed = a.FencingToken, true
	}
	m.renewed = max(m.renewed, sent)
	for _, o := range a.Commands {
		m.execute(o)
	}
}

// commanded carries out direct commands, unless they are an older leader's or for
// another session.
func (m *Machine) commanded(d *wire.CommandBatch) bool {
	if d.FencingToken < m.token || d.Incarnation != m.session {
		return false
	}
	m.token = d.FencingToken
	for _, o := range d.Commands {
		m.execute(o)
	}
	return true
}

// execute carries out a command.
func (m *Machine) execute(o wire.Command) {
	at := slices.IndexFunc(m.tasks, func(t *task) bool { return t.name == o.Task })
	switch o.Op {
	case wire.Launch:
		m.launch(o)
	case wire.Stop:
		for _, t := range m.tasks {
			if t.name == o.Task && t.attempt == o.Attempt {
				grace := 0.0
				if o.GraceS != nil {
					grace = *o.GraceS
				}
				t.stop(grace)
			}
		}
	case wire.Clear:
		if at >= 0 {
			m.tasks = slices.DeleteFunc(m.tasks, func(t *task) bool {
				return t.name == o.Task && t.attempt == o.Attempt && t.state == wire.TaskExited
			})
		}
	}
}

const tiny = 1e-6

// room is what tasks that have not exited leave of the machine.
func (m *Machine) room() (cpus, gpus, memory float64) {
	cpus, gpus, memory = m.typ.CPUs, m.typ.GPUs, m.typ.MemoryGB
	for _, x := range m.tasks {
		if x.state != wire.TaskExited {
			cpus, gpus, memory = cpus-x.job.CPUs, gpus-x.job.GPUs, memory-x.job.MemoryGB
		}
	}
	return cpus, gpus, memory
}

func (m *Machine) launch(o wire.Command) {
	id, index, ok := wire.ParseTask(o.Task)
	j := m.f.jobs[id]
	t := &task{m: m, job: j, name: o.Task, index: int(index), attempt: o.Attempt, since: m.f.now, state: wire.TaskFetching}
	if !ok || j == nil || int(index) >= j.Tasks {
		t.job, t.state, t.cause = &job{}, wire.TaskExited, wire.CauseUnknown
	}
	for _, x := range m.tasks {
		if x.name == o.Task && x.attempt == o.Attempt {
			return
		}
		if x.name == o.Task && x.state != wire.TaskExited {
			t.state, t.cause = wire.TaskExited, wire.CauseImageInUse
		}
	}
	cpus, gpus, memory := m.room()
	if t.state == wire.TaskFetching && (t.job.CPUs > cpus+tiny || t.job.GPUs > gpus+tiny || t.job.MemoryGB > memory+tiny) {
		t.state, t.cause = wire.TaskExited, wire.CauseNoRoom
	}
	if t.state == wire.TaskFetching && m.f.Refuses != nil && m.f.Refuses() {
		t.state, t.cause = wire.TaskExited, wire.CauseNoRoom
	}
	m.tasks = append(m.tasks, t)
	m.changed = true
	if t.state == wire.TaskFetching && j.Shape == wire.Gang {
		if j.gang == nil || j.gang.attempt < t.attempt {
			j.gang = &gang{attempt: t.attempt, members: map[*task]*Machine{}}
		}
		if j.gang.attempt == t.attempt && j.gang.started == 0 {
			j.gang.members[t] = m
		}
	}
}
