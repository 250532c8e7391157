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
	servedMemory = 300 * second // in which ended jobs lose two thirds of their weight
	servedGrace  = 60 * second  // before which a job that has not begun isn't counted as waiting
	leastAsked   = 10           // jobs below which a share says nothing
	fallsBehind  = 0.55         // share below which a class or team is behind
	caughtUp     = 0.7          // and above which it no longer is

	largeBehind   = 0.4 // the same for the largest jobs of a class
	largeCaughtUp = 0.5

	lead = 0.2 // by which the share of one is larger whose jobs can wait
)

// served counts the jobs of a class or a team.
type served struct {
	submitted, begun, done, late, cancelled int // in this term, those found at its start included

	large bool    // counts the largest jobs of a class
	ended float64 // done, a count that forgets
	at    Micros

	// as of the last reckoning
	share  float64
	asked  float64
	behind bool
	since  Micros // when it fell behind
}

func (s *served) decay(now Micros) {
	if now > s.at {
		s.ended *= math.Exp(-float64(now-s.at) / float64(servedMemory))
		s.at = now
	}
}

// remember takes what an earlier leader counted.
func (s *served) remember(ended float64, at, now Micros) {
	if ended > 0 {
		old := served{ended: ended, at: at}
		old.decay(now)
		s.decay(now)
		s.ended = max(s.ended, old.ended)
	}
}

// tally counts the unfinished jobs of a class or a team that run or have waited for a while. It
// adds up whole numbers: these are the same whatever the order of the jobs, while sums of
// fractions are rounded differently in each order.
type tally struct {
	jobs    int
	waiting int64 // how much of these jobs waits, in parts of a job
}

// partsPerJob is how many parts of a job a tally counts.
const partsPerJob = 1_000_000_000

// waitingParts is how much of the job waits, in parts of a job.
func (j *job) waitingParts() int64 {
	return int64(j.pending()) * partsPerJob / int64(j.spec.Tasks)
}

// add counts one more job, of which so many parts wait.
func (t *tally) add(waiting int64) {
	t.jobs++
	t.waiting += waiting
}

// without returns the tally less the jobs of another one that are all counted in it.
func (t tally) without(other tally) tally {
	return tally{t.jobs - other.jobs, t.waiting - other.waiting}
}

// reckon brings the share up to date: of the jobs that ended lately, run, or have waited
// for a while, those that do not wait.
func (s *served) reckon(now Micros, unfinished tally) {
	s.decay(now)
	s.asked = s.ended + float64(unfinished.jobs)
	s.share = 1
	if s.asked > 0 {
		s.share = 1 - float64(unfinished.waiting)/partsPerJob/s.asked
	}
}

// limits is how many jobs it takes for a share to say something, below which share it is
// behind, and above which no longer. The largest jobs are few, and each costs its class several
// others.
func (s *served) limits() (asked, behind, caught float64) {
	if s.large {
		return leastAsked / 2, largeBehind, largeCaughtUp
	}
	return leastAsked, fallsBehind, caughtUp
}

// judge says, with what another one has had, whether it is behind.
func (s *served) judge(now Micros, other bool) {
	was := s.behind
	asked, least, caught := s.limits()
	if was {
		least = caught
	}
	s.behind = s.asked >= asked && s.share < least && other
	if s.behind && !was {
		s.since = now
	}
}

// both calls f with what is counted of the job's class and team, and of its class's largest.
func (j *job) both(f func(*served)) {
	f(&j.class.had)
	f(&j.team.had)
	if j.large {
		f(&j.class.large)
	}
}

// sizes is how many tasks the jobs of a class had lately.
type sizes struct {
	last [64]int
	n    int
}

const (
	leastSizes = 10  // jobs before which none counts as large
	largeFrom  = 0.8 // share of the jobs that are smaller than the largest
)

