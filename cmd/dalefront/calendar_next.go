package main

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"dalefront/internal/calendar"
)

// defaultLookaheadDays is how far `calendar next` looks unless --until is given.
const defaultLookaheadDays = 7

// occurrenceLine is a line of `calendar next --json`.
type occurrenceLine struct {
	At       string `json:"at"` // RFC 3339, with the local offset
	Schedule string `json:"schedule"`
	Skip     string `json:"skip,omitempty"` // why the calendar skips it
}

// nextFlags are the flags of `calendar next`.
type nextFlags struct {
	schedule    string // name; empty: all
	from, until string // RFC 3339; empty: now, and a week later
	asJSON      bool
}

func newNextCommand() *cobra.Command {
	var flags nextFlags
	cmd := &cobra.Command{
		Use: "next FILE", Short: "List the occurrences of a file's schedules", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return listNext(cmd.OutOrStdout(), args[0], &flags) },
	}
	cmd.Flags().StringVar(&flags.schedule, "schedule", "", "only this one")
	cmd.Flags().StringVar(&flags.from, "from", "", "from this instant on, RFC 3339 (default now)")
	cmd.Flags().StringVar(&flags.until, "until", "", "before this instant, RFC 3339 (default a week later)")
	cmd.Flags().BoolVar(&flags.asJSON, "json", false, "print a JSON object a line")
	return cmd
}

// listNext prints the occurrences of a file's schedules within the interval of the flags.
func listNext(out io.Writer, path string, flags *nextFlags) error {
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

// upcoming is a schedule with its next occurrence that is not printed yet.
type upcoming struct {
	schedule   *calendar.Schedule
	occurrence calendar.Occurrence
	exists     bool // before the end of the interval
}

func (u *upcoming) advance(after, until time.Time) {
	u.occurrence, u.exists = u.schedule.Next(after)
	u.exists = u.exists && u.occurrence.At.Before(until)
}

// earliest returns the schedule whose occurrence comes first, or nil if none has one.
func earliest(all []upcoming) *upcoming {
	var first *upcoming
	for i := range all {
		if all[i].exists && (first == nil || all[i].occurrence.At.Before(first.occurrence.At)) {
			first = &all[i]
		}
	}
	return first
}

// printOccurrences prints the occurrences of all schedules in the order of their instants, from
// included and until excluded.
func printOccurrences(out io.Writer, schedules []*calendar.Schedule, from, until time.Time, asJSON bool) error {
	all := make([]upcoming, len(schedules))
	for i, schedule := range schedules {
		all[i].schedule = schedule
		all[i].advance(from.Add(-1), until)
	}
	for next := earliest(all); next != nil; next = earliest(all) {
		if err := printOccurrence(out, next, asJSON); err != nil {
			return err
		}
		next.advance(next.occurrence.At, until)
	}
	return nil
}

func printOccurrence(out io.Writer, next *upcoming, asJSON bool) error {
	line := occurrenceLine{next.occurrence.At.Format(time.RFC3339), next.schedule.Name, next.occurrence.Skip}
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
