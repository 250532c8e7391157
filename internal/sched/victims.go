package sched

import (
	"cmp"
	"slices"

	"dalefront/internal/config"
)

// maxPreemptionsPerTask limits the preemptions of a job: it is multiplied by the number of the job's placed
// tasks.
const maxPreemptionsPerTask = 3

// victim is a task, or a whole gang, that may be preempted to free capacity on a machine.
type victim struct {
	stopPlan
	tasks          []*placement // all tasks that would be stopped
	tasksOnMachine int          // number of these tasks on the machine where capacity is needed
}

// newVictim returns the victim that results from preempting a task. The tasks of a gang are preempted
// together: the given task comes first, followed by the rest of its gang in no particular order.
func newVictim(task *placement) victim {
	v := victim{tasks: []*placement{task}, tasksOnMachine: 1}
	if !task.job.isGang() {
		return v
	}
	for other := range task.job.placements {
		if other == task {
			continue
		}
		v.tasks = append(v.tasks, other)
		if other.machine == task.machine {
			v.tasksOnMachine++
		}
	}
	return v
}

// machineShare returns the fraction of the machine that each of the victim's tasks uses. If the preempting job
// is a gang, the costs of victims are weighted by this fraction, since one task of a gang may displace many
// small tasks.
func (v *victim) machineShare(m *machine) float64 {
	spec := &v.tasks[0].job.spec
	share := spec.CPUs / max(m.machineType.CPUs, epsilon)
	if m.machineType.GPUs > 0 {
		share = max(share, spec.GPUs/m.machineType.GPUs)
	}
	return share
}

// isPreemptible reports whether the section "Preemption" of the protocol allows the job to preempt the task.
// The protocol allows it if the task has a lower priority. It also allows it if the task runs beyond its
// team's guarantee and the job is within its own team's guarantee.
//
// As in the objective for guarantees, the order of arrival decides which jobs of a team are within the team's
// guarantee. What runs at the moment doesn't matter. A job within its team's guarantee is therefore never
// preempted to restore another team's guarantee. A job beyond its team's guarantee never preempts other teams
// to restore the guarantee. These rules keep two teams from stopping each other's tasks again and again.
func isPreemptible(p *placement, by *job) bool {
	j := p.job
	if p.stopping || j == by || j.isOver() {
		return false
	}
	return j.rank < by.rank || (j.team != by.team && j.team.exceedsGuarantee() && !j.withinGuarantee && by.reclaimsGuarantee())
}

// mayBeVictim reports whether the job may preempt the task and the task's own job has not reached its
// limit of preemptions.
func mayBeVictim(p *placement, by *job) bool {
	return isPreemptible(p, by) && p.job.preemptions < maxPreemptionsPerTask*max(1, len(p.job.placements))
}

// reclaimsGuarantee reports whether the job may preempt tasks that other teams run beyond their guarantees.
func (j *job) reclaimsGuarantee() bool {
	n := 1.0
	if j.isGang() {
		n = float64(j.pendingCount())
	}
	return j.withinGuarantee && j.team.withinGuarantee(n*j.spec.CPUs, n*j.spec.GPUs)
}

// freedResources holds the resources of a machine that are free after the tasks to be stopped have left.
type freedResources struct {
	free      resourceUse
	queueTime Micros // time that the machine needs to write the checkpoints of the tasks to be stopped
}

// addStopping adds the resources of a task that is already being stopped.
func (r *freedResources) addStopping(p *placement) {
	r.free.add(p.job.taskResources())
	if p.checkpointing {
		r.queueTime += config.Micro(p.job.spec.CheckpointDurationS)
	}
}

// addVictim adds the resources of a victim's tasks on the machine. The parameter tasks is the number of the
// victim's tasks there, and j is their job.
func (r *freedResources) addVictim(j *job, tasks int, plan *stopPlan) {
	use := j.taskResources()
	n := float64(tasks)
	r.free.add(resourceUse{n * use.cpus, n * use.gpus, n * use.memoryGB})
	r.queueTime += plan.queueTime(j)
}

