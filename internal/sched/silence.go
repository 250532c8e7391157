package sched

import (
	"fmt"
	"math"

	"dalefront/internal/config"
	"dalefront/internal/failuredomain"
	"dalefront/wire"
)

// Told takes when another controller last heard a machine. It comes with the
// hellos at a takeover: the last leader's knowledge is gone, its peers' is not.
// It is evidence for the detector alone and proves nothing.
func (c *Core) Told(host string, at Micros) {
	at = min(at, c.now)
	if m := c.machines[host]; m != nil {
		m.told = max(m.told, at)
	} else if len(c.told) < mostTold {
		c.told[host] = max(c.told[host], at)
	}
}

const mostTold = 100_000

// observed is what the detector is told of a machine. Another controller may know
// when it was last heard before its first report in this term.
func (c *Core) observed(m *machine) failuredomain.Machine {
	return failuredomain.Machine{Zone: m.zone, Mine: m.confirmed || m.lost, Heard: max(m.lastHello, m.told), Running: m.running, Failed: m.failed}
}

// Survey lets the detector look at the machines and the other controllers.
func (c *Core) Survey(now Micros, controllers []failuredomain.Controller) {
	c.now = now
	c.seen = c.seen[:0]
	for _, m := range c.order {
		if m.up && !m.returning {
			c.seen = append(c.seen, c.observed(m))
		}
	}
	for _, x := range c.domains.Survey(now, c.seen, controllers) {
		if x.Cut {
			c.log("zone cut off", "zone", x.Zone, "silent_us", now-x.Since, "evidence", x.Evidence, "leases_renewed_inside", x.Renewing)
		} else {
			c.log("zone back", "zone", x.Zone, "after_us", x.Lasted, "evidence", x.Evidence)
		}
	}
	for _, m := range c.order {
		if !m.up || m.returning {
			continue
		}
		v := c.domains.Judge(now, c.observed(m)).Verdict
		if v != m.verdict && (v == failuredomain.Hung || v == failuredomain.Dead) {
			c.log("silent machine", "host", m.host, "zone", m.zone, "verdict", v.String(), "silent_us", now-m.lastHello, "tasks", m.n)
		}
		m.verdict = v
	}
}

// Silent counts the machines by what the last survey said of them, and the zones that
// it found to be cut off.
func (c *Core) Silent() (machines map[string]int, zones int) {
	machines = map[string]int{}
	for _, m := range c.order {
		machines[m.verdict.String()]++
	}
	return machines, c.domains.Cuts()
}

// away says whether a machine can't be counted on for work that waits: it is silent
// and not expected back before another one would be up.
func (c *Core) away(m *machine) bool {
	if !m.up || m.verdict == failuredomain.Serving {
		return m.lost
	}
	f := c.domains.Judge(c.now, c.observed(m))
	return f.Expect > config.Micro(0.8*m.kind.BootS) || f.Verdict == failuredomain.Dead
}

// unsent frees launches of a silent machine that were stored but never went with an
// answer to it. The proof is that launches take no other way, that only this
// leader would send these, and that it frees them in the same turn.
func (c *Core) unsent(m *machine) {
	m.each(func(p *placement) {
		if p.stored && !p.sent && !p.seen && !p.loaded {
			c.free(p)
		}
	})
}

// elsewhere knows, during one round of decisions about silent machines, how soon
// their tasks could start on others.
type elsewhere struct {
	c    *Core
	free map[*class]int    // places that nobody waits for
	boot map[*class]Micros // until a rented machine could take one, -1 if none can be had
	need map[string]bool   // whether room on such a machine would be used
}

// delay is how long a task of a returned machine would wait until it runs again: it
// takes a free place, or a machine that has to be rented, or, where none can be had,
// the one that takes the returned one's place once it can be reached.
func (e *elsewhere) delay(j *job, m *machine, f *failuredomain.Finding) Micros {
	c := e.c
	if e.free == nil {
		e.free, e.boot = map[*class]int{}, map[*class]Micros{}
	}
	n, ok := e.free[j.class]
	if !ok {
		for _, o := range c.open {
			if allowed(j, o) && (o.reserved == nil || o.reserved == j) {
				n += slots(j, o.kind, o.cpus, o.gpus, o.mem)
			}
		}
		for _, o := range c.jobs {
			if o.rank >= j.rank && o.pending() > 0 && o.team.allows(o.spec.CPUs, o.spec.GPUs) && (o.class == j.class || o.spec.GPUs > 0 == (j.spec.GPUs > 0)) {
				n -= o.pending()
			}
		}
	}
	e.free[j.class] = n - 1
	fetch := config.Micro(j.spec.ImageGB / max(m.kind.FetchGBPS, 0.01))
	if n > 0 {
		return fetch
	}
	boot, ok := e.boot[j.class]
	if !ok {
		boot = -1
		for _, t := range c.types {
			for _, z := range t.Zones {
				if !fitsType(&j.spec, t) || (j.spec.Zone != nil && *j.spec.Zone != z) || c.domains.IsCut(z) ||
					(c.hadNone(t.Name, z, false) && (!j.spec.Spot || c.hadNone(t.Name, z, true))) {
					continue
				}
				if b := config.Micro(t.BootS); boot < 0 || b < boot {
					boot = b
				}
			}
		}
		e.boot[j.class] = boot
	}
	switch {
	case boot >= 0:
		return boot + fetch
	case f.Verdict == failuredomain.Cut:
		return max(f.Expect, config.Micro(m.kind.BootS)) + fetch
	}
	return config.Micro(m.kind.BootS) + fetch
}

