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

// holidaysByCountry holds the public holidays that the cal library provides, by country code.
var holidaysByCountry = map[string][]*cal.Holiday{
	"de": de.Holidays, "dk": dk.Holidays, "es": es.Holidays, "fr": fr.Holidays, "gb": gb.Holidays, "it": it.Holidays, "lt": lt.Holidays,
	"lv": lv.Holidays, "nl": nl.Holidays, "no": no.Holidays, "pl": pl.Holidays, "se": se.Holidays, "us": us.Holidays, "za": za.Holidays,
}

// Countries returns the sorted country codes that a calendar may use.
func Countries() []string {
	var out []string
	for c := range holidaysByCountry {
		out = append(out, c)
	}
	slices.Sort(out)
	return out
}

// holidays looks up the public holiday of a date. The holidays of a year are computed once and cached. A mutex
// protects the cache, because request handlers and the leader look up holidays concurrently.
type holidays struct {
	rules       []*cal.Holiday
	namesByDate map[string]string // names of the holidays defined by lists of dates, by dateKey

	mu          sync.Mutex
	namesByYear map[int]map[string]string // cache of namesInYear; protected by mu
}

// dateKey returns a date as YYYY-MM-DD.
func dateKey(year int, month time.Month, day int) string {
	return fmt.Sprintf("%04d-%02d-%02d", year, month, day)
}

// nameOn returns the name of the public holiday on a date, or an empty string if there is none.
func (h *holidays) nameOn(year int, month time.Month, day int) string {
	if h == nil {
		return ""
	}
	date := dateKey(year, month, day)
	if name := h.namesByDate[date]; name != "" {
		return name
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	names, cached := h.namesByYear[year]
	if !cached {
		names = h.namesInYear(year)
		if h.namesByYear == nil {
			h.namesByYear = map[int]map[string]string{}
		}
		if len(h.namesByYear) > maxCachedYears {
			clear(h.namesByYear)
		}
		h.namesByYear[year] = names
	}
	return names[date]
}

// namesInYear returns the names of a year's holidays by dateKey. If a holiday is observed on another day, that
// day is a holiday, too.
func (h *holidays) namesInYear(year int) map[string]string {
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

// weekdayNames are the names of the days of the week in a calendar file, indexed by time.Weekday.
var weekdayNames = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// maxCachedYears is the number of years above which the cache of holidays is cleared.
const maxCachedYears = 50

// holidayBlock is a holiday block of a calendar. It defines the same date each year, a list of dates, an
// offset in days from Easter, or the nth weekday of a month. A negative nth counts from the end of the month.
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

// addTo adds the holiday to the holidays of a calendar.
func (b *holidayBlock) addTo(to *holidays) error {
	definitions := 0
	for _, set := range []bool{b.Date != "", len(b.Dates) > 0, b.Easter != nil, b.Weekday != ""} {
		if set {
			definitions++
		}
	}
	if definitions != 1 {
		return fmt.Errorf("holiday %q: exactly one of date, dates, easter and weekday is required", b.Name)
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

// addDates adds the holiday on each of the listed dates. These dates include the year.
func (b *holidayBlock) addDates(to *holidays) error {
	for _, text := range b.Dates {
		date, err := time.Parse(time.DateOnly, text)
		if err != nil {
			return fmt.Errorf("holiday %q: date %q is not YYYY-MM-DD", b.Name, text)
		}
		to.namesByDate[dateKey(date.Date())] = b.Name
	}
	return nil
}

func (b *holidayBlock) setDayOfYear(rule *cal.Holiday) error {
	date, err := time.Parse(time.DateOnly, "2000-"+b.Date) // a leap year, so that 29 February is valid
	if err != nil {
		return fmt.Errorf("holiday %q: date %q is not MM-DD", b.Name, b.Date)
	}
	rule.Month, rule.Day, rule.Func = date.Month(), date.Day(), cal.CalcDayOfMonth
	if date.Month() == time.February && date.Day() == 29 {
		rule.Func = leapDay
	}
	return nil
}

// leapDay returns 29 February, or the zero time in years without one.
func leapDay(_ *cal.Holiday, year int) time.Time {
	date := time.Date(year, time.February, 29, 0, 0, 0, 0, time.UTC)
	if date.Day() != 29 {
		return time.Time{}
	}
	return date
}

// maxNth is the largest number of times that a weekday can occur in a month. It limits nth in both directions.
const maxNth = 5

func (b *holidayBlock) setWeekdayOfMonth(rule *cal.Holiday) error {
	weekday := slices.Index(weekdayNames, strings.ToLower(b.Weekday))
	if weekday < 0 || b.Nth == 0 || b.Nth < -maxNth || b.Nth > maxNth || b.Month < 1 || b.Month > 12 {
		return fmt.Errorf("holiday %q: weekday must be one of %s, nth from 1 to 5 or -1 to -5, month from 1 to 12", b.Name, strings.Join(weekdayNames, ", "))
	}
	rule.Month, rule.Weekday = time.Month(b.Month), time.Weekday(weekday)
	rule.Offset, rule.Func = b.Nth, cal.CalcWeekdayOffset
	return nil
}
