package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"dalefront/internal/scaletest"
)

// scaleCommand plays a scale run, and with --sweep one for each point of the file's sweeps.
func scaleCommand(operator *string) *cobra.Command {
	var dir string
	var sweep bool
	c := &cobra.Command{Use: "scale FILE", Short: "Run a site at a given size on this machine and measure what each role costs", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			spec, err := scaletest.Load(args[0])
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			opt := scaletest.Options{Operator: *operator, Progress: func(what string) { fmt.Fprintf(cmd.ErrOrStderr(), "\r\x1b[K%s", what) }}
			report, err := scaletest.Run(ctx, spec, opt)
			fmt.Fprintln(cmd.ErrOrStderr())
			if report == nil {
				return err
			}
			if werr := errors.Join(report.Text(cmd.OutOrStdout()), writeScale(dir, report)); werr != nil {
				return werr
			}
			if err != nil {
				return err
			}
			broken := report.Broken
			if sweep {
				var written error
				opt.Swept = func(slopes *scaletest.SweepReport) { written = writeSweeps(dir, slopes) }
				slopes, err := scaletest.RunSweeps(ctx, spec, opt, report)
				fmt.Fprintln(cmd.ErrOrStderr())
				if err := errors.Join(err, slopes.Text(cmd.OutOrStdout()), written); err != nil {
					return err
				}
				broken = append(broken, slopes.Broken...)
			}
			return ruled(cmd.OutOrStdout(), broken)
		}}
	c.Flags().StringVar(&dir, "out", "", "directory for report.json and report.txt, and with --sweep sweep.json, sweep.txt and plots")
	c.Flags().BoolVar(&sweep, "sweep", false, "then vary one count at a time, as the file's sweeps say, and fit what each unit costs")
	return c
}

func writeScale(dir string, r *scaletest.Report) error {
	if dir == "" {
		return nil
	}
	return errors.Join(writeFile(dir, "report.json", r.JSON), writeFile(dir, "report.txt", r.Text))
}

func writeSweeps(dir string, r *scaletest.SweepReport) error {
	if dir == "" {
		return nil
	}
	err := errors.Join(writeFile(dir, "sweep.json", r.JSON), writeFile(dir, "sweep.txt", r.Text))
	for _, s := range r.Slopes {
		svg, perr := r.Plot(s)
		if perr != nil {
			return errors.Join(err, perr)
		}
		name := strings.NewReplacer(" ", "-", "/", "-per-").Replace(s.Count+"-"+s.Cost) + ".svg"
		err = errors.Join(err, writeFile(dir, name, func(out io.Writer) error {
			_, werr := out.Write(svg)
			return werr
		}))
	}
	return err
}

// writeFile writes a file into a directory that is made if need be.
func writeFile(dir, name string, write func(io.Writer) error) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(dir, name))
	if err != nil {
		return err
	}
	return errors.Join(write(out), out.Close())
}
