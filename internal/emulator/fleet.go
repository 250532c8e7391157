// Package emulator plays what a controller needs around it: the state service, the cloud,
// the load balancer and the workers, as the protocol describes them, over HTTP on this
// machine. It also watches whether the rules hold.
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

// Micros is a duration or a point of time in whole microseconds.
type Micros = config.Micros

// Fleet is all machines of a site, and what becomes of the tasks on them. Its time is
// handed to it, in microseconds.
type Fleet struct {
	mu       sync.Mutex
	now      Micros
	rnd      *rand.Rand
	workers  config.Workers
	teams    []config.Team
	listLag  Micros
	catalog  wire.Catalog
	capacity int
	spawn    func(m *Machine) (addr string) // begins a worker's reports

	// Fails, if set, says whether a task fails: when it starts, and at each step while it
	// runs, if it is no gang's. Refuses says whether a launch is refused for want of room.
	Fails   func(m *Machine, j *wire.Job, starts bool) bool
	Refuses func() bool

	// Begins, if set, is told of each task that starts. The fleet's lock is held.
	Begins func(j *wire.Job, task int)

	machines map[string]*Machine
	ids      []string            // in the order of creation
	hires    map[string][]string // answers to rental requests
	lists    []listed
	waitsAt  Micros // when it was last looked for jobs that are left waiting
	jobs     map[string]*job
	gangs    []*job // of these, in the order of arrival
	broken   []string
	paid     float64 // price of machines returned so far
	ran      float64 // microseconds of processors that tasks had
	useful   float64 // and that those tasks needed that have completed
	named    int     // machines that were given names
	kept     *keeper
	dirty    []*job // that are to be kept
	counts   Counts
}

// Counts is what has happened at a site.
type Counts struct {
	Started, Completed, Stopped, Saved, Failed, Lost int // tasks
	Forgotten                                        int // of the lost ones, those of machines that went on: their lease ran out, or they were given back
	Rented, Returned, Died                           int // machines
}

type listed struct {
	at    Micros
	hosts []wire.Machine
}

// job is what the users of a site know of a job.
type job struct {
	wire.Job
	length    []Micros // run time of each task
	saved     []Micros // progress that is kept outside the machines
	completed []bool
	final     string              // the final answer that its user was told
	accepted  bool                // and that it was accepted
	first     Micros              // when its first task started
	beside    map[*Machine]Micros // machines that it could use while it waits, once troubles are over, and since when
	live      []*task             // that have begun; those that no longer run are left out at the next look
	gang      *gang
	dirty     bool // not kept yet
}

// gang is the attempt of a gang that is on its way.
type gang struct {
	attempt uint64
	members map[*task]*Machine
	started Micros // when all were there, 0 before
	base    Micros // progress at that moment
	speed   float64
	halted  Micros // when progress ended: the first stop, or a member that was lost
	told    int    // members that were told to stop in time
}

// NewFleet returns a fleet without machines, in which so many may be rented. Spawn is
// called when a machine is up and returns the address at which its worker listens.
func NewFleet(seed uint64, set *config.Settings, cat wire.Catalog, capacity int, spawn func(*Machine) string) *Fleet {
	d := &set.Deployment
	return &Fleet{rnd: rand.New(rand.NewPCG(seed, 16)), workers: d.Workers, teams: d.Teams, listLag: config.Micro(d.Cloud.ListLagS),
		catalog: cat, capacity: capacity, spawn: spawn,
		machines: map[string]*Machine{}, hires: map[string][]string{}, jobs: map[string]*job{}}
}

// Upload makes a job's description known to the workers, as its user does.
func (f *Fleet) Upload(j wire.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.jobs[j.ID] != nil {
		return
	}
	k := &job{Job: j, saved: make([]Micros, j.Tasks), completed: make([]bool, j.Tasks), length: make([]Micros, j.Tasks)}
	whole := 0.7 + 0.6*f.rnd.Float64() // estimates are wrong as a whole, and tasks differ
	for i := range k.length {
		k.length[i] = max(config.Second/10, config.Micro(j.EstimateS*whole*(0.9+0.2*f.rnd.Float64())))
		if j.Shape == wire.Gang {
			k.length[i] = k.length[0]
		}
	}
	f.know(k)
	f.touch(k)
	f.flush()
}