// selectVictims selects victims on the machine, in the order of compareVictimTasks, until there is capacity
// for one task of the claimant, which is the job that preempts. It reports whether victims are needed and the
// selected victims free enough capacity.
func (ps *pass) selectVictims(claimant *job, machine *machine) ([]victim, bool) {
	freed := freedResources{free: machine.free()}
	var candidates []victim
	seen := map[*job]bool{}
	machine.eachPlacement(func(task *placement) {
		switch {
		case task.stopping:
			freed.addStopping(task)
		case seen[task.job] && task.job.isGang() || !mayBeVictim(task, claimant):
		default:
			seen[task.job] = true
			v := newVictim(task)
			v.stopPlan = ps.core.planStop(task, len(v.tasks), 0)
			candidates = append(candidates, v)
		}
	})
	slices.SortFunc(candidates, compareVictims)
	request := claimant.taskResources()
	var picked []victim
	for _, v := range candidates {
		if request.fitsIn(freed.free) {
			break
		}
		sortByTask(v.tasks)
		v.stopPlan = ps.core.planStop(v.tasks[0], len(v.tasks), freed.queueTime)
		freed.addVictim(v.tasks[0].job, v.tasksOnMachine, &v.stopPlan)
		picked = append(picked, v)
	}
	return picked, len(picked) > 0 && request.fitsIn(freed.free)
}

// compareVictims orders the victims on a machine by their first tasks, like compareVictimTasks.
func compareVictims(a, b victim) int {
	return compareVictimTasks(a.tasks[0], &a.stopPlan, b.tasks[0], &b.stopPlan)
}

// compareVictimTasks orders victims by the rank of the job, then by checkpoint time, then by cost. Each victim
// is given by one of its tasks. Attempt and task index make the order of equal victims deterministic.
func compareVictimTasks(a *placement, planA *stopPlan, b *placement, planB *stopPlan) int {
	return cmp.Or(
		cmp.Compare(a.job.rank, b.job.rank),
		cmp.Compare(planA.writeTime, planB.writeTime),
		cmp.Compare(planA.cost, planB.cost),
		cmp.Compare(a.attempt, b.attempt),
		cmp.Compare(a.taskIndex, b.taskIndex),
	)
}

// victimCandidate is a task that may be preempted.
type victimCandidate struct {
	placement *placement
	plan      stopPlan
	selected  bool
}

// preemptionCost returns the total cost of the victims that selectVictims would select on the machine, and
// the same boolean result as selectVictims. On a full site, the cost is computed on all machines for each
// waiting task. preemptionCost must therefore be fast: it doesn't sort the candidates, since one victim is
// usually enough, and allocates no memory.
func (ps *pass) preemptionCost(claimant *job, machine *machine) (total Micros, ok bool) {
	freed := freedResources{free: machine.free()}
	candidates := ps.victimCandidates[:0]
	for _, task := range machine.placements {
		switch {
		case !task.isHeld():
		case task.stopping:
			freed.addStopping(task)
		case !mayBeVictim(task, claimant):
		case task.job.isGang():
			return ps.victimCostSum(claimant, machine) // a gang is preempted as a whole, also on other machines
		default:
			candidates = append(candidates, victimCandidate{placement: task, plan: ps.core.planStop(task, 1, 0)})
		}
	}
	ps.victimCandidates = candidates
	request := claimant.taskResources()
	for !request.fitsIn(freed.free) {
		next := cheapestCandidate(candidates)
		if next == nil {
			return 0, false
		}
		next.selected, ok = true, true
		plan := ps.core.planStop(next.placement, 1, freed.queueTime)
		freed.addVictim(next.placement.job, 1, &plan)
		total += plan.cost
	}
	return total, ok
}

// cheapestCandidate returns the candidate that comes first in the order of compareVictimTasks. It skips
// candidates that are already selected, and returns nil if all are selected.
func cheapestCandidate(candidates []victimCandidate) (cheapest *victimCandidate) {
	for i := range candidates {
		candidate := &candidates[i]
		if !candidate.selected && (cheapest == nil || compareVictimTasks(candidate.placement, &candidate.plan, cheapest.placement, &cheapest.plan) < 0) {
			cheapest = candidate
		}
	}
	return cheapest
}

// victimCostSum returns the same results as preemptionCost. It computes them with selectVictims.
func (ps *pass) victimCostSum(claimant *job, m *machine) (total Micros, ok bool) {
	victims, ok := ps.selectVictims(claimant, m)
	if !ok {
		return 0, false
	}
	for i := range victims {
		total += victims[i].cost
	}
	return total, true
}
