package calendar

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the random rules, so that the verdict is the same every
// time; rapid prints it when one fails.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, v := range map[string]string{"rapid.seed": "14", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func zone(t testing.TB, name string) *time.Location {
	t.Helper()
	loc, err := time.LoadLocation(name)
	if err != nil {
		t.Fatal(err)
	}
	return loc
}

func utc(text string) time.Time {
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		panic(err)
	}
	return t
}

func TestResolve(t *testing.T) {
	for _, c := range []struct {
		zone, wall, want string
		exists           bool
	}{
		{"Europe/Tallinn", "2026-03-29T03:30:00Z", "2026-03-29T01:00:00Z", false}, // clocks go from 3 to 4
		{"Europe/Tallinn", "2026-03-29T04:00:00Z", "2026-03-29T01:00:00Z", true},
		{"Europe/Tallinn", "2026-10-25T03:15:00Z", "2026-10-25T00:15:00Z", true}, // 3:15 occurs twice
		{"Europe/Tallinn", "2026-10-25T04:00:00Z", "2026-10-25T02:00:00Z", true},
		{"Indian/Mauritius", "2026-10-25T03:15:00Z", "2026-10-24T23:15:00Z", true},
		{"Australia/Lord_Howe", "2026-10-04T02:15:00Z", "2026-10-03T15:30:00Z", false}, // half an hour
		{"Australia/Lord_Howe", "2026-04-05T01:45:00Z", "2026-04-04T14:45:00Z", true},
		{"America/Sao_Paulo", "2018-11-04T00:30:00Z", "2018-11-04T03:00:00Z", false}, // at midnight
		{"America/Sao_Paulo", "2026-11-04T00:30:00Z", "2026-11-04T03:30:00Z", true},  // no more
		{"Pacific/Apia", "2011-12-30T12:00:00Z", "2011-12-30T10:00:00Z", false},      // a day that was not
	} {
		at, exists := resolve(utc(c.wall), zone(t, c.zone))
		if !at.Equal(utc(c.want)) || exists != c.exists {
			t.Errorf("%s in %s is %s, exists %v, want %s, %v", c.wall, c.zone, at.UTC().Format(time.RFC3339), exists, c.want, c.exists)
		}
	}
}

// scan finds the first occurrence after an instant by looking at each minute: the wall
// time matches and was not shown before, or the clocks have just skipped one that does.
func scan(r *cronRule, after time.Time, until time.Time) (time.Time, bool) {
	matches := func(wall time.Time) bool { return r.spec.Next(wall.Add(-time.Second)).Equal(wall) }
	for t := after.Truncate(time.Minute).Add(time.Minute); !t.After(until); t = t.Add(time.Minute) {
		wall, before := wallOf(t, r.location), wallOf(t.Add(-time.Minute), r.location)
		if !r.skipGap {
			for w := before.Add(time.Minute); w.Before(wall); w = w.Add(time.Minute) {
				if matches(w) {
					return t, true
				}
			}
		}
		if !matches(wall) {
			continue
		}
		shown := false
		for d := 15 * time.Minute; d <= 3*time.Hour; d += 15 * time.Minute {
			shown = shown || wallOf(t.Add(-d), r.location).Equal(wall)
		}
		if !shown {
			return t, true
		}
	}
	return time.Time{}, false
}

// Whatever the rule and the zone: the next occurrence is the first that a scan by
// minutes finds, occurrences strictly rise, and asking from any instant between two of
// them gives the second.
func TestNextIsFirstOfScan(t *testing.T) {
	zones := []string{"Europe/Tallinn", "Indian/Mauritius", "America/Sao_Paulo", "Australia/Lord_Howe", "UTC", "Asia/Kathmandu"}
	starts := []string{"2024-03-30T20:00:00Z", "2024-10-26T20:00:00Z", "2025-12-31T20:00:00Z", "2026-10-24T21:30:00Z", "2027-03-27T23:10:00Z",
		"2018-11-03T23:00:00Z", "2019-02-16T22:00:00Z", "2026-04-04T13:00:00Z", "2026-10-03T13:00:00Z", "2028-02-28T12:00:00Z"}
	minutes := []string{"0", "15", "*/10", "*/30", "59", "5,35", "*"}
	hours := []string{"*", "0", "1", "2", "3", "2-3", "*/2", "23"}
	days := []string{"*", "*", "*", "sun", "mon-fri"}
	rapid.Check(t, func(rt *rapid.T) {
		expr := rapid.SampledFrom(minutes).Draw(rt, "minute") + " " + rapid.SampledFrom(hours).Draw(rt, "hour") + " * * " + rapid.SampledFrom(days).Draw(rt, "day")
		r, err := newCron(expr, zone(t, rapid.SampledFrom(zones).Draw(rt, "zone")), rapid.Bool().Draw(rt, "skip"))
		if err != nil {
			rt.Fatal(err)
		}
		after := utc(rapid.SampledFrom(starts).Draw(rt, "start")).Add(time.Duration(rapid.IntRange(0, 20*3600).Draw(rt, "seconds")) * time.Second)
		for range 6 {
			got, _ := r.next(after)
			want, found := scan(r, after, after.Add(8*24*time.Hour))
			if !found || !got.Equal(want) {
				rt.Fatalf("%s in %s after %s: %s, a scan finds %s", expr, r.location, after, got, want)
			}
			if !got.After(after) {
				rt.Fatalf("%s does not come after %s", got, after)
			}
			between := after.Add(time.Duration(rapid.Int64Range(0, int64(got.Sub(after))-1).Draw(rt, "between")))
			if again, _ := r.next(between); !again.Equal(got) {
				rt.Fatalf("%s from %s, %s from %s in between", got, after, again, between)
			}
			after = got
		}
	})
}

