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

	"dalefront/internal/hclfile"
	"dalefront/wire"
)

// Words of a file beside the policies.
const (
	gapNext     = "next" // a local time that does not exist runs when the clocks change
	gapSkip     = "skip" // it does not run
	holidaySkip = "skip"
	holidayRun  = "run"
	holidayOnly = "only"
)

const (
	secondsPerDay  = 86400
	revisionLength = 8 // bytes of the hash
)

// Limits of a file.
const (
	maxFileBytes = 16 << 20
	maxSchedules = 100_000
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
func Parse(name string, source []byte) (*Calendar, error) {
	if len(source) > maxFileBytes {
		return nil, fmt.Errorf("%s: larger than %d bytes", name, maxFileBytes)
	}
	file, diagnostics := hclparse.NewParser().ParseHCL(source, name)
	if diagnostics.HasErrors() {
		return nil, firstError(diagnostics)
	}
	body, ok := file.Body.(*hclsyntax.Body)
	if !ok {
		return nil, fmt.Errorf("%s: not HCL", name)
	}
	for _, attribute := range body.Attributes {
		return nil, hclfile.At(attribute.SrcRange, "%q does not belong here: a file holds calendar and schedule blocks", attribute.Name)
	}
	r := &reader{calendars: map[string]*days{}, named: map[string]bool{}}
	for _, kind := range []string{calendarKind, scheduleKind} { // a schedule may come before its calendar
		for _, block := range body.Blocks {
			if err := r.block(block, kind, source); err != nil {
				return nil, err
			}
		}
	}
	slices.SortFunc(r.out.Schedules, func(a, b *Schedule) int { return strings.Compare(a.Name, b.Name) })
	return &r.out, nil
}

// Kinds of blocks of a file.
const (
	calendarKind = "calendar"
	scheduleKind = "schedule"
)

// block reads a block if it is of the kind.
func (r *reader) block(block *hclsyntax.Block, kind string, source []byte) error {
	if block.Type != calendarKind && block.Type != scheduleKind {
		return hclfile.At(block.TypeRange, "%q is not known: a file holds calendar and schedule blocks", block.Type)
	}
	if block.Type != kind {
		return nil
	}
	if len(block.Labels) != 1 || !nameForm.MatchString(block.Labels[0]) {
		return hclfile.At(block.DefRange(), "a %s has one name of up to 64 letters, digits and _.-", block.Type)
	}
	if kind == calendarKind {
		return r.calendar(block)
	}
	return r.schedule(block, source)
}

// firstError is the first error of the parser as one line.
func firstError(diagnostics hcl.Diagnostics) error {
	for _, diagnostic := range diagnostics {
		if diagnostic.Severity != hcl.DiagError {
			continue
		}
		text := strings.TrimSuffix(diagnostic.Summary, ".")
		if diagnostic.Detail != "" {
			text += ": " + strings.ReplaceAll(diagnostic.Detail, "\n", " ")
		}
		if diagnostic.Subject == nil {
			return errors.New(text)
		}
		return hclfile.At(*diagnostic.Subject, "%s", text)
	}
	return nil
}

// where is the place of an attribute or block inside a block, or the block's own.
func where(block *hclsyntax.Block, name string) hcl.Range {
	if attribute := block.Body.Attributes[name]; attribute != nil {
		return attribute.SrcRange
	}
	for _, inner := range block.Body.Blocks {
		if inner.Type == name {
			return inner.DefRange()
		}
	}
	return block.DefRange()
}

// days is what a calendar block says.
type days struct {
	location *time.Location
	week     [7]bool // on which days of the week it runs, from Sunday
	holidays *holidays
	text     string // of the definition, for the revision of schedules
}

// reader collects what a file holds.
type reader struct {
	calendars map[string]*days
	named     map[string]bool // schedules
	out       Calendar
}

func (r *reader) calendar(block *hclsyntax.Block) error {
	name := block.Labels[0]
	if r.calendars[name] != nil {
		return hclfile.At(block.DefRange(), "calendar %q is there twice", name)
	}
	var definition calendarBlock
	if diagnostics := gohcl.DecodeBody(block.Body, nil, &definition); diagnostics.HasErrors() {
		return firstError(diagnostics)
	}
	days, err := daysOf(block, &definition)
	if err != nil {
		return err
	}
	r.calendars[name] = days
	return nil
}

// daysOf checks a calendar's definition.
func daysOf(block *hclsyntax.Block, definition *calendarBlock) (*days, error) {
	location, err := time.LoadLocation(definition.Timezone)
	if err != nil || definition.Timezone == "" || definition.Timezone == "Local" {
		return nil, hclfile.At(where(block, "timezone"), "%q is not an IANA time zone", definition.Timezone)
	}
	out := &days{location: location, holidays: &holidays{dates: map[string]string{}}}
	for _, name := range definition.Weekdays {
		weekday := slices.Index(weekdays, strings.ToLower(name))
		if weekday < 0 {
			return nil, hclfile.At(where(block, "weekdays"), "%q is not one of %s", name, strings.Join(weekdays, ", "))
		}
		out.week[weekday] = true
	}
	if len(definition.Weekdays) == 0 {
		out.week = [7]bool{true, true, true, true, true, true, true}
	}
	if country := definition.Country; country != "" {
		if countries[country] == nil {
			return nil, hclfile.At(where(block, "country"), "holidays of %q are not known, only of %s; list them as holiday blocks", country, strings.Join(Countries(), ", "))
		}
		out.holidays.rules = slices.Clone(countries[country])
	}
	for i := range definition.Holidays {
		if err := definition.Holidays[i].add(out.holidays); err != nil {
			return nil, hclfile.At(where(block, "holiday"), "%v", err)
		}
	}
	out.text = definition.revisionText()
	return out, nil
}

func (r *reader) schedule(block *hclsyntax.Block, source []byte) error {
	name := block.Labels[0]
	if r.named[name] {
		return hclfile.At(block.DefRange(), "schedule %q is there twice", name)
	}
	if len(r.out.Schedules) == maxSchedules {
		return hclfile.At(block.DefRange(), "more than %d schedules", maxSchedules)
	}
	definition := scheduleBlock{Gap: gapNext, OnHoliday: holidaySkip, Missed: MissedRunOnce, Bound: 10, LatestS: 3600, Overlap: OverlapForbid, KeepRuns: 20}
	if diagnostics := gohcl.DecodeBody(block.Body, nil, &definition); diagnostics.HasErrors() {
		return firstError(diagnostics)
	}
	calendarDays := r.calendars[definition.Calendar]
	if calendarDays == nil {
		return hclfile.At(where(block, "calendar"), "there is no calendar %q", definition.Calendar)
	}
	if err := definition.checkPolicies(block); err != nil {
		return err
	}
	schedule, err := definition.schedule(block, calendarDays)
	if err != nil {
		return err
	}
	schedule.Revision = revision(block.Range().SliceBytes(source), calendarDays)
	r.named[name] = true
	r.out.Schedules = append(r.out.Schedules, schedule)
	return nil
}

// revision is a hash of whatever the file says of a schedule and of its calendar.
func revision(source []byte, calendarDays *days) string {
	sum := sha256.New()
	_, _ = sum.Write(source)
	_, _ = sum.Write([]byte(calendarDays.text))
	return hex.EncodeToString(sum.Sum(nil)[:revisionLength])
}

// checkPolicies checks the words and numbers of a schedule.
func (s *scheduleBlock) checkPolicies(block *hclsyntax.Block) error {
	for _, word := range []struct {
		field, value string
		allowed      []string
	}{
		{"gap", s.Gap, []string{gapNext, gapSkip}},
		{"on_holiday", s.OnHoliday, []string{holidaySkip, holidayRun, holidayOnly}},
		{"missed", s.Missed, []string{MissedSkip, MissedRunOnce, MissedRunAll}},
		{"overlap", s.Overlap, []string{OverlapAllow, OverlapForbid, OverlapReplace}},
	} {
		if !slices.Contains(word.allowed, word.value) {
			return hclfile.At(where(block, word.field), "%s is %q, not one of %s", word.field, word.value, strings.Join(word.allowed, ", "))
		}
	}
	for _, number := range []struct {
		field              string
		value, least, most float64
	}{
		{"missed_bound", float64(s.Bound), 1, 1000},
		{"latest_start_s", s.LatestS, 1, 366 * secondsPerDay},
		{"jitter_s", s.JitterS, 0, secondsPerDay},
		{"keep_runs", float64(s.KeepRuns), 1, 100},
	} {
		if !(number.value >= number.least && number.value <= number.most) { // not a number is refused too
			return hclfile.At(where(block, number.field), "%s must be from %g to %g", number.field, number.least, number.most)
		}
	}
	return nil
}

// schedule turns a definition into a schedule without a revision.
func (s *scheduleBlock) schedule(block *hclsyntax.Block, calendarDays *days) (*Schedule, error) {
	name, location := block.Labels[0], calendarDays.location
	out := &Schedule{Name: name, Location: location, Missed: s.Missed, MissedBound: s.Bound, LatestStart: seconds(s.LatestS), Overlap: s.Overlap,
		Jitter: seconds(s.JitterS), KeepRuns: s.KeepRuns, days: calendarDays.week, holidays: calendarDays.holidays, onHoliday: s.OnHoliday}
	var err error
	if out.rule, err = s.rule(location); err != nil {
		return nil, hclfile.At(where(block, s.ruleField()), "%v", err)
	}
	if out.From, err = instant(s.From, location); err != nil {
		return nil, hclfile.At(where(block, "from"), "from: %v", err)
	}
	if out.Until, err = instant(s.Until, location); err != nil {
		return nil, hclfile.At(where(block, "until"), "until: %v", err)
	}
	if s.When != "" {
		if out.when, err = newCondition(s.When); err != nil {
			return nil, hclfile.At(where(block, "when"), "%v", err)
		}
	}
	if s.Job == nil {
		return nil, hclfile.At(block.DefRange(), "schedule %q has no job block", name)
	}
	if out.Job, err = s.Job.template(); err != nil {
		return nil, hclfile.At(where(block, "job"), "%v", err)
	}
	return out, nil
}

// ruleField names the field or block that an error of the rule is about.
func (s *scheduleBlock) ruleField() string {
	switch {
	case s.Sun != nil:
		return "sun"
	case s.FinishBy != nil:
		return "finish_by"
	}
	return "cron"
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// rule is the one rule that the definition gives.
func (s *scheduleBlock) rule(location *time.Location) (rule, error) {
	rules := 0
	for _, set := range []bool{s.Cron != "", s.Sun != nil, s.FinishBy != nil} {
		if set {
			rules++
		}
	}
	switch {
	case rules != 1:
		return nil, errors.New("one of cron, sun and finish_by is needed")
	case s.Cron != "":
		return newCron(s.Cron, location, s.Gap == gapSkip)
	case s.Sun != nil:
		return s.Sun.rule(location)
	}
	return s.FinishBy.rule(location)
}

func (s *sunBlock) rule(location *time.Location) (rule, error) {
	if _, ok := altitudes[s.Event]; !ok {
		return nil, fmt.Errorf("there is no event %q of the sun", s.Event)
	}
	const halfDay = secondsPerDay / 2
	if !(s.Latitude >= -90 && s.Latitude <= 90 && s.Longitude >= -180 && s.Longitude <= 180 && s.OffsetS >= -halfDay && s.OffsetS <= halfDay) {
		return nil, errors.New("latitude is from -90 to 90, longitude from -180 to 180, offset_s from -43200 to 43200")
	}
	return &sunRule{s.Event, s.Latitude, s.Longitude, seconds(s.OffsetS), location}, nil
}

func (f *finishBlock) rule(location *time.Location) (rule, error) {
	by, err := time.Parse("15:04", f.At)
	if err != nil {
		return nil, fmt.Errorf("at %q is not HH:MM", f.At)
	}
	if !(f.RunS >= 0 && f.RunS <= secondsPerDay) {
		return nil, errors.New("run_s must be from 0 to 86400")
	}
	sinceMidnight := time.Duration(by.Hour())*time.Hour + time.Duration(by.Minute())*time.Minute
	return &finishRule{sinceMidnight, seconds(f.RunS), location}, nil
}

// instant reads a date, the start of it, or a local date and time.
func instant(text string, location *time.Location) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	for _, form := range []string{time.DateOnly, "2006-01-02T15:04", "2006-01-02T15:04:05"} {
		if wall, err := time.Parse(form, text); err == nil {
			at, _ := resolve(wall, location)
			return at, nil
		}
	}
	return time.Time{}, fmt.Errorf("%q is not YYYY-MM-DD or YYYY-MM-DDTHH:MM", text)
}

// template is the job with an id that stands for any, checked as a submission is.
func (b *jobBlock) template() (wire.Job, error) {
	job := wire.Job{ID: "j-0", Class: b.Class, Team: b.Team, Shape: b.Shape, Priority: b.Priority, Tasks: b.Tasks, CPUs: b.CPUs, GPUs: b.GPUs,
		MemoryGB: b.MemoryGB, Image: b.Image, ImageGB: b.ImageGB, Types: b.Types, Zone: b.Zone, OneZone: b.OneZone, Spread: b.Spread, Spot: b.Spot,
		EstimateS: b.EstimateS, CheckpointIntervalS: b.CheckpointS, CheckpointDurationS: b.SaveS, DeadlineS: b.DeadlineS}
	if job.Shape == "" {
		job.Shape = wire.Array
	}
	if job.Priority == "" {
		job.Priority = wire.Normal
	}
	if job.Tasks == 0 {
		job.Tasks = 1
	}
	body, err := wire.Marshal(job)
	if err != nil {
		return job, err
	}
	if _, err := wire.ParseJob(body); err != nil {
		return job, fmt.Errorf("job: %w", err)
	}
	return job, nil
}