func (f *Fleet) know(j *job) {
	f.jobs[j.ID] = j
	if j.Shape == wire.Gang {
		f.gangs = append(f.gangs, j)
	}
}

// Told takes what a user was told about a job, and checks it.
func (f *Fleet) Told(st wire.JobStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[st.ID]
	if j == nil {
		return
	}
	if j.final != "" && st.Status != j.final {
		f.rule("went back: %s was %s and is %s", st.ID, j.final, st.Status)
	}
	if !j.accepted {
		j.accepted = true
		f.touch(j)
	}
	if !wire.Final(st.Status) || j.final != "" {
		return
	}
	j.final = st.Status
	f.touch(j)
	f.flush()
	if st.Status == wire.JobDone && slices.Contains(j.completed, false) {
		f.rule("not done: %s is called done", st.ID)
	}
}

// Missing takes that a user got 404 for a job.
func (f *Fleet) Missing(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if j := f.jobs[id]; j == nil || !j.accepted {
		return
	}
	f.rule("forgotten: %s got 404", id)
}

func (f *Fleet) rule(format string, args ...any) {
	f.broken = append(f.broken, fmt.Sprintf("%.3f s: ", float64(f.now)/1e6)+fmt.Sprintf(format, args...))
}

// Broken lists the rules that were broken, and when.
func (f *Fleet) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.broken)
}

// Summary is a site at a moment.
type Summary struct {
	Counts
	Machines, Running int      // up, and tasks on them
	Price             float64  // so far, in the catalog's unit
	Used, Room        float64  // processors that tasks have now, and of how many
	Ran, Useful       float64  // seconds of processors that tasks have had, and that completed ones needed
	Served            []Served // classes by name, then teams
}

// Served is what the jobs of a class or a team met.
type Served struct {
	Name                              string
	Team                              bool // otherwise a class
	Submitted, Begun, Done, Cancelled int  // jobs that were accepted, and what became of them
}

