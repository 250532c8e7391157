package sched

import (
	"cmp"
	"math"
	"slices"
)

// Of each class of jobs and each team it is counted how much of what it asked for is
// served. One of which less than half is served while others have had much more is
// behind: among jobs of one priority, and equally within or beyond their teams'
// guarantees, its jobs go first then, until it has caught up. Nothing is stopped for it that
// might not be stopped otherwise, and no order of priorities changes. On a day on which
// everybody is served well nothing of this acts.

const (
	serviceDecayTime = 300 * second // in which ended jobs lose two thirds of their weight
	waitingGrace     = 60 * second  // before which a job that has not begun isn't counted as waiting
	minDemandJobs    = 10           // jobs below which a share says nothing
	underservedBelow = 0.55         // share below which a class or team is behind
	recoveredAbove   = 0.7          // and above which it no longer is

	largeUnderservedBelow = 0.4 // the same for the largest jobs of a class
	largeRecoveredAbove   = 0.5

	rivalLead = 0.2 // by which the share of one is larger whose jobs can wait
)

// serviceShare counts the jobs of a class or a team.
type serviceShare struct {
	submitted, started, done, late, cancelled int // in this term, those found at its start included

	ofLargeJobs bool    // counts the largest jobs of a class
	decayedDone float64 // done, a count that forgets
	decayedAt   Micros

	// as of the last reckoning
	share            float64
	demand           float64
	underserved      bool
	underservedSince Micros // when it fell behind
}

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
// behind, and above which no longer. The largest jobs are few, and each costs its class several
// others.
func (s *serviceShare) thresholds() (asked, behind, caught float64) {
	if s.ofLargeJobs {
		return minDemandJobs / 2, largeUnderservedBelow, largeRecoveredAbove
	}
	return minDemandJobs, underservedBelow, recoveredAbove
}

// updateUnderserved says, with what another one has had, whether it is behind.
func (s *serviceShare) updateUnderserved(now Micros, other bool) {
	was := s.underserved
	asked, least, caught := s.thresholds()
	if was {
		least = caught
	}
	s.underserved = s.demand >= asked && s.share < least && other
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

// fairnessInterval is how often it is found out who is behind.
const fairnessInterval = 2 * second

// updateFairness finds out who is behind. Shortly after a takeover it is not known yet which jobs
// run, so nobody is.
func (c *Core) updateFairness() {
	if c.now-c.fairnessUpdatedAt < fairnessInterval {
		return
	}
	c.fairnessUpdatedAt = c.now
	of := map[*serviceShare]*unfinishedJobs{}
	get := func(s *serviceShare) *unfinishedJobs {
		if of[s] == nil {
			of[s] = &unfinishedJobs{}
		}
		return of[s]
	}
	for j := range c.jobs.all() {
		if j.finalStatus != "" {
			continue
		}
		waiting := int64(0)
		if c.now-j.arrival > waitingGrace && !j.isSuspect() {
			waiting = j.waitingParts()
		}
		if j.firstStartedAt > 0 || waiting > 0 || j.completing {
			j.eachService(func(s *serviceShare) { get(s).add(waiting) })
		}
	}
	young := c.now-c.termStart < 3*c.lease
	group := func(all []*serviceShare, rival func(a, b int) bool) {
		for _, s := range all {
			s.update(c.now, *get(s))
		}
		for a, s := range all {
			other := false
			for b, o := range all {
				other = other || (a != b && o.demand >= minDemandJobs && o.share >= s.share+rivalLead && rival(a, b))
			}
			s.updateUnderserved(c.now, other && !young)
		}
	}
	var ss []*serviceShare
	classes := c.classes.sorted()
	for _, cl := range classes {
		ss = append(ss, &cl.service)
	}
	group(ss, func(a, b int) bool { return c.compete(classes[a], classes[b]) })
	ss = ss[:0]
	for _, t := range c.teams.sorted() {
		ss = append(ss, &t.service)
	}
	group(ss, func(int, int) bool { return true })
	// The largest of a class beside the others of it, to which a gang yields for as long as
	// they fit where it does not.
	for _, cl := range classes {
		l, unfinished := &cl.largeJobService, *get(&cl.largeJobService)
		l.ofLargeJobs = true
		l.update(c.now, unfinished)
		rest := serviceShare{decayedDone: cl.service.decayedDone - l.decayedDone, decayedAt: c.now}
		rest.update(c.now, get(&cl.service).without(unfinished))
		l.updateUnderserved(c.now, rest.demand >= minDemandJobs && rest.share >= l.share+rivalLead && !young)
	}
}

// compete says whether two classes may use machines of one type.
func (c *Core) compete(a, b *class) bool {
	if a.sampleJob == nil || b.sampleJob == nil {
		return false
	}
	for _, t := range c.machineTypes {
		if fitsType(&a.sampleJob.spec, t) && fitsType(&b.sampleJob.spec, t) {
			return true
		}
	}
	return false
}

// underserved says whether the job's class or team is, or the largest of its class are and it is
// one of them.
func (j *job) underserved() bool {
	return j.class.service.underserved || j.team.service.underserved || j.isLarge && j.class.largeJobService.underserved
}

// ServiceShare is how much of what a class of jobs or a team asked for is served. Counts are
// of jobs, in this term, those that waited or ran at its start included.
type ServiceShare struct {
	Name                                               string
	Team                                               bool // otherwise a class
	Submitted, Started, Done, Late, Cancelled, Waiting int
	Share                                              float64 // of what it asked for lately
	Underserved                                        bool
	WaitReason                                         string // what the longest waiting of its jobs waits for, if it is behind
	UnderservedFor                                     Micros // how long it has been behind
}

// ServiceShares tells it of all teams, and of so many classes at most: those with most jobs first.
func (c *Core) ServiceShares(mostClasses int) (out []ServiceShare) {
	waiting := map[*serviceShare]int{}
	oldest := map[*serviceShare]*job{}
	for j := range c.jobs.all() {
		if j.finalStatus == "" && j.firstStartedAt == 0 {
			j.eachService(func(s *serviceShare) {
				waiting[s]++
				if o := oldest[s]; o == nil || j.arrival < o.arrival || (j.arrival == o.arrival && j.id < o.id) {
					oldest[s] = j
				}
			})
		}
	}
	add := func(part []ServiceShare, name string, isTeam bool, s *serviceShare) []ServiceShare {
		x := ServiceShare{name, isTeam, s.submitted, s.started, s.done, s.late, s.cancelled, waiting[s], s.share, s.underserved, "", 0}
		if x.Submitted == 0 {
			return part
		}
		if s.underserved {
			x.UnderservedFor = c.now - s.underservedSince
			if j := oldest[s]; j != nil {
				x.WaitReason = c.lastPass.explainWait(j).Reason
			}
		}
		return append(part, x)
	}
	sorted := func(part []ServiceShare) []ServiceShare {
		slices.SortStableFunc(part, func(a, b ServiceShare) int { return cmp.Compare(b.Submitted, a.Submitted) })
		return part
	}
	var classes, teams []ServiceShare
	for _, cl := range c.classes.sorted() {
		classes = add(classes, cl.name, false, &cl.service)
		if cl.largeJobService.submitted > 0 {
			classes = add(classes, "largest of "+cl.name, false, &cl.largeJobService)
		}
	}
	for _, t := range c.teams.sorted() {
		teams = add(teams, t.Name, true, &t.service)
	}
	classes = sorted(classes)
	return append(classes[:min(mostClasses, len(classes))], sorted(teams)...)
}
