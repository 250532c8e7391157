// Package emulator emulates the environment of the controllers on the local machine: the state
// service, the cloud, the load balancer and the workers, which speak the protocol over HTTP. It also
// checks that the controllers keep the scheduler's invariants.
package emulator

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dalefront/internal/config"
	"dalefront/wire"
)

// Micros is a duration or a point in time, in whole microseconds.
type Micros = config.Micros

// Fleet emulates the machines of a site and the tasks on them. Its clock advances only in Step.
type Fleet struct {
	mu          sync.Mutex
	now         Micros
	rnd         *rand.Rand
	workers     config.Workers
	teams       []config.Team
	listLag     Micros
	catalog     wire.Catalog
	capacity    int
	startWorker func(m *Machine) (addr string) // starts the worker of a booted machine

	// TaskFails, if set, reports whether a task fails. It is called when a task starts and, unless the task
	// belongs to a gang, in each step while the task runs.
	TaskFails func(m *Machine, j *wire.Job, starts bool) bool

	// RejectsLaunch, if set, reports whether a launch is rejected for lack of resources although the task
	// fits on the machine.
	RejectsLaunch func() bool

	// OnTaskStart, if set, is called for each task that starts. The fleet's lock is held during the call.
	OnTaskStart func(j *wire.Job, task int)

	machines          map[string]*Machine
	ids               []string            // machine IDs in order of creation
	machinesByRequest map[string][]string // IDs of rented machines by request ID
	listSnapshots     []listSnapshot      // oldest first
	waitingCheckedAt  Micros              // time of the last CheckWaitingJobs call that checked the jobs
	jobs              map[string]*job
	gangs             []*job // gang jobs in order of arrival
	violations        []string
	returnedCost      float64    // cost of the machines returned so far
	cpuTime           float64    // CPU time of ended task runs, in CPU microseconds
	usefulCPUTime     float64    // CPU time that the completed tasks needed, in CPU microseconds
	lastMachineNumber int        // number in the last machine ID that was assigned
	store             *siteStore // nil if the fleet stores nothing
	dirtyJobs         []*job     // jobs with changes that are not stored yet
	counts            Counts
}

// Counts counts the events at a site since its start. Forgotten counts the lost tasks whose machine had not
// died: the worker's lease expired, the worker was restarted, or the machine was returned.
type Counts struct {
	Started, Completed, Stopped, Saved, Failed, Lost int // numbers of tasks
	Forgotten                                        int // number of tasks, which Lost counts too
	Rented, Returned, Died                           int // numbers of machines
}

// listSnapshot is the cloud's machine list as it was at one time.
type listSnapshot struct {
	at       Micros
	machines []wire.Machine
}

// job is a job with the progress of its tasks and the status that its user has seen.
type job struct {
	wire.Job
	runTime       []Micros // run time of each task
	savedProgress []Micros // progress of each task in its last checkpoint
	completed     []bool
	finalStatus   string              // final status that the user has received, empty if none
	accepted      bool                // whether the user has received a status of the job
	firstStart    Micros              // time at which the job's first task started, 0 if no task has started
	fitsSince     map[*Machine]Micros // by machine, time since which a task of the job has fit there
	runningTasks  []*task             // started tasks; tasks that have ended are removed when the next one starts
	gang          *gangAttempt
	dirty         bool // whether the job is in Fleet.dirtyJobs
}

// gangAttempt is the current attempt of a gang job.
type gangAttempt struct {
	attempt       uint64
	members       map[*task]*Machine
	startedAt     Micros  // time at which the gang started, 0 if it has not
	startProgress Micros  // the gang's progress at the time startedAt
	speed         float64 // speed of the slowest member's machine
	haltedAt      Micros  // time at which a stop command or the loss of a member ended the progress, or 0
	stopsInTime   int     // number of members whose stop command arrived in time to save the gang's checkpoint
}

