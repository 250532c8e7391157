package sched

import "math"

const (
	serviceDecayTime = 300 * second // time in which a done job loses two thirds of its weight in the count
	minDemandJobs    = 10           // number of jobs in demand below which a share is not meaningful
	underservedBelow = 0.55         // share below which a class or team becomes underserved
	recoveredAbove   = 0.7          // share from which on a class or team is no longer underserved

	largeUnderservedBelow = 0.4 // share below which the largest jobs of a class become underserved
	largeRecoveredAbove   = 0.5 // share from which on the largest jobs of a class are no longer underserved
)

// serviceShare tracks which share of a demand is served. The demand is that of a job class, of the largest
// jobs of a class, or of a team.
type serviceShare struct {
	submitted, started, done, late, cancelled int // jobs in this term, including those found at its start

	ofLargeJobs bool    // the share counts only the largest jobs of a class
	decayedDone float64 // exponentially decayed count of done jobs
	decayedAt   Micros  // when decayedDone was last decayed

	// Results of the last update.
	share            float64 // served part of the demand
	demand           float64 // number of jobs
	underserved      bool
	underservedSince Micros // when the class, its largest jobs, or the team last became underserved
}

// decay applies the exponential decay to the count of done jobs, up to the given time.
func (s *serviceShare) decay(now Micros) {
	if now > s.decayedAt {
		s.decayedDone *= math.Exp(-float64(now-s.decayedAt) / float64(serviceDecayTime))
		s.decayedAt = now
	}
}

// restore takes over the decayed count of done jobs that an earlier leader had at the given time. It first
// decays the earlier leader's count up to now, and takes it over only if it is larger than the present count.
func (s *serviceShare) restore(ended float64, at, now Micros) {
	if ended > 0 {
		old := serviceShare{decayedDone: ended, decayedAt: at}
		old.decay(now)
		s.decay(now)
		s.decayedDone = max(s.decayedDone, old.decayedDone)
	}
}

// unfinishedJobs counts the unfinished jobs of a class or a team that have started or have waited longer than
// the grace period. The counts are integers, so that they don't depend on the order of the jobs. Sums of
// floating-point numbers would be rounded differently in each order.
type unfinishedJobs struct {
	jobs    int
	waiting int64 // sum of the waiting parts of these jobs, in units of 1/partsPerJob of a job
}

// partsPerJob is the number of equal parts into which a job is divided, to count in integers how much of the
// job waits.
const partsPerJob = 1_000_000_000

// waitingParts returns the fraction of the job's tasks that wait, in units of 1/partsPerJob.
func (j *job) waitingParts() int64 {
	return int64(j.pendingCount()) * partsPerJob / int64(j.spec.Tasks)
}

// add counts one more job, whose waiting part is given in units of 1/partsPerJob of a job.
func (u *unfinishedJobs) add(waiting int64) {
	u.jobs++
	u.waiting += waiting
}

// without returns these counts minus the counts of a subset of the same jobs.
func (u unfinishedJobs) without(subset unfinishedJobs) unfinishedJobs {
	return unfinishedJobs{u.jobs - subset.jobs, u.waiting - subset.waiting}
}

// update computes the demand and the share. The demand is the number of jobs that were done recently, have
// started, or have waited longer than the grace period. The share is the fraction of the demand that does not
// wait.
func (s *serviceShare) update(now Micros, unfinished unfinishedJobs) {
	s.decay(now)
	s.demand = s.decayedDone + float64(unfinished.jobs)
	s.share = 1
	if s.demand > 0 {
		s.share = 1 - float64(unfinished.waiting)/partsPerJob/s.demand
	}
}

// thresholds returns three limits: the demand from which on a share is meaningful, the share below which a
// class or team becomes underserved, and the share from which on the class or team is no longer underserved.
// For the largest jobs of a class, all three limits are lower. There are few such jobs, and each of them
// displaces several other jobs of its class.
func (s *serviceShare) thresholds() (demand, below, above float64) {
	if s.ofLargeJobs {
		return minDemandJobs / 2, largeUnderservedBelow, largeRecoveredAbove
	}
	return minDemandJobs, underservedBelow, recoveredAbove
}

// updateUnderserved decides whether the class, its largest jobs, or the team is underserved. The parameter
// competitorServed says whether a competitor has a much larger share.
func (s *serviceShare) updateUnderserved(now Micros, competitorServed bool) {
	wasUnderserved := s.underserved
	demand, below, above := s.thresholds()
	if wasUnderserved {
		below = above
	}
	s.underserved = s.demand >= demand && s.share < below && competitorServed
	if s.underserved && !wasUnderserved {
		s.underservedSince = now
	}
}

// eachServiceShare calls f with each service share that counts the job: the share of its class, the share of
// its team and, if the job is large, the share of the largest jobs of its class.
func (j *job) eachServiceShare(f func(*serviceShare)) {
	f(&j.class.service)
	f(&j.team.service)
	if j.isLarge {
		f(&j.class.largeJobService)
	}
}

// sizeWindow holds the sizes of the jobs of a class that arrived last. The size of a job is its number of
// tasks.
type sizeWindow struct {
	recent [64]int // a ring buffer
	added  int     // number of sizes added so far, including overwritten sizes
}

const (
	minWindowJobs = 10  // number of jobs in the window below which no job counts as large
	largeQuantile = 0.8 // fraction of the jobs in the window that must be smaller than a large job
)

// addAndCheckLarge adds the size of a job and reports whether the job counts as large. A job is large if four
// in five jobs in the window are smaller, or if no job in the window is larger and some are smaller. If all
// jobs have the same size, none is large.
func (z *sizeWindow) addAndCheckLarge(tasks int) bool {
	z.recent[z.added%len(z.recent)] = tasks
	z.added++
	sizes := z.recent[:min(z.added, len(z.recent))]
	if len(sizes) < minWindowJobs {
		return false
	}
	smaller, larger := 0, 0
	for _, x := range sizes {
		switch {
		case x < tasks:
			smaller++
		case x > tasks:
			larger++
		}
	}
	return smaller > 0 && (larger == 0 || float64(smaller) >= largeQuantile*float64(len(sizes)))
}

// underserved reports whether the job's class or team is underserved. For a large job, it also reports true if
// the largest jobs of the class are underserved.
func (j *job) underserved() bool {
	return j.class.service.underserved || j.team.service.underserved || j.isLarge && j.class.largeJobService.underserved
}

// recordStart records that a task of the job was reported running. Only the job's first call has an effect.
func (c *Core) recordStart(j *job) {
	if j.firstStartedAt == 0 {
		j.firstStartedAt = c.now
		j.eachServiceShare(func(s *serviceShare) { s.started++ })
	}
}

// recordEnd records the end of a job. The parameter done says whether the job completed. Otherwise the job was
// cancelled.
func (c *Core) recordEnd(j *job, done bool) {
	j.eachServiceShare(func(s *serviceShare) {
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
