// Command dalefront is a cluster scheduler: a controller, and the client of its
// users.
package main

import "C" // the deployment links against the system's C library

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"dalefront/internal/calendar"
	"dalefront/internal/config"
	"dalefront/internal/controller"
)

var version = "0.1.0"

func main() {
	root := command()
	began := false // past the arguments
	root.PersistentPreRun = func(*cobra.Command, []string) { began = true }
	err := root.Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "dalefront:", err)
	var coded *exitError
	switch {
	case errors.As(err, &coded):
		os.Exit(coded.code)
	case !began:
		fmt.Fprintln(os.Stderr, "dalefront: see dalefront --help")
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

func command() *cobra.Command {
	var settings, operator, format string
	root := &cobra.Command{
		Use:           "dalefront",
		Short:         "A cluster scheduler that evicts by checkpoint cost",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if settings == "" {
				return cmd.Help()
			}
			return serve(settings, operator, format)
		},
	}
	root.PersistentFlags().StringVar(&settings, "config", "", "the platform's settings (TOML); serves when no command is given")
	root.PersistentFlags().StringVar(&operator, "operator", os.Getenv("DALEFRONT_OPERATOR"), "the operator's settings (HCL)")
	root.Flags().StringVar(&format, "log-format", "text", "text or json")
	root.AddCommand(&cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version) },
	})
	root.AddCommand(&cobra.Command{
		Use: "check", Short: "Check the settings", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if settings == "" {
				return fmt.Errorf("check: --config is missing")
			}
			s, err := config.Load(settings, operator)
			if err != nil {
				return err
			}
			if file := s.Operator.CalendarFile; file != "" {
				if _, err := calendar.Load(file); err != nil {
					return err
				}
			}
			if s.Operator.CancelWaitS != nil {
				fmt.Fprintf(cmd.ErrOrStderr(), "%s: warning: cancel_wait_s has no effect any more: a cancellation is confirmed once its tasks are gone\n", operator)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: node %s, %d members, %d teams: good\n", settings, s.Label, len(s.Members), len(s.Deployment.Teams))
			return nil
		},
	})
	root.AddCommand(jobCommands()...)
	root.AddCommand(handOverCommand(&settings, &operator), configCommand(&settings, &operator), calendarCommand(), snapshotCommand(&settings, &operator), restoreCommand(&settings, &operator), siteCommand(&operator), loadCommand())
	return root
}

// serve runs a controller until it fails or was told to end.
func serve(settings, operator, format string) error {
	s, err := config.Load(settings, operator)
	if err != nil {
		return err
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(os.Getenv("LOG_LEVEL"))); err != nil {
		level = slog.LevelInfo
	}
	var handler slog.Handler
	switch format {
	case "text":
		handler = slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	case "json":
		handler = slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	default:
		return fmt.Errorf("--log-format: %q is neither text nor json", format)
	}
	log := slog.New(handler)
	// Past the platform's limit the process is killed: the collector works
	// harder well before. Below that it may be lazy: the processor is scarcer.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(s.Deployment.Resources.RAMMB * 0.6 * (1 << 20)))
	n, err := controller.New(s, log)
	if err != nil {
		return err
	}
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-told
		signal.Stop(told) // the second one ends the process
		n.Drain()
	}()
	hand := make(chan os.Signal, 1)
	signal.Notify(hand, syscall.SIGUSR1)
	go func() {
		for range hand {
			n.TransferLeadership()
		}
	}()
	return n.Run(context.Background())
}
