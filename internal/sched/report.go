package sched

import (
	"slices"
	"sort"

	"dalefront/internal/config"
	"dalefront/wire"
)

func (c *Core) newMachine(host, addr, typ, zone string, spot bool) *machine {
	t := c.types[typ]
	if t == nil {
		t = &wire.MachineType{Name: typ, Zones: []string{zone}} // not in the catalog: no room
		c.types[typ] = t
	}
	m := &machine{slow: 1, host: host, addr: addr, kind: t, zone: zone, spot: spot, born: c.now, idleSince: c.now, gpusIdle: c.now,
		tasks: map[taskKey][]*placement{}, images: map[string]Micros{}, fetchingImages: map[string]Micros{}, errJobs: map[*job]bool{}}
	m.told = c.told[host]
	delete(c.told, host)
	c.machines[host] = m
	i := sort.Search(len(c.order), func(k int) bool { return c.order[k].host >= host })
	c.order = slices.Insert(c.order, i, m)
	return m
}

func (c *Core) dropMachine(m *machine) {
	delete(c.machines, m.host)
	if i := slices.Index(c.order, m); i >= 0 {
		c.order = slices.Delete(c.order, i, i+1)
	}
	if i := slices.Index(c.open, m); i >= 0 {
		c.open = slices.Delete(c.open, i, i+1)
	}
}

// place books a task on a machine.
func (c *Core) place(j *job, t int32, m *machine, attempt uint64) *placement {
	p := &placement{taskKey: taskKey{j, t}, attempt: attempt, m: m, session: m.session, placed: c.now}
	m.tasks[p.taskKey] = append(m.tasks[p.taskKey], p)
	m.placed = append(m.placed, p)
	m.n++
	m.cpus += j.spec.CPUs
	m.gpus += j.spec.GPUs
	m.mem += j.spec.MemoryGB
	u := &m.byRank[j.rank]
	u.cpus, u.gpus, u.mem = u.cpus+j.spec.CPUs, u.gpus+j.spec.GPUs, u.mem+j.spec.MemoryGB
	j.team.cpus += j.spec.CPUs
	j.team.gpus += j.spec.GPUs
	j.placements[p] = struct{}{}
	j.count[t]++
	c.ranks[j.rank]++
	return p
}

// free removes a placement after proof that the task is not on the machine and
// can't start there any more.
func (c *Core) free(p *placement) {
	j, m := p.job, p.m
	if _, ok := j.placements[p]; !ok {
		return
	}
	delete(j.placements, p)
	c.changed = true
	c.ranks[j.rank]--
	c.strike(p)
	if i := slices.Index(m.placed, p); i >= 0 {
		m.placed = append(m.placed[:i:i], m.placed[i+1:]...) // a new list: see each
	}
	ps := m.tasks[p.taskKey]
	for i := range ps {
		if ps[i] == p {
			ps = append(ps[:i:i], ps[i+1:]...)
			break
		}
	}
	if len(ps) == 0 {
		delete(m.tasks, p.taskKey)
	} else {
		m.tasks[p.taskKey] = ps
	}
	m.n--
	m.cpus -= j.spec.CPUs
	m.gpus -= j.spec.GPUs
	m.mem -= j.spec.MemoryGB
	u := &m.byRank[j.rank]
	u.cpus, u.gpus, u.mem = u.cpus-j.spec.CPUs, u.gpus-j.spec.GPUs, u.mem-j.spec.MemoryGB
	j.team.cpus -= j.spec.CPUs
	j.team.gpus -= j.spec.GPUs
	if p.stop {
		j.team.leavingCPUs -= j.spec.CPUs
		j.team.leavingGPUs -= j.spec.GPUs
	}
	if m.n == 0 {
		m.cpus, m.gpus, m.mem, m.byRank = 0, 0, 0, [4]use{}
	}
	// A place that was only tried, or whose launch was refused, leaves a machine as idle as it was:
	// a gang that can't be complete tries in each pass.
	if m.n == 0 && p.stored {
		m.idleSince = c.now
	}
	if c.deserves(j) && p.stored {
		m.gpusIdle = c.now
	}
	if j.count[p.task]--; j.count[p.task] <= 0 {
		delete(j.count, p.task)
		if !j.over() && !j.isDone(p.task) {
			if !j.gang() {
				j.retry = append(j.retry, p.task)
			}
			if j.waitSince == 0 {
				j.waitSince = c.now
			}
		}
	}
	if j.gang() && p.attempt == j.attempt && !j.over() {
		if j.started || p.state == wire.TaskExited {
			j.broken = true // a running gang that lost a task falls back to its checkpoint
		}
	}
	if len(j.placements) == 0 && p.running > 0 {
		j.leftAt = c.now
	}
	if j.gang() && len(j.placements) == 0 {
		j.started, j.broken = false, false
		j.attempt = 0
	}
	c.tryForget(j)
}

