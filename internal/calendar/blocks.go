package calendar

import (
	"fmt"
	"slices"
)

// The Go names of the fields of calendarBlock and holidayBlock are part of each schedule's revision, which is
// stored (see calendarBlock.revisionText). They must not be renamed.

// calendarBlock is a calendar block of a calendar file.
type calendarBlock struct {
	Timezone string         `hcl:"timezone"`
	Weekdays []string       `hcl:"weekdays,optional"`
	Country  string         `hcl:"country,optional"`
	Holidays []holidayBlock `hcl:"holiday,block"`
}

// revisionText returns the text of the calendar that is hashed into the revisions of its schedules. Offsets
// from Easter are pointers. Their values are appended separately, because printing the struct would print
// their addresses, which differ between processes.
func (b calendarBlock) revisionText() string {
	printed := b
	printed.Holidays = slices.Clone(b.Holidays)
	easterOffsets := ""
	for i := range printed.Holidays {
		holiday := &printed.Holidays[i]
		if holiday.Easter == nil {
			continue
		}
		easterOffsets += fmt.Sprintf(" %d:%d", i, *holiday.Easter)
		holiday.Easter = nil
	}
	return fmt.Sprintf("%+v", printed) + easterOffsets
}

// scheduleBlock is a schedule block of a calendar file. Durations are in seconds.
type scheduleBlock struct {
	Calendar     string         `hcl:"calendar"`
	Cron         string         `hcl:"cron,optional"`
	Sun          *sunBlock      `hcl:"sun,block"`
	FinishBy     *finishByBlock `hcl:"finish_by,block"`
	Gap          string         `hcl:"gap,optional"`
	OnHoliday    string         `hcl:"on_holiday,optional"`
	When         string         `hcl:"when,optional"`
	From         string         `hcl:"from,optional"`
	Until        string         `hcl:"until,optional"`
	Missed       string         `hcl:"missed,optional"`
	MissedBound  int            `hcl:"missed_bound,optional"`
	LatestStartS float64        `hcl:"latest_start_s,optional"`
	Overlap      string         `hcl:"overlap,optional"`
	JitterS      float64        `hcl:"jitter_s,optional"`
	KeepRuns     int            `hcl:"keep_runs,optional"`
	Job          *jobBlock      `hcl:"job,block"`
}

// sunBlock is a rule that follows an event of the sun, such as sunrise, at a place. Latitude and longitude
// are in degrees, positive to the north and east.
type sunBlock struct {
	Event     string  `hcl:"event"`
	Latitude  float64 `hcl:"latitude"`
	Longitude float64 `hcl:"longitude"`
	OffsetS   float64 `hcl:"offset_s,optional"`
}

// finishByBlock is a rule that starts each run early enough to end by a time of day, given the expected
// duration of a run in seconds.
type finishByBlock struct {
	At   string  `hcl:"at"`
	RunS float64 `hcl:"run_s"`
}

// jobBlock is the job template of a schedule. Resources are per task. Memory and image sizes are in gigabytes,
// durations in seconds.
type jobBlock struct {
	Class               string   `hcl:"class"`
	Team                string   `hcl:"team"`
	Shape               string   `hcl:"shape,optional"`
	Priority            string   `hcl:"priority,optional"`
	Tasks               int      `hcl:"tasks,optional"`
	CPUs                float64  `hcl:"cpus"`
	GPUs                float64  `hcl:"gpus,optional"`
	MemoryGB            float64  `hcl:"memory_gb"`
	Image               string   `hcl:"image"`
	ImageGB             float64  `hcl:"image_gb"`
	Types               []string `hcl:"types,optional"`
	Zone                *string  `hcl:"zone,optional"`
	OneZone             bool     `hcl:"one_zone,optional"`
	Spread              bool     `hcl:"spread,optional"`
	Spot                bool     `hcl:"spot,optional"`
	EstimateS           float64  `hcl:"estimate_s"`
	CheckpointIntervalS float64  `hcl:"checkpoint_every_s,optional"`
	CheckpointDurationS float64  `hcl:"save_s,optional"`
	DeadlineS           *float64 `hcl:"deadline_s,optional"`
}
