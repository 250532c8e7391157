package emulator

import (
	"math"
	"slices"
	"strings"

	"dalefront/internal/config"
	"dalefront/wire"
)

// The functions of this file drive a fleet without HTTP, for a scheduler that runs in the same process and in
// simulated time.

// SimulatedAddr returns an address for a worker that has no listener.
func SimulatedAddr(m *Machine) string { return m.id + ":1" }

// Exchange calls the function report for each worker whose heartbeat is due, and executes the commands in the
// response. The function returns false if the worker receives no response.
func (f *Fleet) Exchange(report func(*wire.Heartbeat) (wire.HeartbeatResponse, bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	every := config.Micro(f.workers.HeartbeatIntervalS)
	for _, id := range f.ids {
		m := f.machines[id]
		if !m.up || m.dead || m.addr == "" || f.now < m.hungUntil || f.now < m.nextHeartbeat && (!m.changed || f.now-m.lastHeartbeat < config.Second/2) {
			continue
		}
		m.lastHeartbeat = f.now
		m.nextHeartbeat = f.now + Micros(float64(every)*(0.75+0.5*f.rnd.Float64()))
		r := m.newHeartbeat()
		if answer, ok := report(&r); ok {
			m.handleResponse(&answer, r.Incarnation, f.now)
		}
	}
}

// Command delivers direct commands to the worker at the given address and returns the worker's heartbeat. It
// returns nil if the machine is missing, dead or hung.
func (f *Fleet) Command(addr string, batch *wire.CommandBatch) *wire.Heartbeat {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, _, _ := strings.Cut(addr, ":")
	m := f.machines[id]
	if m == nil || m.dead || f.now < m.hungUntil {
		return nil
	}
	_ = m.handleCommands(batch)
	changed := m.changed // a change still needs an early heartbeat to a controller
	r := m.newHeartbeat()
	m.changed = changed
	return &r
}

// Rent rents machines from the cloud and returns their IDs. It returns nil if the cloud has no capacity, or no
// such machine type or zone.
func (f *Fleet) Rent(req wire.ScaleOutRequest) []string {
	hosts, _ := f.rent(req)
	return hosts
}

// List returns the cloud's list of machines, which lags behind the current state.
func (f *Fleet) List() []wire.Machine { return f.page("", math.MaxInt).Machines }

// FirstStart returns the time at which the first task of a job started, 0 if no task has started.
func (f *Fleet) FirstStart(id string) Micros {
	f.mu.Lock()
	defer f.mu.Unlock()
	if j := f.jobs[id]; j != nil {
		return j.firstStart
	}
	return 0
}

// usage returns three values: ran, the CPU time of all tasks so far, in CPU microseconds, including the tasks
// that run now; used, the CPUs that tasks use now; and capacity, the CPUs of all machines that are up. The
// caller must hold f.mu.
func (f *Fleet) usage() (ran, used, capacity float64) {
	ran = f.cpuTime
	for _, id := range f.ids {
		m := f.machines[id]
		if m.dead || !m.up {
			continue
		}
		capacity += m.typ.CPUs
		for _, t := range m.tasks {
			if !t.runs() {
				continue
			}
			used += t.job.CPUs
			ran += t.job.CPUs * float64(f.now-t.startedAt)
		}
	}
	return ran, used, capacity
}

// Boot adds a machine that is up at the next step. It returns nil if the catalog has no such machine type.
func (f *Fleet) Boot(typ, zone string, spot bool) *Machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.catalog.Types {
		if t.Name == typ {
			m := f.add(t, zone, spot)
			m.bootAt = f.now
			return m
		}
	}
	return nil
}

// MachineState is the state of a machine at one moment. Session is the worker's incarnation.
type MachineState struct {
	Host, Type, Zone    string
	Spot                bool
	Up, Dead            bool
	Died, Hung          Micros // time at which the machine died, time until which it hangs
	Session, Seq, Token uint64
	Changed             bool // something changed since the last heartbeat
	Running             int  // number of running tasks
}

// View returns the machine's current state.
func (m *Machine) View() MachineState {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return MachineState{m.id, m.typ.Name, m.zone, m.spot, m.up, m.dead, m.diedAt, m.hungUntil, m.incarnation, m.sequence, m.fencingToken, m.changed, m.runningTasks()}
}

// Report returns the worker's next heartbeat.
func (m *Machine) Report() wire.Heartbeat {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.newHeartbeat()
}

// HandleResponse handles the response to a heartbeat. session is the incarnation of the worker that sent the
// heartbeat, and sent is the send time.
func (m *Machine) HandleResponse(a *wire.HeartbeatResponse, session uint64, sent Micros) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.handleResponse(a, session, sent)
}

// Renew renews the worker's lease, as a response without commands does.
func (m *Machine) Renew() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.leaseRenewedAt = m.fleet.now
}

// Hang makes the machine hang until the given time.
func (m *Machine) Hang(until Micros) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.hungUntil = until
}

// Die makes the machine die.
func (m *Machine) Die() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if !m.dead {
		m.fleet.die(m)
	}
}

// PreventBoot keeps a machine that is still booting from ever coming up.
func (m *Machine) PreventBoot() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.bootAt = math.MaxInt64
}

// MachinesWithJob returns the IDs of the machines that are not dead and have a task of the given job that has
// not exited.
func (f *Fleet) MachinesWithJob(job string) (hosts []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.ids {
		m := f.machines[id]
		if !m.dead && slices.ContainsFunc(m.tasks, func(t *task) bool { return t.job.ID == job && t.state != wire.TaskExited }) {
			hosts = append(hosts, id)
		}
	}
	return hosts
}
