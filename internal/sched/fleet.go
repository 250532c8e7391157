package sched

import (
	"math"
	"slices"
	"sort"

	"dalefront/internal/config"
	"dalefront/wire"
)

// Machines takes the cloud's list, which lags and may be older than the last.
func (c *Core) Machines(list []wire.Machine, now Micros) {
	c.now = now
	lag := config.Micro(c.set.Deployment.Cloud.ListLagS)
	for _, l := range list {
		if _, gone := c.gone[l.ID]; gone {
			continue // the list lags behind the return
		}
		m := c.machines[l.ID]
		if m == nil {
			m = c.newMachine(l.ID, l.Addr, l.Type, l.Zone, l.Spot)
		}
		if m.addr == "" {
			m.addr = l.Addr
		}
		if m.listed == 0 {
			m.born = min(m.born, now-config.Micro(l.AgeS))
		}
		m.listed = now
		m.booting = m.booting || (l.State == wire.HostBooting && !m.up)
		if l.State == wire.HostRunning {
			// The moment that the list describes is the machine's age after its
			// birth, which may itself have been learned late, from a list.
			m.running = max(m.running, min(m.born+config.Micro(l.AgeS), now)-lag)
		}
		if l.State == wire.HostFailed && !m.failed {
			m.failed = true
			if m.up {
				c.domains.Died()
			}
		}
	}
	c.listedAt = now
}

// Hired takes the answer to a rental request.
func (c *Core) Hired(h wire.Hire, hosts []string, now Micros) {
	c.now = now
	c.hiring[h.Type] = max(0, c.hiring[h.Type]-h.Count)
	c.Stats.Hired += len(hosts)
	for _, host := range hosts {
		if c.machines[host] == nil {
			c.newMachine(host, "", h.Type, h.Zone, h.Spot).booting = true
		}
	}
	if len(hosts) < h.Count {
		c.refuse(h)
	}
}

func spotKey(typ, zone string, spot bool) string {
	if spot {
		return typ + "|" + zone + "|spot"
	}
	return typ + "|" + zone
}

func (c *Core) refuse(h wire.Hire) {
	c.refused[spotKey(h.Type, h.Zone, h.Spot)] = c.now + 15*second
}

// HireFailed takes a refusal (no capacity) or a failure.
func (c *Core) HireFailed(h wire.Hire, noCapacity bool, now Micros) {
	c.now = now
	c.hiring[h.Type] = max(0, c.hiring[h.Type]-h.Count)
	if noCapacity {
		c.refuse(h)
	}
}

// Gone says that machines, and everything on them, are gone: the cloud has
// confirmed their return.
func (c *Core) Gone(hosts []string, now Micros) {
	c.now = now
	for h, at := range c.gone {
		if now-at > 600*second {
			delete(c.gone, h)
		}
	}
	for _, h := range hosts {
		c.gone[h] = now
		m := c.machines[h]
		if m == nil {
			continue
		}
		m.each(func(p *placement) {
			if p.stored {
				c.free(p)
			}
		})
		c.Stats.Returned++
		if k := spotKey(m.kind.Name, m.zone, m.spot); c.refused[k] >= now {
			c.refused[k] = now - 1 // there may be room for another one now
		}
		for _, e := range c.entries {
			if _, named := e.hosts[h]; named && len(e.live) > 0 {
				c.fragile[e.name] = struct{}{}
			}
		}
		if m.n == 0 {
			c.dropMachine(m)
		} else {
			m.lost = true // a commit for it is outstanding; it frees its tasks
			m.returning = false
			m.failed = true
		}
	}
}

// ReturnFailed says that a return was not confirmed; it will be asked again.
func (c *Core) ReturnFailed(hosts []string, now Micros) {
	c.now = now
	for _, h := range hosts {
		if m := c.machines[h]; m != nil {
			m.returning = false
		}
	}
}