func parse(t *testing.T, src string) *Calendar {
	t.Helper()
	c, err := Parse("test.hcl", []byte(src))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

const job = `job {
 class = "c"
 team = "t"
 cpus = 1
 memory_gb = 1
 image = "i"
 image_gb = 1
 estimate_s = 60
}
`

// Over whole years each night has one run, the two on which the clocks change included.
func TestEachNightOnce(t *testing.T) {
	for _, name := range []string{"Europe/Tallinn", "Indian/Mauritius", "America/Sao_Paulo", "Australia/Lord_Howe"} {
		c := parse(t, `calendar "c" { timezone = "`+name+`" }
schedule "s" {
 calendar = "c"
 cron = "15 2 * * *"
`+job+"}")
		loc := zone(t, name)
		end := time.Date(2029, 1, 1, 0, 0, 0, 0, loc)
		days := map[string]int{}
		for o, ok := c.Schedules[0].Next(time.Date(2024, 1, 1, 0, 0, 0, 0, loc)); ok && o.At.Before(end); o, ok = c.Schedules[0].Next(o.At) {
			days[o.At.Format(time.DateOnly)]++
		}
		for d := time.Date(2024, 1, 1, 12, 0, 0, 0, time.UTC); d.Year() < 2029; d = d.AddDate(0, 0, 1) {
			if n := days[d.Format(time.DateOnly)]; n != 1 {
				t.Errorf("%s: %d runs on %s", name, n, d.Format(time.DateOnly))
			}
		}
	}
}

// Sunrise and sunset as almanacs print them, to the minute, local time.
func TestSun(t *testing.T) {
	for _, c := range []struct {
		zone, event, date, want string
		lat, lon                float64
	}{
		{"Europe/London", "sunrise", "2024-06-20", "04:43", 51.507, -0.128},
		{"Europe/London", "sunset", "2024-06-20", "21:21", 51.507, -0.128},
		{"Europe/London", "sunrise", "2024-12-21", "08:04", 51.507, -0.128},
		{"Europe/London", "sunset", "2024-12-21", "15:53", 51.507, -0.128},
		{"Europe/Tallinn", "sunrise", "2024-06-21", "04:03", 59.437, 24.754},
		{"Europe/Tallinn", "sunset", "2024-06-21", "22:42", 59.437, 24.754},
		{"Europe/Tallinn", "sunrise", "2024-12-21", "09:17", 59.437, 24.754},
		{"Europe/Tallinn", "sunset", "2024-12-21", "15:20", 59.437, 24.754},
	} {
		d, _ := time.Parse(time.DateOnly, c.date)
		at, ok := SunEvent(c.event, d.Year(), d.Month(), d.Day(), c.lat, c.lon)
		got := wallOf(at, zone(t, c.zone))
		want, _ := time.Parse("2006-01-02 15:04", c.date+" "+c.want)
		if diff := got.Sub(want); !ok || diff > 2*time.Minute || diff < -2*time.Minute {
			t.Errorf("%s of %s at %s: %s, almanacs print %s", c.event, c.date, c.zone, got.Format("15:04:05"), c.want)
		}
	}
	if _, ok := SunEvent("sunset", 2026, 6, 21, 78.2, 15.6); ok {
		t.Error("the sun sets at 78 degrees north in June")
	}
}

// Each day of five years has one civil dusk at Tartu, later than the sunset, and they
// move by a few minutes a day.
func TestDuskAtTartu(t *testing.T) {
	r := &sunRule{"civil_dusk", 58.38, 26.72, -40 * time.Minute, zone(t, "Europe/Tallinn")}
	at, date := r.next(utc("2024-01-01T00:00:00Z"))
	for days := 0; days < 5*365; days++ {
		next, d := r.next(at)
		if step := next.Sub(at); step < 23*time.Hour+50*time.Minute || step > 24*time.Hour+10*time.Minute || !d.Equal(date.AddDate(0, 0, 1)) {
			t.Fatalf("%s follows %s", next, at)
		}
		set, _ := SunEvent("sunset", d.Year(), d.Month(), d.Day(), 58.38, 26.72)
		if dusk := next.Add(40 * time.Minute).Sub(set); dusk < 30*time.Minute || dusk > 90*time.Minute {
			t.Fatalf("%s: civil dusk comes %s after the sunset", date.Format(time.DateOnly), dusk)
		}
		at, date = next, d
	}
}

func TestHolidaysAndConditions(t *testing.T) {
	c := parse(t, `
calendar "curepipe" {
  timezone = "Indian/Mauritius"
  weekdays = ["mon", "tue", "wed", "thu", "fri"]
  holiday "Independence" { date = "03-12" }
  holiday "Eid" { dates = ["2026-03-20"] }
  holiday "Good Friday" { easter = -2 }
  holiday "Third Monday" {
    weekday = "mon"
    nth     = 3
    month   = 3
  }
}
calendar "riga" {
  timezone = "Europe/Riga"
  country  = "lv"
}
schedule "checks" {
  calendar = "curepipe"
  finish_by {
    at    = "08:45"
    run_s = 2700
  }
  when = "day != 31 or month != 3"
`+job+`}
schedule "riga" {
  calendar   = "riga"
  cron       = "0 9 * * *"
  on_holiday = "only"
`+job+`}`)
	want := map[string]string{"2026-03-12": "holiday: Independence", "2026-03-14": "not on sat", "2026-03-15": "not on sun", "2026-03-16": "holiday: Third Monday",
		"2026-03-20": "holiday: Eid", "2026-03-31": "its condition does not hold", "2026-04-03": "holiday: Good Friday", "2026-03-13": ""}
	s := c.Find("checks")
	for o, ok := s.Next(utc("2026-03-10T00:00:00Z")); ok && o.At.Before(utc("2026-04-05T00:00:00Z")); o, ok = s.Next(o.At) {
		if o.At.Format("15:04") != "08:00" {
			t.Errorf("starts at %s", o.At)
		}
		day := o.At.Format(time.DateOnly)
		if skip, ok := want[day]; ok && skip != o.Skip {
			t.Errorf("%s: %q, want %q", day, o.Skip, skip)
		}
		delete(want, day)
	}
	if len(want) > 0 {
		t.Errorf("never came: %v", want)
	}
	runs := 0
	for o, ok := c.Find("riga").Next(utc("2026-01-01T00:00:00Z")); ok && o.At.Year() == 2026; o, ok = c.Find("riga").Next(o.At) {
		if o.Skip == "" {
			runs++
		}
	}
	if runs < 8 || runs > 16 {
		t.Errorf("%d public holidays in Latvia", runs)
	}
}

// Each mistake gets one line with its place.
func TestOneClearError(t *testing.T) {
	good := "calendar \"c\" {\n timezone = \"UTC\"\n}\n"
	for src, want := range map[string]string{
		good + "schedule \"s\" {\n calendar = \"d\"\n cron = \"* * * * *\"\n" + job + "}":                                                 "t.hcl:5:2: there is no calendar",
		good + "schedule \"s\" {\n calendar = \"c\"\n cron = \"61 * * * *\"\n" + job + "}":                                                "t.hcl:6:2: cron:",
		good + "schedule \"s\" {\n calendar = \"c\"\n cron = \"TZ=UTC * * * * *\"\n" + job + "}":                                          "t.hcl:6:2: cron:",
		good + "schedule \"s\" {\n calendar = \"c\"\n" + job + "}":                                                                        "one of cron, sun and finish_by",
		good + "schedule \"s\" {\n calendar = \"c\"\n cron = \"* * * * *\"\n}":                                                            "has no job block",
		good + "schedule \"s\" {\n calendar = \"c\"\n cron = \"* * * * *\"\n colour = 1\n" + job + "}":                                    "t.hcl:7:2: Unsupported argument",
		good + "schedule \"s\" {\n calendar = \"c\"\n cron = \"* * * * *\"\n when = \"1 + \"\n" + job + "}":                               "t.hcl:7:2: when:",
		good + "schedule \"s\" {\n calendar = \"c\"\n cron = \"* * * * *\"\n when = \"[x for x in range(10000000)] == []\"\n" + job + "}": "t.hcl:7:2: when:",
		good + "schedule \"s\" {\n calendar = \"c\"\n cron = \"* * * * *\"\n missed = \"maybe\"\n" + job + "}":                            "t.hcl:7:2: missed is \"maybe\"",
		good + good: "t.hcl:4:1: calendar \"c\" is there twice",
		"calendar \"c\" {\n timezone = \"Mars\"\n}":                   "t.hcl:2:2: \"Mars\" is not an IANA time zone",
		"calendar \"c\" {\n timezone = \"UTC\"\n country = \"mu\"\n}": "list them as holiday blocks",
		"color = 1":  "t.hcl:1:1: \"color\" does not belong here",
		"schedule {": "t.hcl:1:",
	} {
		_, err := Parse("t.hcl", []byte(src))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", src, err, want)
		}
	}
}

