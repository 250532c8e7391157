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

// newCalendarCommand returns the commands for recurring jobs. Some commands only read a file; the others
// send requests to a controller.
func newCalendarCommand() *cobra.Command {
	root := &cobra.Command{Use: "calendar", Short: "Recurring jobs: check a file, look ahead, ask a controller"}
	root.AddCommand(
		newCalendarCheckCommand(),
		newNextCommand(),
		newScheduleListCommand(),
		newScheduleCommand("show NAME", "Show a schedule", http.MethodGet, "", printScheduleState),
		newScheduleCommand("runs NAME", "Show a schedule's latest runs and misses", http.MethodGet, "", printScheduleRuns),
		newScheduleCommand("pause NAME", "Let a schedule's runs out until it is resumed", http.MethodPost, "/"+wire.PauseAction, printScheduleState),
		newScheduleCommand("resume NAME", "Let a schedule run again", http.MethodPost, "/"+wire.ResumeAction, printScheduleState),
	)
	return root
}

func newCalendarCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Check a file of schedules", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := calendar.Load(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d schedules: good\n", args[0], len(file.Schedules))
			return nil
		},
	}
}

// scheduleFlags are the flags of commands that send requests about schedules to a controller.
type scheduleFlags struct {
	server string
	asJSON bool
}

func (f *scheduleFlags) add(cmd *cobra.Command) {
	addServerFlag(cmd, &f.server)
	cmd.Flags().BoolVar(&f.asJSON, "json", false, "print JSON")
}

// print prints a schedule as JSON if --json is set, otherwise as text with printText.
func (f *scheduleFlags) print(out io.Writer, schedule *wire.Schedule, printText schedulePrinter) error {
	if f.asJSON {
		return json.NewEncoder(out).Encode(schedule)
	}
	return printText(out, schedule)
}

func newScheduleListCommand() *cobra.Command {
	var flags scheduleFlags
	cmd := &cobra.Command{
		Use: "list", Short: "List the schedules of a site", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return listSchedules(cmd.OutOrStdout(), &flags) },
	}
	flags.add(cmd)
	return cmd
}

// listSchedules prints all schedules of a site, which it requests page by page.
func listSchedules(out io.Writer, flags *scheduleFlags) error {
	for after := ""; ; {
		var page wire.Schedules
		address := flags.server + wire.PathSchedules + "?After=" + url.QueryEscape(after)
		if err := request(http.MethodGet, address, nil, &page); err != nil {
			return err
		}
		for i := range page.Schedules {
			if err := flags.print(out, &page.Schedules[i], printScheduleState); err != nil {
				return err
			}
		}
		if !page.More || len(page.Schedules) == 0 {
			return nil
		}
		after = page.Schedules[len(page.Schedules)-1].Name
	}
}

// newScheduleCommand returns a command that sends one request about a schedule and prints the response.
func newScheduleCommand(use, short, method, action string, printText schedulePrinter) *cobra.Command {
	var flags scheduleFlags
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var schedule wire.Schedule
			address := flags.server + wire.PathSchedules + "/" + url.PathEscape(args[0]) + action
			if err := request(method, address, nil, &schedule); err != nil {
				return err
			}
			return flags.print(cmd.OutOrStdout(), &schedule, printText)
		},
	}
	flags.add(cmd)
	return cmd
}

// schedulePrinter prints a schedule as human-readable text.
type schedulePrinter func(out io.Writer, schedule *wire.Schedule) error

func printScheduleState(out io.Writer, schedule *wire.Schedule) error {
	state := "active"
	switch {
	case schedule.Gone:
		state = "removed"
	case schedule.Paused:
		state = "paused"
	}
	next := "-"
	if schedule.Next > 0 {
		next = localTime(schedule, schedule.Next)
	}
	_, err := fmt.Fprintf(out, "%s  %s  next=%s ran=%d missed=%d skipped=%d\n",
		schedule.Name, state, next, schedule.Ran, schedule.Missed, schedule.Skipped)
	return err
}

func printScheduleRuns(out io.Writer, schedule *wire.Schedule) error {
	for _, run := range schedule.Runs {
		fmt.Fprintf(out, "%s  %s", localTime(schedule, run.At), run.Status)
		for _, detail := range []string{run.Job, run.Reason} {
			if detail != "" {
				fmt.Fprintf(out, "  %s", detail)
			}
		}
		if _, err := fmt.Fprintln(out); err != nil {
			return err
		}
	}
	return nil
}

// localTime formats a time in microseconds since 1970 in the schedule's time zone, or in UTC if this machine
// doesn't know the zone.
func localTime(schedule *wire.Schedule, microseconds int64) string {
	location, err := time.LoadLocation(schedule.Zone)
	if err != nil {
		location = time.UTC
	}
	return time.UnixMicro(microseconds).In(location).Format(time.RFC3339)
}