// Blind says that most workers fell silent at once: then the fault is likelier
// on this side, and another controller should take over.
func (c *Core) Blind(now Micros) bool {
	c.now = now
	return c.domains.IsBlind()
}

const (
	// minReturns is how many machines a round gives back at a site of up to
	// minReturns*machinesPerReturn machines.
	minReturns = 100
	// machinesPerReturn is how many machines there are for each that a round gives back at a larger
	// site. What ran on dead machines starts anew only once their return is confirmed, so a zone
	// that died should be given back within some ten rounds, however large it is.
	machinesPerReturn = 16
	// maxSlots bounds the tasks of one job that one machine is thought to have room for; a machine
	// never runs more than maxOnMachine.
	maxSlots = 1000
)

// maxReturns is how many machines a round gives back.
func (c *Core) maxReturns() int { return max(minReturns, len(c.order)/machinesPerReturn) }

// Returns lists machines to give back now.
func (c *Core) Returns(now Micros, blind bool) []string {
	c.now = now
	var out []string
	most := c.maxReturns()
	back := func(m *machine, why string) {
		if len(out) < most && !m.returning {
			m.returning = true
			c.log("return machine", "host", m.host, "type", m.kind.Name, "why", why, "tasks", m.n)
			out = append(out, m.host)
		}
	}
	lag := config.Micro(c.set.Deployment.Cloud.ListLagS)
	hosts := slices.Clone(c.order)
	room := &elsewhere{c: c}
	boots := c.bootsOf()
	for _, m := range hosts {
		if m.returning {
			continue
		}
		quiet := now - max(m.lastHello, c.since)
		boot := config.Micro(m.kind.BootS)
		switch {
		case m.failed:
			back(m, "failed")
		case blind:
		case m.up && c.listedAt > max(m.listed, m.born+4*lag) && now-m.born > 4*lag+10*second && quiet > 4*second:
			// It was there so long ago that a list would show it, and the newest does not, whether
			// or not one of this term did: taken or dead; the return proves it.
			back(m, "no longer listed")
		case m.lost:
			if why, ok := c.giveUp(m, room); ok {
				back(m, "silent beyond its lease: "+why)
			}
		case m.up && !m.confirmed && quiet > c.lease+6*second:
			// Never confirmed this term: time proves nothing about its lease.
			if why, ok := c.giveUp(m, room); ok {
				back(m, "silent since the term began: "+why)
			}
		case !m.up && now-m.born > 3*boot+40*second && quiet > c.lease, c.hopeless(m, boots):
			c.bootEnded(m, false)
			back(m, "never came up")
		case m.bad && m.n == 0:
			back(m, "tasks fail on it")
		case m.up && m.n == 0 && m.recallAt > 0 && m.confirmed:
			back(m, "empty and about to be taken")
		}
	}
	if blind || now-c.since < 20*second {
		return out
	}
	// Idle machines, dearest first, unless they are a spare that the aims need, or some of
	// those that a gang waits for while its others boot.
	need := c.spares(now)
	for _, j := range c.inOrder(func(j *job) bool { return j.gang() && j.pending() > 0 && c.mayRent(j) }) {
		need = append(need, demand{j, j.pending()})
	}
	reserved := -c.reserve()
	for _, m := range hosts {
		if !m.returning && m.confirmed && m.cordon == nil {
			reserved += c.serves(m.kind, m.zone, m.spot)
		}
	}
	sort.SliceStable(hosts, func(a, b int) bool { return c.price(hosts[a]) > c.price(hosts[b]) })
	idle := map[*wire.MachineType]int{}
	for _, m := range hosts {
		if !m.returning && m.confirmed && m.n == 0 {
			idle[m.kind]++
		}
	}
	soon := map[*wire.MachineType]int{}
	for t := range idle {
		soon[t] = c.soon(t)
	}
	for _, m := range hosts {
		// Keeping a machine is worth as much as booting another one would cost,
		// as long as tasks may be expected for it.
		since := m.idleSince
		if m.kind.GPUs > 0 && c.gpus.any {
			since = m.gpusIdle
		}
		if m.returning || !m.confirmed || m.n > 0 || m.reserved != nil || now-since < c.keep(m.kind, idle[m.kind] <= soon[m.kind]) {
			continue
		}
		if c.wanted(m, need) {
			continue
		}
		if x := c.serves(m.kind, m.zone, m.spot); x > 0 && reserved < x {
			continue
		} else {
			reserved -= x
		}
		idle[m.kind]--
		back(m, "idle")
	}
	return out
}

