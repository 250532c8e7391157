package sched

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"dalefront/internal/failuredomain"
)

// Learned is what a leader has observed and its successor would otherwise have
// to observe anew. It decides nothing by itself: a late or missing copy only costs
// time.
type Learned struct {
	At      Micros               `msgpack:"A"` // time of day
	Write   float64              `msgpack:"W"` // bandwidth of saves, GB/s
	Classes []LearnedClass       `msgpack:"C"`
	Teams   []LearnedTeam        `msgpack:"T,omitempty"`
	Suspect []LearnedJob         `msgpack:"J,omitempty"`
	Silence failuredomain.Memory `msgpack:"S"` // how past silences of machines and zones ended
}

// LearnedClass is what was observed of a class of jobs.
type LearnedClass struct {
	Name     string  `msgpack:"N"`
	Ratio    float64 `msgpack:"R"`
	Arrivals float64 `msgpack:"A"`
	Size     float64 `msgpack:"S"`
	Ended    float64 `msgpack:"E,omitempty"` // jobs done lately
}

// LearnedTeam is what was observed of a team.
type LearnedTeam struct {
	Name  string  `msgpack:"N"`
	Ended float64 `msgpack:"E"`
}

// LearnedJob is a job that failed on several machines and did nothing anywhere.
type LearnedJob struct {
	ID    string   `msgpack:"I"`
	Hosts []string `msgpack:"H"` // two of those machines
	Times int      `msgpack:"T"` // rounds of failures
}

// mostLearned bounds what is stored, well below any value limit: the classes that
// most arrives of.
const mostLearned = 64

// maxLearnedName is how long a name may be of which something is stored.
const maxLearnedName = 64

const (
	// learnedShare is the part of a stored value's limit that what was learned may fill with teams.
	learnedShare = 0.75
	// learnedClassBytes, learnedTeamBytes and learnedJobBytes are what a class, a team and a suspect
	// job take of the longer text form, by which the limit counts, beside their names.
	learnedClassBytes = 120
	learnedTeamBytes  = 40
	learnedJobBytes   = 50
	// learnedRestBytes is for what doesn't grow with the site.
	learnedRestBytes = 1200
)

// room is how many bytes of a stored value of at most limit bytes are left for teams.
func (l *Learned) room(limit float64) int {
	left := int(limit*learnedShare) - learnedRestBytes
	for i := range l.Classes {
		left -= learnedClassBytes + len(l.Classes[i].Name)
	}
	for i := range l.Suspect {
		left -= learnedJobBytes + len(l.Suspect[i].ID)
		for _, host := range l.Suspect[i].Hosts {
			left -= len(host)
		}
	}
	return left
}

// cutTeams keeps the teams of which most jobs have ended: mostLearned of them, and more as far as
// they fit. Their order stays.
func (l *Learned) cutTeams(limit float64) {
	if len(l.Teams) <= mostLearned {
		return
	}
	byEnded := slices.Clone(l.Teams)
	slices.SortStableFunc(byEnded, func(a, b LearnedTeam) int { return cmp.Compare(b.Ended, a.Ended) })
	left := l.room(limit)
	kept := map[string]bool{}
	for i, t := range byEnded {
		if left -= learnedTeamBytes + len(t.Name); left < 0 && i >= mostLearned {
			break
		}
		kept[t.Name] = true
	}
	l.Teams = slices.DeleteFunc(l.Teams, func(t LearnedTeam) bool { return !kept[t.Name] })
}

// Learned sums up what was observed.
func (c *Core) Learned(now Micros) Learned {
	l := Learned{At: now, Write: c.bwWrite, Silence: c.domains.Memory()}
	for _, cl := range c.eachClass() {
		cl.decay(now)
		if len(cl.name) <= maxLearnedName {
			cl.had.decay(now)
			l.Classes = append(l.Classes, LearnedClass{cl.name, cl.ratio, cl.arrivals, cl.size, cl.had.ended})
		}
	}
	for _, t := range c.eachTeam() {
		if t.had.decay(now); t.had.ended > 0.1 && len(t.Name) <= maxLearnedName {
			l.Teams = append(l.Teams, LearnedTeam{t.Name, t.had.ended})
		}
	}
	sort.Slice(l.Classes, func(a, b int) bool {
		x, y := &l.Classes[a], &l.Classes[b]
		if x.Arrivals != y.Arrivals {
			return x.Arrivals > y.Arrivals
		}
		return x.Name < y.Name
	})
	l.Classes = l.Classes[:min(len(l.Classes), mostLearned)]
	for _, j := range c.inOrder(func(j *job) bool { return !j.over() && j.suspect() }) {
		if len(l.Suspect) < mostLearned {
			hosts := slices.Sorted(maps.Keys(j.errorHosts))
			l.Suspect = append(l.Suspect, LearnedJob{j.id, hosts[:2], j.rounds})
		}
	}
	l.cutTeams(c.set.Deployment.State.ValueKB * 1024)
	return l
}

// Remember takes what the last leader observed, after the jobs. Times of day of
// different nodes differ a little, which does not matter here.
func (c *Core) Remember(l Learned) {
	if l.Write > 0 {
		c.bwWrite = l.Write
	}
	c.domains.Remember(l.Silence)
	for _, x := range l.Classes {
		if x.Ratio <= 0 || x.Arrivals < 0 || x.Size < 0 {
			continue
		}
		cl := c.classOf(x.Name)
		cl.ratio = x.Ratio
		cl.had.remember(x.Ended, min(l.At, c.now), c.now)
		old := class{arrivals: x.Arrivals, at: min(l.At, c.now)}
		old.decay(c.now)
		if old.arrivals > cl.arrivals {
			cl.arrivals, cl.at, cl.size = old.arrivals, c.now, x.Size
			if cl.last == 0 {
				cl.last = c.now // nobody says how long before
			}
		}
	}
	for _, x := range l.Suspect {
		// Otherwise leaders that end one after the other would each try such jobs with
		// all their tasks, in room that others wait for.
		if j := c.jobs[x.ID]; j != nil && j.doneCount == 0 && len(x.Hosts) == 2 && x.Hosts[0] != x.Hosts[1] {
			j.errorHosts = map[string]bool{x.Hosts[0]: true, x.Hosts[1]: true}
			j.rounds = max(0, x.Times)
			j.notBefore = c.now + min(longestPause, second<<min(j.rounds, 6))/2
		}
	}
	for _, x := range l.Teams {
		if t := c.teams[x.Name]; t != nil {
			t.had.remember(x.Ended, min(l.At, c.now), c.now)
		}
	}
}
