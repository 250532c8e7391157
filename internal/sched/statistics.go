package sched

import (
	"cmp"
	"maps"
	"slices"

	"dalefront/internal/failuredomain"
)

// Statistics is what a leader has observed and its successor would otherwise have
// to observe anew. It decides nothing by itself: a late or missing copy only costs
// time.
type Statistics struct {
	At      Micros                `msgpack:"A"` // time of day
	Write   float64               `msgpack:"W"` // bandwidth of saves, GB/s
	Classes []ClassStatistics     `msgpack:"C"`
	Teams   []TeamStatistics      `msgpack:"T,omitempty"`
	Suspect []JobStatistics       `msgpack:"J,omitempty"`
	Silence failuredomain.History `msgpack:"S"` // how past silences of machines and zones ended
}

// ClassStatistics is what was observed of a class of jobs.
type ClassStatistics struct {
	Name     string  `msgpack:"N"`
	Ratio    float64 `msgpack:"R"`
	Arrivals float64 `msgpack:"A"`
	Size     float64 `msgpack:"S"`
	Ended    float64 `msgpack:"E,omitempty"` // jobs done lately
}

// TeamStatistics is what was observed of a team.
type TeamStatistics struct {
	Name  string  `msgpack:"N"`
	Ended float64 `msgpack:"E"`
}

// JobStatistics is a job that failed on several machines and did nothing anywhere.
type JobStatistics struct {
	ID    string   `msgpack:"I"`
	Hosts []string `msgpack:"H"` // two of those machines
	Times int      `msgpack:"T"` // rounds of failures
}

// maxStatisticsEntries bounds what is stored, well below any value limit: the classes that
// most arrives of.
const maxStatisticsEntries = 64

// maxStatisticsName is how long a name may be of which something is stored.
const maxStatisticsName = 64

const (
	// statisticsTeamShare is the part of a stored value's limit that what was learned may fill with teams.
	statisticsTeamShare = 0.75
	// classStatisticsBytes, teamStatisticsBytes and jobStatisticsBytes are what a class, a team and a suspect
	// job take of the longer text form, by which the limit counts, beside their names.
	classStatisticsBytes = 120
	teamStatisticsBytes  = 40
	jobStatisticsBytes   = 50
	// otherStatisticsBytes is for what doesn't grow with the site.
	otherStatisticsBytes = 1200
)

// room is how many bytes of a stored value of at most limit bytes are left for teams.
func (l *Statistics) room(limit float64) int {
	left := int(limit*statisticsTeamShare) - otherStatisticsBytes
	for i := range l.Classes {
		left -= classStatisticsBytes + len(l.Classes[i].Name)
	}
	for i := range l.Suspect {
		left -= jobStatisticsBytes + len(l.Suspect[i].ID)
		for _, host := range l.Suspect[i].Hosts {
			left -= len(host)
		}
	}
	return left
}

// cutTeams keeps the teams of which most jobs have ended: maxStatisticsEntries of them, and more as far as
// they fit. Their order stays.
func (l *Statistics) cutTeams(limit float64) {
	if len(l.Teams) <= maxStatisticsEntries {
		return
	}
	byEnded := slices.Clone(l.Teams)
	slices.SortStableFunc(byEnded, func(a, b TeamStatistics) int { return cmp.Compare(b.Ended, a.Ended) })
	left := l.room(limit)
	kept := map[string]bool{}
	for i, team := range byEnded {
		if left -= teamStatisticsBytes + len(team.Name); left < 0 && i >= maxStatisticsEntries {
			break
		}
		kept[team.Name] = true
	}
	l.Teams = slices.DeleteFunc(l.Teams, func(team TeamStatistics) bool { return !kept[team.Name] })
}

// storedDoneThreshold is the decayed count of ended jobs below which nothing is stored of a team.
const storedDoneThreshold = 0.1

