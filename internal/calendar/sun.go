package calendar

import (
	"fmt"
	"math"
	"time"
)

// eventAltitudes holds the altitude of the sun, in degrees, that defines each event. At sunrise and sunset
// the sun's upper limb is on the horizon, including a refraction of 34'. Dawns and dusks use their standard
// definitions.
var eventAltitudes = map[string]float64{
	"sunrise": -0.833, "sunset": -0.833,
	"civil_dawn": -6, "civil_dusk": -6,
	"nautical_dawn": -12, "nautical_dusk": -12,
	"astronomical_dawn": -18, "astronomical_dusk": -18,
}

// isBeforeNoon reports whether an event comes before noon.
func isBeforeNoon(event string) bool {
	return event == "sunrise" || event == "civil_dawn" || event == "nautical_dawn" || event == "astronomical_dawn"
}

func sinDeg(deg float64) float64 { return math.Sin(deg * math.Pi / 180) }
func cosDeg(deg float64) float64 { return math.Cos(deg * math.Pi / 180) }

// sunPosition returns the sun's declination in degrees and the equation of time in minutes. It uses the
// low-precision formulas of Meeus, Astronomical Algorithms, chapters 25 and 28, which are accurate to
// 0.01 degree. The formulas are implemented here because no library for them was available.
func sunPosition(t time.Time) (declination, equationOfTime float64) {
	c := (float64(t.Unix())/86400 + 2440587.5 - 2451545) / 36525 // centuries since J2000
	l := math.Mod(280.46646+c*(36000.76983+c*0.0003032), 360)
	m := 357.52911 + c*(35999.05029-0.0001537*c)
	e := 0.016708634 - c*(0.000042037+0.0000001267*c)
	center := sinDeg(m)*(1.914602-c*(0.004817+0.000014*c)) + sinDeg(2*m)*(0.019993-0.000101*c) + sinDeg(3*m)*0.000289
	node := 125.04 - 1934.136*c
	lambda := l + center - 0.00569 - 0.00478*sinDeg(node)
	eps := 23.4392911 - c*(0.0130042+c*(0.00000016-0.000000504*c)) + 0.00256*cosDeg(node)
	declination = math.Asin(sinDeg(eps)*sinDeg(lambda)) * 180 / math.Pi
	y := math.Pow(math.Tan(eps/2*math.Pi/180), 2)
	equationOfTime = 4 * 180 / math.Pi * (y*sinDeg(2*l) - 2*e*sinDeg(m) + 4*e*y*sinDeg(m)*cosDeg(2*l) - 0.5*y*y*sinDeg(4*l) - 1.25*e*e*sinDeg(2*m))
	return declination, equationOfTime
}

// SunEvent returns the instant of an event of the sun on a date at a place. Between the polar circles the
// instant is accurate to within a minute. ok is false if the sun does not reach the event's altitude on that
// day. Latitude and longitude are in degrees, positive to the north and east. SunEvent panics if the event is
// unknown.
func SunEvent(event string, year int, month time.Month, day int, latitude, longitude float64) (at time.Time, ok bool) {
	altitude, known := eventAltitudes[event]
	if !known {
		panic(fmt.Sprintf("calendar: unknown sun event %q", event))
	}
	noon := time.Date(year, month, day, 12, 0, 0, 0, time.UTC).Add(-time.Duration(longitude * 4 * float64(time.Minute)))
	at = noon
	for range 4 { // iterate, since the sun's position depends on the instant of the event
		decl, eq := sunPosition(at)
		cosHourAngle := (sinDeg(altitude) - sinDeg(latitude)*sinDeg(decl)) / (cosDeg(latitude) * cosDeg(decl))
		if cosHourAngle < -1 || cosHourAngle > 1 {
			return time.Time{}, false
		}
		hourAngle := math.Acos(cosHourAngle) * 180 / math.Pi
		if isBeforeNoon(event) {
			hourAngle = -hourAngle
		}
		at = noon.Add(time.Duration((4*hourAngle - eq) * float64(time.Minute)))
	}
	return at.Round(time.Second), true
}