// keep is how long an idle machine of the type is kept, by whether tasks may be
// expected for it.
func (c *Core) keep(t *wire.MachineType, expected bool) Micros {
	boots := 0.4
	if expected {
		boots = 1.3
	}
	return min(config.Micro(*c.set.Operator.IdleReturnS), config.Micro(boots*t.BootS))
}

// hadNone says whether the cloud was asked for such a machine lately and had none:
// that outlasts the time for which it isn't asked again.
func (c *Core) hadNone(typ, zone string, spot bool) bool {
	const lately = 45 * second
	until, refused := c.refused[spotKey(typ, zone, spot)]
	return refused && c.now <= until+lately
}

// soldOut says whether the cloud lately had no machine without graphics for the
// job.
func (c *Core) soldOut(j *job) bool {
	for _, t := range c.types {
		if t.GPUs > 0 || !fitsType(&j.spec, t) {
			continue
		}
		for _, z := range t.Zones {
			if j.spec.Zone != nil && *j.spec.Zone != z {
				continue
			}
			if !c.hadNone(t.Name, z, false) {
				return false
			}
		}
	}
	return true
}

// soon is how many machines of the type the tasks fill that may be expected while
// another one would boot, beyond those that take the place of tasks which end
// meanwhile: the mean and one deviation, as tasks come a job at a time.
func (c *Core) soon(t *wire.MachineType) int {
	machines := 0.0
	for _, cl := range c.eachClass() {
		j := cl.sample
		if j == nil || !fitsType(&j.spec, t) || (t.GPUs > 0) != (j.spec.GPUs > 0) {
			continue
		}
		if n := slots(j, t, 0, 0, 0); n > 0 {
			tasks := cl.perSecond(c.now) * (t.BootS + 10)
			machines += (max(0, tasks-c.ending(cl, config.Micro(t.BootS))) + math.Sqrt(tasks*max(1, cl.size))) / float64(n)
		}
	}
	return int(math.Ceil(machines))
}

