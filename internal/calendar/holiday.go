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

func dateKey(y int, m time.Month, d int) string { return fmt.Sprintf("%04d-%02d-%02d", y, m, d) }

func (h *holidays) on(y int, m time.Month, d int) string {
	if h == nil {
		return ""
	}
	if name := h.dates[dateKey(y, m, d)]; name != "" {
		return name
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	year, ok := h.years[y]
	if !ok {
		year = map[string]string{}
		for _, r := range h.rules {
			actual, observed := r.Calc(y)
			for _, t := range []time.Time{actual, observed} {
				if !t.IsZero() {
					year[dateKey(t.Date())] = r.Name
				}
			}
		}
		if h.years == nil {
			h.years = map[int]map[string]string{}
		}
		if len(h.years) > maxCachedYears {
			clear(h.years)
		}
		h.years[y] = year
	}
	return year[dateKey(y, m, d)]
}

var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// maxCachedYears bounds the years whose holidays are remembered.
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

func (b *holidayBlock) add(h *holidays) error {
	ways := 0
	for _, set := range []bool{b.Date != "", len(b.Dates) > 0, b.Easter != nil, b.Weekday != ""} {
		if set {
			ways++
		}
	}
	if ways != 1 {
		return fmt.Errorf("holiday %q: one of date, dates, easter and weekday is needed", b.Name)
	}
	rule := &cal.Holiday{Name: b.Name, StartYear: b.From, EndYear: b.Until}
	switch {
	case b.Date != "":
		t, err := time.Parse("2006-01-02", "2000-"+b.Date) // a leap year
		if err != nil {
			return fmt.Errorf("holiday %q: date %q is not MM-DD", b.Name, b.Date)
		}
		rule.Month, rule.Day, rule.Func = t.Month(), t.Day(), cal.CalcDayOfMonth
		if t.Month() == time.February && t.Day() == 29 {
			rule.Func = func(_ *cal.Holiday, year int) time.Time {
				if t := time.Date(year, time.February, 29, 0, 0, 0, 0, time.UTC); t.Day() == 29 {
					return t
				}
				return time.Time{}
			}
		}
	case len(b.Dates) > 0:
		for _, d := range b.Dates {
			t, err := time.Parse(time.DateOnly, d)
			if err != nil {
				return fmt.Errorf("holiday %q: date %q is not YYYY-MM-DD", b.Name, d)
			}
			h.dates[dateKey(t.Date())] = b.Name
		}
		return nil
	case b.Easter != nil:
		rule.Offset, rule.Func = *b.Easter, cal.CalcEasterOffset
	default:
		day := slices.Index(weekdays, strings.ToLower(b.Weekday))
		if day < 0 || b.Nth == 0 || b.Nth < -5 || b.Nth > 5 || b.Month < 1 || b.Month > 12 {
			return fmt.Errorf("holiday %q: weekday is one of %s, nth from 1 to 5 or -1 to -5, month from 1 to 12", b.Name, strings.Join(weekdays, ", "))
		}
		rule.Month, rule.Weekday, rule.Offset, rule.Func = time.Month(b.Month), time.Weekday(day), b.Nth, cal.CalcWeekdayOffset
	}
	h.rules = append(h.rules, rule)
	return nil
}
