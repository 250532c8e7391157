package sched

import (
	"container/heap"
	"math"
)

// findMachine returns the machine on which placing a task of the job costs least, or nil if no machine can
// take the task.
func (ps *pass) findMachine(j *job, tasksByZone map[string]int) *machine {
	var best *machine
	bestCost := math.Inf(1)
	for _, m := range ps.withRoom { // ordered by name
		if !ps.canTakeTask(j, m, tasksByZone) || ps.blockedByReservation(j, m) {
			continue
		}
		if cost := ps.placementCostWithFailures(j, m); cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return best
}

// canTakeTask reports whether a schedulable machine may take another task of the job.
func (ps *pass) canTakeTask(j *job, m *machine, tasksByZone map[string]int) bool {
	if j.rank < ps.claimedRank[m] || !hasRoom(j, m, 1) || !meetsMachineConstraints(j, m) || m.placementCount >= maxTasksPerMachine {
		return false
	}
	if !satisfiesZoneConstraints(j, tasksByZone, m.zone) || ps.claimedByGuaranteed(j, m) {
		return false
	}
	return j.spec.GPUs > 0 || m.machineType.GPUs == 0 || ps.core.firstComeFirstServed || ps.mayUseGPUMachine(j, m)
}

// blockedByReservation reports whether a reservation for another job keeps the job off the machine. A
// reservation doesn't block a job of a higher rank, or a job whose tasks are expected to end before the other
// job can use the machine. Further exceptions apply to underserved jobs, to starved jobs, and to reservations
// for a time in the distant future.
func (ps *pass) blockedByReservation(job *job, machine *machine) bool {
	now, holder := ps.core.now, machine.reservedFor
	if !machine.isReservedForOther(job) || now >= machine.reservedUntil || holder.rank < job.rank || holder.isOver() {
		return false
	}
	if holder.rank == job.rank && holder.withinGuarantee == job.withinGuarantee && job.underserved() && !holder.underserved() {
		return false
	}
	starved := ps.core.starved(job)
	if (machine.reservationStart > now+maxGangWait || starved) && holder.rank > job.rank {
		return false // the job's task will be preempted once the reserving gang's other machines are available
	}
	if starved && machine.placementCount == 0 && now-machine.idleSince > starvationAfter {
		return false // the machine has been idle for so long that the reserving gang can perhaps never be placed
	}
	if !machine.isWaitedFor() || job.spec.EstimateS == 0 {
		return true
	}
	imageFetch := Micros(machine.imageFetchS(job, now) * float64(second))
	paddedRunTime := job.expectedRunTime() * 3 / 2 // a margin, since tasks often run longer than expected
	return now+paddedRunTime+imageFetch > machine.reservationStart
}

// candidate is a machine that may take tasks of a job, with the cost of placing a task there.
type candidate struct {
	machine *machine
	cost    float64 // in seconds, see placementCostWithFailures
	order   int     // the machine's position in the order of names
}

// candidates is a heap of candidates with the lowest cost first; equal costs are ordered by name.
type candidates []candidate

// Len is part of heap.Interface.
func (h candidates) Len() int { return len(h) }

// Swap is part of heap.Interface.
func (h candidates) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Less is part of heap.Interface.
func (h candidates) Less(a, b int) bool {
	return h[a].cost < h[b].cost || (h[a].cost == h[b].cost && h[a].order < h[b].order)
}

// Push is part of heap.Interface.
func (h *candidates) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop is part of heap.Interface.
func (h *candidates) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// candidates returns the machines in the given zone that can take a task of the job. If the zone is empty,
// the machines of all zones are returned. The cost of each machine is computed only once. Placing tasks of
// the job changes only the cost of the machine that is being filled, and this machine is filled until it can
// take no more tasks.
func (ps *pass) candidates(j *job, tasksByZone map[string]int, zone string) candidates {
	var found candidates
	for i, m := range ps.withRoom {
		if (zone == "" || m.zone == zone) && ps.canTakeTask(j, m, tasksByZone) && !ps.blockedByReservation(j, m) {
			found = append(found, candidate{m, ps.placementCostWithFailures(j, m), i})
		}
	}
	heap.Init(&found)
	return found
}

// popBest removes and returns the best candidate that can still take a task of the job. It returns nil if
// there is none. A candidate can no longer take a task if its zone has reached the job's zone limit since the
// candidates were listed.
func (ps *pass) popBest(all *candidates, j *job, tasksByZone map[string]int) *machine {
	for len(*all) > 0 {
		if m := heap.Pop(all).(candidate).machine; ps.canTakeTask(j, m, tasksByZone) {
			return m
		}
	}
	return nil
}

// placeTasks places tasks of a job that is not a gang. If no machine has capacity, it preempts other tasks
// for the job. It fills one machine after the other: the best machine for a task is also the best for the
// job's next task, because a fuller machine costs less.
func (ps *pass) placeTasks(job *job) {
	limit := ps.core.concurrencyLimit(job)
	if !job.mayPlaceMore(limit) {
		return
	}
	tasksByZone := job.tasksByZone()
	machines := ps.candidates(job, tasksByZone, "")
	attempt := uint64(0)
	for job.mayPlaceMore(limit) {
		machine := ps.popBest(&machines, job, tasksByZone)
		if machine == nil {
			ps.preemptFor(job)
			return
		}
		if attempt == 0 {
			attempt = ps.core.sequence.nextAttempt()
		}
		placed := ps.fillMachine(job, machine, attempt, limit, tasksByZone)
		if len(placed) == 0 {
			return // the batch can take no more launches
		}
		ps.batch.add(placed...)
	}
}

// mayPlaceMore reports whether the job has a pending task that may be placed now. The number of the job's
// tasks on machines must be below the given limit, and the team's use must be below the team's limit. The
// team's use includes tasks on machines that can't be reached.
func (j *job) mayPlaceMore(limit int) bool {
	_, waits := j.nextPendingTask()
	return waits && len(j.placements) < limit && !j.atTeamLimit()
}

// fillMachine places as many tasks of the job on the machine as the machine, the batch and the limits
// allow.
func (ps *pass) fillMachine(j *job, m *machine, attempt uint64, limit int, tasksByZone map[string]int) (placed []*placement) {
	for len(j.placements) < limit && ps.batch.fits(j, ps.batch.addedHostBytes(m), 1, len(placed)+1) &&
		ps.canTakeTask(j, m, tasksByZone) && j.team.withinLimit(j.spec.CPUs, j.spec.GPUs) {
		task, waits := j.nextPendingTask()
		if !waits {
			break
		}
		placed = append(placed, ps.core.addPlacement(j, task, m, attempt))
		tasksByZone[m.zone]++
	}
	return placed
}
