package scaletest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"dalefront/internal/emulator"
	"dalefront/wire"
)

// Options configures where and how a run takes place. Each field may be left at its zero value.
type Options struct {
	Program     string             // executable of the controllers; this program by default
	Operator    string             // file with the controllers' operator settings
	Dir         string             // directory for the controllers' settings and logs; a temporary one by default
	Progress    func(what string)  // called with a description of the current state
	OnSweepDone func(*SweepReport) // called after each sweep with the results of all sweeps so far
}

// ErrInvalidRun is returned if a run completed but its measurements are invalid. The reasons are in the
// report.
var ErrInvalidRun = errors.New("the run does not count")

// runner carries out one run.
type runner struct {
	spec      *Spec
	options   Options
	site      *emulator.Site
	sampler   *sampler
	generator *generator
	report    *Report
	ctx       context.Context
	cancel    context.CancelCauseFunc

	configResults chan ConfigResult // receives one value, after the last configuration change
}

// Run carries out a scale run and returns its report. The report is complete even if the error wraps
// ErrInvalidRun.
func Run(ctx context.Context, spec *Spec, options Options) (*Report, error) {
	if options.Progress == nil {
		options.Progress = func(string) {}
	}
	run := &runner{spec: spec, options: options, report: newReport(spec), configResults: make(chan ConfigResult, 1)}
	run.ctx, run.cancel = context.WithCancelCause(ctx)
	defer run.cancel(nil)
	var err error
	if run.report.Host.MemoryMB, err = totalMemoryMB(); err != nil {
		return nil, err
	}
	site, err := emulator.Up(emulator.Options{Spec: spec.siteSpec(), Program: options.Program, Operator: options.Operator, Dir: options.Dir})
	if err != nil {
		return nil, err
	}
	run.site = site
	run.sampler = &sampler{site: site, selfPID: os.Getpid()}
	run.generator = newGenerator(spec, site.LoadBalancerAddr)
	site.Fleet.OnTaskStart = run.generator.taskStarted
	err = run.execute()
	run.report.Violations = site.Fleet.Violations()
	run.report.Malformed = site.Services.LimitViolations()
	return run.report, errors.Join(err, site.Down())
}

const (
	readyTimeout   = 60 * time.Second
	sampleInterval = time.Second
	drainDuration  = 10 * time.Second // time after the disruptions in which latencies of delayed tasks are still recorded
)

// execute carries out the parts of the run in order and completes the report.
func (r *runner) execute() error {
	ready, cancel := context.WithTimeout(r.ctx, readyTimeout)
	defer cancel()
	if err := r.site.Ready(ready); err != nil {
		return err
	}
	go r.monitor()
	if err := r.rampUp(); err != nil {
		return err
	}
	load, stop := context.WithCancel(r.ctx)
	defer stop()
	go r.generator.generateLoad(load)
	go r.changeConfig(load)
	sleep(r.ctx, seconds(2*r.spec.TaskDurationS)) // until batch tasks end at the rate at which they start
	if err := r.measureSteadyState(); err != nil {
		return err
	}
	if r.spec.DisruptionS > 0 {
		r.injectEvents()
	}
	stop()
	if err := context.Cause(r.ctx); err != nil {
		return err
	}
	r.collectConfigResult()
	r.report.finish(r)
	if len(r.report.InvalidReasons) > 0 {
		return fmt.Errorf("%w: %s", ErrInvalidRun, strings.Join(r.report.InvalidReasons, "; "))
	}
	return nil
}

// monitor takes a sample every sampleInterval, and cancels the run if it exceeds the limits on memory or
// processes.
func (r *runner) monitor() {
	limitMB := r.spec.Limits.MaxMemoryShare * r.report.Host.MemoryMB
	if processes := r.site.NumControllers() + 1; processes > r.spec.Limits.MaxProcesses {
		r.cancel(fmt.Errorf("%d processes, of %d at most", processes, r.spec.Limits.MaxProcesses))
	}
	for sleep(r.ctx, sampleInterval) {
		r.sampler.takeSample()
		r.sampler.mu.Lock()
		used := r.sampler.peakMB
		r.sampler.mu.Unlock()
		if used > limitMB {
			r.cancel(fmt.Errorf("all processes take %.0f MB, of %.0f at most", used, limitMB))
			return
		}
	}
}

