package sched

import (
	"maps"
	"math"
	"slices"

	"dalefront/internal/config"
	"dalefront/wire"
)

const (
	// machinesPerRequest is the highest number of machines in one rental request. The limit makes a call of
	// ScaleOut rent in several zones and of several machine kinds. Without the limit, a call would find out
	// for only one kind whether the cloud has any machines left. When hundreds of machines are wanted, the
	// limit grows up to maxMachinesPerRequest, so that a few calls rent all of the machines.
	machinesPerRequest    = 6
	maxMachinesPerRequest = 50   // the protocol's limit of machines in one request
	maxRentalsPerRound    = 2000 // rentals planned in one call; the cloud's rate limit allows fewer

	// targetRequestsPerRound is the number of requests into which the rental of all wanted capacity is
	// divided.
	targetRequestsPerRound = 16

	// minDemand bounds the number of waiting tasks of one job for which machines are rented at a time, at a
	// site of up to minDemand machines. At a larger site, the bound is the number of the site's machines.
	// Otherwise a large array would need more rounds of renting and booting at a larger site.
	minDemand = 2000

	// scaleOutDelay is the time that a new leader waits before it rents, to learn which machines exist.
	scaleOutDelay = 3 * second
)

// maxDemand returns the highest number of waiting tasks of one job for which machines are rented at a time.
func (c *Core) maxDemand() int { return max(minDemand, c.machines.count()) }

// ScaleOut returns the rental requests for the waiting tasks and for the spare capacity. It returns no
// requests while requests of an earlier call are unanswered. It returns at most as many requests as the
// cloud's rate limit allows.
func (c *Core) ScaleOut(now Micros) []wire.ScaleOutRequest {
	c.now = now
	if now-c.termStart < scaleOutDelay || c.listedAt == 0 || c.cloud.isPending() {
		return nil
	}
	round := newScaleOutRound(c)
	waiting := c.waitingDemand()
	wanted := round.addQuotaReserve(slices.Concat(waiting, c.expectedDemand()))
	round.limitRequests(wanted)
	for i, d := range wanted {
		round.satisfy(newCapacitySearch(d, i < len(waiting)))
	}
	return round.takeRequests()
}

// waitingDemand returns the demand of the waiting tasks, in queue order.
func (c *Core) waitingDemand() (waiting []demand) {
	limit := c.maxDemand()
	for _, j := range c.queue() {
		tasks := min(j.pendingCount(), c.concurrencyLimit(j))
		if !c.mayScaleOutFor(j) {
			continue
		}
		if !j.isGang() {
			tasks = j.concurrentTasks(tasks)
		}
		waiting = append(waiting, demand{j, min(tasks, limit)})
	}
	return waiting
}

const (
	// slotReuseS and machineStartS are times in seconds. They define how many slots are wanted for a waiting
	// task: (t+slotReuseS)/(t+machineStartS) slots, at most 1, where t is its expected run time in seconds. A
	// slot is capacity for one task of the job.
	slotReuseS    = 5
	machineStartS = 15
)

// concurrentTasks returns how many of the job's waiting tasks should run at the same time, each in a slot of
// its own. Tasks that run for less time than a boot takes can run one after another in the same slot. The
// result is at most the number of tasks that the team's limit allows.
func (j *job) concurrentTasks(tasks int) int {
	if estimate := float64(j.expectedRunTime()) / float64(second); estimate > 0 {
		tasks = int(math.Ceil(float64(tasks) * min(1, (estimate+slotReuseS)/(estimate+machineStartS))))
	}
	for tasks > 0 && !j.team.withinLimit(float64(tasks)*j.spec.CPUs, float64(tasks)*j.spec.GPUs) {
		tasks--
	}
	return tasks
}

// plannedMachine is a machine that exists, boots, or is to be rented, together with its expected usage.
type plannedMachine struct {
	machineType *wire.MachineType
	zone        string
	spot        bool
	used        resourceUse
	toBeRented  bool
	unreachable bool // the machine is silent and not expected back before a replacement would be up
}

