package scaletest

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"dalefront/internal/emulator"
	"dalefront/wire"
)

// Options say where a run happens. The zero value of a field is its default.
type Options struct {
	Program  string // of the controllers: this one
	Operator string // the operator's settings of the controllers
	Dir      string // for settings and logs; a temporary one
	Progress func(what string)
	Swept    func(*SweepReport) // called after each sweep with all so far
}

// ErrNotCounted means that the run was played but its figures don't count: the reasons are in
// the report.
var ErrNotCounted = errors.New("the run does not count")

// runner is a run under way.
type runner struct {
	spec   *Spec
	opt    Options
	site   *emulator.Site
	meter  *meter
	gen    *generator
	report *Report
	ctx    context.Context
	cancel context.CancelCauseFunc

	configured chan ConfigResult // what became of the changes of configuration, once
}

// Run plays a scale run and returns what was measured. The report is there too if the error
// is ErrNotCounted.
func Run(ctx context.Context, spec *Spec, opt Options) (*Report, error) {
	if opt.Progress == nil {
		opt.Progress = func(string) {}
	}
	r := &runner{spec: spec, opt: opt, report: newReport(spec), configured: make(chan ConfigResult, 1)}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	defer r.cancel(nil)
	var err error
	if r.report.Host.MemoryMB, err = memoryMB(); err != nil {
		return nil, err
	}
	s, err := emulator.Up(emulator.Options{Spec: spec.site(), Program: opt.Program, Operator: opt.Operator, Dir: opt.Dir})
	if err != nil {
		return nil, err
	}
	r.site = s
	r.meter = &meter{site: s, self: os.Getpid()}
	r.gen = newGenerator(spec, s.Users)
	s.Fleet.Begins = r.gen.begins
	err = r.play()
	r.report.Broken = s.Fleet.Broken()
	r.report.Malformed = s.Services.Malformed()
	return r.report, errors.Join(err, s.Down())
}

const (
	readyLimit  = 60 * time.Second
	sampleEvery = time.Second
	drainTime   = 10 * time.Second // after the last event, so that what it delayed is seen
)

func (r *runner) play() error {
	ready, cancel := context.WithTimeout(r.ctx, readyLimit)
	defer cancel()
	if err := r.site.Ready(ready); err != nil {
		return err
	}
	go r.guard()
	if err := r.ramp(); err != nil {
		return err
	}
	load, stop := context.WithCancel(r.ctx)
	defer stop()
	go r.gen.load(load)
	go r.changeConfig(load)
	pause(r.ctx, seconds(2*r.spec.TaskS)) // until as many tasks go as come
	if err := r.steady(); err != nil {
		return err
	}
	if r.spec.Trouble > 0 {
		r.trouble()
	}
	stop()
	if err := context.Cause(r.ctx); err != nil {
		return err
	}
	r.takeConfig()
	r.report.finish(r)
	if len(r.report.NotCounted) > 0 {
		return fmt.Errorf("%w: %s", ErrNotCounted, strings.Join(r.report.NotCounted, "; "))
	}
	return nil
}

// guard ends the run when it takes more of the machine than it may.
func (r *runner) guard() {
	most := r.spec.Limits.MemoryShare * r.report.Host.MemoryMB
	if n := r.site.Controllers() + 1; n > r.spec.Limits.Processes {
		r.cancel(fmt.Errorf("%d processes, of %d at most", n, r.spec.Limits.Processes))
	}
	for pause(r.ctx, sampleEvery) {
		r.meter.take()
		r.meter.mu.Lock()
		used := r.meter.peakMB
		r.meter.mu.Unlock()
		if used > most {
			r.cancel(fmt.Errorf("all processes take %.0f MB, of %.0f at most", used, most))
			return
		}
	}
}

// ramp fills the workers.
func (r *runner) ramp() error {
	begun := time.Now()
	want := r.gen.residentTasks()
	go r.gen.residents(r.ctx)
	for {
		s := r.site.Fleet.Summary()
		r.opt.Progress(fmt.Sprintf("ramp: %d of %d tasks run on %d workers", s.Running, want, s.Machines))
		if s.Running >= want {
			r.report.Ramp = RampResult{Seconds: time.Since(begun).Seconds(), Running: s.Running, Workers: s.Machines}
			return nil
		}
		if time.Since(begun) > seconds(r.spec.RampS) {
			return fmt.Errorf("after %g s only %d of %d tasks run on %d workers", r.spec.RampS, s.Running, want, s.Machines)
		}
		if !pause(r.ctx, time.Second) {
			return context.Cause(r.ctx)
		}
	}
}

