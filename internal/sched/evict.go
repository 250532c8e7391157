package sched

import (
	"sort"

	"dalefront/internal/config"
)

// victim is a task, or a whole gang, that might make room on a machine.
type victim struct {
	tasks      []*placement // all that stop
	size       int          // how many these are
	here       int          // how many of them are on the machine
	dump       Micros       // size over write bandwidth
	overhead   Micros       // dump, restore and wait behind the machine's queue
	progress   Micros
	checkpoint bool
	cost       Micros
}

func gbTime(gb, bw float64) Micros { return Micros(gb / max(bw, 0.001) * float64(second)) }

// weigh is what a task's eviction takes with it and costs, if no save is ahead of its.
func (c *Core) weigh(p *placement) victim {
	j := p.job
	v := victim{tasks: []*placement{p}, size: 1, here: 1}
	if j.gang() { // gangs go whole
		v.tasks, v.here = nil, 0
		for q := range j.placements {
			v.tasks = append(v.tasks, q)
			if q.m == p.m {
				v.here++
			}
		}
		v.size = len(v.tasks)
	}
	c.judgeBy(&v, p, 0)
	return v
}

// judgeBy applies the paper's rule, by the progress of one of the victim's tasks: if it
// exceeds dump, restore and queue time the victim is checkpointed, otherwise killed.
func (c *Core) judgeBy(v *victim, p *placement, queue Micros) {
	j := p.job
	v.dump = gbTime(j.spec.MemoryGB, c.bwWrite)
	v.overhead = v.dump + gbTime(j.spec.MemoryGB, c.bwRead) + queue
	v.progress = j.savedRun
	lost := Micros(0)
	if p.running > 0 {
		v.progress += c.now - p.running
		lost = c.now - p.running
	}
	v.checkpoint = maySave(j) && (v.progress > v.overhead || c.eviction == config.EvictCheckpoint) && c.eviction != config.EvictKill
	if v.checkpoint {
		v.cost = v.overhead
	} else {
		v.cost = lost
		if j.spec.CheckpointEvery > 0 {
			v.cost = min(lost, config.Micro(j.spec.CheckpointEvery))
		}
	}
	v.cost *= Micros(v.size)
	// Soft point: in a burst fresh tasks would be killed over and over, since
	// they look cheapest. Each eviction makes the job's tasks dearer.
	v.cost += Micros(j.evictions) * 5 * second
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

// settled says whether nearly all machines that are up have confirmed the term, or have
// had the time to. Before, a job seems to have no room only because the machines that
// have some have not reported yet, and what made way for it would have done so in vain:
// when leaders end every few seconds, again and again.
func (c *Core) settled() bool {
	if c.now-c.since > config.Micro(1.25*c.set.Deployment.Workers.ReportS)+second {
		return true
	}
	up, heard := 0, 0
	for _, m := range c.order {
		if m.up && !m.lost && !m.failed && !m.returning {
			up++
			if m.confirmed {
				heard++
			}
		}
	}
	return heard*10 >= up*9
}

// mayEvict says whether the job has waited long enough and whether anything that
// it may evict can be running at all.
func (c *Core) mayEvict(j *job) bool {
	if !c.calm || c.eviction == config.EvictNone || c.byArrival || j.suspect() || j.waitSince == 0 || c.now-j.waitSince < c.evictAfter || c.now < j.noRoomTill {
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

const (
	// mostLooks bounds how many machines are looked at for victims, or for gangs, in a
	// pass.
	mostLooks = 200_000
	// minClearings is how many jobs may have room cleared for them in a pass at any size of site.
	minClearings = 4
)

// maxClearings is how many jobs may each look at all machines for victims in a pass.
func (c *Core) maxClearings() int { return max(minClearings, mostLooks/max(1, len(c.open))) }

// noRoom is how long a job for which nothing could be cleared is not tried again.
const noRoom = second

// makeRoom evicts for the job's next task, if it has waited long enough and may
// evict at all: victims from the one machine with the least total cost.
func (c *Core) makeRoom(j *job) {
	// Each look goes over all machines; those who don't get one have it in a later pass.
	if !c.mayEvict(j) || c.cleared > c.maxClearings() {
		return
	}
	c.cleared++
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
	zones, claims := j.zones(), c.claims(j)
	var bestM *machine
	var bestCost Micros
	for _, m := range c.open {
		if !allowed(j, m) || m.reserved != nil || !zoneOK(j, zones, m.zone) ||
			j.spec.CPUs > m.kind.CPUs+eps || j.spec.GPUs > m.kind.GPUs+eps || j.spec.MemoryGB > m.kind.MemoryGB+eps {
			continue
		}
		if u := m.below(j.rank); !claims && slots(j, m.kind, m.cpus-u.cpus, m.gpus-u.gpus, m.mem-u.mem) == 0 {
			continue // not with all of them gone
		}
		evictions, ok := c.evictionCost(j, m)
		if !ok {
			continue
		}
		cost := Micros(c.score(j, m)*float64(second)) + evictions
		if bestM == nil || cost < bestCost || (cost == bestCost && m.host < bestM.host) {
			bestM, bestCost = m, cost
		}
	}
	if bestM == nil {
		j.noRoomTill = c.now + noRoom
		return
	}
	best, _ := c.victims(j, bestM)
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

// mayGo says whether the task may make way for the job, and its job was not evicted too often.
func (c *Core) mayGo(p *placement, j *job) bool {
	return c.evictable(p, j) && p.job.evictions < maxEvictions*max(1, len(p.job.placements))
}

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
		if seen[p.job] && p.job.gang() || !c.mayGo(p, j) {
			return
		}
		seen[p.job] = true
		cand = append(cand, c.weigh(p))
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
		if x.tasks[0].attempt != y.tasks[0].attempt {
			return x.tasks[0].attempt < y.tasks[0].attempt
		}
		return x.tasks[0].task < y.tasks[0].task // of one job: the same each time
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
		byTask(v.tasks)
		c.judgeBy(&v, v.tasks[0], queue)
		if v.checkpoint {
			queue += max(v.dump, config.Micro(s.SaveS))
		}
		out = append(out, v)
	}
	return out, len(out) > 0 && tcpus <= cpus+eps && tgpus <= gpus+eps && j.spec.MemoryGB <= mem+eps
}
