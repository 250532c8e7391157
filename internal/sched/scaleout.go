package sched

import (
	"math"
	"slices"
	"sort"

	"dalefront/internal/config"
	"dalefront/wire"
)

// ScaleOut returns the rental requests that the waiting tasks and the spare room
// call for; at most a few at a time.
func (c *Core) ScaleOut(now Micros) []wire.ScaleOutRequest {
	c.now = now
	if now-c.termStart < 3*second || c.listedAt == 0 {
		return nil // first learn which machines there are
	}
	type bin struct {
		kind           *wire.MachineType
		zone           string
		spot           bool
		cpus, gpus, me float64
		fresh          bool
		away           bool // silent, and not expected back before another would be up
	}
	total := 0
	var bins []*bin
	for _, m := range c.machines.all() {
		if m.failed || m.scalingIn {
			continue
		}
		total++
		if m.reclaimAt > 0 || m.quarantined || m.cordon != nil {
			continue
		}
		overdue := !m.registered && now-m.rentedAt > config.Micro(2*m.machineType.BootS)+10*second
		if overdue {
			continue // don't count on it
		}
		b := &bin{kind: m.machineType, zone: m.zone, spot: m.spot, cpus: m.usedCPUs, gpus: m.usedGPUs, me: m.usedMemoryGB, away: c.unreachable(m)}
		m.eachPlacement(func(p *placement) {
			if c.endsWithin(p, config.Micro(0.8*m.machineType.BootS)) && p.job.spec.GPUs > 0 {
				// Free again before another machine would be up.
				b.cpus -= p.job.spec.CPUs
				b.gpus -= p.job.spec.GPUs
				b.me -= p.job.spec.MemoryGB
			}
		})
		bins = append(bins, b)
	}
	for _, n := range c.pendingScaleOut {
		if n > 0 {
			return nil // one round of requests at a time
		}
	}
	var need []demand
	maxDemand := c.maxDemand()
	for _, j := range c.queue() {
		n := min(j.pendingCount(), c.concurrencyLimit(j))
		if !c.mayScaleOutFor(j) {
			continue
		}
		if !j.isGang() {
			// Tasks shorter than a boot can run one after another.
			est := float64(j.expectedRunTime()) / float64(second)
			if est > 0 {
				n = int(math.Ceil(float64(n) * min(1, (est+5)/(est+15))))
			}
			for lim := n; lim > 0 && !j.team.withinLimit(float64(lim)*j.spec.CPUs, float64(lim)*j.spec.GPUs); lim-- {
				n = lim - 1
			}
		}
		need = append(need, demand{j, min(n, maxDemand)})
	}
	waiting := len(need) // what follows is room kept ready: what is away will do for it
	need = append(need, c.expectedDemand(now)...)
	if short := c.standbyDemand(); short > 0 {
		for _, b := range bins {
			short -= c.serves(b.kind, b.zone, b.spot)
		}
		if j := c.heaviestJob(now); j != nil && short >= j.spec.CPUs {
			used := 0 // beyond what waits and the spare room
			for _, d := range need {
				used += d.slots
			}
			if k := int(short / j.spec.CPUs); k > used {
				need = append(need, demand{j, k - used})
			}
		}
	}
	count := map[string]*wire.ScaleOutRequest{}
	var order, full []string
	wanted := 0.0
	for _, d := range need {
		wanted += float64(d.slots) * d.job.spec.CPUs
	}
	atOnce := perKind
	if least := c.smallestRequest(); least > 0 {
		atOnce = min(perHire, max(perKind, int(wanted/least/16)))
	}
	// Bins that have no room for even the least of these are left out: they only get
	// fuller. At a full site nearly all are, and each job would look at all of them.
	smallest := emptyRequest()
	for _, d := range need {
		smallest.add(d.job)
	}
	taken := func(b *bin) bool { return !smallest.fits(b.kind, b.cpus, b.me) }
	asked := 0
	bins = slices.DeleteFunc(bins, taken)
	inZone := map[string]int{}
	for _, m := range c.machines.all() {
		inZone[m.zone]++
	}
	for i, d := range need {
		left := d.slots
		j := d.job
		only := ""
		// Room in a zone that may take no more of the job's tasks doesn't help it.
		used := map[string]int{}
		if i < waiting && (j.spec.OneZone || j.spec.Spread) {
			used = j.tasksByZone()
		}
		fill := func(b *bin) {
			if left == 0 || !satisfiesZones(j, used, b.zone) || (b.away && i < waiting) || (only != "" && b.zone != only) || (b.spot && !j.spec.Spot) || !fitsType(&j.spec, b.kind) || (j.spec.Zone != nil && *j.spec.Zone != b.zone) {
				return
			}
			if b.kind.GPUs > 0 && j.spec.GPUs == 0 && b.fresh {
				return
			}
			k := min(left, slotsFor(j, b.kind, resourceUse{b.cpus, b.gpus, b.me}))
			if j.spec.Spread {
				k = min(k, j.zoneLimit()-used[b.zone])
			}
			left -= k
			used[b.zone] += k
			b.cpus += float64(k) * j.spec.CPUs
			b.gpus += float64(k) * j.spec.GPUs
			b.me += float64(k) * j.spec.MemoryGB
		}
		if j.spec.OneZone && j.isGang() && left > 1 {
			// Machines spread over zones don't help it: the zone that has most room
			// for it, now or soon, gets what is still missing.
			in := map[string]int{}
			for _, b := range bins {
				if !b.away && (!b.spot || j.spec.Spot) && fitsType(&j.spec, b.kind) && !(b.kind.GPUs > 0 && j.spec.GPUs == 0 && b.fresh) {
					in[b.zone] += min(left, slotsFor(j, b.kind, resourceUse{b.cpus, b.gpus, b.me}))
				}
			}
			most := -1
			for _, z := range c.candidateZones(j) {
				n := in[z]
				if n < left && !c.canScaleOut(j, z) {
					n -= 1 << 20
				}
				if only == "" || n > most {
					only, most = z, n
				}
			}
		}
		filled := 0
		for _, b := range bins {
			if left == 0 {
				break
			}
			fill(b)
			if taken(b) {
				filled++
			}
		}
		if filled > len(bins)/8 {
			bins = slices.DeleteFunc(bins, taken)
		}
		for left > 0 && total < *c.settings.Operator.MaxMachines && asked < mostAsked {
			t, zone, spot, ok := c.chooseType(j, left, only, used, inZone)
			if !ok {
				break
			}
			b := &bin{kind: t, zone: zone, spot: spot, fresh: true}
			bins = append(bins, b)
			asked++
			total++
			before := left
			b.fresh = false
			fill(b)
			b.fresh = true
			if left == before {
				break
			}
			k := spotKey(t.Name, zone, spot)
			if count[k] == nil {
				count[k] = &wire.ScaleOutRequest{Type: t.Name, Zone: zone, Spot: spot}
				order = append(order, k)
			}
			count[k].Count++
			if count[k].Count == atOnce {
				c.outOfCapacity[k] = now // full for this round: go on with the next kind
				full = append(full, k)
			}
		}
	}
	for _, k := range full {
		delete(c.outOfCapacity, k)
	}
	var out []wire.ScaleOutRequest
	for _, k := range order {
		if len(out) == max(2, int(c.settings.Deployment.Cloud.RPS)) {
			break
		}
		h := *count[k]
		c.pendingScaleOut[h.Type] += h.Count
		out = append(out, h)
	}
	return out
}

