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
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"dalefront/internal/hclfile"
	"dalefront/wire"
)

// Values of the settings gap and on_holiday. The setting gap is for wall times that are skipped when clocks go
// forward.
const (
	gapNext     = "next" // the run starts at the clock change
	gapSkip     = "skip" // there is no run
	holidaySkip = "skip"
	holidayRun  = "run"
	holidayOnly = "only"
)

const (
	secondsPerDay = 86400
	revisionBytes = 8 // bytes of the hash that make up a revision
)

// Limits of a calendar file.
const (
	maxFileBytes = 16 << 20
	maxSchedules = 100_000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$`)

// Load reads and checks a calendar file. An error in the file's content is reported as one line with the file,
// line, column and problem.
func Load(path string) (*Calendar, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, src)
}

// Parse reads and checks the text of a calendar file. The file's name is used in errors.
func Parse(name string, source []byte) (*Calendar, error) {
	if len(source) > maxFileBytes {
		return nil, fmt.Errorf("%s: larger than %d bytes", name, maxFileBytes)
	}
	file, diagnostics := hclfile.Parse(source, name)
	if diagnostics.HasErrors() {
		return nil, firstError(diagnostics)
	}
	body, ok := file.Body.(*hclsyntax.Body)
	if !ok {
		return nil, fmt.Errorf("%s: not HCL", name)
	}
	for _, attribute := range body.Attributes {
		return nil, hclfile.Errorf(attribute.SrcRange, "%q does not belong here: a file holds calendar and schedule blocks", attribute.Name)
	}
	p := &parser{calendars: map[string]*parsedCalendar{}, scheduleNames: map[string]bool{}}
	// Calendars are read first, since a schedule may precede its calendar in the file.
	for _, blockType := range []string{calendarBlockType, scheduleBlockType} {
		for _, block := range body.Blocks {
			if err := p.addBlock(block, blockType, source); err != nil {
				return nil, err
			}
		}
	}
	slices.SortFunc(p.result.Schedules, func(a, b *Schedule) int { return strings.Compare(a.Name, b.Name) })
	return &p.result, nil
}

// Types of the blocks in a calendar file.
const (
	calendarBlockType = "calendar"
	scheduleBlockType = "schedule"
)

// addBlock reads a block if it has the given type. A block of an unknown type is an error.
func (p *parser) addBlock(block *hclsyntax.Block, blockType string, source []byte) error {
	if block.Type != calendarBlockType && block.Type != scheduleBlockType {
		return hclfile.Errorf(block.TypeRange, "unknown block type %q: a file holds calendar and schedule blocks", block.Type)
	}
	if block.Type != blockType {
		return nil
	}
	if len(block.Labels) != 1 || !namePattern.MatchString(block.Labels[0]) {
		return hclfile.Errorf(block.DefRange(), "a %s must have one name of up to 64 letters, digits and _.-", block.Type)
	}
	if blockType == calendarBlockType {
		return p.addCalendar(block)
	}
	return p.addSchedule(block, source)
}

// firstError returns the first error among the diagnostics as one line, or nil if there is none.
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
		return hclfile.Errorf(*diagnostic.Subject, "%s", text)
	}
	return nil
}

// sourceRange returns the position of the named attribute or inner block of a block. If the block has neither,
// it returns the block's own position.
func sourceRange(block *hclsyntax.Block, name string) hcl.Range {
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

// parsedCalendar is a checked calendar block.
type parsedCalendar struct {
	location     *time.Location
	weekdays     [7]bool // the days of the week with runs, from Sunday on
	holidays     *holidays
	revisionText string // text of the calendar's definition, hashed into the revisions of schedules
}

// parser collects the calendars and schedules of a file.
type parser struct {
	calendars     map[string]*parsedCalendar
	scheduleNames map[string]bool // names of the schedules read so far
	result        Calendar
}

func (p *parser) addCalendar(block *hclsyntax.Block) error {
	name := block.Labels[0]
	if p.calendars[name] != nil {
		return hclfile.Errorf(block.DefRange(), "calendar %q is there twice", name)
	}
	var definition calendarBlock
	if diagnostics := gohcl.DecodeBody(block.Body, nil, &definition); diagnostics.HasErrors() {
		return firstError(diagnostics)
	}
	calendar, err := parseCalendar(block, &definition)
	if err != nil {
		return err
	}
	p.calendars[name] = calendar
	return nil
}

// parseCalendar checks a calendar's definition and returns the calendar.
func parseCalendar(block *hclsyntax.Block, definition *calendarBlock) (*parsedCalendar, error) {
	location, err := time.LoadLocation(definition.Timezone)
	if err != nil || definition.Timezone == "" || definition.Timezone == "Local" {
		return nil, hclfile.Errorf(sourceRange(block, "timezone"), "%q is not an IANA time zone", definition.Timezone)
	}
	calendar := &parsedCalendar{location: location, holidays: &holidays{namesByDate: map[string]string{}}}
	for _, name := range definition.Weekdays {
		weekday := slices.Index(weekdayNames, strings.ToLower(name))
		if weekday < 0 {
			return nil, hclfile.Errorf(sourceRange(block, "weekdays"), "%q is not one of %s", name, strings.Join(weekdayNames, ", "))
		}
		calendar.weekdays[weekday] = true
	}
	if len(definition.Weekdays) == 0 {
		calendar.weekdays = [7]bool{true, true, true, true, true, true, true}
	}
	if country := definition.Country; country != "" {
		if holidaysByCountry[country] == nil {
			return nil, hclfile.Errorf(sourceRange(block, "country"), "public holidays of country %q are unknown (known: %s); list them as holiday blocks", country, strings.Join(Countries(), ", "))
		}
		calendar.holidays.rules = slices.Clone(holidaysByCountry[country])
	}
	for i := range definition.Holidays {
		if err := definition.Holidays[i].addTo(calendar.holidays); err != nil {
			return nil, hclfile.Errorf(sourceRange(block, "holiday"), "%v", err)
		}
	}
	calendar.revisionText = definition.revisionText()
	return calendar, nil
}

func (p *parser) addSchedule(block *hclsyntax.Block, source []byte) error {
	name := block.Labels[0]
	if p.scheduleNames[name] {
		return hclfile.Errorf(block.DefRange(), "schedule %q is there twice", name)
	}
	if len(p.result.Schedules) == maxSchedules {
		return hclfile.Errorf(block.DefRange(), "more than %d schedules", maxSchedules)
	}
	definition := scheduleBlock{Gap: gapNext, OnHoliday: holidaySkip, Missed: MissedRunOnce, MissedBound: 10, LatestStartS: 3600, Overlap: OverlapForbid, KeepRuns: 20}
	if diagnostics := gohcl.DecodeBody(block.Body, nil, &definition); diagnostics.HasErrors() {
		return firstError(diagnostics)
	}
	calendar := p.calendars[definition.Calendar]
	if calendar == nil {
		return hclfile.Errorf(sourceRange(block, "calendar"), "there is no calendar %q", definition.Calendar)
	}
	if err := definition.checkPolicies(block); err != nil {
		return err
	}
	schedule, err := definition.schedule(block, calendar)
	if err != nil {
		return err
	}
	schedule.Revision = revision(block.Range().SliceBytes(source), calendar)
	p.scheduleNames[name] = true
	p.result.Schedules = append(p.result.Schedules, schedule)
	return nil
}

// revision returns a hash of the definitions of a schedule and of its calendar.
func revision(source []byte, calendar *parsedCalendar) string {
	sum := sha256.New()
	_, _ = sum.Write(source)
	_, _ = sum.Write([]byte(calendar.revisionText))
	return hex.EncodeToString(sum.Sum(nil)[:revisionBytes])
}

// checkPolicies checks the schedule's settings that have a fixed set of values or a range.
func (s *scheduleBlock) checkPolicies(block *hclsyntax.Block) error {
	for _, choice := range []struct {
		field, value string
		allowed      []string
	}{
		{"gap", s.Gap, []string{gapNext, gapSkip}},
		{"on_holiday", s.OnHoliday, []string{holidaySkip, holidayRun, holidayOnly}},
		{"missed", s.Missed, []string{MissedSkip, MissedRunOnce, MissedRunAll}},
		{"overlap", s.Overlap, []string{OverlapAllow, OverlapForbid, OverlapReplace}},
	} {
		if !slices.Contains(choice.allowed, choice.value) {
			return hclfile.Errorf(sourceRange(block, choice.field), "%s is %q, not one of %s", choice.field, choice.value, strings.Join(choice.allowed, ", "))
		}
	}
	for _, number := range []struct {
		field                   string
		value, minimum, maximum float64
	}{
		{"missed_bound", float64(s.MissedBound), 1, 1000},
		{"latest_start_s", s.LatestStartS, 1, 366 * secondsPerDay},
		{"jitter_s", s.JitterS, 0, secondsPerDay},
		{"keep_runs", float64(s.KeepRuns), 1, 100},
	} {
		if !(number.value >= number.minimum && number.value <= number.maximum) { // also rejects NaN
			return hclfile.Errorf(sourceRange(block, number.field), "%s must be from %g to %g", number.field, number.minimum, number.maximum)
		}
	}
	return nil
}

// schedule returns the schedule that the block defines, without its revision.
func (s *scheduleBlock) schedule(block *hclsyntax.Block, calendar *parsedCalendar) (*Schedule, error) {
	name, location := block.Labels[0], calendar.location
	out := &Schedule{Name: name, Location: location, Missed: s.Missed, MaxMissedRuns: s.MissedBound, MaxStartDelay: seconds(s.LatestStartS), Overlap: s.Overlap,
		Jitter: seconds(s.JitterS), KeepRuns: s.KeepRuns, weekdays: calendar.weekdays, holidays: calendar.holidays, onHoliday: s.OnHoliday}
	var err error
	if out.rule, err = s.rule(location); err != nil {
		return nil, hclfile.Errorf(sourceRange(block, s.ruleField()), "%v", err)
	}
	if out.From, err = parseLocalTime(s.From, location); err != nil {
		return nil, hclfile.Errorf(sourceRange(block, "from"), "from: %v", err)
	}
	if out.Until, err = parseLocalTime(s.Until, location); err != nil {
		return nil, hclfile.Errorf(sourceRange(block, "until"), "until: %v", err)
	}
	if s.When != "" {
		if out.when, err = newCondition(s.When); err != nil {
			return nil, hclfile.Errorf(sourceRange(block, "when"), "%v", err)
		}
	}
	if s.Job == nil {
		return nil, hclfile.Errorf(block.DefRange(), "schedule %q has no job block", name)
	}
	if out.Job, err = s.Job.template(); err != nil {
		return nil, hclfile.Errorf(sourceRange(block, "job"), "%v", err)
	}
	return out, nil
}

// ruleField returns the name of the field or block that defines the rule. Errors use it to find the position.
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

// rule returns the schedule's rule. Exactly one of cron, sun and finish_by must be set.
func (s *scheduleBlock) rule(location *time.Location) (rule, error) {
	ruleCount := 0
	for _, set := range []bool{s.Cron != "", s.Sun != nil, s.FinishBy != nil} {
		if set {
			ruleCount++
		}
	}
	switch {
	case ruleCount != 1:
		return nil, errors.New("exactly one of cron, sun and finish_by is required")
	case s.Cron != "":
		return newCronRule(s.Cron, location, s.Gap == gapSkip)
	case s.Sun != nil:
		return s.Sun.rule(location)
	}
	return s.FinishBy.rule(location)
}

func (s *sunBlock) rule(location *time.Location) (rule, error) {
	if _, ok := eventAltitudes[s.Event]; !ok {
		return nil, fmt.Errorf("unknown sun event %q", s.Event)
	}
	const halfDay = secondsPerDay / 2
	if !(s.Latitude >= -90 && s.Latitude <= 90 && s.Longitude >= -180 && s.Longitude <= 180 && s.OffsetS >= -halfDay && s.OffsetS <= halfDay) {
		return nil, errors.New("latitude must be from -90 to 90, longitude from -180 to 180, offset_s from -43200 to 43200")
	}
	return &sunRule{s.Event, s.Latitude, s.Longitude, seconds(s.OffsetS), location}, nil
}

func (f *finishByBlock) rule(location *time.Location) (rule, error) {
	finishBy, err := time.Parse("15:04", f.At)
	if err != nil {
		return nil, fmt.Errorf("at %q is not HH:MM", f.At)
	}
	if !(f.RunS >= 0 && f.RunS <= secondsPerDay) {
		return nil, errors.New("run_s must be from 0 to 86400")
	}
	sinceMidnight := time.Duration(finishBy.Hour())*time.Hour + time.Duration(finishBy.Minute())*time.Minute
	return &finishByRule{sinceMidnight, seconds(f.RunS), location}, nil
}

// parseLocalTime parses a local date, or a local date and time, and returns its instant. A date without a time
// is the start of the day. An empty text gives the zero time.
func parseLocalTime(text string, location *time.Location) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	for _, layout := range []string{time.DateOnly, "2006-01-02T15:04", "2006-01-02T15:04:05"} {
		if wall, err := time.Parse(layout, text); err == nil {
			at, _ := resolveWallTime(wall, location)
			return at, nil
		}
	}
	return time.Time{}, fmt.Errorf("%q is not YYYY-MM-DD or YYYY-MM-DDTHH:MM", text)
}

// template returns the job with defaults and a placeholder ID. The job is checked in the same way as a
// submitted one.
func (b *jobBlock) template() (wire.Job, error) {
	job := wire.Job{ID: "j-0", Class: b.Class, Team: b.Team, Shape: b.Shape, Priority: b.Priority, Tasks: b.Tasks, CPUs: b.CPUs, GPUs: b.GPUs,
		MemoryGB: b.MemoryGB, Image: b.Image, ImageGB: b.ImageGB, Types: b.Types, Zone: b.Zone, OneZone: b.OneZone, Spread: b.Spread, Spot: b.Spot,
		EstimateS: b.EstimateS, CheckpointIntervalS: b.CheckpointIntervalS, CheckpointDurationS: b.CheckpointDurationS, DeadlineS: b.DeadlineS}
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
