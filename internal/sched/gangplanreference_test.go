package sched

import (
	"cmp"
	"slices"
)

// How gangs were planned before, as a reference: every machine is looked at for every gang.

func (ps *pass) referenceReserveBelow(gangs []*job) {
	cleared := map[gangShape][]int{} // places on each open machine once it is cleared
	for _, j := range gangs[:min(len(gangs), ps.maxGangCandidates())] {
		if j.startableSince > 0 && ps.core.now-j.startableSince > 2*claimDuration {
			j.startableSince = 0
		}
		if j.startableSince > 0 && ps.core.now-j.startableSince > claimDuration {
			continue
		}
		places := cleared[j.gangShape()]
		if places == nil {
			places = make([]int, len(ps.schedulable))
			for i, m := range ps.schedulable {
				if allowed(j, m) {
					u := m.usedBelow(j.rank)
					places[i] = slotsFor(j, m.machineType, resourceUse{m.usedCPUs - u.cpus, m.usedGPUs - u.gpus, m.usedMemoryGB - u.mem})
				}
			}
			cleared[j.gangShape()] = places
		}
		used := j.tasksByZone()
		free := func(i int) int {
			m := ps.schedulable[i]
			if places[i] == 0 || ps.claims[m] > 0 || !satisfiesZones(j, used, m.zone) || (m.reservedFor != nil && m.reservedFor != j && m.reservedFor.rank >= j.rank) {
				return 0
			}
			return places[i]
		}
		zone := func(m *machine) string {
			if j.spec.OneZone {
				return m.zone
			}
			return ""
		}
		sum := map[string]int{}
		for i, m := range ps.schedulable {
			sum[zone(m)] += free(i)
		}
		missing, in, found := j.pendingCount(), "", false
		for z, n := range sum {
			if n >= missing && (!found || n < sum[in] || (n == sum[in] && z < in)) {
				in, found = z, true
			}
		}
		if !found {
			j.startableSince = 0
			continue
		}
		if j.startableSince == 0 {
			j.startableSince = ps.core.now
		}
		for _, empty := range []bool{true, false} { // those that need no clearing first
			for i, m := range ps.schedulable {
				if missing <= 0 {
					break
				}
				if n := free(i); n > 0 && zone(m) == in && hasRoom(j, m, 1) == empty {
					missing -= n
					ps.claims[m] = j.rank
				}
			}
		}
	}
}

type referenceOption struct {
	m       *machine
	slots   int
	after   Micros // until it has the room, if nothing is preempted
	victims []victim
	cost    Micros
}

func (ps *pass) referencePlan(gangs []*job) {
	if ps.core.now-ps.core.gangsPlannedAt < gangPlanInterval {
		return
	}
	ps.core.gangsPlannedAt = ps.core.now
	late := make(map[*job]bool, len(gangs))
	for _, j := range gangs {
		_, late[j] = j.latestStart(ps.core.now, 0)
	}
	slices.SortStableFunc(gangs, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(b.rank, a.rank),
			compareBool(b.withinGuarantee, a.withinGuarantee),
			compareBool(late[a], late[b]),
			cmp.Compare(a.pendingCount(), b.pendingCount()),
			cmp.Compare(a.arrival, b.arrival),
		)
	})
	taken := map[string]bool{}
	for _, j := range gangs[:min(len(gangs), ps.maxGangCandidates())] {
		ps.referenceMakeRoom(j, j.pendingCount(), taken)
	}
}

