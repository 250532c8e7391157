package emulator

import (
	"slices"

	"dalefront/internal/config"
	"dalefront/wire"
)

// longestWait is how long a job may wait, once all troubles are over, while a machine that fits
// has room and its team is under its limit.
const longestWait = 90 * config.Second

// Waits looks at the jobs that have not ended for whether one waits beside machines that have had
// room for it all the time, and finds a rule broken once that has gone on for too long. It is
// called from the moment on at which all troubles are over, at least every few seconds, with the
// jobs to be looked at; nil stands for those that were accepted and of which no end was told. It
// looks once a second.
func (f *Fleet) Waits(active []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now-f.waitsAt < config.Second {
		return
	}
	if f.now-f.waitsAt > 5*config.Second { // there was trouble in between
		for _, j := range f.jobs {
			j.beside = nil
		}
	}
	f.waitsAt = f.now
	if active == nil {
		for id, j := range f.jobs {
			if j.accepted && j.final == "" {
				active = append(active, id)
			}
		}
		slices.Sort(active)
	}
	begun, uses := map[*job]bool{}, map[string]Use{}
	for _, host := range f.ids { // in order: sums are rounded alike each time
		m := f.machines[host]
		for _, t := range m.tasks {
			if !m.dead && t.state != wire.TaskExited {
				begun[t.job] = true
				u := uses[t.job.Team]
				uses[t.job.Team] = u.Plus(t.job.CPUs, t.job.GPUs)
			}
		}
	}
	for _, id := range active {
		if j := f.jobs[id]; j != nil && f.leftWaiting(j, begun[j], uses[j.Team]) {
			f.rule("left waiting: %s could have started for %d s", id, longestWait/config.Second)
			j.beside = nil
		}
	}
}

// leftWaiting says whether a job of which nothing is on any machine could have started for too
// long: one of its tasks, or a whole gang, on machines that have had room all the time.
func (f *Fleet) leftWaiting(j *job, begun bool, team Use) bool {
	if j.beside == nil {
		j.beside = map[*Machine]Micros{}
	}
	missing := 0
	for _, done := range j.completed {
		if !done {
			missing++
		}
	}
	need := 1
	if j.Shape == wire.Gang {
		need = missing
	}
	over := false
	for _, t := range f.teams {
		n := float64(need)
		over = over || t.Name == j.Team && (t.MaxCPUs > 0 && team.CPUs+n*j.CPUs > t.MaxCPUs+tiny || t.MaxGPUs > 0 && team.GPUs+n*j.GPUs > t.MaxGPUs+tiny)
	}
	if begun || missing == 0 || over {
		clear(j.beside)
		return false
	}
	most := j.Tasks // in a zone
	if j.Spread {
		most = (j.Tasks + 1) / 2
	}
	places := map[string]int{}
	for _, m := range f.machines {
		switch n, since := m.places(j), j.beside[m]; {
		case n == 0:
			delete(j.beside, m)
		case since == 0:
			j.beside[m] = f.now
		case f.now-since > longestWait:
			places[m.zone] = min(places[m.zone]+n, most)
		}
	}
	all, best := 0, 0
	for _, n := range places {
		all, best = all+n, max(best, n)
	}
	if j.OneZone {
		return best >= need
	}
	return all >= need
}

// places is how many more tasks of a job fit on the machine.
func (m *Machine) places(j *job) int {
	if !m.up || m.dead || m.recall > 0 || m.f.now < m.hung || !m.allowed(j) {
		return 0
	}
	cpus, gpus, memory := m.room()
	n := 0
	for n < j.Tasks && j.CPUs <= cpus+tiny && j.GPUs <= gpus+tiny && j.MemoryGB <= memory+tiny {
		cpus, gpus, memory = cpus-j.CPUs, gpus-j.GPUs, memory-j.MemoryGB
		n++
	}
	return n
}
