package sched

import (
	"sort"

	"dalefront/internal/dynconfig"
)

// Wait says why a job waits.
type Wait struct {
	Job, Class, Team string
	Tasks            int    // that wait
	Age              Micros // since its submission
	Why              string
	Room             int // tasks for which there is room now, in the best zone for a gang
	Held             int // machines kept for it
}

// Waits explains the jobs that have waited longest, up to most of them. It says
// what the last pass saw.
func (c *Core) Waits(most int) []Wait {
	var js []*job
	for _, j := range c.jobs {
		if j.pending() > 0 {
			js = append(js, j)
		}
	}
	sort.Slice(js, func(a, b int) bool {
		if js[a].arrival != js[b].arrival {
			return js[a].arrival < js[b].arrival
		}
		return js[a].id < js[b].id
	})
	var out []Wait
	for _, j := range js[:min(most, len(js))] {
		out = append(out, c.wait(j))
	}
	return out
}

func (c *Core) wait(j *job) Wait {
	w := Wait{Job: j.id, Class: j.spec.Class, Team: j.spec.Team, Tasks: j.pending(), Age: c.now - j.arrival}
	used := j.zones()
	room := map[string]int{}
	for _, m := range c.open {
		if m.reserved == j {
			w.Held++
		}
		z := ""
		if j.gang() && j.spec.OneZone {
			z = m.zone
		}
		room[z] += c.slotsOn(j, m, used)
	}
	for _, n := range room {
		w.Room = max(w.Room, n)
	}
	leaving := false
	for p := range j.placements {
		leaving = leaving || p.stop
	}
	switch {
	case c.now < j.notBefore:
		w.Why = "its tasks failed"
		if j.suspect() {
			w.Why = "it fails on every machine"
		}
	case j.gang() && (j.broken || leaving || j.started && len(j.placements) > 0):
		w.Why = "the last attempt is still leaving"
	case j.limited():
		w.Why = "its team's limit"
	case w.Room == 0 || j.gang() && w.Room < w.Tasks:
		w.Why = "no room"
		if x := c.keptOff(j); x != nil {
			w.Why = "no room outside the cordon " + x.Name
		}
	default:
		w.Why = "next pass"
	}
	return w
}

// keptOff is a cordon that keeps the job off a machine that it could use, nil for none.
func (c *Core) keptOff(j *job) *dynconfig.Cordon {
	if len(c.cordons) == 0 {
		return nil
	}
	for _, m := range c.order {
		if m.cordon != nil && allowed(j, m) && slots(j, m.kind, m.cpus, m.gpus, m.mem) > 0 {
			return m.cordon
		}
	}
	return nil
}

// Use says how a class or a type is used.
type Use struct {
	Name  string
	Tasks int // running, or on their way
	Up    int // machines of the type that may get launches
	Idle  int // of these, without tasks
	Held  int // of these, kept for a gang
	Free  float64
}

// Uses sums up what runs, by class, and the machines, by type.
func (c *Core) Uses() (classes, types []Use) {
	by, kinds := map[string]*Use{}, map[string]*Use{}
	for _, j := range c.jobs {
		u := by[j.spec.Class]
		if u == nil {
			u = &Use{Name: j.spec.Class}
			by[j.spec.Class] = u
		}
		u.Tasks += len(j.placements)
	}
	for _, m := range c.open {
		u := kinds[m.kind.Name]
		if u == nil {
			u = &Use{Name: m.kind.Name}
			kinds[m.kind.Name] = u
		}
		u.Up++
		u.Tasks += m.n
		u.Free += m.kind.CPUs - m.cpus
		if m.n == 0 {
			u.Idle++
		}
		if m.reserved != nil {
			u.Held++
		}
	}
	sorted := func(m map[string]*Use) (out []Use) {
		for _, u := range m {
			out = append(out, *u)
		}
		sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
		return out
	}
	return sorted(by), sorted(kinds)
}
