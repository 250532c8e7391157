package sched

import (
	"maps"
	"strings"
)

// claimDuration is how long a gang may take to start once it could. One that does not start in
// that time, since no more of its victims may be stopped, claims nothing for as long again.
const claimDuration = 5 * second

// gangShape is what decides where a gang's task may go.
type gangShape struct {
	cpus, gpus, mem float64
	rank            int
	spot            bool
	zone, types     string
}

// gangShape is the shape of the gang's tasks.
func (j *job) gangShape() gangShape {
	shape := gangShape{j.spec.CPUs, j.spec.GPUs, j.spec.MemoryGB, j.rank, j.spec.Spot, "", strings.Join(j.spec.Types, " ")}
	if j.spec.Zone != nil {
		shape.zone = *j.spec.Zone
	}
	return shape
}

// gangClaims is the state of one call of reserveBelow. Machines are named by their index among the
// schedulable ones.
type gangClaims struct {
	pass     *pass
	cleared  map[clearedKind]*clearedSlots
	reserved map[*job][]int // machines that are reserved for a job
	made     int            // how many gangs have claimed machines
}

// clearedKind is gangs for which the machines have the same room once they are cleared.
type clearedKind struct {
	gangShape
	oneZone bool
}

// clearedSlots is how many tasks of gangs of a kind the machines would take once lower priorities
// were cleared off them.
type clearedSlots struct {
	rank   int
	slots  []int
	byZone map[string]int // of the machines that any gang of the kind may claim
	asOf   int            // gangClaims.made when byZone was summed up
}

// reserveBelow keeps lower priorities off the machines on which a waiting gang of a higher
// one would start as soon as they were cleared: whatever they started there would be
// stopped again before it had its image. A gang that could start and does not, since
// no more of its victims may be stopped, holds them back half of the time only.
func (ps *pass) reserveBelow(gangs []*job) {
	if len(gangs) == 0 {
		return
	}
	claims := &gangClaims{pass: ps, cleared: map[clearedKind]*clearedSlots{}, reserved: map[*job][]int{}}
	for i, machine := range ps.schedulable {
		if machine.isReserved() {
			claims.reserved[machine.reservedFor] = append(claims.reserved[machine.reservedFor], i)
		}
	}
	for _, gang := range gangs[:min(len(gangs), ps.maxGangCandidates())] {
		if gang.mayClaim(ps.core.now) {
			claims.claim(gang)
		}
	}
}

// mayClaim says whether the gang may keep lower priorities off machines now.
func (j *job) mayClaim(now Micros) bool {
	if j.startableSince > 0 && now-j.startableSince > 2*claimDuration {
		j.startableSince = 0
	}
	return j.startableSince == 0 || now-j.startableSince <= claimDuration
}

// claim lets a gang claim the machines of the zone that has the least room of those in which it
// could start, if there is one.
func (cs *gangClaims) claim(gang *job) {
	cleared := cs.clearedFor(gang)
	tasksByZone := gang.tasksByZone()
	missing, in, found := gang.pendingCount(), "", false
	slots := cs.slotsByZone(gang, cleared, tasksByZone)
	for zone, n := range slots {
		if n >= missing && (!found || n < slots[in] || (n == slots[in] && zone < in)) {
			in, found = zone, true
		}
	}
	if !found {
		gang.startableSince = 0
		return
	}
	if gang.startableSince == 0 {
		gang.startableSince = cs.pass.core.now
	}
	cs.made++
	for _, empty := range []bool{true, false} { // those that need no clearing first
		for i, machine := range cs.pass.schedulable {
			if missing <= 0 {
				return
			}
			if n := cs.claimableSlots(gang, cleared, tasksByZone, i); n > 0 && gang.gangZone(machine) == in && hasRoom(gang, machine, 1) == empty {
				missing -= n
				cs.pass.claims[machine] = gang.rank
			}
		}
	}
}

// clearedFor finds out once for all gangs of a kind what cleared machines have room for.
func (cs *gangClaims) clearedFor(gang *job) *clearedSlots {
	kind := clearedKind{gang.gangShape(), gang.spec.OneZone}
	if cleared := cs.cleared[kind]; cleared != nil {
		return cleared
	}
	cleared := &clearedSlots{rank: gang.rank, slots: make([]int, len(cs.pass.schedulable)), asOf: -1}
	for i, m := range cs.pass.schedulable {
		if allowed(gang, m) {
			cleared.slots[i] = slotsFor(gang, m.machineType, m.usedFrom(gang.rank))
		}
	}
	cs.cleared[kind] = cleared
	return cleared
}

// claimableByAny says whether the machine has room for any gang of the kind.
func (cs *gangClaims) claimableByAny(cleared *clearedSlots, machine int) bool {
	m := cs.pass.schedulable[machine]
	return cleared.slots[machine] > 0 && cs.pass.claims[m] == 0 && (!m.isReserved() || m.reservedFor.rank < cleared.rank)
}

// claimableSlots is how many tasks of the gang the machine has room for once it is cleared.
func (cs *gangClaims) claimableSlots(gang *job, cleared *clearedSlots, tasksByZone map[string]int, machine int) int {
	m := cs.pass.schedulable[machine]
	reservedForIt := cleared.slots[machine] > 0 && cs.pass.claims[m] == 0 && m.isReservedFor(gang)
	if (reservedForIt || cs.claimableByAny(cleared, machine)) && satisfiesZones(gang, tasksByZone, m.zone) {
		return cleared.slots[machine]
	}
	return 0
}

// slotsByZone sums up what the gang may claim. Unless its tasks must heed where others of them are,
// the sum is that of all gangs of the kind, and what is reserved for it.
func (cs *gangClaims) slotsByZone(gang *job, cleared *clearedSlots, tasksByZone map[string]int) map[string]int {
	if len(tasksByZone) > 0 || gang.spec.Spread {
		sum := map[string]int{}
		for i, machine := range cs.pass.schedulable {
			sum[gang.gangZone(machine)] += cs.claimableSlots(gang, cleared, tasksByZone, i)
		}
		return sum
	}
	cs.sumUp(gang, cleared)
	own := cs.reserved[gang]
	if len(own) == 0 {
		return cleared.byZone
	}
	sum := maps.Clone(cleared.byZone)
	for _, i := range own {
		if !cs.claimableByAny(cleared, i) {
			sum[gang.gangZone(cs.pass.schedulable[i])] += cs.claimableSlots(gang, cleared, tasksByZone, i)
		}
	}
	return sum
}

// sumUp brings the sums of a kind of gangs up to date if machines were claimed since.
func (cs *gangClaims) sumUp(gang *job, cleared *clearedSlots) {
	if cleared.asOf == cs.made {
		return
	}
	cleared.byZone, cleared.asOf = map[string]int{}, cs.made
	for i, m := range cs.pass.schedulable {
		if cs.claimableByAny(cleared, i) {
			cleared.byZone[gang.gangZone(m)] += cleared.slots[i]
		}
	}
}
