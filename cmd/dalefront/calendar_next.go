package main

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"dalefront/internal/calendar"
)

// defaultLookaheadDays is the length in days of the interval that `calendar next` lists by default.
const defaultLookaheadDays = 7

// occurrenceLine is one line of the output of `calendar next --json`.
type occurrenceLine struct {
	At       string `json:"at"` // RFC 3339, with the offset of the schedule's time zone
	Schedule string `json:"schedule"`
	Skip     string `json:"skip,omitempty"` // why the calendar skips the occurrence; empty if it is not skipped
}

// nextFlags are the flags of `calendar next`.
type nextFlags struct {
	schedule    string // name of a schedule; empty for all
	from, until string // RFC 3339; from defaults to the current time, until to one week after from
	asJSON      bool
}

func newNextCommand() *cobra.Command {
	var flags nextFlags
	cmd := &cobra.Command{
		Use: "next FILE", Short: "List the occurrences of a file's schedules", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return listOccurrences(cmd.OutOrStdout(), args[0], &flags)
		},
	}
	cmd.Flags().StringVar(&flags.schedule, "schedule", "", "only this one")
	cmd.Flags().StringVar(&flags.from, "from", "", "from this instant on, RFC 3339 (default now)")
	cmd.Flags().StringVar(&flags.until, "until", "", "before this instant, RFC 3339 (default a week later)")
	cmd.Flags().BoolVar(&flags.asJSON, "json", false, "print a JSON object a line")
	return cmd
}

// listOccurrences prints the occurrences of a file's schedules within the interval of the flags.
func listOccurrences(out io.Writer, path string, flags *nextFlags) error {
	file, err := calendar.Load(path)
	if err != nil {
		return err
	}
	from, until, err := flags.interval(time.Now())
	if err != nil {
		return err
	}
	schedules := file.Schedules
	if flags.schedule != "" {
		schedule := file.Find(flags.schedule)
		if schedule == nil {
			return fmt.Errorf("%s: there is no schedule %q", path, flags.schedule)
		}
		schedules = []*calendar.Schedule{schedule}
	}
	return printOccurrences(out, schedules, from, until, flags.asJSON)
}

// interval returns the half-open interval [from, until) that the flags select.
func (f *nextFlags) interval(now time.Time) (from, until time.Time, err error) {
	from = now
	if f.from != "" {
		if from, err = time.Parse(time.RFC3339, f.from); err != nil {
			return from, until, fmt.Errorf("--from %q is not RFC 3339, such as 2026-10-24T00:00:00Z", f.from)
		}
	}
	until = from.AddDate(0, 0, defaultLookaheadDays)
	if f.until != "" {
		if until, err = time.Parse(time.RFC3339, f.until); err != nil {
			return from, until, fmt.Errorf("--until %q is not RFC 3339, such as 2026-10-27T00:00:00Z", f.until)
		}
	}
	return from, until, nil
}

// scheduleCursor iterates over the occurrences of a schedule.
type scheduleCursor struct {
	schedule *calendar.Schedule
	next     calendar.Occurrence
	valid    bool // whether the field next holds an occurrence before the end of the interval
}

// advance moves the cursor to the first occurrence later than the given time. The cursor becomes invalid if
// the schedule has no such occurrence before the given end of the interval.
func (c *scheduleCursor) advance(after, until time.Time) {
	c.next, c.valid = c.schedule.Next(after)
	c.valid = c.valid && c.next.At.Before(until)
}

// earliest returns the cursor whose next occurrence is the earliest, or nil if no cursor is valid.
func earliest(cursors []scheduleCursor) *scheduleCursor {
	var first *scheduleCursor
	for i := range cursors {
		if cursors[i].valid && (first == nil || cursors[i].next.At.Before(first.next.At)) {
			first = &cursors[i]
		}
	}
	return first
}

// printOccurrences prints the occurrences of all schedules within the half-open interval [from, until), in
// chronological order.
func printOccurrences(out io.Writer, schedules []*calendar.Schedule, from, until time.Time, asJSON bool) error {
	cursors := make([]scheduleCursor, len(schedules))
	for i, schedule := range schedules {
		cursors[i].schedule = schedule
		cursors[i].advance(from.Add(-1), until)
	}
	for cursor := earliest(cursors); cursor != nil; cursor = earliest(cursors) {
		if err := printOccurrence(out, cursor, asJSON); err != nil {
			return err
		}
		cursor.advance(cursor.next.At, until)
	}
	return nil
}

func printOccurrence(out io.Writer, cursor *scheduleCursor, asJSON bool) error {
	line := occurrenceLine{cursor.next.At.Format(time.RFC3339), cursor.schedule.Name, cursor.next.SkipReason}
	var err error
	switch {
	case asJSON:
		err = json.NewEncoder(out).Encode(line)
	case line.Skip != "":
		_, err = fmt.Fprintf(out, "%s  %s  not run: %s\n", line.At, line.Schedule, line.Skip)
	default:
		_, err = fmt.Fprintf(out, "%s  %s\n", line.At, line.Schedule)
	}
	return err
}
