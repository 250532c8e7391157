// Package sim plays the outside of the scheduler's core for tests: a durable
// store, a cloud, workers with their leases and a network that delays and loses
// messages. Everything is driven by one seed; the rules of the protocol are
// checked after every step.
package sim

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"dalefront/internal/config"
	"dalefront/internal/sched"
	"dalefront/wire"
)

const second = config.Second

// task is a task on a simulated worker.
type task struct {
	name    string
	attempt uint64
	state   string
	cause   string
	saved   bool
	ready   int64 // when its image is there
	stopped int64 // when a save ends
	started bool
	began   int64 // when it was started
}

type worker struct {
	host    string
	typ     wire.MachineType
	zone    string
	spot    bool
	born    int64
	dead    bool
	died    int64 // when it died; the list shows it running for a while yet
	hung    int64 // until when it hangs
	session uint64
	seq     uint64
	token   uint64
	renewed int64 // when the last answered report was sent
	tasks   map[string]*task
	order   []string
	waiting bool  // a report is in flight
	nextAt  int64 // when it reports next
	gaveUp  int64 // when the report in flight is given up
	nonce   int   // of the report in flight
	heard   int64 // when a report of it last reached a controller outside
	echo    int64 // until when a peer renews its lease instead of the overseer
	recall  int64
	never   bool // it never comes up
	faulty  bool // every task fails on it
}

type message struct {
	at     int64
	report wire.Report
	sent   int64
	nonce  int
	w      *worker
	lost   bool // the answer will be lost
}

// news is an end that the watch has yet to bring to the overseer.
type news struct {
	id string
	at int64
}

// list is the cloud's list of machines as of a moment.
type list struct {
	at    int64
	hosts []wire.Machine
}

// hired is the answer to a rental request that is still on its way.
type hired struct {
	at    int64
	core  *sched.Core
	hire  wire.Hire
	hosts []string
}

// Broken is the class of jobs that fail on every machine.
const Broken = "broken"

// World is the simulated outside and the core under test.
type World struct {
	Rng     *rand.Rand
	Now     int64
	Core    *sched.Core
	Set     *config.Settings
	Catalog wire.Catalog

	workers map[string]*worker
	net     []message
	nextID  int
	nonce   int

	// the durable store
	token    uint64
	revision uint64
	jobs     map[string]wire.Job
	arrived  map[string]int64
	ends     map[string]string
	endAt    map[string]int64
	chunks   map[string]map[int]string
	ledger   map[string]sched.Entry

	commit   *sched.Commit
	commitAt int64
	watch    []news
	lists    []list
	hires    []hired

	completed map[string]map[string]bool // job -> tasks completed
	forgotten map[string]bool
	zones     map[string]*cut
	Log       func(...any) // gets what the core logs, if set
	Sound     bool         // new machines don't fail every task
	Calm      bool         // nothing is lost, delayed or failed but what a test lets fail
	Most      int          // machines that the cloud has
	Returned  int          // machines given back while tasks ran on them
	Lost      int          // tasks that ran when their worker forgot them or their machine was given back
	Runs      int          // tasks started
	Failed    int          // of these, at once
	Done      int          // jobs done
	Broken    []string
}

// New returns a world with the given settings and catalog.
func New(seed uint64, set *config.Settings, cat wire.Catalog) *World {
	w := &World{Most: 12,
		Rng: rand.New(rand.NewPCG(seed, 1)), Now: 1_000 * second, Set: set, Catalog: cat,
		workers: map[string]*worker{}, jobs: map[string]wire.Job{}, arrived: map[string]int64{}, ends: map[string]string{},
		endAt: map[string]int64{}, chunks: map[string]map[int]string{}, ledger: map[string]sched.Entry{},
		completed: map[string]map[string]bool{}, forgotten: map[string]bool{}, zones: map[string]*cut{},
	}
	w.Takeover()
	return w
}

