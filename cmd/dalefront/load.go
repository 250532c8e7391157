package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"dalefront/internal/experiment"
)

// loadFlags are the flags of `load`.
type loadFlags struct {
	dir    string // directory for the reports; if empty, none are written
	server string // URL of a live site; if empty, the experiment is simulated
}

func newLoadCommand() *cobra.Command {
	var flags loadFlags
	cmd := &cobra.Command{
		Use: "load FILE", Short: "Run an experiment and compare its variants in simulated time, or load a live site", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return runLoad(cmd, args[0], &flags) },
	}
	cmd.Flags().StringVar(&flags.dir, "out", "", "directory for report.html, report.json and report.txt")
	cmd.Flags().StringVar(&flags.server, "server", "", "a live site's address for users: jobs are submitted there in real time")
	return cmd
}

// runLoad runs the experiment of a file, prints its report, and writes the report to the directory of --out if
// that is set.
func runLoad(cmd *cobra.Command, path string, flags *loadFlags) error {
	exp, err := experiment.Load(path)
	if err != nil {
		return err
	}
	report, err := runExperiment(cmd, exp, flags.server)
	fmt.Fprintln(cmd.ErrOrStderr()) // terminates the line of the progress bar
	if err != nil {
		return err
	}
	if err := report.Table(cmd.OutOrStdout()); err != nil {
		return err
	}
	if flags.dir != "" {
		if err := writeExperimentReport(flags.dir, exp, report); err != nil {
			return err
		}
	}
	return reportViolations(cmd.OutOrStdout(), report.Violations())
}

// runExperiment runs an experiment in simulated time, or against a live site, with a progress bar.
func runExperiment(cmd *cobra.Command, exp *experiment.Experiment, server string) (*experiment.Report, error) {
	showProgress := newProgressBar(cmd.ErrOrStderr())
	if server == "" {
		return exp.Simulate(showProgress)
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return exp.Live(ctx, strings.TrimSuffix(server, "/"), showProgress)
}

// newProgressBar returns a function that updates a progress bar.
func newProgressBar(out io.Writer) func(finished, all int) {
	bar := progressbar.NewOptions(1, progressbar.OptionSetWriter(out), progressbar.OptionShowCount(),
		progressbar.OptionSetWidth(40), progressbar.OptionThrottle(100*time.Millisecond))
	return func(finished, total int) {
		bar.ChangeMax(total)
		_ = bar.Set(finished) // failing to draw the bar must not stop the experiment
	}
}

func writeExperimentReport(dir string, exp *experiment.Experiment, report *experiment.Report) error {
	return errors.Join(
		writeFile(dir, "report.html", func(out io.Writer) error { return report.HTML(exp, out) }),
		writeFile(dir, "report.json", func(out io.Writer) error { return json.NewEncoder(out).Encode(report) }),
		writeFile(dir, "report.txt", report.Table),
	)
}
