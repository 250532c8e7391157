package sched

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

// A task that failed speaks against its machine or against its job. A machine is
// at fault if it fails jobs that do well elsewhere; a job is suspect once it has
// failed on two machines and nowhere done anything, and what it does from then on
// says nothing against any machine.

// isSuspect says whether the job itself is likely to be at fault. It is then tried
// with one task (a gang as a whole) after ever longer pauses, and only in room that
// is there: nothing makes way, is kept or is rented for it. It is never given up,
// since the fault may have been the machines' after all.
func (j *job) isSuspect() bool { return j.completedCount == 0 && len(j.failedHosts) >= suspectHosts }

// suspectHosts is the number of machines on which a job must have failed to be suspect.
const suspectHosts = 2

const (
	failureBackoffCap      = 60 * second
	backoffDoublings       = 6           // beyond which the pause would exceed its cap anyway
	machineFailurePause    = 4 * second  // for which a machine, or a job that does well elsewhere, pauses after a failure
	quarantineAfterJobs    = 2           // jobs that do well elsewhere and fail on a machine
	quarantineAfterAnyJobs = 4           // jobs of any kind that fail on a machine on which nothing completes
	suspectScaleOutDelay   = 30 * second // for which a suspect's try may wait for room before it is rented
	recoveryFactor         = 2           // see clearSuspicion
	recoveryMargin         = 5 * second  // see clearSuspicion
)

// failureHistory is what a job's failures say about it.
type failureHistory struct {
	backoffUntil     Micros          // nothing of the job is placed before
	failureRounds    int             // failures in a row, those of one start counted once
	failedHosts      map[string]bool // machines on which it failed since it last did well
	longestFailedRun Micros          // the longest that a task ran before it failed
}

// failureBackoff is how long a job pauses after so many rounds of failures.
func failureBackoff(rounds int) Micros {
	return min(failureBackoffCap, second<<min(rounds, backoffDoublings))
}

// addFailedRun notes that a task failed on a machine after it had run for so long.
func (h *failureHistory) addFailedRun(host string, ran Micros) {
	h.longestFailedRun = max(h.longestFailedRun, ran)
	if h.failedHosts == nil {
		h.failedHosts = map[string]bool{}
	}
	h.failedHosts[host] = true
}

// nextRound begins another pause, unless the last one has not ended: the tasks of one start fail
// together and count once.
func (h *failureHistory) nextRound(now Micros) bool {
	if now < h.backoffUntil {
		return false
	}
	h.failureRounds++
	h.backoffUntil = now + failureBackoff(h.failureRounds)
	return true
}

// reset forgets the failures: the job does well now.
func (h *failureHistory) reset() {
	clear(h.failedHosts)
	h.failureRounds = 0
}

// restore takes what the last leader knew of a suspect job: two machines on which it failed, and the rounds.
// Otherwise leaders that end one after the other would each try such jobs with
// all their tasks, in room that others wait for.
func (h *failureHistory) restore(hosts []string, rounds int, now Micros) {
	h.failedHosts = map[string]bool{}
	for _, host := range hosts {
		h.failedHosts[host] = true
	}
	h.failureRounds = max(0, rounds)
	h.backoffUntil = now + failureBackoff(h.failureRounds)/2
}

// recordFailure takes a task that failed.
func (c *Core) recordFailure(placement *placement) {
	job, machine := placement.job, placement.machine
	wasSuspect := job.isSuspect()
	ran := Micros(0)
	if placement.runningSince > 0 {
		ran = c.now - placement.runningSince
	}
	job.addFailedRun(machine.host, ran)
	doesWellElsewhere := job.completedCount > 0
	if doesWellElsewhere || len(job.failedHosts) > 1 {
		if job.nextRound(c.now) {
			c.log("job failing", "job", job.id, "class", job.spec.Class, "team", job.spec.Team, "machines", len(job.failedHosts), "failures", job.failureRounds,
				"suspect", job.isSuspect(), "backoff_us", job.backoffUntil-c.now)
		}
		if doesWellElsewhere {
			job.backoffUntil = min(job.backoffUntil, c.now+machineFailurePause) // only some of its machines are bad
		}
	}
	if wasSuspect {
		return
	}
	machine.failedJobs[job] = true
	if doesWellElsewhere || len(job.failedHosts) == 1 {
		machine.avoidUntil = c.now + machineFailurePause
	}
}

// machineFailures is what the failures on a machine, and the run times there, say about it.
type machineFailures struct {
	failedJobs  map[*job]bool // that failed on it since a task last completed there
	avoidUntil  Micros        // nothing is placed on it before
	quarantined bool          // nothing is placed on it any more
	slowdown    float64       // how its tasks' run times compare with the usual, 1 is usual
}

// countFailedJobs counts the jobs that failed on the machine and do well elsewhere, and of all
// those that are not suspect themselves.
func (f *machineFailures) countFailedJobs() (doWellElsewhere, all int) {
	for j := range f.failedJobs {
		switch {
		case j.completedCount > 0:
			doWellElsewhere++
			all++
		case !j.isSuspect():
			all++
		}
	}
	return doWellElsewhere, all
}

// updateQuarantine quarantines a machine that is bad: by the jobs that have done well elsewhere
// by now, or because everything fails there.
func (c *Core) updateQuarantine(m *machine) {
	if m.quarantined || len(m.failedJobs) < quarantineAfterJobs {
		return
	}
	doWellElsewhere, all := m.countFailedJobs()
	if doWellElsewhere >= quarantineAfterJobs || all >= quarantineAfterAnyJobs {
		m.quarantined = true
		c.log("machine quarantined", "host", m.host, "type", m.machineType.Name, "jobs", len(m.failedJobs), "succeeding_elsewhere", doWellElsewhere)
	}
}

// clearSuspicion lets a job have its machines back once a task of it has run well beyond
// the time after which others failed.
func (c *Core) clearSuspicion(j *job) {
	for p := range j.placements {
		if p.runningSince > 0 && !p.recovered && !p.stopping && c.now-p.runningSince > recoveryFactor*j.longestFailedRun+recoveryMargin {
			j.reset()
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
// without an objective uses what others leave; it is rented for only after
// so long that nobody else can be expected to leave anything.
func (c *Core) mayScaleOutFor(j *job) bool {
	if j.isSuspect() {
		return c.now > j.backoffUntil+suspectScaleOutDelay
	}
	return !j.isLeftover() || c.now-j.arrival > config.Micro(*c.settings.Operator.LowPriorityScaleOutDelayS)
}

// isLeftover says whether the job has the lowest priority, no deadline and no objective: it runs in room
// that nobody else wants.
func (j *job) isLeftover() bool {
	return j.rank == 0 && j.spec.Shape != wire.Service && !j.hasObjective()
}
