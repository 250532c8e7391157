package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
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

	"dalefront/internal/config"
	"dalefront/internal/controller"
	"dalefront/internal/emulator"
	"dalefront/wire"
)

const (
	// siteReadyTimeout is the time limit within which a new site must become ready for requests.
	siteReadyTimeout = 30 * time.Second
	// defaultFaultSeconds is the default duration of a fault in seconds.
	defaultFaultSeconds = 10
)

// newSiteCommand returns the commands that run an emulated site on this machine: real controllers with
// emulated platform services and machines.
func newSiteCommand(global *globalFlags) *cobra.Command {
	root := &cobra.Command{Use: "site", Short: "A whole site on this machine: stand-ins of the platform around real controllers"}
	root.AddCommand(newSiteUpCommand(global), newSiteDemoCommand(global), newScaleCommand(global), newFaultCommand(), newSummaryCommand())
	return root
}

// siteFlags are the flags of commands that start a site. A number that is 0 is taken from the site's file.
type siteFlags struct {
	global      *globalFlags
	controllers int
	machines    int
	seed        uint64
	inProcess   bool
	options     emulator.Options
}

func (f *siteFlags) add(cmd *cobra.Command) {
	cmd.Flags().IntVar(&f.controllers, "controllers", 0, "controllers, each a process of its own (default 3, or what the file says)")
	cmd.Flags().IntVar(&f.machines, "machines", 0, "machines that may be rented (default 20, or what the file says)")
	cmd.Flags().Uint64Var(&f.seed, "seed", 0, "of everything random in the stand-ins (default 1, or what the file says)")
	cmd.Flags().StringVar(&f.options.Data, "data", "", "file in which the site's data outlives it (default none)")
	cmd.Flags().BoolVar(&f.inProcess, "inprocess", false, "controllers in this process instead of processes of their own")
	cmd.Flags().StringVar(&f.options.Dir, "dir", "", "for settings and logs (default a temporary directory)")
}

// startSite starts the site that a file describes, waits until it is ready, prints its addresses and returns
// it. An empty path stands for the default site.
func (f *siteFlags) startSite(out io.Writer, path string) (*emulator.Site, error) {
	options, err := f.siteOptions(path)
	if err != nil {
		return nil, err
	}
	site, err := emulator.Up(options)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), siteReadyTimeout)
	defer cancel()
	if err := site.Ready(ctx); err != nil {
		return nil, errors.Join(err, site.Down())
	}
	fmt.Fprintf(out, "users: http://%s\n", site.LoadBalancerAddr)
	for i := range site.NumControllers() {
		fmt.Fprintf(out, "%s: http://%s\n", site.Label(i), site.Addr(i))
	}
	fmt.Fprintf(out, "logs: %s\n", site.Dir)
	return site, nil
}

// siteOptions returns the options of a site's file, overridden by the flags.
func (f *siteFlags) siteOptions(path string) (emulator.Options, error) {
	options := f.options
	if path != "" {
		spec, err := emulator.LoadSpec(path)
		if err != nil {
			return options, err
		}
		options.Spec = *spec
	}
	spec := &options.Spec
	spec.Range = hcl.Range{Filename: "--controllers, --machines", Start: hcl.InitialPos}
	spec.Controllers = cmp.Or(f.controllers, spec.Controllers)
	spec.Machines = cmp.Or(f.machines, spec.Machines)
	spec.Seed = cmp.Or(f.seed, spec.Seed)
	options.Operator = f.global.operatorFile
	if f.inProcess {
		options.InProcess = runInProcess
	}
	return options, nil
}

func newSiteUpCommand(global *globalFlags) *cobra.Command {
	flags := &siteFlags{global: global}
	cmd := &cobra.Command{
		Use: "up [FILE]", Short: "Start a site, as a file describes it; ctrl-C ends it", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := ""
			if len(args) > 0 {
				path = args[0]
			}
			return runSite(cmd.OutOrStdout(), flags, path)
		},
	}
	flags.add(cmd)
	cmd.Flags().StringVar(&flags.options.Listen, "listen", "127.0.0.1:8080", "address for users")
	return cmd
}

