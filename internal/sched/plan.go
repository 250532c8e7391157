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

// looks is how many gangs may each look at all machines in a pass.
func (c *Core) looks() int { return max(minGangLooks, mostLooks/max(1, len(c.open))) }

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
func (c *Core) zonesOf(oneZone bool) map[string][]int {
	out := map[string][]int{}
	for i, m := range c.open {
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

// holdBack keeps lower priorities off the machines on which a waiting gang of a higher
// one would start as soon as they were cleared: whatever they started there would be
// stopped again before it had its image. A gang that could start and does not, since
// no more of its victims may be stopped, holds them back half of the time only.
func (c *Core) holdBack(gangs []*job) {
	if len(gangs) == 0 {
		return
	}
	type key struct {
		shape
		oneZone bool
	}
	cleared := map[key]*clearing{}
	kept := map[*job][]int{} // the open machines that are kept for a job
	for i, m := range c.open {
		if m.reserved != nil {
			kept[m.reserved] = append(kept[m.reserved], i)
		}
	}
	marks := 0
	for _, j := range gangs[:min(len(gangs), c.looks())] {
		if j.imminent > 0 && c.now-j.imminent > 2*holdFor {
			j.imminent = 0
		}
		if j.imminent > 0 && c.now-j.imminent > holdFor {
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
			x = &clearing{places: make([]int, len(c.open)), marks: -1}
			for i, m := range c.open {
				if allowed(j, m) {
					u := m.below(j.rank)
					x.places[i] = slots(j, m.kind, m.cpus-u.cpus, m.gpus-u.gpus, m.mem-u.mem)
				}
			}
			cleared[k] = x
		}
		used := j.zones()
		// others is whether the machine has places for any gang of the shape.
		others := func(i int) bool {
			m := c.open[i]
			return x.places[i] > 0 && m.wantedBy == 0 && (m.reserved == nil || m.reserved.rank < j.rank)
		}
		free := func(i int) int {
			m := c.open[i]
			if (others(i) || (x.places[i] > 0 && m.wantedBy == 0 && m.reserved == j)) && zoneOK(j, used, m.zone) {
				return x.places[i]
			}
			return 0
		}
		var sum map[string]int
		if len(used) > 0 || j.spec.Spread {
			sum = map[string]int{}
			for i, m := range c.open {
				sum[zone(m)] += free(i)
			}
		} else {
			if x.marks != marks {
				x.sum, x.marks = map[string]int{}, marks
				for i, m := range c.open {
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
						sum[zone(c.open[i])] += free(i)
					}
				}
			}
		}
		missing, in, found := j.pending(), "", false
		for z, n := range sum {
			if n >= missing && (!found || n < sum[in] || (n == sum[in] && z < in)) {
				in, found = z, true
			}
		}
		if !found {
			j.imminent = 0
			continue
		}
		if j.imminent == 0 {
			j.imminent = c.now
		}
		marks++
		for _, empty := range []bool{true, false} { // those that need no clearing first
			for i, m := range c.open {
				if missing <= 0 {
					break
				}
				if n := free(i); n > 0 && zone(m) == in && room(j, m, 1) == empty {
					missing -= n
					m.wantedBy = j.rank
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

// planning is the state of one plan.
type planning struct {
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

// way is how a machine can come to have room for tasks of a gang.
type way struct {
	*offer
	m    *machine
	at   int // in the order of the machines
	cost Micros
}

// compareWays puts first what is there at once, or can be cleared, before what has to be
// waited for: one late machine makes all the others wait.
func compareWays(x, y *way) int {
	by := cmp.Compare(x.cost, y.cost)
	if x.after > worthWaiting || y.after > worthWaiting {
		by = cmp.Compare(x.after, y.after)
	}
	return cmp.Or(by, cmp.Compare(x.at, y.at))
}

// firstWays collects the first few of many ways.
type firstWays struct {
	most int
	ways []way // a heap, the last of them on top
}

func (f *firstWays) add(w way) {
	h := f.ways
	if len(h) < f.most {
		h = append(h, w)
		for i := len(h) - 1; i > 0; {
			up := (i - 1) / 2
			if compareWays(&h[i], &h[up]) <= 0 {
				break
			}
			h[i], h[up] = h[up], h[i]
			i = up
		}
		f.ways = h
		return
	}
	if compareWays(&w, &h[0]) >= 0 {
		return
	}
	h[0] = w
	for i := 0; ; {
		down := 2*i + 1
		if down >= len(h) {
			return
		}
		if down+1 < len(h) && compareWays(&h[down+1], &h[down]) > 0 {
			down++
		}
		if compareWays(&h[down], &h[i]) <= 0 {
			return
		}
		h[i], h[down] = h[down], h[i]
		i = down
	}
}

// plan decides anew, now and then, which machines are kept for the gangs that
// lack room: first come, first served, but those that can still meet an aim come
// first. In each zone only one gang at a time keeps machines that it has to wait
// for; the others start when they fit.
func (c *Core) plan(gangs []*job) {
	if c.now-c.planned < planEvery {
		return
	}
	c.planned = c.now
	if len(gangs) == 0 {
		return
	}
	late := make(map[*job]bool, len(gangs))
	for _, j := range gangs {
		_, late[j] = j.start(c.now, 0)
	}
	sort.SliceStable(gangs, func(a, b int) bool {
		x, y := gangs[a], gangs[b]
		switch {
		case x.rank != y.rank:
			return x.rank > y.rank
		case x.within != y.within:
			return x.within
		case x.behind() != y.behind():
			return x.behind()
		case late[x] != late[y]:
			return late[y]
		}
		if a, b := x.pending(), y.pending(); a != b {
			return a < b
		}
		return x.arrival < y.arrival
	})
	pl := &planning{taken: map[string]bool{}, kept: map[*job][]int{}, offers: map[kind]*offers{}}
	for i, m := range c.open {
		if m.reserved != nil && m.reservedFor > 0 {
			pl.kept[m.reserved] = append(pl.kept[m.reserved], i)
		}
	}
	for _, j := range gangs[:min(len(gangs), c.looks())] {
		c.makeRoomForGang(j, j.pending(), pl)
	}
}

// waitedFor says whether the machine is kept for a gang that waits for it, and
// that has not had its turn in this plan: one that is served before may have it.
// Until then the machine stays kept, or small tasks would take it in between.
func (c *Core) waitedFor(m *machine) bool {
	return m.reservedFor > 0 && m.heldAt < c.planned
}

// makeRoomForGang finds the machines on which a waiting gang could start with
// the least cost, in one zone if it must, and keeps them for it: those with
// room, those where tasks end soon, and those where the paper's rule finds
// victims. Without that a large gang waits for ever for machines that small
// tasks keep filling. Two gangs never hold part of what the other needs: what is
// kept for one isn't looked at for the next.
func (c *Core) makeRoomForGang(j *job, missing int, pl *planning) {
	for _, i := range pl.kept[j] {
		if m := c.open[i]; m.reserved == j && m.reservedFor > 0 {
			m.reserved = nil // chosen anew
		}
	}
	used := j.zones()
	os := c.offersFor(j, pl)
	var best []way
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
		ws, quick := c.waysIn(j, z, missing, used, os)
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
	if cleared > max(1, len(c.open)/2) {
		return
	}
	for _, w := range best {
		if len(w.victims) > 0 && start <= worthWaiting {
			// Not before the rest is there: the room would stand idle, or be
			// filled by others and be cleared once more.
			pl.evicts(c, w.victims)
			c.evict(j, w.m, w.victims)
			continue
		}
		if w.m.reserved == j && w.m.reservedFor == 0 && c.now < w.m.reservedTill {
			continue // cleared for it
		}
		w.m.reserved, w.m.reservedFor, w.m.heldAt = j, c.now+max(start, 1), c.now
		w.m.reservedTill = c.now + start + 5*second
	}
}

// waysIn lists the first ways in a zone that may be needed for the missing tasks, best
// first, and how many places all ways there have that are not worth evicting for. Where a
// way's victims have become dearer since it was looked at, it is looked at again only if
// it would be among the first: most would not.
func (c *Core) waysIn(j *job, zone string, missing int, used map[string]int, os *offers) (ws []way, quick int) {
	var all []way
	for _, i := range os.zones[zone] {
		m, o := c.open[i], &os.of[i]
		if o.slots == 0 || !zoneOK(j, used, m.zone) {
			continue
		}
		if r := m.reserved; r != nil && r != j && c.now < m.reservedTill && r.rank >= j.rank && !c.waitedFor(m) {
			continue
		}
		if o.room && j.spec.GPUs == 0 && m.kind.GPUs > 0 && !c.mayBlockGPUs(j, m) {
			continue
		}
		like := Micros(c.score(j, m) * float64(second))
		if m.reserved == j && m.reservedFor == 0 {
			like = 0 // cleared for it
		}
		all = append(all, way{o, m, i, like})
	}
	for {
		first := firstWays{most: missing}
		for _, w := range all {
			w.cost += w.offer.cost
			first.add(w)
		}
		again := false
		for _, w := range first.ways {
			if w.stale {
				c.offerOf(os, w.at, j)
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
	slices.SortFunc(ws, func(x, y way) int { return compareWays(&x, &y) })
	return ws, quick
}

// evicts notes what the eviction that is about to happen does to machines. A job that is
// about to have been evicted too often has no more victims anywhere.
func (pl *planning) evicts(c *Core, victims []victim) {
	note := func(p *placement, dearer bool) {
		if i := p.m.at; i < len(c.open) && c.open[i] == p.m {
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
		spared := j.evictions+n >= maxEvictions*max(1, len(j.placements))
		for p := range j.placements {
			note(p, !spared)
		}
	}
}

// offersFor is what the open machines offer to the gang as things stand in the plan.
func (c *Core) offersFor(j *job, pl *planning) *offers {
	k := kind{shape: j.shape(), may: c.mayEvict(j), oneZone: j.spec.OneZone}
	if k.may && c.claims(j) {
		k.claims, k.team = true, j.team
	}
	os := pl.offers[k]
	if os == nil || k.claims && os.seen < len(pl.changes) { // how far other teams go beyond their guarantees has changed
		os = &offers{kind: k, of: make([]offer, len(c.open)), zones: c.zonesOf(k.oneZone), quick: map[string]int{}, all: map[string]int{}, seen: len(pl.changes)}
		for i := range c.open {
			c.offerOf(os, i, j)
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
			c.offerOf(os, x.at, j)
		}
	}
	os.seen = len(pl.changes)
	return os
}

// offerOf finds out what a machine offers and brings the sums up to date.
func (c *Core) offerOf(os *offers, i int, j *job) {
	m, o := c.open[i], offer{}
	if allowed(j, m) && slots(j, m.kind, 0, 0, 0) > 0 {
		o = c.offer(j, m, os.may)
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
func (c *Core) offer(j *job, m *machine, may bool) offer {
	o := offer{slots: slots(j, m.kind, m.cpus, m.gpus, m.mem)}
	if o.slots > 0 {
		o.room = true
		return o
	}
	// By waiting: the tasks that are expected to end first.
	type end struct {
		at Micros
		j  *job
	}
	ends := make([]end, 0, m.n)
	m.each(func(p *placement) {
		left := Micros(0)
		switch {
		case p.stop:
			left = second
		case p.job.spec.EstimateS == 0:
			left = 3600 * second
		default:
			// Later than expected is likely to be a while later still.
			left = p.job.estimate() + Micros(c.fetch(p.job, m)*float64(second))
			if p.running > 0 {
				left = max(p.job.estimate()-(c.now-p.running), p.job.estimate()/4)
			}
		}
		ends = append(ends, end{left, p.job})
	})
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	cpus, gpus, mem := m.cpus, m.gpus, m.mem
	for _, e := range ends {
		cpus, gpus, mem = cpus-e.j.spec.CPUs, gpus-e.j.spec.GPUs, mem-e.j.spec.MemoryGB
		if o.slots = slots(j, m.kind, cpus, gpus, mem); o.slots > 0 {
			o.after = e.at
			break
		}
	}
	o.cost = o.after
	if o.slots == 0 || !may || o.after <= worthWaiting {
		return o
	}
	vs, ok := c.victims(j, m)
	if !ok {
		return o
	}
	cost := Micros(0)
	for _, v := range vs {
		// By what the victim takes of the machine: a gang's task makes many
		// small ones go.
		s := &v.tasks[0].job.spec
		part := s.CPUs / max(m.kind.CPUs, eps)
		if m.kind.GPUs > 0 {
			part = max(part, s.GPUs/m.kind.GPUs)
		}
		cost += Micros(float64(v.cost) * part)
	}
	return offer{slots: 1, victims: vs, cost: cost}
}