func (ps *pass) referenceMakeRoom(j *job, missing int, taken map[string]bool) {
	used := j.tasksByZone()
	may := ps.mayPreempt(j)
	ways := map[string][]referenceOption{}
	for _, m := range ps.schedulable {
		if m.reservedFor == j && m.reservationStart > 0 {
			m.endReservation() // chosen anew
		}
		if r := m.reservedFor; r != nil && r != j && ps.core.now < m.reservedUntil && r.rank >= j.rank && !ps.isAwaitingReplan(m) {
			continue
		}
		if !allowed(j, m) || !satisfiesZones(j, used, m.zone) || slotsOnEmpty(j, m.machineType) == 0 {
			continue
		}
		if w, ok := ps.referenceOptionOn(j, m, may); ok {
			z := m.zone
			if !j.spec.OneZone {
				z = ""
			}
			ways[z] = append(ways[z], w)
		}
	}
	var best []referenceOption
	var bestCost Micros
	in := ""
	zones := make([]string, 0, len(ways))
	for z := range ways {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	for _, z := range zones {
		ws := ways[z]
		// What is there at once, or can be cleared, comes before what has to be
		// waited for: one late machine makes all the others wait.
		slices.SortStableFunc(ws, func(a, b referenceOption) int {
			if a.after > worthWaiting || b.after > worthWaiting {
				return cmp.Compare(a.after, b.after)
			}
			return cmp.Compare(a.cost, b.cost)
		})
		n, k, cost, last := 0, 0, Micros(0), Micros(0)
		for ; k < len(ws) && n < missing; k++ {
			n += ws[k].slots
			last = max(last, ws[k].after) // it starts with the last one
			if len(ws[k].victims) > 0 {
				cost += ws[k].cost
			}
		}
		cost += last * Micros(missing)
		// Small gangs go where few machines are left for them, and leave the
		// zones with many to large ones.
		for _, w := range ws[k:] {
			if w.after <= worthWaiting {
				cost += Micros(w.slots) * second
			}
		}
		if n >= missing && (best == nil || cost < bestCost) && !(taken[z] && last > worthWaiting) {
			best, bestCost, in = ws[:k], cost, z
		}
	}
	start, cleared := Micros(0), 0
	for _, w := range best {
		start = max(start, w.after)
		if len(w.victims) > 0 {
			cleared++
		}
	}
	if start > worthWaiting {
		taken[in] = true
	}
	// Soft point: a guest's huge job would preempt almost everything.
	if cleared > max(1, len(ps.schedulable)/2) {
		return
	}
	for _, w := range best {
		if len(w.victims) > 0 && start <= worthWaiting {
			// Not before the rest is there: the room would stand idle, or be
			// filled by others and be cleared once more.
			ps.preempt(j, w.m, w.victims)
			continue
		}
		if w.m.reservedFor == j && w.m.reservationStart == 0 && ps.core.now < w.m.reservedUntil {
			continue // cleared for it
		}
		w.m.reserveWaiting(j, ps.core.now+max(start, 1), ps.core.now+start+5*second, ps.core.now)
	}
}

func (ps *pass) referenceOptionOn(j *job, m *machine, may bool) (referenceOption, bool) {
	w := referenceOption{m: m, slots: slotsFor(j, m.machineType, m.used())}
	like := Micros(ps.placementScore(j, m) * float64(second))
	if m.reservedFor == j && m.reservationStart == 0 {
		like = 0 // cleared for it
	}
	if w.slots > 0 {
		w.cost = like
		return w, j.spec.GPUs > 0 || m.machineType.GPUs == 0 || ps.mayUseGPUMachine(j, m)
	}
	// By waiting: the tasks that are expected to end first.
	type end struct {
		at Micros
		j  *job
	}
	var ends []end
	m.eachPlacement(func(p *placement) {
		left := Micros(0)
		switch {
		case p.stopping:
			left = second
		case p.job.spec.EstimateS == 0:
			left = 3600 * second
		default:
			// Later than expected is likely to be a while later still.
			left = p.job.expectedRunTime() + Micros(m.imageFetchS(p.job, ps.core.now)*float64(second))
			if p.runningSince > 0 {
				left = max(p.job.expectedRunTime()-(ps.core.now-p.runningSince), p.job.expectedRunTime()/4)
			}
		}
		ends = append(ends, end{left, p.job})
	})
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	cpus, gpus, mem := m.usedCPUs, m.usedGPUs, m.usedMemoryGB
	for _, e := range ends {
		cpus, gpus, mem = cpus-e.j.spec.CPUs, gpus-e.j.spec.GPUs, mem-e.j.spec.MemoryGB
		if w.slots = slotsFor(j, m.machineType, resourceUse{cpus, gpus, mem}); w.slots > 0 {
			w.after = e.at
			break
		}
	}
	if w.slots == 0 {
		return w, false
	}
	w.cost = like + w.after
	if !may || w.after <= worthWaiting {
		return w, true
	}
	vs, ok := ps.victims(j, m)
	if !ok {
		return w, true
	}
	cost := Micros(0)
	for _, v := range vs {
		// By what the victim takes of the machine: a gang's task makes many
		// small ones go.
		s := &v.tasks[0].job.spec
		part := s.CPUs / max(m.machineType.CPUs, epsilon)
		if m.machineType.GPUs > 0 {
			part = max(part, s.GPUs/m.machineType.GPUs)
		}
		cost += Micros(float64(v.cost) * part)
	}
	w.victims, w.after, w.cost, w.slots = vs, 0, like+cost, 1
	return w, true
}
