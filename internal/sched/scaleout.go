package sched

import (
	"maps"
	"math"
	"slices"

	"dalefront/internal/config"
	"dalefront/wire"
)

const (
	// machinesPerRequest bounds one rental request, so that a round spreads over zones and
	// kinds instead of finding out one by one which are empty. When hundreds of
	// machines are wanted it grows, so that a few rounds rent them.
	machinesPerRequest    = 6
	maxMachinesPerRequest = 50   // the protocol's limit
	maxRentalsPerRound    = 2000 // machines thought of in a round, of which the cloud's rate lets fewer through

	// requestsForAll is of how many requests a round consists that rents all that is wanted.
	requestsForAll = 16

	// minDemand is for how many waiting tasks of one job machines are rented at a time at a site of
	// up to so many machines. At a larger one it is a task for each machine, so that a large array
	// doesn't take more rounds of renting and booting there.
	minDemand = 2000

	// scaleOutDelay is how long a new leader waits to learn which machines there are.
	scaleOutDelay = 3 * second
)

// maxDemand is for how many waiting tasks of one job machines are rented at a time.
func (c *Core) maxDemand() int { return max(minDemand, c.machines.count()) }

// ScaleOut returns the rental requests that the waiting tasks and the spare room
// call for; at most a few at a time, and one round of requests at a time.
func (c *Core) ScaleOut(now Micros) []wire.ScaleOutRequest {
	c.now = now
	if now-c.termStart < scaleOutDelay || c.listedAt == 0 || c.cloud.isPending() {
		return nil
	}
	round := newScaleOutRound(c)
	waiting := c.waitingDemand()
	wanted := round.withStandby(slices.Concat(waiting, c.expectedDemand()))
	round.limitRequests(wanted)
	for i, d := range wanted {
		round.serve(newRoomSearch(d, i < len(waiting)))
	}
	return round.takeRequests()
}

// waitingDemand is what the tasks that wait need machines for, in the queue's order.
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
	// A task that takes estimate seconds counts for (estimate+reuseS)/(estimate+startS) of a place.
	reuseS = 5
	startS = 15
)

// concurrentTasks is how many of the job's waiting tasks should have a place at a time: those
// shorter than a boot can run one after another, and its team's limit bounds them.
func (j *job) concurrentTasks(tasks int) int {
	if estimate := float64(j.expectedRunTime()) / float64(second); estimate > 0 {
		tasks = int(math.Ceil(float64(tasks) * min(1, (estimate+reuseS)/(estimate+startS))))
	}
	for tasks > 0 && !j.team.withinLimit(float64(tasks)*j.spec.CPUs, float64(tasks)*j.spec.GPUs) {
		tasks--
	}
	return tasks
}

// plannedMachine is a machine that is there, boots, or is to be rented, with what is going to be
// used of it.
type plannedMachine struct {
	machineType *wire.MachineType
	zone        string
	spot        bool
	used        resourceUse
	toBeRented  bool
	unreachable bool // silent, and not expected back before another would be up
}

// scaleOutRound is the state of one call of ScaleOut.
type scaleOutRound struct {
	core     *Core
	types    []*wire.MachineType // by name
	machines []*plannedMachine   // but those without room for anything that is wanted
	smallest minimumRequest      // of all that is wanted
	known    int                 // machines that are there, boot, or are to be rented
	inZone   map[string]int      // machines by zone
	rented   int                 // machines thought of in this round

	perRequest int // machines that one request asks for at most
	requests   []*wire.ScaleOutRequest
	byKind     map[machineKind]*wire.ScaleOutRequest
	full       map[machineKind]bool // kinds of which no more are asked for in this round
}

