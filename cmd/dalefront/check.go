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

// checkSettings reads the settings and the files that they name, as a controller does.
func checkSettings(cmd *cobra.Command, flags *globalFlags) error {
	if flags.settings == "" {
		return errors.New("check: --config is missing")
	}
	settings, err := config.Load(flags.settings, flags.operator)
	if err != nil {
		return err
	}
	if file := settings.Operator.CalendarFile; file != "" {
		if _, err := calendar.Load(file); err != nil {
			return err
		}
	}
	if settings.Operator.CancelWaitS != nil {
		fmt.Fprintf(cmd.ErrOrStderr(), "%s: warning: cancel_wait_s has no effect any more: a cancellation is confirmed once its tasks are gone\n", flags.operator)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s: node %s, %d members, %d teams: good\n",
		flags.settings, settings.Label, len(settings.Members), len(settings.Deployment.Teams))
	return nil
}
