package sched

import (
	"cmp"
	"slices"
	"sort"
	"strings"
)

// Which machines are kept for the gangs that lack room is looked at for each gang, over
// all machines. What a machine offers differs between gangs of one shape by little more
// than whether their image is there, so it is found out once for all of them, and anew
// only where an eviction changed it; and a zone that can't have room for a gang, whatever
// its images are, is not looked at. Without that, a hundred waiting gangs at 1,600
// machines took more than the leader's share of a processor.

// holdFor is how long a gang may take to start once it could.
const holdFor = 5 * second

// worthWaiting is how long a gang rather waits for a machine than evicts. Longer
// waits come to nothing: while it waits, small tasks fill what has become free.
const worthWaiting = 3 * second

// planEvery is how often it is decided anew which machines are kept for gangs.
const planEvery = second

// minGangLooks is how many gangs may each look at all machines in a pass at any size of site.
const minGangLooks = 8

// candidateLimit is how many gangs may each look at all machines in a pass.
func (ps *pass) candidateLimit() int {
	return max(minGangLooks, maxCandidateLooks/max(1, len(ps.schedulable)))
}

// shape is what decides where a gang's task may go.
type shape struct {
	cpus, gpus, mem float64
	rank            int
	spot            bool
	zone, types     string
}

func (j *job) shape() shape {
	s := shape{j.spec.CPUs, j.spec.GPUs, j.spec.MemoryGB, j.rank, j.spec.Spot, "", strings.Join(j.spec.Types, " ")}
	if j.spec.Zone != nil {
		s.zone = *j.spec.Zone
	}
	return s
}

// zonesOf parts the open machines by zone, or lists all under one that is empty.
func (ps *pass) zonesOf(oneZone bool) map[string][]int {
	out := map[string][]int{}
	for i, m := range ps.schedulable {
		z := ""
		if oneZone {
			z = m.zone
		}
		out[z] = append(out[z], i)
	}
	return out
}

// clearing is what the machines would offer to gangs of a shape once lower priorities
// were cleared off them.
type clearing struct {
	places []int // on each open machine
	sum    map[string]int
	marks  int // how many machines were wanted by some gang when it was summed up
}

