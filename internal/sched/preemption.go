package sched

import (
	"sort"

	"dalefront/internal/config"
	"dalefront/wire"
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

func transferTime(gb, bw float64) Micros { return Micros(gb / max(bw, 0.001) * float64(second)) }

// weighVictim is what a task's eviction takes with it and costs, if no save is ahead of its.
// The task itself comes first, then the rest of its gang in no order.
func (ps *pass) weighVictim(p *placement) victim {
	j := p.job
	v := victim{tasks: []*placement{p}, size: 1, here: 1}
	if j.isGang() { // gangs go whole
		for q := range j.placements {
			if q == p {
				continue
			}
			v.tasks = append(v.tasks, q)
			if q.machine == p.machine {
				v.here++
			}
		}
		v.size = len(v.tasks)
	}
	ps.chooseCheckpoint(&v, p, 0)
	return v
}

// chooseCheckpoint applies the paper's rule, by the progress of one of the victim's tasks: if it
// exceeds dump, restore and queue time the victim is checkpointed, otherwise killed.
func (ps *pass) chooseCheckpoint(v *victim, p *placement, queue Micros) {
	j := p.job
	v.dump = transferTime(j.spec.MemoryGB, ps.core.bandwidth.write)
	v.overhead = v.dump + transferTime(j.spec.MemoryGB, ps.core.bandwidth.read) + queue
	v.progress = j.checkpointedRunTime
	lost := Micros(0)
	if p.runningSince > 0 {
		v.progress += ps.core.now - p.runningSince
		lost = ps.core.now - p.runningSince
	}
	v.checkpoint = canCheckpoint(j) && (v.progress > v.overhead || ps.core.preemptionPolicy == config.EvictCheckpoint) && ps.core.preemptionPolicy != config.EvictKill
	if v.checkpoint {
		v.cost = v.overhead
	} else {
		v.cost = lost
		if j.spec.CheckpointIntervalS > 0 {
			v.cost = min(lost, config.Micro(j.spec.CheckpointIntervalS))
		}
	}
	v.cost *= Micros(v.size)
	// Soft point: in a burst fresh tasks would be killed over and over, since
	// they look cheapest. Each eviction makes the job's tasks dearer.
	v.cost += Micros(j.preemptions) * 5 * second
}

// isPreemptible applies the protocol's "Preemption": lower priority, or work beyond
// its team's guarantee for a job within its own. Which of a team's jobs are
// beyond is decided by their arrival, as the aim counts it, and not by what runs
// at the moment: then jobs within are never evicted for that and jobs beyond
// never evict, and two teams can't go on stopping each other's work.
func (ps *pass) isPreemptible(p *placement, j *job) bool {
	v := p.job
	if p.stopping || v == j || v.isOver() {
		return false
	}
	return v.rank < j.rank || (v.team != j.team && v.team.exceedsGuarantee() && !v.withinGuarantee && ps.core.reclaimsGuarantee(j))
}

// reclaimsGuarantee says whether the job may have work of other teams stopped that they run
// beyond their guarantees.
func (c *Core) reclaimsGuarantee(j *job) bool {
	n := 1.0
	if j.isGang() {
		n = float64(j.pendingCount())
	}
	return j.withinGuarantee && j.team.withinGuarantee(n*j.spec.CPUs, n*j.spec.GPUs)
}

const maxEvictions = 3

// isFleetSettled says whether nearly all machines that are up have confirmed the term, or have
// had the time to. Before, a job seems to have no room only because the machines that
// have some have not reported yet, and what made way for it would have done so in vain:
// when leaders end every few seconds, again and again.
func (c *Core) isFleetSettled() bool {
	if c.now-c.termStart > config.Micro(1.25*c.settings.Deployment.Workers.ReportS)+second {
		return true
	}
	up, heard := 0, 0
	for _, m := range c.machines.all() {
		if m.registered && !m.leaseExpired && !m.failed && !m.scalingIn {
			up++
			if m.confirmed {
				heard++
			}
		}
	}
	return heard*10 >= up*9
}

// mayPreempt says whether the job has waited long enough and whether anything that
// it may evict can be running at all.
func (ps *pass) mayPreempt(j *job) bool {
	if !ps.fleetSettled || ps.core.preemptionPolicy == config.EvictNone || ps.core.firstComeFirstServed || j.isSuspect() || j.waitingSince == 0 || ps.core.now-j.waitingSince < ps.core.preemptAfter || ps.core.now < j.preemptionBackoffUntil {
		return false
	}
	if ps.core.jobs.placedBelow(j.rank) > 0 {
		return true
	}
	if !ps.core.reclaimsGuarantee(j) {
		return false
	}
	return ps.core.teams.any(func(t *team) bool {
		return t != j.team && t.exceedsGuarantee() && (t.usedCPUs > epsilon || t.usedGPUs > epsilon)
	})
}

const (
	// maxCandidateLooks bounds how many machines are looked at for victims, or for gangs, in a
	// pass.
	maxCandidateLooks = 200_000
	// minClearings is how many jobs may have room cleared for them in a pass at any size of site.
	minClearings = 4
)

// maxClearings is how many jobs may each look at all machines for victims in a pass.
func (ps *pass) maxClearings() int {
	return max(minClearings, maxCandidateLooks/max(1, len(ps.schedulable)))
}

// noRoom is how long a job for which nothing could be cleared is not tried again.
const noRoom = second

// preemptFor evicts for the job's next task, if it has waited long enough and may
// evict at all: victims from the one machine with the least total cost.
func (ps *pass) preemptFor(j *job) {
	// Each look goes over all machines; those who don't get one have it in a later pass.
	if !ps.mayPreempt(j) || ps.preemptionSearches > ps.maxClearings() {
		return
	}
	ps.preemptionSearches++
	reserved := 0
	usable := 0
	for _, m := range ps.schedulable {
		if m.reservedFor == j {
			reserved++
		}
		usable++
	}
	// Soft point: a guest's huge job would evict almost everything. A job may
	// clear at most a quarter of the machines at a time, and each only once its
	// last victims have gone.
	if reserved >= max(1, usable/4) || reserved >= j.pendingCount() {
		return
	}
	zones, claims := j.tasksByZone(), ps.core.reclaimsGuarantee(j)
	var bestM *machine
	var bestCost Micros
	for _, m := range ps.schedulable {
		if !allowed(j, m) || m.reservedFor != nil || !satisfiesZones(j, zones, m.zone) ||
			j.spec.CPUs > m.machineType.CPUs+epsilon || j.spec.GPUs > m.machineType.GPUs+epsilon || j.spec.MemoryGB > m.machineType.MemoryGB+epsilon {
			continue
		}
		if u := m.usedBelow(j.rank); !claims && slotsFor(j, m.machineType, m.usedCPUs-u.cpus, m.usedGPUs-u.gpus, m.usedMemoryGB-u.mem) == 0 {
			continue // not with all of them gone
		}
		evictions, ok := ps.preemptionCost(j, m)
		if !ok {
			continue
		}
		cost := Micros(ps.placementScore(j, m)*float64(second)) + evictions
		if bestM == nil || cost < bestCost || (cost == bestCost && m.host < bestM.host) {
			bestM, bestCost = m, cost
		}
	}
	if bestM == nil {
		j.preemptionBackoffUntil = ps.core.now + noRoom
		return
	}
	best, _ := ps.victims(j, bestM)
	ps.preempt(j, bestM, best)
}

// preempt carries out a choice of victims and keeps the machine for the job.
func (ps *pass) preempt(j *job, m *machine, best []victim) {
	longest := Micros(0)
	queue := Micros(0)
	for _, v := range best {
		if v.tasks[0].stopping {
			continue // it goes already, for another machine of the same choice
		}
		ps.core.Stats.Preemptions += len(v.tasks)
		if v.checkpoint {
			ps.core.Stats.Checkpoints++
			queue += max(v.dump, config.Micro(v.tasks[0].job.spec.CheckpointDurationS))
			longest = queue
		} else {
			ps.core.Stats.Kills++
		}
		v.tasks[0].job.preemptions++
		ps.core.log("evict", "for", j.id, "job", v.tasks[0].job.id, "tasks", len(v.tasks), "host", m.host,
			"checkpoint", v.checkpoint, "progress_us", v.progress, "overhead_us", v.overhead)
		for _, p := range v.tasks {
			p.preempted = true
			ps.core.stopPlacement(p, v.checkpoint)
		}
	}
	m.reservedFor, m.reservationStart = j, 0
	m.reservedUntil = ps.core.now + longest + 10*second
}

// mayBeVictim says whether the task may make way for the job, and its job was not evicted too often.
func (ps *pass) mayBeVictim(p *placement, j *job) bool {
	return ps.isPreemptible(p, j) && p.job.preemptions < maxEvictions*max(1, len(p.job.placements))
}

// victims picks the cheapest victims on the machine, by checkpoint time, that
// make room for one task of the job.
func (ps *pass) victims(j *job, m *machine) ([]victim, bool) {
	var cand []victim
	seen := map[*job]bool{}
	queue := Micros(0)
	cpus, gpus, mem := m.machineType.CPUs-m.usedCPUs, m.machineType.GPUs-m.usedGPUs, m.machineType.MemoryGB-m.usedMemoryGB
	tcpus, tgpus := j.spec.CPUs, j.spec.GPUs
	m.eachPlacement(func(p *placement) {
		if p.stopping {
			// already leaving: its room counts, its save is ahead in the queue
			cpus += p.job.spec.CPUs
			gpus += p.job.spec.GPUs
			mem += p.job.spec.MemoryGB
			if p.checkpointing {
				queue += config.Micro(p.job.spec.CheckpointDurationS)
			}
			return
		}
		if seen[p.job] && p.job.isGang() || !ps.mayBeVictim(p, j) {
			return
		}
		seen[p.job] = true
		cand = append(cand, ps.weighVictim(p))
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
		return x.tasks[0].taskIndex < y.tasks[0].taskIndex // of one job: the same each time
	})
	var out []victim
	for _, v := range cand {
		if tcpus <= cpus+epsilon && tgpus <= gpus+epsilon && j.spec.MemoryGB <= mem+epsilon {
			break
		}
		s := v.tasks[0].job.spec
		cpus += float64(v.here) * s.CPUs
		gpus += float64(v.here) * s.GPUs
		mem += float64(v.here) * s.MemoryGB
		sortByTask(v.tasks)
		ps.chooseCheckpoint(&v, v.tasks[0], queue)
		if v.checkpoint {
			queue += max(v.dump, config.Micro(s.CheckpointDurationS))
		}
		out = append(out, v)
	}
	return out, len(out) > 0 && tcpus <= cpus+epsilon && tgpus <= gpus+epsilon && j.spec.MemoryGB <= mem+epsilon
}

// canCheckpoint says whether stopping a task of the job with grace keeps its progress.
func canCheckpoint(j *job) bool {
	return j.spec.CheckpointIntervalS > 0 && j.spec.Shape != wire.Service
}
