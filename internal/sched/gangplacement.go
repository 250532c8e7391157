package sched

import (
	"cmp"
	"slices"
)

// placeGang places all missing tasks of a gang or none of them. It returns false only if the gang found no
// room on the machines or in the batch. If an attempt that still waits for tasks to start has lost a task, the
// replacement gets the same attempt number. The tasks of a broken attempt are stopped before a new attempt is
// placed.
func (ps *pass) placeGang(gang *job) bool {
	if gang.gangBroken || (gang.gangStarted && len(gang.placements) > 0) {
		ps.core.stopGang(gang)
		return true
	}
	if gang.hasStoppingTask() || gang.atTeamLimit() {
		return true
	}
	return slices.ContainsFunc(ps.gangZones(gang, gang.pendingCount()), func(zone string) bool {
		return ps.placeGangIn(gang, zone)
	})
}

// stopGang stops the remaining tasks of a gang's attempt, except those that are writing a checkpoint.
func (c *Core) stopGang(gang *job) {
	for _, p := range gang.sortedPlacements() {
		if !p.checkpointing {
			c.stopPlacement(p, false)
		}
	}
}

// hasStoppingTask reports whether a task of the job was told to stop and may still be on its machine.
func (j *job) hasStoppingTask() bool {
	for p := range j.placements {
		if p.stopping {
			return true
		}
	}
	return false
}

// gangPlacement is a tentative placement of all missing tasks of a gang. It becomes part of the batch or is
// undone.
type gangPlacement struct {
	job        *job
	machines   []*machine // in the order in which they were chosen
	placed     map[*machine][]*placement
	tasks      int  // number of placed tasks
	hostBytes  int  // bytes that naming the machines adds to the batch
	incomplete bool // not all missing tasks found room
}

// placeGangIn places all missing tasks in the zone, or in any zones if the zone's name is empty. It returns
// false, and places nothing, if the tasks don't all fit on the machines and in the batch.
func (ps *pass) placeGangIn(gang *job, zone string) bool {
	before := gang.gangAttempt
	if before == 0 {
		gang.gangAttempt = ps.core.sequence.nextAttempt()
	}
	tentative := ps.placeMissing(gang, zone)
	if ps.reserveBatch(tentative) {
		for _, machine := range tentative.machines {
			ps.batch.add(tentative.placed[machine]...)
		}
		return true
	}
	for _, machine := range tentative.machines {
		for _, placement := range tentative.placed[machine] {
			ps.core.release(placement)
		}
	}
	gang.gangAttempt = before
	return false
}

// placeMissing places as many of the gang's missing tasks as there is room for.
func (ps *pass) placeMissing(gang *job, zone string) *gangPlacement {
	tentative := &gangPlacement{job: gang, placed: map[*machine][]*placement{}}
	tasksByZone := gang.tasksByZone()
	machines := ps.candidates(gang, tasksByZone, zone)
	var current *machine
	for task := int32(0); task < int32(gang.spec.Tasks); task++ {
		if gang.placementsByTask[task] > 0 {
			continue
		}
		if current == nil || !ps.canTakeTask(gang, current, tasksByZone) {
			current = ps.popBest(&machines, gang, tasksByZone)
			if current == nil {
				break
			}
			tentative.machines = append(tentative.machines, current)
			tentative.hostBytes += ps.batch.addedHostBytes(current)
		}
		tentative.tasks++
		tentative.placed[current] = append(tentative.placed[current], ps.core.addPlacement(gang, task, current, gang.gangAttempt))
		tasksByZone[current.zone]++
	}
	tentative.incomplete = current == nil
	return tentative
}

// reserveBatch reports whether the pass's batch can take all tasks of the gang. A gang that is too large for
// the single transaction of an empty batch needs a batch of its own, which is stored in several transactions.
// If the current batch already has launches, such a gang waits, and the next pass begins with it.
func (ps *pass) reserveBatch(tentative *gangPlacement) bool {
	if tentative.incomplete {
		return false
	}
	b, runs := ps.batch, len(tentative.machines)
	if b.fits(tentative.job, tentative.hostBytes, runs, tentative.tasks) {
		return true
	}
	if b.fitsEmptyBatch(tentative.hostBytes, runs, tentative.tasks) {
		return false
	}
	if len(b.launches) == 0 {
		b.multiTransaction = true
		return true
	}
	if ps.core.nextGang == nil {
		ps.core.nextGang = tentative.job
	}
	return false
}

