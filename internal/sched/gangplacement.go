package sched

import (
	"cmp"
	"slices"
)

// placeGang places all missing tasks of a gang or none; false says that it lacks
// room. A waiting attempt that lost a task gets a replacement with the same
// attempt number; a broken one is cleared away first.
func (ps *pass) placeGang(gang *job) bool {
	if gang.gangBroken || (gang.gangStarted && len(gang.placements) > 0) {
		ps.core.stopGang(gang)
		return true
	}
	if gang.isLeaving() || gang.atTeamLimit() {
		return true
	}
	return slices.ContainsFunc(ps.gangZones(gang, gang.pendingCount()), func(zone string) bool {
		return ps.placeGangIn(gang, zone)
	})
}

// stopGang stops what is left of a gang's attempt, but for tasks that are saving.
func (c *Core) stopGang(gang *job) {
	for _, p := range gang.sortedPlacements() {
		if !p.checkpointing {
			c.stopPlacement(p, false)
		}
	}
}

// isLeaving says whether a task of the job was told to stop and may still be on its machine.
func (j *job) isLeaving() bool {
	for p := range j.placements {
		if p.stopping {
			return true
		}
	}
	return false
}

// gangAttempt is an attempt to place all missing tasks of a gang.
type gangAttempt struct {
	job         *job
	machines    []*machine // in the order in which they were chosen
	placed      map[*machine][]*placement
	tasks       int
	hostBytes   int  // what naming the machines takes of the batch
	outOfPlaces bool // not all missing tasks were placed
}

// placeGangIn places the missing tasks in a zone, or anywhere if it is empty.
func (ps *pass) placeGangIn(gang *job, zone string) bool {
	before := gang.gangAttempt
	if before == 0 {
		gang.gangAttempt = ps.core.sequence.nextAttempt()
	}
	attempt := ps.placeMissing(gang, zone)
	if ps.reserveBatch(attempt) {
		for _, machine := range attempt.machines {
			ps.batch.add(attempt.placed[machine]...)
		}
		return true
	}
	for _, machine := range attempt.machines {
		for _, placement := range attempt.placed[machine] {
			ps.core.release(placement)
		}
	}
	gang.gangAttempt = before
	return false
}

// placeMissing places the gang's missing tasks, as many as there is room for.
func (ps *pass) placeMissing(gang *job, zone string) *gangAttempt {
	attempt := &gangAttempt{job: gang, placed: map[*machine][]*placement{}}
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
			attempt.machines = append(attempt.machines, current)
			attempt.hostBytes += ps.batch.hostCost(current)
		}
		attempt.tasks++
		attempt.placed[current] = append(attempt.placed[current], ps.core.addPlacement(gang, task, current, gang.gangAttempt))
		tasksByZone[current.zone]++
	}
	attempt.outOfPlaces = current == nil
	return attempt
}

// reserveBatch says whether the pass's batch can take a complete attempt. One that doesn't fit
// even an empty batch's transaction takes several, and a batch of its own: if there is something
// in this one already, the next pass begins with the gang.
func (ps *pass) reserveBatch(attempt *gangAttempt) bool {
	if attempt.outOfPlaces {
		return false
	}
	b, runs := ps.batch, len(attempt.machines)
	if b.fits(attempt.job, attempt.hostBytes, runs, attempt.tasks) {
		return true
	}
	if b.fitsAlone(attempt.hostBytes, runs, attempt.tasks) {
		return false
	}
	if len(b.placements) == 0 {
		b.large = true
		return true
	}
	if ps.core.nextGang == nil {
		ps.core.nextGang = attempt.job
	}
	return false
}

// zoneRoom is how much room a zone has for a gang.
type zoneRoom struct {
	zone      string
	slots     int
	preferred float64 // slots, those that the tasks would rather not have counting less
}

// preferredFloor bounds preferred slots from below, where nothing is preferred.
const preferredFloor = 0.01

// leftover is small for a zone that has little room left beside the gang.
func (r *zoneRoom) leftover() float64 {
	return float64(r.slots) * float64(r.slots) / max(r.preferred, preferredFloor)
}

// gangZones lists the zones that have room for all missing tasks; a job without a
// zone rule gets the empty one. The zone that has least room comes first, so that
// small gangs don't cut up the room that large ones need; where the tasks would
// rather not be (their image is missing) counts as room that is left.
func (ps *pass) gangZones(gang *job, missing int) []string {
	tasksByZone := gang.tasksByZone()
	var fitting []*zoneRoom
	for _, room := range ps.roomByZone(gang, tasksByZone) {
		if room.slots >= missing {
			fitting = append(fitting, room)
		}
	}
	slices.SortFunc(fitting, func(a, b *zoneRoom) int {
		return cmp.Or(cmp.Compare(a.leftover(), b.leftover()), cmp.Compare(a.zone, b.zone))
	})
	if gang.spec.Tasks == 1 && len(fitting) > 1 { // a lone task goes where it starts first
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

// roomByZone sums up the room for a gang's tasks, in all under the empty name if it has no zone
// rule.
func (ps *pass) roomByZone(gang *job, tasksByZone map[string]int) map[string]*zoneRoom {
	rooms := map[string]*zoneRoom{}
	spread := map[string]int{} // what counts of a zone, for tasks that are to be spread
	for _, machine := range ps.withRoom {
		slots := ps.slotsOn(gang, machine, tasksByZone)
		if gang.spec.Spread {
			slots = max(0, min(slots, gang.zoneLimit()-tasksByZone[machine.zone]-spread[machine.zone]))
			spread[machine.zone] += slots
		}
		if slots == 0 {
			continue
		}
		zone := gang.gangZone(machine)
		if rooms[zone] == nil {
			rooms[zone] = &zoneRoom{zone: zone}
		}
		rooms[zone].slots += slots
		rooms[zone].preferred += float64(slots) / (1 + ps.placementScore(gang, machine))
	}
	return rooms
}

// gangZone is the zone of a machine if all tasks of the gang must be in one, otherwise empty.
func (j *job) gangZone(m *machine) string {
	if j.spec.OneZone {
		return m.zone
	}
	return ""
}

// slotsOn is how many tasks of the job the machine could take now.
func (ps *pass) slotsOn(gang *job, m *machine, tasksByZone map[string]int) int {
	if !hasRoom(gang, m, 1) || !ps.canTakeTask(gang, m, tasksByZone) || ps.reservedAgainst(gang, m) {
		return 0
	}
	slots := min(slotsFor(gang, m.machineType, m.used()), maxTasksPerMachine-m.placementCount)
	if gang.spec.Spread {
		slots = min(slots, gang.zoneLimit()-tasksByZone[m.zone])
	}
	return slots
}
