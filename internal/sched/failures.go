package sched

import (
	"dalefront/internal/config"
	"dalefront/internal/failuredomain"
)

// PeerContact takes when another controller last heard from a machine. It comes with the
// hellos at a takeover: the last leader's knowledge is gone, its peers' is not.
// It is evidence for the detector alone and proves nothing.
func (c *Core) PeerContact(host string, at Micros) {
	c.machines.recordPeerContact(host, min(at, c.now))
}

// failureMonitor finds out which machines and zones have failed.
type failureMonitor struct {
	*failuredomain.Detector
	observed []failuredomain.Machine // of the last survey, kept to be used again
}

func newFailureMonitor(settings *config.Settings, now Micros) failureMonitor {
	return failureMonitor{Detector: failuredomain.New(failuredomain.Params{
		ObserverZone: settings.Zone, StartedAt: now, ReportInterval: config.Micro(settings.Deployment.Workers.ReportS),
		ListLag: config.Micro(settings.Deployment.Cloud.ListLagS),
	})}
}

// update lets the detector look at all machines, and returns the zones that were cut off or came back.
func (f *failureMonitor) update(now Micros, machines []*machine, controllers []failuredomain.Controller) []failuredomain.ZoneChange {
	f.observed = f.observed[:0]
	for _, m := range machines {
		if m.isWatched() {
			f.observed = append(f.observed, m.observation())
		}
	}
	return f.Update(now, f.observed, controllers)
}

// diagnose is what the detector says of a machine.
func (f *failureMonitor) diagnose(now Micros, m *machine) failuredomain.Diagnosis {
	return f.Diagnose(now, m.observation())
}

// isWatched says whether the detector looks at the machine: its silence would say something.
func (m *machine) isWatched() bool { return m.registered && !m.scalingIn }

// observation is what the detector gets to know of a machine. Another controller may know
// when it was last heard from before its first heartbeat in this term.
func (m *machine) observation() failuredomain.Machine {
	return failuredomain.Machine{Zone: m.zone, ReportedHere: m.confirmed || m.leaseExpired, LastHeard: max(m.lastHeartbeat, m.lastPeerContact), ListedRunning: m.lastListedRunning, ListedFailed: m.failed}
}

// DetectFailures lets the detector look at the machines and the other controllers.
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

// updateVerdict takes what the detector says of a machine.
func (c *Core) updateVerdict(m *machine) {
	verdict := c.detector.diagnose(c.now, m).Verdict
	if verdict != m.verdict && (verdict == failuredomain.Hung || verdict == failuredomain.Dead) {
		c.log("machine unresponsive", "host", m.host, "zone", m.zone, "verdict", verdict.String(), "silent_us", c.now-m.lastHeartbeat, "tasks", m.placementCount)
	}
	m.verdict = verdict
}

// SilentMachines counts the machines by what the last round of DetectFailures said of them, and the zones that
// it found to be cut off.
func (c *Core) SilentMachines() (machines map[string]int, zones int) {
	machines = map[string]int{}
	for _, m := range c.machines.all() {
		machines[m.verdict.String()]++
	}
	return machines, c.detector.PartitionedZones()
}

// unreachable says whether a machine can't be counted on for work that waits: it is silent
// and not expected back before another one would be up.
func (c *Core) unreachable(m *machine) bool {
	if !m.registered || m.verdict == failuredomain.Reachable {
		return m.leaseExpired
	}
	f := c.detector.diagnose(c.now, m)
	return f.ExpectedSilence > config.Micro(usualBoot*m.machineType.BootS) || f.Verdict == failuredomain.Dead
}

// releaseUndispatched releases launches of a silent machine that were stored but never went with an
// answer to it. The proof is that launches take no other way, that only this
// leader would send these, and that it releases them before it handles another event.
func (c *Core) releaseUndispatched(m *machine) {
	m.eachPlacement(func(p *placement) {
		if p.durable && !p.dispatched && !p.observed && !p.recovered {
			c.release(p)
		}
	})
}