// take takes another job and says whether it is among the largest: of those that come
// after each other four in five are smaller, or all are smaller or as large. Where all are
// of one size none is large.
func (z *sizes) take(tasks int) bool {
	z.last[z.n%len(z.last)] = tasks
	z.n++
	all := z.last[:min(z.n, len(z.last))]
	if len(all) < leastSizes {
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
	return smaller > 0 && (larger == 0 || float64(smaller) >= largeFrom*float64(len(all)))
}

// begun notes that a task of the job was seen running.
func (c *Core) begun(j *job) {
	if j.first == 0 {
		j.first = c.now
		j.both(func(s *served) { s.begun++ })
	}
}

// over notes how a job ended.
func (c *Core) over(j *job, done bool) {
	j.both(func(s *served) {
		if !done {
			s.cancelled++
			return
		}
		s.decay(c.now)
		s.ended++
		s.done++
		if c.now > j.due {
			s.late++
		}
	})
}

// reckonEvery is how often it is found out who is behind.
const reckonEvery = 2 * second

// reckon finds out who is behind. Shortly after a takeover it is not known yet which jobs
// run, so nobody is.
func (c *Core) reckon() {
	if c.now-c.reckoned < reckonEvery {
		return
	}
	c.reckoned = c.now
	of := map[*served]*tally{}
	get := func(s *served) *tally {
		if of[s] == nil {
			of[s] = &tally{}
		}
		return of[s]
	}
	for _, j := range c.jobs {
		if j.ended != "" {
			continue
		}
		waiting := int64(0)
		if c.now-j.arrival > servedGrace && !j.suspect() {
			waiting = j.waitingParts()
		}
		if j.first > 0 || waiting > 0 || j.finishing {
			j.both(func(s *served) { get(s).add(waiting) })
		}
	}
	young := c.now-c.since < 3*c.lease
	group := func(all []*served, rival func(a, b int) bool) {
		for _, s := range all {
			s.reckon(c.now, *get(s))
		}
		for a, s := range all {
			other := false
			for b, o := range all {
				other = other || (a != b && o.asked >= leastAsked && o.share >= s.share+lead && rival(a, b))
			}
			s.judge(c.now, other && !young)
		}
	}
	var ss []*served
	classes := c.eachClass()
	for _, cl := range classes {
		ss = append(ss, &cl.had)
	}
	group(ss, func(a, b int) bool { return c.rivals(classes[a], classes[b]) })
	ss = ss[:0]
	for _, t := range c.eachTeam() {
		ss = append(ss, &t.had)
	}
	group(ss, func(int, int) bool { return true })
	// The largest of a class beside the others of it, to which a gang yields for as long as
	// they fit where it does not.
	for _, cl := range classes {
		l, unfinished := &cl.large, *get(&cl.large)
		l.large = true
		l.reckon(c.now, unfinished)
		rest := served{ended: cl.had.ended - l.ended, at: c.now}
		rest.reckon(c.now, get(&cl.had).without(unfinished))
		l.judge(c.now, rest.asked >= leastAsked && rest.share >= l.share+lead && !young)
	}
}

// rivals says whether two classes may use machines of one type.
func (c *Core) rivals(a, b *class) bool {
	if a.sample == nil || b.sample == nil {
		return false
	}
	for _, t := range c.types {
		if fitsType(&a.sample.spec, t) && fitsType(&b.sample.spec, t) {
			return true
		}
	}
	return false
}

// eachTeam returns the teams by name.
func (c *Core) eachTeam() []*team {
	out := make([]*team, 0, len(c.teams))
	for _, t := range c.teams {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *team) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// behind says whether the job's class or team is, or the largest of its class are and it is
// one of them.
func (j *job) behind() bool {
	return j.class.had.behind || j.team.had.behind || j.large && j.class.large.behind
}

// Served is how much of what a class of jobs or a team asked for is served. Counts are
// of jobs, in this term, those that waited or ran at its start included.
type Served struct {
	Name                                             string
	Team                                             bool // otherwise a class
	Submitted, Begun, Done, Late, Cancelled, Waiting int
	Share                                            float64 // of what it asked for lately
	Behind                                           bool
	Why                                              string // what the longest waiting of its jobs waits for, if it is behind
	For                                              Micros // how long it has been behind
}

// Served tells it of the classes and teams with most jobs, at most so many of each.
func (c *Core) Served(most int) (out []Served) {
	waiting := map[*served]int{}
	oldest := map[*served]*job{}
	for _, j := range c.jobs {
		if j.ended == "" && j.first == 0 {
			j.both(func(s *served) {
				waiting[s]++
				if o := oldest[s]; o == nil || j.arrival < o.arrival || (j.arrival == o.arrival && j.id < o.id) {
					oldest[s] = j
				}
			})
		}
	}
	add := func(part []Served, name string, isTeam bool, s *served) []Served {
		x := Served{name, isTeam, s.submitted, s.begun, s.done, s.late, s.cancelled, waiting[s], s.share, s.behind, "", 0}
		if x.Submitted == 0 {
			return part
		}
		if s.behind {
			x.For = c.now - s.since
			if j := oldest[s]; j != nil {
				x.Why = c.wait(j).Why
			}
		}
		return append(part, x)
	}
	top := func(part []Served) []Served {
		slices.SortStableFunc(part, func(a, b Served) int { return cmp.Compare(b.Submitted, a.Submitted) })
		return part[:min(most, len(part))]
	}
	var classes, teams []Served
	for _, cl := range c.eachClass() {
		classes = add(classes, cl.name, false, &cl.had)
		if cl.large.submitted > 0 {
			classes = add(classes, "largest of "+cl.name, false, &cl.large)
		}
	}
	for _, t := range c.eachTeam() {
		teams = add(teams, t.Name, true, &t.had)
	}
	return append(top(classes), top(teams)...)
}