// What the file says of a schedule is its revision: nothing else moves it.
func TestRevision(t *testing.T) {
	src := func(cron, other string) string {
		return "calendar \"c\" {\n timezone = \"UTC\"\n}\nschedule \"s\" {\n calendar = \"c\"\n cron = \"" + cron + "\"\n" + job + "}\n" + other
	}
	a := parse(t, src("1 * * * *", ""))
	b := parse(t, "# a comment\n"+src("1 * * * *", "calendar \"d\" {\n timezone = \"UTC\"\n}\n"))
	c := parse(t, src("2 * * * *", ""))
	if a.Schedules[0].Revision != b.Schedules[0].Revision || a.Schedules[0].Revision == c.Schedules[0].Revision {
		t.Error("revisions:", a.Schedules[0].Revision, b.Schedules[0].Revision, c.Schedules[0].Revision)
	}
}

// A file with a holiday that is counted from Easter gives the same revision each time it is read, and
// another one for another offset.
func TestRevisionWithEaster(t *testing.T) {
	read := func(easter string) string {
		src := "calendar \"c\" {\n timezone = \"UTC\"\n holiday \"e\" {\n  easter = " + easter + "\n }\n}\n" +
			"schedule \"s\" {\n calendar = \"c\"\n cron = \"1 * * * *\"\n" + job + "}\n"
		return parse(t, src).Schedules[0].Revision
	}
	first := read("1")
	if again := read("1"); again != first {
		t.Errorf("the same file has revisions %s and %s", first, again)
	}
	if other := read("2"); other == first {
		t.Errorf("another offset has the same revision %s", other)
	}
}