// ending counts the running tasks of a class that are expected to end within the
// time.
func (c *Core) ending(cl *class, t Micros) (n float64) {
	for _, j := range c.jobs {
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

// Fleet counts the machines known and those whose workers have confirmed the
// term.
func (c *Core) Fleet() (known, up int) {
	for _, m := range c.order {
		if m.confirmed {
			up++
		}
	}
	return len(c.machines), up
}

func (c *Core) price(m *machine) float64 { return rate(m.kind, m.spot) }

func rate(t *wire.MachineType, spot bool) float64 {
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

// spares is the room to be kept free for tasks that arrive while a machine
// would boot, for classes whose start the aims watch too closely for a boot.
func (c *Core) spares(now Micros) []demand {
	guarantee := Micros(0) // the strictest aim
	for _, o := range c.set.Deployment.Objectives {
		if at := config.Micro(o.WithinS); o.Kind == "guarantee" && (guarantee == 0 || at < guarantee) {
			guarantee = at
		}
	}
	var out []demand
	for _, cl := range c.eachClass() {
		if cl.sample == nil || cl.sample.spec.Shape == wire.Service {
			continue
		}
		watch := Micros(math.MaxInt64)
		if len(cl.waits) > 0 {
			watch = cl.waits[0]
		}
		if guarantee > 0 && (cl.sample.team.CPUs > 0 || cl.sample.team.GPUs > 0) {
			watch = min(watch, guarantee)
		}
		boot := 0.0
		for _, t := range c.types {
			if fitsType(&cl.sample.spec, t) && (boot == 0 || t.BootS < boot) {
				boot = t.BootS
			}
		}
		if watch > config.Micro(rentInTime*boot)+10*second {
			continue // a machine rented when it is needed is up in time
		}
		// Poisson arrivals during a boot, less what finishes meanwhile is left
		// to chance: the mean plus one deviation.
		n := cl.perSecond(now) * (boot + 10)
		slots := int(math.Round((n + math.Sqrt(n)) * *c.set.Operator.SpareFactor))
		for _, m := range c.order {
			if slots > 0 && c.usable(m) && c.clearable(cl.sample, m) {
				slots-- // evicting makes that room
			}
		}
		if slots > 0 {
			out = append(out, demand{cl.sample, slots})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].job.class.name < out[b].job.class.name })
	return out
}

// clearable says whether evicting lower priorities would make room on the
// machine for a task of the job.
func (c *Core) clearable(j *job, m *machine) bool {
	if !allowed(j, m) || slots(j, m.kind, 0, 0, 0) == 0 {
		return false
	}
	cpus, gpus, mem, any := m.cpus, m.gpus, m.mem, false
	m.each(func(p *placement) {
		if p.job.rank < j.rank {
			any = true
			cpus -= p.job.spec.CPUs
			gpus -= p.job.spec.GPUs
			mem -= p.job.spec.MemoryGB
		}
	})
	return any && slots(j, m.kind, cpus, gpus, mem) > 0
}

// reserve is the room in CPUs that the guarantees call for while there is work:
// what is guaranteed has to be there when it is asked for, since a boot takes
// longer than such work may wait.
func (c *Core) reserve() float64 {
	if len(c.jobs) == 0 {
		return 0
	}
	sum := 0.0
	for _, t := range c.set.Deployment.Teams {
		sum += t.CPUs
	}
	return sum * *c.set.Operator.ReserveFactor
}

// serves is how many CPUs of the machine the classes seen can use: the least
// over those that fit, as its room may be cut badly.
func (c *Core) serves(t *wire.MachineType, zone string, spot bool) float64 {
	least := 0.0
	for _, cl := range c.eachClass() {
		j := cl.sample
		if j == nil || (spot && !j.spec.Spot) || !fitsType(&j.spec, t) || (j.spec.Zone != nil && *j.spec.Zone != zone) {
			continue
		}
		if x := float64(slots(j, t, 0, 0, 0)) * j.spec.CPUs; least == 0 || x < least {
			least = x
		}
	}
	return least
}

// slots is how many tasks of the job the machine could still take.
func slots(j *job, t *wire.MachineType, cpus, gpus, mem float64) int {
	n := math.Inf(1)
	for _, x := range [][2]float64{{j.spec.CPUs, t.CPUs - cpus}, {j.spec.GPUs, t.GPUs - gpus}, {j.spec.MemoryGB, t.MemoryGB - mem}} {
		if x[0] > 0 {
			n = min(n, math.Floor((x[1]+eps)/x[0]))
		}
	}
	return max(0, int(min(n, maxSlots)))
}

// heaviest is a job of the class that brings most work in teams with guarantees.
func (c *Core) heaviest(now Micros) *job {
	var best *job
	most := 0.0
	for _, cl := range c.eachClass() {
		j := cl.sample
		if j == nil || j.spec.Shape == wire.Service || j.team.CPUs == 0 {
			continue
		}
		w := cl.perSecond(now) * j.spec.CPUs * j.spec.EstimateS
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
		if n := slots(d.job, m.kind, 0, 0, 0); n > 0 {
			d.slots -= n
			keep = true
		}
	}
	return keep
}
