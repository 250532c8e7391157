package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"dalefront/internal/scaletest"
)

// scaleFlags are the flags of `site scale`.
type scaleFlags struct {
	dir   string // directory for the reports; if empty, none are written
	sweep bool
}

// newScaleCommand returns the command that runs a scale test. With --sweep, the command runs
// a further scale test for each point of the file's sweeps.
func newScaleCommand(global *globalFlags) *cobra.Command {
	var flags scaleFlags
	cmd := &cobra.Command{
		Use: "scale FILE", Short: "Run a site at a given size on this machine and measure what each role costs", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return runScale(cmd, args[0], global, &flags) },
	}
	cmd.Flags().StringVar(&flags.dir, "out", "", "directory for report.json and report.txt, and with --sweep sweep.json, sweep.txt and plots")
	cmd.Flags().BoolVar(&flags.sweep, "sweep", false, "then vary one count at a time, as the file's sweeps say, and fit what each unit costs")
	return cmd
}

// runScale runs the scale test of a file. An invalid run has a report too, which is printed before the error
// is returned.
func runScale(cmd *cobra.Command, path string, global *globalFlags, flags *scaleFlags) error {
	spec, err := scaletest.Load(path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	options := scaletest.Options{
		Operator: global.operatorFile,
		Progress: func(message string) { fmt.Fprintf(cmd.ErrOrStderr(), "\r\x1b[K%s", message) },
	}
	report, err := scaletest.Run(ctx, spec, options)
	fmt.Fprintln(cmd.ErrOrStderr()) // terminates the progress line
	if report == nil {
		return err
	}
	if outputErr := errors.Join(report.Text(cmd.OutOrStdout()), writeScaleReport(flags.dir, report)); outputErr != nil {
		return outputErr
	}
	if err != nil {
		return err
	}
	violations := report.Violations
	if flags.sweep {
		sweepViolations, err := runSweeps(ctx, cmd, spec, options, report, flags.dir)
		if err != nil {
			return err
		}
		violations = append(violations, sweepViolations...)
	}
	return reportViolations(cmd.OutOrStdout(), violations)
}

// runSweeps runs the sweeps of a scale test. The parameter full is the report of the run at full size. Sweeps
// take long, so the results so far are written after each sweep.
func runSweeps(ctx context.Context, cmd *cobra.Command, spec *scaletest.Spec, options scaletest.Options, full *scaletest.Report, dir string) (violations []string, err error) {
	var writeErr error
	options.OnSweepDone = func(sweep *scaletest.SweepReport) { writeErr = writeSweepReport(dir, sweep) }
	sweep, err := scaletest.RunSweeps(ctx, spec, options, full)
	fmt.Fprintln(cmd.ErrOrStderr()) // terminates the progress line
	if err := errors.Join(err, sweep.Text(cmd.OutOrStdout()), writeErr); err != nil {
		return nil, err
	}
	return sweep.Violations, nil
}

func writeScaleReport(dir string, report *scaletest.Report) error {
	if dir == "" {
		return nil
	}
	return errors.Join(writeFile(dir, "report.json", report.JSON), writeFile(dir, "report.txt", report.Text))
}

func writeSweepReport(dir string, sweep *scaletest.SweepReport) error {
	if dir == "" {
		return nil
	}
	err := errors.Join(writeFile(dir, "sweep.json", sweep.JSON), writeFile(dir, "sweep.txt", sweep.Text))
	fileNames := strings.NewReplacer(" ", "-", "/", "-per-")
	for _, slope := range sweep.Slopes {
		svg, plotErr := sweep.Plot(slope)
		if plotErr != nil {
			return errors.Join(err, plotErr)
		}
		name := fileNames.Replace(slope.Count+"-"+slope.Cost) + ".svg"
		err = errors.Join(err, writeFile(dir, name, func(out io.Writer) error {
			_, writeErr := out.Write(svg)
			return writeErr
		}))
	}
	return err
}