// FuzzParse: whatever a file holds, it is read or refused, and what is read goes on.
func FuzzParse(f *testing.F) {
	if b, err := os.ReadFile("../../deploy/calendar.hcl"); err == nil {
		f.Add(b)
	}
	f.Add([]byte("calendar \"c\" {\n timezone = \"UTC\"\n}\nschedule \"s\" {\n calendar = \"c\"\n cron = \"0 0 30 2 *\"\n" + job + "}"))
	f.Fuzz(func(t *testing.T, src []byte) {
		c, err := Parse("f.hcl", src)
		if err != nil {
			return
		}
		for _, s := range c.Schedules {
			after := utc("2026-01-01T00:00:00Z")
			for range 3 {
				o, ok := s.Next(after)
				if !ok {
					break
				}
				if !o.At.After(after) {
					t.Fatalf("%s does not come after %s", o.At, after)
				}
				after = o.At
			}
		}
	})
}

// BenchmarkNext is one next occurrence of each kind of rule.
func BenchmarkNext(b *testing.B) {
	loc := zone(b, "Europe/Tallinn")
	cron, err := newCron("15 3 * * *", loc, false)
	if err != nil {
		b.Fatal(err)
	}
	for name, r := range map[string]rule{"cron": cron, "sun": &sunRule{"civil_dusk", 58.38, 26.72, 0, loc}, "finish_by": &finishRule{9 * time.Hour, time.Hour, loc}} {
		b.Run(name, func(b *testing.B) {
			at := utc("2026-01-01T00:00:00Z")
			for b.Loop() {
				if at, _ = r.next(at); at.Year() > 2100 {
					at = utc("2026-01-01T00:00:00Z")
				}
			}
		})
	}
}

// The leader and handlers of requests ask one file at the same time; the years that
// are worked out on the way were once shared without a lock.
func TestAskedAtOnce(t *testing.T) {
	c := parse(t, "calendar \"c\" {\n timezone = \"UTC\"\n holiday \"h\" { date = \"01-02\" }\n}\nschedule \"s\" {\n calendar = \"c\"\n cron = \"0 0 2 1 *\"\n"+job+"}")
	done := make(chan int)
	for range 8 {
		go func() {
			skipped := 0
			for o, ok := c.Find("s").Next(utc("1950-01-01T00:00:00Z")); ok && o.At.Year() < 2050; o, ok = c.Find("s").Next(o.At) {
				if o.Skip != "" {
					skipped++
				}
			}
			done <- skipped
		}()
	}
	for range 8 {
		if n := <-done; n != 100 {
			t.Errorf("%d of 100 holidays", n)
		}
	}
}