// reserveBelow keeps lower priorities off the machines on which a waiting gang of a higher
// one would start as soon as they were cleared: whatever they started there would be
// stopped again before it had its image. A gang that could start and does not, since
// no more of its victims may be stopped, holds them back half of the time only.
func (ps *pass) reserveBelow(gangs []*job) {
	if len(gangs) == 0 {
		return
	}
	type key struct {
		shape
		oneZone bool
	}
	cleared := map[key]*clearing{}
	kept := map[*job][]int{} // the open machines that are kept for a job
	for i, m := range ps.schedulable {
		if m.reservedFor != nil {
			kept[m.reservedFor] = append(kept[m.reservedFor], i)
		}
	}
	marks := 0
	for _, j := range gangs[:min(len(gangs), ps.candidateLimit())] {
		if j.startableSince > 0 && ps.core.now-j.startableSince > 2*holdFor {
			j.startableSince = 0
		}
		if j.startableSince > 0 && ps.core.now-j.startableSince > holdFor {
			continue
		}
		zone := func(m *machine) string {
			if j.spec.OneZone {
				return m.zone
			}
			return ""
		}
		k := key{j.shape(), j.spec.OneZone}
		x := cleared[k]
		if x == nil {
			x = &clearing{places: make([]int, len(ps.schedulable)), marks: -1}
			for i, m := range ps.schedulable {
				if allowed(j, m) {
					u := m.usedBelow(j.rank)
					x.places[i] = slotsFor(j, m.machineType, m.usedCPUs-u.cpus, m.usedGPUs-u.gpus, m.usedMemoryGB-u.mem)
				}
			}
			cleared[k] = x
		}
		used := j.tasksByZone()
		// others is whether the machine has places for any gang of the shape.
		others := func(i int) bool {
			m := ps.schedulable[i]
			return x.places[i] > 0 && m.claimedByRank == 0 && (m.reservedFor == nil || m.reservedFor.rank < j.rank)
		}
		free := func(i int) int {
			m := ps.schedulable[i]
			if (others(i) || (x.places[i] > 0 && m.claimedByRank == 0 && m.reservedFor == j)) && satisfiesZones(j, used, m.zone) {
				return x.places[i]
			}
			return 0
		}
		var sum map[string]int
		if len(used) > 0 || j.spec.Spread {
			sum = map[string]int{}
			for i, m := range ps.schedulable {
				sum[zone(m)] += free(i)
			}
		} else {
			if x.marks != marks {
				x.sum, x.marks = map[string]int{}, marks
				for i, m := range ps.schedulable {
					if others(i) {
						x.sum[zone(m)] += x.places[i]
					}
				}
			}
			sum = x.sum
			if own := kept[j]; len(own) > 0 {
				sum = make(map[string]int, len(x.sum))
				for z, n := range x.sum {
					sum[z] = n
				}
				for _, i := range own {
					if !others(i) {
						sum[zone(ps.schedulable[i])] += free(i)
					}
				}
			}
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
		marks++
		for _, empty := range []bool{true, false} { // those that need no clearing first
			for i, m := range ps.schedulable {
				if missing <= 0 {
					break
				}
				if n := free(i); n > 0 && zone(m) == in && hasRoom(j, m, 1) == empty {
					missing -= n
					m.claimedByRank = j.rank
				}
			}
		}
	}
}

// offer is what a machine offers to the tasks of gangs of one kind, apart from how much
// they like it.
type offer struct {
	slots   int
	after   Micros   // until it has the room, if nothing is evicted
	victims []victim // to be evicted for one task, if that is better than waiting
	cost    Micros   // of them, or of the wait
	room    bool     // it has room now
	stale   bool     // a victim's job was evicted from elsewhere: it is dearer now
}

// kind is gangs to which machines offer the same.
type kind struct {
	shape
	may     bool  // evict
	claims  bool  // work of other teams beyond their guarantees too
	team    *team // then
	oneZone bool
}

// offers is what all open machines offer to gangs of a kind.
type offers struct {
	kind
	of    []offer
	zones map[string][]int
	quick map[string]int // slots by zone that are not worth evicting for
	all   map[string]int
	seen  int // how much of the plan's list of changes is taken in
}

// gangPlanning is the state of one plan.
type gangPlanning struct {
	taken   map[string]bool // zones in which a gang waits for machines
	kept    map[*job][]int  // open machines that were kept for a job that waits for them
	offers  map[kind]*offers
	changes []change
}

// change is what an eviction did to an open machine.
type change struct {
	at     int
	dearer bool // only that a task on it has become dearer; otherwise tasks are stopped
}

// clearingPlan is how a machine can come to have room for tasks of a gang.
type clearingPlan struct {
	*offer
	m    *machine
	at   int // in the order of the machines
	cost Micros
}

// compareClearingPlans puts first what is there at once, or can be cleared, before what has to be
// waited for: one late machine makes all the others wait.
func compareClearingPlans(x, y *clearingPlan) int {
	by := cmp.Compare(x.cost, y.cost)
	if x.after > worthWaiting || y.after > worthWaiting {
		by = cmp.Compare(x.after, y.after)
	}
	return cmp.Or(by, cmp.Compare(x.at, y.at))
}

// bestClearingPlans collects the first few of many ways.
type bestClearingPlans struct {
	most int
	ways []clearingPlan // a heap, the last of them on top
}

func (f *bestClearingPlans) add(w clearingPlan) {
	h := f.ways
	if len(h) < f.most {
		h = append(h, w)
		for i := len(h) - 1; i > 0; {
			up := (i - 1) / 2
			if compareClearingPlans(&h[i], &h[up]) <= 0 {
				break
			}
			h[i], h[up] = h[up], h[i]
			i = up
		}
		f.ways = h
		return
	}
	if compareClearingPlans(&w, &h[0]) >= 0 {
		return
	}
	h[0] = w
	for i := 0; ; {
		down := 2*i + 1
		if down >= len(h) {
			return
		}
		if down+1 < len(h) && compareClearingPlans(&h[down+1], &h[down]) > 0 {
			down++
		}
		if compareClearingPlans(&h[down], &h[i]) <= 0 {
			return
		}
		h[i], h[down] = h[down], h[i]
		i = down
	}
}

// planGangs decides anew, now and then, which machines are kept for the gangs that
// lack room: first come, first served, but those that can still meet an aim come
// first. In each zone only one gang at a time keeps machines that it has to wait
// for; the others start when they fit.
func (ps *pass) planGangs(gangs []*job) {
	if ps.core.now-ps.core.gangsPlannedAt < planEvery {
		return
	}
	ps.core.gangsPlannedAt = ps.core.now
	if len(gangs) == 0 {
		return
	}
	late := make(map[*job]bool, len(gangs))
	for _, j := range gangs {
		_, late[j] = j.latestStart(ps.core.now, 0)
	}
	sort.SliceStable(gangs, func(a, b int) bool {
		x, y := gangs[a], gangs[b]
		switch {
		case x.rank != y.rank:
			return x.rank > y.rank
		case x.withinGuarantee != y.withinGuarantee:
			return x.withinGuarantee
		case x.underserved() != y.underserved():
			return x.underserved()
		case late[x] != late[y]:
			return late[y]
		}
		if a, b := x.pendingCount(), y.pendingCount(); a != b {
			return a < b
		}
		return x.arrival < y.arrival
	})
	pl := &gangPlanning{taken: map[string]bool{}, kept: map[*job][]int{}, offers: map[kind]*offers{}}
	for i, m := range ps.schedulable {
		if m.reservedFor != nil && m.reservationStart > 0 {
			pl.kept[m.reservedFor] = append(pl.kept[m.reservedFor], i)
		}
	}
	for _, j := range gangs[:min(len(gangs), ps.candidateLimit())] {
		ps.makeRoomForGang(j, j.pendingCount(), pl)
	}
}

// isReservedForWait says whether the machine is kept for a gang that waits for it, and
// that has not had its turn in this plan: one that is served before may have it.
// Until then the machine stays kept, or small tasks would take it in between.
func (ps *pass) isReservedForWait(m *machine) bool {
	return m.reservationStart > 0 && m.reservationCheckedAt < ps.core.gangsPlannedAt
}

// makeRoomForGang finds the machines on which a waiting gang could start with
// the least cost, in one zone if it must, and keeps them for it: those with
// room, those where tasks end soon, and those where the paper's rule finds
// victims. Without that a large gang waits for ever for machines that small
// tasks keep filling. Two gangs never hold part of what the other needs: what is
// kept for one isn't looked at for the next.
func (ps *pass) makeRoomForGang(j *job, missing int, pl *gangPlanning) {
	for _, i := range pl.kept[j] {
		if m := ps.schedulable[i]; m.reservedFor == j && m.reservationStart > 0 {
			m.reservedFor = nil // chosen anew
		}
	}
	used := j.tasksByZone()
	os := ps.offersFor(j, pl)
	var best []clearingPlan
	var bestCost Micros
	in := ""
	zones := make([]string, 0, len(os.zones))
	for z := range os.zones {
		if os.all[z] >= missing && !(pl.taken[z] && os.quick[z] < missing) {
			zones = append(zones, z) // the others would come to nothing below
		}
	}
	slices.Sort(zones)
	for _, z := range zones {
		ws, quick := ps.clearingPlansIn(j, z, missing, used, os)
		n, k, cost, last := 0, 0, Micros(0), Micros(0)
		for ; k < len(ws) && n < missing; k++ {
			n += ws[k].slots
			last = max(last, ws[k].after) // it starts with the last one
			if len(ws[k].victims) > 0 {
				cost += ws[k].cost
			}
			if ws[k].after <= worthWaiting {
				quick -= ws[k].slots
			}
		}
		cost += last * Micros(missing)
		// Small gangs go where few machines are left for them, and leave the
		// zones with many to large ones.
		cost += Micros(quick) * second
		if n >= missing && (best == nil || cost < bestCost) && !(pl.taken[z] && last > worthWaiting) {
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
		pl.taken[in] = true
	}
	// Soft point: a guest's huge job would evict almost everything.
	if cleared > max(1, len(ps.schedulable)/2) {
		return
	}
	for _, w := range best {
		if len(w.victims) > 0 && start <= worthWaiting {
			// Not before the rest is there: the room would stand idle, or be
			// filled by others and be cleared once more.
			pl.evicts(ps, w.victims)
			ps.preempt(j, w.m, w.victims)
			continue
		}
		if w.m.reservedFor == j && w.m.reservationStart == 0 && ps.core.now < w.m.reservedUntil {
			continue // cleared for it
		}
		w.m.reservedFor, w.m.reservationStart, w.m.reservationCheckedAt = j, ps.core.now+max(start, 1), ps.core.now
		w.m.reservedUntil = ps.core.now + start + 5*second
	}
}

// clearingPlansIn lists the first ways in a zone that may be needed for the missing tasks, best
// first, and how many places all ways there have that are not worth evicting for. Where a
// way's victims have become dearer since it was looked at, it is looked at again only if
// it would be among the first: most would not.
func (ps *pass) clearingPlansIn(j *job, zone string, missing int, used map[string]int, os *offers) (ws []clearingPlan, quick int) {
	var all []clearingPlan
	for _, i := range os.zones[zone] {
		m, o := ps.schedulable[i], &os.of[i]
		if o.slots == 0 || !satisfiesZones(j, used, m.zone) {
			continue
		}
		if r := m.reservedFor; r != nil && r != j && ps.core.now < m.reservedUntil && r.rank >= j.rank && !ps.isReservedForWait(m) {
			continue
		}
		if o.room && j.spec.GPUs == 0 && m.machineType.GPUs > 0 && !ps.mayBlockGPUs(j, m) {
			continue
		}
		like := Micros(ps.placementScore(j, m) * float64(second))
		if m.reservedFor == j && m.reservationStart == 0 {
			like = 0 // cleared for it
		}
		all = append(all, clearingPlan{o, m, i, like})
	}
	for {
		first := bestClearingPlans{most: missing}
		for _, w := range all {
			w.cost += w.offer.cost
			first.add(w)
		}
		again := false
		for _, w := range first.ways {
			if w.stale {
				ps.offerOf(os, w.at, j)
				again = true
			}
		}
		if !again {
			ws = first.ways
			break
		}
	}
	for _, w := range all {
		if w.after <= worthWaiting {
			quick += w.slots
		}
	}
	slices.SortFunc(ws, func(x, y clearingPlan) int { return compareClearingPlans(&x, &y) })
	return ws, quick
}

// evicts notes what the eviction that is about to happen does to machines. A job that is
// about to have been evicted too often has no more victims anywhere.
func (pl *gangPlanning) evicts(ps *pass, victims []victim) {
	note := func(p *placement, dearer bool) {
		if i := p.machine.passIndex; i < len(ps.schedulable) && ps.schedulable[i] == p.machine {
			pl.changes = append(pl.changes, change{i, dearer})
		}
	}
	told := map[*job]int{}
	for _, v := range victims {
		for _, p := range v.tasks {
			note(p, false)
		}
		told[v.tasks[0].job]++
	}
	for j, n := range told {
		spared := j.preemptions+n >= maxEvictions*max(1, len(j.placements))
		for p := range j.placements {
			note(p, !spared)
		}
	}
}

// offersFor is what the open machines offer to the gang as things stand in the plan.
func (ps *pass) offersFor(j *job, pl *gangPlanning) *offers {
	k := kind{shape: j.shape(), may: ps.mayPreempt(j), oneZone: j.spec.OneZone}
	if k.may && ps.core.reclaimsGuarantee(j) {
		k.claims, k.team = true, j.team
	}
	os := pl.offers[k]
	if os == nil || k.claims && os.seen < len(pl.changes) { // how far other teams go beyond their guarantees has changed
		os = &offers{kind: k, of: make([]offer, len(ps.schedulable)), zones: ps.zonesOf(k.oneZone), quick: map[string]int{}, all: map[string]int{}, seen: len(pl.changes)}
		for i := range ps.schedulable {
			ps.offerOf(os, i, j)
		}
		pl.offers[k] = os
	}
	done := map[int]bool{}
	for _, x := range pl.changes[os.seen:] {
		if x.dearer {
			os.of[x.at].stale = len(os.of[x.at].victims) > 0
		}
	}
	for _, x := range pl.changes[os.seen:] {
		if !x.dearer && !done[x.at] {
			done[x.at] = true
			ps.offerOf(os, x.at, j)
		}
	}
	os.seen = len(pl.changes)
	return os
}

// offerOf finds out what a machine offers and brings the sums up to date.
func (ps *pass) offerOf(os *offers, i int, j *job) {
	m, o := ps.schedulable[i], offer{}
	if allowed(j, m) && slotsFor(j, m.machineType, 0, 0, 0) > 0 {
		o = ps.offer(j, m, os.may)
	}
	z := ""
	if os.oneZone {
		z = m.zone
	}
	count := func(x *offer, sign int) {
		os.all[z] += sign * x.slots
		if x.after <= worthWaiting {
			os.quick[z] += sign * x.slots
		}
	}
	count(&os.of[i], -1)
	count(&o, 1)
	os.of[i] = o
}

// offer says how the machine could take tasks of a gang: now, by waiting, or by
// evicting, whichever costs less.
func (ps *pass) offer(j *job, m *machine, may bool) offer {
	o := offer{slots: slotsFor(j, m.machineType, m.usedCPUs, m.usedGPUs, m.usedMemoryGB)}
	if o.slots > 0 {
		o.room = true
		return o
	}
	// By waiting: the tasks that are expected to end first.
	type end struct {
		at Micros
		j  *job
	}
	ends := make([]end, 0, m.placementCount)
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
		if o.slots = slotsFor(j, m.machineType, cpus, gpus, mem); o.slots > 0 {
			o.after = e.at
			break
		}
	}
	o.cost = o.after
	if o.slots == 0 || !may || o.after <= worthWaiting {
		return o
	}
	vs, ok := ps.victims(j, m)
	if !ok {
		return o
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
	return offer{slots: 1, victims: vs, cost: cost}
}
