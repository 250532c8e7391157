package sched

import (
	"cmp"
	"math"
	"slices"

	"dalefront/internal/config"
)

// How long to wait for a rented machine that has not come up depends on the recent boots of its type. The
// estimate is a Kaplan-Meier survival curve (1958) of the time from the rental request to the first
// heartbeat, measured in boot times of the type. Machines that still boot are censored observations at their
// present age, so a fault that slows boots down affects the estimate at once. A fault that keeps machines from
// ever coming up affects it as soon as other machines of the same age have come up. A machine is given up only
// if a new machine is expected to be up for longer. Outcomes are forgotten within minutes, since a fault may
// end as quickly.

const (
	minRiskWeight    = 1e-9        // a smaller total weight of machines that still boot is a rounding error
	minOutcomeWeight = 0.01        // outcomes of a smaller weight are ignored
	bootDecayTime    = 60 * second // time constant of the exponential decay of an outcome's weight
	maxBootOutcomes  = 256         // outcomes kept per machine type
	bootHorizon      = 4.0         // period, in boot times, over which waiting and renting a new machine are compared
	bootPriorWeight  = 8.0         // weight of all outcomes of the prior together, in observed machines
	maxTypicalBoot   = 1.5         // duration of the longest typical boot, in boot times
	// replacementAdvantage is the factor by which the expected uptime of a new machine must exceed that of
	// the booting machine, since renting a new one costs another boot and at least a minute.
	replacementAdvantage = 1.5
)

// bootOutcome records that a machine came up, or was given up, at the given age.
type bootOutcome struct {
	age float64 // in boot times of the machine type
	up  bool    // whether the machine came up; otherwise it was given up
	at  Micros  // when the outcome was observed
}

// The prior follows the platform's documentation of boots, by which most take 0.6 to 1.5 boot times, some
// several times as long, and a few never complete. The share of boots that never complete is set above
// the documented share, since most of the very late boots never complete.
const (
	minTypicalBoot   = 0.6 // duration of the shortest typical boot, in boot times
	typicalBootCount = 44  // machines of 50 that come up within maxTypicalBoot
	failedBootCount  = 3   // machines of 50 that never come up
)

// slowBootAges holds the ages, in boot times, at which the remaining 3 of the prior's 50 machines come up.
var slowBootAges = [...]float64{2, 3, 4.5}

// priorBootOutcomes holds the outcomes of the prior's 50 machines.
var priorBootOutcomes = func() (outcomes []bootOutcome) {
	for i := range typicalBootCount {
		age := minTypicalBoot + (maxTypicalBoot-minTypicalBoot)*(float64(i)+0.5)/typicalBootCount
		outcomes = append(outcomes, bootOutcome{age: age, up: true})
	}
	for _, age := range slowBootAges {
		outcomes = append(outcomes, bootOutcome{age: age, up: true})
	}
	for range failedBootCount {
		outcomes = append(outcomes, bootOutcome{age: math.Inf(1)})
	}
	return outcomes
}()

// recordBootOutcome records the outcome of a boot that was observed in this term.
func (c *Core) recordBootOutcome(m *machine, up bool) {
	if !m.booting {
		return
	}
	m.booting = false
	if m.machineType.BootS > 0 {
		c.boots.add(m.machineType.Name, bootOutcome{m.bootAge(c.now), up, c.now})
	}
}

// bootHistory holds the outcomes of boots by machine type, the latest last.
type bootHistory map[string][]bootOutcome

// add appends an outcome, and drops the oldest if there are more than maxBootOutcomes.
func (h bootHistory) add(machineType string, outcome bootOutcome) {
	outcomes := append(h[machineType], outcome)
	h[machineType] = outcomes[max(0, len(outcomes)-maxBootOutcomes):]
}

// bootAge returns the time since the machine was rented, in boot times of its type.
func (m *machine) bootAge(now Micros) float64 {
	return float64(now-m.rentedAt) / float64(config.Micro(m.machineType.BootS))
}

// survivalCurve is the fraction of machines that still boot as a function of their age. It is a decreasing
// step function.
type survivalCurve []survivalStep

// survivalStep holds the fraction of machines that still boot at ages between its own age and that of the
// next step. Ages are in boot times.
type survivalStep struct{ age, share float64 }