// Slept says that the controller stood still for so long. Its own absence is not
// the workers' silence: what was measured against the clock goes on from where it
// was, and what took the gap to be noticed teaches nothing about run times.
func (c *Core) Slept(gap, now Micros) {
	c.now, c.woke, c.changed = now, now, true
	for _, m := range c.order {
		if m.lastHello > 0 {
			m.lastHello = min(now, m.lastHello+gap)
		}
		m.idleSince = min(now, m.idleSince+gap)
	}
}

// learns says whether times measured now mean anything: shortly after a
// standstill or a takeover what is seen may have happened long before.
func (c *Core) learns() bool {
	return c.now-max(c.woke, c.since) >= 2*config.Micro(c.set.Deployment.Workers.ReportS)+second
}

// Report takes a worker's report that this leader is entitled to answer with
// 200, and returns the answer.
//
// What a report proves rests on the order in which a worker acts: it has one
// report in flight at a time and drops an answer once it has given up on the
// report. So when the newest report of a worker that has seen this term's token
// arrives, no answer to it is outstanding, answers of older leaders will be
// dropped, and the machine holds exactly the tasks listed.
func (c *Core) Report(r *wire.Report, now Micros) wire.ReportAnswer {
	c.now = now
	a := wire.ReportAnswer{Token: c.token, Orders: []wire.Order{}}
	if _, gone := c.gone[r.Host]; gone {
		return a // sent before the machine was returned
	}
	m := c.machines[r.Host]
	if m == nil {
		// An unexpected machine, or one that the list does not show yet: adopt it.
		m = c.newMachine(r.Host, r.Addr, r.Type, r.Zone, r.Spot)
	}
	if r.Session < m.session || (r.Session == m.session && r.Seq <= m.seq && m.seq > 0) {
		return a // late: its task list is older than what is known
	}
	if !m.up {
		c.bootEnded(m, true)
	}
	if r.Token != c.token {
		// The worker has not seen this term's token. Its list may predate a
		// launch by an older leader, so it proves nothing; but the answer
		// hands out the token, and the worker reports again at once.
		m.up = true
		m.addr = r.Addr
		if !m.confirmed {
			m.lastHello = now
		}
		return a
	}
	if m.lastHello > 0 && !c.domains.IsCut(m.zone) && c.learns() {
		c.domains.Resumed(now, now-m.lastHello)
	}
	m.addr, m.up, m.lost = r.Addr, true, false
	if r.Session > m.session {
		c.forgets(m)
	}
	if !m.confirmed && m.n == 0 {
		m.idleSince, m.gpusIdle = now, now
	}
	if !m.confirmed {
		c.changed = true
	}
	m.session, m.seq, m.lastHello, m.confirmed = r.Session, r.Seq, now, true
	m.recallAt = 0
	if r.NoticeS != nil {
		m.recallAt = now + config.Micro(*r.NoticeS)
	}
	if m.returning {
		// Its tasks are about to go; nothing is launched, stops still make sense.
		c.observe(m, r, &a)
		return a
	}
	c.observe(m, r, &a)
	c.launches(m, &a)
	return a
}