// Takeover lets another overseer begin from the store alone; whatever the last
// one knew or had in flight is lost, but messages in the network stay.
func (w *World) Takeover() {
	w.revision++
	w.token = w.revision
	if w.commit != nil && w.Rng.IntN(2) == 0 {
		w.apply(w.commit) // its transaction came before the term changed
		w.revision++
		w.token = w.revision
	}
	w.commit = nil
	c := sched.New(w.Set, w.token, w.Now, w.Catalog, func(msg string, args ...any) {
		if w.Log != nil {
			w.Log(fmt.Sprintf("%.3f s: %s", float64(w.Now)/1e6, msg), args)
		}
	})
	for _, id := range keys(w.jobs) {
		c.AddJob(w.jobs[id], w.arrived[id], w.Now)
	}
	for _, id := range keys(w.chunks) {
		for i, t := range w.chunks[id] {
			c.SetProgress(id, i, t)
		}
	}
	c.Load(w.ledger)
	for _, id := range keys(w.jobs) {
		if st := w.ends[id]; st != "" {
			c.Ended(id, st, w.endAt[id], w.Now)
		}
	}
	for _, h := range keys(w.workers) {
		if k := w.workers[h]; k.heard > 0 && w.Rng.IntN(4) > 0 {
			c.Told(h, k.heard) // a peer had heard it
		}
	}
	w.Core = c
}

func keys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// apply runs a commit's transaction and says whether it held.
func (w *World) apply(cm *sched.Commit) bool {
	for _, id := range cm.Jobs {
		if w.ends[id] != "" {
			return false
		}
	}
	w.revision++
	for _, e := range cm.Entries {
		w.ledger[e.Name] = e.Entry
	}
	for _, n := range cm.Drop {
		delete(w.ledger, n)
	}
	return true
}

// Boot adds a machine.
func (w *World) Boot(typ, zone string, spot bool) {
	for _, t := range w.Catalog.Types {
		if t.Name == typ {
			w.nextID++
			h := fmt.Sprintf("n-%06d", w.nextID)
			w.workers[h] = &worker{host: h, typ: t, zone: zone, spot: spot, born: w.Now, session: 1, renewed: w.Now,
				tasks: map[string]*task{}, nextAt: w.Now + int64(w.Rng.IntN(int(second)))}
		}
	}
}

// Submit accepts a job.
func (w *World) Submit(j wire.Job) {
	w.jobs[j.ID], w.arrived[j.ID] = j, w.Now
	w.completed[j.ID] = map[string]bool{}
	w.Core.AddJob(j, w.Now, w.Now)
}

// Cancel cancels a job that has not ended.
func (w *World) Cancel(id string) {
	if w.ends[id] == "" {
		w.ends[id], w.endAt[id] = wire.JobCancelled, w.Now
		w.watch = append(w.watch, news{id, w.Now + int64(w.Rng.IntN(int(4*second)))})
	}
}

// Active lists the jobs that have not ended.
func (w *World) Active() []string {
	var out []string
	for _, id := range keys(w.jobs) {
		if w.ends[id] == "" {
			out = append(out, id)
		}
	}
	return out
}

func (w *World) broken(format string, args ...any) {
	w.Broken = append(w.Broken, fmt.Sprintf("%.3f s: ", float64(w.Now)/1e6)+fmt.Sprintf(format, args...))
}

// Kill lets a machine die.
func (w *World) Kill() {
	if hs := keys(w.workers); len(hs) > 0 {
		w.die(w.workers[hs[w.Rng.IntN(len(hs))]])
	}
}

// Step lets some milliseconds pass and does what falls due.
func (w *World) Step() {
	w.Now += int64(1+w.Rng.IntN(100)) * 1000
	for _, h := range keys(w.workers) {
		w.workerStep(w.workers[h])
	}
	w.deliver()
	w.overseerStep()
	w.Check()
}

func (w *World) lease() int64 { return config.Micro(w.Set.Deployment.Workers.LeaseS) }

