package sched

import (
	"maps"
	"slices"

	"dalefront/internal/dynconfig"
)

// WaitingJob says why a job waits.
type WaitingJob struct {
	Job, Class, Team string
	Tasks            int    // that wait
	Age              Micros // since its submission
	Reason           string
	Room             int // tasks for which there is room now, in the best zone for a gang
	Reserved         int // machines reserved for it
}

// WaitingJobs explains the jobs that have waited longest, up to limit of them. It says
// what the last pass saw.
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

// explainWait says why a job waits.
func (ps *pass) explainWait(job *job) WaitingJob {
	wait := WaitingJob{Job: job.id, Class: job.spec.Class, Team: job.spec.Team, Tasks: job.pendingCount(), Age: ps.core.now - job.arrival}
	tasksByZone := job.tasksByZone()
	room := map[string]int{}
	for _, machine := range ps.schedulable {
		if machine.isReservedFor(job) {
			wait.Reserved++
		}
		zone := ""
		if job.isGang() {
			zone = job.gangZone(machine)
		}
		room[zone] += ps.slotsOn(job, machine, tasksByZone)
	}
	for _, n := range room {
		wait.Room = max(wait.Room, n)
	}
	wait.Reason = ps.core.waitReason(job, wait.Room)
	return wait
}

// waitReason says why a job waits for which there is so much room. The texts are those of the
// operators' pages.
func (c *Core) waitReason(job *job, room int) string {
	switch {
	case c.now < job.backoffUntil && job.isSuspect():
		return "it fails on every machine"
	case c.now < job.backoffUntil:
		return "its tasks failed"
	case job.isGang() && (job.gangBroken || job.isLeaving() || job.gangStarted && len(job.placements) > 0):
		return "the last attempt is still leaving"
	case job.atTeamLimit():
		return "its team's limit"
	case room > 0 && (!job.isGang() || room >= job.pendingCount()):
		return "next pass"
	}
	if cordon := c.cordonedOff(job); cordon != nil {
		return "no room outside the cordon " + cordon.Name
	}
	return "no room"
}

// Waiting reports how many jobs wait, and tasks of theirs, for logs and metrics.
func (c *Core) Waiting() (jobs, tasks int) {
	for j := range c.jobs.all() {
		if n := j.pendingCount(); n > 0 {
			jobs++
			tasks += n
		}
	}
	return jobs, tasks
}

// cordonedOff is a cordon that keeps the job off a machine that it could use, nil for none.
func (c *Core) cordonedOff(j *job) *dynconfig.Cordon {
	if len(c.cordons) == 0 {
		return nil
	}
	for _, m := range c.machines.all() {
		if m.cordon != nil && allowed(j, m) && slotsFor(j, m.machineType, m.used()) > 0 {
			return m.cordon
		}
	}
	return nil
}

// Usage says how a class or a type is used.
type Usage struct {
	Name     string
	Tasks    int // running, or on their way
	Up       int // machines of the type that may get launches
	Idle     int // of these, without tasks
	Reserved int // of these, reserved for a gang
	Free     float64
}

// usageTable collects usages by name.
type usageTable map[string]*Usage

// of returns the usage of a name, a new one if there is none yet.
func (t usageTable) of(name string) *Usage {
	if t[name] == nil {
		t[name] = &Usage{Name: name}
	}
	return t[name]
}

// sorted returns the usages by name.
func (t usageTable) sorted() (usages []Usage) {
	for _, name := range slices.Sorted(maps.Keys(t)) {
		usages = append(usages, *t[name])
	}
	return usages
}

// Usages sums up what runs, by class, and the machines, by type.
func (c *Core) Usages() (classes, types []Usage) {
	byClass, byType := usageTable{}, usageTable{}
	for job := range c.jobs.all() {
		byClass.of(job.spec.Class).Tasks += len(job.placements)
	}
	for _, machine := range c.lastPass.schedulable {
		usage := byType.of(machine.machineType.Name)
		usage.Up++
		usage.Tasks += machine.placementCount
		usage.Free += machine.machineType.CPUs - machine.usedCPUs
		if machine.placementCount == 0 {
			usage.Idle++
		}
		if machine.isReserved() {
			usage.Reserved++
		}
	}
	return byClass.sorted(), byType.sorted()
}
