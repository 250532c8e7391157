package sched

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

// A task that failed speaks against its machine or against its job. A machine is
// to blame if it fails jobs that do well elsewhere; a job is suspect once it has
// failed on two machines and nowhere done anything, and what it does from then on
// says nothing against any machine.

// isSuspect says whether the job itself is likely to be at fault. It is then tried
// with one task (a gang as a whole) after ever longer pauses, and only in room that
// is there: nothing makes way, is kept or is rented for it. It is never given up,
// since the fault may have been the machines' after all.
func (j *job) isSuspect() bool { return j.completedCount == 0 && len(j.failedHosts) >= 2 }

const (
	failureBackoffCap      = 60 * second
	quarantineAfterJobs    = 2  // jobs that do well elsewhere and fail on a machine
	quarantineAfterAnyJobs = 4  // jobs of any kind that fail on a machine on which nothing completes
	suspectScaleOutDelayS  = 30 // seconds that a suspect's try may wait for room before it is rented
)

// recordFailure takes a task that failed.
func (c *Core) recordFailure(j *job, m *machine, p *placement) {
	if p.runningSince > 0 {
		j.longestFailedRun = max(j.longestFailedRun, c.now-p.runningSince)
	}
	known := j.isSuspect()
	if j.failedHosts == nil {
		j.failedHosts = map[string]bool{}
	}
	j.failedHosts[m.host] = true
	if j.completedCount > 0 || len(j.failedHosts) > 1 {
		if c.now >= j.backoffUntil { // the tasks of one start fail together
			j.failureRounds++
			j.backoffUntil = c.now + min(failureBackoffCap, second<<min(j.failureRounds, 6))
			c.log("job fails", "job", j.id, "class", j.spec.Class, "team", j.spec.Team, "machines", len(j.failedHosts), "times", j.failureRounds,
				"suspect", j.isSuspect(), "pause_us", j.backoffUntil-c.now)
		}
		if j.completedCount > 0 {
			j.backoffUntil = min(j.backoffUntil, c.now+4*second) // only some of its machines are bad
		}
	}
	if known {
		return
	}
	m.failedJobs[j] = true
	if j.completedCount > 0 || len(j.failedHosts) == 1 {
		m.avoidUntil = c.now + 4*second
	}
}

// updateQuarantine says whether a machine is bad: by the jobs that have done well elsewhere
// by now, or because everything fails there.
func (c *Core) updateQuarantine(m *machine) {
	strikes, fails := 0, 0
	for j := range m.failedJobs {
		switch {
		case j.completedCount > 0:
			strikes++
			fails++
		case !j.isSuspect():
			fails++
		}
	}
	if !m.quarantined && (strikes >= quarantineAfterJobs || fails >= quarantineAfterAnyJobs) {
		m.quarantined = true
		c.log("machine fails tasks", "host", m.host, "type", m.machineType.Name, "jobs", len(m.failedJobs), "that_do_well_elsewhere", strikes)
	}
}

// clearSuspicion lets a job have its machines back once a task of it has run well beyond
// the time after which others failed.
func (c *Core) clearSuspicion(j *job) {
	for p := range j.placements {
		if p.runningSince > 0 && !p.recovered && !p.stopping && c.now-p.runningSince > 2*j.longestFailedRun+5*second {
			clear(j.failedHosts)
			j.failureRounds = 0
			return
		}
	}
}

// concurrencyLimit is how many tasks of the job may be on machines at a time.
func (c *Core) concurrencyLimit(j *job) int {
	if j.isSuspect() {
		c.clearSuspicion(j)
	}
	if j.isSuspect() && !j.isGang() {
		return 1
	}
	return j.spec.Tasks
}

// mayScaleOutFor says whether machines may be rented for the job. Work of lowest priority
// for which nothing is aimed at uses what others leave; it is rented for only after
// so long that nobody else can be expected to leave anything.
func (c *Core) mayScaleOutFor(j *job) bool {
	if j.isSuspect() {
		return c.now > j.backoffUntil+config.Micro(suspectScaleOutDelayS)
	}
	return !j.hasNoObjective() || c.now-j.arrival > config.Micro(*c.settings.Operator.LeftoverRentS)
}

// hasNoObjective says whether the job has the lowest priority, no deadline and no aim that
// watches it: it runs in room that nobody else wants.
func (j *job) hasNoObjective() bool {
	return j.rank == 0 && j.spec.DeadlineS == nil && j.spec.Shape != wire.Service && len(j.class.waitObjectives)+len(j.class.completionObjectives) == 0
}