// smallestRequest is the size of the smallest machine type that some class can use.
func (c *Core) smallestRequest() float64 {
	least := 0.0
	for _, cl := range c.classes.sorted() {
		for _, t := range c.machineTypes {
			if cl.sampleJob != nil && fitsType(&cl.sampleJob.spec, t) && (least == 0 || t.CPUs < least) {
				least = t.CPUs
			}
		}
	}
	return least
}

// endsWithin says whether a running task is expected to end within the time.
func (c *Core) endsWithin(p *placement, t Micros) bool {
	if p.runningSince == 0 || p.job.spec.EstimateS == 0 {
		return false
	}
	left := p.job.expectedRunTime() - (c.now - p.runningSince)
	return left > 0 && left < t
}

// perKind bounds one rental request, so that a round spreads over zones and
// kinds instead of finding out one by one which are empty. When hundreds of
// machines are wanted it grows, so that a few rounds rent them.
const (
	perKind   = 6
	perHire   = 50   // the protocol's limit
	mostAsked = 2000 // machines thought of in a round, of which the cloud's rate lets fewer through

	// minDemand is for how many waiting tasks of one job machines are rented at a time at a site of
	// up to so many machines. At a larger one it is a task for each machine, so that a large array
	// doesn't take more rounds of renting and booting there.
	minDemand = 2000
)

