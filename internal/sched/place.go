package sched

import (
	"container/heap"
	"math"
	"slices"
	"sort"

	"dalefront/internal/config"
	"dalefront/wire"
)

// usable says whether the machine may get launches now. Only a machine whose
// worker has confirmed this term's token in its present session is known well
// enough.
func (c *Core) usable(m *machine) bool {
	return m.confirmed && !m.returning && !m.lost && !m.failed && !m.bad && m.recallAt == 0 && m.cordon == nil &&
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

// share is how many tasks of a job that is to be spread may be in one zone.
func (j *job) share() int { return (j.spec.Tasks + 1) / 2 }

// zoneOK applies SamePlace and Spread, counting every task that may be placed.
func zoneOK(j *job, zones map[string]int, zone string) bool {
	if j.spec.OneZone {
		for z, n := range zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !j.spec.Spread || zones[zone] < j.share()
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
		if c.ordinary[m.kind.Name] {
			s += 30 // and these wait
		}
	}
	if (m.kind.GPUs > 0 && j.spec.GPUs == 0) || c.contested(j, m) {
		s += 12 // where it would have to make way before long
	}
	if m.slow > 2 {
		s += 15 * (m.slow - 2) // well beyond wrong estimates
	}
	if m.kind.CPUs > 0 {
		s += 4 * (m.kind.CPUs - m.cpus - j.spec.CPUs) / m.kind.CPUs // fill machines
	}
	return s
}

// contested says whether a class of higher priority uses machines of the type:
// there a task is likely to be stopped, and its stop keeps the others waiting.
func (c *Core) contested(j *job, m *machine) bool {
	for _, cl := range c.ranking {
		if cl.sample.rank > j.rank && fitsType(&cl.sample.spec, m.kind) {
			return true
		}
	}
	return false
}

// limited says whether its team's limit keeps the job from starting anything now.
func (j *job) limited() bool {
	n := 1.0
	if j.gang() {
		n = float64(j.pending())
	}
	return !j.team.allows(n*j.spec.CPUs, n*j.spec.GPUs)
}

// view lists, once a pass, the classes by what they may use, and the jobs that
// wait within their teams' guarantees, one of each class and zone.
func (c *Core) view(queue []*job) {
	c.ranking, c.claimants = c.ranking[:0], c.claimants[:0]
	for _, cl := range c.eachClass() {
		if cl.sample != nil && cl.sample.rank > 0 && cl.perSecond(c.now) > 0.001 {
			c.ranking = append(c.ranking, cl)
		}
	}
	for _, j := range queue {
		if len(c.claimants) == mostClaimants {
			break
		}
		if j.within && j.rank > 0 && !j.suspect() && !j.limited() && !slices.ContainsFunc(c.claimants, func(o *job) bool {
			return o.class == j.class && o.spec.Zone == j.spec.Zone && o.spec.Spot == j.spec.Spot
		}) {
			c.claimants = append(c.claimants, j)
		}
	}
}

const mostClaimants = 8

// claimed says whether work of higher priority that waits within its team's
// guarantee could use the machine right now. Work that is not guaranteed anything
// would fill it up again as often as it is cleared, and the claimant waits on.
func (c *Core) claimed(j *job, m *machine) bool {
	if len(c.claimants) == 0 || c.neglected(j) {
		return false
	}
	for _, o := range c.claimants {
		if o.rank > j.rank && allowed(o, m) && room(o, m, 1) {
			return true
		}
	}
	return false
}

// preference is the score, with what the job's own failures on the machine add.
func (c *Core) preference(j *job, m *machine) float64 {
	s := c.score(j, m)
	if j.errorHosts[m.host] {
		s += 300
	}
	return s
}

// findMachine returns the best machine for a task now.
func (c *Core) findMachine(j *job, zones map[string]int, only string) *machine {
	var best *machine
	bestScore := math.Inf(1)
	for _, m := range c.roomy { // in the order of their names
		if (only != "" && m.zone != only) || !c.takesMore(j, m, zones) || c.heldFrom(j, m) {
			continue
		}
		if s := c.preference(j, m); s < bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

// takesMore says whether a usable machine may take another task of the job.
func (c *Core) takesMore(j *job, m *machine, zones map[string]int) bool {
	return j.rank >= m.wantedBy && room(j, m, 1) && allowed(j, m) && m.n < maxOnMachine && zoneOK(j, zones, m.zone) && !c.claimed(j, m) &&
		(j.spec.GPUs > 0 || m.kind.GPUs == 0 || c.byArrival || c.mayBlockGPUs(j, m))
}

// heldFrom says whether the machine is kept for another job. A task that is
// expected to be gone before that job can use it may run in the meantime.
func (c *Core) heldFrom(j *job, m *machine) bool {
	r := m.reserved
	if r == nil || r == j || c.now >= m.reservedTill || r.rank < j.rank || r.over() {
		return false
	}
	if r.rank == j.rank && r.within == j.within && j.behind() && !r.behind() {
		return false
	}
	neglected := c.neglected(j)
	if (m.reservedFor > c.now+worthWaiting || neglected) && r.rank > j.rank {
		return false // it is evicted when the gang's other machines are there
	}
	if neglected && m.n == 0 && c.now-m.idleSince > mostNeglect {
		return false // kept in vain for so long: that gang may wait for what can't be had
	}
	return m.reservedFor == 0 || j.spec.EstimateS == 0 || c.now+j.estimate()*3/2+Micros(c.fetch(j, m)*float64(second)) > m.reservedFor
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
			if j.placedAt == 0 {
				j.placedAt = c.now
			}
		}
	}
	type key struct {
		within, behind, late bool
		start                Micros
	}
	keys := make(map[*job]key, len(q))
	c.markWithin()
	c.reckon()
	// A class's capacity is reckoned from the first of its jobs: from another one each
	// second, as the oldest that waits is likely to be the one that may use the least.
	if slices.ContainsFunc(q, func(j *job) bool { return c.stale(j.class) }) {
		byID(q)
		at := int(c.now/second) % len(q)
		q = append(q[at:], q[:at]...)
	}
	for _, j := range q {
		// A large job needs the machines for a while: it has to start earlier to
		// be done in time, but when not all can be, it stands for one job only,
		// so it yields to as many small ones as that while would serve.
		work := Micros(float64(j.pending()) * j.spec.CPUs * float64(j.estimate()) / max(c.capacity(j), 1))
		start, late := j.start(c.now, work)
		keys[j] = key{j.within, j.behind(), late, start + yield*work}
	}
	sort.Slice(q, func(a, b int) bool {
		x, y := q[a], q[b]
		kx, ky := keys[x], keys[y]
		switch {
		case c.byArrival && x.arrival != y.arrival:
			return x.arrival < y.arrival
		case c.byArrival:
			return x.id < y.id
		case x.rank != y.rank:
			return x.rank > y.rank
		case kx.within != ky.within:
			return kx.within
		case kx.behind != ky.behind:
			return kx.behind
		case kx.late != ky.late:
			return !kx.late
		case kx.start != ky.start:
			return kx.start < ky.start
		}
		return x.id < y.id
	})
	return q
}

// yield is how many times over a job's work counts against it: estimates are often
// wrong and more jobs are yet to come, so what is short is served first.
const yield = 3

// stale says whether a class's capacity is to be summed up anew.
func (c *Core) stale(cl *class) bool { return cl.capacityAt == 0 || c.now-cl.capacityAt >= second }

// capacity is how many CPUs the jobs of a class have between them: those of the
// machines that they may use, without what higher ranks take there. It is summed
// up anew every second.
func (c *Core) capacity(j *job) float64 {
	cl := j.class
	if !c.stale(cl) {
		return cl.capacity
	}
	cl.capacity, cl.capacityAt = 0, c.now
	for _, m := range c.open {
		if !allowed(j, m) || slots(j, m.kind, 0, 0, 0) == 0 || (m.kind.GPUs > 0 && j.spec.GPUs == 0) {
			continue
		}
		cl.capacity += m.kind.CPUs
		for _, u := range m.byRank[j.rank+1:] {
			cl.capacity -= u.cpus
		}
	}
	return cl.capacity
}

// markWithin marks the jobs that fit their teams' guarantees together with the
// teams' earlier unfinished jobs: these need not wait on other teams.
func (c *Core) markWithin() {
	of := map[*team][]*job{}
	for _, j := range c.jobs {
		j.within = false
		if !j.over() && (j.team.CPUs > 0 || j.team.GPUs > 0) {
			of[j.team] = append(of[j.team], j)
		}
	}
	for t, js := range of {
		sort.Slice(js, func(a, b int) bool {
			if js[a].arrival != js[b].arrival {
				return js[a].arrival < js[b].arrival
			}
			return js[a].id < js[b].id
		})
		cpus, gpus := 0.0, 0.0
		for _, j := range js {
			n := float64(j.spec.Tasks - j.doneCount)
			cpus += n * j.spec.CPUs
			gpus += n * j.spec.GPUs
			j.within = (t.CPUs == 0 || cpus <= t.CPUs+eps) && (t.GPUs == 0 || gpus <= t.GPUs+eps)
			if !j.looked {
				j.looked, j.guaranteed = true, j.within
			}
		}
	}
}

// Schedule places what waits and returns a batch to be stored, or nil. Only one
// batch is outstanding at a time.
func (c *Core) Schedule(now Micros) *Commit {
	c.now = now
	c.tend()
	if c.commit != nil {
		return nil
	}
	if c.staged != nil {
		c.commit, c.staged = c.staged, nil
		return c.commit
	}
	b := c.newBatch()
	c.look()
	queue := c.queue()
	if i := slices.Index(queue, c.turn); i > 0 { // it needs the batch for itself
		copy(queue[1:i+1], queue[:i])
		queue[0] = c.turn
	}
	c.turn = nil
	c.viewGPUs(queue)
	c.view(queue)
	c.narrow(queue)
	c.cleared, c.calm = 0, c.settled()
	var gangs []*job // without room
	rank, held := len(c.ranks), 0
	for _, j := range queue {
		if now < j.notBefore {
			continue
		}
		if j.rank < rank {
			rank = j.rank
			c.holdBack(gangs[held:])
			held = len(gangs)
		}
		if !j.gang() {
			c.placeTasks(j, b)
		} else if !c.placeGang(j, b) && !j.suspect() {
			gangs = append(gangs, j)
		}
		if c.byArrival && j.pending() > 0 && !j.suspect() && j.team.allows(j.spec.CPUs, j.spec.GPUs) {
			break // first come, first served
		}
	}
	c.plan(gangs)
	c.tidyLedger(b)
	return c.close(b)
}

// look lists the machines that may get launches in this pass. Nothing that
// happens within a pass changes which these are.
func (c *Core) look() {
	c.open = c.open[:0]
	for _, m := range c.order {
		m.wantedBy = 0
		if c.usable(m) {
			m.at = len(c.open)
			c.open = append(c.open, m)
		}
	}
	c.roomy = c.open
}

// narrow leaves out, for this pass, the machines that have no room for even the least
// that a waiting job asks for: within a pass they only get fuller. When much waits
// nearly all are full, and each job would look at all of them.
func (c *Core) narrow(queue []*job) {
	smallest := nothing()
	for _, j := range queue {
		smallest.add(j)
	}
	c.roomy = nil
	for _, m := range c.open {
		if smallest.fits(m.kind, m.cpus, m.mem) && m.n < maxOnMachine {
			c.roomy = append(c.roomy, m)
		}
	}
}

// least is the least that a task of some jobs asks for: a machine without room for it
// has none for any of them.
type least struct{ cpus, mem float64 }

func nothing() least { return least{math.Inf(1), math.Inf(1)} }

func (l *least) add(j *job) { l.cpus, l.mem = min(l.cpus, j.spec.CPUs), min(l.mem, j.spec.MemoryGB) }

// fits says whether it fits a machine of the type of which so much is used.
func (l *least) fits(t *wire.MachineType, cpus, mem float64) bool {
	return cpus+l.cpus <= t.CPUs+eps && mem+l.mem <= t.MemoryGB+eps
}

// candidate is a machine that may take tasks of a job, by how much they would rather
// not go there.
type candidate struct {
	m     *machine
	score float64
	order int
}

// candidates is a heap, the best first, equal ones in the order of their names.
type candidates []candidate

func (h candidates) Len() int      { return len(h) }
func (h candidates) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h candidates) Less(a, b int) bool {
	return h[a].score < h[b].score || (h[a].score == h[b].score && h[a].order < h[b].order)
}
func (h *candidates) Push(x any) { *h = append(*h, x.(candidate)) }
func (h *candidates) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// candidates weighs all machines for a job once. While it is placed its tasks change
// the score of the machine that they fill alone, and that one is filled until it takes
// no more.
func (c *Core) candidates(j *job, zones map[string]int, only string) candidates {
	var out candidates
	for i, m := range c.roomy {
		if (only == "" || m.zone == only) && c.takesMore(j, m, zones) && !c.heldFrom(j, m) {
			out = append(out, candidate{m, c.preference(j, m), i})
		}
	}
	heap.Init(&out)
	return out
}

