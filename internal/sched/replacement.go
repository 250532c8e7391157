package sched

import (
	"fmt"
	"math"

	"dalefront/internal/config"
	"dalefront/internal/failuredomain"
	"dalefront/wire"
)

// rescheduleCosts knows, during one round of decisions about silent machines, how soon
// their tasks could start on others.
type rescheduleCosts struct {
	c    *Core
	free map[*class]int       // places that nobody waits for
	boot map[*class]Micros    // until a rented machine could take one, -1 if none can be had
	need map[machineKind]bool // whether room on such a machine would be used
}

// delay is how long a task of a returned machine would wait until it runs again: it
// takes a free place, or a machine that has to be rented, or, where none can be had,
// the one that takes the returned one's place once it can be reached.
func (e *rescheduleCosts) delay(j *job, m *machine, f *failuredomain.Finding) Micros {
	c := e.c
	if e.free == nil {
		e.free, e.boot = map[*class]int{}, map[*class]Micros{}
	}
	n, ok := e.free[j.class]
	if !ok {
		for _, o := range c.lastPass.schedulable {
			if allowed(j, o) && (o.reservedFor == nil || o.reservedFor == j) {
				n += slotsFor(j, o.machineType, o.used())
			}
		}
		for o := range c.jobs.all() {
			if o.rank >= j.rank && o.pendingCount() > 0 && o.team.withinLimit(o.spec.CPUs, o.spec.GPUs) && (o.class == j.class || o.spec.GPUs > 0 == (j.spec.GPUs > 0)) {
				n -= o.pendingCount()
			}
		}
	}
	e.free[j.class] = n - 1
	fetch := config.Micro(j.spec.ImageGB / max(m.machineType.FetchGBPS, 0.01))
	if n > 0 {
		return fetch
	}
	boot, ok := e.boot[j.class]
	if !ok {
		boot = -1
		for _, t := range c.machineTypes {
			for _, z := range t.Zones {
				if !fitsType(&j.spec, t) || (j.spec.Zone != nil && *j.spec.Zone != z) || c.detector.IsCut(z) ||
					(c.lacksCapacity(t.Name, z, false) && (!j.spec.Spot || c.lacksCapacity(t.Name, z, true))) {
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
		return max(f.Expect, config.Micro(m.machineType.BootS)) + fetch
	}
	return config.Micro(m.machineType.BootS) + fetch
}

// shouldReplace weighs, for a machine that is silent beyond its lease, what waiting for it
// costs against what returning it costs, both in time of its tasks, each by the part
// of the machine that it takes. Nothing else counts: what is expected comes from what
// was observed of this silence and of earlier ones, from the tasks' run times and
// saves, and from what a replacement takes. Returning is the only way to free what
// may still be on the machine; it is never free of cost, since a machine that is only
// cut off goes on working.
func (c *Core) shouldReplace(m *machine, e *rescheduleCosts) (why string, ok bool) {
	f := c.detector.judge(c.now, m)
	if f.Verdict == failuredomain.Blind {
		return "", false
	}
	if f.Verdict == failuredomain.Dead {
		return f.Evidence, true
	}
	patience := *c.settings.Operator.Patience
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
	m.eachPlacement(func(p *placement) {
		j := p.job
		part := j.spec.CPUs / max(m.machineType.CPUs, epsilon)
		if m.machineType.GPUs > 0 {
			part = max(part, j.spec.GPUs/m.machineType.GPUs)
		}
		if j.finalStatus == wire.JobCancelled {
			gain += part * expect // its user waits for the word that it is gone
			idle -= part
			return
		}
		if j.isOver() || j.isCompleted(p.taskIndex) {
			return // nobody waits for it: room, which also counts against its team's limit
		}
		idle -= part
		if j.isGang() && (j.gangBroken || p.stopping) {
			// Its whole gang waits for this attempt to be gone.
			gain += part * expect * float64(j.spec.Tasks)
			return
		}
		delay := float64(e.delay(j, m, &f))
		if p.stopping || !f.Working {
			gain += part * (expect - delay) // it runs no more: it only has to start again
			return
		}
		left, lost, unended := c.workAtRisk(p, f.Since)
		gain += part * (unended*(max(expect, left)-(delay+left+lost)) + (1-unended)*(expect-delay))
	})
	if idle > epsilon {
		replace := 0.0
		if e.needs(m) {
			replace = m.machineType.BootS * float64(second)
		}
		gain += idle * (expect - replace)
	}
	if gain <= 0 {
		return "", false
	}
	return fmt.Sprintf("%s, %s, expected for %.0f s more", f.Verdict, f.Evidence, expect/float64(second)), true
}

// workAtRisk is what a task that goes on working out of sight has still to run, what it
// would have to repeat if its machine were returned now, and how likely it has not
// ended yet, which nobody can see: run times are taken to vary as much as they are
// long. One that has ended has lost nothing, as its result is kept.
func (c *Core) workAtRisk(p *placement, since Micros) (left, lost, unended float64) {
	est := float64(p.job.expectedRunTime())
	if est == 0 {
		return math.MaxInt32 * float64(second), 0, 1 // a replica runs until it is stopped
	}
	ran := est / 2 // at the beginning of the silence; it ran before this term
	switch {
	case p.runningSince > 0:
		ran = float64(since - p.runningSince)
	case !p.recovered:
		ran = 0
	}
	left = max(est-ran, est/4) // later than expected is likely to be a while later still
	silent := float64(c.now - since)
	unended = math.Exp(-silent / left)
	lost = max(0, ran) + silent
	if every := p.job.spec.CheckpointIntervalS; every > 0 {
		lost = min(lost, every*float64(second))
	}
	return left, lost, unended
}

// needs says whether room on the machine would be used if it were there now.
func (e *rescheduleCosts) needs(m *machine) bool {
	k := m.kind()
	need, ok := e.need[k]
	if !ok {
		if e.need == nil {
			e.need = map[machineKind]bool{}
		}
		need = e.c.needs(m)
		e.need[k] = need
	}
	return need
}

func (c *Core) needs(m *machine) bool {
	for j := range c.jobs.all() {
		if j.pendingCount() > 0 && allowed(j, m) && fitsType(&j.spec, m.machineType) {
			return true
		}
	}
	return c.expectedMachines(m.machineType) > 0 || (c.standbyDemand() > 0 && c.serves(m.machineType, m.zone, m.spot) > 0)
}