// newScaleOutRound lists the machines that can be counted on.
func newScaleOutRound(c *Core) *scaleOutRound {
	r := &scaleOutRound{core: c, inZone: map[string]int{}, byKind: map[machineKind]*wire.ScaleOutRequest{}, full: map[machineKind]bool{}}
	for _, name := range slices.Sorted(maps.Keys(c.machineTypes)) {
		r.types = append(r.types, c.machineTypes[name])
	}
	for _, machine := range c.machines.all() {
		r.inZone[machine.zone]++
		if machine.failed || machine.scalingIn {
			continue
		}
		r.known++
		if machine.reclaimAt == 0 && !machine.quarantined && machine.cordon == nil && !c.isBootOverdue(machine) {
			r.machines = append(r.machines, c.plan(machine))
		}
	}
	return r
}

const (
	// overdueBoots and overdueDelay are after how many boot times, and how much beside, a machine
	// that has not come up isn't counted on.
	overdueBoots = 2
	overdueDelay = 10 * second
	// usualBoot is the part of its type's boot time in which another machine would be up at the
	// earliest.
	usualBoot = 0.8
)

// isBootOverdue says whether the machine should have come up long ago.
func (c *Core) isBootOverdue(m *machine) bool {
	return !m.registered && c.now-m.rentedAt > config.Micro(overdueBoots*m.machineType.BootS)+overdueDelay
}

// plan is what is going to be used of a machine: without the GPU tasks that end before another
// machine would be up.
func (c *Core) plan(m *machine) *plannedMachine {
	planned := &plannedMachine{machineType: m.machineType, zone: m.zone, spot: m.spot, used: m.used(), unreachable: c.unreachable(m)}
	m.eachPlacement(func(p *placement) {
		if p.job.spec.GPUs > 0 && c.endsWithin(p, config.Micro(usualBoot*m.machineType.BootS)) {
			planned.used.subtract(p.job.taskResources())
		}
	})
	return planned
}

// withStandby adds what the teams' guarantees call for beyond the machines there are and what is
// wanted anyway.
func (r *scaleOutRound) withStandby(wanted []demand) []demand {
	short := r.core.standbyDemand()
	if short <= 0 {
		return wanted
	}
	for _, machine := range r.machines {
		short -= r.core.serves(machine.machineType, machine.zone, machine.spot)
	}
	job := r.core.heaviestJob()
	if job == nil || short < job.spec.CPUs {
		return wanted
	}
	slots := 0
	for _, d := range wanted {
		slots += d.slots
	}
	if standby := int(short / job.spec.CPUs); standby > slots {
		wanted = append(wanted, demand{job, standby - slots})
	}
	return wanted
}

// limitRequests sets how many machines a request asks for, and leaves out the machines that have no
// room for even the least of what is wanted: they only get fuller. At a full site nearly all are,
// and each job would look at all of them.
func (r *scaleOutRound) limitRequests(wanted []demand) {
	cpus := 0.0
	r.smallest = emptyRequest()
	for _, d := range wanted {
		cpus += float64(d.slots) * d.job.spec.CPUs
		r.smallest.add(d.job)
	}
	r.perRequest = machinesPerRequest
	if smallest := r.core.machineTypes.smallestType(r.core.classes.sorted()); smallest > 0 {
		r.perRequest = min(maxMachinesPerRequest, max(machinesPerRequest, int(cpus/smallest/requestsForAll)))
	}
	r.dropFull()
}

// isFull says whether the machine has no room for anything that is wanted.
func (r *scaleOutRound) isFull(m *plannedMachine) bool {
	return !r.smallest.fits(m.machineType, m.used.cpus, m.used.mem)
}

// dropFull leaves out the machines that are full by now.
func (r *scaleOutRound) dropFull() { r.machines = slices.DeleteFunc(r.machines, r.isFull) }

