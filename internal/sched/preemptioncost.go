package sched

import (
	"cmp"

	"dalefront/internal/config"
)

// victimCandidate is a task that might make way, with what the order of victims goes by.
type victimCandidate struct {
	p          *placement
	dump, cost Micros
	taken      bool
}

// before is the order of victims that are no gangs: as victims sorts them.
func (a *victimCandidate) before(b *victimCandidate) bool {
	return cmp.Or(
		cmp.Compare(a.p.job.rank, b.p.job.rank),
		cmp.Compare(a.dump, b.dump),
		cmp.Compare(a.cost, b.cost),
		cmp.Compare(a.p.attempt, b.p.attempt),
		cmp.Compare(a.p.taskIndex, b.p.taskIndex),
	) < 0
}

// preemptionCost is what the victims that victims would pick on the machine cost together, and
// whether they make room. At a full site every task that waits asks this of all machines, and
// mostly one victim is enough: nothing is sorted or allocated here.
func (ps *pass) preemptionCost(j *job, m *machine) (Micros, bool) {
	cpus, gpus, memory := m.machineType.CPUs-m.usedCPUs, m.machineType.GPUs-m.usedGPUs, m.machineType.MemoryGB-m.usedMemoryGB
	queue := Micros(0)
	all := ps.victimCandidates[:0]
	for _, p := range m.placements {
		if _, there := p.job.placements[p]; !there {
			continue
		}
		if p.stopping {
			cpus, gpus, memory = cpus+p.job.spec.CPUs, gpus+p.job.spec.GPUs, memory+p.job.spec.MemoryGB
			if p.checkpointing {
				queue += config.Micro(p.job.spec.CheckpointDurationS)
			}
			continue
		}
		if !ps.mayBeVictim(p, j) {
			continue
		}
		if p.job.isGang() {
			return ps.victimCostSum(j, m) // they go whole, from other machines too
		}
		v := victim{size: 1, here: 1}
		ps.chooseCheckpoint(&v, p, 0)
		all = append(all, victimCandidate{p: p, dump: v.dump, cost: v.cost})
	}
	ps.victimCandidates = all
	total := Micros(0)
	picked := false
	for j.spec.CPUs > cpus+epsilon || j.spec.GPUs > gpus+epsilon || j.spec.MemoryGB > memory+epsilon {
		next := cheapest(all)
		if next == nil {
			return 0, false
		}
		next.taken, picked = true, true
		s := &next.p.job.spec
		cpus, gpus, memory = cpus+s.CPUs, gpus+s.GPUs, memory+s.MemoryGB
		v := victim{size: 1, here: 1}
		ps.chooseCheckpoint(&v, next.p, queue)
		if v.checkpoint {
			queue += max(v.dump, config.Micro(s.CheckpointDurationS))
		}
		total += v.cost
	}
	return total, picked
}

// cheapest is the first of those not taken yet, nil for none.
func cheapest(all []victimCandidate) (first *victimCandidate) {
	for i := range all {
		if x := &all[i]; !x.taken && (first == nil || x.before(first)) {
			first = x
		}
	}
	return first
}

// victimCostSum is the same from the victims themselves.
func (ps *pass) victimCostSum(j *job, m *machine) (total Micros, ok bool) {
	victims, ok := ps.victims(j, m)
	if !ok {
		return 0, false
	}
	for _, v := range victims {
		total += v.cost
	}
	return total, true
}