// scaleOutRound is the state of one call of ScaleOut.
type scaleOutRound struct {
	core           *Core
	types          []*wire.MachineType // ordered by name
	machines       []*plannedMachine   // machines that may have free capacity for some demand
	smallest       minimumRequest      // smallest resource request of all demands
	machineCount   int                 // machines that exist, boot, or are to be rented
	machinesByZone map[string]int
	plannedRentals int // number of machines that this round plans to rent

	maxPerRequest  int // highest number of machines in one request
	requests       []*wire.ScaleOutRequest
	requestByKind  map[machineKind]*wire.ScaleOutRequest
	atRequestLimit map[machineKind]bool // kinds whose request has reached maxPerRequest
}

// newScaleOutRound returns a round with the machines that are expected to provide capacity. It leaves out, for
// example, quarantined machines and machines that should have booted long ago.
func newScaleOutRound(c *Core) *scaleOutRound {
	r := &scaleOutRound{core: c, machinesByZone: map[string]int{}, requestByKind: map[machineKind]*wire.ScaleOutRequest{}, atRequestLimit: map[machineKind]bool{}}
	for _, name := range slices.Sorted(maps.Keys(c.machineTypes)) {
		r.types = append(r.types, c.machineTypes[name])
	}
	for _, machine := range c.machines.all() {
		r.machinesByZone[machine.zone]++
		if machine.failed || machine.scalingIn {
			continue
		}
		r.machineCount++
		if machine.reclaimAt == 0 && !machine.quarantined && machine.cordon == nil && !c.isBootOverdue(machine) {
			r.machines = append(r.machines, c.newPlannedMachine(machine))
		}
	}
	return r
}

const (
	// overdueBootFactor and overdueBootMargin define the time after which a booting machine is no longer
	// expected to provide capacity. This time is the boot time of the machine's type, multiplied by the
	// factor, plus the margin.
	overdueBootFactor = 2
	overdueBootMargin = 10 * second
	// replacementBootFactor, multiplied by the boot time of a machine type, is the shortest time in which a
	// replacement machine of the type is expected to boot.
	replacementBootFactor = 0.8
)

// isBootOverdue reports whether the machine has not come up within the time that overdueBootFactor and
// overdueBootMargin define.
func (c *Core) isBootOverdue(m *machine) bool {
	return !m.registered && c.now-m.rentedAt > config.Micro(overdueBootFactor*m.machineType.BootS)+overdueBootMargin
}

// newPlannedMachine returns a machine with its expected usage. The expected usage leaves out GPU tasks that
// are expected to end before a new machine would be up.
func (c *Core) newPlannedMachine(m *machine) *plannedMachine {
	planned := &plannedMachine{machineType: m.machineType, zone: m.zone, spot: m.spot, used: m.used(), unreachable: c.isUnreachable(m)}
	m.eachPlacement(func(p *placement) {
		if p.job.spec.GPUs > 0 && c.endsWithin(p, config.Micro(replacementBootFactor*m.machineType.BootS)) {
			planned.used.subtract(p.job.taskResources())
		}
	})
	return planned
}

// addQuotaReserve appends the demand for the teams' guaranteed quotas that neither the existing machines nor
// the other demands cover.
func (r *scaleOutRound) addQuotaReserve(wanted []demand) []demand {
	missingCPUs := r.core.quotaReserveCPUs()
	if missingCPUs <= 0 {
		return wanted
	}
	for _, machine := range r.machines {
		missingCPUs -= r.core.usableCPUs(machine.machineType, machine.zone, machine.spot)
	}
	job := r.core.heaviestJob()
	if job == nil || missingCPUs < job.spec.CPUs {
		return wanted
	}
	slots := 0
	for _, d := range wanted {
		slots += d.slots
	}
	if reserve := int(missingCPUs / job.spec.CPUs); reserve > slots {
		wanted = append(wanted, demand{job, reserve - slots})
	}
	return wanted
}

