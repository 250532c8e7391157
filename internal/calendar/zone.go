package calendar

import (
	"time"

	_ "time/tzdata" // for hosts without a time zone database
)

// A wall time is a local date and time without a zone. It is represented by a time.Time in UTC.

// wallTime returns the wall time in a zone at the given instant.
func wallTime(t time.Time, loc *time.Location) time.Time {
	t = t.In(loc)
	return time.Date(t.Year(), t.Month(), t.Day(), t.Hour(), t.Minute(), t.Second(), t.Nanosecond(), time.UTC)
}

// maxZoneOffset is larger than any zone's offset from UTC.
const maxZoneOffset = 16 * time.Hour

// resolveWallTime returns the instant of a wall time in a zone. If the wall time occurs twice because clocks
// go back, it returns the first instant. If the wall time is skipped because clocks go forward, it returns
// the instant of the clock change, and exists is false.
func resolveWallTime(wall time.Time, loc *time.Location) (at time.Time, exists bool) {
	end := wall.Add(maxZoneOffset)
	for t := wall.Add(-maxZoneOffset); t.Before(end); {
		local := t.In(loc)
		_, offset := local.Zone()
		at = wall.Add(-time.Duration(offset) * time.Second)
		from, until := local.ZoneBounds()
		if (from.IsZero() || !at.Before(from)) && (until.IsZero() || at.Before(until)) {
			return at.In(loc), true
		}
		if until.IsZero() {
			break
		}
		if _, nextOffset := until.In(loc).Zone(); !at.Before(until) && wall.Add(-time.Duration(nextOffset)*time.Second).Before(until) {
			return until.In(loc), false // the clock change at until skips the wall time
		}
		t = until
	}
	return at.In(loc), true
}
