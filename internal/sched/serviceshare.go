package sched

import "math"

const (
	serviceDecayTime = 300 * second // in which ended jobs lose two thirds of their weight
	minDemandJobs    = 10           // jobs below which a share says nothing
	underservedBelow = 0.55         // share below which a class or team is underserved
	recoveredAbove   = 0.7          // and above which it no longer is

	largeUnderservedBelow = 0.4 // the same for the largest jobs of a class
	largeRecoveredAbove   = 0.5
)

// serviceShare counts the jobs of a class or a team.
type serviceShare struct {
	submitted, started, done, late, cancelled int // in this term, those found at its start included

	ofLargeJobs bool    // counts the largest jobs of a class
	decayedDone float64 // done, a count that forgets
	decayedAt   Micros

	// as of the last update
	share            float64
	demand           float64
	underserved      bool
	underservedSince Micros // when it became so
}

// decay forgets ended jobs by their age.
func (s *serviceShare) decay(now Micros) {
	if now > s.decayedAt {
		s.decayedDone *= math.Exp(-float64(now-s.decayedAt) / float64(serviceDecayTime))
		s.decayedAt = now
	}
}

// restore takes what an earlier leader counted.
func (s *serviceShare) restore(ended float64, at, now Micros) {
	if ended > 0 {
		old := serviceShare{decayedDone: ended, decayedAt: at}
		old.decay(now)
		s.decay(now)
		s.decayedDone = max(s.decayedDone, old.decayedDone)
	}
}

// unfinishedJobs counts the unfinished jobs of a class or a team that run or have waited for a
// while. It adds up whole numbers: these are the same whatever the order of the jobs, while sums
// of fractions are rounded differently in each order.
type unfinishedJobs struct {
	jobs    int
	waiting int64 // how much of these jobs waits, in parts of a job
}

// partsPerJob is into how many parts a job is divided to count how much of it waits.
const partsPerJob = 1_000_000_000

// waitingParts is how much of the job waits, in parts of a job.
func (j *job) waitingParts() int64 {
	return int64(j.pendingCount()) * partsPerJob / int64(j.spec.Tasks)
}

// add counts one more job, of which so many parts wait.
func (u *unfinishedJobs) add(waiting int64) {
	u.jobs++
	u.waiting += waiting
}

// without returns the count less that of some of the same jobs.
func (u unfinishedJobs) without(some unfinishedJobs) unfinishedJobs {
	return unfinishedJobs{u.jobs - some.jobs, u.waiting - some.waiting}
}

// update brings the share up to date: of the jobs that ended lately, run, or have waited
// for a while, those that do not wait.
func (s *serviceShare) update(now Micros, unfinished unfinishedJobs) {
	s.decay(now)
	s.demand = s.decayedDone + float64(unfinished.jobs)
	s.share = 1
	if s.demand > 0 {
		s.share = 1 - float64(unfinished.waiting)/partsPerJob/s.demand
	}
}

// thresholds is how many jobs it takes for a share to say something, below which share it is
// underserved, and above which no longer. The largest jobs are few, and each costs its class several
// others.
func (s *serviceShare) thresholds() (demand, below, above float64) {
	if s.ofLargeJobs {
		return minDemandJobs / 2, largeUnderservedBelow, largeRecoveredAbove
	}
	return minDemandJobs, underservedBelow, recoveredAbove
}

// updateUnderserved says, by whether a rival has had much more, whether it is underserved.
func (s *serviceShare) updateUnderserved(now Micros, rivalServed bool) {
	was := s.underserved
	demand, below, recovered := s.thresholds()
	if was {
		below = recovered
	}
	s.underserved = s.demand >= demand && s.share < below && rivalServed
	if s.underserved && !was {
		s.underservedSince = now
	}
}

// eachService calls f with what is counted of the job's class and team, and of its class's largest.
func (j *job) eachService(f func(*serviceShare)) {
	f(&j.class.service)
	f(&j.team.service)
	if j.isLarge {
		f(&j.class.largeJobService)
	}
}

// sizeWindow is how many tasks the jobs of a class had lately.
type sizeWindow struct {
	recent [64]int
	n      int
}

const (
	minSizes      = 10  // jobs before which none counts as large
	largeQuantile = 0.8 // share of the jobs that are smaller than the largest
)

// addIsLarge takes another job and says whether it is among the largest: of those that come
// after each other four in five are smaller, or all are smaller or as large. Where all are
// of one size none is large.
func (z *sizeWindow) addIsLarge(tasks int) bool {
	z.recent[z.n%len(z.recent)] = tasks
	z.n++
	all := z.recent[:min(z.n, len(z.recent))]
	if len(all) < minSizes {
		return false
	}
	smaller, larger := 0, 0
	for _, x := range all {
		switch {
		case x < tasks:
			smaller++
		case x > tasks:
			larger++
		}
	}
	return smaller > 0 && (larger == 0 || float64(smaller) >= largeQuantile*float64(len(all)))
}

// underserved says whether the job's class or team is, or the largest of its class are and it is
// one of them.
func (j *job) underserved() bool {
	return j.class.service.underserved || j.team.service.underserved || j.isLarge && j.class.largeJobService.underserved
}

// recordStart notes that a task of the job was seen running.
func (c *Core) recordStart(j *job) {
	if j.firstStartedAt == 0 {
		j.firstStartedAt = c.now
		j.eachService(func(s *serviceShare) { s.started++ })
	}
}

// recordEnd notes how a job ended.
func (c *Core) recordEnd(j *job, done bool) {
	j.eachService(func(s *serviceShare) {
		if !done {
			s.cancelled++
			return
		}
		s.decay(c.now)
		s.decayedDone++
		s.done++
		if c.now > j.dueAt {
			s.late++
		}
	})
}
