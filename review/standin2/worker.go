package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"dalefront/wire"
)

// machine is a machine and its worker, which follows the section "Workers -> controller nodes" of the protocol. The
// cloud's lock protects it.
type machine struct {
	cloud *cloud
	id    string
	addr  string
	kind  wire.MachineType
	zone  string
	spot  bool
	since time.Time // when it was rented
	gone  bool

	tenure, tick, warrant uint64
	answered              time.Time // when the last answered report was sent
	changed               bool      // a change calls for an early report
	node                  int       // controller to which it reports
	tasks                 []*task
}

// task is one attempt of a task on a machine.
type task struct {
	machine *machine
	job     *upload
	name    string
	try     uint64
	state   string
	cause   string
	entered time.Time // when it entered its state
}

// gangKey identifies an attempt of a gang.
type gangKey struct {
	job string
	try uint64
}

// gang is an attempt of a gang.
type gang struct {
	job     *upload
	members []*task
	started bool
	lostAt  time.Time // when a member of the running gang was lost
}

// fetchTime is the time that a machine takes to fetch an image.
const fetchTime = 300 * time.Millisecond

// enter moves a task to another state.
func (t *task) enter(state, cause string) {
	t.state, t.cause, t.entered = state, cause, time.Now()
	t.machine.changed = true
	t.machine.cloud.site.note("worker %s: %s try %d is %s %s", t.machine.id, t.name, t.try, state, cause)
	if state == wire.TaskExited {
		t.leave()
	}
}

// leave takes a task out of its gang.
func (t *task) leave() {
	g := t.machine.cloud.gangs[gangKey{t.job.ID, t.try}]
	if g == nil || !slices.Contains(g.members, t) {
		return
	}
	g.members = slices.DeleteFunc(g.members, func(other *task) bool { return other == t })
	if g.started && g.lostAt.IsZero() && t.cause != wire.CauseDone {
		g.lostAt = time.Now()
	}
}

// step starts a complete gang and ends a gang that has lost a member.
func (g *gang) step(now time.Time) {
	switch {
	case !g.started && len(g.members) == g.job.Tasks && !slices.ContainsFunc(g.members, func(t *task) bool { return t.state != wire.TaskWaitingForGang }):
		g.started = true
		for _, t := range g.members {
			t.enter(wire.TaskRunning, "")
		}
	case !g.lostAt.IsZero() && now.Sub(g.lostAt) > gangPeer/2:
		for _, t := range slices.Clone(g.members) {
			t.enter(wire.TaskExited, wire.CauseGangMemberLost)
		}
	}
}

// step advances the machine's tasks.
func (m *machine) step(now time.Time) {
	if now.Sub(m.answered) > time.Duration(leaseS*float64(time.Second)) {
		m.cloud.site.note("worker %s: its lease has run out", m.id)
		for _, t := range m.tasks {
			t.leave()
		}
		m.tasks, m.answered, m.changed = nil, now, true
		m.tenure++
	}
	for _, t := range m.tasks {
		age := now.Sub(t.entered)
		switch {
		case t.state == wire.TaskFetching && age > fetchTime && t.job.Shape == wire.Gang:
			t.enter(wire.TaskWaitingForGang, "")
		case t.state == wire.TaskFetching && age > fetchTime:
			t.enter(wire.TaskRunning, "")
		case t.state == wire.TaskWaitingForGang && age > gangWait:
			t.enter(wire.TaskExited, wire.CauseGangIncomplete)
		case t.state == wire.TaskRunning && t.job.runTime > 0 && age > t.job.runTime:
			t.enter(wire.TaskExited, wire.CauseDone)
		}
	}
}

// free returns the cores and the memory that no task uses.
func (m *machine) free() (cores, memory float64) {
	cores, memory = m.kind.CPUs, m.kind.MemoryGB
	for _, t := range m.tasks {
		if t.state != wire.TaskExited {
			cores, memory = cores-t.job.CPUs, memory-t.job.MemoryGB
		}
	}
	return cores, memory
}

// report returns the worker's next report.
func (m *machine) report() wire.Heartbeat {
	m.tick++
	report := wire.Heartbeat{Host: m.id, Addr: m.addr, Type: m.kind.Name, Zone: m.zone, Spot: m.spot, Incarnation: m.tenure, Sequence: m.tick,
		FencingToken: m.warrant, Tasks: []wire.TaskStatus{}}
	for _, t := range m.tasks {
		report.Tasks = append(report.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.try, State: t.state, Cause: t.cause})
	}
	return report
}

