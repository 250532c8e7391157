package sched

import (
	"math"
	"slices"
	"sort"

	"dalefront/internal/config"
	"dalefront/wire"
)

// MachinesListed takes the cloud's list, which lags and may be older than the last.
func (c *Core) MachinesListed(list []wire.Machine, now Micros) {
	c.now = now
	lag := config.Micro(c.settings.Deployment.Cloud.ListLagS)
	for _, l := range list {
		if c.machines.isReturned(l.ID) {
			continue // the list lags behind the return
		}
		m := c.machines.find(l.ID)
		if m == nil {
			m = c.newMachine(l.ID, l.Addr, l.Type, l.Zone, l.Spot)
		}
		if m.addr == "" {
			m.addr = l.Addr
		}
		if m.lastListedAt == 0 {
			m.rentedAt = min(m.rentedAt, now-config.Micro(l.AgeS))
		}
		m.lastListedAt = now
		m.booting = m.booting || (l.State == wire.MachineBooting && !m.registered)
		if l.State == wire.MachineRunning {
			// The moment that the list describes is the machine's age after its
			// birth, which may itself have been learned late, from a list.
			m.lastListedRunning = max(m.lastListedRunning, min(m.rentedAt+config.Micro(l.AgeS), now)-lag)
		}
		if l.State == wire.MachineFailed && !m.failed {
			m.failed = true
			if m.registered {
				c.detector.Died()
			}
		}
	}
	c.listedAt = now
}

// ScaledOut takes the answer to a rental request.
func (c *Core) ScaledOut(h wire.ScaleOutRequest, hosts []string, now Micros) {
	c.now = now
	c.pendingScaleOut[h.Type] = max(0, c.pendingScaleOut[h.Type]-h.Count)
	c.Stats.ScaledOut += len(hosts)
	for _, host := range hosts {
		if c.machines.find(host) == nil {
			c.newMachine(host, "", h.Type, h.Zone, h.Spot).booting = true
		}
	}
	if len(hosts) < h.Count {
		c.markOutOfCapacity(h)
	}
}

func spotKey(typ, zone string, spot bool) string {
	if spot {
		return typ + "|" + zone + "|spot"
	}
	return typ + "|" + zone
}

func (c *Core) markOutOfCapacity(h wire.ScaleOutRequest) {
	c.outOfCapacity[spotKey(h.Type, h.Zone, h.Spot)] = c.now + 15*second
}

// ScaleOutFailed takes a refusal (no capacity) or a failure.
func (c *Core) ScaleOutFailed(h wire.ScaleOutRequest, noCapacity bool, now Micros) {
	c.now = now
	c.pendingScaleOut[h.Type] = max(0, c.pendingScaleOut[h.Type]-h.Count)
	if noCapacity {
		c.markOutOfCapacity(h)
	}
}

// MachinesReturned says that machines, and everything on them, are gone: the cloud has
// confirmed their return.
func (c *Core) MachinesReturned(hosts []string, now Micros) {
	c.now = now
	c.machines.recordReturned(hosts, now)
	for _, h := range hosts {
		m := c.machines.find(h)
		if m == nil {
			continue
		}
		m.eachPlacement(func(p *placement) {
			if p.durable {
				c.release(p)
			}
		})
		c.Stats.ScaledIn++
		if k := spotKey(m.machineType.Name, m.zone, m.spot); c.outOfCapacity[k] >= now {
			c.outOfCapacity[k] = now - 1 // there may be room for another one now
		}
		c.ledger.machineReturned(h)
		if m.placementCount == 0 {
			c.dropMachine(m)
		} else {
			m.leaseExpired = true // a commit for it is outstanding; it frees its tasks
			m.scalingIn = false
			m.failed = true
		}
	}
}

// ScaleInFailed says that a return was not confirmed; it will be asked again.
func (c *Core) ScaleInFailed(hosts []string, now Micros) {
	c.now = now
	for _, h := range hosts {
		if m := c.machines.find(h); m != nil {
			m.scalingIn = false
		}
	}
}

// Blind says that most workers fell silent at once: then the fault is likelier
// on this side, and another controller should take over.
func (c *Core) Blind(now Micros) bool {
	c.now = now
	return c.detector.IsBlind()
}

