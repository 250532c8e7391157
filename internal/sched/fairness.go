package sched

// The core tracks, for each class of jobs and each team, which share of its demand is served. A class or team
// is underserved if only about half of its demand or less is served while a competitor has a much larger
// share. Jobs of an underserved class or team go before other jobs of the same priority until the class or
// team has caught up. Jobs within their teams' guarantees still go before jobs beyond their teams'
// guarantees. This rule allows no additional preemption and doesn't change the order of priorities. It has no
// effect while all classes and teams are served well.

const (
	// fairnessInterval is the interval at which the service shares are updated.
	fairnessInterval = 2 * second
	// waitingGracePeriod is the age up to which a job's pending tasks don't count as waiting.
	waitingGracePeriod = 60 * second
	// minShareLead is how much larger a competitor's share must be for a class or team to count as
	// underserved.
	minShareLead = 0.2
	// takeoverGraceLeases is the time after a takeover, in lease durations, in which no class or team counts
	// as underserved, because the new leader does not know yet which jobs run.
	takeoverGraceLeases = 3
)

// fairnessUpdate holds the data of one call of updateFairness.
type fairnessUpdate struct {
	core           *Core
	unfinished     map[*serviceShare]*unfinishedJobs
	recentTakeover bool // a takeover was so recent that no class or team counts as underserved
}

// updateFairness updates all service shares, at most once per fairnessInterval.
func (c *Core) updateFairness() {
	if c.now-c.fairnessUpdatedAt < fairnessInterval {
		return
	}
	c.fairnessUpdatedAt = c.now
	update := &fairnessUpdate{core: c, unfinished: map[*serviceShare]*unfinishedJobs{}, recentTakeover: c.now-c.termStart < takeoverGraceLeases*c.lease}
	update.countUnfinished()
	update.updateClasses()
	update.updateTeams()
	update.updateLargeJobs()
}

// unfinishedOf returns the count of unfinished jobs of a share.
func (fu *fairnessUpdate) unfinishedOf(s *serviceShare) *unfinishedJobs {
	if fu.unfinished[s] == nil {
		fu.unfinished[s] = &unfinishedJobs{}
	}
	return fu.unfinished[s]
}

// countUnfinished counts the jobs that have started or have waited longer than the grace period.
func (fu *fairnessUpdate) countUnfinished() {
	for j := range fu.core.jobs.all() {
		if j.finalStatus != "" {
			continue
		}
		waiting := int64(0)
		if fu.core.now-j.arrival > waitingGracePeriod && !j.isSuspect() {
			waiting = j.waitingParts()
		}
		if j.firstStartedAt > 0 || waiting > 0 || j.completing {
			j.eachServiceShare(func(s *serviceShare) { fu.unfinishedOf(s).add(waiting) })
		}
	}
}

// updateClasses updates the shares of the classes. Classes that can use the same machine type compete.
func (fu *fairnessUpdate) updateClasses() {
	var shares []*serviceShare
	classes := fu.core.classes.sorted()
	for _, cl := range classes {
		shares = append(shares, &cl.service)
	}
	fu.updateGroup(shares, func(a, b int) bool { return fu.core.machineTypes.compete(classes[a], classes[b]) })
}

// updateTeams updates the shares of the teams, all of which compete.
func (fu *fairnessUpdate) updateTeams() {
	var shares []*serviceShare
	for _, t := range fu.core.teams.sorted() {
		shares = append(shares, &t.service)
	}
	fu.updateGroup(shares, func(int, int) bool { return true })
}

// updateGroup updates shares and compares each with those of its competitors in the group.
func (fu *fairnessUpdate) updateGroup(shares []*serviceShare, compete func(a, b int) bool) {
	for _, s := range shares {
		s.update(fu.core.now, *fu.unfinishedOf(s))
	}
	for a, s := range shares {
		competitorServed := false
		for b, other := range shares {
			competitorServed = competitorServed || (a != b && other.leads(s) && compete(a, b))
		}
		s.updateUnderserved(fu.core.now, competitorServed && !fu.recentTakeover)
	}
}

// updateLargeJobs updates the shares of the largest jobs of each class and compares them with those of the
// class's other jobs. A large gang falls behind as long as small jobs fit into room that is too small for the
// gang. updateLargeJobs must be called after updateClasses.
func (fu *fairnessUpdate) updateLargeJobs() {
	now := fu.core.now
	for _, cl := range fu.core.classes.sorted() {
		large, unfinished := &cl.largeJobService, *fu.unfinishedOf(&cl.largeJobService)
		large.ofLargeJobs = true
		large.update(now, unfinished)
		others := serviceShare{decayedDone: cl.service.decayedDone - large.decayedDone, decayedAt: now}
		others.update(now, fu.unfinishedOf(&cl.service).without(unfinished))
		large.updateUnderserved(now, others.leads(large) && !fu.recentTakeover)
	}
}

// leads reports whether the share is larger than the other share by at least minShareLead, so that the jobs of
// the larger share can wait. A share with a demand of fewer than minDemandJobs jobs is not meaningful and
// never leads.
func (s *serviceShare) leads(other *serviceShare) bool {
	return s.demand >= minDemandJobs && s.share >= other.share+minShareLead
}

// compete reports whether two classes can use the same machine type.
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