// at returns the fraction of machines that still boot at an age.
func (s survivalCurve) at(age float64) float64 {
	share := 1.0
	for _, step := range s {
		if step.age > age {
			break
		}
		share = step.share
	}
	return share
}

// expectedUptime returns the expected uptime of a machine that still boots at the given age. It counts the
// uptime between the given age and the given age plus the horizon. All times are in boot times.
func (s survivalCurve) expectedUptime(age, horizon float64) float64 {
	from := s.at(age)
	if from <= 0 {
		return 0
	}
	sum, last, share := 0.0, age, from
	for _, step := range s {
		if step.age <= age {
			continue
		}
		to := min(step.age, age+horizon)
		sum += (to - last) * (1 - share/from)
		if last = to; step.age >= age+horizon {
			return sum
		}
		share = step.share
	}
	return sum + (age+horizon-last)*(1-share/from)
}

// bootCurves returns the estimated survival curves of the machine types with at least one machine that should
// be up by now.
func (c *Core) bootCurves() map[string]survivalCurve {
	ages := map[string][]float64{}
	late := map[string]bool{}
	for _, machine := range c.machines.all() {
		if machine.booting && !machine.registered && !machine.failed && machine.machineType.BootS > 0 {
			age := machine.bootAge(c.now)
			ages[machine.machineType.Name] = append(ages[machine.machineType.Name], age)
			if age > maxTypicalBoot {
				late[machine.machineType.Name] = true
			}
		}
	}
	curves := map[string]survivalCurve{}
	for name := range late {
		curves[name] = estimateBootCurve(c.boots[name], ages[name], c.now)
	}
	return curves
}

// estimateBootCurve returns the survival curve from the prior, the outcomes, and the ages of machines that
// still boot.
func estimateBootCurve(outcomes []bootOutcome, booting []float64, now Micros) survivalCurve {
	observations := make([]bootObservation, 0, len(priorBootOutcomes)+len(outcomes)+len(booting))
	for _, outcome := range priorBootOutcomes {
		observations = append(observations, bootObservation{outcome.age, bootPriorWeight / float64(len(priorBootOutcomes)), outcome.up})
	}
	for _, outcome := range outcomes {
		if weight := math.Exp(-float64(now-outcome.at) / float64(bootDecayTime)); weight > minOutcomeWeight {
			observations = append(observations, bootObservation{outcome.age, weight, outcome.up})
		}
	}
	for _, age := range booting {
		observations = append(observations, bootObservation{age, 1, false})
	}
	slices.SortFunc(observations, func(a, b bootObservation) int { return cmp.Compare(a.age, b.age) })
	return kaplanMeier(observations)
}

// bootObservation describes a machine that came up at the given age, or that still boots or was given up at
// that age.
type bootObservation struct {
	age, weight float64
	up          bool
}

// kaplanMeier returns the survival estimate from observations sorted by age.
func kaplanMeier(observations []bootObservation) survivalCurve {
	atRisk := 0.0 // weight of the machines that still boot
	for _, observation := range observations {
		atRisk += observation.weight
	}
	var s survivalCurve
	share := 1.0
	for _, observation := range observations {
		if observation.up && atRisk > minRiskWeight {
			share *= max(0, 1-observation.weight/atRisk)
			s = append(s, survivalStep{observation.age, share})
		}
		atRisk -= observation.weight
	}
	return s
}

// isUnlikelyToBoot reports whether a machine that still boots is given up, because a new machine in its place
// is expected to be up for clearly longer within the next bootHorizon boot times.
func (c *Core) isUnlikelyToBoot(m *machine, boots map[string]survivalCurve) bool {
	s, known := boots[m.machineType.Name]
	if !known || !m.booting || m.registered || m.lastListedRunning > 0 || c.detector.IsPartitioned(m.zone) {
		// A machine that the cloud lists as running no longer boots, and no heartbeat arrives from a
		// partitioned zone.
		return false
	}
	age := m.bootAge(c.now)
	return age > maxTypicalBoot && replacementAdvantage*s.expectedUptime(age, bootHorizon) < s.expectedUptime(0, bootHorizon)
}
