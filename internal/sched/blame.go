package sched

import (
	"dalefront/internal/config"
	"dalefront/wire"
)

// A task that failed speaks against its machine or against its job. A machine is
// to blame if it fails jobs that do well elsewhere; a job is suspect once it has
// failed on two machines and nowhere done anything, and what it does from then on
// says nothing against any machine.

// suspect says whether the job itself is likely to be at fault. It is then tried
// with one task (a gang as a whole) after ever longer pauses, and only in room that
// is there: nothing makes way, is kept or is rented for it. It is never given up,
// since the fault may have been the machines' after all.
func (j *job) suspect() bool { return j.doneCount == 0 && len(j.errorHosts) >= 2 }

const (
	longestPause = 60 * second
	strikesOut   = 2  // jobs that do well elsewhere and fail on a machine
	failsAll     = 4  // jobs of any kind that fail on a machine on which nothing completes
	grace        = 30 // seconds that a suspect's try may wait for room before it is rented
)

// blame takes a task that failed.
func (c *Core) blame(j *job, m *machine, p *placement) {
	if p.running > 0 {
		j.failAfter = max(j.failAfter, c.now-p.running)
	}
	known := j.suspect()
	if j.errorHosts == nil {
		j.errorHosts = map[string]bool{}
	}
	j.errorHosts[m.host] = true
	if j.doneCount > 0 || len(j.errorHosts) > 1 {
		if c.now >= j.notBefore { // the tasks of one start fail together
			j.rounds++
			j.notBefore = c.now + min(longestPause, second<<min(j.rounds, 6))
			c.log("job fails", "job", j.id, "class", j.spec.Class, "team", j.spec.Team, "machines", len(j.errorHosts), "times", j.rounds,
				"suspect", j.suspect(), "pause_us", j.notBefore-c.now)
		}
		if j.doneCount > 0 {
			j.notBefore = min(j.notBefore, c.now+4*second) // only some of its machines are bad
		}
	}
	if known {
		return
	}
	m.errJobs[j] = true
	if j.doneCount > 0 || len(j.errorHosts) == 1 {
		m.avoid = c.now + 4*second
	}
}

// judge says whether a machine is bad: by the jobs that have done well elsewhere
// by now, or because everything fails there.
func (c *Core) judge(m *machine) {
	strikes, fails := 0, 0
	for j := range m.errJobs {
		switch {
		case j.doneCount > 0:
			strikes++
			fails++
		case !j.suspect():
			fails++
		}
	}
	if !m.bad && (strikes >= strikesOut || fails >= failsAll) {
		m.bad = true
		c.log("machine fails tasks", "host", m.host, "type", m.kind.Name, "jobs", len(m.errJobs), "that_do_well_elsewhere", strikes)
	}
}

// recover lets a job have its machines back once a task of it has run well beyond
// the time after which others failed.
func (c *Core) recover(j *job) {
	for p := range j.placements {
		if p.running > 0 && !p.loaded && !p.stop && c.now-p.running > 2*j.failAfter+5*second {
			clear(j.errorHosts)
			j.rounds = 0
			return
		}
	}
}

// tries is how many tasks of the job may be on machines at a time.
func (c *Core) tries(j *job) int {
	if j.suspect() {
		c.recover(j)
	}
	if j.suspect() && !j.gang() {
		return 1
	}
	return j.spec.Tasks
}

// mayRent says whether machines may be rented for the job. Work of lowest priority
// for which nothing is aimed at uses what others leave; it is rented for only after
// so long that nobody else can be expected to leave anything.
func (c *Core) mayRent(j *job) bool {
	if j.suspect() {
		return c.now > j.notBefore+config.Micro(grace)
	}
	return !j.aimless() || c.now-j.arrival > config.Micro(*c.set.Operator.LeftoverRentS)
}

// aimless says whether the job has the lowest priority, no deadline and no aim that
// watches it: it runs in room that nobody else wants.
func (j *job) aimless() bool {
	return j.rank == 0 && j.spec.DeadlineS == nil && j.spec.Shape != wire.Service && len(j.class.waits)+len(j.class.finishes) == 0
}