// maxDemand is for how many waiting tasks of one job machines are rented at a time.
func (c *Core) maxDemand() int { return max(minDemand, c.machines.count()) }

// candidateZones lists the zones in which the job may have machines at all.
func (c *Core) candidateZones(j *job) []string {
	var zs []string
	for _, t := range c.machineTypes {
		if !fitsType(&j.spec, t) {
			continue
		}
		for _, z := range t.Zones {
			if (j.spec.Zone == nil || *j.spec.Zone == z) && !slices.Contains(zs, z) {
				zs = append(zs, z)
			}
		}
	}
	sort.Strings(zs)
	return zs
}

// canScaleOut says whether the zone may have machines for the job, as far as known.
func (c *Core) canScaleOut(j *job, zone string) bool {
	_, _, _, ok := c.chooseType(j, 1, zone, nil, nil)
	return ok
}

// dearest is how many times the cheapest price per task may be paid for a job
// whose start no aim watches.
const dearest = 3

// chooseType picks the type, zone and kind with the least price for a task of the
// job among those not lately refused, spread over zones, in which so many of its tasks
// are thought to be.
func (c *Core) chooseType(j *job, left int, only string, used, inZone map[string]int) (*wire.MachineType, string, bool, bool) {
	var best *wire.MachineType
	var zone string
	var spot bool
	bestPrice := math.Inf(1)
	cheapest := math.Inf(1)
	for _, t := range c.machineTypes {
		if n := slotsOnEmpty(j, t); n > 0 && fitsType(&j.spec, t) && t.Price > 0 {
			cheapest = min(cheapest, t.Price/float64(n))
		}
	}
	names := make([]string, 0, len(c.machineTypes))
	for n := range c.machineTypes {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		t := c.machineTypes[n]
		if !fitsType(&j.spec, t) {
			continue
		}
		k := min(left, slotsOnEmpty(j, t))
		if k == 0 {
			continue
		}
		for _, z := range t.Zones {
			if (j.spec.Zone != nil && *j.spec.Zone != z) || (only != "" && z != only) || !satisfiesZones(j, used, z) || c.detector.IsCut(z) || !c.mayScaleOutIn(n, z) {
				continue // what is rented in a zone that is cut off can't be reached
			}
			for _, s := range []bool{true, false} {
				if (s && !j.spec.Spot) || c.now <= c.outOfCapacity[spotKey(n, z, s)] || hourlyRate(t, s) <= 0 {
					continue
				}
				if per := hourlyRate(t, false) / float64(slotsOnEmpty(j, t)); len(j.class.waitObjectives) == 0 && per > dearest*cheapest {
					continue
				}
				price := hourlyRate(t, s) / float64(k) * (1 + 0.01*float64(inZone[z]))
				if price < bestPrice {
					best, zone, spot, bestPrice = t, z, s, price
				}
			}
		}
	}
	return best, zone, spot, best != nil
}