// Answered takes the report with which a worker answers a direct command. Unlike with a report
// of its own, an answer to it may be outstanding and bring launches. So what is proven is that a
// task which was seen on the machine and is listed no more, or as exited, is gone for good,
// as launches are repeated only until their task is seen; and that nothing of an earlier session
// is left. It renews no lease, and the machine is as silent as it was.
func (c *Core) Answered(r *wire.Report, now Micros) {
	m := c.machines[r.Host]
	if m == nil || r.Token != c.token || r.Session < m.session || (r.Session == m.session && r.Seq <= m.seq) {
		return
	}
	c.now = now
	if r.Session > m.session {
		c.forgets(m)
	}
	m.session, m.seq = r.Session, r.Seq
	present := map[*placement]bool{}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		j, num, ok := c.named(t.Task)
		if !ok {
			continue
		}
		p := m.find(taskKey{j, num}, t.Attempt)
		if t.State == wire.TaskExited {
			c.exited(m, j, num, t, p)
		} else if p != nil {
			present[p] = true
		}
	}
	m.each(func(p *placement) {
		if p.stored && p.seen && !present[p] {
			c.free(p)
		}
	})
	c.nextCheckpoint(m)
}

// forgets takes a later session of a machine's worker: it killed and forgot all tasks of the
// earlier one, and drops answers to reports of that session.
func (c *Core) forgets(m *machine) {
	m.confirmed = false
	m.each(func(p *placement) {
		if p.stored {
			c.free(p)
		}
	})
}

// observe brings the placements of a machine in line with its report.
func (c *Core) observe(m *machine, r *wire.Report, a *wire.ReportAnswer) {
	present := make(map[*placement]bool, len(r.Tasks))
	m.checkpoints = 0
	clear(m.fetchingImages)
	for i := range r.Tasks {
		t := &r.Tasks[i]
		j, num, ok := c.named(t.Task)
		if !ok {
			a.Orders = append(a.Orders, removal(t))
			continue
		}
		p := m.find(taskKey{j, num}, t.Attempt)
		if t.State == wire.TaskExited {
			c.exited(m, j, num, t, p)
			if t.Cause != wire.CauseDone || j.ended != "" || j.spec.Shape == wire.Service || j.has(j.storedDone, num) {
				a.Orders = append(a.Orders, wire.Order{Op: wire.Clear, Task: t.Task, Attempt: t.Attempt})
			}
			continue
		}
		if p == nil {
			// Not in the books: it occupies its place all the same until it is gone.
			p = c.place(j, num, m, t.Attempt)
			p.stored = true
			c.strays = append(c.strays, p)
			if c.stray(p) {
				c.stop(p, false)
			}
		}
		present[p] = true
		p.seen = true
		if t.State == wire.TaskRunning && p.running == 0 {
			p.running = c.now
			c.begun(j)
			if j.gang() && t.Attempt == j.attempt {
				j.started = true
			}
		}
		p.state = t.State
		switch t.State {
		case wire.TaskFetching:
			m.fetchingImages[j.spec.Image] = p.placed
		case wire.TaskSaving:
			m.checkpoints++
		}
		if t.State != wire.TaskFetching {
			c.cached(m, j)
		}
		if p.stop && !p.queued && !(p.checkpoint && t.State == wire.TaskSaving) {
			a.Orders = append(a.Orders, p.order())
		}
	}
	m.each(func(p *placement) {
		if present[p] || !p.stored {
			return
		}
		// Absent from an exact list: gone, or its launch never arrived. A
		// launch that is still wanted is sent again with this answer, but only
		// one of this term: a record may be older than the task's exit and its
		// start elsewhere, and after a clear a repeated launch starts it again.
		if p.seen || p.stop || p.loaded || p.job.over() || p.job.isDone(p.task) {
			c.free(p)
		}
	})
	c.nextCheckpoint(m)
}

// named finds a task by its name, if its job is known.
func (c *Core) named(task string) (j *job, num int32, ok bool) {
	id, num, ok := wire.ParseTask(task)
	j = c.jobs[id]
	return j, num, ok && j != nil && int(num) < j.spec.Tasks
}

// stray says whether a task found outside the books must go: its job is over,
// the task is done, or another copy may exist.
func (c *Core) stray(p *placement) bool {
	j := p.job
	return j.over() || j.isDone(p.task) || j.count[p.task] > 1 || (j.gang() && p.attempt != j.attempt)
}

