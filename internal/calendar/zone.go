package calendar

import (
	"time"

	_ "time/tzdata" // a controller may run where no time zones are installed
)

// A wall time is what a clock on the wall shows, without a zone: a time.Time in UTC.

// wallOf is what a clock on the wall in the zone shows at an instant.
func wallOf(t time.Time, loc *time.Location) time.Time {
	t = t.In(loc)
	return time.Date(t.Year(), t.Month(), t.Day(), t.Hour(), t.Minute(), t.Second(), t.Nanosecond(), time.UTC)
}

// maxZoneOffset is beyond any zone's offset from UTC.
const maxZoneOffset = 16 * time.Hour

// resolve is the instant at which clocks in the zone show the wall time. A wall time
// that occurs twice, as clocks go back, is the first of the two; one that does not
// occur, as clocks go forward, is the instant at which they do, and exists is false.
func resolve(wall time.Time, loc *time.Location) (at time.Time, exists bool) {
	end := wall.Add(maxZoneOffset)
	for t := wall.Add(-maxZoneOffset); t.Before(end); {
		in := t.In(loc)
		_, offset := in.Zone()
		at = wall.Add(-time.Duration(offset) * time.Second)
		from, until := in.ZoneBounds()
		if (from.IsZero() || !at.Before(from)) && (until.IsZero() || at.Before(until)) {
			return at.In(loc), true
		}
		if until.IsZero() {
			break
		}
		if _, next := until.In(loc).Zone(); !at.Before(until) && wall.Add(-time.Duration(next)*time.Second).Before(until) {
			return until.In(loc), false // skipped by this change
		}
		t = until
	}
	return at.In(loc), true
}
