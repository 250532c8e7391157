package sched

import (
	"sort"

	"dalefront/internal/config"
)

// victim is a task, or a whole gang, that might make room on a machine.
type victim struct {
	tasks      []*placement // all that stop
	here       int          // how many of them are on the machine
	dump       Micros       // size over write bandwidth
	overhead   Micros       // dump, restore and wait behind the machine's queue
	progress   Micros
	checkpoint bool
	cost       Micros
}

func gbTime(gb, bw float64) Micros { return Micros(gb / max(bw, 0.001) * float64(second)) }

// weigh applies the paper's rule: a victim whose progress exceeds dump, restore
// and queue time is checkpointed, another one is killed.
func (c *Core) weigh(p *placement, queue Micros) victim {
	j := p.job
	v := victim{tasks: []*placement{p}, here: 1}
	if j.gang() { // gangs go whole
		v.tasks, v.here = nil, 0
		for q := range j.placements {
			v.tasks = append(v.tasks, q)
			if q.m == p.m {
				v.here++
			}
		}
	}
	v.dump = gbTime(j.spec.MemoryGB, c.bwWrite)
	v.overhead = v.dump + gbTime(j.spec.MemoryGB, c.bwRead) + queue
	v.progress = j.savedRun
	lost := Micros(0)
	if p.running > 0 {
		v.progress += c.now - p.running
		lost = c.now - p.running
	}
	v.checkpoint = maySave(j) && v.progress > v.overhead
	if v.checkpoint {
		v.cost = v.overhead
	} else {
		v.cost = lost
		if j.spec.CheckpointEvery > 0 {
			v.cost = min(lost, config.Micro(j.spec.CheckpointEvery))
		}
	}
	v.cost *= Micros(len(v.tasks))
	// Soft point: in a burst fresh tasks would be killed over and over, since
	// they look cheapest. Each eviction makes the job's tasks dearer.
	v.cost += Micros(j.evictions) * 5 * second
	return v
}

// evictable applies the protocol's "Preemption": lower priority, or work beyond
// its team's guarantee for a job within its own. Which of a team's jobs are
// beyond is decided by their arrival, as the aim counts it, and not by what runs
// at the moment: then jobs within are never evicted for that and jobs beyond
// never evict, and two teams can't go on stopping each other's work.
func (c *Core) evictable(p *placement, j *job) bool {
	v := p.job
	if p.stop || v == j || v.over() {
		return false
	}
	return v.rank < j.rank || (v.team != j.team && v.team.beyond() && !v.within && c.claims(j))
}

// claims says whether the job may have work of other teams stopped that they run
// beyond their guarantees.
func (c *Core) claims(j *job) bool {
	n := 1.0
	if j.gang() {
		n = float64(j.pending())
	}
	return j.within && j.team.guarantees(n*j.spec.CPUs, n*j.spec.GPUs)
}

const maxEvictions = 3

// mayEvict says whether the job has waited long enough and whether anything that
// it may evict can be running at all.
func (c *Core) mayEvict(j *job) bool {
	if j.waitSince == 0 || c.now-j.waitSince < c.evictAfter || c.now < j.noRoomTill {
		return false
	}
	lower := 0
	for r := 0; r < j.rank; r++ {
		lower += c.ranks[r]
	}
	if lower > 0 {
		return true
	}
	if !c.claims(j) {
		return false
	}
	for _, t := range c.teams {
		if t != j.team && t.beyond() && (t.cpus > eps || t.gpus > eps) {
			return true
		}
	}
	return false
}

// noRoom is how long a job for which nothing could be cleared is not tried again.
const noRoom = second