// zoneRoom is the room that a zone has for a gang.
type zoneRoom struct {
	zone          string
	slots         int     // number of the gang's tasks that fit in the zone
	weightedSlots float64 // sum over the slots of 1 / (1 + placement cost of the slot's machine)
}

// minWeightedSlots is the lower bound of the divisor in penalizedSlots.
const minWeightedSlots = 0.01

// penalizedSlots returns the number of slots, scaled up if placing tasks on their machines is costly. Zones
// with a small result are preferred.
func (r *zoneRoom) penalizedSlots() float64 {
	return float64(r.slots) * float64(r.slots) / max(r.weightedSlots, minWeightedSlots)
}

// gangZones returns the zones that have room for all missing tasks, or the empty name for a gang that need
// not be in one zone. The zone with the least room comes first, so that small gangs don't fragment the room
// that large gangs need. Slots with a high placement cost, for example on machines without the gang's image,
// count as more room, so that their zone comes later.
func (ps *pass) gangZones(gang *job, missing int) []string {
	tasksByZone := gang.tasksByZone()
	var fitting []*zoneRoom
	for _, room := range ps.roomByZone(gang, tasksByZone) {
		if room.slots >= missing {
			fitting = append(fitting, room)
		}
	}
	slices.SortFunc(fitting, func(a, b *zoneRoom) int {
		return cmp.Or(cmp.Compare(a.penalizedSlots(), b.penalizedSlots()), cmp.Compare(a.zone, b.zone))
	})
	if gang.spec.Tasks == 1 && len(fitting) > 1 { // a single task goes to the best machine of all zones
		if machine := ps.findMachine(gang, tasksByZone); machine != nil {
			return []string{machine.zone}
		}
	}
	zones := make([]string, len(fitting))
	for i, room := range fitting {
		zones[i] = room.zone
	}
	return zones
}

// roomByZone returns the room for a gang's tasks by zone, or in total under the empty name if the gang need
// not be in one zone.
func (ps *pass) roomByZone(gang *job, tasksByZone map[string]int) map[string]*zoneRoom {
	rooms := map[string]*zoneRoom{}
	spreadSlots := map[string]int{} // slots counted so far in each zone, up to the zone's limit
	for _, machine := range ps.withRoom {
		slots := ps.slotsOn(gang, machine, tasksByZone)
		if gang.spec.Spread {
			slots = max(0, min(slots, gang.zoneLimit()-tasksByZone[machine.zone]-spreadSlots[machine.zone]))
			spreadSlots[machine.zone] += slots
		}
		if slots == 0 {
			continue
		}
		zone := gang.gangZone(machine)
		if rooms[zone] == nil {
			rooms[zone] = &zoneRoom{zone: zone}
		}
		rooms[zone].slots += slots
		rooms[zone].weightedSlots += float64(slots) / (1 + ps.placementCost(gang, machine))
	}
	return rooms
}

// gangZone returns the zone of a machine if all tasks of the gang must be in one zone, otherwise the empty
// name.
func (j *job) gangZone(m *machine) string {
	if j.spec.OneZone {
		return m.zone
	}
	return ""
}

// slotsOn returns the number of tasks of the job that the machine could take now.
func (ps *pass) slotsOn(gang *job, m *machine, tasksByZone map[string]int) int {
	if !hasRoom(gang, m, 1) || !ps.canTakeTask(gang, m, tasksByZone) || ps.blockedByReservation(gang, m) {
		return 0
	}
	slots := min(slotsFor(gang, m.machineType, m.used()), maxTasksPerMachine-m.placementCount)
	if gang.spec.Spread {
		slots = min(slots, gang.zoneLimit()-tasksByZone[m.zone])
	}
	return slots
}
