package sched

import (
	"cmp"

	"dalefront/internal/config"
)

// considered is a task that might make way, with what the order of victims goes by.
type considered struct {
	p          *placement
	dump, cost Micros
	taken      bool
}

// before is the order of victims that are no gangs: as victims sorts them.
func (a *considered) before(b *considered) bool {
	return cmp.Or(
		cmp.Compare(a.p.job.rank, b.p.job.rank),
		cmp.Compare(a.dump, b.dump),
		cmp.Compare(a.cost, b.cost),
		cmp.Compare(a.p.attempt, b.p.attempt),
		cmp.Compare(a.p.task, b.p.task),
	) < 0
}

// evictionCost is what the victims that victims would pick on the machine cost together, and
// whether they make room. At a full site every task that waits asks this of all machines, and
// mostly one victim is enough: nothing is sorted or allocated here.
func (c *Core) evictionCost(j *job, m *machine) (Micros, bool) {
	cpus, gpus, memory := m.kind.CPUs-m.cpus, m.kind.GPUs-m.gpus, m.kind.MemoryGB-m.mem
	queue := Micros(0)
	all := c.considered[:0]
	for _, p := range m.placed {
		if _, there := p.job.placements[p]; !there {
			continue
		}
		if p.stop {
			cpus, gpus, memory = cpus+p.job.spec.CPUs, gpus+p.job.spec.GPUs, memory+p.job.spec.MemoryGB
			if p.checkpoint {
				queue += config.Micro(p.job.spec.SaveS)
			}
			continue
		}
		if !c.mayGo(p, j) {
			continue
		}
		if p.job.gang() {
			return c.sumOfVictims(j, m) // they go whole, from other machines too
		}
		v := victim{size: 1, here: 1}
		c.judgeBy(&v, p, 0)
		all = append(all, considered{p: p, dump: v.dump, cost: v.cost})
	}
	c.considered = all
	total := Micros(0)
	picked := false
	for j.spec.CPUs > cpus+eps || j.spec.GPUs > gpus+eps || j.spec.MemoryGB > memory+eps {
		next := cheapest(all)
		if next == nil {
			return 0, false
		}
		next.taken, picked = true, true
		s := &next.p.job.spec
		cpus, gpus, memory = cpus+s.CPUs, gpus+s.GPUs, memory+s.MemoryGB
		v := victim{size: 1, here: 1}
		c.judgeBy(&v, next.p, queue)
		if v.checkpoint {
			queue += max(v.dump, config.Micro(s.SaveS))
		}
		total += v.cost
	}
	return total, picked
}

// cheapest is the first of those not taken yet, nil for none.
func cheapest(all []considered) (first *considered) {
	for i := range all {
		if x := &all[i]; !x.taken && (first == nil || x.before(first)) {
			first = x
		}
	}
	return first
}

// sumOfVictims is the same from the victims themselves.
func (c *Core) sumOfVictims(j *job, m *machine) (total Micros, ok bool) {
	victims, ok := c.victims(j, m)
	if !ok {
		return 0, false
	}
	for _, v := range victims {
		total += v.cost
	}
	return total, true
}
