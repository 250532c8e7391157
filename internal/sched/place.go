package sched

import (
	"fmt"
	"math"
	"sort"

	"dalefront/internal/config"
	"dalefront/wire"
)

// Commit is a write-ahead batch: the records of the machines that get new
// tasks, conditional on none of the jobs having ended.
type Commit struct {
	Hosts []HostRecord
	Jobs  []string

	placements []*placement
	mark       string
}

// HostRecord is one machine's record and the version that it replaces.
type HostRecord struct {
	Host    string
	Version uint64
	Record  Record
}

// usable says whether the machine may get launches now. Only a machine whose
// worker has confirmed this term's token in its present session is known well
// enough.
func (c *Core) usable(m *machine) bool {
	return m.confirmed && !m.returning && !m.lost && !m.failed && !m.bad && m.recallAt == 0 &&
		c.now >= m.avoid && c.now-m.lastHello < 2*config.Micro(c.set.Deployment.Workers.ReportS)+second
}

// allowed says whether the job may run on the machine's type, zone and kind at
// all, apart from its other tasks.
func allowed(j *job, m *machine) bool {
	if m.spot && !j.spec.Spot {
		return false
	}
	if j.spec.Zone != nil && *j.spec.Zone != m.zone {
		return false
	}
	if j.spec.Types != nil {
		for _, t := range j.spec.Types {
			if t == m.kind.Name {
				return true
			}
		}
		return false
	}
	return true
}

// room says whether the machine has room for n more tasks of the job.
func room(j *job, m *machine, n int) bool {
	f := float64(n)
	return m.cpus+f*j.spec.CPUs <= m.kind.CPUs+eps && m.gpus+f*j.spec.GPUs <= m.kind.GPUs+eps &&
		m.mem+f*j.spec.MemoryGB <= m.kind.MemoryGB+eps
}

// zones counts the zones that the job's tasks may still occupy.
func (j *job) zones() map[string]int {
	z := map[string]int{}
	for p := range j.placements {
		z[p.m.zone]++
	}
	return z
}

