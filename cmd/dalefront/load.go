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

func loadCommand() *cobra.Command {
	var dir, server string
	c := &cobra.Command{Use: "load FILE", Short: "Run an experiment and compare its variants in simulated time, or load a live site", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			e, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			bar := progressbar.NewOptions(1, progressbar.OptionSetWriter(cmd.ErrOrStderr()), progressbar.OptionShowCount(),
				progressbar.OptionSetWidth(40), progressbar.OptionThrottle(100*time.Millisecond))
			show := func(finished, all int) {
				bar.ChangeMax(all)
				_ = bar.Set(finished) // only a picture
			}
			play := e.Play
			if server != "" {
				ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
				defer stop()
				play = func(done func(int, int)) (*experiment.Report, error) {
					return e.Live(ctx, strings.TrimSuffix(server, "/"), done)
				}
			}
			r, err := play(show)
			fmt.Fprintln(cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			if err := r.Table(cmd.OutOrStdout()); err != nil {
				return err
			}
			if dir != "" {
				if err := writeLoad(dir, e, r); err != nil {
					return err
				}
			}
			return ruled(cmd.OutOrStdout(), r.Broken())
		}}
	c.Flags().StringVar(&dir, "out", "", "directory for report.html, report.json and report.txt")
	c.Flags().StringVar(&server, "server", "", "a live site's address for users: jobs are submitted there in real time")
	return c
}

func writeLoad(dir string, e *experiment.Experiment, r *experiment.Report) error {
	return errors.Join(
		writeFile(dir, "report.html", func(out io.Writer) error { return r.HTML(e, out) }),
		writeFile(dir, "report.json", func(out io.Writer) error { return json.NewEncoder(out).Encode(r) }),
		writeFile(dir, "report.txt", r.Table),
	)
}
