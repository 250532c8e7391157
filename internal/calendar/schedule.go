// Package calendar knows when recurring jobs are due: time zones and their clock
// changes, holidays, the sun, cron expressions and deadlines. It is pure: given a file
// and an instant it says what comes next, and reads no clock.
package calendar

import (
	"hash/fnv"
	"sort"
	"time"

	"dalefront/wire"
)

// Policies for runs that were missed, as a file names them.
const (
	MissedSkip    = "skip"     // none of them runs
	MissedRunOnce = "run_once" // the latest one runs
	MissedRunAll  = "run_all"  // all run, the latest ones up to a bound
)

// Policies for an occurrence while the last run has not ended.
const (
	OverlapAllow   = "allow"
	OverlapForbid  = "forbid"  // the occurrence is not run
	OverlapReplace = "replace" // the last run is cancelled
)

// Schedule is a recurring job.
type Schedule struct {
	Name     string
	Revision string         // changes with anything that the file says of it
	Location *time.Location // of its local times
	Job      wire.Job       // the template; its id is set for each run

	From, Until time.Time // interval of validity, Until excluded; zero: none
	Missed      string
	MissedBound int           // of run_all
	LatestStart time.Duration // a run that would start later than this is missed for good
	Overlap     string
	Jitter      time.Duration // runs are spread over so long after their instants
	KeepRuns    int           // runs of which the history is kept

	rule      rule
	days      [7]bool
	holidays  *holidays
	onHoliday string // what a holiday does: skip, run, only
	when      *condition
}

// Occurrence is an instant at which a schedule falls due.
type Occurrence struct {
	At   time.Time // in the schedule's zone
	Skip string    // why the calendar lets it out; empty if it runs
}

// Occurrences are looked for within these years: beyond them neither the zones' rules
// nor the sun's formulas mean anything.
const (
	firstYear = 1900
	lastYear  = 2200
)

// Next is the first occurrence after an instant, one that the calendar lets out
// included; ok is false if there is none, or none within years. Occurrences strictly
// rise.
func (s *Schedule) Next(after time.Time) (o Occurrence, ok bool) {
	if !s.From.IsZero() && after.Before(s.From.Add(-1)) {
		after = s.From.Add(-1) // the first instant of validity counts
	}
	if after.Year() < firstYear {
		after = time.Date(firstYear, 1, 1, 0, 0, 0, 0, time.UTC)
	}
	if after.Year() > lastYear {
		return Occurrence{}, false
	}
	at, date := s.rule.next(after)
	if at.IsZero() || (!s.Until.IsZero() && !at.Before(s.Until)) {
		return Occurrence{}, false
	}
	return Occurrence{At: at, Skip: s.skip(at, date)}, true
}

// skip says why the calendar lets an occurrence out.
func (s *Schedule) skip(at, date time.Time) string {
	if !s.days[date.Weekday()] {
		return "not on " + weekdays[date.Weekday()]
	}
	holiday := s.holidays.on(date.Date())
	switch {
	case holiday != "" && s.onHoliday == holidaySkip:
		return "holiday: " + holiday
	case holiday == "" && s.onHoliday == holidayOnly:
		return "not a holiday"
	}
	if s.when != nil {
		ok, err := s.when.holds(wallOf(at, s.Location), holiday)
		if err != nil {
			return err.Error()
		}
		if !ok {
			return "its condition does not hold"
		}
	}
	return ""
}

// Delay is by how much the run of each occurrence is put off, so that schedules which
// fall on one second do not run in it. It is the same whoever asks.
func (s *Schedule) Delay() time.Duration {
	if s.Jitter <= 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Name))
	return time.Duration(h.Sum64() % uint64(s.Jitter)).Truncate(time.Microsecond)
}

// Calendar is what a file holds.
type Calendar struct {
	Schedules []*Schedule // by name
}

// Find returns a schedule by its name, or nil.
func (c *Calendar) Find(name string) *Schedule {
	i := sort.Search(len(c.Schedules), func(k int) bool { return c.Schedules[k].Name >= name })
	if i < len(c.Schedules) && c.Schedules[i].Name == name {
		return c.Schedules[i]
	}
	return nil
}
