// Command dalefront is a cluster scheduler. It contains the controller and the command-line client.
package main

import "C" // the deployment links against the system's C library

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

var version = "0.1.0"

func main() {
	root := newRootCommand()
	parsed := false // whether the arguments are valid and the command has started
	root.PersistentPreRun = func(*cobra.Command, []string) { parsed = true }
	err := root.Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "dalefront:", err)
	var coded *exitError
	switch {
	case errors.As(err, &coded):
		os.Exit(coded.code)
	case !parsed:
		fmt.Fprintln(os.Stderr, "dalefront: see dalefront --help")
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

// globalFlags are the flags of all commands.
type globalFlags struct {
	settingsFile string // path of the platform's settings
	operatorFile string // path of the operator's settings; may be empty
}

// newRootCommand returns the root command with all subcommands. Each call creates its own flags, so that tests
// can run commands concurrently.
func newRootCommand() *cobra.Command {
	flags := &globalFlags{}
	var logFormat string
	root := &cobra.Command{
		Use:           "dalefront",
		Short:         "A cluster scheduler that evicts by checkpoint cost",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if flags.settingsFile == "" {
				return cmd.Help()
			}
			return serve(flags, logFormat)
		},
	}
	root.PersistentFlags().StringVar(&flags.settingsFile, "config", "", "the platform's settings (TOML); serves when no command is given")
	root.PersistentFlags().StringVar(&flags.operatorFile, "operator", os.Getenv("DALEFRONT_OPERATOR"), "the operator's settings (HCL)")
	root.Flags().StringVar(&logFormat, "log-format", logFormatText, "text or json")
	root.AddCommand(newVersionCommand(), newCheckCommand(flags))
	root.AddCommand(newJobCommands()...)
	root.AddCommand(
		newHandoverCommand(flags),
		newConfigCommand(flags),
		newCalendarCommand(),
		newSnapshotCommand(flags),
		newRestoreCommand(flags),
		newSiteCommand(flags),
		newLoadCommand(),
	)
	return root
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version) },
	}
}