// removal is the order that takes a task off its machine at once, or out of its reports if
// it has exited.
func removal(t *wire.TaskReport) wire.Order {
	if t.State == wire.TaskExited {
		return wire.Order{Op: wire.Clear, Task: t.Task, Attempt: t.Attempt}
	}
	zero := 0.0
	return wire.Order{Op: wire.Stop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero}
}

// cached notes that a machine has a job's image.
func (c *Core) cached(m *machine, j *job) {
	m.images[j.spec.Image] = c.now
}

func (c *Core) exited(m *machine, j *job, num int32, t *wire.TaskReport, p *placement) {
	if t.Cause == wire.CauseDone {
		if p != nil && p.running > 0 && j.spec.EstimateS > 0 && !j.isDone(num) && !p.loaded && c.learns() {
			actual := float64(c.now-p.running) / float64(second) / j.spec.EstimateS
			// A faulty machine can be much slower than others of its type: compare
			// with what the class usually takes, and forget slowly.
			m.slow += 0.3 * (min(max(actual/j.class.ratio, 0.2), 6) - m.slow)
			j.class.ratio += 0.1 * (min(max(actual, 0.2), 5) - j.class.ratio)
		}
		if !j.isDone(num) {
			c.markDone(j, num)
		}
		clear(m.errJobs)
		c.cached(m, j)
	}
	if p == nil {
		return // freed before; the clear is repeated until it is gone
	}
	p.state = wire.TaskExited
	switch t.Cause {
	case wire.CauseStopped:
		if t.Saved && p.running > 0 {
			j.savedRun += c.now - p.running
			if took := float64(c.now-p.stopSent) / float64(second); p.checkpoint && took > 0 && j.spec.MemoryGB > 0 && c.learns() {
				// The paper's bandwidth, learned from saves that were observed.
				c.bwWrite += 0.2 * (j.spec.MemoryGB/max(took, 0.5) - c.bwWrite)
			}
		}
	case wire.CauseError:
		c.Stats.Errors++
		c.blame(j, m, p)
	case wire.CauseNoRoom, wire.CauseBusy:
		m.avoid = c.now + 3*second
	case wire.CauseUnknown:
		j.notBefore = c.now + 3*second
	case wire.CauseAlone, wire.CausePeers:
		if j.gang() && p.attempt == j.attempt {
			j.broken = true
		}
	}
	c.free(p)
}

// maxAnswerOrders is how many orders an answer has at most before launches are added to it: it
// keeps the answer within the protocol's limit for bodies.
const maxAnswerOrders = 400

// launches adds the stored launches that the machine does not hold yet. They
// are repeated until a report shows them, which the protocol allows.
func (c *Core) launches(m *machine, a *wire.ReportAnswer) {
	m.each(func(p *placement) {
		if p.stored && !p.seen && !p.stop && !p.loaded && len(a.Orders) < maxAnswerOrders {
			p.sent = true
			a.Orders = append(a.Orders, wire.Order{Op: wire.Launch, Task: wire.TaskName(p.job.id, p.task), Attempt: p.attempt})
		}
	})
}

// Hungry says whether a machine that has just reported has room for something
// that waits.
func (c *Core) Hungry(host string) bool {
	m := c.machines[host]
	if m == nil || !c.usable(m) || m.lastHello != c.now {
		return false
	}
	for _, j := range c.jobs {
		if j.pending() > 0 && c.now >= j.notBefore && allowed(j, m) && room(j, m, 1) {
			return true
		}
	}
	return c.InFlight(host)
}

// InFlight says whether launches for the machine are being stored.
func (c *Core) InFlight(host string) bool {
	cm := c.unfinished()
	if cm == nil {
		return false
	}
	for _, p := range cm.placements {
		if p.m.host == host {
			return true
		}
	}
	return false
}

// Changed says whether something happened since the last call that a pass may
// make use of.
func (c *Core) Changed() bool {
	x := c.changed
	c.changed = false
	return x
}

// Launches returns the launches that the machine's worker should get now.
func (c *Core) Launches(host string) []wire.Order {
	var a wire.ReportAnswer
	if m := c.machines[host]; m != nil && m.confirmed && !m.returning {
		c.launches(m, &a)
	}
	return a.Orders
}
