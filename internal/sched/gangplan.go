package sched

import (
	"cmp"
	"slices"
)

const (
	// maxGangWait is the longest expected wait for room on a machine that a gang prefers to preempting tasks
	// on the machine. Longer waits are futile because small tasks fill the machine again as its tasks end.
	maxGangWait = 3 * second

	// gangPlanInterval is the interval at which the machines reserved for gangs are chosen again.
	gangPlanInterval = second

	// gangClearedDivisor limits on how many machines tasks may be preempted for one gang. The limit is the
	// number of schedulable machines divided by gangClearedDivisor.
	gangClearedDivisor = 2

	// reservationSlack is the time from the expected start of a gang to the end of its reservations.
	reservationSlack = 5 * second

	// minGangScans is the lower bound of the result of maxGangScans, however many machines there are.
	minGangScans = 8
)

// maxGangScans returns the number of gangs for which planGangs and each call of claimForGangs may examine
// all machines.
func (ps *pass) maxGangScans() int {
	return max(minGangScans, maxMachineVisits/max(1, len(ps.schedulable)))
}

// gangPlan is the state of one call of planGangs, which decides which machines are reserved for gangs.
// Machines are identified by their index in pass.schedulable.
type gangPlan struct {
	pass         *pass
	waitingZones map[string]bool // zones in which a gang waits for machines
	reserved     map[*job][]int  // indexes of the machines that a job was waiting for when planning began
	offers       map[offerKey]*gangOffers
	changes      []offerChange
}

// offerChange records that a preemption changed what a machine can offer.
type offerChange struct {
	machine  int
	costOnly bool // the only change is that a task on the machine became costlier to preempt
}

// planGangs chooses, once per gangPlanInterval, the machines that are reserved for gangs without room. The
// gangs are planned in the order of sortForPlan. In each zone, only one gang at a time reserves machines for
// which it has to wait longer than maxGangWait. Other gangs start in the zone only if they needn't wait longer
// than maxGangWait.
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
	plan := &gangPlan{pass: ps, waitingZones: map[string]bool{}, reserved: map[*job][]int{}, offers: map[offerKey]*gangOffers{}}
	for i, machine := range ps.schedulable {
		if machine.isWaitedFor() {
			plan.reserved[machine.reservedFor] = append(plan.reserved[machine.reservedFor], i)
		}
	}
	for _, gang := range gangs[:min(len(gangs), ps.maxGangScans())] {
		plan.planGang(gang)
	}
}

// sortForPlan sorts the gangs into the order in which machines are reserved for them. Among gangs that are
// equal in priority, guarantee and fairness, those that can still meet an objective come first, then those
// with fewer pending tasks, then those that arrived earlier.
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

// isAwaitingReplan reports whether the machine was reserved by an earlier plan for a gang that waits for it,
// and the current call of planGangs has not considered this gang yet. A gang that this call
// considers earlier may take the machine. The reservation stays in place until the call considers the gang
// that holds it, because small tasks would take the machine otherwise.
func (ps *pass) isAwaitingReplan(m *machine) bool {
	return m.isWaitedFor() && m.reservationCheckedAt < ps.core.gangsPlannedAt
}

// planGang finds the machines on which a waiting gang can start at the least cost, within one zone if the
// gang requires that, and reserves them. A machine qualifies if it has room, if its tasks are expected to end
// soon, or if victims can be preempted on it (see pass.selectVictims and planStop). Without reservations a
// large gang would wait indefinitely for machines that small tasks keep filling. Machines reserved for one
// gang are not considered for the next one, so two gangs never each hold machines that the other needs.
func (gp *gangPlan) planGang(gang *job) {
	for _, i := range gp.reserved[gang] {
		if machine := gp.pass.schedulable[i]; machine.isReservedFor(gang) && machine.isWaitedFor() {
			machine.endReservation() // chosen again below
		}
	}
	best := gp.cheapestPlan(gang)
	if best == nil {
		return
	}
	if best.start > maxGangWait {
		gp.waitingZones[best.zone] = true
	}
	// Without this limit, a huge job of a team without a guarantee could preempt almost everything.
	if best.cleared > max(1, len(gp.pass.schedulable)/gangClearedDivisor) {
		return
	}
	for i := range best.options {
		gp.reserveOrPreempt(gang, &best.options[i], best.start)
	}
}

// reserveOrPreempt reserves one of the machines on which a gang is to start. It preempts the option's victims
// only if the whole gang can start within maxGangWait. If victims were preempted sooner, their room would stay
// idle, or other tasks would fill it and would have to be preempted again.
func (gp *gangPlan) reserveOrPreempt(gang *job, option *startOption, start Micros) {
	m, now := option.machine, gp.pass.core.now
	if len(option.victims) > 0 && start <= maxGangWait {
		gp.recordPreemption(option.victims)
		gp.pass.preempt(gang, m, option.victims)
		return
	}
	if m.isClearedFor(gang) && now < m.reservedUntil {
		return // tasks on the machine were preempted for the gang already
	}
	m.reserveWaiting(gang, now+max(start, 1), now+start+reservationSlack, now)
}

// zonePlan describes how a gang can start in a zone.
type zonePlan struct {
	zone    string
	options []startOption
	slots   int    // number of the gang's tasks that the options have room for
	cleared int    // number of machines on which tasks would be preempted
	start   Micros // expected wait until the last machine has room
	cost    Micros
}