// limitRequests sets the highest number of machines per request. It also drops the machines that have no
// capacity for even the smallest demand, since machines only get fuller during a round. At a full site, these
// are nearly all machines. If the full machines were kept, they would be examined again for every job.
func (r *scaleOutRound) limitRequests(wanted []demand) {
	cpus := 0.0
	r.smallest = newMinimumRequest()
	for _, d := range wanted {
		cpus += float64(d.slots) * d.job.spec.CPUs
		r.smallest.add(d.job)
	}
	r.maxPerRequest = machinesPerRequest
	if smallest := r.core.machineTypes.smallestTypeCPUs(r.core.classes.sorted()); smallest > 0 {
		r.maxPerRequest = min(maxMachinesPerRequest, max(machinesPerRequest, int(cpus/smallest/targetRequestsPerRound)))
	}
	r.dropFull()
}

// isFull reports whether the machine has no capacity for any demand.
func (r *scaleOutRound) isFull(m *plannedMachine) bool {
	return !r.smallest.fits(m.machineType, m.used.cpus, m.used.memoryGB)
}

// dropFull removes the machines that have no capacity for any demand.
func (r *scaleOutRound) dropFull() { r.machines = slices.DeleteFunc(r.machines, r.isFull) }

// smallestTypeCPUs returns the CPUs of the smallest machine type that some class can use, or 0 if there is
// none.
func (cat catalog) smallestTypeCPUs(classes []*class) (cpus float64) {
	for _, cl := range classes {
		if cl.sampleJob == nil {
			continue
		}
		for _, t := range cat {
			if fitsType(&cl.sampleJob.spec, t) && (cpus == 0 || t.CPUs < cpus) {
				cpus = t.CPUs
			}
		}
	}
	return cpus
}

// capacitySearch assigns the tasks of one demand to planned machines.
type capacitySearch struct {
	job         *job
	remaining   int            // number of tasks that are not assigned to a machine yet
	zone        string         // the only zone that is searched, or empty for all zones
	tasksByZone map[string]int // number of the job's tasks by zone, including tasks assigned by the search
	waiting     bool           // the tasks wait now; only expected tasks may use unreachable machines
}

// newCapacitySearch returns a search for the demand. For a waiting job with a zone constraint, the search also
// counts the job's present tasks in each zone. A zone that may take no more tasks of the job doesn't help the
// job, whatever capacity the zone has.
func newCapacitySearch(d demand, waiting bool) *capacitySearch {
	search := &capacitySearch{job: d.job, remaining: d.slots, tasksByZone: map[string]int{}, waiting: waiting}
	if waiting && (d.job.spec.OneZone || d.job.spec.Spread) {
		search.tasksByZone = d.job.tasksByZone()
	}
	return search
}

// canUse reports whether tasks of the job may run on the machine.
func (s *capacitySearch) canUse(m *plannedMachine) bool {
	spec := &s.job.spec
	if !satisfiesZoneConstraints(s.job, s.tasksByZone, m.zone) || (m.unreachable && s.waiting) || (s.zone != "" && m.zone != s.zone) {
		return false
	}
	return (!m.spot || spec.Spot) && fitsType(spec, m.machineType) && (spec.Zone == nil || *spec.Zone == m.zone)
}

// blocksGPUs reports whether tasks without GPUs would take capacity of a machine that is to be rented for its
// GPUs.
func (s *capacitySearch) blocksGPUs(m *plannedMachine) bool {
	return m.toBeRented && m.machineType.GPUs > 0 && s.job.spec.GPUs == 0
}

// fill assigns remaining tasks to the machine's free capacity.
func (s *capacitySearch) fill(m *plannedMachine) {
	if s.remaining == 0 || !s.canUse(m) {
		return
	}
	slots := min(s.remaining, slotsFor(s.job, m.machineType, m.used))
	if s.job.spec.Spread {
		slots = min(slots, s.job.zoneLimit()-s.tasksByZone[m.zone])
	}
	s.remaining -= slots
	s.tasksByZone[m.zone] += slots
	use, n := s.job.taskResources(), float64(slots)
	m.used.add(resourceUse{n * use.cpus, n * use.gpus, n * use.memoryGB})
}