// served counts what became of jobs by class and by team. The lock is held.
func (f *Fleet) served() []Served {
	type key struct {
		team bool
		name string
	}
	of := map[key]*Served{}
	for _, j := range f.jobs {
		if !j.accepted {
			continue
		}
		for _, k := range []key{{false, j.Class}, {true, j.Team}} {
			s := of[k]
			if s == nil {
				s = &Served{Name: k.name, Team: k.team}
				of[k] = s
			}
			s.Submitted++
			if j.first > 0 {
				s.Begun++
			}
			switch j.final {
			case wire.JobDone:
				s.Done++
			case wire.JobCancelled:
				s.Cancelled++
			}
		}
	}
	out := make([]Served, 0, len(of))
	for _, s := range of {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Served) int {
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

// Summary returns the site as it is.
func (f *Fleet) Summary() Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Summary{Counts: f.counts, Price: f.paid, Useful: f.useful / 1e6}
	s.Ran, s.Used, s.Room = f.usage()
	s.Ran /= 1e6
	s.Served = f.served()
	for _, id := range f.ids {
		m := f.machines[id]
		s.Price += m.price(f.now)
		if m.up && !m.dead {
			s.Machines++
			s.Running += m.running()
		}
	}
	return s
}

// Step lets time pass up to now.
func (f *Fleet) Step(now Micros) {
	f.mu.Lock()
	var boots []*Machine
	f.now = max(f.now, now)
	for _, id := range f.ids {
		m := f.machines[id]
		if !m.up && !m.dead && f.now >= m.bootAt {
			m.up, m.renewed, m.session = true, f.now, 1
			boots = append(boots, m)
		}
		m.step()
	}
	for _, j := range f.gangs {
		if j.gang != nil {
			f.gangStep(j)
		}
	}
	f.check()
	f.flush()
	if n := len(f.lists); n == 0 || f.now-f.lists[n-1].at >= config.Second/2 {
		f.lists = append(f.lists, listed{f.now, f.list()})
		for len(f.lists) > 2 && f.lists[1].at <= f.now-f.listLag {
			f.lists = f.lists[1:]
		}
	}
	f.mu.Unlock()
	for _, m := range boots { // outside the lock: the worker begins to ask
		addr := f.spawn(m)
		f.mu.Lock()
		m.addr = addr
		f.mu.Unlock()
	}
}

// Use is what tasks take: processors and accelerators.
type Use struct{ CPUs, GPUs float64 }

// Plus is the use with one task more.
func (u Use) Plus(cpus, gpus float64) Use { return Use{u.CPUs + cpus, u.GPUs + gpus} }

// TeamUses is what the tasks on machines take, by team, those included that wait for their
// image or their gang.
func (f *Fleet) TeamUses() map[string]Use {
	f.mu.Lock()
	defer f.mu.Unlock()
	uses := map[string]Use{}
	for _, id := range f.ids {
		m := f.machines[id]
		for _, t := range m.tasks {
			if !m.dead && t.state != wire.TaskExited {
				uses[t.job.Team] = uses[t.job.Team].Plus(t.job.CPUs, t.job.GPUs)
			}
		}
	}
	return uses
}

// Has says whether some machine knows an attempt of a task.
func (f *Fleet) Has(name string, attempt uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.ids {
		if slices.ContainsFunc(f.machines[id].tasks, func(t *task) bool { return t.name == name && t.attempt == attempt }) {
			return true
		}
	}
	return false
}

// check looks at the rules that concern a moment.
func (f *Fleet) check() {
	uses := map[string]Use{}
	for _, id := range f.ids {
		m := f.machines[id]
		if m.dead {
			continue
		}
		for _, t := range m.tasks {
			// The protocol leaves cancel_s to a cancelled task; a user is told when none is left.
			if t.job.final == wire.JobCancelled && t.state != wire.TaskExited && !t.blamed {
				t.blamed = true
				f.rule("ran cancelled: %s is %s on %s", t.name, t.state, id)
			}
			if !t.runs() {
				continue
			}
			uses[t.job.Team] = uses[t.job.Team].Plus(t.job.CPUs, t.job.GPUs)
		}
	}
	for _, t := range f.teams {
		if u := uses[t.Name]; t.MaxCPUs > 0 && u.CPUs > t.MaxCPUs+1e-6 || t.MaxGPUs > 0 && u.GPUs > t.MaxGPUs+1e-6 {
			f.rule("quota: %s uses %.1f CPUs and %.1f GPUs", t.Name, u.CPUs, u.GPUs)
		}
	}
}

// allowed says whether the job allows the machine's type, zone and kind.
func (m *Machine) allowed(j *job) bool {
	return (j.Spot || !m.spot) && (j.Zone == nil || *j.Zone == m.zone) && (j.Types == nil || slices.Contains(j.Types, m.typ.Name))
}

// mayStart checks what holds when a task starts.
func (f *Fleet) mayStart(m *Machine, t *task) {
	j := t.job
	j.live = slices.DeleteFunc(j.live, func(x *task) bool { return x.gone || x.m.dead || !x.runs() })
	for _, x := range j.live {
		if x.m == m {
			continue
		}
		if x.name == t.name {
			f.rule("ran twice: %s runs on %s and starts on %s", t.name, x.m.id, m.id)
		}
		if j.OneZone && x.m.zone != m.zone {
			f.rule("wrong place: %s starts in %s while %s is in %s", t.name, m.zone, x.name, x.m.zone)
		}
	}
	if !m.allowed(j) {
		f.rule("wrong place: %s starts on %s", t.name, m.id)
	}
	if j.final != "" {
		f.rule("started after its end: %s on %s", t.name, m.id)
	}
}

// gangStep lets a gang start, fail, save or complete.
func (f *Fleet) gangStep(j *job) {
	g := j.gang
	wait, peer := config.Micro(f.workers.GangWaitS), config.Micro(f.workers.GangPeerS)
	waiting, there, lost := 0, 0, len(g.members) < j.Tasks
	for t, m := range g.members {
		switch {
		case m.dead && g.started == 0:
			delete(g.members, t) // a replacement may complete the gang
			continue
		case m.dead || t.state == wire.TaskExited:
			lost = true
			continue
		}
		there++
		if t.state == wire.TaskWaiting {
			waiting++
		}
		lost = lost || f.now < m.hung
	}
	switch {
	case there == 0:
		j.gang = nil
	case g.started == 0 && waiting == j.Tasks:
		g.started, g.base, g.speed = f.now, j.saved[0], math.Inf(1)
		for _, t := range g.ordered() {
			m := g.members[t]
			g.speed = min(g.speed, m.speed)
			m.begin(t)
		}
	case g.started == 0:
		for _, t := range g.ordered() {
			if t.state == wire.TaskWaiting && f.now-t.since > wait {
				t.exit(wire.CauseGangIncomplete)
				delete(g.members, t)
			}
		}
	case g.halted == 0:
		f.checkpoint(j, 0, g.progress(f.now))
		if lost {
			g.halted = f.now
		} else if g.progress(f.now) >= j.length[0] {
			for _, t := range g.ordered() {
				f.complete(j, t.index)
				f.counts.Completed++
				t.exit(wire.CauseDone)
			}
			j.gang = nil
		}
	case f.now-g.halted > peer:
		for _, t := range g.ordered() {
			m := g.members[t]
			if t.state == wire.TaskRunning && !m.dead && f.now >= m.hung {
				t.exit(wire.CauseGangMemberLost)
			}
		}
	}
}

// ordered returns a gang's tasks by their numbers, then their machines: a run can be played again.
func (g *gang) ordered() []*task {
	return slices.SortedFunc(maps.Keys(g.members), func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.index, b.index), cmp.Compare(a.m.id, b.m.id))
	})
}

