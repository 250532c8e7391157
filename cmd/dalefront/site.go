package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/spf13/cobra"

	"dalefront/deploy"
	"dalefront/internal/config"
	"dalefront/internal/controller"
	"dalefront/internal/emulator"
	"dalefront/wire"
)

const exitRule = 3 // a rule was broken

func siteCommand(operator *string) *cobra.Command {
	root := &cobra.Command{Use: "site", Short: "A whole site on this machine: stand-ins of the platform around real controllers"}
	var o emulator.Options
	var controllers, machines int
	var seed uint64
	var inProcess bool
	flags := func(c *cobra.Command) *cobra.Command {
		c.Flags().IntVar(&controllers, "controllers", 0, "controllers, each a process of its own (default 3, or what the file says)")
		c.Flags().IntVar(&machines, "machines", 0, "machines that may be rented (default 20, or what the file says)")
		c.Flags().Uint64Var(&seed, "seed", 0, "of everything random in the stand-ins (default 1, or what the file says)")
		c.Flags().StringVar(&o.Data, "data", "", "file in which the site's data outlives it (default none)")
		c.Flags().BoolVar(&inProcess, "inprocess", false, "controllers in this process instead of processes of their own")
		c.Flags().StringVar(&o.Dir, "dir", "", "for settings and logs (default a temporary directory)")
		root.AddCommand(c)
		return c
	}
	up := func(out io.Writer, files []string) (*emulator.Site, error) {
		if len(files) > 0 {
			spec, err := emulator.LoadSpec(files[0])
			if err != nil {
				return nil, err
			}
			o.Spec = *spec
		}
		o.Spec.Range = hcl.Range{Filename: "--controllers, --machines", Start: hcl.InitialPos}
		o.Spec.Controllers, o.Spec.Machines, o.Spec.Seed = cmp.Or(controllers, o.Spec.Controllers), cmp.Or(machines, o.Spec.Machines), cmp.Or(seed, o.Spec.Seed)
		o.Operator = *operator
		if inProcess {
			o.InProcess = inThisProcess
		}
		s, err := emulator.Up(o)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		if err := s.Ready(ctx); err != nil {
			return nil, errors.Join(err, s.Down())
		}
		fmt.Fprintf(out, "users: http://%s\n", s.Users)
		for i := range s.Controllers() {
			fmt.Fprintf(out, "%s: http://%s\n", s.Label(i), s.Addr(i))
		}
		fmt.Fprintf(out, "logs: %s\n", s.Dir)
		return s, nil
	}
	flags(&cobra.Command{Use: "up [FILE]", Short: "Start a site, as a file describes it; ctrl-C ends it", Args: cobra.MaximumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		out := cmd.OutOrStdout()
		told := make(chan os.Signal, 1)
		signal.Notify(told, syscall.SIGTERM, os.Interrupt)
		s, err := up(out, args)
		if err != nil {
			return err
		}
		<-told
		signal.Stop(told)
		broken := s.Fleet.Broken()
		return errors.Join(s.Down(), ruled(out, broken))
	}}).Flags().StringVar(&o.Listen, "listen", "127.0.0.1:8080", "address for users")
	flags(&cobra.Command{Use: "demo", Short: "Start a site, run the sample jobs, kill the leader halfway, check the rules", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		o.Listen = ""
		out := cmd.OutOrStdout()
		s, err := up(out, nil)
		if err != nil {
			return err
		}
		err = demo(out, s)
		broken := s.Fleet.Broken()
		return errors.Join(err, s.Down(), ruled(out, broken))
	}})
	var server, name string
	var seconds float64
	fault := &cobra.Command{Use: "fault KIND", Short: "Do something bad to a running site: " + strings.Join(emulator.Faults, ", "), Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			q := url.Values{"kind": {args[0]}, "name": {name}, "for": {fmt.Sprint(seconds)}}
			var what wire.Error
			if err := request(http.MethodPost, server+emulator.PathFault+"?"+q.Encode(), nil, &what); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: %s, %g s\n", args[0], what.Error, seconds)
			return err
		}}
	fault.Flags().StringVar(&name, "name", "", "of the controller, machine or zone (default: the leader, one with tasks, or the last zone)")
	fault.Flags().Float64Var(&seconds, "for", 10, "seconds")
	summary := &cobra.Command{Use: "summary", Short: "Show what has happened at a running site", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		var a emulator.Summarized
		if err := request(http.MethodGet, server+emulator.PathSummary, nil, &a); err != nil {
			return err
		}
		printSummary(cmd.OutOrStdout(), a.Summary)
		return ruled(cmd.OutOrStdout(), a.Broken)
	}}
	root.AddCommand(scaleCommand(operator))
	for _, c := range []*cobra.Command{fault, summary} {
		c.Flags().StringVar(&server, "server", "http://127.0.0.1:8080", "the site's address for users")
		root.AddCommand(c)
	}
	return root
}

