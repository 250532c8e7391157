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

// Options configure where and how a run takes place. The zero value of a field is its default.
type Options struct {
	Program   string // of the controllers: this one
	Operator  string // the operator's settings of the controllers
	Dir       string // for settings and logs; a temporary one
	Progress  func(what string)
	SweepDone func(*SweepReport) // called after each sweep with all so far
}

// ErrInvalidRun means that the run took place but its figures don't count. The reasons are in
// the report.
var ErrInvalidRun = errors.New("the run does not count")

// runner carries out one run.
type runner struct {
	spec      *Spec
	options   Options
	site      *emulator.Site
	meter     *meter
	generator *generator
	report    *Report
	ctx       context.Context
	cancel    context.CancelCauseFunc

	configured chan ConfigResult // what became of the changes of configuration, once
}

// Run carries out a scale run and returns what was measured. The report is there too if the error
// is ErrInvalidRun.
func Run(ctx context.Context, spec *Spec, options Options) (*Report, error) {
	if options.Progress == nil {
		options.Progress = func(string) {}
	}
	run := &runner{spec: spec, options: options, report: newReport(spec), configured: make(chan ConfigResult, 1)}
	run.ctx, run.cancel = context.WithCancelCause(ctx)
	defer run.cancel(nil)
	var err error
	if run.report.Host.MemoryMB, err = memoryMB(); err != nil {
		return nil, err
	}
	site, err := emulator.Up(emulator.Options{Spec: spec.siteSpec(), Program: options.Program, Operator: options.Operator, Dir: options.Dir})
	if err != nil {
		return nil, err
	}
	run.site = site
	run.meter = &meter{site: site, self: os.Getpid()}
	run.generator = newGenerator(spec, site.Users)
	site.Fleet.Begins = run.generator.taskStarted
	err = run.play()
	run.report.Violations = site.Fleet.Broken()
	run.report.Malformed = site.Services.Malformed()
	return run.report, errors.Join(err, site.Down())
}

const (
	readyTimeout   = 60 * time.Second
	sampleInterval = time.Second
	drainDuration  = 10 * time.Second // after the last event, so that what it delayed is seen
)

func (r *runner) play() error {
	ready, cancel := context.WithTimeout(r.ctx, readyTimeout)
	defer cancel()
	if err := r.site.Ready(ready); err != nil {
		return err
	}
	go r.enforceLimits()
	if err := r.ramp(); err != nil {
		return err
	}
	load, stop := context.WithCancel(r.ctx)
	defer stop()
	go r.generator.generateLoad(load)
	go r.changeConfig(load)
	sleep(r.ctx, seconds(2*r.spec.TaskS)) // until as many tasks end as start
	if err := r.steady(); err != nil {
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

// enforceLimits cancels the run when it exceeds its share of the machine. It also takes the samples.
func (r *runner) enforceLimits() {
	limitMB := r.spec.Limits.MemoryShare * r.report.Host.MemoryMB
	if processes := r.site.Controllers() + 1; processes > r.spec.Limits.Processes {
		r.cancel(fmt.Errorf("%d processes, of %d at most", processes, r.spec.Limits.Processes))
	}
	for sleep(r.ctx, sampleInterval) {
		r.meter.record()
		r.meter.mu.Lock()
		used := r.meter.peakMB
		r.meter.mu.Unlock()
		if used > limitMB {
			r.cancel(fmt.Errorf("all processes take %.0f MB, of %.0f at most", used, limitMB))
			return
		}
	}
}

// ramp submits the resident tasks and waits until all of them run.
func (r *runner) ramp() error {
	start := time.Now()
	target := r.generator.residentTasks()
	go r.generator.submitResidents(r.ctx)
	for {
		summary := r.site.Fleet.Summary()
		r.options.Progress(fmt.Sprintf("ramp: %d of %d tasks run on %d workers", summary.Running, target, summary.Machines))
		if summary.Running >= target {
			r.report.Ramp = RampResult{Seconds: time.Since(start).Seconds(), Running: summary.Running, Workers: summary.Machines}
			return nil
		}
		if time.Since(start) > seconds(r.spec.RampS) {
			return fmt.Errorf("after %g s only %d of %d tasks run on %d workers", r.spec.RampS, summary.Running, target, summary.Machines)
		}
		if !sleep(r.ctx, time.Second) {
			return context.Cause(r.ctx)
		}
	}
}

// steady measures what each role costs while the load is steady.
func (r *runner) steady() error {
	leader, standby := r.findRoles()
	if leader < 0 {
		return errors.New("no controller shows itself as leader")
	}
	totalTicks, idleTicks, err := processorTicks()
	if err != nil {
		return err
	}
	r.generator.reset()
	r.meter.reset()
	r.meter.record()
	start := time.Now()
	if err := r.recordRunning(start); err != nil {
		return err
	}
	r.meter.record()
	r.report.Types = r.workersByType()
	if total, idle, err := processorTicks(); err == nil && total > totalTicks {
		r.report.Host.Busy = 1 - (idle-idleTicks)/(total-totalTicks)
	}
	if now, _ := r.findRoles(); now != leader {
		r.report.invalidate("the leader changed in the steady part")
	}
	r.report.Roles = r.meter.roles(leader, standby)
	r.report.State = r.meter.state()
	r.report.Worker = r.meter.workers()
	r.report.Worker.CodecCore = r.report.Worker.heartbeatsPerS() * codecTime(int(r.spec.coresPerWorker())).Seconds()
	r.report.StartsPerS = float64(r.generator.startCount()) / time.Since(start).Seconds()
	r.report.Steady = r.generator.summary()
	r.generator.reset()
	return nil
}

// recordRunning records the running tasks each second until the steady part, which began at
// start, is over.
func (r *runner) recordRunning(start time.Time) error {
	for time.Since(start) < seconds(r.spec.SteadyS) {
		summary := r.site.Fleet.Summary()
		r.report.Running = append(r.report.Running, summary.Running)
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

// findRoles finds the leader and a warm standby, -1 for none.
func (r *runner) findRoles() (leader, standby int) {
	leader, standby = r.site.Leader(), -1
	for i := range r.site.Controllers() {
		if metrics, err := r.site.Metrics(i); err == nil && metrics["dalefront_standby"] == 1 && i != leader {
			return leader, i
		}
	}
	return leader, standby
}
