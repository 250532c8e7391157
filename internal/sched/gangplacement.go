package sched

import "sort"

// placeGang places all missing tasks of a gang or none; false says that it lacks
// room. A waiting attempt that lost a task gets a replacement with the same
// attempt number; a broken one is cleared away first.
func (ps *pass) placeGang(j *job) bool {
	if j.gangBroken || (j.gangStarted && len(j.placements) > 0) {
		for _, p := range j.sortedPlacements() {
			if !p.checkpointing {
				ps.core.stopPlacement(p, false)
			}
		}
		return true
	}
	for p := range j.placements {
		if p.stopping {
			return true // an old attempt is still leaving
		}
	}
	if j.atTeamLimit() {
		return true
	}
	for _, z := range ps.gangZones(j, j.pendingCount()) {
		if ps.placeGangIn(j, z) {
			return true
		}
	}
	return false
}

// placeGangIn places the missing tasks in a zone, or anywhere if it is empty.
func (ps *pass) placeGangIn(j *job, zone string) bool {
	b := ps.batch
	before := j.gangAttempt
	if j.gangAttempt == 0 {
		j.gangAttempt = ps.core.sequence.nextAttempt()
	}
	got := map[*machine][]*placement{}
	var order []*machine
	used := j.tasksByZone()
	all := ps.candidates(j, used, zone)
	hosts, n := 0, 0
	var m *machine
	for t := int32(0); t < int32(j.spec.Tasks); t++ {
		if j.placementsByTask[t] > 0 {
			continue
		}
		if m == nil || !ps.canTakeTask(j, m, used) {
			if m = ps.popBest(&all, j, used); m == nil {
				break
			}
			order = append(order, m)
			hosts += b.cost(m)
		}
		n++
		got[m] = append(got[m], ps.core.addPlacement(j, t, m, j.gangAttempt))
		used[m.zone]++
	}
	fits := m != nil && b.fits(j, hosts, len(order), n)
	if m != nil && !fits && !b.fitsAlone(hosts, len(order), n) {
		// It takes several transactions, and a batch of its own.
		if fits = len(b.placements) == 0; fits {
			b.large = true
		} else if ps.core.nextGang == nil {
			ps.core.nextGang = j
		}
	}
	if fits {
		for _, m := range order {
			b.add(got[m]...)
		}
		return true
	}
	attempt := j.gangAttempt
	for _, m := range order {
		for _, p := range got[m] {
			ps.core.release(p)
		}
	}
	if j.gangAttempt = attempt; before == 0 {
		j.gangAttempt = 0
	}
	return false
}

// gangZones lists the zones that have room for all missing tasks; a job without a
// zone rule gets the empty one. The zone that has least room comes first, so that
// small gangs don't cut up the room that large ones need; where the tasks would
// rather not be (their image is missing) counts as room that is left.
func (ps *pass) gangZones(j *job, missing int) []string {
	used := j.tasksByZone()
	room, like := map[string]int{}, map[string]float64{}
	share := map[string]int{} // of a zone, for tasks that are to be spread
	for _, m := range ps.withRoom {
		n := ps.slotsOn(j, m, used)
		if j.spec.Spread {
			n = max(0, min(n, j.zoneLimit()-used[m.zone]-share[m.zone]))
			share[m.zone] += n
		}
		if n == 0 {
			continue
		}
		z := m.zone
		if !j.spec.OneZone {
			z = ""
		}
		room[z] += n
		like[z] += float64(n) / (1 + ps.placementScore(j, m))
	}
	var zs []string
	for z, n := range room {
		if n >= missing {
			zs = append(zs, z)
		}
	}
	sort.Slice(zs, func(a, b int) bool {
		x, y := zs[a], zs[b]
		kx, ky := float64(room[x])*float64(room[x])/max(like[x], 0.01), float64(room[y])*float64(room[y])/max(like[y], 0.01)
		if kx != ky {
			return kx < ky
		}
		return x < y
	})
	if j.spec.Tasks == 1 && len(zs) > 1 { // a lone task goes where it starts first
		if m := ps.findMachine(j, used, ""); m != nil {
			zs = []string{m.zone}
		}
	}
	return zs
}

// slotsOn is how many tasks of the job the machine could take now.
func (ps *pass) slotsOn(j *job, m *machine, used map[string]int) int {
	if !hasRoom(j, m, 1) || !ps.canTakeTask(j, m, used) || ps.reservedAgainst(j, m) {
		return 0
	}
	n := min(slotsFor(j, m.machineType, m.usedCPUs, m.usedGPUs, m.usedMemoryGB), maxTasksPerMachine-m.placementCount)
	if j.spec.Spread {
		n = min(n, j.zoneLimit()-used[m.zone])
	}
	return n
}