// smallestType is the CPUs of the smallest machine type that some class can use, 0 if there is none.
func (cat catalog) smallestType(classes []*class) (cpus float64) {
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

// roomSearch looks for room for the tasks of one demand.
type roomSearch struct {
	job         *job
	left        int            // tasks without room yet
	zone        string         // the only one whose room helps, empty if any does
	tasksByZone map[string]int // of the job, those with room found included
	waits       bool           // the tasks wait; otherwise what is unreachable now will do for them
}

// newRoomSearch begins the search. Room in a zone that may take no more of a waiting job's tasks
// doesn't help it.
func newRoomSearch(d demand, waits bool) *roomSearch {
	search := &roomSearch{job: d.job, left: d.slots, tasksByZone: map[string]int{}, waits: waits}
	if waits && (d.job.spec.OneZone || d.job.spec.Spread) {
		search.tasksByZone = d.job.tasksByZone()
	}
	return search
}

// mayUse says whether tasks may go to a machine.
func (s *roomSearch) mayUse(m *plannedMachine) bool {
	spec := &s.job.spec
	if !satisfiesZones(s.job, s.tasksByZone, m.zone) || (m.unreachable && s.waits) || (s.zone != "" && m.zone != s.zone) {
		return false
	}
	return (!m.spot || spec.Spot) && fitsType(spec, m.machineType) && (spec.Zone == nil || *spec.Zone == m.zone)
}

// blocksGPUs says whether the machine is to be rented for GPU tasks, and these have none.
func (s *roomSearch) blocksGPUs(m *plannedMachine) bool {
	return m.toBeRented && m.machineType.GPUs > 0 && s.job.spec.GPUs == 0
}

// fill takes as much room of the machine as there is and tasks need.
func (s *roomSearch) fill(m *plannedMachine) {
	if s.left == 0 || !s.mayUse(m) {
		return
	}
	slots := min(s.left, slotsFor(s.job, m.machineType, m.used))
	if s.job.spec.Spread {
		slots = min(slots, s.job.zoneLimit()-s.tasksByZone[m.zone])
	}
	s.left -= slots
	s.tasksByZone[m.zone] += slots
	use, n := s.job.taskResources(), float64(slots)
	m.used.add(resourceUse{n * use.cpus, n * use.gpus, n * use.mem})
}

// fullShare is the part of the machines, one in so many, that must be full before it is worth making
// the list anew.
const fullShare = 8

// serve finds room for a demand on the machines there are, and rents what is missing.
func (r *scaleOutRound) serve(search *roomSearch) {
	if search.job.spec.OneZone && search.job.isGang() && search.left > 1 {
		search.zone = r.bestZone(search)
	}
	filled := 0
	for _, machine := range r.machines {
		if search.left == 0 {
			break
		}
		if !search.blocksGPUs(machine) {
			search.fill(machine)
		}
		if r.isFull(machine) {
			filled++
		}
	}
	if filled > len(r.machines)/fullShare {
		r.dropFull()
	}
	r.rent(search)
}

// zoneWithoutMachines is what counts against the room of a zone that may have no more machines.
const zoneWithoutMachines = 1 << 20

// bestZone is the zone that has most room for a gang, now or soon: it gets what is still missing, as
// machines spread over zones don't help the gang.
func (r *scaleOutRound) bestZone(search *roomSearch) (best string) {
	job, room := search.job, map[string]int{}
	for _, machine := range r.machines {
		if !machine.unreachable && (!machine.spot || job.spec.Spot) && fitsType(&job.spec, machine.machineType) && !search.blocksGPUs(machine) {
			room[machine.zone] += min(search.left, slotsFor(job, machine.machineType, machine.used))
		}
	}
	mostRoom := -1
	for _, zone := range r.candidateZones(job) {
		slots := room[zone]
		if slots < search.left && !r.canRent(job, zone) {
			slots -= zoneWithoutMachines
		}
		if best == "" || slots > mostRoom {
			best, mostRoom = zone, slots
		}
	}
	return best
}

// candidateZones lists, by name, the zones in which the job may have machines at all.
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

// canRent says whether the zone may have machines for the job, as far as known.
func (r *scaleOutRound) canRent(j *job, zone string) bool {
	_, _, ok := r.chooseKind(&roomSearch{job: j, left: 1, zone: zone})
	return ok
}

// rent asks for machines until all tasks have room.
func (r *scaleOutRound) rent(search *roomSearch) {
	for search.left > 0 && r.known < *r.core.settings.Operator.MaxMachines && r.rented < maxRentalsPerRound {
		machineType, kind, ok := r.chooseKind(search)
		if !ok {
			return
		}
		machine := &plannedMachine{machineType: machineType, zone: kind.zone, spot: kind.spot, toBeRented: true}
		r.machines = append(r.machines, machine)
		r.rented++
		r.known++
		before := search.left
		search.fill(machine)
		if search.left == before {
			return
		}
		r.request(kind)
	}
}

// request asks for one more machine of a kind.
func (r *scaleOutRound) request(kind machineKind) {
	request := r.byKind[kind]
	if request == nil {
		request = &wire.ScaleOutRequest{Type: kind.typeName, Zone: kind.zone, Spot: kind.spot}
		r.byKind[kind] = request
		r.requests = append(r.requests, request)
	}
	request.Count++
	if request.Count == r.perRequest {
		r.full[kind] = true // go on with the next kind
	}
}

// takeRequests returns as many requests as the cloud's rate lets through. What it refused before of
// the kinds that are asked for in full says nothing any more.
func (r *scaleOutRound) takeRequests() (requests []wire.ScaleOutRequest) {
	for kind := range r.full {
		r.core.cloud.forgetRefusal(kind)
	}
	limit := max(2, int(r.core.settings.Deployment.Cloud.RPS))
	for _, request := range r.requests[:min(limit, len(r.requests))] {
		r.core.cloud.requested(request)
		requests = append(requests, *request)
	}
	return requests
}

const (
	// acceptablePriceRatio is how many times the cheapest price per task may be paid for a job
	// whose start no objective watches.
	acceptablePriceRatio = 3
	// crowding is what each machine of a zone adds to the prices there, so that machines spread over
	// zones.
	crowding = 0.01
)

// chooseKind picks the kind of machine with the least price for a task of the job among those not
// lately refused.
func (r *scaleOutRound) chooseKind(search *roomSearch) (best *wire.MachineType, kind machineKind, ok bool) {
	job := search.job
	bestPrice := math.Inf(1)
	cheapest := r.cheapestPerTask(job)
	for _, machineType := range r.types {
		slots := slotsOnEmpty(job, machineType)
		if !fitsType(&job.spec, machineType) || min(search.left, slots) == 0 {
			continue
		}
		if len(job.class.waitObjectives) == 0 && machineType.Price/float64(slots) > acceptablePriceRatio*cheapest {
			continue
		}
		for _, candidate := range r.kindsOf(machineType, search) {
			price := hourlyRate(machineType, candidate.spot) / float64(min(search.left, slots)) * (1 + crowding*float64(r.inZone[candidate.zone]))
			if price < bestPrice {
				best, kind, bestPrice = machineType, candidate, price
			}
		}
	}
	return best, kind, best != nil
}

// cheapestPerTask is the least price per task of the types that fit the job.
func (r *scaleOutRound) cheapestPerTask(j *job) float64 {
	cheapest := math.Inf(1)
	for _, t := range r.types {
		if slots := slotsOnEmpty(j, t); slots > 0 && fitsType(&j.spec, t) && t.Price > 0 {
			cheapest = min(cheapest, t.Price/float64(slots))
		}
	}
	return cheapest
}

// kindsOf lists the kinds of a type that may be rented for the job, spot machines first. What is
// rented in a zone that is cut off can't be reached.
func (r *scaleOutRound) kindsOf(machineType *wire.MachineType, search *roomSearch) (kinds []machineKind) {
	c, spec := r.core, &search.job.spec
	for _, zone := range machineType.Zones {
		if (spec.Zone != nil && *spec.Zone != zone) || (search.zone != "" && zone != search.zone) || !satisfiesZones(search.job, search.tasksByZone, zone) {
			continue
		}
		if c.detector.IsPartitioned(zone) || !c.mayScaleOutIn(machineType.Name, zone) {
			continue
		}
		for _, spot := range []bool{true, false} {
			kind := machineKind{machineType.Name, zone, spot}
			if (!spot || spec.Spot) && !r.full[kind] && !c.cloud.isExhausted(kind, c.now) && hourlyRate(machineType, spot) > 0 {
				kinds = append(kinds, kind)
			}
		}
	}
	return kinds
}
