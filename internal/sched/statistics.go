package sched

import (
	"cmp"
	"maps"
	"slices"

	"dalefront/internal/failuredomain"
)

// Statistics holds what a leader has observed. It is stored so that the next leader need not make the same
// observations again. Correctness doesn't depend on the stored statistics: if they are outdated or missing,
// only time is lost.
type Statistics struct {
	At      Micros                `msgpack:"A"` // time of the observation, by the leader's clock
	Write   float64               `msgpack:"W"` // bandwidth of checkpoint writes, GB/s
	Classes []ClassStatistics     `msgpack:"C"`
	Teams   []TeamStatistics      `msgpack:"T,omitempty"`
	Suspect []JobStatistics       `msgpack:"J,omitempty"` // suspect jobs
	Silence failuredomain.History `msgpack:"S"`           // outcome of past silences of machines and zones
}

// ClassStatistics holds what the leader observed of a job class.
type ClassStatistics struct {
	Name         string  `msgpack:"N"`
	RunTimeRatio float64 `msgpack:"R"`
	Arrivals     float64 `msgpack:"A"`
	MeanTasks    float64 `msgpack:"S"`
	Ended        float64 `msgpack:"E,omitempty"` // decayed count of done jobs
}

// TeamStatistics holds what the leader observed of a team.
type TeamStatistics struct {
	Name  string  `msgpack:"N"`
	Ended float64 `msgpack:"E"` // decayed count of done jobs
}

// JobStatistics describes a suspect job. Such a job failed on several machines and completed no task.
type JobStatistics struct {
	ID            string   `msgpack:"I"`
	Hosts         []string `msgpack:"H"` // two of the machines on which the job failed
	FailureRounds int      `msgpack:"T"` // rounds of failures in a row; tasks started together count as one round
}

// maxStatisticsEntries bounds the number of stored classes and the number of stored suspect jobs, so that they
// stay well below any size limit of a stored value. The classes with the most arrivals are kept. For teams, it
// is the number up to which teams are kept whatever their size in bytes.
const maxStatisticsEntries = 64

// maxStatisticsNameBytes is the greatest length in bytes of the name of a class or team. The statistics of a
// class or team with a longer name are not stored.
const maxStatisticsNameBytes = 64

const (
	// statisticsTeamShare is the fraction of the size limit of a stored value that the statistics may take up.
	// Teams are added only until this fraction is reached.
	statisticsTeamShare = 0.75
	// classStatisticsBytes, teamStatisticsBytes and jobStatisticsBytes are the assumed sizes in bytes of the
	// statistics of a class, a team and a suspect job, without names. They are sizes in the text form. The
	// size limit applies to the text form, which is longer than the binary form.
	classStatisticsBytes = 120
	teamStatisticsBytes  = 40
	jobStatisticsBytes   = 50
	// otherStatisticsBytes is the assumed size in bytes of all statistics that don't grow with the site.
	otherStatisticsBytes = 1200
)

// bytesLeftForTeams returns the number of bytes left for teams in a stored value of at most limit bytes.
func (s *Statistics) bytesLeftForTeams(limit float64) int {
	left := int(limit*statisticsTeamShare) - otherStatisticsBytes
	for i := range s.Classes {
		left -= classStatisticsBytes + len(s.Classes[i].Name)
	}
	for i := range s.Suspect {
		left -= jobStatisticsBytes + len(s.Suspect[i].ID)
		for _, host := range s.Suspect[i].Hosts {
			left -= len(host)
		}
	}
	return left
}

// cutTeams keeps the teams with the most done jobs. It keeps maxStatisticsEntries teams in any case, and more
// teams as long as they fit into a stored value of at most limit bytes. The order of the teams doesn't change.
func (s *Statistics) cutTeams(limit float64) {
	if len(s.Teams) <= maxStatisticsEntries {
		return
	}
	byEnded := slices.Clone(s.Teams)
	slices.SortStableFunc(byEnded, func(a, b TeamStatistics) int { return cmp.Compare(b.Ended, a.Ended) })
	left := s.bytesLeftForTeams(limit)
	kept := map[string]bool{}
	for i, team := range byEnded {
		if left -= teamStatisticsBytes + len(team.Name); left < 0 && i >= maxStatisticsEntries {
			break
		}
		kept[team.Name] = true
	}
	s.Teams = slices.DeleteFunc(s.Teams, func(team TeamStatistics) bool { return !kept[team.Name] })
}

// minStoredDone is the decayed count of done jobs above which a team is stored.
const minStoredDone = 0.1