// cheapestPlan returns the plan with the least cost for the gang, or nil if it can't start in any zone.
func (gp *gangPlan) cheapestPlan(gang *job) (best *zonePlan) {
	missing := gang.pendingCount()
	offers := gp.offersFor(gang)
	tasksByZone := gang.tasksByZone()
	for _, zone := range gp.feasibleZones(offers, missing) {
		plan := gp.planIn(zone, gang, missing, tasksByZone, offers)
		if plan.slots < missing || (gp.waitingZones[zone] && plan.start > maxGangWait) {
			continue
		}
		if best == nil || plan.cost < best.cost {
			best = plan
		}
	}
	return best
}

// feasibleZones returns, sorted by name, the zones whose machines offer room for at least the given number of
// missing tasks. In a zone in which another gang waits for machines, only room that is expected within
// maxGangWait counts. The images on the machines are not considered.
func (gp *gangPlan) feasibleZones(offers *gangOffers, missing int) []string {
	zones := make([]string, 0, len(offers.zones))
	for zone := range offers.zones {
		if offers.slots[zone] >= missing && (!gp.waitingZones[zone] || offers.quickSlots[zone] >= missing) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// planIn takes the best options of a zone until there is room for all missing tasks. The slots of the
// remaining options with a wait of at most maxGangWait add to the cost, so that small gangs go to zones with
// few such slots, and leave the other zones to large gangs.
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
		if option.wait <= maxGangWait {
			quickSlots -= option.slots
		}
	}
	plan.options = options[:taken]
	plan.cost += plan.start * Micros(missing)
	plan.cost += Micros(quickSlots) * second
	return plan
}

// optionsIn returns the options in a zone that may be needed for the missing tasks, best first, and the
// number of slots with a wait of at most maxGangWait over all options of the zone. An offer whose victims
// have become costlier since it was computed is computed again only if it is among the best offers. This saves
// time, since most such offers are not among the best.
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
		if option.wait <= maxGangWait {
			quickSlots += option.slots
		}
	}
	slices.SortFunc(first, func(a, b startOption) int { return compareOptions(&a, &b) })
	return first, quickSlots
}

// optionOn returns the option of starting tasks of the gang on a machine, and whether there is one. The
// option's cost doesn't include the cost of the offer yet.
func (gp *gangPlan) optionOn(index int, gang *job, tasksByZone map[string]int, offers *gangOffers) (startOption, bool) {
	ps := gp.pass
	machine, offer := ps.schedulable[index], &offers.byMachine[index]
	if offer.slots == 0 || !satisfiesZoneConstraints(gang, tasksByZone, machine.zone) {
		return startOption{}, false
	}
	if machine.isReservedForOther(gang) && ps.core.now < machine.reservedUntil && machine.reservedFor.rank >= gang.rank && !ps.isAwaitingReplan(machine) {
		return startOption{}, false
	}
	if offer.hasRoom && gang.spec.GPUs == 0 && machine.machineType.GPUs > 0 && !ps.mayUseGPUMachine(gang, machine) {
		return startOption{}, false
	}
	cost := Micros(ps.placementCost(gang, machine) * float64(second))
	if machine.isClearedFor(gang) {
		cost = 0 // the gang should use the machines on which tasks were preempted for it
	}
	return startOption{offer, machine, index, cost}, true
}

// recordPreemption records the machines whose offers change because the given victims are about to be
// preempted. If a victim's job thereby reaches the limit of maxPreemptionsPerTask, its tasks can't be victims
// on any machine any more. Otherwise the job's remaining tasks become costlier to preempt.
func (gp *gangPlan) recordPreemption(victims []victim) {
	preempted := map[*job]int{}
	for _, v := range victims {
		for _, p := range v.tasks {
			gp.recordChange(p, false)
		}
		preempted[v.tasks[0].job]++
	}
	for j, n := range preempted {
		limitReached := j.preemptions+n >= maxPreemptionsPerTask*max(1, len(j.placements))
		for p := range j.placements {
			gp.recordChange(p, !limitReached)
		}
	}
}

// recordChange records that the offer of the placement's machine has changed.
func (gp *gangPlan) recordChange(p *placement, costOnly bool) {
	machines := gp.pass.schedulable
	at, found := slices.BinarySearchFunc(machines, p.machine.host, compareHost)
	if found && machines[at] == p.machine {
		gp.changes = append(gp.changes, offerChange{at, costOnly})
	}
}

// offersFor returns the machines' offers to the gang. The offers take into account all preemptions that the
// plan has made so far. Each preemption changes how far other teams exceed their guarantees, so all offers to
// a gang that reclaims its team's guarantee are computed again after a preemption.
func (gp *gangPlan) offersFor(gang *job) *gangOffers {
	key := offerKey{gangShape: gang.gangShape(), mayPreempt: gp.pass.mayPreempt(gang), oneZone: gang.spec.OneZone}
	if key.mayPreempt && gang.reclaimsGuarantee() {
		key.reclaims, key.team = true, gang.team
	}
	offers := gp.offers[key]
	if offers == nil || key.reclaims && offers.appliedChanges < len(gp.changes) {
		offers = gp.pass.newGangOffers(key, len(gp.changes))
		for i := range gp.pass.schedulable {
			offers.update(i, gang)
		}
		gp.offers[key] = offers
	}
	offers.apply(gp.changes, gang)
	return offers
}
