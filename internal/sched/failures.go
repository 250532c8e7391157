package sched

import (
	"dalefront/internal/config"
	"dalefront/internal/failuredomain"
)

// RecordPeerContact records when another controller last heard from a machine. Peers send this time with
// their heartbeats at a takeover, since the previous leader's knowledge is lost. The failure detector uses
// the time as evidence. The time doesn't prove that any task runs or is gone.
func (c *Core) RecordPeerContact(host string, at Micros) {
	c.machines.recordPeerContact(host, min(at, c.now))
}

// failureMonitor detects which machines and zones have failed.
type failureMonitor struct {
	*failuredomain.Detector
	observations []failuredomain.Machine // input of the last update, kept to reuse its memory
}

func newFailureMonitor(settings *config.Settings, now Micros) failureMonitor {
	return failureMonitor{Detector: failuredomain.New(failuredomain.Params{
		ObserverZone: settings.Zone, StartedAt: now, ReportInterval: config.Micro(settings.Deployment.Workers.HeartbeatIntervalS),
		ListLag: config.Micro(settings.Deployment.Cloud.ListLagS),
	})}
}

// update passes all watched machines to the detector, and returns the zones that became partitioned or
// healed.
func (f *failureMonitor) update(now Micros, machines []*machine, controllers []failuredomain.Controller) []failuredomain.ZoneChange {
	f.observations = f.observations[:0]
	for _, m := range machines {
		if m.isWatched() {
			f.observations = append(f.observations, m.observation())
		}
	}
	return f.Update(now, f.observations, controllers)
}

// diagnose returns the detector's diagnosis of a machine.
func (f *failureMonitor) diagnose(now Micros, m *machine) failuredomain.Diagnosis {
	return f.Diagnose(now, m.observation())
}

// isWatched reports whether the detector watches the machine, because its silence would indicate a failure.
func (m *machine) isWatched() bool { return m.registered && !m.scalingIn }

// observation returns the detector's input for a machine. Before the machine's first heartbeat in this term,
// another controller may know when the machine was last heard from.
func (m *machine) observation() failuredomain.Machine {
	return failuredomain.Machine{Zone: m.zone, ReportedToObserver: m.confirmed || m.leaseExpired, LastHeard: max(m.lastHeartbeat, m.lastPeerContact), LastListedRunning: m.lastListedRunning, ListedFailed: m.failed}
}

// DetectFailures updates the failure detector with the machines and the other controllers, and logs the
// changes.
func (c *Core) DetectFailures(now Micros, controllers []failuredomain.Controller) {
	c.now = now
	for _, change := range c.detector.update(now, c.machines.all(), controllers) {
		if change.Partitioned {
			c.log("zone partitioned", "zone", change.Zone, "silent_us", now-change.Since, "evidence", change.Evidence, "leases_renewed_inside", change.LeasesRenewed)
		} else {
			c.log("zone partition healed", "zone", change.Zone, "duration_us", change.Duration, "evidence", change.Evidence)
		}
	}
	for _, m := range c.machines.all() {
		if m.isWatched() {
			c.updateVerdict(m)
		}
	}
}

// updateVerdict records the detector's verdict about a machine, and logs it if the machine is newly found
// hung or dead.
func (c *Core) updateVerdict(m *machine) {
	verdict := c.detector.diagnose(c.now, m).Verdict
	if verdict != m.verdict && (verdict == failuredomain.Hung || verdict == failuredomain.Dead) {
		c.log("machine unresponsive", "host", m.host, "zone", m.zone, "verdict", verdict.String(), "silent_us", c.now-m.lastHeartbeat, "tasks", m.placementCount)
	}
	m.verdict = verdict
}

// SilentMachines returns the number of machines by the verdict of the last DetectFailures, and the number of
// zones that are partitioned.
func (c *Core) SilentMachines() (machines map[string]int, zones int) {
	machines = map[string]int{}
	for _, m := range c.machines.all() {
		machines[m.verdict.String()]++
	}
	return machines, c.detector.PartitionedZones()
}

// isUnreachable reports whether a machine can't be counted on for waiting tasks, because it is silent and not
// expected to answer before a replacement would be up.
func (c *Core) isUnreachable(m *machine) bool {
	if !m.registered || m.verdict == failuredomain.Reachable {
		return m.leaseExpired
	}
	diagnosis := c.detector.diagnose(c.now, m)
	return diagnosis.RemainingSilence > config.Micro(replacementBootFactor*m.machineType.BootS) || diagnosis.Verdict == failuredomain.Dead
}

// releaseUndispatched releases stored launches of a silent machine that were never sent to it. It is proven
// that their tasks don't run. Launches are sent only with heartbeat responses, only this leader would send
// these launches, and it releases them before it handles another event.
func (c *Core) releaseUndispatched(m *machine) {
	m.eachPlacement(func(p *placement) {
		if p.durable && !p.dispatched && !p.observed && !p.recovered {
			c.release(p)
		}
	})
}
