package sched

import (
	"maps"
	"strings"
)

// claimDuration is the time for which a gang may claim machines once it could start by preempting tasks of
// lower priority. A gang may fail to start in this time because no more of these tasks may be stopped. It then
// makes no claims for another claimDuration.
const claimDuration = 5 * second

// gangShape holds the properties of a gang that determine on which machines its tasks can run.
type gangShape struct {
	cpus, gpus, memoryGB float64
	rank                 int
	spot                 bool
	zone, types          string
}

// gangShape returns the shape of the gang's tasks.
func (j *job) gangShape() gangShape {
	shape := gangShape{j.spec.CPUs, j.spec.GPUs, j.spec.MemoryGB, j.rank, j.spec.Spot, "", strings.Join(j.spec.Types, " ")}
	if j.spec.Zone != nil {
		shape.zone = *j.spec.Zone
	}
	return shape
}

// gangClaims is the state of one call of claimForGangs. Machines are identified by their index in
// pass.schedulable.
type gangClaims struct {
	pass       *pass
	cleared    map[clearedKey]*clearedSlots
	reserved   map[*job][]int // machines that are reserved for a job
	claimCount int            // number of gangs that have claimed machines in this call
}

// clearedKey identifies gangs with equal requirements. A machine has the same room for all of them once its
// tasks of lower priority are preempted.
type clearedKey struct {
	gangShape
	oneZone bool
}

// clearedSlots holds, for the gangs with one clearedKey, how many of their tasks each machine could take if
// all its tasks of lower priority were preempted. Slots are counted in tasks.
type clearedSlots struct {
	rank   int            // priority rank of the gangs
	slots  []int          // by index of the machine
	byZone map[string]int // total slots by zone, of the machines that every gang with the key may claim
	asOf   int            // value of gangClaims.claimCount when byZone was computed
}

// claimForGangs lets waiting gangs claim the machines on which they could start once work of lower priority
// is preempted there. It must be called before jobs of lower priority are placed. Otherwise a task of such a
// job could start on one of these machines and be stopped again before its image was fetched. A gang that
// could start may still wait because no more tasks may be preempted for now. Such a gang claims machines only
// half of the time (see claimDuration).
func (ps *pass) claimForGangs(gangs []*job) {
	if len(gangs) == 0 {
		return
	}
	claims := &gangClaims{pass: ps, cleared: map[clearedKey]*clearedSlots{}, reserved: map[*job][]int{}}
	for i, machine := range ps.schedulable {
		if machine.isReserved() {
			claims.reserved[machine.reservedFor] = append(claims.reserved[machine.reservedFor], i)
		}
	}
	for _, gang := range gangs[:min(len(gangs), ps.maxGangScans())] {
		if gang.mayClaim(ps.core.now) {
			claims.claim(gang)
		}
	}
}

// mayClaim reports whether the gang may claim machines now.
func (j *job) mayClaim(now Micros) bool {
	if j.startableSince > 0 && now-j.startableSince > 2*claimDuration {
		j.startableSince = 0
	}
	return j.startableSince == 0 || now-j.startableSince <= claimDuration
}

// claim claims machines for a gang in one zone, if the gang could start in any. Of the zones in which the gang
// could start, claim chooses the zone that has room for the fewest of the gang's tasks.
func (cs *gangClaims) claim(gang *job) {
	cleared := cs.clearedFor(gang)
	tasksByZone := gang.tasksByZone()
	missing, bestZone, found := gang.pendingCount(), "", false
	slots := cs.slotsByZone(gang, cleared, tasksByZone)
	for zone, n := range slots {
		if n >= missing && (!found || n < slots[bestZone] || (n == slots[bestZone] && zone < bestZone)) {
			bestZone, found = zone, true
		}
	}
	if !found {
		gang.startableSince = 0
		return
	}
	if gang.startableSince == 0 {
		gang.startableSince = cs.pass.core.now
	}
	cs.claimCount++
	for _, fitsNow := range []bool{true, false} { // machines that need no preemption come first
		for i, machine := range cs.pass.schedulable {
			if missing <= 0 {
				return
			}
			if n := cs.claimableSlots(gang, cleared, tasksByZone, i); n > 0 && gang.gangZone(machine) == bestZone && hasRoom(gang, machine, 1) == fitsNow {
				missing -= n
				cs.pass.claimedRank[machine] = gang.rank
			}
		}
	}
}

// clearedFor returns how many of the gang's tasks each machine could take after preempting its tasks of lower
// priority. The numbers are computed once for all gangs with the same key.
func (cs *gangClaims) clearedFor(gang *job) *clearedSlots {
	key := clearedKey{gang.gangShape(), gang.spec.OneZone}
	if cleared := cs.cleared[key]; cleared != nil {
		return cleared
	}
	cleared := &clearedSlots{rank: gang.rank, slots: make([]int, len(cs.pass.schedulable)), asOf: -1}
	for i, m := range cs.pass.schedulable {
		if meetsMachineConstraints(gang, m) {
			cleared.slots[i] = slotsFor(gang, m.machineType, m.usedAtOrAbove(gang.rank))
		}
	}
	cs.cleared[key] = cleared
	return cleared
}

// claimableByAny reports whether every gang with the key of cleared may claim the machine, as far as the
// constraints on zones allow.
func (cs *gangClaims) claimableByAny(cleared *clearedSlots, machine int) bool {
	m := cs.pass.schedulable[machine]
	return cleared.slots[machine] > 0 && cs.pass.claimedRank[m] == 0 && (!m.isReserved() || m.reservedFor.rank < cleared.rank)
}

// claimableSlots returns the number of the gang's tasks that the machine could take after preempting its tasks
// of lower priority, or 0 if the gang may not claim the machine.
func (cs *gangClaims) claimableSlots(gang *job, cleared *clearedSlots, tasksByZone map[string]int, machine int) int {
	m := cs.pass.schedulable[machine]
	reservedForIt := cleared.slots[machine] > 0 && cs.pass.claimedRank[m] == 0 && m.isReservedFor(gang)
	if (reservedForIt || cs.claimableByAny(cleared, machine)) && satisfiesZoneConstraints(gang, tasksByZone, m.zone) {
		return cleared.slots[machine]
	}
	return 0
}

// slotsByZone returns, by zone, the number of the gang's tasks that fit on machines that the gang may claim.
// For a gang that must be spread or has tasks on machines already, the number is computed for this gang
// alone. For any other gang, it is the number shared by all gangs with the same key, plus the tasks that fit
// on machines reserved for this gang.
func (cs *gangClaims) slotsByZone(gang *job, cleared *clearedSlots, tasksByZone map[string]int) map[string]int {
	if len(tasksByZone) > 0 || gang.spec.Spread {
		sum := map[string]int{}
		for i, machine := range cs.pass.schedulable {
			sum[gang.gangZone(machine)] += cs.claimableSlots(gang, cleared, tasksByZone, i)
		}
		return sum
	}
	cs.updateByZone(gang, cleared)
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

// updateByZone computes cleared.byZone again if a gang has claimed machines since byZone was last computed.
func (cs *gangClaims) updateByZone(gang *job, cleared *clearedSlots) {
	if cleared.asOf == cs.claimCount {
		return
	}
	cleared.byZone, cleared.asOf = map[string]int{}, cs.claimCount
	for i, m := range cs.pass.schedulable {
		if cs.claimableByAny(cleared, i) {
			cleared.byZone[gang.gangZone(m)] += cleared.slots[i]
		}
	}
}