// execute executes commands in order.
func (m *machine) execute(commands []wire.Command) {
	for _, command := range commands {
		i := slices.IndexFunc(m.tasks, func(t *task) bool { return t.name == command.Task && t.try == command.Attempt })
		switch {
		case command.Op == wire.Launch && i < 0:
			m.launch(command)
		case command.Op == wire.Stop && i >= 0 && m.tasks[i].state != wire.TaskExited:
			m.tasks[i].enter(wire.TaskExited, wire.CauseStopped)
		case command.Op == wire.Clear && i >= 0 && m.tasks[i].state == wire.TaskExited:
			m.tasks = slices.Delete(m.tasks, i, i+1)
		}
	}
}

// launch starts a task or refuses it.
func (m *machine) launch(command wire.Command) {
	id, _, _ := strings.Cut(command.Task, "/")
	t := &task{machine: m, job: m.cloud.jobs[id], name: command.Task, try: command.Attempt}
	if t.job == nil {
		t.job = &upload{}
		m.tasks = append(m.tasks, t)
		t.enter(wire.TaskExited, wire.CauseUnknown)
		return
	}
	cores, memory := m.free()
	conflict := slices.ContainsFunc(m.tasks, func(other *task) bool { return other.name == t.name && other.state != wire.TaskExited })
	m.tasks = append(m.tasks, t)
	switch {
	case conflict:
		t.enter(wire.TaskExited, wire.CauseAttemptConflict)
	case t.job.CPUs > cores || t.job.MemoryGB > memory:
		t.enter(wire.TaskExited, wire.CauseInsufficientResources)
	default:
		t.enter(wire.TaskFetching, "")
		m.join(t)
	}
}

// join adds a task to its gang, if its job is one.
func (m *machine) join(t *task) {
	if t.job.Shape != wire.Gang {
		return
	}
	key := gangKey{t.job.ID, t.try}
	if m.cloud.gangs[key] == nil {
		m.cloud.gangs[key] = &gang{job: t.job}
	}
	m.cloud.gangs[key].members = append(m.cloud.gangs[key].members, t)
}

// run sends reports until the machine is gone.
func (m *machine) run() {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
	var next, last time.Time
	for {
		time.Sleep(20 * time.Millisecond)
		m.cloud.mu.Lock()
		due := time.Now().After(next) || (m.changed && time.Since(last) > 500*time.Millisecond)
		if m.gone {
			m.cloud.mu.Unlock()
			return
		}
		if !due {
			m.cloud.mu.Unlock()
			continue
		}
		m.changed = false
		report := m.report()
		m.cloud.mu.Unlock()
		last = time.Now()
		next = last.Add(time.Duration(reportS * (0.75 + 0.5*rand.Float64()) * float64(time.Second)))
		if !m.send(client, &report, last) {
			m.node = (m.node + 1) % len(m.cloud.site.controllers)
			time.Sleep(time.Second)
			next = time.Time{}
		}
	}
}

// send sends a report and handles the response. It returns false if the worker has to try the next node.
func (m *machine) send(client *http.Client, report *wire.Heartbeat, sent time.Time) bool {
	body, err := wire.Marshal(report)
	if err != nil {
		return false
	}
	controllers := m.cloud.site.controllers
	response, err := client.Post("http://"+controllers[m.node].addr+wire.PathHeartbeat, "application/msgpack", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return false
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		var redirect wire.Redirect
		_ = wire.Unmarshal(answer, &redirect)
		for i, c := range controllers {
			if c.label == redirect.To && i != m.node {
				m.node = i
				return true
			}
		}
		return false
	}
	var commands wire.HeartbeatResponse
	if response.StatusCode != http.StatusOK || wire.Unmarshal(answer, &commands) != nil {
		return false
	}
	m.cloud.mu.Lock()
	defer m.cloud.mu.Unlock()
	if m.gone || report.Incarnation != m.tenure || commands.FencingToken < m.warrant || commands.FencingToken == 0 {
		return true
	}
	m.changed = m.changed || commands.FencingToken > m.warrant
	m.warrant, m.answered = commands.FencingToken, sent
	m.execute(commands.Commands)
	return true
}

// ServeHTTP serves direct commands and inspections.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.cloud.mu.Lock()
	defer m.cloud.mu.Unlock()
	if m.gone {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path != wire.PathCommands {
		reply(w, http.StatusOK, m.report())
		return
	}
	var batch wire.CommandBatch
	if !decode(r, &batch) || batch.FencingToken == 0 || batch.Incarnation == 0 {
		reply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	if batch.FencingToken < m.warrant || batch.Incarnation != m.tenure {
		reply(w, http.StatusConflict, m.report())
		return
	}
	m.changed = m.changed || batch.FencingToken > m.warrant
	m.warrant = batch.FencingToken
	m.execute(batch.Commands)
	reply(w, http.StatusOK, m.report())
}
