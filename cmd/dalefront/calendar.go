package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"dalefront/internal/calendar"
	"dalefront/wire"
)

// occurrence is a line of `calendar next --json`.
type occurrence struct {
	At       string `json:"at"` // RFC 3339, with the local offset
	Schedule string `json:"schedule"`
	Skip     string `json:"skip,omitempty"`
}

func calendarCommand() *cobra.Command {
	root := &cobra.Command{Use: "calendar", Short: "Recurring jobs: check a file, look ahead, ask a controller"}
	root.AddCommand(&cobra.Command{
		Use: "check FILE", Short: "Check a file of schedules", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := calendar.Load(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d schedules: good\n", args[0], len(c.Schedules))
			return nil
		},
	})
	root.AddCommand(nextCommand())
	var server string
	var asJSON bool
	add := func(use, short string, args cobra.PositionalArgs, run func(cmd *cobra.Command, args []string) error) {
		c := &cobra.Command{Use: use, Short: short, Args: args, RunE: run}
		c.Flags().StringVar(&server, "server", "http://127.0.0.1:8080", "address of a controller or of the load balancer")
		c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
		root.AddCommand(c)
	}
	add("list", "List the schedules of a site", cobra.NoArgs, func(cmd *cobra.Command, _ []string) error {
		for after := ""; ; {
			var page wire.Schedules
			if err := request(http.MethodGet, server+wire.PathSchedules+"?After="+url.QueryEscape(after), nil, &page); err != nil {
				return err
			}
			for i := range page.Schedules {
				if err := printSchedule(cmd.OutOrStdout(), &page.Schedules[i], asJSON, false); err != nil {
					return err
				}
			}
			if !page.More || len(page.Schedules) == 0 {
				return nil
			}
			after = page.Schedules[len(page.Schedules)-1].Name
		}
	})
	one := func(method, verb string, runs bool) func(*cobra.Command, []string) error {
		return func(cmd *cobra.Command, args []string) error {
			var s wire.Schedule
			if err := request(method, server+wire.PathSchedules+"/"+url.PathEscape(args[0])+verb, nil, &s); err != nil {
				return err
			}
			return printSchedule(cmd.OutOrStdout(), &s, asJSON, runs)
		}
	}
	add("show NAME", "Show a schedule", cobra.ExactArgs(1), one(http.MethodGet, "", false))
	add("runs NAME", "Show a schedule's latest runs and misses", cobra.ExactArgs(1), one(http.MethodGet, "", true))
	add("pause NAME", "Let a schedule's runs out until it is resumed", cobra.ExactArgs(1), one(http.MethodPost, "/"+wire.PauseAction, false))
	add("resume NAME", "Let a schedule run again", cobra.ExactArgs(1), one(http.MethodPost, "/"+wire.ResumeAction, false))
	return root
}

func nextCommand() *cobra.Command {
	var name, from, until string
	var asJSON bool
	c := &cobra.Command{
		Use: "next FILE", Short: "List the occurrences of a file's schedules", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cal, err := calendar.Load(args[0])
			if err != nil {
				return err
			}
			begin, end := time.Now(), time.Time{}
			if from != "" {
				if begin, err = time.Parse(time.RFC3339, from); err != nil {
					return fmt.Errorf("--from %q is not RFC 3339, such as 2026-10-24T00:00:00Z", from)
				}
			}
			if end = begin.AddDate(0, 0, 7); until != "" {
				if end, err = time.Parse(time.RFC3339, until); err != nil {
					return fmt.Errorf("--until %q is not RFC 3339, such as 2026-10-27T00:00:00Z", until)
				}
			}
			schedules := cal.Schedules
			if name != "" {
				s := cal.Find(name)
				if s == nil {
					return fmt.Errorf("%s: there is no schedule %q", args[0], name)
				}
				schedules = []*calendar.Schedule{s}
			}
			return list(cmd.OutOrStdout(), schedules, begin, end, asJSON)
		},
	}
	c.Flags().StringVar(&name, "schedule", "", "only this one")
	c.Flags().StringVar(&from, "from", "", "from this instant on, RFC 3339 (default now)")
	c.Flags().StringVar(&until, "until", "", "before this instant, RFC 3339 (default a week later)")
	c.Flags().BoolVar(&asJSON, "json", false, "print a JSON object a line")
	return c
}

// list prints the occurrences of all schedules in the order of their instants.
func list(w io.Writer, schedules []*calendar.Schedule, from, until time.Time, asJSON bool) error {
	next := make([]calendar.Occurrence, len(schedules))
	there := make([]bool, len(schedules))
	advance := func(i int, after time.Time) {
		next[i], there[i] = schedules[i].Next(after)
		there[i] = there[i] && next[i].At.Before(until)
	}
	for i := range schedules {
		advance(i, from.Add(-1))
	}
	for {
		first := -1
		for i := range schedules {
			if there[i] && (first < 0 || next[i].At.Before(next[first].At)) {
				first = i
			}
		}
		if first < 0 {
			return nil
		}
		o := occurrence{next[first].At.Format(time.RFC3339), schedules[first].Name, next[first].Skip}
		if asJSON {
			if err := json.NewEncoder(w).Encode(o); err != nil {
				return err
			}
		} else if o.Skip != "" {
			fmt.Fprintf(w, "%s  %s  not run: %s\n", o.At, o.Schedule, o.Skip)
		} else {
			fmt.Fprintf(w, "%s  %s\n", o.At, o.Schedule)
		}
		advance(first, next[first].At)
	}
}

func printSchedule(w io.Writer, s *wire.Schedule, asJSON, runs bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(s)
	}
	loc, err := time.LoadLocation(s.Zone)
	if err != nil {
		loc = time.UTC
	}
	local := func(us int64) string { return time.UnixMicro(us).In(loc).Format(time.RFC3339) }
	if runs {
		for _, r := range s.Runs {
			fmt.Fprintf(w, "%s  %s", local(r.At), r.Status)
			for _, more := range []string{r.Job, r.Reason} {
				if more != "" {
					fmt.Fprintf(w, "  %s", more)
				}
			}
			fmt.Fprintln(w)
		}
		return nil
	}
	state := "active"
	switch {
	case s.Gone:
		state = "removed"
	case s.Paused:
		state = "paused"
	}
	next := "-"
	if s.Next > 0 {
		next = local(s.Next)
	}
	fmt.Fprintf(w, "%s  %s  next=%s ran=%d missed=%d skipped=%d\n", s.Name, state, next, s.Ran, s.Missed, s.Skipped)
	return nil
}
