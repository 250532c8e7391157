package emulator

import (
	"slices"

	"dalefront/internal/config"
	"dalefront/wire"
)

// maxWait is the longest time that a job may wait while suitable machines have capacity for the job and the
// job's team is below its limits. It applies only in the absence of faults.
const maxWait = 90 * config.Second

// CheckWaitingJobs checks the jobs whose IDs the parameter active lists. It records a violation for each job
// that has waited longer than maxWait although machines have had capacity for the job all that time. If
// active is nil, it checks the accepted jobs whose user has not received a final status.
//
// The function must be called at least every 5 s as long as no fault is in effect. It checks the jobs at most
// once a second.
func (f *Fleet) CheckWaitingJobs(active []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now-f.waitingCheckedAt < config.Second {
		return
	}
	if f.now-f.waitingCheckedAt > 5*config.Second { // a fault was in effect since the last check
		for _, j := range f.jobs {
			j.fitsSince = nil
		}
	}
	f.waitingCheckedAt = f.now
	if active == nil {
		for id, j := range f.jobs {
			if j.accepted && j.finalStatus == "" {
				active = append(active, id)
			}
		}
		slices.Sort(active)
	}
	started, usage := map[*job]bool{}, map[string]Usage{}
	for _, host := range f.ids { // in a fixed order, so that the sums have the same rounding errors in each run
		m := f.machines[host]
		for _, t := range m.tasks {
			if !m.dead && t.state != wire.TaskExited {
				started[t.job] = true
				u := usage[t.job.Team]
				usage[t.job.Team] = u.Plus(t.job.CPUs, t.job.GPUs)
			}
		}
	}
	for _, id := range active {
		if j := f.jobs[id]; j != nil && f.waitedTooLong(j, started[j], usage[j.Team]) {
			f.recordViolation("left waiting: %s could have started for %d s", id, maxWait/config.Second)
			j.fitsSince = nil
		}
	}
}

// waitedTooLong reports whether a job could have been started for longer than maxWait, but no machine has a
// task of the job. A job could have been started if one of its tasks, or a whole gang, fits on the machines
// that have had capacity all that time. The parameter started is true if a machine has a task of the job.
// teamUsage is the resource usage of the job's team.
func (f *Fleet) waitedTooLong(j *job, started bool, teamUsage Usage) bool {
	if j.fitsSince == nil {
		j.fitsSince = map[*Machine]Micros{}
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
	overQuota := false
	for _, t := range f.teams {
		n := float64(need)
		overQuota = overQuota || t.Name == j.Team && (t.MaxCPUs > 0 && teamUsage.CPUs+n*j.CPUs > t.MaxCPUs+resourceTolerance || t.MaxGPUs > 0 && teamUsage.GPUs+n*j.GPUs > t.MaxGPUs+resourceTolerance)
	}
	if started || missing == 0 || overQuota {
		clear(j.fitsSince)
		return false
	}
	maxPerZone := j.Tasks // number of the job's tasks that may run in one zone
	if j.Spread {
		maxPerZone = (j.Tasks + 1) / 2
	}
	slotsByZone := map[string]int{}
	for _, m := range f.machines {
		switch n, since := m.freeSlots(j), j.fitsSince[m]; {
		case n == 0:
			delete(j.fitsSince, m)
		case since == 0:
			j.fitsSince[m] = f.now
		case f.now-since > maxWait:
			slotsByZone[m.zone] = min(slotsByZone[m.zone]+n, maxPerZone)
		}
	}
	total, best := 0, 0
	for _, n := range slotsByZone {
		total, best = total+n, max(best, n)
	}
	if j.OneZone {
		return best >= need
	}
	return total >= need
}

// freeSlots returns the number of further tasks of a job that fit on the machine.
func (m *Machine) freeSlots(j *job) int {
	if !m.up || m.dead || m.preemptAt > 0 || m.fleet.now < m.hungUntil || !m.allowedBy(j) {
		return 0
	}
	cpus, gpus, memory := m.freeResources()
	n := 0
	for n < j.Tasks && j.CPUs <= cpus+resourceTolerance && j.GPUs <= gpus+resourceTolerance && j.MemoryGB <= memory+resourceTolerance {
		cpus, gpus, memory = cpus-j.CPUs, gpus-j.GPUs, memory-j.MemoryGB
		n++
	}
	return n
}
