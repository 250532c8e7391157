package sched

import (
	"cmp"
	"slices"
)

// Planning considers all machines for each gang that finds no room. An offer describes how a machine can make
// room for a gang. Offers of one machine to gangs of the same shape differ in little more than whether the
// machine has the gang's image. Offers are therefore computed once for all gangs with the same offerKey, and
// computed again only where a preemption changed them. Without this cache, planning for a hundred waiting
// gangs at 1,600 machines takes more than the leader's share of a processor.

// gangOffer describes how a machine can make room for tasks of the gangs with one offerKey. It leaves out the
// placement cost, which depends on the job.
type gangOffer struct {
	slots   int      // number of the gang's tasks for which the machine can make room
	wait    Micros   // expected time until the machine has room, 0 if victims are preempted
	victims []victim // victims to preempt for one task, if that is better than waiting
	cost    Micros   // cost of preempting the victims, or of the wait
	hasRoom bool     // the machine has room now
	stale   bool     // the job of a victim was preempted on another machine, so cost is now too low
}

// offerKey identifies the gangs to which a machine makes the same offer.
type offerKey struct {
	gangShape
	mayPreempt bool
	reclaims   bool  // the gang may preempt work that other teams run beyond their guarantees
	team       *team // the gang's team if it reclaims, otherwise nil
	oneZone    bool
}

// gangOffers holds the offers of all schedulable machines to the gangs with one key.
type gangOffers struct {
	key            offerKey
	pass           *pass
	byMachine      []gangOffer
	zones          map[string][]int // machine indexes by zone, or all under the empty name if key.oneZone is not set
	slots          map[string]int   // total slots of the offers, by zone
	quickSlots     map[string]int   // total slots of the offers with a wait of at most maxGangWait, by zone
	appliedChanges int              // number of elements of gangPlan.changes that the offers take into account
}

// newGangOffers returns empty offers. The caller must compute each of them with update. The parameter
// appliedChanges is the number of elements of gangPlan.changes that the computed offers take into account.
func (ps *pass) newGangOffers(key offerKey, appliedChanges int) *gangOffers {
	return &gangOffers{
		key: key, pass: ps, byMachine: make([]gangOffer, len(ps.schedulable)), zones: ps.machinesByZone(key.oneZone),
		slots: map[string]int{}, quickSlots: map[string]int{}, appliedChanges: appliedChanges,
	}
}

// machinesByZone groups the indexes of the schedulable machines by zone. Unless oneZone is set, it puts all
// indexes under the empty name.
func (ps *pass) machinesByZone(oneZone bool) map[string][]int {
	machines := map[string][]int{}
	for i, m := range ps.schedulable {
		zone := ""
		if oneZone {
			zone = m.zone
		}
		machines[zone] = append(machines[zone], i)
	}
	return machines
}

// update computes the offer of a machine again and adjusts the totals.
func (os *gangOffers) update(machine int, gang *job) {
	m, offer := os.pass.schedulable[machine], gangOffer{}
	if meetsMachineConstraints(gang, m) && slotsOnEmpty(gang, m.machineType) > 0 {
		offer = os.pass.offer(gang, m, os.key.mayPreempt)
	}
	zone := gang.gangZone(m)
	os.addToTotals(zone, &os.byMachine[machine], -1)
	os.addToTotals(zone, &offer, 1)
	os.byMachine[machine] = offer
}

// addToTotals adds an offer to the zone's totals, or subtracts it if sign is -1.
func (os *gangOffers) addToTotals(zone string, offer *gangOffer, sign int) {
	os.slots[zone] += sign * offer.slots
	if offer.wait <= maxGangWait {
		os.quickSlots[zone] += sign * offer.slots
	}
}

// apply updates the offers for the changes by preemptions that they don't take into account yet. The given
// changes are all changes of the plan so far.
func (os *gangOffers) apply(changes []offerChange, gang *job) {
	newChanges := changes[os.appliedChanges:]
	for _, change := range newChanges {
		if change.costOnly {
			offer := &os.byMachine[change.machine]
			offer.stale = len(offer.victims) > 0
		}
	}
	updated := map[int]bool{}
	for _, change := range newChanges {
		if !change.costOnly && !updated[change.machine] {
			updated[change.machine] = true
			os.update(change.machine, gang)
		}
	}
	os.appliedChanges = len(changes)
}

// offer returns how the machine can take tasks of the gang. If the machine has no room now, a wait of up to
// maxGangWait is preferred. If the wait is longer, the offer is to preempt victims, provided that the gang
// may preempt and that there are victims.
func (ps *pass) offer(gang *job, machine *machine, mayPreempt bool) gangOffer {
	if slots := slotsFor(gang, machine.machineType, machine.used()); slots > 0 {
		return gangOffer{slots: slots, hasRoom: true}
	}
	waiting := ps.offerByWaiting(gang, machine)
	if waiting.slots == 0 || !mayPreempt || waiting.wait <= maxGangWait {
		return waiting
	}
	victims, ok := ps.selectVictims(gang, machine)
	if !ok {
		return waiting
	}
	cost := Micros(0)
	for i := range victims {
		cost += Micros(float64(victims[i].cost) * victims[i].machineShare(machine))
	}
	return gangOffer{slots: 1, victims: victims, cost: cost}
}

// offerByWaiting returns the offer of waiting until the tasks that are expected to end first have left enough
// room for a task of the gang.
func (ps *pass) offerByWaiting(gang *job, machine *machine) (offer gangOffer) {
	type taskEnd struct {
		left Micros
		job  *job
	}
	ends := make([]taskEnd, 0, machine.placementCount)
	machine.eachPlacement(func(task *placement) {
		ends = append(ends, taskEnd{ps.expectedRemaining(task), task.job})
	})
	slices.SortFunc(ends, func(a, b taskEnd) int { return cmp.Compare(a.left, b.left) })
	used := machine.used()
	for _, end := range ends {
		used.subtract(end.job.taskResources())
		if offer.slots = slotsFor(gang, machine.machineType, used); offer.slots > 0 {
			offer.wait = end.left
			break
		}
	}
	offer.cost = offer.wait
	return offer
}

const (
	assumedStopTime    = second        // expected time that a stopping task stays on its machine
	assumedServiceTime = 3600 * second // expected remaining time of a task without a run time estimate
)

// expectedRemaining returns the time that a task is expected to stay on its machine. For a running task the
// result is at least a quarter of the expected run time, because a task that overruns is likely to run for a
// while longer.
func (ps *pass) expectedRemaining(p *placement) Micros {
	expected := p.job.expectedRunTime()
	switch {
	case p.stopping:
		return assumedStopTime
	case p.job.spec.EstimateS == 0:
		return assumedServiceTime
	case p.runningSince > 0:
		return max(expected-(ps.core.now-p.runningSince), expected/4)
	}
	return expected + Micros(p.machine.imageFetchS(p.job, ps.core.now)*float64(second))
}
