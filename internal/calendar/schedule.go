// Package calendar computes when recurring jobs are due. It covers time zones and their clock changes,
// holidays, events of the sun, cron expressions and times by which runs have to end. Results depend only on
// the calendar file and on the instant that the caller passes: the package never reads the clock.
package calendar

import (
	"hash/fnv"
	"sort"
	"time"

	"dalefront/wire"
)

// Policies for missed runs. They are the values of the setting missed in a calendar file.
const (
	MissedSkip    = "skip"     // no missed run is started
	MissedRunOnce = "run_once" // the latest missed run is started
	MissedRunAll  = "run_all"  // the missed runs are started, at most the latest MaxMissedRuns of them
)

// Policies for an occurrence that is due before the previous run has ended. They are the values of the setting
// overlap in a calendar file.
const (
	OverlapAllow   = "allow"   // both runs continue
	OverlapForbid  = "forbid"  // the new run is not started
	OverlapReplace = "replace" // the previous run is cancelled
)

// Schedule is a recurring job.
type Schedule struct {
	Name     string
	Revision string         // hash of the definitions of the schedule and its calendar
	Location *time.Location // time zone of the schedule's wall times
	Job      wire.Job       // template; each run gets its own ID

	From, Until   time.Time     // the schedule has occurrences from From until before Until; zero means unlimited
	Missed        string        // policy for missed runs: MissedSkip, MissedRunOnce or MissedRunAll
	MaxMissedRuns int           // maximum number of late runs that are started at once with MissedRunAll
	MaxStartDelay time.Duration // a run that is late by more than this is never started
	Overlap       string        // policy for overlapping runs: OverlapAllow, OverlapForbid or OverlapReplace
	Jitter        time.Duration // upper limit of Delay
	KeepRuns      int           // number of runs kept in the history

	rule      rule
	weekdays  [7]bool // the days of the week with runs, from Sunday on
	holidays  *holidays
	onHoliday string // holidaySkip, holidayRun or holidayOnly
	when      *condition
}

// Occurrence is an instant at which a schedule is due.
type Occurrence struct {
	At         time.Time // in the schedule's time zone
	SkipReason string    // why the calendar excludes the occurrence; empty if it runs
}

// Occurrences are searched for from firstYear to lastYear. In other years, neither the rules of time zones nor
// the formulas for the sun are meaningful.
const (
	firstYear = 1900
	lastYear  = 2200
)

// Next returns the first occurrence later than the given instant. It also returns occurrences that the
// calendar excludes. If there is no occurrence within the range that the rule searches, ok is false. The
// instants of successive occurrences are strictly increasing.
func (s *Schedule) Next(after time.Time) (o Occurrence, ok bool) {
	if !s.From.IsZero() && after.Before(s.From.Add(-1)) {
		after = s.From.Add(-1) // one nanosecond earlier, so that an occurrence at From is included
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
	return Occurrence{At: at, SkipReason: s.skipReason(at, date)}, true
}

// skipReason returns why the calendar excludes an occurrence, or an empty string if the occurrence runs.
func (s *Schedule) skipReason(at, date time.Time) string {
	if !s.weekdays[date.Weekday()] {
		return "not on " + weekdayNames[date.Weekday()]
	}
	holiday := s.holidays.nameOn(date.Date())
	switch {
	case holiday != "" && s.onHoliday == holidaySkip:
		return "holiday: " + holiday
	case holiday == "" && s.onHoliday == holidayOnly:
		return "not a holiday"
	}
	if s.when != nil {
		ok, err := s.when.holds(wallTime(at, s.Location), holiday)
		if err != nil {
			return err.Error()
		}
		if !ok {
			return "its condition does not hold"
		}
	}
	return ""
}

// Delay returns the time from each occurrence of the schedule until its run is due. Delays spread the runs of
// schedules whose occurrences are in the same second. A delay is derived from the schedule's name, so it is
// the same on every controller.
func (s *Schedule) Delay() time.Duration {
	if s.Jitter <= 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Name))
	return time.Duration(h.Sum64() % uint64(s.Jitter)).Truncate(time.Microsecond)
}

// Calendar holds the schedules of a calendar file.
type Calendar struct {
	Schedules []*Schedule // sorted by name
}

// Find returns the schedule with the given name, or nil if there is none.
func (c *Calendar) Find(name string) *Schedule {
	i := sort.Search(len(c.Schedules), func(k int) bool { return c.Schedules[k].Name >= name })
	if i < len(c.Schedules) && c.Schedules[i].Name == name {
		return c.Schedules[i]
	}
	return nil
}