// best takes the best of the candidates that may still take a task, or returns nil.
func (c *Core) best(all *candidates, j *job, zones map[string]int) *machine {
	for len(*all) > 0 {
		if m := heap.Pop(all).(candidate).m; c.takesMore(j, m, zones) {
			return m
		} // its zone has had its share
	}
	return nil
}

// placeTasks fills machine after machine: the best one for a task is also the
// best for the job's next one, since it only gets fuller.
func (c *Core) placeTasks(j *job, b *batch) {
	zones := j.zones()
	var all candidates
	weighed := false
	attempt := uint64(0)
	tries := c.tries(j)
	for {
		if _, ok := j.next(); !ok || len(j.placements) >= tries {
			return
		}
		if j.limited() {
			return // the limit holds, counting tasks that can't be seen
		}
		if !weighed {
			all, weighed = c.candidates(j, zones, ""), true
		}
		m := c.best(&all, j, zones)
		if m == nil {
			c.makeRoom(j)
			return
		}
		if attempt == 0 {
			attempt = c.attempt()
		}
		var got []*placement
		for len(j.placements) < tries && b.takes(j, b.cost(m), 1, len(got)+1) && c.takesMore(j, m, zones) && j.team.allows(j.spec.CPUs, j.spec.GPUs) {
			t, ok := j.next()
			if !ok {
				break
			}
			got = append(got, c.place(j, t, m, attempt))
			zones[m.zone]++
		}
		if len(got) == 0 {
			return // the batch is full
		}
		b.add(got...)
	}
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