const (
	// minReturns is how many machines a round gives back at a site of up to
	// minReturns*machinesPerReturn machines.
	minReturns = 100
	// machinesPerReturn is how many machines there are for each that a round gives back at a larger
	// site. What ran on dead machines starts anew only once their return is confirmed, so a zone
	// that died should be given back within some ten rounds, however large it is.
	machinesPerReturn = 16
)

// maxReturns is how many machines a round gives back.
func (c *Core) maxReturns() int { return max(minReturns, c.machines.count()/machinesPerReturn) }

// ScaleIn lists machines to give back now.
func (c *Core) ScaleIn(now Micros, blind bool) []string {
	c.now = now
	var out []string
	most := c.maxReturns()
	back := func(m *machine, why string) {
		if len(out) < most && !m.scalingIn {
			m.scalingIn = true
			c.log("return machine", "host", m.host, "type", m.machineType.Name, "why", why, "tasks", m.placementCount)
			out = append(out, m.host)
		}
	}
	lag := config.Micro(c.settings.Deployment.Cloud.ListLagS)
	hosts := slices.Clone(c.machines.all())
	room := newRescheduleCosts(c)
	boots := c.bootCurves()
	for _, m := range hosts {
		if m.scalingIn {
			continue
		}
		quiet := now - max(m.lastHeartbeat, c.termStart)
		boot := config.Micro(m.machineType.BootS)
		switch {
		case m.failed:
			back(m, "failed")
		case blind:
		case m.registered && c.listedAt > max(m.lastListedAt, m.rentedAt+4*lag) && now-m.rentedAt > 4*lag+10*second && quiet > 4*second:
			// It was there so long ago that a list would show it, and the newest does not, whether
			// or not one of this term did: taken or dead; the return proves it.
			back(m, "no longer listed")
		case m.leaseExpired:
			if why, ok := c.shouldReplace(m, room); ok {
				back(m, "silent beyond its lease: "+why)
			}
		case m.registered && !m.confirmed && quiet > c.lease+6*second:
			// Never confirmed this term: time proves nothing about its lease.
			if why, ok := c.shouldReplace(m, room); ok {
				back(m, "silent since the term began: "+why)
			}
		case !m.registered && now-m.rentedAt > 3*boot+40*second && quiet > c.lease, c.unlikelyToBoot(m, boots):
			c.recordBootOutcome(m, false)
			back(m, "never came up")
		case m.quarantined && m.placementCount == 0:
			back(m, "tasks fail on it")
		case m.registered && m.placementCount == 0 && m.reclaimAt > 0 && m.confirmed:
			back(m, "empty and about to be taken")
		}
	}
	if blind || now-c.termStart < 20*second {
		return out
	}
	// Idle machines, dearest first, unless they are a spare that the aims need, or some of
	// those that a gang waits for while its others boot.
	need := c.expectedDemand(now)
	for _, j := range c.jobs.sorted(func(j *job) bool { return j.isGang() && j.pendingCount() > 0 && c.mayScaleOutFor(j) }) {
		need = append(need, demand{j, j.pendingCount()})
	}
	reserved := -c.standbyDemand()
	for _, m := range hosts {
		if !m.scalingIn && m.confirmed && m.cordon == nil {
			reserved += c.serves(m.machineType, m.zone, m.spot)
		}
	}
	sort.SliceStable(hosts, func(a, b int) bool { return c.hourlyPrice(hosts[a]) > c.hourlyPrice(hosts[b]) })
	idle := map[*wire.MachineType]int{}
	for _, m := range hosts {
		if !m.scalingIn && m.confirmed && m.placementCount == 0 {
			idle[m.machineType]++
		}
	}
	soon := map[*wire.MachineType]int{}
	for t := range idle {
		soon[t] = c.expectedTasks(t)
	}
	for _, m := range hosts {
		// Keeping a machine is worth as much as booting another one would cost,
		// as long as tasks may be expected for it.
		since := m.idleSince
		if m.machineType.GPUs > 0 && c.lastPass.gpus.any {
			since = m.gpusIdleSince
		}
		if m.scalingIn || !m.confirmed || m.placementCount > 0 || m.reservedFor != nil || now-since < c.idleTimeout(m.machineType, idle[m.machineType] <= soon[m.machineType]) {
			continue
		}
		if c.wanted(m, need) {
			continue
		}
		if x := c.serves(m.machineType, m.zone, m.spot); x > 0 && reserved < x {
			continue
		} else {
			reserved -= x
		}
		idle[m.machineType]--
		back(m, "idle")
	}
	return out
}

