package sched

import (
	"cmp"
	"slices"
)

const (
	// worthWaiting is how long a gang rather waits for a machine than preempts. Longer
	// waits come to nothing: while it waits, small tasks fill what has become free.
	worthWaiting = 3 * second

	// gangPlanInterval is how often it is decided anew which machines are reserved for gangs.
	gangPlanInterval = second

	// gangClearedShare is the part of the machines, one in so many, that may be cleared for a gang.
	gangClearedShare = 2

	// reservationSlack is how long after the expected start of its gang a reservation ends.
	reservationSlack = 5 * second

	// minGangCandidates is how many gangs may each look at all machines in a pass at any size of site.
	minGangCandidates = 8
)

// maxGangCandidates is how many gangs may each look at all machines in a pass.
func (ps *pass) maxGangCandidates() int {
	return max(minGangCandidates, maxMachineVisits/max(1, len(ps.schedulable)))
}

// gangPlan decides which machines are reserved for gangs. Machines are named by their index among
// the schedulable ones.
type gangPlan struct {
	pass     *pass
	waited   map[string]bool // zones in which a gang waits for machines
	reserved map[*job][]int  // machines that were reserved for a job that waits for them
	offers   map[offerKind]*gangOffers
	changes  []offerChange
}

// offerChange is what a preemption did to a machine.
type offerChange struct {
	machine  int
	costlier bool // only that a task on it has become costlier; otherwise tasks are stopped
}

// planGangs decides anew, now and then, which machines are reserved for the gangs that
// lack room: first come, first served, but those that can still meet an objective come
// first. In each zone only one gang at a time reserves machines that it has to wait
// for; the others start when they fit.
func (ps *pass) planGangs(gangs []*job) {
	core := ps.core
	if core.now-core.gangsPlannedAt < gangPlanInterval {
		return
	}
	core.gangsPlannedAt = core.now
	if len(gangs) == 0 {
		return
	}
	ps.sortForPlan(gangs)
	plan := &gangPlan{pass: ps, waited: map[string]bool{}, reserved: map[*job][]int{}, offers: map[offerKind]*gangOffers{}}
	for i, machine := range ps.schedulable {
		if machine.isWaitedFor() {
			plan.reserved[machine.reservedFor] = append(plan.reserved[machine.reservedFor], i)
		}
	}
	for _, gang := range gangs[:min(len(gangs), ps.maxGangCandidates())] {
		plan.makeRoom(gang)
	}
}

// sortForPlan puts the gangs into the order in which machines are reserved for them.
func (ps *pass) sortForPlan(gangs []*job) {
	late := make(map[*job]bool, len(gangs))
	for _, gang := range gangs {
		_, late[gang] = gang.latestStart(ps.core.now, 0)
	}
	slices.SortStableFunc(gangs, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(b.rank, a.rank),
			compareBool(b.withinGuarantee, a.withinGuarantee),
			compareBool(b.underserved(), a.underserved()),
			compareBool(late[a], late[b]),
			cmp.Compare(a.pendingCount(), b.pendingCount()),
			cmp.Compare(a.arrival, b.arrival),
		)
	})
}

// isAwaitingReplan says whether the machine is reserved for a gang that waits for it, and
// that has not been looked at in this plan: one that is served before may have it.
// Until then the machine stays reserved, or small tasks would take it in between.
func (ps *pass) isAwaitingReplan(m *machine) bool {
	return m.isWaitedFor() && m.reservationCheckedAt < ps.core.gangsPlannedAt
}

// makeRoom finds the machines on which a waiting gang could start with the least cost, in one
// zone if it must, and reserves them for it: those with room, those where tasks end soon, and
// those where the paper's rule finds victims. Without that a large gang waits for ever for
// machines that small tasks keep filling. Two gangs never hold part of what the other needs:
// what is reserved for one isn't looked at for the next.
func (gp *gangPlan) makeRoom(gang *job) {
	for _, i := range gp.reserved[gang] {
		if machine := gp.pass.schedulable[i]; machine.isReservedFor(gang) && machine.isWaitedFor() {
			machine.endReservation() // chosen anew
		}
	}
	best := gp.cheapestZone(gang)
	if best == nil {
		return
	}
	if best.start > worthWaiting {
		gp.waited[best.zone] = true
	}
	// Soft point: a guest's huge job would preempt almost everything.
	if best.cleared > max(1, len(gp.pass.schedulable)/gangClearedShare) {
		return
	}
	for i := range best.options {
		gp.reserve(gang, &best.options[i], best.start)
	}
}

// reserve reserves one of the machines on which a gang is to start, and clears it if the others are
// there: before, the room would stand idle, or be filled by others and be cleared once more.
func (gp *gangPlan) reserve(gang *job, option *startOption, start Micros) {
	m, now := option.machine, gp.pass.core.now
	if len(option.victims) > 0 && start <= worthWaiting {
		gp.recordPreemption(option.victims)
		gp.pass.preempt(gang, m, option.victims)
		return
	}
	if m.isClearedFor(gang) && now < m.reservedUntil {
		return // cleared for it
	}
	m.reserveWaiting(gang, now+max(start, 1), now+start+reservationSlack, now)
}

// zonePlan is how a gang can start in a zone.
type zonePlan struct {
	zone    string
	options []startOption
	slots   int
	cleared int    // machines that would be cleared
	start   Micros // when the last machine has room
	cost    Micros
}

// cheapestZone returns the best plan for the gang, nil if it can't start anywhere.
func (gp *gangPlan) cheapestZone(gang *job) (best *zonePlan) {
	missing := gang.pendingCount()
	offers := gp.offersFor(gang)
	tasksByZone := gang.tasksByZone()
	for _, zone := range gp.zonesWorthLooking(offers, missing) {
		plan := gp.planIn(zone, gang, missing, tasksByZone, offers)
		if plan.slots < missing || (gp.waited[zone] && plan.start > worthWaiting) {
			continue
		}
		if best == nil || plan.cost < best.cost {
			best = plan
		}
	}
	return best
}

