package sched

import (
	"maps"
	"slices"

	"dalefront/internal/dynconfig"
)

// WaitingJob describes a job with pending tasks and says why it waits.
type WaitingJob struct {
	Job, Class, Team string
	PendingTasks     int    // number of pending tasks
	Age              Micros // time since its submission
	Reason           string
	FreeSlots        int // number of its tasks that would fit now, in the best zone if all tasks must be in one zone
	Reserved         int // number of machines reserved for it
}

// WaitingJobs describes the jobs with pending tasks, as of the last pass. If there are more than the given
// limit, it describes those that arrived first.
func (c *Core) WaitingJobs(limit int) []WaitingJob {
	var waiting []*job
	for j := range c.jobs.all() {
		if j.pendingCount() > 0 {
			waiting = append(waiting, j)
		}
	}
	slices.SortFunc(waiting, compareArrival)
	var explained []WaitingJob
	for _, j := range waiting[:min(limit, len(waiting))] {
		explained = append(explained, c.lastPass.explainWait(j))
	}
	return explained
}

// explainWait describes why a job waits.
func (ps *pass) explainWait(job *job) WaitingJob {
	wait := WaitingJob{Job: job.id, Class: job.spec.Class, Team: job.spec.Team, PendingTasks: job.pendingCount(), Age: ps.core.now - job.arrival}
	tasksByZone := job.tasksByZone()
	slotsByZone := map[string]int{}
	for _, machine := range ps.schedulable {
		if machine.isReservedFor(job) {
			wait.Reserved++
		}
		zone := ""
		if job.isGang() {
			zone = job.gangZone(machine)
		}
		slotsByZone[zone] += ps.slotsOn(job, machine, tasksByZone)
	}
	for _, n := range slotsByZone {
		wait.FreeSlots = max(wait.FreeSlots, n)
	}
	wait.Reason = ps.core.waitReason(job, wait.FreeSlots)
	return wait
}

// waitReason returns why a job waits if freeSlots of its tasks would fit now. The texts are part of the
// operator documentation.
func (c *Core) waitReason(job *job, freeSlots int) string {
	switch {
	case c.now < job.backoffUntil && job.isSuspect():
		return "it fails on every machine"
	case c.now < job.backoffUntil:
		return "its tasks failed"
	case job.isGang() && (job.gangBroken || job.hasStoppingTask() || job.gangStarted && len(job.placements) > 0):
		return "the last attempt is still leaving"
	case job.atTeamLimit():
		return "its team's limit"
	case freeSlots > 0 && (!job.isGang() || freeSlots >= job.pendingCount()):
		return "next pass"
	}
	if cordon := c.blockingCordon(job); cordon != nil {
		return "no room outside the cordon " + cordon.Name
	}
	return "no room"
}

// Waiting returns the number of jobs with pending tasks and the number of these tasks, for logs and metrics.
func (c *Core) Waiting() (jobs, tasks int) {
	for j := range c.jobs.all() {
		if n := j.pendingCount(); n > 0 {
			jobs++
			tasks += n
		}
	}
	return jobs, tasks
}

// blockingCordon returns a cordon that keeps the job off a machine with room for one of its tasks, or nil.
func (c *Core) blockingCordon(j *job) *dynconfig.Cordon {
	if len(c.cordons) == 0 {
		return nil
	}
	for _, m := range c.machines.all() {
		if m.cordon != nil && meetsMachineConstraints(j, m) && slotsFor(j, m.machineType, m.used()) > 0 {
			return m.cordon
		}
	}
	return nil
}

// Usage describes the tasks of a class, or the tasks and machines of a machine type.
type Usage struct {
	Name     string
	Tasks    int     // placed tasks, running or not
	Up       int     // schedulable machines of the type
	Idle     int     // schedulable machines of the type without tasks
	Reserved int     // schedulable machines of the type that are reserved for a job
	FreeCPUs float64 // unused CPUs of the schedulable machines of the type
}

// usageTable holds usages by name.
type usageTable map[string]*Usage

// of returns the usage with the name and adds it if there is none yet.
func (t usageTable) of(name string) *Usage {
	if t[name] == nil {
		t[name] = &Usage{Name: name}
	}
	return t[name]
}

// sorted returns the usages, sorted by name.
func (t usageTable) sorted() (usages []Usage) {
	for _, name := range slices.Sorted(maps.Keys(t)) {
		usages = append(usages, *t[name])
	}
	return usages
}

// Usages returns the number of placed tasks by class, and the use of the schedulable machines by machine
// type.
func (c *Core) Usages() (classes, types []Usage) {
	byClass, byType := usageTable{}, usageTable{}
	for job := range c.jobs.all() {
		byClass.of(job.spec.Class).Tasks += len(job.placements)
	}
	for _, machine := range c.lastPass.schedulable {
		usage := byType.of(machine.machineType.Name)
		usage.Up++
		usage.Tasks += machine.placementCount
		usage.FreeCPUs += machine.machineType.CPUs - machine.usedCPUs
		if machine.placementCount == 0 {
			usage.Idle++
		}
		if machine.isReserved() {
			usage.Reserved++
		}
	}
	return byClass.sorted(), byType.sorted()
}
