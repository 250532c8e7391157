// Package failuredomain is the failure-domain detector. From the silence of workers and
// controllers, by zone, and from the cloud's list of machines it diagnoses each silent
// machine: what has most likely become of it, with the evidence, and for how long the
// silence may be expected to last. It is pure: observations and the time are parameters.
//
// Diagnoses decide when machines are returned, what is rented meanwhile and where
// tasks are placed. They never free anything: what is on a silent machine stays in
// the ledger until there is proof that it is gone.
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

// Machine is what is known of a machine. Times are those of the observer's clock.
type Machine struct {
	Zone          string
	ReportedHere  bool   // it has reported under this observer
	LastHeard     Micros // when a heartbeat of it last reached a controller, 0 if nobody knows
	ListedRunning Micros // the latest moment of which the cloud's list shows it running, 0 if none
	ListedFailed  bool   // the list shows that it failed, or shows it no longer
}

// Controller is another controller of the site.
type Controller struct {
	Zone      string
	LastHeard Micros // when it last answered, 0 if it never did
}

// Params are the timings of a deployment, in microseconds.
type Params struct {
	ObserverZone   string
	StartedAt      Micros // when the observer started: the silence of machines that nobody heard counts from then
	ReportInterval Micros // of workers' heartbeats
	ListLag        Micros // of the cloud's list
}

// From the protocol: a worker gives a heartbeat up after 4 s and tries the next controller
// 1 s later; a machine that died stays listed as running for about another 30 s.
const (
	reportTimeout     = 4 * second
	reportRetryDelay  = second
	deathListingDelay = 30 * second
)

// silentSince returns from when on the machine's silence counts.
func (p *Params) silentSince(machine *Machine) Micros {
	if machine.LastHeard == 0 {
		return p.StartedAt
	}
	return machine.LastHeard
}

// SilenceThreshold returns for how long a machine has to be unheard before it counts as
// silent: the longest report interval, and one controller that did not answer.
func (p *Params) SilenceThreshold() Micros {
	return p.ReportInterval*5/4 + reportTimeout + reportRetryDelay + second
}

// zone is what is known of a zone: counts of the last observation, and whether it is
// partitioned, which lasts from one observation to the next.
type zone struct {
	machines, silent    int
	silentLastHeard     []Micros // when the silent machines were last heard
	controllers         int      // other controllers in it
	controllersHeard    int      // of these, heard lately
	controllerLastHeard Micros   // when one of them was last heard

	partitioned   bool
	silentSince   Micros // of the last partition
	recoveredAt   Micros // when the last partition was found to have ended
	evidence      string
	leasesRenewed bool // a controller inside the partition renews the leases of its workers
}

// resetCounts prepares the zone for an observation.
func (z *zone) resetCounts() {
	*z = zone{
		silentLastHeard: z.silentLastHeard[:0],
		partitioned:     z.partitioned, silentSince: z.silentSince, recoveredAt: z.recoveredAt,
		evidence: z.evidence, leasesRenewed: z.leasesRenewed,
	}
}

// Detector remembers what it has observed of zones and of past silences.
type Detector struct {
	params           Params
	zones            map[string]*zone
	observerIsolated bool

	hangs, partitions  silenceLengths
	deaths, recoveries float64 // silent machines that turned out dead, and that recovered
}

// New returns a detector for a deployment.
func New(params Params) *Detector { return &Detector{params: params, zones: map[string]*zone{}} }

// SilenceThreshold returns for how long a machine has to be unheard before it counts as
// silent.
func (d *Detector) SilenceThreshold() Micros { return d.params.SilenceThreshold() }

// From these shares of silent machines on a zone counts as partitioned, and as serving
// again. In between the last finding stands, so that it doesn't flap.
const (
	partitionedShare = 0.8
	recoveredShare   = 0.5
	isolatedShare    = 0.6
	minZoneMachines  = 3 // to say anything of a zone, or of the observer
)

