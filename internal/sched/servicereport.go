package sched

import (
	"cmp"
	"slices"
)

// ServiceShare is how much of what a class of jobs or a team asked for is served. Counts are
// of jobs, in this term, those that waited or ran at its start included.
type ServiceShare struct {
	Name                                               string
	Team                                               bool // otherwise a class
	Submitted, Started, Done, Late, Cancelled, Waiting int
	Share                                              float64 // of what it asked for lately
	Underserved                                        bool
	WaitReason                                         string // what the longest waiting of its jobs waits for, if it is underserved
	UnderservedFor                                     Micros // how long it has been underserved
}

// serviceReport is what ServiceShares finds out of jobs that have not begun.
type serviceReport struct {
	core    *Core
	waiting map[*serviceShare]int
	oldest  map[*serviceShare]*job
}

// ServiceShares reports on all teams, and on so many classes at most: those with most jobs first.
func (c *Core) ServiceShares(maxClasses int) []ServiceShare {
	report := c.newServiceReport()
	var classes, teams []ServiceShare
	for _, cl := range c.classes.sorted() {
		classes = report.add(classes, cl.name, false, &cl.service)
		classes = report.add(classes, "largest of "+cl.name, false, &cl.largeJobService)
	}
	for _, t := range c.teams.sorted() {
		teams = report.add(teams, t.Name, true, &t.service)
	}
	sortBySubmitted(classes)
	sortBySubmitted(teams)
	return slices.Concat(classes[:min(maxClasses, len(classes))], teams)
}

// sortBySubmitted puts those with most jobs first.
func sortBySubmitted(shares []ServiceShare) {
	slices.SortStableFunc(shares, func(a, b ServiceShare) int { return cmp.Compare(b.Submitted, a.Submitted) })
}

// newServiceReport finds, for each share, how many of its jobs have not begun and the oldest of them.
func (c *Core) newServiceReport() *serviceReport {
	report := &serviceReport{core: c, waiting: map[*serviceShare]int{}, oldest: map[*serviceShare]*job{}}
	for j := range c.jobs.all() {
		if j.finalStatus != "" || j.firstStartedAt != 0 {
			continue
		}
		j.eachService(func(s *serviceShare) {
			report.waiting[s]++
			if oldest := report.oldest[s]; oldest == nil || compareArrival(j, oldest) < 0 {
				report.oldest[s] = j
			}
		})
	}
	return report
}

// add appends the report on a share, if jobs were submitted that count for it.
func (sr *serviceReport) add(shares []ServiceShare, name string, isTeam bool, s *serviceShare) []ServiceShare {
	if s.submitted == 0 {
		return shares
	}
	share := ServiceShare{
		Name: name, Team: isTeam,
		Submitted: s.submitted, Started: s.started, Done: s.done, Late: s.late, Cancelled: s.cancelled,
		Waiting: sr.waiting[s], Share: s.share, Underserved: s.underserved,
	}
	if s.underserved {
		share.UnderservedFor = sr.core.now - s.underservedSince
		if oldest := sr.oldest[s]; oldest != nil {
			share.WaitReason = sr.core.lastPass.explainWait(oldest).Reason
		}
	}
	return append(shares, share)
}
