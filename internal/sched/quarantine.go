package sched

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

// This file decides whether failed tasks count against their machine or against their job. A machine is
// faulty if jobs fail on it that succeed on other machines. A job is suspect once it has failed on two
// machines and has completed no task anywhere. The failures of a suspect job don't count against any machine.

// isSuspect reports whether the job itself is likely to be faulty. A suspect job is retried after increasing
// pauses, with one task or, if the job is a gang, as a whole. It is placed only in capacity that is already
// free: no task is preempted and no machine is kept idle for the job. Machines are rented for the job only
// after suspectScaleOutDelay. Retries never end, since the machines may have been faulty after all.
func (j *job) isSuspect() bool { return j.completedCount == 0 && len(j.failedHosts) >= minSuspectHosts }

// minSuspectHosts is the number of machines on which a job must have failed to be suspect.
const minSuspectHosts = 2

const (
	maxFailureBackoff      = 60 * second
	maxBackoffDoublings    = 6           // with more doublings, the pause would exceed maxFailureBackoff anyway
	machineFailurePause    = 4 * second  // pause of a machine, or of a job that succeeds elsewhere, after a failure
	quarantineAfterJobs    = 2           // number of jobs that fail on a quarantined machine and succeed elsewhere
	quarantineAfterAnyJobs = 4           // number of jobs that fail on a quarantined machine where no task completes
	suspectScaleOutDelay   = 30 * second // wait of a suspect job for free capacity before machines are rented
	recoveryFactor         = 2           // see clearSuspicion
	recoveryMargin         = 5 * second  // see clearSuspicion
)

// failureHistory records the failures of a job.
type failureHistory struct {
	backoffUntil     Micros          // no task of the job is placed before this time
	failureRounds    int             // rounds of failures in a row; tasks started together count as one round
	failedHosts      map[string]bool // machines on which the job failed since it last succeeded
	longestFailedRun Micros          // longest time that a task ran before it failed
}

// failureBackoff returns how long a job pauses after the given number of failure rounds.
func failureBackoff(rounds int) Micros {
	return min(maxFailureBackoff, second<<min(rounds, maxBackoffDoublings))
}

// addFailedRun records that a task failed on a machine after it had run for the given time.
func (h *failureHistory) addFailedRun(host string, ran Micros) {
	h.longestFailedRun = max(h.longestFailedRun, ran)
	if h.failedHosts == nil {
		h.failedHosts = map[string]bool{}
	}
	h.failedHosts[host] = true
}

// startBackoff counts another round of failures, starts a pause of the job and reports true. If the previous
// pause has not ended, startBackoff does nothing and reports false. Tasks that were started together fail
// together, and count as one round.
func (h *failureHistory) startBackoff(now Micros) bool {
	if now < h.backoffUntil {
		return false
	}
	h.failureRounds++
	h.backoffUntil = now + failureBackoff(h.failureRounds)
	return true
}

// reset clears the failures of a job that now succeeds.
func (h *failureHistory) reset() {
	clear(h.failedHosts)
	h.failureRounds = 0
}

// restore takes over what the previous leader recorded about a suspect job: two machines on which the job
// failed, and the number of failure rounds. Without this record, each new leader would retry the job with all
// its tasks, in capacity that other jobs wait for.
func (h *failureHistory) restore(hosts []string, rounds int, now Micros) {
	h.failedHosts = map[string]bool{}
	for _, host := range hosts {
		h.failedHosts[host] = true
	}
	h.failureRounds = max(0, rounds)
	h.backoffUntil = now + failureBackoff(h.failureRounds)/2
}