// dropFullDivisor defines when full machines are dropped from a round's list of machines: when they are more
// than the fraction 1/dropFullDivisor of the list. Rebuilding the list for fewer full machines costs more than
// it saves.
const dropFullDivisor = 8

// satisfy assigns a demand to the existing and planned machines, and rents machines for the rest.
func (r *scaleOutRound) satisfy(search *capacitySearch) {
	if search.job.spec.OneZone && search.job.isGang() && search.remaining > 1 {
		search.zone = r.bestZone(search)
	}
	full := 0
	for _, machine := range r.machines {
		if search.remaining == 0 {
			break
		}
		if !search.blocksGPUs(machine) {
			search.fill(machine)
		}
		if r.isFull(machine) {
			full++
		}
	}
	if full > len(r.machines)/dropFullDivisor {
		r.dropFull()
	}
	r.rent(search)
}

// unrentableZonePenalty is subtracted from a zone's number of slots if the zone lacks capacity for the gang
// and no more machines can be rented there. It makes such a zone rank behind all other zones.
const unrentableZonePenalty = 1 << 20

// bestZone returns the zone where the most tasks of a gang fit on existing and planned machines. All missing
// machines are rented in this zone, since machines spread over zones don't help a gang that needs one zone.
func (r *scaleOutRound) bestZone(search *capacitySearch) (best string) {
	job, slotsByZone := search.job, map[string]int{}
	for _, machine := range r.machines {
		if !machine.unreachable && (!machine.spot || job.spec.Spot) && fitsType(&job.spec, machine.machineType) && !search.blocksGPUs(machine) {
			slotsByZone[machine.zone] += min(search.remaining, slotsFor(job, machine.machineType, machine.used))
		}
	}
	mostSlots := -1
	for _, zone := range r.candidateZones(job) {
		slots := slotsByZone[zone]
		if slots < search.remaining && !r.canRent(job, zone) {
			slots -= unrentableZonePenalty
		}
		if best == "" || slots > mostSlots {
			best, mostSlots = zone, slots
		}
	}
	return best
}