// giveUp weighs, for a machine that is silent beyond its lease, what waiting for it
// costs against what returning it costs, both in time of its tasks, each by the part
// of the machine that it takes. Nothing else counts: what is expected comes from what
// was observed of this silence and of earlier ones, from the tasks' run times and
// saves, and from what a replacement takes. Returning is the only way to free what
// may still be on the machine; it is never free of cost, since a machine that is only
// cut off goes on working.
func (c *Core) giveUp(m *machine, e *elsewhere) (why string, ok bool) {
	f := c.domains.Judge(c.now, c.observed(m))
	if f.Verdict == failuredomain.Blind {
		return "", false
	}
	if f.Verdict == failuredomain.Dead {
		return f.Evidence, true
	}
	patience := *c.set.Operator.Patience
	if patience == 0 {
		return "no patience is set", true
	}
	expect := float64(f.Expect)
	if f.Verdict == failuredomain.Unclear {
		// Either it is dead, which the list will tell, or it comes back.
		expect = f.Dying*float64(f.Known) + (1-f.Dying)*expect
	}
	expect /= patience
	gain, idle := 0.0, 1.0
	m.each(func(p *placement) {
		j := p.job
		part := j.spec.CPUs / max(m.kind.CPUs, eps)
		if m.kind.GPUs > 0 {
			part = max(part, j.spec.GPUs/m.kind.GPUs)
		}
		if j.ended == wire.JobCancelled {
			gain += part * expect // its user waits for the word that it is gone
			idle -= part
			return
		}
		if j.over() || j.isDone(p.task) {
			return // nobody waits for it: room, which also counts against its team's limit
		}
		idle -= part
		if j.gang() && (j.broken || p.stop) {
			// Its whole gang waits for this attempt to be gone.
			gain += part * expect * float64(j.spec.Tasks)
			return
		}
		delay := float64(e.delay(j, m, &f))
		if p.stop || !f.Working {
			gain += part * (expect - delay) // it runs no more: it only has to start again
			return
		}
		left, lost, unended := c.atStake(p, f.Since)
		gain += part * (unended*(max(expect, left)-(delay+left+lost)) + (1-unended)*(expect-delay))
	})
	if idle > eps {
		replace := 0.0
		if e.needs(m) {
			replace = m.kind.BootS * float64(second)
		}
		gain += idle * (expect - replace)
	}
	if gain <= 0 {
		return "", false
	}
	return fmt.Sprintf("%s, %s, expected for %.0f s more", f.Verdict, f.Evidence, expect/float64(second)), true
}

// atStake is what a task that goes on working out of sight has still to run, what it
// would have to repeat if its machine were returned now, and how likely it has not
// ended yet, which nobody can see: run times are taken to vary as much as they are
// long. One that has ended has lost nothing, as its result is kept.
func (c *Core) atStake(p *placement, since Micros) (left, lost, unended float64) {
	est := float64(p.job.estimate())
	if est == 0 {
		return math.MaxInt32 * float64(second), 0, 1 // a replica runs until it is stopped
	}
	ran := est / 2 // at the beginning of the silence; it ran before this term
	switch {
	case p.running > 0:
		ran = float64(since - p.running)
	case !p.loaded:
		ran = 0
	}
	left = max(est-ran, est/4) // later than expected is likely to be a while later still
	silent := float64(c.now - since)
	unended = math.Exp(-silent / left)
	lost = max(0, ran) + silent
	if every := p.job.spec.CheckpointEvery; every > 0 {
		lost = min(lost, every*float64(second))
	}
	return left, lost, unended
}

// needs says whether room on the machine would be used if it were there now.
func (e *elsewhere) needs(m *machine) bool {
	k := spotKey(m.kind.Name, m.zone, m.spot)
	need, ok := e.need[k]
	if !ok {
		if e.need == nil {
			e.need = map[string]bool{}
		}
		need = e.c.needs(m)
		e.need[k] = need
	}
	return need
}

func (c *Core) needs(m *machine) bool {
	for _, j := range c.jobs {
		if j.pending() > 0 && allowed(j, m) && fitsType(&j.spec, m.kind) {
			return true
		}
	}
	return c.soon(m.kind) > 0 || (c.reserve() > 0 && c.serves(m.kind, m.zone, m.spot) > 0)
}
