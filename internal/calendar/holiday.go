package calendar

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rickar/cal/v2"
	"github.com/rickar/cal/v2/de"
	"github.com/rickar/cal/v2/dk"
	"github.com/rickar/cal/v2/es"
	"github.com/rickar/cal/v2/fr"
	"github.com/rickar/cal/v2/gb"
	"github.com/rickar/cal/v2/it"
	"github.com/rickar/cal/v2/lt"
	"github.com/rickar/cal/v2/lv"
	"github.com/rickar/cal/v2/nl"
	"github.com/rickar/cal/v2/no"
	"github.com/rickar/cal/v2/pl"
	"github.com/rickar/cal/v2/se"
	"github.com/rickar/cal/v2/us"
	"github.com/rickar/cal/v2/za"
)

// countries are those whose public holidays the library has.
var countries = map[string][]*cal.Holiday{
	"de": de.Holidays, "dk": dk.Holidays, "es": es.Holidays, "fr": fr.Holidays, "gb": gb.Holidays, "it": it.Holidays, "lt": lt.Holidays,
	"lv": lv.Holidays, "nl": nl.Holidays, "no": no.Holidays, "pl": pl.Holidays, "se": se.Holidays, "us": us.Holidays, "za": za.Holidays,
}

// Countries lists the codes that a calendar may name.
func Countries() []string {
	var out []string
	for c := range countries {
		out = append(out, c)
	}
	slices.Sort(out)
	return out
}

// holidays answers for a date whether it is a public holiday, and which. Each year is
// worked out once. Handlers of requests and the leader ask at the same time: what is
// worked out is behind a short lock.
type holidays struct {
	rules []*cal.Holiday
	dates map[string]string // listed ones, by date

	mu    sync.Mutex
	years map[int]map[string]string
}

// dateKey is a date as YYYY-MM-DD.
func dateKey(year int, month time.Month, day int) string {
	return fmt.Sprintf("%04d-%02d-%02d", year, month, day)
}

// on names the public holiday on a date; empty if there is none.
func (h *holidays) on(year int, month time.Month, day int) string {
	if h == nil {
		return ""
	}
	date := dateKey(year, month, day)
	if name := h.dates[date]; name != "" {
		return name
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	names, cached := h.years[year]
	if !cached {
		names = h.inYear(year)
		if h.years == nil {
			h.years = map[int]map[string]string{}
		}
		if len(h.years) > maxCachedYears {
			clear(h.years)
		}
		h.years[year] = names
	}
	return names[date]
}

// inYear finds the names of a year's holidays, by date. The day on which a holiday is observed is one
// too.
func (h *holidays) inYear(year int) map[string]string {
	names := map[string]string{}
	for _, rule := range h.rules {
		actual, observed := rule.Calc(year)
		for _, date := range []time.Time{actual, observed} {
			if !date.IsZero() {
				names[dateKey(date.Date())] = rule.Name
			}
		}
	}
	return names
}

// weekdays are the names of days in a file, by time.Weekday.
var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// maxCachedYears bounds the years whose holidays are cached.
const maxCachedYears = 50

// holidayBlock is a holiday of a file: the same date each year, listed dates, so many
// days from Easter, or the nth weekday of a month (counted from its end if negative).
type holidayBlock struct {
	Name    string   `hcl:"name,label"`
	Date    string   `hcl:"date,optional"`
	Dates   []string `hcl:"dates,optional"`
	Easter  *int     `hcl:"easter,optional"`
	Weekday string   `hcl:"weekday,optional"`
	Nth     int      `hcl:"nth,optional"`
	Month   int      `hcl:"month,optional"`
	From    int      `hcl:"from_year,optional"`
	Until   int      `hcl:"until_year,optional"`
}

// add adds the holiday to those of a calendar.
func (b *holidayBlock) add(to *holidays) error {
	ways := 0
	for _, set := range []bool{b.Date != "", len(b.Dates) > 0, b.Easter != nil, b.Weekday != ""} {
		if set {
			ways++
		}
	}
	if ways != 1 {
		return fmt.Errorf("holiday %q: one of date, dates, easter and weekday is needed", b.Name)
	}
	if len(b.Dates) > 0 {
		return b.addDates(to)
	}
	rule := &cal.Holiday{Name: b.Name, StartYear: b.From, EndYear: b.Until}
	var err error
	switch {
	case b.Date != "":
		err = b.setDayOfYear(rule)
	case b.Easter != nil:
		rule.Offset, rule.Func = *b.Easter, cal.CalcEasterOffset
	default:
		err = b.setWeekdayOfMonth(rule)
	}
	if err != nil {
		return err
	}
	to.rules = append(to.rules, rule)
	return nil
}

// addDates adds the days that are listed with their years.
func (b *holidayBlock) addDates(to *holidays) error {
	for _, text := range b.Dates {
		date, err := time.Parse(time.DateOnly, text)
		if err != nil {
			return fmt.Errorf("holiday %q: date %q is not YYYY-MM-DD", b.Name, text)
		}
		to.dates[dateKey(date.Date())] = b.Name
	}
	return nil
}

func (b *holidayBlock) setDayOfYear(rule *cal.Holiday) error {
	date, err := time.Parse(time.DateOnly, "2000-"+b.Date) // a leap year
	if err != nil {
		return fmt.Errorf("holiday %q: date %q is not MM-DD", b.Name, b.Date)
	}
	rule.Month, rule.Day, rule.Func = date.Month(), date.Day(), cal.CalcDayOfMonth
	if date.Month() == time.February && date.Day() == 29 {
		rule.Func = leapDay
	}
	return nil
}

// leapDay is 29 February, or the zero time in years without one.
func leapDay(_ *cal.Holiday, year int) time.Time {
	date := time.Date(year, time.February, 29, 0, 0, 0, 0, time.UTC)
	if date.Day() != 29 {
		return time.Time{}
	}
	return date
}

// nthLimit is the last weekday of its kind that a month may have, counted from its start or, negative,
// from its end.
const nthLimit = 5

func (b *holidayBlock) setWeekdayOfMonth(rule *cal.Holiday) error {
	weekday := slices.Index(weekdays, strings.ToLower(b.Weekday))
	if weekday < 0 || b.Nth == 0 || b.Nth < -nthLimit || b.Nth > nthLimit || b.Month < 1 || b.Month > 12 {
		return fmt.Errorf("holiday %q: weekday is one of %s, nth from 1 to 5 or -1 to -5, month from 1 to 12", b.Name, strings.Join(weekdays, ", "))
	}
	rule.Month, rule.Weekday = time.Month(b.Month), time.Weekday(weekday)
	rule.Offset, rule.Func = b.Nth, cal.CalcWeekdayOffset
	return nil
}
