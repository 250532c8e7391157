package calendar

import (
	"fmt"
	"math"
	"time"
)

// The sun's altitude, in degrees, that defines an event of the day: at sunrise
// and sunset its upper limb is on the horizon, refraction of 34' included; twilights
// are by their definitions.
var altitudes = map[string]float64{
	"sunrise": -0.833, "sunset": -0.833,
	"civil_dawn": -6, "civil_dusk": -6,
	"nautical_dawn": -12, "nautical_dusk": -12,
	"astronomical_dawn": -18, "astronomical_dusk": -18,
}

// isMorning reports whether an event comes before noon.
func isMorning(event string) bool {
	return event == "sunrise" || event == "civil_dawn" || event == "nautical_dawn" || event == "astronomical_dawn"
}

func sin(deg float64) float64 { return math.Sin(deg * math.Pi / 180) }
func cos(deg float64) float64 { return math.Cos(deg * math.Pi / 180) }

// sunAt is the sun's declination in degrees and the equation of time in minutes, by
// the low-precision formulas of Meeus, Astronomical Algorithms, chapters 25 and 28
// (0.01 degree). No library for them can be had here.
func sunAt(t time.Time) (declination, equation float64) {
	c := (float64(t.Unix())/86400 + 2440587.5 - 2451545) / 36525 // centuries since J2000
	l := math.Mod(280.46646+c*(36000.76983+c*0.0003032), 360)
	m := 357.52911 + c*(35999.05029-0.0001537*c)
	e := 0.016708634 - c*(0.000042037+0.0000001267*c)
	center := sin(m)*(1.914602-c*(0.004817+0.000014*c)) + sin(2*m)*(0.019993-0.000101*c) + sin(3*m)*0.000289
	node := 125.04 - 1934.136*c
	lambda := l + center - 0.00569 - 0.00478*sin(node)
	eps := 23.4392911 - c*(0.0130042+c*(0.00000016-0.000000504*c)) + 0.00256*cos(node)
	declination = math.Asin(sin(eps)*sin(lambda)) * 180 / math.Pi
	y := math.Pow(math.Tan(eps/2*math.Pi/180), 2)
	equation = 4 * 180 / math.Pi * (y*sin(2*l) - 2*e*sin(m) + 4*e*y*sin(m)*cos(2*l) - 0.5*y*y*sin(4*l) - 1.25*e*e*sin(2*m))
	return declination, equation
}

// SunEvent is the instant of an event of the sun on a date at a place, to within a
// minute between the polar circles. ok is false where the sun does not reach the
// altitude that day. Latitude and longitude are degrees, north and east positive.
// An unknown event is an error of the caller.
func SunEvent(event string, year int, month time.Month, day int, latitude, longitude float64) (at time.Time, ok bool) {
	altitude, known := altitudes[event]
	if !known {
		panic(fmt.Sprintf("calendar: no event %q", event))
	}
	noon := time.Date(year, month, day, 12, 0, 0, 0, time.UTC).Add(-time.Duration(longitude * 4 * float64(time.Minute)))
	at = noon
	for range 4 { // the sun moves on while it sets
		decl, eq := sunAt(at)
		h := (sin(altitude) - sin(latitude)*sin(decl)) / (cos(latitude) * cos(decl))
		if h < -1 || h > 1 {
			return time.Time{}, false
		}
		angle := math.Acos(h) * 180 / math.Pi
		if isMorning(event) {
			angle = -angle
		}
		at = noon.Add(time.Duration((4*angle - eq) * float64(time.Minute)))
	}
	return at.Round(time.Second), true
}
