package sched

import (
	"cmp"
	"slices"
)

// ServiceShare reports which share of a demand is served. The demand is that of a job class, of the largest
// jobs of a class, or of a team. The counts are numbers of jobs in this term, including jobs that waited or
// ran at the start of the term.
type ServiceShare struct {
	Name                                               string
	IsTeam                                             bool // whether Name is a team, not a class or its largest jobs
	Submitted, Started, Done, Late, Cancelled, Waiting int
	Share                                              float64 // served part of the recent demand
	Underserved                                        bool
	WaitReason                                         string // why the oldest unstarted job waits, if underserved
	UnderservedFor                                     Micros // time since it became underserved, 0 if it is not
}

// serviceReport holds, for each service share, the number of jobs that have not started and the oldest such
// job.
type serviceReport struct {
	core    *Core
	waiting map[*serviceShare]int
	oldest  map[*serviceShare]*job
}

// ServiceShares reports the service shares of the classes, followed by the service shares of the teams. The
// largest jobs of a class have an entry of their own. Both parts are sorted by the number of submitted jobs,
// the largest number first. The first part has at most maxClasses entries, because users choose the names of
// classes and there may be any number of them.
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

// sortBySubmitted sorts shares by the number of submitted jobs, the largest first.
func sortBySubmitted(shares []ServiceShare) {
	slices.SortStableFunc(shares, func(a, b ServiceShare) int { return cmp.Compare(b.Submitted, a.Submitted) })
}

// newServiceReport collects the jobs that have not started.
func (c *Core) newServiceReport() *serviceReport {
	report := &serviceReport{core: c, waiting: map[*serviceShare]int{}, oldest: map[*serviceShare]*job{}}
	for j := range c.jobs.all() {
		if j.finalStatus != "" || j.firstStartedAt != 0 {
			continue
		}
		j.eachServiceShare(func(s *serviceShare) {
			report.waiting[s]++
			if oldest := report.oldest[s]; oldest == nil || compareArrival(j, oldest) < 0 {
				report.oldest[s] = j
			}
		})
	}
	return report
}

// add appends the report on a service share, unless no jobs were submitted that the share counts.
func (sr *serviceReport) add(shares []ServiceShare, name string, isTeam bool, s *serviceShare) []ServiceShare {
	if s.submitted == 0 {
		return shares
	}
	share := ServiceShare{
		Name: name, IsTeam: isTeam,
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