func (w *World) workerStep(k *worker) {
	if k.dead || k.never || w.Now < k.hung {
		return
	}
	if w.Now-k.renewed > w.lease() {
		w.Lost += k.running()
		k.session++
		k.seq = 0
		k.renewed = w.Now
		k.tasks, k.order = map[string]*task{}, nil
		k.nextAt = w.Now
	}
	for _, n := range k.order {
		t := k.tasks[n]
		switch {
		case t == nil:
		case t.state == wire.TaskFetching && w.Now >= t.ready:
			w.begin(k, t)
		case t.state == wire.TaskRunning && w.ended(t):
			id, _, _ := wire.ParseTask(t.name)
			w.exit(k, t, wire.CauseDone)
			if w.jobs[id].Shape == wire.Gang {
				w.gangDone(id, t.attempt)
			} else {
				w.completed[id][t.name] = true
			}
		case t.state == wire.TaskRunning && !w.Calm && w.Rng.IntN(3000) == 0:
			w.exit(k, t, wire.CauseError)
		case t.state == wire.TaskSaving && w.Now >= t.stopped:
			t.saved = true
			w.exit(k, t, wire.CauseStopped)
		}
	}
	if k.waiting && w.Now > k.gaveUp {
		k.waiting = false
		k.nextAt = w.Now + second
	}
	if !k.waiting && w.Now >= k.nextAt {
		w.send(k)
	}
}

func (w *World) gangDone(id string, attempt uint64) {
	for i := 0; i < w.jobs[id].Tasks; i++ {
		w.completed[id][wire.TaskName(id, int32(i))] = true
	}
	for _, h := range keys(w.workers) {
		for _, t := range w.workers[h].tasks {
			if j, _, _ := wire.ParseTask(t.name); j == id && t.attempt == attempt && t.state != wire.TaskExited {
				w.exit(w.workers[h], t, wire.CauseDone)
			}
		}
	}
}

func (w *World) exit(k *worker, t *task, cause string) {
	t.state, t.cause = wire.TaskExited, cause
	k.nextAt = min(k.nextAt, w.Now+second/2)
}

// begin starts a task whose image is there, and checks what may start.
func (w *World) begin(k *worker, t *task) {
	w.Runs++
	t.started, t.began = true, w.Now
	t.state = wire.TaskRunning
	id, _, _ := wire.ParseTask(t.name)
	j := w.jobs[id]
	for _, h := range keys(w.workers) {
		if o := w.workers[h]; o != k && !o.dead {
			if x := o.tasks[t.name]; x != nil && x.started && x.state != wire.TaskExited {
				w.broken("ran_twice: %s runs on %s and starts on %s", t.name, h, k.host)
			}
			for _, x := range o.tasks {
				xid, _, _ := wire.ParseTask(x.name)
				if xid == id && x.started && x.state != wire.TaskExited && j.OneZone && o.zone != k.zone {
					w.broken("wrong_place: %s starts in %s while %s is in %s", t.name, k.zone, x.name, o.zone)
				}
			}
		}
	}
	if (k.spot && !j.Spot) || (j.Zone != nil && *j.Zone != k.zone) {
		w.broken("wrong_place: %s starts on %s", t.name, k.host)
	}
	if j.Types != nil {
		ok := false
		for _, n := range j.Types {
			ok = ok || n == k.typ.Name
		}
		if !ok {
			w.broken("wrong_place: %s starts on type %s", t.name, k.typ.Name)
		}
	}
	switch {
	case w.completed[id][t.name]:
		w.exit(k, t, wire.CauseDone) // the result is kept
	case j.Class == Broken || k.faulty:
		w.Failed++
		w.exit(k, t, wire.CauseError)
	}
}