// candidateZones returns the zones, sorted by name, in which machines for the job may exist.
func (r *scaleOutRound) candidateZones(j *job) (zones []string) {
	for _, t := range r.types {
		if !fitsType(&j.spec, t) {
			continue
		}
		for _, zone := range t.Zones {
			if j.spec.Zone == nil || *j.spec.Zone == zone {
				zones = append(zones, zone)
			}
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// canRent reports whether, as far as known, machines for the job can be rented in the zone.
func (r *scaleOutRound) canRent(j *job, zone string) bool {
	_, _, ok := r.chooseKind(&capacitySearch{job: j, remaining: 1, zone: zone})
	return ok
}

// rent plans rentals until there is capacity for all remaining tasks or no more machines may be rented.
func (r *scaleOutRound) rent(search *capacitySearch) {
	for search.remaining > 0 && r.machineCount < *r.core.settings.Operator.MaxMachines && r.plannedRentals < maxRentalsPerRound {
		machineType, kind, ok := r.chooseKind(search)
		if !ok {
			return
		}
		machine := &plannedMachine{machineType: machineType, zone: kind.zone, spot: kind.spot, toBeRented: true}
		r.machines = append(r.machines, machine)
		r.plannedRentals++
		r.machineCount++
		remaining := search.remaining
		search.fill(machine)
		if search.remaining == remaining {
			return
		}
		r.requestMachine(kind)
	}
}

// requestMachine adds one machine of the kind to the round's requests.
func (r *scaleOutRound) requestMachine(kind machineKind) {
	request := r.requestByKind[kind]
	if request == nil {
		request = &wire.ScaleOutRequest{Type: kind.typeName, Zone: kind.zone, Spot: kind.spot}
		r.requestByKind[kind] = request
		r.requests = append(r.requests, request)
	}
	request.Count++
	if request.Count == r.maxPerRequest {
		r.atRequestLimit[kind] = true // further machines are rented of another kind
	}
}

// takeRequests returns as many requests as the cloud's rate limit allows. For the machine kinds whose request
// has reached maxPerRequest, it forgets that the cloud refused earlier requests, since these refusals are
// outdated.
func (r *scaleOutRound) takeRequests() (requests []wire.ScaleOutRequest) {
	for kind := range r.atRequestLimit {
		r.core.cloud.forgetRefusal(kind)
	}
	limit := max(2, int(r.core.settings.Deployment.Cloud.RPS))
	for _, request := range r.requests[:min(limit, len(r.requests))] {
		r.core.cloud.recordRequest(request)
		requests = append(requests, *request)
	}
	return requests
}

const (
	// maxPriceRatio limits the price per task on a machine type for a job of a class without a wait objective.
	// The limit is a multiple of the price per task on the cheapest type.
	maxPriceRatio = 3
	// zoneSpreadPenalty is the fraction by which a zone's prices are raised in the comparison for each machine
	// that the zone already has. It makes machines spread over zones.
	zoneSpreadPenalty = 0.01
)

// chooseKind returns the machine kind with the lowest price per task of the job, among the kinds that the
// cloud did not refuse recently.
func (r *scaleOutRound) chooseKind(search *capacitySearch) (best *wire.MachineType, kind machineKind, ok bool) {
	job := search.job
	bestPrice := math.Inf(1)
	cheapest := r.cheapestPerTask(job)
	for _, machineType := range r.types {
		slots := slotsOnEmpty(job, machineType)
		if !fitsType(&job.spec, machineType) || min(search.remaining, slots) == 0 {
			continue
		}
		if len(job.class.waitObjectives) == 0 && machineType.Price/float64(slots) > maxPriceRatio*cheapest {
			continue
		}
		for _, candidate := range r.rentableKinds(machineType, search) {
			price := hourlyRate(machineType, candidate.spot) / float64(min(search.remaining, slots)) * (1 + zoneSpreadPenalty*float64(r.machinesByZone[candidate.zone]))
			if price < bestPrice {
				best, kind, bestPrice = machineType, candidate, price
			}
		}
	}
	return best, kind, best != nil
}

// cheapestPerTask returns the lowest on-demand price per task among the types that fit the job.
func (r *scaleOutRound) cheapestPerTask(j *job) float64 {
	cheapest := math.Inf(1)
	for _, t := range r.types {
		if slots := slotsOnEmpty(j, t); slots > 0 && fitsType(&j.spec, t) && t.Price > 0 {
			cheapest = min(cheapest, t.Price/float64(slots))
		}
	}
	return cheapest
}

// rentableKinds returns the kinds of a type that may be rented for the job, spot machines first in each zone.
// Partitioned zones are left out, since machines rented there can't be reached.
func (r *scaleOutRound) rentableKinds(machineType *wire.MachineType, search *capacitySearch) (kinds []machineKind) {
	c, spec := r.core, &search.job.spec
	for _, zone := range machineType.Zones {
		if (spec.Zone != nil && *spec.Zone != zone) || (search.zone != "" && zone != search.zone) || !satisfiesZoneConstraints(search.job, search.tasksByZone, zone) {
			continue
		}
		if c.detector.IsPartitioned(zone) || !c.mayScaleOutIn(machineType.Name, zone) {
			continue
		}
		for _, spot := range []bool{true, false} {
			kind := machineKind{machineType.Name, zone, spot}
			if (!spot || spec.Spot) && !r.atRequestLimit[kind] && !c.cloud.isExhausted(kind, c.now) && hourlyRate(machineType, spot) > 0 {
				kinds = append(kinds, kind)
			}
		}
	}
	return kinds
}