// idleTimeout is how long an idle machine of the type is kept, by whether tasks may be
// expected for it.
func (c *Core) idleTimeout(t *wire.MachineType, expected bool) Micros {
	boots := 0.4
	if expected {
		boots = 1.3
	}
	return min(config.Micro(*c.settings.Operator.IdleReturnS), config.Micro(boots*t.BootS))
}

// lacksCapacity says whether the cloud was asked for such a machine lately and had none:
// that outlasts the time for which it isn't asked again.
func (c *Core) lacksCapacity(typ, zone string, spot bool) bool {
	const lately = 45 * second
	until, refused := c.outOfCapacity[spotKey(typ, zone, spot)]
	return refused && c.now <= until+lately
}

// allLackCapacity says whether the cloud lately had no machine without graphics for the
// job.
func (c *Core) allLackCapacity(j *job) bool {
	for _, t := range c.machineTypes {
		if t.GPUs > 0 || !fitsType(&j.spec, t) {
			continue
		}
		for _, z := range t.Zones {
			if j.spec.Zone != nil && *j.spec.Zone != z {
				continue
			}
			if !c.lacksCapacity(t.Name, z, false) {
				return false
			}
		}
	}
	return true
}

// expectedTasks is how many machines of the type the tasks fill that may be expected while
// another one would boot, beyond those that take the place of tasks which end
// meanwhile: the mean and one deviation, as tasks come a job at a time.
func (c *Core) expectedTasks(t *wire.MachineType) int {
	machines := 0.0
	for _, cl := range c.classes.sorted() {
		j := cl.sampleJob
		if j == nil || !fitsType(&j.spec, t) || (t.GPUs > 0) != (j.spec.GPUs > 0) {
			continue
		}
		if n := slotsOnEmpty(j, t); n > 0 {
			tasks := cl.arrivalRate(c.now) * (t.BootS + 10)
			machines += (max(0, tasks-c.completionsWithin(cl, config.Micro(t.BootS))) + math.Sqrt(tasks*max(1, cl.meanTasks))) / float64(n)
		}
	}
	return int(math.Ceil(machines))
}

// completionsWithin counts the running tasks of a class that are expected to end within the
// time.
func (c *Core) completionsWithin(cl *class, t Micros) (n float64) {
	for j := range c.jobs.all() {
		if j.class == cl {
			for p := range j.placements {
				if c.endsWithin(p, t) {
					n++
				}
			}
		}
	}
	return n
}

// FleetSize counts the machines known and those whose workers have confirmed the
// term.
func (c *Core) FleetSize() (known, up int) {
	for _, m := range c.machines.all() {
		if m.confirmed {
			up++
		}
	}
	return c.machines.count(), up
}

func (c *Core) hourlyPrice(m *machine) float64 { return hourlyRate(m.machineType, m.spot) }