// runSite runs a site until SIGTERM or an interrupt.
func runSite(out io.Writer, flags *siteFlags, path string) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	site, err := flags.startSite(out, path)
	if err != nil {
		return err
	}
	<-signals
	signal.Stop(signals) // a second signal terminates the process
	return shutDownSite(out, site)
}

// shutDownSite shuts a site down and prints the violations of the protocol's rules.
func shutDownSite(out io.Writer, site *emulator.Site) error {
	violations := site.Fleet.Violations()
	return errors.Join(site.Down(), reportViolations(out, violations))
}

// faultFlags are the flags of `site fault`.
type faultFlags struct {
	server  string
	name    string
	seconds float64
}

func newFaultCommand() *cobra.Command {
	var flags faultFlags
	cmd := &cobra.Command{
		Use: "fault KIND", Short: "Do something bad to a running site: " + strings.Join(emulator.Faults, ", "), Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return injectFault(cmd.OutOrStdout(), args[0], &flags) },
	}
	cmd.Flags().StringVar(&flags.name, "name", "", "of the controller, machine or zone (default: the leader, one with tasks, or the last zone)")
	cmd.Flags().Float64Var(&flags.seconds, "for", defaultFaultSeconds, "seconds")
	addSiteFlag(cmd, &flags.server)
	return cmd
}

// injectFault injects a fault into a running site and prints its target.
func injectFault(out io.Writer, kind string, flags *faultFlags) error {
	query := url.Values{"kind": {kind}, "name": {flags.name}, "for": {fmt.Sprint(flags.seconds)}}
	var target wire.Error // the site returns the target's name in the field Error
	if err := request(http.MethodPost, flags.server+emulator.PathFault+"?"+query.Encode(), nil, &target); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%s: %s, %g s\n", kind, target.Error, flags.seconds)
	return err
}

func newSummaryCommand() *cobra.Command {
	var server string
	cmd := &cobra.Command{
		Use: "summary", Short: "Show what has happened at a running site", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var response emulator.SummaryResponse
			if err := request(http.MethodGet, server+emulator.PathSummary, nil, &response); err != nil {
				return err
			}
			printSummary(cmd.OutOrStdout(), response.Summary)
			return reportViolations(cmd.OutOrStdout(), response.Broken)
		},
	}
	addSiteFlag(cmd, &server)
	return cmd
}

func addSiteFlag(cmd *cobra.Command, server *string) {
	cmd.Flags().StringVar(server, "server", defaultServer, "the site's address for users")
}

func printSummary(out io.Writer, summary emulator.Summary) {
	fmt.Fprintf(out, "tasks: %d started, %d completed, %d stopped, %d saved, %d lost with their machines\n",
		summary.Started, summary.Completed, summary.Stopped, summary.Saved, summary.Lost)
	for _, served := range summary.Served {
		kind := "class"
		if served.Team {
			kind = "team"
		}
		fmt.Fprintf(out, "%s %s: %d jobs, %d begun, %d done, %d cancelled\n",
			kind, served.Name, served.Submitted, served.Begun, served.Done, served.Cancelled)
	}
	fmt.Fprintf(out, "machines: %d rented, %d returned, %d died, %d up; price so far %.2f\n",
		summary.Rented, summary.Returned, summary.Died, summary.Machines, summary.Price)
}

// runInProcess runs a controller in this process. When the context ends, the controller drains.
func runInProcess(ctx context.Context, settingsPath, operatorPath string, log io.Writer) error {
	settings, err := config.Load(settingsPath, operatorPath)
	if err != nil {
		return err
	}
	ctrl, err := controller.New(settings, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, ctrl.Drain)
	return ctrl.Run(context.Background())
}
