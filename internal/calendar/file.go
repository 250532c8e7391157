package calendar

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"dalefront/wire"
)

type calendarBlock struct {
	Timezone string         `hcl:"timezone"`
	Weekdays []string       `hcl:"weekdays,optional"`
	Country  string         `hcl:"country,optional"`
	Holidays []holidayBlock `hcl:"holiday,block"`
}

type scheduleBlock struct {
	Calendar  string       `hcl:"calendar"`
	Cron      string       `hcl:"cron,optional"`
	Sun       *sunBlock    `hcl:"sun,block"`
	FinishBy  *finishBlock `hcl:"finish_by,block"`
	Gap       string       `hcl:"gap,optional"`
	OnHoliday string       `hcl:"on_holiday,optional"`
	When      string       `hcl:"when,optional"`
	From      string       `hcl:"from,optional"`
	Until     string       `hcl:"until,optional"`
	Missed    string       `hcl:"missed,optional"`
	Bound     int          `hcl:"missed_bound,optional"`
	LatestS   float64      `hcl:"latest_start_s,optional"`
	Overlap   string       `hcl:"overlap,optional"`
	JitterS   float64      `hcl:"jitter_s,optional"`
	KeepRuns  int          `hcl:"keep_runs,optional"`
	Job       *jobBlock    `hcl:"job,block"`
}

type sunBlock struct {
	Event     string  `hcl:"event"`
	Latitude  float64 `hcl:"latitude"`
	Longitude float64 `hcl:"longitude"`
	OffsetS   float64 `hcl:"offset_s,optional"`
}

type finishBlock struct {
	At   string  `hcl:"at"`
	RunS float64 `hcl:"run_s"`
}

type jobBlock struct {
	Class       string   `hcl:"class"`
	Team        string   `hcl:"team"`
	Shape       string   `hcl:"shape,optional"`
	Priority    string   `hcl:"priority,optional"`
	Tasks       int      `hcl:"tasks,optional"`
	CPUs        float64  `hcl:"cpus"`
	GPUs        float64  `hcl:"gpus,optional"`
	MemoryGB    float64  `hcl:"memory_gb"`
	Image       string   `hcl:"image"`
	ImageGB     float64  `hcl:"image_gb"`
	Types       []string `hcl:"types,optional"`
	Zone        *string  `hcl:"zone,optional"`
	OneZone     bool     `hcl:"one_zone,optional"`
	Spread      bool     `hcl:"spread,optional"`
	Spot        bool     `hcl:"spot,optional"`
	EstimateS   float64  `hcl:"estimate_s"`
	CheckpointS float64  `hcl:"checkpoint_every_s,optional"`
	SaveS       float64  `hcl:"save_s,optional"`
	DeadlineS   *float64 `hcl:"deadline_s,optional"`
}

// Limits of a file.
const (
	mostBytes     = 16 << 20
	mostSchedules = 100_000
)