// inThisProcess runs a controller until the context ends, then lets it end in order.
func inThisProcess(ctx context.Context, settings, operator string, log io.Writer) error {
	set, err := config.Load(settings, operator)
	if err != nil {
		return err
	}
	n, err := controller.New(set, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, n.Drain)
	return n.Run(context.Background())
}

// ruled says whether the rules held.
func ruled(out io.Writer, broken []string) error {
	if len(broken) == 0 {
		_, err := fmt.Fprintln(out, "no rule was broken")
		return err
	}
	for _, b := range broken[:min(len(broken), 20)] {
		fmt.Fprintln(out, "broken rule:", b)
	}
	return &exitError{exitRule, fmt.Errorf("%d times a rule was broken", len(broken))}
}

func printSummary(out io.Writer, s emulator.Summary) {
	fmt.Fprintf(out, "tasks: %d started, %d completed, %d stopped, %d saved, %d lost with their machines\n", s.Started, s.Completed, s.Stopped, s.Saved, s.Lost)
	for _, x := range s.Served {
		of := "class"
		if x.Team {
			of = "team"
		}
		fmt.Fprintf(out, "%s %s: %d jobs, %d begun, %d done, %d cancelled\n", of, x.Name, x.Submitted, x.Begun, x.Done, x.Cancelled)
	}
	fmt.Fprintf(out, "machines: %d rented, %d returned, %d died, %d up; price so far %.2f\n", s.Rented, s.Returned, s.Died, s.Machines, s.Price)
}

// demoLimit is when a demo is given up.
const demoLimit = 55 * time.Second

// demo runs the sample jobs to their end. Services never end: they are cancelled when
// everything else is done.
func demo(out io.Writer, s *emulator.Site) error {
	files, err := fs.Glob(deploy.Examples, "examples/*.json")
	if err != nil {
		return err
	}
	server := "http://" + s.Users
	type sample struct {
		id       string
		service  bool
		tasks    int
		last     wire.JobStatus
		finished bool
	}
	var jobs []*sample
	total := 0
	for _, file := range files {
		text, err := deploy.Examples.ReadFile(file)
		if err != nil {
			return err
		}
		body, err := parseJob(text)
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		j, err := wire.ParseJob(body)
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		if err := patiently(func() error { return request(http.MethodPost, server+wire.PathJobs, body, new(wire.JobStatus)) }); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		jobs = append(jobs, &sample{id: j.ID, service: j.Shape == wire.Service, tasks: j.Tasks})
		if j.Shape != wire.Service {
			total += j.Tasks
		}
		fmt.Fprintf(out, "submitted %s: %s, %d tasks\n", j.ID, j.Class, j.Tasks)
	}
	begun, killed, line := time.Now(), false, ""
	for {
		left, done, running := 0, 0, 0
		for _, j := range jobs {
			if !j.finished {
				if err := patiently(func() error { return request(http.MethodGet, server+wire.PathJobs+"/"+j.id, nil, &j.last) }); err != nil {
					return fmt.Errorf("%s: %w", j.id, err)
				}
				j.finished = wire.Final(j.last.Status)
			}
			if !j.service {
				done += j.last.Done
				if !j.finished {
					left++
				}
			}
			running += j.last.Running
		}
		sum := s.Fleet.Summary()
		if now := fmt.Sprintf("%d of %d tasks done, %d running on %d machines, %d jobs left", done, total, running, sum.Machines, left); now != line {
			line = now
			fmt.Fprintf(out, "%4.1f s: %s\n", time.Since(begun).Seconds(), now)
		}
		if left == 0 {
			break
		}
		if !killed && 2*done >= total {
			what, err := s.Fault("kill", "", 5*time.Second)
			if err != nil {
				return err
			}
			killed = true
			fmt.Fprintf(out, "%4.1f s: killed the leader, %s\n", time.Since(begun).Seconds(), what)
		}
		if time.Since(begun) > demoLimit {
			return fmt.Errorf("not finished after %s; the logs are in %s", demoLimit, s.Dir)
		}
		time.Sleep(500 * time.Millisecond)
	}
	for _, j := range jobs {
		if j.service {
			path := server + wire.PathJobs + "/" + j.id + "/" + wire.CancelAction
			if err := patiently(func() error { return request(http.MethodPost, path, nil, &j.last) }); err != nil {
				return fmt.Errorf("%s: %w", j.id, err)
			}
			fmt.Fprintf(out, "cancelled the service %s\n", j.id)
		}
	}
	fmt.Fprintf(out, "all jobs are over after %.1f s\n", time.Since(begun).Seconds())
	printSummary(out, s.Fleet.Summary())
	return nil
}

// patiently tries again what nobody can answer now, for half a minute.
func patiently(f func() error) error {
	for tries := 0; ; tries++ {
		err := f()
		var coded *exitError
		if err == nil || tries == 60 || !errors.As(err, &coded) || coded.code != exitLater {
			return err
		}
		time.Sleep(500 * time.Millisecond)
	}
}