// zoneOK applies SamePlace and Spread, counting every task that may be placed.
func zoneOK(j *job, zones map[string]int, zone string) bool {
	if j.spec.OneZone {
		for z, n := range zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !j.spec.Spread || zones[zone] < (j.spec.Tasks+1)/2
}

// fetch is the expected time until the machine has the job's image.
func (c *Core) fetch(j *job, m *machine) float64 {
	if _, ok := m.images[j.spec.Image]; ok {
		return 0
	}
	rate := max(m.kind.FetchGBPS, 0.01)
	if since, ok := m.fetchingImages[j.spec.Image]; ok {
		return max(0, j.spec.ImageGB/rate-float64(c.now-since)/float64(second))
	}
	return j.spec.ImageGB / rate * float64(1+len(m.fetchingImages))
}

// score says how much a task would rather not go to the machine, in seconds.
func (c *Core) score(j *job, m *machine) float64 {
	s := c.fetch(j, m)
	if m.kind.GPUs > 0 && j.spec.GPUs == 0 {
		s += 20 // keep graphics machines for those who need them
	}
	if j.spec.Spot && !m.spot {
		s += 2 // keep ordinary machines for those who may use no others
	}
	if m.slow > 2 {
		s += 15 * (m.slow - 2) // well beyond wrong estimates
	}
	if m.kind.CPUs > 0 {
		s += 4 * (m.kind.CPUs - m.cpus - j.spec.CPUs) / m.kind.CPUs // fill machines
	}
	return s
}

// find returns the best machine for a task now.
func (c *Core) findMachine(j *job, zones map[string]int, only string) *machine {
	var best *machine
	bestScore := math.Inf(1)
	for _, m := range c.machines {
		if (only != "" && m.zone != only) || !allowed(j, m) || !room(j, m, 1) || !c.usable(m) || m.n >= c.maxPer || !zoneOK(j, zones, m.zone) {
			continue
		}
		if j.spec.GPUs == 0 && m.kind.GPUs > 0 && !c.mayBlockGPUs(j, m) {
			continue
		}
		if m.reserved != nil && m.reserved != j && c.now < m.reservedTill && m.reserved.rank >= j.rank && !m.reserved.over() {
			continue
		}
		s := c.score(j, m)
		if j.errorHosts[m.host] {
			s += 300
		}
		if s < bestScore || (s == bestScore && m.host < best.host) {
			best, bestScore = m, s
		}
	}
	return best
}

// gpuView sums up, once a pass, what graphics tasks need.
type gpuView struct {
	any       bool
	rank      int
	cpus, mem float64 // the most that a task takes beside one GPU
	free      float64 // GPUs free on usable machines
	waiting   float64 // GPUs wanted by waiting tasks
	rate      float64 // GPUs wanted per second by arrivals
}

func (c *Core) viewGPUs(queue []*job) {
	v := gpuView{rank: -1}
	for _, cl := range c.classes {
		if cl.sample == nil || cl.sample.spec.GPUs <= 0 {
			continue
		}
		s := &cl.sample.spec
		v.any = true
		v.cpus, v.mem = max(v.cpus, s.CPUs/s.GPUs), max(v.mem, s.MemoryGB/s.GPUs)
		v.rank = max(v.rank, cl.sample.rank)
		v.rate += cl.perSecond(c.now) * s.GPUs
	}
	for _, j := range queue {
		v.waiting += float64(j.pending()) * j.spec.GPUs
	}
	for _, m := range c.machines {
		if c.usable(m) {
			v.free += max(0, m.kind.GPUs-m.gpus)
		}
	}
	c.gpus = v
}

// mayBlockGPUs says whether a task without graphics may go to a graphics
// machine. It may as long as it leaves what the free GPUs' own tasks need beside
// them. Beyond that it may if it ranks higher or an aim watches its start, or if
// enough GPUs stay free elsewhere for the graphics tasks that arrive during its
// stay. Otherwise small tasks fill the processors of the graphics machines and
// their GPUs, the dearest part, stand idle.
func (c *Core) mayBlockGPUs(j *job, m *machine) bool {
	v := &c.gpus
	if !v.any || j.rank > v.rank {
		return true
	}
	free := m.kind.GPUs - m.gpus
	if m.cpus+j.spec.CPUs+free*v.cpus <= m.kind.CPUs+eps && m.mem+j.spec.MemoryGB+free*v.mem <= m.kind.MemoryGB+eps {
		return true
	}
	if j.rank == v.rank && j.class.wait > 0 {
		return true
	}
	if c.now > j.due-j.estimate() && j.spec.DeadlineS != nil {
		return false // too late anyway: it can wait for a cheaper machine
	}
	coming := v.rate * float64(j.estimate()) / float64(second)
	return v.waiting == 0 && v.free-free >= coming+math.Sqrt(coming)
}

// queue returns the jobs that wait, in the order in which they are served:
// priority, work within guarantees, then what must start first among what can
// still make it.
func (c *Core) queue() []*job {
	var q []*job
	for _, j := range c.jobs {
		if j.pending() > 0 {
			q = append(q, j)
		} else {
			j.waitSince = 0
		}
	}
	type key struct {
		within, late bool
		start        Micros
	}
	cpus := 0.0
	for _, m := range c.machines {
		if c.usable(m) {
			cpus += m.kind.CPUs
		}
	}
	keys := make(map[*job]key, len(q))
	for _, j := range q {
		// A large job needs the machines for a while: it has to start earlier to
		// be done in time, but when not all can be, it stands for one job only,
		// so it yields to as many small ones as that while would serve.
		work := Micros(float64(j.pending()) * j.spec.CPUs * float64(j.estimate()) / max(cpus, 1))
		start := j.start(c.now)
		keys[j] = key{j.team.guarantees(j.spec.CPUs, j.spec.GPUs), c.now+work/2 > start, start + work}
	}
	sort.Slice(q, func(a, b int) bool {
		x, y := q[a], q[b]
		kx, ky := keys[x], keys[y]
		switch {
		case x.rank != y.rank:
			return x.rank > y.rank
		case kx.within != ky.within:
			return kx.within
		case kx.late != ky.late:
			return !kx.late
		case kx.start != ky.start:
			return kx.start < ky.start
		}
		return x.id < y.id
	})
	return q
}

func (c *Core) attempt() uint64 {
	c.seq++
	return c.token<<20 + c.seq
}

// Schedule places what waits and returns a batch to be stored, or nil. Only one
// batch is outstanding at a time.
func (c *Core) Schedule(now Micros) *Commit {
	c.now = now
	c.tend()
	if c.commit != nil {
		return nil
	}
	b := &batch{c: c, machines: map[*machine]bool{}, jobs: map[*job]bool{},
		maxMachines: max(1, c.set.Deployment.State.TxnOps), maxJobs: max(1, 3*c.set.Deployment.State.TxnOps-1)}
	queue := c.queue()
	c.viewGPUs(queue)
	for _, j := range queue {
		if now < j.notBefore {
			continue
		}
		if j.gang() {
			c.placeGang(j, b)
		} else {
			c.placeTasks(j, b)
		}
	}
	if len(b.placements) == 0 {
		return nil
	}
	c.seq++
	cm := &Commit{placements: b.placements, mark: fmt.Sprintf("%d.%d", c.token, c.seq)}
	for m := range b.machines {
		r := c.record(m)
		r.Mark = cm.mark
		cm.Hosts = append(cm.Hosts, HostRecord{m.host, m.version, r})
	}
	sort.Slice(cm.Hosts, func(a, b int) bool { return cm.Hosts[a].Host < cm.Hosts[b].Host })
	for j := range b.jobs {
		cm.Jobs = append(cm.Jobs, j.id)
	}
	sort.Strings(cm.Jobs)
	c.commit = cm
	return cm
}

type batch struct {
	c           *Core
	machines    map[*machine]bool
	jobs        map[*job]bool
	maxMachines int
	maxJobs     int
	placements  []*placement
}

func (b *batch) takes(j *job, m *machine) bool {
	return (b.jobs[j] || len(b.jobs) < b.maxJobs) && (b.machines[m] || len(b.machines) < b.maxMachines)
}

func (b *batch) add(p *placement) {
	b.jobs[p.job], b.machines[p.m] = true, true
	b.placements = append(b.placements, p)
	if p.m.reserved == p.job {
		p.m.reserved = nil
	}
}

func (c *Core) placeTasks(j *job, b *batch) {
	zones := j.zones()
	for {
		t, ok := j.next()
		if !ok {
			return
		}
		if !j.team.allows(j.spec.CPUs, j.spec.GPUs) {
			return // the limit holds, counting tasks that can't be seen
		}
		m := c.findMachine(j, zones, "")
		if m == nil {
			c.makeRoom(j)
			return
		}
		if !b.takes(j, m) {
			return
		}
		b.add(c.place(j, t, m, c.attempt()))
		zones[m.zone]++
	}
}

// placeGang places all missing tasks of a gang or none. A waiting attempt that
// lost a task gets a replacement with the same attempt number; a broken one is
// cleared away first.
func (c *Core) placeGang(j *job, b *batch) {
	if j.broken || (j.started && len(j.placements) > 0) {
		for p := range j.placements {
			if !p.checkpoint {
				c.stop(p, false)
			}
		}
		return
	}
	for p := range j.placements {
		if p.stop {
			return // an old attempt is still leaving
		}
	}
	missing := j.pending()
	if missing > b.c.set.Deployment.State.TxnOps*c.maxPer || !j.team.allows(float64(missing)*j.spec.CPUs, float64(missing)*j.spec.GPUs) {
		return
	}
	zones := []string{""}
	if j.spec.OneZone {
		zones = c.zonesByRoom(j)
	}
	if j.attempt == 0 {
		j.attempt = c.attempt()
	}
	for _, z := range zones {
		var got []*placement
		used := j.zones()
		fits := true
		machines := map[*machine]bool{}
		for t := int32(0); t < int32(j.spec.Tasks) && fits; t++ {
			if j.count[t] > 0 {
				continue
			}
			m := c.findMachine(j, used, z)
			if m != nil {
				machines[m] = true
			}
			if m == nil || !b.takes(j, m) || len(machines) > b.maxMachines-len(b.machines) && !b.machines[m] {
				fits = false
				break
			}
			got = append(got, c.place(j, t, m, j.attempt))
			used[m.zone]++
		}
		if fits {
			for _, p := range got {
				b.add(p)
			}
			return
		}
		attempt := j.attempt
		for _, p := range got {
			c.free(p)
		}
		j.attempt = attempt
	}
	c.makeRoom(j)
}

// zonesByRoom lists the zones for a one-zone job, the one with most room first.
func (c *Core) zonesByRoom(j *job) []string {
	roomIn := map[string]float64{}
	for _, m := range c.machines {
		if allowed(j, m) && c.usable(m) && room(j, m, 1) {
			roomIn[m.zone] += m.kind.CPUs - m.cpus + 1/(1+c.score(j, m))
		}
	}
	zs := make([]string, 0, len(roomIn))
	for z := range roomIn {
		zs = append(zs, z)
	}
	sort.Slice(zs, func(a, b int) bool {
		if j.spec.Tasks == 1 { // a lone task goes where it starts first
			ma, mb := c.findMachine(j, nil, zs[a]), c.findMachine(j, nil, zs[b])
			if ma != nil && mb != nil && c.score(j, ma) != c.score(j, mb) {
				return c.score(j, ma) < c.score(j, mb)
			}
		}
		if roomIn[zs[a]] != roomIn[zs[b]] {
			return roomIn[zs[a]] > roomIn[zs[b]]
		}
		return zs[a] < zs[b]
	})
	return zs
}

// Committed says that the batch is durable: its launches may be sent.
func (c *Core) Committed(cm *Commit, revision uint64, now Micros) {
	c.now = now
	c.commit = nil
	for _, h := range cm.Hosts {
		m := c.machines[h.Host]
		if m == nil {
			continue
		}
		m.version, m.recorded = revision, true
	}
	for _, p := range cm.placements {
		if _, ok := p.job.placements[p]; !ok {
			continue
		}
		p.stored = true
		c.Stats.Launches++
		// The session changed or the machine left while the record was being
		// stored: the launch was never sent and never will be.
		if p.m.session != sessionIn(cm, p.m.host) || p.m.lost || p.stop || p.job.over() {
			c.free(p)
		}
	}
}

func sessionIn(cm *Commit, host string) uint64 {
	for _, h := range cm.Hosts {
		if h.Host == host {
			return h.Record.Session
		}
	}
	return 0
}

// Refused says that the batch was not stored and never will be.
func (c *Core) Refused(cm *Commit, now Micros) {
	c.now = now
	c.commit = nil
	for _, p := range cm.placements {
		c.free(p)
	}
}

// SetVersion corrects the version of a machine's record after a conflict.
func (c *Core) SetVersion(host string, version uint64) {
	if m := c.machines[host]; m != nil {
		m.version = version
	}
}

// tend looks after machines and tasks as time passes.
func (c *Core) tend() {
	expiry := c.lease + c.lease/1000 + second/2 // the workers' clocks may be 0.05% slow, and ours fast
	pushes := 0
	for _, m := range c.machines {
		if m.up && !m.confirmed && !m.lost && !m.returning && m.addr != "" && m.session > 0 && pushes < 16 &&
			c.now-c.since > 2*second && c.now-m.pushed > 2*second {
			// It may still report to an older overseer that is cut off from us
			// and keeps it. Once its worker has seen this token it drops that
			// one's answers and finds its way here.
			m.pushed = c.now
			pushes++
			c.direct = append(c.direct, Direct{m.addr, wire.DirectOrders{Token: c.token, Session: m.session}})
		}
		if m.reserved != nil && (c.now >= m.reservedTill || m.reserved.over() || m.reserved.pending() == 0) {
			m.reserved = nil
		}
		if m.confirmed && !m.lost && c.now-m.lastHello > expiry {
			// As far as this node can tell the lease ran out. But while the
			// state service is out of reach a peer may renew leases under this
			// term's token, so time proves nothing: the machine is returned,
			// and its tasks are freed when that is confirmed.
			m.lost, m.confirmed = true, false
			c.Stats.LeasesLost++
			c.log("lease ran out", "host", m.host, "tasks", m.n)
		}
		if m.recallAt > 0 && m.confirmed {
			c.drain(m)
		}
	}
	for _, j := range c.jobs {
		if j.gang() && j.broken {
			for p := range j.placements {
				if !p.checkpoint {
					c.stop(p, false)
				}
			}
		}
	}
}

// drain stops tasks of a machine that will be taken and can't end in time, late
// enough to save as much as possible.
func (c *Core) drain(m *machine) {
	left := m.recallAt - c.now
	m.each(func(p *placement) {
		if p.stop || !p.seen {
			return
		}
		j := p.job
		remaining := j.estimate()
		if p.running > 0 {
			remaining -= c.now - p.running
		}
		if remaining > 0 && remaining < left-2*second && !j.gang() {
			return
		}
		saves := j.spec.CheckpointEvery > 0
		if saves && left < config.Micro(j.spec.SaveS)+5*second {
			for q := range j.placements {
				if q == p || j.gang() {
					c.stop(q, true)
				}
			}
		} else if !saves && !j.gang() {
			c.stop(p, false)
		}
	})
}

// Waiting reports how many tasks wait, for logs and metrics.
func (c *Core) Waiting() (jobs, tasks int) {
	for _, j := range c.jobs {
		if n := j.pending(); n > 0 {
			jobs++
			tasks += n
		}
	}
	return
}

// maySave says whether stopping the task with grace keeps its progress.
func maySave(j *job) bool { return j.spec.CheckpointEvery > 0 && j.spec.Shape != wire.Service }