// progress is how far a gang is; a halted one gets no further.
func (g *gang) progress(now Micros) Micros {
	if g.halted > 0 {
		now = g.halted
	}
	return g.base + Micros(float64(now-g.started)*g.speed)
}

// complete takes that a task's result is kept.
func (f *Fleet) complete(j *job, index int) {
	if !j.completed[index] {
		f.useful += j.CPUs * float64(j.length[index])
	}
	j.completed[index] = true
	f.touch(j)
}

// checkpoint saves the progress that the checkpoints on the way have reached.
func (f *Fleet) checkpoint(j *job, index int, progress Micros) {
	if every := config.Micro(j.CheckpointIntervalS); every > 0 {
		f.save(j, index, progress/every*every)
	}
}

func (f *Fleet) save(j *job, index int, progress Micros) {
	if progress > j.saved[index] {
		j.saved[index] = progress
		f.touch(j)
	}
}

// Fault does something bad to a machine: "die", "hang", "slow", "recall" or "restart" its
// worker, which forgets its tasks and goes on with the next session. Without a
// name it takes one at random that has tasks. It returns the machine's name. A "wave"
// recalls all spot machines, of a zone if one is named, and returns how many.
func (f *Fleet) Fault(kind, id string, d time.Duration) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind == "wave" {
		n := 0
		for _, k := range f.ids {
			if m := f.machines[k]; m.spot && !m.dead && m.recall == 0 && (id == "" || m.zone == id) {
				m.recall = f.now + d.Microseconds()
				n++
			}
		}
		return fmt.Sprint(n, " machines"), nil
	}
	if id == "" {
		var with []string
		for _, k := range f.ids {
			if m := f.machines[k]; m.up && !m.dead && m.running() > 0 && (kind != "recall" || m.spot) {
				with = append(with, k)
			}
		}
		if len(with) == 0 {
			return "", errors.New("no machine with tasks")
		}
		id = with[f.rnd.IntN(len(with))]
	}
	m := f.machines[id]
	if m == nil {
		return "", fmt.Errorf("there is no machine %s", id)
	}
	switch kind {
	case "die":
		f.die(m)
	case "hang":
		m.hung = f.now + d.Microseconds()
	case "slow":
		m.speed /= 4
	case "recall":
		m.recall = f.now + d.Microseconds()
	case "restart":
		m.nextSession()
	default:
		return "", fmt.Errorf("%q is not one of die, hang, slow, recall, restart", kind)
	}
	return id, nil
}

func (f *Fleet) die(m *Machine) {
	for _, t := range m.tasks {
		t.account()
	}
	f.counts.Lost += m.running()
	f.counts.Died++
	m.dead, m.died = true, f.now
}
