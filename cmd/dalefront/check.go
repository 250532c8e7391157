package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"dalefront/internal/calendar"
	"dalefront/internal/config"
)

func newCheckCommand(flags *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use: "check", Short: "Check the settings", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return checkSettings(cmd, flags) },
	}
}

// checkSettings loads the settings and the calendar file that they name, with the checks that a controller
// makes at its start.
func checkSettings(cmd *cobra.Command, flags *globalFlags) error {
	if flags.settingsFile == "" {
		return errors.New("check: --config is missing")
	}
	settings, err := config.Load(flags.settingsFile, flags.operatorFile)
	if err != nil {
		return err
	}
	if file := settings.Operator.CalendarFile; file != "" {
		if _, err := calendar.Load(file); err != nil {
			return err
		}
	}
	if settings.Operator.CancelWaitS != nil {
		fmt.Fprintf(cmd.ErrOrStderr(), "%s: warning: cancel_wait_s has no effect any more: a cancellation is confirmed once its tasks are gone\n", flags.operatorFile)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s: node %s, %d members, %d teams: good\n",
		flags.settingsFile, settings.Label, len(settings.Members), len(settings.Deployment.Teams))
	return nil
}