// NewFleet returns a fleet without machines. The parameter capacity is the maximum number of machines that are
// rented at a time. The fleet calls startWorker when a machine has booted; startWorker returns the address at
// which the worker listens.
func NewFleet(seed uint64, settings *config.Settings, catalog wire.Catalog, capacity int, startWorker func(*Machine) string) *Fleet {
	d := &settings.Deployment
	return &Fleet{rnd: rand.New(rand.NewPCG(seed, 16)), workers: d.Workers, teams: d.Teams, listLag: config.Micro(d.Cloud.ListLagS),
		catalog: catalog, capacity: capacity, startWorker: startWorker,
		machines: map[string]*Machine{}, machinesByRequest: map[string][]string{}, jobs: map[string]*job{}}
}

// Upload makes a job's description available to the workers, as the job's user does.
func (f *Fleet) Upload(j wire.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.jobs[j.ID] != nil {
		return
	}
	k := &job{Job: j, savedProgress: make([]Micros, j.Tasks), completed: make([]bool, j.Tasks), runTime: make([]Micros, j.Tasks)}
	estimateError := 0.7 + 0.6*f.rnd.Float64() // run time divided by the estimate; each task varies around it
	for i := range k.runTime {
		k.runTime[i] = max(config.Second/10, config.Micro(j.EstimateS*estimateError*(0.9+0.2*f.rnd.Float64())))
		if j.Shape == wire.Gang {
			k.runTime[i] = k.runTime[0]
		}
	}
	f.addJob(k)
	f.markDirty(k)
	f.flush()
}

// addJob adds a job to the fleet. The caller must hold f.mu.
func (f *Fleet) addJob(j *job) {
	f.jobs[j.ID] = j
	if j.Shape == wire.Gang {
		f.gangs = append(f.gangs, j)
	}
}

// ObserveStatus records a job status that the job's user has received, and checks it for violations.
func (f *Fleet) ObserveStatus(status wire.JobStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[status.ID]
	if j == nil {
		return
	}
	if j.finalStatus != "" && status.Status != j.finalStatus {
		f.recordViolation("went back: %s was %s and is %s", status.ID, j.finalStatus, status.Status)
	}
	if !j.accepted {
		j.accepted = true
		f.markDirty(j)
	}
	if !wire.Final(status.Status) || j.finalStatus != "" {
		return
	}
	j.finalStatus = status.Status
	f.markDirty(j)
	f.flush()
	if status.Status == wire.JobDone && slices.Contains(j.completed, false) {
		f.recordViolation("not done: %s is called done", status.ID)
	}
}

// ObserveNotFound records that a user received a 404 response for a job, which is a violation if the job had
// been accepted.
func (f *Fleet) ObserveNotFound(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if j := f.jobs[id]; j == nil || !j.accepted {
		return
	}
	f.recordViolation("forgotten: %s got 404", id)
}

// recordViolation records that an invariant was violated at the current time.
func (f *Fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%.3f s: ", float64(f.now)/1e6)+fmt.Sprintf(format, args...))
}

// Violations returns the violations of invariants, with their times.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Summary describes a site at one point in time.
type Summary struct {
	Counts
	Machines, Running int         // number of machines that are up, and of tasks that run on them
	Price             float64     // cost of all machines so far, in the catalog's unit
	Used, Room        float64     // CPUs that running tasks use, and CPUs of all machines that are up
	Ran, Useful       float64     // CPU seconds that all tasks used, and that the completed tasks needed
	Served            []JobCounts // counts of the classes sorted by name, then of the teams sorted by name
}

// JobCounts counts the jobs of a class or a team.
type JobCounts struct {
	Name                              string
	Team                              bool // whether Name is a team, not a class
	Submitted, Begun, Done, Cancelled int  // numbers of accepted, started, completed and cancelled jobs
}