// Statistics sums up what was observed.
func (c *Core) Statistics(now Micros) Statistics {
	l := Statistics{
		At: now, Write: c.bandwidth.write, Silence: c.detector.History(),
		Classes: c.classStatistics(now), Teams: c.teamStatistics(now), Suspect: c.suspectStatistics(),
	}
	l.cutTeams(c.settings.Deployment.State.ValueKB * 1024)
	return l
}

// classStatistics sums up the classes that most arrives of, these first.
func (c *Core) classStatistics(now Micros) (classes []ClassStatistics) {
	for _, cl := range c.classes.sorted() {
		cl.decay(now)
		if len(cl.name) <= maxStatisticsName {
			cl.service.decay(now)
			classes = append(classes, ClassStatistics{cl.name, cl.runTimeRatio, cl.decayedArrivals, cl.meanTasks, cl.service.decayedDone})
		}
	}
	slices.SortFunc(classes, func(a, b ClassStatistics) int {
		return cmp.Or(cmp.Compare(b.Arrivals, a.Arrivals), cmp.Compare(a.Name, b.Name))
	})
	return classes[:min(len(classes), maxStatisticsEntries)]
}

// teamStatistics sums up the teams of which jobs have ended lately, by name.
func (c *Core) teamStatistics(now Micros) (teams []TeamStatistics) {
	for _, t := range c.teams.sorted() {
		if t.service.decay(now); t.service.decayedDone > storedDoneThreshold && len(t.Name) <= maxStatisticsName {
			teams = append(teams, TeamStatistics{t.Name, t.service.decayedDone})
		}
	}
	return teams
}

// suspectStatistics sums up the first suspect jobs, by id.
func (c *Core) suspectStatistics() (suspects []JobStatistics) {
	jobs := c.jobs.sorted(func(j *job) bool { return !j.isOver() && j.isSuspect() })
	for _, j := range jobs[:min(len(jobs), maxStatisticsEntries)] {
		hosts := slices.Sorted(maps.Keys(j.failedHosts))
		suspects = append(suspects, JobStatistics{j.id, hosts[:suspectHosts], j.failureRounds})
	}
	return suspects
}

// RestoreStatistics takes what the last leader observed, after the jobs. Times of day of
// different nodes differ a little, which does not matter here.
func (c *Core) RestoreStatistics(learned Statistics) {
	if learned.Write > 0 {
		c.bandwidth.write = learned.Write
	}
	c.detector.Restore(learned.Silence)
	at := min(learned.At, c.now)
	for i := range learned.Classes {
		c.restoreClass(&learned.Classes[i], at)
	}
	for _, suspect := range learned.Suspect {
		if job := c.jobs.find(suspect.ID); job != nil && job.completedCount == 0 && suspect.isValid() {
			job.restore(suspect.Hosts, suspect.Times, c.now)
		}
	}
	for _, x := range learned.Teams {
		if team := c.teams.find(x.Name); team != nil {
			team.service.restore(x.Ended, at, c.now)
		}
	}
}

// restoreClass takes what the last leader observed of a class until a time.
func (c *Core) restoreClass(x *ClassStatistics, at Micros) {
	if x.Ratio <= 0 || x.Arrivals < 0 || x.Size < 0 {
		return
	}
	cl := c.classOf(x.Name)
	cl.runTimeRatio = x.Ratio
	cl.service.restore(x.Ended, at, c.now)
	cl.restoreArrivals(x.Arrivals, x.Size, at, c.now)
}

// restoreArrivals takes the count of arrivals as of a time, unless more have been seen already.
func (cl *class) restoreArrivals(arrivals, meanTasks float64, at, now Micros) {
	old := class{decayedArrivals: arrivals, decayedAt: at}
	old.decay(now)
	if old.decayedArrivals <= cl.decayedArrivals {
		return
	}
	cl.decayedArrivals, cl.decayedAt, cl.meanTasks = old.decayedArrivals, now, meanTasks
	if cl.lastArrival == 0 {
		cl.lastArrival = now // nobody says how long before
	}
}

// isValid says whether it names as many different machines as make a job suspect.
func (s *JobStatistics) isValid() bool {
	return len(s.Hosts) == suspectHosts && s.Hosts[0] != s.Hosts[1]
}