// makeRoom evicts for the job's next task, if it has waited long enough and may
// evict at all: victims from the one machine with the least total cost.
func (c *Core) makeRoom(j *job) {
	if !c.mayEvict(j) {
		return
	}
	reserved := 0
	usable := 0
	for _, m := range c.open {
		if m.reserved == j {
			reserved++
		}
		usable++
	}
	// Soft point: a guest's huge job would evict almost everything. A job may
	// clear at most a quarter of the machines at a time, and each only once its
	// last victims have gone.
	if reserved >= max(1, usable/4) || reserved >= j.pending() {
		return
	}
	zones := j.zones()
	var bestM *machine
	var best []victim
	var bestCost Micros
	for _, m := range c.open {
		if !allowed(j, m) || m.reserved != nil || !zoneOK(j, zones, m.zone) ||
			j.spec.CPUs > m.kind.CPUs+eps || j.spec.GPUs > m.kind.GPUs+eps || j.spec.MemoryGB > m.kind.MemoryGB+eps {
			continue
		}
		vs, ok := c.victims(j, m)
		if !ok {
			continue
		}
		cost := Micros(c.score(j, m) * float64(second))
		for _, v := range vs {
			cost += v.cost
		}
		if bestM == nil || cost < bestCost || (cost == bestCost && m.host < bestM.host) {
			bestM, best, bestCost = m, vs, cost
		}
	}
	if bestM == nil {
		j.noRoomTill = c.now + noRoom
		return
	}
	c.evict(j, bestM, best)
}

// evict carries out a choice of victims and keeps the machine for the job.
func (c *Core) evict(j *job, m *machine, best []victim) {
	longest := Micros(0)
	queue := Micros(0)
	for _, v := range best {
		if v.tasks[0].stop {
			continue // it goes already, for another machine of the same choice
		}
		c.Stats.Evictions += len(v.tasks)
		if v.checkpoint {
			c.Stats.Checkpoints++
			queue += max(v.dump, config.Micro(v.tasks[0].job.spec.SaveS))
			longest = queue
		} else {
			c.Stats.Kills++
		}
		v.tasks[0].job.evictions++
		c.log("evict", "for", j.id, "job", v.tasks[0].job.id, "tasks", len(v.tasks), "host", m.host,
			"checkpoint", v.checkpoint, "progress_us", v.progress, "overhead_us", v.overhead)
		for _, p := range v.tasks {
			p.evictee = true
			c.stop(p, v.checkpoint)
		}
	}
	m.reserved, m.reservedFor = j, 0
	m.reservedTill = c.now + longest + 10*second
}

// way is how a machine can come to have room for tasks of a gang.
type way struct {
	m       *machine
	slots   int
	after   Micros // until it has the room, if nothing is evicted
	victims []victim
	cost    Micros
}

// planEvery is how often it is decided anew which machines are kept for gangs.
const planEvery = second

// plan decides anew, now and then, which machines are kept for the gangs that
// lack room: first come, first served, but those that can still meet an aim come
// first. In each zone only one gang at a time keeps machines that it has to wait
// for; the others start when they fit.
func (c *Core) plan(gangs []*job) {
	if c.now-c.planned < planEvery {
		return
	}
	c.planned = c.now
	late := make(map[*job]bool, len(gangs))
	for _, j := range gangs {
		_, late[j] = j.start(c.now, 0)
	}
	sort.SliceStable(gangs, func(a, b int) bool {
		x, y := gangs[a], gangs[b]
		switch {
		case x.rank != y.rank:
			return x.rank > y.rank
		case x.within != y.within:
			return x.within
		case late[x] != late[y]:
			return late[y]
		}
		if a, b := x.pending(), y.pending(); a != b {
			return a < b
		}
		return x.arrival < y.arrival
	})
	taken := map[string]bool{}
	for _, j := range gangs {
		c.makeRoomForGang(j, j.pending(), taken)
	}
}

// waitedFor says whether the machine is kept for a gang that waits for it, and
// that has not had its turn in this plan: one that is served before may have it.
// Until then the machine stays kept, or small tasks would take it in between.
func (c *Core) waitedFor(m *machine) bool {
	return m.reservedFor > 0 && m.heldAt < c.planned
}

