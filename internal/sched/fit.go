package sched

import (
	"math"
	"slices"

	"dalefront/wire"
)

// maxSlots bounds the estimate of how many tasks of one job a machine can take. A machine never runs more
// than maxTasksPerMachine tasks.
const maxSlots = 1000

// meetsMachineConstraints reports whether the machine meets the job's constraints on the machine type, the
// zone and spot machines. Constraints that depend on where the job's other tasks are (see
// satisfiesZoneConstraints) are not considered.
func meetsMachineConstraints(j *job, m *machine) bool {
	if m.spot && !j.spec.Spot {
		return false
	}
	if j.spec.Zone != nil && *j.spec.Zone != m.zone {
		return false
	}
	return j.spec.Types == nil || slices.Contains(j.spec.Types, m.machineType.Name)
}

// hasRoom reports whether the machine has enough free resources for n more tasks of the job.
func hasRoom(j *job, m *machine, n int) bool {
	f := float64(n)
	return m.usedCPUs+f*j.spec.CPUs <= m.machineType.CPUs+epsilon && m.usedGPUs+f*j.spec.GPUs <= m.machineType.GPUs+epsilon &&
		m.usedMemoryGB+f*j.spec.MemoryGB <= m.machineType.MemoryGB+epsilon
}

// slotsFor returns the number of further tasks of the job that a machine of the type can take when
// the given resources are in use. The result is at most maxSlots.
func slotsFor(j *job, t *wire.MachineType, used resourceUse) int {
	n := math.Inf(1)
	for _, resource := range [...]struct{ request, free float64 }{
		{j.spec.CPUs, t.CPUs - used.cpus},
		{j.spec.GPUs, t.GPUs - used.gpus},
		{j.spec.MemoryGB, t.MemoryGB - used.memoryGB},
	} {
		if resource.request > 0 {
			n = min(n, math.Floor((resource.free+epsilon)/resource.request))
		}
	}
	return max(0, int(min(n, maxSlots)))
}

// slotsOnEmpty returns the number of tasks of the job that an empty machine of the type can take.
func slotsOnEmpty(j *job, t *wire.MachineType) int { return slotsFor(j, t, resourceUse{}) }

// used returns the resources of the machine that are in use.
func (m *machine) used() resourceUse { return resourceUse{m.usedCPUs, m.usedGPUs, m.usedMemoryGB} }

// free returns the resources of the machine that are not in use.
func (m *machine) free() resourceUse {
	t := m.machineType
	return resourceUse{t.CPUs - m.usedCPUs, t.GPUs - m.usedGPUs, t.MemoryGB - m.usedMemoryGB}
}

// usedAtOrAbove returns the resources used by jobs of the given rank and of higher ranks.
func (m *machine) usedAtOrAbove(rank int) resourceUse {
	used := m.used()
	used.subtract(m.usedBelow(rank))
	return used
}

// fitsIn reports whether the given free resources are sufficient for the request u.
func (u resourceUse) fitsIn(free resourceUse) bool {
	return u.cpus <= free.cpus+epsilon && u.gpus <= free.gpus+epsilon && u.memoryGB <= free.memoryGB+epsilon
}

// tasksByZone returns the number of the job's placements in each zone.
func (j *job) tasksByZone() map[string]int {
	tasks := map[string]int{}
	for p := range j.placements {
		tasks[p.machine.zone]++
	}
	return tasks
}

// zoneLimit returns the number of tasks that a job with the Spread constraint may have in one zone.
func (j *job) zoneLimit() int { return (j.spec.Tasks + 1) / 2 }

// satisfiesZoneConstraints reports whether the job's OneZone and Spread constraints allow one more task in
// the given zone. The parameter tasksByZone gives the number of the job's tasks in each zone, including
// every task that may be on a machine.
func satisfiesZoneConstraints(j *job, tasksByZone map[string]int, zone string) bool {
	if j.spec.OneZone {
		for z, n := range tasksByZone {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !j.spec.Spread || tasksByZone[zone] < j.zoneLimit()
}

// atTeamLimit reports whether the team's limit keeps the job from starting a task now, or all pending
// tasks in the case of a gang.
func (j *job) atTeamLimit() bool {
	n := 1.0
	if j.isGang() {
		n = float64(j.pendingCount())
	}
	return !j.team.withinLimit(n*j.spec.CPUs, n*j.spec.GPUs)
}

// minimumRequest is the element-wise minimum of the task requests of several jobs. A machine that has no room
// for the minimum has no room for a task of any of these jobs.
type minimumRequest struct{ cpus, memoryGB float64 }

// newMinimumRequest returns the minimum over an empty set of jobs. It is infinite and fits no machine.
func newMinimumRequest() minimumRequest { return minimumRequest{math.Inf(1), math.Inf(1)} }

// add includes the request of one more job's tasks.
func (r *minimumRequest) add(j *job) {
	r.cpus, r.memoryGB = min(r.cpus, j.spec.CPUs), min(r.memoryGB, j.spec.MemoryGB)
}

// fits reports whether a machine of the type has room for the minimum request when the given resources are in
// use.
func (r *minimumRequest) fits(t *wire.MachineType, cpus, memoryGB float64) bool {
	return cpus+r.cpus <= t.CPUs+epsilon && memoryGB+r.memoryGB <= t.MemoryGB+epsilon
}

// fitsEmpty reports whether a task of the job fits on the machine when nothing else runs there.
func fitsEmpty(j *job, m *machine) bool {
	t := m.machineType
	return j.taskResources().fitsIn(resourceUse{t.CPUs, t.GPUs, t.MemoryGB})
}
