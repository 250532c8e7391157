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
func (ps *pass) explainWait(j *job) WaitingJob {
	wait := WaitingJob{Job: j.id, Class: j.spec.Class, Team: j.spec.Team, Tasks: j.pendingCount(), Age: ps.core.now - j.arrival}
	tasksByZone := j.tasksByZone()
	room := map[string]int{}
	for _, m := range ps.schedulable {
		if m.reservedFor == j {
			wait.Reserved++
		}
		zone := ""
		if j.isGang() {
			zone = j.gangZone(m)
		}
		room[zone] += ps.slotsOn(j, m, tasksByZone)
	}
	for _, n := range room {
		wait.Room = max(wait.Room, n)
	}
	wait.Reason = ps.core.waitReason(j, wait.Room)
	return wait
}

// waitReason says why a job waits for which there is so much room. The texts are those of the
// operators' pages.
func (c *Core) waitReason(j *job, room int) string {
	switch {
	case c.now < j.backoffUntil && j.isSuspect():
		return "it fails on every machine"
	case c.now < j.backoffUntil:
		return "its tasks failed"
	case j.isGang() && (j.gangBroken || j.isLeaving() || j.gangStarted && len(j.placements) > 0):
		return "the last attempt is still leaving"
	case j.atTeamLimit():
		return "its team's limit"
	case room > 0 && (!j.isGang() || room >= j.pendingCount()):
		return "next pass"
	}
	if cordon := c.cordonedOff(j); cordon != nil {
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
	for j := range c.jobs.all() {
		byClass.of(j.spec.Class).Tasks += len(j.placements)
	}
	for _, m := range c.lastPass.schedulable {
		usage := byType.of(m.machineType.Name)
		usage.Up++
		usage.Tasks += m.placementCount
		usage.Free += m.machineType.CPUs - m.usedCPUs
		if m.placementCount == 0 {
			usage.Idle++
		}
		if m.reservedFor != nil {
			usage.Reserved++
		}
	}
	return byClass.sorted(), byType.sorted()
}