// jobsByGroup counts the accepted jobs by class and by team. The caller must hold f.mu.
func (f *Fleet) jobsByGroup() []JobCounts {
	type key struct {
		team bool
		name string
	}
	groups := map[key]*JobCounts{}
	for _, j := range f.jobs {
		if !j.accepted {
			continue
		}
		for _, k := range []key{{false, j.Class}, {true, j.Team}} {
			s := groups[k]
			if s == nil {
				s = &JobCounts{Name: k.name, Team: k.team}
				groups[k] = s
			}
			s.Submitted++
			if j.firstStart > 0 {
				s.Begun++
			}
			switch j.finalStatus {
			case wire.JobDone:
				s.Done++
			case wire.JobCancelled:
				s.Cancelled++
			}
		}
	}
	out := make([]JobCounts, 0, len(groups))
	for _, s := range groups {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b JobCounts) int {
		if a.Team != b.Team {
			if b.Team {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return out
}

// Summary returns the current state of the site.
func (f *Fleet) Summary() Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Summary{Counts: f.counts, Price: f.returnedCost, Useful: f.usefulCPUTime / 1e6}
	s.Ran, s.Used, s.Room = f.usage()
	s.Ran /= 1e6
	s.Served = f.jobsByGroup()
	for _, id := range f.ids {
		m := f.machines[id]
		s.Price += m.cost(f.now)
		if m.up && !m.dead {
			s.Machines++
			s.Running += m.runningTasks()
		}
	}
	return s
}

// Step advances the fleet's clock, machines and tasks to the given time, and checks the invariants.
func (f *Fleet) Step(now Micros) {
	f.mu.Lock()
	var booted []*Machine
	f.now = max(f.now, now)
	for _, id := range f.ids {
		m := f.machines[id]
		if !m.up && !m.dead && f.now >= m.bootAt {
			m.up, m.leaseRenewedAt, m.incarnation = true, f.now, 1
			booted = append(booted, m)
		}
		m.step()
	}
	for _, j := range f.gangs {
		if j.gang != nil {
			f.stepGang(j)
		}
	}
	f.checkInvariants()
	f.flush()
	if n := len(f.listSnapshots); n == 0 || f.now-f.listSnapshots[n-1].at >= config.Second/2 {
		f.listSnapshots = append(f.listSnapshots, listSnapshot{f.now, f.list()})
		for len(f.listSnapshots) > 2 && f.listSnapshots[1].at <= f.now-f.listLag {
			f.listSnapshots = f.listSnapshots[1:]
		}
	}
	f.mu.Unlock()
	for _, m := range booted { // startWorker is called without the lock, which the workers need
		addr := f.startWorker(m)
		f.mu.Lock()
		m.addr = addr
		f.mu.Unlock()
	}
}

// Usage is the number of CPUs and GPUs that tasks use.
type Usage struct{ CPUs, GPUs float64 }

// Plus returns the usage with the given CPUs and GPUs added.
func (u Usage) Plus(cpus, gpus float64) Usage { return Usage{u.CPUs + cpus, u.GPUs + gpus} }

// UsageByTeam returns the resources used by the tasks on all machines, by team. It includes tasks that wait
// for their image or their gang.
func (f *Fleet) UsageByTeam() map[string]Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	usage := map[string]Usage{}
	for _, id := range f.ids {
		m := f.machines[id]
		for _, t := range m.tasks {
			if !m.dead && t.state != wire.TaskExited {
				usage[t.job.Team] = usage[t.job.Team].Plus(t.job.CPUs, t.job.GPUs)
			}
		}
	}
	return usage
}

// HasAttempt reports whether the worker of any machine knows the given attempt of a task.
func (f *Fleet) HasAttempt(name string, attempt uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.ids {
		if slices.ContainsFunc(f.machines[id].tasks, func(t *task) bool { return t.name == name && t.attempt == attempt }) {
			return true
		}
	}
	return false
}

// checkInvariants checks two invariants of the current state. A job has no tasks left once its user has
// received the status "cancelled", and no team exceeds its limits on CPUs and GPUs.
func (f *Fleet) checkInvariants() {
	usage := map[string]Usage{}
	for _, id := range f.ids {
		m := f.machines[id]
		if m.dead {
			continue
		}
		for _, t := range m.tasks {
			// Tasks of a cancelled job may run for up to cancel_s after the cancellation. The user receives
			// the status "cancelled" only when all tasks have exited.
			if t.job.finalStatus == wire.JobCancelled && t.state != wire.TaskExited && !t.violationRecorded {
				t.violationRecorded = true
				f.recordViolation("ran cancelled: %s is %s on %s", t.name, t.state, id)
			}
			if !t.runs() {
				continue
			}
			usage[t.job.Team] = usage[t.job.Team].Plus(t.job.CPUs, t.job.GPUs)
		}
	}
	for _, t := range f.teams {
		if u := usage[t.Name]; t.MaxCPUs > 0 && u.CPUs > t.MaxCPUs+1e-6 || t.MaxGPUs > 0 && u.GPUs > t.MaxGPUs+1e-6 {
			f.recordViolation("quota: %s uses %.1f CPUs and %.1f GPUs", t.Name, u.CPUs, u.GPUs)
		}
	}
}

// allowedBy reports whether the job allows the machine's type and zone and, if it is a spot machine, spot
// machines.
func (m *Machine) allowedBy(j *job) bool {
	return (j.Spot || !m.spot) && (j.Zone == nil || *j.Zone == m.zone) && (j.Types == nil || slices.Contains(j.Types, m.typ.Name))
}

// checkStart checks the invariants that apply when a task starts on a machine.
func (f *Fleet) checkStart(m *Machine, t *task) {
	j := t.job
	j.runningTasks = slices.DeleteFunc(j.runningTasks, func(x *task) bool { return x.removed || x.m.dead || !x.runs() })
	for _, x := range j.runningTasks {
		if x.m == m {
			continue
		}
		if x.name == t.name {
			f.recordViolation("ran twice: %s runs on %s and starts on %s", t.name, x.m.id, m.id)
		}
		if j.OneZone && x.m.zone != m.zone {
			f.recordViolation("wrong place: %s starts in %s while %s is in %s", t.name, m.zone, x.name, x.m.zone)
		}
	}
	if !m.allowedBy(j) {
		f.recordViolation("wrong place: %s starts on %s", t.name, m.id)
	}
	if j.finalStatus != "" {
		f.recordViolation("started after its end: %s on %s", t.name, m.id)
	}
}

// stepGang starts, completes or fails a gang's current attempt and saves its checkpoints.
func (f *Fleet) stepGang(j *job) {
	g := j.gang
	waitTimeout, peerTimeout := config.Micro(f.workers.GangWaitS), config.Micro(f.workers.GangLossDetectionS)
	waiting, alive, lost := 0, 0, len(g.members) < j.Tasks
	for t, m := range g.members {
		switch {
		case m.dead && g.startedAt == 0:
			delete(g.members, t) // a replacement task may still complete the gang
			continue
		case m.dead || t.state == wire.TaskExited:
			lost = true
			continue
		}
		alive++
		if t.state == wire.TaskWaitingForGang {
			waiting++
		}
		lost = lost || f.now < m.hungUntil
	}
	switch {
	case alive == 0:
		j.gang = nil
	case g.startedAt == 0 && waiting == j.Tasks:
		g.startedAt, g.startProgress, g.speed = f.now, j.savedProgress[0], math.Inf(1)
		for _, t := range g.orderedTasks() {
			m := g.members[t]
			g.speed = min(g.speed, m.speed)
			m.start(t)
		}
	case g.startedAt == 0:
		for _, t := range g.orderedTasks() {
			if t.state == wire.TaskWaitingForGang && f.now-t.stateSince > waitTimeout {
				t.exit(wire.CauseGangIncomplete)
				delete(g.members, t)
			}
		}
	case g.haltedAt == 0:
		f.checkpoint(j, 0, g.progress(f.now))
		if lost {
			g.haltedAt = f.now
		} else if g.progress(f.now) >= j.runTime[0] {
			for _, t := range g.orderedTasks() {
				f.markCompleted(j, t.index)
				f.counts.Completed++
				t.exit(wire.CauseDone)
			}
			j.gang = nil
		}
	case f.now-g.haltedAt > peerTimeout:
		for _, t := range g.orderedTasks() {
			m := g.members[t]
			if t.state == wire.TaskRunning && !m.dead && f.now >= m.hungUntil {
				t.exit(wire.CauseGangMemberLost)
			}
		}
	}
}

// orderedTasks returns the members ordered by task index, then by machine ID, so that runs are reproducible.
func (g *gangAttempt) orderedTasks() []*task {
	return slices.SortedFunc(maps.Keys(g.members), func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.index, b.index), cmp.Compare(a.m.id, b.m.id))
	})
}

