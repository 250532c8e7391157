package sched

import (
	"cmp"
	"math"
	"slices"

	"dalefront/internal/config"
)

// How long to wait for a machine that was rented and does not come up goes by what was
// seen of its type lately: a survival estimate (Kaplan and Meier, 1958) of the time from
// the request to the first heartbeat, in the type's boot times, in which machines that still
// boot count for as long as they have. A trouble that slows boots down shows at once in
// those that still boot, and nothing is given up that a fresh one would not overtake; one
// that keeps machines from ever coming up shows as soon as others of the same age have
// come up. What was seen is forgotten within minutes, as the trouble may be.

const (
	negligibleRisk       = 1e-9        // rest of a sum of weights that is rounding alone
	forgottenWeight      = 0.01        // below which an outcome isn't counted
	bootDecayTime        = 60 * second // in which an outcome loses two thirds of its weight
	maxBootOutcomes      = 256         // outcomes of a type that are kept
	bootHorizon          = 4.0         // boot times over which waiting and asking anew are compared
	bootPriorWeight      = 8.0         // machines that what is usual counts for
	usualBootLimit       = 1.5         // boot times that one usually takes at most
	replacementAdvantage = 1.5         // how much better a fresh one must be: it costs another boot, and a minute at least
)

// bootOutcome is a machine that came up, or was given up, at an age.
type bootOutcome struct {
	age float64 // in boot times
	up  bool
	at  Micros
}

// What the platform says of boots: most take 0.6 to 1.5 boot times, some several times as long, a few
// never come up. More than usually never do are assumed: of those that are very late most don't.
const (
	earliestBoot = 0.6 // boot times that one takes at least
	usualBooted  = 44  // of 50 machines, those that come up at most after usualBootLimit
	neverBooted  = 3   // and those that never do
)

// slowBoots is when the other machines come up, in boot times.
var slowBoots = [...]float64{2, 3, 4.5}

// usualBoots is outcomes as the platform says of them.
var usualBoots = func() (outcomes []bootOutcome) {
	for i := range usualBooted {
		age := earliestBoot + (usualBootLimit-earliestBoot)*(float64(i)+0.5)/usualBooted
		outcomes = append(outcomes, bootOutcome{age: age, up: true})
	}
	for _, age := range slowBoots {
		outcomes = append(outcomes, bootOutcome{age: age, up: true})
	}
	for range neverBooted {
		outcomes = append(outcomes, bootOutcome{age: math.Inf(1)})
	}
	return outcomes
}()

// recordBootOutcome takes the outcome of a machine whose boot was watched from its request on.
func (c *Core) recordBootOutcome(m *machine, up bool) {
	if !m.booting {
		return
	}
	m.booting = false
	if m.machineType.BootS > 0 {
		c.boots.add(m.machineType.Name, bootOutcome{m.bootAge(c.now), up, c.now})
	}
}

// bootHistory is the outcomes of boots by machine type, the latest last.
type bootHistory map[string][]bootOutcome

// add takes another outcome, and forgets the oldest when there are too many.
func (h bootHistory) add(machineType string, outcome bootOutcome) {
	outcomes := append(h[machineType], outcome)
	h[machineType] = outcomes[max(0, len(outcomes)-maxBootOutcomes):]
}

// bootAge is the time since the machine was rented, in its type's boot times.
func (m *machine) bootAge(now Micros) float64 {
	return float64(now-m.rentedAt) / float64(config.Micro(m.machineType.BootS))
}

// survivalCurve is the share of machines that still boot at an age: a falling staircase.
type survivalCurve []survivalStep

// survivalStep is the share that is left from an age on, in boot times, until the next step.
type survivalStep struct{ age, left float64 }

// at is the share that still boots at an age.
func (s survivalCurve) at(age float64) float64 {
	left := 1.0
	for _, step := range s {
		if step.age > age {
			break
		}
		left = step.left
	}
	return left
}

// upWithin is for how many boot times of the next ones a machine of the age may be expected
// to be up.
func (s survivalCurve) upWithin(age, horizon float64) float64 {
	from := s.at(age)
	if from <= 0 {
		return 0
	}
	sum, last, left := 0.0, age, from
	for _, step := range s {
		if step.age <= age {
			continue
		}
		to := min(step.age, age+horizon)
		sum += (to - last) * (1 - left/from)
		if last = to; step.age >= age+horizon {
			return sum
		}
		left = step.left
	}
	return sum + (age+horizon-last)*(1-left/from)
}

// bootCurves estimates how long machines of each type with some that should be up by now take
// to come up.
func (c *Core) bootCurves() map[string]survivalCurve {
	ages := map[string][]float64{}
	late := map[string]bool{}
	for _, machine := range c.machines.all() {
		if machine.booting && !machine.registered && !machine.failed && machine.machineType.BootS > 0 {
			age := machine.bootAge(c.now)
			ages[machine.machineType.Name] = append(ages[machine.machineType.Name], age)
			if age > usualBootLimit {
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

// estimateBootCurve is the estimate from outcomes, the ages of machines that still boot, and
// what is usual.
func estimateBootCurve(outcomes []bootOutcome, booting []float64, now Micros) survivalCurve {
	all := make([]bootObservation, 0, len(usualBoots)+len(outcomes)+len(booting))
	for _, outcome := range usualBoots {
		all = append(all, bootObservation{outcome.age, bootPriorWeight / float64(len(usualBoots)), outcome.up})
	}
	for _, outcome := range outcomes {
		if weight := math.Exp(-float64(now-outcome.at) / float64(bootDecayTime)); weight > forgottenWeight {
			all = append(all, bootObservation{outcome.age, weight, outcome.up})
		}
	}
	for _, age := range booting {
		all = append(all, bootObservation{age, 1, false})
	}
	slices.SortFunc(all, func(a, b bootObservation) int { return cmp.Compare(a.age, b.age) })
	return kaplanMeier(all)
}

// bootObservation is a machine that came up at an age, or that at this age still boots or was given up.
type bootObservation struct {
	age, weight float64
	up          bool
}

// kaplanMeier is the survival estimate from observations in the order of their ages.
func kaplanMeier(observations []bootObservation) survivalCurve {
	risk := 0.0 // weight of the machines that still boot
	for _, observation := range observations {
		risk += observation.weight
	}
	var s survivalCurve
	left := 1.0
	for _, observation := range observations {
		if observation.up && risk > negligibleRisk {
			left *= max(0, 1-observation.weight/risk)
			s = append(s, survivalStep{observation.age, left})
		}
		risk -= observation.weight
	}
	return s
}

// unlikelyToBoot says whether a machine that still boots is given up: a fresh one in its place
// may be expected to be up for longer, of the next few boot times.
func (c *Core) unlikelyToBoot(m *machine, boots map[string]survivalCurve) bool {
	s, known := boots[m.machineType.Name]
	if !known || !m.booting || m.registered || m.lastListedRunning > 0 || c.detector.IsPartitioned(m.zone) {
		return false // what the cloud shows running boots no more, and nothing comes through from a zone that is cut off
	}
	age := m.bootAge(c.now)
	return age > usualBootLimit && replacementAdvantage*s.upWithin(age, bootHorizon) < s.upWithin(0, bootHorizon)
}
