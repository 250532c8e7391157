package calendar

import (
	"fmt"
	"slices"
)

// The Go names of the fields of calendarBlock and of holidayBlock are part of each schedule's
// revision, which is stored: see daysOf. They can't be renamed.

// calendarBlock is a calendar in a file.
type calendarBlock struct {
	Timezone string         `hcl:"timezone"`
	Weekdays []string       `hcl:"weekdays,optional"`
	Country  string         `hcl:"country,optional"`
	Holidays []holidayBlock `hcl:"holiday,block"`
}

// revisionText is what a schedule's revision takes of its calendar. Offsets from Easter are written
// by their value at the end: in place they would be the address of a variable, another one in each
// process.
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

// scheduleBlock is a schedule in a file. Durations are seconds.
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

// sunBlock is a rule by the sun at a place; latitude and longitude are degrees, north and east
// positive.
type sunBlock struct {
	Event     string  `hcl:"event"`
	Latitude  float64 `hcl:"latitude"`
	Longitude float64 `hcl:"longitude"`
	OffsetS   float64 `hcl:"offset_s,optional"`
}

// finishBlock is a rule by the time of day at which a run has to be done.
type finishBlock struct {
	At   string  `hcl:"at"`
	RunS float64 `hcl:"run_s"`
}

// jobBlock is the template of a job. Resources are for each task; memory and images are gigabytes,
// durations seconds.
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
