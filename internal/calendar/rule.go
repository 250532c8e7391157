package calendar

import (
	"fmt"
	"strings"
	"time"

	"github.com/robfig/cron/v3"
)

// rule says when a schedule's occurrences fall.
type rule interface {
	// next is the least occurrence after the instant, and the date that decides
	// whether the schedule runs then. It is the zero time if there is none within
	// years.
	next(after time.Time) (at, date time.Time)
}

// cronRule is a cron expression of five fields, read as wall time of a zone.
type cronRule struct {
	spec     cron.Schedule
	location *time.Location
	skipGap  bool // wall times that do not exist are left out, not moved to the change
}

var cronParser = cron.NewParser(cron.Minute | cron.Hour | cron.Dom | cron.Month | cron.Dow | cron.Descriptor)

func newCron(expr string, loc *time.Location, skipGap bool) (*cronRule, error) {
	if strings.Contains(expr, "=") || strings.HasPrefix(strings.TrimSpace(expr), "@every") {
		return nil, fmt.Errorf("cron: %q: a time zone or an interval can't be part of the expression", expr)
	}
	spec, err := cronParser.Parse(expr)
	if err != nil {
		return nil, fmt.Errorf("cron: %q: %w", expr, err)
	}
	return &cronRule{spec, loc, skipGap}, nil
}

// next walks the expression's wall times, which the library finds in UTC, where no
// clock is ever changed. The instants of rising wall times never fall, so the first
// that is later than after is the least.
func (r *cronRule) next(after time.Time) (at, date time.Time) {
	for wall := r.spec.Next(wallOf(after, r.location)); !wall.IsZero() && wall.Year() <= lastYear; wall = r.spec.Next(wall) {
		if at, exists := resolve(wall, r.location); at.After(after) && (exists || !r.skipGap) {
			return at, wall
		}
	}
	return time.Time{}, time.Time{}
}

// sunRule is an event of the sun at a place, moved by an offset.
type sunRule struct {
	event               string
	latitude, longitude float64
	offset              time.Duration
	location            *time.Location
}

// maxDaysAhead is how far ahead a rule looks for a day on which it occurs.
const maxDaysAhead = 400

func (r *sunRule) next(after time.Time) (at, date time.Time) {
	today := wallOf(after.Add(-r.offset), r.location)
	for i := -1; i < maxDaysAhead; i++ {
		date := time.Date(today.Year(), today.Month(), today.Day()+i, 0, 0, 0, 0, time.UTC)
		event, occurs := SunEvent(r.event, date.Year(), date.Month(), date.Day(), r.latitude, r.longitude)
		if at := event.Add(r.offset); occurs && at.After(after) {
			return at.In(r.location), date
		}
	}
	return time.Time{}, time.Time{}
}

// finishRule starts so long before a wall time of each day by which it has to be done.
// Its date is that of the wall time.
type finishRule struct {
	by       time.Duration // since midnight
	run      time.Duration
	location *time.Location
}

func (r *finishRule) next(after time.Time) (at, date time.Time) {
	today := wallOf(after.Add(r.run), r.location)
	for i := -1; i < finishDaysAhead; i++ {
		date := time.Date(today.Year(), today.Month(), today.Day()+i, 0, 0, 0, 0, time.UTC)
		finish, _ := resolve(date.Add(r.by), r.location)
		if start := finish.Add(-r.run); start.After(after) {
			return start.In(r.location), date
		}
	}
	return time.Time{}, time.Time{}
}

// finishDaysAhead is how far a finishRule looks: it occurs each day, but for a day that a zone's
// change of clocks skips.
const finishDaysAhead = 4