// rampUp submits the resident and backlog jobs and waits until all resident tasks run.
func (r *runner) rampUp() error {
	start := time.Now()
	target := r.generator.residentTaskCount()
	go r.generator.submitResidents(r.ctx)
	for {
		summary := r.site.Fleet.Summary()
		r.options.Progress(fmt.Sprintf("ramp: %d of %d tasks run on %d workers", summary.Running, target, summary.Machines))
		if summary.Running >= target {
			r.report.Ramp = RampResult{Seconds: time.Since(start).Seconds(), RunningTasks: summary.Running, Workers: summary.Machines}
			return nil
		}
		if time.Since(start) > seconds(r.spec.RampTimeoutS) {
			return fmt.Errorf("after %g s only %d of %d tasks run on %d workers", r.spec.RampTimeoutS, summary.Running, target, summary.Machines)
		}
		if !sleep(r.ctx, time.Second) {
			return context.Cause(r.ctx)
		}
	}
}

// measureSteadyState measures the resource usage of each role and the latencies under steady load.
func (r *runner) measureSteadyState() error {
	leader, standby := r.findRoles()
	if leader < 0 {
		return errors.New("no controller shows itself as leader")
	}
	totalTicks, idleTicks, err := processorTicks()
	if err != nil {
		return err
	}
	r.generator.reset()
	r.sampler.reset()
	r.sampler.takeSample()
	start := time.Now()
	if err := r.recordRunning(start); err != nil {
		return err
	}
	r.sampler.takeSample()
	r.report.WorkersByType = r.workersByType()
	if total, idle, err := processorTicks(); err == nil && total > totalTicks {
		r.report.Host.Utilization = 1 - (idle-idleTicks)/(total-totalTicks)
	}
	if now, _ := r.findRoles(); now != leader {
		r.report.invalidate("the leader changed in the steady part")
	}
	r.report.Roles = r.sampler.roleUsages(leader, standby)
	r.report.State = r.sampler.stateServiceLoad()
	r.report.Worker = r.sampler.workerTraffic()
	r.report.Worker.CodecCores = r.report.Worker.heartbeatsPerS() * codecTime(int(r.spec.coresPerWorker())).Seconds()
	r.report.StartsPerS = float64(r.generator.startCount()) / time.Since(start).Seconds()
	r.report.Steady = r.generator.summary()
	r.generator.reset()
	return nil
}

// recordRunning records the number of running tasks every second until the end of the steady part, which
// began at the given time.
func (r *runner) recordRunning(start time.Time) error {
	for time.Since(start) < seconds(r.spec.SteadyS) {
		summary := r.site.Fleet.Summary()
		r.report.RunningTasks = append(r.report.RunningTasks, summary.Running)
		r.report.Workers = summary.Machines
		r.options.Progress(fmt.Sprintf("steady %.0f of %g s: %d tasks run on %d workers",
			time.Since(start).Seconds(), r.spec.SteadyS, summary.Running, summary.Machines))
		if !sleep(r.ctx, sampleInterval) {
			return context.Cause(r.ctx)
		}
	}
	return nil
}

// workersByType counts the running workers by machine type.
func (r *runner) workersByType() map[string]int {
	counts := map[string]int{}
	for _, machine := range r.site.Fleet.List() {
		if machine.State == wire.MachineRunning {
			counts[machine.Type]++
		}
	}
	return counts
}

// findRoles returns the indexes of the leader and of a warm standby, or -1 for a role that no controller has.
func (r *runner) findRoles() (leader, standby int) {
	leader, standby = r.site.Leader(), -1
	for i := range r.site.NumControllers() {
		if metrics, err := r.site.Metrics(i); err == nil && metrics["dalefront_standby"] == 1 && i != leader {
			return leader, i
		}
	}
	return leader, standby
}