// Statistics returns what was observed up to now, to be stored for the next leader.
func (c *Core) Statistics(now Micros) Statistics {
	stats := Statistics{
		At: now, Write: c.bandwidth.write, Silence: c.detector.History(),
		Classes: c.classStatistics(now), Teams: c.teamStatistics(now), Suspect: c.suspectStatistics(),
	}
	stats.cutTeams(c.settings.Deployment.State.ValueKB * 1024)
	return stats
}

// classStatistics returns the statistics of the classes with the most arrivals. They are sorted by the number
// of arrivals, the largest number first.
func (c *Core) classStatistics(now Micros) (classes []ClassStatistics) {
	for _, cl := range c.classes.sorted() {
		cl.decay(now)
		if len(cl.name) <= maxStatisticsNameBytes {
			cl.service.decay(now)
			classes = append(classes, ClassStatistics{cl.name, cl.runTimeRatio, cl.decayedArrivals, cl.meanTasks, cl.service.decayedDone})
		}
	}
	slices.SortFunc(classes, func(a, b ClassStatistics) int {
		return cmp.Or(cmp.Compare(b.Arrivals, a.Arrivals), cmp.Compare(a.Name, b.Name))
	})
	return classes[:min(len(classes), maxStatisticsEntries)]
}

// teamStatistics returns the statistics of the teams with recently done jobs, sorted by name.
func (c *Core) teamStatistics(now Micros) (teams []TeamStatistics) {
	for _, t := range c.teams.sorted() {
		if t.service.decay(now); t.service.decayedDone > minStoredDone && len(t.Name) <= maxStatisticsNameBytes {
			teams = append(teams, TeamStatistics{t.Name, t.service.decayedDone})
		}
	}
	return teams
}

// suspectStatistics returns the statistics of at most maxStatisticsEntries suspect jobs, sorted by job ID.
func (c *Core) suspectStatistics() (suspects []JobStatistics) {
	jobs := c.jobs.sorted(func(j *job) bool { return !j.isOver() && j.isSuspect() })
	for _, j := range jobs[:min(len(jobs), maxStatisticsEntries)] {
		hosts := slices.Sorted(maps.Keys(j.failedHosts))
		suspects = append(suspects, JobStatistics{j.id, hosts[:minSuspectHosts], j.failureRounds})
	}
	return suspects
}

// RestoreStatistics takes over the statistics that the last leader stored. It must be called after the jobs
// were added. The clocks of two leaders may differ a little, which doesn't matter for statistics.
func (c *Core) RestoreStatistics(stats Statistics) {
	if stats.Write > 0 {
		c.bandwidth.write = stats.Write
	}
	c.detector.Restore(stats.Silence)
	at := min(stats.At, c.now)
	for i := range stats.Classes {
		c.restoreClass(&stats.Classes[i], at)
	}
	for _, suspect := range stats.Suspect {
		if job := c.jobs.find(suspect.ID); job != nil && job.completedCount == 0 && suspect.isValid() {
			job.restore(suspect.Hosts, suspect.FailureRounds, c.now)
		}
	}
	for _, stored := range stats.Teams {
		if team := c.teams.find(stored.Name); team != nil {
			team.service.restore(stored.Ended, at, c.now)
		}
	}
}

// restoreClass takes over what the last leader observed of a class up to the given time. Invalid values are
// ignored.
func (c *Core) restoreClass(stored *ClassStatistics, at Micros) {
	if stored.RunTimeRatio <= 0 || stored.Arrivals < 0 || stored.MeanTasks < 0 {
		return
	}
	cl := c.classOf(stored.Name)
	cl.runTimeRatio = stored.RunTimeRatio
	cl.service.restore(stored.Ended, at, c.now)
	cl.restoreArrivals(stored.Arrivals, stored.MeanTasks, at, c.now)
}

// restoreArrivals takes over the decayed count of arrivals that the last leader stored at the given time. It
// does nothing if the class's own decayed count is at least as large.
func (cl *class) restoreArrivals(arrivals, meanTasks float64, at, now Micros) {
	old := class{decayedArrivals: arrivals, decayedAt: at}
	old.decay(now)
	if old.decayedArrivals <= cl.decayedArrivals {
		return
	}
	cl.decayedArrivals, cl.decayedAt, cl.meanTasks = old.decayedArrivals, now, meanTasks
	if cl.lastArrival == 0 {
		cl.lastArrival = now // the time of the last arrival was not stored
	}
}

// isValid reports whether the entry names minSuspectHosts different machines. A job must have failed on that
// number of machines to be suspect.
func (s *JobStatistics) isValid() bool {
	return len(s.Hosts) == minSuspectHosts && s.Hosts[0] != s.Hosts[1]
}
