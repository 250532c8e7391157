package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"dalefront/deploy"
	"dalefront/internal/emulator"
	"dalefront/wire"
)

const (
	demoTimeout      = 55 * time.Second
	demoPollInterval = 500 * time.Millisecond
	// demoFaultDuration is the time that the killed leader stays down.
	demoFaultDuration = 5 * time.Second
)

func newSiteDemoCommand(global *globalFlags) *cobra.Command {
	flags := &siteFlags{global: global}
	cmd := &cobra.Command{
		Use: "demo", Short: "Start a site, run the sample jobs, kill the leader halfway, check the rules", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			site, err := flags.startSite(out, "")
			if err != nil {
				return err
			}
			return errors.Join(runDemo(out, site), shutDownSite(out, site))
		},
	}
	flags.add(cmd)
	return cmd
}

// demo runs the sample jobs on a site.
type demo struct {
	out          io.Writer
	site         *emulator.Site
	server       string // URL of the load balancer
	jobs         []*demoJob
	tasks        int // number of tasks of all jobs except services
	startTime    time.Time
	leaderKilled bool
	lastProgress string // the line of progress that was printed last
}

// demoJob is a sample job that was submitted.
type demoJob struct {
	id        string
	isService bool // a service never completes by itself
	status    wire.JobStatus
	final     bool // the status can't change any more
}

// demoProgress counts the completed tasks, the running tasks and the jobs that have not ended. Services
// count only towards the running tasks.
type demoProgress struct{ done, running, jobsRemaining int }

// runDemo runs the sample jobs until they end, and kills the leader halfway. Services never end, so they are
// cancelled when all other jobs have ended.
func runDemo(out io.Writer, site *emulator.Site) error {
	d := &demo{out: out, site: site, server: "http://" + site.LoadBalancerAddr}
	if err := d.submitAll(); err != nil {
		return err
	}
	d.startTime = time.Now()
	if err := d.waitForJobs(); err != nil {
		return err
	}
	if err := d.cancelServices(); err != nil {
		return err
	}
	fmt.Fprintf(out, "all jobs are over after %.1f s\n", time.Since(d.startTime).Seconds())
	printSummary(out, site.Fleet.Summary())
	return nil
}

func (d *demo) submitAll() error {
	files, err := fs.Glob(deploy.Examples, "examples/*.json")
	if err != nil {
		return err
	}
	for _, file := range files {
		if err := d.submit(file); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	return nil
}

// submit submits the job in an example file.
func (d *demo) submit(file string) error {
	text, err := deploy.Examples.ReadFile(file)
	if err != nil {
		return err
	}
	body, err := encodeJob(text)
	if err != nil {
		return err
	}
	job, err := wire.ParseJob(body)
	if err != nil {
		return err
	}
	if err := d.request(http.MethodPost, wire.PathJobs, body, new(wire.JobStatus)); err != nil {
		return err
	}
	isService := job.Shape == wire.Service
	d.jobs = append(d.jobs, &demoJob{id: job.ID, isService: isService})
	if !isService {
		d.tasks += job.Tasks
	}
	fmt.Fprintf(d.out, "submitted %s: %s, %d tasks\n", job.ID, job.Class, job.Tasks)
	return nil
}

func (d *demo) request(method, path string, body []byte, status *wire.JobStatus) error {
	return retryWhileUnavailable(func() error { return request(method, d.server+path, body, status) })
}

// waitForJobs waits until all jobs except services have ended. It kills the leader once half of the tasks
// of these jobs are done.
func (d *demo) waitForJobs() error {
	for {
		progress, err := d.poll()
		if err != nil {
			return err
		}
		d.print(progress)
		if progress.jobsRemaining == 0 {
			return nil
		}
		if !d.leaderKilled && 2*progress.done >= d.tasks {
			if err := d.killLeader(); err != nil {
				return err
			}
		}
		if time.Since(d.startTime) > demoTimeout {
			return fmt.Errorf("not finished after %s; the logs are in %s", demoTimeout, d.site.Dir)
		}
		time.Sleep(demoPollInterval)
	}
}

// poll requests the status of every job that has not ended, and returns the progress of all jobs.
func (d *demo) poll() (demoProgress, error) {
	var progress demoProgress
	for _, job := range d.jobs {
		if !job.final {
			if err := d.request(http.MethodGet, jobPath(job.id), nil, &job.status); err != nil {
				return progress, fmt.Errorf("%s: %w", job.id, err)
			}
			job.final = wire.Final(job.status.Status)
		}
		progress.running += job.status.Running
		if job.isService {
			continue
		}
		progress.done += job.status.Done
		if !job.final {
			progress.jobsRemaining++
		}
	}
	return progress, nil
}

// print prints the progress if it has changed.
func (d *demo) print(progress demoProgress) {
	line := fmt.Sprintf("%d of %d tasks done, %d running on %d machines, %d jobs left",
		progress.done, d.tasks, progress.running, d.site.Fleet.Summary().Machines, progress.jobsRemaining)
	if line == d.lastProgress {
		return
	}
	d.lastProgress = line
	fmt.Fprintf(d.out, "%4.1f s: %s\n", time.Since(d.startTime).Seconds(), line)
}

func (d *demo) killLeader() error {
	target, err := d.site.Fault("kill", "", demoFaultDuration)
	if err != nil {
		return err
	}
	d.leaderKilled = true
	fmt.Fprintf(d.out, "%4.1f s: killed the leader, %s\n", time.Since(d.startTime).Seconds(), target)
	return nil
}

func (d *demo) cancelServices() error {
	for _, job := range d.jobs {
		if !job.isService {
			continue
		}
		if err := d.request(http.MethodPost, jobPath(job.id)+"/"+wire.CancelAction, nil, &job.status); err != nil {
			return fmt.Errorf("%s: %w", job.id, err)
		}
		fmt.Fprintf(d.out, "cancelled the service %s\n", job.id)
	}
	return nil
}
