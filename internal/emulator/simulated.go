package emulator

import (
	"math"
	"slices"
	"strings"

	"dalefront/internal/config"
	"dalefront/wire"
)

// What follows drives a fleet without messages: a core in the same process, in time
// that is handed over.

// SimulatedAddr is the address of a worker that has no listener.
func SimulatedAddr(m *Machine) string { return m.id + ":1" }

// Exchange lets each worker that is due report, and carries out the answer; report
// says whether there is one.
func (f *Fleet) Exchange(report func(*wire.Heartbeat) (wire.HeartbeatResponse, bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	every := config.Micro(f.workers.ReportS)
	for _, id := range f.ids {
		m := f.machines[id]
		if !m.up || m.dead || m.addr == "" || f.now < m.hung || f.now < m.next && (!m.changed || f.now-m.last < config.Second/2) {
			continue
		}
		m.last = f.now
		m.next = f.now + Micros(float64(every)*(0.75+0.5*f.rnd.Float64()))
		r := m.report()
		if a, ok := report(&r); ok {
			m.answered(&a, r.Incarnation, f.now)
		}
	}
}

// Command brings direct commands to the worker at an address.
func (f *Fleet) Command(addr string, d *wire.CommandBatch) *wire.Heartbeat {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, _, _ := strings.Cut(addr, ":")
	m := f.machines[id]
	if m == nil || m.dead || f.now < m.hung {
		return nil
	}
	_ = m.commanded(d)
	changed := m.changed // it reports that to a controller all the same
	r := m.report()
	m.changed = changed
	return &r
}

// Rent asks the cloud for machines, and is nil if it has none.
func (f *Fleet) Rent(h wire.ScaleOutRequest) []string {
	hosts, _ := f.rent(h)
	return hosts
}

// List is the cloud's list as it shows now.
func (f *Fleet) List() []wire.Machine { return f.page("", math.MaxInt).Machines }

// First is when the first task of a job started, 0 if none has.
func (f *Fleet) First(id string) Micros {
	f.mu.Lock()
	defer f.mu.Unlock()
	if j := f.jobs[id]; j != nil {
		return j.first
	}
	return 0
}

// usage is how many microseconds of processors tasks have had, those that run now
// included, how many processors they have now, and of how many. The lock is held.
func (f *Fleet) usage() (ran, used, room float64) {
	ran = f.ran
	for _, id := range f.ids {
		m := f.machines[id]
		if m.dead || !m.up {
			continue
		}
		room += m.typ.CPUs
		for _, t := range m.tasks {
			if !t.runs() {
				continue
			}
			used += t.job.CPUs
			ran += t.job.CPUs * float64(f.now-t.begun)
		}
	}
	return ran, used, room
}

// Boot adds a machine that is up at the next step.
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

// View is a machine at a moment.
type View struct {
	Host, Type, Zone    string
	Spot                bool
	Up, Dead            bool
	Died, Hung          Micros // when it died, until when it hangs
	Session, Seq, Token uint64
	Changed             bool // something is worth a report
	Running             int  // tasks
}

// View returns the machine as it is.
func (m *Machine) View() View {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	return View{m.id, m.typ.Name, m.zone, m.spot, m.up, m.dead, m.died, m.hung, m.session, m.seq, m.token, m.changed, m.running()}
}

// Report is what the worker says now.
func (m *Machine) Report() wire.Heartbeat {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	return m.report()
}

// Answered takes the answer to a report of a session that was sent at a time.
func (m *Machine) Answered(a *wire.HeartbeatResponse, session uint64, sent Micros) {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	m.answered(a, session, sent)
}

// Renew renews the worker's lease as an answer without commands would.
func (m *Machine) Renew() {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	m.renewed = m.f.now
}

// Hang lets the machine execute nothing until then.
func (m *Machine) Hang(until Micros) {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	m.hung = until
}

// Die lets the machine die.
func (m *Machine) Die() {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	if !m.dead {
		m.f.die(m)
	}
}

// NeverUp keeps a machine from ever coming up.
func (m *Machine) NeverUp() {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	m.bootAt = math.MaxInt64
}

// Holding lists the machines that have a task of the job that may still run.
func (f *Fleet) Holding(job string) (hosts []string) {
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
