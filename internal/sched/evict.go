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
// its team's guarantee when the claimant's team is within its own.
func (c *Core) evictable(p *placement, j *job) bool {
	if p.stop || !p.stored || p.job == j || p.job.over() {
		return false
	}
	if p.job.rank < j.rank {
		return true
	}
	return p.job.team != j.team && p.job.team.beyond() && j.team.guarantees(j.spec.CPUs, j.spec.GPUs)
}

const maxEvictions = 3

// makeRoom evicts for the job's next task, if it has waited long enough and may
// evict at all: victims from the one machine with the least total cost.
func (c *Core) makeRoom(j *job) {
	if j.waitSince == 0 || c.now-j.waitSince < c.evictAfter || c.now < c.backoff[j.id] {
		return
	}
	reserved := 0
	usable := 0
	for _, m := range c.machines {
		if m.reserved == j {
			reserved++
		}
		if c.usable(m) {
			usable++
		}
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
	for _, m := range c.machines {
		if !allowed(j, m) || !c.usable(m) || m.reserved != nil || !zoneOK(j, zones, m.zone) ||
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
		return
	}
	longest := Micros(0)
	queue := Micros(0)
	for _, v := range best {
		c.Stats.Evictions += len(v.tasks)
		if v.checkpoint {
			c.Stats.Checkpoints++
			queue += max(v.dump, config.Micro(v.tasks[0].job.spec.SaveS))
			longest = queue
		} else {
			c.Stats.Kills++
		}
		v.tasks[0].job.evictions++
		c.log("evict", "for", j.id, "job", v.tasks[0].job.id, "tasks", len(v.tasks), "host", bestM.host,
			"checkpoint", v.checkpoint, "progress_us", v.progress, "overhead_us", v.overhead)
		for _, p := range v.tasks {
			p.evictee = true
			c.stop(p, v.checkpoint)
		}
	}
	bestM.reserved = j
	bestM.reservedTill = c.now + longest + 10*second
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