// makeRoomForGang finds the machines on which a waiting gang could start with
// the least cost, in one zone if it must, and keeps them for it: those with
// room, those where tasks end soon, and those where the paper's rule finds
// victims. Without that a large gang waits for ever for machines that small
// tasks keep filling. Two gangs never hold part of what the other needs: what is
// kept for one isn't looked at for the next.
func (c *Core) makeRoomForGang(j *job, missing int, taken map[string]bool) {
	used := j.zones()
	may := c.mayEvict(j)
	ways := map[string][]way{}
	for _, m := range c.open {
		if m.reserved == j && m.reservedFor > 0 {
			m.reserved = nil // chosen anew
		}
		if r := m.reserved; r != nil && r != j && c.now < m.reservedTill && r.rank >= j.rank && !c.waitedFor(m) {
			continue
		}
		if !allowed(j, m) || !zoneOK(j, used, m.zone) || slots(j, m.kind, 0, 0, 0) == 0 {
			continue
		}
		if w, ok := c.wayOn(j, m, may); ok {
			z := m.zone
			if !j.spec.OneZone {
				z = ""
			}
			ways[z] = append(ways[z], w)
		}
	}
	var best []way
	var bestCost Micros
	in := ""
	zones := make([]string, 0, len(ways))
	for z := range ways {
		zones = append(zones, z)
	}
	sort.Strings(zones)
	for _, z := range zones {
		ws := ways[z]
		// What is there at once, or can be cleared, comes before what has to be
		// waited for: one late machine makes all the others wait.
		sort.SliceStable(ws, func(a, b int) bool {
			x, y := ws[a], ws[b]
			if x.after > worthWaiting || y.after > worthWaiting {
				return x.after < y.after
			}
			return x.cost < y.cost
		})
		n, k, cost, last := 0, 0, Micros(0), Micros(0)
		for ; k < len(ws) && n < missing; k++ {
			n += ws[k].slots
			last = max(last, ws[k].after) // it starts with the last one
			if len(ws[k].victims) > 0 {
				cost += ws[k].cost
			}
		}
		cost += last * Micros(missing)
		// Small gangs go where few machines are left for them, and leave the
		// zones with many to large ones.
		for _, w := range ws[k:] {
			if w.after <= worthWaiting {
				cost += Micros(w.slots) * second
			}
		}
		if n >= missing && (best == nil || cost < bestCost) && !(taken[z] && last > worthWaiting) {
			best, bestCost, in = ws[:k], cost, z
		}
	}
	start, cleared := Micros(0), 0
	for _, w := range best {
		start = max(start, w.after)
		if len(w.victims) > 0 {
			cleared++
		}
	}
	if start > worthWaiting {
		taken[in] = true
	}
	// Soft point: a guest's huge job would evict almost everything.
	if cleared > max(1, len(c.open)/2) {
		return
	}
	for _, w := range best {
		if len(w.victims) > 0 && start <= worthWaiting {
			// Not before the rest is there: the room would stand idle, or be
			// filled by others and be cleared once more.
			c.evict(j, w.m, w.victims)
			continue
		}
		if w.m.reserved == j && w.m.reservedFor == 0 && c.now < w.m.reservedTill {
			continue // cleared for it
		}
		w.m.reserved, w.m.reservedFor, w.m.heldAt = j, c.now+max(start, 1), c.now
		w.m.reservedTill = c.now + start + 5*second
	}
}