// steady measures what roles cost.
func (r *runner) steady() error {
	leader, standby := r.who()
	if leader < 0 {
		return errors.New("no controller shows itself as leader")
	}
	busy, idle, err := processorTicks()
	if err != nil {
		return err
	}
	r.gen.forget()
	r.meter.reset()
	r.meter.take()
	begun := time.Now()
	for time.Since(begun) < seconds(r.spec.SteadyS) {
		s := r.site.Fleet.Summary()
		r.report.Running = append(r.report.Running, s.Running)
		r.opt.Progress(fmt.Sprintf("steady %.0f of %g s: %d tasks run on %d workers", time.Since(begun).Seconds(), r.spec.SteadyS, s.Running, s.Machines))
		r.report.Workers = s.Machines
		if !pause(r.ctx, time.Second) {
			return context.Cause(r.ctx)
		}
	}
	r.meter.take()
	r.report.Types = map[string]int{}
	for _, m := range r.site.Fleet.List() {
		if m.State == wire.MachineRunning {
			r.report.Types[m.Type]++
		}
	}
	if all, free, err := processorTicks(); err == nil && all > busy {
		r.report.Host.Busy = 1 - (free-idle)/(all-busy)
	}
	if now, _ := r.who(); now != leader {
		r.report.notCounted("the leader changed in the steady part")
	}
	r.report.Roles = r.meter.roles(leader, standby)
	r.report.State = r.meter.state()
	r.report.Worker = r.meter.workers()
	perS := 0.0
	for _, n := range r.report.Worker.Reports {
		perS += n
	}
	r.report.Worker.CodecCore = perS * codecTime(int(r.spec.coresEach())).Seconds()
	r.gen.mu.Lock()
	r.report.StartsPerS = float64(r.gen.starts) / time.Since(begun).Seconds()
	r.gen.mu.Unlock()
	r.report.Steady = r.gen.summary()
	r.gen.forget()
	return nil
}

// who finds the leader and a warm standby, -1 for none.
func (r *runner) who() (leader, standby int) {
	leader, standby = r.site.Leader(), -1
	for i := range r.site.Controllers() {
		if m, err := r.site.Metrics(i); err == nil && m["dalefront_standby"] == 1 && i != leader {
			return leader, i
		}
	}
	return leader, standby
}

// trouble plays the events.
func (r *runner) trouble() {
	begun := time.Now()
	events := slices.Clone(r.spec.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return int(math.Copysign(1, a.AtS-b.AtS)) })
	for _, e := range events {
		r.opt.Progress(fmt.Sprintf("troubles: %s at %g s", e.Kind, e.AtS))
		if !pause(r.ctx, time.Until(begun.Add(seconds(e.AtS)))) {
			return
		}
		went := r.event(e)
		r.report.Events = append(r.report.Events, fmt.Sprintf("%.1f s: %s: %s", time.Since(begun).Seconds(), e.Kind, went))
	}
	pause(r.ctx, time.Until(begun.Add(seconds(r.spec.Trouble))))
	pause(r.ctx, drainTime)
	r.report.Troubled = r.gen.summary()
}

// event does what an event says and tells what it was done to.
func (r *runner) event(e Event) string {
	switch e.Kind {
	case EventKill:
		return r.kill(e)
	case EventCut:
		what, err := r.site.Fault("cut", "", seconds(e.ForS))
		return told(what, err)
	case EventRack:
		return r.breakMachines("die", e.Count, 0)
	case EventRestart:
		go r.breakMachines("restart", e.Count, seconds(e.ForS))
		return fmt.Sprintf("%d workers, one after the other", e.Count)
	}
	return "unknown"
}

func told(what string, err error) string {
	if err != nil {
		return err.Error()
	}
	return what
}

// kill kills the leader and measures the takeover.
func (r *runner) kill(e Event) string {
	old := r.site.Leader()
	if old < 0 {
		return "no leader"
	}
	label := r.site.Label(old)
	// Starts right after the kill may be of launches that the old leader stored and sent.
	begun := time.Now()
	what, err := r.site.Fault("kill", label, max(seconds(e.ForS), time.Millisecond))
	if err != nil {
		return err.Error()
	}
	for r.ctx.Err() == nil && time.Since(begun) < time.Minute {
		// The killed one may be back by then, and lead again.
		if now := r.site.Leader(); now >= 0 {
			r.gen.record(timeTakeover, time.Since(begun))
			r.gen.atNextStart(func(at time.Time) { r.gen.recordLocked(timeResumed, at.Sub(begun)) })
			return fmt.Sprintf("%s, then %s acts", what, r.site.Label(now))
		}
		time.Sleep(5 * time.Millisecond)
	}
	return what + ", and nobody acts after a minute"
}

// breakMachines does something to so many machines of one zone, spread over a time.
func (r *runner) breakMachines(kind string, count int, over time.Duration) string {
	var names []string
	zone := ""
	for _, m := range r.site.Fleet.List() {
		if kind == "die" && zone == "" {
			zone = m.Zone
		}
		if m.State == wire.MachineRunning && (zone == "" || m.Zone == zone) {
			names = append(names, m.ID)
		}
	}
	done := 0
	for _, name := range names[:min(count, len(names))] {
		if _, err := r.site.Fault(kind, name, time.Second); err == nil {
			done++
		}
		if over > 0 && !pause(r.ctx, over/time.Duration(count)) {
			break
		}
	}
	return fmt.Sprintf("%d machines %s", done, zone)
}
