// Package failuredomain detects failed machines and partitioned zones. From the silence of
// workers and controllers in each zone, and from the cloud's list of machines, it derives the
// most likely state of each silent machine, the evidence for it and the expected duration of
// the silence. The package does no I/O: observations and the time are parameters.
//
// Diagnoses decide when machines are returned to the cloud, which machines are rented in the meantime
// and where tasks are placed. They never release a placement: a task on a silent machine stays in the
// ledger until there is proof that the task no longer runs.
package failuredomain

import (
	"fmt"
	"maps"
	"slices"

	"dalefront/internal/config"
)

// Micros is time in whole microseconds.
type Micros = config.Micros

const second = config.Second

// Machine is an observation of a machine. All times are by the observer's clock.
type Machine struct {
	Zone               string
	ReportedToObserver bool   // the machine has sent a heartbeat to this observer
	LastHeard          Micros // when a controller last received the machine's heartbeat; 0 if unknown
	LastListedRunning  Micros // when the cloud's list last showed the machine as running; 0 if never
	ListedFailed       bool   // the cloud's list shows the machine as failed, or no longer shows it
}

// Controller is an observation of another controller of the site.
type Controller struct {
	Zone      string
	LastHeard Micros // when the controller last responded to the observer; 0 if never
}

// Params are the properties of the observer and of its deployment.
type Params struct {
	ObserverZone   string
	StartedAt      Micros // when the observer started; machines never heard from count as silent since then
	ReportInterval Micros // interval between a worker's heartbeats
	ListLag        Micros // how far the cloud's list lags behind the real state
}

const (
	// reportTimeout is the time after which a worker gives up waiting for the response to a heartbeat.
	// The protocol sets it to 4 s.
	reportTimeout = 4 * second
	// reportRetryDelay is the time from the timeout of a worker's heartbeat until the worker tries the
	// next controller. The protocol sets it to 1 s.
	reportRetryDelay = second
	// deathListingDelay is the time for which the cloud still lists a dead machine as running, about
	// 30 s.
	deathListingDelay = 30 * second
)

// silentSince returns when the machine's silence began: at its last heartbeat or, if there was none, at
// the start of the observer.
func (p *Params) silentSince(machine *Machine) Micros {
	if machine.LastHeard == 0 {
		return p.StartedAt
	}
	return machine.LastHeard
}

// SilenceThreshold returns the time without a heartbeat after which a machine counts as
// silent. It allows for the longest heartbeat interval and for one controller that did not respond.
func (p *Params) SilenceThreshold() Micros {
	return p.ReportInterval*5/4 + reportTimeout + reportRetryDelay + second
}

// zone holds the counts of a zone's last observation, and the state of its last partition. The counts
// start from zero in each observation. The state of the partition is kept.
type zone struct {
	machines, silent    int
	silentLastHeard     []Micros // when the silent machines were last heard
	controllers         int      // number of controllers in the zone, without the observer
	controllersHeard    int      // number of these controllers that responded recently
	controllerLastHeard Micros   // when any of the controllers last responded

	partitioned   bool
	silentSince   Micros // start of the last partition
	recoveredAt   Micros // when the last partition was found to have ended
	evidence      string
	leasesRenewed bool // a controller inside the partition renews the workers' leases
}

// resetCounts clears the counts before an observation.
func (z *zone) resetCounts() {
	*z = zone{
		silentLastHeard: z.silentLastHeard[:0],
		partitioned:     z.partitioned, silentSince: z.silentSince, recoveredAt: z.recoveredAt,
		evidence: z.evidence, leasesRenewed: z.leasesRenewed,
	}
}

// Detector diagnoses machines by the state of their zones and by the lengths of past silences.
type Detector struct {
	params           Params
	zones            map[string]*zone
	observerIsolated bool

	hangs, partitions  silenceLengths
	deaths, recoveries float64 // numbers of silent machines that proved dead and that recovered
}

// New returns a detector for a deployment.
func New(params Params) *Detector { return &Detector{params: params, zones: map[string]*zone{}} }

// SilenceThreshold returns the time without a heartbeat after which a machine counts as
// silent.
func (d *Detector) SilenceThreshold() Micros { return d.params.SilenceThreshold() }

const (
	// partitionedShare is the share of silent machines from which a zone counts as partitioned.
	// recoveredShare is the share below which the zone counts as recovered. Between the two shares
	// the zone's state does not change, so that it does not flap.
	partitionedShare = 0.8
	recoveredShare   = 0.5
	// isolatedShare is the share of silent machines from which the observer may be isolated.
	isolatedShare = 0.6
	// minZoneMachines is the minimum number of machines in a zone that can count as partitioned. It
	// is also the minimum number of silent machines with which the observer can count as isolated.
	minZoneMachines = 3
)

// ZoneChange is the beginning or the end of a zone's partition.
type ZoneChange struct {
	Zone          string
	Partitioned   bool
	Since         Micros // start of the partition
	Duration      Micros // length of the partition, if it has ended
	Evidence      string
	LeasesRenewed bool
}