// wayOn says how the machine could take tasks of a gang: now, by waiting, or by
// evicting, whichever costs less.
func (c *Core) wayOn(j *job, m *machine, may bool) (way, bool) {
	w := way{m: m, slots: slots(j, m.kind, m.cpus, m.gpus, m.mem)}
	like := Micros(c.score(j, m) * float64(second))
	if m.reserved == j && m.reservedFor == 0 {
		like = 0 // cleared for it
	}
	if w.slots > 0 {
		w.cost = like
		return w, j.spec.GPUs > 0 || m.kind.GPUs == 0 || c.mayBlockGPUs(j, m)
	}
	// By waiting: the tasks that are expected to end first.
	type end struct {
		at Micros
		j  *job
	}
	var ends []end
	m.each(func(p *placement) {
		left := Micros(0)
		switch {
		case p.stop:
			left = second
		case p.job.spec.EstimateS == 0:
			left = 3600 * second
		default:
			// Later than expected is likely to be a while later still.
			left = p.job.estimate() + Micros(c.fetch(p.job, m)*float64(second))
			if p.running > 0 {
				left = max(p.job.estimate()-(c.now-p.running), p.job.estimate()/4)
			}
		}
		ends = append(ends, end{left, p.job})
	})
	sort.Slice(ends, func(a, b int) bool { return ends[a].at < ends[b].at })
	cpus, gpus, mem := m.cpus, m.gpus, m.mem
	for _, e := range ends {
		cpus, gpus, mem = cpus-e.j.spec.CPUs, gpus-e.j.spec.GPUs, mem-e.j.spec.MemoryGB
		if w.slots = slots(j, m.kind, cpus, gpus, mem); w.slots > 0 {
			w.after = e.at
			break
		}
	}
	if w.slots == 0 {
		return w, false
	}
	w.cost = like + w.after
	if !may || w.after <= worthWaiting {
		return w, true
	}
	vs, ok := c.victims(j, m)
	if !ok {
		return w, true
	}
	cost := Micros(0)
	for _, v := range vs {
		// By what the victim takes of the machine: a gang's task makes many
		// small ones go.
		s := &v.tasks[0].job.spec
		part := s.CPUs / max(m.kind.CPUs, eps)
		if m.kind.GPUs > 0 {
			part = max(part, s.GPUs/m.kind.GPUs)
		}
		cost += Micros(float64(v.cost) * part)
	}
	w.victims, w.after, w.cost, w.slots = vs, 0, like+cost, 1
	return w, true
}

// worthWaiting is how long a gang rather waits for a machine than evicts. Longer
// waits come to nothing: while it waits, small tasks fill what has become free.
const worthWaiting = 3 * second

// victims picks the cheapest victims on the machine, by checkpoint time, that
// make room for one task of the job.
func (c *Core) victims(j *job, m *machine) ([]victim, bool) {
	var cand []victim
	seen := map[*job]bool{}
	queue := Micros(0)
	cpus, gpus, mem := m.kind.CPUs-m.cpus, m.kind.GPUs-m.gpus, m.kind.MemoryGB-m.mem
	tcpus, tgpus := j.spec.CPUs, j.spec.GPUs
	m.each(func(p *placement) {
		if p.stop {
			// already leaving: its room counts, its save is ahead in the queue
			cpus += p.job.spec.CPUs
			gpus += p.job.spec.GPUs
			mem += p.job.spec.MemoryGB
			if p.checkpoint {
				queue += config.Micro(p.job.spec.SaveS)
			}
			return
		}
		if !c.evictable(p, j) || seen[p.job] && p.job.gang() || p.job.evictions >= maxEvictions*max(1, len(p.job.placements)) {
			return
		}
		seen[p.job] = true
		cand = append(cand, c.weigh(p, 0))
	})
	sort.Slice(cand, func(a, b int) bool {
		x, y := cand[a], cand[b]
		if x.tasks[0].job.rank != y.tasks[0].job.rank {
			return x.tasks[0].job.rank < y.tasks[0].job.rank
		}
		if x.dump != y.dump {
			return x.dump < y.dump
		}
		if x.cost != y.cost {
			return x.cost < y.cost
		}
		return x.tasks[0].attempt < y.tasks[0].attempt
	})
	var out []victim
	for _, v := range cand {
		if tcpus <= cpus+eps && tgpus <= gpus+eps && j.spec.MemoryGB <= mem+eps {
			break
		}
		s := v.tasks[0].job.spec
		cpus += float64(v.here) * s.CPUs
		gpus += float64(v.here) * s.GPUs
		mem += float64(v.here) * s.MemoryGB
		v = c.weigh(v.tasks[0], queue)
		if v.checkpoint {
			queue += max(v.dump, config.Micro(s.SaveS))
		}
		out = append(out, v)
	}
	return out, len(out) > 0 && tcpus <= cpus+eps && tgpus <= gpus+eps && j.spec.MemoryGB <= mem+eps
}