// zonesWorthLooking lists, by name, the zones that can have room for the missing tasks, whatever
// images their machines have.
func (gp *gangPlan) zonesWorthLooking(offers *gangOffers, missing int) []string {
	zones := make([]string, 0, len(offers.zones))
	for zone := range offers.zones {
		if offers.slots[zone] >= missing && (!gp.waited[zone] || offers.quickSlots[zone] >= missing) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// planIn takes the first options of a zone until all missing tasks have a place. Small gangs go where
// few machines are left for them, and leave the zones with many to large ones.
func (gp *gangPlan) planIn(zone string, gang *job, missing int, tasksByZone map[string]int, offers *gangOffers) *zonePlan {
	options, quickSlots := gp.optionsIn(zone, gang, missing, tasksByZone, offers)
	plan := &zonePlan{zone: zone}
	taken := 0
	for ; taken < len(options) && plan.slots < missing; taken++ {
		option := &options[taken]
		plan.slots += option.slots
		plan.start = max(plan.start, option.wait)
		if len(option.victims) > 0 {
			plan.cleared++
			plan.cost += option.cost
		}
		if option.wait <= worthWaiting {
			quickSlots -= option.slots
		}
	}
	plan.options = options[:taken]
	plan.cost += plan.start * Micros(missing)
	plan.cost += Micros(quickSlots) * second
	return plan
}

// optionsIn lists the first options in a zone that may be needed for the missing tasks, best first, and
// how many slots all options there have that are not worth preempting for. Where an option's victims have
// become costlier since it was looked at, it is looked at again only if it would be among the first:
// most would not.
func (gp *gangPlan) optionsIn(zone string, gang *job, missing int, tasksByZone map[string]int, offers *gangOffers) (first []startOption, quickSlots int) {
	var all []startOption
	for _, i := range offers.zones[zone] {
		if option, ok := gp.optionOn(i, gang, tasksByZone, offers); ok {
			all = append(all, option)
		}
	}
	for {
		best := bestOptions{limit: missing}
		for _, option := range all {
			option.cost += option.gangOffer.cost
			best.add(option)
		}
		stale := false
		for _, option := range best.options {
			if option.stale {
				offers.update(option.index, gang)
				stale = true
			}
		}
		if !stale {
			first = best.options
			break
		}
	}
	for _, option := range all {
		if option.wait <= worthWaiting {
			quickSlots += option.slots
		}
	}
	slices.SortFunc(first, func(a, b startOption) int { return compareOptions(&a, &b) })
	return first, quickSlots
}

// optionOn is how a machine can come to have room for tasks of the gang. Its cost is yet without that
// of the offer.
func (gp *gangPlan) optionOn(index int, gang *job, tasksByZone map[string]int, offers *gangOffers) (startOption, bool) {
	ps := gp.pass
	machine, offer := ps.schedulable[index], &offers.byMachine[index]
	if offer.slots == 0 || !satisfiesZones(gang, tasksByZone, machine.zone) {
		return startOption{}, false
	}
	if machine.isReservedForOther(gang) && ps.core.now < machine.reservedUntil && machine.reservedFor.rank >= gang.rank && !ps.isAwaitingReplan(machine) {
		return startOption{}, false
	}
	if offer.hasRoom && gang.spec.GPUs == 0 && machine.machineType.GPUs > 0 && !ps.mayUseGPUMachine(gang, machine) {
		return startOption{}, false
	}
	cost := Micros(ps.placementScore(gang, machine) * float64(second))
	if machine.isClearedFor(gang) {
		cost = 0 // cleared for it
	}
	return startOption{offer, machine, index, cost}, true
}

// recordPreemption notes what the preemption that is about to happen does to machines. A job that
// is about to have been preempted too often has no more victims anywhere.
func (gp *gangPlan) recordPreemption(victims []victim) {
	preempted := map[*job]int{}
	for _, v := range victims {
		for _, p := range v.tasks {
			gp.recordChange(p, false)
		}
		preempted[v.tasks[0].job]++
	}
	for j, n := range preempted {
		spared := j.preemptions+n >= maxPreemptionsPerTask*max(1, len(j.placements))
		for p := range j.placements {
			gp.recordChange(p, !spared)
		}
	}
}

// recordChange notes that what the machine of a placement offers has changed.
func (gp *gangPlan) recordChange(p *placement, costlier bool) {
	machines := gp.pass.schedulable
	at, found := slices.BinarySearchFunc(machines, p.machine.host, compareHost)
	if found && machines[at] == p.machine {
		gp.changes = append(gp.changes, offerChange{at, costlier})
	}
}

// offersFor is what the machines offer to the gang as things stand in the plan. How far other teams
// go beyond their guarantees changes with each preemption, so what is offered to a gang that
// reclaims its team's guarantee is found out anew then.
func (gp *gangPlan) offersFor(gang *job) *gangOffers {
	kind := offerKind{gangShape: gang.gangShape(), mayPreempt: gp.pass.mayPreempt(gang), oneZone: gang.spec.OneZone}
	if kind.mayPreempt && gang.reclaimsGuarantee() {
		kind.reclaims, kind.team = true, gang.team
	}
	offers := gp.offers[kind]
	if offers == nil || kind.reclaims && offers.changes < len(gp.changes) {
		offers = gp.pass.newGangOffers(kind, len(gp.changes))
		for i := range gp.pass.schedulable {
			offers.update(i, gang)
		}
		gp.offers[kind] = offers
	}
	offers.apply(gp.changes, gang)
	return offers
}