// Update evaluates an observation of all machines that have ever sent a heartbeat, and of the other
// controllers. It returns the zones whose state changed.
func (d *Detector) Update(now Micros, machines []Machine, controllers []Controller) (changes []ZoneChange) {
	for _, z := range d.zones {
		z.resetCounts()
	}
	reporting, silent := d.countMachines(now, machines)
	d.countControllers(now, controllers)
	servingZones := 0
	for _, z := range d.zones {
		if z.machines > 0 && float64(z.silent) <= recoveredShare*float64(z.machines) {
			servingZones++
		}
	}
	// If no zone is reachable, the fault is more likely on the observer's side than in every
	// zone. Machines that never sent this observer a heartbeat are no evidence about its connections.
	d.observerIsolated = silent >= minZoneMachines && servingZones == 0 && float64(silent) >= isolatedShare*float64(reporting)
	for _, name := range slices.Sorted(maps.Keys(d.zones)) {
		z := d.zones[name]
		switch {
		case z.partitioned && z.hasRecovered():
			changes = append(changes, d.endPartition(now, name, z))
		case !z.partitioned && d.isPartitioned(name, z, servingZones):
			changes = append(changes, d.beginPartition(name, z))
		}
	}
	return changes
}

// zone returns the zone with a name, and creates it if it has not been observed before.
func (d *Detector) zone(name string) *zone {
	z := d.zones[name]
	if z == nil {
		z = &zone{}
		d.zones[name] = z
	}
	return z
}

// countMachines counts the machines and the silent machines of each zone. It returns how many
// machines of all zones have sent this observer a heartbeat, and how many of these are silent.
// Machines listed as failed are left out, since they are no evidence about their zone's network.
func (d *Detector) countMachines(now Micros, machines []Machine) (reporting, silent int) {
	threshold := d.params.SilenceThreshold()
	for i := range machines {
		machine := &machines[i]
		if machine.ListedFailed {
			continue
		}
		z := d.zone(machine.Zone)
		z.machines++
		if machine.ReportedToObserver {
			reporting++
		}
		if now-d.params.silentSince(machine) <= threshold {
			continue
		}
		z.silent++
		if machine.LastHeard > 0 {
			z.silentLastHeard = append(z.silentLastHeard, machine.LastHeard)
		}
		if machine.ReportedToObserver {
			silent++
		}
	}
	return reporting, silent
}

// countControllers counts the other controllers of each zone, and those that responded recently.
func (d *Detector) countControllers(now Micros, controllers []Controller) {
	threshold := d.params.SilenceThreshold() / 2
	for _, controller := range controllers {
		z := d.zone(controller.Zone)
		z.controllers++
		z.controllerLastHeard = max(z.controllerLastHeard, controller.LastHeard)
		if controller.LastHeard > 0 && now-controller.LastHeard <= threshold {
			z.controllersHeard++
		}
	}
}

// hasRecovered reports whether a partitioned zone can be reached again.
func (z *zone) hasRecovered() bool {
	return z.machines == 0 ||
		z.controllersHeard > 0 && z.silent < z.machines ||
		float64(z.silent) < recoveredShare*float64(z.machines)
}

// isPartitioned reports whether a zone can no longer be reached while other zones can. The
// observer's own zone never counts as partitioned.
func (d *Detector) isPartitioned(name string, z *zone, servingZones int) bool {
	return !d.observerIsolated && name != d.params.ObserverZone && servingZones > 0 &&
		z.machines >= minZoneMachines && z.controllersHeard == 0 &&
		float64(z.silent) >= partitionedShare*float64(z.machines)
}

func (d *Detector) beginPartition(name string, z *zone) ZoneChange {
	z.partitioned = true
	z.silentSince = d.zoneSilentSince(z)
	// Controllers that were up when the zone fell silent hold the leader's renewal token, with
	// which they renew the leases of the zone's workers.
	z.leasesRenewed = z.controllers > 0 && z.controllerLastHeard >= z.silentSince-d.params.SilenceThreshold()
	z.evidence = fmt.Sprintf("%d of %d machines silent, %d controllers inside, none reachable", z.silent, z.machines, z.controllers)
	return ZoneChange{Zone: name, Partitioned: true, Since: z.silentSince, Evidence: z.evidence, LeasesRenewed: z.leasesRenewed}
}

func (d *Detector) endPartition(now Micros, name string, z *zone) ZoneChange {
	z.partitioned, z.recoveredAt = false, now
	duration := now - z.silentSince
	d.partitions.add(now, duration)
	evidence := fmt.Sprintf("%d of %d machines reachable", z.machines-z.silent, z.machines)
	return ZoneChange{Zone: name, Since: z.silentSince, Duration: duration, Evidence: evidence, LeasesRenewed: z.leasesRenewed}
}

// zoneSilentSince estimates when a zone fell silent. The zone's machines were last heard at most one
// heartbeat interval before that time, and its controllers at most one second before. A delayed
// heartbeat may arrive long after it was sent, so the upper quartile of the times at which the silent
// machines were last heard is used, not the maximum.
func (d *Detector) zoneSilentSince(z *zone) Micros {
	since := z.controllerLastHeard
	if n := len(z.silentLastHeard); n > 0 {
		slices.Sort(z.silentLastHeard)
		since = max(since, z.silentLastHeard[n*3/4])
	}
	if since == 0 {
		return d.params.StartedAt
	}
	return since
}

// IsPartitioned reports whether the zone was partitioned at the last observation.
func (d *Detector) IsPartitioned(name string) bool {
	z := d.zones[name]
	return z != nil && z.partitioned
}

// PartitionedZones returns the number of zones that were partitioned at the last observation.
func (d *Detector) PartitionedZones() (count int) {
	for _, z := range d.zones {
		if z.partitioned {
			count++
		}
	}
	return count
}

// IsObserverIsolated reports whether so many machines were silent at the last observation that
// the fault is more likely on the observer's side.
func (d *Detector) IsObserverIsolated() bool { return d.observerIsolated }