// recordFailure records the failure of a task for its job and its machine.
func (c *Core) recordFailure(placement *placement) {
	job, machine := placement.job, placement.machine
	wasSuspect := job.isSuspect()
	ran := Micros(0)
	if placement.runningSince > 0 {
		ran = c.now - placement.runningSince
	}
	job.addFailedRun(machine.host, ran)
	succeedsElsewhere := job.completedCount > 0
	if succeedsElsewhere || len(job.failedHosts) > 1 {
		if job.startBackoff(c.now) {
			c.log("job failing", "job", job.id, "class", job.spec.Class, "team", job.spec.Team, "machines", len(job.failedHosts), "failures", job.failureRounds,
				"suspect", job.isSuspect(), "backoff_us", job.backoffUntil-c.now)
		}
		if succeedsElsewhere {
			job.backoffUntil = min(job.backoffUntil, c.now+machineFailurePause) // the job works on other machines
		}
	}
	if wasSuspect {
		return
	}
	machine.failedJobs[job] = true
	if succeedsElsewhere || len(job.failedHosts) == 1 {
		machine.avoidUntil = c.now + machineFailurePause
	}
}

// machineFailures records the failures on a machine and how fast its tasks run.
type machineFailures struct {
	failedJobs  map[*job]bool // jobs that failed on the machine since a task last completed there
	avoidUntil  Micros        // no task is placed on the machine before this time
	quarantined bool          // no task is placed on the machine any more
	slowdown    float64       // ratio of the run times of the machine's tasks to the usual run times; 1 is usual
}

// countFailedJobs returns two numbers: the jobs that failed on the machine and succeed elsewhere, and all
// jobs that failed on the machine and are not suspect.
func (f *machineFailures) countFailedJobs() (succeedElsewhere, all int) {
	for j := range f.failedJobs {
		switch {
		case j.completedCount > 0:
			succeedElsewhere++
			all++
		case !j.isSuspect():
			all++
		}
	}
	return succeedElsewhere, all
}

// updateQuarantine quarantines a machine in two cases. Either at least quarantineAfterJobs jobs failed on the
// machine that succeed elsewhere, or at least quarantineAfterAnyJobs jobs that are not suspect failed on the
// machine while no task completed there.
func (c *Core) updateQuarantine(m *machine) {
	if m.quarantined || len(m.failedJobs) < quarantineAfterJobs {
		return
	}
	succeedElsewhere, all := m.countFailedJobs()
	if succeedElsewhere >= quarantineAfterJobs || all >= quarantineAfterAnyJobs {
		m.quarantined = true
		c.log("machine quarantined", "host", m.host, "type", m.machineType.Name, "jobs", len(m.failedJobs), "succeeding_elsewhere", succeedElsewhere)
	}
}

// clearSuspicion clears the failures of a job once one of its tasks has run much longer than any of its failed
// tasks. The required run time is the longest failed run, multiplied by recoveryFactor, plus recoveryMargin.
func (c *Core) clearSuspicion(j *job) {
	for p := range j.placements {
		if p.runningSince > 0 && !p.recovered && !p.stopping && c.now-p.runningSince > recoveryFactor*j.longestFailedRun+recoveryMargin {
			j.reset()
			return
		}
	}
}

// concurrencyLimit returns how many tasks of the job may be on machines at a time.
func (c *Core) concurrencyLimit(j *job) int {
	if j.isSuspect() {
		c.clearSuspicion(j)
	}
	if j.isSuspect() && !j.isGang() {
		return 1
	}
	return j.spec.Tasks
}

// mayScaleOutFor reports whether machines may be rented for the job. A job of the lowest priority without an
// objective normally runs in capacity that other jobs leave over. Machines are rented for such a job only
// after it has waited for the time in the setting leftover_rent_s, since no capacity can then be expected to
// be left over.
func (c *Core) mayScaleOutFor(j *job) bool {
	if j.isSuspect() {
		return c.now > j.backoffUntil+suspectScaleOutDelay
	}
	return !j.isBestEffort() || c.now-j.arrival > config.Micro(*c.settings.Operator.LowPriorityScaleOutDelayS)
}

// isBestEffort reports whether the job has the lowest priority, no deadline and no objective, so that it runs
// in capacity that no other job needs.
func (j *job) isBestEffort() bool {
	return j.rank == 0 && j.spec.Shape != wire.Service && !j.hasObjective()
}
