package sched

import (
	"cmp"
	"slices"
)

// Which machines are reserved for the gangs that lack room is looked at for each gang, over
// all machines. What a machine offers differs between gangs of one shape by little more
// than whether their image is there, so it is found out once for all of them, and anew
// only where a preemption changed it. Without that, a hundred waiting gangs at 1,600
// machines took more than the leader's share of a processor.

// gangOffer is what a machine offers to the tasks of gangs of one kind, apart from how much
// they like it.
type gangOffer struct {
	slots   int
	wait    Micros   // until it has the room, if nothing is preempted
	victims []victim // to be preempted for one task, if that is better than waiting
	cost    Micros   // of them, or of the wait
	hasRoom bool     // it has room now
	stale   bool     // a victim's job was preempted elsewhere: it is costlier now
}

// offerKind is gangs to which machines offer the same.
type offerKind struct {
	gangShape
	mayPreempt bool
	reclaims   bool  // may preempt work that other teams run beyond their guarantees
	team       *team // of a gang that reclaims
	oneZone    bool
}

// gangOffers is what all schedulable machines offer to gangs of a kind.
type gangOffers struct {
	kind       offerKind
	pass       *pass
	byMachine  []gangOffer
	zones      map[string][]int // the machines of each zone, or all under the empty name
	slots      map[string]int   // by zone
	quickSlots map[string]int   // of these, those that aren't worth preempting for
	changes    int              // how many of the plan's changes are taken in
}

// newGangOffers returns offers that are yet to be found out, with so many of the plan's changes taken in.
func (ps *pass) newGangOffers(kind offerKind, changes int) *gangOffers {
	return &gangOffers{
		kind: kind, pass: ps, byMachine: make([]gangOffer, len(ps.schedulable)), zones: ps.machinesByZone(kind.oneZone),
		slots: map[string]int{}, quickSlots: map[string]int{}, changes: changes,
	}
}

// machinesByZone parts the schedulable machines by zone, or lists all under the empty name.
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

// update finds out anew what a machine offers and brings the sums up to date.
func (os *gangOffers) update(machine int, gang *job) {
	m, offer := os.pass.schedulable[machine], gangOffer{}
	if allowed(gang, m) && slotsOnEmpty(gang, m.machineType) > 0 {
		offer = os.pass.offer(gang, m, os.kind.mayPreempt)
	}
	zone := gang.gangZone(m)
	os.count(zone, &os.byMachine[machine], -1)
	os.count(zone, &offer, 1)
	os.byMachine[machine] = offer
}

// count adds an offer to the sums, or takes it away.
func (os *gangOffers) count(zone string, offer *gangOffer, sign int) {
	os.slots[zone] += sign * offer.slots
	if offer.wait <= worthWaiting {
		os.quickSlots[zone] += sign * offer.slots
	}
}

// apply takes in what preemptions have changed since the last call.
func (os *gangOffers) apply(changes []offerChange, gang *job) {
	fresh := changes[os.changes:]
	for _, change := range fresh {
		if change.costlier {
			offer := &os.byMachine[change.machine]
			offer.stale = len(offer.victims) > 0
		}
	}
	updated := map[int]bool{}
	for _, change := range fresh {
		if !change.costlier && !updated[change.machine] {
			updated[change.machine] = true
			os.update(change.machine, gang)
		}
	}
	os.changes = len(changes)
}

// offer says how the machine could take tasks of a gang: now, by waiting, or by
// preempting, whichever costs less.
func (ps *pass) offer(gang *job, machine *machine, mayPreempt bool) gangOffer {
	if slots := slotsFor(gang, machine.machineType, machine.used()); slots > 0 {
		return gangOffer{slots: slots, hasRoom: true}
	}
	waiting := ps.offerByWaiting(gang, machine)
	if waiting.slots == 0 || !mayPreempt || waiting.wait <= worthWaiting {
		return waiting
	}
	victims, ok := ps.victims(gang, machine)
	if !ok {
		return waiting
	}
	cost := Micros(0)
	for i := range victims {
		cost += Micros(float64(victims[i].cost) * victims[i].machineShare(machine))
	}
	return gangOffer{slots: 1, victims: victims, cost: cost}
}

// offerByWaiting waits for the tasks that are expected to end first.
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
	stopDuration    = second        // what a task that was told to stop is expected to take
	serviceDuration = 3600 * second // what a task that runs until it is stopped is expected to take
)

// expectedRemaining is how much longer a task is expected to be on its machine. One that takes
// longer than expected is likely to take a while longer still.
func (ps *pass) expectedRemaining(p *placement) Micros {
	expected := p.job.expectedRunTime()
	switch {
	case p.stopping:
		return stopDuration
	case p.job.spec.EstimateS == 0:
		return serviceDuration
	case p.runningSince > 0:
		return max(expected-(ps.core.now-p.runningSince), expected/4)
	}
	return expected + Micros(p.machine.imageFetchS(p.job, ps.core.now)*float64(second))
}