func (w *World) send(k *worker) {
	k.seq++
	w.nonce++
	r := wire.Report{Host: k.host, Addr: k.host + ":1", Type: k.typ.Name, Zone: k.zone, Spot: k.spot, Session: k.session, Seq: k.seq, Token: k.token}
	if k.recall > 0 {
		s := float64(k.recall-w.Now) / 1e6
		r.NoticeS = &s
	}
	for _, n := range k.order {
		if t := k.tasks[n]; t != nil {
			r.Tasks = append(r.Tasks, wire.TaskReport{Task: t.name, Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
		}
	}
	k.waiting, k.gaveUp, k.nonce = true, w.Now+4*second, w.nonce
	k.nextAt = w.Now + config.Micro(w.Set.Deployment.Workers.ReportS)
	m := message{at: w.Now + int64(w.Rng.IntN(20_000)), report: r, sent: w.Now, nonce: w.nonce, w: k}
	luck := w.Rng.IntN(40)
	if w.Calm {
		luck = 39
	}
	switch luck {
	case 0: // held back, perhaps for longer than the worker waits
		m.at += int64(w.Rng.IntN(int(30 * second)))
	case 1:
		m.lost = true
	case 2:
		return // lost on the way
	case 3: // another node renews the lease under the same token, for a while
		k.echo = w.Now + int64(w.Rng.IntN(int(20*second)))
	}
	if w.cutOff(k, m) {
		return
	}
	if w.Now < k.echo && k.token > 0 {
		k.waiting = false
		k.renewed = w.Now
		return
	}
	w.net = append(w.net, m)
}

// deliver hands due reports to the overseer and its answers to the workers.
func (w *World) deliver() {
	sort.SliceStable(w.net, func(a, b int) bool { return w.net[a].at < w.net[b].at })
	for len(w.net) > 0 && w.net[0].at <= w.Now {
		m := w.net[0]
		w.net = w.net[1:]
		if m.report.Token > w.Core.Token() {
			continue // not entitled: 421
		}
		a := w.Core.Report(&m.report, w.Now)
		k := m.w
		k.heard = w.Now
		if m.lost || k.dead || w.Now < k.hung || w.cut(k.zone) != nil || !k.waiting || k.nonce != m.nonce || k.session != m.report.Session {
			continue
		}
		k.waiting = false
		if a.Token < k.token {
			continue
		}
		if a.Token > k.token {
			k.token = a.Token
			k.nextAt = min(k.nextAt, w.Now+second/2)
		}
		k.renewed = m.sent
		for _, o := range a.Orders {
			w.execute(k, o)
		}
	}
}

func (w *World) execute(k *worker, o wire.Order) {
	t := k.tasks[o.Task]
	k.nextAt = min(k.nextAt, w.Now+second/2)
	switch o.Op {
	case wire.Launch:
		if t != nil && t.attempt == o.Attempt {
			return
		}
		nt := &task{name: o.Task, attempt: o.Attempt, state: wire.TaskFetching, ready: w.Now + int64(w.Rng.IntN(int(5*second)))}
		if t != nil && t.state != wire.TaskExited {
			return // in_use, reported under the running attempt here
		}
		if t == nil {
			k.order = append(k.order, o.Task)
		}
		if w.Rng.IntN(60) == 0 {
			nt.state, nt.cause = wire.TaskExited, wire.CauseNoRoom
		}
		k.tasks[o.Task] = nt
	case wire.Stop:
		if t == nil || t.attempt != o.Attempt || t.state == wire.TaskExited {
			return
		}
		id, _, _ := wire.ParseTask(o.Task)
		j := w.jobs[id]
		if t.state == wire.TaskRunning && j.CheckpointEvery > 0 && *o.GraceS >= j.SaveS && j.Shape != wire.Service {
			t.state, t.stopped = wire.TaskSaving, w.Now+config.Micro(j.SaveS)
		} else if t.state != wire.TaskSaving || *o.GraceS == 0 {
			w.exit(k, t, wire.CauseStopped)
		}
	case wire.Clear:
		if t != nil && t.attempt == o.Attempt && t.state == wire.TaskExited {
			delete(k.tasks, o.Task)
			for i, n := range k.order {
				if n == o.Task {
					k.order = append(k.order[:i:i], k.order[i+1:]...)
					break
				}
			}
		}
	}
}

// overseerStep carries out the core's effects, with delays and refusals.
func (w *World) overseerStep() {
	c := w.Core
	w.cloud()
	for len(w.watch) > 0 && w.watch[0].at <= w.Now {
		id := w.watch[0].id
		w.watch = w.watch[1:]
		c.Ended(id, w.ends[id], w.endAt[id], w.Now)
	}
	if w.commit == nil && w.Rng.IntN(3) == 0 {
		if cm := c.Schedule(w.Now); cm != nil {
			w.commit, w.commitAt = cm, w.Now+int64(w.Rng.IntN(400_000))
		}
	}
	if w.commit != nil && w.Now >= w.commitAt {
		cm := w.commit
		w.commit = nil
		if w.Rng.IntN(20) > 0 && w.apply(cm) {
			c.Committed(cm, w.Now)
		} else {
			for _, id := range cm.Jobs {
				if w.ends[id] != "" {
					c.Ended(id, w.ends[id], w.endAt[id], w.Now)
				}
			}
			c.Refused(cm, w.Now)
		}
	}
	w.direct(c)
	for _, id := range c.Ends() {
		if w.ends[id] == "" {
			if n := len(w.completed[id]); n < w.jobs[id].Tasks {
				w.broken("not_done: %s is called done after %d of %d tasks", id, n, w.jobs[id].Tasks)
			}
			w.ends[id], w.endAt[id] = wire.JobDone, w.Now
			w.Done++
		}
		c.Ended(id, w.ends[id], w.endAt[id], w.Now)
	}
	if w.Rng.IntN(10) == 0 {
		for _, ch := range c.Progress(4) {
			if w.chunks[ch.Job] == nil {
				w.chunks[ch.Job] = map[int]string{}
			}
			w.chunks[ch.Job][ch.Index] = ch.Text
			c.ProgressStored(ch)
		}
	}
	for _, id := range c.Forgotten() {
		delete(w.jobs, id)
		delete(w.chunks, id)
		w.forgotten[id] = true
		for _, h := range keys(w.workers) {
			for n, t := range w.workers[h].tasks {
				if j, _, _ := wire.ParseTask(n); j == id && !w.workers[h].dead && t.state != wire.TaskExited {
					w.broken("forgotten too early: %s is on %s", n, h)
				}
			}
		}
	}
	if w.Rng.IntN(10) == 0 {
		c.Survey(w.Now, w.controllers())
		if back := c.Returns(w.Now, c.Blind(w.Now)); len(back) > 0 {
			for _, h := range back {
				w.giveBack(h)
			}
			c.Gone(back, w.Now)
		}
	}
	if w.Rng.IntN(20) == 0 {
		for _, h := range c.Hires(w.Now) {
			var hosts []string
			for i := 0; i < h.Count && len(w.workers) < w.Most; i++ {
				w.Boot(h.Type, h.Zone, h.Spot)
				hosts = append(hosts, fmt.Sprintf("n-%06d", w.nextID))
				k := w.workers[hosts[i]]
				k.never, k.faulty = w.Rng.IntN(8) == 0, !w.Sound && w.Rng.IntN(10) == 0
			}
			// Machines may be up before the answer that names them.
			w.hires = append(w.hires, hired{w.Now + int64(w.Rng.IntN(int(4*second))), c, h, hosts})
		}
	}
}

// direct brings a core's direct commands to the workers.
func (w *World) direct(c *sched.Core) {
	for _, d := range c.Directs() {
		for _, o := range d.Orders.Orders {
			if o.Op != wire.Stop { // it may be executed minutes late
				w.broken("a %s of %s was sent straight to a worker", o.Op, o.Task)
			}
		}
		for _, h := range keys(w.workers) {
			if k := w.workers[h]; h+":1" == d.Addr && !k.dead && w.Now >= k.hung && w.cut(k.zone) == nil && k.session == d.Orders.Session && k.token <= d.Orders.Token && w.Rng.IntN(2) == 0 {
				k.seq++
				for _, o := range d.Orders.Orders {
					w.execute(k, o)
				}
			}
		}
	}
}

// Standstill lets the overseer stand still while everything else goes on. If its
// term ran out another takes over, and when the old one wakes it does, without
// having noticed anything, what it was about to do: its commands and its returns go
// out, its writes are refused. Otherwise it notices the gap and goes on.
func (w *World) Standstill(gap int64, lost bool) {
	old := w.Core
	taken := false
	for from := w.Now; w.Now < from+gap; w.Check() {
		w.Now += int64(1+w.Rng.IntN(100)) * 1000
		for _, h := range keys(w.workers) {
			w.workerStep(w.workers[h])
		}
		if lost && !taken && w.Now > from+2*second {
			w.Takeover()
			taken = true
		}
		if taken {
			w.deliver()
			w.overseerStep()
		}
	}
	if !taken {
		old.Slept(gap, w.Now)
		return
	}
	for _, h := range keys(w.workers) {
		k := w.workers[h]
		old.Report(&wire.Report{Host: h, Addr: h + ":1", Type: k.typ.Name, Zone: k.zone, Spot: k.spot, Session: k.session, Seq: k.seq, Token: old.Token()}, w.Now)
	}
	if cm := old.Schedule(w.Now); cm != nil {
		old.Refused(cm, w.Now)
	}
	w.direct(old)
	back := old.Returns(w.Now, old.Blind(w.Now))
	for _, h := range back[:min(3, len(back))] {
		w.giveBack(h)
	}
}

// cloud lets lists, which lag and may be older than the last, and the answers to
// rental requests arrive.
func (w *World) cloud() {
	if w.Rng.IntN(30) == 0 {
		l := list{at: w.Now}
		for _, h := range keys(w.workers) {
			k := w.workers[h]
			state := wire.HostRunning
			if k.dead && w.Now-k.died > 30*second {
				state = wire.HostFailed
			}
			l.hosts = append(l.hosts, wire.Machine{ID: h, Addr: h + ":1", Type: k.typ.Name, Zone: k.zone, Spot: k.spot, State: state, AgeS: float64(w.Now-k.born) / 1e6})
		}
		w.lists = append(w.lists, l)
	}
	for len(w.lists) > 0 && w.Now-w.lists[0].at > 2*config.Micro(w.Set.Deployment.Cloud.ListLagS) {
		w.lists = w.lists[1:]
	}
	if w.Rng.IntN(40) == 0 && len(w.lists) > 0 {
		w.Core.Machines(w.lists[w.Rng.IntN(len(w.lists))].hosts, w.Now)
	}
	left := w.hires[:0]
	for _, h := range w.hires {
		switch {
		case h.core != w.Core: // the one who asked is gone; the list shows the machines
		case h.at > w.Now:
			left = append(left, h)
		default:
			w.Core.Hired(h.hire, h.hosts, w.Now)
		}
	}
	w.hires = left
}

// Check looks at the state as it is.
func (w *World) Check() {
	type use struct{ cpus, gpus float64 }
	teams := map[string]use{}
	cancel := config.Micro(w.Set.Deployment.Workers.CancelS)
	for _, h := range keys(w.workers) {
		k := w.workers[h]
		if k.dead {
			continue
		}
		for _, n := range k.order {
			t := k.tasks[n]
			if t == nil || !t.started || t.state == wire.TaskExited {
				continue
			}
			id, _, _ := wire.ParseTask(n)
			j, ok := w.jobs[id]
			if !ok {
				continue // reported when it was forgotten
			}
			u := teams[j.Team]
			teams[j.Team] = use{u.cpus + j.CPUs, u.gpus + j.GPUs}
			if w.ends[id] == wire.JobCancelled && w.Now-w.endAt[id] > cancel {
				w.broken("ran_cancelled: %s on %s", n, h)
			}
		}
	}
	for _, t := range w.Set.Deployment.Teams {
		if u := teams[t.Name]; (t.CPUsMax > 0 && u.cpus > t.CPUsMax+1e-6) || (t.GPUsMax > 0 && u.gpus > t.GPUsMax+1e-6) {
			w.broken("quota: %s uses %.1f CPUs and %.1f GPUs", t.Name, u.cpus, u.gpus)
		}
	}
}
