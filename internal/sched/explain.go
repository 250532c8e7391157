package sched

import (
	"sort"

	"dalefront/internal/dynconfig"
)

// WaitingJob says why a job waits.
type WaitingJob struct {
	Job, Class, Team string
	Tasks            int    // that wait
	Age              Micros // since its submission
	Reason           string
	Room             int // tasks for which there is room now, in the best zone for a gang
	Reserved         int // machines kept for it
}

// WaitingJobs explains the jobs that have waited longest, up to most of them. It says
// what the last pass saw.
func (c *Core) WaitingJobs(most int) []WaitingJob {
	var js []*job
	for j := range c.jobs.all() {
		if j.pendingCount() > 0 {
			js = append(js, j)
		}
	}
	sort.Slice(js, func(a, b int) bool {
		if js[a].arrival != js[b].arrival {
			return js[a].arrival < js[b].arrival
		}
		return js[a].id < js[b].id
	})
	var out []WaitingJob
	for _, j := range js[:min(most, len(js))] {
		out = append(out, c.lastPass.explainWait(j))
	}
	return out
}

func (ps *pass) explainWait(j *job) WaitingJob {
	w := WaitingJob{Job: j.id, Class: j.spec.Class, Team: j.spec.Team, Tasks: j.pendingCount(), Age: ps.core.now - j.arrival}
	used := j.tasksByZone()
	room := map[string]int{}
	for _, m := range ps.schedulable {
		if m.reservedFor == j {
			w.Reserved++
		}
		z := ""
		if j.isGang() && j.spec.OneZone {
			z = m.zone
		}
		room[z] += ps.slotsOn(j, m, used)
	}
	for _, n := range room {
		w.Room = max(w.Room, n)
	}
	leaving := false
	for p := range j.placements {
		leaving = leaving || p.stopping
	}
	switch {
	case ps.core.now < j.backoffUntil:
		w.Reason = "its tasks failed"
		if j.isSuspect() {
			w.Reason = "it fails on every machine"
		}
	case j.isGang() && (j.gangBroken || leaving || j.gangStarted && len(j.placements) > 0):
		w.Reason = "the last attempt is still leaving"
	case j.atTeamLimit():
		w.Reason = "its team's limit"
	case w.Room == 0 || j.isGang() && w.Room < w.Tasks:
		w.Reason = "no room"
		if x := ps.core.cordonedOff(j); x != nil {
			w.Reason = "no room outside the cordon " + x.Name
		}
	default:
		w.Reason = "next pass"
	}
	return w
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
	Reserved int // of these, kept for a gang
	Free     float64
}

// Usages sums up what runs, by class, and the machines, by type.
func (c *Core) Usages() (classes, types []Usage) {
	by, kinds := map[string]*Usage{}, map[string]*Usage{}
	for j := range c.jobs.all() {
		u := by[j.spec.Class]
		if u == nil {
			u = &Usage{Name: j.spec.Class}
			by[j.spec.Class] = u
		}
		u.Tasks += len(j.placements)
	}
	for _, m := range c.lastPass.schedulable {
		u := kinds[m.machineType.Name]
		if u == nil {
			u = &Usage{Name: m.machineType.Name}
			kinds[m.machineType.Name] = u
		}
		u.Up++
		u.Tasks += m.placementCount
		u.Free += m.machineType.CPUs - m.usedCPUs
		if m.placementCount == 0 {
			u.Idle++
		}
		if m.reservedFor != nil {
			u.Reserved++
		}
	}
	sorted := func(m map[string]*Usage) (out []Usage) {
		for _, u := range m {
			out = append(out, *u)
		}
		sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
		return out
	}
	return sorted(by), sorted(kinds)
}
