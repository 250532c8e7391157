package scaletest

import (
	"fmt"
	"math"
	"slices"
	"time"

	"dalefront/wire"
)

// Kinds of faults that the events inject into the emulated site.
const (
	faultKillController = "kill"
	faultPartitionZone  = "cut"
	faultMachineFailure = "die"
	faultRestartWorker  = "restart"
)

const (
	takeoverTimeout = time.Minute
	takeoverPoll    = 5 * time.Millisecond
)

// injectEvents injects each event at its time, and adds the events and the generator's measurements to the
// report.
func (r *runner) injectEvents() {
	start := time.Now()
	events := slices.Clone(r.spec.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return int(math.Copysign(1, a.AtS-b.AtS)) })
	for _, event := range events {
		r.options.Progress(fmt.Sprintf("troubles: %s at %g s", event.Kind, event.AtS))
		if !sleep(r.ctx, time.Until(start.Add(seconds(event.AtS)))) {
			return
		}
		result := r.injectEvent(event)
		r.report.Events = append(r.report.Events, fmt.Sprintf("%.1f s: %s: %s", time.Since(start).Seconds(), event.Kind, result))
	}
	sleep(r.ctx, time.Until(start.Add(seconds(r.spec.DisruptionS))))
	sleep(r.ctx, drainDuration)
	r.report.Disrupted = r.generator.summary()
}

// injectEvent injects one event and returns a description of its effect.
func (r *runner) injectEvent(event Event) string {
	switch event.Kind {
	case EventKillLeader:
		return r.killLeader(event)
	case EventZonePartition:
		target, err := r.site.Fault(faultPartitionZone, "", seconds(event.DurationS))
		return faultDescription(target, err)
	case EventRackFailure:
		return r.disruptMachines(faultMachineFailure, event.Count, 0)
	case EventRestartWorkers:
		go r.disruptMachines(faultRestartWorker, event.Count, seconds(event.DurationS))
		return fmt.Sprintf("%d workers, one after the other", event.Count)
	}
	return "unknown"
}

// faultDescription returns the target of a fault, or the text of the error that prevented it.
func faultDescription(target string, err error) string {
	if err != nil {
		return err.Error()
	}
	return target
}

// killLeader kills the leader and measures two times from the kill: until a controller acts as leader again,
// and until the first task starts after this takeover.
func (r *runner) killLeader(event Event) string {
	previous := r.site.Leader()
	if previous < 0 {
		return "no leader"
	}
	label := r.site.Label(previous)
	// Launches that the old leader stored and sent may still start tasks right after the kill. Only task
	// starts after the takeover are measured.
	start := time.Now()
	target, err := r.site.Fault(faultKillController, label, max(seconds(event.DurationS), time.Millisecond))
	if err != nil {
		return err.Error()
	}
	for r.ctx.Err() == nil && time.Since(start) < takeoverTimeout {
		// The leader found here may be the killed controller, if it has restarted in the meantime.
		if leader := r.site.Leader(); leader >= 0 {
			r.generator.recordLatency(latencyTakeover, time.Since(start))
			r.generator.atNextStart(func(at time.Time) { r.generator.recordLatencyLocked(latencyTakeoverStart, at.Sub(start)) })
			return fmt.Sprintf("%s, then %s acts", target, r.site.Label(leader))
		}
		time.Sleep(takeoverPoll)
	}
	return target + ", and nobody acts after a minute"
}

// disruptMachines injects a fault into the given number of running machines, evenly spread over the duration.
// A faultMachineFailure is injected into machines of one zone only.
func (r *runner) disruptMachines(kind string, count int, duration time.Duration) string {
	var names []string
	zone := ""
	for _, machine := range r.site.Fleet.List() {
		if kind == faultMachineFailure && zone == "" {
			zone = machine.Zone
		}
		if machine.State == wire.MachineRunning && (zone == "" || machine.Zone == zone) {
			names = append(names, machine.ID)
		}
	}
	disrupted := 0
	for _, name := range names[:min(count, len(names))] {
		if _, err := r.site.Fault(kind, name, time.Second); err == nil {
			disrupted++
		}
		if duration > 0 && !sleep(r.ctx, duration/time.Duration(count)) {
			break
		}
	}
	return fmt.Sprintf("%d machines %s", disrupted, zone)
}
