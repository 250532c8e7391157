package scaletest

import (
	"fmt"
	"math"
	"slices"
	"time"

	"dalefront/wire"
)

// The faults of an emulated site that the events inject.
const (
	faultKill    = "kill"
	faultCut     = "cut"
	faultDie     = "die"
	faultRestart = "restart"
)

const (
	takeoverTimeout = time.Minute
	takeoverPoll    = 5 * time.Millisecond
)

// injectEvents injects the events, each at its time, and records what the generator measured.
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

// injectEvent injects one event and returns a description of what it affected.
func (r *runner) injectEvent(event Event) string {
	switch event.Kind {
	case EventKill:
		return r.killLeader(event)
	case EventCut:
		what, err := r.site.Fault(faultCut, "", seconds(event.ForS))
		return outcome(what, err)
	case EventRack:
		return r.disruptMachines(faultDie, event.Count, 0)
	case EventRestart:
		go r.disruptMachines(faultRestart, event.Count, seconds(event.ForS))
		return fmt.Sprintf("%d workers, one after the other", event.Count)
	}
	return "unknown"
}

// outcome returns the description of a fault, or of the error that prevented it.
func outcome(what string, err error) string {
	if err != nil {
		return err.Error()
	}
	return what
}

// killLeader kills the leader and measures the time until another controller leads and starts tasks.
func (r *runner) killLeader(event Event) string {
	previous := r.site.Leader()
	if previous < 0 {
		return "no leader"
	}
	label := r.site.Label(previous)
	// Starts right after the kill may be of launches that the old leader stored and sent.
	start := time.Now()
	what, err := r.site.Fault(faultKill, label, max(seconds(event.ForS), time.Millisecond))
	if err != nil {
		return err.Error()
	}
	for r.ctx.Err() == nil && time.Since(start) < takeoverTimeout {
		// The old leader may have restarted by then and lead again.
		if leader := r.site.Leader(); leader >= 0 {
			r.generator.record(latencyTakeover, time.Since(start))
			r.generator.atNextStart(func(at time.Time) { r.generator.recordLocked(latencyTakeoverStart, at.Sub(start)) })
			return fmt.Sprintf("%s, then %s acts", what, r.site.Label(leader))
		}
		time.Sleep(takeoverPoll)
	}
	return what + ", and nobody acts after a minute"
}

// disruptMachines injects a fault into count machines, spread over a duration; faultDie only into
// machines of one zone.
func (r *runner) disruptMachines(kind string, count int, duration time.Duration) string {
	var names []string
	zone := ""
	for _, machine := range r.site.Fleet.List() {
		if kind == faultDie && zone == "" {
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
