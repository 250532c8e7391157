package sched

// Of each class of jobs and each team it is counted how much of what it asked for is
// served. One of which less than half is served while others have had much more is
// underserved: among jobs of one priority, and equally within or beyond their teams'
// guarantees, its jobs go first then, until it has caught up. Nothing is stopped for it that
// might not be stopped otherwise, and no order of priorities changes. On a day on which
// everybody is served well nothing of this acts.

const (
	// fairnessInterval is how often it is found out who is underserved.
	fairnessInterval = 2 * second
	// waitingGrace is the age before which a job that has not begun isn't counted as waiting.
	waitingGrace = 60 * second
	// rivalLead is by how much the share of a rival is larger whose jobs can wait.
	rivalLead = 0.2
	// takeoverLeases is for how many leases after a takeover nobody counts as underserved: it is not
	// known yet which jobs run.
	takeoverLeases = 3
)

// fairnessUpdate is the state of one call of updateFairness.
type fairnessUpdate struct {
	core       *Core
	unfinished map[*serviceShare]*unfinishedJobs
	takenOver  bool // shortly before, so that nobody counts as underserved
}

// updateFairness finds out now and then who is underserved.
func (c *Core) updateFairness() {
	if c.now-c.fairnessUpdatedAt < fairnessInterval {
		return
	}
	c.fairnessUpdatedAt = c.now
	update := &fairnessUpdate{core: c, unfinished: map[*serviceShare]*unfinishedJobs{}, takenOver: c.now-c.termStart < takeoverLeases*c.lease}
	update.countUnfinished()
	update.classes()
	update.teams()
	update.largeJobs()
}

// of is the unfinished jobs that are counted for a share.
func (fu *fairnessUpdate) of(s *serviceShare) *unfinishedJobs {
	if fu.unfinished[s] == nil {
		fu.unfinished[s] = &unfinishedJobs{}
	}
	return fu.unfinished[s]
}

// countUnfinished counts the jobs that run or have waited for a while.
func (fu *fairnessUpdate) countUnfinished() {
	for j := range fu.core.jobs.all() {
		if j.finalStatus != "" {
			continue
		}
		waiting := int64(0)
		if fu.core.now-j.arrival > waitingGrace && !j.isSuspect() {
			waiting = j.waitingParts()
		}
		if j.firstStartedAt > 0 || waiting > 0 || j.completing {
			j.eachService(func(s *serviceShare) { fu.of(s).add(waiting) })
		}
	}
}

// classes updates the classes: those that may use machines of one type are rivals.
func (fu *fairnessUpdate) classes() {
	var shares []*serviceShare
	classes := fu.core.classes.sorted()
	for _, cl := range classes {
		shares = append(shares, &cl.service)
	}
	fu.group(shares, func(a, b int) bool { return fu.core.machineTypes.compete(classes[a], classes[b]) })
}

// teams updates the teams, which are all rivals.
func (fu *fairnessUpdate) teams() {
	var shares []*serviceShare
	for _, t := range fu.core.teams.sorted() {
		shares = append(shares, &t.service)
	}
	fu.group(shares, func(int, int) bool { return true })
}

// group updates shares, each beside its rivals among the others.
func (fu *fairnessUpdate) group(shares []*serviceShare, rivals func(a, b int) bool) {
	for _, s := range shares {
		s.update(fu.core.now, *fu.of(s))
	}
	for a, s := range shares {
		rivalServed := false
		for b, other := range shares {
			rivalServed = rivalServed || (a != b && other.leads(s) && rivals(a, b))
		}
		s.updateUnderserved(fu.core.now, rivalServed && !fu.takenOver)
	}
}

// largeJobs updates the largest jobs of each class, beside the others of it, to which a gang yields
// for as long as they fit where it does not. Call it after classes.
func (fu *fairnessUpdate) largeJobs() {
	now := fu.core.now
	for _, cl := range fu.core.classes.sorted() {
		large, unfinished := &cl.largeJobService, *fu.of(&cl.largeJobService)
		large.ofLargeJobs = true
		large.update(now, unfinished)
		rest := serviceShare{decayedDone: cl.service.decayedDone - large.decayedDone, decayedAt: now}
		rest.update(now, fu.of(&cl.service).without(unfinished))
		large.updateUnderserved(now, rest.leads(large) && !fu.takenOver)
	}
}

// leads says whether so much more of what it asked for is served than of the other that its jobs
// can wait.
func (s *serviceShare) leads(other *serviceShare) bool {
	return s.demand >= minDemandJobs && s.share >= other.share+rivalLead
}

// compete says whether two classes may use machines of one type.
func (cat catalog) compete(a, b *class) bool {
	if a.sampleJob == nil || b.sampleJob == nil {
		return false
	}
	for _, t := range cat {
		if fitsType(&a.sampleJob.spec, t) && fitsType(&b.sampleJob.spec, t) {
			return true
		}
	}
	return false
}