// ZoneChange says that a zone was found to be partitioned, or to have recovered.
type ZoneChange struct {
	Zone          string
	Partitioned   bool
	Since         Micros
	Duration      Micros // of a partition that ended
	Evidence      string
	LeasesRenewed bool
}

// Update takes an observation of all machines that have ever reported, and of the other
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
	// Where no zone is serving nothing sets one apart: then the fault is more likely
	// on this side. Machines that this observer has never heard say nothing about its own
	// connections.
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

// zone returns a zone by its name, a new one if it was never observed.
func (d *Detector) zone(name string) *zone {
	z := d.zones[name]
	if z == nil {
		z = &zone{}
		d.zones[name] = z
	}
	return z
}

// countMachines counts the machines of each zone, and of all zones those that have reported
// under this observer and how many of these are silent. Failed machines don't count: they
// say nothing about their zone's network.
func (d *Detector) countMachines(now Micros, machines []Machine) (reporting, silent int) {
	threshold := d.params.SilenceThreshold()
	for i := range machines {
		machine := &machines[i]
		if machine.ListedFailed {
			continue
		}
		z := d.zone(machine.Zone)
		z.machines++
		if machine.ReportedHere {
			reporting++
		}
		if now-d.params.silentSince(machine) <= threshold {
			continue
		}
		z.silent++
		if machine.LastHeard > 0 {
			z.silentLastHeard = append(z.silentLastHeard, machine.LastHeard)
		}
		if machine.ReportedHere {
			silent++
		}
	}
	return reporting, silent
}

// countControllers counts the other controllers of each zone.
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

// isPartitioned reports whether a zone can't be reached any more, while other zones can. The
// observer's own zone never counts as partitioned.
func (d *Detector) isPartitioned(name string, z *zone, servingZones int) bool {
	return !d.observerIsolated && name != d.params.ObserverZone && servingZones > 0 &&
		z.machines >= minZoneMachines && z.controllersHeard == 0 &&
		float64(z.silent) >= partitionedShare*float64(z.machines)
}

func (d *Detector) beginPartition(name string, z *zone) ZoneChange {
	z.partitioned = true
	z.silentSince = d.zoneSilentSince(z)
	// Its controllers hold the leader's renewal token if they were there when it fell
	// silent; with it they renew its workers' leases.
	z.leasesRenewed = z.controllers > 0 && z.controllerLastHeard >= z.silentSince-d.params.SilenceThreshold()
	z.evidence = fmt.Sprintf("%d of %d machines silent, %d controllers inside, none heard", z.silent, z.machines, z.controllers)
	return ZoneChange{Zone: name, Partitioned: true, Since: z.silentSince, Evidence: z.evidence, LeasesRenewed: z.leasesRenewed}
}

func (d *Detector) endPartition(now Micros, name string, z *zone) ZoneChange {
	z.partitioned, z.recoveredAt = false, now
	duration := now - z.silentSince
	d.partitions.add(now, duration)
	evidence := fmt.Sprintf("%d of %d machines heard", z.machines-z.silent, z.machines)
	return ZoneChange{Zone: name, Since: z.silentSince, Duration: duration, Evidence: evidence, LeasesRenewed: z.leasesRenewed}
}

// zoneSilentSince returns when a zone fell silent: its machines were last heard within a
// report interval before that, and its controllers within a second. A heartbeat that was
// held back may come much later than it was sent, so the latest of them does not tell.
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

// IsPartitioned reports whether the zone is found to be partitioned.
func (d *Detector) IsPartitioned(name string) bool {
	z := d.zones[name]
	return z != nil && z.partitioned
}

// PartitionedZones returns how many zones are found to be partitioned.
func (d *Detector) PartitionedZones() (count int) {
	for _, z := range d.zones {
		if z.partitioned {
			count++
		}
	}
	return count
}

// IsObserverIsolated reports whether so much is silent that the fault is more likely on the
// observer's side.
func (d *Detector) IsObserverIsolated() bool { return d.observerIsolated }