func hourlyRate(t *wire.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// demand is room wanted for tasks of one shape.
type demand struct {
	job   *job
	slots int
}

// rentInTime is within how many boot times a rented machine is up, as far as counts:
// it takes up to 1.5 usually.
const rentInTime = 2

// expectedDemand is the room to be kept free for tasks that arrive while a machine
// would boot, for classes whose start the aims watch too closely for a boot.
func (c *Core) expectedDemand(now Micros) []demand {
	guarantee := Micros(0) // the strictest aim
	for _, o := range c.settings.Deployment.Objectives {
		if at := config.Micro(o.WithinS); o.Kind == "guarantee" && (guarantee == 0 || at < guarantee) {
			guarantee = at
		}
	}
	var out []demand
	for _, cl := range c.classes.sorted() {
		if cl.sampleJob == nil || cl.sampleJob.spec.Shape == wire.Service {
			continue
		}
		watch := Micros(math.MaxInt64)
		if len(cl.waitObjectives) > 0 {
			watch = cl.waitObjectives[0]
		}
		if guarantee > 0 && (cl.sampleJob.team.CPUs > 0 || cl.sampleJob.team.GPUs > 0) {
			watch = min(watch, guarantee)
		}
		boot := 0.0
		for _, t := range c.machineTypes {
			if fitsType(&cl.sampleJob.spec, t) && (boot == 0 || t.BootS < boot) {
				boot = t.BootS
			}
		}
		if watch > config.Micro(rentInTime*boot)+10*second {
			continue // a machine rented when it is needed is up in time
		}
		// Poisson arrivals during a boot, less what finishes meanwhile is left
		// to chance: the mean plus one deviation.
		n := cl.arrivalRate(now) * (boot + 10)
		slots := int(math.Round((n + math.Sqrt(n)) * *c.settings.Operator.SpareFactor))
		for _, m := range c.machines.all() {
			if slots > 0 && c.isSchedulable(m) && c.canClear(cl.sampleJob, m) {
				slots-- // evicting makes that room
			}
		}
		if slots > 0 {
			out = append(out, demand{cl.sampleJob, slots})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].job.class.name < out[b].job.class.name })
	return out
}

// canClear says whether evicting lower priorities would make room on the
// machine for a task of the job.
func (c *Core) canClear(j *job, m *machine) bool {
	if !allowed(j, m) || slotsOnEmpty(j, m.machineType) == 0 {
		return false
	}
	cpus, gpus, mem, any := m.usedCPUs, m.usedGPUs, m.usedMemoryGB, false
	m.eachPlacement(func(p *placement) {
		if p.job.rank < j.rank {
			any = true
			cpus -= p.job.spec.CPUs
			gpus -= p.job.spec.GPUs
			mem -= p.job.spec.MemoryGB
		}
	})
	return any && slotsFor(j, m.machineType, resourceUse{cpus, gpus, mem}) > 0
}

// standbyDemand is the room in CPUs that the guarantees call for while there is work:
// what is guaranteed has to be there when it is asked for, since a boot takes
// longer than such work may wait.
func (c *Core) standbyDemand() float64 {
	if c.jobs.count() == 0 {
		return 0
	}
	sum := 0.0
	for _, t := range c.settings.Deployment.Teams {
		sum += t.CPUs
	}
	return sum * *c.settings.Operator.ReserveFactor
}

// serves is how many CPUs of the machine the classes seen can use: the least
// over those that fit, as its room may be cut badly.
func (c *Core) serves(t *wire.MachineType, zone string, spot bool) float64 {
	least := 0.0
	for _, cl := range c.classes.sorted() {
		j := cl.sampleJob
		if j == nil || (spot && !j.spec.Spot) || !fitsType(&j.spec, t) || (j.spec.Zone != nil && *j.spec.Zone != zone) {
			continue
		}
		if x := float64(slotsOnEmpty(j, t)) * j.spec.CPUs; least == 0 || x < least {
			least = x
		}
	}
	return least
}

// heaviestJob is a job of the class that brings most work in teams with guarantees.
func (c *Core) heaviestJob(now Micros) *job {
	var best *job
	most := 0.0
	for _, cl := range c.classes.sorted() {
		j := cl.sampleJob
		if j == nil || j.spec.Shape == wire.Service || j.team.CPUs == 0 {
			continue
		}
		w := cl.arrivalRate(now) * j.spec.CPUs * j.spec.EstimateS
		if w > most || (w == most && best != nil && j.id < best.id) {
			best, most = j, w
		}
	}
	return best
}

// wanted says whether an idle machine is part of the spare room, and takes it
// off the need if so.
func (c *Core) wanted(m *machine, need []demand) bool {
	keep := false
	for i := range need {
		d := &need[i]
		if d.slots <= 0 || !allowed(d.job, m) {
			continue
		}
		if n := slotsOnEmpty(d.job, m.machineType); n > 0 {
			d.slots -= n
			keep = true
		}
	}
	return keep
}
