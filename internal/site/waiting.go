package site

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

// longestWait is how long a job may wait, once all troubles are over, while a machine that fits
// has room and its team is under its limit.
const longestWait = 90 * config.Second

// Waits looks at the jobs that have not ended for whether one waits though there is room, and
// finds a rule broken once that has gone on for too long. It is called from the moment on at
// which all troubles are over, at least every few seconds.
func (f *Fleet) Waits(active []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range active {
		j := f.jobs[id]
		switch {
		case j == nil:
		case !f.couldStart(j):
			j.waits = 0
		case j.waits == 0:
			j.waits = f.now
		case f.now-j.waits > longestWait:
			f.rule("left waiting: %s could have started for %d s", id, (f.now-j.waits)/config.Second)
			j.waits = f.now
		}
	}
}

// couldStart says whether a task of the job, or a whole gang, that is nowhere finds room now.
func (f *Fleet) couldStart(j *job) bool {
	here := map[int]bool{} // tasks that are on machines
	zones := map[string]int{}
	cpus, gpus := 0.0, 0.0 // of its team
	for _, m := range f.machines {
		for _, t := range m.tasks {
			if m.dead || t.state == wire.TaskExited {
				continue
			}
			if t.job == j {
				here[t.index] = true
				zones[m.zone]++
			}
			if t.job.Team == j.Team {
				cpus, gpus = cpus+t.job.CPUs, gpus+t.job.GPUs
			}
		}
	}
	if len(here) > 0 {
		return false // it has begun, or its last attempt is leaving
	}
	missing := 0
	for i := range j.Tasks {
		if !here[i] && !j.completed[i] {
			missing++
		}
	}
	need := 1
	if j.Shape == wire.Gang {
		need = missing
	}
	if missing == 0 {
		return false
	}
	for _, t := range f.teams {
		n := float64(need)
		if t.Name == j.Team && (t.CPUsMax > 0 && cpus+n*j.CPUs > t.CPUsMax+1e-6 || t.GPUsMax > 0 && gpus+n*j.GPUs > t.GPUsMax+1e-6) {
			return false
		}
	}
	most := j.Tasks // in a zone
	if j.Spread {
		most = (j.Tasks + 1) / 2
	}
	places := map[string]int{}
	for _, m := range f.machines {
		if len(zones) > 0 && j.OneZone && zones[m.zone] == 0 {
			continue
		}
		places[m.zone] = min(places[m.zone]+m.places(j), most-zones[m.zone])
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