var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$`)

// Load reads and checks a file. Its error is one line: file, line, column, and what is
// wrong.
func Load(path string) (*Calendar, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, src)
}

// Parse checks the text of a file; the name is for errors.
func Parse(name string, src []byte) (*Calendar, error) {
	if len(src) > mostBytes {
		return nil, fmt.Errorf("%s: larger than %d bytes", name, mostBytes)
	}
	f, diags := hclparse.NewParser().ParseHCL(src, name)
	if diags.HasErrors() {
		return nil, located(diags)
	}
	body, ok := f.Body.(*hclsyntax.Body)
	if !ok {
		return nil, fmt.Errorf("%s: not HCL", name)
	}
	for _, a := range body.Attributes {
		return nil, at(a.SrcRange, "%q does not belong here: a file holds calendar and schedule blocks", a.Name)
	}
	r := &reader{calendars: map[string]*days{}, named: map[string]bool{}}
	for _, kind := range []string{"calendar", "schedule"} { // a schedule may come before its calendar
		for _, b := range body.Blocks {
			if b.Type != "calendar" && b.Type != "schedule" {
				return nil, at(b.TypeRange, "%q is not known: a file holds calendar and schedule blocks", b.Type)
			}
			if b.Type != kind {
				continue
			}
			if len(b.Labels) != 1 || !nameForm.MatchString(b.Labels[0]) {
				return nil, at(b.DefRange(), "a %s has one name of up to 64 letters, digits and _.-", b.Type)
			}
			var err error
			if kind == "calendar" {
				err = r.calendar(b)
			} else {
				err = r.schedule(b, src)
			}
			if err != nil {
				return nil, err
			}
		}
	}
	slices.SortFunc(r.out.Schedules, func(a, b *Schedule) int { return strings.Compare(a.Name, b.Name) })
	return &r.out, nil
}

// located is the first error of the parser as one line.
func located(diags hcl.Diagnostics) error {
	for _, d := range diags {
		if d.Severity != hcl.DiagError {
			continue
		}
		text := strings.TrimSuffix(d.Summary, ".")
		if d.Detail != "" {
			text += ": " + strings.ReplaceAll(d.Detail, "\n", " ")
		}
		if d.Subject == nil {
			return fmt.Errorf("%s", text)
		}
		return at(*d.Subject, "%s", text)
	}
	return nil
}

func at(r hcl.Range, format string, args ...any) error {
	return fmt.Errorf("%s:%d:%d: %s", r.Filename, r.Start.Line, r.Start.Column, fmt.Sprintf(format, args...))
}

// where is the place of an attribute or block inside a block, or the block's own.
func where(b *hclsyntax.Block, name string) hcl.Range {
	if a := b.Body.Attributes[name]; a != nil {
		return a.SrcRange
	}
	for _, x := range b.Body.Blocks {
		if x.Type == name {
			return x.DefRange()
		}
	}
	return b.DefRange()
}

// days is what a calendar block says.
type days struct {
	loc      *time.Location
	week     [7]bool
	holidays *holidays
	text     string
}

type reader struct {
	calendars map[string]*days
	named     map[string]bool // schedules
	out       Calendar
}

func (r *reader) calendar(b *hclsyntax.Block) error {
	name := b.Labels[0]
	if r.calendars[name] != nil {
		return at(b.DefRange(), "calendar %q is there twice", name)
	}
	var c calendarBlock
	if diags := gohcl.DecodeBody(b.Body, nil, &c); diags.HasErrors() {
		return located(diags)
	}
	d := &days{holidays: &holidays{dates: map[string]string{}}}
	var err error
	if d.loc, err = time.LoadLocation(c.Timezone); err != nil || c.Timezone == "" || c.Timezone == "Local" {
		return at(where(b, "timezone"), "%q is not an IANA time zone", c.Timezone)
	}
	for _, w := range c.Weekdays {
		i := slices.Index(weekdays, strings.ToLower(w))
		if i < 0 {
			return at(where(b, "weekdays"), "%q is not one of %s", w, strings.Join(weekdays, ", "))
		}
		d.week[i] = true
	}
	if len(c.Weekdays) == 0 {
		d.week = [7]bool{true, true, true, true, true, true, true}
	}
	if c.Country != "" {
		if countries[c.Country] == nil {
			return at(where(b, "country"), "holidays of %q are not known, only of %s; list them as holiday blocks", c.Country, strings.Join(Countries(), ", "))
		}
		d.holidays.rules = slices.Clone(countries[c.Country])
	}
	for i := range c.Holidays {
		if err := c.Holidays[i].add(d.holidays); err != nil {
			return at(where(b, "holiday"), "%v", err)
		}
	}
	d.text = fmt.Sprintf("%+v", c)
	r.calendars[name] = d
	return nil
}

func (r *reader) schedule(b *hclsyntax.Block, src []byte) error {
	name := b.Labels[0]
	if r.named[name] {
		return at(b.DefRange(), "schedule %q is there twice", name)
	}
	if len(r.out.Schedules) == mostSchedules {
		return at(b.DefRange(), "more than %d schedules", mostSchedules)
	}
	x := scheduleBlock{Gap: "next", OnHoliday: "skip", Missed: MissedRunOnce, Bound: 10, LatestS: 3600, Overlap: OverlapForbid, KeepRuns: 20}
	if diags := gohcl.DecodeBody(b.Body, nil, &x); diags.HasErrors() {
		return located(diags)
	}
	d := r.calendars[x.Calendar]
	if d == nil {
		return at(where(b, "calendar"), "there is no calendar %q", x.Calendar)
	}
	s := &Schedule{Name: name, Location: d.loc, Missed: x.Missed, MissedBound: x.Bound, LatestStart: seconds(x.LatestS), Overlap: x.Overlap,
		Jitter: seconds(x.JitterS), KeepRuns: x.KeepRuns, days: d.week, holidays: d.holidays, onOff: x.OnHoliday}
	for _, c := range []struct {
		name, value string
		allowed     []string
	}{
		{"gap", x.Gap, []string{"next", "skip"}},
		{"on_holiday", x.OnHoliday, []string{"skip", "run", "only"}},
		{"missed", x.Missed, []string{MissedSkip, MissedRunOnce, MissedRunAll}},
		{"overlap", x.Overlap, []string{OverlapAllow, OverlapForbid, OverlapReplace}},
	} {
		if !slices.Contains(c.allowed, c.value) {
			return at(where(b, c.name), "%s is %q, not one of %s", c.name, c.value, strings.Join(c.allowed, ", "))
		}
	}
	for _, c := range []struct {
		name      string
		v, lo, hi float64
	}{
		{"missed_bound", float64(x.Bound), 1, 1000}, {"latest_start_s", x.LatestS, 1, 366 * 86400},
		{"jitter_s", x.JitterS, 0, 86400}, {"keep_runs", float64(x.KeepRuns), 1, 100},
	} {
		if !(c.v >= c.lo && c.v <= c.hi) {
			return at(where(b, c.name), "%s must be from %g to %g", c.name, c.lo, c.hi)
		}
	}
	var err error
	if s.rule, err = x.rule(d.loc); err != nil {
		place := "cron"
		if x.Sun != nil {
			place = "sun"
		} else if x.FinishBy != nil {
			place = "finish_by"
		}
		return at(where(b, place), "%v", err)
	}
	if s.From, err = instant(x.From, d.loc); err != nil {
		return at(where(b, "from"), "from: %v", err)
	}
	if s.Until, err = instant(x.Until, d.loc); err != nil {
		return at(where(b, "until"), "until: %v", err)
	}
	if x.When != "" {
		if s.when, err = newCondition(x.When); err != nil {
			return at(where(b, "when"), "%v", err)
		}
	}
	if x.Job == nil {
		return at(b.DefRange(), "schedule %q has no job block", name)
	}
	if s.Job, err = x.Job.template(); err != nil {
		return at(where(b, "job"), "%v", err)
	}
	// Whatever the file says of it, and of its calendar, is part of the revision.
	sum := sha256.New()
	_, _ = sum.Write(b.Range().SliceBytes(src))
	_, _ = sum.Write([]byte(d.text))
	s.Revision = hex.EncodeToString(sum.Sum(nil)[:8])
	r.named[name] = true
	r.out.Schedules = append(r.out.Schedules, s)
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (x *scheduleBlock) rule(loc *time.Location) (rule, error) {
	ways := 0
	for _, set := range []bool{x.Cron != "", x.Sun != nil, x.FinishBy != nil} {
		if set {
			ways++
		}
	}
	if ways != 1 {
		return nil, errors.New("one of cron, sun and finish_by is needed")
	}
	switch {
	case x.Cron != "":
		return newCron(x.Cron, loc, x.Gap == "skip")
	case x.Sun != nil:
		u := x.Sun
		if _, ok := altitudes[u.Event]; !ok {
			return nil, fmt.Errorf("there is no event %q of the sun", u.Event)
		}
		if !(u.Latitude >= -90 && u.Latitude <= 90 && u.Longitude >= -180 && u.Longitude <= 180 && u.OffsetS >= -43200 && u.OffsetS <= 43200) {
			return nil, errors.New("latitude is from -90 to 90, longitude from -180 to 180, offset_s from -43200 to 43200")
		}
		return &sunRule{u.Event, u.Latitude, u.Longitude, seconds(u.OffsetS), loc}, nil
	}
	by, err := time.Parse("15:04", x.FinishBy.At)
	if err != nil {
		return nil, fmt.Errorf("at %q is not HH:MM", x.FinishBy.At)
	}
	if run := x.FinishBy.RunS; !(run >= 0 && run <= 86400) {
		return nil, errors.New("run_s must be from 0 to 86400")
	}
	return &finishRule{time.Duration(by.Hour())*time.Hour + time.Duration(by.Minute())*time.Minute, seconds(x.FinishBy.RunS), loc}, nil
}

// instant reads a date, the start of it, or a local date and time.
func instant(text string, loc *time.Location) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	for _, form := range []string{time.DateOnly, "2006-01-02T15:04", "2006-01-02T15:04:05"} {
		if wall, err := time.Parse(form, text); err == nil {
			t, _ := resolve(wall, loc)
			return t, nil
		}
	}
	return time.Time{}, fmt.Errorf("%q is not YYYY-MM-DD or YYYY-MM-DDTHH:MM", text)
}

// template is the job with an id that stands for any, checked as a submission is.
func (x *jobBlock) template() (wire.Job, error) {
	j := wire.Job{ID: "j-0", Class: x.Class, Team: x.Team, Shape: x.Shape, Priority: x.Priority, Tasks: x.Tasks, CPUs: x.CPUs, GPUs: x.GPUs,
		MemoryGB: x.MemoryGB, Image: x.Image, ImageGB: x.ImageGB, Types: x.Types, Zone: x.Zone, OneZone: x.OneZone, Spread: x.Spread, Spot: x.Spot,
		EstimateS: x.EstimateS, CheckpointIntervalS: x.CheckpointS, CheckpointDurationS: x.SaveS, DeadlineS: x.DeadlineS}
	if j.Shape == "" {
		j.Shape = wire.Array
	}
	if j.Priority == "" {
		j.Priority = wire.Normal
	}
	if j.Tasks == 0 {
		j.Tasks = 1
	}
	b, err := wire.Marshal(j)
	if err != nil {
		return j, err
	}
	if _, err := wire.ParseJob(b); err != nil {
		return j, fmt.Errorf("job: %v", err)
	}
	return j, nil
}
