package calendar

import (
	"fmt"
	"strings"
	"time"

	"github.com/robfig/cron/v3"
)

// rule computes the occurrences of a schedule.
type rule interface {
	// next returns the first occurrence later than the given instant, and the occurrence's local date. The
	// weekday and holiday of this date decide whether the schedule runs. If there is no occurrence within the
	// rule's search range, next returns zero times.
	next(after time.Time) (at, date time.Time)
}

// cronRule is a cron expression of five fields, evaluated in the wall time of a zone.
type cronRule struct {
	spec     cron.Schedule
	location *time.Location
	skipGap  bool // skip wall times that do not exist instead of moving them to the clock change
}

var cronParser = cron.NewParser(cron.Minute | cron.Hour | cron.Dom | cron.Month | cron.Dow | cron.Descriptor)

func newCronRule(expr string, loc *time.Location, skipGap bool) (*cronRule, error) {
	if strings.Contains(expr, "=") || strings.HasPrefix(strings.TrimSpace(expr), "@every") {
		return nil, fmt.Errorf("cron: %q: time zones and intervals are not supported in the expression", expr)
	}
	spec, err := cronParser.Parse(expr)
	if err != nil {
		return nil, fmt.Errorf("cron: %q: %w", expr, err)
	}
	return &cronRule{spec, loc, skipGap}, nil
}

// next iterates over the wall times that match the expression. The cron library computes the wall times in
// UTC, which has no clock changes. Instants never decrease as wall times increase, so the first instant found
// after the given instant is the earliest.
func (r *cronRule) next(after time.Time) (at, date time.Time) {
	for wall := r.spec.Next(wallTime(after, r.location)); !wall.IsZero() && wall.Year() <= lastYear; wall = r.spec.Next(wall) {
		if at, exists := resolveWallTime(wall, r.location); at.After(after) && (exists || !r.skipGap) {
			return at, wall
		}
	}
	return time.Time{}, time.Time{}
}

// sunRule is a rule whose occurrences are an event of the sun at a place, shifted by an offset. Latitude and
// longitude are in degrees, positive to the north and east.
type sunRule struct {
	event               string
	latitude, longitude float64
	offset              time.Duration
	location            *time.Location
}

// sunDaysAhead is the number of days ahead that a sunRule searches for its event.
const sunDaysAhead = 400

func (r *sunRule) next(after time.Time) (at, date time.Time) {
	today := wallTime(after.Add(-r.offset), r.location)
	for i := -1; i < sunDaysAhead; i++ {
		date := time.Date(today.Year(), today.Month(), today.Day()+i, 0, 0, 0, 0, time.UTC)
		event, occurs := SunEvent(r.event, date.Year(), date.Month(), date.Day(), r.latitude, r.longitude)
		if at := event.Add(r.offset); occurs && at.After(after) {
			return at.In(r.location), date
		}
	}
	return time.Time{}, time.Time{}
}

// finishByRule starts one run each day. The run has to end by a wall time, and starts its expected duration
// earlier. The date of an occurrence is the date on which the run has to end.
type finishByRule struct {
	timeOfDay time.Duration // wall time by which the run has to end, since midnight
	duration  time.Duration // expected duration of the run
	location  *time.Location
}

func (r *finishByRule) next(after time.Time) (at, date time.Time) {
	today := wallTime(after.Add(r.duration), r.location)
	for i := -1; i < finishByDaysAhead; i++ {
		date := time.Date(today.Year(), today.Month(), today.Day()+i, 0, 0, 0, 0, time.UTC)
		finish, _ := resolveWallTime(date.Add(r.timeOfDay), r.location)
		if start := finish.Add(-r.duration); start.After(after) {
			return start.In(r.location), date
		}
	}
	return time.Time{}, time.Time{}
}

// finishByDaysAhead is the number of days ahead that a finishByRule searches. The rule has an occurrence on
// every day except one that a zone's clock change skips.
const finishByDaysAhead = 4