// progress returns the gang's progress. It no longer grows once the gang has halted.
func (g *gangAttempt) progress(now Micros) Micros {
	if g.haltedAt > 0 {
		now = g.haltedAt
	}
	return g.startProgress + Micros(float64(now-g.startedAt)*g.speed)
}

// markCompleted records that a task has completed and that its result is stored.
func (f *Fleet) markCompleted(j *job, index int) {
	if !j.completed[index] {
		f.usefulCPUTime += j.CPUs * float64(j.runTime[index])
	}
	j.completed[index] = true
	f.markDirty(j)
}

// checkpoint saves a task's progress as of the last periodic checkpoint: progress is rounded down to a
// multiple of the checkpoint interval.
func (f *Fleet) checkpoint(j *job, index int, progress Micros) {
	if every := config.Micro(j.CheckpointIntervalS); every > 0 {
		f.saveProgress(j, index, progress/every*every)
	}
}

// saveProgress saves a task's progress unless the saved progress is already as high.
func (f *Fleet) saveProgress(j *job, index int, progress Micros) {
	if progress > j.savedProgress[index] {
		j.savedProgress[index] = progress
		f.markDirty(j)
	}
}

// InjectFault injects a fault into the machine with the given ID and returns the machine's ID. If id is
// empty, it chooses a random machine with running tasks; for "recall" it chooses only among spot machines.
// The kinds are:
//
//   - "die": the machine dies
//   - "hang": the machine hangs for the duration d
//   - "slow": the machine becomes slow
//   - "recall": the cloud preempts the machine after the duration d
//   - "restart": the worker loses its tasks and starts its next incarnation
//   - "wave": a "recall" of all spot machines, or of the spot machines in one zone if id is the name of a zone.
//     InjectFault returns the number of recalled machines.
func (f *Fleet) InjectFault(kind, id string, d time.Duration) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind == "wave" {
		n := 0
		for _, k := range f.ids {
			if m := f.machines[k]; m.spot && !m.dead && m.preemptAt == 0 && (id == "" || m.zone == id) {
				m.preemptAt = f.now + d.Microseconds()
				n++
			}
		}
		return fmt.Sprint(n, " machines"), nil
	}
	if id == "" {
		var candidates []string
		for _, k := range f.ids {
			if m := f.machines[k]; m.up && !m.dead && m.runningTasks() > 0 && (kind != "recall" || m.spot) {
				candidates = append(candidates, k)
			}
		}
		if len(candidates) == 0 {
			return "", errors.New("no machine with tasks")
		}
		id = candidates[f.rnd.IntN(len(candidates))]
	}
	m := f.machines[id]
	if m == nil {
		return "", fmt.Errorf("there is no machine %s", id)
	}
	switch kind {
	case "die":
		f.die(m)
	case "hang":
		m.hungUntil = f.now + d.Microseconds()
	case "slow":
		m.speed /= 4
	case "recall":
		m.preemptAt = f.now + d.Microseconds()
	case "restart":
		m.startNextIncarnation()
	default:
		return "", fmt.Errorf("%q is not one of die, hang, slow, recall, restart", kind)
	}
	return id, nil
}

// die marks a machine as dead after a fault or a preemption. The tasks that run on the machine are lost.
func (f *Fleet) die(m *Machine) {
	for _, t := range m.tasks {
		t.accountCPUTime()
	}
	f.counts.Lost += m.runningTasks()
	f.counts.Died++
	m.dead, m.diedAt = true, f.now
}
